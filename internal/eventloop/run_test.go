package eventloop

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"railrelay.dev/railrelay/internal/controller"
)

// A peer that never reads holds up what is written to it; told to go, it may
// not keep its connection for good.
func TestAGentleCloseEndsInTime(t *testing.T) {
	ours, theirs := net.Pipe() // which takes nothing that is not read
	defer theirs.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l := &loop{ctx: ctx, group: &errgroup.Group{}, events: make(chan event)}
	w := newWire(&controller.Connection{}, ours)
	w.write([]byte("what is never read"), guard{})
	w.closeGently(20 * time.Millisecond)
	go l.serve(w)
	for wait := time.After(20 * time.Second); ; {
		select {
		case ev := <-l.events:
			if ev.Kind == controller.ConnectionClosed {
				return
			}
		case <-wait:
			t.Fatal("it waits for a reader")
		}
	}
}

// Bytes that lie in our kernel must not arrive once a call was given up: left to
// it they go out for minutes after, whenever the other end listens again.
func TestWhatIsAbortedNeverArrives(t *testing.T) {
	arrives := func(abort bool) (n int) {
		ours, theirs := pair(t)
		defer theirs.Close()
		ours.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		out, _ := ours.Write(make([]byte, 32<<20)) // as much as both kernels hold: nobody reads
		w := newWire(&controller.Connection{}, ours)
		w.end(abort)
		theirs.SetReadDeadline(time.Now().Add(20 * time.Second))
		p := make([]byte, 1<<20)
		for {
			m, err := theirs.Read(p)
			if n += m; err != nil {
				break
			}
		}
		return out - n
	}
	if left := arrives(false); left != 0 {
		t.Fatalf("%d bytes are missing though nothing was aborted: this test proves nothing", left)
	}
	if arrives(true) == 0 {
		t.Fatal("all of it came after the connection was aborted")
	}
}

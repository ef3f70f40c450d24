package eventloop

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"railrelay.dev/railrelay/internal/controller"
)

// Guards against a connection that stays open forever after a graceful close, because the peer never
// reads and the write blocks.
func TestGracefulCloseEndsAtTimeout(t *testing.T) {
	ours, theirs := net.Pipe() // unbuffered: a write blocks until the peer reads
	defer theirs.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l := &loop{ctx: ctx, group: &errgroup.Group{}, events: make(chan event)}
	w := newConnection(&controller.Connection{}, ours)
	w.enqueue([]byte("data that is never read"), writeCondition{})
	w.closeGracefully(20 * time.Millisecond)
	go l.serve(w)
	for wait := time.After(20 * time.Second); ; {
		select {
		case ev := <-l.events:
			if ev.Kind == controller.ConnectionClosed {
				return
			}
		case <-wait:
			t.Fatal("the connection is still open: the graceful close waits for a reader")
		}
	}
}

// Guards against an abandoned request that still reaches its engine: without an abort, the kernel
// keeps sending written bytes for minutes, until the peer reads again.
func TestAbortDropsUndeliveredBytes(t *testing.T) {
	arrives := func(abort bool) (n int) {
		ours, theirs := connectionPair(t)
		defer theirs.Close()
		ours.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		out, _ := ours.Write(make([]byte, 32<<20)) // as much as both socket buffers hold, since nobody reads
		w := newConnection(&controller.Connection{}, ours)
		w.terminate(abort)
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
		t.Fatalf("%d bytes are missing although nothing was aborted, so this test proves nothing", left)
	}
	if arrives(true) == 0 {
		t.Fatal("all bytes arrived although the connection was aborted")
	}
}

package run

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"railrelay.dev/railrelay/internal/relay"
)

// A peer that never reads holds up what is written to it; told to go, it may
// not keep its connection for good.
func TestAGentleCloseEndsInTime(t *testing.T) {
	ours, theirs := net.Pipe() // which takes nothing that is not read
	defer theirs.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l := &loop{ctx: ctx, group: &errgroup.Group{}, events: make(chan event)}
	w := newWire(&relay.Link{}, ours)
	w.write([]byte("what is never read"))
	w.closeGently(20 * time.Millisecond)
	go l.serve(w)
	for wait := time.After(20 * time.Second); ; {
		select {
		case ev := <-l.events:
			if ev.Kind == relay.Ended {
				return
			}
		case <-wait:
			t.Fatal("it waits for a reader")
		}
	}
}

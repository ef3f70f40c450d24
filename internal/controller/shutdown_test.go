package controller

import (
	"testing"
	"time"
)

// Without open queries the controller exits after a shutdown request, but not while a client's last query may
// still be arriving.
func TestShutdownWaitsForClientsToKnow(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	h.connect()
	h.step(Event{Kind: ShutdownRequested})
	from := h.now
	h.runUntil(from + 740*time.Millisecond)
	if h.exited {
		t.Fatal("exited while a query may still arrive")
	}
	h.runUntil(from + 760*time.Millisecond)
	if !h.exited {
		t.Fatal("not exited, without open queries")
	}
}

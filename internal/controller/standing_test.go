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

// A discovery connection that stays open without messages is replaced well within the 7 s after which the
// endpoint list counts as known. The events that it missed also apply to an attempt that is being sent.
func TestSilentDiscoveryIsReplacedInTime(t *testing.T) {
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	h.runUntil(10 * time.Millisecond)
	h.listEngines("") // the last message on this connection
	silent, from, engine := h.discovery, h.now, h.sortedEngines()[0]
	for h.discovery == silent || !h.discovery.established {
		if h.runUntil(h.now + time.Millisecond); h.now-from > 1400*time.Millisecond {
			t.Fatal("silent connection not replaced after ", h.now-from)
		}
	}
	query := h.sendQuery(h.connect(), "lookup", "", time.Second, 1)
	if h.controller.pool.open != 1 || len(query.runs) > 0 {
		t.Fatal("no connection is being dialled for the query, so the test proves nothing")
	}
	engine.state = "DRAINING"
	h.listEngines(engine.endpointJSON(0))
	h.runUntil(h.now + 2*time.Second)
	if len(query.runs) > 0 || query.answer != "deferred" {
		t.Fatalf("sent %d times to a draining engine, answer %q", len(query.runs), query.answer)
	}
}

// A duplicate of the response to a priority change must not be read as the response to a cancellation, which
// must have arrived before the key's next query is sent.
func TestDuplicateResponseConfirmsNoCancellation(t *testing.T) {
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	query := h.sendQuery(h.connect(), "load", "k", 20*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "runs")
	h.waitForCall("GET", query.id)
	h.runUntil(h.now + 1500*time.Millisecond)
	call := h.waitForCall("PUT", query.id) // its latency objective has passed
	h.respond(call, "ok")
	h.cancel(query)
	if h.waitForCall("DELETE", query.id).connection == call.connection {
		t.Fatal("cancellation sent on a connection that may still deliver a duplicate response")
	}
}

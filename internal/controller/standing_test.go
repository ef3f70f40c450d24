package controller

import (
	"testing"
	"time"
)

// With nothing in hand it ends, but not while a client's last query may be on its way.
func TestShutdownWaitsForClientsToKnow(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	h.connect()
	h.step(Event{Kind: ShutdownRequested})
	from := h.now
	h.runUntil(from + 740*time.Millisecond)
	if h.exited {
		t.Fatal("ended while a query may be on its way")
	}
	h.runUntil(from + 760*time.Millisecond)
	if !h.exited {
		t.Fatal("no end, with nothing in hand")
	}
}

// A watch that stays open and silent is noticed, and what it kept back acted on, well within
// the 7 s after which it counts as told; also by what is on its way to an engine just then.
func TestSilentDiscoveryIsReplacedInTime(t *testing.T) {
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	h.runUntil(10 * time.Millisecond)
	h.listEngines("") // the last that it says
	silent, from, engine := h.discovery, h.now, h.sortedEngines()[0]
	for h.discovery == silent || !h.discovery.established {
		if h.runUntil(h.now + time.Millisecond); h.now-from > 1400*time.Millisecond {
			t.Fatal("still waited for after ", h.now-from)
		}
	}
	query := h.sendQuery(h.connect(), "lookup", "", time.Second, 1)
	if h.controller.pool.open != 1 || len(query.runs) > 0 {
		t.Fatal("no connection is being made for it, and the test proves nothing")
	}
	engine.state = "DRAINING"
	h.listEngines(engine.endpointJSON(0))
	h.runUntil(h.now + 2*time.Second)
	if len(query.runs) > 0 || query.answer != "deferred" {
		t.Fatalf("sent %d times to an engine that had been told to drain, %q", len(query.runs), query.answer)
	}
}

// The second answer to a changed priority says nothing of what gives the query up, which
// must have come whole before anything follows it.
func TestDuplicateResponseConfirmsNoCancellation(t *testing.T) {
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	query := h.sendQuery(h.connect(), "load", "k", 20*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "runs")
	h.waitForCall("GET", query.id)
	h.runUntil(h.now + 1500*time.Millisecond)
	call := h.waitForCall("PUT", query.id) // its target runtime has passed
	h.respond(call, "ok")
	h.cancel(query)
	if h.waitForCall("DELETE", query.id).connection == call.connection {
		t.Fatal("on the line whose answer may have a second copy behind it")
	}
}

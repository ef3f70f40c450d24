package controller

import (
	"testing"
	"time"
)

// With nothing in hand it ends, but not while a client's last query may be on its way.
func TestShutdownWaitsForClientsToKnow(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	s.connect()
	s.step(Event{Kind: ShutdownRequested})
	from := s.now
	s.runUntil(from + 740*time.Millisecond)
	if s.exited {
		t.Fatal("ended while a query may be on its way")
	}
	s.runUntil(from + 760*time.Millisecond)
	if !s.exited {
		t.Fatal("no end, with nothing in hand")
	}
}

// A watch that stays open and silent is noticed, and what it kept back acted on, well within
// the 7 s after which it counts as told; also by what is on its way to an engine just then.
func TestSilentDiscoveryIsReplacedInTime(t *testing.T) {
	s := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	s.runUntil(10 * time.Millisecond)
	s.listEngines("") // the last that it says
	silent, from, m := s.discovery, s.now, s.sortedEngines()[0]
	for s.discovery == silent || !s.discovery.established {
		if s.runUntil(s.now + time.Millisecond); s.now-from > 1400*time.Millisecond {
			t.Fatal("still waited for after ", s.now-from)
		}
	}
	a := s.sendQuery(s.connect(), "lookup", "", time.Second, 1)
	if s.controller.pool.open != 1 || len(a.runs) > 0 {
		t.Fatal("no connection is being made for it, and the test proves nothing")
	}
	m.state = "DRAINING"
	s.listEngines(m.endpointJSON(0))
	s.runUntil(s.now + 2*time.Second)
	if len(a.runs) > 0 || a.answer != "deferred" {
		t.Fatalf("sent %d times to an engine that had been told to drain, %q", len(a.runs), a.answer)
	}
}

// The second answer to a changed priority says nothing of what gives the query up, which
// must have come whole before anything follows it.
func TestDuplicateResponseConfirmsNoCancellation(t *testing.T) {
	s := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	a := s.sendQuery(s.connect(), "load", "k", 20*time.Second, 1)
	s.respond(s.waitForCall("POST", a.id), "runs")
	s.waitForCall("GET", a.id)
	s.runUntil(s.now + 1500*time.Millisecond)
	h := s.waitForCall("PUT", a.id) // its target runtime has passed
	s.respond(h, "ok")
	s.cancel(a)
	if s.waitForCall("DELETE", a.id).connection == h.connection {
		t.Fatal("on the line whose answer may have a second copy behind it")
	}
}

package controller

import (
	"testing"
	"time"
)

// A discovery connection that misses a heartbeat must be replaced though it stays open: one that falls
// silent, one that sends only parts of a line, and one that never sends anything. A drain sent right
// after the last message must be applied from the new connection.
func TestMissingHeartbeatReplacesDiscovery(t *testing.T) {
	for name, send := range map[string]func(s *harness, watch *fakeConnection){
		"nothing":     func(*harness, *fakeConnection) {},
		"half a line": func(s *harness, watch *fakeConnection) { s.receive(watch, []byte(`{"n":2,"mem`)) },
	} {
		for _, sentBefore := range []bool{true, false} {
			s := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
			if sentBefore {
				s.runUntil(10 * time.Millisecond)
				s.listEngines("")
			}
			watch, start, e := s.discovery, s.now, s.sortedEngines()[0]
			watch.established = true
			if !sentBefore {
				s.step(Event{Kind: Connected, Connection: watch.connection})
			}
			e.state = "DRAINING" // sent now, but never received on this connection
			for s.discovery == watch || !s.discovery.established {
				if s.runUntil(s.now + 100*time.Millisecond); s.discovery == watch {
					send(s, watch)
				}
				if s.now-start > 1500*time.Millisecond {
					t.Fatalf("%s, sent before: %v: not replaced after %v", name, sentBefore, s.now-start)
				}
			}
			if s.controller.counters.discoveryFaults != 1 {
				t.Fatalf("%d discovery faults, want 1", s.controller.counters.discoveryFaults)
			}
			s.listEngines(e.endpointJSON(0))
			a := s.sendQuery(s.connect(), "lookup", "", 500*time.Millisecond, 1)
			if s.runUntil(s.now + time.Second); len(a.runs) > 0 {
				t.Fatalf("%s: query sent to a draining engine", name)
			}
		}
	}
}

// After a stall of the controller's process, the bytes that arrived meanwhile must be read before the
// connection counts as silent.
func TestProcessStallKeepsDiscovery(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	s.runUntil(10 * time.Millisecond)
	s.listEngines("")
	watch := s.discovery
	s.now += 3 * time.Second
	s.step(Event{Kind: TimerFired})
	if s.listEngines(""); s.discovery != watch || s.controller.counters.discoveryFaults > 0 {
		t.Fatal("a connection that kept sending was replaced")
	}
	s.runUntil(s.now + 1400*time.Millisecond)
	if s.discovery == watch {
		t.Fatal("a connection that fell silent was not replaced")
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

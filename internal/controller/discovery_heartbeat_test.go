package controller

import (
	"testing"
	"time"
)

// A watch is given up by the number that is due, though nothing was closed, and the list asked for
// anew after the last event had: one that falls silent, says half a line again and again, or was
// accepted and never said anything. A drain told right after the last word is obeyed by then.
func TestMissingHeartbeatReplacesDiscovery(t *testing.T) {
	for what, says := range map[string]func(s *harness, watch *fakeConnection){
		"nothing":     func(*harness, *fakeConnection) {},
		"half a line": func(s *harness, watch *fakeConnection) { s.receive(watch, []byte(`{"n":2,"mem`)) },
	} {
		for _, spoke := range []bool{true, false} {
			s := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
			if spoke {
				s.runUntil(10 * time.Millisecond)
				s.listEngines("")
			}
			watch, from, m := s.discovery, s.now, s.sortedEngines()[0]
			watch.established = true
			if !spoke {
				s.step(Event{Kind: Connected, Connection: watch.connection})
			}
			m.state = "DRAINING" // told in that very moment, and never heard on this one
			for s.discovery == watch || !s.discovery.established {
				if s.runUntil(s.now + 100*time.Millisecond); s.discovery == watch {
					says(s, watch)
				}
				if s.now-from > 1500*time.Millisecond {
					t.Fatalf("%s, spoke: %v: still waited for after %v", what, spoke, s.now-from)
				}
			}
			if s.controller.counters.discoveryFaults != 1 {
				t.Fatalf("%d faults of the feed", s.controller.counters.discoveryFaults)
			}
			s.listEngines(m.endpointJSON(0))
			a := s.sendQuery(s.connect(), "lookup", "", 500*time.Millisecond, 1)
			if s.runUntil(s.now + time.Second); len(a.runs) > 0 {
				t.Fatalf("%s: sent to an engine that drains", what)
			}
		}
	}
}

// Where we stood still ourselves, what a watch said meanwhile is read before it is judged.
func TestProcessStallKeepsDiscovery(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	s.runUntil(10 * time.Millisecond)
	s.listEngines("")
	watch := s.discovery
	s.now += 3 * time.Second
	s.step(Event{Kind: TimerFired})
	if s.listEngines(""); s.discovery != watch || s.controller.counters.discoveryFaults > 0 {
		t.Fatal("a feed that spoke all the time was given up")
	}
	s.runUntil(s.now + 1400*time.Millisecond)
	if s.discovery == watch {
		t.Fatal("it has fallen silent since, and is still waited for")
	}
}

package controller

import (
	"testing"
	"time"
)

// A watch is given up by the number that is due, though nothing was closed, and the list asked for
// anew after the last event had: one that falls silent, says half a line again and again, or was
// accepted and never said anything. A drain told right after the last word is obeyed by then.
func TestAWatchIsGivenUpByTheNumberThatIsDue(t *testing.T) {
	for what, says := range map[string]func(s *stage, watch *end){
		"nothing":     func(*stage, *end) {},
		"half a line": func(s *stage, watch *end) { s.read(watch, []byte(`{"n":2,"mem`)) },
	} {
		for _, spoke := range []bool{true, false} {
			s := newStage(t, 1, 256, map[string]string{"may.probe": "false"})
			if spoke {
				s.until(10 * time.Millisecond)
				s.tell("")
			}
			watch, from, m := s.feed, s.now, s.all()[0]
			watch.up = true
			if !spoke {
				s.step(Event{Kind: Connected, Connection: watch.link})
			}
			m.state = "DRAINING" // told in that very moment, and never heard on this one
			for s.feed == watch || !s.feed.up {
				if s.until(s.now + 100*time.Millisecond); s.feed == watch {
					says(s, watch)
				}
				if s.now-from > 1500*time.Millisecond {
					t.Fatalf("%s, spoke: %v: still waited for after %v", what, spoke, s.now-from)
				}
			}
			if s.r.counters.discoveryFaults != 1 {
				t.Fatalf("%d faults of the feed", s.r.counters.discoveryFaults)
			}
			s.tell(m.entry(0))
			a := s.query(s.connect(), "lookup", "", 500*time.Millisecond, 1)
			if s.until(s.now + time.Second); len(a.subs) > 0 {
				t.Fatalf("%s: sent to an engine that drains", what)
			}
		}
	}
}

// Where we stood still ourselves, what a watch said meanwhile is read before it is judged.
func TestAStallOfOursEndsNoWatch(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	s.until(10 * time.Millisecond)
	s.tell("")
	watch := s.feed
	s.now += 3 * time.Second
	s.step(Event{Kind: TimerFired})
	if s.tell(""); s.feed != watch || s.r.counters.discoveryFaults > 0 {
		t.Fatal("a feed that spoke all the time was given up")
	}
	s.until(s.now + 1400*time.Millisecond)
	if s.feed == watch {
		t.Fatal("it has fallen silent since, and is still waited for")
	}
}

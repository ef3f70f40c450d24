package controller

import (
	"testing"
	"time"
)

// disconnectDuringQuery has a query of a key run at an engine that is cut off from us, with another of its key behind.
func disconnectDuringQuery(t *testing.T, more map[string]string, patience time.Duration) (s *harness, m *fakeEngine, first, next *sentQuery) {
	s = newHarness(t, 2, 256, more)
	c := s.connect()
	first = s.sendQuery(c, "load", "k", patience, 1)
	h := s.waitForCall("POST", first.id)
	s.respond(h, "runs")
	next = s.sendQuery(c, "load", "k", 30*time.Second, 2)
	s.waitForCall("GET", first.id)
	m = h.engine
	m.networkCut = true
	return s, m, first, next
}

// Where nothing may be cancelled an engine works on though nobody asks for the query: seen on a variant's
// split days, where the next of a key was sent 2.7 s into a cut while the first still ran behind it. The
// key waits until the engine was heard, or until the time that it was told to have is over.
func TestOrderHoldsWithoutCancellation(t *testing.T) {
	for _, cancel := range []string{"true", "false"} {
		s, m, first, next := disconnectDuringQuery(t, map[string]string{"may.probe": "false", "may.cancel": cancel}, 20*time.Second)
		s.runUntil(s.now + 6*time.Second)
		if sent := len(next.runs) > 0; sent != (cancel == "true") {
			t.Fatalf("may.cancel %s: after 6 s of silence the next of its key was sent: %v", cancel, sent)
		}
		if cancel == "true" {
			continue
		}
		m.runs[first.id].ended, m.runs[first.id].polledAt = false, s.now // it ran on, and does now
		s.healNetwork(m)
		s.respond(s.waitForCall("GET", first.id), "ok")
		if s.runUntil(s.now + 100*time.Millisecond); first.answer != "finished" || len(next.runs) != 1 {
			t.Fatalf("heard again: the first %q, the next sent %d times", first.answer, len(next.runs))
		}
	}
	s, _, _, next := disconnectDuringQuery(t, map[string]string{"may.probe": "false", "may.cancel": "false"}, 4*time.Second)
	if s.runUntil(s.now + 5*time.Second); len(next.runs) > 0 {
		t.Fatal("sent before its time was over at its engine")
	}
	if s.runUntil(s.now + 4*time.Second); len(next.runs) != 1 {
		t.Fatal("its key waits for good for an engine that is never heard")
	}
}

// An engine that dropped a query, as nobody asked, still has its notes: they come first, and fast, once it
// is heard again. They are no sign that the query lives, and the error behind them is no certain end:
// it is given up there, and its key rests.
func TestStaleNoteIsNoSignOfLife(t *testing.T) {
	s, m, first, next := disconnectDuringQuery(t, map[string]string{"may.probe": "false", "may.cancel": "false"}, 20*time.Second)
	s.runUntil(s.now + 4*time.Second)
	x := m.runs[first.id]
	x.ended, x.polledAt = false, s.now // what was noted before is told first
	s.healNetwork(m)
	for range 2 {
		s.respond(s.waitForCall("GET", first.id), "stuck")
	}
	s.waitForCall("GET", first.id)
	x.ended, x.keyCoolsDown, x.endedAt, x.pages = true, true, s.now, 0
	s.respond(s.waitForCall("GET", first.id), "runs")
	from := s.now
	s.respond(s.waitForCall("DELETE", first.id), "ok")
	if s.runUntil(from + 250*time.Millisecond); len(next.runs) > 0 {
		t.Fatal("its key didn't rest")
	}
	if s.runUntil(from + 400*time.Millisecond); len(next.runs) != 1 || first.answer != "killed" {
		t.Fatalf("the first %q, the next sent %d times", first.answer, len(next.runs))
	}
}

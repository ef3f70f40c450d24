package scheduler

import (
	"testing"
)

func TestStalledAttemptEjectsEngine(t *testing.T) {
	h := newCoresOnlyHarness(t, 1, map[string]string{"group.1.late-share": "0.4", "may.probe": "false",
		"gateways": "2"})
	q := h.arrive(1, 1, -1, 60*sec)
	for h.advance(sec); h.s.engines[0].consecutiveEjections == 0 && h.now < 30*sec; h.advance(100 * ms) {
	}
	e := h.s.engines[0]
	if e.consecutiveEjections != 1 || h.s.available(e) || q.answered {
		t.Fatalf("%d ejections, available %v, answered %v at %v",
			e.consecutiveEjections, h.s.available(e), q.answered, h.now)
	}
	h.endAttempt(q, 0, Cancelled)
	h.advance(3 * sec)
	if heavy, light := h.s.hasCapacity(e, &query{group: h.s.groups[1]}), h.s.hasCapacity(e,
		&query{group: h.s.groups[0]}); heavy || !light {
		t.Fatalf("after the ejection: capacity for a heavy query %v, for a light one %v", heavy, light)
	}
	q = h.arrive(0, 2, -1, 5*sec)
	h.endAttempt(q, len(q.attempts)-1, Finished)
	if !h.s.hasCapacity(e, &query{group: h.s.groups[1]}) {
		t.Fatal("no capacity for a heavy query after a light one was answered")
	}
}

// If other queries finish on the engine, a stalled attempt waits for a load, and the engine isn't
// ejected.
func TestStalledAttemptBesideAnswersMarksLoad(t *testing.T) {
	h := newCoresOnlyHarness(t, 1, map[string]string{"group.1.late-share": "0.4", "may.probe": "false"})
	h.arrive(1, 1, -1, 60*sec)
	attempt := h.s.engines[0].inFlight[0]
	h.advance(100 * ms)
	attempt.engine.lastFinishAt = h.now
	if h.s.attemptStalled(attempt); !h.s.available(attempt.engine) || !h.s.loadRunning(attempt.engine, 1) ||
		h.s.loadRunning(attempt.engine, 2) {
		t.Fatalf("available %v, loads running %v", h.s.available(attempt.engine), attempt.engine.loadRunningUntil)
	}
}

// If notes come every 2 s and queries time out earlier, an engine that accepts queries and never
// answers is detected by its late attempts. It is ejected for no longer than its queries can wait.
func TestHungEngineIsEjectedBeforeFirstNote(t *testing.T) {
	h := newShortTimeoutHarness(t, 1, nil)
	e := h.s.engines[0]
	q := h.arrive(0, 1, -1, 290*ms)
	if len(q.attempts) != 1 {
		t.Fatal("query was not sent")
	}
	for h.now < 280*ms && e.consecutiveEjections == 0 {
		h.advance(10 * ms)
	}
	if e.consecutiveEjections != 1 || h.s.available(e) {
		t.Fatalf("%d ejections, available %v", e.consecutiveEjections, h.s.available(e))
	}
	if rest := e.ejectedUntil - h.now; rest > 600*ms {
		t.Fatalf("ejected for %v, more than two timeouts", rest)
	}
}

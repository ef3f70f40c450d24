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
		t.Fatalf("stood %d, ready %v, answered %v at %v", e.consecutiveEjections, h.s.available(e), q.answered,
			h.now)
	}
	h.endAttempt(q, 0, Cancelled)
	h.advance(3 * sec)
	if heavy, light := h.s.hasCapacity(e, &query{group: h.s.groups[1]}), h.s.hasCapacity(e,
		&query{group: h.s.groups[0]}); heavy || !light {
		t.Fatalf("tried next: a heavy one %v, a light one %v", heavy, light)
	}
	q = h.arrive(0, 2, -1, 5*sec)
	h.endAttempt(q, len(q.attempts)-1, Finished)
	if !h.s.hasCapacity(e, &query{group: h.s.groups[1]}) {
		t.Fatal("a light one came back, and heavy ones stay away")
	}
}

// Where others of one's own come back it is a load that is waited for, not the engine.
func TestStalledAttemptBesideAnswersMarksLoad(t *testing.T) {
	h := newCoresOnlyHarness(t, 1, map[string]string{"group.1.late-share": "0.4", "may.probe": "false"})
	h.arrive(1, 1, -1, 60*sec)
	attempt := h.s.engines[0].inFlight[0]
	h.advance(100 * ms)
	attempt.engine.lastFinishAt = h.now
	if h.s.attemptStalled(attempt); !h.s.available(attempt.engine) || !h.s.loadRunning(attempt.engine, 1) ||
		h.s.loadRunning(attempt.engine, 2) {
		t.Fatalf("ready %v, shut %v", h.s.available(attempt.engine), attempt.engine.loadRunningUntil)
	}
}

// Notes come every 2 s, and no query waits for one: an engine that takes all and says nothing is
// known by what is late there, and left alone, though no longer than its queries can wait for it.
func TestHungEngineIsEjectedBeforeFirstNote(t *testing.T) {
	h := newShortTimeoutHarness(t, 1, nil)
	e := h.s.engines[0]
	q := h.arrive(0, 1, -1, 290*ms)
	if len(q.attempts) != 1 {
		t.Fatal("not sent, and the test proves nothing")
	}
	for h.now < 280*ms && e.consecutiveEjections == 0 {
		h.advance(10 * ms)
	}
	if e.consecutiveEjections != 1 || h.s.available(e) {
		t.Fatalf("stood %d, ready %v", e.consecutiveEjections, h.s.available(e))
	}
	if rest := e.ejectedUntil - h.now; rest > 600*ms {
		t.Fatalf("left alone for %v, twice the time that any query has and more", rest)
	}
}

package scheduler

import (
	"testing"
)

func TestStalledAttemptEjectsEngine(t *testing.T) {
	w := newCoresOnlyWorld(t, 1, map[string]string{"group.1.late-share": "0.4", "may.probe": "false",
		"gateways": "2"})
	q := w.arrive(1, 1, -1, 60*sec)
	for w.pass(sec); w.s.engines[0].consecutiveEjections == 0 && w.now < 30*sec; w.pass(100 * ms) {
	}
	e := w.s.engines[0]
	if e.consecutiveEjections != 1 || w.s.available(e) || q.answered {
		t.Fatalf("stood %d, ready %v, answered %v at %v", e.consecutiveEjections, w.s.available(e), q.answered,
			w.now)
	}
	w.end(q, 0, Cancelled)
	w.pass(3 * sec)
	if heavy, light := w.s.hasCapacity(e, &query{group: w.s.groups[1]}), w.s.hasCapacity(e,
		&query{group: w.s.groups[0]}); heavy || !light {
		t.Fatalf("tried next: a heavy one %v, a light one %v", heavy, light)
	}
	q = w.arrive(0, 2, -1, 5*sec)
	w.end(q, len(q.attempts)-1, Finished)
	if !w.s.hasCapacity(e, &query{group: w.s.groups[1]}) {
		t.Fatal("a light one came back, and heavy ones stay away")
	}
}

// Where others of one's own come back it is a load that is waited for, not the engine.
func TestStalledAttemptBesideAnswersMarksLoad(t *testing.T) {
	w := newCoresOnlyWorld(t, 1, map[string]string{"group.1.late-share": "0.4", "may.probe": "false"})
	w.arrive(1, 1, -1, 60*sec)
	s := w.s.engines[0].inFlight[0]
	w.pass(100 * ms)
	s.engine.lastFinishAt = w.now
	if w.s.attemptStalled(s); !w.s.available(s.engine) || !w.s.loadRunning(s.engine, 1) ||
		w.s.loadRunning(s.engine, 2) {
		t.Fatalf("ready %v, shut %v", w.s.available(s.engine), s.engine.loadRunningUntil)
	}
}

// Notes come every 2 s, and no query waits for one: an engine that takes all and says nothing is
// known by what is late there, and left alone, though no longer than its queries can wait for it.
func TestHungEngineIsEjectedBeforeFirstNote(t *testing.T) {
	w := newImpatientWorld(t, 1, nil)
	e := w.s.engines[0]
	q := w.arrive(0, 1, -1, 290*ms)
	if len(q.attempts) != 1 {
		t.Fatal("not sent, and the test proves nothing")
	}
	for w.now < 280*ms && e.consecutiveEjections == 0 {
		w.pass(10 * ms)
	}
	if e.consecutiveEjections != 1 || w.s.available(e) {
		t.Fatalf("stood %d, ready %v", e.consecutiveEjections, w.s.available(e))
	}
	if rest := e.ejectedUntil - w.now; rest > 600*ms {
		t.Fatalf("left alone for %v, twice the time that any query has and more", rest)
	}
}

package scheduler

import (
	"testing"
)

func TestRoutingAvoidsEngineWhereTablesAreBlocked(t *testing.T) {
	h := newHarness(t, 2, nil)
	q := h.arrive(0, 1, -1, 10*sec)
	h.advance(2 * sec)
	attempt := h.s.openAttempt(q.id, 0)
	if !attempt.moving || !h.s.loadRunning(attempt.engine, 1) || h.s.loadRunning(attempt.engine, 2) {
		t.Fatalf("moved %v, loads running %v", attempt.moving, attempt.engine.loadRunningUntil)
	}
}

func TestLightQueriesPreferOwnLocation(t *testing.T) {
	h := newHarness(t, 8, map[string]string{"own.location": "1"})
	h.s.meanWorkSeconds, h.s.groups[0].workSeconds = movingAverage{1, 100}, movingAverage{0.2, 20}
	for range 30 {
		q := h.arrive(0, 3, -1, 5*sec)
		if e := h.engines[sentTo(q)]; e == nil || e.location != 1 {
			t.Fatalf("light query sent to %q at another location", sentTo(q))
		}
		h.endAttempt(q, 0, Finished)
	}
	for _, id := range h.engineIDs() {
		if h.engines[id].location == 1 {
			h.setState(id, EngineDraining)
		}
	}
	if q := h.arrive(0, 3, -1, 5*sec); sentTo(q) == "" {
		t.Fatal("query not sent although other locations have engines")
	}
}

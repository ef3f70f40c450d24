package scheduler

import (
	"testing"
)

func TestRoutingAvoidsEngineWhereTablesHang(t *testing.T) {
	w := newWorld(t, 2, nil)
	q := w.arrive(0, 1, -1, 10*sec)
	w.pass(2 * sec)
	s := w.s.openAttempt(q.id, 0)
	if !s.moving || !w.s.loadRunning(s.engine, 1) || w.s.loadRunning(s.engine, 2) {
		t.Fatalf("moved %v, shut %v", s.moving, s.engine.loadRunningUntil)
	}
}

func TestLightQueriesPreferOwnLocation(t *testing.T) {
	w := newWorld(t, 8, map[string]string{"own.location": "1"})
	w.s.meanWorkSeconds, w.s.groups[0].workSeconds = movingAverage{1, 100}, movingAverage{0.2, 20}
	for range 30 {
		q := w.arrive(0, 3, -1, 5*sec)
		if e := w.engines[sentTo(q)]; e == nil || e.location != 1 {
			t.Fatalf("sent to %q", sentTo(q))
		}
		w.end(q, 0, Finished)
	}
	for _, id := range w.ids() {
		if w.engines[id].location == 1 {
			w.set(id, EngineDraining)
		}
	}
	if q := w.arrive(0, 3, -1, 5*sec); sentTo(q) == "" {
		t.Fatal("held for a location that has gone")
	}
}

package scheduler

import (
	"slices"
	"testing"
)

// A crowded engine, quiet for one's own few queries, was taken as lost, then as cold.
func TestHealthCheckKeepsQuietEngineResponsive(t *testing.T) {
	w := newWorld(t, 2, map[string]string{"note.period": "0"})
	w.arrive(1, 1, -1, 15*sec)
	w.pass(12 * sec)
	for _, e := range w.s.engines {
		if e.unresponsive || e.warmingUntil > 0 {
			t.Fatalf("%s taken as lost", e.id)
		}
	}
}

func TestQueryGoesToHealthCheckedEngineInLargeFleet(t *testing.T) {
	w := newLargeFleet(t, 30)
	w.s.meanWorkSeconds.add(1, 1)
	w.s.healthCheckTokens = 3
	q := w.arrive(1, 1, -1, 15*sec)
	if len(q.attempts) != 0 || len(w.probes) != 2 {
		t.Fatalf("sent %d times before %d looks", len(q.attempts), len(w.probes))
	}
	full, free := w.probes[0], w.probes[1]
	w.report(full, map[string]float64{"held": 60})
	w.report(free, map[string]float64{"held": 1})
	if sentTo(q) != free {
		t.Fatalf("sent to %q, not %q", sentTo(q), free)
	}
}

// Queries that wait for one look don't all go to the engine seen free: other gateways saw the same.
func TestBurstIsSpreadOverHealthCheckedEngines(t *testing.T) {
	w := newLargeFleet(t, 30)
	w.s.meanWorkSeconds.add(1, 1)
	w.s.healthCheckTokens = 6
	to := map[string]int{}
	var burst []*clientQuery
	for i := range 6 {
		burst = append(burst, w.arrive(0, int64(i), -1, 5*sec))
	}
	for i := 0; i < len(w.probes); i++ {
		w.pass(ms)
		w.report(w.probes[i], map[string]float64{"held": 1})
	}
	for _, q := range burst {
		if to[sentTo(q)]++; sentTo(q) == "" || to[sentTo(q)] > 2 {
			t.Fatalf("sent to %q, %v of six there, %d looks", sentTo(q), to[sentTo(q)], len(w.probes))
		}
	}
}

func TestEngineRestsAfterFailedHealthCheck(t *testing.T) {
	w := newLargeFleet(t, 2)
	w.s.HealthCheckEnded(w.now, "e0", TimedOut, nil)
	for range 5 {
		w.arrive(0, 1, -1, 5*sec)
	}
	if slices.Contains(w.probes, "e0") {
		t.Fatal("looked at again at once")
	}
}

// Where no look may tell, an engine with one light query out was held for silent long before its first
// note was due, and the query called off.
func TestUnresponsiveIsJudgedByNotesWithoutHealthChecks(t *testing.T) {
	w := newWorld(t, 1, map[string]string{"may.probe": "false", "note.period": "2000"})
	w.arrive(0, 1, -1, 60*sec)
	if w.pass(3 * sec); w.s.engines[0].unresponsive {
		t.Fatal("silent before a note was due for certain")
	}
	if w.pass(2 * sec); !w.s.engines[0].unresponsive {
		t.Fatal("two notes missed, and not silent")
	}
}

// Late on an engine with idle cores beside busy ones: moved long before four times its time.
func TestLateAttemptOnIdleEngineIsMoved(t *testing.T) {
	w := newCoresOnlyWorld(t, 2, nil)
	for range 30 {
		w.report("e0", map[string]float64{"cores": 0.6})
		w.report("e1", map[string]float64{"cores": 0.6})
	}
	w.s.meanWorkSeconds.value = 1
	w.arrive(1, 1, -1, 60*sec)
	i := slices.IndexFunc(w.s.engines, func(e *engine) bool { return len(e.inFlight) > 0 })
	e := w.s.engines[i]
	s := e.inFlight[0]
	for !s.moving && w.now < 3*sec {
		w.pass(100 * ms)
		w.report(e.id, map[string]float64{"cores": 0.05})
	}
	if !s.moving || w.now > 2*sec {
		t.Fatalf("moved %v at %v", s.moving, w.now)
	}
}

// Among hundreds of gateways one's own queries tell nothing of an engine.
func newLargeFleet(t *testing.T, engines int) *world {
	return newWorld(t, engines, map[string]string{"gateways": "300", "report.how": "probed",
		"cold.span": "9000"})
}

package scheduler

import (
	"slices"
	"testing"
)

// A crowded engine, quiet for one's own few queries, was taken as lost, then as cold.
func TestHealthCheckKeepsQuietEngineResponsive(t *testing.T) {
	h := newHarness(t, 2, map[string]string{"note.period": "0"})
	h.arrive(1, 1, -1, 15*sec)
	h.advance(12 * sec)
	for _, e := range h.s.engines {
		if e.unresponsive || e.warmupEndsAt > 0 {
			t.Fatalf("%s taken as lost", e.id)
		}
	}
}

func TestQueryGoesToHealthCheckedEngineInLargeFleet(t *testing.T) {
	h := newLargeFleet(t, 30)
	h.s.meanWorkSeconds.add(1, 1)
	h.s.healthCheckTokens = 3
	q := h.arrive(1, 1, -1, 15*sec)
	if len(q.attempts) != 0 || len(h.healthChecks) != 2 {
		t.Fatalf("sent %d times before %d looks", len(q.attempts), len(h.healthChecks))
	}
	full, free := h.healthChecks[0], h.healthChecks[1]
	h.reportLoad(full, map[string]float64{"held": 60})
	h.reportLoad(free, map[string]float64{"held": 1})
	if sentTo(q) != free {
		t.Fatalf("sent to %q, not %q", sentTo(q), free)
	}
}

// Queries that wait for one look don't all go to the engine seen free: other gateways saw the same.
func TestBurstIsSpreadOverHealthCheckedEngines(t *testing.T) {
	h := newLargeFleet(t, 30)
	h.s.meanWorkSeconds.add(1, 1)
	h.s.healthCheckTokens = 6
	to := map[string]int{}
	var burst []*clientQuery
	for i := range 6 {
		burst = append(burst, h.arrive(0, int64(i), -1, 5*sec))
	}
	for i := 0; i < len(h.healthChecks); i++ {
		h.advance(ms)
		h.reportLoad(h.healthChecks[i], map[string]float64{"held": 1})
	}
	for _, q := range burst {
		if to[sentTo(q)]++; sentTo(q) == "" || to[sentTo(q)] > 2 {
			t.Fatalf("sent to %q, %v of six there, %d looks", sentTo(q), to[sentTo(q)], len(h.healthChecks))
		}
	}
}

func TestEngineRestsAfterFailedHealthCheck(t *testing.T) {
	h := newLargeFleet(t, 2)
	h.s.HealthCheckEnded(h.now, "e0", TimedOut, nil)
	for range 5 {
		h.arrive(0, 1, -1, 5*sec)
	}
	if slices.Contains(h.healthChecks, "e0") {
		t.Fatal("looked at again at once")
	}
}

// Where no look may tell, an engine with one light query out was held for silent long before its first
// note was due, and the query called off.
func TestUnresponsiveIsJudgedByNotesWithoutHealthChecks(t *testing.T) {
	h := newHarness(t, 1, map[string]string{"may.probe": "false", "note.period": "2000"})
	h.arrive(0, 1, -1, 60*sec)
	if h.advance(3 * sec); h.s.engines[0].unresponsive {
		t.Fatal("silent before a note was due for certain")
	}
	if h.advance(2 * sec); !h.s.engines[0].unresponsive {
		t.Fatal("two notes missed, and not silent")
	}
}

// Late on an engine with idle cores beside busy ones: moved long before four times its time.
func TestLateAttemptOnIdleEngineIsMoved(t *testing.T) {
	h := newCoresOnlyHarness(t, 2, nil)
	for range 30 {
		h.reportLoad("e0", map[string]float64{"cores": 0.6})
		h.reportLoad("e1", map[string]float64{"cores": 0.6})
	}
	h.s.meanWorkSeconds.value = 1
	h.arrive(1, 1, -1, 60*sec)
	i := slices.IndexFunc(h.s.engines, func(e *engine) bool { return len(e.inFlight) > 0 })
	e := h.s.engines[i]
	attempt := e.inFlight[0]
	for !attempt.moving && h.now < 3*sec {
		h.advance(100 * ms)
		h.reportLoad(e.id, map[string]float64{"cores": 0.05})
	}
	if !attempt.moving || h.now > 2*sec {
		t.Fatalf("moved %v at %v", attempt.moving, h.now)
	}
}

// Among hundreds of gateways one's own queries tell nothing of an engine.
func newLargeFleet(t *testing.T, engines int) *harness {
	return newHarness(t, engines, map[string]string{"gateways": "300", "report.how": "probed",
		"cold.span": "9000"})
}

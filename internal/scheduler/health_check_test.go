package scheduler

import (
	"slices"
	"testing"
)

// A crowded engine on which a controller had few queries was silent for long. It was taken for
// lost, and afterwards for a new process that had to warm up.
func TestHealthCheckKeepsQuietEngineResponsive(t *testing.T) {
	h := newHarness(t, 2, map[string]string{"note.period": "0"})
	h.arrive(1, 1, -1, 15*sec)
	h.advance(12 * sec)
	for _, e := range h.s.engines {
		if e.unresponsive || e.warmupEndsAt > 0 {
			t.Fatalf("%s is unresponsive or warming up", e.id)
		}
	}
}

func TestQueryGoesToHealthCheckedEngineInLargeFleet(t *testing.T) {
	h := newLargeFleet(t, 30)
	h.s.meanWorkSeconds.add(1, 1)
	h.s.healthCheckTokens = 3
	q := h.arrive(1, 1, -1, 15*sec)
	if len(q.attempts) != 0 || len(h.healthChecks) != 2 {
		t.Fatalf("sent %d times, with %d health checks", len(q.attempts), len(h.healthChecks))
	}
	full, free := h.healthChecks[0], h.healthChecks[1]
	h.reportLoad(full, map[string]float64{"held": 60})
	h.reportLoad(free, map[string]float64{"held": 1})
	if sentTo(q) != free {
		t.Fatalf("sent to %q, want %q", sentTo(q), free)
	}
}

// Queries that wait for the same load report must not all go to the engine that it shows free,
// because other controllers have seen the same report.
func TestBurstIsSpreadOverHealthCheckedEngines(t *testing.T) {
	h := newLargeFleet(t, 30)
	h.s.meanWorkSeconds.add(1, 1)
	h.s.healthCheckTokens = 6
	sentByEngine := map[string]int{}
	var burst []*clientQuery
	for i := range 6 {
		burst = append(burst, h.arrive(0, int64(i), -1, 5*sec))
	}
	for i := 0; i < len(h.healthChecks); i++ {
		h.advance(ms)
		h.reportLoad(h.healthChecks[i], map[string]float64{"held": 1})
	}
	for _, q := range burst {
		if sentByEngine[sentTo(q)]++; sentTo(q) == "" || sentByEngine[sentTo(q)] > 2 {
			t.Fatalf("sent to %q, which got %v of six; %d health checks",
				sentTo(q), sentByEngine[sentTo(q)], len(h.healthChecks))
		}
	}
}

func TestEngineIsEjectedAfterFailedHealthCheck(t *testing.T) {
	h := newLargeFleet(t, 2)
	h.s.HealthCheckEnded(h.now, "e0", TimedOut, nil)
	for range 5 {
		h.arrive(0, 1, -1, 5*sec)
	}
	if slices.Contains(h.healthChecks, "e0") {
		t.Fatal("engine checked again at once")
	}
}

// Without health checks, an engine with one light query counted as unresponsive long before its
// first note was due, and the query was cancelled.
func TestMissedNotesMakeEngineUnresponsiveWithoutHealthChecks(t *testing.T) {
	h := newHarness(t, 1, map[string]string{"may.probe": "false", "note.period": "2000"})
	h.arrive(0, 1, -1, 60*sec)
	if h.advance(3 * sec); h.s.engines[0].unresponsive {
		t.Fatal("unresponsive before its first note was due")
	}
	if h.advance(2 * sec); !h.s.engines[0].unresponsive {
		t.Fatal("not unresponsive after two missed notes")
	}
}

// An attempt that is late on an idle engine while other engines are busy is moved long before four
// times its expected run time.
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

// newLargeFleet returns a harness with 300 controllers, where a controller's own queries don't show
// how full an engine is.
func newLargeFleet(t *testing.T, engines int) *harness {
	return newHarness(t, engines, map[string]string{"gateways": "300", "report.how": "probed",
		"cold.span": "9000"})
}

package scheduler

import (
	"testing"
)

func TestSlowStartChanceSumsToPartOfLimit(t *testing.T) {
	h := newLargeFleet(t, 30)
	h.advance(sec)
	h.restartEngine("e0")
	// a fifth is this group's
	h.s.recentWorkSeconds, h.s.groups[0].recentArrivals, h.s.meanWorkSeconds.value = 10, 4, 1
	n := 0
	for i := range 3000 {
		if h.s.slowStartAllows(&query{group: h.s.groups[0], sequence: uint64(i)}, h.s.enginesByID["e0"]) {
			n++
		}
	}
	// 30 engines do 240 s of work a second, a fifth of it this group's; 6.7 is the limit
	if sum := 240 * 0.2 * float64(n) / 3000; sum < 1 || sum > 3.5 {
		t.Fatalf("%.1f s of work a second by chance", sum)
	}
}

// Each light query that went to a cold engine was looked ahead for, though its chance alone
// leaves room there: a probe a query, priced over the whole fleet.
func TestWarmingEngineGetsLightQueriesWithoutHealthCheck(t *testing.T) {
	h := newHarness(t, 40, map[string]string{"gateways": "300", "report.how": "probed"})
	ask := func() *clientQuery {
		h.advance(20 * ms)
		for _, id := range []string{"e8", "e9"} { // two warm ones with room are known
			h.reportLoad(id, map[string]float64{"held": 2})
		}
		h.healthChecks = nil
		return h.arrive(0, 1, -1, 5*sec)
	}
	h.arrive(1, 1, -1, 15*sec) // beside which lookups are light
	for range 40 {
		h.endAttempt(ask(), 0, Finished)
	}
	for _, id := range h.engineIDs()[:20] {
		h.restartEngine(id)
	}
	went := 0
	for range 400 {
		q := ask()
		if len(q.attempts) != 1 || len(h.healthChecks) > 0 {
			t.Fatalf("sent %d times, %d looks", len(q.attempts), len(h.healthChecks))
		}
		if h.engines[q.attempts[0].engine].startedAt > 0 {
			went++
		}
		h.endAttempt(q, 0, Finished)
	}
	if went < 50 {
		t.Fatalf("%d of 400 went to cold engines, half of all", went)
	}
}

// Small engines among large ones: chances by one engine's cores times their number were off by their ratio.
func TestSlowStartChanceIsByAllCores(t *testing.T) {
	h := newHarness(t, 12, map[string]string{"gateways": "300", "kind.cores": "4,28", "cold.span": "9000"})
	h.advance(sec)
	h.restartEngine("e0") // of 4 cores; the others do as much as 12 of 16
	h.s.recentWorkSeconds, h.s.groups[0].recentArrivals, h.s.meanWorkSeconds.value = 10, 4, 1
	n := 0
	for i := range 3000 {
		if h.s.slowStartAllows(&query{group: h.s.groups[0], sequence: uint64(i)}, h.s.enginesByID["e0"]) {
			n++
		}
	}
	// 192 cores do as much work a second, a fifth of it this group's; 3.4 is the limit, three tenths of it
	// the part
	if sum := 192 * 0.2 * float64(n) / 3000; sum > 1.5 {
		t.Fatalf("%.1f s of work a second by chance", sum)
	}
}

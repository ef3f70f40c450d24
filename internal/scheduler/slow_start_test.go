package scheduler

import (
	"testing"
)

func TestSlowStartChanceSumsToPartOfLimit(t *testing.T) {
	h := newLargeFleet(t, 30)
	h.advance(sec)
	h.restartEngine("e0")
	// a fifth of the work is this group's
	h.s.recentWorkSeconds, h.s.groups[0].recentArrivals, h.s.meanWorkSeconds.value = 10, 4, 1
	n := 0
	for i := range 3000 {
		if h.s.slowStartAllows(&query{group: h.s.groups[0], sequence: uint64(i)}, h.s.enginesByID["e0"]) {
			n++
		}
	}
	// 30 engines do 240 s of work per second, a fifth of it this group's; the limit is 6.7.
	if sum := 240 * 0.2 * float64(n) / 3000; sum < 1 || sum > 3.5 {
		t.Fatalf("chances allow %.1f s of work per second", sum)
	}
}

// Each light query for a warming engine waited for a health check, although its chance alone limits
// the load. That cost a health check per query over the whole fleet.
func TestWarmingEngineGetsLightQueriesWithoutHealthCheck(t *testing.T) {
	h := newHarness(t, 40, map[string]string{"gateways": "300", "report.how": "probed"})
	arriveWithReports := func() *clientQuery {
		h.advance(20 * ms)
		for _, id := range []string{"e8", "e9"} { // two engines that aren't warming up are known to have capacity
			h.reportLoad(id, map[string]float64{"held": 2})
		}
		h.healthChecks = nil
		return h.arrive(0, 1, -1, 5*sec)
	}
	h.arrive(1, 1, -1, 15*sec) // compared with it, queries of group 0 are light
	for range 40 {
		h.endAttempt(arriveWithReports(), 0, Finished)
	}
	for _, id := range h.engineIDs()[:20] {
		h.restartEngine(id)
	}
	sentToWarming := 0
	for range 400 {
		q := arriveWithReports()
		if len(q.attempts) != 1 || len(h.healthChecks) > 0 {
			t.Fatalf("sent %d times, %d health checks", len(q.attempts), len(h.healthChecks))
		}
		if h.engines[q.attempts[0].engine].startedAt > 0 {
			sentToWarming++
		}
		h.endAttempt(q, 0, Finished)
	}
	if sentToWarming < 50 {
		t.Fatalf("%d of 400 queries sent to warming engines, which are half of all", sentToWarming)
	}
}

// With engines of different sizes, chances that were computed from one engine's cores times the
// number of engines were wrong by the ratio of the sizes.
func TestSlowStartChanceIsByAllCores(t *testing.T) {
	h := newHarness(t, 12, map[string]string{"gateways": "300", "kind.cores": "4,28", "cold.span": "9000"})
	h.advance(sec)
	h.restartEngine("e0") // has 4 cores; the others have as many as 12 engines of 16
	h.s.recentWorkSeconds, h.s.groups[0].recentArrivals, h.s.meanWorkSeconds.value = 10, 4, 1
	n := 0
	for i := range 3000 {
		if h.s.slowStartAllows(&query{group: h.s.groups[0], sequence: uint64(i)}, h.s.enginesByID["e0"]) {
			n++
		}
	}
	// 192 cores do as much work per second, a fifth of it this group's. The limit is 3.4, of which
	// light queries' chances may use three tenths.
	if sum := 192 * 0.2 * float64(n) / 3000; sum > 1.5 {
		t.Fatalf("chances allow %.1f s of work per second", sum)
	}
}

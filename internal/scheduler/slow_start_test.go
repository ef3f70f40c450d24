package scheduler

import (
	"testing"
)

func TestSlowStartChanceSumsToPartOfLimit(t *testing.T) {
	h := newLargeFleet(t, 30)
	h.advance(sec)
	h.restartEngine("e0")
	// group 0 has a fifth of the work: 4 arrivals of 0.5 s each, of 10 s
	h.s.recentWorkSeconds, h.s.groups[0].recentArrivals, h.s.meanWorkSeconds.value = 10, 4, 1
	n := 0
	for i := range 3000 {
		if h.s.slowStartAllows(&query{group: h.s.groups[0], sequence: uint64(i)}, h.s.enginesByID["e0"]) {
			n++
		}
	}
	// 30 engines of 8 cores do 240 s of work per second, a fifth of it this group's. The limit for
	// e0 in the window of 1 s is 3 x 0.33 x 0.85 x 8 = 6.7 s of work, of which the chances of light
	// queries may use three tenths, 2 s. The test accepts 1 to 3.5 s.
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
	h.restartEngine("e0") // 4 cores; all 12 engines together have 12 x 16
	h.s.recentWorkSeconds, h.s.groups[0].recentArrivals, h.s.meanWorkSeconds.value = 10, 4, 1
	n := 0
	for i := range 3000 {
		if h.s.slowStartAllows(&query{group: h.s.groups[0], sequence: uint64(i)}, h.s.enginesByID["e0"]) {
			n++
		}
	}
	// 192 cores do 192 s of work per second, a fifth of it this group's. The limit for e0 in the
	// window of 1 s is 3 x 0.33 x 0.85 x 4 = 3.4 s of work, of which the chances of light queries
	// may use three tenths, 1 s.
	if sum := 192 * 0.2 * float64(n) / 3000; sum > 1.5 {
		t.Fatalf("chances allow %.1f s of work per second", sum)
	}
}

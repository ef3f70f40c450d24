package scheduler

import (
	"testing"
)

func TestSlowStartChanceSumsToPartOfLimit(t *testing.T) {
	w := newLargeFleet(t, 30)
	w.pass(sec)
	w.restart("e0")
	// a fifth is this group's
	w.s.recentWorkSeconds, w.s.groups[0].recentArrivals, w.s.meanWorkSeconds.value = 10, 4, 1
	n := 0
	for i := range 3000 {
		if w.s.slowStartAllows(&query{group: w.s.groups[0], seq: uint64(i)}, w.s.enginesByID["e0"]) {
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
	w := newWorld(t, 40, map[string]string{"gateways": "300", "report.how": "probed"})
	ask := func() *clientQuery {
		w.pass(20 * ms)
		for _, id := range []string{"e8", "e9"} { // two warm ones with room are known
			w.report(id, map[string]float64{"held": 2})
		}
		w.probes = nil
		return w.arrive(0, 1, -1, 5*sec)
	}
	w.arrive(1, 1, -1, 15*sec) // beside which lookups are light
	for range 40 {
		w.end(ask(), 0, Finished)
	}
	for _, id := range w.ids()[:20] {
		w.restart(id)
	}
	went := 0
	for range 400 {
		q := ask()
		if len(q.attempts) != 1 || len(w.probes) > 0 {
			t.Fatalf("sent %d times, %d looks", len(q.attempts), len(w.probes))
		}
		if w.engines[q.attempts[0].engine].started > 0 {
			went++
		}
		w.end(q, 0, Finished)
	}
	if went < 50 {
		t.Fatalf("%d of 400 went to cold engines, half of all", went)
	}
}

// Small engines among large ones: chances by one engine's cores times their number were off by their ratio.
func TestSlowStartChanceIsByAllCores(t *testing.T) {
	w := newWorld(t, 12, map[string]string{"gateways": "300", "kind.cores": "4,28", "cold.span": "9000"})
	w.pass(sec)
	w.restart("e0") // of 4 cores; the others do as much as 12 of 16
	w.s.recentWorkSeconds, w.s.groups[0].recentArrivals, w.s.meanWorkSeconds.value = 10, 4, 1
	n := 0
	for i := range 3000 {
		if w.s.slowStartAllows(&query{group: w.s.groups[0], seq: uint64(i)}, w.s.enginesByID["e0"]) {
			n++
		}
	}
	// 192 cores do as much work a second, a fifth of it this group's; 3.4 is the limit, three tenths of it
	// the part
	if sum := 192 * 0.2 * float64(n) / 3000; sum > 1.5 {
		t.Fatalf("%.1f s of work a second by chance", sum)
	}
}

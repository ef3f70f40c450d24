package scheduler

import (
	"fmt"
	"testing"
	"time"
)

func TestCapacityLimitBindsUnderPressureOnly(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.reportLoad("e0", map[string]float64{"held": 0})
	h.advance(100 * ms) // updates the own share by the report
	for range 11 {
		h.arrive(0, 5, -1, 5*sec)
	}
	if n := len(h.actions); n != 11 {
		t.Fatalf("engine without pressure got %d of 11 queries", n)
	}
	h.reportLoad("e0", map[string]float64{"held": 60})
	waiting := h.arrive(0, 5, -1, 5*sec)
	if len(waiting.attempts) != 0 {
		t.Fatal("engine under pressure got more than cores x 2 x own share")
	}
	h.engines["e9"] = &listedEngine{id: "e9"}
	h.listEngines(false, "e9")
	if sentTo(waiting) != "e9" {
		t.Fatalf("waiting query sent to %q, not to the new engine", sentTo(waiting))
	}
}

func TestOwnShareCountsEnginesWithoutOwnQueries(t *testing.T) {
	h := newHarness(t, 2, nil)
	q := h.arrive(1, 1, -1, 15*sec)
	for range 40 {
		h.reportLoad("e0", map[string]float64{"held": 4})
		h.reportLoad("e1", map[string]float64{"held": 4})
	}
	if x := h.s.estimateOwnShare(); x > 0.13 {
		t.Fatalf("own share is %.2f with one of eight queries (on %s)", x, sentTo(q))
	}
}

func TestCapacityLimitLeavesPartToHigherRankedGroups(t *testing.T) {
	h := newHarness(t, 1, map[string]string{"gateways": "1"})
	h.s.engines[0].slowdown = 9
	for range 9 {
		h.arrive(1, 1, -1, 15*sec)
	}
	if n := len(h.actions); n != 4 || len(h.arrive(0, 1, -1, 5*sec).attempts) != 1 {
		t.Fatalf("%d long queries sent instead of 4, or the short one had no capacity", n)
	}
}

// One query of every controller on each engine would be far too many, but a controller without any
// query in flight must be able to send one.
func TestTotalLimitBindsHeavyQueriesWhenShareIsUnderOneQuery(t *testing.T) {
	h := newLargeFleet(t, 4)
	e, q := h.s.engines[0], &query{group: h.s.groups[1]}
	h.reportLoad("e0", map[string]float64{"held": 2})
	h.s.meanWorkSeconds.value, h.s.reportedUtilization.value = 1, 0.8
	if !h.s.hasCapacity(e, q) {
		t.Fatal("no capacity for a controller without attempts in flight")
	}
	h.s.engines[1].threadsInFlight, h.s.engines[1].inFlight, h.s.totalsOutdated = 3, []*attempt{{query: q}}, true
	if h.s.hasCapacity(e, q) || !h.s.hasCapacity(e, &query{group: h.s.groups[0]}) {
		t.Fatal("a second heavy query had capacity, or a light one had none")
	}
}

// The total limit was computed from the cores of one engine times the number of engines, so that a
// heavy query never fitted on a small engine.
func TestTotalLimitCountsCoresOfAllKinds(t *testing.T) {
	h := newCoresOnlyHarness(t, 2, map[string]string{"kind.cores": "8,24", "gateways": "40"})
	h.reportLoad("e0", map[string]float64{"cores": 0.5})
	h.reportLoad("e1", map[string]float64{"cores": 0.5})
	h.s.meanWorkSeconds.value = 0.1
	q := &query{group: h.s.groups[1]}
	h.s.groups[1].threads = 0.5
	h.s.engines[1].threadsInFlight, h.s.engines[1].inFlight, h.s.totalsOutdated = 0.4, []*attempt{{query: q,
		threads: 0.4}}, true
	// The total limit is 2 x 32 / 40 x 0.9 = 1.4 threads; by the small engine's cores it would be
	// 0.7.
	if !h.s.hasCapacity(h.s.engines[0], q) {
		t.Fatal("no capacity on the small engine at less than the total limit")
	}
	h.s.engines[1].threadsInFlight, h.s.totalsOutdated = 1.2, true
	if h.s.hasCapacity(h.s.engines[0], q) {
		t.Fatal("capacity beyond the total limit")
	}
}

// One query of four threads from each of eight controllers is twice the limit of an engine with 8
// cores.
func TestLargeQueriesAreAssignedByControllerIndex(t *testing.T) {
	for _, c := range []struct {
		part float64
		want int
	}{{0.5, 4}, {1, 8}, {2, 8}, {0.13, 1}} {
		n := 0
		for i := range 8 {
			h := newHarness(t, 1, map[string]string{"gateways": "8", "own.number": fmt.Sprint(i)})
			if h.s.assignedByIndex(h.s.engines[0], c.part) {
				n++
			}
		}
		if n != c.want {
			t.Errorf("%d of 8 controllers selected at %v queries per controller, want %d", n, c.part, c.want)
		}
	}
}

// If engines report nothing, an even share is kept on average and not at each moment. An estimated
// utilization doesn't hold back light queries of the cheapest group.
func TestEvenShareIsKeptOnAverage(t *testing.T) {
	h := newHarness(t, 10, map[string]string{"gateways": "40", "may.probe": "false", "report.how": "off",
		"note.period": "0"})
	h.s.groups[0].threadSecondsUsed.add(0.2, 100) // cheapest for its weight
	h.advance(sec)
	even := 1.0 / 40
	few := newHarness(t, 10, map[string]string{"gateways": "2", "may.probe": "false", "report.how": "off",
		"note.period": "0"})
	few.advance(sec)
	// With two controllers, half of all threads are many queries, whose number hardly varies.
	if h.s.ownShare < 4*even || few.s.ownShare > 0.65 {
		t.Fatalf("unused share is %.3f, the even share %.3f", h.s.ownShare, even)
	}
	// 2 threads on each of 80 cores for 40 controllers: 4 are this controller's share. The attempts
	// stay in flight.
	for _, e := range h.s.engines[:2] {
		e.threadsInFlight, e.inFlight = 3, []*attempt{{query: &query{group: h.s.groups[1]}, engine: e, threads: 3,
			sentAt: time.Hour}}
	}
	h.s.totalsOutdated = true
	for range 300 {
		h.s.tick()
	}
	if h.s.ownShare != even {
		t.Fatalf("overused share is %.3f, the even share %.3f", h.s.ownShare,
			even)
	}
	e := h.s.engines[0]
	e.threadsInFlight = 3
	light, heavy := &query{group: h.s.groups[0]}, &query{group: h.s.groups[1]}
	h.s.meanWorkSeconds.value = 1 + h.s.typicalWorkSeconds(light.group)
	if full := h.s.utilization(e); full < 0.85 || full > 1.7 || h.s.underPressure(e, light) ||
		!h.s.underPressure(e, heavy) {
		t.Fatalf("estimated utilization %.2f: under pressure for light queries %v, for heavy ones %v",
			full, h.s.underPressure(e,
				light), h.s.underPressure(e, heavy))
	}
}

// If engines report with answers only, the mean of the engines that reported is an estimate for the
// others. It doesn't hold back light queries of the cheapest group either.
func TestEstimatedUtilizationAdmitsCheapestGroup(t *testing.T) {
	h := newHarness(t, 4, map[string]string{"gateways": "300", "may.probe": "false", "report.how": "answers",
		"report.figures": "held"})
	h.s.groups[0].threadSecondsUsed.add(0.2, 100)
	h.advance(sec)
	for range 30 {
		h.reportLoad("e0", map[string]float64{"held": 20})
	}
	h.s.meanWorkSeconds.value = 1 + h.s.typicalWorkSeconds(h.s.groups[0])
	if e := h.s.engines[1]; h.s.utilization(e) < 1 || h.s.underPressure(e, &query{group: h.s.groups[0]}) ||
		!h.s.underPressure(e, &query{group: h.s.groups[1]}) {
		t.Fatalf("estimated utilization %.2f: under pressure for light queries %v, for heavy ones %v",
			h.s.utilization(e),
			h.s.underPressure(e, &query{group: h.s.groups[0]}), h.s.underPressure(e, &query{group: h.s.groups[1]}))
	}
	if h.s.settings.ReportsCountQueries = false; !h.s.underPressure(h.s.engines[1],
		&query{group: h.s.groups[0]}) {
		t.Fatal("no pressure for a light query although busy cores are reported")
	}
}

package scheduler

import (
	"fmt"
	"testing"
	"time"
)

func TestCapacityLimitBindsUnderPressureOnly(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.reportLoad("e0", map[string]float64{"held": 0})
	h.advance(100 * ms) // now that engines tell, one's part is by that
	for range 11 {
		h.arrive(0, 5, -1, 5*sec)
	}
	if n := len(h.actions); n != 11 {
		t.Fatalf("unpressed engine got %d of 11", n)
	}
	h.reportLoad("e0", map[string]float64{"held": 60})
	held := h.arrive(0, 5, -1, 5*sec)
	if len(held.attempts) != 0 {
		t.Fatal("pressed engine got more than the bound of cores x 2 x share")
	}
	h.engines["e9"] = &listedEngine{id: "e9"}
	h.listEngines(false, "e9")
	if sentTo(held) != "e9" {
		t.Fatalf("another ready engine not used: %q", sentTo(held))
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
		t.Fatalf("one query of eight is a share of %.2f (%s)", x, sentTo(q))
	}
}

func TestCapacityLimitLeavesPartToHigherRankedGroups(t *testing.T) {
	h := newHarness(t, 1, map[string]string{"gateways": "1"})
	h.s.engines[0].slowdown = 9
	for range 9 {
		h.arrive(1, 1, -1, 15*sec)
	}
	if n := len(h.actions); n != 4 || len(h.arrive(0, 1, -1, 5*sec).attempts) != 1 {
		t.Fatalf("%d long queries sent, the short one held", n)
	}
}

// Every gateway with one query on every engine is far too many; none at all is no use.
func TestCapacityLimitUnderOneQueryBindsInMeanOnHeavyQueries(t *testing.T) {
	h := newLargeFleet(t, 4)
	e, q := h.s.engines[0], &query{group: h.s.groups[1]}
	h.reportLoad("e0", map[string]float64{"held": 2})
	h.s.meanWorkSeconds.value, h.s.reportedUtilization.value = 1, 0.8
	if !h.s.hasCapacity(e, q) {
		t.Fatal("nothing out, and no room")
	}
	h.s.engines[1].threadsInFlight, h.s.engines[1].inFlight, h.s.totalsOutdated = 3, []*attempt{{query: q}}, true
	if h.s.hasCapacity(e, q) || !h.s.hasCapacity(e, &query{group: h.s.groups[0]}) {
		t.Fatal("a second long query let in, or a short one held")
	}
}

// hasRoom took one engine's cores times their number for the bound of all: small ones
// never had room for a heavy query.
func TestMeanCapacityLimitCountsCoresOfAllKinds(t *testing.T) {
	h := newCoresOnlyHarness(t, 2, map[string]string{"kind.cores": "8,24", "gateways": "40"})
	h.reportLoad("e0", map[string]float64{"cores": 0.5})
	h.reportLoad("e1", map[string]float64{"cores": 0.5})
	h.s.meanWorkSeconds.value = 0.1
	q := &query{group: h.s.groups[1]}
	h.s.groups[1].threads = 0.5
	h.s.engines[1].threadsInFlight, h.s.engines[1].inFlight, h.s.totalsOutdated = 0.4, []*attempt{{query: q,
		threads: 0.4}}, true
	// the bound of all is 2 x 32 / 40 x 0.9 = 1.4 threads; by the small engine's cores it would be 0.7
	if !h.s.hasCapacity(h.s.engines[0], q) {
		t.Fatal("no room on the small engine with half of the bound in use")
	}
	h.s.engines[1].threadsInFlight, h.s.totalsOutdated = 1.2, true
	if h.s.hasCapacity(h.s.engines[0], q) {
		t.Fatal("room beyond the bound of all")
	}
}

// Eight gateways with one query of four threads each on 8 cores is twice the bound.
func TestLargeQueriesAreAssignedByControllerNumber(t *testing.T) {
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
			t.Errorf("%d of 8 gateways at %v of a query each, %d wanted", n, c.part, c.want)
		}
	}
}

// Where nothing tells what engines hold, an even part is held to in the mean and not at each moment, and
// by a mere guess of how full they are a light query worth most for its work isn't turned away.
func TestEvenShareIsKeptInTheMean(t *testing.T) {
	h := newHarness(t, 10, map[string]string{"gateways": "40", "may.probe": "false", "report.how": "off",
		"note.period": "0"})
	h.s.groups[0].threadSecondsUsed.add(0.2, 100) // worth most for what it takes
	h.advance(sec)
	even := 1.0 / 40
	few := newHarness(t, 10, map[string]string{"gateways": "2", "may.probe": "false", "report.how": "off",
		"note.period": "0"})
	few.advance(sec)
	// half of all engines' threads are many queries, which hardly vary
	if h.s.ownShare < 4*even || few.s.ownShare > 0.65 {
		t.Fatalf("nothing used of late, and a part of %.3f where an even one is %.3f", h.s.ownShare, even)
	}
	// 2 threads on each of 80 cores for 40 gateways: 4 are one's own; they are in use for long
	for _, e := range h.s.engines[:2] {
		e.threadsInFlight, e.inFlight = 3, []*attempt{{query: &query{group: h.s.groups[1]}, engine: e, threads: 3,
			sentAt: time.Hour}}
	}
	h.s.totalsOutdated = true
	for range 300 {
		h.s.tick()
	}
	if h.s.ownShare != even {
		t.Fatalf("more than the part in use for long, and a part of %.3f where an even one is %.3f", h.s.ownShare,
			even)
	}
	e := h.s.engines[0]
	e.threadsInFlight = 3
	light, heavy := &query{group: h.s.groups[0]}, &query{group: h.s.groups[1]}
	h.s.meanWorkSeconds.value = 1 + h.s.typicalWorkSeconds(light.group)
	if full := h.s.utilization(e); full < 0.85 || full > 1.7 || h.s.underPressure(e, light) ||
		!h.s.underPressure(e, heavy) {
		t.Fatalf("%.2f full by guess; pressed for light ones %v, for heavy ones %v", full, h.s.underPressure(e,
			light), h.s.underPressure(e, heavy))
	}
}

// The same where engines tell in answers only: what was seen of some is a guess of the others.
func TestGuessedUtilizationLetsCheapestGroupIn(t *testing.T) {
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
		t.Fatalf("%.2f full by those seen; pressed for light ones %v, for heavy ones %v", h.s.utilization(e),
			h.s.underPressure(e, &query{group: h.s.groups[0]}), h.s.underPressure(e, &query{group: h.s.groups[1]}))
	}
	if h.s.settings.ReportsCountQueries = false; !h.s.underPressure(h.s.engines[1],
		&query{group: h.s.groups[0]}) {
		t.Fatal("busy cores told of, and a light one passes them")
	}
}

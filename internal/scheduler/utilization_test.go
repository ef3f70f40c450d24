package scheduler

import (
	"testing"
)

// While three engines in five were cold, nearly empty and looked at most, all gateways
// took the warm ones for half empty and the bound in the mean never bound.
func TestWarmingEnginesDoNotLowerReportedUtilization(t *testing.T) {
	h := newHarness(t, 3, map[string]string{"gateways": "300", "report.how": "probed"})
	h.advance(200 * ms)
	h.restartEngine("e1")
	h.restartEngine("e2")
	for range 30 {
		h.advance(100 * ms)
		h.reportLoad("e0", map[string]float64{"held": 40})
		h.reportLoad("e1", map[string]float64{"held": 1})
		h.reportLoad("e2", map[string]float64{"held": 1})
	}
	if h.s.reportedUtilization.value < 1 || h.s.reportedQueries.value < 39 {
		t.Fatalf("engines seen are taken for %.2f full, holding %.1f", h.s.reportedUtilization.value,
			h.s.reportedQueries.value)
	}
	if h.s.activeEngines(); h.s.warmEngines != 1 {
		t.Fatalf("%v engines count for the bound, one is warm", h.s.warmEngines)
	}
	h.advance(16 * sec)
	if h.s.activeEngines(); h.s.warmEngines != 3 {
		t.Fatalf("%v of 3 count once they are warm", h.s.warmEngines)
	}
}

// Reports without queries held were read as none held: an engine looked the emptier
// the more of one's own stood still there.
func TestUtilizationByBusyCoresWithoutQueryCount(t *testing.T) {
	h := newCoresOnlyHarness(t, 2, nil)
	e := h.s.engines[0]
	if h.reportLoad("e0", map[string]float64{"cores": 0.9}); h.s.utilization(e) < 0.89 || !h.s.underPressure(e,
		&query{group: h.s.groups[1]}) {
		t.Fatalf("nine tenths of the cores busy, and %.2f full", h.s.utilization(e))
	}
	for range 4 {
		e.inFlight = append(e.inFlight, &attempt{query: &query{group: h.s.groups[1]}, threads: 3})
	}
	e.threadsInFlight = 12
	if h.reportLoad("e0", map[string]float64{"cores": 0.03}); !h.s.underPressure(e,
		&query{group: h.s.groups[1]}) {
		t.Fatalf("four of one's own there, of sixteen gateways', and %.2f full", h.s.utilization(e))
	}
}

// What others hold lies by cores: an even part of it had small engines full and large ones empty.
func TestUtilizationGuessIsByCores(t *testing.T) {
	h := newHarness(t, 2, map[string]string{"kind.cores": "8,16", "kind.memory": "8192,16384",
		"may.probe": "false", "gateways": "8"})
	h.s.meanThreads.add(4, 1)
	if a, b := h.s.utilization(h.s.engines[0]), h.s.utilization(h.s.engines[1]); a == 0 || a != b {
		t.Fatalf("8 cores %.2f full, 16 cores %.2f", a, b)
	}
}

// Where reports come in answers alone, a gateway that held every engine for full sent nothing more, was
// told nothing more, and refused all it took from then on: 155 gateways of 297 did so for a day's second
// half.
func TestReportedUtilizationDecaysWithoutReports(t *testing.T) {
	h := newHarness(t, 4, map[string]string{"gateways": "300", "may.probe": "false", "report.how": "answers",
		"report.figures": "held"})
	for range 30 {
		h.reportLoad("e0", map[string]float64{"held": 40})
	}
	if h.advance(500 * ms); len(h.arrive(0, 1, -1, 5*sec).attempts) > 0 {
		t.Fatalf("%.2f full by reports just had, and sent to", h.s.reportedUtilization.value)
	}
	h.advance(6 * sec)
	if len(h.arrive(0, 2, -1, 5*sec).attempts) == 0 {
		t.Fatalf("nothing told for seven seconds, and still %.2f full", h.s.reportedUtilization.value)
	}
	h.reportLoad("e1", map[string]float64{"held": 40})
	for range 30 {
		h.advance(100 * ms)
		h.reportLoad("e1", map[string]float64{"held": 40})
	}
	if h.s.reportedUtilization.value < 1 {
		t.Fatalf("full engines told of for three seconds, and %.2f full", h.s.reportedUtilization.value)
	}
}

// Without reports all gateways are taken to do as this one, on every engine alike. A cold one was taken to
// hold as much as a warm one, and so for three times as full: it had room for nobody while it stood idle.
func TestWarmingEngineWithoutReportsIsNoFullerThanWarmOnes(t *testing.T) {
	h := newHarness(t, 10, map[string]string{"gateways": "300", "may.probe": "false", "report.how": "off"})
	light := &query{group: h.s.groups[0]}
	h.advance(200 * ms)
	h.restartEngine("e0")
	h.s.meanThreads.value, h.s.meanThreads.count, h.s.ownShare = 0.3, 300, 1.0/300
	if !h.s.hasCapacity(h.s.enginesByID["e1"], light) {
		t.Fatalf("warm ones %.2f full, and no room", h.s.utilization(h.s.enginesByID["e1"]))
	}
	if cold := h.s.enginesByID["e0"]; h.s.warmupCapacity(cold) > 0.4 || !h.s.hasCapacity(cold, light) {
		t.Fatalf("a cold one is taken for %.2f full, warm ones for %.2f", h.s.utilization(cold),
			h.s.utilization(h.s.enginesByID["e1"]))
	}
}

// busyOnly: sixteen gateways, engines that tell of busy cores and nothing else, no notes.
func newCoresOnlyHarness(t *testing.T, engines int, more map[string]string) *harness {
	f := map[string]string{"gateways": "16", "report.how": "probed", "report.figures": "cores",
		"note.period": "0", "answers.cost": "true"}
	for k, v := range more {
		f[k] = v
	}
	return newHarness(t, engines, f)
}

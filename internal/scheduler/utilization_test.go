package scheduler

import (
	"testing"
)

// While three of five engines were warming up, they were almost empty and got most health checks.
// All controllers therefore took the other engines for half empty, and the total limit never
// applied.
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
		t.Fatalf("reported utilization is %.2f with %.1f queries", h.s.reportedUtilization.value,
			h.s.reportedQueries.value)
	}
	if h.s.activeEngines(); h.s.warmEngines != 1 {
		t.Fatalf("%v engines counted for the total limit, one isn't warming up", h.s.warmEngines)
	}
	h.advance(16 * sec)
	if h.s.activeEngines(); h.s.warmEngines != 3 {
		t.Fatalf("%v of 3 engines counted after warming up", h.s.warmEngines)
	}
}

// Reports without a number of queries were read as reports of none. An engine looked emptier the
// more of the controller's own queries were stalled there.
func TestUtilizationByBusyCoresWithoutQueryCount(t *testing.T) {
	h := newCoresOnlyHarness(t, 2, nil)
	e := h.s.engines[0]
	if h.reportLoad("e0", map[string]float64{"cores": 0.9}); h.s.utilization(e) < 0.89 || !h.s.underPressure(e,
		&query{group: h.s.groups[1]}) {
		t.Fatalf("utilization is %.2f with 0.9 of the cores busy", h.s.utilization(e))
	}
	for range 4 {
		e.inFlight = append(e.inFlight, &attempt{query: &query{group: h.s.groups[1]}, threads: 3})
	}
	e.threadsInFlight = 12
	if h.reportLoad("e0", map[string]float64{"cores": 0.03}); !h.s.underPressure(e,
		&query{group: h.s.groups[1]}) {
		t.Fatalf("utilization is %.2f with four own queries, of one in sixteen controllers", h.s.utilization(e))
	}
}

// The work of other controllers is distributed by cores. With equal amounts per engine, small
// engines looked full and large ones empty.
func TestUtilizationEstimateIsByCores(t *testing.T) {
	h := newHarness(t, 2, map[string]string{"kind.cores": "8,16", "kind.memory": "8192,16384",
		"may.probe": "false", "gateways": "8"})
	h.s.meanThreads.add(4, 1)
	if a, b := h.s.utilization(h.s.engines[0]), h.s.utilization(h.s.engines[1]); a == 0 || a != b {
		t.Fatalf("utilization is %.2f with 8 cores, %.2f with 16 cores", a, b)
	}
}

// If reports come with answers only, a controller that took all engines for full sent nothing, got
// no reports and rejected every query from then on. On one day, 155 of 297 controllers did so for
// half of the day.
func TestReportedUtilizationDecaysWithoutReports(t *testing.T) {
	h := newHarness(t, 4, map[string]string{"gateways": "300", "may.probe": "false", "report.how": "answers",
		"report.figures": "held"})
	for range 30 {
		h.reportLoad("e0", map[string]float64{"held": 40})
	}
	if h.advance(500 * ms); len(h.arrive(0, 1, -1, 5*sec).attempts) > 0 {
		t.Fatalf("query sent at a reported utilization of %.2f", h.s.reportedUtilization.value)
	}
	h.advance(6 * sec)
	if len(h.arrive(0, 2, -1, 5*sec).attempts) == 0 {
		t.Fatalf("reported utilization is still %.2f after seven seconds without a report",
			h.s.reportedUtilization.value)
	}
	h.reportLoad("e1", map[string]float64{"held": 40})
	for range 30 {
		h.advance(100 * ms)
		h.reportLoad("e1", map[string]float64{"held": 40})
	}
	if h.s.reportedUtilization.value < 1 {
		t.Fatalf("reported utilization is %.2f after three seconds of reports from full engines",
			h.s.reportedUtilization.value)
	}
}

// Without reports, all controllers are assumed to send as much as this one to every engine. A
// warming engine was assumed to hold as much as others, and so looked three times as full: it got
// no queries while it was idle.
func TestWarmingEngineWithoutReportsIsNoFullerThanWarmOnes(t *testing.T) {
	h := newHarness(t, 10, map[string]string{"gateways": "300", "may.probe": "false", "report.how": "off"})
	light := &query{group: h.s.groups[0]}
	h.advance(200 * ms)
	h.restartEngine("e0")
	h.s.meanThreads.value, h.s.meanThreads.count, h.s.ownShare = 0.3, 300, 1.0/300
	if !h.s.hasCapacity(h.s.enginesByID["e1"], light) {
		t.Fatalf("no capacity on an engine that isn't warming up, with utilization %.2f",
			h.s.utilization(h.s.enginesByID["e1"]))
	}
	if warming := h.s.enginesByID["e0"]; h.s.warmupCapacity(warming) > 0.4 || !h.s.hasCapacity(warming, light) {
		t.Fatalf("utilization is %.2f on a warming engine, %.2f on others", h.s.utilization(warming),
			h.s.utilization(h.s.enginesByID["e1"]))
	}
}

// newCoresOnlyHarness returns a harness with sixteen controllers, and engines that report only busy
// cores and send no notes.
func newCoresOnlyHarness(t *testing.T, engines int, more map[string]string) *harness {
	given := map[string]string{"gateways": "16", "report.how": "probed", "report.figures": "cores",
		"note.period": "0", "answers.cost": "true"}
	for k, v := range more {
		given[k] = v
	}
	return newHarness(t, engines, given)
}

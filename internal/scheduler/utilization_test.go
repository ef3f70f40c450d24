package scheduler

import (
	"testing"
)

// While three engines in five were cold, nearly empty and looked at most, all gateways
// took the warm ones for half empty and the bound in the mean never bound.
func TestWarmingEnginesDoNotLowerReportedUtilization(t *testing.T) {
	w := newWorld(t, 3, map[string]string{"gateways": "300", "report.how": "probed"})
	w.pass(200 * ms)
	w.restart("e1")
	w.restart("e2")
	for range 30 {
		w.pass(100 * ms)
		w.report("e0", map[string]float64{"held": 40})
		w.report("e1", map[string]float64{"held": 1})
		w.report("e2", map[string]float64{"held": 1})
	}
	if w.s.reportedUtilization.value < 1 || w.s.reportedQueries.value < 39 {
		t.Fatalf("engines seen are taken for %.2f full, holding %.1f", w.s.reportedUtilization.value,
			w.s.reportedQueries.value)
	}
	if w.s.activeEngines(); w.s.warmEngines != 1 {
		t.Fatalf("%v engines count for the bound, one is warm", w.s.warmEngines)
	}
	w.pass(16 * sec)
	if w.s.activeEngines(); w.s.warmEngines != 3 {
		t.Fatalf("%v of 3 count once they are warm", w.s.warmEngines)
	}
}

// Reports without queries held were read as none held: an engine looked the emptier
// the more of one's own stood still there.
func TestUtilizationByBusyCoresWithoutQueryCount(t *testing.T) {
	w := newCoresOnlyWorld(t, 2, nil)
	e := w.s.engines[0]
	if w.report("e0", map[string]float64{"cores": 0.9}); w.s.utilization(e) < 0.89 || !w.s.underPressure(e,
		&query{group: w.s.groups[1]}) {
		t.Fatalf("nine tenths of the cores busy, and %.2f full", w.s.utilization(e))
	}
	for range 4 {
		e.inFlight = append(e.inFlight, &attempt{query: &query{group: w.s.groups[1]}, threads: 3})
	}
	e.threadsInFlight = 12
	if w.report("e0", map[string]float64{"cores": 0.03}); !w.s.underPressure(e, &query{group: w.s.groups[1]}) {
		t.Fatalf("four of one's own there, of sixteen gateways', and %.2f full", w.s.utilization(e))
	}
}

// What others hold lies by cores: an even part of it had small engines full and large ones empty.
func TestUtilizationGuessIsByCores(t *testing.T) {
	w := newWorld(t, 2, map[string]string{"kind.cores": "8,16", "kind.memory": "8192,16384",
		"may.probe": "false", "gateways": "8"})
	w.s.meanThreads.add(4, 1)
	if a, b := w.s.utilization(w.s.engines[0]), w.s.utilization(w.s.engines[1]); a == 0 || a != b {
		t.Fatalf("8 cores %.2f full, 16 cores %.2f", a, b)
	}
}

// Where reports come in answers alone, a gateway that held every engine for full sent nothing more, was
// told nothing more, and refused all it took from then on: 155 gateways of 297 did so for a day's second
// half.
func TestReportedUtilizationDecaysWithoutReports(t *testing.T) {
	w := newWorld(t, 4, map[string]string{"gateways": "300", "may.probe": "false", "report.how": "answers",
		"report.figures": "held"})
	for range 30 {
		w.report("e0", map[string]float64{"held": 40})
	}
	if w.pass(500 * ms); len(w.arrive(0, 1, -1, 5*sec).attempts) > 0 {
		t.Fatalf("%.2f full by reports just had, and sent to", w.s.reportedUtilization.value)
	}
	w.pass(6 * sec)
	if len(w.arrive(0, 2, -1, 5*sec).attempts) == 0 {
		t.Fatalf("nothing told for seven seconds, and still %.2f full", w.s.reportedUtilization.value)
	}
	w.report("e1", map[string]float64{"held": 40})
	for range 30 {
		w.pass(100 * ms)
		w.report("e1", map[string]float64{"held": 40})
	}
	if w.s.reportedUtilization.value < 1 {
		t.Fatalf("full engines told of for three seconds, and %.2f full", w.s.reportedUtilization.value)
	}
}

// Without reports all gateways are taken to do as this one, on every engine alike. A cold one was taken to
// hold as much as a warm one, and so for three times as full: it had room for nobody while it stood idle.
func TestWarmingEngineWithoutReportsIsNoFullerThanWarmOnes(t *testing.T) {
	w := newWorld(t, 10, map[string]string{"gateways": "300", "may.probe": "false", "report.how": "off"})
	light := &query{group: w.s.groups[0]}
	w.pass(200 * ms)
	w.restart("e0")
	w.s.meanThreads.value, w.s.meanThreads.count, w.s.ownShare = 0.3, 300, 1.0/300
	if !w.s.hasCapacity(w.s.enginesByID["e1"], light) {
		t.Fatalf("warm ones %.2f full, and no room", w.s.utilization(w.s.enginesByID["e1"]))
	}
	if cold := w.s.enginesByID["e0"]; w.s.warmCapacity(cold) > 0.4 || !w.s.hasCapacity(cold, light) {
		t.Fatalf("a cold one is taken for %.2f full, warm ones for %.2f", w.s.utilization(cold),
			w.s.utilization(w.s.enginesByID["e1"]))
	}
}

// busyOnly: sixteen gateways, engines that tell of busy cores and nothing else, no notes.
func newCoresOnlyWorld(t *testing.T, engines int, more map[string]string) *world {
	f := map[string]string{"gateways": "16", "report.how": "probed", "report.figures": "cores",
		"note.period": "0", "answers.cost": "true"}
	for k, v := range more {
		f[k] = v
	}
	return newWorld(t, engines, f)
}

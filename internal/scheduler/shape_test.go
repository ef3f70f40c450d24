package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// What follows guards against what was taken for granted of a deployment's shape; see
// docs/assumptions.md.

// busyOnly: sixteen gateways, engines that tell of busy cores and nothing else, no notes.
func busyOnly(t *testing.T, engines int, more map[string]string) *world {
	f := map[string]string{"gateways": "16", "report.how": "probed", "report.figures": "cores", "note.period": "0", "answers.cost": "true"}
	for k, v := range more {
		f[k] = v
	}
	return newWorld(t, engines, f)
}

// Reports without queries held were read as none held: an engine looked the emptier
// the more of one's own stood still there.
func TestBusyCoresStandForQueriesHeld(t *testing.T) {
	w := busyOnly(t, 2, nil)
	e := w.scheduler.engines[0]
	if w.report("e0", map[string]float64{"cores": 0.9}); w.scheduler.utilization(e) < 0.89 || !w.scheduler.underPressure(e, &query{group: w.scheduler.groups[1]}) {
		t.Fatalf("nine tenths of the cores busy, and %.2f full", w.scheduler.utilization(e))
	}
	for range 4 {
		e.inFlight = append(e.inFlight, &attempt{query: &query{group: w.scheduler.groups[1]}, threads: 3})
	}
	e.threadsInFlight = 12
	if w.report("e0", map[string]float64{"cores": 0.03}); !w.scheduler.underPressure(e, &query{group: w.scheduler.groups[1]}) {
		t.Fatalf("four of one's own there, of sixteen gateways', and %.2f full", w.scheduler.utilization(e))
	}
}

func TestWhatStandsStillRestsItsEngine(t *testing.T) {
	w := busyOnly(t, 1, map[string]string{"group.1.late-share": "0.4", "may.probe": "false", "gateways": "2"})
	q := w.take(1, 1, -1, 60*sec)
	for w.pass(sec); w.scheduler.engines[0].consecutiveEjections == 0 && w.now < 30*sec; w.pass(100 * ms) {
	}
	e := w.scheduler.engines[0]
	if e.consecutiveEjections != 1 || w.scheduler.available(e) || q.answered {
		t.Fatalf("stood %d, ready %v, answered %v at %v", e.consecutiveEjections, w.scheduler.available(e), q.answered, w.now)
	}
	w.end(q, 0, Cancelled)
	w.pass(3 * sec)
	if heavy, light := w.scheduler.hasCapacity(e, &query{group: w.scheduler.groups[1]}), w.scheduler.hasCapacity(e, &query{group: w.scheduler.groups[0]}); heavy || !light {
		t.Fatalf("tried next: a heavy one %v, a light one %v", heavy, light)
	}
	q = w.take(0, 2, -1, 5*sec)
	w.end(q, len(q.subs)-1, Finished)
	if !w.scheduler.hasCapacity(e, &query{group: w.scheduler.groups[1]}) {
		t.Fatal("a light one came back, and heavy ones stay away")
	}
}

// Where others of one's own come back it is a load that is waited for, not the engine.
func TestWhatWaitsForAnUnseenLoadShutsItsTablesOnly(t *testing.T) {
	w := busyOnly(t, 1, map[string]string{"group.1.late-share": "0.4", "may.probe": "false"})
	w.take(1, 1, -1, 60*sec)
	s := w.scheduler.engines[0].inFlight[0]
	w.pass(100 * ms)
	s.engine.lastFinishAt = w.now
	if w.scheduler.attemptStalled(s); !w.scheduler.available(s.engine) || !w.scheduler.loadRunning(s.engine, 1) || w.scheduler.loadRunning(s.engine, 2) {
		t.Fatalf("ready %v, shut %v", w.scheduler.available(s.engine), s.engine.loadRunningUntil)
	}
}

// Late on an engine with idle cores beside busy ones: moved long before four times its time.
func TestLateOnIdleCoresIsMoved(t *testing.T) {
	w := busyOnly(t, 2, nil)
	for range 30 {
		w.report("e0", map[string]float64{"cores": 0.6})
		w.report("e1", map[string]float64{"cores": 0.6})
	}
	w.scheduler.meanWorkSeconds.value = 1
	w.take(1, 1, -1, 60*sec)
	i := slices.IndexFunc(w.scheduler.engines, func(e *engine) bool { return len(e.inFlight) > 0 })
	e := w.scheduler.engines[i]
	s := e.inFlight[0]
	for !s.moving && w.now < 3*sec {
		w.pass(100 * ms)
		w.report(e.id, map[string]float64{"cores": 0.05})
	}
	if !s.moving || w.now > 2*sec {
		t.Fatalf("moved %v at %v", s.moving, w.now)
	}
}

// hasRoom took one engine's cores times their number for the bound of all: small ones
// never had room for a heavy query.
func TestMeanBoundCountsCoresOfAllKinds(t *testing.T) {
	w := busyOnly(t, 2, map[string]string{"kind.cores": "8,24", "gateways": "40"})
	w.report("e0", map[string]float64{"cores": 0.5})
	w.report("e1", map[string]float64{"cores": 0.5})
	w.scheduler.meanWorkSeconds.value = 0.1
	q := &query{group: w.scheduler.groups[1]}
	w.scheduler.groups[1].threads = 0.5
	w.scheduler.engines[1].threadsInFlight, w.scheduler.engines[1].inFlight, w.scheduler.totalsStale = 0.4, []*attempt{{query: q, threads: 0.4}}, true
	// the bound of all is 2 x 32 / 40 x 0.9 = 1.4 threads; by the small engine's cores it would be 0.7
	if !w.scheduler.hasCapacity(w.scheduler.engines[0], q) {
		t.Fatal("no room on the small engine with half of the bound in use")
	}
	w.scheduler.engines[1].threadsInFlight, w.scheduler.totalsStale = 1.2, true
	if w.scheduler.hasCapacity(w.scheduler.engines[0], q) {
		t.Fatal("room beyond the bound of all")
	}
}

// What others hold lies by cores: an even part of it had small engines full and large ones empty.
func TestOthersQueriesLieByCores(t *testing.T) {
	w := newWorld(t, 2, map[string]string{"kind.cores": "8,16", "kind.memory": "8192,16384", "may.probe": "false", "gateways": "8"})
	w.scheduler.meanThreads.add(4, 1)
	if a, b := w.scheduler.utilization(w.scheduler.engines[0]), w.scheduler.utilization(w.scheduler.engines[1]); a == 0 || a != b {
		t.Fatalf("8 cores %.2f full, 16 cores %.2f", a, b)
	}
}

// Eight gateways with one query of four threads each on 8 cores is twice the bound.
func TestLargeQueriesAreDealtAmongGateways(t *testing.T) {
	for _, c := range []struct {
		part float64
		want int
	}{{0.5, 4}, {1, 8}, {2, 8}, {0.13, 1}} {
		n := 0
		for i := range 8 {
			w := newWorld(t, 1, map[string]string{"gateways": "8", "own.number": fmt.Sprint(i)})
			if w.scheduler.assignedByNumber(w.scheduler.engines[0], c.part) {
				n++
			}
		}
		if n != c.want {
			t.Errorf("%d of 8 gateways at %v of a query each, %d wanted", n, c.part, c.want)
		}
	}
}

func TestLittleTimeCountsMoreThanTheTarget(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.scheduler.draining = true
	q := &query{group: w.scheduler.groups[1], objectiveAt: 4 * sec, deadline: sec}
	if at := w.scheduler.latestStart(q); at > sec {
		t.Fatalf("to be begun by %v, its client leaves at 1s", at)
	}
}

func TestLightQueriesStayInTheirLocation(t *testing.T) {
	w := newWorld(t, 8, map[string]string{"own.location": "1"})
	w.scheduler.meanWorkSeconds, w.scheduler.groups[0].workSeconds = movingAverage{1, 100}, movingAverage{0.2, 20}
	for range 30 {
		q := w.take(0, 3, -1, 5*sec)
		if e := w.engines[sentTo(q)]; e == nil || e.location != 1 {
			t.Fatalf("sent to %q", sentTo(q))
		}
		w.end(q, 0, Finished)
	}
	for _, id := range w.ids() {
		if w.engines[id].location == 1 {
			w.set(id, EngineDraining)
		}
	}
	if q := w.take(0, 3, -1, 5*sec); sentTo(q) == "" {
		t.Fatal("held for a location that has gone")
	}
}

// takeAs takes a query of a customer, with an estimate.
func takeAs(w *world, group, team int, work time.Duration) {
	q := &asked{id: fmt.Sprint("x", len(w.order)), group: group, taken: w.now, deadline: w.now + 60*sec}
	w.queries[q.id], w.order = q, append(w.order, q)
	w.scheduler.QueryArrived(w.now, q.id, group, team, 60*sec, int64(len(w.order)), -1, work, 100)
}

// A long query in front took the room of several that are worth as much.
func TestLongQueuesLoseTheDearestFirst(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.scheduler.engines[0].slowdown, w.scheduler.engines[0].threadsInFlight = 9, 16 // pressed, and no room left of one's own
	w.scheduler.groups[1].objectiveStretch = 9                                      // all of them can still be in time
	w.now = 5 * sec
	w.scheduler.groups[1].recentThreadSeconds, w.scheduler.groups[1].workSeconds = 15, movingAverage{3, 50}
	for _, work := range []time.Duration{3, 30, 2, 60, 1, 2, 3} {
		takeAs(w, 1, -1, work*sec)
	}
	var kept []string
	for _, q := range w.order {
		if !q.answered {
			kept = append(kept, q.id)
		}
	}
	if fmt.Sprint(kept) != "[x0 x2 x4 x5 x6]" {
		t.Fatalf("kept %v", kept)
	}
}

// Small engines among large ones: chances by one engine's cores times their number were off by their ratio.
func TestColdChancesGoByAllCores(t *testing.T) {
	w := newWorld(t, 12, map[string]string{"gateways": "300", "kind.cores": "4,28", "cold.span": "9000"})
	w.pass(sec)
	w.restart("e0") // of 4 cores; the others do as much as 12 of 16
	w.scheduler.recentWorkSeconds, w.scheduler.groups[0].recentArrivals, w.scheduler.meanWorkSeconds.value = 10, 4, 1
	n := 0
	for i := range 3000 {
		if w.scheduler.slowStartAllows(&query{group: w.scheduler.groups[0], seq: uint64(i)}, w.scheduler.enginesByID["e0"]) {
			n++
		}
	}
	// 192 cores do as much work a second, a fifth of it this group's; 3.4 is the limit, three tenths of it the part
	if sum := 192 * 0.2 * float64(n) / 3000; sum > 1.5 {
		t.Fatalf("%.1f s of work a second by chance", sum)
	}
}

// Called off for a fresh submission that the budget doesn't have, a query would have lost what was done.
func TestNothingIsMovedBeyondTheBudget(t *testing.T) {
	for _, least := range []string{"0", "5"} {
		w := newWorld(t, 2, map[string]string{"budget.span": "10000", "budget.least": least, "budget.share": "0.2"})
		q := w.take(1, 1, -1, 60*sec)
		s := w.scheduler.queries[q.id].attempts[0]
		if w.scheduler.moveOrReject(s, math.Inf(1)); s.moving != (least == "5") {
			t.Fatalf("%s in the budget: moved %v", least, s.moving)
		}
	}
}

// A customer three times over its share: its queries count for less than others'.
func TestQueriesBeyondAShareAreDearer(t *testing.T) {
	w := newWorld(t, 1, map[string]string{"gateways": "1", "teams": "2", "team.0.quota": "4", "team.1.quota": "4", "over.worth": "0.05"})
	for range 400 {
		takeAs(w, 0, 0, 0)
		if w.now%(300*ms) == 0 {
			takeAs(w, 0, 1, 0)
		}
		w.pass(100 * ms)
	}
	q := func(i int) *query {
		return &query{group: w.scheduler.groups[0], tenant: w.scheduler.tenants[i], workSeconds: 0.2}
	}
	if a, b := w.scheduler.costPerWeight(q(0)), w.scheduler.costPerWeight(q(1)); w.scheduler.overQuotaFraction(w.scheduler.tenants[1]) > 0 || a < 1.3*b {
		t.Fatalf("%.2f beyond its share, %.2f within", a, b)
	}
	if x := w.scheduler.costPerWeight(&query{group: w.scheduler.groups[0], tenant: w.scheduler.tenant(2), workSeconds: 0.2}); x != 0.2 || w.scheduler.tenant(-1) != w.scheduler.tenant(2) {
		t.Fatalf("nobody's query counts for less: %.2f", x)
	}
}

// Estimates lie too high or too low by group: what answers tell sets them right.
func TestEstimatesAreSetRightByAnswers(t *testing.T) {
	w := newWorld(t, 1, map[string]string{"answers.cost": "true"})
	for range 40 {
		q := w.take(0, 1, -1, 5*sec)
		w.queries[q.id].answered = true
		w.scheduler.AttemptEnded(w.now, q.id, 0, Finished, 400*ms, true, 400*ms, 10, nil)
	}
	if x := w.scheduler.estimatedSoloSeconds(&query{group: w.scheduler.groups[0], workSeconds: 0.2}); x < 0.38 || x > 0.42 {
		t.Fatalf("0.2 estimated, 0.4 told: taken as %.2f", x)
	}
	if x := w.scheduler.estimatedSoloSeconds(&query{group: w.scheduler.groups[0], workSeconds: 0.2, workMeasured: true}); x != 0.2 {
		t.Fatalf("0.2 told, taken as %.2f", x)
	}
}

// Alone in its queue, with nothing to be had from a late answer, it was held until its client left.
// Where nothing is told of late answers they are waited for, as before.
func TestWhatIsWorthNothingLateIsNotSatOn(t *testing.T) {
	for _, late := range []string{"0", "0.1", ""} {
		w := newWorld(t, 1, map[string]string{"group.0.late-share": late})
		w.set("e0", EngineDraining)
		q := w.take(0, 1, -1, 5*sec)
		if w.pass(1200 * ms); q.answered != (late == "0") {
			t.Fatalf("worth %s when late: answered %v at %v", late, q.answered, w.now)
		}
	}
}

// Where no look may tell, an engine with one light query out was held for silent long before its first
// note was due, and the query called off.
func TestSilenceWithoutLooksIsJudgedByNotes(t *testing.T) {
	w := newWorld(t, 1, map[string]string{"may.probe": "false", "note.period": "2000"})
	w.take(0, 1, -1, 60*sec)
	if w.pass(3 * sec); w.scheduler.engines[0].unresponsive {
		t.Fatal("silent before a note was due for certain")
	}
	if w.pass(2 * sec); !w.scheduler.engines[0].unresponsive {
		t.Fatal("two notes missed, and not silent")
	}
}

// Where reports come in answers alone, a gateway that held every engine for full sent nothing more, was
// told nothing more, and refused all it took from then on: 155 gateways of 297 did so for a day's second half.
func TestFullOnceIsNotFullForGood(t *testing.T) {
	w := newWorld(t, 4, map[string]string{"gateways": "300", "may.probe": "false", "report.how": "answers", "report.figures": "held"})
	for range 30 {
		w.report("e0", map[string]float64{"held": 40})
	}
	if w.pass(500 * ms); len(w.take(0, 1, -1, 5*sec).subs) > 0 {
		t.Fatalf("%.2f full by reports just had, and sent to", w.scheduler.reportedUtilization.value)
	}
	w.pass(6 * sec)
	if len(w.take(0, 2, -1, 5*sec).subs) == 0 {
		t.Fatalf("nothing told for seven seconds, and still %.2f full", w.scheduler.reportedUtilization.value)
	}
	w.report("e1", map[string]float64{"held": 40})
	for range 30 {
		w.pass(100 * ms)
		w.report("e1", map[string]float64{"held": 40})
	}
	if w.scheduler.reportedUtilization.value < 1 {
		t.Fatalf("full engines told of for three seconds, and %.2f full", w.scheduler.reportedUtilization.value)
	}
}

// Where nothing tells what engines hold, an even part is held to in the mean and not at each moment, and by a mere
// guess of how full they are a light query worth most for its work isn't turned away.
func TestAnEvenPartIsHeldToInTheMean(t *testing.T) {
	w := newWorld(t, 10, map[string]string{"gateways": "40", "may.probe": "false", "report.how": "off", "note.period": "0"})
	w.scheduler.groups[0].threadSecondsUsed.add(0.2, 100) // worth most for what it takes
	w.pass(sec)
	even := 1.0 / 40
	few := newWorld(t, 10, map[string]string{"gateways": "2", "may.probe": "false", "report.how": "off", "note.period": "0"})
	few.pass(sec)
	if w.scheduler.ownShare < 4*even || few.scheduler.ownShare > 0.65 { // half of all engines' threads are many queries, which hardly vary
		t.Fatalf("nothing used of late, and a part of %.3f where an even one is %.3f", w.scheduler.ownShare, even)
	}
	// 2 threads on each of 80 cores for 40 gateways: 4 are one's own; they are in use for long
	for _, e := range w.scheduler.engines[:2] {
		e.threadsInFlight, e.inFlight = 3, []*attempt{{query: &query{group: w.scheduler.groups[1]}, engine: e, threads: 3, sentAt: time.Hour}}
	}
	w.scheduler.totalsStale = true
	for range 300 {
		w.scheduler.tick()
	}
	if w.scheduler.ownShare != even {
		t.Fatalf("more than the part in use for long, and a part of %.3f where an even one is %.3f", w.scheduler.ownShare, even)
	}
	e := w.scheduler.engines[0]
	e.threadsInFlight = 3
	light, heavy := &query{group: w.scheduler.groups[0]}, &query{group: w.scheduler.groups[1]}
	w.scheduler.meanWorkSeconds.value = 1 + w.scheduler.usualWorkSeconds(light.group)
	if full := w.scheduler.utilization(e); full < 0.85 || full > 1.7 || w.scheduler.underPressure(e, light) || !w.scheduler.underPressure(e, heavy) {
		t.Fatalf("%.2f full by guess; pressed for light ones %v, for heavy ones %v", full, w.scheduler.underPressure(e, light), w.scheduler.underPressure(e, heavy))
	}
}

// Without reports all gateways are taken to do as this one, on every engine alike. A cold one was taken to
// hold as much as a warm one, and so for three times as full: it had room for nobody while it stood idle.
func TestAColdEngineWithoutReportsIsNoFullerThanWarmOnes(t *testing.T) {
	w := newWorld(t, 10, map[string]string{"gateways": "300", "may.probe": "false", "report.how": "off"})
	light := &query{group: w.scheduler.groups[0]}
	w.pass(200 * ms)
	w.restart("e0")
	w.scheduler.meanThreads.value, w.scheduler.meanThreads.count, w.scheduler.ownShare = 0.3, 300, 1.0/300
	if !w.scheduler.hasCapacity(w.scheduler.enginesByID["e1"], light) {
		t.Fatalf("warm ones %.2f full, and no room", w.scheduler.utilization(w.scheduler.enginesByID["e1"]))
	}
	if cold := w.scheduler.enginesByID["e0"]; w.scheduler.warmCapacity(cold) > 0.4 || !w.scheduler.hasCapacity(cold, light) {
		t.Fatalf("a cold one is taken for %.2f full, warm ones for %.2f", w.scheduler.utilization(cold), w.scheduler.utilization(w.scheduler.enginesByID["e1"]))
	}
}

// The same where engines tell in answers only: what was seen of some is a guess of the others.
func TestAGuessDoesNotTurnAwayWhatCostsLeast(t *testing.T) {
	w := newWorld(t, 4, map[string]string{"gateways": "300", "may.probe": "false", "report.how": "answers", "report.figures": "held"})
	w.scheduler.groups[0].threadSecondsUsed.add(0.2, 100)
	w.pass(sec)
	for range 30 {
		w.report("e0", map[string]float64{"held": 20})
	}
	w.scheduler.meanWorkSeconds.value = 1 + w.scheduler.usualWorkSeconds(w.scheduler.groups[0])
	if e := w.scheduler.engines[1]; w.scheduler.utilization(e) < 1 || w.scheduler.underPressure(e, &query{group: w.scheduler.groups[0]}) || !w.scheduler.underPressure(e, &query{group: w.scheduler.groups[1]}) {
		t.Fatalf("%.2f full by those seen; pressed for light ones %v, for heavy ones %v", w.scheduler.utilization(e),
			w.scheduler.underPressure(e, &query{group: w.scheduler.groups[0]}), w.scheduler.underPressure(e, &query{group: w.scheduler.groups[1]}))
	}
	if w.scheduler.settings.ReportsCountQueries = false; !w.scheduler.underPressure(w.scheduler.engines[1], &query{group: w.scheduler.groups[0]}) {
		t.Fatal("busy cores told of, and a light one passes them")
	}
}

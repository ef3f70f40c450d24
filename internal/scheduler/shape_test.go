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
	e := w.g.engines[0]
	if w.report("e0", map[string]float64{"cores": 0.9}); w.g.filled(e) < 0.89 || !w.g.pressed(e, &query{rg: w.g.groups[1]}) {
		t.Fatalf("nine tenths of the cores busy, and %.2f full", w.g.filled(e))
	}
	for range 4 {
		e.out = append(e.out, &submission{q: &query{rg: w.g.groups[1]}, threads: 3})
	}
	e.threads = 12
	if w.report("e0", map[string]float64{"cores": 0.03}); !w.g.pressed(e, &query{rg: w.g.groups[1]}) {
		t.Fatalf("four of one's own there, of sixteen gateways', and %.2f full", w.g.filled(e))
	}
}

func TestWhatStandsStillRestsItsEngine(t *testing.T) {
	w := busyOnly(t, 1, map[string]string{"group.1.late-share": "0.4", "may.probe": "false", "gateways": "2"})
	q := w.take(1, 1, -1, 60*sec)
	for w.pass(sec); w.g.engines[0].stood == 0 && w.now < 30*sec; w.pass(100 * ms) {
	}
	e := w.g.engines[0]
	if e.stood != 1 || w.g.ready(e) || q.answered {
		t.Fatalf("stood %d, ready %v, answered %v at %v", e.stood, w.g.ready(e), q.answered, w.now)
	}
	w.end(q, 0, Cancelled)
	w.pass(3 * sec)
	if heavy, light := w.g.hasRoom(e, &query{rg: w.g.groups[1]}), w.g.hasRoom(e, &query{rg: w.g.groups[0]}); heavy || !light {
		t.Fatalf("tried next: a heavy one %v, a light one %v", heavy, light)
	}
	q = w.take(0, 2, -1, 5*sec)
	w.end(q, len(q.subs)-1, Finished)
	if !w.g.hasRoom(e, &query{rg: w.g.groups[1]}) {
		t.Fatal("a light one came back, and heavy ones stay away")
	}
}

// Where others of one's own come back it is a load that is waited for, not the engine.
func TestWhatWaitsForAnUnseenLoadShutsItsTablesOnly(t *testing.T) {
	w := busyOnly(t, 1, map[string]string{"group.1.late-share": "0.4", "may.probe": "false"})
	w.take(1, 1, -1, 60*sec)
	s := w.g.engines[0].out[0]
	w.pass(100 * ms)
	s.e.doneLast = w.now
	if w.g.stands(s); !w.g.ready(s.e) || !w.g.loadRuns(s.e, 1) || w.g.loadRuns(s.e, 2) {
		t.Fatalf("ready %v, shut %v", w.g.ready(s.e), s.e.loadSeen)
	}
}

// Late on an engine with idle cores beside busy ones: moved long before four times its time.
func TestLateOnIdleCoresIsMoved(t *testing.T) {
	w := busyOnly(t, 2, nil)
	for range 30 {
		w.report("e0", map[string]float64{"cores": 0.6})
		w.report("e1", map[string]float64{"cores": 0.6})
	}
	w.g.meanWork.value = 1
	w.take(1, 1, -1, 60*sec)
	i := slices.IndexFunc(w.g.engines, func(e *engine) bool { return len(e.out) > 0 })
	e := w.g.engines[i]
	s := e.out[0]
	for !s.behind && w.now < 3*sec {
		w.pass(100 * ms)
		w.report(e.id, map[string]float64{"cores": 0.05})
	}
	if !s.behind || w.now > 2*sec {
		t.Fatalf("moved %v at %v", s.behind, w.now)
	}
}

// hasRoom took one engine's cores times their number for the bound of all: small ones
// never had room for a heavy query.
func TestMeanBoundCountsCoresOfAllKinds(t *testing.T) {
	w := busyOnly(t, 2, map[string]string{"kind.cores": "8,24", "gateways": "40"})
	w.report("e0", map[string]float64{"cores": 0.5})
	w.report("e1", map[string]float64{"cores": 0.5})
	w.g.meanWork.value = 0.1
	q := &query{rg: w.g.groups[1]}
	w.g.groups[1].threads = 0.5
	w.g.engines[1].threads, w.g.engines[1].out, w.g.stale = 0.4, []*submission{{q: q, threads: 0.4}}, true
	// the bound of all is 2 x 32 / 40 x 0.9 = 1.4 threads; by the small engine's cores it would be 0.7
	if !w.g.hasRoom(w.g.engines[0], q) {
		t.Fatal("no room on the small engine with half of the bound in use")
	}
	w.g.engines[1].threads, w.g.stale = 1.2, true
	if w.g.hasRoom(w.g.engines[0], q) {
		t.Fatal("room beyond the bound of all")
	}
}

// What others hold lies by cores: an even part of it had small engines full and large ones empty.
func TestOthersQueriesLieByCores(t *testing.T) {
	w := newWorld(t, 2, map[string]string{"kind.cores": "8,16", "kind.memory": "8192,16384", "may.probe": "false", "gateways": "8"})
	w.g.usualThreads.add(4, 1)
	if a, b := w.g.filled(w.g.engines[0]), w.g.filled(w.g.engines[1]); a == 0 || a != b {
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
			if w.g.dealt(w.g.engines[0], c.part) {
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
	w.g.closing = true
	q := &query{rg: w.g.groups[1], aim: 4 * sec, deadline: sec}
	if at := w.g.latest(q); at > sec {
		t.Fatalf("to be begun by %v, its client leaves at 1s", at)
	}
}

func TestLightQueriesStayInTheirLocation(t *testing.T) {
	w := newWorld(t, 8, map[string]string{"own.location": "1"})
	w.g.meanWork, w.g.groups[0].work = mean{1, 100}, mean{0.2, 20}
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
	w.g.Take(w.now, q.id, group, team, 60*sec, int64(len(w.order)), -1, work, 100)
}

// A long query in front took the room of several that are worth as much.
func TestLongQueuesLoseTheDearestFirst(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.g.engines[0].slow, w.g.engines[0].threads = 9, 16 // pressed, and no room left of one's own
	w.g.groups[1].stretch = 9                           // all of them can still be in time
	w.now = 5 * sec
	w.g.groups[1].begun, w.g.groups[1].work = 15, mean{3, 50}
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
	w.g.workRate, w.g.groups[0].taken, w.g.meanWork.value = 10, 4, 1
	n := 0
	for i := range 3000 {
		if w.g.coldFits(&query{rg: w.g.groups[0], seq: uint64(i)}, w.g.byID["e0"]) {
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
		s := w.g.queries[q.id].subs[0]
		if w.g.move(s, math.Inf(1)); s.behind != (least == "5") {
			t.Fatalf("%s in the budget: moved %v", least, s.behind)
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
	q := func(i int) *query { return &query{rg: w.g.groups[0], team: w.g.teams[i], work: 0.2} }
	if a, b := w.g.dear(q(0)), w.g.dear(q(1)); w.g.over(w.g.teams[1]) > 0 || a < 1.3*b {
		t.Fatalf("%.2f beyond its share, %.2f within", a, b)
	}
	if x := w.g.dear(&query{rg: w.g.groups[0], team: w.g.team(2), work: 0.2}); x != 0.2 || w.g.team(-1) != w.g.team(2) {
		t.Fatalf("nobody's query counts for less: %.2f", x)
	}
}

// Estimates lie too high or too low by group: what answers tell sets them right.
func TestEstimatesAreSetRightByAnswers(t *testing.T) {
	w := newWorld(t, 1, map[string]string{"answers.cost": "true"})
	for range 40 {
		q := w.take(0, 1, -1, 5*sec)
		w.queries[q.id].answered = true
		w.g.Ended(w.now, q.id, 0, Finished, 400*ms, true, 400*ms, 10, nil)
	}
	if x := w.g.lone(&query{rg: w.g.groups[0], work: 0.2}); x < 0.38 || x > 0.42 {
		t.Fatalf("0.2 estimated, 0.4 told: taken as %.2f", x)
	}
	if x := w.g.lone(&query{rg: w.g.groups[0], work: 0.2, told: true}); x != 0.2 {
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
	if w.pass(3 * sec); w.g.engines[0].silent {
		t.Fatal("silent before a note was due for certain")
	}
	if w.pass(2 * sec); !w.g.engines[0].silent {
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
		t.Fatalf("%.2f full by reports just had, and sent to", w.g.fillSeen.value)
	}
	w.pass(6 * sec)
	if len(w.take(0, 2, -1, 5*sec).subs) == 0 {
		t.Fatalf("nothing told for seven seconds, and still %.2f full", w.g.fillSeen.value)
	}
	w.report("e1", map[string]float64{"held": 40})
	for range 30 {
		w.pass(100 * ms)
		w.report("e1", map[string]float64{"held": 40})
	}
	if w.g.fillSeen.value < 1 {
		t.Fatalf("full engines told of for three seconds, and %.2f full", w.g.fillSeen.value)
	}
}

// Where nothing tells what engines hold, an even part is held to in the mean and not at each moment, and by a mere
// guess of how full they are a light query worth most for its work isn't turned away.
func TestAnEvenPartIsHeldToInTheMean(t *testing.T) {
	w := newWorld(t, 10, map[string]string{"gateways": "40", "may.probe": "false", "report.how": "off", "note.period": "0"})
	w.g.groups[0].slots.add(0.2, 100) // worth most for what it takes
	w.pass(sec)
	even := 1.0 / 40
	few := newWorld(t, 10, map[string]string{"gateways": "2", "may.probe": "false", "report.how": "off", "note.period": "0"})
	few.pass(sec)
	if w.g.share < 4*even || few.g.share > 0.65 { // half of all engines' threads are many queries, which hardly vary
		t.Fatalf("nothing used of late, and a part of %.3f where an even one is %.3f", w.g.share, even)
	}
	// 2 threads on each of 80 cores for 40 gateways: 4 are one's own; they are in use for long
	for _, e := range w.g.engines[:2] {
		e.threads, e.out = 3, []*submission{{q: &query{rg: w.g.groups[1]}, e: e, threads: 3, at: time.Hour}}
	}
	w.g.stale = true
	for range 300 {
		w.g.periodic()
	}
	if w.g.share != even {
		t.Fatalf("more than the part in use for long, and a part of %.3f where an even one is %.3f", w.g.share, even)
	}
	e := w.g.engines[0]
	e.threads = 3
	light, heavy := &query{rg: w.g.groups[0]}, &query{rg: w.g.groups[1]}
	w.g.meanWork.value = 1 + w.g.usual(light.rg)
	if full := w.g.filled(e); full < 0.85 || full > 1.7 || w.g.pressed(e, light) || !w.g.pressed(e, heavy) {
		t.Fatalf("%.2f full by guess; pressed for light ones %v, for heavy ones %v", full, w.g.pressed(e, light), w.g.pressed(e, heavy))
	}
}

// Without reports all gateways are taken to do as this one, on every engine alike. A cold one was taken to
// hold as much as a warm one, and so for three times as full: it had room for nobody while it stood idle.
func TestAColdEngineWithoutReportsIsNoFullerThanWarmOnes(t *testing.T) {
	w := newWorld(t, 10, map[string]string{"gateways": "300", "may.probe": "false", "report.how": "off"})
	light := &query{rg: w.g.groups[0]}
	w.pass(200 * ms)
	w.restart("e0")
	w.g.usualThreads.value, w.g.usualThreads.count, w.g.share = 0.3, 300, 1.0/300
	if !w.g.hasRoom(w.g.byID["e1"], light) {
		t.Fatalf("warm ones %.2f full, and no room", w.g.filled(w.g.byID["e1"]))
	}
	if cold := w.g.byID["e0"]; w.g.able(cold) > 0.4 || !w.g.hasRoom(cold, light) {
		t.Fatalf("a cold one is taken for %.2f full, warm ones for %.2f", w.g.filled(cold), w.g.filled(w.g.byID["e1"]))
	}
}

// The same where engines tell in answers only: what was seen of some is a guess of the others.
func TestAGuessDoesNotTurnAwayWhatCostsLeast(t *testing.T) {
	w := newWorld(t, 4, map[string]string{"gateways": "300", "may.probe": "false", "report.how": "answers", "report.figures": "held"})
	w.g.groups[0].slots.add(0.2, 100)
	w.pass(sec)
	for range 30 {
		w.report("e0", map[string]float64{"held": 20})
	}
	w.g.meanWork.value = 1 + w.g.usual(w.g.groups[0])
	if e := w.g.engines[1]; w.g.filled(e) < 1 || w.g.pressed(e, &query{rg: w.g.groups[0]}) || !w.g.pressed(e, &query{rg: w.g.groups[1]}) {
		t.Fatalf("%.2f full by those seen; pressed for light ones %v, for heavy ones %v", w.g.filled(e),
			w.g.pressed(e, &query{rg: w.g.groups[0]}), w.g.pressed(e, &query{rg: w.g.groups[1]}))
	}
	if w.g.counts = false; !w.g.pressed(w.g.engines[1], &query{rg: w.g.groups[0]}) {
		t.Fatal("busy cores told of, and a light one passes them")
	}
}

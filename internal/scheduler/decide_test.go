package scheduler

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms, sec = time.Millisecond, time.Second

// TestRules plays random days; world checks the seven rules at every step.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(name string, from ...string) string { return rapid.SampledFrom(from).Draw(t, name) }
		more := map[string]string{
			"gateways": pick("gateways", "0", "1", "2", "300"), "may.cancel": pick("cancel", "true", "false"),
			"may.copy": pick("copy", "true", "false"), "may.probe": pick("probe", "true", "false"),
			"note.period": pick("notes", "0", "1000"), "submissions.most": pick("most", "1", "3", "6"),
			"memory.short": pick("short", "queue", "trim", "swap"), "list.how": pick("list", "pushed", "asked"),
			"group.0.effect": pick("effect", "read-only", "tokened", "mutating"), "group.0.window": "2000",
			"group.0.scope": pick("scope", "all", "location", "cell"), "group.0.locations": pick("at", "", "0", "1"),
			"group.1.kinds": pick("on", "", "0", "1"), "budget.span": pick("span", "0", "3000"),
			"budget.least": "1", "budget.share": pick("share", "0", "0.2"), "key.rest": pick("rest", "0", "300"),
			"report.how":     pick("reports", "off", "probed"),
			"group.2.effect": pick("loads", "mutating", "tokened"), "group.2.window": "5000", "group.2.scope": "all",
			"loads": pick("chains", "false,false,true", ""), "kind.cores": pick("cores", "8,8", "", "0"),
		}
		w := newWorld(t, rapid.IntRange(0, 6).Draw(t, "engines"), more)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			step(t, w)
		}
		w.pass(40 * sec)
	})
}

func step(t *rapid.T, w *world) {
	n := rapid.IntRange(0, 99).Draw(t, "what")
	engine := ""
	if ids := w.ids(); len(ids) > 0 {
		engine = rapid.SampledFrom(ids).Draw(t, "engine")
	}
	switch {
	case n < 35:
		group := rapid.IntRange(0, 2).Draw(t, "group")
		w.take(group, rapid.Int64Range(0, 2).Draw(t, "tables"), rapid.Int64Range(-1, 2).Draw(t, "key"),
			time.Duration(rapid.IntRange(0, 9000).Draw(t, "budget"))*ms)
	case n < 60:
		q, k := out(t, w)
		if q != nil {
			w.end(q, k, rapid.SampledFrom([]Outcome{Finished, Failed, Rejected, TimedOut, Unreachable, ConnectionReset, Cancelled,
				NeverSent}).Draw(t, "outcome"))
		}
	case n < 68:
		if q, k := out(t, w); q != nil {
			w.scheduler.NoteReceived(w.now, q.id, k, NoteKind(rapid.IntRange(0, 3).Draw(t, "sign")), rapid.Float64Range(0, 1).Draw(t, "x"))
			w.check()
		}
	case n < 73 && engine != "":
		w.set(engine, EngineState(rapid.IntRange(0, 2).Draw(t, "state")))
	case n < 76 && engine != "":
		w.restart(engine)
	case n < 78 && engine != "":
		w.report(engine, map[string]float64{"held": 60})
	case n < 80:
		w.scheduler.ListRefused(w.now)
	case n < 82 && len(w.order) > 0:
		q := rapid.SampledFrom(w.order).Draw(t, "leaver")
		q.answered = true
		w.scheduler.ClientLeft(w.now, q.id)
		w.check()
	case n < 84:
		w.scheduler.AttemptEnded(w.now, "nobody", 0, Finished, sec, true, 0, 0, nil)
	default:
		w.pass(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pass")) * ms)
	}
}

func out(t *rapid.T, w *world) (*asked, int) {
	var all []*asked
	var tries []int
	for _, q := range w.order {
		for k, s := range q.subs {
			if !s.ended {
				all, tries = append(all, q), append(tries, k)
			}
		}
	}
	if len(all) == 0 {
		return nil, 0
	}
	i := rapid.IntRange(0, len(all)-1).Draw(t, "out")
	return all[i], tries[i]
}

func sentTo(q *asked) string {
	if len(q.subs) == 0 {
		return ""
	}
	return q.subs[len(q.subs)-1].engine
}

func TestChainHoldsALoadAndHandsItToTheSameEngine(t *testing.T) {
	w := newWorld(t, 4, nil)
	a, b := w.take(2, 1, -1, 25*sec), w.take(2, 1, -1, 25*sec)
	if len(a.subs) != 1 || len(b.subs) != 0 {
		t.Fatalf("first sent %d times, second %d", len(a.subs), len(b.subs))
	}
	w.pass(500 * ms)
	w.end(a, 0, Finished)
	if sentTo(b) != sentTo(a) {
		t.Fatalf("held load went to %q, chain runs on %q", sentTo(b), sentTo(a))
	}
}

func TestChainGoesOnWithinTheWindowOnly(t *testing.T) {
	for _, c := range []struct {
		rest time.Duration
		same bool
	}{{9 * sec, true}, {11 * sec, false}} {
		same := 0
		for i := range 20 {
			w := newWorld(t, 8, nil)
			a := w.take(2, int64(i), -1, 25*sec)
			w.end(a, 0, Finished)
			w.scheduler.rng = newPCG(uint64(i))
			w.pass(c.rest)
			if b := w.take(2, int64(i), -1, 25*sec); sentTo(b) == sentTo(a) {
				same++
			}
		}
		if (same == 20) != c.same {
			t.Fatalf("%v after its end the chain went on at its engine %d times of 20", c.rest, same)
		}
	}
}

func TestHeldLoadIsSentOnAfterItsTimeOut(t *testing.T) {
	w := newWorld(t, 4, nil)
	a, b := w.take(2, 1, -1, 25*sec), w.take(2, 1, -1, 25*sec)
	w.pass(20 * sec)
	if len(b.subs) != 1 || sentTo(b) == sentTo(a) {
		t.Fatalf("held load sent %d times, to %q beside %q", len(b.subs), sentTo(b), sentTo(a))
	}
}

func TestBoundBindsUnderPressureOnlyAndOthersAreTriedFirst(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.report("e0", map[string]float64{"held": 0})
	w.pass(100 * ms) // now that engines tell, one's part is by that
	for range 11 {
		w.take(0, 5, -1, 5*sec)
	}
	if n := len(w.did); n != 11 {
		t.Fatalf("unpressed engine got %d of 11", n)
	}
	w.report("e0", map[string]float64{"held": 60})
	held := w.take(0, 5, -1, 5*sec)
	if len(held.subs) != 0 {
		t.Fatal("pressed engine got more than the bound of cores x 2 x share")
	}
	w.engines["e9"] = &machine{id: "e9"}
	w.list(false, "e9")
	if sentTo(held) != "e9" {
		t.Fatalf("another ready engine not used: %q", sentTo(held))
	}
}

func TestQueuesReleaseInArrivalOrder(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.set("e0", EngineDraining)
	for range 6 {
		w.take(0, 1, -1, 5*sec)
	}
	w.set("e0", EngineActive)
	for i, did := range w.did {
		if len(w.did) != 6 || !strings.HasPrefix(did, w.order[i].id) {
			t.Fatal(w.did)
		}
	}
}

// A crowded engine, quiet for one's own few queries, was taken as lost, then as cold.
func TestQuietEngineThatAnswersAProbeIsNotSilent(t *testing.T) {
	w := newWorld(t, 2, map[string]string{"note.period": "0"})
	w.take(1, 1, -1, 15*sec)
	w.pass(12 * sec)
	for _, e := range w.scheduler.engines {
		if e.unresponsive || e.warmingUntil > 0 {
			t.Fatalf("%s taken as lost", e.id)
		}
	}
}

func TestReaderHeldForALoadLetsOthersPass(t *testing.T) {
	w := newWorld(t, 2, nil)
	load := w.take(2, 1, -1, 25*sec)
	for _, e := range w.scheduler.engines {
		if e.id != sentTo(load) {
			e.threadsInFlight, e.slowdown, e.inFlight = 20, 9, append(e.inFlight, &attempt{query: &query{group: w.scheduler.groups[0]}})
		}
	}
	held, other := w.take(0, 1, -1, 5*sec), w.take(0, 2, -1, 5*sec)
	if len(held.subs) != 0 || sentTo(other) != sentTo(load) {
		t.Fatalf("reader of the load's tables sent to %q, one of others to %q", sentTo(held), sentTo(other))
	}
}

func TestTablesThatHangAreShutOnThatEngine(t *testing.T) {
	w := newWorld(t, 2, nil)
	q := w.take(0, 1, -1, 10*sec)
	w.pass(2 * sec)
	s := w.scheduler.openAttempt(q.id, 0)
	if !s.moving || !w.scheduler.loadRunning(s.engine, 1) || w.scheduler.loadRunning(s.engine, 2) {
		t.Fatalf("moved %v, shut %v", s.moving, s.engine.loadRunningUntil)
	}
}

func TestOwnShareCountsEnginesWithNoneOfItsQueries(t *testing.T) {
	w := newWorld(t, 2, nil)
	q := w.take(1, 1, -1, 15*sec)
	for range 40 {
		w.report("e0", map[string]float64{"held": 4})
		w.report("e1", map[string]float64{"held": 4})
	}
	if x := w.scheduler.estimateOwnShare(); x > 0.13 {
		t.Fatalf("one query of eight is a share of %.2f (%s)", x, sentTo(q))
	}
}

func TestLongQueueIsAskedOnceForEachTableGroup(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.take(2, 1, -1, 25*sec)
	e := w.scheduler.engines[0]
	w.engines["e9"] = &machine{id: "e9"}
	w.list(false, "e9")
	full := w.scheduler.enginesByID["e9"]
	full.threadsInFlight, full.slowdown, full.inFlight = 20, 9, append(full.inFlight, &attempt{query: &query{group: w.scheduler.groups[0]}})
	for range 500 {
		w.take(0, 1, -1, 5*sec)
	}
	asked := testing.AllocsPerRun(1, func() { w.scheduler.dispatchQueued() })
	if len(e.inFlight) != 1 || asked > 100 {
		t.Fatalf("%v allocations for one round, %d out", asked, len(e.inFlight))
	}
}

// Clients that hang up early: a queue that waits longer than they do serves none.
func TestHeldQueriesAreGivenUpByThePatienceSeen(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.set("e0", EngineDraining)
	for range 20 {
		q := w.take(1, 1, -1, 15*sec)
		w.pass(500 * ms)
		q.answered = true
		w.scheduler.ClientLeft(w.now, q.id)
	}
	a, b := w.take(1, 1, -1, 15*sec), w.take(1, 1, -1, 15*sec)
	if w.pass(600 * ms); !a.answered || b.answered {
		t.Fatalf("first given up %v, last %v", a.answered, b.answered)
	}
}

func TestSubscribesWhereTheListMustBeAsked(t *testing.T) {
	w := newWorld(t, 1, map[string]string{"list.how": "asked"})
	w.pass(300 * ms)
	if len(w.did) != 1 || w.did[0] != "subscribe" {
		t.Fatal(w.did)
	}
	w.scheduler.ListRefused(w.now)
	w.pass(2 * sec)
	if len(w.did) < 2 {
		t.Fatal("did not ask again after a refusal")
	}
}

func TestBoundLeavesAPartToTheGroupsWorthMore(t *testing.T) {
	w := newWorld(t, 1, map[string]string{"gateways": "1"})
	w.scheduler.engines[0].slowdown = 9
	for range 9 {
		w.take(1, 1, -1, 15*sec)
	}
	if n := len(w.did); n != 4 || len(w.take(0, 1, -1, 5*sec).subs) != 1 {
		t.Fatalf("%d long queries sent, the short one held", n)
	}
}

// Among hundreds of gateways one's own queries tell nothing of an engine.
func among(t *testing.T, engines int) *world {
	return newWorld(t, engines, map[string]string{"gateways": "300", "report.how": "probed", "cold.span": "9000"})
}

func TestAmongManyAQueryGoesToAnEngineLookedAt(t *testing.T) {
	w := among(t, 30)
	w.scheduler.meanWorkSeconds.add(1, 1)
	w.scheduler.healthCheckTokens = 3
	q := w.take(1, 1, -1, 15*sec)
	if len(q.subs) != 0 || len(w.probes) != 2 {
		t.Fatalf("sent %d times before %d looks", len(q.subs), len(w.probes))
	}
	full, free := w.probes[0], w.probes[1]
	w.report(full, map[string]float64{"held": 60})
	w.report(free, map[string]float64{"held": 1})
	if sentTo(q) != free {
		t.Fatalf("sent to %q, not %q", sentTo(q), free)
	}
}

// Queries that wait for one look don't all go to the engine seen free: other gateways saw the same.
func TestABurstIsNotSentToTheOneEngineSeen(t *testing.T) {
	w := among(t, 30)
	w.scheduler.meanWorkSeconds.add(1, 1)
	w.scheduler.healthCheckTokens = 6
	to := map[string]int{}
	var burst []*asked
	for i := range 6 {
		burst = append(burst, w.take(0, int64(i), -1, 5*sec))
	}
	for i := 0; i < len(w.probes); i++ {
		w.pass(ms)
		w.report(w.probes[i], map[string]float64{"held": 1})
	}
	for _, q := range burst {
		if to[sentTo(q)]++; sentTo(q) == "" || to[sentTo(q)] > 2 {
			t.Fatalf("sent to %q, %v of six there, %d looks", sentTo(q), to[sentTo(q)], len(w.probes))
		}
	}
}

// Every gateway with one query on every engine is far too many; none at all is no use.
func TestBoundUnderOneQueryBindsInTheMeanOnHeavyOnes(t *testing.T) {
	w := among(t, 4)
	e, q := w.scheduler.engines[0], &query{group: w.scheduler.groups[1]}
	w.report("e0", map[string]float64{"held": 2})
	w.scheduler.meanWorkSeconds.value, w.scheduler.reportedUtilization.value = 1, 0.8
	if !w.scheduler.hasCapacity(e, q) {
		t.Fatal("nothing out, and no room")
	}
	w.scheduler.engines[1].threadsInFlight, w.scheduler.engines[1].inFlight, w.scheduler.totalsStale = 3, []*attempt{{query: q}}, true
	if w.scheduler.hasCapacity(e, q) || !w.scheduler.hasCapacity(e, &query{group: w.scheduler.groups[0]}) {
		t.Fatal("a second long query let in, or a short one held")
	}
}

func TestColdEngineIsNeitherIdleNorPushedOverAmongMany(t *testing.T) {
	w := among(t, 30)
	w.pass(sec)
	w.restart("e0")
	w.scheduler.recentWorkSeconds, w.scheduler.groups[0].recentArrivals, w.scheduler.meanWorkSeconds.value = 10, 4, 1 // a fifth is this group's
	n := 0
	for i := range 3000 {
		if w.scheduler.slowStartAllows(&query{group: w.scheduler.groups[0], seq: uint64(i)}, w.scheduler.enginesByID["e0"]) {
			n++
		}
	}
	// 30 engines do 240 s of work a second, a fifth of it this group's; 6.7 is the limit
	if sum := 240 * 0.2 * float64(n) / 3000; sum < 1 || sum > 3.5 {
		t.Fatalf("%.1f s of work a second by chance", sum)
	}
}

func TestEngineThatDoesNotAnswerALookRests(t *testing.T) {
	w := among(t, 2)
	w.scheduler.HealthCheckEnded(w.now, "e0", TimedOut, nil)
	for range 5 {
		w.take(0, 1, -1, 5*sec)
	}
	if slices.Contains(w.probes, "e0") {
		t.Fatal("looked at again at once")
	}
}

func TestWhatCantBeDoneInTimeIsGivenUpByItsNotes(t *testing.T) {
	w := newWorld(t, 1, nil)
	q := w.take(1, 1, -1, 1900*ms)
	w.pass(sec)
	if w.scheduler.NoteReceived(w.now, q.id, 0, Progress, 0.1); !q.answered {
		t.Fatal("held to its queue timeout")
	}
}

// A slow load held up its key's line; when it ended all twenty that stood behind it
// were given up in one moment, came back in one moment, and the last of them reached
// the gateway with most of their time gone: queries lost.
func TestALineHoldsNoMoreThanCanBeDone(t *testing.T) {
	w := newWorld(t, 2, nil)
	head := w.take(2, 1, 5, 25*sec)
	var line []*asked
	for range 20 {
		w.pass(60 * ms)
		q := w.take(2, 2, 5, 20*sec)
		if line = append(line, q); q.answered && q.overAt != w.now {
			t.Fatal("given up, and not at once")
		}
	}
	if line[1].answered {
		t.Fatal("there is time enough for the first ones")
	}
	if w.pass(11 * sec); !line[19].answered {
		t.Fatal("nineteen loads of a second and a half before it, and twenty seconds of time")
	}
	w.set("e0", EngineDraining) // no room: the queue is not empty when the next's turn comes
	w.set("e1", EngineDraining)
	w.take(2, 3, -1, 20*sec)
	w.end(head, 0, Finished)
	w.pass(ms)
	at := map[time.Duration]int{}
	for _, q := range line {
		if q.answered {
			at[q.overAt]++
		}
	}
	for when, n := range at {
		if n > 13 { // as many as can be done in their time, at 1.5 s each
			t.Fatalf("%d of one line were given up at %v", n, when)
		}
	}
}

// While three engines in five were cold, nearly empty and looked at most, all gateways
// took the warm ones for half empty and the bound in the mean never bound.
func TestColdEnginesSayNothingOfWarmOnes(t *testing.T) {
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
	if w.scheduler.reportedUtilization.value < 1 || w.scheduler.reportedQueries.value < 39 {
		t.Fatalf("engines seen are taken for %.2f full, holding %.1f", w.scheduler.reportedUtilization.value, w.scheduler.reportedQueries.value)
	}
	if w.scheduler.activeEngines(); w.scheduler.warmEngines != 1 {
		t.Fatalf("%v engines count for the bound, one is warm", w.scheduler.warmEngines)
	}
	w.pass(16 * sec)
	if w.scheduler.activeEngines(); w.scheduler.warmEngines != 3 {
		t.Fatalf("%v of 3 count once they are warm", w.scheduler.warmEngines)
	}
}

// Where all engines were full, queries that their notes showed to be slow were called off
// after a second and begun anew on others as slow: half of the engines' time was lost so.
func TestSlowQueriesStayWhereAllIsFull(t *testing.T) {
	for _, full := range []bool{false, true} {
		w := newWorld(t, 4, map[string]string{"report.how": "probed", "may.probe": "false", "may.copy": "true"})
		q := w.take(1, 1, -1, 15*sec)
		for range 10 {
			w.pass(100 * ms)
			for _, id := range w.ids() {
				w.report(id, map[string]float64{"held": map[bool]float64{false: 2, true: 40}[full]})
			}
		}
		w.scheduler.NoteReceived(w.now, q.id, 0, Progress, 0.1) // nine seconds to go, of one and a half that it should take
		w.pass(10 * ms)
		if moved := w.scheduler.queries[q.id].attempts[0].moving; moved == full || q.answered {
			t.Fatalf("full %v, moved %v, given up %v", full, moved, q.answered)
		}
	}
}

// Each light query that went to a cold engine was looked ahead for, though its chance alone
// leaves room there: a probe a query, priced over the whole fleet.
func TestAColdEngineIsSentItsLightQueriesUnseen(t *testing.T) {
	w := newWorld(t, 40, map[string]string{"gateways": "300", "report.how": "probed"})
	ask := func() *asked {
		w.pass(20 * ms)
		for _, id := range []string{"e8", "e9"} { // two warm ones with room are known
			w.report(id, map[string]float64{"held": 2})
		}
		w.probes = nil
		return w.take(0, 1, -1, 5*sec)
	}
	w.take(1, 1, -1, 15*sec) // beside which lookups are light
	for range 40 {
		w.end(ask(), 0, Finished)
	}
	for _, id := range w.ids()[:20] {
		w.restart(id)
	}
	went := 0
	for range 400 {
		q := ask()
		if len(q.subs) != 1 || len(w.probes) > 0 {
			t.Fatalf("sent %d times, %d looks", len(q.subs), len(w.probes))
		}
		if w.engines[q.subs[0].engine].started > 0 {
			went++
		}
		w.end(q, 0, Finished)
	}
	if went < 50 {
		t.Fatalf("%d of 400 went to cold engines, half of all", went)
	}
}

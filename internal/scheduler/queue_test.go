package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestQueueDispatchesInArrivalOrder(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.set("e0", EngineDraining)
	for range 6 {
		w.arrive(0, 1, -1, 5*sec)
	}
	w.set("e0", EngineActive)
	for i, did := range w.log {
		if len(w.log) != 6 || !strings.HasPrefix(did, w.order[i].id) {
			t.Fatal(w.log)
		}
	}
}

func TestQueueLetsOthersPassReaderWaitingForLoad(t *testing.T) {
	w := newWorld(t, 2, nil)
	load := w.arrive(2, 1, -1, 25*sec)
	for _, e := range w.s.engines {
		if e.id != sentTo(load) {
			e.threadsInFlight, e.slowdown, e.inFlight = 20, 9, append(e.inFlight,
				&attempt{query: &query{group: w.s.groups[0]}})
		}
	}
	held, other := w.arrive(0, 1, -1, 5*sec), w.arrive(0, 2, -1, 5*sec)
	if len(held.attempts) != 0 || sentTo(other) != sentTo(load) {
		t.Fatalf("reader of the load's tables sent to %q, one of others to %q", sentTo(held), sentTo(other))
	}
}

func TestQueueAsksOncePerTableGroup(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.arrive(2, 1, -1, 25*sec)
	e := w.s.engines[0]
	w.engines["e9"] = &listedEngine{id: "e9"}
	w.list(false, "e9")
	full := w.s.enginesByID["e9"]
	full.threadsInFlight, full.slowdown, full.inFlight = 20, 9, append(full.inFlight,
		&attempt{query: &query{group: w.s.groups[0]}})
	for range 500 {
		w.arrive(0, 1, -1, 5*sec)
	}
	asked := testing.AllocsPerRun(1, func() { w.s.dispatchQueued() })
	if len(e.inFlight) != 1 || asked > 100 {
		t.Fatalf("%v allocations for one round, %d out", asked, len(e.inFlight))
	}
}

// Clients that hang up early: a queue that waits longer than they do serves none.
func TestQueueRejectsByPatienceSeen(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.set("e0", EngineDraining)
	for range 20 {
		q := w.arrive(1, 1, -1, 15*sec)
		w.pass(500 * ms)
		q.answered = true
		w.s.ClientLeft(w.now, q.id)
	}
	a, b := w.arrive(1, 1, -1, 15*sec), w.arrive(1, 1, -1, 15*sec)
	if w.pass(600 * ms); !a.answered || b.answered {
		t.Fatalf("first given up %v, last %v", a.answered, b.answered)
	}
}

// A long query in front took the room of several that are worth as much.
func TestLongQueueShedsCostliestFirst(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.s.engines[0].slowdown, w.s.engines[0].threadsInFlight = 9, 16 // pressed, and no room left of one's own
	w.s.groups[1].objectiveStretch = 9                              // all of them can still be in time
	w.now = 5 * sec
	w.s.groups[1].recentThreadSeconds, w.s.groups[1].workSeconds = 15, movingAverage{3, 50}
	for _, work := range []time.Duration{3, 30, 2, 60, 1, 2, 3} {
		takeForTenant(w, 1, -1, work*sec)
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

// A customer three times over its share: its queries count for less than others'.
func TestQueriesOverQuotaCostMore(t *testing.T) {
	w := newWorld(t, 1, map[string]string{"gateways": "1", "teams": "2", "team.0.quota": "4",
		"team.1.quota": "4", "over.worth": "0.05"})
	for range 400 {
		takeForTenant(w, 0, 0, 0)
		if w.now%(300*ms) == 0 {
			takeForTenant(w, 0, 1, 0)
		}
		w.pass(100 * ms)
	}
	q := func(i int) *query {
		return &query{group: w.s.groups[0], tenant: w.s.tenants[i], workSeconds: 0.2}
	}
	if a, b := w.s.costPerWeight(q(0)), w.s.costPerWeight(q(1)); w.s.overQuotaFraction(w.s.tenants[1]) > 0 ||
		a < 1.3*b {
		t.Fatalf("%.2f beyond its share, %.2f within", a, b)
	}
	if x := w.s.costPerWeight(&query{group: w.s.groups[0], tenant: w.s.tenant(2),
		workSeconds: 0.2}); x != 0.2 || w.s.tenant(-1) != w.s.tenant(2) {
		t.Fatalf("nobody's query counts for less: %.2f", x)
	}
}

// Alone in its queue, with nothing to be had from a late answer, it was held until its client left.
// Where nothing is told of late answers they are waited for, as before.
func TestQueueRejectsLateQueryWithoutLateValue(t *testing.T) {
	for _, late := range []string{"0", "0.1", ""} {
		w := newWorld(t, 1, map[string]string{"group.0.late-share": late})
		w.set("e0", EngineDraining)
		q := w.arrive(0, 1, -1, 5*sec)
		if w.pass(1200 * ms); q.answered != (late == "0") {
			t.Fatalf("worth %s when late: answered %v at %v", late, q.answered, w.now)
		}
	}
}

// While it is held nothing goes, and all goes in its order afterwards.
func TestPausedSchedulerDispatchesNothing(t *testing.T) {
	a := &recordingActions{}
	g := New(a, 7, testSettings(map[string]string{"report.how": "off", "may.probe": ""}))
	g.ListStarted(0, true)
	g.EngineListed("e0", 0, 0, 0, EngineActive, 0, false)
	g.ListEnded()
	g.SetPaused(ms, true)
	for i := range 3 {
		g.QueryArrived(ms, fmt.Sprint("q", i), 0, -1, 5*sec, 1, -1, 0, 0)
	}
	g.TimerFired(50*ms, tickTag)
	if len(a.sent) > 0 {
		t.Fatal(a.sent)
	}
	g.QueryDropped(60*ms, "q1")
	if rg := g.groups[0]; rg.abandonRate.count > 0 {
		t.Fatal("it passes for one whose client left")
	}
	g.SetPaused(70*ms, false)
	if !slices.Equal(a.sent, []string{"q0", "q2"}) || len(g.queries) != 2 {
		t.Fatal(a.sent, len(g.queries))
	}
}

// takeAs takes a query of a customer, with an estimate.
func takeForTenant(w *world, group, team int, work time.Duration) {
	q := &clientQuery{id: fmt.Sprint("x", len(w.order)), group: group, taken: w.now, deadline: w.now + 60*sec}
	w.queries[q.id], w.order = q, append(w.order, q)
	w.s.QueryArrived(w.now, q.id, group, team, 60*sec, int64(len(w.order)), -1, work, 100)
}

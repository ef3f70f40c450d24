package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestQueueDispatchesInArrivalOrder(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.setState("e0", EngineDraining)
	for range 6 {
		h.arrive(0, 1, -1, 5*sec)
	}
	h.setState("e0", EngineActive)
	for i, did := range h.actions {
		if len(h.actions) != 6 || !strings.HasPrefix(did, h.arrivals[i].id) {
			t.Fatal(h.actions)
		}
	}
}

func TestQueueSkipsReaderWaitingForLoad(t *testing.T) {
	h := newHarness(t, 2, nil)
	load := h.arrive(2, 1, -1, 25*sec)
	for _, e := range h.s.engines {
		if e.id != sentTo(load) {
			e.threadsInFlight, e.slowdown, e.inFlight = 20, 9, append(e.inFlight,
				&attempt{query: &query{group: h.s.groups[0]}})
		}
	}
	waiting, other := h.arrive(0, 1, -1, 5*sec), h.arrive(0, 2, -1, 5*sec)
	if len(waiting.attempts) != 0 || sentTo(other) != sentTo(load) {
		t.Fatalf("reader of the load's tables sent to %q, reader of other tables to %q",
			sentTo(waiting), sentTo(other))
	}
}

func TestQueueRoutesOncePerTableGroup(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.arrive(2, 1, -1, 25*sec)
	e := h.s.engines[0]
	h.engines["e9"] = &listedEngine{id: "e9"}
	h.listEngines(false, "e9")
	full := h.s.enginesByID["e9"]
	full.threadsInFlight, full.slowdown, full.inFlight = 20, 9, append(full.inFlight,
		&attempt{query: &query{group: h.s.groups[0]}})
	for range 500 {
		h.arrive(0, 1, -1, 5*sec)
	}
	allocations := testing.AllocsPerRun(1, func() { h.s.dispatchQueued() })
	if len(e.inFlight) != 1 || allocations > 100 {
		t.Fatalf("%v allocations in one dispatch, %d attempts in flight", allocations, len(e.inFlight))
	}
}

// If clients leave early, a queue in which queries wait longer than clients do would answer none of them.
func TestQueueRejectsByObservedPatience(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.setState("e0", EngineDraining)
	for range 20 {
		q := h.arrive(1, 1, -1, 15*sec)
		h.advance(500 * ms)
		q.answered = true
		h.s.ClientLeft(h.now, q.id)
	}
	a, b := h.arrive(1, 1, -1, 15*sec), h.arrive(1, 1, -1, 15*sec)
	if h.advance(600 * ms); !a.answered || b.answered {
		t.Fatalf("first query rejected %v, last one %v", a.answered, b.answered)
	}
}

// A long query at the head of the queue took the capacity of several shorter queries of equal
// value.
func TestLongQueueShedsCostliestFirst(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.s.engines[0].slowdown, h.s.engines[0].threadsInFlight = 9, 16 // under pressure, own share used up
	h.s.groups[1].objectiveStretch = 9                              // all of them can still be in time
	h.now = 5 * sec
	h.s.groups[1].recentThreadSeconds, h.s.groups[1].workSeconds = 15, movingAverage{3, 50}
	for _, work := range []time.Duration{3, 30, 2, 60, 1, 2, 3} {
		arriveForTenant(h, 1, -1, work*sec)
	}
	var kept []string
	for _, q := range h.arrivals {
		if !q.answered {
			kept = append(kept, q.id)
		}
	}
	if fmt.Sprint(kept) != "[x0 x2 x4 x5 x6]" {
		t.Fatalf("queries kept: %v", kept)
	}
}

// A query of a tenant at three times its quota has a lower weight than those of other tenants.
func TestQueriesOverQuotaCostMore(t *testing.T) {
	h := newHarness(t, 1, map[string]string{"gateways": "1", "teams": "2", "team.0.quota": "4",
		"team.1.quota": "4", "over.worth": "0.05"})
	for range 400 {
		arriveForTenant(h, 0, 0, 0)
		if h.now%(300*ms) == 0 {
			arriveForTenant(h, 0, 1, 0)
		}
		h.advance(100 * ms)
	}
	q := func(i int) *query {
		return &query{group: h.s.groups[0], tenant: h.s.tenants[i], workSeconds: 0.2}
	}
	if a, b := h.s.costPerWeight(q(0)), h.s.costPerWeight(q(1)); h.s.overQuotaFraction(h.s.tenants[1]) > 0 ||
		a < 1.3*b {
		t.Fatalf("cost %.2f beyond the quota, %.2f within", a, b)
	}
	if x := h.s.costPerWeight(&query{group: h.s.groups[0], tenant: h.s.tenantByIndex(2),
		workSeconds: 0.2}); x != 0.2 || h.s.tenantByIndex(-1) != h.s.tenantByIndex(2) {
		t.Fatalf("cost of a query without a tenant is %.2f", x)
	}
}

// A late query alone in its queue waited until its client left, even if a late answer has no value.
// Without a setting for late answers, it still waits.
func TestQueueRejectsLateQueryWithoutLateValue(t *testing.T) {
	for _, late := range []string{"0", "0.1", ""} {
		h := newHarness(t, 1, map[string]string{"group.0.late-share": late})
		h.setState("e0", EngineDraining)
		q := h.arrive(0, 1, -1, 5*sec)
		if h.advance(1200 * ms); q.answered != (late == "0") {
			t.Fatalf("late value %q: answered %v at %v", late, q.answered, h.now)
		}
	}
}

// A paused scheduler sends nothing. After its resumption it sends the queued queries in order.
func TestPausedSchedulerDispatchesNothing(t *testing.T) {
	a := &recordingActions{}
	s := New(a, 7, testSettings(map[string]string{"report.how": "off", "may.probe": ""}))
	s.ListStarted(0, true)
	s.EngineListed("e0", 0, 0, 0, EngineActive, 0, false)
	s.ListEnded()
	s.SetPaused(ms, true)
	for i := range 3 {
		s.QueryArrived(ms, fmt.Sprint("q", i), 0, -1, 5*sec, 1, -1, 0, 0)
	}
	s.TimerFired(50*ms, tickTag)
	if len(a.sent) > 0 {
		t.Fatal(a.sent)
	}
	s.QueryDropped(60*ms, "q1")
	if rg := s.groups[0]; rg.abandonRate.count > 0 {
		t.Fatal("dropped query counted as one whose client left")
	}
	s.SetPaused(70*ms, false)
	if !slices.Equal(a.sent, []string{"q0", "q2"}) || len(s.queries) != 2 {
		t.Fatal(a.sent, len(s.queries))
	}
}

// arriveForTenant adds a query of a tenant with an estimate of its work.
func arriveForTenant(h *harness, group, tenant int, work time.Duration) {
	q := &clientQuery{id: fmt.Sprint("x", len(h.arrivals)), group: group, arrivedAt: h.now,
		deadline: h.now + 60*sec}
	h.queries[q.id], h.arrivals = q, append(h.arrivals, q)
	h.s.QueryArrived(h.now, q.id, group, tenant, 60*sec, int64(len(h.arrivals)), -1, work, 100)
}

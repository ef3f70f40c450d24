package controller

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/residency"
)

// newFleetHarness returns a harness whose controller has peers and no open policy version.
func newFleetHarness(t interface{ Fatalf(string, ...any) }, engines int, more map[string]string,
	change ...func(*Config)) *harness {
	return newHarness(t, engines, 256, more, append(
		[]func(*Config){func(m *Config) { m.Fleet = &FleetConfig{ServingState: &fleet.ServingState{}} }},
		change...)...)
}

func (h *harness) deliverOrder(o fleet.Order) { h.step(Event{Kind: FleetOrderReceived, Order: &o}) }

// openVersion renews the lease for the given time and opens a policy version.
func (h *harness) openVersion(version uint64, lease time.Duration) {
	h.deliverOrder(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: h.now + lease, ConfinedLeaseEnd: h.now + lease})
	h.deliverOrder(fleet.Order{Kind: fleet.ActivatePolicy, Version: version, Policy: &Policy{Version: version}})
}

// mayWrite makes the runner's check right before a write, which may come later than the step.
func (h *harness) mayWrite(f Effect) bool {
	w := h.controller.Config.Fleet.ServingState
	if !w.BeginWrite(h.now+h.writeDelay, f.PolicyVersion, f.Confined) {
		return false
	}
	w.EndWrite()
	if n := len(h.submittedVersions); n > 0 && f.PolicyVersion < h.submittedVersions[n-1] {
		h.t.Fatalf("attempt sent by version %d after one by version %d", f.PolicyVersion, h.submittedVersions[n-1])
	}
	h.submittedVersions = append(h.submittedVersions, f.PolicyVersion)
	return true
}

// reportCount returns the number of reports of a kind.
func (h *harness) reportCount(kind fleet.ReportKind) (n int) {
	for _, p := range h.reports {
		if p.Kind == kind {
			n++
		}
	}
	return n
}

// Queries that arrive while the controller is paused must be held, and sent in the order of arrival once a
// version opens.
func TestHeldQueriesGoInOrderOnceAVersionOpens(t *testing.T) {
	s := newFleetHarness(t, 1, nil)
	c := s.connect()
	first, next := s.sendQuery(c, "load", "k", 5*time.Second, 1), s.sendQuery(c, "load", "k", 5*time.Second, 2)
	gone := s.sendQuery(c, "lookup", "", 5*time.Second, 1)
	s.cancel(gone)
	s.runUntil(time.Second)
	if len(first.runs) > 0 || s.controller.servingLease.heldCount != 2 ||
		s.controller.servingLease.servingVersion(false) != 0 {
		t.Fatalf("%d sent, %d held", len(first.runs), s.controller.servingLease.heldCount)
	}
	s.openVersion(1, time.Minute)
	s.respond(s.waitForCall("POST", first.id), "ok")
	s.respond(s.waitForCall("POST", next.id), "ok") // the harness checks their order
	s.runUntil(s.now + 100*time.Millisecond)
	if first.answer != "finished" || next.answer != "finished" ||
		s.controller.servingLease.longestHold != time.Second {
		t.Fatal(first.answer, next.answer, s.controller.servingLease.longestHold)
	}
	if s.reportCount(fleet.PolicyActivated) != 1 || s.reportCount(fleet.SitesServing) < 2 ||
		!slices.Equal(s.reports[0].ServingSites, []string{"here"}) {
		t.Fatalf("%+v", s.reports)
	}
}

// A held query must be deferred after MaxHold, or shortly before its deadline if that is earlier. Beyond
// maxHeldQueries, queries must be deferred at once. None of them may be sent.
func TestQueryHeldForTooLongIsDeferred(t *testing.T) {
	s := newFleetHarness(t, 1, nil)
	c := s.connect()
	long, short := s.sendQuery(c, "load", "k", 9*time.Second, 1),
		s.sendQuery(c, "load", "k", 500*time.Millisecond, 1)
	s.runUntil(495 * time.Millisecond)
	if short.answer != "deferred" || long.answer != "" {
		t.Fatal(short.answer, long.answer)
	}
	s.runUntil(defaultMaxHold + time.Millisecond)
	if long.answer != "deferred" || s.controller.servingLease.deferredHeld != 2 ||
		len(s.controller.queries) > 0 {
		t.Fatal(long.answer, s.controller.servingLease.deferredHeld)
	}
	s.controller.servingLease.heldCount = maxHeldQueries
	excess := s.sendQuery(c, "lookup", "", 9*time.Second, 1)
	s.controller.servingLease.heldCount = 0
	if excess.answer != "deferred" || len(s.submittedVersions) > 0 {
		t.Fatal(excess.answer)
	}
}

// When the lease ends, running attempts must go on. Queries in the scheduler, and attempts that have an
// engine but aren't sent, must wait and then be deferred.
func TestNothingIsSentAfterTheLeaseEnds(t *testing.T) {
	s := newFleetHarness(t, 1, map[string]string{"may.copy": "false"})
	s.openVersion(1, 100*time.Millisecond)
	c := s.connect()
	runs := s.sendQuery(c, "load", "k", 9*time.Second, 1)
	s.respond(s.waitForCall("POST", runs.id), "runs")
	behind := s.sendQuery(c, "load", "k", 9*time.Second, 2) // same key, waits in the scheduler
	s.runUntil(99 * time.Millisecond)
	s.controller.pool.limit = s.controller.pool.open // so that the next attempt waits for a connection
	chosen := s.sendQuery(c, "lookup", "", 9*time.Second, 3)
	s.runUntil(200 * time.Millisecond)
	s.controller.pool.limit = 100
	s.runUntil(time.Second)
	if len(behind.runs)+len(chosen.runs) > 0 {
		t.Fatal("sent without a lease")
	}
	s.runUntil(100*time.Millisecond + defaultMaxHold + 10*time.Millisecond)
	if runs.answer != "" || behind.answer != "deferred" || chosen.answer != "deferred" {
		t.Fatal(runs.answer, behind.answer, chosen.answer)
	}
	s.respond(s.waitForCall("GET", runs.id), "ok")
	s.runUntil(s.now + 100*time.Millisecond)
	if runs.answer != "finished" || len(s.controller.queries) > 0 {
		t.Fatal(runs.answer, len(s.controller.queries))
	}
}

// If the process stalls past the end of its lease right before it writes a request, nothing may be written.
// The attempt counts as never sent, and the query must be sent again once there is a lease.
func TestWriteIsBarredAfterAStallPastTheLease(t *testing.T) {
	s := newFleetHarness(t, 1, nil)
	s.openVersion(1, 10*time.Second)
	s.writeDelay = time.Minute
	a := s.sendQuery(s.connect(), "load", "k", 9*time.Second, 1)
	s.runUntil(50 * time.Millisecond)
	if len(a.runs) > 0 || s.controller.servingLease.rejectedWrites == 0 ||
		s.controller.counters.attemptEnds[7] == 0 {
		t.Fatalf("%d sent, %d writes rejected, attempt ends %v", len(a.runs),
			s.controller.servingLease.rejectedWrites, s.controller.counters.attemptEnds)
	}
	s = newFleetHarness(t, 1, nil)
	s.openVersion(1, 10*time.Second)
	a = s.sendQuery(s.connect(), "load", "k", 9*time.Second, 1)
	s.writeDelay = time.Minute
	for s.controller.servingLease.rejectedWrites == 0 {
		s.runUntil(s.now + time.Millisecond)
	}
	s.writeDelay = 0
	s.respond(s.waitForCall("POST", a.id), "ok")
	s.runUntil(s.now + 100*time.Millisecond)
	if a.answer != "finished" || len(a.runs) != 1 {
		t.Fatal(a.answer, len(a.runs))
	}
}

// A fence must be reported only once no write is under way. A held query must be judged by the next version:
// by its limits, its customers and its rules.
func TestHeldQueryIsAdmittedByTheNextVersion(t *testing.T) {
	s := newFleetHarness(t, 1, map[string]string{"teams": "1", "team.0.name": "old", "team.0.quota": "5"},
		func(m *Config) { m.FieldNames.Customer = "who" })
	s.openVersion(1, time.Minute)
	c := s.connect()
	state := s.controller.Config.Fleet.ServingState
	state.BeginWrite(s.now, 1, false) // a write is under way
	s.deliverOrder(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c"})
	s.runUntil(10 * time.Millisecond)
	a := s.sendQuery(c, "lookup", "", 5*time.Second, 1, "who", "new")
	b := s.sendQuery(c, "lookup", "", 25*time.Second, 1)
	if s.reportCount(fleet.PolicyFenced) != 0 || len(a.runs) > 0 {
		t.Fatal("fence reported, or query sent, during a write")
	}
	state.EndWrite()
	s.runUntil(12 * time.Millisecond)
	if s.reportCount(fleet.PolicyFenced) != 1 {
		t.Fatal("fence not reported after the write")
	}
	s.deliverOrder(fleet.Order{Kind: fleet.ActivatePolicy, Version: 2,
		Policy: &Policy{Version: 2, Settings: map[string]string{"group.0.timeout": "20000",
			"group.0.value": "9", "group.0.target": "700", "threads": "2,3,2", "teams": "2", "team.0.name": "old",
			"team.1.name": "new", "team.1.quota": "7",
			"group.0.effect": "mutating"}}})
	if q := s.controller.queries[a.id]; q == nil || q.customer != 1 {
		t.Fatalf("%+v", q)
	}
	if g := s.controller.groups["lookup"]; b.answer != "killed" || g.priorityWeight != 9 || g.threads != 2 ||
		g.latencyObjective != 700*time.Millisecond {
		t.Fatalf("%q %+v", b.answer, g)
	}
	if s.controller.Settings["group.0.effect"] != "read-only" || s.controller.servingLease.policySwitches != 1 {
		t.Fatal("a setting that the fleet must not change was changed, or switches were miscounted")
	}
	s.runUntil(s.now + 50*time.Millisecond)
	if !slices.Equal(s.submittedVersions, []uint64{2}) {
		t.Fatal(s.submittedVersions)
	}
}

// An attempt that is blocked during a change of version must go back to the scheduler if the next version
// forbids its engine.
func TestBlockedAttemptObeysTheNextVersion(t *testing.T) {
	s := newResidencyHarness(t, 2, "a", map[string]string{"may.probe": "false", "report.how": "off"})
	s.openVersion(1, time.Minute)
	s.statement = "insert into d_1.x select 1"
	a := s.sendQuery(s.connect(), "load", "k", 9*time.Second, 1, "who", "bank")
	q := s.controller.queries[a.id]
	s.deliverOrder(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c"}) // while the attempt waits for a connection
	s.runUntil(s.now + 300*time.Millisecond)
	if len(s.controller.servingLease.blockedAttempts) != 1 {
		t.Fatal("the attempt isn't blocked")
	}
	chosen, other := q.attempts[0].engine.id, "a"
	if s.siteOf(q.attempts[0].engine) == "a" {
		other = "b"
	}
	s.deliverOrder(fleet.Order{Kind: fleet.ActivatePolicy, Version: 2, Policy: &Policy{Version: 2,
		Rules: []residency.Rule{{Name: "r", Tenant: "bank", EngineSites: []string{other},
			ControllerSites: []string{"a"}}}}})
	h := s.waitForCall("POST", a.id)
	if h.engine.id == chosen || h.engine.site != other || !slices.Equal(s.submittedVersions, []uint64{2}) ||
		s.controller.counters.attemptEnds[7] != 1 {
		t.Fatalf("sent to %s, chosen first was %s, versions %v, attempt ends %v", h.engine.id, chosen,
			s.submittedVersions, s.controller.counters.attemptEnds)
	}
}

// Confined queries need the shorter lease of their own. Without it only they must wait, along with the later
// queries of their keys.
func TestOnlyConfinedTenantsWaitForTheirLease(t *testing.T) {
	s := newFleetHarness(t, 1, nil, func(m *Config) {
		m.Fleet.IsConfined = func(_ string, tables int64) bool { return tables == 7 }
	})
	s.deliverOrder(fleet.Order{Kind: fleet.ActivatePolicy, Version: 1})
	s.deliverOrder(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever})
	c := s.connect()
	confined, free, behind := s.sendQuery(c, "load", "k", 9*time.Second, 7),
		s.sendQuery(c, "load", "x", 9*time.Second, 1), s.sendQuery(c, "load", "k", 9*time.Second, 2)
	s.runUntil(time.Second)
	if len(confined.runs)+len(behind.runs) > 0 || len(free.runs) != 1 {
		t.Fatal(len(confined.runs), len(behind.runs), len(free.runs))
	}
	s.deliverOrder(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever,
		ConfinedLeaseEnd: s.now + time.Minute})
	s.respond(s.waitForCall("POST", confined.id), "ok")
	s.waitForCall("POST", behind.id)
}

// The fair queue must not dispatch while the controller is paused, and reports that the fleet's full queue
// rejected must be resent in order.
func TestFairQueuePausesAndRejectedReportsAreResent(t *testing.T) {
	s := newFleetHarness(t, 0, nil, func(m *Config) {
		m.Tenants = &fairqueue.Config{Tenants: []fairqueue.Tenant{{Name: "a", Weight: 1}}}
	})
	s.openVersion(1, time.Minute)
	c := s.connect()
	for range 3 {
		s.sendQuery(c, "lookup", "", 9*time.Second, 1)
	}
	s.rejectReports = true
	s.deliverOrder(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c"})
	waits := s.controller.fairQueue.queue.WaitingCount()
	s.runUntil(time.Second)
	if s.controller.fairQueue.queue.WaitingCount() != waits || s.reportCount(fleet.PolicyFenced) != 0 {
		t.Fatal("the fair queue dispatched while paused, or a rejected report was received")
	}
	s.deliverOrder(fleet.Order{Kind: fleet.ActivatePolicy, Version: 2,
		Policy: &Policy{Version: 2, Tenants: &fairqueue.Config{
			Tenants: []fairqueue.Tenant{{Name: "b", Weight: 1}}}}})
	s.deliverOrder(fleet.Order{Kind: fleet.InvalidateData, ID: "p", Scope: &fleet.Scope{Tenant: "a"}})
	s.rejectReports, s.reports = false, nil
	s.runUntil(s.now + 2*reportRetryInterval)
	var kinds []fleet.ReportKind
	for _, p := range s.reports {
		kinds = append(kinds, p.Kind)
	}
	if !slices.Equal(kinds, []fleet.ReportKind{fleet.PolicyFenced, fleet.PolicyActivated, fleet.DataTombstoned,
		fleet.DataErased}) {
		t.Fatal(kinds)
	}
	s.step(Event{Kind: CountersRequested})
	if text := s.logLines[len(s.logLines)-1]; !strings.Contains(text, "fleet version 2 switches 1") {
		t.Fatal(text)
	}
}

// Under random events, changes of version, ends of leases and stalls of the process, the invariants that the
// harness checks must hold, and no attempt may be sent by an older version after one by a newer version.
func TestInvariantsHoldInAFleet(t *testing.T) {
	reached := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		choices := rapid.SliceOfN(rapid.Uint16(), 60, 150).Draw(t, "choices")
		orders := rapid.SliceOfN(rapid.IntRange(0, 7), 8, 8).Draw(t, "orders")
		tenants := rapid.Bool().Draw(t, "teams")
		s := newFleetHarness(t, 3, nil, func(m *Config) {
			if tenants {
				m.Tenants = &fairqueue.Config{Tenants: []fairqueue.Tenant{{Name: "a", Weight: 1}}}
			}
		})
		s.openVersion(1, time.Minute)
		version := uint64(1)
		part := len(choices) / len(orders)
		for i, o := range orders {
			lease := func(d time.Duration) {
				s.deliverOrder(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: s.now + d, ConfinedLeaseEnd: s.now + d/2})
			}
			switch s.writeDelay = 0; o {
			case 0, 1:
				s.deliverOrder(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c"})
			case 2, 3:
				version++
				s.deliverOrder(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c"})
				before := len(s.submittedVersions)
				s.runUntil(s.now + 20*time.Millisecond)
				if len(s.submittedVersions) > before {
					t.Fatalf("attempt sent while the policy was fenced")
				}
				s.deliverOrder(fleet.Order{Kind: fleet.ActivatePolicy, Version: version,
					Policy: &Policy{Settings: map[string]string{"threads": "2,2,2"}}})
			case 4:
				s.deliverOrder(fleet.Order{Kind: fleet.ActivatePolicy, Version: version})
				lease(time.Minute)
			case 5:
				lease(100 * time.Millisecond)
			case 6:
				lease(0)
			case 7:
				s.writeDelay = 2 * time.Minute
			}
			s.randomEvents(choices[i*part : (i+1)*part])
		}
		reached["refused"] += s.controller.servingLease.rejectedWrites
		reached["held"] += s.controller.servingLease.heldTotal
		reached["deferred"] += s.controller.servingLease.deferredHeld
		reached["blocked"] += len(s.controller.servingLease.blockedAttempts)
		reached["switches"] += s.controller.servingLease.policySwitches
		reached["written"] += len(s.submittedVersions)
		s.runRandom(nil)
	})
	for _, what := range []string{"refused", "held", "deferred", "blocked", "switches", "written"} {
		if reached[what] == 0 {
			t.Errorf("no case of %s was reached: %v", what, reached)
		}
	}
}

// With peers a query may cost at most one allocation more than without, for the periodic reports of sites.
func TestPeersCostNoAllocationsPerQuery(t *testing.T) {
	cost := func(change ...func(*Config)) float64 {
		s := newHarness(t, 1, 256, nil, change...)
		if s.controller.servingLease != nil {
			s.openVersion(1, time.Hour)
		}
		c := s.connect()
		one := func() {
			c.messageCount, s.queries, s.writeLog = 0, s.queries[:0], s.writeLog[:0]
			for _, m := range s.engines {
				clear(m.runs)
			}
			a := s.sendQuery(c, "lookup", "", 5*time.Second, 1)
			s.respond(s.waitForCall("POST", a.id), "ok")
			s.runUntil(s.now + 20*time.Millisecond)
			if a.answer != "finished" {
				t.Fatal(a.answer)
			}
		}
		one()
		return testing.AllocsPerRun(100, one)
	}
	without, with := cost(), cost(func(m *Config) {
		m.Fleet = &FleetConfig{ServingState: &fleet.ServingState{}}
	})
	if with > without+1 { // one for the sites reported every second
		t.Fatalf("%v allocations without peers, %v with", without, with)
	}
}

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

// withPeers is a stage whose controller has peers, with nothing opened yet.
func withPeers(t interface{ Fatalf(string, ...any) }, engines int, more map[string]string, change ...func(*Config)) *harness {
	return newHarness(t, engines, 256, more, append([]func(*Config){func(m *Config) { m.Fleet = &FleetConfig{ServingState: &fleet.ServingState{}} }}, change...)...)
}

func (s *harness) order(o fleet.Order) { s.step(Event{Kind: FleetOrderReceived, Order: &o}) }

// opens has it decide by a version, with a lease for so long.
func (s *harness) opens(version uint64, lease time.Duration) {
	s.order(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: s.now + lease, ConfinedLeaseEnd: s.now + lease})
	s.order(fleet.Order{Kind: fleet.ActivatePolicy, Version: version, Policy: &Policy{Version: version}})
}

// mayWrite is the runner's last look: by the time it writes, it may be later.
func (s *harness) mayWrite(f Effect) bool {
	w := s.controller.Config.Fleet.ServingState
	if !w.BeginWrite(s.now+s.writeDelay, f.PolicyVersion, f.Confined) {
		return false
	}
	w.EndWrite()
	if n := len(s.submittedVersions); n > 0 && f.PolicyVersion < s.submittedVersions[n-1] {
		s.t.Fatalf("submitted by version %d after one by %d", f.PolicyVersion, s.submittedVersions[n-1])
	}
	s.submittedVersions = append(s.submittedVersions, f.PolicyVersion)
	return true
}

func (s *harness) reportCount(kind fleet.ReportKind) (n int) {
	for _, p := range s.reports {
		if p.Kind == kind {
			n++
		}
	}
	return n
}

// What comes while nothing may be decided waits, and goes on in the order it came.
func TestHeldQueriesGoInOrderOnceAVersionOpens(t *testing.T) {
	s := withPeers(t, 1, nil)
	c := s.connect()
	first, next := s.sendQuery(c, "load", "k", 5*time.Second, 1), s.sendQuery(c, "load", "k", 5*time.Second, 2)
	gone := s.sendQuery(c, "lookup", "", 5*time.Second, 1)
	s.cancel(gone)
	s.runUntil(time.Second)
	if len(first.runs) > 0 || s.controller.servingLease.heldCount != 2 || s.controller.servingLease.servingVersion(false) != 0 {
		t.Fatalf("%d sent, %d held", len(first.runs), s.controller.servingLease.heldCount)
	}
	s.opens(1, time.Minute)
	s.respond(s.waitForCall("POST", first.id), "ok")
	s.respond(s.waitForCall("POST", next.id), "ok") // posted checks their order
	s.runUntil(s.now + 100*time.Millisecond)
	if first.answer != "finished" || next.answer != "finished" || s.controller.servingLease.longestHold != time.Second {
		t.Fatal(first.answer, next.answer, s.controller.servingLease.longestHold)
	}
	if s.reportCount(fleet.PolicyActivated) != 1 || s.reportCount(fleet.SitesServing) < 2 || !slices.Equal(s.reports[0].ServingSites, []string{"here"}) {
		t.Fatalf("%+v", s.reports)
	}
}

// Held too long, or at the end of its client's patience, one is deferred in time; more
// than may be held are at once. None of it was ever sent.
func TestQueryHeldForTooLongIsDeferred(t *testing.T) {
	s := withPeers(t, 1, nil)
	c := s.connect()
	long, short := s.sendQuery(c, "load", "k", 9*time.Second, 1), s.sendQuery(c, "load", "k", 500*time.Millisecond, 1)
	s.runUntil(495 * time.Millisecond)
	if short.answer != "deferred" || long.answer != "" {
		t.Fatal(short.answer, long.answer)
	}
	s.runUntil(defaultMaxHold + time.Millisecond)
	if long.answer != "deferred" || s.controller.servingLease.deferredHeld != 2 || len(s.controller.queries) > 0 {
		t.Fatal(long.answer, s.controller.servingLease.deferredHeld)
	}
	s.controller.servingLease.heldCount = maxHeldQueries
	over := s.sendQuery(c, "lookup", "", 9*time.Second, 1)
	s.controller.servingLease.heldCount = 0
	if over.answer != "deferred" || len(s.submittedVersions) > 0 {
		t.Fatal(over.answer)
	}
}

// The lease ends with queries in hand: with the decisions, chosen for an engine and
// not sent, and running. Those that run go on, the others wait and are deferred.
func TestNothingIsSentAfterTheLeaseEnds(t *testing.T) {
	s := withPeers(t, 1, map[string]string{"may.copy": "false"})
	s.opens(1, 100*time.Millisecond)
	c := s.connect()
	runs := s.sendQuery(c, "load", "k", 9*time.Second, 1)
	s.respond(s.waitForCall("POST", runs.id), "runs")
	behind := s.sendQuery(c, "load", "k", 9*time.Second, 2) // of its key, with the decisions
	s.runUntil(99 * time.Millisecond)
	s.controller.pool.limit = s.controller.pool.open // so that the next waits for a line
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

// The process stands still past its lease right before a submission is written: none
// of it goes out, it is known never to have run, and is sent once there is a lease.
func TestWriteIsBarredAfterAStallPastTheLease(t *testing.T) {
	s := withPeers(t, 1, nil)
	s.opens(1, 10*time.Second)
	s.writeDelay = time.Minute
	a := s.sendQuery(s.connect(), "load", "k", 9*time.Second, 1)
	s.runUntil(50 * time.Millisecond)
	if len(a.runs) > 0 || s.controller.servingLease.rejectedWrites == 0 || s.controller.counters.attemptEnds[7] == 0 {
		t.Fatalf("%d sent, %d refused, %v", len(a.runs), s.controller.servingLease.rejectedWrites, s.controller.counters.attemptEnds)
	}
	s = withPeers(t, 1, nil)
	s.opens(1, 10*time.Second)
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

// A switch is told closed only once nothing is being written, and what waited is
// judged by the next version: its limits, its teams' places, its placement.
func TestHeldQueryIsAdmittedByTheNextVersion(t *testing.T) {
	s := withPeers(t, 1, map[string]string{"teams": "1", "team.0.name": "old", "team.0.quota": "5"}, func(m *Config) { m.FieldNames.Customer = "who" })
	s.opens(1, time.Minute)
	c := s.connect()
	word := s.controller.Config.Fleet.ServingState
	word.BeginWrite(s.now, 1, false) // one is being written
	s.order(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c"})
	s.runUntil(10 * time.Millisecond)
	a := s.sendQuery(c, "lookup", "", 5*time.Second, 1, "who", "new")
	b := s.sendQuery(c, "lookup", "", 25*time.Second, 1)
	if s.reportCount(fleet.PolicyFenced) != 0 || len(a.runs) > 0 {
		t.Fatal("closed while something is being written")
	}
	word.EndWrite()
	s.runUntil(12 * time.Millisecond)
	if s.reportCount(fleet.PolicyFenced) != 1 {
		t.Fatal("not told")
	}
	s.order(fleet.Order{Kind: fleet.ActivatePolicy, Version: 2, Policy: &Policy{Version: 2, Settings: map[string]string{"group.0.timeout": "20000",
		"group.0.value": "9", "group.0.target": "700", "threads": "2,3,2", "teams": "2", "team.0.name": "old", "team.1.name": "new", "team.1.quota": "7",
		"group.0.effect": "mutating"}}})
	if q := s.controller.queries[a.id]; q == nil || q.customer != 1 {
		t.Fatalf("%+v", q)
	}
	if g := s.controller.groups["lookup"]; b.answer != "killed" || g.priorityWeight != 9 || g.threads != 2 || g.latencyObjective != 700*time.Millisecond {
		t.Fatalf("%q %+v", b.answer, g)
	}
	if s.controller.Settings["group.0.effect"] != "read-only" || s.controller.servingLease.policySwitches != 1 {
		t.Fatal("more was taken over than is the fleet's")
	}
	s.runUntil(s.now + 50*time.Millisecond)
	if !slices.Equal(s.submittedVersions, []uint64{2}) {
		t.Fatal(s.submittedVersions)
	}
}

// A submission held over a switch goes back to the decisions where the next version
// doesn't let it go to the engine that it was chosen for.
func TestBlockedAttemptObeysTheNextVersion(t *testing.T) {
	s := placedStage(t, 2, "a", map[string]string{"may.probe": "false", "report.how": "off"})
	s.opens(1, time.Minute)
	s.statement = "insert into d_1.x select 1"
	a := s.sendQuery(s.connect(), "load", "k", 9*time.Second, 1, "who", "bank")
	q := s.controller.queries[a.id]
	s.order(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c"}) // while it waits for a line
	s.runUntil(s.now + 300*time.Millisecond)
	if len(s.controller.servingLease.blockedAttempts) != 1 {
		t.Fatal("it doesn't wait")
	}
	chosen, other := q.attempts[0].engine.id, "a"
	if s.siteOf(q.attempts[0].engine) == "a" {
		other = "b"
	}
	s.order(fleet.Order{Kind: fleet.ActivatePolicy, Version: 2, Policy: &Policy{Version: 2,
		Rules: []residency.Rule{{Name: "r", Team: "bank", Engines: []string{other}, Controllers: []string{"a"}}}}})
	h := s.waitForCall("POST", a.id)
	if h.engine.id == chosen || h.engine.site != other || !slices.Equal(s.submittedVersions, []uint64{2}) || s.controller.counters.attemptEnds[7] != 1 {
		t.Fatalf("to %s, chosen was %s, %v, %v", h.engine.id, chosen, s.submittedVersions, s.controller.counters.attemptEnds)
	}
}

// Bound teams' queries can need a shorter lease: only they wait, and none of their
// key overtakes them.
func TestOnlyConfinedTenantsWaitForTheirLease(t *testing.T) {
	s := withPeers(t, 1, nil, func(m *Config) { m.Fleet.IsConfined = func(_ string, tables int64) bool { return tables == 7 } })
	s.order(fleet.Order{Kind: fleet.ActivatePolicy, Version: 1})
	s.order(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever})
	c := s.connect()
	bound, free, behind := s.sendQuery(c, "load", "k", 9*time.Second, 7), s.sendQuery(c, "load", "x", 9*time.Second, 1), s.sendQuery(c, "load", "k", 9*time.Second, 2)
	s.runUntil(time.Second)
	if len(bound.runs)+len(behind.runs) > 0 || len(free.runs) != 1 {
		t.Fatal(len(bound.runs), len(behind.runs), len(free.runs))
	}
	s.order(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: fleet.Forever,
		ConfinedLeaseEnd: s.now + time.Minute})
	s.respond(s.waitForCall("POST", bound.id), "ok")
	s.waitForCall("POST", behind.id)
}

// Teams' turns stand still with all else, and a full ring loses no report.
func TestFairQueuePausesAndRejectedReportsAreResent(t *testing.T) {
	s := withPeers(t, 0, nil, func(m *Config) { m.Tenants = &fairqueue.Config{Tenants: []fairqueue.Tenant{{Name: "a", Weight: 1}}} })
	s.opens(1, time.Minute)
	c := s.connect()
	for range 3 {
		s.sendQuery(c, "lookup", "", 9*time.Second, 1)
	}
	s.rejectReports = true
	s.order(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c"})
	waits := s.controller.fairQueue.queue.WaitingCount()
	s.runUntil(time.Second)
	if s.controller.fairQueue.queue.WaitingCount() != waits || s.reportCount(fleet.PolicyFenced) != 0 {
		t.Fatal("it went on")
	}
	s.order(fleet.Order{Kind: fleet.ActivatePolicy, Version: 2, Policy: &Policy{Version: 2, Tenants: &fairqueue.Config{Tenants: []fairqueue.Tenant{{Name: "b", Weight: 1}}}}})
	s.order(fleet.Order{Kind: fleet.InvalidateData, ID: "p", Scope: &fleet.Scope{Team: "a"}})
	s.rejectReports, s.reports = false, nil
	s.runUntil(s.now + 2*reportRetryInterval)
	var kinds []fleet.ReportKind
	for _, p := range s.reports {
		kinds = append(kinds, p.Kind)
	}
	if !slices.Equal(kinds, []fleet.ReportKind{fleet.PolicyFenced, fleet.PolicyActivated, fleet.DataTombstoned, fleet.DataErased}) {
		t.Fatal(kinds)
	}
	s.step(Event{Kind: CountersRequested})
	if text := s.logLines[len(s.logLines)-1]; !strings.Contains(text, "fleet version 2 switches 1") {
		t.Fatal(text)
	}
}

// Whatever happens between, the rules hold with versions that come and go, leases that
// end and a process that stands still: and nothing by an older version after a newer.
func TestInvariantsHoldInAFleet(t *testing.T) {
	struck := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		choices := rapid.SliceOfN(rapid.Uint16(), 60, 150).Draw(t, "choices")
		orders := rapid.SliceOfN(rapid.IntRange(0, 7), 8, 8).Draw(t, "orders")
		teams := rapid.Bool().Draw(t, "teams")
		s := withPeers(t, 3, nil, func(m *Config) {
			if teams {
				m.Tenants = &fairqueue.Config{Tenants: []fairqueue.Tenant{{Name: "a", Weight: 1}}}
			}
		})
		s.opens(1, time.Minute)
		version := uint64(1)
		part := len(choices) / len(orders)
		for i, o := range orders {
			lease := func(d time.Duration) {
				s.order(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: s.now + d, ConfinedLeaseEnd: s.now + d/2})
			}
			switch s.writeDelay = 0; o {
			case 0, 1:
				s.order(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c"})
			case 2, 3:
				version++
				s.order(fleet.Order{Kind: fleet.FencePolicy, ChangeID: "c"})
				before := len(s.submittedVersions)
				s.runUntil(s.now + 20*time.Millisecond)
				if len(s.submittedVersions) > before {
					t.Fatalf("submitted while shut")
				}
				s.order(fleet.Order{Kind: fleet.ActivatePolicy, Version: version, Policy: &Policy{Settings: map[string]string{"threads": "2,2,2"}}})
			case 4:
				s.order(fleet.Order{Kind: fleet.ActivatePolicy, Version: version})
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
		struck["refused"] += s.controller.servingLease.rejectedWrites
		struck["held"] += s.controller.servingLease.heldTotal
		struck["deferred"] += s.controller.servingLease.deferredHeld
		struck["parked"] += len(s.controller.servingLease.blockedAttempts)
		struck["switches"] += s.controller.servingLease.policySwitches
		struck["written"] += len(s.submittedVersions)
		s.runRandom(nil)
	})
	for _, what := range []string{"refused", "held", "deferred", "parked", "switches", "written"} {
		if struck[what] == 0 {
			t.Errorf("none was ever %s: %v", what, struck)
		}
	}
}

// A query costs no more allocations with peers than without.
func TestPeersCostNoAllocationsPerQuery(t *testing.T) {
	cost := func(with ...func(*Config)) float64 {
		s := newHarness(t, 1, 256, nil, with...)
		if s.controller.servingLease != nil {
			s.opens(1, time.Hour)
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
	off, on := cost(), cost(func(m *Config) { m.Fleet = &FleetConfig{ServingState: &fleet.ServingState{}} })
	if on > off+1 { // the sites told each second
		t.Fatalf("%v off, %v on", off, on)
	}
}

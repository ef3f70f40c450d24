package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

func TestConfigurationChangeCommitsEverywhere(t *testing.T) {
	s := newTestCluster(t, 1, 3, 3, 600*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	a := s.controllers["f0"]
	a.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("x")})
	s.waitFor(5*time.Second, "in force", func() bool { return s.responseTo(a, 1) != nil })
	if w := s.responseTo(a, 1); w.Outcome != statemachine.InForce || w.Version != 2 {
		t.Fatalf("%+v", w)
	}
	for _, n := range s.names {
		if v := s.controllers[n].serving.ServingVersion(s.now, false); v != 2 {
			t.Errorf("%s decides by %d", n, v)
		}
	}
	// of two concurrent changes one is refused
	b := s.controllers["v1"]
	a.request(2, &fleet.Request{Kind: "apply", ID: "c2", BaseVersion: 2, Policy: []byte("y")})
	b.request(3, &fleet.Request{Kind: "apply", ID: "c3", BaseVersion: 2, Policy: []byte("z")})
	s.waitFor(5*time.Second, "both answered", func() bool {
		return s.responseTo(a, 2) != nil && s.responseTo(b, 3) != nil
	})
	outcomes := []string{s.responseTo(a, 2).Outcome, s.responseTo(b, 3).Outcome}
	if slices.Sort(outcomes); !slices.Equal(outcomes, []string{statemachine.InForce, statemachine.Refused}) {
		t.Errorf("outcomes %v", outcomes)
	}
	// a change that one controller can't serve by is aborted everywhere
	a.request(4, &fleet.Request{Kind: "apply", ID: "c4", BaseVersion: 3, Policy: []byte("bad for f2")})
	s.waitFor(5*time.Second, "withdrawn", func() bool { return s.responseTo(a, 4) != nil })
	if w := s.responseTo(a, 4); w.Outcome != statemachine.Aborted || w.ExitStatus() != 3 {
		t.Errorf("%+v", w)
	}
	s.waitFor(2*time.Second, "all serve again", func() bool { return s.allServe(s.names...) })
}

func TestDownControllerDelaysNothingAndCatchesUpBeforeServing(t *testing.T) {
	s := newTestCluster(t, 2, 3, 2, 600*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	f := s.controllers["f1"]
	f.incarnation = 0
	l := s.leader()
	l.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("x")})
	l.request(2, &fleet.Request{Kind: "purge", ID: "p1", Scope: &fleet.Scope{Tenant: "a"},
		AwaitedStage: fleet.EntryTombstone,
		WaitMs:       30000})
	l.request(3, &fleet.Request{Kind: "purge", ID: "p1", Scope: &fleet.Scope{Tenant: "a"}, WaitMs: 30000})
	s.waitFor(5*time.Second, "in force, unreachable", func() bool {
		return s.responseTo(l, 1) != nil && s.responseTo(l, 2) != nil
	})
	if s.responseTo(l, 1).Outcome != statemachine.InForce ||
		s.responseTo(l, 2).Outcome != fleet.EntryTombstone ||
		s.responseTo(l, 3) != nil {
		t.Fatalf("%+v %+v %+v", s.responseTo(l, 1), s.responseTo(l, 2), s.responseTo(l, 3))
	}
	if o := l.core.outstanding("p1"); !slices.Equal(o, []string{"f1"}) {
		t.Errorf("outstanding %v", o)
	}
	f.start()
	f.orders = nil
	s.waitFor(5*time.Second, "the controller serves", func() bool { return s.allServe("f1") })
	if v := f.serving.ServingVersion(s.now, false); v != 2 {
		t.Errorf("after its restart it decides by version %d", v)
	}
	for _, o := range f.orders {
		if o.Kind == fleet.LeaseRenewed {
			t.Fatal("the lease is ordered before the purge")
		}
		if o.Kind == fleet.InvalidateData {
			break
		}
	}
	s.waitFor(5*time.Second, "purged", func() bool { return s.responseTo(l, 3) != nil })
	if w := s.responseTo(l, 3); w.Outcome != "purged" || w.Counts.Results != 5 {
		t.Errorf("%+v %+v", w, w.Counts)
	}
}

func TestLeaderLostAtAnyPhaseOfChange(t *testing.T) {
	phases := map[string]int{}
	for seed := range uint64(40) {
		s := newTestCluster(t, 100+seed, 3, 2, 400*time.Millisecond)
		s.waitUntilAllServe(5 * time.Second)
		l := s.leader()
		a := s.controllers["f0"]
		a.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("x"), WaitMs: 20000})
		for end := s.now + time.Duration(s.rand.IntN(60))*time.Millisecond; s.now < end; {
			s.runNextEvent()
		}
		if c := l.core.state.Changes["c1"]; c != nil {
			phases[c.Phase]++
		}
		l.incarnation = 0
		s.waitFor(20*time.Second, "in force", func() bool { return s.responseTo(a, 1) != nil })
		if s.responseTo(a, 1).Outcome != statemachine.InForce {
			t.Fatalf("seed %d: %+v", seed, s.responseTo(a, 1))
		}
		for _, n := range s.names {
			if v := s.controllers[n].serving.ServingVersion(s.now, false); s.controllers[n] != l && v == 1 {
				t.Fatalf("seed %d: %s still decides by 1", seed, n)
			}
		}
		l.start()
		s.waitUntilAllServe(10 * time.Second)
	}
	t.Log(phases)
	for _, p := range []string{statemachine.Proposed, statemachine.Fencing, statemachine.Committed,
		statemachine.InForce} {
		if phases[p] == 0 {
			t.Errorf("no leader was lost in phase %s: this test doesn't cover it", p)
		}
	}
}

func TestFollowerCatchesUpAfterManyEntries(t *testing.T) {
	s := newTestCluster(t, 3, 3, 1, 500*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	f := s.controllers["f0"]
	f.incarnation = 0
	l := s.leader()
	for i := range 400 {
		l.request(uint64(i+1), &fleet.Request{Kind: "bind", ID: fmt.Sprintf("b%d", i), Tenant: "a",
			Tables: []int64{int64(i)}})
		s.waitFor(5*time.Second, "bound", func() bool { return s.responseTo(l, uint64(i+1)) != nil })
	}
	f.start()
	s.waitFor(5*time.Second, "the controller serves", func() bool { return s.allServe("f0") })
	if n := len(f.core.state.Bindings); n != 1 || len(f.core.state.Bindings[0].Tables) != 400 {
		t.Errorf("%d bindings", n)
	}
}

func TestVoterIsReplaced(t *testing.T) {
	s := newTestCluster(t, 4, 3, 1, 500*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	l := s.leader()
	old := "v0"
	if l.name == "v0" {
		old = "v1"
	}
	var want []string
	for _, n := range []string{"v0", "v1", "v2", "f0"} {
		if n != old {
			want = append(want, n+"="+n+":1")
		}
	}
	l.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1,
		Policy: []byte("voters " + strings.Join(want, " "))})
	s.waitFor(5*time.Second, "in force", func() bool { return s.responseTo(l, 1) != nil })
	s.waitFor(5*time.Second, "the new voter votes, the old one is a follower", func() bool {
		f, o := s.controllers["f0"].core, s.controllers[old].core
		return f.consensus != nil && f.isVoter("f0") && !f.isVoter(old) && o.consensus == nil
	})
	s.waitUntilAllServe(5 * time.Second)
	// let the joint voter configuration end, which needs the old voter
	for end := s.now + 300*time.Millisecond; s.now < end; {
		s.runNextEvent()
	}
	// without the old voter and one more there is still a majority, also after a restart
	s.controllers[old].incarnation = 0
	for _, n := range s.names {
		if n != old {
			s.controllers[n].incarnation = 0
			s.controllers[n].start()
		}
	}
	l.incarnation = 0
	var rest []string
	for _, v := range want {
		if n, _ := statemachine.SplitVoter(v); n != l.name {
			rest = append(rest, n)
		}
	}
	s.waitFor(10*time.Second, "the remaining voters serve", func() bool { return s.allServe(rest...) })
}

func TestThousandFollowers(t *testing.T) {
	s := newTestCluster(t, 5, 5, 1024, 2*time.Second)
	began := time.Now()
	s.waitFor(30*time.Second, "all serve", func() bool {
		return len(s.timeline) > 0 && s.eventsScheduled%500 == 0 && s.allServe(s.names...)
	})
	t.Logf("%v of virtual time until all serve, %v real", s.now, time.Since(began))
	rest, sent, began := s.now, s.messagesSent, time.Now()
	for s.now < rest+2*time.Second {
		s.runNextEvent()
	}
	t.Logf("at rest: %d messages a controller in 2s, %v of processor time for all in 2s",
		(s.messagesSent-sent)/len(s.names), time.Since(began))
	if n := (s.messagesSent - sent) / len(s.names); n > 20 {
		t.Errorf("%d messages a controller at rest in 2s", n)
	}
	a := s.controllers["f77"]
	at := s.now
	a.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("x")})
	s.waitFor(5*time.Second, "in force", func() bool { return s.responseTo(a, 1) != nil })
	if s.responseTo(a, 1).Outcome != statemachine.InForce {
		t.Fatalf("%+v", s.responseTo(a, 1))
	}
	t.Logf("a change is in force on all after %v", s.now-at)
}

// While a majority is reachable, the confined lease is renewed even if the other lease has no end.
// When a controller is disconnected, only the confined lease ends.
func TestConfinedLeaseEndsWhileLeaseHasNoEnd(t *testing.T) {
	for _, c := range []struct{ lease, confined time.Duration }{{0, 200 * time.Millisecond}, {5 * time.Second,
		200 * time.Millisecond}} {
		s := newTestCluster(t, 7, 3, 0, c.lease)
		for _, n := range s.names { // restart with the new setting
			s.controllers[n].config.ConfinedLease = c.confined
			s.controllers[n].start()
		}
		confinedServes := func(n string) bool { return s.controllers[n].serving.ServingVersion(s.now, true) != 0 }
		s.waitFor(12*time.Second, "all serve", func() bool {
			return s.allServe(s.names...) &&
				!slices.ContainsFunc(s.names, func(n string) bool { return !confinedServes(n) })
		})
		for end := s.now + 5*time.Second; s.now < end; s.runNextEvent() {
			for _, n := range s.names {
				if !confinedServes(n) {
					t.Fatalf("lease %v: the confined lease of %s ended at %v", c.lease, n, s.now)
				}
			}
		}
		disconnected := "v2"
		for _, n := range s.names {
			s.cutLinks[n+">"+disconnected], s.cutLinks[disconnected+">"+n] = true, true
		}
		s.waitFor(c.confined+50*time.Millisecond, "the confined lease ends",
			func() bool { return !confinedServes(disconnected) })
		if !s.allServe(disconnected) {
			t.Errorf("lease %v: the lease without an end, or the longer one, ended too", c.lease)
		}
	}
}

// An invalidation waits for every controller that may serve kept results, also if only the
// confined lease has an end. A disconnected controller may serve until its confined lease ends.
func TestInvalidationWaitsForConfinedLease(t *testing.T) {
	s := newTestCluster(t, 8, 3, 1, 0)
	confinedLease := 600 * time.Millisecond
	for _, n := range s.names { // restart with the new setting
		s.controllers[n].config.ConfinedLease = confinedLease
		s.controllers[n].start()
	}
	served := func(n string) bool { return s.controllers[n].serving.ServingVersion(s.now, true) != 0 }
	s.waitFor(12*time.Second, "all serve", func() bool {
		return !slices.ContainsFunc(s.names, func(n string) bool { return !served(n) })
	})
	for end := s.now + 3*time.Second; s.now < end; { // leases of an earlier leader have ended
		s.runNextEvent()
	}
	for _, n := range s.names {
		s.cutLinks[n+">f0"], s.cutLinks["f0>"+n] = true, true
	}
	l := s.leader()
	l.request(1, &fleet.Request{Kind: "purge", ID: "p1", Scope: &fleet.Scope{Tenant: "a"},
		AwaitedStage: fleet.EntryTombstone,
		WaitMs:       30000})
	s.waitFor(5*time.Second, "unreachable", func() bool {
		if l.core.state.Purges["p1"] != nil && l.core.state.Purges["p1"].Stage != "" && served("f0") {
			t.Fatal("the invalidation advanced while f0, which is disconnected, still serves")
		}
		return s.responseTo(l, 1) != nil
	})
}

// A lease whose confirmation is under way may be granted with the log index from the start of the
// confirmation. The leader waits for its controller from that start on.
func TestLeaseBeingConfirmedIsWaitedFor(t *testing.T) {
	s := newTestCluster(t, 9, 3, 1, 500*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	f, l := s.controllers["f0"], s.leader()
	f.incarnation = 0
	s.waitFor(5*time.Second, "the lease of f0 ends", func() bool {
		return !l.core.mayHoldLease("f0", l.core.config.Lease)
	})
	s.waitFor(5*time.Second, "no confirmation is under way", func() bool {
		return len(l.core.confirming)+len(l.core.toConfirm) == 0
	})
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "f0", DiskID: "disk f0",
		Renewal: &LeaseRenewal{Member: f.config.Self, Incarnation: 99, Seq: 1, AppliedIndex: l.core.state.Index}}})
	s.waitFor(5*time.Second, "a confirmation has begun", func() bool { return len(l.core.confirming) > 0 })
	if !l.core.mayHoldLease("f0", l.core.config.Lease) {
		t.Error("f0 isn't waited for although it may get a lease that predates later entries")
	}
}

// The purge scopes and voters of a change follow from the change and the committed policy. A
// leader that is restarted during the change must validate the committed policy first, so that it
// gets the same result.
func TestLeaderRestartedDuringChange(t *testing.T) {
	s := newTestCluster(t, 10, 3, 1, 500*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	restartVoters := func() {
		for _, n := range s.names[:3] {
			s.controllers[n].incarnation = 0
			s.controllers[n].start()
		}
	}
	f := s.controllers["f0"]
	f.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("x")})
	s.waitFor(5*time.Second, "in force", func() bool { return s.responseTo(f, 1) != nil })
	f.neverValidates = "c2"
	f.request(2, &fleet.Request{Kind: "apply", ID: "c2", BaseVersion: 2, Policy: []byte("voters f0=f0:1"),
		WaitMs: 60000})
	checked := func(a *testController) bool { return slices.Contains(a.validations, "done c2") }
	s.waitFor(5*time.Second, "the voters have validated the change", func() bool {
		return checked(s.controllers["v0"]) && checked(s.controllers["v1"]) && checked(s.controllers["v2"])
	})
	restartVoters()
	s.waitFor(9*time.Second, "the leader has validated the change again", func() bool {
		return s.leader() != nil && checked(s.leader())
	})
	if l := s.leader().validations; !strings.HasPrefix(l[0], "asked in force 2") ||
		!strings.HasPrefix(l[1], "done in force 2") || l[2] != "asked c2" {
		t.Errorf("the change wasn't validated after the committed policy: %q", l)
	}
	f.step(Event{Kind: PolicyValidated, ValidationKey: "c2", Voters: []string{"f0=f0:1"}})
	s.waitFor(5*time.Second, "closing", func() bool {
		return f.core.state.Changes["c2"].Phase == statemachine.Fencing
	})
	restartVoters()
	s.waitFor(20*time.Second, "in force", func() bool { return s.responseTo(f, 2) != nil })
	if w := s.responseTo(f, 2); w.Outcome != statemachine.InForce ||
		!slices.Equal(f.core.state.Voters, []string{"f0=f0:1"}) {
		t.Errorf("%+v, voters %v", w, f.core.state.Voters)
	}
}

func TestAllVotersReplacedAtOnce(t *testing.T) {
	for seed := range uint64(5) {
		s := newTestCluster(t, 20+seed, 3, 3, 500*time.Millisecond)
		s.waitUntilAllServe(5 * time.Second)
		a := s.controllers["f0"]
		a.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1,
			Policy: []byte("voters f0=f0:1 f1=f1:1 f2=f2:1"), WaitMs: 60000})
		s.waitFor(20*time.Second, "in force", func() bool { return s.responseTo(a, 1) != nil })
		s.waitFor(20*time.Second, "the old voters are followers, all serve", func() bool {
			return s.controllers["v0"].core.consensus == nil && s.controllers["v1"].core.consensus == nil &&
				s.controllers["v2"].core.consensus == nil && s.allServe(s.names...)
		})
		for _, n := range []string{"v0", "v1", "v2"} {
			s.controllers[n].incarnation = 0
		}
		for end := s.now + 2*time.Second; s.now < end; {
			s.runNextEvent()
		}
		s.waitFor(10*time.Second, "the new voters serve without the old ones",
			func() bool { return s.allServe("f0", "f1", "f2") })
	}
}

// A forgotten controller whose disk still exists stops at once, even if its lease has no end.
func TestForgottenControllerStopsServing(t *testing.T) {
	for _, lease := range []time.Duration{0, 500 * time.Millisecond} {
		s := newTestCluster(t, 11, 3, 1, lease)
		s.waitUntilAllServe(5 * time.Second)
		l, f := s.leader(), s.controllers["f0"]
		l.request(1, &fleet.Request{Kind: "forget", ID: "x", Name: "f0"})
		s.waitFor(2*time.Second, "the forgotten controller stops", func() bool { return !s.allServe("f0") })
		for end := s.now + 3*time.Second; s.now < end; s.runNextEvent() {
			if s.allServe("f0") {
				t.Fatalf("lease %v: the forgotten controller serves again", lease)
			}
		}
		f.incarnation = 0
		f.start()
		for end := s.now + 3*time.Second; s.now < end; s.runNextEvent() {
			if s.allServe("f0") {
				t.Fatalf("lease %v: the forgotten controller serves after a restart", lease)
			}
		}
	}
}

// The count of attempts outside is reported with the version that it refers to. The count of the
// previous version must not settle a change.
func TestAttemptsOutsideAreReportedWithTheirVersion(t *testing.T) {
	s := newTestCluster(t, 12, 1, 0, 500*time.Millisecond)
	s.waitFor(5*time.Second, "the controller serves", func() bool { return s.allServe("v0") })
	c := s.controllers["v0"].core
	s.controllers["v0"].step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.SitesServing,
		ServingSites: []string{"here"}}})
	s.controllers["v0"].step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.PolicyActivated,
		Version: 1, AttemptsOutside: 2}})
	if c.attemptsOutside != 2 {
		t.Errorf("%d attempts outside, want 2", c.attemptsOutside)
	}
}

// A stricter rule with no data to invalidate is settled only once no attempt runs outside.
func TestChangeSettlesAfterAttemptsOutsideEnd(t *testing.T) {
	s := newTestCluster(t, 13, 3, 1, 500*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	f := s.controllers["f0"]
	f.attemptsOutside = 1
	f.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("x")})
	f.request(2, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("x"),
		AwaitedStage: "settled",
		WaitMs:       60000})
	s.waitFor(5*time.Second, "in force", func() bool { return s.responseTo(f, 1) != nil })
	for end := s.now + 2*time.Second; s.now < end; s.runNextEvent() {
		if s.responseTo(f, 2) != nil {
			t.Fatalf("%+v while an attempt runs outside", s.responseTo(f, 2))
		}
	}
	report := fleet.Report{Kind: fleet.SitesServing, ServingSites: []string{"here"}}
	f.step(Event{Kind: ControllerReported, Report: report})
	s.waitFor(5*time.Second, "settled", func() bool { return s.responseTo(f, 2) != nil })
	if w := s.responseTo(f, 2); w.Outcome != "settled" {
		t.Errorf("%+v", w)
	}
}

// An emergency ends when its rule is no longer in the policy.
func TestEmergencyEndsWithItsRule(t *testing.T) {
	s := newTestCluster(t, 14, 3, 0, 500*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	l := s.leader()
	l.core.effects = nil
	l.core.propose(&fleet.Entry{Kind: fleet.EntryBeginEmergency, Name: "r"})
	l.perform(l.core.effects)
	s.waitFor(5*time.Second, "the emergency begins", func() bool { return len(l.core.state.Emergencies) > 0 })
	s.waitFor(5*time.Second, "the emergency ends", func() bool { return len(l.core.state.Emergencies) == 0 })
}

// A leader that doesn't know the controllers' own rules ends no emergency.
func TestEmergencyGoesOnWhereLeaderDoesntKnowRules(t *testing.T) {
	s := newTestCluster(t, 15, 3, 0, 500*time.Millisecond)
	for _, name := range s.names { // restart with the new setting
		s.controllers[name].rulesUnknown = true
		s.controllers[name].start()
	}
	s.waitUntilAllServe(5 * time.Second)
	l := s.leader()
	l.core.effects = nil
	l.core.propose(&fleet.Entry{Kind: fleet.EntryBeginEmergency, Name: "r"})
	l.perform(l.core.effects)
	s.waitFor(5*time.Second, "the emergency begins", func() bool { return len(l.core.state.Emergencies) > 0 })
	for end := s.now + 3*time.Second; s.now < end; s.runNextEvent() {
		if len(l.core.state.Emergencies) == 0 {
			t.Fatal("the emergency ended")
		}
	}
}

// The leader's status says which controllers may hold a lease; any other status has unknown.
func TestStatusTellsWhereLeasesAreNotKnown(t *testing.T) {
	s := newTestCluster(t, 16, 3, 1, 500*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	for _, name := range s.names {
		want := fleet.LeaseStatusUnknown
		if s.controllers[name] == s.leader() {
			want = fleet.LeaseStatusPossible
		}
		for _, m := range s.controllers[name].core.Status().Members {
			if m.Lease != want {
				t.Errorf("status of %s: lease of %s is %v, want %v", name, m.Name, m.Lease, want)
			}
		}
	}
}

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
	s.waitFor(5*time.Second, "in force", func() bool { return s.replyTo(a, 1) != nil })
	if w := s.replyTo(a, 1); w.Outcome != statemachine.InForce || w.Version != 2 {
		t.Fatalf("%+v", w)
	}
	for _, n := range s.names {
		if v := s.controllers[n].permit.ServingVersion(s.now, false); v != 2 {
			t.Errorf("%s decides by %d", n, v)
		}
	}
	// two operators at once: one is refused
	b := s.controllers["v1"]
	a.request(2, &fleet.Request{Kind: "apply", ID: "c2", BaseVersion: 2, Policy: []byte("y")})
	b.request(3, &fleet.Request{Kind: "apply", ID: "c3", BaseVersion: 2, Policy: []byte("z")})
	s.waitFor(5*time.Second, "both answered", func() bool {
		return s.replyTo(a, 2) != nil && s.replyTo(b, 3) != nil
	})
	words := []string{s.replyTo(a, 2).Outcome, s.replyTo(b, 3).Outcome}
	if slices.Sort(words); !slices.Equal(words, []string{statemachine.InForce, statemachine.Refused}) {
		t.Errorf("%v", words)
	}
	// one can't serve by it: it is aborted everywhere
	a.request(4, &fleet.Request{Kind: "apply", ID: "c4", BaseVersion: 3, Policy: []byte("bad for f2")})
	s.waitFor(5*time.Second, "withdrawn", func() bool { return s.replyTo(a, 4) != nil })
	if w := s.replyTo(a, 4); w.Outcome != statemachine.Aborted || w.ExitStatus() != 3 {
		t.Errorf("%+v", w)
	}
	s.waitFor(2*time.Second, "all serve again", func() bool { return s.allServe(s.names...) })
}

func TestDownControllerDelaysNothingAndCatchesUpBeforeServing(t *testing.T) {
	s := newTestCluster(t, 2, 3, 2, 600*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	f := s.controllers["f1"]
	f.run = 0
	l := s.leader()
	l.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("x")})
	l.request(2, &fleet.Request{Kind: "purge", ID: "p1", Scope: &fleet.Scope{Team: "a"},
		AwaitedStage: fleet.EntryTombstone,
		WaitMs:       30000})
	l.request(3, &fleet.Request{Kind: "purge", ID: "p1", Scope: &fleet.Scope{Team: "a"}, WaitMs: 30000})
	s.waitFor(5*time.Second, "in force, unreachable", func() bool {
		return s.replyTo(l, 1) != nil && s.replyTo(l, 2) != nil
	})
	if s.replyTo(l, 1).Outcome != statemachine.InForce || s.replyTo(l, 2).Outcome != fleet.EntryTombstone ||
		s.replyTo(l, 3) != nil {
		t.Fatalf("%+v %+v %+v", s.replyTo(l, 1), s.replyTo(l, 2), s.replyTo(l, 3))
	}
	if o := l.core.outstanding("p1"); !slices.Equal(o, []string{"f1"}) {
		t.Errorf("outstanding %v", o)
	}
	f.start()
	f.orders = nil
	s.waitFor(5*time.Second, "it serves", func() bool { return s.allServe("f1") })
	if v := f.permit.ServingVersion(s.now, false); v != 2 {
		t.Errorf("it came back with %d", v)
	}
	for _, o := range f.orders {
		if o.Kind == fleet.LeaseRenewed {
			t.Fatal("a lease before the purge")
		}
		if o.Kind == fleet.InvalidateData {
			break
		}
	}
	s.waitFor(5*time.Second, "purged", func() bool { return s.replyTo(l, 3) != nil })
	if w := s.replyTo(l, 3); w.Outcome != "purged" || w.Counts.Results != 5 {
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
			s.playNextEvent()
		}
		if c := l.core.state.Changes["c1"]; c != nil {
			phases[c.Phase]++
		}
		l.run = 0
		s.waitFor(20*time.Second, "in force", func() bool { return s.replyTo(a, 1) != nil })
		if s.replyTo(a, 1).Outcome != statemachine.InForce {
			t.Fatalf("seed %d: %+v", seed, s.replyTo(a, 1))
		}
		for _, n := range s.names {
			if v := s.controllers[n].permit.ServingVersion(s.now, false); s.controllers[n] != l && v == 1 {
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
			t.Errorf("no leader was lost while %s", p)
		}
	}
}

func TestFollowerCatchesUpAfterManyEntries(t *testing.T) {
	s := newTestCluster(t, 3, 3, 1, 500*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	f := s.controllers["f0"]
	f.run = 0
	l := s.leader()
	for i := range 400 {
		l.request(uint64(i+1), &fleet.Request{Kind: "bind", ID: fmt.Sprintf("b%d", i), Team: "a",
			Tables: []int64{int64(i)}})
		s.waitFor(5*time.Second, "bound", func() bool { return s.replyTo(l, uint64(i+1)) != nil })
	}
	f.start()
	s.waitFor(5*time.Second, "it serves", func() bool { return s.allServe("f0") })
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
	s.waitFor(5*time.Second, "in force", func() bool { return s.replyTo(l, 1) != nil })
	s.waitFor(5*time.Second, "the new one votes, the old one follows", func() bool {
		f, o := s.controllers["f0"].core, s.controllers[old].core
		return f.consensus != nil && f.isVoter("f0") && !f.isVoter(old) && o.consensus == nil
	})
	s.waitUntilAllServe(5 * time.Second)
	// both sets vote together for a moment; without the old one it can't end
	for end := s.now + 300*time.Millisecond; s.now < end; {
		s.playNextEvent()
	}
	// without the old one and one more there is still a majority, and it stands after a restart
	s.controllers[old].run = 0
	for _, n := range s.names {
		if n != old {
			s.controllers[n].run = 0
			s.controllers[n].start()
		}
	}
	l.run = 0
	var rest []string
	for _, v := range want {
		if n, _ := statemachine.SplitVoter(v); n != l.name {
			rest = append(rest, n)
		}
	}
	s.waitFor(10*time.Second, "the rest serves", func() bool { return s.allServe(rest...) })
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
		s.playNextEvent()
	}
	t.Logf("at rest: %d messages a controller in 2s, %v of processor time for all in 2s",
		(s.messagesSent-sent)/len(s.names), time.Since(began))
	if n := (s.messagesSent - sent) / len(s.names); n > 20 {
		t.Errorf("%d messages a controller at rest in 2s", n)
	}
	a := s.controllers["f77"]
	at := s.now
	a.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("x")})
	s.waitFor(5*time.Second, "in force", func() bool { return s.replyTo(a, 1) != nil })
	if s.replyTo(a, 1).Outcome != statemachine.InForce {
		t.Fatalf("%+v", s.replyTo(a, 1))
	}
	t.Logf("a change is in force on all after %v", s.now-at)
}

// A lease without an end and a short one beside it for confined tenants: the short one is
// renewed while the majority is there, and only it ends for a controller that is cut off.
func TestConfinedLeaseEndsWhileLeaseHasNoEnd(t *testing.T) {
	for _, c := range []struct{ all, bound time.Duration }{{0, 200 * time.Millisecond}, {5 * time.Second,
		200 * time.Millisecond}} {
		s := newTestCluster(t, 7, 3, 0, c.all)
		for _, n := range s.names { // started anew with it
			s.controllers[n].config.ConfinedLease = c.bound
			s.controllers[n].start()
		}
		bound := func(n string) bool { return s.controllers[n].permit.ServingVersion(s.now, true) != 0 }
		s.waitFor(12*time.Second, "all serve", func() bool {
			return s.allServe(s.names...) && !slices.ContainsFunc(s.names, func(n string) bool { return !bound(n) })
		})
		for end := s.now + 5*time.Second; s.now < end; s.playNextEvent() {
			for _, n := range s.names {
				if !bound(n) {
					t.Fatalf("lease %v: the one for bound teams of %s ran out at %v", c.all, n, s.now)
				}
			}
		}
		alone := "v2"
		for _, n := range s.names {
			s.cutLinks[n+">"+alone], s.cutLinks[alone+">"+n] = true, true
		}
		s.waitFor(c.bound+50*time.Millisecond, "bound teams stop", func() bool { return !bound(alone) })
		if !s.allServe(alone) {
			t.Errorf("lease %v: all stopped", c.all)
		}
	}
}

// An invalidation waits for all that may serve kept results, also where only the confined
// lease has an end: who was granted one a moment ago may serve for as long as that lasts.
func TestInvalidationWaitsForConfinedLease(t *testing.T) {
	s := newTestCluster(t, 8, 3, 1, 0)
	bound := 600 * time.Millisecond
	for _, n := range s.names { // started anew with it
		s.controllers[n].config.ConfinedLease = bound
		s.controllers[n].start()
	}
	served := func(n string) bool { return s.controllers[n].permit.ServingVersion(s.now, true) != 0 }
	s.waitFor(12*time.Second, "all serve", func() bool {
		return !slices.ContainsFunc(s.names, func(n string) bool { return !served(n) })
	})
	for end := s.now + 3*time.Second; s.now < end; { // leases of an earlier leader have ended
		s.playNextEvent()
	}
	for _, n := range s.names {
		s.cutLinks[n+">f0"], s.cutLinks["f0>"+n] = true, true
	}
	l := s.leader()
	l.request(1, &fleet.Request{Kind: "purge", ID: "p1", Scope: &fleet.Scope{Team: "a"},
		AwaitedStage: fleet.EntryTombstone,
		WaitMs:       30000})
	s.waitFor(5*time.Second, "unreachable", func() bool {
		if l.core.state.Purges["p1"] != nil && l.core.state.Purges["p1"].Stage != "" && served("f0") {
			t.Fatal("it is told while f0, which is cut off, serves on")
		}
		return s.replyTo(l, 1) != nil
	})
}

// A lease that is being confirmed may be granted for the log as it was when the
// confirmation began: its controller is waited for from then on.
func TestLeaseBeingConfirmedIsWaitedFor(t *testing.T) {
	s := newTestCluster(t, 9, 3, 1, 500*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	f, l := s.controllers["f0"], s.leader()
	f.run = 0
	s.waitFor(5*time.Second, "its lease is over", func() bool {
		return !l.core.mayHoldLease("f0", l.core.config.Lease)
	})
	s.waitFor(5*time.Second, "no confirmation is under way", func() bool {
		return len(l.core.confirming)+len(l.core.toConfirm) == 0
	})
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "f0", DiskID: "disk f0",
		Renewal: &LeaseRenewal{Member: f.config.Self, Incarnation: 99, Seq: 1, AppliedIndex: l.core.state.Index}}})
	s.waitFor(5*time.Second, "a confirmation has begun", func() bool { return len(l.core.confirming) > 0 })
	if !l.core.mayHoldLease("f0", l.core.config.Lease) {
		t.Error("it isn't waited for, and may be given a lease that knows nothing of what is decided meanwhile")
	}
}

// What a change leaves outside, and who votes by it, follow from it and the committed
// policy. A leader restarted during a change must find both alike.
func TestLeaderRestartedDuringChange(t *testing.T) {
	s := newTestCluster(t, 10, 3, 1, 500*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	anew := func() {
		for _, n := range s.names[:3] {
			s.controllers[n].run = 0
			s.controllers[n].start()
		}
	}
	f := s.controllers["f0"]
	f.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("x")})
	s.waitFor(5*time.Second, "in force", func() bool { return s.replyTo(f, 1) != nil })
	f.neverValidates = "c2"
	f.request(2, &fleet.Request{Kind: "apply", ID: "c2", BaseVersion: 2, Policy: []byte("voters f0=f0:1"),
		WaitMs: 60000})
	checked := func(a *testController) bool { return slices.Contains(a.validations, "done c2") }
	s.waitFor(5*time.Second, "it is checked", func() bool {
		return checked(s.controllers["v0"]) && checked(s.controllers["v1"]) && checked(s.controllers["v2"])
	})
	anew()
	s.waitFor(9*time.Second, "it is checked again", func() bool {
		return s.leader() != nil && checked(s.leader())
	})
	if l := s.leader().validations; !strings.HasPrefix(l[0], "asked in force 2") ||
		!strings.HasPrefix(l[1], "done in force 2") || l[2] != "asked c2" {
		t.Errorf("it is held against what isn't in force: %q", l)
	}
	f.step(Event{Kind: PolicyValidated, ChangeID: "c2", Voters: []string{"f0=f0:1"}})
	s.waitFor(5*time.Second, "closing", func() bool {
		return f.core.state.Changes["c2"].Phase == statemachine.Fencing
	})
	anew()
	s.waitFor(20*time.Second, "in force", func() bool { return s.replyTo(f, 2) != nil })
	if w := s.replyTo(f, 2); w.Outcome != statemachine.InForce ||
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
		s.waitFor(20*time.Second, "in force", func() bool { return s.replyTo(a, 1) != nil })
		s.waitFor(20*time.Second, "the old ones follow, all serve", func() bool {
			return s.controllers["v0"].core.consensus == nil && s.controllers["v1"].core.consensus == nil &&
				s.controllers["v2"].core.consensus == nil && s.allServe(s.names...)
		})
		for _, n := range []string{"v0", "v1", "v2"} {
			s.controllers[n].run = 0
		}
		for end := s.now + 2*time.Second; s.now < end; {
			s.playNextEvent()
		}
		s.waitFor(10*time.Second, "the new ones serve alone", func() bool { return s.allServe("f0", "f1", "f2") })
	}
}

// A controller that was forgotten, and whose disk isn't destroyed, stops at once, also
// where its lease has no end.
func TestForgottenControllerStopsServing(t *testing.T) {
	for _, lease := range []time.Duration{0, 500 * time.Millisecond} {
		s := newTestCluster(t, 11, 3, 1, lease)
		s.waitUntilAllServe(5 * time.Second)
		l, f := s.leader(), s.controllers["f0"]
		l.request(1, &fleet.Request{Kind: "forget", ID: "x", Name: "f0"})
		s.waitFor(2*time.Second, "it stops", func() bool { return !s.allServe("f0") })
		for end := s.now + 3*time.Second; s.now < end; s.playNextEvent() {
			if s.allServe("f0") {
				t.Fatalf("lease %v: it serves again", lease)
			}
		}
		f.run = 0
		f.start()
		for end := s.now + 3*time.Second; s.now < end; s.playNextEvent() {
			if s.allServe("f0") {
				t.Fatalf("lease %v: it serves once started anew", lease)
			}
		}
	}
}

// Attempts outside are reported with the version that makes them so: the figure of the one
// before is no reason to call a change settled.
func TestAttemptsOutsideAreReportedWithTheirVersion(t *testing.T) {
	s := newTestCluster(t, 12, 1, 0, 500*time.Millisecond)
	s.waitFor(5*time.Second, "it serves", func() bool { return s.allServe("v0") })
	c := s.controllers["v0"].core
	s.controllers["v0"].step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.SitesServing,
		ServingSites: []string{"here"}}})
	s.controllers["v0"].step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.PolicyActivated,
		Version: 1, AttemptsOutside: 2}})
	if c.attemptsOutside != 2 {
		t.Errorf("%d outside", c.attemptsOutside)
	}
}

// A stricter rule with nothing to invalidate is settled only once no attempt runs outside.
func TestChangeSettlesAfterAttemptsOutsideEnd(t *testing.T) {
	s := newTestCluster(t, 13, 3, 1, 500*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	f := s.controllers["f0"]
	f.outsideAtOpen = 1
	f.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("x")})
	f.request(2, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("x"),
		AwaitedStage: "settled",
		WaitMs:       60000})
	s.waitFor(5*time.Second, "in force", func() bool { return s.replyTo(f, 1) != nil })
	for end := s.now + 2*time.Second; s.now < end; s.playNextEvent() {
		if s.replyTo(f, 2) != nil {
			t.Fatalf("%+v while a query runs outside", s.replyTo(f, 2))
		}
	}
	report := fleet.Report{Kind: fleet.SitesServing, ServingSites: []string{"here"}}
	f.step(Event{Kind: ControllerReported, Report: report})
	s.waitFor(5*time.Second, "settled", func() bool { return s.replyTo(f, 2) != nil })
	if w := s.replyTo(f, 2); w.Outcome != "settled" {
		t.Errorf("%+v", w)
	}
}

// An emergency doesn't outlive its rule.
func TestEmergencyEndsWithItsRule(t *testing.T) {
	s := newTestCluster(t, 14, 3, 0, 500*time.Millisecond)
	s.waitUntilAllServe(5 * time.Second)
	l := s.leader()
	l.core.effects = nil
	l.core.propose(&fleet.Entry{Kind: fleet.EntryBeginEmergency, Name: "r"})
	l.perform(l.core.effects)
	s.waitFor(5*time.Second, "it is on", func() bool { return len(l.core.state.Emergencies) > 0 })
	s.waitFor(5*time.Second, "it is over", func() bool { return len(l.core.state.Emergencies) == 0 })
}

// A leader that doesn't know the rules of the controllers' set-ups ends no emergency by them.
func TestEmergencyGoesOnWhereLeaderDoesntKnowRules(t *testing.T) {
	s := newTestCluster(t, 15, 3, 0, 500*time.Millisecond)
	for _, name := range s.names { // started anew with it
		s.controllers[name].rulesUnknown = true
		s.controllers[name].start()
	}
	s.waitUntilAllServe(5 * time.Second)
	l := s.leader()
	l.core.effects = nil
	l.core.propose(&fleet.Entry{Kind: fleet.EntryBeginEmergency, Name: "r"})
	l.perform(l.core.effects)
	s.waitFor(5*time.Second, "it is on", func() bool { return len(l.core.state.Emergencies) > 0 })
	for end := s.now + 3*time.Second; s.now < end; s.playNextEvent() {
		if len(l.core.state.Emergencies) == 0 {
			t.Fatal("it is over")
		}
	}
}

// Who holds a lease is known to the leader; others say that they don't know.
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
				t.Errorf("%s says of %s: %v, want %v", name, m.Name, m.Lease, want)
			}
		}
	}
}

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

func TestAChangeTakesHoldEverywhere(t *testing.T) {
	s := newStage(t, 1, 3, 3, 600*time.Millisecond)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	a := s.all["f0"]
	a.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "apply", ID: "c1", Base: 1, Policy: []byte("x")}})
	s.until(5*time.Second, "in force", func() bool { return s.word(a, 1) != nil })
	if w := s.word(a, 1); w.Word != statemachine.InForce || w.Version != 2 {
		t.Fatalf("%+v", w)
	}
	for _, n := range s.names {
		if v := s.all[n].word.May(s.now, false); v != 2 {
			t.Errorf("%s decides by %d", n, v)
		}
	}
	// two operators at once: one is refused
	b := s.all["v1"]
	a.step(Event{Kind: OperatorRequested, Handle: 2, Ask: &fleet.Ask{Kind: "apply", ID: "c2", Base: 2, Policy: []byte("y")}})
	b.step(Event{Kind: OperatorRequested, Handle: 3, Ask: &fleet.Ask{Kind: "apply", ID: "c3", Base: 2, Policy: []byte("z")}})
	s.until(5*time.Second, "both answered", func() bool { return s.word(a, 2) != nil && s.word(b, 3) != nil })
	words := []string{s.word(a, 2).Word, s.word(b, 3).Word}
	if slices.Sort(words); !slices.Equal(words, []string{statemachine.InForce, statemachine.Refused}) {
		t.Errorf("%v", words)
	}
	// one can't take it: it is withdrawn everywhere
	a.step(Event{Kind: OperatorRequested, Handle: 4, Ask: &fleet.Ask{Kind: "apply", ID: "c4", Base: 3, Policy: []byte("bad for f2")}})
	s.until(5*time.Second, "withdrawn", func() bool { return s.word(a, 4) != nil })
	if w := s.word(a, 4); w.Word != statemachine.Withdrawn || w.Exit() != 3 {
		t.Errorf("%+v", w)
	}
	s.until(2*time.Second, "all serve again", func() bool { return s.serve(s.names...) })
}

func TestThoseDownDontBlockAndLearnBeforeTheyServe(t *testing.T) {
	s := newStage(t, 2, 3, 2, 600*time.Millisecond)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	f := s.all["f1"]
	f.run = 0
	l := s.leader()
	l.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "apply", ID: "c1", Base: 1, Policy: []byte("x")}})
	l.step(Event{Kind: OperatorRequested, Handle: 2, Ask: &fleet.Ask{Kind: "purge", ID: "p1", Scope: &fleet.Scope{Team: "a"}, Until: fleet.Unreachable, Wait: 30000}})
	l.step(Event{Kind: OperatorRequested, Handle: 3, Ask: &fleet.Ask{Kind: "purge", ID: "p1", Scope: &fleet.Scope{Team: "a"}, Wait: 30000}})
	s.until(5*time.Second, "in force, unreachable", func() bool { return s.word(l, 1) != nil && s.word(l, 2) != nil })
	if s.word(l, 1).Word != statemachine.InForce || s.word(l, 2).Word != fleet.Unreachable || s.word(l, 3) != nil {
		t.Fatalf("%+v %+v %+v", s.word(l, 1), s.word(l, 2), s.word(l, 3))
	}
	if o := l.core.outstanding("p1"); !slices.Equal(o, []string{"f1"}) {
		t.Errorf("outstanding %v", o)
	}
	f.start()
	f.orders = nil
	s.until(5*time.Second, "it serves", func() bool { return s.serve("f1") })
	if v := f.word.May(s.now, false); v != 2 {
		t.Errorf("it came back with %d", v)
	}
	for _, o := range f.orders {
		if o.Kind == fleet.Renewed {
			t.Fatal("a lease before the purge")
		}
		if o.Kind == fleet.Drop {
			break
		}
	}
	s.until(5*time.Second, "purged", func() bool { return s.word(l, 3) != nil })
	if w := s.word(l, 3); w.Word != "purged" || w.Counts.Results != 5 {
		t.Errorf("%+v %+v", w, w.Counts)
	}
}

func TestALeaderLostAtAnyStepOfAChange(t *testing.T) {
	phases := map[string]int{}
	for seed := range uint64(40) {
		s := newStage(t, 100+seed, 3, 2, 400*time.Millisecond)
		s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
		l := s.leader()
		a := s.all["f0"]
		a.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "apply", ID: "c1", Base: 1, Policy: []byte("x"), Wait: 20000}})
		for end := s.now + time.Duration(s.rand.IntN(60))*time.Millisecond; s.now < end; {
			s.next()
		}
		if c := l.core.state.Changes["c1"]; c != nil {
			phases[c.Phase]++
		}
		l.run = 0
		s.until(20*time.Second, "in force", func() bool { return s.word(a, 1) != nil })
		if s.word(a, 1).Word != statemachine.InForce {
			t.Fatalf("seed %d: %+v", seed, s.word(a, 1))
		}
		for _, n := range s.names {
			if v := s.all[n].word.May(s.now, false); s.all[n] != l && v == 1 {
				t.Fatalf("seed %d: %s still decides by 1", seed, n)
			}
		}
		l.start()
		s.until(10*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	}
	t.Log(phases)
	for _, p := range []string{statemachine.Proposed, statemachine.Closing, statemachine.Decided, statemachine.InForce} {
		if phases[p] == 0 {
			t.Errorf("no leader was lost while %s", p)
		}
	}
}

func TestAFollowerComesBackAfterManyEntries(t *testing.T) {
	s := newStage(t, 3, 3, 1, 500*time.Millisecond)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	f := s.all["f0"]
	f.run = 0
	l := s.leader()
	for i := range 400 {
		l.step(Event{Kind: OperatorRequested, Handle: uint64(i + 1), Ask: &fleet.Ask{Kind: "bind", ID: fmt.Sprintf("b%d", i), Team: "a", Tables: []int64{int64(i)}}})
		s.until(5*time.Second, "bound", func() bool { return s.word(l, uint64(i+1)) != nil })
	}
	f.start()
	s.until(5*time.Second, "it serves", func() bool { return s.serve("f0") })
	if n := len(f.core.state.Bindings); n != 1 || len(f.core.state.Bindings[0].Tables) != 400 {
		t.Errorf("%d bindings", n)
	}
}

func TestAVoterIsReplaced(t *testing.T) {
	s := newStage(t, 4, 3, 1, 500*time.Millisecond)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
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
	l.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "apply", ID: "c1", Base: 1, Policy: []byte("voters " + strings.Join(want, " "))}})
	s.until(5*time.Second, "in force", func() bool { return s.word(l, 1) != nil })
	s.until(5*time.Second, "the new one votes, the old one follows", func() bool {
		f, o := s.all["f0"].core, s.all[old].core
		return f.consensus != nil && f.isVoter("f0") && !f.isVoter(old) && o.consensus == nil
	})
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	// both sets vote together for a moment; without the old one it can't end
	for end := s.now + 300*time.Millisecond; s.now < end; {
		s.next()
	}
	// without the old one and one more there is still a majority, and it stands after a restart
	s.all[old].run = 0
	for _, n := range s.names {
		if n != old {
			s.all[n].run = 0
			s.all[n].start()
		}
	}
	l.run = 0
	var rest []string
	for _, v := range want {
		if n, _ := statemachine.SplitVoter(v); n != l.name {
			rest = append(rest, n)
		}
	}
	s.until(10*time.Second, "the rest serves", func() bool { return s.serve(rest...) })
}

func TestAThousandFollow(t *testing.T) {
	s := newStage(t, 5, 5, 1024, 2*time.Second)
	began := time.Now()
	s.until(30*time.Second, "all serve", func() bool { return len(s.due) > 0 && s.count%500 == 0 && s.serve(s.names...) })
	t.Logf("%v of virtual time until all serve, %v real", s.now, time.Since(began))
	rest, sent, began := s.now, s.sent, time.Now()
	for s.now < rest+2*time.Second {
		s.next()
	}
	t.Logf("at rest: %d messages a controller in 2s, %v of processor time for all in 2s", (s.sent-sent)/len(s.names), time.Since(began))
	if n := (s.sent - sent) / len(s.names); n > 20 {
		t.Errorf("%d messages a controller at rest in 2s", n)
	}
	a := s.all["f77"]
	at := s.now
	a.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "apply", ID: "c1", Base: 1, Policy: []byte("x")}})
	s.until(5*time.Second, "in force", func() bool { return s.word(a, 1) != nil })
	if s.word(a, 1).Word != statemachine.InForce {
		t.Fatalf("%+v", s.word(a, 1))
	}
	t.Logf("a change is in force on all after %v", s.now-at)
}

// A lease without an end and a short one beside it for bound teams: the short one goes on
// while the majority is there, and only it ends for who is cut off.
func TestOnlyBoundTeamsStopWhereTheLeaseHasNoEnd(t *testing.T) {
	for _, c := range []struct{ all, bound time.Duration }{{0, 200 * time.Millisecond}, {5 * time.Second, 200 * time.Millisecond}} {
		s := newStage(t, 7, 3, 0, c.all)
		for _, n := range s.names { // started anew with it
			s.all[n].begin.ConfinedLease = c.bound
			s.all[n].start()
		}
		bound := func(n string) bool { return s.all[n].word.May(s.now, true) != 0 }
		s.until(12*time.Second, "all serve", func() bool {
			return s.serve(s.names...) && !slices.ContainsFunc(s.names, func(n string) bool { return !bound(n) })
		})
		for end := s.now + 5*time.Second; s.now < end; s.next() {
			for _, n := range s.names {
				if !bound(n) {
					t.Fatalf("lease %v: the one for bound teams of %s ran out at %v", c.all, n, s.now)
				}
			}
		}
		alone := "v2"
		for _, n := range s.names {
			s.cut[n+">"+alone], s.cut[alone+">"+n] = true, true
		}
		s.until(c.bound+50*time.Millisecond, "bound teams stop", func() bool { return !bound(alone) })
		if !s.serve(alone) {
			t.Errorf("lease %v: all stopped", c.all)
		}
	}
}

// A purge waits for all that may serve what is kept, also where only the lease of bound
// teams has an end: who was given one a moment ago may serve for as long as that lasts.
func TestAPurgeWaitsForTheShortLeaseWhereTheOtherHasNoEnd(t *testing.T) {
	s := newStage(t, 8, 3, 1, 0)
	bound := 600 * time.Millisecond
	for _, n := range s.names { // started anew with it
		s.all[n].begin.ConfinedLease = bound
		s.all[n].start()
	}
	served := func(n string) bool { return s.all[n].word.May(s.now, true) != 0 }
	s.until(12*time.Second, "all serve", func() bool { return !slices.ContainsFunc(s.names, func(n string) bool { return !served(n) }) })
	for end := s.now + 3*time.Second; s.now < end; { // what an earlier leader may have given is over
		s.next()
	}
	for _, n := range s.names {
		s.cut[n+">f0"], s.cut["f0>"+n] = true, true
	}
	l := s.leader()
	l.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "purge", ID: "p1", Scope: &fleet.Scope{Team: "a"}, Until: fleet.Unreachable, Wait: 30000}})
	s.until(5*time.Second, "unreachable", func() bool {
		if l.core.state.Purges["p1"] != nil && l.core.state.Purges["p1"].Stage != "" && served("f0") {
			t.Fatal("it is told while f0, which is cut off, serves on")
		}
		return s.word(l, 1) != nil
	})
}

// A lease that is being confirmed may be given for the record as it was when that began:
// who asked for it is waited for from then on.
func TestALeaseBeingConfirmedCounts(t *testing.T) {
	s := newStage(t, 9, 3, 1, 500*time.Millisecond)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	f, l := s.all["f0"], s.leader()
	f.run = 0
	s.until(5*time.Second, "its lease is over", func() bool { return !l.core.mayHoldLease("f0", l.core.config.Lease) })
	s.until(5*time.Second, "no confirmation is under way", func() bool { return len(l.core.confirming)+len(l.core.toConfirm) == 0 })
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "f0", Disk: "disk f0",
		Renewal: &LeaseRenewal{Member: f.begin.Self, Incarnation: 99, Seq: 1, AppliedIndex: l.core.state.Index}}})
	s.until(5*time.Second, "a confirmation has begun", func() bool { return len(l.core.confirming) > 0 })
	if !l.core.mayHoldLease("f0", l.core.config.Lease) {
		t.Error("it isn't waited for, and may be given a lease that knows nothing of what is decided meanwhile")
	}
}

// What a change leaves outside, and who votes by it, follow from it and the policy in force.
// Whoever comes to lead in the middle, started anew, must know both alike.
func TestALeaderStartedAnewInTheMiddleOfAChange(t *testing.T) {
	s := newStage(t, 10, 3, 1, 500*time.Millisecond)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	anew := func() {
		for _, n := range s.names[:3] {
			s.all[n].run = 0
			s.all[n].start()
		}
	}
	f := s.all["f0"]
	f.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "apply", ID: "c1", Base: 1, Policy: []byte("x")}})
	s.until(5*time.Second, "in force", func() bool { return s.word(f, 1) != nil })
	f.idle = "c2"
	f.step(Event{Kind: OperatorRequested, Handle: 2, Ask: &fleet.Ask{Kind: "apply", ID: "c2", Base: 2, Policy: []byte("voters f0=f0:1"), Wait: 60000}})
	checked := func(a *actor) bool { return slices.Contains(a.checks, "done c2") }
	s.until(5*time.Second, "it is checked", func() bool { return checked(s.all["v0"]) && checked(s.all["v1"]) && checked(s.all["v2"]) })
	anew()
	s.until(9*time.Second, "it is checked again", func() bool { return s.leader() != nil && checked(s.leader()) })
	if l := s.leader().checks; !strings.HasPrefix(l[0], "asked in force 2") || !strings.HasPrefix(l[1], "done in force 2") || l[2] != "asked c2" {
		t.Errorf("it is held against what isn't in force: %q", l)
	}
	f.step(Event{Kind: PolicyValidated, ChangeID: "c2", Voters: []string{"f0=f0:1"}})
	s.until(5*time.Second, "closing", func() bool { return f.core.state.Changes["c2"].Phase == statemachine.Closing })
	anew()
	s.until(20*time.Second, "in force", func() bool { return s.word(f, 2) != nil })
	if w := s.word(f, 2); w.Word != statemachine.InForce || !slices.Equal(f.core.state.Voters, []string{"f0=f0:1"}) {
		t.Errorf("%+v, voters %v", w, f.core.state.Voters)
	}
}

func TestAllVotersAreReplacedAtOnce(t *testing.T) {
	for seed := range uint64(5) {
		s := newStage(t, 20+seed, 3, 3, 500*time.Millisecond)
		s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
		a := s.all["f0"]
		a.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "apply", ID: "c1", Base: 1, Policy: []byte("voters f0=f0:1 f1=f1:1 f2=f2:1"), Wait: 60000}})
		s.until(20*time.Second, "in force", func() bool { return s.word(a, 1) != nil })
		s.until(20*time.Second, "the old ones follow, all serve", func() bool {
			return s.all["v0"].core.consensus == nil && s.all["v1"].core.consensus == nil && s.all["v2"].core.consensus == nil && s.serve(s.names...)
		})
		for _, n := range []string{"v0", "v1", "v2"} {
			s.all[n].run = 0
		}
		for end := s.now + 2*time.Second; s.now < end; {
			s.next()
		}
		s.until(10*time.Second, "the new ones serve alone", func() bool { return s.serve("f0", "f1", "f2") })
	}
}

// A controller whose disk is said to be destroyed, and which isn't, stops at once, also
// where its lease has no end. What purges it was told is kept no longer than they are.
func TestWhoIsForgottenServesNoMore(t *testing.T) {
	for _, lease := range []time.Duration{0, 500 * time.Millisecond} {
		s := newStage(t, 11, 3, 1, lease)
		s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
		l, f := s.leader(), s.all["f0"]
		l.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "forget", ID: "x", Name: "f0"}})
		s.until(2*time.Second, "it stops", func() bool { return !s.serve("f0") })
		for end := s.now + 3*time.Second; s.now < end; s.next() {
			if s.serve("f0") {
				t.Fatalf("lease %v: it serves again", lease)
			}
		}
		f.run = 0
		f.start()
		for end := s.now + 3*time.Second; s.now < end; s.next() {
			if s.serve("f0") {
				t.Fatalf("lease %v: it serves once started anew", lease)
			}
		}
	}
}

// What runs outside is told with the version that makes it so: what was told of by the
// one before is no reason to call a change settled.
func TestWhatRunsOutsideGoesWithTheVersion(t *testing.T) {
	s := newStage(t, 12, 1, 0, 500*time.Millisecond)
	s.until(5*time.Second, "it serves", func() bool { return s.serve("v0") })
	c := s.all["v0"].core
	s.all["v0"].step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.Sites, Sites: []string{"here"}}})
	s.all["v0"].step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.Opened, Version: 1, Outside: 2}})
	if c.attemptsOutside != 2 {
		t.Errorf("%d outside", c.attemptsOutside)
	}
}

// A tighter rule with nothing to purge is settled only once what runs outside has ended.
func TestSettledWaitsForWhatRunsOutside(t *testing.T) {
	s := newStage(t, 13, 3, 1, 500*time.Millisecond)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	f := s.all["f0"]
	f.outside = 1
	f.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "apply", ID: "c1", Base: 1, Policy: []byte("x")}})
	f.step(Event{Kind: OperatorRequested, Handle: 2, Ask: &fleet.Ask{Kind: "apply", ID: "c1", Base: 1, Policy: []byte("x"), Until: "settled", Wait: 60000}})
	s.until(5*time.Second, "in force", func() bool { return s.word(f, 1) != nil })
	for end := s.now + 2*time.Second; s.now < end; s.next() {
		if s.word(f, 2) != nil {
			t.Fatalf("%+v while a query runs outside", s.word(f, 2))
		}
	}
	f.step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.Sites, Sites: []string{"here"}}})
	s.until(5*time.Second, "settled", func() bool { return s.word(f, 2) != nil })
	if w := s.word(f, 2); w.Word != "settled" {
		t.Errorf("%+v", w)
	}
}

// An emergency doesn't outlive its rule.
func TestAnEmergencyEndsWithItsRule(t *testing.T) {
	s := newStage(t, 14, 3, 0, 500*time.Millisecond)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	l := s.leader()
	l.core.effects = nil
	l.core.propose(&fleet.Entry{Kind: fleet.Emergency, Name: "r"})
	l.perform(l.core.effects)
	s.until(5*time.Second, "it is on", func() bool { return len(l.core.state.Emergencies) > 0 })
	s.until(5*time.Second, "it is over", func() bool { return len(l.core.state.Emergencies) == 0 })
}

// A leader that doesn't know the rules of the controllers' set-ups ends no emergency by them.
func TestAnEmergencyByRulesThatTheLeaderDoesntKnowGoesOn(t *testing.T) {
	s := newStage(t, 15, 3, 0, 500*time.Millisecond)
	for _, name := range s.names { // started anew with it
		s.all[name].rulesUnknown = true
		s.all[name].start()
	}
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	l := s.leader()
	l.core.effects = nil
	l.core.propose(&fleet.Entry{Kind: fleet.Emergency, Name: "r"})
	l.perform(l.core.effects)
	s.until(5*time.Second, "it is on", func() bool { return len(l.core.state.Emergencies) > 0 })
	for end := s.now + 3*time.Second; s.now < end; s.next() {
		if len(l.core.state.Emergencies) == 0 {
			t.Fatal("it is over")
		}
	}
}

// Who holds a lease is known to the leader; others say that they don't know.
func TestStatusSaysWhereLeasesArentKnown(t *testing.T) {
	s := newStage(t, 16, 3, 1, 500*time.Millisecond)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	for _, name := range s.names {
		want := fleet.HoldingUnknown
		if s.all[name] == s.leader() {
			want = fleet.HoldingLease
		}
		for _, m := range s.all[name].core.Status().Members {
			if m.Holds != want {
				t.Errorf("%s says of %s: %v, want %v", name, m.Name, m.Holds, want)
			}
		}
	}
}

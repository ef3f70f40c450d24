package node

import (
	"slices"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

func renewOf(name string, boot, seq uint64) *LeaseRenewal {
	return &LeaseRenewal{Member: fleet.Member{Name: name, Disk: "disk " + name, Site: "here", Peer: name + ":1"}, Incarnation: boot, Seq: seq, SentAt: int64(seq)}
}

func named(g *RelayedRenewals) (names []string) {
	for _, from := range g.Renewals {
		names = append(names, from.Name)
	}
	return names
}

func silentIn(g *RelayedRenewals) (names []string) {
	for _, s := range g.Silent {
		names = append(names, s.Name)
	}
	return names
}

func (g *renewalAggregator) given(seq uint64, withheld ...WithheldLease) []addressedGrant {
	return g.handleAnswer("l", &RelayedGrants{Incarnation: g.incarnation, Seq: seq, Granted: true, RequiredIndex: 7, Leader: "l", Withheld: withheld})
}

// gathering is a relay that a leader has everything of: a and b ask through it.
func gathering() *renewalAggregator {
	g := newRenewalAggregator(1)
	g.setLeader("l")
	g.addRenewal(0, "a", "disk a", renewOf("a", 1, 1))
	g.addRenewal(0, "b", "disk b", renewOf("b", 1, 1))
	g.nextMessage(0)
	g.given(1)
	return g
}

func TestOnlyWhatWasAskedBeforeAGatherIsGrantedByIt(t *testing.T) {
	g := gathering()
	g.addRenewal(0, "a", "disk a", renewOf("a", 1, 2))
	g.addRenewal(0, "a", "disk a", renewOf("a", 1, 3))
	g.nextMessage(0)
	g.addRenewal(0, "a", "disk a", renewOf("a", 1, 4))
	grants := g.given(2)
	if len(grants) != 1 || grants[0].name != "a" || grants[0].grant.Seq != 3 || grants[0].grant.SentAt != 3 || grants[0].grant.RequiredIndex != 7 {
		t.Fatalf("%+v", grants)
	}
	if again := g.given(2); len(again) != 0 {
		t.Errorf("an answer that comes twice grants %+v", again)
	}
	if early := g.given(3); len(early) != 0 {
		t.Errorf("an answer to a gather that wasn't sent grants %+v", early)
	}
	if other := g.handleAnswer("l", &RelayedGrants{Incarnation: 2, Seq: 2, Granted: true}); len(other) != 0 {
		t.Errorf("an answer to another run grants %+v", other)
	}
}

func TestAsksOfAnEarlierRunAreNotGranted(t *testing.T) {
	g := gathering()
	g.addRenewal(0, "a", "disk a", renewOf("a", 1, 2))
	g.addRenewal(0, "a", "disk a", renewOf("a", 2, 1))
	g.nextMessage(0)
	for _, to := range g.given(2) {
		if to.grant.Incarnation != 2 || to.grant.Seq != 1 {
			t.Errorf("%+v", to.grant)
		}
	}
	g.addRenewal(0, "a", "disk a", renewOf("a", 2, 2))
	g.nextMessage(0)
	g.addRenewal(0, "a", "disk a", renewOf("a", 3, 1))
	if grants := g.given(3); len(grants) != 0 {
		t.Errorf("a run is granted what the one before asked for: %+v", grants[0].grant)
	}
	if late := g.addRenewal(0, "a", "disk a", renewOf("a", 3, 1)); late != nil {
		t.Error("a doubled renewal is an ask")
	}
}

func TestAGatherTellsWhatTheLeaderLacks(t *testing.T) {
	g := gathering()
	if names := named(g.nextMessage(0)); len(names) != 0 {
		t.Errorf("unchanged, and told again: %v", names)
	}
	changed := renewOf("b", 1, 2)
	changed.PolicyVersion = 3
	g.addRenewal(0, "b", "disk b", changed)
	if next := g.nextMessage(0); !slices.Equal(named(next), []string{"b"}) || next.BaseSeq != 2 {
		t.Errorf("%v since %d", named(next), next.BaseSeq)
	}
	if next := g.nextMessage(0); len(named(next)) != 0 || next.BaseSeq != 3 {
		t.Errorf("told again: %v since %d", named(next), next.BaseSeq)
	}
	g.setLeader("m")
	if next := g.nextMessage(0); !slices.Equal(named(next), []string{"a", "b"}) || next.BaseSeq != 0 {
		t.Errorf("another leader is told %v since %d", named(next), next.BaseSeq)
	}
}

func TestSilenceIsTold(t *testing.T) {
	g := gathering()
	g.addRenewal(time.Second, "b", "disk b", renewOf("b", 1, 2))
	g.expire(time.Second, 500*time.Millisecond)
	next := g.nextMessage(1500 * time.Millisecond)
	if !slices.Equal(silentIn(next), []string{"a"}) || next.Silent[0].SilentFor != int64(1500*time.Millisecond) {
		t.Fatalf("%+v", next.Silent)
	}
	if grants := g.given(2); len(grants) != 1 || grants[0].name != "b" {
		t.Errorf("who is silent is granted a lease: %+v", grants)
	}
	if next := g.nextMessage(2 * time.Second); len(next.Silent) != 0 {
		t.Errorf("it is told again: %+v", next.Silent)
	}
}

// Whatever gather is lost, the next one builds on it, so that a leader notices; what it
// is told then leaves out who fell silent meanwhile.
func TestALostGatherIsNoticed(t *testing.T) {
	g := newRenewalAggregator(1)
	g.setLeader("l")
	g.addRenewal(0, "a", "disk a", renewOf("a", 1, 1))
	if lost := g.nextMessage(0); lost.BaseSeq != 0 || !slices.Equal(named(lost), []string{"a"}) {
		t.Fatalf("%+v", lost)
	}
	g.addRenewal(time.Second, "b", "disk b", renewOf("b", 1, 1))
	g.expire(time.Second, 500*time.Millisecond)
	if next := g.nextMessage(time.Second); next.BaseSeq != 1 || !slices.Equal(silentIn(next), []string{"a"}) || !slices.Equal(named(next), []string{"b"}) {
		t.Errorf("%+v", next)
	}
	g.handleAnswer("l", &RelayedGrants{Incarnation: 1, Seq: 2, Resync: true})
	if all := g.nextMessage(time.Second); all.BaseSeq != 0 || !slices.Equal(named(all), []string{"b"}) || len(all.Silent) != 0 {
		t.Errorf("%+v", all)
	}
	g.handleAnswer("l", &RelayedGrants{Incarnation: 1, Seq: 2, Resync: true})
	if next := g.nextMessage(time.Second); next.BaseSeq != 3 {
		t.Errorf("an answer from before everything was told has it told again: %+v", next)
	}
	g.handleAnswer("l", &RelayedGrants{Incarnation: 1, Seq: 4, Resync: true})
	if all := g.nextMessage(time.Second); all.BaseSeq != 0 {
		t.Errorf("everything was lost, and isn't told again: %+v", all)
	}
}

func TestWhoIsWithheldIsToldAgainOrRefused(t *testing.T) {
	g := gathering()
	g.addRenewal(0, "a", "disk a", renewOf("a", 1, 2))
	g.addRenewal(0, "b", "disk b", renewOf("b", 1, 2))
	g.nextMessage(0)
	grants := g.given(2, WithheldLease{Name: "a"}, WithheldLease{Name: "b", RefusedReason: "forgotten"})
	if len(grants) != 2 || grants[0].grant.Granted || grants[0].grant.RefusedReason != "" || grants[1].grant.Granted || grants[1].grant.RefusedReason != "forgotten" {
		t.Fatalf("%+v %+v", grants[0].grant, grants[1].grant)
	}
	if next := g.nextMessage(0); !slices.Equal(named(next), []string{"a"}) {
		t.Errorf("told again: %v", named(next))
	}
}

func TestAnswersThatAskForMore(t *testing.T) {
	g := gathering()
	g.addRenewal(0, "a", "disk a", renewOf("a", 1, 2))
	g.nextMessage(0)
	if grants := g.handleAnswer("l", &RelayedGrants{Incarnation: 1, Seq: 2, Resync: true}); len(grants) != 0 {
		t.Errorf("%+v", grants)
	}
	if next := g.nextMessage(0); next.BaseSeq != 0 || !slices.Equal(named(next), []string{"a", "b"}) {
		t.Errorf("%v since %d", named(next), next.BaseSeq)
	}
	g.handleAnswer("l", &RelayedGrants{Incarnation: 1, Seq: 3, Granted: true, Resend: []string{"b"}})
	if next := g.nextMessage(0); !slices.Equal(named(next), []string{"b"}) {
		t.Errorf("%v", named(next))
	}
}

// leadOf plays a fleet with a relay that is driven by hand: the leader, and what it
// answers the relay.
func leadOf(t *testing.T) (s *stage, l *actor, tell func(*RelayedRenewals) *RelayedGrants) {
	s = relayStage(t, 21, 3, 1, 2, relayLease)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	for _, name := range []string{"r0", "f0", "f1"} {
		s.all[name].run = 0
	}
	l = s.leader()
	var last *RelayedGrants
	s.seen = func(_, to string, m *Message) {
		if to == "r0" && m.RelayedGrants != nil && m.RelayedGrants.Incarnation == 77 {
			last = m.RelayedGrants
		}
	}
	return s, l, func(g *RelayedRenewals) *RelayedGrants {
		g.Incarnation, last = 77, nil
		l.step(Event{Kind: MessageReceived, Message: &Message{From: "r0", To: l.name, Disk: "disk r0", RelayedRenewals: g}})
		s.play(60*time.Millisecond, nil)
		return last
	}
}

func from(name string, boot, seq uint64) RelayedRenewal {
	return RelayedRenewal{Name: name, Disk: "disk " + name, Renewal: renewOf(name, boot, seq)}
}

func TestALeaderThatLacksTheBaseAsksForEverything(t *testing.T) {
	_, l, tell := leadOf(t)
	if a := tell(&RelayedRenewals{Seq: 3, BaseSeq: 2}); a == nil || !a.Resync || a.Granted {
		t.Fatalf("it has nothing of this relay and says %+v", a)
	}
	if a := tell(&RelayedRenewals{Seq: 4, Renewals: []RelayedRenewal{from("f0", 50, 1)}}); a == nil || !a.Granted || len(a.Withheld) != 0 {
		t.Fatalf("%+v", a)
	}
	if a := tell(&RelayedRenewals{Seq: 6, BaseSeq: 5}); a == nil || !a.Resync || a.Granted {
		t.Errorf("it lacks gather 5 and says %+v", a)
	}
	if a := tell(&RelayedRenewals{Seq: 7, BaseSeq: 4}); a == nil || !a.Granted {
		t.Errorf("%+v", a)
	}
	if !l.core.coverage[relayIncarnation{"r0", 77}].controllers["f0"] {
		t.Error("it isn't covered")
	}
}

func TestAGatherThatComesLateIsPassedOver(t *testing.T) {
	_, l, tell := leadOf(t)
	tell(&RelayedRenewals{Seq: 5, Renewals: []RelayedRenewal{from("f0", 50, 5)}})
	if a := tell(&RelayedRenewals{Seq: 4, Renewals: []RelayedRenewal{from("f1", 51, 4)}}); a != nil {
		t.Errorf("a late gather is answered: %+v", a)
	}
	if a := tell(&RelayedRenewals{Seq: 5, Renewals: []RelayedRenewal{from("f1", 51, 4)}}); a != nil {
		t.Errorf("a doubled gather is answered: %+v", a)
	}
	if covers := l.core.coverage[relayIncarnation{"r0", 77}]; !covers.controllers["f0"] || covers.controllers["f1"] {
		t.Errorf("covered: %v", covers.controllers)
	}
}

func TestAGatherOfEverythingReplacesWhatWasTold(t *testing.T) {
	_, l, tell := leadOf(t)
	tell(&RelayedRenewals{Seq: 1, Renewals: []RelayedRenewal{from("f0", 50, 1), from("f1", 51, 1)}})
	heard := l.core.coverage[relayIncarnation{"r0", 77}].heardAt
	tell(&RelayedRenewals{Seq: 2, Renewals: []RelayedRenewal{from("f1", 51, 2)}})
	if covers := l.core.coverage[relayIncarnation{"r0", 77}]; covers.controllers["f0"] || !covers.controllers["f1"] {
		t.Errorf("covered: %v", covers.controllers)
	}
	if asked := l.core.peers["f0"].leaseAskedAt; asked < heard {
		t.Errorf("f0 asked at %v as the leader has it, and was covered at %v", asked, heard)
	}
}

// A controller that isn't in the record yet is given no lease by the gather that told
// of it, also if the record has it before the answer goes out.
func TestWhoJoinsIsWithheldByTheGatherThatToldOfIt(t *testing.T) {
	s, l, tell := leadOf(t)
	if a := tell(&RelayedRenewals{Seq: 1, Renewals: []RelayedRenewal{from("new", 60, 1)}}); a == nil || !slices.Equal(a.Withheld, []WithheldLease{{Name: "new"}}) {
		t.Fatalf("%+v", a)
	}
	s.play(time.Second, nil)
	if l.core.state.Members["new"] == nil {
		t.Fatal("it hasn't joined")
	}
	if a := tell(&RelayedRenewals{Seq: 2, Renewals: []RelayedRenewal{from("new", 60, 2)}}); a == nil || !a.Granted || len(a.Withheld) != 0 {
		t.Errorf("%+v", a)
	}
	// two gathers in one confirmation: what the first withheld stays withheld for it
	covers := &relayCoverage{controllers: map[string]bool{"new": true}}
	first := unconfirmedRenewal{name: "r0", relayed: &RelayedRenewals{Incarnation: 77, Seq: 9}, coverage: covers, withheld: map[string]string{"new": ""}}
	l.core.effects = nil
	l.core.grantRelayed(first, 1)
	if sent := l.core.effects[0].Message.RelayedGrants; len(sent.Withheld) != 1 {
		t.Errorf("%+v", sent)
	}
}

func TestAForgottenControllerIsWithheld(t *testing.T) {
	s, l, tell := leadOf(t)
	tell(&RelayedRenewals{Seq: 1, Renewals: []RelayedRenewal{from("f0", 50, 1)}})
	l.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "forget", ID: "x", Name: "f0"}})
	s.until(2*time.Second, "forgotten", func() bool { return l.core.state.Members["f0"].Forgotten })
	if a := tell(&RelayedRenewals{Seq: 2, BaseSeq: 1}); a == nil || len(a.Withheld) != 1 || a.Withheld[0].RefusedReason != forgottenName {
		t.Errorf("%+v", a)
	}
	if a := tell(&RelayedRenewals{Seq: 3, Renewals: []RelayedRenewal{{Name: "f1", Disk: "another", Renewal: renewOf("f1", 51, 1)}}}); a == nil || a.Withheld[0].RefusedReason != foreignDisk {
		t.Errorf("%+v", a)
	}
}

// Who asked for silence to be told, and of whom another relay told since, is told again.
func TestWhatAnotherRelayToldIsAskedForAgain(t *testing.T) {
	_, l, tell := leadOf(t)
	tell(&RelayedRenewals{Seq: 1, Renewals: []RelayedRenewal{from("f0", 90, 1)}})
	old := &RelayedRenewals{Incarnation: 5, Seq: 1, Renewals: []RelayedRenewal{from("f0", 80, 1)}}
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "r9", To: l.name, Disk: "disk r9", RelayedRenewals: old}})
	if l.core.peers["f0"].incarnation != 80 {
		t.Fatal("the other relay's word doesn't stand")
	}
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "r9", To: l.name, Disk: "disk r9",
		RelayedRenewals: &RelayedRenewals{Incarnation: 5, Seq: 2, BaseSeq: 1, Silent: []SilentController{{Name: "f0", SilentFor: 1}}}}})
	if a := tell(&RelayedRenewals{Seq: 2, BaseSeq: 1}); a == nil || !slices.Equal(a.Resend, []string{"f0"}) {
		t.Fatalf("%+v", a)
	}
	a := tell(&RelayedRenewals{Seq: 3, BaseSeq: 1, Renewals: []RelayedRenewal{from("f0", 90, 1)}})
	if a == nil || len(a.Resend) != 0 || l.core.peers["f0"].incarnation != 90 {
		t.Errorf("%+v, and run %d stands", a, l.core.peers["f0"].incarnation)
	}
}

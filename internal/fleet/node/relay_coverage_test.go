package node

import (
	"slices"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// leaderWithManualRelay plays a fleet with a relay that is driven by hand. It returns the
// leader, and what sends the leader a relay's message and returns the answer, nil: none.
func leaderWithManualRelay(t *testing.T) (s *testCluster, l *testController,
	tell func(*RelayedRenewals) *RelayedGrants) {
	s = newRelayCluster(t, 21, 3, 1, 2, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	for _, name := range []string{"r0", "f0", "f1"} {
		s.controllers[name].run = 0
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
		l.step(Event{Kind: MessageReceived, Message: &Message{From: "r0", To: l.name, DiskID: "disk r0",
			RelayedRenewals: g}})
		s.playFor(60*time.Millisecond, nil)
		return last
	}
}

func relayedFrom(name string, boot, seq uint64) RelayedRenewal {
	return RelayedRenewal{Name: name, DiskID: "disk " + name, Renewal: testRenewal(name, boot, seq)}
}

func TestCoverageAsksForFullMessageWithoutBase(t *testing.T) {
	_, l, tell := leaderWithManualRelay(t)
	if a := tell(&RelayedRenewals{Seq: 3, BaseSeq: 2}); a == nil || !a.Resync || a.Granted {
		t.Fatalf("it has nothing of this relay and says %+v", a)
	}
	if a := tell(&RelayedRenewals{Seq: 4, Renewals: []RelayedRenewal{relayedFrom("f0", 50, 1)}}); a == nil ||
		!a.Granted || len(a.Withheld) != 0 {
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

func TestCoverageIgnoresLateMessage(t *testing.T) {
	_, l, tell := leaderWithManualRelay(t)
	tell(&RelayedRenewals{Seq: 5, Renewals: []RelayedRenewal{relayedFrom("f0", 50, 5)}})
	if a := tell(&RelayedRenewals{Seq: 4, Renewals: []RelayedRenewal{relayedFrom("f1", 51, 4)}}); a != nil {
		t.Errorf("a late gather is answered: %+v", a)
	}
	if a := tell(&RelayedRenewals{Seq: 5, Renewals: []RelayedRenewal{relayedFrom("f1", 51, 4)}}); a != nil {
		t.Errorf("a doubled gather is answered: %+v", a)
	}
	if covers := l.core.coverage[relayIncarnation{"r0", 77}]; !covers.controllers["f0"] ||
		covers.controllers["f1"] {
		t.Errorf("covered: %v", covers.controllers)
	}
}

func TestCoverageReplacedByFullMessage(t *testing.T) {
	_, l, tell := leaderWithManualRelay(t)
	tell(&RelayedRenewals{Seq: 1, Renewals: []RelayedRenewal{relayedFrom("f0", 50, 1), relayedFrom("f1", 51,
		1)}})
	heard := l.core.coverage[relayIncarnation{"r0", 77}].heardAt
	tell(&RelayedRenewals{Seq: 2, Renewals: []RelayedRenewal{relayedFrom("f1", 51, 2)}})
	if covers := l.core.coverage[relayIncarnation{"r0", 77}]; covers.controllers["f0"] ||
		!covers.controllers["f1"] {
		t.Errorf("covered: %v", covers.controllers)
	}
	if asked := l.core.peers["f0"].leaseAskedAt; asked < heard {
		t.Errorf("f0 asked at %v as the leader has it, and was covered at %v", asked, heard)
	}
}

// A controller that isn't in the log yet is granted no lease by the message that reported
// it, also if the log has it before the answer is sent.
func TestCoverageWithholdsLeaseOfJoiningController(t *testing.T) {
	s, l, tell := leaderWithManualRelay(t)
	if a := tell(&RelayedRenewals{Seq: 1, Renewals: []RelayedRenewal{relayedFrom("new", 60, 1)}}); a == nil ||
		!slices.Equal(a.Withheld, []WithheldLease{{Name: "new"}}) {
		t.Fatalf("%+v", a)
	}
	s.playFor(time.Second, nil)
	if l.core.state.Members["new"] == nil {
		t.Fatal("it hasn't joined")
	}
	if a := tell(&RelayedRenewals{Seq: 2, Renewals: []RelayedRenewal{relayedFrom("new", 60, 2)}}); a == nil ||
		!a.Granted || len(a.Withheld) != 0 {
		t.Errorf("%+v", a)
	}
	// two messages in one confirmation: what the first withheld stays withheld for it
	covers := &relayCoverage{controllers: map[string]bool{"new": true}}
	first := unconfirmedRenewal{name: "r0", relayed: &RelayedRenewals{Incarnation: 77, Seq: 9},
		coverage: covers, withheld: map[string]string{"new": ""}}
	l.core.effects = nil
	l.core.grantRelayed(first, 1)
	if sent := l.core.effects[0].Message.RelayedGrants; len(sent.Withheld) != 1 {
		t.Errorf("%+v", sent)
	}
}

func TestCoverageWithholdsLeaseOfForgottenController(t *testing.T) {
	s, l, tell := leaderWithManualRelay(t)
	tell(&RelayedRenewals{Seq: 1, Renewals: []RelayedRenewal{relayedFrom("f0", 50, 1)}})
	l.request(1, &fleet.Request{Kind: "forget", ID: "x", Name: "f0"})
	s.waitFor(2*time.Second, "forgotten", func() bool { return l.core.state.Members["f0"].Forgotten })
	if a := tell(&RelayedRenewals{Seq: 2, BaseSeq: 1}); a == nil || len(a.Withheld) != 1 ||
		a.Withheld[0].RefusedReason != forgottenName {
		t.Errorf("%+v", a)
	}
	if a := tell(&RelayedRenewals{Seq: 3, Renewals: []RelayedRenewal{{Name: "f1", DiskID: "another",
		Renewal: testRenewal("f1", 51, 1)}}}); a == nil || a.Withheld[0].RefusedReason != foreignDisk {
		t.Errorf("%+v", a)
	}
}

// A controller that another relay reported as silent is asked for again of this one.
func TestCoverageAsksAgainForWhatAnotherRelayReported(t *testing.T) {
	_, l, tell := leaderWithManualRelay(t)
	tell(&RelayedRenewals{Seq: 1, Renewals: []RelayedRenewal{relayedFrom("f0", 90, 1)}})
	old := &RelayedRenewals{Incarnation: 5, Seq: 1, Renewals: []RelayedRenewal{relayedFrom("f0", 80, 1)}}
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "r9", To: l.name, DiskID: "disk r9",
		RelayedRenewals: old}})
	if l.core.peers["f0"].incarnation != 80 {
		t.Fatal("the other relay's word doesn't stand")
	}
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "r9", To: l.name, DiskID: "disk r9",
		RelayedRenewals: &RelayedRenewals{Incarnation: 5, Seq: 2, BaseSeq: 1,
			Silent: []SilentController{{Name: "f0", SilentFor: 1}}}}})
	if a := tell(&RelayedRenewals{Seq: 2, BaseSeq: 1}); a == nil || !slices.Equal(a.Resend, []string{"f0"}) {
		t.Fatalf("%+v", a)
	}
	a := tell(&RelayedRenewals{Seq: 3, BaseSeq: 1, Renewals: []RelayedRenewal{relayedFrom("f0", 90, 1)}})
	if a == nil || len(a.Resend) != 0 || l.core.peers["f0"].incarnation != 90 {
		t.Errorf("%+v, and run %d stands", a, l.core.peers["f0"].incarnation)
	}
}

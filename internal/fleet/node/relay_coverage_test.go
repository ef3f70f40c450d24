package node

import (
	"slices"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// leaderWithManualRelay runs a fleet whose relay the test simulates. It returns the cluster, the
// leader, and a function that sends the leader a relay's message and returns the answer, nil if
// there is none.
func leaderWithManualRelay(t *testing.T) (s *testCluster, l *testController,
	send func(*RelayedRenewals) *RelayedGrants) {
	s = newRelayCluster(t, 21, 3, 1, 2, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	for _, name := range []string{"r0", "f0", "f1"} {
		s.controllers[name].incarnation = 0
	}
	l = s.leader()
	var last *RelayedGrants
	s.onSend = func(_, to string, m *Message) {
		if to == "r0" && m.RelayedGrants != nil && m.RelayedGrants.Incarnation == 77 {
			last = m.RelayedGrants
		}
	}
	return s, l, func(g *RelayedRenewals) *RelayedGrants {
		g.Incarnation, last = 77, nil
		l.step(Event{Kind: MessageReceived, Message: &Message{From: "r0", To: l.name, DiskID: "disk r0",
			RelayedRenewals: g}})
		s.runFor(60*time.Millisecond, nil)
		return last
	}
}

func relayedFrom(name string, incarnation, seq uint64) RelayedRenewal {
	return RelayedRenewal{Name: name, DiskID: "disk " + name, Renewal: testRenewal(name, incarnation, seq)}
}

func TestCoverageAsksForFullMessageWithoutBase(t *testing.T) {
	_, l, send := leaderWithManualRelay(t)
	if a := send(&RelayedRenewals{Seq: 3, BaseSeq: 2}); a == nil || !a.Resync || a.Granted {
		t.Fatalf("the leader has no coverage of this relay and answers %+v", a)
	}
	if a := send(&RelayedRenewals{Seq: 4, Renewals: []RelayedRenewal{relayedFrom("f0", 50, 1)}}); a == nil ||
		!a.Granted || len(a.Withheld) != 0 {
		t.Fatalf("%+v", a)
	}
	if a := send(&RelayedRenewals{Seq: 6, BaseSeq: 5}); a == nil || !a.Resync || a.Granted {
		t.Errorf("the leader lacks message 5 and answers %+v", a)
	}
	if a := send(&RelayedRenewals{Seq: 7, BaseSeq: 4}); a == nil || !a.Granted {
		t.Errorf("%+v", a)
	}
	if !l.core.coverage[relayIncarnation{"r0", 77}].controllers["f0"] {
		t.Error("f0 isn't covered")
	}
}

func TestCoverageIgnoresLateMessage(t *testing.T) {
	_, l, send := leaderWithManualRelay(t)
	send(&RelayedRenewals{Seq: 5, Renewals: []RelayedRenewal{relayedFrom("f0", 50, 5)}})
	if a := send(&RelayedRenewals{Seq: 4, Renewals: []RelayedRenewal{relayedFrom("f1", 51, 4)}}); a != nil {
		t.Errorf("a late message is answered: %+v", a)
	}
	if a := send(&RelayedRenewals{Seq: 5, Renewals: []RelayedRenewal{relayedFrom("f1", 51, 4)}}); a != nil {
		t.Errorf("a duplicated message is answered: %+v", a)
	}
	if covers := l.core.coverage[relayIncarnation{"r0", 77}]; !covers.controllers["f0"] ||
		covers.controllers["f1"] {
		t.Errorf("covered: %v", covers.controllers)
	}
}

func TestCoverageReplacedByFullMessage(t *testing.T) {
	_, l, send := leaderWithManualRelay(t)
	send(&RelayedRenewals{Seq: 1, Renewals: []RelayedRenewal{relayedFrom("f0", 50, 1), relayedFrom("f1", 51,
		1)}})
	heard := l.core.coverage[relayIncarnation{"r0", 77}].heardAt
	send(&RelayedRenewals{Seq: 2, Renewals: []RelayedRenewal{relayedFrom("f1", 51, 2)}})
	if covers := l.core.coverage[relayIncarnation{"r0", 77}]; covers.controllers["f0"] ||
		!covers.controllers["f1"] {
		t.Errorf("covered: %v", covers.controllers)
	}
	if asked := l.core.peers["f0"].leaseAskedAt; asked < heard {
		t.Errorf("f0 requested its last lease at %v by the leader's state, and was covered at %v", asked, heard)
	}
}

// A controller that isn't in the log yet gets no lease by the message that reported it, even if it
// joins before the answer is sent.
func TestCoverageWithholdsLeaseOfJoiningController(t *testing.T) {
	s, l, send := leaderWithManualRelay(t)
	if a := send(&RelayedRenewals{Seq: 1, Renewals: []RelayedRenewal{relayedFrom("new", 60, 1)}}); a == nil ||
		!slices.Equal(a.Withheld, []WithheldLease{{Name: "new"}}) {
		t.Fatalf("%+v", a)
	}
	s.runFor(time.Second, nil)
	if l.core.state.Members["new"] == nil {
		t.Fatal("the controller hasn't joined")
	}
	if a := send(&RelayedRenewals{Seq: 2, Renewals: []RelayedRenewal{relayedFrom("new", 60, 2)}}); a == nil ||
		!a.Granted || len(a.Withheld) != 0 {
		t.Errorf("%+v", a)
	}
	// two messages share a confirmation: what the first withheld stays withheld in its answer
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
	s, l, send := leaderWithManualRelay(t)
	send(&RelayedRenewals{Seq: 1, Renewals: []RelayedRenewal{relayedFrom("f0", 50, 1)}})
	l.request(1, &fleet.Request{Kind: "forget", ID: "x", Name: "f0"})
	s.waitFor(2*time.Second, "forgotten", func() bool { return l.core.state.Members["f0"].Forgotten })
	if a := send(&RelayedRenewals{Seq: 2, BaseSeq: 1}); a == nil || len(a.Withheld) != 1 ||
		a.Withheld[0].RefusedReason != forgottenReason {
		t.Errorf("%+v", a)
	}
	if a := send(&RelayedRenewals{Seq: 3, Renewals: []RelayedRenewal{{Name: "f1", DiskID: "another",
		Renewal: testRenewal("f1", 51, 1)}}}); a == nil || a.Withheld[0].RefusedReason != foreignDiskReason {
		t.Errorf("%+v", a)
	}
}

// When another relay uncovers a controller, this relay must report it again.
func TestCoverageAsksAgainForWhatAnotherRelayReported(t *testing.T) {
	_, l, send := leaderWithManualRelay(t)
	send(&RelayedRenewals{Seq: 1, Renewals: []RelayedRenewal{relayedFrom("f0", 90, 1)}})
	old := &RelayedRenewals{Incarnation: 5, Seq: 1, Renewals: []RelayedRenewal{relayedFrom("f0", 80, 1)}}
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "r9", To: l.name, DiskID: "disk r9",
		RelayedRenewals: old}})
	if l.core.peers["f0"].incarnation != 80 {
		t.Fatal("the other relay's report isn't recorded")
	}
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "r9", To: l.name, DiskID: "disk r9",
		RelayedRenewals: &RelayedRenewals{Incarnation: 5, Seq: 2, BaseSeq: 1,
			Silent: []SilentController{{Name: "f0", SilentFor: 1}}}}})
	if a := send(&RelayedRenewals{Seq: 2, BaseSeq: 1}); a == nil || !slices.Equal(a.Resend, []string{"f0"}) {
		t.Fatalf("%+v", a)
	}
	a := send(&RelayedRenewals{Seq: 3, BaseSeq: 1, Renewals: []RelayedRenewal{relayedFrom("f0", 90, 1)}})
	if a == nil || len(a.Resend) != 0 || l.core.peers["f0"].incarnation != 90 {
		t.Errorf("%+v, and incarnation %d is recorded", a, l.core.peers["f0"].incarnation)
	}
}

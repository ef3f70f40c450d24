package node

import (
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// forgetController has a name forgotten, and waits until the log has it.
func (s *testCluster) forgetController(name string) {
	s.t.Helper()
	l := s.leader()
	l.request(900, &fleet.Request{Kind: "forget", ID: "forget " + name, Name: name})
	s.waitFor(5*time.Second, name+" is forgotten", func() bool { return l.core.state.Members[name].Forgotten })
}

// A controller forgotten long ago holds no lease, whoever leads by now: no change waits for it.
func TestChangeDoesNotWaitForControllerForgottenLongAgo(t *testing.T) {
	lease := 5 * time.Second
	s := newRelayCluster(t, 31, 3, 2, 4, lease)
	s.waitUntilAllServe(10 * time.Second)
	s.controllers["f3"].run = 0
	s.forgetController("f3")
	s.playFor(2*lease, nil)
	l := s.leader()
	if names := l.core.possibleHolders(); len(names) != len(s.names)-1 || len(l.core.roster.forgottenAt) != 0 {
		t.Errorf("awaited: %v, forgotten of late: %v", names, l.core.roster.forgottenAt)
	}
	l.run = 0
	lost := s.now
	s.waitFor(4*time.Second, "in force", s.applyPolicy(s.controllers["f0"], "c1", 1, 1))
	if took := s.now - lost; took > 1500*time.Millisecond {
		t.Errorf("in force %v after the leader was lost", took)
	}
}

// A controller forgotten a moment ago, and not lost, may serve until its lease ends: a
// change waits for that, also where the leader is lost or started anew meanwhile.
func TestChangeWaitsForLeaseOfControllerJustForgotten(t *testing.T) {
	for _, reach := range []string{"", "leader lost", "voters started anew"} {
		s := newRelayCluster(t, 32, 3, 2, 3, relayLease)
		s.waitUntilAllServe(5 * time.Second)
		for _, name := range s.names {
			if name != "f0" {
				s.cutBothWays(name, "f0") // it doesn't hear of its end
			}
		}
		s.forgetController("f0")
		switch reach {
		case "leader lost":
			s.leader().run = 0
		case "voters started anew":
			for _, v := range []string{"v0", "v1", "v2"} {
				s.controllers[v].run = 0
				s.controllers[v].start()
			}
		}
		s.waitFor(8*time.Second, "in force", s.applyPolicy(s.controllers["f1"], "c1", 1, 1))
		s.checkInForce(s.controllers["f1"], 1)
		s.playFor(2*relayLease, s.checkOneVersion)
	}
}

package node

import (
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// forgetController forgets a name and waits until the log has it as forgotten.
func (s *testCluster) forgetController(name string) {
	s.t.Helper()
	l := s.leader()
	l.request(900, &fleet.Request{Kind: "forget", ID: "forget " + name, Name: name})
	s.waitFor(5*time.Second, name+" is forgotten", func() bool { return l.core.state.Members[name].Forgotten })
}

// A controller that was forgotten long ago holds no lease, so no change waits for it under any
// leader.
func TestChangeDoesNotWaitForControllerForgottenLongAgo(t *testing.T) {
	lease := 5 * time.Second
	s := newRelayCluster(t, 31, 3, 2, 4, lease)
	s.waitUntilAllServe(10 * time.Second)
	s.controllers["f3"].incarnation = 0
	s.forgetController("f3")
	s.runFor(2*lease, nil)
	l := s.leader()
	if names := l.core.possibleHolders(); len(names) != len(s.names)-1 || len(l.core.roster.forgottenAt) != 0 {
		t.Errorf("possible holders %v, recently forgotten %v", names, l.core.roster.forgottenAt)
	}
	l.incarnation = 0
	lost := s.now
	s.waitFor(4*time.Second, "in force", s.applyPolicy(s.controllers["f0"], "c1", 1, 1))
	if took := s.now - lost; took > 1500*time.Millisecond {
		t.Errorf("in force %v after the leader was lost", took)
	}
}

// A controller that was just forgotten and still runs may serve until its lease ends. A change
// waits for that, even if the leader is lost or the voters are restarted in the meantime.
func TestChangeWaitsForLeaseOfControllerJustForgotten(t *testing.T) {
	for _, fault := range []string{"", "leader lost", "voters restarted"} {
		s := newRelayCluster(t, 32, 3, 2, 3, relayLease)
		s.waitUntilAllServe(5 * time.Second)
		for _, name := range s.names {
			if name != "f0" {
				s.cutBothWays(name, "f0") // f0 doesn't learn that it is forgotten
			}
		}
		s.forgetController("f0")
		switch fault {
		case "leader lost":
			s.leader().incarnation = 0
		case "voters restarted":
			for _, v := range []string{"v0", "v1", "v2"} {
				s.controllers[v].incarnation = 0
				s.controllers[v].start()
			}
		}
		s.waitFor(8*time.Second, "in force", s.applyPolicy(s.controllers["f1"], "c1", 1, 1))
		s.checkInForce(s.controllers["f1"], 1)
		s.runFor(2*relayLease, s.checkOneVersion)
	}
}

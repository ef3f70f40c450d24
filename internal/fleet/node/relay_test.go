package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// newRelayCluster returns a cluster of voters v0.., relays r0.. that don't vote, and followers f0..
// that each use two of the relays.
func newRelayCluster(t *testing.T, seed uint64, voters, relays, followers int,
	lease time.Duration) *testCluster {
	s := newEmptyTestCluster(t, seed)
	named := votersNamed(voters)
	for _, v := range named {
		config := testConfig(v.Name, named, seed, lease)
		config.Self.ControlOnly = true
		s.add(config)
	}
	var upstreams []Upstream
	for i := range relays {
		name := fmt.Sprintf("r%d", i)
		config := testConfig(name, named, seed, lease)
		config.IsRelay, config.Self.ControlOnly = true, true
		s.add(config)
		upstreams = append(upstreams, Upstream{Name: name, Address: name + ":1"})
	}
	for i := range followers {
		config := testConfig(fmt.Sprintf("f%d", i), named, seed, lease)
		config.Relays = []Upstream{upstreams[i%relays], upstreams[(i+1)%relays]}
		s.add(config)
	}
	return s
}

// runFor runs events for a span of virtual time and calls check after each.
func (s *testCluster) runFor(span time.Duration, check func()) {
	for end := s.now + span; s.now < end; {
		s.runNextEvent()
		if check != nil {
			check()
		}
	}
}

// checkOneVersion fails if two controllers may decide by different versions at the same time.
func (s *testCluster) checkOneVersion() {
	version, by := uint64(0), ""
	for _, name := range s.names {
		a := s.controllers[name]
		if a.incarnation == 0 || a.config.Self.ControlOnly {
			continue
		}
		v := a.serving.ServingVersion(s.now, false)
		if v == 0 {
			continue
		}
		if version != 0 && v != version {
			s.t.Fatalf("at %v %s decides by %d and %s by %d", s.now, by, version, name, v)
		}
		version, by = v, name
	}
}

// applyPolicy requests a change at a controller and returns a function that reports whether it is
// answered.
func (s *testCluster) applyPolicy(a *testController, id string, handle, base uint64) func() bool {
	a.request(handle, &fleet.Request{Kind: "apply", ID: id, BaseVersion: base, Policy: []byte(id),
		WaitMs: 60000})
	return func() bool {
		s.checkOneVersion()
		return s.responseTo(a, handle) != nil
	}
}

func (s *testCluster) checkInForce(a *testController, handle uint64) {
	s.t.Helper()
	if w := s.responseTo(a, handle); w.Outcome != statemachine.InForce {
		s.t.Fatalf("%+v", w)
	}
}

func (s *testCluster) cutBothWays(a, b string) { s.cutLinks[a+">"+b], s.cutLinks[b+">"+a] = true, true }

func (s *testCluster) healLinks() { clear(s.cutLinks) }

const relayLease = 800 * time.Millisecond

func TestFleetServesThroughRelays(t *testing.T) {
	s := newRelayCluster(t, 1, 3, 2, 12, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	s.runFor(2*relayLease, nil) // all have joined
	direct, messages, renewals := 0, 0, 0
	s.onSend = func(from, to string, m *Message) {
		leader := s.leader()
		switch {
		case m.Renewal != nil && from[0] == 'f' && to == leader.name:
			direct++
		case m.RelayedRenewals != nil:
			messages++
			renewals += len(m.RelayedRenewals.Renewals)
		}
	}
	s.runFor(4*time.Second, func() {
		if !s.allServe(s.names...) {
			t.Fatalf("at %v not all serve", s.now)
		}
	})
	if direct != 0 || renewals != 0 {
		t.Errorf("without changes, %d renewals were sent to the leader, and messages named %d controllers",
			direct, renewals)
	}
	// a relay sends messagesPerInterval messages per renewal interval
	maxMessages := int(2 * messagesPerInterval * 4 * time.Second / s.controllers["f0"].core.renewalInterval())
	if messages == 0 || messages > maxMessages+4 {
		t.Errorf("%d messages in 4 s, want at most %d", messages, maxMessages)
	}
	s.onSend = nil
	f := s.controllers["f3"]
	s.waitFor(3*time.Second, "in force", s.applyPolicy(f, "c1", 1, 1))
	s.checkInForce(f, 1)
	for _, name := range s.names {
		if v := s.controllers[name].serving.ServingVersion(s.now, false); v != 2 {
			t.Errorf("%s decides by %d", name, v)
		}
	}
	s.waitUntilAllServe(2 * time.Second)
}

// The leader granted every lease that a relay forwards after the holder requested it, and waits
// for the holder until the lease ends.
func TestLeaseThroughRelayIsWaitedFor(t *testing.T) {
	for _, fault := range []string{"relay killed", "follower killed", "relay cut from the leader",
		"follower cut"} {
		s := newRelayCluster(t, 2, 3, 2, 4, relayLease)
		s.waitUntilAllServe(5 * time.Second)
		l, f := s.leader(), s.controllers["f0"]
		switch fault {
		case "relay killed":
			s.controllers["r0"].incarnation = 0
		case "follower killed":
			f.incarnation = 0
		case "relay cut from the leader":
			s.cutBothWays("r0", l.name)
		case "follower cut":
			for _, name := range s.names {
				if name != f.name {
					s.cutBothWays(f.name, name)
				}
			}
		}
		s.runFor(time.Duration(s.rand.IntN(200))*time.Millisecond, nil)
		s.waitFor(4*time.Second, "in force after "+fault, s.applyPolicy(l, "c1", 1, 1))
		s.checkInForce(l, 1)
		s.runFor(time.Second, s.checkOneVersion)
	}
}

func TestControllersLeaveUnansweringRelay(t *testing.T) {
	for _, fault := range []string{"killed", "cut from the leader", "cut from its controllers", "both gone"} {
		s := newRelayCluster(t, 3, 3, 2, 8, relayLease)
		s.waitUntilAllServe(5 * time.Second)
		l := s.leader()
		followers := s.names[5:]
		switch fault {
		case "killed":
			s.controllers["r0"].incarnation = 0
		case "cut from the leader":
			s.cutBothWays("r0", l.name)
		case "cut from its controllers":
			for _, name := range followers {
				s.cutBothWays("r0", name)
			}
		case "both gone":
			s.controllers["r0"].incarnation, s.controllers["r1"].incarnation = 0, 0
		}
		gap := time.Duration(0)
		last := s.now
		s.runFor(6*time.Second, func() {
			if !s.allServe(followers...) {
				gap += s.now - last
			}
			last = s.now
		})
		if gap > 0 {
			t.Errorf("%s: a controller served nothing for %v", fault, gap)
		}
		s.waitFor(4*time.Second, "in force while a relay is "+fault, s.applyPolicy(s.controllers["f1"], "c1", 1, 1))
		s.checkInForce(s.controllers["f1"], 1)
		s.healLinks()
		for _, name := range []string{"r0", "r1"} {
			if s.controllers[name].incarnation == 0 {
				s.controllers[name].start()
			}
		}
		s.waitFor(20*time.Second, "all renew through their first relay again", func() bool {
			return !slices.ContainsFunc(followers,
				func(name string) bool { return s.controllers[name].core.routes.current != 0 })
		})
	}
}

// A relay that is stopped for longer than a lease and then continued extends no lease, and its
// late messages are no new lease requests.
func TestRelayStoppedPastLeaseAndContinued(t *testing.T) {
	s := newRelayCluster(t, 4, 3, 2, 6, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	r := s.controllers["r0"]
	// messages to the stopped relay wait in its connections
	var waiting []*Message
	run := r.incarnation
	s.dropMessage = func(from, to string, m *Message) bool {
		if to == "r0" && r.incarnation == 0 {
			waiting = append(waiting, m)
		}
		return to == "r0" && r.incarnation == 0
	}
	r.incarnation = 0
	s.waitFor(4*time.Second, "in force", s.applyPolicy(s.controllers["f0"], "c1", 1, 1))
	s.runFor(3*relayLease, s.checkOneVersion)
	r.incarnation = run
	for _, m := range waiting {
		r.receive(m)
		s.checkOneVersion()
	}
	r.step(Event{Kind: TimerFired})
	s.waitFor(5*time.Second, "in force once more", s.applyPolicy(s.controllers["f1"], "c2", 2, 2))
	s.checkInForce(s.controllers["f1"], 2)
	s.waitUntilAllServe(5 * time.Second)
}

// Late or duplicated grants extend no lease.
func TestGrantsReplayedOrLateLengthenNoLease(t *testing.T) {
	s := newRelayCluster(t, 5, 3, 2, 4, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	var toRelay, toFollower []*Message
	s.onSend = func(_, to string, m *Message) {
		if to == "r0" && m.RelayedGrants != nil {
			toRelay = append(toRelay, m)
		}
		if to == "f0" && m.Grant != nil {
			toFollower = append(toFollower, m)
		}
	}
	s.runFor(2*time.Second, nil)
	f := s.controllers["f0"]
	for _, name := range s.names {
		if name != "f0" {
			s.cutBothWays(name, "f0")
		}
	}
	s.onSend = nil
	s.runFor(relayLease/2, nil)
	until, _ := f.serving.LeaseEnds()
	for _, m := range toRelay {
		s.controllers["r0"].receive(m)
	}
	for _, m := range toFollower {
		f.receive(m)
	}
	s.runFor(10*time.Millisecond, nil)
	if now, _ := f.serving.LeaseEnds(); now != until || len(toRelay) < 5 || len(toFollower) < 5 {
		t.Errorf("the lease end %v became %v after %d and %d replayed grants", until, now, len(toRelay),
			len(toFollower))
	}
	s.runFor(relayLease, nil)
	if s.allServe("f0") {
		t.Error("a disconnected controller serves past its lease")
	}
}

// With messages between relays and leader lost, duplicated and late, changes still come into force
// and no two versions are in force at the same time.
func TestRelayMessagesLostDoubledAndLate(t *testing.T) {
	for seed := range uint64(12) {
		s := newRelayCluster(t, 200+seed, 3, 2, 6, relayLease)
		s.waitUntilAllServe(5 * time.Second)
		s.dropMessage = func(from, to string, m *Message) bool {
			if m.RelayedRenewals == nil && m.RelayedGrants == nil && m.Grant == nil && m.Renewal == nil &&
				m.LogUpdate == nil {
				return false
			}
			switch s.rand.IntN(5) {
			case 0:
				return true
			case 1, 2: // deliver a late duplicate
				target := s.controllers[to]
				target.schedule(time.Duration(s.rand.IntN(600))*time.Millisecond, func() { target.receive(m) })
			}
			return false
		}
		for i := range uint64(4) {
			a := s.controllers[s.names[s.rand.IntN(len(s.names))]]
			s.waitFor(15*time.Second, "in force", s.applyPolicy(a, fmt.Sprintf("c%d", i), 10+i, 1+i))
			s.checkInForce(a, 10+i)
		}
		s.dropMessage = nil
		s.waitUntilAllServe(5 * time.Second)
		s.runFor(time.Second, s.checkOneVersion)
	}
}

// A relay or the leader is lost in each phase of a change, and restarted after it.
func TestRelayOrLeaderLostDuringChange(t *testing.T) {
	phases := map[string]int{}
	for seed := range uint64(40) {
		s := newRelayCluster(t, 300+seed, 3, 2, 4, relayLease)
		s.waitUntilAllServe(5 * time.Second)
		f := s.controllers["f2"]
		done := s.applyPolicy(f, "c1", 1, 1)
		s.runFor(time.Duration(s.rand.IntN(90))*time.Millisecond, s.checkOneVersion)
		lost := s.controllers["r0"]
		if seed%2 == 1 {
			lost = s.leader()
		}
		if c := lost.core.state.Changes["c1"]; c != nil {
			phases[c.Phase]++
		}
		lost.incarnation = 0
		s.waitFor(20*time.Second, "in force", done)
		s.checkInForce(f, 1)
		lost.start()
		s.waitFor(10*time.Second, "all serve", func() bool { s.checkOneVersion(); return s.allServe(s.names...) })
	}
	for _, p := range []string{statemachine.Proposed, statemachine.Fencing, statemachine.Committed} {
		if phases[p] == 0 {
			t.Errorf("no controller was lost in phase %s: %v", p, phases)
		}
	}
}

// An old incarnation of a relay that still runs beside the next one covers controllers on its own.
func TestOldRelayIncarnationBesideNewOne(t *testing.T) {
	s := newRelayCluster(t, 6, 3, 2, 4, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	l := s.leader()
	old := s.controllers["r0"].core
	s.controllers["r0"].start()
	s.waitFor(5*time.Second, "all serve again", func() bool { return s.allServe(s.names...) })
	for key, covers := range l.core.coverage {
		if key.relay == "r0" && key.incarnation == old.config.Incarnation {
			old.aggregator.leaderHasUpTo = covers.lastSeq
		}
	}
	seq := old.aggregator.lastSeq
	for i := range uint64(5) { // it continues without the controllers that left it
		g := &RelayedRenewals{Incarnation: old.config.Incarnation, Seq: seq + 1 + i,
			BaseSeq: old.aggregator.leaderHasUpTo}
		l.step(Event{Kind: MessageReceived, Message: &Message{From: "r0", To: l.name, DiskID: "disk r0",
			RelayedRenewals: g}})
		s.runFor(20*time.Millisecond, s.checkOneVersion)
	}
	if !s.allServe(s.names...) {
		t.Fatal("not all serve beside an old incarnation of a relay")
	}
	s.waitFor(4*time.Second, "in force", s.applyPolicy(s.controllers["f0"], "c1", 1, 1))
	s.checkInForce(s.controllers["f0"], 1)
	s.runFor(12*time.Second, s.checkOneVersion)
	for key := range l.core.coverage {
		if key.incarnation == old.config.Incarnation && key.relay == "r0" {
			t.Error("the coverage of an old relay incarnation never expires")
		}
	}
}

func TestManyControllersJoinWithinASecond(t *testing.T) {
	s := newRelayCluster(t, 7, 3, 2, 2, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	named := votersNamed(3)
	for i := range 97 {
		config := testConfig(fmt.Sprintf("n%02d", i), named, 7, relayLease)
		config.Relays = []Upstream{{Name: "r0", Address: "r0:1"}, {Name: "r1", Address: "r1:1"}}
		s.add(config)
		s.runFor(8*time.Millisecond, nil)
	}
	s.waitUntilAllServe(3 * time.Second)
	s.waitFor(3*time.Second, "in force", s.applyPolicy(s.controllers["n50"], "c1", 1, 1))
	s.checkInForce(s.controllers["n50"], 1)
}

// A forgotten controller gets no lease through a relay either.
func TestForgottenControllerIsRefusedThroughRelay(t *testing.T) {
	s := newRelayCluster(t, 8, 3, 2, 2, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	l, f := s.leader(), s.controllers["f0"]
	s.cutLinks["r0>f0"] = true // f0 can learn only from grants that it is forgotten
	s.dropMessage = func(_, to string, m *Message) bool { return to == "f0" && m.LogUpdate != nil }
	l.request(1, &fleet.Request{Kind: "forget", ID: "x", Name: "f0"})
	s.waitFor(4*time.Second, "it stops", func() bool { return !s.allServe("f0") })
	s.healLinks()
	s.dropMessage = nil
	s.runFor(3*time.Second, func() {
		if s.allServe("f0") {
			t.Fatal("the forgotten controller serves again")
		}
	})
	if f.core.refusedReason == "" {
		t.Error("the forgotten controller has no refusal reason")
	}
}

// A leader whose version is older than relays doesn't answer them. Controllers send their renewals
// to it directly, and the relay logs that it isn't answered.
func TestLeaderThatKnowsNoRelays(t *testing.T) {
	s := newRelayCluster(t, 9, 3, 2, 4, relayLease)
	// the leader ignores messages that it can't decode
	s.dropMessage = func(_, _ string, m *Message) bool { return m.RelayedRenewals != nil }
	s.waitUntilAllServe(8 * time.Second)
	s.runFor(8*time.Second, func() {
		if !s.allServe(s.names...) {
			t.Fatal("not all serve by direct renewals")
		}
	})
	if g := s.controllers["r0"].core.aggregator; !g.unansweredLogged {
		t.Error("the relay doesn't log that it isn't answered")
	}
	s.waitFor(4*time.Second, "in force", s.applyPolicy(s.controllers["f0"], "c1", 1, 1))
	s.checkInForce(s.controllers["f0"], 1)
}

// A relay forwards no lease unless the leader has answered a message that was sent after the lease
// request.
func TestRelayGrantsNothingByItself(t *testing.T) {
	s := newRelayCluster(t, 10, 3, 1, 3, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	r := s.controllers["r0"]
	granted := 0
	s.onSend = func(from, _ string, m *Message) {
		if from == "r0" && m.Grant != nil && m.Grant.Granted {
			granted++
		}
	}
	for _, name := range s.names[:3] {
		s.cutBothWays("r0", name)
	}
	s.runFor(10*time.Millisecond, nil) // messages in flight arrive
	granted = 0
	for i := range uint64(20) {
		member := s.controllers["f0"].config.Self
		r.step(Event{Kind: MessageReceived, Message: &Message{From: "f0", To: "r0", DiskID: member.DiskID,
			Renewal: &LeaseRenewal{Member: member, Incarnation: 1, Seq: 1000 + i, SentAt: int64(s.now),
				AppliedIndex: r.core.state.Index}}})
		s.runFor(20*time.Millisecond, nil)
	}
	if granted != 0 {
		t.Errorf("the relay granted %d leases by itself", granted)
	}
}

// A controller is restarted while its old relay is slow. When that relay sends a renewal of the old
// incarnation again, the renewal replaces that of the new incarnation only for a short time.
func TestOldIncarnationReportedByAnotherRelayIsCorrected(t *testing.T) {
	s := newRelayCluster(t, 11, 3, 2, 2, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	l, f := s.leader(), s.controllers["f0"]
	oldRenewal := l.core.peers["f0"].renewal
	s.cutBothWays("r0", "f0")
	f.start()
	s.waitFor(5*time.Second, "it serves through the other relay", func() bool {
		return s.allServe("f0") && l.core.peers["f0"].incarnation == f.config.Incarnation
	})
	r := s.controllers["r0"].core
	late := *oldRenewal
	late.Seq++
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "r0", To: l.name, DiskID: "disk r0",
		RelayedRenewals: &RelayedRenewals{Incarnation: r.config.Incarnation, Seq: r.aggregator.lastSeq + 1,
			BaseSeq:  r.aggregator.leaderHasUpTo,
			Renewals: []RelayedRenewal{{Name: "f0", DiskID: "disk f0", Renewal: &late}}}}})
	r.aggregator.lastSeq++
	if l.core.peers["f0"].incarnation == f.config.Incarnation {
		t.Fatal("the old incarnation isn't recorded: this test shows nothing")
	}
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "r0", To: l.name, DiskID: "disk r0",
		RelayedRenewals: &RelayedRenewals{Incarnation: r.config.Incarnation, Seq: r.aggregator.lastSeq + 1,
			BaseSeq: r.aggregator.leaderHasUpTo, Silent: []SilentController{{Name: "f0",
				SilentFor: int64(time.Second)}}}}})
	r.aggregator.lastSeq++
	s.waitFor(2*time.Second, "the new incarnation is recorded again", func() bool {
		return l.core.peers["f0"].incarnation == f.config.Incarnation
	})
}

// Control processes decide nothing about queries, so a change doesn't wait for the lease of a lost
// control process, even if that was the leader.
func TestChangeDoesNotWaitForControlProcesses(t *testing.T) {
	lease := 5 * time.Second
	s := newRelayCluster(t, 12, 3, 2, 4, lease)
	s.waitUntilAllServe(10 * time.Second)
	s.controllers["r1"].incarnation = 0
	l := s.leader()
	l.incarnation = 0
	lost := s.now
	s.waitFor(3*time.Second, "in force", s.applyPolicy(s.controllers["f0"], "c1", 1, 1))
	s.checkInForce(s.controllers["f0"], 1)
	took := s.now - lost
	t.Logf("in force after %v", took)
	if took > 1500*time.Millisecond { // time for two elections, one and a half renewals, and the change
		t.Errorf("in force %v after the leader was lost, with leases of %v", took, lease)
	}
	purge := &fleet.Request{Kind: "purge", ID: "p1", Scope: &fleet.Scope{Tenant: "a"}, WaitMs: 60000}
	s.controllers["f1"].request(2, purge)
	s.waitFor(3*time.Second, "purged while control processes are down", func() bool {
		return s.responseTo(s.controllers["f1"], 2) != nil
	})
}

// A control process that is restarted as a controller gets no lease before the log has its new
// role. A controller that is restarted as a control process stays a controller in the log, since
// its disk may still have kept results.
func TestRoleInTheLogDecides(t *testing.T) {
	s := newRelayCluster(t, 13, 3, 2, 2, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	l := s.leader()
	r, f := s.controllers["r0"], s.controllers["f0"]
	r.config.Self.ControlOnly, r.config.IsRelay = false, false
	granted := false
	s.onSend = func(_, to string, m *Message) {
		if to == "r0" && m.Grant != nil && m.Grant.Granted && m.Grant.Incarnation == r.config.Incarnation &&
			l.core.state.Members["r0"].ControlOnly {
			granted = true
		}
	}
	r.incarnation = 0
	s.runFor(relayLease, nil)
	r.start()
	s.waitFor(5*time.Second, "it serves", func() bool { return s.allServe("r0") })
	if granted || l.core.state.Members["r0"].ControlOnly {
		t.Errorf("granted while the log has it as a control process: %v", granted)
	}
	f.incarnation = 0
	f.config.Self.ControlOnly = true
	f.start()
	s.waitFor(5*time.Second, "it holds a lease", func() bool { return s.allServe("f0") })
	s.runFor(2*time.Second, nil)
	if l.core.state.Members["f0"].ControlOnly {
		t.Error("the log has a controller as a control process")
	}
}

// A control process that leads aborts a policy that it can't serve by, although changes don't wait
// for control processes.
func TestControlLeaderAbortsPolicyItRefuses(t *testing.T) {
	s := newRelayCluster(t, 14, 3, 2, 2, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	l := s.leader()
	l.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("bad for " + l.name)})
	s.waitFor(5*time.Second, "an answer", func() bool { return s.responseTo(l, 1) != nil })
	if w := s.responseTo(l, 1); w.Outcome != statemachine.Aborted {
		t.Errorf("%+v", w)
	}
}

// A process that is configured as an upstream but isn't a relay only names the leader. Its
// controllers switch to the leader or to the other relay.
func TestUpstreamThatIsNoRelay(t *testing.T) {
	s := newRelayCluster(t, 15, 3, 2, 4, relayLease)
	s.controllers["r0"].config.IsRelay = false
	s.controllers["r0"].start()
	s.waitUntilAllServe(8 * time.Second)
	s.runFor(8*time.Second, func() {
		if !s.allServe(s.names...) {
			t.Fatalf("at %v not all serve", s.now)
		}
	})
	s.waitFor(3*time.Second, "in force", s.applyPolicy(s.controllers["f0"], "c1", 1, 1))
	s.checkInForce(s.controllers["f0"], 1)
}

// A controller that reaches only its relays forwards requests to the leader through them.
func TestRequestsAreForwardedThroughRelays(t *testing.T) {
	s := newRelayCluster(t, 16, 3, 2, 4, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	for _, voter := range s.names[:3] {
		for _, follower := range s.names[5:] {
			s.cutBothWays(voter, follower)
		}
	}
	f := s.controllers["f2"]
	s.waitFor(3*time.Second, "in force", s.applyPolicy(f, "c1", 1, 1))
	s.checkInForce(f, 1)
	f.request(2, &fleet.Request{Kind: "bind", ID: "b1", Tenant: "a", Tables: []int64{1}})
	s.waitFor(3*time.Second, "bound", func() bool { return s.responseTo(f, 2) != nil })
	s.controllers["r0"].incarnation = 0 // its first relay
	s.waitFor(8*time.Second, "in force by the second", s.applyPolicy(f, "c2", 3, 2))
	s.checkInForce(f, 3)
}

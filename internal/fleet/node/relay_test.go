package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// newRelayCluster is voters v0.., relays r0.. that don't vote, and followers f0.. of which
// each asks through two of the relays.
func newRelayCluster(t *testing.T, seed uint64, voters, relays, followers int,
	lease time.Duration) *testCluster {
	s := newEmptyTestCluster(t, seed)
	named := votersNamed(voters)
	for _, v := range named {
		begin := configOf(v.Name, named, seed, lease)
		begin.Self.ControlOnly = true
		s.add(begin)
	}
	var upstreams []Upstream
	for i := range relays {
		name := fmt.Sprintf("r%d", i)
		begin := configOf(name, named, seed, lease)
		begin.IsRelay, begin.Self.ControlOnly = true, true
		s.add(begin)
		upstreams = append(upstreams, Upstream{Name: name, Address: name + ":1"})
	}
	for i := range followers {
		begin := configOf(fmt.Sprintf("f%d", i), named, seed, lease)
		begin.Relays = []Upstream{upstreams[i%relays], upstreams[(i+1)%relays]}
		s.add(begin)
	}
	return s
}

// playFor plays for a span of virtual time and checks something after each event.
func (s *testCluster) playFor(long time.Duration, check func()) {
	for end := s.now + long; s.now < end; {
		s.playNextEvent()
		if check != nil {
			check()
		}
	}
}

// checkOneVersion fails where two controllers may decide by different versions at one moment.
func (s *testCluster) checkOneVersion() {
	version, by := uint64(0), ""
	for _, name := range s.names {
		a := s.controllers[name]
		if a.run == 0 || a.config.Self.ControlOnly {
			continue
		}
		v := a.permit.ServingVersion(s.now, false)
		if v == 0 {
			continue
		}
		if version != 0 && v != version {
			s.t.Fatalf("at %v %s decides by %d and %s by %d", s.now, by, version, name, v)
		}
		version, by = v, name
	}
}

// applyPolicy requests a change at a controller and returns what tells whether it is answered.
func (s *testCluster) applyPolicy(a *testController, id string, handle, base uint64) func() bool {
	a.request(handle, &fleet.Request{Kind: "apply", ID: id, BaseVersion: base, Policy: []byte(id),
		WaitMs: 60000})
	return func() bool {
		s.checkOneVersion()
		return s.replyTo(a, handle) != nil
	}
}

func (s *testCluster) checkInForce(a *testController, handle uint64) {
	s.t.Helper()
	if w := s.replyTo(a, handle); w.Outcome != statemachine.InForce {
		s.t.Fatalf("%+v", w)
	}
}

func (s *testCluster) cutBothWays(a, b string) { s.cutLinks[a+">"+b], s.cutLinks[b+">"+a] = true, true }

func (s *testCluster) healLinks() { clear(s.cutLinks) }

const relayLease = 800 * time.Millisecond

func TestFleetServesThroughRelays(t *testing.T) {
	s := newRelayCluster(t, 1, 3, 2, 12, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	s.playFor(2*relayLease, nil) // joining has settled
	direct, gathers, renewals := 0, 0, 0
	s.seen = func(from, to string, m *Message) {
		leader := s.leader()
		switch {
		case m.Renewal != nil && from[0] == 'f' && to == leader.name:
			direct++
		case m.RelayedRenewals != nil:
			gathers++
			renewals += len(m.RelayedRenewals.Renewals)
		}
	}
	s.playFor(4*time.Second, func() {
		if !s.allServe(s.names...) {
			t.Fatalf("at %v not all serve", s.now)
		}
	})
	if direct != 0 || renewals != 0 {
		t.Errorf("at rest %d renewals came to the leader, and gathers named %d controllers", direct, renewals)
	}
	// a relay sends messagesPerInterval messages in the time in which a controller asks once
	most := int(2 * messagesPerInterval * 4 * time.Second / s.controllers["f0"].core.renewalInterval())
	if gathers == 0 || gathers > most+4 {
		t.Errorf("%d gathers in 4 s, at most %d are wanted", gathers, most)
	}
	s.seen = nil
	f := s.controllers["f3"]
	s.waitFor(3*time.Second, "in force", s.applyPolicy(f, "c1", 1, 1))
	s.checkInForce(f, 1)
	for _, name := range s.names {
		if v := s.controllers[name].permit.ServingVersion(s.now, false); v != 2 {
			t.Errorf("%s decides by %d", name, v)
		}
	}
	s.waitUntilAllServe(2 * time.Second)
}

// A lease that a relay passes on was given by the leader after its holder asked, and
// the leader waits for the holder at least as long.
func TestLeaseThroughRelayIsWaitedFor(t *testing.T) {
	for _, reach := range []string{"relay killed", "follower killed", "relay cut from the leader",
		"follower cut"} {
		s := newRelayCluster(t, 2, 3, 2, 4, relayLease)
		s.waitUntilAllServe(5 * time.Second)
		l, f := s.leader(), s.controllers["f0"]
		switch reach {
		case "relay killed":
			s.controllers["r0"].run = 0
		case "follower killed":
			f.run = 0
		case "relay cut from the leader":
			s.cutBothWays("r0", l.name)
		case "follower cut":
			for _, name := range s.names {
				if name != f.name {
					s.cutBothWays(f.name, name)
				}
			}
		}
		s.playFor(time.Duration(s.rand.IntN(200))*time.Millisecond, nil)
		s.waitFor(4*time.Second, "in force after "+reach, s.applyPolicy(l, "c1", 1, 1))
		s.checkInForce(l, 1)
		s.playFor(time.Second, s.checkOneVersion)
	}
}

func TestControllersLeaveUnansweringRelay(t *testing.T) {
	for _, reach := range []string{"killed", "cut from the leader", "cut from its controllers", "both gone"} {
		s := newRelayCluster(t, 3, 3, 2, 8, relayLease)
		s.waitUntilAllServe(5 * time.Second)
		l := s.leader()
		followers := s.names[5:]
		switch reach {
		case "killed":
			s.controllers["r0"].run = 0
		case "cut from the leader":
			s.cutBothWays("r0", l.name)
		case "cut from its controllers":
			for _, name := range followers {
				s.cutBothWays("r0", name)
			}
		case "both gone":
			s.controllers["r0"].run, s.controllers["r1"].run = 0, 0
		}
		gap := time.Duration(0)
		last := s.now
		s.playFor(6*time.Second, func() {
			if !s.allServe(followers...) {
				gap += s.now - last
			}
			last = s.now
		})
		if gap > 0 {
			t.Errorf("%s: a controller served nothing for %v", reach, gap)
		}
		s.waitFor(4*time.Second, "in force while a relay is "+reach, s.applyPolicy(s.controllers["f1"], "c1", 1, 1))
		s.checkInForce(s.controllers["f1"], 1)
		s.healLinks()
		for _, name := range []string{"r0", "r1"} {
			if s.controllers[name].run == 0 {
				s.controllers[name].start()
			}
		}
		s.waitFor(20*time.Second, "all ask through their first relay again", func() bool {
			return !slices.ContainsFunc(followers,
				func(name string) bool { return s.controllers[name].core.routes.current != 0 })
		})
	}
}

// A relay that is stopped past a lease and continued lengthens no lease, and what it sends
// late is no new request.
func TestRelayStoppedPastLeaseAndContinued(t *testing.T) {
	s := newRelayCluster(t, 4, 3, 2, 6, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	r := s.controllers["r0"]
	// what reaches it meanwhile waits in its connections
	var waiting []*Message
	run := r.run
	s.lose = func(from, to string, m *Message) bool {
		if to == "r0" && r.run == 0 {
			waiting = append(waiting, m)
		}
		return to == "r0" && r.run == 0
	}
	r.run = 0
	s.waitFor(4*time.Second, "in force", s.applyPolicy(s.controllers["f0"], "c1", 1, 1))
	s.playFor(3*relayLease, s.checkOneVersion)
	r.run = run
	for _, m := range waiting {
		r.receive(m)
		s.checkOneVersion()
	}
	r.step(Event{Kind: TimerFired})
	s.waitFor(5*time.Second, "in force once more", s.applyPolicy(s.controllers["f1"], "c2", 2, 2))
	s.checkInForce(s.controllers["f1"], 2)
	s.waitUntilAllServe(5 * time.Second)
}

// Grants that come late or twice lengthen no lease.
func TestGrantsReplayedOrLateLengthenNoLease(t *testing.T) {
	s := newRelayCluster(t, 5, 3, 2, 4, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	var toRelay, toFollower []*Message
	s.seen = func(_, to string, m *Message) {
		if to == "r0" && m.RelayedGrants != nil {
			toRelay = append(toRelay, m)
		}
		if to == "f0" && m.Grant != nil {
			toFollower = append(toFollower, m)
		}
	}
	s.playFor(2*time.Second, nil)
	f := s.controllers["f0"]
	for _, name := range s.names {
		if name != "f0" {
			s.cutBothWays(name, "f0")
		}
	}
	s.seen = nil
	s.playFor(relayLease/2, nil)
	until, _ := f.permit.LeaseEnds()
	for _, m := range toRelay {
		s.controllers["r0"].receive(m)
	}
	for _, m := range toFollower {
		f.receive(m)
	}
	s.playFor(10*time.Millisecond, nil)
	if now, _ := f.permit.LeaseEnds(); now != until || len(toRelay) < 5 || len(toFollower) < 5 {
		t.Errorf("the lease until %v is until %v after %d and %d replayed grants", until, now, len(toRelay),
			len(toFollower))
	}
	s.playFor(relayLease, nil)
	if s.allServe("f0") {
		t.Error("a controller that is cut off serves past its lease")
	}
}

// Whatever is lost, doubled or late between relays and leader, changes come through and
// no two versions are in force at once.
func TestRelayMessagesLostDoubledAndLate(t *testing.T) {
	for seed := range uint64(12) {
		s := newRelayCluster(t, 200+seed, 3, 2, 6, relayLease)
		s.waitUntilAllServe(5 * time.Second)
		s.lose = func(from, to string, m *Message) bool {
			if m.RelayedRenewals == nil && m.RelayedGrants == nil && m.Grant == nil && m.Renewal == nil &&
				m.LogUpdate == nil {
				return false
			}
			switch s.rand.IntN(5) {
			case 0:
				return true
			case 1, 2: // once more, later
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
		s.lose = nil
		s.waitUntilAllServe(5 * time.Second)
		s.playFor(time.Second, s.checkOneVersion)
	}
}

// Leaders, relays and followers come and go in the middle of changes.
func TestRelayOrLeaderLostDuringChange(t *testing.T) {
	phases := map[string]int{}
	for seed := range uint64(40) {
		s := newRelayCluster(t, 300+seed, 3, 2, 4, relayLease)
		s.waitUntilAllServe(5 * time.Second)
		f := s.controllers["f2"]
		done := s.applyPolicy(f, "c1", 1, 1)
		s.playFor(time.Duration(s.rand.IntN(90))*time.Millisecond, s.checkOneVersion)
		lost := s.controllers["r0"]
		if seed%2 == 1 {
			lost = s.leader()
		}
		if c := lost.core.state.Changes["c1"]; c != nil {
			phases[c.Phase]++
		}
		lost.run = 0
		s.waitFor(20*time.Second, "in force", done)
		s.checkInForce(f, 1)
		lost.start()
		s.waitFor(10*time.Second, "all serve", func() bool { s.checkOneVersion(); return s.allServe(s.names...) })
	}
	for _, p := range []string{statemachine.Proposed, statemachine.Fencing, statemachine.Committed} {
		if phases[p] == 0 {
			t.Errorf("nobody was lost while %s: %v", p, phases)
		}
	}
}

// An incarnation of a relay that still runs beside the next one covers on its own.
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
	for i := range uint64(5) { // it goes on, and knows nothing of the controllers that left it
		g := &RelayedRenewals{Incarnation: old.config.Incarnation, Seq: seq + 1 + i,
			BaseSeq: old.aggregator.leaderHasUpTo}
		l.step(Event{Kind: MessageReceived, Message: &Message{From: "r0", To: l.name, DiskID: "disk r0",
			RelayedRenewals: g}})
		s.playFor(20*time.Millisecond, s.checkOneVersion)
	}
	if !s.allServe(s.names...) {
		t.Fatal("not all serve beside an old run of a relay")
	}
	s.waitFor(4*time.Second, "in force", s.applyPolicy(s.controllers["f0"], "c1", 1, 1))
	s.checkInForce(s.controllers["f0"], 1)
	s.playFor(12*time.Second, s.checkOneVersion)
	for key := range l.core.coverage {
		if key.incarnation == old.config.Incarnation && key.relay == "r0" {
			t.Error("an old run of a relay is remembered for good")
		}
	}
}

func TestManyControllersJoinWithinASecond(t *testing.T) {
	s := newRelayCluster(t, 7, 3, 2, 2, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	named := votersNamed(3)
	for i := range 97 {
		begin := configOf(fmt.Sprintf("n%02d", i), named, 7, relayLease)
		begin.Relays = []Upstream{{Name: "r0", Address: "r0:1"}, {Name: "r1", Address: "r1:1"}}
		s.add(begin)
		s.playFor(8*time.Millisecond, nil)
	}
	s.waitUntilAllServe(3 * time.Second)
	s.waitFor(3*time.Second, "in force", s.applyPolicy(s.controllers["n50"], "c1", 1, 1))
	s.checkInForce(s.controllers["n50"], 1)
}

// A forgotten controller is granted no lease, through a relay neither.
func TestForgottenControllerIsRefusedThroughRelay(t *testing.T) {
	s := newRelayCluster(t, 8, 3, 2, 2, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	l, f := s.leader(), s.controllers["f0"]
	s.cutLinks["r0>f0"] = true // it hears of its end by nothing but grants
	s.lose = func(_, to string, m *Message) bool { return to == "f0" && m.LogUpdate != nil }
	l.request(1, &fleet.Request{Kind: "forget", ID: "x", Name: "f0"})
	s.waitFor(4*time.Second, "it stops", func() bool { return !s.allServe("f0") })
	s.healLinks()
	s.lose = nil
	s.playFor(3*time.Second, func() {
		if s.allServe("f0") {
			t.Fatal("it serves again")
		}
	})
	if f.core.refusedReason == "" {
		t.Error("it isn't told why")
	}
}

// A leader whose program knows no relays doesn't answer them: controllers ask it directly,
// and the relay logs what is wrong.
func TestLeaderThatKnowsNoRelays(t *testing.T) {
	s := newRelayCluster(t, 9, 3, 2, 4, relayLease)
	// what it can't read it passes over
	s.lose = func(_, _ string, m *Message) bool { return m.RelayedRenewals != nil }
	s.waitUntilAllServe(8 * time.Second)
	s.playFor(8*time.Second, func() {
		if !s.allServe(s.names...) {
			t.Fatal("not all serve by asking the leader itself")
		}
	})
	if g := s.controllers["r0"].core.aggregator; !g.unansweredLogged {
		t.Error("the relay doesn't say that it isn't answered")
	}
	s.waitFor(4*time.Second, "in force", s.applyPolicy(s.controllers["f0"], "c1", 1, 1))
	s.checkInForce(s.controllers["f0"], 1)
}

// A relay passes on no lease without an answer of the leader to a later message, whatever
// it was answered before.
func TestRelayGrantsNothingByItself(t *testing.T) {
	s := newRelayCluster(t, 10, 3, 1, 3, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	r := s.controllers["r0"]
	given := 0
	s.seen = func(from, _ string, m *Message) {
		if from == "r0" && m.Grant != nil && m.Grant.Granted {
			given++
		}
	}
	for _, name := range s.names[:3] {
		s.cutBothWays("r0", name)
	}
	s.playFor(10*time.Millisecond, nil) // what was under way has come
	given = 0
	for i := range uint64(20) {
		member := s.controllers["f0"].config.Self
		r.step(Event{Kind: MessageReceived, Message: &Message{From: "f0", To: "r0", DiskID: member.DiskID,
			Renewal: &LeaseRenewal{Member: member, Incarnation: 1, Seq: 1000 + i, SentAt: int64(s.now),
				AppliedIndex: r.core.state.Index}}})
		s.playFor(20*time.Millisecond, nil)
	}
	if given != 0 {
		t.Errorf("a relay answered %d renewals by itself", given)
	}
}

// A controller is restarted while its old relay is slow: what the old incarnation reported,
// sent once more by that relay, doesn't replace the new one's report for good.
func TestOldIncarnationReportedByAnotherRelayIsCorrected(t *testing.T) {
	s := newRelayCluster(t, 11, 3, 2, 2, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	l, f := s.leader(), s.controllers["f0"]
	oldRun := l.core.peers["f0"].renewal
	s.cutBothWays("r0", "f0")
	f.start()
	s.waitFor(5*time.Second, "it serves through the other relay", func() bool {
		return s.allServe("f0") && l.core.peers["f0"].incarnation == f.config.Incarnation
	})
	r := s.controllers["r0"].core
	late := *oldRun
	late.Seq++
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "r0", To: l.name, DiskID: "disk r0",
		RelayedRenewals: &RelayedRenewals{Incarnation: r.config.Incarnation, Seq: r.aggregator.lastSeq + 1,
			BaseSeq:  r.aggregator.leaderHasUpTo,
			Renewals: []RelayedRenewal{{Name: "f0", DiskID: "disk f0", Renewal: &late}}}}})
	r.aggregator.lastSeq++
	if l.core.peers["f0"].incarnation == f.config.Incarnation {
		t.Fatal("the old run isn't told: this test shows nothing")
	}
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "r0", To: l.name, DiskID: "disk r0",
		RelayedRenewals: &RelayedRenewals{Incarnation: r.config.Incarnation, Seq: r.aggregator.lastSeq + 1,
			BaseSeq: r.aggregator.leaderHasUpTo, Silent: []SilentController{{Name: "f0",
				SilentFor: int64(time.Second)}}}}})
	r.aggregator.lastSeq++
	s.waitFor(2*time.Second, "the new run is told again", func() bool {
		return l.core.peers["f0"].incarnation == f.config.Incarnation
	})
}

// Nothing is decided about queries by a control process, so no change waits for the lease
// of one that is lost, be it the leader's.
func TestChangeDoesNotWaitForControlProcesses(t *testing.T) {
	lease := 5 * time.Second
	s := newRelayCluster(t, 12, 3, 2, 4, lease)
	s.waitUntilAllServe(10 * time.Second)
	s.controllers["r1"].run = 0
	l := s.leader()
	l.run = 0
	lost := s.now
	s.waitFor(3*time.Second, "in force", s.applyPolicy(s.controllers["f0"], "c1", 1, 1))
	s.checkInForce(s.controllers["f0"], 1)
	took := s.now - lost
	t.Logf("in force after %v", took)
	if took > 1500*time.Millisecond { // two elections, a renewal and a half, and what a change takes
		t.Errorf("in force %v after the leader was lost, with leases of %v", took, lease)
	}
	purge := &fleet.Request{Kind: "purge", ID: "p1", Scope: &fleet.Scope{Team: "a"}, WaitMs: 60000}
	s.controllers["f1"].request(2, purge)
	s.waitFor(3*time.Second, "purged while control processes are down", func() bool {
		return s.replyTo(s.controllers["f1"], 2) != nil
	})
}

// A control process that is restarted as a controller holds no lease before the log says
// so; a controller that becomes a control process is still waited for, since kept results
// may still be on its disk.
func TestRoleInTheLogDecides(t *testing.T) {
	s := newRelayCluster(t, 13, 3, 2, 2, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	l := s.leader()
	r, f := s.controllers["r0"], s.controllers["f0"]
	r.config.Self.ControlOnly, r.config.IsRelay = false, false
	granted := false
	s.seen = func(_, to string, m *Message) {
		if to == "r0" && m.Grant != nil && m.Grant.Granted && m.Grant.Incarnation == r.config.Incarnation &&
			l.core.state.Members["r0"].ControlOnly {
			granted = true
		}
	}
	r.run = 0
	s.playFor(relayLease, nil)
	r.start()
	s.waitFor(5*time.Second, "it serves", func() bool { return s.allServe("r0") })
	if granted || l.core.state.Members["r0"].ControlOnly {
		t.Errorf("granted while the record has it as a control process: %v", granted)
	}
	f.run = 0
	f.config.Self.ControlOnly = true
	f.start()
	s.waitFor(5*time.Second, "it holds a lease", func() bool { return s.allServe("f0") })
	s.playFor(2*time.Second, nil)
	if l.core.state.Members["f0"].ControlOnly {
		t.Error("the record has a controller as a control process")
	}
}

// A control process that leads and can't serve by a policy aborts it, though nobody waits
// for control processes.
func TestControlLeaderAbortsPolicyItRefuses(t *testing.T) {
	s := newRelayCluster(t, 14, 3, 2, 2, relayLease)
	s.waitUntilAllServe(5 * time.Second)
	l := s.leader()
	l.request(1, &fleet.Request{Kind: "apply", ID: "c1", BaseVersion: 1, Policy: []byte("bad for " + l.name)})
	s.waitFor(5*time.Second, "a word", func() bool { return s.replyTo(l, 1) != nil })
	if w := s.replyTo(l, 1); w.Outcome != statemachine.Aborted {
		t.Errorf("%+v", w)
	}
}

// What is configured as a relay and is none, or has a program without relays, only names the
// leader: its controllers go to that, or to the other relay.
func TestUpstreamThatIsNoRelay(t *testing.T) {
	s := newRelayCluster(t, 15, 3, 2, 4, relayLease)
	s.controllers["r0"].config.IsRelay = false
	s.controllers["r0"].start()
	s.waitUntilAllServe(8 * time.Second)
	s.playFor(8*time.Second, func() {
		if !s.allServe(s.names...) {
			t.Fatalf("at %v not all serve", s.now)
		}
	})
	s.waitFor(3*time.Second, "in force", s.applyPolicy(s.controllers["f0"], "c1", 1, 1))
	s.checkInForce(s.controllers["f0"], 1)
}

// Requests to a controller that reaches its relays alone come to the leader through them.
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
	f.request(2, &fleet.Request{Kind: "bind", ID: "b1", Team: "a", Tables: []int64{1}})
	s.waitFor(3*time.Second, "bound", func() bool { return s.replyTo(f, 2) != nil })
	s.controllers["r0"].run = 0 // its first
	s.waitFor(8*time.Second, "in force by the second", s.applyPolicy(f, "c2", 3, 2))
	s.checkInForce(f, 3)
}

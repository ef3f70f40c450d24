package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// relayStage is voters v0.., relays r0.. that don't vote, and followers f0.. of which
// each asks through two of the relays.
func relayStage(t *testing.T, seed uint64, voters, relays, followers int, lease time.Duration) *stage {
	s := emptyStage(t, seed)
	named := votersNamed(voters)
	for _, v := range named {
		begin := beginOf(v.Name, named, seed, lease)
		begin.Self.Control = true
		s.add(begin)
	}
	var upstreams []Upstream
	for i := range relays {
		name := fmt.Sprintf("r%d", i)
		begin := beginOf(name, named, seed, lease)
		begin.IsRelay, begin.Self.Control = true, true
		s.add(begin)
		upstreams = append(upstreams, Upstream{Name: name, Address: name + ":1"})
	}
	for i := range followers {
		begin := beginOf(fmt.Sprintf("f%d", i), named, seed, lease)
		begin.Relays = []Upstream{upstreams[i%relays], upstreams[(i+1)%relays]}
		s.add(begin)
	}
	return s
}

// play goes on for a while and checks something after each event.
func (s *stage) play(long time.Duration, check func()) {
	for end := s.now + long; s.now < end; {
		s.next()
		if check != nil {
			check()
		}
	}
}

// noMix fails where two controllers may decide by different versions at one moment.
func (s *stage) noMix() {
	version, by := uint64(0), ""
	for _, name := range s.names {
		a := s.all[name]
		if a.run == 0 || a.begin.Self.Control {
			continue
		}
		v := a.word.May(s.now, false)
		if v == 0 {
			continue
		}
		if version != 0 && v != version {
			s.t.Fatalf("at %v %s decides by %d and %s by %d", s.now, by, version, name, v)
		}
		version, by = v, name
	}
}

// change applies a policy at a controller and gives what looks for its word.
func (s *stage) change(a *actor, id string, handle, base uint64) func() bool {
	a.step(Event{Kind: OperatorRequested, Handle: handle, Ask: &fleet.Ask{Kind: "apply", ID: id, Base: base, Policy: []byte(id), Wait: 60000}})
	return func() bool {
		s.noMix()
		return s.word(a, handle) != nil
	}
}

func (s *stage) inForce(a *actor, handle uint64) {
	s.t.Helper()
	if w := s.word(a, handle); w.Word != statemachine.InForce {
		s.t.Fatalf("%+v", w)
	}
}

func (s *stage) cutBoth(a, b string) { s.cut[a+">"+b], s.cut[b+">"+a] = true, true }

func (s *stage) heal() { clear(s.cut) }

const relayLease = 800 * time.Millisecond

func TestAFleetServesThroughRelays(t *testing.T) {
	s := relayStage(t, 1, 3, 2, 12, relayLease)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	s.play(2*relayLease, nil) // what joining led to is over
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
	s.play(4*time.Second, func() {
		if !s.serve(s.names...) {
			t.Fatalf("at %v not all serve", s.now)
		}
	})
	if direct != 0 || renewals != 0 {
		t.Errorf("at rest %d renewals came to the leader, and gathers named %d controllers", direct, renewals)
	}
	// a relay gathers four times in the time in which a controller asks once
	if most := int(2 * messagesPerInterval * 4 * time.Second / s.all["f0"].core.renewalInterval()); gathers == 0 || gathers > most+4 {
		t.Errorf("%d gathers in 4 s, at most %d are wanted", gathers, most)
	}
	s.seen = nil
	f := s.all["f3"]
	s.until(3*time.Second, "in force", s.change(f, "c1", 1, 1))
	s.inForce(f, 1)
	for _, name := range s.names {
		if v := s.all[name].word.May(s.now, false); v != 2 {
			t.Errorf("%s decides by %d", name, v)
		}
	}
	s.until(2*time.Second, "all serve", func() bool { return s.serve(s.names...) })
}

// A lease that a relay passes on was given by the leader after its holder asked, and
// the leader waits for the holder at least as long.
func TestALeaseThroughARelayIsWaitedFor(t *testing.T) {
	for _, reach := range []string{"relay killed", "follower killed", "relay cut from the leader", "follower cut"} {
		s := relayStage(t, 2, 3, 2, 4, relayLease)
		s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
		l, f := s.leader(), s.all["f0"]
		switch reach {
		case "relay killed":
			s.all["r0"].run = 0
		case "follower killed":
			f.run = 0
		case "relay cut from the leader":
			s.cutBoth("r0", l.name)
		case "follower cut":
			for _, name := range s.names {
				if name != f.name {
					s.cutBoth(f.name, name)
				}
			}
		}
		s.play(time.Duration(s.rand.IntN(200))*time.Millisecond, nil)
		s.until(4*time.Second, "in force after "+reach, s.change(l, "c1", 1, 1))
		s.inForce(l, 1)
		s.play(time.Second, s.noMix)
	}
}

func TestControllersLeaveARelayThatDoesntAnswer(t *testing.T) {
	for _, reach := range []string{"killed", "cut from the leader", "cut from its controllers", "both gone"} {
		s := relayStage(t, 3, 3, 2, 8, relayLease)
		s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
		l := s.leader()
		followers := s.names[5:]
		switch reach {
		case "killed":
			s.all["r0"].run = 0
		case "cut from the leader":
			s.cutBoth("r0", l.name)
		case "cut from its controllers":
			for _, name := range followers {
				s.cutBoth("r0", name)
			}
		case "both gone":
			s.all["r0"].run, s.all["r1"].run = 0, 0
		}
		gap := time.Duration(0)
		last := s.now
		s.play(6*time.Second, func() {
			if !s.serve(followers...) {
				gap += s.now - last
			}
			last = s.now
		})
		if gap > 0 {
			t.Errorf("%s: a controller served nothing for %v", reach, gap)
		}
		s.until(4*time.Second, "in force while a relay is "+reach, s.change(s.all["f1"], "c1", 1, 1))
		s.inForce(s.all["f1"], 1)
		s.heal()
		for _, name := range []string{"r0", "r1"} {
			if s.all[name].run == 0 {
				s.all[name].start()
			}
		}
		s.until(20*time.Second, "all ask through their first relay again", func() bool {
			return !slices.ContainsFunc(followers, func(name string) bool { return s.all[name].core.routes.current != 0 })
		})
	}
}

// A relay that stands still past a lease and goes on holds nobody's lease up, and what
// it says late is no new ask.
func TestARelayStoppedPastALeaseAndWoken(t *testing.T) {
	s := relayStage(t, 4, 3, 2, 6, relayLease)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	r := s.all["r0"]
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
	s.until(4*time.Second, "in force", s.change(s.all["f0"], "c1", 1, 1))
	s.play(3*relayLease, s.noMix)
	r.run = run
	for _, m := range waiting {
		r.step(Event{Kind: MessageReceived, Message: m})
		s.noMix()
	}
	r.step(Event{Kind: TimerFired})
	s.until(5*time.Second, "in force once more", s.change(s.all["f1"], "c2", 2, 2))
	s.inForce(s.all["f1"], 2)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
}

// Grants that come late or twice lengthen no lease.
func TestGrantsReplayedOrLate(t *testing.T) {
	s := relayStage(t, 5, 3, 2, 4, relayLease)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	var toRelay, toFollower []*Message
	s.seen = func(_, to string, m *Message) {
		if to == "r0" && m.RelayedGrants != nil {
			toRelay = append(toRelay, m)
		}
		if to == "f0" && m.Grant != nil {
			toFollower = append(toFollower, m)
		}
	}
	s.play(2*time.Second, nil)
	f := s.all["f0"]
	for _, name := range s.names {
		if name != "f0" {
			s.cutBoth(name, "f0")
		}
	}
	s.seen = nil
	s.play(relayLease/2, nil)
	until, _ := f.word.Until()
	for _, m := range toRelay {
		s.all["r0"].step(Event{Kind: MessageReceived, Message: m})
	}
	for _, m := range toFollower {
		f.step(Event{Kind: MessageReceived, Message: m})
	}
	s.play(10*time.Millisecond, nil)
	if now, _ := f.word.Until(); now != until || len(toRelay) < 5 || len(toFollower) < 5 {
		t.Errorf("the lease until %v is until %v after %d and %d replayed grants", until, now, len(toRelay), len(toFollower))
	}
	s.play(relayLease, nil)
	if s.serve("f0") {
		t.Error("a controller that is cut off serves past its lease")
	}
}

// Whatever is lost, doubled or late between relays and leader, changes come through and
// no two versions are in force at once.
func TestGathersLostDoubledAndLate(t *testing.T) {
	for seed := range uint64(12) {
		s := relayStage(t, 200+seed, 3, 2, 6, relayLease)
		s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
		s.lose = func(from, to string, m *Message) bool {
			if m.RelayedRenewals == nil && m.RelayedGrants == nil && m.Grant == nil && m.Renewal == nil && m.LogUpdate == nil {
				return false
			}
			switch s.rand.IntN(5) {
			case 0:
				return true
			case 1, 2: // once more, later
				target := s.all[to]
				target.later(time.Duration(s.rand.IntN(600))*time.Millisecond, func() { target.step(Event{Kind: MessageReceived, Message: m}) })
			}
			return false
		}
		for i := range uint64(4) {
			a := s.all[s.names[s.rand.IntN(len(s.names))]]
			s.until(15*time.Second, "in force", s.change(a, fmt.Sprintf("c%d", i), 10+i, 1+i))
			s.inForce(a, 10+i)
		}
		s.lose = nil
		s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
		s.play(time.Second, s.noMix)
	}
}

// Leaders, relays and followers come and go in the middle of changes.
func TestRelaysAndLeadersLostInTheMiddleOfAChange(t *testing.T) {
	phases := map[string]int{}
	for seed := range uint64(40) {
		s := relayStage(t, 300+seed, 3, 2, 4, relayLease)
		s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
		f := s.all["f2"]
		done := s.change(f, "c1", 1, 1)
		s.play(time.Duration(s.rand.IntN(90))*time.Millisecond, s.noMix)
		lost := s.all["r0"]
		if seed%2 == 1 {
			lost = s.leader()
		}
		if c := lost.core.state.Changes["c1"]; c != nil {
			phases[c.Phase]++
		}
		lost.run = 0
		s.until(20*time.Second, "in force", done)
		s.inForce(f, 1)
		lost.start()
		s.until(10*time.Second, "all serve", func() bool { s.noMix(); return s.serve(s.names...) })
	}
	for _, p := range []string{statemachine.Proposed, statemachine.Closing, statemachine.Decided} {
		if phases[p] == 0 {
			t.Errorf("nobody was lost while %s: %v", p, phases)
		}
	}
}

// A run of a relay that is still about beside the next one covers for itself alone.
func TestAnOldRelayBesideANewOne(t *testing.T) {
	s := relayStage(t, 6, 3, 2, 4, relayLease)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	l := s.leader()
	old := s.all["r0"].core
	s.all["r0"].start()
	s.until(5*time.Second, "all serve again", func() bool { return s.serve(s.names...) })
	for key, covers := range l.core.coverage {
		if key.relay == "r0" && key.incarnation == old.config.Incarnation {
			old.aggregator.leaderHasUpTo = covers.lastSeq
		}
	}
	seq := old.aggregator.lastSeq
	for i := range uint64(5) { // it speaks on, and knows nothing of who left it
		g := &RelayedRenewals{Incarnation: old.config.Incarnation, Seq: seq + 1 + i, BaseSeq: old.aggregator.leaderHasUpTo}
		l.step(Event{Kind: MessageReceived, Message: &Message{From: "r0", To: l.name, Disk: "disk r0", RelayedRenewals: g}})
		s.play(20*time.Millisecond, s.noMix)
	}
	if !s.serve(s.names...) {
		t.Fatal("not all serve beside an old run of a relay")
	}
	s.until(4*time.Second, "in force", s.change(s.all["f0"], "c1", 1, 1))
	s.inForce(s.all["f0"], 1)
	s.play(12*time.Second, s.noMix)
	for key := range l.core.coverage {
		if key.incarnation == old.config.Incarnation && key.relay == "r0" {
			t.Error("an old run of a relay is remembered for good")
		}
	}
}

func TestMostJoinWithinASecond(t *testing.T) {
	s := relayStage(t, 7, 3, 2, 2, relayLease)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	named := votersNamed(3)
	for i := range 97 {
		begin := beginOf(fmt.Sprintf("n%02d", i), named, 7, relayLease)
		begin.Relays = []Upstream{{Name: "r0", Address: "r0:1"}, {Name: "r1", Address: "r1:1"}}
		s.add(begin)
		s.play(8*time.Millisecond, nil)
	}
	s.until(3*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	s.until(3*time.Second, "in force", s.change(s.all["n50"], "c1", 1, 1))
	s.inForce(s.all["n50"], 1)
}

// Who is forgotten is granted nothing more, through a relay neither.
func TestAForgottenControllerIsRefusedThroughARelay(t *testing.T) {
	s := relayStage(t, 8, 3, 2, 2, relayLease)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	l, f := s.leader(), s.all["f0"]
	s.cut["r0>f0"] = true // it hears of its end by nothing but grants
	s.lose = func(_, to string, m *Message) bool { return to == "f0" && m.LogUpdate != nil }
	l.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "forget", ID: "x", Name: "f0"}})
	s.until(4*time.Second, "it stops", func() bool { return !s.serve("f0") })
	s.heal()
	s.lose = nil
	s.play(3*time.Second, func() {
		if s.serve("f0") {
			t.Fatal("it serves again")
		}
	})
	if f.core.refusedReason == "" {
		t.Error("it isn't told why")
	}
}

// A leader whose program knows no relays answers no gathers: controllers go to it
// themselves, and the relay says what is wrong.
func TestALeaderThatKnowsNoRelays(t *testing.T) {
	s := relayStage(t, 9, 3, 2, 4, relayLease)
	s.lose = func(_, _ string, m *Message) bool { return m.RelayedRenewals != nil } // what it can't read it passes over
	s.until(8*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	s.play(8*time.Second, func() {
		if !s.serve(s.names...) {
			t.Fatal("not all serve by asking the leader itself")
		}
	})
	if g := s.all["r0"].core.aggregator; !g.unansweredLogged {
		t.Error("the relay doesn't say that it isn't answered")
	}
	s.until(4*time.Second, "in force", s.change(s.all["f0"], "c1", 1, 1))
	s.inForce(s.all["f0"], 1)
}

// A relay that has nothing of the leader's after its ask passes on no lease, whatever
// it was answered before.
func TestARelayGrantsNothingByItself(t *testing.T) {
	s := relayStage(t, 10, 3, 1, 3, relayLease)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	r := s.all["r0"]
	given := 0
	s.seen = func(from, _ string, m *Message) {
		if from == "r0" && m.Grant != nil && m.Grant.Granted {
			given++
		}
	}
	for _, name := range s.names[:3] {
		s.cutBoth("r0", name)
	}
	s.play(10*time.Millisecond, nil) // what was under way has come
	given = 0
	for i := range uint64(20) {
		member := s.all["f0"].begin.Self
		r.step(Event{Kind: MessageReceived, Message: &Message{From: "f0", To: "r0", Disk: member.Disk,
			Renewal: &LeaseRenewal{Member: member, Incarnation: 1, Seq: 1000 + i, SentAt: int64(s.now), AppliedIndex: r.core.state.Index}}})
		s.play(20*time.Millisecond, nil)
	}
	if given != 0 {
		t.Errorf("a relay answered %d renewals by itself", given)
	}
}

// A controller that was started anew while its old relay is slow: what the old run said,
// told once more by that relay, doesn't stand for the new one for good.
func TestAnOldRunToldByAnotherRelayIsCorrected(t *testing.T) {
	s := relayStage(t, 11, 3, 2, 2, relayLease)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	l, f := s.leader(), s.all["f0"]
	oldRun := l.core.peers["f0"].renewal
	s.cutBoth("r0", "f0")
	f.start()
	s.until(5*time.Second, "it serves through the other relay", func() bool { return s.serve("f0") && l.core.peers["f0"].incarnation == f.begin.Incarnation })
	r := s.all["r0"].core
	late := *oldRun
	late.Seq++
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "r0", To: l.name, Disk: "disk r0",
		RelayedRenewals: &RelayedRenewals{Incarnation: r.config.Incarnation, Seq: r.aggregator.lastSeq + 1, BaseSeq: r.aggregator.leaderHasUpTo,
			Renewals: []RelayedRenewal{{Name: "f0", Disk: "disk f0", Renewal: &late}}}}})
	r.aggregator.lastSeq++
	if l.core.peers["f0"].incarnation == f.begin.Incarnation {
		t.Fatal("the old run isn't told: this test shows nothing")
	}
	l.step(Event{Kind: MessageReceived, Message: &Message{From: "r0", To: l.name, Disk: "disk r0",
		RelayedRenewals: &RelayedRenewals{Incarnation: r.config.Incarnation, Seq: r.aggregator.lastSeq + 1, BaseSeq: r.aggregator.leaderHasUpTo, Silent: []SilentController{{Name: "f0", SilentFor: int64(time.Second)}}}}})
	r.aggregator.lastSeq++
	s.until(2*time.Second, "the new run is told again", func() bool { return l.core.peers["f0"].incarnation == f.begin.Incarnation })
}

// Nothing is decided about queries by a control process, so no change waits for the lease
// of one that is lost, be it the leader's.
func TestAChangeDoesntWaitForControlProcesses(t *testing.T) {
	lease := 5 * time.Second
	s := relayStage(t, 12, 3, 2, 4, lease)
	s.until(10*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	s.all["r1"].run = 0
	l := s.leader()
	l.run = 0
	lost := s.now
	s.until(3*time.Second, "in force", s.change(s.all["f0"], "c1", 1, 1))
	s.inForce(s.all["f0"], 1)
	took := s.now - lost
	t.Logf("in force after %v", took)
	if took > 1500*time.Millisecond { // two elections, a renewal and a half, and what a change takes
		t.Errorf("in force %v after the leader was lost, with leases of %v", took, lease)
	}
	purge := &fleet.Ask{Kind: "purge", ID: "p1", Scope: &fleet.Scope{Team: "a"}, Wait: 60000}
	s.all["f1"].step(Event{Kind: OperatorRequested, Handle: 2, Ask: purge})
	s.until(3*time.Second, "purged while control processes are down", func() bool { return s.word(s.all["f1"], 2) != nil })
}

// A control process that is started as a controller holds no lease before the record says
// so; a controller that becomes a control process is waited for on, since what it kept may
// be on its disk yet.
func TestRolesInTheRecord(t *testing.T) {
	s := relayStage(t, 13, 3, 2, 2, relayLease)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	l := s.leader()
	r, f := s.all["r0"], s.all["f0"]
	r.begin.Self.Control, r.begin.IsRelay = false, false
	granted := false
	s.seen = func(_, to string, m *Message) {
		if to == "r0" && m.Grant != nil && m.Grant.Granted && m.Grant.Incarnation == r.begin.Incarnation && l.core.state.Members["r0"].Control {
			granted = true
		}
	}
	r.run = 0
	s.play(relayLease, nil)
	r.start()
	s.until(5*time.Second, "it serves", func() bool { return s.serve("r0") })
	if granted || l.core.state.Members["r0"].Control {
		t.Errorf("granted while the record has it as a control process: %v", granted)
	}
	f.run = 0
	f.begin.Self.Control = true
	f.start()
	s.until(5*time.Second, "it holds a lease", func() bool { return s.serve("f0") })
	s.play(2*time.Second, nil)
	if l.core.state.Members["f0"].Control {
		t.Error("the record has a controller as a control process")
	}
}

// A control process that leads and can't take a policy withdraws it, though nobody waits
// for control processes.
func TestAControlLeadersRefusalCounts(t *testing.T) {
	s := relayStage(t, 14, 3, 2, 2, relayLease)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	l := s.leader()
	l.step(Event{Kind: OperatorRequested, Handle: 1, Ask: &fleet.Ask{Kind: "apply", ID: "c1", Base: 1, Policy: []byte("bad for " + l.name)}})
	s.until(5*time.Second, "a word", func() bool { return s.word(l, 1) != nil })
	if w := s.word(l, 1); w.Word != statemachine.Withdrawn {
		t.Errorf("%+v", w)
	}
}

// What is named as a relay and is none, or has a program without relays, only names the
// leader: its controllers go to that, or to the other relay.
func TestARelayThatIsNone(t *testing.T) {
	s := relayStage(t, 15, 3, 2, 4, relayLease)
	s.all["r0"].begin.IsRelay = false
	s.all["r0"].start()
	s.until(8*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	s.play(8*time.Second, func() {
		if !s.serve(s.names...) {
			t.Fatalf("at %v not all serve", s.now)
		}
	})
	s.until(3*time.Second, "in force", s.change(s.all["f0"], "c1", 1, 1))
	s.inForce(s.all["f0"], 1)
}

// What is asked of a controller that reaches its relays alone comes to the leader by them.
func TestAsksGoByRelays(t *testing.T) {
	s := relayStage(t, 16, 3, 2, 4, relayLease)
	s.until(5*time.Second, "all serve", func() bool { return s.serve(s.names...) })
	for _, voter := range s.names[:3] {
		for _, follower := range s.names[5:] {
			s.cutBoth(voter, follower)
		}
	}
	f := s.all["f2"]
	s.until(3*time.Second, "in force", s.change(f, "c1", 1, 1))
	s.inForce(f, 1)
	f.step(Event{Kind: OperatorRequested, Handle: 2, Ask: &fleet.Ask{Kind: "bind", ID: "b1", Team: "a", Tables: []int64{1}}})
	s.until(3*time.Second, "bound", func() bool { return s.word(f, 2) != nil })
	s.all["r0"].run = 0 // its first
	s.until(8*time.Second, "in force by the second", s.change(f, "c2", 3, 2))
	s.inForce(f, 3)
}

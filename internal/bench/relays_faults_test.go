package bench

import (
	"fmt"
	"os"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/emulator/faultproxy"
	"railrelay.dev/railrelay/internal/fleet/storage"
)

// relayRound is one way in which relays fail. After play there is one more change.
type relayRound struct {
	name  string
	play  func(f *relayed)
	alone bool // only one relay fails, and controllers go on serving meanwhile
}

// relayRounds are played on one fleet, one after another.
func relayRounds() []relayRound {
	return []relayRound{
		{"a relay killed while a change waits", relayKilled, true},
		{"a relay killed anywhere in a change", relayKilledAnywhere, true},
		{"a relay stopped past its lease and woken", relayStopped, true},
		{"a relay cut from the leader", relayCutFromLeader, true},
		{"a relay cut from its controllers", relayCutFromControllers, true},
		{"both relays killed", bothRelaysKilled, false},
		{"only relays reach the leader", onlyRelaysReachLeader, false},
		{"a controller cut off while its relay goes on", controllerCutOff, false},
		{"answers come late to a relay, then it is cut off", answersLate, false},
		{"a relay and its controller cut off together", relayAndControllerCutOff, false},
		{"grants come late", grantsLate, false},
		{"grants come twice", grantsTwice, true},
		{"the leader killed while a change waits", leaderKilled, false},
		{"a relay and the leader killed while a change waits", relayAndLeaderKilled, false},
		{"a purge while a relay is down", purgeWithoutRelay, true},
		{"an old run of a relay beside a new one", oldRunBesideNew, true},
	}
}

// asks has clients ask every controller: most for queries whose site tells the policy
// that they were sent by.
func (f *relayed) asks() {
	for i := range f.controllers {
		f.clients.Add(4)
		go f.runClient(i, "mark", "lookup", 5*time.Millisecond, false)
		go f.runClient(i, "linz", "lookup", 40*time.Millisecond, false)
		go f.runClient(i, "linz", "report", 120*time.Millisecond, true)
		go f.runClient(i, "steyr", "load", 80*time.Millisecond, false)
	}
}

// pastLease waits until leases that were asked for by now are over.
func (f *relayed) pastLease() { time.Sleep(f.Lease + f.Lease/4) }

// cut has nothing pass between two processes.
func (f *relayed) cut(a, b *fleetProcess) {
	f.mu.Lock()
	f.faultCounts["link cut"]++
	f.fleetHistory.Note(f.elapsed(), a.name+" is cut from "+b.name, a.name, b.name)
	f.mu.Unlock()
	f.mesh.Cut(a.name, b.name)
}

// cutFromVoters leaves a controller the relays alone.
func (f *relayed) cutFromVoters(p *fleetProcess) {
	for _, v := range f.voters {
		f.cut(p, v)
	}
}

// restart starts a process that was killed.
func (f *relayed) restart(p *fleetProcess) { f.must(f.startProcess(p)) }

// relayKilled kills the first relay of half of the controllers while a change waits.
func relayKilled(f *relayed) {
	relay := f.relays[0]
	f.midChange(func() { f.kill(relay) }, func() { f.restart(relay) })
	f.serveAll()
	f.changes(f.asker())
	f.restart(relay)
}

// relayKilledAnywhere kills a relay at several moments after a change was asked for, and
// every other time has the next run begin at once, within the leases of the last one.
func relayKilledAnywhere(f *relayed) {
	for i, after := range []time.Duration{0, 3 * time.Millisecond, 8 * time.Millisecond, 15 * time.Millisecond} {
		relay, by, atOnce := f.relays[1], f.asker(), i%2 == 1
		a := f.newChange(f.inForce(), 0, false)
		asked := make(chan struct{})
		go func() {
			defer close(asked)
			f.applyChange(by, a)
		}()
		time.Sleep(after)
		f.kill(relay)
		if atOnce {
			f.restart(relay)
		}
		<-asked
		f.comesInForce(by, a)
		if !atOnce {
			f.restart(relay)
		}
		f.serveAll()
	}
}

// relayStopped has a relay sleep longer than any lease. What it holds then is old: asks of
// controllers, answers of the leader, the record.
func relayStopped(f *relayed) {
	relay := f.relays[0]
	f.midChange(func() { f.pause(relay) }, func() { f.resume(relay) })
	f.pastLease()
	f.changes(f.asker())
	f.resume(relay)
	f.changes(f.asker())
}

// relayCutFromLeader has a relay hear its controllers, and not the leader.
func relayCutFromLeader(f *relayed) {
	f.cut(f.relays[0], f.leading())
	f.pastLease()
	f.serveAll(f.relays[0])
	f.changes(f.asker())
	f.mesh.Heal()
}

// relayCutFromControllers has a relay hear the leader, and none of its controllers.
func relayCutFromControllers(f *relayed) {
	for _, p := range f.controllers {
		f.cut(f.relays[0], p)
	}
	f.pastLease()
	f.serveAll()
	f.changes(f.asker())
	f.mesh.Heal()
}

// bothRelaysKilled leaves controllers the leader itself, and then gives them the relays back.
func bothRelaysKilled(f *relayed) {
	f.midChange(func() { f.each(f.relays, f.kill) }, func() { f.each(f.relays, f.restart) })
	f.serveAll()
	f.pastLease()
	f.serveAll()
	f.changes(f.asker())
	f.each(f.relays, f.restart)
}

// onlyRelaysReachLeader cuts controllers from all voters: that they serve shows that
// leases and the record come by the relays. Without these none serves past its lease.
func onlyRelaysReachLeader(f *relayed) {
	for _, p := range f.controllers {
		f.cutFromVoters(p)
	}
	f.pastLease()
	f.serveAll()
	f.changes(f.asker())
	f.each(f.relays, f.kill)
	killed := time.Now()
	time.Sleep(f.Lease)
	f.lapsed(killed.Add(f.Lease))
	f.changes(f.asker())
	f.each(f.relays, f.restart)
	f.serveAll()
	f.changes(f.asker())
	f.mesh.Heal()
}

// lapsed fails the test where a controller held a lease after a moment.
func (f *relayed) lapsed(after time.Time) {
	f.t.Helper()
	const looks = 3
	for range looks {
		for _, p := range f.controllers {
			if s, seen := look(f, p); seen && s.asked.After(after) && (s.serves || s.lease > 0) {
				f.t.Errorf("%s serves (%v), %v after the end of its lease, of which it has %v left", p.name, s.serves, s.asked.Sub(after), s.lease)
			}
		}
	}
}

// controllerCutOff cuts a controller from all others while its relays go on asking for
// leases for those they cover. The change doesn't come into force before its lease ends,
// though the leader never gave it one by itself and the relays soon cover it no more.
func controllerCutOff(f *relayed) {
	lost := f.controllers[0]
	f.cutFromVoters(lost)
	f.pastLease()
	f.serveAll()
	f.recordFault(lost, "cut off")
	f.mesh.Isolate(lost.name)
	f.changes(f.asker())
	f.serveAll(lost)
	f.changes(f.asker())
	f.mesh.Heal()
}

// answersLate has the leader's answers come late to a relay that then can't send gathers
// any more. An answer counts for those asks only that its gather told of, so the leader
// knows when the last lease ends that the relay passes on.
func answersLate(f *relayed) {
	const late = 300 * time.Millisecond
	relay, other, leader, p := f.relays[0], f.relays[1], f.leading(), f.controllers[0]
	f.cutFromVoters(p)
	f.cut(p, other)
	f.mesh.SetFault(leader.name, relay.name, faultproxy.Fault{Kind: faultproxy.Delay, Direction: faultproxy.ToTarget, Latency: late})
	f.pastLease()
	f.mesh.SetFault(relay.name, leader.name, faultproxy.Fault{Kind: faultproxy.Cut, Silent: true})
	time.Sleep(2 * late) // one answer may have waited for the one before it
	f.cut(relay, leader)
	f.changes(f.asker())
	time.Sleep(late) // who serves on by the version before is seen
	f.mesh.Heal()
}

// relayAndControllerCutOff cuts a relay and a controller that reaches nobody else off from
// the rest. When the relay is back it may have a lease for the controller before either has
// the record that the lease counts by.
func relayAndControllerCutOff(f *relayed) {
	relay, other, p := f.relays[0], f.relays[1], f.controllers[0]
	f.cutFromVoters(p)
	f.cut(p, other)
	f.pastLease()
	f.serveAll()
	for _, m := range f.members {
		if m != p && m != relay {
			f.cut(relay, m)
		}
	}
	f.changes(f.asker())     // once their leases are over
	time.Sleep(relayedSlack) // queries that the controller holds must not be sent by the version before
	for _, m := range f.members {
		if m != p {
			f.mesh.SetFault(relay.name, m.name, faultproxy.Fault{})
			f.mesh.SetFault(m.name, relay.name, faultproxy.Fault{})
		}
	}
	f.serveAll()
	f.changes(f.asker())
	f.mesh.Heal()
}

// grantsLate has all that comes to a controller come late. A lease counts from when it was
// asked for, so no more than the rest of it is ever left.
func grantsLate(f *relayed) {
	const late = 400 * time.Millisecond
	p := f.controllers[0]
	delay := faultproxy.Fault{Kind: faultproxy.Delay, Direction: faultproxy.ToTarget, Latency: late}
	f.mesh.SetFault("", p.name, delay)
	begin := time.Now()
	f.pastLease() // what was granted before is over
	f.changes(f.asker())
	end := time.Now()
	f.mesh.Heal()
	var longest time.Duration
	for _, s := range f.watch.since(begin.Add(f.Lease)) {
		if s.process == p.name && s.told.Before(end) {
			longest = max(longest, s.lease)
		}
	}
	if longest == 0 || longest > f.Lease-late {
		f.t.Errorf("%s had %v left of a lease of %v, and every grant was %v late", p.name, longest, f.Lease, late)
	}
}

// grantsTwice has all that relays send come to its receiver a second time, by another
// connection, which the wire refuses.
func grantsTwice(f *relayed) {
	refused := func() (sum int) {
		for _, p := range f.controllers {
			sum += f.status(p).Counts["wire_refused_replay"]
		}
		return sum
	}
	before := refused()
	for _, relay := range f.relays {
		f.mesh.SetFault(relay.name, "", faultproxy.Fault{Kind: faultproxy.Duplicate})
	}
	f.awaits("replays of grants that are refused", func() bool { return refused() > before })
	f.changes(f.asker())
	f.pastLease()
	f.serveAll()
	f.mesh.Heal()
}

// leaderKilled has another voter lead a change on, of which relays must tell it all anew.
func leaderKilled(f *relayed) {
	leader := f.leading()
	f.midChange(func() { leader = f.leading(); f.kill(leader) }, func() { f.restart(leader) })
	f.serveAll()
	f.changes(f.asker())
	f.restart(leader)
}

func relayAndLeaderKilled(f *relayed) {
	leader, relay := f.leading(), f.relays[1]
	f.midChange(func() { leader = f.leading(); f.kill(relay); f.kill(leader) }, func() { f.restart(relay); f.restart(leader) })
	f.serveAll()
	f.changes(f.asker())
	f.restart(relay)
	f.restart(leader)
}

// purgeWithoutRelay has a team's results go while a relay is down: nobody serves them after.
func purgeWithoutRelay(f *relayed) {
	relay := f.relays[0]
	f.kill(relay)
	f.changes(f.asker())
	f.restart(relay)
	took, err := f.purgeTeam(f.asker(), "linz", comesWithin)
	f.must(err)
	f.t.Logf("purged after %d ms", took.Milliseconds())
}

// each does something with some processes, one after another.
func (f *relayed) each(some []*fleetProcess, do func(p *fleetProcess)) {
	for _, p := range some {
		do(p)
	}
}

// oldRunBesideNew starts a relay anew while its last run sleeps. The same directory is
// refused to the new run; by a copy it runs, at the old one's address, until the old one
// wakes and both gather for the leader under one name.
func oldRunBesideNew(f *relayed) {
	old := f.relays[0]
	f.pause(old)
	f.refusesDirectoryInUse(old)

	again := f.anotherRun(old, secondRun)
	f.must(os.CopyFS(f.path(again.name+"-fleet"), os.DirFS(f.path(old.name+"-fleet"))))
	f.mesh.SetTarget(old.name, again.listenAddress)
	f.mesh.SetFault("", old.name, faultproxy.Fault{Kind: faultproxy.Reset}) // what is connected goes to the new run from now on
	f.must(f.startProcess(again))
	f.relays[0] = again
	f.serveAll()
	f.changes(f.asker())
	f.resume(old)
	for range 3 {
		f.changes(f.asker())
		f.serveAll()
	}
	f.kill(old)
}

// anotherRun is one more process under the name and peers' address of another one.
func (f *relayed) anotherRun(of *fleetProcess, run int) *fleetProcess {
	f.t.Helper()
	p := &fleetProcess{name: fmt.Sprintf("%s-run%d", of.name, run), site: of.site, peerAddress: of.peerAddress}
	f.place(p, of.name, run)
	var err error
	p.logFile, err = os.Create(f.path(p.name + ".log"))
	f.must(err)
	f.cleanups = append(f.cleanups, func() { p.logFile.Close() })
	f.must(f.write(p, strings.Replace(f.controlSetup(p, relayFleetPart), "name: "+p.name, "name: "+of.name, 1)))
	return p
}

// refusesDirectoryInUse starts a second run with the directory of one that is there, which
// must end by itself and say why.
func (f *relayed) refusesDirectoryInUse(first *fleetProcess) {
	f.t.Helper()
	second := f.anotherRun(first, refusedRun)
	directory := f.path(first.name + "-fleet")
	setup, err := os.ReadFile(f.path(second.name + ".yaml"))
	f.must(err)
	f.must(f.write(second, strings.Replace(string(setup), f.path(second.name+"-fleet"), directory, 1)))
	f.must(f.startProcess(second))
	select {
	case <-second.exited:
	case <-time.After(comesWithin):
		second.command.Process.Kill()
		f.t.Fatal("a second run has the first one's directory")
	}
	said, err := os.ReadFile(f.path(second.name + ".log"))
	f.must(err)
	held := &storage.LockedError{Dir: directory}
	if !strings.Contains(string(said), held.Error()) || !strings.Contains(string(said), held.Remedy()) {
		f.t.Errorf("a second run says why it ended: %s", said)
	}
}

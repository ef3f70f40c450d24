package bench

import (
	"fmt"
	"os"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/emulator/faultproxy"
	"railrelay.dev/railrelay/internal/fleet/storage"
)

// relayCase is one way in which relays fail. After play there is one more change.
type relayCase struct {
	name           string
	run            func(f *relayFleet)
	onlyRelayFails bool // only one relay fails, and controllers go on serving meanwhile
}

// relayFaultCases are played on one fleet, one after another.
func relayFaultCases() []relayCase {
	return []relayCase{
		{"a relay killed while a change waits", testRelayKilled, true},
		{"a relay killed anywhere in a change", testRelayKilledAtAnyPoint, true},
		{"a relay stopped past its lease and woken", testRelayStoppedPastLease, true},
		{"a relay cut from the leader", testRelayCutFromLeader, true},
		{"a relay cut from its controllers", testRelayCutFromControllers, true},
		{"both relays killed", testBothRelaysKilled, false},
		{"only relays reach the leader", testOnlyRelaysReachLeader, false},
		{"a controller cut off while its relay goes on", testControllerCutOffFromRelays, false},
		{"answers come late to a relay, then it is cut off", testLateAnswersToRelay, false},
		{"a relay and its controller cut off together", testRelayAndControllerCutOff, false},
		{"grants come late", testLateGrants, false},
		{"grants come twice", testDuplicateGrants, true},
		{"the leader killed while a change waits", testLeaderKilledDuringChange, false},
		{"a relay and the leader killed while a change waits", testRelayAndLeaderKilled, false},
		{"a purge while a relay is down", testPurgeWithoutRelay, true},
		{"an old run of a relay beside a new one", testOldRelayRunBesideNew, true},
	}
}

// startClients has clients ask every controller: most for queries whose site tells the policy
// that they were sent by.
func (f *relayFleet) startClients() {
	for i := range f.controllers {
		f.clients.Add(4)
		go f.runClient(i, "mark", "lookup", 5*time.Millisecond, false)
		go f.runClient(i, "linz", "lookup", 40*time.Millisecond, false)
		go f.runClient(i, "linz", "report", 120*time.Millisecond, true)
		go f.runClient(i, "steyr", "load", 80*time.Millisecond, false)
	}
}

// waitPastLease waits until leases that were asked for by now are over.
func (f *relayFleet) waitPastLease() { time.Sleep(f.Lease + f.Lease/4) }

// cut has nothing pass between two processes.
func (f *relayFleet) cut(a, b *fleetProcess) {
	f.mu.Lock()
	f.faultCounts["link cut"]++
	f.fleetHistory.Note(f.elapsed(), a.name+" is cut from "+b.name, a.name, b.name)
	f.mu.Unlock()
	f.mesh.Cut(a.name, b.name)
}

// cutFromVoters leaves a controller the relays alone.
func (f *relayFleet) cutFromVoters(p *fleetProcess) {
	for _, v := range f.voters {
		f.cut(p, v)
	}
}

// restart starts a process that was killed.
func (f *relayFleet) restart(p *fleetProcess) { f.must(f.startProcess(p)) }

// testRelayKilled kills the first relay of half of the controllers while a change waits.
func testRelayKilled(f *relayFleet) {
	relay := f.relays[0]
	f.injectDuringChange(func() { f.kill(relay) }, func() { f.restart(relay) })
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.restart(relay)
}

// testRelayKilledAtAnyPoint kills a relay at several moments after a change was asked for, and
// every other time has the next run begin at once, within the leases of the last one.
func testRelayKilledAtAnyPoint(f *relayFleet) {
	for i, after := range []time.Duration{0, 3 * time.Millisecond, 8 * time.Millisecond, 15 * time.Millisecond} {
		relay, by, atOnce := f.relays[1], f.requestTarget(), i%2 == 1
		a := f.newChange(f.versionInForce(), 0, false)
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
		f.requireInForce(by, a)
		if !atOnce {
			f.restart(relay)
		}
		f.requireServing()
	}
}

// testRelayStoppedPastLease has a relay sleep longer than any lease. What it holds then is old: asks of
// controllers, answers of the leader, the record.
func testRelayStoppedPastLease(f *relayFleet) {
	relay := f.relays[0]
	f.injectDuringChange(func() { f.pause(relay) }, func() { f.resume(relay) })
	f.waitPastLease()
	f.requireChange(f.requestTarget())
	f.resume(relay)
	f.requireChange(f.requestTarget())
}

// testRelayCutFromLeader has a relay hear its controllers, and not the leader.
func testRelayCutFromLeader(f *relayFleet) {
	f.cut(f.relays[0], f.requireLeader())
	f.waitPastLease()
	f.requireServing(f.relays[0])
	f.requireChange(f.requestTarget())
	f.mesh.Heal()
}

// testRelayCutFromControllers has a relay hear the leader, and none of its controllers.
func testRelayCutFromControllers(f *relayFleet) {
	for _, p := range f.controllers {
		f.cut(f.relays[0], p)
	}
	f.waitPastLease()
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.mesh.Heal()
}

// testBothRelaysKilled leaves controllers the leader itself, and then gives them the relays back.
func testBothRelaysKilled(f *relayFleet) {
	f.injectDuringChange(func() { f.forEach(f.relays, f.kill) }, func() { f.forEach(f.relays, f.restart) })
	f.requireServing()
	f.waitPastLease()
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.forEach(f.relays, f.restart)
}

// testOnlyRelaysReachLeader cuts controllers from all voters: that they serve shows that
// leases and the record come by the relays. Without these none serves past its lease.
func testOnlyRelaysReachLeader(f *relayFleet) {
	for _, p := range f.controllers {
		f.cutFromVoters(p)
	}
	f.waitPastLease()
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.forEach(f.relays, f.kill)
	killed := time.Now()
	time.Sleep(f.Lease)
	f.checkLeasesEnded(killed.Add(f.Lease))
	f.requireChange(f.requestTarget())
	f.forEach(f.relays, f.restart)
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.mesh.Heal()
}

// checkLeasesEnded fails the test where a controller held a lease after a moment.
func (f *relayFleet) checkLeasesEnded(after time.Time) {
	f.t.Helper()
	const looks = 3
	for range looks {
		for _, p := range f.controllers {
			if s, seen := sampleStatus(f, p); seen && s.requested.After(after) && (s.serving || s.leaseRemaining > 0) {
				f.t.Errorf("%s serves (%v), %v after the end of its lease, of which it has %v left", p.name, s.serving, s.requested.Sub(after), s.leaseRemaining)
			}
		}
	}
}

// testControllerCutOffFromRelays cuts a controller from all others while its relays go on asking for
// leases for those they cover. The change doesn't come into force before its lease ends,
// though the leader never gave it one by itself and the relays soon cover it no more.
func testControllerCutOffFromRelays(f *relayFleet) {
	lost := f.controllers[0]
	f.cutFromVoters(lost)
	f.waitPastLease()
	f.requireServing()
	f.recordFault(lost, "cut off")
	f.mesh.Isolate(lost.name)
	f.requireChange(f.requestTarget())
	f.requireServing(lost)
	f.requireChange(f.requestTarget())
	f.mesh.Heal()
}

// testLateAnswersToRelay has the leader's answers come late to a relay that then can't send gathers
// any more. An answer counts for those asks only that its gather told of, so the leader
// knows when the last lease ends that the relay passes on.
func testLateAnswersToRelay(f *relayFleet) {
	const late = 300 * time.Millisecond
	relay, other, leader, p := f.relays[0], f.relays[1], f.requireLeader(), f.controllers[0]
	f.cutFromVoters(p)
	f.cut(p, other)
	f.mesh.SetFault(leader.name, relay.name, faultproxy.Fault{Kind: faultproxy.Delay, Direction: faultproxy.ToTarget, Latency: late})
	f.waitPastLease()
	f.mesh.SetFault(relay.name, leader.name, faultproxy.Fault{Kind: faultproxy.Cut, Silent: true})
	time.Sleep(2 * late) // one answer may have waited for the one before it
	f.cut(relay, leader)
	f.requireChange(f.requestTarget())
	time.Sleep(late) // who serves on by the version before is seen
	f.mesh.Heal()
}

// testRelayAndControllerCutOff cuts a relay and a controller that reaches nobody else off from
// the rest. When the relay is back it may have a lease for the controller before either has
// the record that the lease counts by.
func testRelayAndControllerCutOff(f *relayFleet) {
	relay, other, p := f.relays[0], f.relays[1], f.controllers[0]
	f.cutFromVoters(p)
	f.cut(p, other)
	f.waitPastLease()
	f.requireServing()
	for _, m := range f.members {
		if m != p && m != relay {
			f.cut(relay, m)
		}
	}
	f.requireChange(f.requestTarget()) // once their leases are over
	time.Sleep(relayFleetSlack)        // queries that the controller holds must not be sent by the version before
	for _, m := range f.members {
		if m != p {
			f.mesh.SetFault(relay.name, m.name, faultproxy.Fault{})
			f.mesh.SetFault(m.name, relay.name, faultproxy.Fault{})
		}
	}
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.mesh.Heal()
}

// testLateGrants has all that comes to a controller come late. A lease counts from when it was
// asked for, so no more than the rest of it is ever left.
func testLateGrants(f *relayFleet) {
	const late = 400 * time.Millisecond
	p := f.controllers[0]
	delay := faultproxy.Fault{Kind: faultproxy.Delay, Direction: faultproxy.ToTarget, Latency: late}
	f.mesh.SetFault("", p.name, delay)
	begin := time.Now()
	f.waitPastLease() // what was granted before is over
	f.requireChange(f.requestTarget())
	end := time.Now()
	f.mesh.Heal()
	var longest time.Duration
	for _, s := range f.monitor.samplesSince(begin.Add(f.Lease)) {
		if s.process == p.name && s.answered.Before(end) {
			longest = max(longest, s.leaseRemaining)
		}
	}
	if longest == 0 || longest > f.Lease-late {
		f.t.Errorf("%s had %v left of a lease of %v, and every grant was %v late", p.name, longest, f.Lease, late)
	}
}

// testDuplicateGrants has all that relays send come to its receiver a second time, by another
// connection, which the wire refuses.
func testDuplicateGrants(f *relayFleet) {
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
	f.requireEventually("replays of grants that are refused", func() bool { return refused() > before })
	f.requireChange(f.requestTarget())
	f.waitPastLease()
	f.requireServing()
	f.mesh.Heal()
}

// testLeaderKilledDuringChange has another voter lead a change on, of which relays must tell it all anew.
func testLeaderKilledDuringChange(f *relayFleet) {
	leader := f.requireLeader()
	f.injectDuringChange(func() { leader = f.requireLeader(); f.kill(leader) }, func() { f.restart(leader) })
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.restart(leader)
}

func testRelayAndLeaderKilled(f *relayFleet) {
	leader, relay := f.requireLeader(), f.relays[1]
	f.injectDuringChange(func() { leader = f.requireLeader(); f.kill(relay); f.kill(leader) }, func() { f.restart(relay); f.restart(leader) })
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.restart(relay)
	f.restart(leader)
}

// testPurgeWithoutRelay has a team's results go while a relay is down: nobody serves them after.
func testPurgeWithoutRelay(f *relayFleet) {
	relay := f.relays[0]
	f.kill(relay)
	f.requireChange(f.requestTarget())
	f.restart(relay)
	took, err := f.purgeTeam(f.requestTarget(), "linz", relayFleetWaitLimit)
	f.must(err)
	f.t.Logf("purged after %d ms", took.Milliseconds())
}

// forEach does something with some processes, one after another.
func (f *relayFleet) forEach(some []*fleetProcess, do func(p *fleetProcess)) {
	for _, p := range some {
		do(p)
	}
}

// testOldRelayRunBesideNew starts a relay anew while its last run sleeps. The same directory is
// refused to the new run; by a copy it runs, at the old one's address, until the old one
// wakes and both gather for the leader under one name.
func testOldRelayRunBesideNew(f *relayFleet) {
	old := f.relays[0]
	f.pause(old)
	f.checkDirectoryInUseRefused(old)

	again := f.newRun(old, relaySecondRun)
	f.must(os.CopyFS(f.path(again.name+"-fleet"), os.DirFS(f.path(old.name+"-fleet"))))
	f.mesh.SetTarget(old.name, again.listenAddress)
	f.mesh.SetFault("", old.name, faultproxy.Fault{Kind: faultproxy.Reset}) // what is connected goes to the new run from now on
	f.must(f.startProcess(again))
	f.relays[0] = again
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.resume(old)
	for range 3 {
		f.requireChange(f.requestTarget())
		f.requireServing()
	}
	f.kill(old)
}

// newRun is one more process under the name and peers' address of another one.
func (f *relayFleet) newRun(of *fleetProcess, run int) *fleetProcess {
	f.t.Helper()
	p := &fleetProcess{name: fmt.Sprintf("%s-run%d", of.name, run), site: of.site, peerAddress: of.peerAddress}
	f.assignAddresses(p, of.name, run)
	var err error
	p.logFile, err = os.Create(f.path(p.name + ".log"))
	f.must(err)
	f.cleanups = append(f.cleanups, func() { p.logFile.Close() })
	f.must(f.writeSetup(p, strings.Replace(f.controlSetup(p, relayRoleSettings), "name: "+p.name, "name: "+of.name, 1)))
	return p
}

// checkDirectoryInUseRefused starts a second run with the directory of one that is there, which
// must end by itself and say why.
func (f *relayFleet) checkDirectoryInUseRefused(first *fleetProcess) {
	f.t.Helper()
	second := f.newRun(first, relayRefusedRun)
	directory := f.path(first.name + "-fleet")
	setup, err := os.ReadFile(f.path(second.name + ".yaml"))
	f.must(err)
	f.must(f.writeSetup(second, strings.Replace(string(setup), f.path(second.name+"-fleet"), directory, 1)))
	f.must(f.startProcess(second))
	select {
	case <-second.exited:
	case <-time.After(relayFleetWaitLimit):
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

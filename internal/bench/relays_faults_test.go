package bench

import (
	"fmt"
	"os"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/emulator/faultproxy"
	"railrelay.dev/railrelay/internal/fleet/storage"
)

// relayCase is a way in which relays fail. After run, all processes must serve and a change must come into
// force.
type relayCase struct {
	name           string
	run            func(f *relayFleet)
	onlyRelayFails bool // only one relay fails, and controllers continue to serve
}

// relayFaultCases returns the cases that run on one fleet, one after another.
func relayFaultCases() []relayCase {
	return []relayCase{
		{"a relay killed while a change waits", testRelayKilled, true},
		{"a relay killed at any point of a change", testRelayKilledAtAnyPoint, true},
		{"a relay stopped past its lease and continued", testRelayStoppedPastLease, true},
		{"a relay cut from the leader", testRelayCutFromLeader, true},
		{"a relay cut from its controllers", testRelayCutFromControllers, true},
		{"both relays killed", testBothRelaysKilled, false},
		{"only relays reach the leader", testOnlyRelaysReachLeader, false},
		{"a controller cut off while its relays run on", testControllerCutOffFromRelays, false},
		{"a relay receives late answers, then it is cut off", testLateAnswersToRelay, false},
		{"a relay and its controller cut off together", testRelayAndControllerCutOff, false},
		{"late grants", testLateGrants, false},
		{"duplicate grants", testDuplicateGrants, true},
		{"the leader killed while a change waits", testLeaderKilledDuringChange, false},
		{"a relay and the leader killed while a change waits", testRelayAndLeaderKilled, false},
		{"a purge while a relay restarts", testPurgeDuringRelayRestart, true},
		{"an old run of a relay beside a new one", testOldRelayRunBesideNew, true},
	}
}

// startClients starts clients at every controller. Most queries belong to the tenant "mark". The site at
// which such a query runs shows under which policy version the controller sent the query.
func (f *relayFleet) startClients() {
	for i := range f.controllers {
		f.clients.Add(4)
		go f.runClient(i, "mark", "lookup", 5*time.Millisecond, false)
		go f.runClient(i, "linz", "lookup", 40*time.Millisecond, false)
		go f.runClient(i, "linz", "report", 120*time.Millisecond, true)
		go f.runClient(i, "steyr", "load", 80*time.Millisecond, false)
	}
}

// waitPastLease waits until all leases that were requested before the call have ended.
func (f *relayFleet) waitPastLease() { time.Sleep(f.Lease + f.Lease/4) }

// cut cuts the links between two processes, in both directions.
func (f *relayFleet) cut(a, b *fleetProcess) {
	f.mu.Lock()
	f.faultCounts["link cut"]++
	f.fleetHistory.Note(f.elapsed(), a.name+" is cut from "+b.name, a.name, b.name)
	f.mu.Unlock()
	f.mesh.Cut(a.name, b.name)
}

// cutFromVoters cuts a controller from all voters. The controller still reaches its relays.
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

// testRelayKilledAtAnyPoint kills a relay after different delays from the request for a change. Every other
// time the relay is restarted at once, while leases from its previous run are still valid.
func testRelayKilledAtAnyPoint(f *relayFleet) {
	delays := []time.Duration{0, 3 * time.Millisecond, 8 * time.Millisecond, 15 * time.Millisecond}
	for i, delay := range delays {
		relay, target, restartAtOnce := f.relays[1], f.requestTarget(), i%2 == 1
		change := f.newChange(f.versionInForce(), 0, false)
		requestDone := make(chan struct{})
		go func() {
			defer close(requestDone)
			f.applyChange(target, change)
		}()
		time.Sleep(delay)
		f.kill(relay)
		if restartAtOnce {
			f.restart(relay)
		}
		<-requestDone
		f.requireInForce(target, change)
		if !restartAtOnce {
			f.restart(relay)
		}
		f.requireServing()
	}
}

// testRelayStoppedPastLease stops a relay for longer than any lease. When the relay continues, its lease
// renewals, its answers from the leader and its log are out of date.
func testRelayStoppedPastLease(f *relayFleet) {
	relay := f.relays[0]
	f.injectDuringChange(func() { f.pause(relay) }, func() { f.resume(relay) })
	f.waitPastLease()
	f.requireChange(f.requestTarget())
	f.resume(relay)
	f.requireChange(f.requestTarget())
}

// testRelayCutFromLeader cuts a relay from the leader. The relay still receives the lease renewals of its
// controllers.
func testRelayCutFromLeader(f *relayFleet) {
	f.cut(f.relays[0], f.requireLeader())
	f.waitPastLease()
	f.requireServing(f.relays[0])
	f.requireChange(f.requestTarget())
	f.mesh.Heal()
}

// testRelayCutFromControllers cuts a relay from all controllers. The relay still reaches the leader.
func testRelayCutFromControllers(f *relayFleet) {
	for _, p := range f.controllers {
		f.cut(f.relays[0], p)
	}
	f.waitPastLease()
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.mesh.Heal()
}

// testBothRelaysKilled kills both relays, so that the controllers renew their leases at the leader, and
// restarts the relays.
func testBothRelaysKilled(f *relayFleet) {
	f.injectDuringChange(
		func() { f.forEach(f.relays, f.kill) },
		func() { f.forEach(f.relays, f.restart) },
	)
	f.requireServing()
	f.waitPastLease()
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.forEach(f.relays, f.restart)
}

// testOnlyRelaysReachLeader cuts the controllers from all voters. The controllers must serve, since leases
// and log entries come through the relays. After both relays are killed, the controllers must stop when their
// leases end.
func testOnlyRelaysReachLeader(f *relayFleet) {
	for _, p := range f.controllers {
		f.cutFromVoters(p)
	}
	f.waitPastLease()
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.forEach(f.relays, f.kill)
	killedAt := time.Now()
	time.Sleep(f.Lease)
	f.checkLeasesEnded(killedAt.Add(f.Lease))
	f.requireChange(f.requestTarget())
	f.forEach(f.relays, f.restart)
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.mesh.Heal()
}

// checkLeasesEnded reports an error if a controller holds a lease or serves after the time end.
func (f *relayFleet) checkLeasesEnded(end time.Time) {
	f.t.Helper()
	const rounds = 3
	for range rounds {
		for _, p := range f.controllers {
			s, ok := sampleStatus(f, p)
			if ok && s.requestedAt.After(end) && (s.serves || s.leaseRemaining > 0) {
				f.t.Errorf("%v after the end of its lease, %s reports serves=%v and a remaining lease of %v",
					s.requestedAt.Sub(end), p.name, s.serves, s.leaseRemaining)
			}
		}
	}
}

// testControllerCutOffFromRelays isolates a controller that held its lease only through relays. For a short
// time, the relays still renew the lease of the isolated controller along with the leases of their other
// controllers. The change must not come into force before the isolated controller's lease ends.
func testControllerCutOffFromRelays(f *relayFleet) {
	isolated := f.controllers[0]
	f.cutFromVoters(isolated)
	f.waitPastLease()
	f.requireServing()
	f.recordFault(isolated, "cut off")
	f.mesh.Isolate(isolated.name)
	f.requireChange(f.requestTarget())
	f.requireServing(isolated)
	f.requireChange(f.requestTarget())
	f.mesh.Heal()
}

// testLateAnswersToRelay delays the leader's answers to a relay, and then stops the relay's messages to the
// leader. An answer covers only the lease requests that the relay made before the answered message. The
// leader therefore knows the end of the last lease that the relay can forward.
func testLateAnswersToRelay(f *relayFleet) {
	const latency = 300 * time.Millisecond
	relay, other, leader, p := f.relays[0], f.relays[1], f.requireLeader(), f.controllers[0]
	f.cutFromVoters(p)
	f.cut(p, other)
	lateAnswers := faultproxy.Fault{Kind: faultproxy.Delay, Direction: faultproxy.ToTarget, Latency: latency}
	f.mesh.SetFault(leader.name, relay.name, lateAnswers)
	f.waitPastLease()
	f.mesh.SetFault(relay.name, leader.name, faultproxy.Fault{Kind: faultproxy.Cut, Silent: true})
	time.Sleep(2 * latency) // an answer may have waited for the previous answer
	f.cut(relay, leader)
	f.requireChange(f.requestTarget())
	time.Sleep(latency) // time to observe a controller that still serves under the old version
	f.mesh.Heal()
}

// testRelayAndControllerCutOff isolates a relay together with a controller that reaches only this relay.
// After the relay is reconnected, it may forward a lease to the controller before either of them has the log
// entries that the lease requires.
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
	f.requireChange(f.requestTarget()) // the change comes into force once the leases of both have ended
	// If the controller holds a query and sends it under the old version, this counts as a violation only
	// after the slack.
	time.Sleep(relayFleetSlack)
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

// testLateGrants delays all messages to a controller. A lease counts from the time of its request, so a
// delayed grant must leave only the rest of the lease.
func testLateGrants(f *relayFleet) {
	const latency = 400 * time.Millisecond
	p := f.controllers[0]
	delay := faultproxy.Fault{Kind: faultproxy.Delay, Direction: faultproxy.ToTarget, Latency: latency}
	f.mesh.SetFault("", p.name, delay)
	begin := time.Now()
	f.waitPastLease() // until the leases that were granted without delay have ended
	f.requireChange(f.requestTarget())
	end := time.Now()
	f.mesh.Heal()
	var longest time.Duration
	for _, s := range f.monitor.samplesSince(begin.Add(f.Lease)) {
		if s.process == p.name && s.answeredAt.Before(end) {
			longest = max(longest, s.leaseRemaining)
		}
	}
	if longest == 0 || longest > f.Lease-latency {
		f.t.Errorf("%s had up to %v left of a lease of %v though each grant was delayed by %v, want up to %v",
			p.name, longest, f.Lease, latency, f.Lease-latency)
	}
}

// testDuplicateGrants duplicates all data that relays send, on a second connection. The receiver's transport
// must reject the duplicates.
func testDuplicateGrants(f *relayFleet) {
	countRejected := func() (sum int) {
		for _, p := range f.controllers {
			sum += f.status(p).Counts["wire_refused_replay"]
		}
		return sum
	}
	before := countRejected()
	for _, relay := range f.relays {
		f.mesh.SetFault(relay.name, "", faultproxy.Fault{Kind: faultproxy.Duplicate})
	}
	f.requireEventually("rejected replays of grants", func() bool { return countRejected() > before })
	f.requireChange(f.requestTarget())
	f.waitPastLease()
	f.requireServing()
	f.mesh.Heal()
}

// testLeaderKilledDuringChange kills the leader while a change waits. The relays must report all their
// controllers to the next leader, which completes the change.
func testLeaderKilledDuringChange(f *relayFleet) {
	leader := f.requireLeader()
	f.injectDuringChange(
		func() { leader = f.requireLeader(); f.kill(leader) },
		func() { f.restart(leader) },
	)
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.restart(leader)
}

func testRelayAndLeaderKilled(f *relayFleet) {
	leader, relay := f.requireLeader(), f.relays[1]
	f.injectDuringChange(
		func() { leader = f.requireLeader(); f.kill(relay); f.kill(leader) },
		func() { f.restart(relay); f.restart(leader) },
	)
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.restart(relay)
	f.restart(leader)
}

// testPurgeDuringRelayRestart purges a tenant's results while a relay restarts. No controller may serve these
// results after the purge.
func testPurgeDuringRelayRestart(f *relayFleet) {
	relay := f.relays[0]
	f.kill(relay)
	f.requireChange(f.requestTarget())
	f.restart(relay)
	took, err := f.purgeTeam(f.requestTarget(), "linz", relayFleetWaitLimit)
	f.must(err)
	f.t.Logf("purged after %d ms", took.Milliseconds())
}

// forEach calls do with each process, in order.
func (f *relayFleet) forEach(processes []*fleetProcess, do func(p *fleetProcess)) {
	for _, p := range processes {
		do(p)
	}
}

// testOldRelayRunBesideNew starts a second run of a relay while the first run is stopped. The second run may
// not use the directory of the first run, so it gets a copy. It has the peer address of the first run. When
// the first run continues, both runs send lease renewals to the leader under the same name.
func testOldRelayRunBesideNew(f *relayFleet) {
	first := f.relays[0]
	f.pause(first)
	f.checkDirectoryInUseRefused(first)

	second := f.newRun(first, relaySecondRun)
	f.must(os.CopyFS(f.path(second.name+"-fleet"), os.DirFS(f.path(first.name+"-fleet"))))
	f.mesh.SetTarget(first.name, second.listenAddress)
	// A reset of the open connections makes the peers connect to the second run.
	f.mesh.SetFault("", first.name, faultproxy.Fault{Kind: faultproxy.Reset})
	f.must(f.startProcess(second))
	f.relays[0] = second
	f.requireServing()
	f.requireChange(f.requestTarget())
	f.resume(first)
	for range 3 {
		f.requireChange(f.requestTarget())
		f.requireServing()
	}
	f.kill(first)
}

// newRun returns a further run of a process, without starting it. The run has the name and the peer address
// of the first run.
func (f *relayFleet) newRun(of *fleetProcess, run int) *fleetProcess {
	f.t.Helper()
	p := &fleetProcess{name: fmt.Sprintf("%s-run%d", of.name, run), site: of.site, peerAddress: of.peerAddress}
	f.assignAddresses(p, of.name, run)
	var err error
	p.logFile, err = os.Create(f.path(p.name + ".log"))
	f.must(err)
	f.cleanups = append(f.cleanups, func() { p.logFile.Close() })
	setup := f.controlSetup(p, relayRoleSettings)
	f.must(f.writeSetup(p, strings.Replace(setup, "name: "+p.name, "name: "+of.name, 1)))
	return p
}

// checkDirectoryInUseRefused starts a second run with the directory of a running process. The second run
// must exit and log the reason.
func (f *relayFleet) checkDirectoryInUseRefused(first *fleetProcess) {
	f.t.Helper()
	second := f.newRun(first, relayRefusedRun)
	directory := f.path(first.name + "-fleet")
	setup, err := os.ReadFile(f.path(second.name + ".yaml"))
	f.must(err)
	setupInUse := strings.Replace(string(setup), f.path(second.name+"-fleet"), directory, 1)
	f.must(f.writeSetup(second, setupInUse))
	f.must(f.startProcess(second))
	select {
	case <-second.exited:
	case <-time.After(relayFleetWaitLimit):
		second.command.Process.Kill()
		f.t.Fatalf("a second run with the directory of %s did not exit within %v", first.name, relayFleetWaitLimit)
	}
	text, err := os.ReadFile(f.path(second.name + ".log"))
	f.must(err)
	locked := &storage.LockedError{Dir: directory}
	if !strings.Contains(string(text), locked.Error()) || !strings.Contains(string(text), locked.Remedy()) {
		f.t.Errorf("the log of the refused run lacks %q or its remedy: %s", locked, text)
	}
}

package bench

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/faultproxy"
	"railrelay.dev/railrelay/internal/emulator/feed"
	"railrelay.dev/railrelay/internal/emulator/loopback"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/historycheck"
)

// faultRound injects one fault while changes are in progress, and heals it after a duration.
type faultRound struct {
	name      string
	inject    func(ff *faultFleet)
	heal      func(ff *faultFleet)
	duration  func(ff *faultFleet) time.Duration
	withPurge bool // a purge is in progress as well
}

// pastLease returns the duration of a fault in which every lease expires, even one that was just renewed.
func pastLease(ff *faultFleet) time.Duration { return ff.Lease*3/2 + 200*time.Millisecond }

// shortFault returns a duration in which a lease of one second that was just renewed does not expire.
func shortFault(*faultFleet) time.Duration { return 500 * time.Millisecond }

// linkFaultRound returns a round with a fault on the links from one process to another, which pick returns.
// An empty name selects any process.
func linkFaultRound(name string, fault faultproxy.Fault, pick func(ff *faultFleet) (from, to string),
	withPurge bool, duration func(*faultFleet) time.Duration) faultRound {
	return faultRound{name, func(ff *faultFleet) {
		from, to := pick(ff)
		ff.mu.Lock()
		ff.fleetHistory.Note(ff.elapsed(), fmt.Sprintf("links from %q to %q: %s", from, to, name), from, to)
		ff.mu.Unlock()
		fault.Seed = ff.Seed
		ff.mesh.SetFault(from, to, fault)
	}, func(ff *faultFleet) { ff.mesh.Heal() }, duration, withPurge}
}

// anyLink selects all links.
func (ff *faultFleet) anyLink() (from, to string) { return "", "" }

// processFaultRound returns a round that pauses or kills the process that pick returns, and then resumes or
// restarts it.
func processFaultRound(name string, pick func(ff *faultFleet) *fleetProcess, pause bool,
	duration func(*faultFleet) time.Duration, withPurge bool) faultRound {
	var p *fleetProcess
	return faultRound{name, func(ff *faultFleet) {
		if p = pick(ff); pause {
			ff.pause(p)
		} else {
			ff.kill(p)
		}
	}, func(ff *faultFleet) {
		if pause {
			ff.resume(p)
		} else if err := ff.startProcess(p); err != nil {
			ff.addFault(err)
		}
	}, duration, withPurge}
}

// addFault adds an error of the run itself to the faults.
func (ff *faultFleet) addFault(err error) {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	ff.queryHistory.AddFault(ff.elapsed(), err.Error())
}

// faultRounds returns the rounds of a measurement, which runs them in an order that its seed determines.
func faultRounds() []faultRound {
	leader := func(ff *faultFleet) *fleetProcess { return ff.leader() }
	follower := func(ff *faultFleet) *fleetProcess { return ff.randomFollower() }
	fromLeader := func(ff *faultFleet) (from, to string) { return ff.leader().name, "" }
	toFollower := func(ff *faultFleet) (from, to string) { return "", ff.randomFollower().name }
	var majority []*fleetProcess
	return []faultRound{
		processFaultRound("the leader killed", leader, false, shortFault, false),
		processFaultRound("the leader stopped past its lease", leader, true, pastLease, true),
		processFaultRound("a follower stopped past its lease", follower, true, pastLease, false),
		processFaultRound("a follower killed", follower, false, pastLease, true),
		{"cut", func(ff *faultFleet) {
			p := ff.randomFollower()
			ff.recordFault(p, "cut off")
			ff.mesh.Isolate(p.name)
		}, func(ff *faultFleet) { ff.mesh.Heal() }, pastLease, true},
		linkFaultRound("one way", faultproxy.Fault{Kind: faultproxy.OneWay, Direction: faultproxy.ToTarget},
			toFollower, false, pastLease),
		linkFaultRound("slow", faultproxy.Fault{Kind: faultproxy.Slow, Rate: 30_000},
			fromLeader, false, shortFault),
		linkFaultRound("jitter", faultproxy.Fault{Kind: faultproxy.Delay,
			Latency: 2 * time.Millisecond, Jitter: 60 * time.Millisecond},
			(*faultFleet).anyLink, true, shortFault),
		linkFaultRound("reset", faultproxy.Fault{Kind: faultproxy.Reset},
			(*faultFleet).anyLink, false, shortFault),
		linkFaultRound("stall", faultproxy.Fault{Kind: faultproxy.Stall, AfterBytes: 1500},
			fromLeader, false, shortFault),
		linkFaultRound("double", faultproxy.Fault{Kind: faultproxy.Duplicate},
			(*faultFleet).anyLink, true, shortFault),
		{"a majority of the voters stopped past their leases", func(ff *faultFleet) {
			majority = ff.members[:ff.Voters/2+1]
			for _, p := range majority {
				ff.pause(p)
			}
		}, func(ff *faultFleet) {
			for _, p := range majority {
				ff.resume(p)
			}
		}, pastLease, false},
		{"all killed", func(ff *faultFleet) {
			for _, p := range ff.members {
				ff.kill(p)
			}
		}, func(ff *faultFleet) {
			for _, p := range ff.members {
				if err := ff.startProcess(p); err != nil {
					ff.addFault(err)
				}
			}
		}, shortFault, true},
	}
}

// runRound injects a round's fault before or while two operators apply changes to the same policy version,
// and, if the round says so, while a purge is in progress. It waits until the changes and the purge have an
// outcome and all controllers serve.
func (ff *faultFleet) runRound(r faultRound) error {
	before := ff.mesh.HitCounts()
	base := ff.latestVersion
	first, second := ff.newChange(base, 0, false), ff.newChange(base, 0, false)
	firstMember := ff.members[ff.rng.IntN(len(ff.members))]
	secondMember := ff.members[ff.rng.IntN(len(ff.members))]
	delay := time.Duration(ff.rng.IntN(25)) * time.Millisecond
	faultFirst := ff.rng.IntN(2) == 0
	var wg sync.WaitGroup
	var purgeErr error
	if faultFirst {
		r.inject(ff)
	}
	for _, operator := range []struct {
		p      *fleetProcess
		change *fleet.Request
	}{{firstMember, first}, {secondMember, second}} {
		wg.Go(func() {
			if operator.p.command != nil && !operator.p.paused {
				ff.applyChange(operator.p, operator.change)
			}
		})
	}
	team := []string{"linz", "steyr"}[ff.rng.IntN(2)]
	if r.withPurge {
		wg.Go(func() { _, purgeErr = ff.purgeTeam(ff.members[0], team, 15*time.Second) })
	}
	if !faultFirst {
		time.Sleep(delay) // so that the fault hits any stage of the changes and the purge
		r.inject(ff)
	}
	time.Sleep(r.duration(ff))
	r.heal(ff)
	wg.Wait()
	if purgeErr != nil {
		return fmt.Errorf("%s: %w", r.name, purgeErr)
	}
	for _, change := range []*fleet.Request{first, second} {
		if _, err := ff.awaitOutcome(change, 15*time.Second); err != nil {
			return fmt.Errorf("%s: %w", r.name, err)
		}
	}
	if err := ff.awaitAllServing(15 * time.Second); err != nil {
		return fmt.Errorf("%s: %w", r.name, err)
	}
	after := ff.mesh.HitCounts()
	for kind, n := range after {
		if n > before[kind] {
			ff.mu.Lock()
			ff.faultCounts["link "+kind]++
			ff.mu.Unlock()
		}
	}
	return nil
}

// startFromDamagedRecord starts a follower from a truncated and from a corrupted record file. The follower
// must exit and log what is wrong. Then startFromDamagedRecord starts the follower from the intact file.
func (ff *faultFleet) startFromDamagedRecord() error {
	p := ff.randomFollower()
	ff.kill(p)
	file := filepath.Join(ff.path(p.name+"-fleet"), "record")
	intact, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	corrupted := slices.Clone(intact)
	for i := len(corrupted) / 4; i < len(corrupted)*3/4; i += 97 {
		corrupted[i] ^= 0x55
	}
	for damage, content := range map[string][]byte{
		"truncated": intact[:len(intact)/3], "spoilt": corrupted} {
		if err := os.WriteFile(file, content, 0o600); err != nil {
			return err
		}
		ff.recordFault(p, "started from a record file that is "+damage)
		size, err := p.logFile.Seek(0, io.SeekEnd)
		if err != nil {
			return err
		}
		if err := ff.startProcess(p); err != nil {
			return err
		}
		select {
		case <-p.exited:
		case <-time.After(10 * time.Second):
			return fmt.Errorf("%s keeps running with a record file that is %s", p.name, damage)
		}
		p.command = nil
		log, err := os.ReadFile(ff.path(p.name + ".log"))
		if err != nil {
			return err
		}
		if !bytes.Contains(log[size:], []byte("record is ")) ||
			!bytes.Contains(log[size:], []byte("fleet forget")) {
			return fmt.Errorf("%s does not log what is wrong with a record file that is %s: %s",
				p.name, damage, log[size:])
		}
	}
	if err := os.WriteFile(file, intact, 0o600); err != nil {
		return err
	}
	if err := ff.startProcess(p); err != nil {
		return err
	}
	return ff.awaitAllServing(15 * time.Second)
}

// runEmergency drains all engines of the site east for longer than the policy's emergency delay, and waits
// until the team bound to the site runs queries at its emergency site. Then it restores the engines and waits
// for the end of the emergency.
func (ff *faultFleet) runEmergency() error {
	publishPhase := func(phase string) {
		var engines []feed.Engine
		for _, e := range ff.feedEngines {
			if e.Locality == "east" {
				e.Phase = phase
				engines = append(engines, e)
			}
		}
		ff.mu.Lock()
		for _, e := range engines {
			ff.queryHistory.SetServing(ff.elapsed(), e.ID, phase == "SERVING")
		}
		ff.mu.Unlock()
		ff.feed.Publish(false, engines...)
	}
	ff.mu.Lock()
	before := ff.emergencyQueries
	ff.fleetHistory.AllowSites(ff.elapsed()+time.Second-ff.fleetHistory.Slack, "linz", "west")
	ff.faultCounts["all engines of a site lost"]++
	ff.mu.Unlock()
	publishPhase("DRAINING")
	err := ff.waitFor(10*time.Second, "the bound team's queries run at the emergency site", func() bool {
		ff.mu.Lock()
		defer ff.mu.Unlock()
		return ff.emergencyQueries > before+5
	})
	publishPhase("SERVING")
	if err != nil {
		return err
	}
	err = ff.waitFor(15*time.Second, "the emergency has ended and all controllers serve", func() bool {
		for _, p := range ff.members {
			if status := ff.status(p); len(status.Emergencies) > 0 || !status.Serves {
				return false
			}
		}
		return true
	})
	ff.mu.Lock()
	ff.fleetHistory.RevokeSites(ff.elapsed(), "linz")
	ff.emergencies++
	ff.mu.Unlock()
	return err
}

// replaceVoter changes the policy so that the first follower votes in place of the first voter, while clients
// send queries.
func (ff *faultFleet) replaceVoter() error {
	change := ff.newChange(ff.latestVersion, 0, false)
	policy := string(change.Policy) + "voters:\n"
	for _, p := range append(slices.Clone(ff.members[1:ff.Voters]), ff.members[ff.Voters]) {
		policy += fmt.Sprintf("  - {name: %s, address: %q}\n", p.name, p.peerAddress)
	}
	change.Policy = []byte(policy)
	if outcome, err := ff.awaitOutcome(change, 10*time.Second); err != nil || outcome != "in force" {
		return fmt.Errorf("change of the voters: outcome %s: %w", outcome, err)
	}
	voter := ff.members[ff.Voters]
	return ff.waitFor(10*time.Second, voter.name+" votes", func() bool {
		for _, member := range ff.status(ff.leader()).Members {
			if member.Name == voter.name {
				return member.IsVoter
			}
		}
		return false
	})
}

// finish applies a last change, queries the outcomes of all changes once more, waits until all controllers
// act on the last version and stops the clients. It returns all violations of the invariants in the run.
func (ff *faultFleet) finish() ([]string, error) {
	last := ff.newChange(ff.latestVersion, 0, false)
	if outcome, err := ff.awaitOutcome(last, 10*time.Second); err != nil || outcome != "in force" {
		return nil, fmt.Errorf("last change: outcome %s: %w", outcome, err)
	}
	for _, change := range ff.changeRequests { // a later request must return the same outcome
		ff.applyChange(ff.members[ff.rng.IntN(len(ff.members))], &fleet.Request{Kind: "status",
			ID: change.ID, BaseVersion: change.BaseVersion, WaitMs: 300})
	}
	if err := ff.waitFor(10*time.Second, "all controllers act on the last version", func() bool {
		ff.mu.Lock()
		defer ff.mu.Unlock()
		return !slices.ContainsFunc(ff.observedVersions, func(observations []versionObservation) bool {
			return len(observations) == 0 || observations[len(observations)-1].version != ff.latestVersion
		})
	}); err != nil {
		ff.mu.Lock()
		ff.fleetHistory.Faults = append(ff.fleetHistory.Faults,
			historycheck.Fault{Kind: historycheck.PartialChange, Description: err.Error()})
		ff.mu.Unlock()
	}
	close(ff.stopClients)
	ff.clients.Wait()
	ff.mu.Lock()
	defer ff.mu.Unlock()
	violations := slices.Clone(ff.queryHistory.Finish(ff.elapsed()))
	for _, fault := range ff.fleetHistory.Faults {
		violations = append(violations, fault.String())
	}
	if ok, reports := historycheck.Linearizable(ff.changeReports, 2*time.Second); !ok {
		fault := historycheck.Fault{Kind: historycheck.Contradiction,
			Description: "no order of the changes explains these reports:\n" + reports}
		ff.fleetHistory.Faults = append(ff.fleetHistory.Faults, fault)
		violations = append(violations, fault.String())
	}
	return violations, nil
}

// median sorts the durations and returns their median, or 0 if there are none.
func median(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2]
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureWithoutFaults applies changes and purges without faults. It returns the medians of the hold of a
// controller when it switches versions, of a round trip, of the sync of one page to disk and of a purge.
func (ff *faultFleet) measureWithoutFaults(changes int) (
	hold, trip, diskSync, purge time.Duration, err error) {
	var holds, trips, syncs, purges []time.Duration
	if err := ff.waitFor(5*time.Second, "every controller has acted on a query", func() bool {
		ff.mu.Lock()
		defer ff.mu.Unlock()
		return !slices.ContainsFunc(ff.observedVersions,
			func(observations []versionObservation) bool { return len(observations) == 0 })
	}); err != nil {
		return 0, 0, 0, 0, err
	}
	for range changes {
		change := ff.newChange(ff.latestVersion, 0, false)
		if outcome, err := ff.awaitOutcome(change, 15*time.Second); err != nil || outcome != "in force" {
			return 0, 0, 0, 0, fmt.Errorf("%s: outcome %s: %w", change.ID, outcome, err)
		}
		version := ff.latestVersion
		if err := ff.waitFor(5*time.Second, "every controller acts on the new version", func() bool {
			return len(ff.switchHolds(version)) == len(ff.members)
		}); err != nil {
			return 0, 0, 0, 0, err
		}
		holds = append(holds, ff.switchHolds(version)...)
	}
	invalid := ff.newChange(ff.latestVersion, 0, true)
	if outcome, err := ff.awaitOutcome(invalid, 15*time.Second); err != nil || outcome != "withdrawn" {
		return 0, 0, 0, 0, fmt.Errorf("invalid change: outcome %s: %w", outcome, err)
	}
	for _, team := range []string{"linz", "steyr"} {
		took, err := ff.purgeTeam(ff.leader(), team, 10*time.Second)
		if err != nil {
			return 0, 0, 0, 0, err
		}
		purges = append(purges, took)
	}
	file, err := os.Create(ff.path("synced"))
	if err != nil {
		return 0, 0, 0, 0, err
	}
	defer file.Close()
	for range 15 {
		begin := time.Now()
		ff.status(ff.members[0])
		trips = append(trips, time.Since(begin)/2) // a handshake and the request
		begin = time.Now()
		file.Write(make([]byte, 4096))
		if err := file.Sync(); err != nil {
			return 0, 0, 0, 0, err
		}
		syncs = append(syncs, time.Since(begin))
	}
	return median(holds), median(trips), median(syncs), median(purges), nil
}

// fleetThroughputRatio returns the throughput of a controller that is the only member of a fleet, relative to
// a controller without a fleet. The two controllers are measured alternately, in short turns.
func fleetThroughputRatio(ctx context.Context, program string, turns int, turn time.Duration) (
	float64, error) {
	trial := &Trial{Program: program, Engines: 8, Seed: 1, ControllerLog: io.Discard}
	var answered [2]float64 // without and with a fleet
	run := func(ctx context.Context, address string) (int64, error) {
		turnCtx, cancel := context.WithTimeout(ctx, turn)
		defer cancel()
		done := int64(0)
		var wg sync.WaitGroup
		errs := make([]error, 4)
		for i := range errs {
			wg.Go(func() { errs[i] = keepQueriesOpen(turnCtx, address, i, 16, &done) })
		}
		wg.Wait()
		return done, errors.Join(errs...)
	}
	var testbeds [2]*controllerTestbed
	for inFleet := range testbeds {
		testbed, err := newControllerTestbed(ctx, program, trial.Engines, trialEngineConfig(), trial.ControllerLog,
			func(int, *engine.Server) {})
		if err != nil {
			return 0, err
		}
		defer testbed.close()
		testbeds[inFleet] = testbed
		setup := trial.setupText(testbed.feedAddress, testbed.controllerAddress)
		if inFleet == 1 {
			peer, err := loopback.FreeAddress()
			if err != nil {
				return 0, err
			}
			control, err := loopback.FreeAddress()
			if err != nil {
				return 0, err
			}
			keys := filepath.Join(testbed.dir, "keys")
			if err := os.WriteFile(keys, []byte(strings.Repeat("5e", 32)), 0o600); err != nil {
				return 0, err
			}
			setup += fmt.Sprintf("fleet: {name: alone, listen: %q, control: %q, directory: %q, "+
				"keys: %q, voters: [{name: try, address: %q}]}\n",
				peer, control, filepath.Join(testbed.dir, "fleet"), keys, peer)
		}
		if err := testbed.startController(setup); err != nil {
			return 0, err
		}
	}
	for i := range turns + 1 {
		for inFleet, testbed := range testbeds {
			done, err := run(ctx, testbed.controllerAddress)
			if err != nil {
				return 0, err
			}
			if i > 0 { // the first turn warms the controllers up
				answered[inFleet] += float64(done)
			}
		}
	}
	return answered[1] / max(answered[0], 1), nil
}

// MeasureFaultFleet injects all faults into a fleet of real processes, runs schedules in virtual time and the
// tests of the planted faults beside it, and writes the measurements to out. It returns an error if an
// invariant was violated, a planted fault was not detected, or an event that the run must contain is missing.
func MeasureFaultFleet(ctx context.Context, out io.Writer, program, plantedDir string, seed uint64,
	detail bool) error {
	config := FaultFleetConfig{Program: program, Voters: 3, Followers: 6, Seed: seed, Lease: time.Second}
	ff, err := config.start(ctx)
	if err != nil {
		return err
	}
	defer ff.close()
	fmt.Fprintf(out, "%d controllers serve after %.2f s\n", len(ff.members), ff.elapsed().Seconds())
	ff.startAllClients()
	hold, trip, diskSync, purge, err := ff.measureWithoutFaults(6)
	if err != nil {
		return err
	}
	var background sync.WaitGroup
	var schedules *ScheduleResult
	background.Go(func() {
		plan := &SchedulePlan{}
		plan.AddRandom(seed*1000, 100, 5, 3, 6*time.Second, 2)
		plan.AddRandom(seed*1000+500, 1, 100, 5, 3*time.Second, 6)
		plan.AddMessageFaults(seed, 1+int(seed%7), 120, 11)
		schedules = plan.Run(1, time.Now().Add(18*time.Second))
	})
	var found, planted int
	var table []string
	background.Go(func() { found, planted, table = detectPlantedFaults(ctx, plantedDir) })
	rounds := faultRounds()
	ff.rng.Shuffle(len(rounds), func(i, j int) { rounds[i], rounds[j] = rounds[j], rounds[i] })
	for _, r := range rounds {
		if ff.elapsed() > 29*time.Second {
			fmt.Fprintf(out, "no time left for the round: %s\n", r.name)
			continue
		}
		begin := time.Now()
		if err := ff.runRound(r); err != nil {
			return err
		}
		if detail {
			fmt.Fprintf(out, "%s: %.2f s\n", r.name, time.Since(begin).Seconds())
		}
	}
	for _, step := range []func() error{ff.runEmergency, ff.startFromDamagedRecord, ff.replaceVoter} {
		if err := step(); err != nil {
			return err
		}
	}
	violations, err := ff.finish()
	if err != nil {
		return err
	}
	background.Wait()
	ff.close()
	ratio, err := fleetThroughputRatio(ctx, program, 5, 300*time.Millisecond)
	if err != nil {
		return err
	}
	faults := 0
	for _, kind := range slices.Sorted(maps.Keys(ff.faultCounts)) {
		faults += ff.faultCounts[kind]
		fmt.Fprintf(out, "%s: %d; ", kind, ff.faultCounts[kind])
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, strings.Join(table, "\n"))
	fmt.Fprintf(out, "schedules in virtual time: %d of up to 100 controllers, faults injected in %d states, "+
		"%d changes, %d withdrawn, %d purges\n", schedules.Schedules,
		schedules.DistinctFaultStates(), schedules.Changes, schedules.Withdrawn, schedules.Purges)
	violations = append(violations, schedules.Violations...)
	history := &ff.fleetHistory
	for _, violation := range violations {
		fmt.Fprintf(out, "seed %d: %s\n", seed, violation)
	}
	fmt.Fprintf(out, "measured controllers=%d faults=%d changes=%d withdrawn=%d mixed=%d half=%d "+
		"false_word=%d purges=%d served_after=%d confirmed_wrongly=%d "+
		"bound_queries=%d crossed=%d emergencies=%d rules_broken=%d switch_hold_ms=%.1f "+
		"round_trip_ms=%.2f sync_ms=%.2f purge_ms=%.0f on_off=%.3f "+
		"faults_found=%d/%d schedules=%d\n", len(ff.members), faults, history.Changes, history.Withdrawn,
		history.Count(historycheck.StaleVersion), history.Count(historycheck.PartialChange),
		history.Count(historycheck.Contradiction), history.Purges,
		history.Count(historycheck.ServedAfterPurge), history.Count(historycheck.FalsePurge),
		history.Bound, history.Count(historycheck.PlacementFault), ff.emergencies,
		len(ff.queryHistory.Faults), toMilliseconds(hold), toMilliseconds(trip),
		toMilliseconds(diskSync), toMilliseconds(purge), ratio, found, planted, schedules.Schedules)
	switch {
	case len(violations) > 0:
		return fmt.Errorf("%d violations of the invariants", len(violations))
	case found < planted:
		return errors.New("a planted fault was not detected")
	case faults == 0 || history.Changes == 0 || history.Withdrawn == 0 || history.Purges == 0 ||
		history.Bound == 0 || ff.emergencies == 0 || schedules.DistinctFaultStates() == 0:
		return errors.New("the run had no fault, change, withdrawn change, purge, bound query, " +
			"emergency or fault in a schedule")
	}
	return nil
}

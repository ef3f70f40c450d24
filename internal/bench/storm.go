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

// faultRound is one fault while a change is under way, and its end.
type faultRound struct {
	name      string
	inject    func(g *faultFleet)
	heal      func(g *faultFleet)
	duration  func(g *faultFleet) time.Duration
	withPurge bool // a purge is under way, too
}

// pastLease is longer than a lease that was just renewed.
func pastLease(g *faultFleet) time.Duration { return g.Lease*3/2 + 200*time.Millisecond }

func shortFault(*faultFleet) time.Duration { return 500 * time.Millisecond }

// linkFaultRound is a round of a fault on the links from and to whom pick says, "" is any.
func linkFaultRound(name string, f faultproxy.Fault, pick func(g *faultFleet) (from, to string), purges bool, lasts func(*faultFleet) time.Duration) faultRound {
	return faultRound{name, func(g *faultFleet) {
		from, to := pick(g)
		g.mu.Lock()
		g.fleetHistory.Note(g.elapsed(), fmt.Sprintf("links from %q to %q: %s", from, to, name), from, to)
		g.mu.Unlock()
		f.Seed = g.Seed
		g.mesh.SetFault(from, to, f)
	}, func(g *faultFleet) { g.mesh.Heal() }, lasts, purges}
}

func (g *faultFleet) anyLink() (from, to string) { return "", "" }

// processFaultRound has one process that a round means, and brings it back.
func processFaultRound(name string, pick func(g *faultFleet) *fleetProcess, stop bool, lasts func(*faultFleet) time.Duration, purges bool) faultRound {
	var p *fleetProcess
	return faultRound{name, func(g *faultFleet) {
		if p = pick(g); stop {
			g.pause(p)
		} else {
			g.kill(p)
		}
	}, func(g *faultFleet) {
		if stop {
			g.resume(p)
		} else if err := g.startProcess(p); err != nil {
			g.addFault(err)
		}
	}, lasts, purges}
}

func (g *faultFleet) addFault(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queryHistory.AddFault(g.elapsed(), err.Error())
}

// faultRounds are all faults that a measurement plays; the order follows from the seed.
func faultRounds() []faultRound {
	leader := func(g *faultFleet) *fleetProcess { return g.leader() }
	follower := func(g *faultFleet) *fleetProcess { return g.randomFollower() }
	ofLeader := func(g *faultFleet) (from, to string) { return g.leader().name, "" }
	toFollower := func(g *faultFleet) (from, to string) { return "", g.randomFollower().name }
	var two []*fleetProcess
	return []faultRound{
		processFaultRound("the leader killed", leader, false, shortFault, false),
		processFaultRound("the leader stopped past its lease", leader, true, pastLease, true),
		processFaultRound("a follower stopped past its lease", follower, true, pastLease, false),
		processFaultRound("a follower killed", follower, false, pastLease, true),
		{"cut", func(g *faultFleet) {
			p := g.randomFollower()
			g.recordFault(p, "cut off")
			g.mesh.Isolate(p.name)
		}, func(g *faultFleet) { g.mesh.Heal() }, pastLease, true},
		linkFaultRound("one way", faultproxy.Fault{Kind: faultproxy.OneWay, Direction: faultproxy.ToTarget},
			toFollower, false, pastLease),
		linkFaultRound("slow", faultproxy.Fault{Kind: faultproxy.Slow, Rate: 30_000}, ofLeader, false, shortFault),
		linkFaultRound("jitter", faultproxy.Fault{Kind: faultproxy.Delay, Latency: 2 * time.Millisecond, Jitter: 60 * time.Millisecond}, (*faultFleet).anyLink, true, shortFault),
		linkFaultRound("reset", faultproxy.Fault{Kind: faultproxy.Reset}, (*faultFleet).anyLink, false, shortFault),
		linkFaultRound("stall", faultproxy.Fault{Kind: faultproxy.Stall, AfterBytes: 1500}, ofLeader, false, shortFault),
		linkFaultRound("double", faultproxy.Fault{Kind: faultproxy.Duplicate}, (*faultFleet).anyLink, true, shortFault),
		{"the majority lost", func(g *faultFleet) {
			two = g.members[:g.Voters/2+1]
			for _, p := range two {
				g.pause(p)
			}
		}, func(g *faultFleet) {
			for _, p := range two {
				g.resume(p)
			}
		}, pastLease, false},
		{"all killed", func(g *faultFleet) {
			for _, p := range g.members {
				g.kill(p)
			}
		}, func(g *faultFleet) {
			for _, p := range g.members {
				if err := g.startProcess(p); err != nil {
					g.addFault(err)
				}
			}
		}, shortFault, true},
	}
}

// runRound has a change, a second operator's at the same version and perhaps a purge under
// way while a fault strikes, and waits until all of them have come to their end.
func (g *faultFleet) runRound(r faultRound) error {
	before := g.mesh.HitCounts()
	base := g.latestVersion
	mine, other := g.newChange(base, 0, false), g.newChange(base, 0, false)
	at := g.members[g.rng.IntN(len(g.members))]
	too := g.members[g.rng.IntN(len(g.members))]
	wait := time.Duration(g.rng.IntN(25)) * time.Millisecond
	early := g.rng.IntN(2) == 0
	var wg sync.WaitGroup
	var purged error
	if early { // the fault is there first
		r.inject(g)
	}
	for _, x := range []struct {
		p *fleetProcess
		a *fleet.Request
	}{{at, mine}, {too, other}} {
		wg.Go(func() {
			if x.p.command != nil && !x.p.paused {
				g.applyChange(x.p, x.a)
			}
		})
	}
	team := []string{"linz", "steyr"}[g.rng.IntN(2)]
	if r.withPurge {
		wg.Go(func() { _, purged = g.purgeTeam(g.members[0], team, 15*time.Second) })
	}
	if !early {
		time.Sleep(wait) // somewhere in the middle of it
		r.inject(g)
	}
	time.Sleep(r.duration(g))
	r.heal(g)
	wg.Wait()
	if purged != nil {
		return fmt.Errorf("%s: %w", r.name, purged)
	}
	for _, a := range []*fleet.Request{mine, other} {
		if _, err := g.awaitOutcome(a, 15*time.Second); err != nil {
			return fmt.Errorf("%s: %w", r.name, err)
		}
	}
	if err := g.awaitAllServing(15 * time.Second); err != nil {
		return fmt.Errorf("%s: %w", r.name, err)
	}
	after := g.mesh.HitCounts()
	for kind, n := range after {
		if n > before[kind] {
			g.mu.Lock()
			g.faultCounts["link "+kind]++
			g.mu.Unlock()
		}
	}
	return nil
}

// startFromDamagedRecord has a follower start from a file that was cut short, which it must refuse by
// itself, and then from what was there.
func (g *faultFleet) startFromDamagedRecord() error {
	p := g.randomFollower()
	g.kill(p)
	file := filepath.Join(g.path(p.name+"-fleet"), "record")
	whole, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	spoilt := slices.Clone(whole)
	for i := len(spoilt) / 4; i < len(spoilt)*3/4; i += 97 {
		spoilt[i] ^= 0x55
	}
	for what, text := range map[string][]byte{"cut short": whole[:len(whole)/3], "spoilt": spoilt} {
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return err
		}
		g.recordFault(p, "given a file that is "+what)
		size, err := p.logFile.Seek(0, io.SeekEnd)
		if err != nil {
			return err
		}
		if err := g.startProcess(p); err != nil {
			return err
		}
		select {
		case <-p.exited:
		case <-time.After(10 * time.Second):
			return fmt.Errorf("%s serves from a file that is %s", p.name, what)
		}
		p.command = nil
		said, err := os.ReadFile(g.path(p.name + ".log"))
		if err != nil {
			return err
		}
		if !bytes.Contains(said[size:], []byte("record is ")) || !bytes.Contains(said[size:], []byte("fleet forget")) {
			return fmt.Errorf("%s doesn't say what is wrong with a file that is %s: %s", p.name, what, said[size:])
		}
	}
	if err := os.WriteFile(file, whole, 0o600); err != nil {
		return err
	}
	if err := g.startProcess(p); err != nil {
		return err
	}
	return g.awaitAllServing(15 * time.Second)
}

// runEmergency takes all engines inside away for longer than the rule says, sees the
// bound team's queries run at the further site, and gives them back.
func (g *faultFleet) runEmergency() error {
	tell := func(phase string) {
		var l []feed.Engine
		for _, e := range g.feedEngines {
			if e.Locality == "east" {
				e.Phase = phase
				l = append(l, e)
			}
		}
		g.mu.Lock()
		for _, e := range l {
			g.queryHistory.SetServing(g.elapsed(), e.ID, phase == "SERVING")
		}
		g.mu.Unlock()
		g.feed.Publish(false, l...)
	}
	g.mu.Lock()
	from := g.emergencyQueries
	g.fleetHistory.AllowSites(g.elapsed()+time.Second-g.fleetHistory.Slack, "linz", "west")
	g.faultCounts["all engines of a site lost"]++
	g.mu.Unlock()
	tell("DRAINING")
	err := g.waitFor(10*time.Second, "a bound team's queries at the further site", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.emergencyQueries > from+5
	})
	tell("SERVING")
	if err != nil {
		return err
	}
	err = g.waitFor(15*time.Second, "an end of the emergency", func() bool {
		for _, p := range g.members {
			if s := g.status(p); len(s.Emergencies) > 0 || !s.Serves {
				return false
			}
		}
		return true
	})
	g.mu.Lock()
	g.fleetHistory.RevokeSites(g.elapsed(), "linz")
	g.emergencies++
	g.mu.Unlock()
	return err
}

// voters has another controller vote in place of one that did, while clients ask.
func (g *faultFleet) replaceVoter() error {
	a := g.newChange(g.latestVersion, 0, false)
	text := string(a.Policy) + "voters:\n"
	for _, p := range append(slices.Clone(g.members[1:g.Voters]), g.members[g.Voters]) {
		text += fmt.Sprintf("  - {name: %s, address: %q}\n", p.name, p.peerAddress)
	}
	a.Policy = []byte(text)
	if word, err := g.awaitOutcome(a, 10*time.Second); err != nil || word != "in force" {
		return fmt.Errorf("the change of voters: %s %w", word, err)
	}
	voter := g.members[g.Voters]
	return g.waitFor(10*time.Second, voter.name+" votes", func() bool {
		for _, m := range g.status(g.leader()).Members {
			if m.Name == voter.name {
				return m.IsVoter
			}
		}
		return false
	})
}

// finish makes a last change, sees all act by it, has all words told once more and clients
// end, and says what was found broken.
func (g *faultFleet) finish() ([]string, error) {
	a := g.newChange(g.latestVersion, 0, false)
	if word, err := g.awaitOutcome(a, 10*time.Second); err != nil || word != "in force" {
		return nil, fmt.Errorf("the last change: %s %w", word, err)
	}
	for _, b := range g.changeRequests { // asking again by id gives the same word
		g.applyChange(g.members[g.rng.IntN(len(g.members))], &fleet.Request{Kind: "status", ID: b.ID, BaseVersion: b.BaseVersion, WaitMs: 300})
	}
	if err := g.waitFor(10*time.Second, "acts by the last version everywhere", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return !slices.ContainsFunc(g.observedVersions, func(l []versionObservation) bool { return len(l) == 0 || l[len(l)-1].version != g.latestVersion })
	}); err != nil {
		g.mu.Lock()
		g.fleetHistory.Faults = append(g.fleetHistory.Faults,
			historycheck.Fault{Kind: historycheck.PartialChange, Description: err.Error()})
		g.mu.Unlock()
	}
	close(g.stopClients)
	g.clients.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	broken := slices.Clone(g.queryHistory.Finish(g.elapsed()))
	for _, f := range g.fleetHistory.Faults {
		broken = append(broken, f.String())
	}
	if ok, why := historycheck.Linearizable(g.changeReports, 2*time.Second); !ok {
		f := historycheck.Fault{Kind: historycheck.Contradiction,
			Description: "there is no order of these words:\n" + why}
		g.fleetHistory.Faults = append(g.fleetHistory.Faults, f)
		broken = append(broken, f.String())
	}
	return broken, nil
}

func median(l []time.Duration) time.Duration {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[len(l)/2]
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureWithoutFaults has changes and a purge with nothing else going on, and gives what they cost.
func (g *faultFleet) measureWithoutFaults(n int) (hold, trip, sync, purge time.Duration, err error) {
	var holds, trips, syncs, purges []time.Duration
	if err := g.waitFor(5*time.Second, "asked everywhere", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return !slices.ContainsFunc(g.observedVersions, func(l []versionObservation) bool { return len(l) == 0 })
	}); err != nil {
		return 0, 0, 0, 0, err
	}
	for range n {
		a := g.newChange(g.latestVersion, 0, false)
		if word, err := g.awaitOutcome(a, 15*time.Second); err != nil || word != "in force" {
			return 0, 0, 0, 0, fmt.Errorf("%s: %s %w", a.ID, word, err)
		}
		version := g.latestVersion
		if err := g.waitFor(5*time.Second, "acts by it everywhere", func() bool { return len(g.switchHolds(version)) == len(g.members) }); err != nil {
			return 0, 0, 0, 0, err
		}
		holds = append(holds, g.switchHolds(version)...)
	}
	a := g.newChange(g.latestVersion, 0, true)
	if word, err := g.awaitOutcome(a, 15*time.Second); err != nil || word != "withdrawn" {
		return 0, 0, 0, 0, fmt.Errorf("what nobody can take is %s %w", word, err)
	}
	for _, team := range []string{"linz", "steyr"} {
		took, err := g.purgeTeam(g.leader(), team, 10*time.Second)
		if err != nil {
			return 0, 0, 0, 0, err
		}
		purges = append(purges, took)
	}
	f, err := os.Create(g.path("synced"))
	if err != nil {
		return 0, 0, 0, 0, err
	}
	defer f.Close()
	for range 15 {
		begin := time.Now()
		g.status(g.members[0])
		trips = append(trips, time.Since(begin)/2) // a greeting and the ask
		begin = time.Now()
		f.Write(make([]byte, 4096))
		if err := f.Sync(); err != nil {
			return 0, 0, 0, 0, err
		}
		syncs = append(syncs, time.Since(begin))
	}
	return median(holds), median(trips), median(syncs), median(purges), nil
}

// fleetThroughputRatio is the queries a second of a controller in a fleet of its own, beside one
// without, in short turns by turns.
func fleetThroughputRatio(ctx context.Context, program string, turns int, turn time.Duration) (float64, error) {
	t := &Trial{Program: program, Engines: 8, Seed: 1, ControllerLog: io.Discard}
	var rates [2]float64
	run := func(ctx context.Context, address string) (int64, error) {
		within, stop := context.WithTimeout(ctx, turn)
		defer stop()
		done := int64(0)
		var wg sync.WaitGroup
		faults := make([]error, 4)
		for i := range faults {
			wg.Go(func() { faults[i] = keepQueriesOpen(within, address, i, 16, &done) })
		}
		wg.Wait()
		return done, errors.Join(faults...)
	}
	var stages [2]*controllerTestbed
	for on := range stages {
		s, err := newControllerTestbed(ctx, program, t.Engines, trialEngineConfig(), t.ControllerLog, func(int, *engine.Server) {})
		if err != nil {
			return 0, err
		}
		defer s.close()
		stages[on] = s
		text := t.setupText(s.feedAddress, s.controllerAddress)
		if on == 1 {
			peer, err := loopback.FreeAddress()
			if err != nil {
				return 0, err
			}
			control, err := loopback.FreeAddress()
			if err != nil {
				return 0, err
			}
			keys := filepath.Join(s.dir, "keys")
			if err := os.WriteFile(keys, []byte(strings.Repeat("5e", 32)), 0o600); err != nil {
				return 0, err
			}
			text += fmt.Sprintf("fleet: {name: alone, listen: %q, control: %q, directory: %q, keys: %q, voters: [{name: try, address: %q}]}\n", peer, control,
				filepath.Join(s.dir, "fleet"), keys, peer)
		}
		if err := s.startController(text); err != nil {
			return 0, err
		}
	}
	for i := range turns + 1 {
		for on, s := range stages {
			n, err := run(ctx, s.controllerAddress)
			if err != nil {
				return 0, err
			}
			if i > 0 { // the first warms them up
				rates[on] += float64(n)
			}
		}
	}
	return rates[1] / max(rates[0], 1), nil
}

// MeasureFaultFleet is the measurement of a fleet, on real processes.
func MeasureFaultFleet(ctx context.Context, out io.Writer, program, plantedDir string, seed uint64, detail bool) error {
	t := FaultFleetConfig{Program: program, Voters: 3, Followers: 6, Seed: seed, Lease: time.Second}
	g, err := t.start(ctx)
	if err != nil {
		return err
	}
	defer g.close()
	fmt.Fprintf(out, "%d controllers serve after %.2f s\n", len(g.members), g.elapsed().Seconds())
	g.startAllClients()
	hold, trip, sync1, purge, err := g.measureWithoutFaults(6)
	if err != nil {
		return err
	}
	var others sync.WaitGroup
	var schedules *ScheduleResult
	others.Go(func() {
		l := &SchedulePlan{}
		l.AddRandom(seed*1000, 100, 5, 3, 6*time.Second, 2)
		l.AddRandom(seed*1000+500, 1, 100, 5, 3*time.Second, 6)
		l.AddMessageFaults(seed, 1+int(seed%7), 120, 11)
		schedules = l.Run(1, time.Now().Add(18*time.Second))
	})
	var found, planted int
	var lines []string
	others.Go(func() { found, planted, lines = detectPlantedFaults(ctx, plantedDir) })
	list := faultRounds()
	g.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, r := range list {
		if g.elapsed() > 29*time.Second {
			fmt.Fprintf(out, "no time for: %s\n", r.name)
			continue
		}
		begin := time.Now()
		if err := g.runRound(r); err != nil {
			return err
		}
		if detail {
			fmt.Fprintf(out, "%s: %.2f s\n", r.name, time.Since(begin).Seconds())
		}
	}
	for _, do := range []func() error{g.runEmergency, g.startFromDamagedRecord, g.replaceVoter} {
		if err := do(); err != nil {
			return err
		}
	}
	broken, err := g.finish()
	if err != nil {
		return err
	}
	others.Wait()
	g.close()
	ratio, err := fleetThroughputRatio(ctx, program, 5, 300*time.Millisecond)
	if err != nil {
		return err
	}
	faults := 0
	for _, kind := range slices.Sorted(maps.Keys(g.faultCounts)) {
		faults += g.faultCounts[kind]
		fmt.Fprintf(out, "%s: %d; ", kind, g.faultCounts[kind])
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, strings.Join(lines, "\n"))
	fmt.Fprintf(out, "schedules in virtual time: %d of up to 100 controllers, struck in %d states, %d changes, %d withdrawn, %d purges\n", schedules.Schedules,
		schedules.DistinctFaultStates(), schedules.Changes, schedules.Withdrawn, schedules.Purges)
	broken = append(broken, schedules.Violations...)
	f := &g.fleetHistory
	for _, b := range broken {
		fmt.Fprintf(out, "seed %d: %s\n", seed, b)
	}
	fmt.Fprintf(out, "measured controllers=%d faults=%d changes=%d withdrawn=%d mixed=%d half=%d false_word=%d purges=%d served_after=%d confirmed_wrongly=%d "+
		"bound_queries=%d crossed=%d emergencies=%d rules_broken=%d switch_hold_ms=%.1f round_trip_ms=%.2f sync_ms=%.2f purge_ms=%.0f on_off=%.3f "+
		"faults_found=%d/%d schedules=%d\n", len(g.members), faults, f.Changes, f.Withdrawn,
		f.Count(historycheck.StaleVersion), f.Count(historycheck.PartialChange),
		f.Count(historycheck.Contradiction), f.Purges, f.Count(historycheck.ServedAfterPurge),
		f.Count(historycheck.FalsePurge),
		f.Bound, f.Count(historycheck.PlacementFault), g.emergencies,
		len(g.queryHistory.Faults), toMilliseconds(hold), toMilliseconds(trip), toMilliseconds(sync1), toMilliseconds(purge), ratio, found, planted, schedules.Schedules)
	switch {
	case len(broken) > 0:
		return fmt.Errorf("%d things that must hold did not", len(broken))
	case found < planted:
		return errors.New("a planted fault was not found")
	case faults == 0 || f.Changes == 0 || f.Withdrawn == 0 || f.Purges == 0 || f.Bound == 0 || g.emergencies == 0 || schedules.DistinctFaultStates() == 0:
		return errors.New("something that must arise did not")
	}
	return nil
}

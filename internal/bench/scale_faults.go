package bench

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/emulator/faultproxy"
	"railrelay.dev/railrelay/internal/emulator/hollow"
)

// scaleFault is something that befalls the fleet while the policy changes.
type scaleFault struct {
	description string
	inject      func(*scaleFleet, *scalePhase) error
}

var scaleFaults map[string]*scaleFault

func init() { // the plays look the table up
	scaleFaults = map[string]*scaleFault{
		"killed":      {"a controller is killed", (*scaleFleet).killController},
		"paused":      {"a controller is stopped by SIGSTOP past its lease", (*scaleFleet).pauseController},
		"leader":      {"the leader is killed", (*scaleFleet).killLeader},
		"relay":       {"a relay is killed", (*scaleFleet).killRelay},
		"zone":        {"a zone's controllers are stopped at once and come back together", (*scaleFleet).restartZone},
		"restart":     {"100 controllers, or a sixth, are restarted within 10 s", (*scaleFleet).restartMany},
		slowDiskFault: {fmt.Sprintf("the disk of one voter, a hollow one, takes %v for each write", slowDiskWriteDelay), (*scaleFleet).slowVoterDisk},
		"regions":     {"the regions hear nothing of each other for two leases", (*scaleFleet).cutRegionsTemporarily},
	}
}

// ScaleFaults are the names of all faults with what they are, in order.
func ScaleFaults() (l []string) {
	for _, name := range slices.Sorted(maps.Keys(scaleFaults)) {
		l = append(l, name+": "+scaleFaults[name].description)
	}
	return l
}

// UnknownScaleFaultError is a fault that there is none of.
type UnknownScaleFaultError struct{ Name string }

func (e *UnknownScaleFaultError) Error() string { return fmt.Sprintf("no fault is called %q", e.Name) }

// Remedy says what to do.
func (e *UnknownScaleFaultError) Remedy() string {
	return "name some of " + fmt.Sprint(slices.Sorted(maps.Keys(scaleFaults)))
}

const (
	scaleSampleInterval  = time.Second // between two looks at each real one during a fault
	scaleRestartDuration = 10 * time.Second
	maxScaleRestarts     = 100

	slowDiskFault      = "disk"
	slowDiskWriteDelay = 200 * time.Millisecond
	slowDiskChanges    = 5
)

// runFaultPhase has it befall the fleet, and waits until all serve again.
func (f *scaleFleet) runFaultPhase(name string) (phase scalePhase, err error) {
	fault := scaleFaults[name]
	phase = scalePhase{Name: fault.description, IsFault: true}
	ctx, stop := context.WithCancel(f.ctx)
	f.startSampling(ctx)
	begin := time.Now()
	err = fault.inject(f, &phase)
	if err == nil {
		err = f.awaitAllServing()
	}
	phase.RecoveryTime = time.Since(begin)
	stop()
	f.samplers.Wait()
	if n := len(f.hollow); n > 0 {
		for at := begin.Add(time.Second); at.Before(time.Now()); at = at.Add(time.Second) {
			phase.ServingShares = append(phase.ServingShares, float64(f.checker.countServingAt(at))/float64(n))
		}
	}
	return phase, err
}

// startSampling sees how each real one serves again and again.
func (f *scaleFleet) startSampling(ctx context.Context) {
	for _, m := range f.real {
		f.samplers.Go(func() {
			for ctx.Err() == nil { // one that is stopped or down is asked in vain
				f.sampleStatus(ctx, m.name, m.process.operatorClient)
				sleep(ctx, scaleSampleInterval)
			}
		})
	}
}

// changePolicyInPhase asks for a change of the usual size and keeps what came of it.
func (f *scaleFleet) changePolicyInPhase(phase *scalePhase) error {
	c, err := f.changePolicy(f.PolicyBytes)
	if err == nil {
		phase.Changes = append(phase.Changes, c)
	}
	return err
}

// realWithoutRole are the real controllers that neither vote nor relay; voters that don't lead
// where there are none.
func (f *scaleFleet) realWithoutRole(leader *scaleMember) (l []*scaleMember) {
	for _, m := range f.real {
		if !m.isVoter && !m.isRelay {
			l = append(l, m)
		}
	}
	if len(l) > 0 {
		return l
	}
	return slices.DeleteFunc(slices.Clone(f.real), func(m *scaleMember) bool { return m == leader })
}

// pickRealWithoutRole draws a real controller that does nothing but follow.
func (f *scaleFleet) pickRealWithoutRole() (*scaleMember, error) {
	leader, err := f.findLeader()
	if err != nil {
		return nil, err
	}
	l := f.realWithoutRole(leader)
	return l[f.newRand(uint64(f.changeCount)+2).IntN(len(l))], nil
}

func (f *scaleFleet) killController(phase *scalePhase) error {
	m, err := f.pickRealWithoutRole()
	if err != nil {
		return err
	}
	return f.changePolicyWhileDown(phase, m)
}

// changePolicyWhileDown kills a process, changes the policy at once, and starts it again.
func (f *scaleFleet) changePolicyWhileDown(phase *scalePhase, m *scaleMember) error {
	m.process.kill()
	if err := f.changePolicyInPhase(phase); err != nil {
		return err
	}
	return m.process.start(f.ctx)
}

func (f *scaleFleet) killLeader(phase *scalePhase) error {
	leader, err := f.findLeader()
	if err != nil {
		return err
	}
	return f.changePolicyWhileDown(phase, leader)
}

func (f *scaleFleet) killRelay(phase *scalePhase) error {
	for _, m := range f.real {
		if m.isRelay {
			return f.changePolicyWhileDown(phase, m)
		}
	}
	return nil // there is none: nothing is changed, and the phase shows no change
}

func (f *scaleFleet) pauseController(phase *scalePhase) error {
	m, err := f.pickRealWithoutRole()
	if err != nil {
		return err
	}
	if err := m.process.pause(); err != nil {
		return err
	}
	err = f.changePolicyInPhase(phase)
	if resumed := m.process.resume(); err == nil {
		err = resumed
	}
	return err
}

// restartZone ends all of a zone that don't vote or relay, and starts them together.
func (f *scaleFleet) restartZone(phase *scalePhase) error {
	zone := f.real[len(f.real)-1].place.Zone
	var hollows []string
	var processes []*scaleMember
	for _, m := range f.members {
		switch {
		case m.place.Zone != zone || m.isVoter || m.isRelay:
		case m.process != nil:
			processes = append(processes, m)
		default:
			hollows = append(hollows, m.name)
		}
	}
	for _, m := range processes {
		m.process.kill()
	}
	if err := f.sendHollowAction(hollow.Stop, hollows); err != nil {
		return err
	}
	if err := f.changePolicyInPhase(phase); err != nil {
		return err
	}
	for _, m := range processes {
		if err := m.process.start(f.ctx); err != nil {
			return err
		}
	}
	if err := f.sendHollowAction(hollow.Start, hollows); err != nil {
		return err
	}
	return f.changePolicyInPhase(phase) // while they come back
}

// sendHollowAction has some hollow controllers do something; none: nobody.
func (f *scaleFleet) sendHollowAction(do string, names []string) error {
	if len(names) == 0 {
		return nil
	}
	return f.sendHollowCommand(hollow.Command{Do: do, Names: names})
}

// restartMany stops and starts 100, or a sixth of all, evenly over 10 s, with changes
// all the while.
func (f *scaleFleet) restartMany(phase *scalePhase) error {
	var names []string
	for _, m := range f.hollow {
		if !m.isVoter {
			names = append(names, m.name)
		}
	}
	names = names[:min(len(names), maxScaleRestarts, f.Controllers/6)]
	if len(names) == 0 {
		return nil
	}
	done := make(chan error, 1)
	go func() {
		var err error
		for _, name := range names {
			if err = f.sendHollowAction(hollow.Stop, []string{name}); err == nil {
				err = f.sendHollowAction(hollow.Start, []string{name})
			}
			if err != nil {
				break
			}
			sleep(f.ctx, scaleRestartDuration/time.Duration(len(names)))
		}
		done <- err
	}()
	for {
		select {
		case err := <-done:
			return err
		default:
		}
		if err := f.changePolicyInPhase(phase); err != nil {
			<-done
			return err
		}
		sleep(f.ctx, scaleSampleInterval)
	}
}

// cutRegionsTemporarily lets nothing pass between the regions for two leases, changes the policy
// meanwhile, and again once they hear each other.
func (f *scaleFleet) cutRegionsTemporarily(phase *scalePhase) error {
	if !f.LinkDelays {
		return &ScaleSizeError{"links", 0, "are none that could be cut"}
	}
	f.setRegionCut(true)
	if err := f.sendHollowCommand(hollow.Command{Do: hollow.Cut}); err != nil {
		return err
	}
	begin := time.Now()
	err := f.changePolicyInPhase(phase)
	sleep(f.ctx, 2*f.Lease-time.Since(begin))
	f.setRegionCut(false)
	if healed := f.sendHollowCommand(hollow.Command{Do: hollow.Heal}); err == nil {
		err = healed
	}
	if err != nil {
		return err
	}
	return f.changePolicyInPhase(phase)
}

// setRegionCut holds all up between processes of two regions, or lets it pass in its time.
func (f *scaleFleet) setRegionCut(cut bool) {
	if !cut {
		f.delayLinks()
		return
	}
	for _, a := range f.real {
		for _, b := range f.real {
			if a.place.Region != b.place.Region {
				f.mesh.SetFault(a.name, b.name, faultproxy.Fault{Kind: faultproxy.Cut, Silent: true})
			}
		}
	}
}

// slowVoterDisk has each write of a voter's record take long, changes the policy some times,
// and lets it go as before.
func (f *scaleFleet) slowVoterDisk(phase *scalePhase) error {
	voter := f.members[f.Voters-1].name
	if err := f.sendHollowCommand(hollow.Command{Do: hollow.Delay, Names: []string{voter}, Delay: slowDiskWriteDelay}); err != nil {
		return err
	}
	for range slowDiskChanges {
		if err := f.changePolicyInPhase(phase); err != nil {
			return err
		}
	}
	return f.sendHollowCommand(hollow.Command{Do: hollow.Delay, Names: []string{voter}, Delay: scaleWriteDelay})
}

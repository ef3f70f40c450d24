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

// scaleFault is a fault that is injected while the policy is changed.
type scaleFault struct {
	description string // also the name of the phase in the results
	inject      func(*scaleFleet, *scalePhase) error
}

// scaleFaults has the faults by the names that the flag --faults accepts.
var scaleFaults map[string]*scaleFault

func init() {
	scaleFaults = map[string]*scaleFault{
		"killed": {"a controller is killed", (*scaleFleet).killController},
		"paused": {"a controller is stopped by SIGSTOP past its lease", (*scaleFleet).pauseController},
		"leader": {"the leader is killed", (*scaleFleet).killLeader},
		"relay":  {"a relay is killed", (*scaleFleet).killRelay},
		"zone": {"a zone's controllers are stopped at once and come back together",
			(*scaleFleet).restartZone},
		"restart": {"100 controllers, or a sixth, are restarted within 10 s", (*scaleFleet).restartMany},
		slowDiskFault: {
			fmt.Sprintf("the disk of one voter, a hollow one, takes %v for each write", slowDiskWriteDelay),
			(*scaleFleet).slowVoterDisk},
		"regions": {"the regions hear nothing of each other for two leases",
			(*scaleFleet).cutRegionsTemporarily},
	}
}

// ScaleFaults returns the name and description of each fault, sorted by name.
func ScaleFaults() (lines []string) {
	for _, name := range slices.Sorted(maps.Keys(scaleFaults)) {
		lines = append(lines, name+": "+scaleFaults[name].description)
	}
	return lines
}

// UnknownScaleFaultError reports a fault name that isn't in scaleFaults.
type UnknownScaleFaultError struct{ Name string }

func (e *UnknownScaleFaultError) Error() string { return fmt.Sprintf("unknown fault %q", e.Name) }

// Remedy returns what an operator can do.
func (e *UnknownScaleFaultError) Remedy() string {
	return "use only the faults " + fmt.Sprint(slices.Sorted(maps.Keys(scaleFaults)))
}

const (
	scaleSampleInterval  = time.Second // between two status samples of a real controller during a fault
	scaleRestartDuration = 10 * time.Second
	maxScaleRestarts     = 100

	slowDiskFault      = "disk"
	slowDiskWriteDelay = 200 * time.Millisecond
	slowDiskChanges    = 5
)

// runFaultPhase injects a fault and waits until all controllers serve again.
func (f *scaleFleet) runFaultPhase(name string) (phase scalePhase, err error) {
	fault := scaleFaults[name]
	phase = scalePhase{Name: fault.description, IsFault: true}
	ctx, stop := context.WithCancel(f.ctx)
	f.startSampling(ctx)
	startedAt := time.Now()
	err = fault.inject(f, &phase)
	if err == nil {
		err = f.awaitAllServing()
	}
	phase.RecoveryTime = time.Since(startedAt)
	stop()
	f.samplers.Wait()
	if n := len(f.hollow); n > 0 {
		for at := startedAt.Add(time.Second); at.Before(time.Now()); at = at.Add(time.Second) {
			phase.ServingShares = append(phase.ServingShares, float64(f.checker.countServingAt(at))/float64(n))
		}
	}
	return phase, err
}

// startSampling samples the status of each real controller repeatedly until ctx is done.
func (f *scaleFleet) startSampling(ctx context.Context) {
	for _, m := range f.real {
		f.samplers.Go(func() {
			for ctx.Err() == nil { // also while the controller is paused or down: the request then fails
				f.sampleStatus(ctx, m.name, m.process.operatorClient)
				sleep(ctx, scaleSampleInterval)
			}
		})
	}
}

// changePolicyInPhase changes the policy to one of PolicyBytes and adds the result to the phase.
func (f *scaleFleet) changePolicyInPhase(phase *scalePhase) error {
	change, err := f.changePolicy(f.PolicyBytes)
	if err == nil {
		phase.Changes = append(phase.Changes, change)
	}
	return err
}

// realWithoutRole returns the real controllers that are neither voters nor relays. If there are none, it
// returns all real controllers except the leader.
func (f *scaleFleet) realWithoutRole(leader *scaleMember) (members []*scaleMember) {
	for _, m := range f.real {
		if !m.isVoter && !m.isRelay {
			members = append(members, m)
		}
	}
	if len(members) > 0 {
		return members
	}
	return slices.DeleteFunc(slices.Clone(f.real), func(m *scaleMember) bool { return m == leader })
}

// pickRealWithoutRole returns a random controller of realWithoutRole.
func (f *scaleFleet) pickRealWithoutRole() (*scaleMember, error) {
	leader, err := f.findLeader()
	if err != nil {
		return nil, err
	}
	members := f.realWithoutRole(leader)
	return members[f.newRand(uint64(f.changeCount)+2).IntN(len(members))], nil
}

func (f *scaleFleet) killController(phase *scalePhase) error {
	m, err := f.pickRealWithoutRole()
	if err != nil {
		return err
	}
	return f.changePolicyWhileDown(phase, m)
}

// changePolicyWhileDown kills a controller, changes the policy at once, and starts the controller again.
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
	return nil // the fleet has no relays: the phase has no change, which the results show
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
	if resumeErr := m.process.resume(); err == nil {
		err = resumeErr
	}
	return err
}

// restartZone stops all controllers of a zone except voters and relays, changes the policy, and starts all of
// them again. It changes the policy once more while they start.
func (f *scaleFleet) restartZone(phase *scalePhase) error {
	zone := f.real[len(f.real)-1].place.Zone
	var hollowNames []string
	var processes []*scaleMember
	for _, m := range f.members {
		switch {
		case m.place.Zone != zone || m.isVoter || m.isRelay:
		case m.process != nil:
			processes = append(processes, m)
		default:
			hollowNames = append(hollowNames, m.name)
		}
	}
	for _, m := range processes {
		m.process.kill()
	}
	if err := f.sendHollowAction(hollow.Stop, hollowNames); err != nil {
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
	if err := f.sendHollowAction(hollow.Start, hollowNames); err != nil {
		return err
	}
	return f.changePolicyInPhase(phase)
}

// sendHollowAction sends an action to the hollow controllers with some names. Without names it does
// nothing, because a command without names would go to all hollow controllers.
func (f *scaleFleet) sendHollowAction(action string, names []string) error {
	if len(names) == 0 {
		return nil
	}
	return f.sendHollowCommand(hollow.Command{Do: action, Names: names})
}

// restartMany restarts 100 hollow controllers, or a sixth of the fleet if that is fewer, evenly spread
// over 10 s. Meanwhile it changes the policy again and again. Voters aren't restarted.
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

// cutRegionsTemporarily holds all messages between the regions for two leases. It changes the policy
// during the cut and again afterwards.
func (f *scaleFleet) cutRegionsTemporarily(phase *scalePhase) error {
	if !f.LinkDelays {
		return &ScaleSizeError{"links", 0, "means that there are no links to cut"}
	}
	f.setRegionCut(true)
	if err := f.sendHollowCommand(hollow.Command{Do: hollow.Cut}); err != nil {
		return err
	}
	startedAt := time.Now()
	err := f.changePolicyInPhase(phase)
	sleep(f.ctx, 2*f.Lease-time.Since(startedAt))
	f.setRegionCut(false)
	if healErr := f.sendHollowCommand(hollow.Command{Do: hollow.Heal}); err == nil {
		err = healErr
	}
	if err != nil {
		return err
	}
	return f.changePolicyInPhase(phase)
}

// setRegionCut holds all bytes between real controllers of different regions, or restores the latencies
// of their links.
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

// slowVoterDisk makes each write to a hollow voter's log take slowDiskWriteDelay, changes the policy
// slowDiskChanges times, and restores the former delay.
func (f *scaleFleet) slowVoterDisk(phase *scalePhase) error {
	voter := f.members[f.Voters-1].name
	if err := f.sendHollowCommand(hollow.Command{Do: hollow.Delay, Names: []string{voter},
		Delay: slowDiskWriteDelay}); err != nil {
		return err
	}
	for range slowDiskChanges {
		if err := f.changePolicyInPhase(phase); err != nil {
			return err
		}
	}
	return f.sendHollowCommand(hollow.Command{Do: hollow.Delay, Names: []string{voter}, Delay: scaleWriteDelay})
}

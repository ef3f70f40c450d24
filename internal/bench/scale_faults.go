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
	about string
	play  func(*scaleFleet, *scalePhase) error
}

var scaleFaults map[string]*scaleFault

func init() { // the plays look the table up
	scaleFaults = map[string]*scaleFault{
		"killed":      {"a controller is killed", (*scaleFleet).controllerKilled},
		"paused":      {"a controller is stopped by SIGSTOP past its lease", (*scaleFleet).controllerPaused},
		"leader":      {"the leader is killed", (*scaleFleet).leaderKilled},
		"relay":       {"a relay is killed", (*scaleFleet).relayKilled},
		"zone":        {"a zone's controllers are stopped at once and come back together", (*scaleFleet).zoneStopped},
		"restart":     {"100 controllers, or a sixth, are restarted within 10 s", (*scaleFleet).manyRestarted},
		slowDiskFault: {fmt.Sprintf("the disk of one voter, a hollow one, takes %v for each write", slowWrite), (*scaleFleet).diskSlowed},
		"regions":     {"the regions hear nothing of each other for two leases", (*scaleFleet).regionsCut},
	}
}

// ScaleFaults are the names of all faults with what they are, in order.
func ScaleFaults() (l []string) {
	for _, name := range slices.Sorted(maps.Keys(scaleFaults)) {
		l = append(l, name+": "+scaleFaults[name].about)
	}
	return l
}

// ScaleFaultError is a fault that there is none of.
type ScaleFaultError struct{ Name string }

func (e *ScaleFaultError) Error() string { return fmt.Sprintf("no fault is called %q", e.Name) }

// Remedy says what to do.
func (e *ScaleFaultError) Remedy() string {
	return "name some of " + fmt.Sprint(slices.Sorted(maps.Keys(scaleFaults)))
}

const (
	samplePause   = time.Second // between two looks at each real one during a fault
	restartWithin = 10 * time.Second
	restartMost   = 100

	slowDiskFault = "disk"
	slowWrite     = 200 * time.Millisecond
	slowChanges   = 5
)

// playFault has it befall the fleet, and waits until all serve again.
func (f *scaleFleet) playFault(name string) (phase scalePhase, err error) {
	fault := scaleFaults[name]
	phase = scalePhase{Name: fault.about, Fault: true}
	ctx, stop := context.WithCancel(f.ctx)
	f.sampleDuring(ctx)
	begin := time.Now()
	err = fault.play(f, &phase)
	if err == nil {
		err = f.awaitAll()
	}
	phase.Back = time.Since(begin)
	stop()
	f.running.Wait()
	if n := len(f.hollow); n > 0 {
		for at := begin.Add(time.Second); at.Before(time.Now()); at = at.Add(time.Second) {
			phase.Serving = append(phase.Serving, float64(f.judge.servingAt(at))/float64(n))
		}
	}
	return phase, err
}

// sampleDuring sees how each real one serves again and again.
func (f *scaleFleet) sampleDuring(ctx context.Context) {
	for _, m := range f.real {
		f.running.Go(func() {
			for ctx.Err() == nil { // one that is stopped or down is asked in vain
				f.sample(ctx, m.name, m.process.operatorClient)
				sleep(ctx, samplePause)
			}
		})
	}
}

// changeDuring asks for a change of the usual size and keeps what came of it.
func (f *scaleFleet) changeDuring(phase *scalePhase) error {
	c, err := f.change(f.PolicyBytes)
	if err == nil {
		phase.Changes = append(phase.Changes, c)
	}
	return err
}

// plainReal are the real controllers that neither vote nor relay; voters that don't lead
// where there are none.
func (f *scaleFleet) plainReal(leader *scaleMember) (l []*scaleMember) {
	for _, m := range f.real {
		if !m.votes && !m.relay {
			l = append(l, m)
		}
	}
	if len(l) > 0 {
		return l
	}
	return slices.DeleteFunc(slices.Clone(f.real), func(m *scaleMember) bool { return m == leader })
}

// anyPlain draws a real controller that does nothing but follow.
func (f *scaleFleet) anyPlain() (*scaleMember, error) {
	leader, err := f.leader()
	if err != nil {
		return nil, err
	}
	l := f.plainReal(leader)
	return l[f.random(uint64(f.serial)+2).IntN(len(l))], nil
}

func (f *scaleFleet) controllerKilled(phase *scalePhase) error {
	m, err := f.anyPlain()
	if err != nil {
		return err
	}
	return f.killedDuring(phase, m)
}

// killedDuring kills a process, changes the policy at once, and starts it again.
func (f *scaleFleet) killedDuring(phase *scalePhase, m *scaleMember) error {
	m.process.kill()
	if err := f.changeDuring(phase); err != nil {
		return err
	}
	return m.process.start(f.ctx)
}

func (f *scaleFleet) leaderKilled(phase *scalePhase) error {
	leader, err := f.leader()
	if err != nil {
		return err
	}
	return f.killedDuring(phase, leader)
}

func (f *scaleFleet) relayKilled(phase *scalePhase) error {
	for _, m := range f.real {
		if m.relay {
			return f.killedDuring(phase, m)
		}
	}
	return nil // there is none: nothing is changed, and the phase shows no change
}

func (f *scaleFleet) controllerPaused(phase *scalePhase) error {
	m, err := f.anyPlain()
	if err != nil {
		return err
	}
	if err := m.process.pause(); err != nil {
		return err
	}
	err = f.changeDuring(phase)
	if resumed := m.process.resume(); err == nil {
		err = resumed
	}
	return err
}

// zoneStopped ends all of a zone that don't vote or relay, and starts them together.
func (f *scaleFleet) zoneStopped(phase *scalePhase) error {
	zone := f.real[len(f.real)-1].place.Zone
	var hollows []string
	var processes []*scaleMember
	for _, m := range f.members {
		switch {
		case m.place.Zone != zone || m.votes || m.relay:
		case m.process != nil:
			processes = append(processes, m)
		default:
			hollows = append(hollows, m.name)
		}
	}
	for _, m := range processes {
		m.process.kill()
	}
	if err := f.commandHollow(hollow.Stop, hollows); err != nil {
		return err
	}
	if err := f.changeDuring(phase); err != nil {
		return err
	}
	for _, m := range processes {
		if err := m.process.start(f.ctx); err != nil {
			return err
		}
	}
	if err := f.commandHollow(hollow.Start, hollows); err != nil {
		return err
	}
	return f.changeDuring(phase) // while they come back
}

// commandHollow has some hollow controllers do something; none: nobody.
func (f *scaleFleet) commandHollow(do string, names []string) error {
	if len(names) == 0 {
		return nil
	}
	return f.tellHollow(hollow.Command{Do: do, Names: names})
}

// manyRestarted stops and starts 100, or a sixth of all, evenly over 10 s, with changes
// all the while.
func (f *scaleFleet) manyRestarted(phase *scalePhase) error {
	var names []string
	for _, m := range f.hollow {
		if !m.votes {
			names = append(names, m.name)
		}
	}
	names = names[:min(len(names), restartMost, f.Controllers/6)]
	if len(names) == 0 {
		return nil
	}
	done := make(chan error, 1)
	go func() {
		var err error
		for _, name := range names {
			if err = f.commandHollow(hollow.Stop, []string{name}); err == nil {
				err = f.commandHollow(hollow.Start, []string{name})
			}
			if err != nil {
				break
			}
			sleep(f.ctx, restartWithin/time.Duration(len(names)))
		}
		done <- err
	}()
	for {
		select {
		case err := <-done:
			return err
		default:
		}
		if err := f.changeDuring(phase); err != nil {
			<-done
			return err
		}
		sleep(f.ctx, samplePause)
	}
}

// regionsCut lets nothing pass between the regions for two leases, changes the policy
// meanwhile, and again once they hear each other.
func (f *scaleFleet) regionsCut(phase *scalePhase) error {
	if !f.Linked {
		return &ScaleSizeError{"links", 0, "are none that could be cut"}
	}
	f.cutRegions(true)
	if err := f.tellHollow(hollow.Command{Do: hollow.Cut}); err != nil {
		return err
	}
	begin := time.Now()
	err := f.changeDuring(phase)
	sleep(f.ctx, 2*f.Lease-time.Since(begin))
	f.cutRegions(false)
	if healed := f.tellHollow(hollow.Command{Do: hollow.Heal}); err == nil {
		err = healed
	}
	if err != nil {
		return err
	}
	return f.changeDuring(phase)
}

// cutRegions holds all up between processes of two regions, or lets it pass in its time.
func (f *scaleFleet) cutRegions(cut bool) {
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

// diskSlowed has each write of a voter's record take long, changes the policy some times,
// and lets it go as before.
func (f *scaleFleet) diskSlowed(phase *scalePhase) error {
	voter := f.members[f.Voters-1].name
	if err := f.tellHollow(hollow.Command{Do: hollow.Delay, Names: []string{voter}, Delay: slowWrite}); err != nil {
		return err
	}
	for range slowChanges {
		if err := f.changeDuring(phase); err != nil {
			return err
		}
	}
	return f.tellHollow(hollow.Command{Do: hollow.Delay, Names: []string{voter}, Delay: storeDelay})
}

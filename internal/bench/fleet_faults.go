package bench

import (
	"time"
)

// injectFault applies a fault to the fleet and schedules its end.
func (f *fleetRun) injectFault(fault FleetFault) {
	f.tracef("%v", fault)
	f.result.FaultCounts[fault.Kind]++
	var e *fleetEngine
	for _, candidate := range f.engines {
		if candidate.slot == fault.Engine && !candidate.removed {
			e = candidate
		}
	}
	switch fault.Kind {
	case fleetLinkCut:
		for _, number := range fault.Controllers {
			link := f.controllers[number].links[fault.Engine]
			link.cuts++
			f.scheduleAfter(fault.Duration, func() {
				if link.cuts--; link.cuts > 0 {
					return
				}
				held := link.held
				link.held = nil
				for _, deliver := range held {
					deliver()
				}
			})
		}
	case fleetControllerStall:
		for _, number := range fault.Controllers {
			c := f.controllers[number]
			c.stalledUntil = max(c.stalledUntil, f.now+fault.Duration)
			f.scheduleAt(c.stalledUntil, c.resume)
		}
	case fleetEngineSlow:
		e.slowUntil = f.now + fault.Duration
	case fleetConnectionResets:
		for range 1 + int(fault.Duration/(200*time.Millisecond)) {
			f.scheduleAfter(time.Duration(f.rng.Int64N(int64(fault.Duration))), func() {
				if !e.down && !e.Unreachable() && !e.removed {
					e.Reset(f.now, false)
				}
			})
		}
	case fleetEngineUnreachable:
		if !e.down && !e.Unreachable() {
			e.SetUnreachable(f.now, true)
			var advance func()
			// The queries of the engine continue to run, and the engine abandons them since nothing polls them.
			advance = func() {
				if e.Advance(f.now); e.Unreachable() {
					f.scheduleAfter(20*time.Millisecond, advance)
				}
			}
			advance()
			f.scheduleAfter(fault.Duration, func() {
				if !e.removed && !e.down {
					e.SetUnreachable(f.now, false)
					e.ProcessDue(f.now)
					e.scheduleWakeup()
				}
			})
		}
	case fleetEngineCrash:
		if !e.down {
			e.crash()
			f.scheduleAfter(fault.Duration/2, func() {
				if !e.removed {
					e.restart()
				}
			})
		}
	case fleetEngineDrain:
		if e.Phase == "SERVING" {
			f.publish(e, "DRAINING")
			f.scheduleAfter(fault.Duration, func() {
				if !e.removed {
					f.publish(e, "SERVING")
				}
			})
		}
	case fleetEngineReplace, fleetEngineTakeover:
		delay := time.Duration(0)
		if fault.Kind == fleetEngineReplace {
			f.publish(e, "DRAINING")
			delay = min(fault.Duration, 3*time.Second)
		}
		f.scheduleAfter(delay, func() {
			if e.removed {
				return
			}
			e.crash()
			e.removed = true
			successor := f.addEngine(e.slot, true)
			f.publish(e, "DELETED")
			f.publish(successor, "SERVING")
		})
	}
}

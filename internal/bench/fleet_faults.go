package bench

import (
	"time"
)

// injectFault has an ill come over the fleet.
func (f *fleetRun) injectFault(i FleetFault) {
	f.tracef("%v", i)
	f.result.FaultCounts[i.Kind]++
	var e *fleetEngine
	for _, x := range f.engines {
		if x.slot == i.Engine && !x.removed {
			e = x
		}
	}
	switch i.Kind {
	case "cut":
		for _, n := range i.Controllers {
			w := f.controllers[n].links[i.Engine]
			w.cuts++
			f.scheduleAfter(i.Duration, func() {
				if w.cuts--; w.cuts > 0 {
					return
				}
				lying := w.held
				w.held = nil
				for _, do := range lying {
					do()
				}
			})
		}
	case "stall":
		for _, n := range i.Controllers {
			c := f.controllers[n]
			c.stalledUntil = max(c.stalledUntil, f.now+i.Duration)
			f.scheduleAt(c.stalledUntil, c.resume)
		}
	case "sluggish":
		e.slowUntil = f.now + i.Duration
	case "storm":
		for range 1 + int(i.Duration/(200*time.Millisecond)) {
			f.scheduleAfter(time.Duration(f.rng.Int64N(int64(i.Duration))), func() {
				if !e.down && !e.Unreachable() && !e.removed {
					e.Reset(f.now, false)
				}
			})
		}
	case "vanish":
		if !e.down && !e.Unreachable() {
			e.SetUnreachable(f.now, true)
			var goes func()
			goes = func() { // what it has runs on, and is forgotten unasked
				if e.Advance(f.now); e.Unreachable() {
					f.scheduleAfter(20*time.Millisecond, goes)
				}
			}
			goes()
			f.scheduleAfter(i.Duration, func() {
				if !e.removed && !e.down {
					e.SetUnreachable(f.now, false)
					e.ProcessDue(f.now)
					e.scheduleWakeup()
				}
			})
		}
	case "crash":
		if !e.down {
			e.crash()
			f.scheduleAfter(i.Duration/2, func() {
				if !e.removed {
					e.restart()
				}
			})
		}
	case "drain":
		if e.Phase == "SERVING" {
			f.publish(e, "DRAINING")
			f.scheduleAfter(i.Duration, func() {
				if !e.removed {
					f.publish(e, "SERVING")
				}
			})
		}
	case "replace", "takenover":
		wait := time.Duration(0)
		if i.Kind == "replace" {
			f.publish(e, "DRAINING")
			wait = min(i.Duration, 3*time.Second)
		}
		f.scheduleAfter(wait, func() {
			if e.removed {
				return
			}
			e.crash()
			e.removed = true
			next := f.addEngine(e.slot, true)
			f.publish(e, "DELETED")
			f.publish(next, "SERVING")
		})
	}
}

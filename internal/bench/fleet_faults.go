package bench

import (
	"time"
)

// befalls has an ill come over the fleet.
func (f *fleetRun) befalls(i Ill) {
	f.say("%v", i)
	f.out.Took[i.Kind]++
	var e *fleetEngine
	for _, x := range f.engines {
		if x.place == i.Engine && !x.dead {
			e = x
		}
	}
	switch i.Kind {
	case "cut":
		for _, n := range i.Controllers {
			w := f.all[n].ways[i.Engine]
			w.cut++
			f.after(i.For, func() {
				if w.cut--; w.cut > 0 {
					return
				}
				lying := w.lying
				w.lying = nil
				for _, do := range lying {
					do()
				}
			})
		}
	case "stall":
		for _, n := range i.Controllers {
			c := f.all[n]
			c.stalled = max(c.stalled, f.now+i.For)
			f.at(c.stalled, c.goesOn)
		}
	case "sluggish":
		e.sluggish = f.now + i.For
	case "storm":
		for range 1 + int(i.For/(200*time.Millisecond)) {
			f.after(time.Duration(f.rng.Int64N(int64(i.For))), func() {
				if !e.down && !e.Unreachable() && !e.dead {
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
					f.after(20*time.Millisecond, goes)
				}
			}
			goes()
			f.after(i.For, func() {
				if !e.dead && !e.down {
					e.SetUnreachable(f.now, false)
					e.ProcessDue(f.now)
					e.wake()
				}
			})
		}
	case "crash":
		if !e.down {
			e.dies()
			f.after(i.For/2, func() {
				if !e.dead {
					e.back()
				}
			})
		}
	case "drain":
		if e.Phase == "SERVING" {
			f.tell(e, "DRAINING")
			f.after(i.For, func() {
				if !e.dead {
					f.tell(e, "SERVING")
				}
			})
		}
	case "replace", "takenover":
		wait := time.Duration(0)
		if i.Kind == "replace" {
			f.tell(e, "DRAINING")
			wait = min(i.For, 3*time.Second)
		}
		f.after(wait, func() {
			if e.dead {
				return
			}
			e.dies()
			e.dead = true
			next := f.add(e.place, true)
			f.tell(e, "DELETED")
			f.tell(next, "SERVING")
		})
	}
}

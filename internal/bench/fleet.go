package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/feed"
	"railrelay.dev/railrelay/internal/historycheck"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// Ill is something that befalls a fleet.
type Ill struct {
	Kind        string // cut, stall, sluggish, crash, vanish, replace, drain, storm, takenover
	At, For     time.Duration
	Engine      int
	Controllers []int // cut: those behind it; stall: those that stand still
}

func (i Ill) String() string {
	return fmt.Sprintf("%s at %v for %v, engine %d, controllers %v", i.Kind, i.At, i.For, i.Engine, i.Controllers)
}

// FleetDay is a fleet of controllers that share nothing, its engines, what is asked of it
// and what befalls it. The same day plays the same way.
type FleetDay struct {
	Seed                 uint64
	Controllers, Engines int
	Facts                map[string]string
	Load                 float64       // of what all engines can do
	Long                 time.Duration // of the load; it is played until all is over
	Calls                float64       // the part of calls that something befalls on their way
	Lag                  time.Duration // the most by which the list comes late
	Ills                 []Ill
	Traced               bool
}

// DrawFleet draws a day.
func DrawFleet(seed uint64) FleetDay {
	rng := rand.New(rand.NewPCG(seed, 21))
	pick := func(l ...string) string { return l[rng.IntN(len(l))] }
	d := FleetDay{Seed: seed, Controllers: 2 + rng.IntN(5), Engines: 2 + rng.IntN(6), Load: 0.2 + 0.5*rng.Float64(),
		Long: 8 * time.Second, Calls: 0.02 * rng.Float64(), Lag: time.Duration(rng.IntN(3000)) * time.Millisecond}
	d.Facts = map[string]string{"may.cancel": pick("true", "true", "false"), "may.copy": pick("true", "false"), "may.probe": pick("true", "true", "false"),
		"may.name-return": pick("true", "false"), "report.how": pick("probed", "probed", "off"), "locations": pick("here", "here,there"),
		"submissions.most": pick("1", "2", "3"), "group.1.effect": pick("read-only", "tokened"), "group.1.scope": pick("all", "location"),
		"group.2.in-order": pick("true", "true", "true", "false"), "may.grant": pick("true", "false"), "memory.short": pick("swap", "queue"),
		"key.rest": pick("0", "300", "800")}
	if rng.IntN(3) == 0 && d.Facts["locations"] == "here,there" {
		d.Facts["group.0.locations"] = "here"
	}
	for range 3 + rng.IntN(8) {
		i := Ill{Kind: pick("cut", "cut", "cut", "stall", "stall", "sluggish", "sluggish", "crash", "vanish", "replace", "takenover", "drain", "storm"),
			At: time.Duration(500+rng.IntN(7000)) * time.Millisecond, For: time.Duration(50+rng.IntN(4000)) * time.Millisecond,
			Engine: rng.IntN(d.Engines)}
		for c := range d.Controllers {
			if rng.IntN(2) == 0 && (i.Kind != "stall" || len(i.Controllers) < max(1, d.Controllers/3)) {
				i.Controllers = append(i.Controllers, c)
			}
		}
		d.Ills = append(d.Ills, i)
	}
	return d
}

// FleetPlayed is what came of a day.
type FleetPlayed struct {
	Broken             []string
	Ordered            int // runs that a later query of their key was held against
	Late               int // calls taken up after their line was gone
	Asked, Served      int
	ColdWorst          float64  // the most that a cold engine was sent, of what the rule lets it be sent
	ColdOver           int      // how often that was over 1
	ColdWork, ColdAble float64  // core seconds sent to cold ones, and what they could do meanwhile
	Trace              []string // the last of what happened
	Took               map[string]int
	Arrivals           time.Duration // what controllers took for queries as they came
}

type fleetRun struct {
	FleetDay
	now     time.Duration
	rng     *rand.Rand
	events  timerqueue.Queue
	all     []*fleetController
	engines []*fleetEngine
	byAddr  map[string]*fleetEngine
	log     feed.Log
	told    []fleetTold
	out     FleetPlayed
	facts   map[string]string
	quiet   bool
	byID    map[string]*fleetController
}

// fleetTold is an event of the list.
type fleetTold struct {
	e  *fleetEngine
	on bool
	up int64
}

// The clock of the list's times at the start of a day.
const fleetEpoch = 1_700_000_000_000

// Play plays a day to its end.
func (d FleetDay) Play() *FleetPlayed {
	f := &fleetRun{FleetDay: d, rng: rand.New(rand.NewPCG(d.Seed, 22)), byAddr: map[string]*fleetEngine{}, byID: map[string]*fleetController{}}
	f.out.Took = map[string]int{}
	kinds := DefaultWorkload()
	figures := engine.DefaultConfig()
	figures.DiskParallelism = 16
	f.facts = ControllerSettings(kinds, figures)
	f.facts["gateways"] = strconv.Itoa(d.Controllers)
	for k, v := range d.Facts {
		f.facts[k] = v
	}
	for i := range d.Engines {
		f.add(i, false)
	}
	var list []feed.Engine
	for _, e := range f.engines {
		list = append(list, e.Engine)
		f.told = append(f.told, fleetTold{}) // the whole list is one event; those of one engine follow
	}
	f.told = f.told[:1]
	f.log.Append(true, list...)
	for n := range d.Controllers {
		f.start(n)
	}
	mean := 0.0
	for _, k := range kinds {
		mean += k.Share * k.CPU.Seconds()
	}
	rate := d.Load * float64(d.Engines) * figures.Cores / mean / float64(d.Controllers)
	for _, c := range f.all {
		c.asks(kinds, rate)
	}
	for _, ill := range d.Ills {
		f.at(ill.At, func() { f.befalls(ill) })
	}
	f.until(d.Long + 40*time.Second)
	for _, c := range f.all {
		if len(c.waiting) == 0 {
			c.history.Finish(f.now)
		}
		f.out.Broken = append(f.out.Broken, c.history.Faults...)
		f.out.Ordered += c.history.OrderChecks
		f.out.Served += c.history.Answers[historycheck.Finished]
	}
	f.coldUse()
	return &f.out
}

// say keeps the last of what happened, up to where a rule was first broken.
func (f *fleetRun) say(format string, more ...any) {
	if !f.Traced || f.quiet {
		return
	}
	f.out.Trace = append(f.out.Trace, f.now.String()+" "+fmt.Sprintf(format, more...))
	f.quiet = slices.ContainsFunc(f.all, func(c *fleetController) bool { return len(c.history.Faults) > 0 })
	if !f.quiet && len(f.out.Trace) > 4000 {
		f.out.Trace = append([]string{}, f.out.Trace[2000:]...)
	}
}

func (f *fleetRun) at(at time.Duration, do func())      { f.events.Add(max(at, f.now), do) }
func (f *fleetRun) after(span time.Duration, do func()) { f.at(f.now+span, do) }

func (f *fleetRun) until(end time.Duration) {
	for at, ok := f.events.NextDue(); ok && at <= end; at, ok = f.events.NextDue() {
		f.now = at
		do, _ := f.events.PopDue(at)
		do()
	}
	f.now = end
}

// Shortest is the least that still breaks a rule: without the ills and the time that it
// doesn't need.
func (d FleetDay) Shortest() FleetDay {
	breaks := func(x FleetDay) bool { return len(x.Play().Broken) > 0 }
	for _, long := range []time.Duration{d.Long / 4, d.Long / 2, d.Long * 3 / 4} {
		x := d
		x.Long = long
		if breaks(x) {
			d = x
			break
		}
	}
	for i := len(d.Ills) - 1; i >= 0; i-- {
		x := d
		x.Ills = slices.Delete(slices.Clone(d.Ills), i, i+1)
		if breaks(x) {
			d = x
		}
	}
	return d
}

// MassRestart is a fleet half of whose engines start anew, cold, within seven seconds.
func MassRestart(seed uint64, controllers, engines int) FleetDay {
	d := FleetDay{Seed: seed, Controllers: controllers, Engines: engines, Load: 0.6, Long: 18 * time.Second, Lag: 1500 * time.Millisecond}
	for i := range engines / 2 {
		d.Ills = append(d.Ills, Ill{Kind: "crash", At: 5*time.Second + time.Duration(i)*7*time.Second/time.Duration(engines/2), For: 2 * time.Second, Engine: i})
	}
	return d
}

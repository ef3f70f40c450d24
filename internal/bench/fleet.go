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

// FleetFault is something that befalls a fleet.
type FleetFault struct {
	Kind         string // cut, stall, sluggish, crash, vanish, replace, drain, storm, takenover
	At, Duration time.Duration
	Engine       int
	Controllers  []int // cut: those behind it; stall: those that stand still
}

func (i FleetFault) String() string {
	return fmt.Sprintf("%s at %v for %v, engine %d, controllers %v", i.Kind, i.At, i.Duration, i.Engine, i.Controllers)
}

// FleetScenario is a fleet of controllers that share nothing, its engines, what is asked of it
// and what befalls it. The same day plays the same way.
type FleetScenario struct {
	Seed                         uint64
	ControllerCount, EngineCount int
	SettingOverrides             map[string]string
	Utilization                  float64       // of what all engines can do
	LoadDuration                 time.Duration // of the load; it is played until all is over
	RequestFaultRate             float64       // the part of calls that something befalls on their way
	MaxDiscoveryLag              time.Duration // the most by which the list comes late
	Faults                       []FleetFault
	KeepTrace                    bool
}

// RandomFleetScenario draws a day.
func RandomFleetScenario(seed uint64) FleetScenario {
	rng := rand.New(rand.NewPCG(seed, 21))
	pick := func(l ...string) string { return l[rng.IntN(len(l))] }
	d := FleetScenario{Seed: seed, ControllerCount: 2 + rng.IntN(5), EngineCount: 2 + rng.IntN(6), Utilization: 0.2 + 0.5*rng.Float64(),
		LoadDuration: 8 * time.Second, RequestFaultRate: 0.02 * rng.Float64(), MaxDiscoveryLag: time.Duration(rng.IntN(3000)) * time.Millisecond}
	d.SettingOverrides = map[string]string{"may.cancel": pick("true", "true", "false"), "may.copy": pick("true", "false"), "may.probe": pick("true", "true", "false"),
		"may.name-return": pick("true", "false"), "report.how": pick("probed", "probed", "off"), "locations": pick("here", "here,there"),
		"submissions.most": pick("1", "2", "3"), "group.1.effect": pick("read-only", "tokened"), "group.1.scope": pick("all", "location"),
		"group.2.in-order": pick("true", "true", "true", "false"), "may.grant": pick("true", "false"), "memory.short": pick("swap", "queue"),
		"key.rest": pick("0", "300", "800")}
	if rng.IntN(3) == 0 && d.SettingOverrides["locations"] == "here,there" {
		d.SettingOverrides["group.0.locations"] = "here"
	}
	for range 3 + rng.IntN(8) {
		i := FleetFault{Kind: pick("cut", "cut", "cut", "stall", "stall", "sluggish", "sluggish", "crash", "vanish", "replace", "takenover", "drain", "storm"),
			At: time.Duration(500+rng.IntN(7000)) * time.Millisecond, Duration: time.Duration(50+rng.IntN(4000)) * time.Millisecond,
			Engine: rng.IntN(d.EngineCount)}
		for c := range d.ControllerCount {
			if rng.IntN(2) == 0 && (i.Kind != "stall" || len(i.Controllers) < max(1, d.ControllerCount/3)) {
				i.Controllers = append(i.Controllers, c)
			}
		}
		d.Faults = append(d.Faults, i)
	}
	return d
}

// FleetResult is what came of a day.
type FleetResult struct {
	Violations             []string
	OrderChecks            int // runs that a later query of their key was held against
	LateDeliveries         int // calls taken up after their line was gone
	Queries, Finished      int
	MaxColdBudgetUse       float64  // the most that a cold engine was sent, of what the rule lets it be sent
	ColdBudgetExceeded     int      // how often that was over 1
	ColdWork, ColdCapacity float64  // core seconds sent to cold ones, and what they could do meanwhile
	Trace                  []string // the last of what happened
	FaultCounts            map[string]int
	ArrivalTime            time.Duration // what controllers took for queries as they came
}

type fleetRun struct {
	FleetScenario
	now                time.Duration
	rng                *rand.Rand
	events             timerqueue.Queue
	controllers        []*fleetController
	engines            []*fleetEngine
	enginesByAddress   map[string]*fleetEngine
	discoveryLog       feed.Log
	logEvents          []fleetLogEvent
	result             FleetResult
	settings           map[string]string
	traceEnded         bool
	controllersByQuery map[string]*fleetController
}

// fleetLogEvent is an event of the list.
type fleetLogEvent struct {
	engine    *fleetEngine
	serving   bool
	upSinceMs int64
}

// The clock of the list's times at the start of a day.
const fleetEpochMs = 1_700_000_000_000

// Run plays a day to its end.
func (d FleetScenario) Run() *FleetResult {
	f := &fleetRun{FleetScenario: d, rng: rand.New(rand.NewPCG(d.Seed, 22)), enginesByAddress: map[string]*fleetEngine{}, controllersByQuery: map[string]*fleetController{}}
	f.result.FaultCounts = map[string]int{}
	kinds := DefaultWorkload()
	figures := engine.DefaultConfig()
	figures.DiskParallelism = 16
	f.settings = ControllerSettings(kinds, figures)
	f.settings["gateways"] = strconv.Itoa(d.ControllerCount)
	for k, v := range d.SettingOverrides {
		f.settings[k] = v
	}
	for i := range d.EngineCount {
		f.addEngine(i, false)
	}
	var list []feed.Engine
	for _, e := range f.engines {
		list = append(list, e.Engine)
		f.logEvents = append(f.logEvents, fleetLogEvent{}) // the whole list is one event; those of one engine follow
	}
	f.logEvents = f.logEvents[:1]
	f.discoveryLog.Append(true, list...)
	for n := range d.ControllerCount {
		f.startController(n)
	}
	mean := 0.0
	for _, k := range kinds {
		mean += k.Share * k.CPU.Seconds()
	}
	rate := d.Utilization * float64(d.EngineCount) * figures.Cores / mean / float64(d.ControllerCount)
	for _, c := range f.controllers {
		c.scheduleQueries(kinds, rate)
	}
	for _, ill := range d.Faults {
		f.scheduleAt(ill.At, func() { f.injectFault(ill) })
	}
	f.runUntil(d.LoadDuration + 40*time.Second)
	for _, c := range f.controllers {
		if len(c.pendingDeliveries) == 0 {
			c.history.Finish(f.now)
		}
		f.result.Violations = append(f.result.Violations, c.history.Faults...)
		f.result.OrderChecks += c.history.OrderChecks
		f.result.Finished += c.history.Answers[historycheck.Finished]
	}
	f.addColdCapacity()
	return &f.result
}

// tracef keeps the last of what happened, up to where a rule was first broken.
func (f *fleetRun) tracef(format string, more ...any) {
	if !f.KeepTrace || f.traceEnded {
		return
	}
	f.result.Trace = append(f.result.Trace, f.now.String()+" "+fmt.Sprintf(format, more...))
	f.traceEnded = slices.ContainsFunc(f.controllers, func(c *fleetController) bool { return len(c.history.Faults) > 0 })
	if !f.traceEnded && len(f.result.Trace) > 4000 {
		f.result.Trace = append([]string{}, f.result.Trace[2000:]...)
	}
}

func (f *fleetRun) scheduleAt(at time.Duration, do func())      { f.events.Add(max(at, f.now), do) }
func (f *fleetRun) scheduleAfter(span time.Duration, do func()) { f.scheduleAt(f.now+span, do) }

func (f *fleetRun) runUntil(end time.Duration) {
	for at, ok := f.events.NextDue(); ok && at <= end; at, ok = f.events.NextDue() {
		f.now = at
		do, _ := f.events.PopDue(at)
		do()
	}
	f.now = end
}

// Shrink is the least that still breaks a rule: without the ills and the time that it
// doesn't need.
func (d FleetScenario) Shrink() FleetScenario {
	breaks := func(x FleetScenario) bool { return len(x.Run().Violations) > 0 }
	for _, long := range []time.Duration{d.LoadDuration / 4, d.LoadDuration / 2, d.LoadDuration * 3 / 4} {
		x := d
		x.LoadDuration = long
		if breaks(x) {
			d = x
			break
		}
	}
	for i := len(d.Faults) - 1; i >= 0; i-- {
		x := d
		x.Faults = slices.Delete(slices.Clone(d.Faults), i, i+1)
		if breaks(x) {
			d = x
		}
	}
	return d
}

// MassRestartScenario is a fleet half of whose engines start anew, cold, within seven seconds.
func MassRestartScenario(seed uint64, controllers, engines int) FleetScenario {
	d := FleetScenario{Seed: seed, ControllerCount: controllers, EngineCount: engines, Utilization: 0.6, LoadDuration: 18 * time.Second, MaxDiscoveryLag: 1500 * time.Millisecond}
	for i := range engines / 2 {
		d.Faults = append(d.Faults, FleetFault{Kind: "crash", At: 5*time.Second + time.Duration(i)*7*time.Second/time.Duration(engines/2), Duration: 2 * time.Second, Engine: i})
	}
	return d
}

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

// These are the kinds of faults in a simulated fleet.
const (
	// fleetLinkCut cuts the links between some controllers and an engine. Data that is sent during the cut
	// arrives once the links are restored.
	fleetLinkCut = "cut"
	// fleetControllerStall stops some controllers, which process nothing until the fault ends.
	fleetControllerStall = "stall"
	// fleetEngineSlow makes an engine start the queries that it receives with a delay.
	fleetEngineSlow = "sluggish"
	// fleetEngineCrash ends an engine's process and later starts a cold one.
	fleetEngineCrash = "crash"
	// fleetEngineUnreachable disconnects an engine from the network. Its queries continue to run.
	fleetEngineUnreachable = "vanish"
	// fleetEngineReplace drains an engine, then replaces it by a cold one with another ID.
	fleetEngineReplace = "replace"
	// fleetEngineTakeover replaces an engine like fleetEngineReplace, but without draining the engine.
	fleetEngineTakeover = "takenover"
	// fleetEngineDrain lists an engine as draining, then as serving again.
	fleetEngineDrain = "drain"
	// fleetConnectionResets closes all connections of an engine, several times.
	fleetConnectionResets = "storm"
)

// FleetFault is one fault in a simulated fleet.
type FleetFault struct {
	Kind         string // one of the constants above
	At, Duration time.Duration
	Engine       int   // the engine's slot
	Controllers  []int // numbers of the controllers that are stalled or whose links are cut
}

func (f FleetFault) String() string {
	return fmt.Sprintf("%s at %v for %v, engine %d, controllers %v",
		f.Kind, f.At, f.Duration, f.Engine, f.Controllers)
}

// FleetScenario describes a simulated run of a fleet: controllers that share no state, their engines,
// the load and the faults. Every run of a scenario gives the same history.
type FleetScenario struct {
	Seed             uint64
	ControllerCount  int
	EngineCount      int
	SettingOverrides map[string]string
	Utilization      float64       // load as a fraction of the capacity of all engines
	LoadDuration     time.Duration // time in which clients send queries; the run lasts 40 s longer
	RequestFaultRate float64       // fraction of the requests to engines that have a fault on their way
	MaxDiscoveryLag  time.Duration // longest delay until a discovery event is sent to a controller
	Faults           []FleetFault
	KeepTrace        bool // fills Trace in the result
}

// RandomFleetScenario derives a scenario from a seed.
func RandomFleetScenario(seed uint64) FleetScenario {
	rng := rand.New(rand.NewPCG(seed, 21))
	pick := func(l ...string) string { return l[rng.IntN(len(l))] }
	s := FleetScenario{
		Seed:             seed,
		ControllerCount:  2 + rng.IntN(5),
		EngineCount:      2 + rng.IntN(6),
		Utilization:      0.2 + 0.5*rng.Float64(),
		LoadDuration:     8 * time.Second,
		RequestFaultRate: 0.02 * rng.Float64(),
		MaxDiscoveryLag:  time.Duration(rng.IntN(3000)) * time.Millisecond,
	}
	s.SettingOverrides = map[string]string{
		"may.cancel":       pick("true", "true", "false"),
		"may.copy":         pick("true", "false"),
		"may.probe":        pick("true", "true", "false"),
		"may.name-return":  pick("true", "false"),
		"report.how":       pick("probed", "probed", "off"),
		"locations":        pick("here", "here,there"),
		"submissions.most": pick("1", "2", "3"),
		"group.1.effect":   pick("read-only", "tokened"),
		"group.1.scope":    pick("all", "location"),
		"group.2.in-order": pick("true", "true", "true", "false"),
		"may.grant":        pick("true", "false"),
		"memory.short":     pick("swap", "queue"),
		"key.rest":         pick("0", "300", "800"),
	}
	if rng.IntN(3) == 0 && s.SettingOverrides["locations"] == "here,there" {
		s.SettingOverrides["group.0.locations"] = "here"
	}
	for range 3 + rng.IntN(8) {
		fault := FleetFault{
			Kind: pick(fleetLinkCut, fleetLinkCut, fleetLinkCut, fleetControllerStall, fleetControllerStall,
				fleetEngineSlow, fleetEngineSlow, fleetEngineCrash, fleetEngineUnreachable, fleetEngineReplace,
				fleetEngineTakeover, fleetEngineDrain, fleetConnectionResets),
			At:       time.Duration(500+rng.IntN(7000)) * time.Millisecond,
			Duration: time.Duration(50+rng.IntN(4000)) * time.Millisecond,
			Engine:   rng.IntN(s.EngineCount),
		}
		maxStalled := max(1, s.ControllerCount/3)
		for c := range s.ControllerCount {
			if rng.IntN(2) == 0 && (fault.Kind != fleetControllerStall || len(fault.Controllers) < maxStalled) {
				fault.Controllers = append(fault.Controllers, c)
			}
		}
		s.Faults = append(s.Faults, fault)
	}
	return s
}

// FleetResult is the result of a simulated run.
type FleetResult struct {
	Violations         []string // broken delivery rules
	OrderChecks        int      // executions whose order was compared with that of a later query of the same key
	LateDeliveries     int      // query submissions that reached an engine after their connection was closed
	Queries, Finished  int
	MaxColdBudgetUse   float64  // highest ratio of the work that a cold engine was sent to the engine's limit
	ColdBudgetExceeded int      // submissions after which the work sent to a cold engine exceeded its limit
	ColdWork           float64  // core-seconds that were sent to cold engines
	ColdCapacity       float64  // core-seconds that the cold engines could have run while there was load
	Trace              []string // the latest steps, up to the first violation
	FaultCounts        map[string]int
	ArrivalTime        time.Duration // real time that controllers spent on receiving queries
}

// fleetRun is a run of a FleetScenario in virtual time.
type fleetRun struct {
	FleetScenario
	now                time.Duration
	rng                *rand.Rand
	events             timerqueue.Queue
	controllers        []*fleetController
	engines            []*fleetEngine
	enginesByAddress   map[string]*fleetEngine
	discoveryLog       feed.Log
	logEvents          []fleetLogEvent // one for each event of discoveryLog, in the order of the log
	result             FleetResult
	settings           map[string]string
	traceEnded         bool
	controllersByQuery map[string]*fleetController
}

// fleetLogEvent is the change that an event of the discovery log reports. The first event of the log lists
// all engines and has an empty fleetLogEvent.
type fleetLogEvent struct {
	engine    *fleetEngine
	serving   bool
	upSinceMs int64
}

// fleetEpochMs is the Unix time, in ms, at which each run starts.
const fleetEpochMs = 1_700_000_000_000

// Run simulates the scenario and checks the history of each controller.
func (s FleetScenario) Run() *FleetResult {
	f := &fleetRun{
		FleetScenario:      s,
		rng:                rand.New(rand.NewPCG(s.Seed, 22)),
		enginesByAddress:   map[string]*fleetEngine{},
		controllersByQuery: map[string]*fleetController{},
	}
	f.result.FaultCounts = map[string]int{}
	groups := DefaultWorkload()
	engineConfig := engine.DefaultConfig()
	engineConfig.DiskParallelism = 16
	f.settings = ControllerSettings(groups, engineConfig)
	f.settings["gateways"] = strconv.Itoa(s.ControllerCount)
	for name, value := range s.SettingOverrides {
		f.settings[name] = value
	}
	for slot := range s.EngineCount {
		f.addEngine(slot, false)
	}
	var listed []feed.Engine
	for _, e := range f.engines {
		listed = append(listed, e.Engine)
	}
	f.logEvents = append(f.logEvents, fleetLogEvent{})
	f.discoveryLog.Append(true, listed...)
	for number := range s.ControllerCount {
		f.startController(number)
	}
	meanWork := 0.0 // core-seconds per query
	for _, group := range groups {
		meanWork += group.Share * group.CPU.Seconds()
	}
	totalWork := s.Utilization * float64(s.EngineCount) * engineConfig.Cores // core-seconds per second
	rate := totalWork / meanWork / float64(s.ControllerCount)
	for _, c := range f.controllers {
		c.scheduleQueries(groups, rate)
	}
	for _, fault := range s.Faults {
		f.scheduleAt(fault.At, func() { f.injectFault(fault) })
	}
	f.runUntil(s.LoadDuration + 40*time.Second)
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

// tracef adds a step to the trace, and ends the trace after the first violation. A long trace loses its
// oldest steps.
func (f *fleetRun) tracef(format string, args ...any) {
	if !f.KeepTrace || f.traceEnded {
		return
	}
	f.result.Trace = append(f.result.Trace, f.now.String()+" "+fmt.Sprintf(format, args...))
	f.traceEnded = slices.ContainsFunc(f.controllers, func(c *fleetController) bool {
		return len(c.history.Faults) > 0
	})
	if !f.traceEnded && len(f.result.Trace) > 4000 {
		f.result.Trace = append([]string{}, f.result.Trace[2000:]...)
	}
}

func (f *fleetRun) scheduleAt(at time.Duration, do func())       { f.events.Add(max(at, f.now), do) }
func (f *fleetRun) scheduleAfter(delay time.Duration, do func()) { f.scheduleAt(f.now+delay, do) }

func (f *fleetRun) runUntil(end time.Duration) {
	for at, ok := f.events.NextDue(); ok && at <= end; at, ok = f.events.NextDue() {
		f.now = at
		do, _ := f.events.PopDue(at)
		do()
	}
	f.now = end
}

// Shrink returns a smaller scenario that still breaks a rule. The smaller scenario has a shorter load, and
// lacks the faults that the violation doesn't need.
func (s FleetScenario) Shrink() FleetScenario {
	violatesRule := func(x FleetScenario) bool { return len(x.Run().Violations) > 0 }
	for _, duration := range []time.Duration{s.LoadDuration / 4, s.LoadDuration / 2, s.LoadDuration * 3 / 4} {
		candidate := s
		candidate.LoadDuration = duration
		if violatesRule(candidate) {
			s = candidate
			break
		}
	}
	for i := len(s.Faults) - 1; i >= 0; i-- {
		candidate := s
		candidate.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1)
		if violatesRule(candidate) {
			s = candidate
		}
	}
	return s
}

// MassRestartScenario returns a scenario in which half of the engines restart within seven seconds, with
// cold caches.
func MassRestartScenario(seed uint64, controllers, engines int) FleetScenario {
	s := FleetScenario{
		Seed:            seed,
		ControllerCount: controllers,
		EngineCount:     engines,
		Utilization:     0.6,
		LoadDuration:    18 * time.Second,
		MaxDiscoveryLag: 1500 * time.Millisecond,
	}
	for i := range engines / 2 {
		at := 5*time.Second + time.Duration(i)*7*time.Second/time.Duration(engines/2)
		crash := FleetFault{Kind: fleetEngineCrash, At: at, Duration: 2 * time.Second, Engine: i}
		s.Faults = append(s.Faults, crash)
	}
	return s
}

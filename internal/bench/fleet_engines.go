package bench

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/feed"
)

// fleetEngine is an emulated engine of a simulated fleet, with its entry in the discovery log.
type fleetEngine struct {
	*engine.Server
	feed.Engine
	run             *fleetRun
	slot            int // same as that of the engine that this one replaces
	down            bool
	removed         bool // another engine has the slot
	slowUntil       time.Duration
	delayedRequests map[string]*bool // submissions that were received and not processed yet, by query ID
	nextWakeup      time.Duration    // -1 if no wakeup is scheduled
	coldSince       time.Duration    // -1 if the engine was warm at the start of the run and has not restarted
	startKnownBy    map[int]bool     // controllers that were sent the discovery event of the engine's last start
	submissions     []fleetSubmission
}

// fleetColdBudgetTolerance is the fraction by which the work sent to a cold engine may exceed the engine's
// limit. Delivery rule 4 allows a small excess by chance and gives no figure.
const fleetColdBudgetTolerance = 0.15

// fleetNominalUtilization is the fraction of its cores that an engine is assumed to use. The scheduler
// assumes the same fraction.
const fleetNominalUtilization = 0.85

// addEngine adds an engine to a slot.
func (f *fleetRun) addEngine(slot int, cold bool) *fleetEngine {
	config := engine.DefaultConfig()
	config.DiskParallelism = 16
	e := &fleetEngine{
		Server:          engine.NewServer(engine.NewModel(config, f.now, cold)),
		run:             f,
		slot:            slot,
		nextWakeup:      -1,
		coldSince:       -1,
		delayedRequests: map[string]*bool{},
		startKnownBy:    map[int]bool{},
	}
	locations := strings.Split(f.settings["locations"], ",")
	e.Engine = feed.Engine{
		ID:       fmt.Sprintf("e%d", len(f.engines)),
		HostPort: fmt.Sprintf("10.0.%d.%d:6565", slot/200, slot%200+1),
		Locality: locations[slot%len(locations)],
		Flavor:   "std",
		Cell:     slot,
		Phase:    "SERVING",
		Size:     1,
	}
	if cold {
		e.coldSince, e.UpSinceMs = f.now, fleetEpochMs+f.now.Milliseconds()
	}
	e.OnSubmit = func(id, _ string, _ int, at time.Duration) {
		f.tracef("%s begins at %s", id, e.ID)
		if c := f.controllersByQuery[id]; c != nil {
			c.history.Started(at, id, e.ID)
			q := c.queryByID(id)
			confined := q != nil && f.settings["group.0.locations"] != "" && q.Group == "lookup"
			if confined && e.Locality != "here" {
				c.history.AddFault(at, "rule 6: "+id+" runs at "+e.Locality)
			}
		}
	}
	e.OnEnd = func(id string, outcome engine.Outcome, at time.Duration) {
		f.tracef("%s ended at %s: %d", id, e.ID, outcome)
		if c := f.controllersByQuery[id]; c != nil {
			c.history.Ended(at, id, e.ID, outcome == engine.Succeeded)
		}
	}
	f.engines = append(f.engines, e)
	f.enginesByAddress[e.HostPort] = e
	return e
}

// handleRequest processes a request that has arrived at the engine. A slow engine delays the submission of a
// query. It processes a delayed submission even if the connection was closed meanwhile, but not if the query
// was cancelled meanwhile.
func (e *fleetEngine) handleRequest(
	c *fleetController, from *fleetConn, method, id string, request []byte,
) {
	if e.removed || e.down {
		return
	}
	f := e.run
	switch method {
	case "POST":
		if f.now < e.slowUntil && !e.Unreachable() {
			delayed := new(bool)
			e.delayedRequests[id] = delayed
			f.tracef("%s is delayed at %s", id, e.ID)
			f.scheduleAfter(time.Duration(100+f.rng.IntN(1800))*time.Millisecond, func() {
				if e.delayedRequests[id] == delayed {
					delete(e.delayedRequests, id)
					if !e.removed && !e.down {
						e.processRequest(c, from, id, request)
					}
				}
			})
			return
		}
		e.processRequest(c, from, id, request)
		return
	case "DELETE":
		if !e.Unreachable() {
			delete(e.delayedRequests, id)
		}
	}
	e.Receive(f.now, from.engineConn, request)
	e.scheduleWakeup()
}

// processRequest processes the submission of a query, even if the connection of the submission is closed.
func (e *fleetEngine) processRequest(c *fleetController, from *fleetConn, id string, request []byte) {
	conn, f := from.engineConn, e.run
	if from.closed {
		conn = &engine.Conn{Write: func([]byte) {}}
		e.Accept(conn)
		f.result.LateDeliveries++
		f.tracef("%s is processed at %s after its connection was closed", id, e.ID)
	}
	if e.coldSince >= 0 {
		e.checkColdBudget(c, request)
	}
	e.Receive(f.now, conn, request)
	if from.closed {
		e.Server.Disconnected(conn)
	}
	e.scheduleWakeup()
}

// checkColdBudget compares the work that was sent to a cold engine within the window with the engine's limit.
// The check counts only if at least two thirds of the work came from controllers that know of the engine's
// start.
func (e *fleetEngine) checkColdBudget(c *fleetController, request []byte) {
	f := e.run
	window := time.Duration(settingNumber(f.settings["cold.window"])) * time.Millisecond
	span := time.Duration(settingNumber(f.settings["cold.span"])) * time.Millisecond
	if f.now >= e.coldSince+span {
		return
	}
	_, body, _ := bytes.Cut(request, []byte("\r\n\r\n"))
	work := e.ParseWork("", body).CPU.Seconds()
	e.submissions = append(e.submissions, fleetSubmission{f.now, work, e.startKnownBy[c.number]})
	f.result.ColdWork += work
	for e.submissions[0].at <= f.now-window {
		e.submissions = e.submissions[1:]
	}
	total, informed := 0.0, 0.0 // core-seconds; informed is the work from controllers that know of the start
	for _, s := range e.submissions {
		if total += s.work; s.startKnown {
			informed += s.work
		}
	}
	initial := settingNumber(f.settings["cold.from"])
	speed := initial + (1-initial)*(f.now-e.coldSince).Seconds()/span.Seconds()
	multiple := settingNumber(f.settings["cold.multiple"])
	budgetUse := total / (multiple * speed * fleetNominalUtilization * e.Cores * window.Seconds())
	if informed >= total*2/3 {
		f.result.MaxColdBudgetUse = max(f.result.MaxColdBudgetUse, budgetUse)
		if budgetUse > 1 {
			f.result.ColdBudgetExceeded++
		}
		if budgetUse > 1+fleetColdBudgetTolerance {
			fault := fmt.Sprintf("rule 4: cold engine %s was sent %.2f times its limit", e.ID, budgetUse)
			c.history.AddFault(f.now, fault)
		}
	}
}

// addColdCapacity adds up the work that cold engines could have run while there was load.
func (f *fleetRun) addColdCapacity() {
	const step = 100 * time.Millisecond
	span := time.Duration(settingNumber(f.settings["cold.span"])) * time.Millisecond
	initial := settingNumber(f.settings["cold.from"])
	for _, e := range f.engines {
		end := min(f.LoadDuration, e.coldSince+span)
		for at := e.coldSince; e.coldSince >= 0 && at < end; at += step {
			speed := initial + (1-initial)*(at-e.coldSince).Seconds()/span.Seconds()
			f.result.ColdCapacity += speed * e.Cores * fleetNominalUtilization * step.Seconds()
		}
	}
}

// scheduleWakeup schedules the engine's next step.
func (e *fleetEngine) scheduleWakeup() {
	at, ok := e.NextDue()
	if !ok || e.nextWakeup >= 0 && e.nextWakeup <= at {
		return
	}
	e.nextWakeup = at
	e.run.scheduleAt(at, func() {
		if e.nextWakeup == at {
			e.nextWakeup = -1
			e.ProcessDue(e.run.now)
			e.scheduleWakeup()
		}
	})
}

// publish appends an engine's phase to the discovery log. Each controller is sent the event after a random
// delay, and sometimes twice.
func (f *fleetRun) publish(e *fleetEngine, phase string) {
	e.Phase = phase
	f.discoveryLog.Append(false, e.Engine)
	f.logEvents = append(f.logEvents, fleetLogEvent{e, phase == "SERVING", e.UpSinceMs})
	for _, c := range f.controllers {
		delay := time.Duration(f.rng.Int64N(int64(f.MaxDiscoveryLag) + 1))
		f.scheduleAfter(delay, func() {
			if c.discoveryConn != nil && !c.discoveryConn.closed {
				c.sendDiscoveryEvents(c.discoveryConn, 0)
			}
		})
	}
}

// crash ends the engine's process, so that all queries at the engine are lost.
func (e *fleetEngine) crash() {
	e.down = true
	clear(e.delayedRequests)
	e.Reset(e.run.now, true)
}

// restart starts a new process with a cold cache. Controllers learn of the start with a delay.
func (e *fleetEngine) restart() {
	e.down, e.coldSince, e.UpSinceMs = false, e.run.now, fleetEpochMs+e.run.now.Milliseconds()
	e.startKnownBy, e.submissions = map[int]bool{}, nil
	e.Restart(e.run.now)
	e.run.publish(e, "SERVING")
}

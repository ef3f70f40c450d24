package bench

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/feed"
)

type fleetEngine struct {
	*engine.Server
	feed.Engine
	run             *fleetRun
	slot            int
	down            bool
	removed         bool // for good: another has its place
	slowUntil       time.Duration
	delayedRequests map[string]*bool // calls that came whole and were not taken up yet
	nextWakeup      time.Duration
	coldSince       time.Duration // since when, -1: it is warm from the start
	startKnownBy    map[int]bool  // controllers that were told of this start
	submissions     []fleetSubmission
}

// The rule's budget of a cold engine has "a little slack for chance"; it isn't told how much.
const fleetColdBudgetTolerance = 0.15

func (f *fleetRun) addEngine(place int, cold bool) *fleetEngine {
	figures := engine.DefaultConfig()
	figures.DiskParallelism = 16
	e := &fleetEngine{Server: engine.NewServer(engine.NewModel(figures, f.now, cold)), run: f, slot: place, nextWakeup: -1, coldSince: -1,
		delayedRequests: map[string]*bool{}, startKnownBy: map[int]bool{}}
	at := strings.Split(f.settings["locations"], ",")
	e.Engine = feed.Engine{ID: fmt.Sprintf("e%d", len(f.engines)), HostPort: fmt.Sprintf("10.0.%d.%d:6565", place/200, place%200+1),
		Locality: at[place%len(at)], Flavor: "std", Cell: place, Phase: "SERVING", Size: 1}
	if cold {
		e.coldSince, e.UpSinceMs = f.now, fleetEpochMs+f.now.Milliseconds()
	}
	e.OnSubmit = func(id, _ string, _ int, at time.Duration) {
		f.tracef("%s begins at %s", id, e.ID)
		if c := f.controllersByQuery[id]; c != nil {
			c.history.Started(at, id, e.ID)
			if a := c.queryByID(id); a != nil && f.settings["group.0.locations"] != "" && a.Group == "lookup" && e.Locality != "here" {
				c.history.AddFault(at, "rule 6: "+id+" at "+e.Locality)
			}
		}
	}
	e.OnEnd = func(id string, as engine.Outcome, at time.Duration) {
		f.tracef("%s ended at %s: %d", id, e.ID, as)
		if c := f.controllersByQuery[id]; c != nil {
			c.history.Ended(at, id, e.ID, as == engine.Succeeded)
		}
	}
	f.engines = append(f.engines, e)
	f.enginesByAddress[e.HostPort] = e
	return e
}

// handleRequest: a call is there whole; a sluggish engine takes up later what starts a query, whether
// its line stands then or not, unless the query was given up meanwhile.
func (e *fleetEngine) handleRequest(c *fleetController, from *fleetConn, method, id string, p []byte) {
	if e.removed || e.down {
		return
	}
	f := e.run
	switch method {
	case "POST":
		if f.now < e.slowUntil && !e.Unreachable() {
			taken := new(bool)
			e.delayedRequests[id] = taken
			f.tracef("%s lies at %s", id, e.ID)
			f.scheduleAfter(time.Duration(100+f.rng.IntN(1800))*time.Millisecond, func() {
				if e.delayedRequests[id] == taken {
					delete(e.delayedRequests, id)
					if !e.removed && !e.down {
						e.processRequest(c, from, id, p)
					}
				}
			})
			return
		}
		e.processRequest(c, from, id, p)
		return
	case "DELETE":
		if !e.Unreachable() {
			delete(e.delayedRequests, id)
		}
	}
	e.Receive(f.now, from.engineConn, p)
	e.scheduleWakeup()
}

func (e *fleetEngine) processRequest(c *fleetController, from *fleetConn, id string, p []byte) {
	conn, f := from.engineConn, e.run
	if from.closed {
		conn = &engine.Conn{Write: func([]byte) {}}
		e.Accept(conn)
		f.result.LateDeliveries++
		f.tracef("%s is taken up at %s though its line is gone", id, e.ID)
	}
	if e.coldSince >= 0 {
		e.checkColdBudget(c, p)
	}
	e.Receive(f.now, conn, p)
	if from.closed {
		e.Server.Disconnected(conn)
	}
	e.scheduleWakeup()
}

// checkColdBudget what a cold engine is sent against what the rule lets it be sent in a window: only
// where two thirds came from those who were told of its start.
func (e *fleetEngine) checkColdBudget(c *fleetController, p []byte) {
	f := e.run
	window, span := time.Duration(settingNumber(f.settings["cold.window"]))*time.Millisecond, time.Duration(settingNumber(f.settings["cold.span"]))*time.Millisecond
	if f.now >= e.coldSince+span {
		return
	}
	_, body, _ := bytes.Cut(p, []byte("\r\n\r\n"))
	work := e.ParseWork("", body).CPU.Seconds()
	e.submissions = append(e.submissions, fleetSubmission{f.now, work, e.startKnownBy[c.number]})
	f.result.ColdWork += work
	for e.submissions[0].at <= f.now-window {
		e.submissions = e.submissions[1:]
	}
	all, told := 0.0, 0.0
	for _, s := range e.submissions {
		if all += s.work; s.startKnown {
			told += s.work
		}
	}
	from := settingNumber(f.settings["cold.from"])
	able := from + (1-from)*(f.now-e.coldSince).Seconds()/span.Seconds()
	part := all / (settingNumber(f.settings["cold.multiple"]) * able * 0.85 * e.Cores * window.Seconds())
	if told >= all*2/3 {
		f.result.MaxColdBudgetUse = max(f.result.MaxColdBudgetUse, part)
		if part > 1 {
			f.result.ColdBudgetExceeded++
		}
		if part > 1+fleetColdBudgetTolerance {
			c.history.AddFault(f.now, fmt.Sprintf("rule 4: %s was sent %.2f times what it stands", e.ID, part))
		}
	}
}

// addColdCapacity is what cold engines could do while there was load.
func (f *fleetRun) addColdCapacity() {
	span, from := time.Duration(settingNumber(f.settings["cold.span"]))*time.Millisecond, settingNumber(f.settings["cold.from"])
	for _, e := range f.engines {
		for at := e.coldSince; e.coldSince >= 0 && at < min(f.LoadDuration, e.coldSince+span); at += 100 * time.Millisecond {
			f.result.ColdCapacity += (from + (1-from)*(at-e.coldSince).Seconds()/span.Seconds()) * e.Cores * 0.85 * 0.1
		}
	}
}

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

// publish adds an event to the list; each controller hears of it in its own time, at times twice.
func (f *fleetRun) publish(e *fleetEngine, phase string) {
	e.Phase = phase
	f.discoveryLog.Append(false, e.Engine)
	f.logEvents = append(f.logEvents, fleetLogEvent{e, phase == "SERVING", e.UpSinceMs})
	for _, c := range f.controllers {
		f.scheduleAfter(time.Duration(f.rng.Int64N(int64(f.MaxDiscoveryLag)+1)), func() {
			if c.discoveryConn != nil && !c.discoveryConn.closed {
				c.sendDiscoveryEvents(c.discoveryConn, 0)
			}
		})
	}
}

func (e *fleetEngine) crash() {
	e.down = true
	clear(e.delayedRequests)
	e.Reset(e.run.now, true)
}

// restart: a new and cold process is there; the list tells late.
func (e *fleetEngine) restart() {
	e.down, e.coldSince, e.UpSinceMs = false, e.run.now, fleetEpochMs+e.run.now.Milliseconds()
	e.startKnownBy, e.submissions = map[int]bool{}, nil
	e.Restart(e.run.now)
	e.run.publish(e, "SERVING")
}

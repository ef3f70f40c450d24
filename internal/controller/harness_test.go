package controller

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// engineResponseDelay is how long a fake engine holds a long poll, and how long a dial to an unreachable
// engine takes to fail.
const engineResponseDelay = 250 * time.Millisecond

// harness simulates the environment of a controller: its runner, clients, engines, discovery and clock.
// Tests or random choices decide which events happen. The harness checks all bytes that the controller writes
// against the protocol's rules:
//
//	rule 1  an accepted query gets one answer by its deadline, and is not submitted after it is closed
//	rule 2  a mutating query that may have run is neither sent again nor deferred
//	rule 3  no query is submitted to an engine that is not serving
//	rule 5  the mutating queries of a key run one at a time, in the order in which their client sent them
type harness struct {
	t                  interface{ Fatalf(string, ...any) }
	controller         *Controller
	now                time.Duration
	timerAt            time.Duration
	connections        []*fakeConnection
	engines            map[string]*fakeEngine // by address
	pendingCalls       []*pendingCall
	queries            []*sentQuery
	discovery          *fakeConnection
	lastEventNumber    int64
	discoveryReachable bool
	discoverySilent    bool // connections to the discovery come up, but nothing is sent on them by itself
	exited             bool
	logLines           []string
	writeLog           []string
	maxDescriptors     int
	statement          string  // statement of the next queries, "": a SELECT
	pendingEvents      []Event // reported next by the runner
	holdsCloses        bool    // ConnectionClosed is reported only after a while

	// for controllers with peers
	reports           []fleet.Report
	rejectReports     bool          // the fleet has no room for reports
	backlogged        bool          // events are marked as backlogged
	writeDelay        time.Duration // how long the process stalls between a step and its writes
	submittedVersions []uint64      // policy versions of submissions, in write order
}

// fakeConnection is the far end of a connection, at a client, an engine or the discovery.
type fakeConnection struct {
	number                                               int
	connection                                           *Connection
	address                                              string
	isClient                                             bool
	dialledAt                                            time.Duration
	established, closedByController, closed, dropsWrites bool
	aborted                                              bool
	inputPending                                         bool // a close of this connection, if idle, is declined
	received                                             []byte
	messageCount                                         int
}

// defaultSettings returns the settings of two read-only groups and an ordered group of loads, with overrides.
func defaultSettings(overrides map[string]string) map[string]string {
	settings := map[string]string{
		"gateways": "2", "own.number": "0", "groups": "3", "loads": "false,false,true",
		"waits": "true,true,false", "threads": "1,3,2", "kinds": "std", "locations": "here", "kind.cores": "8",
		"kind.memory": "16384", "grant.most": "0.4", "may.grant": "true", "may.prioritise": "true",
		"may.cancel": "true", "may.probe": "true", "may.copy": "true", "may.name-return": "true",
		"return.most": "500", "submissions.most": "3", "note.period": "2000", "tick": "5",
		"memory.short": "swap", "drain.grace": "1000", "report.how": "probed", "cold.from": "0.33",
		"answers.cost": "true", "cold.span": "15000", "cold.multiple": "3", "cold.window": "1000",
		"key.rest": "300", "list.how": "pushed", "connect.timeout": "250", "idle.most": "15000",
	}
	for i, name := range []string{"lookup", "report", "load"} {
		at := "group." + strconv.Itoa(i) + "."
		settings[at+"name"], settings[at+"value"] = name, strconv.Itoa(1+5*i)
		settings[at+"target"], settings[at+"timeout"], settings[at+"stretch"] = "1000", "30000", "1.5"
		settings[at+"effect"], settings[at+"scope"], settings[at+"window"] = "read-only", "all", "5000"
	}
	settings["group.2.effect"], settings["group.2.in-order"] = "mutating", "true"
	maps.Copy(settings, overrides)
	return settings
}

// newHarness starts a controller with a number of engines and descriptors.
func newHarness(t interface{ Fatalf(string, ...any) }, engines, descriptors int, overrides map[string]string,
	options ...func(*Config)) *harness {
	h := &harness{t: t, timerAt: -1, engines: map[string]*fakeEngine{}, discoveryReachable: true,
		maxDescriptors: descriptors}
	var members []string
	for i := range engines {
		sites := strings.Split(defaultSettings(overrides)["locations"], ",")
		engine := &fakeEngine{id: "e" + strconv.Itoa(i), address: "10.0.0." + strconv.Itoa(i) + ":1",
			state: "SERVING", runs: map[string]*fakeRun{},
			site: sites[i%len(sites)]}
		h.engines[engine.address] = engine
		members = append(members, engine.endpointJSON(0))
	}
	h.lastEventNumber = 1
	var effects []Effect
	config := Config{Seed: 7, MemoryMB: 64, MaxDescriptors: descriptors, DiscoveryAddress: "feed",
		Settings: defaultSettings(overrides),
		InitialEndpoints: []byte(`{"n":1,"events":[{"n":1,"members":{"complete":true,"members":[` +
			strings.Join(members, ",") + `]}}]}`)}
	for _, change := range options {
		change(&config)
	}
	h.controller, effects = New(config)
	h.perform(effects)
	h.flush()
	return h
}

// sortedEngines returns the engines in the order of their addresses.
func (h *harness) sortedEngines() []*fakeEngine {
	return slices.SortedFunc(maps.Values(h.engines),
		func(a, b *fakeEngine) int { return strings.Compare(a.address, b.address) })
}

// step passes an event to the controller and performs the effects.
func (h *harness) step(event Event) {
	event.Backlogged = h.backlogged
	h.perform(h.controller.Step(h.now, event))
	h.flush()
}

// flush steps the events that the runner still has to report.
func (h *harness) flush() {
	for len(h.pendingEvents) > 0 {
		event := h.pendingEvents[0]
		h.pendingEvents = h.pendingEvents[1:]
		event.Backlogged = h.backlogged
		h.perform(h.controller.Step(h.now, event))
	}
}

func (h *harness) findConnection(connection *Connection) *fakeConnection {
	for _, conn := range h.connections {
		if conn.connection == connection {
			return conn
		}
	}
	return nil
}

func (h *harness) perform(effects []Effect) {
	for _, effect := range effects {
		conn := h.findConnection(effect.Connection)
		switch effect.Kind {
		case Dial:
			conn = &fakeConnection{number: len(h.connections), connection: effect.Connection,
				address: effect.Address, dialledAt: h.now}
			h.connections = append(h.connections, conn)
			if effect.Address == "feed" {
				h.discovery = conn
			}
			open := 3
			for _, other := range h.connections {
				if !other.closed {
					open++
				}
			}
			if open > h.maxDescriptors {
				h.t.Fatalf("%d descriptors in use, the limit is %d", open, h.maxDescriptors)
			}
		case Write:
			h.writeLog = append(h.writeLog, fmt.Sprintf("%v %d %q", h.now, conn.number, effect.Bytes))
			if conn.closedByController {
				h.t.Fatalf("write to a connection that the controller closed")
			}
			if conn.dropsWrites || conn.closed { // the end of the connection is already pending
				break
			}
			if !effect.Permit.ValidAt(h.now+h.writeDelay) || effect.PolicyVersion != 0 && !h.mayWrite(effect) {
				h.pendingEvents = append(h.pendingEvents, Event{Kind: WriteRejected, Connection: effect.Connection})
				h.closeConnection(conn)
				break
			}
			h.pendingEvents = append(h.pendingEvents, Event{Kind: BytesWritten, Connection: effect.Connection,
				ByteCount: len(effect.Bytes)})
			if conn.isClient {
				h.checkAnswer(conn, effect.Bytes)
			} else if conn.address != "feed" {
				conn.received = append(conn.received, effect.Bytes...)
				h.readCalls(conn)
			}
		case Close:
			if effect.IfIdle && conn.inputPending {
				h.pendingEvents = append([]Event{{Kind: CloseDeclined, Connection: conn.connection}}, h.pendingEvents...)
				break
			}
			h.writeLog = append(h.writeLog, fmt.Sprintf("%v %d close", h.now, conn.number))
			conn.closedByController, conn.aborted = true, effect.Abort
			// without Abort the kernel would keep sending
			if engine := h.engines[conn.address]; engine != nil && effect.Abort {
				engine.delayedCalls = slices.DeleteFunc(engine.delayedCalls,
					func(call *pendingCall) bool { return call.connection == conn })
			}
			if conn.established {
				h.closeConnection(conn)
			} else {
				conn.closed = true
				h.pendingEvents = append(h.pendingEvents, Event{Kind: ConnectTimedOut, Connection: conn.connection})
			}
		case SetTimer:
			h.timerAt = h.now + effect.Timeout
		case LogMessage, LogCounters:
			h.logLines = append(h.logLines, effect.Text)
		case ReportToFleet:
			if h.rejectReports {
				h.pendingEvents = append(h.pendingEvents, Event{Kind: FleetReportRejected, Report: effect.Report})
			} else {
				h.reports = append(h.reports, *effect.Report)
			}
		case Exit:
			h.exited = true
		}
	}
}

// closeConnection closes a connection for either side. It drops the calls in flight on the connection and
// queues a ConnectionClosed event.
func (h *harness) closeConnection(conn *fakeConnection) {
	if !conn.closed {
		conn.closed = true
		h.pendingCalls = slices.DeleteFunc(h.pendingCalls,
			func(call *pendingCall) bool { return call.connection == conn })
		if !h.holdsCloses {
			h.pendingEvents = append(h.pendingEvents, Event{Kind: ConnectionClosed, Connection: conn.connection})
		}
	}
}

// runUntil advances the clock. It fires due timers, completes dials and lets healthy engines respond to
// polls.
func (h *harness) runUntil(deadline time.Duration) {
	for !h.exited {
		next, action := deadline, func() {}
		soonest := func(at time.Duration, do func()) {
			if at < next {
				next, action = max(at, h.now), do
			}
		}
		if h.timerAt >= 0 {
			soonest(h.timerAt, func() { h.timerAt = -1; h.step(Event{Kind: TimerFired}) })
		}
		for _, call := range h.pendingCalls {
			if !call.engine.unresponsive && !call.engine.networkCut {
				take := time.Millisecond
				if call.isLongPoll() {
					take = engineResponseDelay
				}
				soonest(call.writtenAt+take, func() { h.respond(call, "runs") })
			}
		}
		for _, conn := range h.connections {
			if !conn.established && !conn.closed {
				h.scheduleDialOutcome(conn, soonest)
			}
		}
		for _, engine := range h.sortedEngines() {
			for _, id := range slices.Sorted(maps.Keys(engine.runs)) {
				if run := engine.runs[id]; !run.ended {
					soonest(run.polledAt+engineResponseDelay+2*time.Second, func() { h.endRun(run, true) })
				}
			}
		}
		if action != nil && next >= deadline {
			h.now = deadline
			break
		}
		h.now = next
		action()
		h.checkDeadlines()
	}
	h.checkDeadlines()
}

func (h *harness) scheduleDialOutcome(conn *fakeConnection, soonest func(time.Duration, func())) {
	engine := h.engines[conn.address]
	up := func() { conn.established = true; h.step(Event{Kind: Connected, Connection: conn.connection}) }
	fail := func(kind EventKind) func() {
		return func() { conn.closed = true; h.step(Event{Kind: kind, Connection: conn.connection}) }
	}
	switch {
	case engine == nil && h.discoveryReachable:
		soonest(conn.dialledAt+time.Millisecond, func() {
			up()
			if !h.discoverySilent {
				h.listEngines("")
			}
		})
	case engine == nil || engine.unresponsive || engine.networkCut:
		soonest(conn.dialledAt+engineResponseDelay, fail(ConnectTimedOut))
	case engine.refusesConnections:
		soonest(conn.dialledAt+time.Millisecond, fail(ConnectRefused))
	default:
		soonest(conn.dialledAt+time.Millisecond, up)
	}
}

// checkDeadlines fails the test if a query is unanswered 20 ms after its deadline.
func (h *harness) checkDeadlines() {
	for _, query := range h.queries {
		if query.answer == "" && !query.cancelled && h.now > query.deadline+20*time.Millisecond {
			h.t.Fatalf("rule 1: query %s not answered by its deadline", query.id)
		}
	}
}

func (h *harness) openQueries(conn *fakeConnection) (n int) {
	for _, query := range h.queries {
		if query.connection == conn && query.answer == "" && !query.cancelled {
			n++
		}
	}
	return n
}

// runRandom performs the events that choices encode, and then shuts the controller down.
func (h *harness) runRandom(choices []uint16) {
	h.randomEvents(choices)
	h.runUntil(h.now + 12*time.Second)
	h.step(Event{Kind: ShutdownRequested})
	h.runUntil(h.now + 6*time.Second)
	if !h.exited {
		h.t.Fatalf("the controller does not exit: %d queries open", len(h.controller.queries))
	}
}

func (h *harness) randomEvents(choices []uint16) {
	clients := []*fakeConnection{h.connect(), h.connect()}
	for _, c := range choices {
		kind, x := int(c%16), int(c/16)
		conn, engines := clients[x%2], h.sortedEngines()
		engine := engines[x%len(engines)]
		switch {
		case kind < 5:
			if conn.closed || conn.messageCount > 100 || h.openQueries(conn) == maxOpenQueries {
				clients[x%2] = h.connect()
				conn = clients[x%2]
			}
			group := []string{"lookup", "report", "load", "load"}[x/2%4]
			h.sendQuery(conn, group, "k"+strconv.Itoa(x/8%2), time.Duration(400+x%5000)*time.Millisecond, x/16%3)
		case kind < 9:
			if len(h.pendingCalls) > 0 && !h.pendingCalls[x%len(h.pendingCalls)].engine.networkCut {
				h.respond(h.pendingCalls[x%len(h.pendingCalls)], []string{"ok", "ok", "runs", "stuck", "full", "busy",
					"error", "cut", "lost", "garbled", "short", "twice", "unregistered"}[x/64%13])
			}
		case kind < 13:
			h.runUntil(h.now + time.Duration(x%500)*time.Millisecond)
		case kind == 13:
			if len(h.queries) > 0 {
				h.cancel(h.queries[x%len(h.queries)])
			}
		case x%7 == 0:
			h.disconnect(conn)
		case x%7 == 1:
			engine.state = []string{"SERVING", "DRAINING"}[x/7%2]
			h.listEngines(engine.endpointJSON(0))
		case x%7 == 2:
			h.restartEngine(engine, x/7%2 == 0)
		case x%7 == 3:
			engine.unresponsive = !engine.unresponsive
			if !engine.unresponsive { // the machine returns without its queries
				h.restartEngine(engine, false)
			}
		case x%7 == 4:
			h.discoveryReachable = !h.discoveryReachable
			if !h.discoveryReachable && h.discovery != nil && h.discovery.established {
				h.closeConnection(h.discovery)
				h.flush()
			}
		case x%7 == 5: // the engine accepts no more connections, or does again
			engine.refusesConnections = !engine.refusesConnections
		case engine.networkCut:
			h.healNetwork(engine)
		case x/7%2 == 0:
			engine.networkCut = true
		default:
			h.runUntil(h.now + time.Duration(x)*time.Millisecond)
		}
	}
}

// waitForCall returns the pending call of a query with a method, and advances the clock until there is one.
func (h *harness) waitForCall(method, id string) *pendingCall {
	for range 1000 {
		for _, call := range h.pendingCalls {
			if call.method == method && call.id == id {
				return call
			}
		}
		h.runUntil(h.now + time.Millisecond)
	}
	h.t.Fatalf("no %s for query %s", method, id)
	return nil
}

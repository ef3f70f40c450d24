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

const engineResponseDelay = 250 * time.Millisecond

// harness is what surrounds a controller: its runner, clients, engines and clock. It checks the rules by
// what is written; tests, or random choices, say what happens.
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
	exited             bool
	logLines           []string
	writeLog           []string
	maxDescriptors     int
	statement          string  // statement of the next queries, in place of a select
	pendingEvents      []Event // that the runner reports next

	// where it has peers
	reports           []fleet.Report
	rejectReports     bool          // there is no room for reports to the fleet
	backlogged        bool          // events are marked as such
	writeDelay        time.Duration // the process stands still for so long between a step and its writes
	submittedVersions []uint64      // policy versions of submissions, in the order they were written
}

type fakeConnection struct {
	number                                               int
	connection                                           *Connection
	address                                              string
	isClient                                             bool
	dialledAt                                            time.Duration
	established, closedByController, closed, dropsWrites bool
	aborted                                              bool
	received                                             []byte
	messageCount                                         int
}

func defaultSettings(more map[string]string) map[string]string {
	f := map[string]string{
		"gateways": "2", "own.number": "0", "groups": "3", "loads": "false,false,true", "waits": "true,true,false",
		"threads": "1,3,2", "kinds": "std", "locations": "here", "kind.cores": "8", "kind.memory": "16384", "grant.most": "0.4",
		"may.grant": "true", "may.prioritise": "true", "may.cancel": "true", "may.probe": "true", "may.copy": "true",
		"may.name-return": "true", "return.most": "500", "submissions.most": "3", "note.period": "2000", "tick": "5",
		"memory.short": "swap", "drain.grace": "1000", "report.how": "probed", "cold.from": "0.33", "answers.cost": "true",
		"cold.span": "15000", "cold.multiple": "3", "cold.window": "1000", "key.rest": "300", "list.how": "pushed",
		"connect.timeout": "250", "idle.most": "15000",
	}
	for i, name := range []string{"lookup", "report", "load"} {
		at := "group." + strconv.Itoa(i) + "."
		f[at+"name"], f[at+"value"] = name, strconv.Itoa(1+5*i)
		f[at+"target"], f[at+"timeout"], f[at+"stretch"] = "1000", "30000", "1.5"
		f[at+"effect"], f[at+"scope"], f[at+"window"] = "read-only", "all", "5000"
	}
	f["group.2.effect"], f["group.2.in-order"] = "mutating", "true"
	maps.Copy(f, more)
	return f
}

func newHarness(t interface{ Fatalf(string, ...any) }, engines, sockets int, more map[string]string, with ...func(*Config)) *harness {
	s := &harness{t: t, timerAt: -1, engines: map[string]*fakeEngine{}, discoveryReachable: true, maxDescriptors: sockets}
	var members []string
	for i := range engines {
		sites := strings.Split(defaultSettings(more)["locations"], ",")
		m := &fakeEngine{id: "e" + strconv.Itoa(i), address: "10.0.0." + strconv.Itoa(i) + ":1", state: "SERVING", runs: map[string]*fakeRun{},
			site: sites[i%len(sites)]}
		s.engines[m.address] = m
		members = append(members, m.endpointJSON(0))
	}
	s.lastEventNumber = 1
	var effects []Effect
	means := Config{Seed: 7, MemoryMB: 64, MaxDescriptors: sockets, DiscoveryAddress: "feed", Settings: defaultSettings(more),
		InitialEndpoints: []byte(`{"n":1,"events":[{"n":1,"members":{"complete":true,"members":[` + strings.Join(members, ",") + `]}}]}`)}
	for _, change := range with {
		change(&means)
	}
	s.controller, effects = New(means)
	s.perform(effects)
	s.flush()
	return s
}

// sortedEngines are the engines by address.
func (s *harness) sortedEngines() []*fakeEngine {
	return slices.SortedFunc(maps.Values(s.engines), func(a, b *fakeEngine) int { return strings.Compare(a.address, b.address) })
}

func (s *harness) step(ev Event) {
	ev.Backlogged = s.backlogged
	s.perform(s.controller.Step(s.now, ev))
	s.flush()
}

func (s *harness) flush() {
	for len(s.pendingEvents) > 0 {
		ev := s.pendingEvents[0]
		s.pendingEvents = s.pendingEvents[1:]
		ev.Backlogged = s.backlogged
		s.perform(s.controller.Step(s.now, ev))
	}
}

func (s *harness) findConnection(l *Connection) *fakeConnection {
	for _, e := range s.connections {
		if e.connection == l {
			return e
		}
	}
	return nil
}

func (s *harness) perform(effects []Effect) {
	for _, f := range effects {
		e := s.findConnection(f.Connection)
		switch f.Kind {
		case Dial:
			e = &fakeConnection{number: len(s.connections), connection: f.Connection, address: f.Address, dialledAt: s.now}
			s.connections = append(s.connections, e)
			if f.Address == "feed" {
				s.discovery = e
			}
			open := 3
			for _, x := range s.connections {
				if !x.closed {
					open++
				}
			}
			if open > s.maxDescriptors {
				s.t.Fatalf("%d descriptors of %d", open, s.maxDescriptors)
			}
		case Write:
			s.writeLog = append(s.writeLog, fmt.Sprintf("%v %d %q", s.now, e.number, f.Bytes))
			if e.closedByController {
				s.t.Fatalf("written to a closed link")
			}
			if e.dropsWrites || e.closed { // its end is on the way
				break
			}
			if !f.Permit.ValidAt(s.now+s.writeDelay) || f.PolicyVersion != 0 && !s.mayWrite(f) {
				s.pendingEvents = append(s.pendingEvents, Event{Kind: WriteRejected, Connection: f.Connection})
				s.closeConnection(e)
				break
			}
			s.pendingEvents = append(s.pendingEvents, Event{Kind: BytesWritten, Connection: f.Connection, ByteCount: len(f.Bytes)})
			if e.isClient {
				s.checkAnswer(e, f.Bytes)
			} else if e.address != "feed" {
				e.received = append(e.received, f.Bytes...)
				s.readCalls(e)
			}
		case Close:
			s.writeLog = append(s.writeLog, fmt.Sprintf("%v %d close", s.now, e.number))
			e.closedByController, e.aborted = true, f.Abort
			if m := s.engines[e.address]; m != nil && f.Abort { // else the kernel goes on sending it
				m.delayedCalls = slices.DeleteFunc(m.delayedCalls, func(h *pendingCall) bool { return h.connection == e })
			}
			if e.established {
				s.closeConnection(e)
			} else {
				e.closed = true
				s.pendingEvents = append(s.pendingEvents, Event{Kind: ConnectTimedOut, Connection: e.connection})
			}
		case SetTimer:
			s.timerAt = s.now + f.Timeout
		case LogMessage, LogCounters:
			s.logLines = append(s.logLines, f.Text)
		case ReportToFleet:
			if s.rejectReports {
				s.pendingEvents = append(s.pendingEvents, Event{Kind: FleetReportRejected, Report: f.Report})
			} else {
				s.reports = append(s.reports, *f.Report)
			}
		case Exit:
			s.exited = true
		}
	}
}

// closeConnection ends a connection, whichever side closed it.
func (s *harness) closeConnection(e *fakeConnection) {
	if !e.closed {
		e.closed = true
		s.pendingCalls = slices.DeleteFunc(s.pendingCalls, func(h *pendingCall) bool { return h.connection == e })
		s.pendingEvents = append(s.pendingEvents, Event{Kind: ConnectionClosed, Connection: e.connection})
	}
}

// runUntil lets time pass, with the timers that come due, healthy engines' responses to polls, and dials.
func (s *harness) runUntil(t time.Duration) {
	for !s.exited {
		next, what := t, func() {}
		soonest := func(at time.Duration, do func()) {
			if at < next {
				next, what = max(at, s.now), do
			}
		}
		if s.timerAt >= 0 {
			soonest(s.timerAt, func() { s.timerAt = -1; s.step(Event{Kind: TimerFired}) })
		}
		for _, h := range s.pendingCalls {
			if !h.engine.unresponsive && !h.engine.networkCut {
				take := time.Millisecond
				if h.isLongPoll() {
					take = engineResponseDelay
				}
				soonest(h.writtenAt+take, func() { s.respond(h, "runs") })
			}
		}
		for _, e := range s.connections {
			if !e.established && !e.closed {
				s.scheduleDialOutcome(e, soonest)
			}
		}
		for _, m := range s.sortedEngines() {
			for _, id := range slices.Sorted(maps.Keys(m.runs)) {
				if x := m.runs[id]; !x.ended {
					soonest(x.polledAt+engineResponseDelay+2*time.Second, func() { s.endRun(x, true) })
				}
			}
		}
		if what != nil && next >= t {
			s.now = t
			break
		}
		s.now = next
		what()
		s.checkDeadlines()
	}
	s.checkDeadlines()
}

func (s *harness) scheduleDialOutcome(e *fakeConnection, soonest func(time.Duration, func())) {
	m := s.engines[e.address]
	up := func() { e.established = true; s.step(Event{Kind: Connected, Connection: e.connection}) }
	fail := func(kind EventKind) func() {
		return func() { e.closed = true; s.step(Event{Kind: kind, Connection: e.connection}) }
	}
	switch {
	case m == nil && s.discoveryReachable:
		soonest(e.dialledAt+time.Millisecond, func() { up(); s.listEngines("") })
	case m == nil || m.unresponsive || m.networkCut:
		soonest(e.dialledAt+engineResponseDelay, fail(ConnectTimedOut))
	case m.refusesConnections:
		soonest(e.dialledAt+time.Millisecond, fail(ConnectRefused))
	default:
		soonest(e.dialledAt+time.Millisecond, up)
	}
}

func (s *harness) checkDeadlines() {
	for _, a := range s.queries {
		if a.answer == "" && !a.cancelled && s.now > a.deadline+20*time.Millisecond {
			s.t.Fatalf("rule 1: no answer to %s in time", a.id)
		}
	}
}

func (s *harness) openQueries(e *fakeConnection) (n int) {
	for _, a := range s.queries {
		if a.connection == e && a.answer == "" && !a.cancelled {
			n++
		}
	}
	return n
}

// runRandom has choices say what happens, and then shuts down.
func (s *harness) runRandom(choices []uint16) {
	s.randomEvents(choices)
	s.runUntil(s.now + 12*time.Second)
	s.step(Event{Kind: ShutdownRequested})
	s.runUntil(s.now + 6*time.Second)
	if !s.exited {
		s.t.Fatalf("it does not end: %d queries open", len(s.controller.queries))
	}
}

func (s *harness) randomEvents(choices []uint16) {
	clients := []*fakeConnection{s.connect(), s.connect()}
	for _, c := range choices {
		kind, x := int(c%16), int(c/16)
		c, all := clients[x%2], s.sortedEngines()
		m := all[x%len(all)]
		switch {
		case kind < 5:
			if c.closed || c.messageCount > 100 || s.openQueries(c) == maxOpenQueries {
				clients[x%2] = s.connect()
				c = clients[x%2]
			}
			group := []string{"lookup", "report", "load", "load"}[x/2%4]
			s.sendQuery(c, group, "k"+strconv.Itoa(x/8%2), time.Duration(400+x%5000)*time.Millisecond, x/16%3)
		case kind < 9:
			if len(s.pendingCalls) > 0 && !s.pendingCalls[x%len(s.pendingCalls)].engine.networkCut {
				s.respond(s.pendingCalls[x%len(s.pendingCalls)], []string{"ok", "ok", "runs", "stuck", "full", "busy", "error", "cut", "lost", "garbled", "short", "twice", "untaken"}[x/64%13])
			}
		case kind < 13:
			s.runUntil(s.now + time.Duration(x%500)*time.Millisecond)
		case kind == 13:
			if len(s.queries) > 0 {
				s.cancel(s.queries[x%len(s.queries)])
			}
		case x%7 == 0:
			s.disconnect(c)
		case x%7 == 1:
			m.state = []string{"SERVING", "DRAINING"}[x/7%2]
			s.listEngines(m.endpointJSON(0))
		case x%7 == 2:
			s.restartEngine(m, x/7%2 == 0)
		case x%7 == 3:
			m.unresponsive = !m.unresponsive
			if !m.unresponsive { // a machine comes back with nothing
				s.restartEngine(m, false)
			}
		case x%7 == 4:
			s.discoveryReachable = !s.discoveryReachable
			if !s.discoveryReachable && s.discovery != nil && s.discovery.established {
				s.closeConnection(s.discovery)
				s.flush()
			}
		case x%7 == 5: // its table of connections is full, or has room again
			m.refusesConnections = !m.refusesConnections
		case m.networkCut:
			s.healNetwork(m)
		case x/7%2 == 0:
			m.networkCut = true
		default:
			s.runUntil(s.now + time.Duration(x)*time.Millisecond)
		}
	}
}

// waitForCall returns the held call of a query, letting time pass until there is one.
func (s *harness) waitForCall(method, id string) *pendingCall {
	for range 1000 {
		for _, h := range s.pendingCalls {
			if h.method == method && h.id == id {
				return h
			}
		}
		s.runUntil(s.now + time.Millisecond)
	}
	s.t.Fatalf("no %s of %s", method, id)
	return nil
}

// Package world plays a controller's reducer, unchanged, against stand-in engines,
// feed and clients in virtual time, on one event queue: same script and seed, same
// history. Bytes go through the real parsers on both sides.
package world

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/feed"
	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/historycheck"
	"railrelay.dev/railrelay/internal/resultstore"
	"railrelay.dev/railrelay/internal/spool"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// World is one run.
type World struct {
	Now         time.Duration
	Controller  *controller.Controller
	Engines     []*Engine
	Clients     []*Client
	Feed        feed.Log
	History     historycheck.History
	Rand        *rand.Rand
	Exited      bool
	SpoolStore  *resultstore.SpoolStore // of the spool's disk, nil: none
	DiskLatency time.Duration           // what work on it takes
	Reports     []fleet.Report
	LogLines    []string // what the controller logged aloud, and its counters

	linkDelay        time.Duration
	events           timerqueue.Queue
	connections      map[*controller.Connection]*connection
	engineByAddress  map[string]*Engine
	feedConnections  []*connection
	timerGeneration  uint64
	eventsAtSameTime int // events without time passing
}

const maxEventsAtSameTime = 1_000_000

// Engine is one stand-in with its place in the list.
type Engine struct {
	*engine.Server
	feed.Engine
	world              *World
	refusesConnections bool // refuses connections
	wakeAt             time.Duration
}

// end is a connection of the controller's as the world sees it.
type connection struct {
	remote     *controller.Connection
	engineConn *engine.Conn
	engine     *Engine
	client     *Client
	closed     bool
	isFeed     bool
	subscribed bool
	input      []byte
}

// Client is one client's connection. Heard is called with each answer.
type Client struct {
	world      *World
	Name       string
	connection *connection
	input      []byte
	lastMsg    uint32
	queries    map[uint32]*Query
	pending    map[uint32]func(ans client.Answer)
	Closed     bool
	OnAnswer   func(a *Query, ans client.Answer)
}

// Asked is a query that a client asked for.
type Query struct {
	ID, Group, Team       string
	Msg                   uint32
	SubmittedAt, Deadline time.Duration
	FirstWait             time.Duration // the first wait told, -1: none
	WaitNotices           int
	StartedAt             time.Duration // when an engine first got it, -1: never
	EndedAt               time.Duration
	Answer                client.Kind
	Answered, Cancelled   bool
	RetryAfter            time.Duration
	Work                  engine.Work
	Priority              int               // at the engine, when it came
	Paging                map[string]string // what an answer told of further pages
	Rows                  []byte            // that the answer had
}

// New makes a world with engines of these figures and a controller of these
// means, whose feed and list are the world's.
func New(seed uint64, engines []engine.Config, controllerConfig controller.Config) *World {
	w := &World{Rand: rand.New(rand.NewPCG(seed, 1)), connections: map[*controller.Connection]*connection{}, engineByAddress: map[string]*Engine{},
		linkDelay: 100 * time.Microsecond}
	var all []feed.Engine
	for i, config := range engines {
		e := w.addEngine(i, config, false)
		all = append(all, e.Engine)
	}
	w.Feed.Append(true, all...)
	controllerConfig.Seed, controllerConfig.DiscoveryAddress, controllerConfig.InitialEndpoints = seed, "feed", w.Feed.ConfigurationJSON()
	w.History.KeyRest = time.Duration(parseNumber(controllerConfig.Settings["key.rest"])) * time.Millisecond
	w.History.Grace = time.Duration(parseNumber(controllerConfig.Settings["drain.grace"])) * time.Millisecond
	w.History.Most = int(parseNumber(controllerConfig.Settings["submissions.most"]))
	for i := range int(parseNumber(controllerConfig.Settings["groups"])) {
		at := fmt.Sprintf("group.%d.", i)
		w.History.Group(controllerConfig.Settings[at+"name"], controllerConfig.Settings[at+"effect"], controllerConfig.Settings[at+"in-order"] == "true")
	}
	r, effects := controller.New(controllerConfig)
	w.Controller = r
	w.perform(effects)
	return w
}

func parseNumber(text string) float64 {
	var x float64
	fmt.Sscanf(text, "%g", &x)
	return x
}

func (w *World) addEngine(i int, f engine.Config, cold bool) *Engine {
	e := &Engine{Server: engine.NewServer(engine.NewModel(f, w.Now, cold)), world: w, wakeAt: -1}
	e.Engine = feed.Engine{ID: fmt.Sprintf("e%d", i), HostPort: fmt.Sprintf("10.0.0.%d:6565", i+1), Locality: "here",
		Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1}
	e.OnSubmit = func(id, group string, rank int, at time.Duration) {
		w.History.Submitted(at, id, e.ID, e.Phase == "SERVING")
		for _, c := range w.Clients {
			for _, a := range c.queries {
				if a.ID == id && a.StartedAt < 0 {
					a.StartedAt, a.Priority = at, rank
				}
			}
		}
	}
	e.OnEnd = func(id string, outcome engine.Outcome, at time.Duration) {
		w.History.Ended(at, id, e.ID, outcome == engine.Succeeded)
	}
	w.Engines = append(w.Engines, e)
	w.engineByAddress[e.HostPort] = e
	return e
}

// At has something done at a time.
func (w *World) Schedule(at time.Duration, do func()) {
	w.events.Add(max(at, w.Now), do)
}

// After has something done after a span.
func (w *World) ScheduleAfter(span time.Duration, do func()) { w.Schedule(w.Now+span, do) }

// Until plays up to a time.
func (w *World) RunUntil(end time.Duration) {
	for at, ok := w.events.NextDue(); ok && at <= end; at, ok = w.events.NextDue() {
		if at > w.Now {
			w.eventsAtSameTime = 0
		} else if w.eventsAtSameTime++; w.eventsAtSameTime > maxEventsAtSameTime {
			panic("the world stands still at " + w.Now.String())
		}
		w.Now = at
		do, _ := w.events.PopDue(at)
		do()
	}
	w.Now = max(w.Now, end)
}

func (w *World) step(ev controller.Event) {
	if !w.Exited { // what it wrote before is on its way still
		w.perform(w.Controller.Step(w.Now, ev))
	}
}

func (w *World) perform(effects []controller.Effect) {
	for _, f := range effects {
		e := w.connections[f.Connection]
		switch f.Kind {
		case controller.Dial:
			w.dial(f.Connection, f.Address, f.Timeout)
		case controller.Write:
			if e == nil || e.closed {
				break
			}
			p := append([]byte{}, f.Bytes...)
			w.ScheduleAfter(0, func() {
				if !e.closed {
					w.step(controller.Event{Kind: controller.BytesWritten, Connection: e.remote, ByteCount: len(p)})
				}
			})
			w.ScheduleAfter(w.linkDelay, func() { w.deliver(e, p) })
		case controller.Close:
			if e != nil {
				at := time.Duration(0)
				if f.Graceful { // what was written before comes first
					at = w.linkDelay
				}
				w.ScheduleAfter(at, func() { w.closeConnection(e) })
			}
		case controller.SetTimer:
			w.timerGeneration++
			mine := w.timerGeneration
			w.ScheduleAfter(f.Timeout, func() {
				if mine == w.timerGeneration {
					w.step(controller.Event{Kind: controller.TimerFired})
				}
			})
		case controller.LogMessage, controller.LogCounters:
			if f.Warning || f.Kind == controller.LogCounters {
				w.LogLines = append(w.LogLines, f.Text)
			}
		case controller.SubmitSpoolWork:
			work := f.SpoolWork
			w.ScheduleAfter(w.DiskLatency, func() {
				if work.Fetch != nil {
					w.SpoolStore.Read(work)
				} else {
					w.SpoolStore.Write([]*spool.Work{work})
					if w.runErase(); work.Erase {
						return
					}
				}
				w.step(controller.Event{Kind: controller.SpoolWorkDone, SpoolWork: work})
			})
		case controller.ReportToFleet:
			w.Reports = append(w.Reports, *f.Report)
		case controller.Exit:
			w.Exited = true
		}
	}
}

// erase steps the disk, on and on while anything is to be erased.
func (w *World) runErase() {
	w.SpoolStore.Tick()
	for _, work := range w.SpoolStore.TakeErased() {
		w.step(controller.Event{Kind: controller.SpoolWorkDone, SpoolWork: work})
	}
	if w.SpoolStore.ErasePending() {
		w.ScheduleAfter(w.DiskLatency, w.runErase)
	}
}

func (w *World) dial(link *controller.Connection, address string, within time.Duration) {
	e := &connection{remote: link}
	w.connections[link] = e
	if address == "feed" {
		e.isFeed = true
		w.feedConnections = append(w.feedConnections, e)
		w.ScheduleAfter(2*w.linkDelay, func() { w.step(controller.Event{Kind: controller.Connected, Connection: link}) })
		return
	}
	to := w.engineByAddress[address]
	switch {
	case to != nil && to.refusesConnections:
		w.ScheduleAfter(2*w.linkDelay, func() {
			delete(w.connections, link)
			w.step(controller.Event{Kind: controller.ConnectRefused, Connection: link})
		})
		return
	case to == nil || to.Unreachable():
		w.ScheduleAfter(within, func() {
			delete(w.connections, link)
			w.step(controller.Event{Kind: controller.ConnectTimedOut, Connection: link})
		})
		return
	}
	e.engine = to
	e.engineConn = &engine.Conn{
		Write: func(p []byte) {
			p = append([]byte{}, p...)
			w.ScheduleAfter(w.linkDelay, func() { w.deliverToController(e, p) })
		},
		Close: func() { w.ScheduleAfter(w.linkDelay, func() { w.closeConnection(e) }) },
	}
	w.ScheduleAfter(2*w.linkDelay, func() {
		if !e.closed {
			to.Accept(e.engineConn)
			w.step(controller.Event{Kind: controller.Connected, Connection: link})
		}
	})
}

// arrived brings what the controller wrote to whoever it is for.
func (w *World) deliver(e *connection, p []byte) {
	switch {
	case e.closed:
	case e.engine != nil:
		e.engine.Receive(w.Now, e.engineConn, p)
		e.engine.scheduleWake()
	case e.client != nil:
		e.client.receive(p)
	case e.isFeed:
		if e.input = append(e.input, p...); !e.subscribed && strings.Contains(string(e.input), "\n") {
			e.subscribed = true
			n, _ := feed.ParseSubscription(e.input)
			lines := w.Feed.EventsSince(n)
			w.ScheduleAfter(w.linkDelay, func() { w.deliverToController(e, lines) })
			w.scheduleHeartbeat(e)
		}
	}
}

func (w *World) scheduleHeartbeat(e *connection) {
	w.ScheduleAfter(time.Second, func() {
		if !e.closed {
			w.deliverToController(e, w.Feed.Heartbeat())
			w.scheduleHeartbeat(e)
		}
	})
}

// feedBytes brings bytes to the controller.
func (w *World) deliverToController(e *connection, p []byte) {
	for len(p) > 0 && !e.closed {
		n := copy(e.remote.Received.FreeSpace(), p)
		p = p[n:]
		w.step(controller.Event{Kind: controller.BytesReceived, Connection: e.remote, ByteCount: n})
	}
}

func (w *World) closeConnection(e *connection) {
	if e.closed {
		return
	}
	e.closed = true
	delete(w.connections, e.remote)
	if e.engine != nil {
		e.engine.Server.Disconnected(e.engineConn)
	}
	if e.client != nil {
		e.client.Closed = true
		for _, a := range e.client.queries {
			if !a.Answered {
				a.Cancelled = true
				w.History.Left(w.Now, a.ID)
			}
		}
		clear(e.client.queries)
	}
	w.step(controller.Event{Kind: controller.ConnectionClosed, Connection: e.remote})
}

// wake asks for the engine's next due time.
func (e *Engine) scheduleWake() {
	at, ok := e.NextDue()
	if !ok || e.wakeAt >= 0 && e.wakeAt <= at {
		return
	}
	e.wakeAt = at
	e.world.Schedule(at, func() {
		if e.wakeAt == at {
			e.wakeAt = -1
			e.ProcessDue(e.world.Now)
			e.scheduleWake()
		}
	})
}

// Tell changes an engine's state in the list and tells all that follow it.
func (w *World) SetPhase(e *Engine, phase string) {
	from := w.Feed.LastEvent()
	e.Phase = phase
	w.Feed.Append(false, e.Engine)
	lines := w.Feed.EventsSince(from)
	for _, f := range w.feedConnections {
		if f.subscribed && !f.closed {
			w.ScheduleAfter(w.linkDelay, func() { w.deliverToController(f, lines) })
		}
	}
	w.History.State(w.Now+w.linkDelay, e.ID, phase == "SERVING")
}

// Vanish has a machine say nothing any more; Crash ends its process, which comes
// back cold after a span.
func (e *Engine) MakeUnreachable() { e.SetUnreachable(e.world.Now, true) }

func (e *Engine) Crash(back time.Duration) {
	e.refusesConnections = true
	e.Reset(e.world.Now, true)
	e.world.ScheduleAfter(back, func() {
		e.refusesConnections = false
		e.Restart(e.world.Now)
		e.UpSinceMs = int64((e.world.Now) / time.Millisecond)
		e.world.SetPhase(e, "SERVING")
	})
}

// Stall stops an engine for a span.
func (e *Engine) Stall(span time.Duration) {
	e.Pause(e.world.Now)
	e.world.ScheduleAfter(span, func() {
		e.Resume(e.world.Now)
		e.ProcessDue(e.world.Now)
		e.scheduleWake()
	})
}

// Connect makes a client's connection from an address.
func (w *World) Connect(name string, from netip.Addr) *Client {
	c := &Client{world: w, Name: name, queries: map[uint32]*Query{}, pending: map[uint32]func(ans client.Answer){}}
	c.connection = &connection{remote: &controller.Connection{RemoteAddress: from}, client: c}
	w.connections[c.connection.remote] = c.connection
	w.Clients = append(w.Clients, c)
	w.step(controller.Event{Kind: controller.ClientAccepted, Connection: c.connection.remote})
	return c
}

// Ask sends a query; more are further fields.
func (c *Client) Submit(id, group, key string, patience time.Duration, work engine.Work, more ...string) *Query {
	w := c.world
	c.lastMsg++
	a := &Query{ID: id, Group: group, Team: c.Name, Msg: c.lastMsg, SubmittedAt: w.Now, Deadline: w.Now + patience, FirstWait: -1, StartedAt: -1, Work: work}
	fields := append([]string{"trace", id, "patience", fmt.Sprint(patience.Milliseconds())}, more...)
	if key != "" {
		fields = append(fields, "entity", key)
	}
	c.queries[a.Msg] = a
	w.History.Asked(w.Now, id, group, key, a.Deadline)
	w.deliverToController(c.connection, client.AppendQuery(nil, a.Msg, group, engine.Statement(work), fields...))
	return a
}

// Page asks for a page of a result; then is called with the answer.
func (c *Client) Page(token string, page int, then func(ans client.Answer), fields ...string) {
	c.lastMsg++
	c.pending[c.lastMsg] = then
	c.world.deliverToController(c.connection, client.AppendPageRequest(nil, c.lastMsg, token, strconv.Itoa(page), fields...))
}

// Purge asks for what is kept of its team to go; then is called with the answer.
func (c *Client) Purge(then func(ans client.Answer), fields ...string) {
	c.lastMsg++
	c.pending[c.lastMsg] = then
	c.world.deliverToController(c.connection, client.AppendPurgeRequest(nil, c.lastMsg, fields...))
}

// Order has the controller do what a fleet orders; Reports has what it told in turn.
func (w *World) SendOrder(o fleet.Order) {
	w.step(controller.Event{Kind: controller.FleetOrderReceived, Order: &o})
}

// Leave takes a query back.
func (c *Client) Cancel(a *Query) {
	if !a.Answered && !a.Cancelled && !c.Closed {
		a.Cancelled = true
		c.world.History.Left(c.world.Now, a.ID)
		c.world.deliverToController(c.connection, client.AppendCancel(nil, a.Msg))
	}
}

// Drop ends the client's connection.
func (c *Client) Disconnect() { c.world.closeConnection(c.connection) }

func (c *Client) receive(p []byte) {
	c.input = append(c.input, p...)
	for {
		answer, n, err := client.Read(c.input)
		if err != nil {
			c.world.History.Broken(c.world.Now, c.Name+": "+err.Error())
			c.Disconnect()
			return
		}
		if n == 0 {
			return
		}
		c.input = append([]byte{}, c.input[n:]...)
		a := c.queries[answer.Msg]
		if then := c.pending[answer.Msg]; then != nil {
			delete(c.pending, answer.Msg)
			then(answer)
			continue
		}
		if a == nil {
			if answer.Kind != client.WaitNotice && answer.Kind != client.Ready && !(answer.Kind == client.Killed && answer.Msg > c.lastMsg) {
				c.world.History.Broken(c.world.Now, fmt.Sprintf("%s: an answer to %d that nobody waits for", c.Name, answer.Msg))
			}
			continue
		}
		if answer.Kind == client.WaitNotice {
			if a.WaitNotices++; a.FirstWait < 0 {
				a.FirstWait = answer.Wait
			}
		} else {
			a.Answered, a.Answer, a.EndedAt, a.RetryAfter = true, answer.Kind, c.world.Now, answer.Wait
			delete(c.queries, a.Msg)
			if !a.Cancelled {
				a.Rows, a.Paging = answer.Rows, answer.Fields
				made := ExpectedRows(a)
				if a.Paging["token"] != "" { // whoever asks for the other pages compares them
					made = made[:min(len(made), len(answer.Rows))]
				}
				c.world.History.Answered(c.world.Now, a.ID, historycheck.Answer(answer.Kind), answer.Rows, made)
			}
		}
		if c.OnAnswer != nil {
			c.OnAnswer(a, answer)
		}
	}
}

// Rows is the result that engines make of a query.
func ExpectedRows(a *Query) []byte {
	var b []byte
	for i := range a.Work.Rows {
		b = append(b, engine.Row(a.ID, i)...)
	}
	return b
}

// Stop tells the controller to end, Reload to follow other teams.
func (w *World) Stop() { w.step(controller.Event{Kind: controller.ShutdownRequested}) }

func (w *World) Reload(shape *fairqueue.Config) {
	w.step(controller.Event{Kind: controller.ConfigurationReloaded, DiscoveryAddress: "feed", Tenants: shape})
}

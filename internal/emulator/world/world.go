// Package world runs the production code of a controller's reducer against emulated engines, a feed
// and clients in virtual time, on one event queue. The same script and seed give the same history.
// Bytes pass through the real parsers on both sides.
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

// World is one simulation run.
type World struct {
	Now         time.Duration
	Controller  *controller.Controller
	Engines     []*Engine
	Clients     []*Client
	Feed        feed.Log
	History     historycheck.History
	Rand        *rand.Rand
	Exited      bool
	SpoolStore  *resultstore.SpoolStore // store of the spool; nil if there is none
	DiskLatency time.Duration           // duration of each spool operation
	Reports     []fleet.Report
	LogLines    []string // the controller's warnings and counters

	linkDelay        time.Duration
	events           timerqueue.Queue
	connections      map[*controller.Connection]*connection
	engineByAddress  map[string]*Engine
	feedConnections  []*connection
	timerGeneration  uint64
	eventsAtSameTime int // events since the time last advanced
}

// maxEventsAtSameTime is how many events may occur at one time before RunUntil panics.
const maxEventsAtSameTime = 1_000_000

// Engine is an emulated engine with its entry in the feed.
type Engine struct {
	*engine.Server
	feed.Engine
	world              *World
	refusesConnections bool
	wakeAt             time.Duration
}

// connection is a connection between the controller and an engine, a client or the feed.
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

// Client is one client's connection. OnAnswer, if set, is called with each response to a query.
type Client struct {
	world      *World
	Name       string
	connection *connection
	input      []byte
	lastMsg    uint32
	queries    map[uint32]*Query
	pending    map[uint32]func(ans client.Answer) // callbacks of Page and Purge, by message ID
	Closed     bool
	OnAnswer   func(a *Query, ans client.Answer)
}

// Query is a query that a client submitted.
type Query struct {
	ID, Group, Tenant     string
	Msg                   uint32
	SubmittedAt, Deadline time.Duration
	FirstWait             time.Duration // wait in the first wait notice; -1 if none
	WaitNotices           int
	StartedAt             time.Duration // when an engine first received it; -1 if never
	EndedAt               time.Duration
	Answer                client.Kind
	Answered, Cancelled   bool // Cancelled is also set when the client's connection closes
	RetryAfter            time.Duration
	Work                  engine.Work
	Priority              int               // at the engine, at submission
	Paging                map[string]string // fields of the response, for requests of further pages
	Rows                  []byte            // rows of the response
}

// New creates a world with one engine per element of engines and a controller with a configuration.
// The feed and the initial list of engines are set by New.
func New(seed uint64, engines []engine.Config, controllerConfig controller.Config) *World {
	w := &World{Rand: rand.New(rand.NewPCG(seed, 1)), connections: map[*controller.Connection]*connection{},
		engineByAddress: map[string]*Engine{}, linkDelay: 100 * time.Microsecond}
	var all []feed.Engine
	for i, config := range engines {
		e := w.addEngine(i, config, false)
		all = append(all, e.Engine)
	}
	w.Feed.Append(true, all...)
	controllerConfig.Seed, controllerConfig.DiscoveryAddress = seed, "feed"
	controllerConfig.InitialEndpoints = w.Feed.ConfigurationJSON()
	settings := controllerConfig.Settings
	w.History.KeyRest = time.Duration(parseNumber(settings["key.rest"])) * time.Millisecond
	w.History.DrainGrace = time.Duration(parseNumber(settings["drain.grace"])) * time.Millisecond
	w.History.MaxSubmissions = int(parseNumber(settings["submissions.most"]))
	for i := range int(parseNumber(settings["groups"])) {
		at := fmt.Sprintf("group.%d.", i)
		w.History.AddGroup(settings[at+"name"], settings[at+"effect"], settings[at+"in-order"] == "true")
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
	e.Engine = feed.Engine{ID: fmt.Sprintf("e%d", i), HostPort: fmt.Sprintf("10.0.0.%d:6565", i+1),
		Locality: "here", Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1}
	e.OnSubmit = func(id, group string, priority int, at time.Duration) {
		w.History.Submitted(at, id, e.ID, e.Phase == "SERVING")
		for _, c := range w.Clients {
			for _, a := range c.queries {
				if a.ID == id && a.StartedAt < 0 {
					a.StartedAt, a.Priority = at, priority
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

// Schedule runs do at a time, or now if the time has passed.
func (w *World) Schedule(at time.Duration, do func()) {
	w.events.Add(max(at, w.Now), do)
}

// ScheduleAfter runs do after a span.
func (w *World) ScheduleAfter(span time.Duration, do func()) { w.Schedule(w.Now+span, do) }

// RunUntil processes all events up to a time. It panics if the time stops advancing.
func (w *World) RunUntil(end time.Duration) {
	for at, ok := w.events.NextDue(); ok && at <= end; at, ok = w.events.NextDue() {
		if at > w.Now {
			w.eventsAtSameTime = 0
		} else if w.eventsAtSameTime++; w.eventsAtSameTime > maxEventsAtSameTime {
			panic("too many events without progress at " + w.Now.String())
		}
		w.Now = at
		do, _ := w.events.PopDue(at)
		do()
	}
	w.Now = max(w.Now, end)
}

func (w *World) step(ev controller.Event) {
	if !w.Exited { // bytes written before the exit are still delivered
		w.perform(w.Controller.Step(w.Now, ev))
	}
}

func (w *World) perform(effects []controller.Effect) {
	for _, effect := range effects {
		e := w.connections[effect.Connection]
		switch effect.Kind {
		case controller.Dial:
			w.dial(effect.Connection, effect.Address, effect.Timeout)
		case controller.Write:
			if e == nil || e.closed {
				break
			}
			p := append([]byte{}, effect.Bytes...)
			w.ScheduleAfter(0, func() {
				if !e.closed {
					w.step(controller.Event{Kind: controller.BytesWritten, Connection: e.remote, ByteCount: len(p)})
				}
			})
			w.ScheduleAfter(w.linkDelay, func() { w.deliver(e, p) })
		case controller.Close:
			if e != nil {
				delay := time.Duration(0)
				if effect.Graceful { // deliver the bytes written before
					delay = w.linkDelay
				}
				w.ScheduleAfter(delay, func() { w.closeConnection(e) })
			}
		case controller.SetTimer:
			w.timerGeneration++
			generation := w.timerGeneration
			w.ScheduleAfter(effect.Timeout, func() {
				if generation == w.timerGeneration {
					w.step(controller.Event{Kind: controller.TimerFired})
				}
			})
		case controller.LogMessage, controller.LogCounters:
			if effect.Warning || effect.Kind == controller.LogCounters {
				w.LogLines = append(w.LogLines, effect.Text)
			}
		case controller.SubmitSpoolWork:
			work := effect.SpoolWork
			w.ScheduleAfter(w.DiskLatency, func() {
				if work.Fetch != nil {
					w.SpoolStore.Read(work)
				} else {
					w.SpoolStore.Write([]*spool.DiskTask{work})
					if w.runErase(); work.Erase {
						return
					}
				}
				w.step(controller.Event{Kind: controller.SpoolWorkDone, SpoolWork: work})
			})
		case controller.ReportToFleet:
			w.Reports = append(w.Reports, *effect.Report)
		case controller.Exit:
			w.Exited = true
		}
	}
}

// runErase advances the spool store's erasures by one step, and schedules the next one while any is pending.
func (w *World) runErase() {
	w.SpoolStore.Tick()
	for _, work := range w.SpoolStore.TakeErased() {
		w.step(controller.Event{Kind: controller.SpoolWorkDone, SpoolWork: work})
	}
	if w.SpoolStore.ErasePending() {
		w.ScheduleAfter(w.DiskLatency, w.runErase)
	}
}

func (w *World) dial(link *controller.Connection, address string, timeout time.Duration) {
	e := &connection{remote: link}
	w.connections[link] = e
	if address == "feed" {
		e.isFeed = true
		w.feedConnections = append(w.feedConnections, e)
		w.ScheduleAfter(2*w.linkDelay, func() {
			w.step(controller.Event{Kind: controller.Connected, Connection: link})
		})
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
		w.ScheduleAfter(timeout, func() {
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

// deliver passes bytes written by the controller to the other end of the connection.
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

// deliverToController passes bytes to the controller.
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
				w.History.ClientLeft(w.Now, a.ID)
			}
		}
		clear(e.client.queries)
	}
	w.step(controller.Event{Kind: controller.ConnectionClosed, Connection: e.remote})
}

// scheduleWake schedules the engine's next due time.
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

// SetPhase changes an engine's phase in the feed and sends the event to all subscribers.
func (w *World) SetPhase(e *Engine, phase string) {
	lastEvent := w.Feed.LastEvent()
	e.Phase = phase
	w.Feed.Append(false, e.Engine)
	lines := w.Feed.EventsSince(lastEvent)
	for _, f := range w.feedConnections {
		if f.subscribed && !f.closed {
			w.ScheduleAfter(w.linkDelay, func() { w.deliverToController(f, lines) })
		}
	}
	w.History.SetServing(w.Now+w.linkDelay, e.ID, phase == "SERVING")
}

// MakeUnreachable cuts the engine's machine off from the network.
func (e *Engine) MakeUnreachable() { e.SetUnreachable(e.world.Now, true) }

// Crash ends the engine's process, which restarts cold after a span.
func (e *Engine) Crash(downtime time.Duration) {
	const cold = true
	e.refusesConnections = true
	e.Reset(e.world.Now, cold)
	e.world.ScheduleAfter(downtime, func() {
		e.refusesConnections = false
		e.Restart(e.world.Now)
		e.UpSinceMs = int64((e.world.Now) / time.Millisecond)
		e.world.SetPhase(e, "SERVING")
	})
}

// Stall pauses an engine for a span.
func (e *Engine) Stall(span time.Duration) {
	e.Pause(e.world.Now)
	e.world.ScheduleAfter(span, func() {
		e.Resume(e.world.Now)
		e.ProcessDue(e.world.Now)
		e.scheduleWake()
	})
}

// Connect opens a client's connection from an address.
func (w *World) Connect(name string, from netip.Addr) *Client {
	c := &Client{world: w, Name: name, queries: map[uint32]*Query{},
		pending: map[uint32]func(ans client.Answer){}}
	c.connection = &connection{remote: &controller.Connection{RemoteAddress: from}, client: c}
	w.connections[c.connection.remote] = c.connection
	w.Clients = append(w.Clients, c)
	w.step(controller.Event{Kind: controller.ClientAccepted, Connection: c.connection.remote})
	return c
}

// Submit sends a query. more holds the names and values of additional fields.
func (c *Client) Submit(
	id, group, key string, patience time.Duration, work engine.Work, more ...string,
) *Query {
	w := c.world
	c.lastMsg++
	query := &Query{ID: id, Group: group, Tenant: c.Name, Msg: c.lastMsg,
		SubmittedAt: w.Now, Deadline: w.Now + patience, FirstWait: -1, StartedAt: -1, Work: work}
	fields := append([]string{"trace", id, "patience", fmt.Sprint(patience.Milliseconds())}, more...)
	if key != "" {
		fields = append(fields, "entity", key)
	}
	c.queries[query.Msg] = query
	w.History.Received(w.Now, id, group, key, query.Deadline)
	request := client.AppendQuery(nil, query.Msg, group, engine.Statement(work), fields...)
	w.deliverToController(c.connection, request)
	return query
}

// Page requests a page of a result and calls then with the response.
func (c *Client) Page(token string, page int, then func(ans client.Answer), fields ...string) {
	c.lastMsg++
	c.pending[c.lastMsg] = then
	request := client.AppendPageRequest(nil, c.lastMsg, token, strconv.Itoa(page), fields...)
	c.world.deliverToController(c.connection, request)
}

// Purge requests a purge of the tenant's stored results and calls then with the response.
func (c *Client) Purge(then func(ans client.Answer), fields ...string) {
	c.lastMsg++
	c.pending[c.lastMsg] = then
	c.world.deliverToController(c.connection, client.AppendPurgeRequest(nil, c.lastMsg, fields...))
}

// SendOrder delivers a fleet's order to the controller, whose reports are added to Reports.
func (w *World) SendOrder(o fleet.Order) {
	w.step(controller.Event{Kind: controller.FleetOrderReceived, Order: &o})
}

// Cancel cancels a query unless it has ended.
func (c *Client) Cancel(query *Query) {
	if !query.Answered && !query.Cancelled && !c.Closed {
		query.Cancelled = true
		c.world.History.ClientLeft(c.world.Now, query.ID)
		c.world.deliverToController(c.connection, client.AppendCancel(nil, query.Msg))
	}
}

// Disconnect closes the client's connection.
func (c *Client) Disconnect() { c.world.closeConnection(c.connection) }

func (c *Client) receive(p []byte) {
	c.input = append(c.input, p...)
	for {
		answer, n, err := client.Read(c.input)
		if err != nil {
			c.world.History.AddFault(c.world.Now, c.Name+": "+err.Error())
			c.Disconnect()
			return
		}
		if n == 0 {
			return
		}
		c.input = append([]byte{}, c.input[n:]...)
		query := c.queries[answer.Msg]
		if then := c.pending[answer.Msg]; then != nil {
			delete(c.pending, answer.Msg)
			then(answer)
			continue
		}
		if query == nil {
			if answer.Kind != client.WaitNotice && answer.Kind != client.Ready &&
				!(answer.Kind == client.Killed && answer.Msg > c.lastMsg) {
				text := fmt.Sprintf("%s: unexpected response to message %d", c.Name, answer.Msg)
				c.world.History.AddFault(c.world.Now, text)
			}
			continue
		}
		if answer.Kind == client.WaitNotice {
			if query.WaitNotices++; query.FirstWait < 0 {
				query.FirstWait = answer.Wait
			}
		} else {
			query.Answered, query.Answer, query.EndedAt, query.RetryAfter = true, answer.Kind, c.world.Now, answer.Wait
			delete(c.queries, query.Msg)
			if !query.Cancelled {
				query.Rows, query.Paging = answer.Rows, answer.Fields
				expected := ExpectedRows(query)
				if query.Paging["token"] != "" { // further pages are compared by the caller that requests them
					expected = expected[:min(len(expected), len(answer.Rows))]
				}
				kind := historycheck.Answer(answer.Kind)
				c.world.History.Answered(c.world.Now, query.ID, kind, answer.Rows, expected)
			}
		}
		if c.OnAnswer != nil {
			c.OnAnswer(query, answer)
		}
	}
}

// ExpectedRows returns the result that the engines produce for a query.
func ExpectedRows(query *Query) []byte {
	var b []byte
	for i := range query.Work.Rows {
		b = append(b, engine.Row(query.ID, i)...)
	}
	return b
}

// Stop requests a shutdown of the controller.
func (w *World) Stop() { w.step(controller.Event{Kind: controller.ShutdownRequested}) }

// Reload gives the controller a new configuration of tenants.
func (w *World) Reload(tenants *fairqueue.Config) {
	w.step(controller.Event{Kind: controller.ConfigurationReloaded, DiscoveryAddress: "feed", Tenants: tenants})
}

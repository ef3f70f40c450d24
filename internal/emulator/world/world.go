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

	delay  time.Duration
	events timerqueue.Queue
	ends   map[*controller.Connection]*end
	byAddr map[string]*Engine
	feeds  []*end
	woken  uint64
	still  int // events without time passing
}

const stillMost = 1_000_000

// Engine is one stand-in with its place in the list.
type Engine struct {
	*engine.Server
	feed.Engine
	w      *World
	down   bool // refuses connections
	wakeAt time.Duration
}

// end is a connection of the controller's as the world sees it.
type end struct {
	link  *controller.Connection
	conn  *engine.Conn
	to    *Engine
	from  *Client
	gone  bool
	feed  bool
	known bool
	in    []byte
}

// Client is one client's connection. Heard is called with each answer.
type Client struct {
	w        *World
	Name     string
	end      *end
	in       []byte
	next     uint32
	open     map[uint32]*Query
	pages    map[uint32]func(ans client.Answer)
	Closed   bool
	OnAnswer func(a *Query, ans client.Answer)
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
func New(seed uint64, engines []engine.Config, means controller.Config) *World {
	w := &World{Rand: rand.New(rand.NewPCG(seed, 1)), ends: map[*controller.Connection]*end{}, byAddr: map[string]*Engine{},
		delay: 100 * time.Microsecond}
	var all []feed.Engine
	for i, f := range engines {
		e := w.add(i, f, false)
		all = append(all, e.Engine)
	}
	w.Feed.Append(true, all...)
	means.Seed, means.DiscoveryAddress, means.InitialEndpoints = seed, "feed", w.Feed.ConfigurationJSON()
	w.History.KeyRest = time.Duration(number(means.Settings["key.rest"])) * time.Millisecond
	w.History.Grace = time.Duration(number(means.Settings["drain.grace"])) * time.Millisecond
	w.History.Most = int(number(means.Settings["submissions.most"]))
	for i := range int(number(means.Settings["groups"])) {
		at := fmt.Sprintf("group.%d.", i)
		w.History.Group(means.Settings[at+"name"], means.Settings[at+"effect"], means.Settings[at+"in-order"] == "true")
	}
	r, effects := controller.New(means)
	w.Controller = r
	w.perform(effects)
	return w
}

func number(text string) float64 {
	var x float64
	fmt.Sscanf(text, "%g", &x)
	return x
}

func (w *World) add(i int, f engine.Config, cold bool) *Engine {
	e := &Engine{Server: engine.NewServer(engine.NewModel(f, w.Now, cold)), w: w, wakeAt: -1}
	e.Engine = feed.Engine{ID: fmt.Sprintf("e%d", i), HostPort: fmt.Sprintf("10.0.0.%d:6565", i+1), Locality: "here",
		Flavor: "std", Cell: 1, Phase: "SERVING", Size: 1}
	e.OnSubmit = func(id, group string, rank int, at time.Duration) {
		w.History.Submitted(at, id, e.ID, e.Phase == "SERVING")
		for _, c := range w.Clients {
			for _, a := range c.open {
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
	w.byAddr[e.HostPort] = e
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
			w.still = 0
		} else if w.still++; w.still > stillMost {
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
		e := w.ends[f.Connection]
		switch f.Kind {
		case controller.Dial:
			w.dial(f.Connection, f.Address, f.Timeout)
		case controller.Write:
			if e == nil || e.gone {
				break
			}
			p := append([]byte{}, f.Bytes...)
			w.ScheduleAfter(0, func() {
				if !e.gone {
					w.step(controller.Event{Kind: controller.BytesWritten, Connection: e.link, ByteCount: len(p)})
				}
			})
			w.ScheduleAfter(w.delay, func() { w.arrived(e, p) })
		case controller.Close:
			if e != nil {
				at := time.Duration(0)
				if f.Graceful { // what was written before comes first
					at = w.delay
				}
				w.ScheduleAfter(at, func() { w.lose(e) })
			}
		case controller.SetTimer:
			w.woken++
			mine := w.woken
			w.ScheduleAfter(f.Timeout, func() {
				if mine == w.woken {
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
					w.SpoolStore.Write([]*spool.DiskTask{work})
					if w.erase(); work.Erase {
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
func (w *World) erase() {
	w.SpoolStore.Tick()
	for _, work := range w.SpoolStore.TakeErased() {
		w.step(controller.Event{Kind: controller.SpoolWorkDone, SpoolWork: work})
	}
	if w.SpoolStore.ErasePending() {
		w.ScheduleAfter(w.DiskLatency, w.erase)
	}
}

func (w *World) dial(link *controller.Connection, address string, within time.Duration) {
	e := &end{link: link}
	w.ends[link] = e
	if address == "feed" {
		e.feed = true
		w.feeds = append(w.feeds, e)
		w.ScheduleAfter(2*w.delay, func() { w.step(controller.Event{Kind: controller.Connected, Connection: link}) })
		return
	}
	to := w.byAddr[address]
	switch {
	case to != nil && to.down:
		w.ScheduleAfter(2*w.delay, func() {
			delete(w.ends, link)
			w.step(controller.Event{Kind: controller.ConnectRefused, Connection: link})
		})
		return
	case to == nil || to.Unreachable():
		w.ScheduleAfter(within, func() {
			delete(w.ends, link)
			w.step(controller.Event{Kind: controller.ConnectTimedOut, Connection: link})
		})
		return
	}
	e.to = to
	e.conn = &engine.Conn{
		Write: func(p []byte) {
			p = append([]byte{}, p...)
			w.ScheduleAfter(w.delay, func() { w.feedBytes(e, p) })
		},
		Close: func() { w.ScheduleAfter(w.delay, func() { w.lose(e) }) },
	}
	w.ScheduleAfter(2*w.delay, func() {
		if !e.gone {
			to.Accept(e.conn)
			w.step(controller.Event{Kind: controller.Connected, Connection: link})
		}
	})
}

// arrived brings what the controller wrote to whoever it is for.
func (w *World) arrived(e *end, p []byte) {
	switch {
	case e.gone:
	case e.to != nil:
		e.to.Receive(w.Now, e.conn, p)
		e.to.wake()
	case e.from != nil:
		e.from.got(p)
	case e.feed:
		if e.in = append(e.in, p...); !e.known && strings.Contains(string(e.in), "\n") {
			e.known = true
			n, _ := feed.ParseSubscription(e.in)
			lines := w.Feed.EventsSince(n)
			w.ScheduleAfter(w.delay, func() { w.feedBytes(e, lines) })
			w.beat(e)
		}
	}
}

func (w *World) beat(e *end) {
	w.ScheduleAfter(time.Second, func() {
		if !e.gone {
			w.feedBytes(e, w.Feed.Heartbeat())
			w.beat(e)
		}
	})
}

// feedBytes brings bytes to the controller.
func (w *World) feedBytes(e *end, p []byte) {
	for len(p) > 0 && !e.gone {
		n := copy(e.link.Received.FreeSpace(), p)
		p = p[n:]
		w.step(controller.Event{Kind: controller.BytesReceived, Connection: e.link, ByteCount: n})
	}
}

func (w *World) lose(e *end) {
	if e.gone {
		return
	}
	e.gone = true
	delete(w.ends, e.link)
	if e.to != nil {
		e.to.Server.Disconnected(e.conn)
	}
	if e.from != nil {
		e.from.Closed = true
		for _, a := range e.from.open {
			if !a.Answered {
				a.Cancelled = true
				w.History.Left(w.Now, a.ID)
			}
		}
		clear(e.from.open)
	}
	w.step(controller.Event{Kind: controller.ConnectionClosed, Connection: e.link})
}

// wake asks for the engine's next due time.
func (e *Engine) wake() {
	at, ok := e.NextDue()
	if !ok || e.wakeAt >= 0 && e.wakeAt <= at {
		return
	}
	e.wakeAt = at
	e.w.Schedule(at, func() {
		if e.wakeAt == at {
			e.wakeAt = -1
			e.ProcessDue(e.w.Now)
			e.wake()
		}
	})
}

// Tell changes an engine's state in the list and tells all that follow it.
func (w *World) SetPhase(e *Engine, phase string) {
	from := w.Feed.LastEvent()
	e.Phase = phase
	w.Feed.Append(false, e.Engine)
	lines := w.Feed.EventsSince(from)
	for _, f := range w.feeds {
		if f.known && !f.gone {
			w.ScheduleAfter(w.delay, func() { w.feedBytes(f, lines) })
		}
	}
	w.History.State(w.Now+w.delay, e.ID, phase == "SERVING")
}

// Vanish has a machine say nothing any more; Crash ends its process, which comes
// back cold after a span.
func (e *Engine) MakeUnreachable() { e.SetUnreachable(e.w.Now, true) }

func (e *Engine) Crash(back time.Duration) {
	e.down = true
	e.Reset(e.w.Now, true)
	e.w.ScheduleAfter(back, func() {
		e.down = false
		e.Restart(e.w.Now)
		e.UpSinceMs = int64((e.w.Now) / time.Millisecond)
		e.w.SetPhase(e, "SERVING")
	})
}

// Stall stops an engine for a span.
func (e *Engine) Stall(span time.Duration) {
	e.Pause(e.w.Now)
	e.w.ScheduleAfter(span, func() {
		e.Resume(e.w.Now)
		e.ProcessDue(e.w.Now)
		e.wake()
	})
}

// Connect makes a client's connection from an address.
func (w *World) Connect(name string, from netip.Addr) *Client {
	c := &Client{w: w, Name: name, open: map[uint32]*Query{}, pages: map[uint32]func(ans client.Answer){}}
	c.end = &end{link: &controller.Connection{RemoteAddress: from}, from: c}
	w.ends[c.end.link] = c.end
	w.Clients = append(w.Clients, c)
	w.step(controller.Event{Kind: controller.ClientAccepted, Connection: c.end.link})
	return c
}

// Ask sends a query; more are further fields.
func (c *Client) Submit(id, group, key string, patience time.Duration, work engine.Work, more ...string) *Query {
	w := c.w
	c.next++
	a := &Query{ID: id, Group: group, Team: c.Name, Msg: c.next, SubmittedAt: w.Now, Deadline: w.Now + patience, FirstWait: -1, StartedAt: -1, Work: work}
	fields := append([]string{"trace", id, "patience", fmt.Sprint(patience.Milliseconds())}, more...)
	if key != "" {
		fields = append(fields, "entity", key)
	}
	c.open[a.Msg] = a
	w.History.Asked(w.Now, id, group, key, a.Deadline)
	w.feedBytes(c.end, client.AppendQuery(nil, a.Msg, group, engine.Statement(work), fields...))
	return a
}

// Page asks for a page of a result; then is called with the answer.
func (c *Client) Page(token string, page int, then func(ans client.Answer), fields ...string) {
	c.next++
	c.pages[c.next] = then
	c.w.feedBytes(c.end, client.AppendPageRequest(nil, c.next, token, strconv.Itoa(page), fields...))
}

// Purge asks for what is kept of its team to go; then is called with the answer.
func (c *Client) Purge(then func(ans client.Answer), fields ...string) {
	c.next++
	c.pages[c.next] = then
	c.w.feedBytes(c.end, client.AppendPurgeRequest(nil, c.next, fields...))
}

// Order has the controller do what a fleet orders; Reports has what it told in turn.
func (w *World) SendOrder(o fleet.Order) {
	w.step(controller.Event{Kind: controller.FleetOrderReceived, Order: &o})
}

// Leave takes a query back.
func (c *Client) Cancel(a *Query) {
	if !a.Answered && !a.Cancelled && !c.Closed {
		a.Cancelled = true
		c.w.History.Left(c.w.Now, a.ID)
		c.w.feedBytes(c.end, client.AppendCancel(nil, a.Msg))
	}
}

// Drop ends the client's connection.
func (c *Client) Disconnect() { c.w.lose(c.end) }

func (c *Client) got(p []byte) {
	c.in = append(c.in, p...)
	for {
		ans, n, err := client.Read(c.in)
		if err != nil {
			c.w.History.Broken(c.w.Now, c.Name+": "+err.Error())
			c.Disconnect()
			return
		}
		if n == 0 {
			return
		}
		c.in = append([]byte{}, c.in[n:]...)
		a := c.open[ans.Msg]
		if then := c.pages[ans.Msg]; then != nil {
			delete(c.pages, ans.Msg)
			then(ans)
			continue
		}
		if a == nil {
			if ans.Kind != client.WaitNotice && ans.Kind != client.Ready && !(ans.Kind == client.Killed && ans.Msg > c.next) {
				c.w.History.Broken(c.w.Now, fmt.Sprintf("%s: an answer to %d that nobody waits for", c.Name, ans.Msg))
			}
			continue
		}
		if ans.Kind == client.WaitNotice {
			if a.WaitNotices++; a.FirstWait < 0 {
				a.FirstWait = ans.Wait
			}
		} else {
			a.Answered, a.Answer, a.EndedAt, a.RetryAfter = true, ans.Kind, c.w.Now, ans.Wait
			delete(c.open, a.Msg)
			if !a.Cancelled {
				a.Rows, a.Paging = ans.Rows, ans.Fields
				made := ExpectedRows(a)
				if a.Paging["token"] != "" { // whoever asks for the other pages compares them
					made = made[:min(len(made), len(ans.Rows))]
				}
				c.w.History.Answered(c.w.Now, a.ID, historycheck.Answer(ans.Kind), ans.Rows, made)
			}
		}
		if c.OnAnswer != nil {
			c.OnAnswer(a, ans)
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

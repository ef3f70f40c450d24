// Package controller is the reducer: it owns the decisions and all state of a
// controller, takes one event at a time and asks for effects. It does no I/O
// and reads no clock, so that it can be driven without either. It picks no
// engine, resends, defers and retries nothing by itself: what it can't do it
// tells the decisions as an outcome.
package controller

import (
	"fmt"
	"net/netip"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/bytebuf"
	"railrelay.dev/railrelay/internal/discovery"
	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/invariant"
	"railrelay.dev/railrelay/internal/resultcache"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/settings"
	"railrelay.dev/railrelay/internal/spool"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// EventKind is what an Event tells.
type EventKind int

const (
	ClientAccepted        EventKind = iota // Link came from a client
	Connected                              // Link, dialled, is there
	ConnectRefused                         // Link, dialled, was refused
	ConnectTimedOut                        // Link, dialled, did not come up in time
	BytesReceived                          // N bytes more are in Link's buffer
	BytesWritten                           // N bytes of what was to be written are out
	ConnectionClosed                       // Link is gone, and with it its descriptor
	TimerFired                             // the time asked for has come
	ShutdownRequested                      // end once what was taken is answered
	CountersRequested                      // say the counters
	ConfigurationReloaded                  // Feed is where the list comes from now
	SpoolWorkDone                          // Work is done
	FleetOrdered                           // Order by the fleet
	FleetReportRejected                    // Report found no room: it is to be told again
	WriteBarred                            // what was guarded on Link wasn't written: it may not be any more. Its end follows
)

// Event is one thing that happened.
type Event struct {
	Kind       EventKind
	Connection *Connection
	N          int
	Last       bool // with Got: its end came right behind, nothing more follows
	// We stood still, and this came meanwhile: what is due waits until all of it was heard, as a
	// Woken then says. An answer that lies here unread is not late.
	Early bool
	Feed  string
	Fair  *fairqueue.Shape // with Reload: the teams, nil to leave them as they are
	Work  *spool.Work

	Order  *fleet.Order
	Report *fleet.Report // with Untold
}

// EffectKind is what an Effect asks for.
type EffectKind int

const (
	Dial            EffectKind = iota // Link to Address, up Within a time
	Write                             // Bytes, after all that was asked to be written before
	Close                             // Link, once what was asked to be written is out if Gently, or Within a time; with Abort what is not there yet never arrives
	SetTimer                          // a Woken Within a time; only the last one asked for
	LogMessage                        // Text, Loud if it is to be seen without being asked for, Fine if only by those who trace
	LogCounters                       // Text, the counters, with what N queries cost
	Exit                              // the program is done
	SubmitSpoolWork                   // Work, on the spool's disk
	ReportToFleet                     // Report, to the fleet; an Untold if there is no room
)

// Effect is one thing to be done.
type Effect struct {
	Kind       EffectKind
	Connection *Connection
	Address    string
	Within     time.Duration
	Bytes      []byte
	Gently     bool
	Abort      bool
	Loud       bool
	Fine       bool
	Text       string
	About      LogFields // with Say
	N          int
	Work       *spool.Work
	// with Write: the version these bytes were decided by, 0: none. They go out only
	// while the fleet's word is that version, by the lease of bound teams if Bound.
	Guard uint64
	Bound bool
	Kept  bool // with Write: what is kept of a team, which goes out only while the lease of bound teams holds
	// with Write of what starts a query: Permit is asked right before the first byte, and
	// what came from For, its client's connection, and was not stepped yet goes before it
	Permit *WritePermit
	For    *Connection
	Report *fleet.Report
}

// LogFields is what a line of the log is about; the log has each under its own name,
// the same everywhere.
type LogFields struct {
	Query, Group, Team, Engine string
	Try                        int // from 1, 0: none
}

// Connection is one connection, up or being dialled. What it is for stands in its
// closures: each is handed the events that concern it.
type Connection struct {
	In   bytebuf.Buffer
	From netip.Addr // of a client

	up      func()
	failed  func(refused bool)
	got     func()
	last    func() // nothing more comes; nil: that is told by ended alone
	ended   func()
	closed  bool
	pending int // bytes asked to be written and not out yet
	held    int // memory of its buffer, as last looked at
}

// Config are the limits and facts that the program starts with.
type Config struct {
	Seed     uint64
	MemoryMB float64
	Sockets  int
	Feed     string
	Known    []byte
	Facts    map[string]string
	Fair     *fairqueue.Shape // teams, nil: there are none and whoever comes first goes first
	Words    FieldNames
	Spool    *SpoolConfig        // nil: results are answered whole
	Answers  *resultcache.Limits // nil: every query goes to an engine
	Draw     func() uint64       // a number that no other controller draws, for the names of purges; nil: the start's time
	Fleet    *FleetConfig        // nil: it has no peers
	Manners  []ClientLimits      // of clients, by address; whoever is in no set has the platform's
	Started  time.Time           // what the list's clock times are told against
	Trace    bool                // say every call of every query: who reads it follows one id through what became of it
}

// spare: a third of the descriptors is for clients; of the rest some is kept
// back for the listener, the feed, the runtime and connections on their way out.
func (m Config) spare() int { return 16 + m.Sockets/32 }

// ClientsMost is how many connections of clients there may be with those that
// are on their way out.
func (m Config) ClientsMost() int { return max(1, m.Sockets/3) + m.spare()/2 }

// Controller is one controller.
type Controller struct {
	Config
	gate  *scheduler.Scheduler
	now   time.Duration
	out   []Effect
	later []func() // for the decisions, which must not be called while they act
	due   timerqueue.Times
	woken time.Duration // when the next Woken is due, -1 if none
	tally tally

	hand
	crowd
	messageMost int

	engines   map[string]*engine
	atAddress map[string]*engine // the one that has an address now
	pool      pool
	feed      feed
	groups    map[string]*group
	customers []string // by their places in the settings
	fair      *fairness
	paging    *resultPaging
	caching   *resultCaching
	purges    *invalidation
	warrant   *servingLease

	buffered     int // memory of all connections' buffers
	bufferedMost int

	connectWithin, lineIdle, keyRest time.Duration
	longest                          time.Duration // what any query may take
	reports, inline, copies, cancels bool
	stopping                         bool
	stopAt, asked                    time.Duration // when told to stop, when a query last came
	closing                          bool
	serves                           bool // what is written right now is kept: of the spool, or an answer from the cache
}

// group is a resource group as far as the sockets need to know it.
type group struct {
	index           int
	name            string
	inOrder, load   bool
	readOnly        bool
	tokened         bool
	timeout, target time.Duration
	threads, value  float64
}

// New makes a controller and what it does first.
func New(means Config) (*Controller, []Effect) {
	r := &Controller{Config: means, woken: -1, hand: hand{queries: map[string]*query{}},
		engines: map[string]*engine{}, atAddress: map[string]*engine{}, groups: map[string]*group{}}
	f := means.Facts
	r.connectWithin, r.lineIdle = r.span("connect.timeout"), r.span("idle.most")
	r.keyRest = r.span("key.rest")
	r.reports = f["report.how"] != "off" && f["report.how"] != ""
	r.inline = f["report.how"] == "answers"
	r.copies = f["may.copy"] == "true"
	r.cancels = f["may.cancel"] == "true"
	r.keys = newKeyTable()
	// their ends and their next connections may cross: a little over a third is let in
	r.manners = newManners(means.Manners)
	r.clientsMost = max(1, means.Sockets/3) + means.spare()/4
	r.pool.most = max(2, means.Sockets-means.Sockets/3-means.spare())
	memory := int(means.MemoryMB * (1 << 20))
	r.messageMost, r.unreadMost, r.inHandMost = max(1<<16, memory/64), max(1<<18, memory/8), max(1<<18, memory/8)
	r.bufferedMost = max(1<<20, memory/8)
	groups, _ := strconv.Atoi(f["groups"])
	for i := range groups {
		at := "group." + strconv.Itoa(i) + "."
		g := &group{index: i, name: f[at+"name"], inOrder: f[at+"in-order"] == "true", load: item(f["loads"], i) == "true",
			readOnly: f[at+"effect"] == "read-only", tokened: f[at+"effect"] == "tokened"}
		g.read(r)
		r.groups[settings.Plain(g.name)] = g
		r.longest = max(r.longest, g.timeout)
	}
	r.named()
	r.gate = scheduler.New(r, means.Seed, f)
	if len(means.Known) > 0 {
		if err := discovery.Known(means.Known, r); err != nil {
			r.say(true, "the known list can't be read: "+err.Error())
		}
	}
	if means.Fair != nil {
		r.fair = newFairness(r, means.Fair, means.Words)
	}
	if means.Spool != nil {
		r.paging = newResultPaging(r, means.Spool)
	}
	if means.Answers != nil {
		r.caching = newResultCaching(r, means.Answers)
	}
	if r.paging != nil || r.caching != nil {
		r.purges = newInvalidation(r)
		if r.paging != nil && means.Fleet == nil { // a purge of this controller alone comes after all that it found
			r.purges.logIndex = r.paging.restoredIndex
		}
	}
	if means.Fleet != nil {
		r.warrant = newServingLease(r, means.Fleet)
		if r.purges != nil {
			r.warrant.invalidator = r.purges
		}
		if r.paging != nil {
			r.paging.core.Serves = r.warrant.residency.mayServe
		}
	}
	r.feed.spoilt = -1
	r.follow()
	r.sweep()
	r.settle(false)
	return r, r.out
}

// read takes from the settings what of a group may change while it runs.
func (g *group) read(r *Controller) {
	at := "group." + strconv.Itoa(g.index) + "."
	g.timeout, g.target = r.span(at+"timeout"), r.span(at+"target")
	g.threads, g.value = max(1, number(item(r.Facts["threads"], g.index))), number(r.Facts[at+"value"])
}

// named takes the customers from the settings.
func (r *Controller) named() {
	r.customers = nil
	n, _ := strconv.Atoi(r.Facts["teams"])
	for i := range n {
		r.customers = append(r.customers, settings.Plain(r.Facts["team."+strconv.Itoa(i)+".name"]))
	}
}

func item(list string, i int) string {
	if l := strings.Split(list, ","); i < len(l) {
		return l[i]
	}
	return ""
}

func number(text string) float64 {
	x, _ := strconv.ParseFloat(text, 64)
	return x
}

func (r *Controller) span(name string) time.Duration {
	ms, _ := strconv.ParseFloat(r.Facts[name], 64)
	return time.Duration(ms * float64(time.Millisecond))
}

// Step takes an event and gives the effects it leads to, valid until the next.
func (r *Controller) Step(now time.Duration, ev Event) []Effect {
	r.step(now, ev)
	return r.out
}

func (r *Controller) step(now time.Duration, ev Event) {
	r.now = max(now, r.now)
	clear(r.out)
	r.out = r.out[:0]
	l := ev.Connection
	if !invariant.Debug {
		defer r.caught(l)
	}
	if r.warrant != nil {
		r.warrant.updateServing()
	}
	switch ev.Kind {
	case ClientAccepted:
		r.accept(l)
	case Connected:
		if !l.closed {
			l.up()
		}
	case ConnectRefused, ConnectTimedOut:
		l.closed = true
		l.failed(ev.Kind == ConnectRefused)
	case BytesReceived:
		if !l.closed {
			l.In.Took(ev.N)
			l.got()
			if ev.Last && l.last != nil {
				l.last()
			}
			r.holds(l, l.In.Held())
			if r.buffered > r.bufferedMost {
				r.relieve()
			}
		}
	case BytesWritten:
		r.wrote(l, ev.N)
	case ConnectionClosed:
		l.closed = true
		l.ended()
		l.pending = 0
		r.holds(l, 0)
	case TimerFired:
		r.woken = -1
	case ShutdownRequested:
		r.stop()
	case CountersRequested:
		r.count()
	case SpoolWorkDone:
		r.paging.workDone(ev.Work)
	case FleetOrdered:
		r.warrant.handleFleetOrder(ev.Order)
	case FleetReportRejected:
		r.warrant.reportRejected(ev.Report)
	case WriteBarred:
		r.tally.barred++
		if r.warrant != nil {
			r.warrant.rejectedWrites++
		}
	case ConfigurationReloaded:
		r.refeed(ev.Feed)
		if r.fair != nil && ev.Fair != nil && r.warrant == nil { // where there are peers teams are the fleet's to change
			r.fair.reload(ev.Fair)
		}
	}
	r.settle(ev.Early)
}

// caught: a fault of ours costs the connection that it came by, not all that is
// served on the others.
func (r *Controller) caught(l *Connection) {
	if fault := recover(); fault != nil {
		invariant.Hold(false, "no step fails")
		r.say(true, fmt.Sprintf("a fault: %v at %s", fault, debug.Stack()))
		if l != nil {
			r.shut(l, false)
		}
		if r.woken < 0 { // the next step settles what this one could not
			r.woken = r.now + time.Millisecond
			r.do(Effect{Kind: SetTimer, Within: time.Millisecond})
		}
	}
}

// settle does what is due and tells the decisions what waits to be told; early, only the latter.
func (r *Controller) settle(early bool) {
	for {
		if len(r.later) > 0 {
			do := r.later[0]
			r.later = r.later[1:]
			do()
		} else if do, ok := r.overdue(early); ok {
			do()
		} else if r.fair == nil || r.warrant != nil && r.warrant.paused() || !r.fair.next() {
			break
		}
	}
	r.later = nil
	if !early {
		r.leave()
	}
	if at, ok := r.due.First(); ok && (r.woken < 0 || at < r.woken) {
		r.woken = at
		r.do(Effect{Kind: SetTimer, Within: max(0, at-r.now)})
	}
	if invariant.Debug {
		for id, e := range r.engines {
			out, known := r.gate.InFlight(id)
			invariant.Hold(!known || out == e.untold, "decisions know what is out")
		}
	}
	invariant.Hold(r.pool.links >= 0 && r.pool.links <= r.pool.most, "engine links within their part")
}

func (r *Controller) overdue(early bool) (func(), bool) {
	if early {
		return nil, false
	}
	return r.due.Next(r.now)
}

func (r *Controller) do(e Effect)                         { r.out = append(r.out, e) }
func (r *Controller) at(when time.Duration, what func())  { r.due.Add(when, what) }
func (r *Controller) after(span time.Duration, do func()) { r.due.Add(r.now+span, do) }
func (r *Controller) say(loud bool, text string) {
	r.do(Effect{Kind: LogMessage, Loud: loud, Text: text})
}
func (r *Controller) sayOf(about LogFields, text string) {
	r.do(Effect{Kind: LogMessage, Text: text, About: about})
}

// trace says what becomes of a query, step by step. Callers ask for Trace first, so
// that nothing is made on every call for a log that nobody reads.
func (r *Controller) trace(about LogFields, what string, more ...any) {
	r.do(Effect{Kind: LogMessage, Fine: true, About: about, Text: fmt.Sprintf(what, more...)})
}

func (q *query) about() LogFields { return LogFields{Query: q.id, Group: q.group.name} }

func (s *submission) about() LogFields {
	a := s.q.about()
	a.Engine, a.Try = s.e.id, s.try+1
	return a
}

func (r *Controller) count() {
	r.do(Effect{Kind: LogCounters, Text: r.tally.text(r), N: r.tally.taken})
}
func (r *Controller) soon(what func()) { r.later = append(r.later, what) }

func (r *Controller) write(l *Connection, p []byte) { r.writeBy(l, p, nil) }

// writeBy writes what starts a submission, which goes out only while the fleet's word is the
// version it was decided by, and by its permit; nil: anything else.
func (r *Controller) writeBy(l *Connection, p []byte, s *submission) {
	if l.closed || len(p) == 0 {
		return
	}
	l.pending += len(p)
	e := Effect{Kind: Write, Connection: l, Bytes: p, Kept: r.serves}
	if s != nil {
		e.Guard, e.Bound, e.Permit, e.For = s.version, s.q.bound, s.permit, s.q.asker.from()
	}
	r.do(e)
}

func (r *Controller) holds(l *Connection, bytes int) {
	r.buffered += bytes - l.held
	l.held = bytes
}

func (r *Controller) wrote(l *Connection, n int) { l.pending = max(0, l.pending-n) }

// shut closes a link for good; its Ended comes when its descriptor is free.
func (r *Controller) shut(l *Connection, gently bool) { r.shutWithin(l, gently, wholeMost) }

// shutWithin closes a link; gently, its peer has so long to take what was written and to
// close its own side: a close over bytes that nobody read would reset what it has not taken.
func (r *Controller) shutWithin(l *Connection, gently bool, within time.Duration) {
	if !l.closed {
		l.closed = true
		r.do(Effect{Kind: Close, Connection: l, Gently: gently, Within: within})
	}
}

const sweepEvery = 250 * time.Millisecond

// sweep is the one periodic timer.
func (r *Controller) sweep() {
	r.after(sweepEvery, r.sweep)
	r.sweepLines()
	r.sweepEngines()
	r.sweepClients()
	r.keys.forgetIdle(r.now - max(r.keyRest, min(r.longest, maxKeyGap)))
}

func (r *Controller) stop() {
	if !r.stopping {
		r.stopping, r.stopAt = true, r.now
		r.say(false, "stopping once all is answered")
		r.after(stopGrace, func() {})
		r.after(stopStays, func() {})
	}
}

// For stopGrace after the word to stop queries come as before: connections stay open and carry
// new ones for 0.6 s, by the protocol. What comes after 0.7 s and is unanswered at SIGKILL is lost, and a
// query may take longer than that waits; so from between the two on all that comes is turned away at once.
// The end comes no sooner than stopStays, as a client's last one may still be on its way, and waits for
// a moment in which none came, but no longer than stopMost from the word.
const (
	stopGrace = 650 * time.Millisecond
	stopStays = 750 * time.Millisecond
	stopQuiet = 100 * time.Millisecond
	stopMost  = 2 * stopGrace
)

// leave ends the program once it was told to and all that was taken is answered.
// What still comes after the grace is the decisions' to turn away, or the end
// might never come; nor does it wait for clients that don't read.
func (r *Controller) leave() {
	past := r.now - r.stopAt
	if !r.stopping || past < stopGrace {
		return
	}
	if !r.closing {
		r.closing = true
		r.gate.Closing(r.now)
		if r.fair != nil {
			r.fair.close()
		}
		if r.warrant != nil {
			r.warrant.deferAllHeld()
		}
	}
	busy := past < stopStays || len(r.queries) > 0 || past < stopMost && (r.now-r.asked < stopQuiet || r.gives())
	for _, c := range r.clients {
		busy = busy || c.link.pending > 0 && (c.stuck < 0 || r.now-c.stuck < stopGrace)
	}
	if !busy {
		r.stopping = false
		r.count()
		r.do(Effect{Kind: Exit})
	}
}

// gives: something that was given up is not yet over at its engine, which would work on for nobody.
func (r *Controller) gives() bool {
	for _, e := range r.engines {
		if len(e.leaving) > 0 {
			return true
		}
	}
	return false
}

// What the decisions act through; none of it calls them back at once.

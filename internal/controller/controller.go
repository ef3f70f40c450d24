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
	Kind        EventKind
	Connection  *Connection
	ByteCount   int
	EndOfStream bool // with Got: its end came right behind, nothing more follows
	// We stood still, and this came meanwhile: what is due waits until all of it was heard, as a
	// Woken then says. An answer that lies here unread is not late.
	Backlogged       bool
	DiscoveryAddress string
	Tenants          *fairqueue.Shape // with Reload: the teams, nil to leave them as they are
	SpoolWork        *spool.Work

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
	Timeout    time.Duration
	Bytes      []byte
	Graceful   bool
	Abort      bool
	Warning    bool
	Trace      bool
	Text       string
	Fields     LogFields // with Say
	QueryCount int
	SpoolWork  *spool.Work
	// with Write: the version these bytes were decided by, 0: none. They go out only
	// while the fleet's word is that version, by the lease of bound teams if Bound.
	PolicyVersion uint64
	Confined      bool
	Retained      bool // with Write: what is kept of a team, which goes out only while the lease of bound teams holds
	// with Write of what starts a query: Permit is asked right before the first byte, and
	// what came from For, its client's connection, and was not stepped yet goes before it
	Permit *WritePermit
	Client *Connection
	Report *fleet.Report
}

// LogFields is what a line of the log is about; the log has each under its own name,
// the same everywhere.
type LogFields struct {
	Query, Group, Tenant, Engine string
	Attempt                      int // from 1, 0: none
}

// Connection is one connection, up or being dialled. What it is for stands in its
// closures: each is handed the events that concern it.
type Connection struct {
	Received      bytebuf.Buffer
	RemoteAddress netip.Addr // of a client

	onConnected    func()
	onDialFailed   func(refused bool)
	onBytes        func()
	onEndOfStream  func() // nothing more comes; nil: that is told by ended alone
	onClosed       func()
	closed         bool
	unwrittenBytes int // bytes asked to be written and not out yet
	bufferBytes    int // memory of its buffer, as last looked at
}

// Config are the limits and facts that the program starts with.
type Config struct {
	Seed             uint64
	MemoryMB         float64
	Sockets          int
	DiscoveryAddress string
	KnownEngines     []byte
	Settings         map[string]string
	Tenants          *fairqueue.Shape // teams, nil: there are none and whoever comes first goes first
	FieldNames       FieldNames
	Spool            *SpoolConfig        // nil: results are answered whole
	ResultCache      *resultcache.Limits // nil: every query goes to an engine
	DrawUnique       func() uint64       // a number that no other controller draws, for the names of purges; nil: the start's time
	Fleet            *FleetConfig        // nil: it has no peers
	ClientLimits     []ClientLimits      // of clients, by address; whoever is in no set has the platform's
	StartedAt        time.Time           // what the list's clock times are told against
	TraceQueries     bool                // say every call of every query: who reads it follows one id through what became of it
}

// spare: a third of the descriptors is for clients; of the rest some is kept
// back for the listener, the feed, the runtime and connections on their way out.
func (m Config) reservedSockets() int { return 16 + m.Sockets/32 }

// ClientsMost is how many connections of clients there may be with those that
// are on their way out.
func (m Config) MaxClientConnections() int { return max(1, m.Sockets/3) + m.reservedSockets()/2 }

// Controller is one controller.
type Controller struct {
	Config
	scheduler *scheduler.Scheduler
	now       time.Duration
	effects   []Effect
	callbacks []func() // for the decisions, which must not be called while they act
	timers    timerqueue.Times
	timerAt   time.Duration // when the next Woken is due, -1 if none
	counters  counters

	queryTable
	clientTable
	maxMessageBytes int

	engines         map[string]*engine
	engineByAddress map[string]*engine // the one that has an address now
	pool            connectionPool
	discovery       discoveryWatch
	groups          map[string]*group
	customers       []string // by their places in the settings
	fairQueue       *fairQueue
	paging          *resultPaging
	caching         *resultCaching
	invalidation    *invalidation
	servingLease    *servingLease

	bufferedBytes    int // memory of all connections' buffers
	maxBufferedBytes int

	connectTimeout, engineIdleTimeout, keyReuseDelay               time.Duration
	longestQueryTimeout                                            time.Duration // what any query may take
	enginesReportLoad, loadReportsInResponses, mayHedge, mayCancel bool
	stopping                                                       bool
	stopRequestedAt, lastQueryAt                                   time.Duration // when told to stop, when a query last came
	closing                                                        bool
	writingRetained                                                bool // what is written right now is kept: of the spool, or an answer from the cache
}

// group is a resource group as far as the sockets need to know it.
type group struct {
	index                     int
	name                      string
	inOrder, isLoad           bool
	readOnly                  bool
	needsIdempotencyKey       bool
	timeout, latencyObjective time.Duration
	threads, priorityWeight   float64
}

// New makes a controller and what it does first.
func New(means Config) (*Controller, []Effect) {
	c := &Controller{Config: means, timerAt: -1, queryTable: queryTable{queries: map[string]*query{}},
		engines: map[string]*engine{}, engineByAddress: map[string]*engine{}, groups: map[string]*group{}}
	f := means.Settings
	c.connectTimeout, c.engineIdleTimeout = c.durationSetting("connect.timeout"), c.durationSetting("idle.most")
	c.keyReuseDelay = c.durationSetting("key.rest")
	c.enginesReportLoad = f["report.how"] != "off" && f["report.how"] != ""
	c.loadReportsInResponses = f["report.how"] == "answers"
	c.mayHedge = f["may.copy"] == "true"
	c.mayCancel = f["may.cancel"] == "true"
	c.keys = newKeyTable()
	// their ends and their next connections may cross: a little over a third is let in
	c.clientLimits = newClientLimitTable(means.ClientLimits)
	c.maxClients = max(1, means.Sockets/3) + means.reservedSockets()/4
	c.pool.limit = max(2, means.Sockets-means.Sockets/3-means.reservedSockets())
	memory := int(means.MemoryMB * (1 << 20))
	c.maxMessageBytes, c.maxUnreadBytes, c.maxStatementBytes = max(1<<16, memory/64), max(1<<18, memory/8), max(1<<18, memory/8)
	c.maxBufferedBytes = max(1<<20, memory/8)
	groups, _ := strconv.Atoi(f["groups"])
	for i := range groups {
		at := "group." + strconv.Itoa(i) + "."
		g := &group{index: i, name: f[at+"name"], inOrder: f[at+"in-order"] == "true", isLoad: listItem(f["loads"], i) == "true",
			readOnly: f[at+"effect"] == "read-only", needsIdempotencyKey: f[at+"effect"] == "tokened"}
		g.readSettings(c)
		c.groups[settings.Plain(g.name)] = g
		c.longestQueryTimeout = max(c.longestQueryTimeout, g.timeout)
	}
	c.readCustomers()
	c.scheduler = scheduler.New(c, means.Seed, f)
	if len(means.KnownEngines) > 0 {
		if err := discovery.Known(means.KnownEngines, c); err != nil {
			c.logMessage(true, "the known list can't be read: "+err.Error())
		}
	}
	if means.Tenants != nil {
		c.fairQueue = newFairQueue(c, means.Tenants, means.FieldNames)
	}
	if means.Spool != nil {
		c.paging = newResultPaging(c, means.Spool)
	}
	if means.ResultCache != nil {
		c.caching = newResultCaching(c, means.ResultCache)
	}
	if c.paging != nil || c.caching != nil {
		c.invalidation = newInvalidation(c)
		if c.paging != nil && means.Fleet == nil { // a purge of this controller alone comes after all that it found
			c.invalidation.logIndex = c.paging.restoredIndex
		}
	}
	if means.Fleet != nil {
		c.servingLease = newServingLease(c, means.Fleet)
		if c.invalidation != nil {
			c.servingLease.invalidator = c.invalidation
		}
		if c.paging != nil {
			c.paging.core.Serves = c.servingLease.residency.mayServe
		}
	}
	c.discovery.unreadableAfter = -1
	c.connectDiscovery()
	c.sweep()
	c.runPending(false)
	return c, c.effects
}

// read takes from the settings what of a group may change while it runs.
func (g *group) readSettings(c *Controller) {
	at := "group." + strconv.Itoa(g.index) + "."
	g.timeout, g.latencyObjective = c.durationSetting(at+"timeout"), c.durationSetting(at+"target")
	g.threads, g.priorityWeight = max(1, parseNumber(listItem(c.Settings["threads"], g.index))), parseNumber(c.Settings[at+"value"])
}

// named takes the customers from the settings.
func (c *Controller) readCustomers() {
	c.customers = nil
	n, _ := strconv.Atoi(c.Settings["teams"])
	for i := range n {
		c.customers = append(c.customers, settings.Plain(c.Settings["team."+strconv.Itoa(i)+".name"]))
	}
}

func listItem(list string, i int) string {
	if l := strings.Split(list, ","); i < len(l) {
		return l[i]
	}
	return ""
}

func parseNumber(text string) float64 {
	x, _ := strconv.ParseFloat(text, 64)
	return x
}

func (c *Controller) durationSetting(name string) time.Duration {
	ms, _ := strconv.ParseFloat(c.Settings[name], 64)
	return time.Duration(ms * float64(time.Millisecond))
}

// Step takes an event and gives the effects it leads to, valid until the next.
func (c *Controller) Step(now time.Duration, ev Event) []Effect {
	c.step(now, ev)
	return c.effects
}

func (c *Controller) step(now time.Duration, ev Event) {
	c.now = max(now, c.now)
	clear(c.effects)
	c.effects = c.effects[:0]
	l := ev.Connection
	if !invariant.Debug {
		defer c.recoverStep(l)
	}
	if c.servingLease != nil {
		c.servingLease.updateServing()
	}
	switch ev.Kind {
	case ClientAccepted:
		c.acceptClient(l)
	case Connected:
		if !l.closed {
			l.onConnected()
		}
	case ConnectRefused, ConnectTimedOut:
		l.closed = true
		l.onDialFailed(ev.Kind == ConnectRefused)
	case BytesReceived:
		if !l.closed {
			l.Received.Took(ev.ByteCount)
			l.onBytes()
			if ev.EndOfStream && l.onEndOfStream != nil {
				l.onEndOfStream()
			}
			c.accountBuffer(l, l.Received.Held())
			if c.bufferedBytes > c.maxBufferedBytes {
				c.relieveBuffers()
			}
		}
	case BytesWritten:
		c.noteWritten(l, ev.ByteCount)
	case ConnectionClosed:
		l.closed = true
		l.onClosed()
		l.unwrittenBytes = 0
		c.accountBuffer(l, 0)
	case TimerFired:
		c.timerAt = -1
	case ShutdownRequested:
		c.beginShutdown()
	case CountersRequested:
		c.logCounters()
	case SpoolWorkDone:
		c.paging.workDone(ev.SpoolWork)
	case FleetOrdered:
		c.servingLease.handleFleetOrder(ev.Order)
	case FleetReportRejected:
		c.servingLease.reportRejected(ev.Report)
	case WriteBarred:
		c.counters.barredWrites++
		if c.servingLease != nil {
			c.servingLease.rejectedWrites++
		}
	case ConfigurationReloaded:
		c.changeDiscoveryAddress(ev.DiscoveryAddress)
		if c.fairQueue != nil && ev.Tenants != nil && c.servingLease == nil { // where there are peers teams are the fleet's to change
			c.fairQueue.reload(ev.Tenants)
		}
	}
	c.runPending(ev.Backlogged)
}

// caught: a fault of ours costs the connection that it came by, not all that is
// served on the others.
func (c *Controller) recoverStep(conn *Connection) {
	if fault := recover(); fault != nil {
		invariant.Hold(false, "no step fails")
		c.logMessage(true, fmt.Sprintf("a fault: %v at %s", fault, debug.Stack()))
		if conn != nil {
			c.closeConnection(conn, false)
		}
		if c.timerAt < 0 { // the next step settles what this one could not
			c.timerAt = c.now + time.Millisecond
			c.emit(Effect{Kind: SetTimer, Timeout: time.Millisecond})
		}
	}
}

// settle does what is due and tells the decisions what waits to be told; early, only the latter.
func (c *Controller) runPending(early bool) {
	for {
		if len(c.callbacks) > 0 {
			do := c.callbacks[0]
			c.callbacks = c.callbacks[1:]
			do()
		} else if do, ok := c.nextDue(early); ok {
			do()
		} else if c.fairQueue == nil || c.servingLease != nil && c.servingLease.paused() || !c.fairQueue.dispatchNext() {
			break
		}
	}
	c.callbacks = nil
	if !early {
		c.continueShutdown()
	}
	if at, ok := c.timers.First(); ok && (c.timerAt < 0 || at < c.timerAt) {
		c.timerAt = at
		c.emit(Effect{Kind: SetTimer, Timeout: max(0, at-c.now)})
	}
	if invariant.Debug {
		for id, e := range c.engines {
			out, known := c.scheduler.InFlight(id)
			invariant.Hold(!known || out == e.unreportedAttempts, "decisions know what is out")
		}
	}
	invariant.Hold(c.pool.open >= 0 && c.pool.open <= c.pool.limit, "engine links within their part")
}

func (c *Controller) nextDue(early bool) (func(), bool) {
	if early {
		return nil, false
	}
	return c.timers.Next(c.now)
}

func (c *Controller) emit(e Effect)                          { c.effects = append(c.effects, e) }
func (c *Controller) runAt(when time.Duration, what func())  { c.timers.Add(when, what) }
func (c *Controller) runAfter(span time.Duration, do func()) { c.timers.Add(c.now+span, do) }
func (c *Controller) logMessage(loud bool, text string) {
	c.emit(Effect{Kind: LogMessage, Warning: loud, Text: text})
}
func (c *Controller) logAbout(about LogFields, text string) {
	c.emit(Effect{Kind: LogMessage, Text: text, Fields: about})
}

// trace says what becomes of a query, step by step. Callers ask for Trace first, so
// that nothing is made on every call for a log that nobody reads.
func (c *Controller) trace(about LogFields, what string, more ...any) {
	c.emit(Effect{Kind: LogMessage, Trace: true, Fields: about, Text: fmt.Sprintf(what, more...)})
}

func (q *query) logFields() LogFields { return LogFields{Query: q.id, Group: q.group.name} }

func (s *attempt) logFields() LogFields {
	a := s.query.logFields()
	a.Engine, a.Attempt = s.engine.id, s.number+1
	return a
}

func (c *Controller) logCounters() {
	c.emit(Effect{Kind: LogCounters, Text: c.counters.text(c), QueryCount: c.counters.received})
}
func (c *Controller) runSoon(what func()) { c.callbacks = append(c.callbacks, what) }

func (c *Controller) write(conn *Connection, p []byte) { c.writeAttempt(conn, p, nil) }

// writeBy writes what starts a submission, which goes out only while the fleet's word is the
// version it was decided by, and by its permit; nil: anything else.
func (c *Controller) writeAttempt(conn *Connection, p []byte, s *attempt) {
	if conn.closed || len(p) == 0 {
		return
	}
	conn.unwrittenBytes += len(p)
	e := Effect{Kind: Write, Connection: conn, Bytes: p, Retained: c.writingRetained}
	if s != nil {
		e.PolicyVersion, e.Confined, e.Permit, e.Client = s.policyVersion, s.query.confined, s.permit, s.query.owner.connection()
	}
	c.emit(e)
}

func (c *Controller) accountBuffer(conn *Connection, bytes int) {
	c.bufferedBytes += bytes - conn.bufferBytes
	conn.bufferBytes = bytes
}

func (c *Controller) noteWritten(conn *Connection, n int) {
	conn.unwrittenBytes = max(0, conn.unwrittenBytes-n)
}

// shut closes a link for good; its Ended comes when its descriptor is free.
func (c *Controller) closeConnection(conn *Connection, gently bool) {
	c.closeWithin(conn, gently, messageTimeout)
}

// shutWithin closes a link; gently, its peer has so long to take what was written and to
// close its own side: a close over bytes that nobody read would reset what it has not taken.
func (c *Controller) closeWithin(conn *Connection, gently bool, within time.Duration) {
	if !conn.closed {
		conn.closed = true
		c.emit(Effect{Kind: Close, Connection: conn, Graceful: gently, Timeout: within})
	}
}

const sweepEvery = 250 * time.Millisecond

// sweep is the one periodic timer.
func (c *Controller) sweep() {
	c.runAfter(sweepEvery, c.sweep)
	c.closeIdleConnections()
	c.sweepEngines()
	c.sweepClients()
	c.keys.forgetIdle(c.now - max(c.keyReuseDelay, min(c.longestQueryTimeout, maxKeyGap)))
}

func (c *Controller) beginShutdown() {
	if !c.stopping {
		c.stopping, c.stopRequestedAt = true, c.now
		c.logMessage(false, "stopping once all is answered")
		c.runAfter(stopGrace, func() {})
		c.runAfter(stopStays, func() {})
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
func (c *Controller) continueShutdown() {
	past := c.now - c.stopRequestedAt
	if !c.stopping || past < stopGrace {
		return
	}
	if !c.closing {
		c.closing = true
		c.scheduler.Closing(c.now)
		if c.fairQueue != nil {
			c.fairQueue.deferAll()
		}
		if c.servingLease != nil {
			c.servingLease.deferAllHeld()
		}
	}
	busy := past < stopStays || len(c.queries) > 0 || past < stopMost && (c.now-c.lastQueryAt < stopQuiet || c.cancellationsPending())
	for _, cl := range c.clients {
		busy = busy || cl.connection.unwrittenBytes > 0 && (cl.stalledSince < 0 || c.now-cl.stalledSince < stopGrace)
	}
	if !busy {
		c.stopping = false
		c.logCounters()
		c.emit(Effect{Kind: Exit})
	}
}

// gives: something that was given up is not yet over at its engine, which would work on for nobody.
func (c *Controller) cancellationsPending() bool {
	for _, e := range c.engines {
		if len(e.cancelling) > 0 {
			return true
		}
	}
	return false
}

// What the decisions act through; none of it calls them back at once.

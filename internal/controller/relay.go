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
	purges          *invalidation
	warrant         *servingLease

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
	r := &Controller{Config: means, timerAt: -1, queryTable: queryTable{queries: map[string]*query{}},
		engines: map[string]*engine{}, engineByAddress: map[string]*engine{}, groups: map[string]*group{}}
	f := means.Settings
	r.connectTimeout, r.engineIdleTimeout = r.durationSetting("connect.timeout"), r.durationSetting("idle.most")
	r.keyReuseDelay = r.durationSetting("key.rest")
	r.enginesReportLoad = f["report.how"] != "off" && f["report.how"] != ""
	r.loadReportsInResponses = f["report.how"] == "answers"
	r.mayHedge = f["may.copy"] == "true"
	r.mayCancel = f["may.cancel"] == "true"
	r.keys = newKeyTable()
	// their ends and their next connections may cross: a little over a third is let in
	r.clientLimits = newClientLimitTable(means.ClientLimits)
	r.maxClients = max(1, means.Sockets/3) + means.reservedSockets()/4
	r.pool.limit = max(2, means.Sockets-means.Sockets/3-means.reservedSockets())
	memory := int(means.MemoryMB * (1 << 20))
	r.maxMessageBytes, r.maxUnreadBytes, r.maxStatementBytes = max(1<<16, memory/64), max(1<<18, memory/8), max(1<<18, memory/8)
	r.maxBufferedBytes = max(1<<20, memory/8)
	groups, _ := strconv.Atoi(f["groups"])
	for i := range groups {
		at := "group." + strconv.Itoa(i) + "."
		g := &group{index: i, name: f[at+"name"], inOrder: f[at+"in-order"] == "true", isLoad: listItem(f["loads"], i) == "true",
			readOnly: f[at+"effect"] == "read-only", needsIdempotencyKey: f[at+"effect"] == "tokened"}
		g.readSettings(r)
		r.groups[settings.Plain(g.name)] = g
		r.longestQueryTimeout = max(r.longestQueryTimeout, g.timeout)
	}
	r.readCustomers()
	r.scheduler = scheduler.New(r, means.Seed, f)
	if len(means.KnownEngines) > 0 {
		if err := discovery.Known(means.KnownEngines, r); err != nil {
			r.logMessage(true, "the known list can't be read: "+err.Error())
		}
	}
	if means.Tenants != nil {
		r.fairQueue = newFairQueue(r, means.Tenants, means.FieldNames)
	}
	if means.Spool != nil {
		r.paging = newResultPaging(r, means.Spool)
	}
	if means.ResultCache != nil {
		r.caching = newResultCaching(r, means.ResultCache)
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
	r.discovery.unreadableAfter = -1
	r.connectDiscovery()
	r.sweep()
	r.runPending(false)
	return r, r.effects
}

// read takes from the settings what of a group may change while it runs.
func (g *group) readSettings(r *Controller) {
	at := "group." + strconv.Itoa(g.index) + "."
	g.timeout, g.latencyObjective = r.durationSetting(at+"timeout"), r.durationSetting(at+"target")
	g.threads, g.priorityWeight = max(1, parseNumber(listItem(r.Settings["threads"], g.index))), parseNumber(r.Settings[at+"value"])
}

// named takes the customers from the settings.
func (r *Controller) readCustomers() {
	r.customers = nil
	n, _ := strconv.Atoi(r.Settings["teams"])
	for i := range n {
		r.customers = append(r.customers, settings.Plain(r.Settings["team."+strconv.Itoa(i)+".name"]))
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

func (r *Controller) durationSetting(name string) time.Duration {
	ms, _ := strconv.ParseFloat(r.Settings[name], 64)
	return time.Duration(ms * float64(time.Millisecond))
}

// Step takes an event and gives the effects it leads to, valid until the next.
func (r *Controller) Step(now time.Duration, ev Event) []Effect {
	r.step(now, ev)
	return r.effects
}

func (r *Controller) step(now time.Duration, ev Event) {
	r.now = max(now, r.now)
	clear(r.effects)
	r.effects = r.effects[:0]
	l := ev.Connection
	if !invariant.Debug {
		defer r.recoverStep(l)
	}
	if r.warrant != nil {
		r.warrant.updateServing()
	}
	switch ev.Kind {
	case ClientAccepted:
		r.acceptClient(l)
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
			r.accountBuffer(l, l.Received.Held())
			if r.bufferedBytes > r.maxBufferedBytes {
				r.relieveBuffers()
			}
		}
	case BytesWritten:
		r.noteWritten(l, ev.ByteCount)
	case ConnectionClosed:
		l.closed = true
		l.onClosed()
		l.unwrittenBytes = 0
		r.accountBuffer(l, 0)
	case TimerFired:
		r.timerAt = -1
	case ShutdownRequested:
		r.beginShutdown()
	case CountersRequested:
		r.logCounters()
	case SpoolWorkDone:
		r.paging.workDone(ev.SpoolWork)
	case FleetOrdered:
		r.warrant.handleFleetOrder(ev.Order)
	case FleetReportRejected:
		r.warrant.reportRejected(ev.Report)
	case WriteBarred:
		r.counters.barredWrites++
		if r.warrant != nil {
			r.warrant.rejectedWrites++
		}
	case ConfigurationReloaded:
		r.changeDiscoveryAddress(ev.DiscoveryAddress)
		if r.fairQueue != nil && ev.Tenants != nil && r.warrant == nil { // where there are peers teams are the fleet's to change
			r.fairQueue.reload(ev.Tenants)
		}
	}
	r.runPending(ev.Backlogged)
}

// caught: a fault of ours costs the connection that it came by, not all that is
// served on the others.
func (r *Controller) recoverStep(l *Connection) {
	if fault := recover(); fault != nil {
		invariant.Hold(false, "no step fails")
		r.logMessage(true, fmt.Sprintf("a fault: %v at %s", fault, debug.Stack()))
		if l != nil {
			r.closeConnection(l, false)
		}
		if r.timerAt < 0 { // the next step settles what this one could not
			r.timerAt = r.now + time.Millisecond
			r.emit(Effect{Kind: SetTimer, Timeout: time.Millisecond})
		}
	}
}

// settle does what is due and tells the decisions what waits to be told; early, only the latter.
func (r *Controller) runPending(early bool) {
	for {
		if len(r.callbacks) > 0 {
			do := r.callbacks[0]
			r.callbacks = r.callbacks[1:]
			do()
		} else if do, ok := r.nextDue(early); ok {
			do()
		} else if r.fairQueue == nil || r.warrant != nil && r.warrant.paused() || !r.fairQueue.dispatchNext() {
			break
		}
	}
	r.callbacks = nil
	if !early {
		r.continueShutdown()
	}
	if at, ok := r.timers.First(); ok && (r.timerAt < 0 || at < r.timerAt) {
		r.timerAt = at
		r.emit(Effect{Kind: SetTimer, Timeout: max(0, at-r.now)})
	}
	if invariant.Debug {
		for id, e := range r.engines {
			out, known := r.scheduler.InFlight(id)
			invariant.Hold(!known || out == e.unreportedAttempts, "decisions know what is out")
		}
	}
	invariant.Hold(r.pool.open >= 0 && r.pool.open <= r.pool.limit, "engine links within their part")
}

func (r *Controller) nextDue(early bool) (func(), bool) {
	if early {
		return nil, false
	}
	return r.timers.Next(r.now)
}

func (r *Controller) emit(e Effect)                          { r.effects = append(r.effects, e) }
func (r *Controller) runAt(when time.Duration, what func())  { r.timers.Add(when, what) }
func (r *Controller) runAfter(span time.Duration, do func()) { r.timers.Add(r.now+span, do) }
func (r *Controller) logMessage(loud bool, text string) {
	r.emit(Effect{Kind: LogMessage, Warning: loud, Text: text})
}
func (r *Controller) logAbout(about LogFields, text string) {
	r.emit(Effect{Kind: LogMessage, Text: text, Fields: about})
}

// trace says what becomes of a query, step by step. Callers ask for Trace first, so
// that nothing is made on every call for a log that nobody reads.
func (r *Controller) trace(about LogFields, what string, more ...any) {
	r.emit(Effect{Kind: LogMessage, Trace: true, Fields: about, Text: fmt.Sprintf(what, more...)})
}

func (q *query) logFields() LogFields { return LogFields{Query: q.id, Group: q.group.name} }

func (s *attempt) logFields() LogFields {
	a := s.query.logFields()
	a.Engine, a.Attempt = s.engine.id, s.number+1
	return a
}

func (r *Controller) logCounters() {
	r.emit(Effect{Kind: LogCounters, Text: r.counters.text(r), QueryCount: r.counters.received})
}
func (r *Controller) runSoon(what func()) { r.callbacks = append(r.callbacks, what) }

func (r *Controller) write(l *Connection, p []byte) { r.writeAttempt(l, p, nil) }

// writeBy writes what starts a submission, which goes out only while the fleet's word is the
// version it was decided by, and by its permit; nil: anything else.
func (r *Controller) writeAttempt(l *Connection, p []byte, s *attempt) {
	if l.closed || len(p) == 0 {
		return
	}
	l.unwrittenBytes += len(p)
	e := Effect{Kind: Write, Connection: l, Bytes: p, Retained: r.writingRetained}
	if s != nil {
		e.PolicyVersion, e.Confined, e.Permit, e.Client = s.policyVersion, s.query.confined, s.permit, s.query.owner.connection()
	}
	r.emit(e)
}

func (r *Controller) accountBuffer(l *Connection, bytes int) {
	r.bufferedBytes += bytes - l.bufferBytes
	l.bufferBytes = bytes
}

func (r *Controller) noteWritten(l *Connection, n int) { l.unwrittenBytes = max(0, l.unwrittenBytes-n) }

// shut closes a link for good; its Ended comes when its descriptor is free.
func (r *Controller) closeConnection(l *Connection, gently bool) {
	r.closeWithin(l, gently, messageTimeout)
}

// shutWithin closes a link; gently, its peer has so long to take what was written and to
// close its own side: a close over bytes that nobody read would reset what it has not taken.
func (r *Controller) closeWithin(l *Connection, gently bool, within time.Duration) {
	if !l.closed {
		l.closed = true
		r.emit(Effect{Kind: Close, Connection: l, Graceful: gently, Timeout: within})
	}
}

const sweepEvery = 250 * time.Millisecond

// sweep is the one periodic timer.
func (r *Controller) sweep() {
	r.runAfter(sweepEvery, r.sweep)
	r.closeIdleConnections()
	r.sweepEngines()
	r.sweepClients()
	r.keys.forgetIdle(r.now - max(r.keyReuseDelay, min(r.longestQueryTimeout, maxKeyGap)))
}

func (r *Controller) beginShutdown() {
	if !r.stopping {
		r.stopping, r.stopRequestedAt = true, r.now
		r.logMessage(false, "stopping once all is answered")
		r.runAfter(stopGrace, func() {})
		r.runAfter(stopStays, func() {})
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
func (r *Controller) continueShutdown() {
	past := r.now - r.stopRequestedAt
	if !r.stopping || past < stopGrace {
		return
	}
	if !r.closing {
		r.closing = true
		r.scheduler.Closing(r.now)
		if r.fairQueue != nil {
			r.fairQueue.deferAll()
		}
		if r.warrant != nil {
			r.warrant.deferAllHeld()
		}
	}
	busy := past < stopStays || len(r.queries) > 0 || past < stopMost && (r.now-r.lastQueryAt < stopQuiet || r.cancellationsPending())
	for _, c := range r.clients {
		busy = busy || c.connection.unwrittenBytes > 0 && (c.stalledSince < 0 || r.now-c.stalledSince < stopGrace)
	}
	if !busy {
		r.stopping = false
		r.logCounters()
		r.emit(Effect{Kind: Exit})
	}
}

// gives: something that was given up is not yet over at its engine, which would work on for nobody.
func (r *Controller) cancellationsPending() bool {
	for _, e := range r.engines {
		if len(e.cancelling) > 0 {
			return true
		}
	}
	return false
}

// What the decisions act through; none of it calls them back at once.

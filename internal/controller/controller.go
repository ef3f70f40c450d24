// Package controller is the state machine of a controller. Controller.Step takes one event at a time and
// returns the effects that the runner has to perform. The package does no I/O and reads no clock, so tests
// can drive it without either. One goroutine steps a controller and owns all of its state.
//
// Package scheduler decides which queries are admitted, which engine gets a query, and when a query is
// retried, hedged or given up. This package carries the decisions out and reports each outcome back. It never
// picks an engine or resends a query by itself.
package controller

import (
	"fmt"
	"runtime/debug"
	"time"

	"railrelay.dev/railrelay/internal/discovery"
	"railrelay.dev/railrelay/internal/invariant"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// Controller is one controller. Only one goroutine may call its methods.
type Controller struct {
	Config
	scheduler *scheduler.Scheduler

	// the current step
	now       time.Duration // since StartedAt; never decreases
	effects   []Effect
	callbacks []func() // run before the step ends, since the scheduler must not be called while it acts
	timers    timerqueue.Queue
	timerAt   time.Duration // when the requested TimerFired is due, -1: none was requested
	counters  counters
	// writingRetainedData is set while data kept for tenants is being written, for Effect.RetainedData.
	writingRetainedData bool

	// queries and the clients that sent them
	queryTable
	clientTable
	maxMessageBytes int // limit on a client's message, and on a result that is answered in one piece
	groups          map[string]*group
	customers       []string // in the order of the settings

	// engines
	engines         map[string]*engine // by id
	engineByAddress map[string]*engine // the engine currently listed at an address
	pool            connectionPool
	discovery       discoveryWatch

	// optional components, nil if not configured
	fairQueue    *fairQueue
	paging       *resultPaging
	caching      *resultCaching
	invalidation *invalidation
	servingLease *servingLease

	// memory of the buffers of all connections
	bufferedBytes    int
	maxBufferedBytes int

	// from the settings
	connectTimeout         time.Duration
	engineIdleTimeout      time.Duration // engines close a connection that is idle for this long
	keyReuseDelay          time.Duration // idle time before another key may reuse a key's number
	longestQueryTimeout    time.Duration // over all groups
	enginesReportLoad      bool
	loadReportsInResponses bool // every response carries a load report, not only those to health checks
	mayHedge               bool // two attempts of a query may overlap
	mayCancel              bool // engines accept cancellations

	// graceful shutdown
	shutdown            shutdownPhase
	shutdownRequestedAt time.Duration
	lastQueryAt         time.Duration // when the last query arrived
}

// New returns a controller and its first effects, which are valid until the first Step.
func New(config Config) (*Controller, []Effect) {
	c := &Controller{
		Config:          config,
		timerAt:         -1,
		queryTable:      queryTable{queries: map[string]*query{}, keys: newKeyTable()},
		engines:         map[string]*engine{},
		engineByAddress: map[string]*engine{},
		groups:          map[string]*group{},
	}
	c.readLimits()
	c.readGroups()
	c.readCustomers()
	c.scheduler = scheduler.New(c, config.Seed, config.Settings)
	if len(config.InitialEndpoints) > 0 {
		err := discovery.ReadSnapshot(config.InitialEndpoints, c)
		if err != nil {
			c.logMessage(warningLevel, "cannot read the initial endpoint list: "+err.Error())
		}
	}
	c.initOptionalComponents()
	c.discovery.unreadableAfter = -1
	c.connectDiscovery()
	c.sweep()
	const backlogged = false // no event has arrived yet
	c.runPending(backlogged)
	return c, c.effects
}

// readLimits reads the settings that do not change while the controller runs, and computes the limits on
// clients, connections and memory.
func (c *Controller) readLimits() {
	c.connectTimeout = c.durationSetting("connect.timeout")
	c.engineIdleTimeout = c.durationSetting("idle.most")
	c.keyReuseDelay = c.durationSetting("key.rest")
	reports := c.Settings["report.how"]
	c.enginesReportLoad = reports != "off" && reports != ""
	c.loadReportsInResponses = reports == "answers"
	c.mayHedge = c.Settings["may.copy"] == settingTrue
	c.mayCancel = c.Settings["may.cancel"] == settingTrue

	c.clientLimits = newClientLimitTable(c.ClientLimits)
	// slightly more than the descriptors set aside for clients, because a client's new connection may be
	// accepted while its previous connection is still closing
	c.maxClients = c.clientDescriptors() + c.reservedDescriptors()/4
	c.pool.limit = max(minEngineConnections,
		c.MaxDescriptors-c.MaxDescriptors/clientDescriptorsDivisor-c.reservedDescriptors())

	memory := int(c.MemoryMB * megabyte)
	c.maxMessageBytes = max(minMessageBytes, memory/messageMemoryDivisor)
	c.discovery.maxEventBytes = max(minBufferedBytes, memory/sharedMemoryDivisor)
	shared := c.sharedMemoryBytes()
	c.maxUnreadBytes = max(minUnreadBytes, shared)
	c.maxStatementBytes = max(minStatementBytes, shared)
	c.maxBufferedBytes = max(minBufferedBytes, shared)
}

func (c *Controller) initOptionalComponents() {
	if c.Tenants != nil {
		c.fairQueue = newFairQueue(c, c.Tenants, c.FieldNames)
	}
	if c.Spool != nil {
		c.paging = newResultPaging(c, c.Spool)
	}
	if c.CacheLimits != nil {
		c.caching = newResultCaching(c, c.CacheLimits)
	}
	if c.paging != nil || c.caching != nil {
		c.invalidation = newInvalidation(c)
		if c.paging != nil && c.Fleet == nil {
			// without peers, an invalidation comes after everything that the disk held at the start
			c.invalidation.logIndex = c.paging.restoredIndex
		}
	}
	if c.Fleet != nil {
		c.servingLease = newServingLease(c, c.Fleet)
		if c.invalidation != nil {
			c.servingLease.invalidator = c.invalidation
		}
		if c.paging != nil {
			c.paging.core.MayServe = c.servingLease.residency.mayServe
		}
	}
}

// Step handles an event that happened at now, the time since StartedAt, and returns the resulting effects.
// They are valid until the next Step.
func (c *Controller) Step(now time.Duration, event Event) []Effect {
	c.step(now, event)
	return c.effects
}

// step does the work of Step. It is a function of its own so that Step still returns the effects after
// recoverStep has recovered from a panic. With invariant.Debug, a panic is not recovered from.
func (c *Controller) step(now time.Duration, event Event) {
	c.now = max(now, c.now)
	clear(c.effects)
	c.effects = c.effects[:0]
	if !invariant.Debug {
		defer c.recoverStep(event.Connection)
	}
	if c.servingLease != nil {
		c.servingLease.updateServing()
	}
	c.handle(event)
	c.runPending(event.Backlogged)
}

func (c *Controller) handle(event Event) {
	conn := event.Connection
	switch event.Kind {
	case ClientAccepted:
		c.acceptClient(conn)
	case Connected:
		if !conn.closed {
			conn.onConnected()
		}
	case ConnectRefused, ConnectTimedOut:
		conn.closed = true
		conn.onDialFailed(event.Kind == ConnectRefused)
	case BytesReceived:
		c.handleBytes(conn, event.ByteCount, event.EndOfStream)
	case BytesWritten:
		c.recordWritten(conn, event.ByteCount)
	case ConnectionClosed:
		conn.closed = true
		conn.onClosed()
		conn.unwrittenBytes = 0
		c.recordBufferSize(conn, 0)
	case CloseDeclined:
		conn.closed = false
		conn.onCloseDeclined()
	case TimerFired:
		c.timerAt = -1
	case ShutdownRequested:
		c.beginShutdown()
	case CountersRequested:
		c.logCounters()
	case SpoolWorkDone:
		c.paging.workDone(event.SpoolWork)
	case FleetOrderReceived:
		c.servingLease.handleFleetOrder(event.Order)
	case FleetReportRejected:
		c.servingLease.reportRejected(event.Report)
	case WriteRejected:
		c.counters.rejectedWrites++
		if c.servingLease != nil {
			c.servingLease.rejectedWrites++
		}
	case ConfigurationReloaded:
		c.changeDiscoveryAddress(event.DiscoveryAddress)
		// with peers, the fleet's policy sets the tenants
		if c.fairQueue != nil && event.Tenants != nil && c.servingLease == nil {
			c.fairQueue.reload(event.Tenants)
		}
	}
}

func (c *Controller) handleBytes(conn *Connection, count int, endOfStream bool) {
	if conn.closed {
		return
	}
	conn.Received.Advance(count)
	conn.onBytes()
	if endOfStream && conn.onEndOfStream != nil {
		conn.onEndOfStream()
	}
	c.recordBufferSize(conn, conn.Received.Capacity())
	if c.bufferedBytes > c.maxBufferedBytes {
		c.reclaimBufferMemory(conn)
	}
}

// recoverStep recovers from a panic in a step. It closes the connection that the event came from, and
// requests another step if no timer is set. All other connections are kept.
func (c *Controller) recoverStep(conn *Connection) {
	fault := recover()
	if fault == nil {
		return
	}
	invariant.Check(false, "a step does not panic")
	c.logMessage(warningLevel, fmt.Sprintf("panic in a step: %v at %s", fault, debug.Stack()))
	if conn != nil {
		c.closeConnection(conn, immediately)
	}
	if c.timerAt < 0 { // the next step runs the callbacks that this one did not
		c.timerAt = c.now + time.Millisecond
		c.emit(Effect{Kind: SetTimer, Timeout: time.Millisecond})
	}
}

// runPending ends a step: it runs the callbacks, the timers that are due and the fair queue until nothing is
// left to do, continues a shutdown, and requests a TimerFired for the next timer. While events are
// backlogged, timers and the shutdown wait.
func (c *Controller) runPending(backlogged bool) {
	for c.runNext(backlogged) {
	}
	c.callbacks = nil
	if !backlogged {
		c.continueShutdown()
	}
	at, ok := c.timers.NextDue()
	if ok && (c.timerAt < 0 || at < c.timerAt) {
		c.timerAt = at
		c.emit(Effect{Kind: SetTimer, Timeout: max(0, at-c.now)})
	}
	if invariant.Debug {
		for id, e := range c.engines {
			inFlight, known := c.scheduler.InFlight(id)
			invariant.Check(!known || inFlight == e.unreportedAttempts, "scheduler's attempts in flight match")
		}
	}
	invariant.Check(c.pool.open >= 0 && c.pool.open <= c.pool.limit, "engine connections within their limit")
}

// runNext runs one pending callback, timer or fair-queue dispatch. It returns false if there is none.
func (c *Controller) runNext(backlogged bool) bool {
	if len(c.callbacks) > 0 {
		run := c.callbacks[0]
		c.callbacks = c.callbacks[1:]
		run()
		return true
	}
	if !backlogged {
		run, due := c.timers.PopDue(c.now)
		if due {
			run()
			return true
		}
	}
	if c.fairQueue == nil || c.servingLease != nil && c.servingLease.paused() {
		return false
	}
	return c.fairQueue.dispatchNext()
}

func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

// enqueueCallback queues a callback that runs before the step ends.
func (c *Controller) enqueueCallback(callback func()) { c.callbacks = append(c.callbacks, callback) }

func (c *Controller) runAt(at time.Duration, callback func()) { c.timers.Add(at, callback) }

func (c *Controller) runAfter(span time.Duration, callback func()) {
	c.timers.Add(c.now+span, callback)
}

const sweepInterval = 250 * time.Millisecond

// sweep closes idle connections, forgets unused engines, keys and ids, and checks the clients, every
// sweepInterval.
func (c *Controller) sweep() {
	c.runAfter(sweepInterval, c.sweep)
	c.closeIdleConnections()
	c.sweepEngines()
	c.sweepClients()
	c.keys.forgetIdle(c.now - max(c.keyReuseDelay, min(c.longestQueryTimeout, maxKeyGap)))
	c.submitted.forget(c.now - c.longestQueryTimeout)
}

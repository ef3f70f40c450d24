// Package controller is a controller's state machine. Controller.Step takes one event at a time and
// returns the effects that the runner is to perform; the package does no I/O and reads no clock, so it
// can be driven without either. One goroutine steps a controller, and owns all of its state.
//
// What is admitted, which engine gets a query, when it is retried, hedged or given up is decided by
// package scheduler. This package carries the decisions out and reports every outcome back; it never
// picks an engine or sends a query again by itself.
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

// Controller is one controller. Its methods must be called by one goroutine.
type Controller struct {
	Config
	scheduler *scheduler.Scheduler

	// the step under way
	now       time.Duration // since StartedAt; it never goes back
	effects   []Effect
	callbacks []func() // to run before the step ends, since the scheduler must not be called while it acts
	timers    timerqueue.Queue
	timerAt   time.Duration // when the TimerFired asked for is due, -1: none was
	counters  counters
	// writingRetainedData is set while data kept for tenants is being written, for Effect.RetainedData.
	writingRetainedData bool

	// queries and the clients that sent them
	queryTable
	clientTable
	maxMessageBytes int // of a client's message, and of a result that is answered in one piece
	groups          map[string]*group
	customers       []string // by their places in the settings

	// engines
	engines         map[string]*engine // by id
	engineByAddress map[string]*engine // the one that is listed at an address now
	pool            connectionPool
	discovery       discoveryWatch

	// parts that a set-up may leave out: nil then
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
	engineIdleTimeout      time.Duration // engines close a connection that is idle for so long
	keyReuseDelay          time.Duration // a key's number rests for so long before another key has it
	longestQueryTimeout    time.Duration // of all groups
	enginesReportLoad      bool
	loadReportsInResponses bool // load reports come with all responses, not with health checks alone
	mayHedge               bool // two attempts of a query may overlap
	mayCancel              bool // engines take cancellations

	// graceful shutdown
	shutdown            shutdownPhase
	shutdownRequestedAt time.Duration
	lastQueryAt         time.Duration // when a query last came
}

// New returns a controller and the effects that it starts with, valid until the first Step.
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
		err := discovery.Known(config.InitialEndpoints, c)
		if err != nil {
			c.logMessage(true, "the known list can't be read: "+err.Error())
		}
	}
	c.initOptionalComponents()
	c.discovery.unreadableAfter = -1
	c.connectDiscovery()
	c.sweep()
	c.runPending(false)
	return c, c.effects
}

// readLimits takes what is fixed from the start from the configuration.
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
	// a little over the clients' third: a closing connection may overlap with the client's next
	c.maxClients = c.clientDescriptors() + c.reservedDescriptors()/4
	c.pool.limit = max(minEngineConnections, c.MaxDescriptors-c.MaxDescriptors/clientDescriptorsDivisor-c.reservedDescriptors())

	memory := int(c.MemoryMB * megabyte)
	c.maxMessageBytes = max(minMessageBytes, memory/messageMemoryDivisor)
	c.maxUnreadBytes = max(minUnreadBytes, memory/sharedMemoryDivisor)
	c.maxStatementBytes = max(minStatementBytes, memory/sharedMemoryDivisor)
	c.maxBufferedBytes = max(minBufferedBytes, memory/sharedMemoryDivisor)
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
			// an invalidation of this controller alone comes after all that the disk held
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

// Step takes an event that happened at now, the time since StartedAt, and returns the effects that it
// leads to. They are valid until the next Step.
func (c *Controller) Step(now time.Duration, ev Event) []Effect {
	c.step(now, ev)
	return c.effects
}

func (c *Controller) step(now time.Duration, ev Event) {
	c.now = max(now, c.now)
	clear(c.effects)
	c.effects = c.effects[:0]
	if !invariant.Debug {
		defer c.recoverStep(ev.Connection)
	}
	if c.servingLease != nil {
		c.servingLease.updateServing()
	}
	c.handle(ev)
	c.runPending(ev.Backlogged)
}

func (c *Controller) handle(ev Event) {
	conn := ev.Connection
	switch ev.Kind {
	case ClientAccepted:
		c.acceptClient(conn)
	case Connected:
		if !conn.closed {
			conn.onConnected()
		}
	case ConnectRefused, ConnectTimedOut:
		conn.closed = true
		conn.onDialFailed(ev.Kind == ConnectRefused)
	case BytesReceived:
		c.handleBytes(conn, ev.ByteCount, ev.EndOfStream)
	case BytesWritten:
		c.recordWritten(conn, ev.ByteCount)
	case ConnectionClosed:
		conn.closed = true
		conn.onClosed()
		conn.unwrittenBytes = 0
		c.recordBufferSize(conn, 0)
	case TimerFired:
		c.timerAt = -1
	case ShutdownRequested:
		c.beginShutdown()
	case CountersRequested:
		c.logCounters()
	case SpoolWorkDone:
		c.paging.workDone(ev.SpoolWork)
	case FleetOrderReceived:
		c.servingLease.handleFleetOrder(ev.Order)
	case FleetReportRejected:
		c.servingLease.reportRejected(ev.Report)
	case WriteRejected:
		c.counters.rejectedWrites++
		if c.servingLease != nil {
			c.servingLease.rejectedWrites++
		}
	case ConfigurationReloaded:
		c.changeDiscoveryAddress(ev.DiscoveryAddress)
		// with peers tenants are the fleet's to change
		if c.fairQueue != nil && ev.Tenants != nil && c.servingLease == nil {
			c.fairQueue.reload(ev.Tenants)
		}
	}
}

func (c *Controller) handleBytes(conn *Connection, count int, endOfStream bool) {
	if conn.closed {
		return
	}
	conn.Received.Took(count)
	conn.onBytes()
	if endOfStream && conn.onEndOfStream != nil {
		conn.onEndOfStream()
	}
	c.recordBufferSize(conn, conn.Received.Held())
	if c.bufferedBytes > c.maxBufferedBytes {
		c.reclaimBufferMemory()
	}
}

// recoverStep has a panic cost the connection that the event came by, and not all that is served on
// the others.
func (c *Controller) recoverStep(conn *Connection) {
	fault := recover()
	if fault == nil {
		return
	}
	invariant.Hold(false, "no step fails")
	c.logMessage(true, fmt.Sprintf("a fault: %v at %s", fault, debug.Stack()))
	if conn != nil {
		c.closeConnection(conn, false)
	}
	if c.timerAt < 0 { // the next step runs what this one could not
		c.timerAt = c.now + time.Millisecond
		c.emit(Effect{Kind: SetTimer, Timeout: time.Millisecond})
	}
}

// runPending ends a step: it runs the callbacks, the timers that are due and the fair queue until
// nothing is left to do. While events are backlogged timers wait.
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
			invariant.Hold(!known || inFlight == e.unreportedAttempts, "decisions know what is out")
		}
	}
	invariant.Hold(c.pool.open >= 0 && c.pool.open <= c.pool.limit, "engine links within their part")
}

// runNext does one thing that is pending; false: nothing is.
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

// enqueueCallback runs a callback before the step ends.
func (c *Controller) enqueueCallback(callback func()) { c.callbacks = append(c.callbacks, callback) }

func (c *Controller) runAt(at time.Duration, callback func()) { c.timers.Add(at, callback) }

func (c *Controller) runAfter(span time.Duration, callback func()) {
	c.timers.Add(c.now+span, callback)
}

const sweepInterval = 250 * time.Millisecond

// sweep is the controller's one periodic timer.
func (c *Controller) sweep() {
	c.runAfter(sweepInterval, c.sweep)
	c.closeIdleConnections()
	c.sweepEngines()
	c.sweepClients()
	c.keys.forgetIdle(c.now - max(c.keyReuseDelay, min(c.longestQueryTimeout, maxKeyGap)))
}

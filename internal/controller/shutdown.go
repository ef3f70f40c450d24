package controller

import "time"

// shutdownPhase is the phase of a graceful shutdown. Phases follow one another in this order.
type shutdownPhase int

const (
	// noShutdown: no shutdown was requested.
	noShutdown shutdownPhase = iota
	// gracePeriod: queries are still accepted, because clients may not know of the shutdown yet.
	gracePeriod
	// draining: new queries are rejected; accepted queries run to their ends.
	draining
	// exited: the Exit effect was emitted.
	exited
)

// Times of a graceful shutdown, from the request on. By the protocol clients may send new queries on
// their connections for 0.6 s after SIGTERM. A query that arrives after 0.7 s and is unanswered at
// SIGKILL is lost, and a query may take longer than the time that is left then. Therefore new queries are
// rejected from shutdownGrace on. The program doesn't exit before shutdownMinimum, since a client's last
// query may still be in the network. From then on it waits until no query has arrived for shutdownQuiet,
// but no longer than shutdownQuietLimit.
const (
	shutdownGrace      = 650 * time.Millisecond
	shutdownMinimum    = 750 * time.Millisecond
	shutdownQuiet      = 100 * time.Millisecond
	shutdownQuietLimit = 2 * shutdownGrace
)

func (c *Controller) beginShutdown() {
	if c.shutdown != noShutdown {
		return
	}
	c.shutdown = gracePeriod
	c.shutdownRequestedAt = c.now
	c.logMessage(infoLevel, "stopping once all queries are answered")
	// continueShutdown runs at the end of every step; these timers cause the steps
	c.runAfter(shutdownGrace, func() {})
	c.runAfter(shutdownMinimum, func() {})
}

// isDraining reports whether new queries are rejected because the controller shuts down.
func (c *Controller) isDraining() bool { return c.shutdown >= draining }

// continueShutdown starts draining at the end of the grace period. It exits once all accepted queries are
// answered and the answers are written, without waiting for clients that don't read.
func (c *Controller) continueShutdown() {
	elapsed := c.now - c.shutdownRequestedAt
	if c.shutdown == noShutdown || c.shutdown == exited || elapsed < shutdownGrace {
		return
	}
	if c.shutdown == gracePeriod {
		c.shutdown = draining
		c.rejectNewQueries()
	}
	if c.mayExit(elapsed) {
		c.shutdown = exited
		c.logCounters()
		c.emit(Effect{Kind: Exit})
	}
}

// rejectNewQueries makes the scheduler reject all queries from now on, and defers those that have not reached
// the scheduler.
func (c *Controller) rejectNewQueries() {
	c.scheduler.DrainStarted(c.now)
	if c.fairQueue != nil {
		c.fairQueue.deferAll()
	}
	if c.servingLease != nil {
		c.servingLease.deferAllHeld()
	}
}

func (c *Controller) mayExit(elapsed time.Duration) bool {
	if elapsed < shutdownMinimum || len(c.queries) > 0 {
		return false
	}
	if elapsed < shutdownQuietLimit && (c.now-c.lastQueryAt < shutdownQuiet || c.cancellationsPending()) {
		return false
	}
	for _, cl := range c.clients {
		if cl.connection.unwrittenBytes > 0 && (cl.stalledSince < 0 || c.now-cl.stalledSince < shutdownGrace) {
			return false
		}
	}
	return true
}

// cancellationsPending reports whether an attempt that is being cancelled may still run at its engine.
func (c *Controller) cancellationsPending() bool {
	for _, e := range c.engines {
		if len(e.cancelling) > 0 {
			return true
		}
	}
	return false
}

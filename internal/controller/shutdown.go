package controller

import "time"

// shutdownPhase is how far a graceful shutdown has come. It only ever moves down this list.
type shutdownPhase int

const (
	// noShutdown: no shutdown was requested.
	noShutdown shutdownPhase = iota
	// gracePeriod: queries are accepted as before, for clients may not know yet.
	gracePeriod
	// draining: new queries are rejected as they come; accepted ones run to their ends.
	draining
	// exited: Exit was asked for.
	exited
)

// By the protocol connections stay open for 0.6 s after SIGTERM and carry new queries. One that comes
// after 0.7 s and is unanswered at SIGKILL is lost, and a query may take longer than that leaves; so
// from shutdownGrace on new ones are rejected at once. The program doesn't exit before
// shutdownMinimum, as a client's last query may still be on its way, and then waits for a moment
// without new queries of shutdownQuiet, but no longer than shutdownQuietLimit. All from the request.
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
	c.logMessage(false, "stopping once all is answered")
	// continueShutdown is asked at the end of every step; these make sure that there is one
	c.runAfter(shutdownGrace, func() {})
	c.runAfter(shutdownMinimum, func() {})
}

// isDraining reports whether new queries are rejected since the controller shuts down.
func (c *Controller) isDraining() bool { return c.shutdown >= draining }

// continueShutdown ends the grace period when it is over, and the program once all accepted queries are
// answered and the answers are written. It doesn't wait for clients that don't read.
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

// cancellationsPending reports whether a cancelled attempt may still run at its engine.
func (c *Controller) cancellationsPending() bool {
	for _, e := range c.engines {
		if len(e.cancelling) > 0 {
			return true
		}
	}
	return false
}

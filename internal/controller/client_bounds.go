package controller

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/bytebuf"
)

// clientTable is the connections of clients and the bounds on all of them together.
type clientTable struct {
	clients      []*client
	maxClients   int
	clientLimits clientLimitTable

	unreadBytes    int // written to clients that have not taken them, as of the last sweep
	maxUnreadBytes int
	sweptAt        time.Duration
}

// stallTimeout is how long a client may take nothing of what is written to it.
const stallTimeout = 10 * time.Second

// evictionOrder says which client is evicted first where there are too many: the lowest.
type evictionOrder int

const (
	evictSilent    evictionOrder = iota // no whole message ever came
	evictIdle                           // nothing is open on it
	evictReceiving                      // its next call may be on its way
	evictNewcomer                       // the one just accepted
	neverEvict                          // a query is open, or it is reading an answer
)

func (c *Controller) evictionOrder(cl, newcomer *client) evictionOrder {
	isTaking := cl.stalledSince < 0 || c.now-cl.stalledSince < messageTimeout
	isReading := cl.connection.unwrittenBytes > 0 && isTaking
	switch {
	case len(cl.calls) > 0 || isReading:
		return neverEvict
	case cl == newcomer:
		return evictNewcomer
	case cl.messageStartedAt >= 0 && c.now-cl.messageStartedAt < maxNetworkDelay:
		return evictReceiving
	case cl.hasSentMessage:
		return evictIdle
	}
	return evictSilent
}

// evictClient closes a client's connection if there are more than maxClients: by evictionOrder, and among
// equals the one idle for longest. Connections that cost their owners nothing must not keep out clients
// that mean to send queries.
func (c *Controller) evictClient(newcomer *client) {
	open := 0
	victim := newcomer
	for _, cl := range c.clients {
		if cl.connection.closed {
			continue
		}
		open++
		order, victimOrder := c.evictionOrder(cl, newcomer), c.evictionOrder(victim, newcomer)
		if order < victimOrder || order == victimOrder && cl.idleSince < victim.idleSince {
			victim = cl
		}
	}
	if open > c.maxClients {
		c.counters.disconnected++
		// gracefully: it may have been answered a moment ago, and its next query be on its way
		c.closeConnectionWithin(victim.connection, true, maxNetworkDelay)
	}
}

// sweepClients closes the connections of clients that don't read their answers for too long, leave a
// message incomplete, send none, or are idle. If clients leave more unread than their part of the memory
// the one with the most goes.
func (c *Controller) sweepClients() {
	c.unreadBytes = 0
	stood := c.stallDuration()
	c.sweptAt = c.now
	var worst *client // with the most unread bytes
	for _, cl := range slices.Clone(c.clients) {
		cl.excludeStall(stood)
		cl.recordUnread()
		unread := cl.unreadAtSweep
		c.unreadBytes += unread
		cl.messagesSinceSweep = 0
		switch {
		case cl.connection.closed:
			continue
		case cl.isStalled() || cl.isMessageOverdue():
			c.counters.disconnected++
			cl.disconnect(cl.stalledSince < 0) // one that takes nothing is not waited for
		case cl.isIdle():
			c.counters.idleClosed++
			cl.disconnect(true)
		case worst == nil || unread > worst.connection.unwrittenBytes:
			worst = cl
		}
	}
	if c.unreadBytes > c.maxUnreadBytes && worst != nil {
		c.counters.disconnected++
		worst.disconnect(false)
	}
}

// stallDuration is for how long this process stood still since the last sweep, 0 if hardly. No client is to
// blame for that time: what came meanwhile is not read yet.
func (c *Controller) stallDuration() time.Duration {
	late := c.now - c.sweptAt - sweepInterval
	if late < sweepInterval {
		return 0
	}
	return late
}

// excuse moves the times that a client is judged by.
func (cl *client) excludeStall(stood time.Duration) {
	cl.idleSince += stood
	if cl.messageStartedAt >= 0 {
		cl.messageStartedAt += stood
	}
	if cl.stalledSince >= 0 {
		cl.stalledSince += stood
	}
}

// recordUnread notes what the client has not taken, and since when it has taken nothing.
func (cl *client) recordUnread() {
	unread := cl.connection.unwrittenBytes
	switch {
	case unread == 0:
		cl.stalledSince = -1
	case cl.stalledSince < 0 || unread < cl.unreadAtSweep:
		cl.stalledSince = cl.now
	}
	cl.unreadAtSweep = unread
}

func (cl *client) isStalled() bool {
	return cl.stalledSince >= 0 && cl.now-cl.stalledSince > stallTimeout
}

func (cl *client) isMessageOverdue() bool {
	return cl.messageStartedAt >= 0 && cl.now-cl.messageStartedAt > cl.limits.MessageTimeout
}

func (cl *client) isIdle() bool {
	nothingOpen := cl.messageStartedAt < 0 && len(cl.calls) == 0 && cl.pageReads == 0 && cl.unreadAtSweep == 0
	return nothingOpen && cl.now-cl.idleSince > cl.limits.IdleTimeout
}

// reclaimBufferMemory is called when the buffers of all connections hold more than their part of the memory. It
// closes the client's connection with the largest incomplete message, or else the engine's connection with
// the largest buffer. A buffer that any connection may keep is not to blame.
func (c *Controller) reclaimBufferMemory() {
	most := bytebuf.MaxIdleCapacity
	var worst *client
	for _, cl := range c.clients {
		if !cl.connection.closed && cl.messageStartedAt >= 0 && cl.connection.bufferBytes > most {
			worst = cl
			most = cl.connection.bufferBytes
		}
	}
	if worst != nil {
		c.counters.disconnected++
		worst.disconnect(false)
		return
	}
	var largest *engineConnection
	for _, ec := range c.pool.connections {
		if !ec.connection.closed && ec.connection.bufferBytes > most {
			largest = ec
			most = ec.connection.bufferBytes
		}
	}
	if largest != nil {
		c.closeEngineConnection(largest)
	}
}

package controller

import (
	"slices"
	"time"
)

// clientTable holds the connections of clients and the limits on all of them together.
type clientTable struct {
	clients      []*client
	maxClients   int
	clientLimits clientLimitTable

	unreadBytes    int // written to clients and not yet read by them, as of the last sweep
	maxUnreadBytes int
	sweptAt        time.Duration
}

// stallTimeout is how long a client may read nothing of the bytes written to it.
const stallTimeout = 10 * time.Second

// evictionOrder ranks clients for eviction when there are too many: the lowest is evicted first.
type evictionOrder int

const (
	evictSilent    evictionOrder = iota // no complete message has arrived
	evictIdle                           // no query is open
	evictReceiving                      // its next call may be arriving
	evictNewcomer                       // just accepted
	neverEvict                          // a query is open, or the client is reading an answer
)

// evictionOrder returns the rank of a client for eviction. newcomer is the client that was just accepted.
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

// evictClient closes a client's connection if there are more than maxClients: the lowest by evictionOrder,
// and among equals the one idle for longest. Idle connections cost their owners nothing and must not keep
// out clients that send queries. A client with pending input isn't idle, and may have left: it doesn't count.
func (c *Controller) evictClient(newcomer *client) {
	open := 0
	victim := newcomer
	for _, cl := range c.clients {
		if cl.connection.closed || cl.hasPendingInput {
			continue
		}
		open++
		order, victimOrder := c.evictionOrder(cl, newcomer), c.evictionOrder(victim, newcomer)
		if order < victimOrder || order == victimOrder && cl.idleSince < victim.idleSince {
			victim = cl
		}
	}
	if open <= c.maxClients {
		return
	}
	c.counters.disconnected++
	if victim == newcomer {
		c.closeConnectionWithin(victim.connection, gracefully, maxNetworkDelay)
		return
	}
	c.closeIfIdle(victim.connection, maxNetworkDelay, func() {
		c.counters.disconnected--
		victim.hasPendingInput = true
		c.evictClient(newcomer)
	})
}

// sweepClients closes the connections of clients that do not read their answers, are idle for too long, or
// leave a message incomplete or send none while no call is open. If the unread bytes of all clients exceed
// their limit, it closes the connection with the most.
func (c *Controller) sweepClients() {
	c.unreadBytes = 0
	stalled := c.stallDuration()
	c.sweptAt = c.now
	var worst *client // with the most unread bytes
	for _, cl := range slices.Clone(c.clients) {
		cl.excludeStall(stalled)
		cl.recordUnread()
		unread := cl.unreadAtSweep
		c.unreadBytes += unread
		cl.messagesSinceSweep = 0
		switch {
		case cl.connection.closed:
			continue
		case cl.isStalled():
			c.counters.disconnected++
			cl.disconnect(answersUnread, immediately)
		case cl.isMessageOverdue():
			cl.disconnectOverdue()
		case cl.isIdle():
			cl.disconnectIfIdle(idleTooLong, &c.counters.idleClosed)
		case worst == nil || unread > worst.connection.unwrittenBytes:
			worst = cl
		}
	}
	if c.unreadBytes > c.maxUnreadBytes && worst != nil {
		c.counters.disconnected++
		worst.disconnect(unreadMemoryFull, immediately)
	}
}

// stallDuration returns for how long this process was stalled since the last sweep; 0 for a short delay.
// Clients are not held responsible for that time, since their messages were not read meanwhile.
func (c *Controller) stallDuration() time.Duration {
	delay := c.now - c.sweptAt - sweepInterval
	if delay < sweepInterval {
		return 0
	}
	return delay
}

// excludeStall excludes the time that this process was stalled from the client's timeouts.
func (cl *client) excludeStall(stalled time.Duration) {
	cl.idleSince += stalled
	if cl.messageStartedAt >= 0 {
		cl.messageStartedAt += stalled
	}
	if cl.stalledSince >= 0 {
		cl.stalledSince += stalled
	}
}

// recordUnread records how many bytes the client has not read, and since when it has read none.
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

// isMessageOverdue reports whether a message, or the first one, has not arrived completely in time. A client
// with open calls may take longer, since closing its connection would leave them without answers; its time
// counts from when the last of them was answered.
func (cl *client) isMessageOverdue() bool {
	since := max(cl.messageStartedAt, cl.idleSince)
	return cl.messageStartedAt >= 0 && !cl.hasOpenCalls() && cl.now-since > cl.limits.MessageTimeout
}

func (cl *client) isIdle() bool {
	nothingOpen := cl.messageStartedAt < 0 && !cl.hasOpenCalls() && cl.unreadAtSweep == 0
	return nothingOpen && cl.now-cl.idleSince > cl.limits.IdleTimeout
}

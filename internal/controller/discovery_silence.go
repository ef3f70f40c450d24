package controller

import (
	"slices"
	"time"
)

const (
	// discoverySilenceLimit is how long a silent connection is kept. Later messages come after their time: an
	// event counts as delivered by then.
	discoverySilenceLimit = discoveryDeliveredAfter + discoverySilentAfter
	// maxSilentDiscoveries is how many silent connections are kept beside the latest one.
	maxSilentDiscoveries = 2
)

// watchHeartbeat dials another connection when one misses a heartbeat, even if neither side closed it. Events
// sent since may count as delivered, and a drain among them takes effect within a grace period.
func (c *Controller) watchHeartbeat(conn *Connection) {
	d := &c.discovery
	due := d.connectionActiveAt + discoverySilentAfter
	c.runAt(due, func() {
		switch {
		case d.connection != conn:
		case c.now-d.connectionActiveAt < discoverySilentAfter:
			c.watchHeartbeat(conn)
		case c.now > due+maxNetworkDelay:
			// the process was stalled: read what arrived meanwhile before judging the connection
			d.connectionActiveAt = c.now + maxNetworkDelay - discoverySilentAfter
			c.watchHeartbeat(conn)
		default:
			c.counters.discoveryFaults++
			c.keepSilentDiscovery(conn)
			c.reconnectDiscovery(conn)
		}
	})
}

// silentDiscovery is a connection that missed a heartbeat.
type silentDiscovery struct {
	connection *Connection
	closeAt    time.Duration
}

// keepSilentDiscovery keeps a connection that missed a heartbeat while others are dialled. Its messages may
// only be late, and would be as late on a new connection. The oldest connection is kept for longest, as its
// late messages come first.
func (c *Controller) keepSilentDiscovery(conn *Connection) {
	d := &c.discovery
	closeAt := d.connectionActiveAt + discoverySilenceLimit
	d.silent = append(d.silent, silentDiscovery{conn, closeAt})
	if len(d.silent) > maxSilentDiscoveries {
		c.closeConnection(d.silent[1].connection, immediately)
		d.silent = slices.Delete(d.silent, 1, 2)
	}
	c.runAt(closeAt, c.closeOverdueDiscovery)
}

// closeOverdueDiscovery closes the silent connections whose late messages are no longer waited for.
func (c *Controller) closeOverdueDiscovery() {
	d := &c.discovery
	d.silent = slices.DeleteFunc(d.silent, func(x silentDiscovery) bool {
		isOverdue := c.now >= x.closeAt
		if isOverdue {
			c.closeConnection(x.connection, immediately)
		}
		return isOverdue
	})
}

// resumeDiscovery follows a silent connection again, since a message has come on it.
func (c *Controller) resumeDiscovery(conn *Connection) {
	d := &c.discovery
	c.removeSilentDiscovery(conn)
	if d.connection != nil {
		c.closeConnection(d.connection, immediately)
	}
	d.connection = conn
	d.connectionActiveAt = c.now
	d.skippedLines = 0
	c.watchHeartbeat(conn)
}

// closeSilentDiscovery closes the silent connections.
func (c *Controller) closeSilentDiscovery() {
	for _, x := range c.discovery.silent {
		c.closeConnection(x.connection, immediately)
	}
	c.discovery.silent = nil
}

// removeSilentDiscovery removes a connection from the silent ones, if it is one of them.
func (c *Controller) removeSilentDiscovery(conn *Connection) {
	d := &c.discovery
	isThis := func(x silentDiscovery) bool { return x.connection == conn }
	d.silent = slices.DeleteFunc(d.silent, isThis)
}

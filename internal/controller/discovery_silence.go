package controller

import "slices"

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

// keepSilentDiscovery keeps a connection that missed a heartbeat while others are dialled. Its messages may
// only be late, and would be as late on a new connection. The oldest connection is kept for longest, as its
// late messages come first.
func (c *Controller) keepSilentDiscovery(conn *Connection) {
	d := &c.discovery
	d.silent = append(d.silent, conn)
	if len(d.silent) > maxSilentDiscoveries {
		c.closeConnection(d.silent[1], immediately)
		d.silent = slices.Delete(d.silent, 1, 2)
	}
	c.runAt(d.connectionActiveAt+discoverySilenceLimit, func() {
		if c.removeSilentDiscovery(conn) {
			c.closeConnection(conn, immediately)
		}
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
	for _, conn := range c.discovery.silent {
		c.closeConnection(conn, immediately)
	}
	c.discovery.silent = nil
}

// removeSilentDiscovery removes a connection from the silent ones. It returns false if it is none of them.
func (c *Controller) removeSilentDiscovery(conn *Connection) bool {
	d := &c.discovery
	i := slices.Index(d.silent, conn)
	if i < 0 {
		return false
	}
	d.silent = slices.Delete(d.silent, i, i+1)
	return true
}

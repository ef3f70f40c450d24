package controller

import (
	"bytes"
	"time"

	"railrelay.dev/railrelay/internal/discovery"
	"railrelay.dev/railrelay/internal/scheduler"
)

// discoveryWatch follows the endpoint list. The discovery service sends numbered events on a connection
// that stays open. A connection that skips an event or sends an unreadable event is replaced by a new one,
// which requests all events after lastEvent. One that misses a heartbeat is kept beside the new one for a
// while: its messages may be late.
type discoveryWatch struct {
	connection *Connection       // the latest one, nil if none is open or being dialled
	silent     []silentDiscovery // earlier ones that are still read, the oldest first
	retryDelay time.Duration

	maxEventBytes int

	lastEvent int64 // number of the last applied event
	listed    bool  // at least one event was applied
	// completeEvent is set while the event being read lists all engines; engines not in it are removed.
	completeEvent bool

	connectionActiveAt time.Duration // last message on this connection, or the dial before the first one
	lastMessageAt      time.Duration // last message on any connection

	unreadableAfter int64 // the event after this number was unreadable once; -1 if none was
	skippedLines    int64 // unreadable lines skipped on this connection since the last event
}

const (
	// discoveryHeartbeat is the longest time between two messages that the protocol allows the service.
	discoveryHeartbeat = time.Second
	// discoverySilentAfter is the silence after which a heartbeat, and perhaps an event, counts as lost.
	discoverySilentAfter = discoveryHeartbeat + 5*maxNetworkDelay
	discoveryDialTimeout = 800 * time.Millisecond
	minDiscoveryBackoff  = 50 * time.Millisecond
	maxDiscoveryBackoff  = 800 * time.Millisecond
	// discoveryDeliveredAfter is the time after which the protocol regards an event as delivered, even if
	// the controller has not received it.
	discoveryDeliveredAfter = 7 * time.Second
)

// boundDiscoveryDelay returns limit, or a shorter delay once a missed event may soon count as delivered.
// The event may drain an engine, which may be sent queries for a grace period only. Half of that period
// each for the backoff and the dial lets the watch reconnect within it once the service is back.
func (c *Controller) boundDiscoveryDelay(limit time.Duration) time.Duration {
	grace := c.durationSetting("drain.grace")
	silence := c.now - c.discovery.lastMessageAt
	if grace > 0 && silence > discoveryDeliveredAfter-maxDiscoveryBackoff-discoveryDialTimeout {
		return max(2*minDiscoveryBackoff, min(limit, grace/2))
	}
	return limit
}

// connectDiscovery dials the discovery service and requests the events after the last applied one. It does
// nothing without an address of the service, or while a connection exists.
func (c *Controller) connectDiscovery() {
	d := &c.discovery
	if c.DiscoveryAddress == "" || d.connection != nil { // changeDiscoveryAddress may run during the backoff
		return
	}
	conn := &Connection{}
	d.connection = conn
	d.connectionActiveAt = c.now
	d.skippedLines = 0
	conn.onConnected = func() {
		d.connectionActiveAt = c.now
		c.write(conn, discovery.AppendSubscribe(nil, d.lastEvent))
	}
	conn.onDialFailed = func(bool) { c.reconnectDiscovery(conn) }
	conn.onClosed = func() {
		c.removeSilentDiscovery(conn)
		c.reconnectDiscovery(conn)
	}
	conn.onBytes = func() { c.readDiscovery(conn) }
	c.counters.discoveryDials++
	c.emit(Effect{
		Kind:       Dial,
		Connection: conn,
		Address:    c.DiscoveryAddress,
		Timeout:    c.boundDiscoveryDelay(discoveryDialTimeout),
	})
	c.watchHeartbeat(conn)
}

// reconnectDiscovery replaces conn after a backoff, unless it has been replaced already.
func (c *Controller) reconnectDiscovery(conn *Connection) {
	d := &c.discovery
	if d.connection != conn {
		return
	}
	d.connection = nil
	d.retryDelay = min(max(2*d.retryDelay, minDiscoveryBackoff), c.boundDiscoveryDelay(maxDiscoveryBackoff))
	c.runAfter(d.retryDelay, c.connectDiscovery)
}

// readDiscovery reads the events that were received in full. An unreadable event is requested once more on
// a new connection, and skipped if it is unreadable there too.
func (c *Controller) readDiscovery(conn *Connection) {
	d := &c.discovery
	if d.connection != conn {
		received := conn.Received.Bytes()
		if bytes.IndexByte(received, '\n') < 0 && len(received) <= d.maxEventBytes {
			return
		}
		c.resumeDiscovery(conn)
	}
	for !conn.closed {
		// one event may list all engines, so the limit of a client's message doesn't apply
		n, err := discovery.Read(conn.Received.Bytes(), d.maxEventBytes, c)
		if err != nil && d.unreadableAfter == d.lastEvent && n > 0 {
			d.skippedLines++
			conn.Received.Discard(n)
			continue
		}
		if err != nil {
			c.counters.discoveryFaults++
			c.logMessage(warningLevel, "unreadable event from discovery: "+err.Error()+
				"; requested once more, then skipped")
			d.unreadableAfter = d.lastEvent
			c.closeConnection(conn, immediately)
			c.reconnectDiscovery(conn)
			return
		}
		if n == 0 {
			return
		}
		d.connectionActiveAt = c.now
		d.lastMessageAt = c.now
		d.retryDelay = 0
		conn.Received.Discard(n)
		c.closeSilentDiscovery()
	}
}

// changeDiscoveryAddress connects to another address at once and continues after the last applied event.
func (c *Controller) changeDiscoveryAddress(address string) {
	d := &c.discovery
	c.counters.reloads++
	if address == c.DiscoveryAddress {
		return
	}
	c.DiscoveryAddress = address
	d.retryDelay = 0
	if d.connection != nil {
		c.closeConnection(d.connection, immediately)
		d.connection = nil
	}
	c.closeSilentDiscovery()
	c.connectDiscovery()
}

// BeginEvent begins an event. It returns false if the event must not be applied, because it was applied
// before or an earlier event is missing.
func (c *Controller) BeginEvent(number int64, complete bool) bool {
	d := &c.discovery
	switch {
	case number <= d.lastEvent:
		return false
	case number > d.lastEvent+1+d.skippedLines && !complete:
		c.reconnectAfterGap()
		return false
	}
	d.lastEvent = number
	d.listed = true
	d.completeEvent = complete
	d.skippedLines = 0
	c.counters.listEvents++
	c.scheduler.ListStarted(c.now, complete)
	return true
}

// LatestEvent handles a heartbeat, which carries the number of the latest event.
func (c *Controller) LatestEvent(number int64) {
	d := &c.discovery
	switch {
	case number <= d.lastEvent:
	case number <= d.lastEvent+d.skippedLines: // the missing events are those that were skipped
		d.skippedLines -= number - d.lastEvent
		d.lastEvent = number
	default:
		c.reconnectAfterGap()
	}
}

// reconnectAfterGap closes the connection because an event is missing. The next connection requests it.
func (c *Controller) reconnectAfterGap() {
	conn := c.discovery.connection
	if conn != nil {
		c.counters.discoveryFaults++
		c.closeConnection(conn, immediately)
	}
}

// Engine applies an engine's entry in an event. startedMs is the Unix time in milliseconds at which the
// engine's process started; 0 if it is unknown.
func (c *Controller) Engine(id, address, location, kind string, cell int, state scheduler.EngineState,
	startedMs int64) {
	e := c.engines[id]
	if e == nil {
		e = &engine{id: id}
		c.engines[id] = e
	}
	if address != "" && address != e.address {
		c.releaseAddress(e)
		e.address = address
	}
	if e.state != state && state == scheduler.EngineRemoved {
		c.removeEngine(e)
	}
	if state != scheduler.EngineActive {
		e.revokePermits()
	}
	e.state = state
	e.kind = c.settingIndex("kinds", kind)
	e.location = c.settingIndex("locations", location)
	e.listedInEvent = c.discovery.lastEvent
	c.claimAddress(e)
	started := time.UnixMilli(startedMs).Sub(c.StartedAt)
	c.scheduler.EngineListed(id, e.location, e.kind, cell, state, started, startedMs != 0)
}

// claimAddress assigns an engine the address at which it is listed. Another engine with that address loses
// it, unless e is removed and the other engine is not.
func (c *Controller) claimAddress(e *engine) {
	if e.address == "" {
		return
	}
	holder := c.engineByAddress[e.address]
	if holder == e {
		return
	}
	if holder != nil {
		if e.state == scheduler.EngineRemoved && holder.state != scheduler.EngineRemoved {
			c.releaseAddress(e)
			return
		}
		if holder.state == scheduler.EngineActive && e.state == scheduler.EngineActive {
			c.logWithFields(LogFields{Engine: holder.id}, "lost its address, engine "+e.id+" is listed there")
		}
		c.releaseAddress(holder)
	}
	c.engineByAddress[e.address] = e
}

// EndEvent ends an event. It removes the engines that a complete event doesn't list.
func (c *Controller) EndEvent() {
	for _, e := range c.engines {
		isListed := e.listedInEvent == c.discovery.lastEvent
		if c.discovery.completeEvent && e.state != scheduler.EngineRemoved && !isListed {
			c.removeEngine(e)
		}
	}
	c.scheduler.ListEnded()
	if c.fairQueue != nil {
		c.fairQueue.updateCores()
	}
	if c.servingLease != nil {
		c.servingLease.endpointsChanged()
	}
}

// removeEngine marks an engine as removed, revokes the permits of attempts that are not written yet, and
// closes the engine's idle connections. Polling of the attempts that run there goes on.
func (c *Controller) removeEngine(e *engine) {
	e.revokePermits()
	e.state = scheduler.EngineRemoved
	e.removedAt = c.now
	for _, ec := range e.connections {
		if ec.connected && ec.call == nil {
			c.closeEngineConnection(ec)
		}
	}
}

// InvalidEntry counts and logs an entry of an event that was skipped as invalid.
func (c *Controller) InvalidEntry(why string) {
	c.counters.unexpectedMessages++
	c.logMessage(warningLevel, "skipped an invalid entry of the endpoint list: "+why)
}

package controller

import (
	"time"

	"railrelay.dev/railrelay/internal/discovery"
	"railrelay.dev/railrelay/internal/scheduler"
)

// discoveryWatch follows the endpoint list: the discovery sends numbered events on a connection that
// stays open. A connection that goes silent, skips a number or sends what can't be read is replaced by a
// new one, which asks for all events after lastEvent.
type discoveryWatch struct {
	connection *Connection // nil: none is open or being dialled
	retryDelay time.Duration

	lastEvent int64 // the number of the last event applied
	listed    bool  // an event was applied at all
	// completeEvent: the event being read lists all engines, and any other is removed.
	completeEvent bool

	connectionActiveAt time.Duration // on this connection; at first when it was dialled
	lastMessageAt      time.Duration // on whichever connection

	unreadableAfter int64 // the event after this one could not be read once, -1: none was
	skippedLines    int64 // unreadable lines passed over since the last event, on this connection
}

const (
	// discoveryHeartbeat is how often the discovery sends at least a number, by the protocol.
	discoveryHeartbeat = time.Second
	// discoverySilentAfter is when a heartbeat counts as missing: events since may be missing, too.
	discoverySilentAfter = discoveryHeartbeat + 5*maxNetworkDelay
	discoveryDialTimeout = 800 * time.Millisecond
	minDiscoveryBackoff  = 50 * time.Millisecond
	maxDiscoveryBackoff  = 800 * time.Millisecond
	// discoveryDeliveredAfter is when an event counts as told to us, whether it came or not, by the
	// protocol.
	discoveryDeliveredAfter = 7 * time.Second
)

// boundDiscoveryDelay bounds the wait for the discovery by most or, once the first event that may be
// missing is about to count as told, by half of the time for which a drained engine may still be sent
// queries: a dial and the backoff before it are then over within that time once the discovery is back.
func (c *Controller) boundDiscoveryDelay(most time.Duration) time.Duration {
	grace := c.durationSetting("drain.grace")
	silence := c.now - c.discovery.lastMessageAt
	if grace > 0 && silence > discoveryDeliveredAfter-maxDiscoveryBackoff-discoveryDialTimeout {
		return max(2*minDiscoveryBackoff, min(most, grace/2))
	}
	return most
}

// connectDiscovery dials the discovery and asks for the events after the last one applied.
func (c *Controller) connectDiscovery() {
	d := &c.discovery
	if c.DiscoveryAddress == "" || d.connection != nil { // another address may have come during the backoff
		return
	}
	conn := &Connection{}
	d.connection = conn
	d.connectionActiveAt = c.now
	d.skippedLines = 0
	conn.onConnected = func() {
		d.connectionActiveAt = c.now
		c.write(conn, discovery.Since(nil, d.lastEvent))
	}
	conn.onDialFailed = func(bool) { c.reconnectDiscovery(conn) }
	conn.onClosed = func() { c.reconnectDiscovery(conn) }
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

// reconnectDiscovery replaces a connection after a backoff, unless that has been done.
func (c *Controller) reconnectDiscovery(conn *Connection) {
	d := &c.discovery
	if d.connection != conn {
		return
	}
	d.connection = nil
	d.retryDelay = min(max(2*d.retryDelay, minDiscoveryBackoff), c.boundDiscoveryDelay(maxDiscoveryBackoff))
	c.runAfter(d.retryDelay, c.connectDiscovery)
}

// readDiscovery reads the events that were received whole. An event that can't be read is asked for once
// more on a new connection, and passed over if it is no better then.
func (c *Controller) readDiscovery(conn *Connection) {
	d := &c.discovery
	for !conn.closed {
		// one event may name all engines there are: it has a limit of its own, not a client's
		n, err := discovery.Read(conn.Received.Bytes(), c.maxBufferedBytes, c)
		if err != nil && d.unreadableAfter == d.lastEvent && n > 0 {
			d.skippedLines++
			conn.Received.Drop(n)
			continue
		}
		if err != nil {
			c.counters.discoveryFaults++
			c.logMessage(true, "the feed can't be read: "+err.Error()+"; asked for once more, then passed over")
			d.unreadableAfter = d.lastEvent
			c.closeConnection(conn, false)
			c.reconnectDiscovery(conn)
			return
		}
		if n == 0 {
			return
		}
		d.connectionActiveAt = c.now
		d.lastMessageAt = c.now
		d.retryDelay = 0
		conn.Received.Drop(n)
	}
}

// changeDiscoveryAddress follows the list at another address at once, from the last event applied.
func (c *Controller) changeDiscoveryAddress(address string) {
	d := &c.discovery
	c.counters.reloads++
	if address == c.DiscoveryAddress {
		return
	}
	c.DiscoveryAddress = address
	d.retryDelay = 0
	if d.connection != nil {
		c.closeConnection(d.connection, false)
		d.connection = nil
	}
	c.connectDiscovery()
}

// watchHeartbeat replaces a connection once a heartbeat is missing, though nothing was closed: events
// since may count as told, and a drain among them must be obeyed within its grace.
func (c *Controller) watchHeartbeat(conn *Connection) {
	d := &c.discovery
	due := d.connectionActiveAt + discoverySilentAfter
	c.runAt(due, func() {
		switch {
		case d.connection != conn:
		case c.now-d.connectionActiveAt < discoverySilentAfter:
			c.watchHeartbeat(conn)
		case c.now > due+maxNetworkDelay:
			// this process stood still: what came meanwhile is read first
			d.connectionActiveAt = c.now + maxNetworkDelay - discoverySilentAfter
			c.watchHeartbeat(conn)
		default:
			c.counters.discoveryFaults++
			c.closeConnection(conn, false)
			c.reconnectDiscovery(conn)
		}
	})
}

// Event begins an event. False: it is not applied, as it is known already or one before it is missing.
func (c *Controller) Event(number int64, complete bool) bool {
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

// Last takes a heartbeat: the number of the last event that there is.
func (c *Controller) Last(number int64) {
	d := &c.discovery
	switch {
	case number <= d.lastEvent:
	case number <= d.lastEvent+d.skippedLines: // events that were passed over
		d.skippedLines -= number - d.lastEvent
		d.lastEvent = number
	default:
		c.reconnectAfterGap()
	}
}

// reconnectAfterGap closes the connection, since an event is missing; the next asks for it.
func (c *Controller) reconnectAfterGap() {
	conn := c.discovery.connection
	if conn != nil {
		c.counters.discoveryFaults++
		c.closeConnection(conn, false)
	}
}

// Engine takes an engine as an event lists it. startedMs is the wall-clock time, in milliseconds of Unix
// time, at which its process started, 0: not known.
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

// claimAddress gives an engine the address that it is listed at. It is taken from another engine that had
// it, unless this one is removed and the other is not.
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
			c.logWithFields(LogFields{Engine: holder.id}, "has its address no more, "+e.id+" is listed there")
		}
		c.releaseAddress(holder)
	}
	c.engineByAddress[e.address] = e
}

// EventEnds ends an event. Engines that a complete one leaves out are removed.
func (c *Controller) EventEnds() {
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

// removeEngine closes its idle connections; attempts that run there are polled on.
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

// Odd takes what of an event is not understood.
func (c *Controller) Odd(why string) {
	c.counters.unexpectedMessages++
	c.logMessage(true, "passed over in the list: "+why)
}

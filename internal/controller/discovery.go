package controller

import (
	"time"

	"railrelay.dev/railrelay/internal/discovery"
	"railrelay.dev/railrelay/internal/scheduler"
)

// feed follows the list of engines.
type discoveryWatch struct {
	connection      *Connection
	lastEvent       int64 // the event had last
	listed          bool  // a list was had at all
	heardAt         time.Duration
	lastHeardAt     time.Duration // when it last said anything, on whatever connection
	retryDelay      time.Duration // before the next try
	completeEvent   bool          // the event at hand lists all there are
	unreadableAfter int64         // the event after this one could not be read once, -1: none
	skippedLines    int64         // lines passed over since the last event, on this connection
}

const (
	discoveryHeartbeat      = 1 * time.Second                     // a number comes every so often, by the protocol
	discoverySilentAfter    = discoveryHeartbeat + 5*networkDelay // one that was due has not come: what was told since is missing
	discoveryDialTimeout    = 800 * time.Millisecond
	minDiscoveryBackoff     = 50 * time.Millisecond
	maxDiscoveryBackoff     = 800 * time.Millisecond
	discoveryDeliveredAfter = 7 * time.Second // what the feed has to tell counts as told after this, whether it came or not
)

// feedHurry bounds a wait for the feed once the first of what was missed is about to count as told:
// half of the time that a drained engine may still be sent to, so that a try and the wait before it
// are over within that once the feed is back. Before that nobody counts on it, and calls are priced.
func (c *Controller) boundDiscoveryDelay(most time.Duration) time.Duration {
	if grace := c.durationSetting("drain.grace"); grace > 0 && c.now-c.discovery.lastHeardAt > discoveryDeliveredAfter-maxDiscoveryBackoff-discoveryDialTimeout {
		return max(2*minDiscoveryBackoff, min(most, grace/2))
	}
	return most
}

// follow connects to the feed and asks for what comes after what we have. A
// connection that goes silent, breaks a line or skips a number is given up for
// a new one.
func (c *Controller) connectDiscovery() {
	f := &c.discovery
	if c.DiscoveryAddress == "" || f.connection != nil { // a new address may have come while this try waited
		return
	}
	conn := &Connection{}
	f.connection, f.heardAt, f.skippedLines = conn, c.now, 0
	again := func() {
		if f.connection == conn {
			f.connection = nil
			f.retryDelay = min(max(2*f.retryDelay, minDiscoveryBackoff), c.boundDiscoveryDelay(maxDiscoveryBackoff))
			c.runAfter(f.retryDelay, c.connectDiscovery)
		}
	}
	conn.onConnected = func() {
		f.heardAt = c.now
		c.write(conn, discovery.Since(nil, f.lastEvent))
	}
	conn.onDialFailed = func(bool) { again() }
	conn.onClosed = again
	conn.onBytes = func() {
		for !conn.closed {
			// its own bound, not a client's: one event names all engines there are
			n, err := discovery.Read(conn.Received.Bytes(), c.maxBufferedBytes, c)
			if err != nil {
				if f.unreadableAfter == f.lastEvent && n > 0 { // it is no better: later ones are to be heard
					f.skippedLines++
					conn.Received.Drop(n)
					continue
				}
				c.counters.discoveryFaults++
				c.logMessage(true, "the feed can't be read: "+err.Error()+"; asked for once more, then passed over")
				f.unreadableAfter = f.lastEvent
				c.closeConnection(conn, false)
				again()
				return
			}
			if n == 0 {
				return
			}
			f.heardAt, f.lastHeardAt, f.retryDelay = c.now, c.now, 0
			conn.Received.Drop(n)
		}
	}
	c.counters.discoveryDials++
	c.emit(Effect{Kind: Dial, Connection: conn, Address: c.DiscoveryAddress, Timeout: c.boundDiscoveryDelay(discoveryDialTimeout)})
	c.watchHeartbeat(conn, again)
}

// refeed follows the list to another address at once, from the last event held:
// the old one tells nothing more, and the numbers go on.
func (c *Controller) changeDiscoveryAddress(address string) {
	f := &c.discovery
	if c.counters.reloads++; address == c.DiscoveryAddress {
		return
	}
	if c.DiscoveryAddress, f.retryDelay = address, 0; f.connection != nil {
		c.closeConnection(f.connection, false)
		f.connection = nil
	}
	c.connectDiscovery()
}

// watch gives a feed up once a number that was due has not come, though nothing was closed: what
// it should have told since counts as told, and a drain among it must pass no grace.
func (c *Controller) watchHeartbeat(conn *Connection, again func()) {
	due := c.discovery.heardAt + discoverySilentAfter
	c.runAt(due, func() {
		switch {
		case c.discovery.connection != conn:
		case c.now-c.discovery.heardAt < discoverySilentAfter:
			c.watchHeartbeat(conn, again)
		case c.now > due+networkDelay: // we stood still ourselves: what came meanwhile is read first
			c.discovery.heardAt = c.now + networkDelay - discoverySilentAfter
			c.watchHeartbeat(conn, again)
		default:
			c.counters.discoveryFaults++
			c.closeConnection(conn, false)
			again()
		}
	})
}

func (c *Controller) Event(number int64, whole bool) bool {
	switch {
	case number <= c.discovery.lastEvent:
		return false
	case number > c.discovery.lastEvent+1+c.discovery.skippedLines && !whole:
		c.reconnectAfterGap()
		return false
	}
	c.discovery.lastEvent, c.discovery.listed, c.discovery.completeEvent, c.discovery.skippedLines = number, true, whole, 0
	c.counters.listEvents++
	c.scheduler.ListStarted(c.now, whole)
	return true
}

// Last tells of events that should have come before it.
func (c *Controller) Last(number int64) {
	f := &c.discovery
	switch {
	case number <= f.lastEvent:
	case number <= f.lastEvent+f.skippedLines: // those passed over
		f.skippedLines -= number - f.lastEvent
		f.lastEvent = number
	default:
		c.reconnectAfterGap()
	}
}

func (c *Controller) reconnectAfterGap() {
	if l := c.discovery.connection; l != nil {
		c.counters.discoveryFaults++
		c.closeConnection(l, false)
	}
}

func (c *Controller) Engine(id, address, location, kind string, cell int, state scheduler.EngineState, startedMs int64) {
	e := c.engines[id]
	if e == nil {
		e = &engine{id: id}
		c.engines[id] = e
	}
	if address != "" && address != e.address {
		c.vacateAddress(e)
		e.address = address
	}
	if e.state != state && state == scheduler.EngineRemoved {
		c.removeEngine(e)
	}
	if state != scheduler.EngineActive {
		e.revokePermits()
	}
	e.state, e.kind, e.location = state, c.settingIndex("kinds", kind), c.settingIndex("locations", location)
	e.listedInEvent = c.discovery.lastEvent
	switch x := c.engineByAddress[e.address]; {
	case e.address == "" || x == e:
	case x != nil && state == scheduler.EngineRemoved && x.state != scheduler.EngineRemoved:
		c.vacateAddress(e)
	default:
		if x != nil {
			if x.state == scheduler.EngineActive && state == scheduler.EngineActive {
				c.logAbout(LogFields{Engine: x.id}, "has its address no more, "+e.id+" is listed there")
			}
			c.vacateAddress(x)
		}
		c.engineByAddress[e.address] = e
	}
	started := time.UnixMilli(startedMs).Sub(c.StartedAt)
	c.scheduler.EngineListed(id, e.location, e.kind, cell, state, started, startedMs != 0)
}

// EventEnds ends an event of the feed: what a whole list leaves out is gone.
func (c *Controller) EventEnds() {
	for _, e := range c.engines {
		if c.discovery.completeEvent && e.state != scheduler.EngineRemoved && e.listedInEvent != c.discovery.lastEvent {
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

func (c *Controller) removeEngine(e *engine) {
	e.revokePermits()
	e.state, e.removedAt = scheduler.EngineRemoved, c.now
	for _, l := range e.connections {
		if l.connected && l.call == nil {
			c.cutConnection(l)
		}
	}
}

func (c *Controller) Odd(why string) {
	c.counters.unexpected++
	c.logMessage(true, "passed over in the list: "+why)
}

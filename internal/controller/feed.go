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
func (r *Controller) boundDiscoveryDelay(most time.Duration) time.Duration {
	if grace := r.durationSetting("drain.grace"); grace > 0 && r.now-r.discovery.lastHeardAt > discoveryDeliveredAfter-maxDiscoveryBackoff-discoveryDialTimeout {
		return max(2*minDiscoveryBackoff, min(most, grace/2))
	}
	return most
}

// follow connects to the feed and asks for what comes after what we have. A
// connection that goes silent, breaks a line or skips a number is given up for
// a new one.
func (r *Controller) connectDiscovery() {
	f := &r.discovery
	if r.DiscoveryAddress == "" || f.connection != nil { // a new address may have come while this try waited
		return
	}
	l := &Connection{}
	f.connection, f.heardAt, f.skippedLines = l, r.now, 0
	again := func() {
		if f.connection == l {
			f.connection = nil
			f.retryDelay = min(max(2*f.retryDelay, minDiscoveryBackoff), r.boundDiscoveryDelay(maxDiscoveryBackoff))
			r.runAfter(f.retryDelay, r.connectDiscovery)
		}
	}
	l.onConnected = func() {
		f.heardAt = r.now
		r.write(l, discovery.Since(nil, f.lastEvent))
	}
	l.onDialFailed = func(bool) { again() }
	l.onClosed = again
	l.onBytes = func() {
		for !l.closed {
			// its own bound, not a client's: one event names all engines there are
			n, err := discovery.Read(l.Received.Bytes(), r.maxBufferedBytes, r)
			if err != nil {
				if f.unreadableAfter == f.lastEvent && n > 0 { // it is no better: later ones are to be heard
					f.skippedLines++
					l.Received.Drop(n)
					continue
				}
				r.counters.discoveryFaults++
				r.logMessage(true, "the feed can't be read: "+err.Error()+"; asked for once more, then passed over")
				f.unreadableAfter = f.lastEvent
				r.closeConnection(l, false)
				again()
				return
			}
			if n == 0 {
				return
			}
			f.heardAt, f.lastHeardAt, f.retryDelay = r.now, r.now, 0
			l.Received.Drop(n)
		}
	}
	r.counters.discoveryDials++
	r.emit(Effect{Kind: Dial, Connection: l, Address: r.DiscoveryAddress, Timeout: r.boundDiscoveryDelay(discoveryDialTimeout)})
	r.watchHeartbeat(l, again)
}

// refeed follows the list to another address at once, from the last event held:
// the old one tells nothing more, and the numbers go on.
func (r *Controller) changeDiscoveryAddress(address string) {
	f := &r.discovery
	if r.counters.reloads++; address == r.DiscoveryAddress {
		return
	}
	if r.DiscoveryAddress, f.retryDelay = address, 0; f.connection != nil {
		r.closeConnection(f.connection, false)
		f.connection = nil
	}
	r.connectDiscovery()
}

// watch gives a feed up once a number that was due has not come, though nothing was closed: what
// it should have told since counts as told, and a drain among it must pass no grace.
func (r *Controller) watchHeartbeat(l *Connection, again func()) {
	due := r.discovery.heardAt + discoverySilentAfter
	r.runAt(due, func() {
		switch {
		case r.discovery.connection != l:
		case r.now-r.discovery.heardAt < discoverySilentAfter:
			r.watchHeartbeat(l, again)
		case r.now > due+networkDelay: // we stood still ourselves: what came meanwhile is read first
			r.discovery.heardAt = r.now + networkDelay - discoverySilentAfter
			r.watchHeartbeat(l, again)
		default:
			r.counters.discoveryFaults++
			r.closeConnection(l, false)
			again()
		}
	})
}

func (r *Controller) Event(number int64, whole bool) bool {
	switch {
	case number <= r.discovery.lastEvent:
		return false
	case number > r.discovery.lastEvent+1+r.discovery.skippedLines && !whole:
		r.reconnectAfterGap()
		return false
	}
	r.discovery.lastEvent, r.discovery.listed, r.discovery.completeEvent, r.discovery.skippedLines = number, true, whole, 0
	r.counters.listEvents++
	r.scheduler.ListBegins(r.now, whole)
	return true
}

// Last tells of events that should have come before it.
func (r *Controller) Last(number int64) {
	f := &r.discovery
	switch {
	case number <= f.lastEvent:
	case number <= f.lastEvent+f.skippedLines: // those passed over
		f.skippedLines -= number - f.lastEvent
		f.lastEvent = number
	default:
		r.reconnectAfterGap()
	}
}

func (r *Controller) reconnectAfterGap() {
	if l := r.discovery.connection; l != nil {
		r.counters.discoveryFaults++
		r.closeConnection(l, false)
	}
}

func (r *Controller) Engine(id, address, location, kind string, cell int, state scheduler.EngineState, startedMs int64) {
	e := r.engines[id]
	if e == nil {
		e = &engine{id: id}
		r.engines[id] = e
	}
	if address != "" && address != e.address {
		r.vacateAddress(e)
		e.address = address
	}
	if e.state != state && state == scheduler.EngineRemoved {
		r.removeEngine(e)
	}
	if state != scheduler.EngineActive {
		e.revokePermits()
	}
	e.state, e.kind, e.location = state, r.settingIndex("kinds", kind), r.settingIndex("locations", location)
	e.listedInEvent = r.discovery.lastEvent
	switch x := r.engineByAddress[e.address]; {
	case e.address == "" || x == e:
	case x != nil && state == scheduler.EngineRemoved && x.state != scheduler.EngineRemoved:
		r.vacateAddress(e)
	default:
		if x != nil {
			if x.state == scheduler.EngineActive && state == scheduler.EngineActive {
				r.logAbout(LogFields{Engine: x.id}, "has its address no more, "+e.id+" is listed there")
			}
			r.vacateAddress(x)
		}
		r.engineByAddress[e.address] = e
	}
	started := time.UnixMilli(startedMs).Sub(r.StartedAt)
	r.scheduler.ListEngine(id, e.location, e.kind, cell, state, started, startedMs != 0)
}

// EventEnds ends an event of the feed: what a whole list leaves out is gone.
func (r *Controller) EventEnds() {
	for _, e := range r.engines {
		if r.discovery.completeEvent && e.state != scheduler.EngineRemoved && e.listedInEvent != r.discovery.lastEvent {
			r.removeEngine(e)
		}
	}
	r.scheduler.ListEnds()
	if r.fairQueue != nil {
		r.fairQueue.updateCores()
	}
	if r.warrant != nil {
		r.warrant.endpointsChanged()
	}
}

// bar: it is sent nothing more, and what waits to be written doesn't begin there either.
func (e *engine) revokePermits() {
	for _, l := range e.connections {
		if c := l.call; c != nil && c.startsAttempt {
			c.attempt.permit.Revoke()
		}
	}
}

func (r *Controller) removeEngine(e *engine) {
	e.revokePermits()
	e.state, e.removedAt = scheduler.EngineRemoved, r.now
	for _, l := range e.connections {
		if l.connected && l.call == nil {
			r.cutConnection(l)
		}
	}
}

func (r *Controller) Odd(why string) {
	r.counters.unexpected++
	r.logMessage(true, "passed over in the list: "+why)
}

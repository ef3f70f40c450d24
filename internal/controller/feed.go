package controller

import (
	"time"

	"railrelay.dev/railrelay/internal/discovery"
	"railrelay.dev/railrelay/internal/scheduler"
)

// feed follows the list of engines.
type feed struct {
	link   *Connection
	last   int64 // the event had last
	listed bool  // a list was had at all
	heard  time.Duration
	had    time.Duration // when it last said anything, on whatever connection
	wait   time.Duration // before the next try
	whole  bool          // the event at hand lists all there are
	spoilt int64         // the event after this one could not be read once, -1: none
	past   int64         // lines passed over since the last event, on this connection
}

const (
	feedBeat     = 1 * time.Second       // a number comes every so often, by the protocol
	feedSilent   = feedBeat + 5*onTheWay // one that was due has not come: what was told since is missing
	feedDials    = 800 * time.Millisecond
	feedWaits    = 50 * time.Millisecond
	feedWaitsMax = 800 * time.Millisecond
	feedTold     = 7 * time.Second // what the feed has to tell counts as told after this, whether it came or not
)

// feedHurry bounds a wait for the feed once the first of what was missed is about to count as told:
// half of the time that a drained engine may still be sent to, so that a try and the wait before it
// are over within that once the feed is back. Before that nobody counts on it, and calls are priced.
func (r *Controller) feedHurry(most time.Duration) time.Duration {
	if grace := r.span("drain.grace"); grace > 0 && r.now-r.feed.had > feedTold-feedWaitsMax-feedDials {
		return max(2*feedWaits, min(most, grace/2))
	}
	return most
}

// follow connects to the feed and asks for what comes after what we have. A
// connection that goes silent, breaks a line or skips a number is given up for
// a new one.
func (r *Controller) follow() {
	f := &r.feed
	if r.Feed == "" || f.link != nil { // a new address may have come while this try waited
		return
	}
	l := &Connection{}
	f.link, f.heard, f.past = l, r.now, 0
	again := func() {
		if f.link == l {
			f.link = nil
			f.wait = min(max(2*f.wait, feedWaits), r.feedHurry(feedWaitsMax))
			r.after(f.wait, r.follow)
		}
	}
	l.up = func() {
		f.heard = r.now
		r.write(l, discovery.Since(nil, f.last))
	}
	l.failed = func(bool) { again() }
	l.ended = again
	l.got = func() {
		for !l.closed {
			// its own bound, not a client's: one event names all engines there are
			n, err := discovery.Read(l.In.Bytes(), r.bufferedMost, r)
			if err != nil {
				if f.spoilt == f.last && n > 0 { // it is no better: later ones are to be heard
					f.past++
					l.In.Drop(n)
					continue
				}
				r.tally.feedFaults++
				r.say(true, "the feed can't be read: "+err.Error()+"; asked for once more, then passed over")
				f.spoilt = f.last
				r.shut(l, false)
				again()
				return
			}
			if n == 0 {
				return
			}
			f.heard, f.had, f.wait = r.now, r.now, 0
			l.In.Drop(n)
		}
	}
	r.tally.feedDials++
	r.do(Effect{Kind: Dial, Connection: l, Address: r.Feed, Within: r.feedHurry(feedDials)})
	r.watch(l, again)
}

// refeed follows the list to another address at once, from the last event held:
// the old one tells nothing more, and the numbers go on.
func (r *Controller) refeed(address string) {
	f := &r.feed
	if r.tally.reloads++; address == r.Feed {
		return
	}
	if r.Feed, f.wait = address, 0; f.link != nil {
		r.shut(f.link, false)
		f.link = nil
	}
	r.follow()
}

// watch gives a feed up once a number that was due has not come, though nothing was closed: what
// it should have told since counts as told, and a drain among it must pass no grace.
func (r *Controller) watch(l *Connection, again func()) {
	due := r.feed.heard + feedSilent
	r.at(due, func() {
		switch {
		case r.feed.link != l:
		case r.now-r.feed.heard < feedSilent:
			r.watch(l, again)
		case r.now > due+onTheWay: // we stood still ourselves: what came meanwhile is read first
			r.feed.heard = r.now + onTheWay - feedSilent
			r.watch(l, again)
		default:
			r.tally.feedFaults++
			r.shut(l, false)
			again()
		}
	})
}

func (r *Controller) Event(number int64, whole bool) bool {
	switch {
	case number <= r.feed.last:
		return false
	case number > r.feed.last+1+r.feed.past && !whole:
		r.gap()
		return false
	}
	r.feed.last, r.feed.listed, r.feed.whole, r.feed.past = number, true, whole, 0
	r.tally.events++
	r.gate.ListBegins(r.now, whole)
	return true
}

// Last tells of events that should have come before it.
func (r *Controller) Last(number int64) {
	f := &r.feed
	switch {
	case number <= f.last:
	case number <= f.last+f.past: // those passed over
		f.past -= number - f.last
		f.last = number
	default:
		r.gap()
	}
}

func (r *Controller) gap() {
	if l := r.feed.link; l != nil {
		r.tally.feedFaults++
		r.shut(l, false)
	}
}

func (r *Controller) Engine(id, address, location, kind string, cell int, state scheduler.EngineState, startedMs int64) {
	e := r.engines[id]
	if e == nil {
		e = &engine{id: id}
		r.engines[id] = e
	}
	if address != "" && address != e.address {
		r.vacate(e)
		e.address = address
	}
	if e.state != state && state == scheduler.EngineRemoved {
		r.away(e)
	}
	if state != scheduler.EngineActive {
		e.bar()
	}
	e.state, e.kind, e.location = state, r.place("kinds", kind), r.place("locations", location)
	e.named = r.feed.last
	switch x := r.atAddress[e.address]; {
	case e.address == "" || x == e:
	case x != nil && state == scheduler.EngineRemoved && x.state != scheduler.EngineRemoved:
		r.vacate(e)
	default:
		if x != nil {
			if x.state == scheduler.EngineActive && state == scheduler.EngineActive {
				r.sayOf(LogFields{Engine: x.id}, "has its address no more, "+e.id+" is listed there")
			}
			r.vacate(x)
		}
		r.atAddress[e.address] = e
	}
	started := time.UnixMilli(startedMs).Sub(r.Started)
	r.gate.ListEngine(id, e.location, e.kind, cell, state, started, startedMs != 0)
}

// EventEnds ends an event of the feed: what a whole list leaves out is gone.
func (r *Controller) EventEnds() {
	for _, e := range r.engines {
		if r.feed.whole && e.state != scheduler.EngineRemoved && e.named != r.feed.last {
			r.away(e)
		}
	}
	r.gate.ListEnds()
	if r.fair != nil {
		r.fair.cores()
	}
	if r.warrant != nil {
		r.warrant.endpointsChanged()
	}
}

// bar: it is sent nothing more, and what waits to be written doesn't begin there either.
func (e *engine) bar() {
	for _, l := range e.lines {
		if c := l.call; c != nil && c.starts {
			c.s.permit.Revoke()
		}
	}
}

func (r *Controller) away(e *engine) {
	e.bar()
	e.state, e.goneAt = scheduler.EngineRemoved, r.now
	for _, l := range e.lines {
		if l.up && l.call == nil {
			r.cut(l)
		}
	}
}

func (r *Controller) Odd(why string) {
	r.tally.odd++
	r.say(true, "passed over in the list: "+why)
}

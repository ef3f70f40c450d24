package controller

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/enginehttp"
	"railrelay.dev/railrelay/internal/invariant"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// engine is one executor of the list: known by its id, since a new one may
// have the address of one that is gone.
type engine struct {
	id, address string
	state       scheduler.EngineState
	kind        int // its place in the list of kinds
	location    int // and in that of locations, -1: in none
	lines       []*line
	leaving     []*submission // ended for the decisions, perhaps not yet over there
	waiting     []*submission // held until the one of the same id is over
	untold      int           // submissions to it whose end the decisions don't know
	goneAt      time.Duration
	look        *call // the last one
	named       int64 // the event that last named it
}

// alive: a connection to it stands.
func (e *engine) alive() bool {
	return slices.ContainsFunc(e.lines, func(l *line) bool { return l.up && !l.link.closed })
}

// line is a connection to an engine, for one call at a time.
type line struct {
	link      *Connection
	n         int // in the log
	e         *engine
	up        bool
	call      *call
	carries   *call // the one written last, until it was answered: it may arrive yet
	idleSince time.Duration
	last      *submission // whose call it carried last
	ranked    bool        // that changed a priority
	looked    bool        // that was a probe, and all was well
}

// how a call came out, when no answer did.
type how int

const (
	answered  how = iota
	unfit         // not a byte was written: it was no longer wanted
	refused       // no connection, and nobody there to make one
	unreached     // no connection in time
	unwritten     // the connection ended before the first byte
	lost          // the connection ended, something may have been written
	mute          // no answer in time
	garbled       // an answer that can't be read
)

var hows = [...]string{"answered", "unfit", "refused", "unreached", "unwritten", "lost", "mute", "garbled"}

// call is one call to an engine and what to do with its result.
type call struct {
	what   string // in the log
	e      *engine
	s      *submission // nil for probes
	write  func(dst []byte) []byte
	fits   func(status int, field func(string) string, body []byte) bool
	fit    func() bool // asked once more just before the first byte; nil: always
	starts bool        // a submission: it goes out by the version it was decided by, or not at all
	keeps  bool        // its engine keeps the query for it
	poll   bool        // gives way to all others where descriptors are short
	within time.Duration
	then   func(how, int, func(string) string, []byte)
	size   int // bytes to write

	answered bool
	limit    *timerqueue.Item
	over     bool
}

// pool shares out the descriptors that are for engines.
type pool struct {
	most, links  int // links: every one that may hold a descriptor
	dialled      int
	lines        []*line
	urgent, asks []*call // waiting for a line
}

const (
	// answerMost is how long an answer may take: news come after 250 ms at the
	// latest, and each lost answer costs a short queue timeout what is waited.
	answerMost = newsMost + 3*onTheWay
	// answerBytes bounds one: a whole result has no more, and some claim gigabytes.
	answerBytes = 64 << 10
	// lineRest passes before a line carries another query's call: what an engine
	// sends behind its answer, a second copy of it, must not answer that.
	lineRest = 10 * time.Millisecond
)

func (r *Controller) call(c *call) {
	if c.within == 0 {
		c.within = answerMost
	}
	if c.e.address == "" {
		r.soon(func() { r.over(c, refused, 0, nil, nil) })
		return
	}
	if len(r.pool.urgent) == 0 && (!c.poll || len(r.pool.asks) == 0) { // in turn
		if l := r.idle(c); l != nil {
			r.put(l, c)
			return
		}
		if r.pool.links < r.pool.most {
			r.dial(c)
			return
		}
		r.makeRoom()
	}
	r.tally.waited++
	if c.poll {
		r.pool.asks = append(r.pool.asks, c)
	} else {
		r.pool.urgent = append(r.pool.urgent, c)
	}
}

// idle finds a line that its engine is not about to close, the one used last.
// One that has just answered goes on with the same query only: a second copy
// of an answer there fits none of its further calls, or says the same; but for a
// changed priority's, which would say that it was given up before that has come.
// After a good look it goes on with any: a copy of that fits no call but a look, and
// what was looked at is sent to at once. Else each look costs two connections.
func (r *Controller) idle(c *call) (found *line) {
	for _, l := range c.e.lines {
		if l.up && l.call == nil && !l.link.closed && (r.now-l.idleSince >= lineRest || c.s != nil && (l.last == c.s && !(l.ranked && c.what == "DELETE") || l.looked)) &&
			(found == nil || l.idleSince > found.idleSince) {
			found = l
		}
	}
	if found != nil && r.now-found.idleSince > r.lineIdle*3/4 {
		r.cut(found)
		return nil
	}
	return found
}

// makeRoom closes the line of any engine that was idle longest. Its
// descriptor is not free until its end is told: the call waits for that.
func (r *Controller) makeRoom() {
	var oldest *line
	for _, l := range r.pool.lines {
		if l.up && l.call == nil && !l.link.closed && (oldest == nil || l.idleSince < oldest.idleSince) {
			oldest = l
		}
	}
	if oldest != nil {
		r.cut(oldest)
	}
}

func (r *Controller) dial(c *call) {
	r.pool.dialled++
	l := &line{link: &Connection{}, n: r.pool.dialled, e: c.e, call: c}
	if r.Trace && c.s != nil {
		r.trace(c.s.about(), "line %d dialled for %s", l.n, c.what)
	}
	c.e.lines, r.pool.lines = append(c.e.lines, l), append(r.pool.lines, l)
	r.pool.links++
	l.link.up = func() {
		l.up = true
		if c := l.call; c != nil {
			l.call = nil
			r.put(l, c)
		} else {
			r.free(l)
		}
	}
	l.link.failed = func(wasRefused bool) {
		r.gone(l)
		if wasRefused {
			r.fail(l, refused)
		} else {
			r.fail(l, unreached)
		}
	}
	l.link.got = func() { r.heard(l) }
	l.link.ended = func() {
		r.gone(l)
		if c := l.call; c != nil && l.link.pending >= c.size {
			r.fail(l, unwritten)
		}
		r.fail(l, lost)
	}
	r.tally.dials++
	r.do(Effect{Kind: Dial, Connection: l.link, Address: c.e.address, Within: r.connectWithin})
}

// cut closes a line. With a call under way its bytes must not arrive later: a
// kernel that is left to it goes on sending for minutes, and would start a
// query behind a link that heals long after it was held to be over.
func (r *Controller) cut(l *line) {
	if !l.link.closed {
		l.link.closed = true
		r.do(Effect{Kind: Close, Connection: l.link, Abort: l.call != nil})
	}
}

func (r *Controller) gone(l *line) {
	is := func(x *line) bool { return x == l }
	l.e.lines, r.pool.lines = slices.DeleteFunc(l.e.lines, is), slices.DeleteFunc(r.pool.lines, is)
	r.pool.links--
	if c := l.carries; c != nil {
		l.carries = nil
		c.landed()
	}
	r.soon(r.next)
}

func (r *Controller) fail(l *line, as how) {
	if c := l.call; c != nil {
		l.call = nil
		r.over(c, as, 0, nil, nil)
	}
}

// put writes a call on a line that is up and has none.
func (r *Controller) put(l *line, c *call) {
	invariant.Hold(l.up && l.call == nil && l.e == c.e, "one call at a time on a connection")
	if c.over || c.fit != nil && !c.fit() {
		r.free(l)
		r.over(c, unfit, 0, nil, nil)
		return
	}
	text := c.write(nil)
	l.call, l.carries, l.last, l.looked, l.ranked, c.size = c, c, c.s, false, c.what == "PUT", len(text)
	if c.s != nil && c.keeps {
		c.s.open++
	}
	if r.Trace && c.s != nil {
		r.trace(c.s.about(), "%s on line %d", c.what, l.n)
	}
	if c.starts {
		r.writeBy(l.link, text, c.s)
	} else {
		r.write(l.link, text)
	}
	c.limit = r.due.Add(r.now+c.within, func() {
		if !c.over {
			r.cut(l)
			l.call = nil
			r.over(c, mute, 0, nil, nil)
		}
	})
}

// free has a line wait for its next call, or the next call take it.
func (r *Controller) free(l *line) {
	l.call, l.idleSince = nil, r.now
	if len(r.pool.urgent)+len(r.pool.asks) > 0 {
		r.soon(r.next)
		r.after(lineRest, r.next)
	}
}

// next serves the calls that wait for a line.
func (r *Controller) next() {
	for _, queue := range []*[]*call{&r.pool.urgent, &r.pool.asks} {
		for len(*queue) > 0 {
			c := (*queue)[0]
			l := r.idle(c)
			if l == nil && !c.over && r.pool.links >= r.pool.most {
				r.makeRoom()
				return
			}
			*queue = (*queue)[1:]
			switch {
			case c.over || c.fit != nil && !c.fit():
				r.over(c, unfit, 0, nil, nil)
			case l != nil:
				r.put(l, c)
			default:
				r.dial(c)
			}
		}
	}
}

func (r *Controller) heard(l *line) {
	in := &l.link.In
	if l.call == nil {
		if len(in.Bytes()) > 0 {
			r.tally.odd++ // nobody asked
			r.cut(l)
		}
		return
	}
	for !l.link.closed && l.call != nil {
		var say func()
		sound, rows, status := false, false, 0
		c := l.call
		n, keep, err := enginehttp.Read(in.Bytes(), answerBytes, func(as int, field func(string) string, body []byte) {
			sound, rows, status = c.fits(as, field, body), len(body) > 0, as
			say = func() { r.over(c, answered, status, field, body) }
		})
		if n == 0 && err == nil {
			return
		}
		in.Drop(n)
		if say == nil && err == nil {
			continue
		}
		behind := len(in.Bytes()) > 0
		// with something behind it, a length may be off: then a result is not all there
		if err != nil || !sound || behind && rows {
			r.tally.odd++
			r.cut(l)
			r.fail(l, garbled)
			return
		}
		r.tally.answers++
		if !keep || behind {
			l.call = nil
			r.cut(l)
		} else {
			l.looked = c.s == nil && status == 200
			r.free(l)
		}
		c.answered = true
		if l.carries == c {
			l.carries = nil
			c.landed()
		}
		say() // now that the line may take the call this leads to
	}
}

func (r *Controller) over(c *call, as how, status int, field func(string) string, body []byte) {
	if !c.over {
		c.over = true
		r.due.Drop(c.limit)
		if r.Trace && c.s != nil {
			r.trace(c.s.about(), "%s came to %s %d", c.what, hows[as], status)
		}
		c.then(as, status, field, body)
	}
}

// vacate: another has the engine's address, so its process is no more, and its
// calls must not reach the other one, which may run a query of the same id.
func (r *Controller) vacate(e *engine) {
	if r.atAddress[e.address] == e {
		delete(r.atAddress, e.address)
	}
	e.address = ""
	for _, l := range e.lines {
		r.cut(l)
	}
}

// sweepEngines forgets those that are gone, once nothing can be on its way to them.
func (r *Controller) sweepEngines() {
	for id, e := range r.engines {
		if e.state == scheduler.EngineRemoved && r.now-e.goneAt > r.longest && e.untold+len(e.lines)+len(e.leaving)+len(e.waiting) == 0 {
			r.vacate(e)
			delete(r.engines, id)
		}
	}
}

// sweepLines closes what has been idle for so long that its engine may close it.
func (r *Controller) sweepLines() {
	for _, l := range r.pool.lines {
		if l.up && l.call == nil && r.lineIdle > 0 && r.now-l.idleSince > r.lineIdle*3/4 {
			r.cut(l)
		}
	}
}

// probe looks at an engine; no answer in the time a connection may take is one too.
func (r *Controller) probe(e *engine) {
	if e.look != nil && !e.look.over { // with all descriptors in use one waits, and more of them would starve the news
		return
	}
	r.tally.probes++
	e.look = &call{what: "probe", e: e, within: r.connectWithin, fits: enginehttp.FitsProbe,
		write: func(dst []byte) []byte { return enginehttp.Probe(dst, e.address, r.reports) },
		then: func(as how, status int, field func(string) string, _ []byte) {
			outcome, report := scheduler.TimedOut, map[string]float64(nil)
			switch {
			case as == answered && status == 200:
				outcome, report = scheduler.Finished, enginehttp.Load(field)
			case as == answered:
				outcome = scheduler.Rejected
			case as == refused || as == unreached:
				outcome = scheduler.Unreachable
			case as == lost || as == unwritten || as == garbled:
				outcome = scheduler.ConnectionReset
			}
			r.soon(func() { r.gate.HealthCheckEnded(r.now, e.id, outcome, report) })
		}}
	r.call(e.look)
}

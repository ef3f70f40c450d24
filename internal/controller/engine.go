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
	id, address        string
	state              scheduler.EngineState
	kind               int // its place in the list of kinds
	location           int // and in that of locations, -1: in none
	connections        []*engineConnection
	cancelling         []*attempt // ended for the decisions, perhaps not yet over there
	waitingForID       []*attempt // held until the one of the same id is over
	unreportedAttempts int        // submissions to it whose end the decisions don't know
	removedAt          time.Duration
	healthCheck        *call // the last one
	listedInEvent      int64 // the event that last named it
}

// alive: a connection to it stands.
func (e *engine) hasConnection() bool {
	return slices.ContainsFunc(e.connections, func(l *engineConnection) bool { return l.connected && !l.connection.closed })
}

// line is a connection to an engine, for one call at a time.
type engineConnection struct {
	connection      *Connection
	number          int // in the log
	engine          *engine
	connected       bool
	call            *call
	lastWritten     *call // the one written last, until it was answered: it may arrive yet
	idleSince       time.Duration
	lastAttempt     *attempt // whose call it carried last
	changedPriority bool     // that changed a priority
	healthChecked   bool     // that was a probe, and all was well
}

// how a call came out, when no answer did.
type callResult int

const (
	callAnswered          callResult = iota
	callNotSent                      // not a byte was written: it was no longer wanted
	callRefused                      // no connection, and nobody there to make one
	callDialTimedOut                 // no connection in time
	callNotWritten                   // the connection ended before the first byte
	callConnectionLost               // the connection ended, something may have been written
	callNoResponse                   // no answer in time
	callMalformedResponse            // an answer that can't be read
)

var callResultNames = [...]string{"answered", "unfit", "refused", "unreached", "unwritten", "lost", "mute", "garbled"}

// call is one call to an engine and what to do with its result.
type call struct {
	method        string // in the log
	engine        *engine
	attempt       *attempt // nil for probes
	encode        func(dst []byte) []byte
	validResponse func(status int, field func(string) string, body []byte) bool
	stillWanted   func() bool // asked once more just before the first byte; nil: always
	startsAttempt bool        // a submission: it goes out by the version it was decided by, or not at all
	keepsQuery    bool        // its engine keeps the query for it
	isPoll        bool        // gives way to all others where descriptors are short
	timeout       time.Duration
	onResult      func(callResult, int, func(string) string, []byte)
	requestBytes  int // bytes to write

	answered bool
	timer    *timerqueue.Item
	done     bool
}

// pool shares out the descriptors that are for engines.
type connectionPool struct {
	limit, open                int // links: every one that may hold a descriptor
	dialled                    int
	connections                []*engineConnection
	waitingCalls, waitingPolls []*call // waiting for a line
}

const (
	// answerMost is how long an answer may take: news come after 250 ms at the
	// latest, and each lost answer costs a short queue timeout what is waited.
	responseTimeout = longPollTimeout + 3*networkDelay
	// answerBytes bounds one: a whole result has no more, and some claim gigabytes.
	maxResponseBytes = 64 << 10
	// lineRest passes before a line carries another query's call: what an engine
	// sends behind its answer, a second copy of it, must not answer that.
	connectionReuseDelay = 10 * time.Millisecond
)

func (r *Controller) startCall(c *call) {
	if c.timeout == 0 {
		c.timeout = responseTimeout
	}
	if c.engine.address == "" {
		r.runSoon(func() { r.finishCall(c, callRefused, 0, nil, nil) })
		return
	}
	if len(r.pool.waitingCalls) == 0 && (!c.isPoll || len(r.pool.waitingPolls) == 0) { // in turn
		if l := r.idleConnection(c); l != nil {
			r.writeCall(l, c)
			return
		}
		if r.pool.open < r.pool.limit {
			r.dialEngine(c)
			return
		}
		r.closeIdlestConnection()
	}
	r.counters.queuedCalls++
	if c.isPoll {
		r.pool.waitingPolls = append(r.pool.waitingPolls, c)
	} else {
		r.pool.waitingCalls = append(r.pool.waitingCalls, c)
	}
}

// idle finds a line that its engine is not about to close, the one used last.
// One that has just answered goes on with the same query only: a second copy
// of an answer there fits none of its further calls, or says the same; but for a
// changed priority's, which would say that it was given up before that has come.
// After a good look it goes on with any: a copy of that fits no call but a look, and
// what was looked at is sent to at once. Else each look costs two connections.
func (r *Controller) idleConnection(c *call) (found *engineConnection) {
	for _, l := range c.engine.connections {
		if l.connected && l.call == nil && !l.connection.closed && (r.now-l.idleSince >= connectionReuseDelay || c.attempt != nil && (l.lastAttempt == c.attempt && !(l.changedPriority && c.method == "DELETE") || l.healthChecked)) &&
			(found == nil || l.idleSince > found.idleSince) {
			found = l
		}
	}
	if found != nil && r.now-found.idleSince > r.engineIdleTimeout*3/4 {
		r.cutConnection(found)
		return nil
	}
	return found
}

// makeRoom closes the line of any engine that was idle longest. Its
// descriptor is not free until its end is told: the call waits for that.
func (r *Controller) closeIdlestConnection() {
	var oldest *engineConnection
	for _, l := range r.pool.connections {
		if l.connected && l.call == nil && !l.connection.closed && (oldest == nil || l.idleSince < oldest.idleSince) {
			oldest = l
		}
	}
	if oldest != nil {
		r.cutConnection(oldest)
	}
}

func (r *Controller) dialEngine(c *call) {
	r.pool.dialled++
	l := &engineConnection{connection: &Connection{}, number: r.pool.dialled, engine: c.engine, call: c}
	if r.TraceQueries && c.attempt != nil {
		r.trace(c.attempt.logFields(), "line %d dialled for %s", l.number, c.method)
	}
	c.engine.connections, r.pool.connections = append(c.engine.connections, l), append(r.pool.connections, l)
	r.pool.open++
	l.connection.onConnected = func() {
		l.connected = true
		if c := l.call; c != nil {
			l.call = nil
			r.writeCall(l, c)
		} else {
			r.releaseConnection(l)
		}
	}
	l.connection.onDialFailed = func(wasRefused bool) {
		r.connectionGone(l)
		if wasRefused {
			r.failCall(l, callRefused)
		} else {
			r.failCall(l, callDialTimedOut)
		}
	}
	l.connection.onBytes = func() { r.readResponse(l) }
	l.connection.onClosed = func() {
		r.connectionGone(l)
		if c := l.call; c != nil && l.connection.unwrittenBytes >= c.requestBytes {
			r.failCall(l, callNotWritten)
		}
		r.failCall(l, callConnectionLost)
	}
	r.counters.dials++
	r.emit(Effect{Kind: Dial, Connection: l.connection, Address: c.engine.address, Timeout: r.connectTimeout})
}

// cut closes a line. With a call under way its bytes must not arrive later: a
// kernel that is left to it goes on sending for minutes, and would start a
// query behind a link that heals long after it was held to be over.
func (r *Controller) cutConnection(l *engineConnection) {
	if !l.connection.closed {
		l.connection.closed = true
		r.emit(Effect{Kind: Close, Connection: l.connection, Abort: l.call != nil})
	}
}

func (r *Controller) connectionGone(l *engineConnection) {
	is := func(x *engineConnection) bool { return x == l }
	l.engine.connections, r.pool.connections = slices.DeleteFunc(l.engine.connections, is), slices.DeleteFunc(r.pool.connections, is)
	r.pool.open--
	if c := l.lastWritten; c != nil {
		l.lastWritten = nil
		c.arrivalKnown()
	}
	r.runSoon(r.serveWaitingCalls)
}

func (r *Controller) failCall(l *engineConnection, as callResult) {
	if c := l.call; c != nil {
		l.call = nil
		r.finishCall(c, as, 0, nil, nil)
	}
}

// put writes a call on a line that is up and has none.
func (r *Controller) writeCall(l *engineConnection, c *call) {
	invariant.Hold(l.connected && l.call == nil && l.engine == c.engine, "one call at a time on a connection")
	if c.done || c.stillWanted != nil && !c.stillWanted() {
		r.releaseConnection(l)
		r.finishCall(c, callNotSent, 0, nil, nil)
		return
	}
	text := c.encode(nil)
	l.call, l.lastWritten, l.lastAttempt, l.healthChecked, l.changedPriority, c.requestBytes = c, c, c.attempt, false, c.method == "PUT", len(text)
	if c.attempt != nil && c.keepsQuery {
		c.attempt.callsInFlight++
	}
	if r.TraceQueries && c.attempt != nil {
		r.trace(c.attempt.logFields(), "%s on line %d", c.method, l.number)
	}
	if c.startsAttempt {
		r.writeAttempt(l.connection, text, c.attempt)
	} else {
		r.write(l.connection, text)
	}
	c.timer = r.timers.Add(r.now+c.timeout, func() {
		if !c.done {
			r.cutConnection(l)
			l.call = nil
			r.finishCall(c, callNoResponse, 0, nil, nil)
		}
	})
}

// free has a line wait for its next call, or the next call take it.
func (r *Controller) releaseConnection(l *engineConnection) {
	l.call, l.idleSince = nil, r.now
	if len(r.pool.waitingCalls)+len(r.pool.waitingPolls) > 0 {
		r.runSoon(r.serveWaitingCalls)
		r.runAfter(connectionReuseDelay, r.serveWaitingCalls)
	}
}

// next serves the calls that wait for a line.
func (r *Controller) serveWaitingCalls() {
	for _, queue := range []*[]*call{&r.pool.waitingCalls, &r.pool.waitingPolls} {
		for len(*queue) > 0 {
			c := (*queue)[0]
			l := r.idleConnection(c)
			if l == nil && !c.done && r.pool.open >= r.pool.limit {
				r.closeIdlestConnection()
				return
			}
			*queue = (*queue)[1:]
			switch {
			case c.done || c.stillWanted != nil && !c.stillWanted():
				r.finishCall(c, callNotSent, 0, nil, nil)
			case l != nil:
				r.writeCall(l, c)
			default:
				r.dialEngine(c)
			}
		}
	}
}

func (r *Controller) readResponse(l *engineConnection) {
	in := &l.connection.Received
	if l.call == nil {
		if len(in.Bytes()) > 0 {
			r.counters.unexpected++ // nobody asked
			r.cutConnection(l)
		}
		return
	}
	for !l.connection.closed && l.call != nil {
		var say func()
		sound, rows, status := false, false, 0
		c := l.call
		n, keep, err := enginehttp.Read(in.Bytes(), maxResponseBytes, func(as int, field func(string) string, body []byte) {
			sound, rows, status = c.validResponse(as, field, body), len(body) > 0, as
			say = func() { r.finishCall(c, callAnswered, status, field, body) }
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
			r.counters.unexpected++
			r.cutConnection(l)
			r.failCall(l, callMalformedResponse)
			return
		}
		r.counters.engineResponses++
		if !keep || behind {
			l.call = nil
			r.cutConnection(l)
		} else {
			l.healthChecked = c.attempt == nil && status == 200
			r.releaseConnection(l)
		}
		c.answered = true
		if l.lastWritten == c {
			l.lastWritten = nil
			c.arrivalKnown()
		}
		say() // now that the line may take the call this leads to
	}
}

func (r *Controller) finishCall(c *call, as callResult, status int, field func(string) string, body []byte) {
	if !c.done {
		c.done = true
		r.timers.Drop(c.timer)
		if r.TraceQueries && c.attempt != nil {
			r.trace(c.attempt.logFields(), "%s came to %s %d", c.method, callResultNames[as], status)
		}
		c.onResult(as, status, field, body)
	}
}

// vacate: another has the engine's address, so its process is no more, and its
// calls must not reach the other one, which may run a query of the same id.
func (r *Controller) vacateAddress(e *engine) {
	if r.engineByAddress[e.address] == e {
		delete(r.engineByAddress, e.address)
	}
	e.address = ""
	for _, l := range e.connections {
		r.cutConnection(l)
	}
}

// sweepEngines forgets those that are gone, once nothing can be on its way to them.
func (r *Controller) sweepEngines() {
	for id, e := range r.engines {
		if e.state == scheduler.EngineRemoved && r.now-e.removedAt > r.longestQueryTimeout && e.unreportedAttempts+len(e.connections)+len(e.cancelling)+len(e.waitingForID) == 0 {
			r.vacateAddress(e)
			delete(r.engines, id)
		}
	}
}

// sweepLines closes what has been idle for so long that its engine may close it.
func (r *Controller) closeIdleConnections() {
	for _, l := range r.pool.connections {
		if l.connected && l.call == nil && r.engineIdleTimeout > 0 && r.now-l.idleSince > r.engineIdleTimeout*3/4 {
			r.cutConnection(l)
		}
	}
}

// probe looks at an engine; no answer in the time a connection may take is one too.
func (r *Controller) checkHealth(e *engine) {
	if e.healthCheck != nil && !e.healthCheck.done { // with all descriptors in use one waits, and more of them would starve the news
		return
	}
	r.counters.healthChecks++
	e.healthCheck = &call{method: "probe", engine: e, timeout: r.connectTimeout, validResponse: enginehttp.FitsProbe,
		encode: func(dst []byte) []byte { return enginehttp.Probe(dst, e.address, r.enginesReportLoad) },
		onResult: func(as callResult, status int, field func(string) string, _ []byte) {
			outcome, report := scheduler.TimedOut, map[string]float64(nil)
			switch {
			case as == callAnswered && status == 200:
				outcome, report = scheduler.Finished, enginehttp.Load(field)
			case as == callAnswered:
				outcome = scheduler.Rejected
			case as == callRefused || as == callDialTimedOut:
				outcome = scheduler.Unreachable
			case as == callConnectionLost || as == callNotWritten || as == callMalformedResponse:
				outcome = scheduler.ConnectionReset
			}
			r.runSoon(func() { r.scheduler.Probed(r.now, e.id, outcome, report) })
		}}
	r.startCall(e.healthCheck)
}

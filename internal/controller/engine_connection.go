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
	return slices.ContainsFunc(e.connections, func(ec *engineConnection) bool { return ec.connected && !ec.connection.closed })
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

func (c *Controller) startCall(request *call) {
	if request.timeout == 0 {
		request.timeout = responseTimeout
	}
	if request.engine.address == "" {
		c.runSoon(func() { c.finishCall(request, callRefused, 0, nil, nil) })
		return
	}
	if len(c.pool.waitingCalls) == 0 && (!request.isPoll || len(c.pool.waitingPolls) == 0) { // in turn
		if l := c.idleConnection(request); l != nil {
			c.writeCall(l, request)
			return
		}
		if c.pool.open < c.pool.limit {
			c.dialEngine(request)
			return
		}
		c.closeIdlestConnection()
	}
	c.counters.queuedCalls++
	if request.isPoll {
		c.pool.waitingPolls = append(c.pool.waitingPolls, request)
	} else {
		c.pool.waitingCalls = append(c.pool.waitingCalls, request)
	}
}

// idle finds a line that its engine is not about to close, the one used last.
// One that has just answered goes on with the same query only: a second copy
// of an answer there fits none of its further calls, or says the same; but for a
// changed priority's, which would say that it was given up before that has come.
// After a good look it goes on with any: a copy of that fits no call but a look, and
// what was looked at is sent to at once. Else each look costs two connections.
func (c *Controller) idleConnection(request *call) (found *engineConnection) {
	for _, l := range request.engine.connections {
		if l.connected && l.call == nil && !l.connection.closed && (c.now-l.idleSince >= connectionReuseDelay || request.attempt != nil && (l.lastAttempt == request.attempt && !(l.changedPriority && request.method == "DELETE") || l.healthChecked)) &&
			(found == nil || l.idleSince > found.idleSince) {
			found = l
		}
	}
	if found != nil && c.now-found.idleSince > c.engineIdleTimeout*3/4 {
		c.cutConnection(found)
		return nil
	}
	return found
}

// makeRoom closes the line of any engine that was idle longest. Its
// descriptor is not free until its end is told: the call waits for that.
func (c *Controller) closeIdlestConnection() {
	var oldest *engineConnection
	for _, l := range c.pool.connections {
		if l.connected && l.call == nil && !l.connection.closed && (oldest == nil || l.idleSince < oldest.idleSince) {
			oldest = l
		}
	}
	if oldest != nil {
		c.cutConnection(oldest)
	}
}

func (c *Controller) dialEngine(request *call) {
	c.pool.dialled++
	ec := &engineConnection{connection: &Connection{}, number: c.pool.dialled, engine: request.engine, call: request}
	if c.TraceQueries && request.attempt != nil {
		c.trace(request.attempt.logFields(), "line %d dialled for %s", ec.number, request.method)
	}
	request.engine.connections, c.pool.connections = append(request.engine.connections, ec), append(c.pool.connections, ec)
	c.pool.open++
	ec.connection.onConnected = func() {
		ec.connected = true
		if request := ec.call; request != nil {
			ec.call = nil
			c.writeCall(ec, request)
		} else {
			c.releaseConnection(ec)
		}
	}
	ec.connection.onDialFailed = func(wasRefused bool) {
		c.connectionGone(ec)
		if wasRefused {
			c.failCall(ec, callRefused)
		} else {
			c.failCall(ec, callDialTimedOut)
		}
	}
	ec.connection.onBytes = func() { c.readResponse(ec) }
	ec.connection.onClosed = func() {
		c.connectionGone(ec)
		if request := ec.call; request != nil && ec.connection.unwrittenBytes >= request.requestBytes {
			c.failCall(ec, callNotWritten)
		}
		c.failCall(ec, callConnectionLost)
	}
	c.counters.dials++
	c.emit(Effect{Kind: Dial, Connection: ec.connection, Address: request.engine.address, Timeout: c.connectTimeout})
}

// cut closes a line. With a call under way its bytes must not arrive later: a
// kernel that is left to it goes on sending for minutes, and would start a
// query behind a link that heals long after it was held to be over.
func (c *Controller) cutConnection(ec *engineConnection) {
	if !ec.connection.closed {
		ec.connection.closed = true
		c.emit(Effect{Kind: Close, Connection: ec.connection, Abort: ec.call != nil})
	}
}

func (c *Controller) connectionGone(ec *engineConnection) {
	is := func(x *engineConnection) bool { return x == ec }
	ec.engine.connections, c.pool.connections = slices.DeleteFunc(ec.engine.connections, is), slices.DeleteFunc(c.pool.connections, is)
	c.pool.open--
	if request := ec.lastWritten; request != nil {
		ec.lastWritten = nil
		request.arrivalKnown()
	}
	c.runSoon(c.serveWaitingCalls)
}

func (c *Controller) failCall(ec *engineConnection, as callResult) {
	if request := ec.call; request != nil {
		ec.call = nil
		c.finishCall(request, as, 0, nil, nil)
	}
}

// put writes a call on a line that is up and has none.
func (c *Controller) writeCall(ec *engineConnection, request *call) {
	invariant.Hold(ec.connected && ec.call == nil && ec.engine == request.engine, "one call at a time on a connection")
	if request.done || request.stillWanted != nil && !request.stillWanted() {
		c.releaseConnection(ec)
		c.finishCall(request, callNotSent, 0, nil, nil)
		return
	}
	text := request.encode(nil)
	ec.call, ec.lastWritten, ec.lastAttempt, ec.healthChecked, ec.changedPriority, request.requestBytes = request, request, request.attempt, false, request.method == "PUT", len(text)
	if request.attempt != nil && request.keepsQuery {
		request.attempt.callsInFlight++
	}
	if c.TraceQueries && request.attempt != nil {
		c.trace(request.attempt.logFields(), "%s on line %d", request.method, ec.number)
	}
	if request.startsAttempt {
		c.writeAttempt(ec.connection, text, request.attempt)
	} else {
		c.write(ec.connection, text)
	}
	request.timer = c.timers.Add(c.now+request.timeout, func() {
		if !request.done {
			c.cutConnection(ec)
			ec.call = nil
			c.finishCall(request, callNoResponse, 0, nil, nil)
		}
	})
}

// free has a line wait for its next call, or the next call take it.
func (c *Controller) releaseConnection(ec *engineConnection) {
	ec.call, ec.idleSince = nil, c.now
	if len(c.pool.waitingCalls)+len(c.pool.waitingPolls) > 0 {
		c.runSoon(c.serveWaitingCalls)
		c.runAfter(connectionReuseDelay, c.serveWaitingCalls)
	}
}

// next serves the calls that wait for a line.
func (c *Controller) serveWaitingCalls() {
	for _, queue := range []*[]*call{&c.pool.waitingCalls, &c.pool.waitingPolls} {
		for len(*queue) > 0 {
			request := (*queue)[0]
			l := c.idleConnection(request)
			if l == nil && !request.done && c.pool.open >= c.pool.limit {
				c.closeIdlestConnection()
				return
			}
			*queue = (*queue)[1:]
			switch {
			case request.done || request.stillWanted != nil && !request.stillWanted():
				c.finishCall(request, callNotSent, 0, nil, nil)
			case l != nil:
				c.writeCall(l, request)
			default:
				c.dialEngine(request)
			}
		}
	}
}

func (c *Controller) readResponse(ec *engineConnection) {
	in := &ec.connection.Received
	if ec.call == nil {
		if len(in.Bytes()) > 0 {
			c.counters.unexpected++ // nobody asked
			c.cutConnection(ec)
		}
		return
	}
	for !ec.connection.closed && ec.call != nil {
		var say func()
		sound, rows, status := false, false, 0
		request := ec.call
		n, keep, err := enginehttp.Read(in.Bytes(), maxResponseBytes, func(as int, field func(string) string, body []byte) {
			sound, rows, status = request.validResponse(as, field, body), len(body) > 0, as
			say = func() { c.finishCall(request, callAnswered, status, field, body) }
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
			c.counters.unexpected++
			c.cutConnection(ec)
			c.failCall(ec, callMalformedResponse)
			return
		}
		c.counters.engineResponses++
		if !keep || behind {
			ec.call = nil
			c.cutConnection(ec)
		} else {
			ec.healthChecked = request.attempt == nil && status == 200
			c.releaseConnection(ec)
		}
		request.answered = true
		if ec.lastWritten == request {
			ec.lastWritten = nil
			request.arrivalKnown()
		}
		say() // now that the line may take the call this leads to
	}
}

func (c *Controller) finishCall(request *call, as callResult, status int, field func(string) string, body []byte) {
	if !request.done {
		request.done = true
		c.timers.Drop(request.timer)
		if c.TraceQueries && request.attempt != nil {
			c.trace(request.attempt.logFields(), "%s came to %s %d", request.method, callResultNames[as], status)
		}
		request.onResult(as, status, field, body)
	}
}

// vacate: another has the engine's address, so its process is no more, and its
// calls must not reach the other one, which may run a query of the same id.
func (c *Controller) vacateAddress(e *engine) {
	if c.engineByAddress[e.address] == e {
		delete(c.engineByAddress, e.address)
	}
	e.address = ""
	for _, l := range e.connections {
		c.cutConnection(l)
	}
}

// sweepEngines forgets those that are gone, once nothing can be on its way to them.
func (c *Controller) sweepEngines() {
	for id, e := range c.engines {
		if e.state == scheduler.EngineRemoved && c.now-e.removedAt > c.longestQueryTimeout && e.unreportedAttempts+len(e.connections)+len(e.cancelling)+len(e.waitingForID) == 0 {
			c.vacateAddress(e)
			delete(c.engines, id)
		}
	}
}

// sweepLines closes what has been idle for so long that its engine may close it.
func (c *Controller) closeIdleConnections() {
	for _, l := range c.pool.connections {
		if l.connected && l.call == nil && c.engineIdleTimeout > 0 && c.now-l.idleSince > c.engineIdleTimeout*3/4 {
			c.cutConnection(l)
		}
	}
}

// probe looks at an engine; no answer in the time a connection may take is one too.
func (c *Controller) checkHealth(e *engine) {
	if e.healthCheck != nil && !e.healthCheck.done { // with all descriptors in use one waits, and more of them would starve the news
		return
	}
	c.counters.healthChecks++
	e.healthCheck = &call{method: "probe", engine: e, timeout: c.connectTimeout, validResponse: enginehttp.FitsProbe,
		encode: func(dst []byte) []byte { return enginehttp.Probe(dst, e.address, c.enginesReportLoad) },
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
			c.runSoon(func() { c.scheduler.Probed(c.now, e.id, outcome, report) })
		}}
	c.startCall(e.healthCheck)
}

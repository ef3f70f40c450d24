package controller

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/enginehttp"
	"railrelay.dev/railrelay/internal/invariant"
)

// engineConnection is a connection to an engine. It carries one call at a time.
type engineConnection struct {
	connection *Connection
	engine     *engine
	number     int  // identifies the connection in the log
	connected  bool // the dial succeeded; the connection may have ended since

	call *call // in progress, or to be written once connected; nil: none
	// lastWritten is the last call written, nil once it was answered: its request may still arrive.
	lastWritten *call

	// decide which call the connection may carry next, see mayCarry
	idleSince     time.Duration
	lastAttempt   *attempt // of the last call
	lastMethod    string   // of the last call
	healthChecked bool     // the last call was a successful health check
	recentResults recentResults
}

func (ec *engineConnection) isIdle() bool {
	return ec.connected && ec.call == nil && !ec.connection.closed
}

// dialEngine opens a connection for a call.
func (c *Controller) dialEngine(request *call) {
	e := request.engine
	c.pool.dialCount++
	ec := &engineConnection{connection: &Connection{}, number: c.pool.dialCount, engine: e, call: request}
	if c.TraceQueries && request.attempt != nil {
		c.trace(request.attempt.logFields(), "connection %d dialled for %s", ec.number, request.method)
	}
	e.connections = append(e.connections, ec)
	c.pool.connections = append(c.pool.connections, ec)
	c.pool.open++
	ec.connection.onConnected = func() { c.engineConnected(ec) }
	ec.connection.onDialFailed = func(refused bool) { c.engineDialFailed(ec, refused) }
	ec.connection.onBytes = func() { c.readResponses(ec) }
	ec.connection.onClosed = func() { c.engineConnectionClosed(ec) }
	c.counters.dials++
	c.emit(Effect{Kind: Dial, Connection: ec.connection, Address: e.address, Timeout: c.connectTimeout})
}

// engineConnected writes the call that a connection was dialled for, or makes the connection idle if that
// call has ended.
func (c *Controller) engineConnected(ec *engineConnection) {
	ec.connected = true
	request := ec.call
	if request == nil {
		c.releaseConnection(ec)
		return
	}
	ec.call = nil
	c.writeCall(ec, request)
}

func (c *Controller) engineDialFailed(ec *engineConnection, refused bool) {
	c.removeEngineConnection(ec)
	if refused {
		c.failCall(ec, callRefused)
	} else {
		c.failCall(ec, callDialTimedOut)
	}
}

// engineConnectionClosed handles the end of a connection, by either side: it removes the connection and ends
// the call in progress as lost, or as not written if none of its bytes were sent.
func (c *Controller) engineConnectionClosed(ec *engineConnection) {
	c.removeEngineConnection(ec)
	if ec.call != nil && ec.connection.unwrittenBytes >= ec.call.requestBytes {
		c.failCall(ec, callNotWritten)
	}
	c.failCall(ec, callConnectionLost)
}

// closeEngineConnection closes a connection, and aborts it if a call is in progress: the bytes of that call
// must not arrive later. After a plain close the kernel would keep sending for minutes, and a query could
// start after a network partition heals, long after the controller considered it over.
func (c *Controller) closeEngineConnection(ec *engineConnection) {
	if !ec.connection.closed {
		ec.connection.closed = true
		c.emit(Effect{Kind: Close, Connection: ec.connection, Abort: ec.call != nil})
	}
}

// removeEngineConnection records that a connection no longer holds a descriptor, and that its last request
// arrives within maxNetworkDelay or never. A waiting call may then use the descriptor.
func (c *Controller) removeEngineConnection(ec *engineConnection) {
	isThis := func(x *engineConnection) bool { return x == ec }
	ec.engine.connections = slices.DeleteFunc(ec.engine.connections, isThis)
	c.pool.connections = slices.DeleteFunc(c.pool.connections, isThis)
	c.pool.open--
	request := ec.lastWritten
	if request != nil {
		ec.lastWritten = nil
		request.recordArrival()
	}
	c.enqueueCallback(c.serveWaitingCalls)
}

// writeCall writes a call on an established connection that carries none. A call that is no longer wanted
// ends instead, and the connection stays idle.
func (c *Controller) writeCall(ec *engineConnection, request *call) {
	isFree := ec.connected && ec.call == nil && ec.engine == request.engine
	invariant.Check(isFree, "a connection carries one call at a time")
	if !request.isWanted() {
		c.releaseConnection(ec)
		c.finishCall(request, callNotSent, 0, nil, nil)
		return
	}
	text := request.encode(nil)
	request.requestBytes = len(text)
	ec.call = request
	ec.lastWritten = request
	ec.lastAttempt = request.attempt
	ec.healthChecked = false
	ec.lastMethod = request.method
	if request.attempt != nil && request.extendsRetention {
		request.attempt.callsInFlight++
	}
	if c.TraceQueries && request.attempt != nil {
		c.trace(request.attempt.logFields(), "%s on connection %d", request.method, ec.number)
	}
	if request.startsAttempt {
		c.writeAttempt(ec.connection, text, request.attempt)
	} else {
		c.write(ec.connection, text)
	}
	request.timer = c.timers.Add(c.now+request.timeout, func() { c.responseTimedOut(ec, request) })
}

// responseTimedOut closes a connection and ends its call if the response did not come in time.
func (c *Controller) responseTimedOut(ec *engineConnection, request *call) {
	if !request.done {
		c.closeEngineConnection(ec)
		ec.call = nil
		c.finishCall(request, callNoResponse, 0, nil, nil)
	}
}

// releaseConnection makes a connection idle. Waiting calls may take it at once or, if its last call belonged
// to another query, after connectionReuseDelay.
func (c *Controller) releaseConnection(ec *engineConnection) {
	ec.call = nil
	ec.idleSince = c.now
	if len(c.pool.waitingCalls)+len(c.pool.waitingPolls) > 0 {
		c.enqueueCallback(c.serveWaitingCalls)
		c.runAfter(connectionReuseDelay, c.serveWaitingCalls)
	}
}

// readResponses reads the bytes that a connection received.
func (c *Controller) readResponses(ec *engineConnection) {
	if ec.call == nil {
		if len(ec.connection.Received.Bytes()) > 0 { // a response without a call
			c.counters.unexpectedMessages++
			c.closeEngineConnection(ec)
		}
		return
	}
	for !ec.connection.closed && ec.call != nil {
		if !c.readResponse(ec) {
			return
		}
	}
}

// readResponse reads one message and, if it is a final response, ends the call with it. It returns false if
// no more can be read.
func (c *Controller) readResponse(ec *engineConnection) bool {
	received := &ec.connection.Received
	request := ec.call
	var finish func() // ends the call with the response; nil: the message was an interim response
	valid, isOK, isResult, isDuplicate := false, false, false, false
	n, keepAlive, err := enginehttp.Read(received.Bytes(), maxResponseBytes,
		func(status int, field func(string) string, body []byte) {
			valid = request.validResponse(status, field, body)
			isOK = status == statusOK
			isResult = isOK && request.attempt != nil
			if valid && isResult {
				isDuplicate = ec.recentResults.isDuplicate(c.now, request.attempt.query.id, body)
			}
			finish = func() { c.finishCall(request, callAnswered, status, field, body) }
		})
	if n == 0 && err == nil {
		return false
	}
	received.Discard(n)
	if finish == nil && err == nil {
		return true
	}
	if isDuplicate {
		c.rejectDuplicate(ec, request)
		return false
	}
	moreBehind := len(received.Bytes()) > 0
	// Bytes after a result, even after one without rows, mean that its length may be wrong.
	if err != nil || !valid || moreBehind && isResult {
		c.counters.unexpectedMessages++
		c.closeEngineConnection(ec)
		c.failCall(ec, callMalformedResponse)
		return false
	}
	c.counters.engineResponses++
	if !keepAlive || moreBehind {
		ec.call = nil
		c.closeEngineConnection(ec)
	} else {
		ec.healthChecked = request.attempt == nil && isOK
		c.releaseConnection(ec)
	}
	request.answered = true
	if ec.lastWritten == request {
		ec.lastWritten = nil
		request.recordArrival()
	}
	finish() // last, because it may start a call that this connection can carry
	return true
}

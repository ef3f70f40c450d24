package controller

import "time"

// connectionPool allocates the descriptors for connections to engines.
type connectionPool struct {
	limit int // maximum of open
	open  int // connections that may hold a descriptor, including those being dialled or closed

	connections []*engineConnection
	dialCount   int // connections dialled since the start; numbers them in the log

	// calls that wait for a connection, in order of arrival; polls are served only when no other call waits
	waitingCalls []*call
	waitingPolls []*call
}

// connectionReuseDelay must pass before a connection carries a call of another query. A duplicate of the
// engine's last response, sent late, must not be read as the response to that call. A duplicate of a result
// that comes after this delay is recognised, see recentResults.
const connectionReuseDelay = 10 * time.Millisecond

// startCall writes a call to an idle or a new connection, or queues the call until there is one. A call to an
// engine without an address ends as refused.
func (c *Controller) startCall(request *call) {
	if request.timeout == 0 {
		request.timeout = responseTimeout
	}
	if request.engine.address == "" {
		c.enqueueCallback(func() { c.finishCall(request, callRefused, 0, nil, nil) })
		return
	}
	isNext := len(c.pool.waitingCalls) == 0 && (!request.isPoll || len(c.pool.waitingPolls) == 0)
	if isNext {
		ec := c.idleConnection(request)
		if ec != nil {
			c.writeCall(ec, request)
			return
		}
		if c.pool.open < c.pool.limit {
			c.dialEngine(request)
			return
		}
		c.closeLongestIdleConnection()
	}
	c.counters.queuedCalls++
	if request.isPoll {
		c.pool.waitingPolls = append(c.pool.waitingPolls, request)
	} else {
		c.pool.waitingCalls = append(c.pool.waitingCalls, request)
	}
}

// serveWaitingCalls starts queued calls while there are connections for them.
func (c *Controller) serveWaitingCalls() {
	for _, queue := range []*[]*call{&c.pool.waitingCalls, &c.pool.waitingPolls} {
		for len(*queue) > 0 {
			request := (*queue)[0]
			ec := c.idleConnection(request)
			if ec == nil && !request.done && c.pool.open >= c.pool.limit {
				c.closeLongestIdleConnection()
				return
			}
			*queue = (*queue)[1:]
			switch {
			case !request.isWanted():
				c.finishCall(request, callNotSent, 0, nil, nil)
			case ec != nil:
				c.writeCall(ec, request)
			default:
				c.dialEngine(request)
			}
		}
	}
}

// idleConnection returns the most recently used idle connection to the call's engine that may carry the
// call, nil if there is none. It closes a connection that the engine is about to close as idle.
func (c *Controller) idleConnection(request *call) *engineConnection {
	var found *engineConnection
	for _, ec := range request.engine.connections {
		if ec.isIdle() && c.mayCarry(ec, request) && (found == nil || ec.idleSince > found.idleSince) {
			found = ec
		}
	}
	if found != nil && c.isIdleTooLong(found) {
		c.closeEngineConnection(found)
		return nil
	}
	return found
}

// mayCarry reports whether an idle connection may carry a call. Before the rest that the call requires has
// passed, it may do so only if a duplicate of the last response cannot be read as the response to this call:
//   - a further call of the same attempt: the duplicate does not fit the call, or says the same. Exception:
//     a cancellation after a change of priority, which the duplicate would confirm;
//   - a call of any attempt after a successful health check: the duplicate fits no call except another
//     health check. A query is often sent to an engine right after a health check, and would otherwise
//     need a second connection.
func (c *Controller) mayCarry(ec *engineConnection, request *call) bool {
	if c.now-ec.idleSince >= ec.restBefore(request) {
		return true
	}
	if request.attempt == nil {
		return false
	}
	confirmsCancel := ec.lastMethod == "PUT" && request.method == "DELETE"
	return ec.lastAttempt == request.attempt && !confirmsCancel || ec.healthChecked
}

// restBefore returns how long a connection must have been idle before it carries any call. The answers to
// commands look alike, so that a late duplicate can't be recognised as it can among results.
func (ec *engineConnection) restBefore(request *call) time.Duration {
	avoidsDuplicates := request.attempt != nil && request.attempt.avoidsDuplicates
	if avoidsDuplicates || isCommand(ec.lastMethod) && isCommand(request.method) {
		return duplicateWindow
	}
	return connectionReuseDelay
}

// isCommand reports whether a call with a method changes a priority or cancels an attempt.
func isCommand(method string) bool { return method == "PUT" || method == "DELETE" }

// isIdleTooLong reports whether the engine may close an idle connection at any moment.
func (c *Controller) isIdleTooLong(ec *engineConnection) bool {
	return c.now-ec.idleSince > c.engineIdleTimeout*3/4
}

// closeLongestIdleConnection closes the connection, to any engine, that has been idle longest. Its
// descriptor is free when ConnectionClosed comes, which then serves the waiting calls.
func (c *Controller) closeLongestIdleConnection() {
	var idlest *engineConnection
	for _, ec := range c.pool.connections {
		if ec.isIdle() && (idlest == nil || ec.idleSince < idlest.idleSince) {
			idlest = ec
		}
	}
	if idlest != nil {
		c.closeEngineConnection(idlest)
	}
}

// closeIdleConnections closes the connections that their engines may close at any moment.
func (c *Controller) closeIdleConnections() {
	if c.engineIdleTimeout <= 0 {
		return
	}
	for _, ec := range c.pool.connections {
		if ec.connected && ec.call == nil && c.isIdleTooLong(ec) {
			c.closeEngineConnection(ec)
		}
	}
}

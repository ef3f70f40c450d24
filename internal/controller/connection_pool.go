package controller

import "time"

// connectionPool shares out the descriptors for connections to engines.
type connectionPool struct {
	limit int // of connections
	open  int // connections that may hold a descriptor, also those dialled or being closed

	connections []*engineConnection
	dialCount   int // since the start; numbers connections in the log

	// calls that wait for a connection, in the order they came; polls only go when no other call waits
	waitingCalls []*call
	waitingPolls []*call
}

// connectionReuseDelay passes before a connection carries another query's call. What an engine sends
// behind its response, a second copy of it, must not be taken for the response to that.
const connectionReuseDelay = 10 * time.Millisecond

// startCall writes a call on an idle connection or a new one, or queues it until there is one.
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

// serveWaitingCalls starts queued calls for as long as there are connections for them.
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

// idleConnection finds the connection for a call that was used last among those to its engine that may
// carry it, nil if there is none. It closes one that the engine is about to close for being idle.
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

// mayCarry reports whether an idle connection may carry a call. Before connectionReuseDelay has passed
// it may only if a second copy of the last response can't be taken for one to this call:
//   - a further call of the same attempt, which the copy doesn't fit, or says the same; but no
//     cancellation behind a change of priority, whose copy would confirm the cancellation;
//   - any attempt's call behind a successful health check, whose copy fits no call but another health
//     check. A query is often sent to an engine right after one, and would need a second connection.
func (c *Controller) mayCarry(ec *engineConnection, request *call) bool {
	if c.now-ec.idleSince >= connectionReuseDelay {
		return true
	}
	if request.attempt == nil {
		return false
	}
	confirmsCancel := ec.changedPriority && request.method == "DELETE"
	return ec.lastAttempt == request.attempt && !confirmsCancel || ec.healthChecked
}

// isIdleTooLong reports whether the engine may close a connection any moment.
func (c *Controller) isIdleTooLong(ec *engineConnection) bool {
	return c.now-ec.idleSince > c.engineIdleTimeout*3/4
}

// closeLongestIdleConnection closes the connection, to whatever engine, that was idle longest. Its descriptor
// is free when ConnectionClosed comes, which serves the waiting calls.
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

// closeIdleConnections closes those that their engines may close any moment.
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

package controller

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/scheduler"
)

// engine is one engine of the endpoint list, identified by its id: a new engine may be listed at the address
// of one that is gone.
type engine struct {
	id      string
	address string // "" after releaseAddress, until the engine is listed with an address

	// as last listed
	state         scheduler.EngineState
	kind          int           // index in the settings' kinds
	location      int           // index in the settings' locations, -1: none
	listedInEvent int64         // the last discovery event that named the engine
	removedAt     time.Duration // when the engine left the list

	connections []*engineConnection
	healthCheck *call // the most recent one

	// attempts
	unreportedAttempts int        // attempts whose end the scheduler has not been told
	cancelling         []*attempt // being cancelled; they may still run at the engine
	waitingForID       []*attempt // not sent yet, because an attempt of the same query is in cancelling
}

// hasConnection reports whether a connection to the engine is established.
func (e *engine) hasConnection() bool {
	return slices.ContainsFunc(e.connections, func(ec *engineConnection) bool {
		return ec.connected && !ec.connection.closed
	})
}

// isCancelling reports whether an attempt of a query is still being cancelled at the engine.
func (e *engine) isCancelling(queryID string) bool {
	return slices.ContainsFunc(e.cancelling, func(a *attempt) bool { return a.query.id == queryID })
}

// cancellationDone records that a cancelled attempt is over, and sends the attempts that waited for it.
func (e *engine) cancellationDone(a *attempt) {
	i := slices.Index(e.cancelling, a)
	if i >= 0 {
		e.cancelling = slices.Delete(e.cancelling, i, i+1)
	}
	waiting := e.waitingForID
	e.waitingForID = nil
	for _, w := range waiting {
		if e.isCancelling(w.query.id) {
			e.waitingForID = append(e.waitingForID, w)
		} else {
			w.send()
		}
	}
}

// revokePermits prevents attempts whose request is not written yet from starting at the engine.
func (e *engine) revokePermits() {
	for _, ec := range e.connections {
		request := ec.call
		if request != nil && request.startsAttempt {
			request.attempt.permit.Revoke()
		}
	}
}

// releaseAddress removes an engine's address and closes the engine's connections: another engine is listed
// at the address, the engine has moved to another one, or a removed engine is forgotten. Calls meant for the
// old process must not reach a new process at the address, which may run a query of the same id.
func (c *Controller) releaseAddress(e *engine) {
	if c.engineByAddress[e.address] == e {
		delete(c.engineByAddress, e.address)
	}
	e.address = ""
	for _, ec := range e.connections {
		c.closeEngineConnection(ec)
	}
}

// sweepEngines forgets removed engines once no call to them can be in flight.
func (c *Controller) sweepEngines() {
	for id, e := range c.engines {
		inUse := e.unreportedAttempts + len(e.connections) + len(e.cancelling) + len(e.waitingForID)
		if e.state == scheduler.EngineRemoved && c.now-e.removedAt > c.longestQueryTimeout && inUse == 0 {
			c.releaseAddress(e)
			delete(c.engines, id)
		}
	}
}

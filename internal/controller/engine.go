package controller

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/scheduler"
)

// engine is one engine of the endpoint list. Its id identifies it: a new engine may be listed at the
// address of one that is gone.
type engine struct {
	id      string
	address string // "" once another engine has it

	// as last listed
	state         scheduler.EngineState
	kind          int           // index in the settings' kinds
	location      int           // index in the settings' locations, -1: in none
	listedInEvent int64         // the last event that named it
	removedAt     time.Duration // when it left the list

	connections []*engineConnection
	healthCheck *call // the last one

	// attempts
	unreportedAttempts int        // whose end the scheduler has not been told
	cancelling         []*attempt // ended for the scheduler, but perhaps not yet at the engine
	waitingForID       []*attempt // not sent yet, since one of the same query is among cancelling
}

// hasConnection reports whether a connection to it is established.
func (e *engine) hasConnection() bool {
	return slices.ContainsFunc(e.connections, func(ec *engineConnection) bool {
		return ec.connected && !ec.connection.closed
	})
}

// isCancelling reports whether an attempt of a query is still being cancelled there.
func (e *engine) isCancelling(queryID string) bool {
	return slices.ContainsFunc(e.cancelling, func(s *attempt) bool { return s.query.id == queryID })
}

// cancellationDone notes that a cancelled attempt is over, and sends those that waited for it.
func (e *engine) cancellationDone(s *attempt) {
	i := slices.Index(e.cancelling, s)
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

// revokePermits stops attempts whose request is not written yet from starting there.
func (e *engine) revokePermits() {
	for _, ec := range e.connections {
		request := ec.call
		if request != nil && request.startsAttempt {
			request.attempt.permit.Revoke()
		}
	}
}

// releaseAddress takes an engine's address from it, as another engine has that now: its process is gone,
// and its calls must not reach the other one, which may run a query of the same id.
func (c *Controller) releaseAddress(e *engine) {
	if c.engineByAddress[e.address] == e {
		delete(c.engineByAddress, e.address)
	}
	e.address = ""
	for _, ec := range e.connections {
		c.closeEngineConnection(ec)
	}
}

// sweepEngines forgets removed engines once no call can be on its way to them.
func (c *Controller) sweepEngines() {
	for id, e := range c.engines {
		inUse := e.unreportedAttempts + len(e.connections) + len(e.cancelling) + len(e.waitingForID)
		if e.state == scheduler.EngineRemoved && c.now-e.removedAt > c.longestQueryTimeout && inUse == 0 {
			c.releaseAddress(e)
			delete(c.engines, id)
		}
	}
}

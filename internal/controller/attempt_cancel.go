package controller

import (
	"railrelay.dev/railrelay/internal/enginehttp"
	"railrelay.dev/railrelay/internal/scheduler"
)

// This file and handleCallResult decide when an attempt is over; docs/design.md lists the cases.

// mustProveEnd reports whether the scheduler may learn of the attempt's end only once no part of the attempt
// can still run: a query of the same key or a second attempt must not overlap with it.
func (a *attempt) mustProveEnd() bool { return a.query.group.inOrder || !a.mayHedge }

// provenOver reports whether the engine certainly no longer runs the query, even if no response says so. An
// engine drops a query that was not polled for engineRetention, counted from the end of the last poll, which
// the engine may hold for longPollTimeout. A call without a response may arrive for as long as its connection
// is open.
//
// A call counts as arrived no earlier than its response timeout after it was written. Otherwise, after a
// stall of this process, the retention would seem to be over too soon.
//
// An engine that takes no cancellations may run a query whether it is polled or not. With ordered queries
// such an attempt is over only after the deadline that the engine was given.
func (a *attempt) provenOver() bool {
	arrived := max(a.lastArrival, a.polledAt+responseTimeout+maxNetworkDelay)
	retainedUntil := arrived + longPollTimeout + engineRetention
	if a.query.group.inOrder && !a.mayCancel {
		retainedUntil = max(retainedUntil, a.deadline+maxNetworkDelay+longPollTimeout+engineRetention)
	}
	return a.callsInFlight == 0 && a.now >= retainedUntil
}

// engineProcessDied reports whether all evidence says that the engine's process is gone. A process that ends
// closes its connections. A refused dial while a connection is open only means that the engine accepts no
// more connections. Without an open connection it may mean the same, so it is no proof with mustProveEnd.
func (a *attempt) engineProcessDied(result callResult) bool {
	return result == callRefused && !a.engine.hasConnection() && !a.mustProveEnd()
}

// recordArrival records that a written call was answered or its connection is gone. Bytes still in the
// network at that moment may arrive within maxNetworkDelay.
func (r *call) recordArrival() {
	a := r.attempt
	if a == nil || !r.extendsRetention {
		return
	}
	delay := maxNetworkDelay
	if r.answered {
		delay = 0
	}
	a.callsInFlight--
	a.lastArrival = max(a.lastArrival, a.now+delay)
	if r.startsAttempt {
		a.runAfter(delay, a.markSettled)
	}
}

// markSettled records that the request has arrived at the engine, or never will.
func (a *attempt) markSettled() {
	a.settled = true
	for _, callback := range a.onSettled {
		callback()
	}
	a.onSettled = nil
}

// withdrawAttempt gives an attempt up and cancels it at its engine. The scheduler is told at once if the
// attempt may overlap with its successor. With mustProveEnd, the scheduler is told when the attempt is over
// at the engine: the cancellation was confirmed, the engine's process is gone, or provenOver holds.
func (c *Controller) withdrawAttempt(a *attempt, outcome scheduler.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.permit.Revoke()
	if c.TraceQueries {
		c.trace(a.logFields(), "withdrawn")
	}
	if !a.sent {
		a.report(scheduler.NeverSent)
		return
	}
	reportLate := a.mustProveEnd()
	a.engine.cancelling = append(a.engine.cancelling, a)
	over := func() {
		a.engine.cancellationDone(a)
		if reportLate {
			a.report(outcome)
		}
	}
	if !reportLate {
		a.report(outcome)
	}
	c.cancelAtEngine(a, func() {
		if a.settled {
			over()
			return
		}
		// the cancellation may have overtaken the request, so it is sent again
		a.onSettled = append(a.onSettled, func() { c.cancelAtEngine(a, over) })
	})
}

// cancelAtEngine cancels an attempt at its engine, retries until the cancellation is confirmed or no longer
// needed, and then calls done.
func (c *Controller) cancelAtEngine(a *attempt, done func()) {
	c.startCall(&call{
		method:        "DELETE",
		engine:        a.engine,
		attempt:       a,
		validResponse: enginehttp.IsCommandResponse,
		encode: func(dst []byte) []byte {
			return enginehttp.AppendCancel(dst, a.engine.address, a.query.id)
		},
		onResult: func(result callResult, _ int, _ func(string) string, _ []byte) {
			if result == callAnswered || a.engineProcessDied(result) || a.provenOver() {
				done()
				return
			}
			c.runAfter(maxNetworkDelay, func() { c.cancelAtEngine(a, done) })
		},
	})
}

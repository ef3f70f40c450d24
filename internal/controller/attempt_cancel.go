package controller

import (
	"railrelay.dev/railrelay/internal/enginehttp"
	"railrelay.dev/railrelay/internal/scheduler"
)

// When an attempt is over is decided here and by handleCallResult; docs/design.md has the table.

// mustProveEnd reports whether the scheduler may be told of the attempt's end only once nothing of it can
// run any more: a query of the same key or a second copy must not overlap with it.
func (s *attempt) mustProveEnd() bool { return s.query.group.inOrder || !s.mayHedge }

// provenOver reports whether it is over at its engine, heard from or not, since it went unpolled for
// as long as engines retain a query. A call may arrive as long as its connection stands, and counts as
// having arrived no earlier than its response timed out: by our clock alone it would be over too soon
// where this process stood still meanwhile.
//
// Where engines take no cancellations they may run a query whether it is polled or not. What keeps order
// is over then only with the time that its engine was given.
func (s *attempt) provenOver() bool {
	arrived := max(s.lastArrival, s.polledAt+responseTimeout+maxNetworkDelay)
	retainedUntil := arrived + longPollTimeout + engineRetention
	if s.query.group.inOrder && !s.mayCancel {
		retainedUntil = max(retainedUntil, s.deadline+maxNetworkDelay+longPollTimeout+engineRetention)
	}
	return s.callsInFlight == 0 && s.now >= retainedUntil
}

// engineProcessDied reports whether the engine's process is gone by all there is to see. A process that ends
// takes its connections with it. A refusal while one stands only says that it takes no more of them, and
// with none left it may mean that, too; so it proves nothing where the end must be proven.
func (s *attempt) engineProcessDied(as callResult) bool {
	return as == callRefused && !s.engine.hasConnection() && !s.mustProveEnd()
}

// recordArrival notes that a written call was answered or its connection is gone. What is still in the
// network then may arrive within maxNetworkDelay.
func (r *call) recordArrival() {
	s := r.attempt
	if s == nil || !r.extendsRetention {
		return
	}
	delay := maxNetworkDelay
	if r.answered {
		delay = 0
	}
	s.callsInFlight--
	s.lastArrival = max(s.lastArrival, s.now+delay)
	if r.startsAttempt {
		s.runAfter(delay, s.markSettled)
	}
}

// markSettled notes that the request has arrived, or never will.
func (s *attempt) markSettled() {
	s.settled = true
	for _, callback := range s.onSettled {
		callback()
	}
	s.onSettled = nil
}

// withdrawAttempt gives an attempt up and cancels it at its engine. The scheduler is told at once where
// it may overlap with what comes next. Where mustProveEnd, it is told when the attempt is over at its
// engine: it was cancelled there, the process is gone, or it went unpolled for as long as engines retain
// a query.
func (c *Controller) withdrawAttempt(s *attempt, outcome scheduler.Outcome) {
	if s.ended {
		return
	}
	s.ended = true
	s.permit.Revoke()
	if c.TraceQueries {
		c.trace(s.logFields(), "withdrawn")
	}
	if !s.sent {
		s.report(scheduler.NeverSent)
		return
	}
	reportLate := s.mustProveEnd()
	s.engine.cancelling = append(s.engine.cancelling, s)
	over := func() {
		s.engine.cancellationDone(s)
		if reportLate {
			s.report(outcome)
		}
	}
	if !reportLate {
		s.report(outcome)
	}
	c.cancelAtEngine(s, func() {
		if s.settled {
			over()
			return
		}
		// the cancellation may have overtaken the request
		s.onSettled = append(s.onSettled, func() { c.cancelAtEngine(s, over) })
	})
}

// cancelAtEngine cancels an attempt at its engine, again and again until that is confirmed or moot, and
// then calls done.
func (c *Controller) cancelAtEngine(s *attempt, done func()) {
	c.startCall(&call{
		method:        "DELETE",
		engine:        s.engine,
		attempt:       s,
		validResponse: enginehttp.FitsDone,
		encode: func(dst []byte) []byte {
			return enginehttp.GiveUp(dst, s.engine.address, s.query.id)
		},
		onResult: func(as callResult, _ int, _ func(string) string, _ []byte) {
			if as == callAnswered || s.engineProcessDied(as) || s.provenOver() {
				done()
				return
			}
			c.runAfter(maxNetworkDelay, func() { c.cancelAtEngine(s, done) })
		},
	})
}

package scheduler

import (
	"math"
	"time"

	"railrelay.dev/railrelay/internal/settings"
)

const (
	rejectedRest    = 250 * time.Millisecond // for which an engine that rejected a query gets none,
	unreachableRest = time.Second            // one that could not be connected to,
	resetRest       = 500 * time.Millisecond // one whose connection was lost

	// An attempt is moved when what remains is so many times what a fresh one should take. Without
	// an estimate a large query looks like one that is slow.
	moveAbove            = 3.0
	moveAboveUnestimated = 6.0
	hopelessAbove        = 1.5 // of the time left that remains: it can't be done in time
	leastRemaining       = 1   // seconds
)

// noEndInSight is the time that remains of an attempt that doesn't progress, in seconds.
var noEndInSight = math.Inf(1)

// retryOrReject handles an attempt that ended without an answer: its engine rests, and the query is
// queued again if the time left exceeds what it should take, unless a copy of it is in flight.
func (s *Scheduler) retryOrReject(a *attempt) {
	q, e := a.query, a.engine
	switch a.outcome {
	case Rejected:
		e.rejectedAt = s.now
		e.ejectedUntil = s.now + capped(rejectedRest, q.group.timeout/timeoutParts)
	case Unreachable:
		e.ejectedUntil = s.now + unreachableRest
	case ConnectionReset:
		e.ejectedUntil = s.now + resetRest
	}
	q.lastEngine = e
	switch {
	case q.inFlight > 0:
	case s.secondsLeft(q) <= s.expectedSeconds(q) || !s.retryAllowed(q):
		s.reject(q)
	default:
		s.enqueue(q)
	}
}

// retryAllowed tells whether a query may have one more attempt.
func (s *Scheduler) retryAllowed(q *query) bool {
	return len(q.attempts) < s.settings.MaxAttempts && s.safeToRetry(q)
}

// safeToRetry tells whether another attempt can't have a second effect: nothing has run, the query
// is read-only, or engines still keep its key.
func (s *Scheduler) safeToRetry(q *query) bool {
	ran := q.attemptsThatMayHaveRun()
	return len(ran) == 0 || q.group.effect == settings.ReadOnly ||
		q.group.effect == settings.Keyed && s.now-ran[0].sentAt < q.group.keyWindow
}

// clientMayRetry tells the same of a retry by the client, which may reach any engine.
func (s *Scheduler) clientMayRetry(q *query) bool {
	return s.safeToRetry(q) && (q.group.effect != settings.Keyed || q.group.keyScope == settings.ScopeAll ||
		len(q.attemptsThatMayHaveRun()) == 0)
}

// handleNote takes an engine's note on a running attempt. Progress far behind what a fresh attempt
// would need is a bad plan, or a slow or crowded engine: all are met by moving the query.
func (s *Scheduler) handleNote(a *attempt, kind NoteKind, x float64) {
	s.engineResponded(a.engine)
	a.lastNoteAt = s.now
	if kind == WaitingForLoad {
		s.blockedByLoad(a, s.settings.AssumedNotePeriod*2)
	} else if kind == Progress && x > 0 {
		a.progress = x
		a.progressAt = s.now
		s.moveOrReject(a, s.remainingSeconds(a))
	}
}

// blockedByLoad: an attempt waits for a load of its tables, which other queries then avoid there.
func (s *Scheduler) blockedByLoad(a *attempt, span time.Duration) {
	a.blocked = true
	a.engine.markLoadRunning(a.query.tables, s.now+span)
	s.moveOrReject(a, noEndInSight)
}

// remainingSeconds is the time that an attempt should still take, by its last note or what was
// expected.
func (s *Scheduler) remainingSeconds(a *attempt) float64 {
	if a.progress <= 0 {
		return max(leastRemaining, s.expectedSeconds(a.query)-(s.now-a.sentAt).Seconds())
	}
	return (a.progressAt-a.sentAt).Seconds()/a.progress - (s.now - a.sentAt).Seconds()
}

// moveOrReject cancels an attempt for a fresh one elsewhere, if what remains of it, in seconds, is
// long against that. One that can't be done in its client's time is rejected: it holds what others
// could use.
func (s *Scheduler) moveOrReject(a *attempt, remaining float64) {
	q := a.query
	if a.moving || q.ended || q.group.effect != settings.ReadOnly || !s.settings.CancelAllowed {
		return
	}
	slow := !math.IsInf(remaining, 1)
	fresh, above := s.expectedSeconds(q), moveAbove
	if q.workSeconds <= 0 {
		above = moveAboveUnestimated
	}
	if s.moveAllowed(q, slow, fresh) && remaining >= above*fresh {
		a.moving = true
		q.movedForSlowness = q.movedForSlowness || slow
		s.actions.CancelAttempt(q.id, a.number)
	} else if slow && remaining > hopelessAbove*s.secondsLeft(q) {
		s.reject(q)
	}
}

// moveAllowed tells whether a fresh attempt may and can be done in the time left. Slow twice without
// an estimate, a query is large and its plan not bad; and where engines are mostly full it is slow
// everywhere, and begun anew would only lose what was done.
func (s *Scheduler) moveAllowed(q *query, slow bool, freshSeconds float64) bool {
	if slow && (q.workSeconds <= 0 && q.movedForSlowness || s.reportedUtilization.valueOr(0) >= mostlyFull) {
		return false
	}
	return s.secondsLeft(q) > freshSeconds && s.retryAllowed(q) && s.retryBudgetLeft()
}

package scheduler

import (
	"math"
	"time"

	"railrelay.dev/railrelay/internal/settings"
)

const (
	rejectedCooldown    = 250 * time.Millisecond // ejection time of an engine that rejected a query
	unreachableCooldown = time.Second            // ejection time of an engine that couldn't be connected to
	resetCooldown       = 500 * time.Millisecond // ejection time of an engine whose connection was lost

	// An attempt is moved to another engine if its remaining run time is at least this multiple of
	// the expected run time of a new attempt. Without an estimate, a large query can't be told from a
	// slow one, so that the factor is higher.
	moveFactor            = 3.0
	moveFactorUnestimated = 6.0
	// An attempt is given up if its remaining run time is more than this multiple of the time until
	// the query's deadline.
	hopelessFactor      = 1.5
	minRemainingSeconds = 1
)

// neverFinishes is the remaining time of an attempt that makes no progress.
var neverFinishes = math.Inf(1)

// retryOrReject handles an attempt that ended without an answer. Its engine is ejected for a while
// if it rejected the query or the connection failed. Unless another attempt is in flight, the query
// is queued again if enough time is left, and otherwise rejected.
func (s *Scheduler) retryOrReject(a *attempt) {
	q, e := a.query, a.engine
	switch a.outcome {
	case Rejected:
		e.rejectedAt = s.now
		e.ejectedUntil = s.now + capAt(rejectedCooldown, q.group.timeout/timeoutDivisor)
	case Unreachable:
		e.ejectedUntil = s.now + unreachableCooldown
	case ConnectionReset:
		e.ejectedUntil = s.now + resetCooldown
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

// retryAllowed returns whether a query may have another attempt.
func (s *Scheduler) retryAllowed(q *query) bool {
	return len(q.attempts) < s.settings.MaxAttempts && s.safeToRetry(q)
}

// safeToRetry returns whether another attempt can't have a second effect: nothing has run, the
// query is read-only, or engines still keep its key.
func (s *Scheduler) safeToRetry(q *query) bool {
	attempts := q.attemptsThatMayHaveRun()
	return len(attempts) == 0 || q.group.effect == settings.ReadOnly ||
		q.group.effect == settings.Keyed && s.now-attempts[0].sentAt < q.group.keyWindow
}

// clientMayRetry returns whether a retry by the client, which may reach any engine, can't have a
// second effect.
func (s *Scheduler) clientMayRetry(q *query) bool {
	return s.safeToRetry(q) && (q.group.effect != settings.Keyed || q.group.keyScope == settings.ScopeAll ||
		len(q.attemptsThatMayHaveRun()) == 0)
}

// handleNote handles a progress note on a running attempt. An attempt that would take far longer than
// a new one has a bad plan, or a slow or crowded engine. In each case the query is moved. A note of
// another kind only shows that the attempt and its engine are alive.
func (s *Scheduler) handleNote(a *attempt, kind NoteKind, value float64) {
	s.engineResponded(a.engine)
	a.lastNoteAt = s.now
	if kind == WaitingForLoad {
		s.handleBlockedByLoad(a, s.settings.AssumedNotePeriod*2)
	} else if kind == Progress && value > 0 {
		a.progress = value
		a.progressAt = s.now
		s.moveOrReject(a, s.remainingSeconds(a))
	}
}

// handleBlockedByLoad moves an attempt that is blocked by a load of its tables. Other queries on these
// tables avoid the engine for a duration.
func (s *Scheduler) handleBlockedByLoad(a *attempt, duration time.Duration) {
	a.blocked = true
	a.engine.markLoadRunning(a.query.tables, s.now+duration)
	s.moveOrReject(a, neverFinishes)
}

// remainingSeconds estimates the remaining run time of an attempt from the progress in its last note
// or, without any progress, from its expected run time.
func (s *Scheduler) remainingSeconds(a *attempt) float64 {
	if a.progress <= 0 {
		return max(minRemainingSeconds, s.expectedSeconds(a.query)-(s.now-a.sentAt).Seconds())
	}
	return (a.progressAt-a.sentAt).Seconds()/a.progress - (s.now - a.sentAt).Seconds()
}

// moveOrReject cancels an attempt in favour of one on another engine, if its remaining time is long
// compared with the time for a new one. The query of an attempt that would end long after the deadline
// is rejected, so that it doesn't hold capacity. moveOrReject does nothing for an attempt that is being
// moved, a query that has ended or isn't read-only, or if engines support no cancellation.
func (s *Scheduler) moveOrReject(a *attempt, remainingSeconds float64) {
	q := a.query
	if a.moving || q.ended || q.group.effect != settings.ReadOnly || !s.settings.CancelAllowed {
		return
	}
	slow := !math.IsInf(remainingSeconds, 1)
	freshSeconds, factor := s.expectedSeconds(q), moveFactor
	if q.workSeconds <= 0 {
		factor = moveFactorUnestimated
	}
	if s.moveAllowed(q, slow, freshSeconds) && remainingSeconds >= factor*freshSeconds {
		a.moving = true
		q.movedForSlowness = q.movedForSlowness || slow
		s.actions.CancelAttempt(q.id, a.number)
	} else if slow && remainingSeconds > hopelessFactor*s.secondsLeft(q) {
		s.reject(q)
	}
}

// moveAllowed returns whether a new attempt is allowed and would end in time. A query without an
// estimate that was slow twice is large rather than badly planned. While engines are mostly full,
// an attempt is slow everywhere, and a restart would only lose its work.
func (s *Scheduler) moveAllowed(q *query, slow bool, freshSeconds float64) bool {
	if slow && (q.workSeconds <= 0 && q.movedForSlowness ||
		s.reportedUtilization.valueOr(0) >= highUtilization) {
		return false
	}
	return s.secondsLeft(q) > freshSeconds && s.retryAllowed(q) && s.retryBudgetLeft()
}

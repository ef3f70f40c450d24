package scheduler

import (
	"time"

	"railrelay.dev/railrelay/internal/settings"
)

const (
	startMarginFactor      = 1.25 // multiple of the expected run time that is left at the latest start
	patienceAbandonRate    = 0.05 // fraction of clients leaving early above which their patience limits the wait
	minSoloTimeFraction    = 0.5  // fraction of the estimated run time alone that must be left to keep a query
	abandonRateSamples     = 100  // number of queries over which the fraction of clients that leave is averaged
	patienceSamples        = 30   // number of clients that left early over which their patience is averaged
	noteTimeoutHalfPeriods = 3    // number of half note periods after which a note is missing
	noteDeliveryDelay      = 300 * time.Millisecond
)

// objectiveTime returns when a query should be answered: its group's objective after its arrival,
// and later for a long query.
func (s *Scheduler) objectiveTime(q *query) time.Duration {
	return q.arrivedAt + q.group.objective + seconds(q.group.objectiveStretch*s.estimatedSoloSeconds(q))
}

// latestStart returns when a query has to start to end by its objective or its deadline, whichever
// comes first. If many clients of its group leave early, the query also has to end within their
// average patience.
func (s *Scheduler) latestStart(q *query) time.Duration {
	deadline := min(q.objectiveAt, q.deadline)
	if q.group.abandonRate.value > patienceAbandonRate {
		deadline = min(deadline, q.arrivedAt+seconds(q.group.patience.value))
	}
	return deadline - seconds(startMarginFactor*s.expectedSeconds(q))
}

// tooLateToStart returns whether a queued query should be rejected before it takes capacity: less than
// minSoloTimeFraction of its estimated run time alone is left before its deadline, its latestStart has
// passed and other queries wait behind it (backlog), or it can't end by its objective and late answers
// of its group have no value.
func (s *Scheduler) tooLateToStart(q *query, backlog bool) bool {
	solo := s.estimatedSoloSeconds(q)
	switch {
	case s.secondsLeft(q) < solo*minSoloTimeFraction:
		return true
	case backlog && s.now > s.latestStart(q):
		return true
	}
	return q.group.lateValueShare <= 0 && s.now+seconds(solo) > q.objectiveAt
}

// handleObjectivePassed lowers a late query's priority. If no note can arrive in time to explain
// the delay, its attempts count as stalled.
func (s *Scheduler) handleObjectivePassed(q *query) {
	period := s.settings.NotePeriod
	for _, a := range q.attempts {
		if !a.ended && (period <= 0 || noteTimeout(period) > q.deadline-q.arrivedAt) {
			s.attemptStalled(a)
		}
	}
	s.updateLimits(q)
}

// noteTimeout returns the time within which the next note on a running attempt should arrive.
func noteTimeout(period time.Duration) time.Duration {
	return period*noteTimeoutHalfPeriods/2 + noteDeliveryDelay
}

// sendDeadline returns the time until which the first byte of an attempt may be sent, because an
// attempt may wait for a connection. The limit is the query's deadline, and for a keyed query with an
// earlier attempt that may have run also the end of the time for which engines keep its key. If the
// query has ended or the engine isn't active, sendDeadline returns 0.
func (s *Scheduler) sendDeadline(a *attempt) time.Duration {
	attempts, rg := a.query.attemptsThatMayHaveRun(), a.query.group
	switch {
	case a.query.ended || a.engine.state != EngineActive:
		return 0 // nothing may be sent any more
	case rg.effect == settings.Keyed && attempts[0] != a:
		return min(a.query.deadline, attempts[0].sentAt+rg.keyWindow)
	}
	return a.query.deadline
}

// handleClientLeft ends a query without an answer because its client disconnected, and updates the
// group's patience.
func (s *Scheduler) handleClientLeft(q *query) {
	q.group.abandonRate.add(1, abandonRateSamples)
	q.group.patience.add((s.now - q.arrivedAt).Seconds(), patienceSamples)
	s.endQuery(q)
	s.releaseEnded(q)
}

// endQuery marks a query as ended, and cancels its attempts in flight if engines support that.
func (s *Scheduler) endQuery(q *query) {
	if q.ended {
		return
	}
	q.ended = true
	for _, a := range q.attempts {
		if !a.ended && s.settings.CancelAllowed {
			s.actions.CancelAttempt(q.id, a.number)
		}
	}
}

func (s *Scheduler) secondsLeft(q *query) float64 { return (q.deadline - s.now).Seconds() }

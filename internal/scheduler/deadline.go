package scheduler

import (
	"time"

	"railrelay.dev/railrelay/internal/settings"
)

const (
	startMarginFactor      = 1.25 // of its expected time that a query is started before its end, at the latest
	patienceAbandonRate    = 0.05 // share of clients that leave early from which their patience counts
	minSoloTimeFraction    = 0.5  // of its time alone that must be left for a query to be kept
	abandonRateSamples     = 100  // queries over which the share of clients that leave is averaged
	patienceSamples        = 30   // clients that left over whose patience is averaged
	noteTimeoutHalfPeriods = 3    // halves of a note's period within which one is sure to come
	noteDeliveryDelay      = 300 * time.Millisecond
)

// objective is when the answer should be there: its group's objective after arrival, and longer for
// a long query.
func (s *Scheduler) objectiveTime(q *query) time.Duration {
	return q.arrivedAt + q.group.objective + seconds(q.group.objectiveStretch*s.estimatedSoloSeconds(q))
}

// latestStart is when a query has to start to be done by its objective, its deadline (some come
// with less time than the objective), and before its client leaves, where clients leave early.
func (s *Scheduler) latestStart(q *query) time.Duration {
	deadline := min(q.objectiveAt, q.deadline)
	if q.group.abandonRate.value > patienceAbandonRate {
		deadline = min(deadline, q.arrivedAt+seconds(q.group.patience.value))
	}
	return deadline - seconds(startMarginFactor*s.expectedSeconds(q))
}

// notWorthStarting tells of a queued query that can't be done in time, or would be late where
// others wait behind it or a late answer is worth nothing: it is rejected before it takes capacity.
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

// objectivePassed lowers a late query's priority; where no note can tell why it is late, its
// attempts count as stalled.
func (s *Scheduler) handleObjectivePassed(q *query) {
	period := s.settings.NotePeriod
	for _, a := range q.attempts {
		if !a.ended && (period <= 0 || noteTimeout(period) > q.deadline-q.arrivedAt) {
			s.attemptStalled(a)
		}
	}
	s.updateLimits(q)
}

// noteExpectedWithin is the time in which a running attempt's next note is sure to come.
func noteTimeout(period time.Duration) time.Duration {
	return period*noteTimeoutHalfPeriods/2 + noteDeliveryDelay
}

// startDeadline is until when the first byte of an attempt may be sent, since it may have waited
// for a connection past what it was decided on: until the query's deadline, and of a keyed query
// sent before only while engines keep its key.
func (s *Scheduler) sendDeadline(a *attempt) time.Duration {
	attempts, rg := a.query.attemptsThatMayHaveRun(), a.query.group
	switch {
	case a.query.ended || a.engine.state != EngineActive:
		return 0 // no byte may be sent any more
	case rg.effect == settings.Keyed && attempts[0] != a:
		return min(a.query.deadline, attempts[0].sentAt+rg.keyWindow)
	}
	return a.query.deadline
}

// clientGone ends a query without an answer because its client disconnected; how long clients
// wait is learned from it.
func (s *Scheduler) handleClientLeft(q *query) {
	q.group.abandonRate.add(1, abandonRateSamples)
	q.group.patience.add((s.now - q.arrivedAt).Seconds(), patienceSamples)
	s.endQuery(q)
	s.releaseEnded(q)
}

// end marks the end of a query; attempts in flight are cancelled where engines can.
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

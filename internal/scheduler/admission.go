package scheduler

import "time"

const quantaBeforeDeadline = 2 // at which a query without an answer is rejected

// admit starts a query on its way, or rejects it where it can't be done in time. A draining
// controller rejects at once: the client can go elsewhere.
func (s *Scheduler) admit(q *query) {
	if s.draining {
		s.reject(q)
		return
	}
	s.learnFromArrival(q)
	s.earnHealthChecks()
	q.objectiveAt = s.objective(q)
	// Whatever else goes wrong, the answer is out before the deadline.
	s.atTime(q, q.deadline-quantaBeforeDeadline*s.settings.Quantum, func() { s.reject(q) })
	s.atTime(q, q.objectiveAt, func() { s.objectivePassed(q) })
	if keyed := s.keyQueueOf(q); keyed != nil {
		keyed.queries = append(keyed.queries, q)
		if keyed.queries[0] != q {
			s.rejectIfKeyQueueTooLong(q, keyed)
			return
		}
	}
	s.startInTurn(q)
}

// rejectIfKeyQueueTooLong rejects a query if those before it in its key's queue, each run alone,
// leave it no time. Rejected at once it comes back in its own time; a long queue that is kept is
// rejected in one moment when its head ends late, and its clients come back in one moment too.
func (s *Scheduler) rejectIfKeyQueueTooLong(q *query, keyed *keyQueue) {
	before := 0.0
	for _, earlier := range keyed.queries[:len(keyed.queries)-1] {
		before += s.expectedSeconds(earlier)
	}
	if s.now+seconds(before) > s.latestStart(q) {
		s.reject(q)
	}
}

// reject answers a query at once: with a deferral, by which its client may ask again, where that
// can't run it twice, else with an error.
func (s *Scheduler) reject(q *query) {
	if q.ended || q.answerStarted {
		return
	}
	if s.clientMayRetry(q) {
		s.actions.DeferQuery(q.id, s.retryAfterFor(q))
	} else {
		s.actions.FailQuery(q.id)
	}
	s.end(q)
	s.releaseEnded(q)
}

// retryAfterFor is when a rejected client is told to come back: at most half its own timeout.
func (s *Scheduler) retryAfterFor(q *query) time.Duration {
	return capped(s.retryAfter, q.group.timeout/2)
}

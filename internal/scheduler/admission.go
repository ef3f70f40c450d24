package scheduler

import "time"

const deadlineMarginQuanta = 2 // at which a query without an answer is rejected

// admit starts a query on its way, or rejects it where it can't be done in time. A draining
// controller rejects at once: the client can go elsewhere.
func (s *Scheduler) admit(q *query) {
	if s.draining {
		s.reject(q)
		return
	}
	s.learnFromArrival(q)
	s.addHealthCheckTokens()
	q.objectiveAt = s.objectiveTime(q)
	// Whatever else goes wrong, the answer is out before the deadline.
	s.runAt(q, q.deadline-deadlineMarginQuanta*s.settings.Quantum, func() { s.reject(q) })
	s.runAt(q, q.objectiveAt, func() { s.handleObjectivePassed(q) })
	if queue := s.keyQueueOf(q); queue != nil {
		queue.queries = append(queue.queries, q)
		if queue.queries[0] != q {
			s.rejectIfKeyQueueTooLong(q, queue)
			return
		}
	}
	s.startQuery(q)
}

// rejectIfKeyQueueTooLong rejects a query if those before it in its key's queue, each run alone,
// leave it no time. Rejected at once it comes back in its own time; a long queue that is kept is
// rejected in one moment when its head ends late, and its clients come back in one moment too.
func (s *Scheduler) rejectIfKeyQueueTooLong(q *query, queue *keyQueue) {
	before := 0.0
	for _, earlier := range queue.queries[:len(queue.queries)-1] {
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
	s.endQuery(q)
	s.releaseEnded(q)
}

// retryAfterFor is when a rejected client is told to come back: at most half its own timeout.
func (s *Scheduler) retryAfterFor(q *query) time.Duration {
	return capAt(s.retryAfter, q.group.timeout/2)
}

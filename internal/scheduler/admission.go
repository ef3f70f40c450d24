package scheduler

import "time"

const deadlineMarginQuanta = 2 // a query is rejected this many quanta before its deadline

// admit queues a query that has arrived, or rejects it if it can't be answered in time. A draining
// controller rejects every query at once, so that its client can go to another controller.
func (s *Scheduler) admit(q *query) {
	if s.draining {
		s.reject(q)
		return
	}
	s.learnFromArrival(q)
	s.addHealthCheckTokens()
	q.objectiveAt = s.objectiveTime(q)
	// Whatever happens to the query, its client gets an answer before the deadline.
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

// rejectIfKeyQueueTooLong rejects a query if the expected run times of the queries before it in its
// key's queue leave it too little time. A query that is rejected on arrival is retried at its own
// time. Queries that were kept in a long queue would be rejected together once its head ends late,
// and their clients would return together.
func (s *Scheduler) rejectIfKeyQueueTooLong(q *query, queue *keyQueue) {
	before := 0.0
	for _, earlier := range queue.queries[:len(queue.queries)-1] {
		before += s.expectedSeconds(earlier)
	}
	if s.now+seconds(before) > s.latestStart(q) {
		s.reject(q)
	}
}

// reject answers a query at once: with a deferral if a retry by its client can't have a second effect,
// otherwise with an error.
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

// retryAfterFor returns the delay after which a rejected client may retry: at most half its
// timeout.
func (s *Scheduler) retryAfterFor(q *query) time.Duration {
	return capAt(s.retryAfter, q.group.timeout/2)
}

package scheduler

import "time"

const deadlineMarginQuanta = 2 // a query is rejected this many quanta before its deadline

// admit learns from a query that has arrived, sets its timers, and starts the query unless earlier
// queries of its key are still open. The query is rejected at once if those would take too long. A
// draining controller rejects every query at once, so that its client can go to another controller.
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
// time. If a long queue of queries were kept instead, all of them would be rejected together once the
// first one ends late, and their clients would return together.
func (s *Scheduler) rejectIfKeyQueueTooLong(q *query, queue *keyQueue) {
	before := 0.0
	for _, earlier := range queue.queries[:len(queue.queries)-1] {
		before += s.expectedSeconds(earlier)
	}
	if s.now+seconds(before) > s.latestStart(q) {
		s.reject(q)
	}
}

// reject ends a query and answers it at once: with a deferral if a retry by its client can't have a
// second effect, otherwise with an error. reject does nothing if the query has ended or its client has
// received the start of the answer.
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

// retryAfterFor returns the delay after which the client of a rejected query may retry: at most half
// the timeout of the query's group, or 0 if the settings allow no delay.
func (s *Scheduler) retryAfterFor(q *query) time.Duration {
	return capAt(s.retryAfter, q.group.timeout/2)
}

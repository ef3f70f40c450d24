package scheduler

import "time"

// keyQueue holds the queries of one key in order of arrival. The first one may be sent; the next
// one may follow once the first has ended.
type keyQueue struct {
	queries       []*query
	cooldownUntil time.Duration // the engine may still run an ended attempt until then
	cooldownQuery *query        // query of that attempt, which may be retried meanwhile
}

// remove removes q and reports whether it was in the queue.
func (k *keyQueue) remove(q *query) bool { return removeFrom(&k.queries, q) }

// keyQueueOf returns the queue of a query's key, nil if its group doesn't order queries by key.
func (s *Scheduler) keyQueueOf(q *query) *keyQueue {
	if !q.group.fifoByKey || q.key < 0 {
		return nil
	}
	queue := s.keyQueues[q.key]
	if queue == nil {
		queue = &keyQueue{}
		s.keyQueues[q.key] = queue
	}
	return queue
}

// startQuery adds a query that is first in its key's queue, or isn't ordered by key, to its chain
// or its group's queue. During the cooldown of its key, the query waits.
func (s *Scheduler) startQuery(q *query) {
	if q.ended {
		return
	}
	if queue := s.keyQueueOf(q); queue != nil && s.now < queue.cooldownUntil {
		s.runAt(q, queue.cooldownUntil, func() { s.startQuery(q) })
		return
	}
	if q.group.isLoad {
		s.joinChain(q)
	} else {
		s.enqueue(q)
	}
}

// startKeyCooldown delays the next query of a key after an attempt that the engine may still run.
func (s *Scheduler) startKeyCooldown(a *attempt) {
	if queue := s.keyQueueOf(a.query); queue != nil && a.outcome.mayStillRun() {
		queue.cooldownUntil = s.now + s.settings.KeyCooldown
		queue.cooldownQuery = a.query
	}
}

// startNextInKeyQueue removes an ended query from its key's queue, and starts the next one if the
// ended query was first.
func (s *Scheduler) startNextInKeyQueue(q *query) {
	queue := s.keyQueueOf(q)
	if queue == nil {
		return
	}
	first := len(queue.queries) > 0 && queue.queries[0] == q
	queue.remove(q)
	if first && len(queue.queries) > 0 {
		s.startQuery(queue.queries[0])
	}
}

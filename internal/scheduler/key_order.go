package scheduler

import "time"

// keyQueue holds the queries of one key in the order in which they arrived. The first may be sent;
// the others follow once it has ended.
type keyQueue struct {
	queries       []*query
	cooldownUntil time.Duration // an engine may still be at work on an ended attempt
	cooldownQuery *query        // whose attempt it was; this query may go on
}

func (k *keyQueue) remove(q *query) bool { return removeFrom(&k.queries, q) }

// keyQueueOf is the queue that a query stands in by its key, nil if its group asks for no order.
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

// startInTurn puts the first query of a key, or one without order, into its chain or its group's
// queue, once its key no longer rests.
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

// restKey keeps a key's next query back after an end that may leave the engine at work.
func (s *Scheduler) startKeyCooldown(a *attempt) {
	if queue := s.keyQueueOf(a.query); queue != nil && a.outcome.mayStillRun() {
		queue.cooldownUntil = s.now + s.settings.KeyCooldown
		queue.cooldownQuery = a.query
	}
}

// startNextOfKey takes an ended query out of its key's queue, and starts the next if it was first.
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

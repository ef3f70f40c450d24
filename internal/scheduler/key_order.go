package scheduler

import "time"

// keyQueue holds the queries of one key in the order in which they arrived. The first may be sent;
// the others follow once it has ended.
type keyQueue struct {
	queries      []*query
	restingUntil time.Duration // an engine may still be at work on an ended attempt
	restingAfter *query        // whose attempt it was; this query may go on
}

func (k *keyQueue) remove(q *query) bool { return removeFrom(&k.queries, q) }

// keyQueueOf is the queue that a query stands in by its key, nil if its group asks for no order.
func (s *Scheduler) keyQueueOf(q *query) *keyQueue {
	if !q.group.fifoByKey || q.key < 0 {
		return nil
	}
	keyed := s.keyQueues[q.key]
	if keyed == nil {
		keyed = &keyQueue{}
		s.keyQueues[q.key] = keyed
	}
	return keyed
}

// startInTurn puts the first query of a key, or one without order, into its chain or its group's
// queue, once its key no longer rests.
func (s *Scheduler) startInTurn(q *query) {
	if q.ended {
		return
	}
	if keyed := s.keyQueueOf(q); keyed != nil && s.now < keyed.restingUntil {
		s.atTime(q, keyed.restingUntil, func() { s.startInTurn(q) })
		return
	}
	if q.group.isLoad {
		s.joinChain(q)
	} else {
		s.enqueue(q)
	}
}

// restKey keeps a key's next query back after an end that may leave the engine at work.
func (s *Scheduler) restKey(a *attempt) {
	if keyed := s.keyQueueOf(a.query); keyed != nil && a.outcome.mayStillRun() {
		keyed.restingUntil = s.now + s.settings.KeyCooldown
		keyed.restingAfter = a.query
	}
}

// startNextOfKey takes an ended query out of its key's queue, and starts the next if it was first.
func (s *Scheduler) startNextOfKey(q *query) {
	keyed := s.keyQueueOf(q)
	if keyed == nil {
		return
	}
	first := len(keyed.queries) > 0 && keyed.queries[0] == q
	keyed.remove(q)
	if first && len(keyed.queries) > 0 {
		s.startInTurn(keyed.queries[0])
	}
}

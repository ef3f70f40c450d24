package fairqueue

import (
	"time"
)

// Next dispatches the lane's next query and returns it, or returns nil if no waiting query may be
// dispatched. The scheduler must be able to take one more query of the lane. The next query is the
// lane's oldest one if it has reached Config.AgeingLimit and is eligible, otherwise the one that
// nextByVirtualTime returns, unless that one must yield to another lane.
//
// If the selected query is not the first of its chain, Next dispatches the first one instead: it
// has to run earlier, and its own tenant may not be selected for a long time.
func (fq *Queue) Next(now time.Duration, lane int) *Query {
	fq.advance(now)
	l := &fq.lanes[lane]
	if l.waiting == 0 || l.dispatched >= maxDispatchedPerLane {
		return nil
	}
	for {
		q := l.waitingByAge.First().Value
		if fq.now-q.ArrivedAt < fq.config.AgeingLimit || !q.eligible {
			if q = fq.nextByVirtualTime(lane); q == nil || fq.mustYield(q) {
				return nil
			}
		}
		head := q.blockingChainHead()
		switch {
		case head == nil:
			fq.dispatch(q, l)
			return q
		case head.eligible && head.Lane == lane:
			fq.dispatch(head, l)
			return head
		}
		fq.makeIneligible(q) // until the head of its chain becomes eligible or leaves
		q.parked = true
		q.orders[chainOrder].order.parked++
	}
}

// nextByVirtualTime returns the oldest eligible query of the tenant with the least virtual start
// time, chosen level by level from the root. Tenants beyond their quota are only considered if no
// tenant within its quota has an eligible query.
func (fq *Queue) nextByVirtualTime(lane int) *Query {
	n := fq.root
	for n.queues == nil {
		candidates := n.heaps[withinQuota][lane]
		if len(candidates) == 0 {
			candidates = n.heaps[beyondQuota][lane]
		}
		if len(candidates) == 0 {
			return nil
		}
		n = candidates[0]
	}
	return n.queues[lane].First().Value
}

// mustYield reports whether a query has to wait although its lane has capacity. If queries of
// another lane wait for capacity, the engines are full, and a tenant that is further ahead of its
// share than allowedLead leaves the capacity to the other lanes.
func (fq *Queue) mustYield(q *Query) bool {
	if !fq.isContended(q.Lane) {
		return false
	}
	return q.leaf.lead(len(fq.lanes)) > fq.allowedLead(q.leaf)
}

// isContended reports whether a query of another lane waits for engine capacity.
func (fq *Queue) isContended(exceptLane int) bool {
	for i := range fq.lanes {
		if l := &fq.lanes[i]; i != exceptLane && l.schedulerFull && l.waiting > 0 {
			return true
		}
	}
	return false
}

// allowedLead returns how far a tenant may be ahead of its share before its queries yield to other
// lanes, in thread seconds.
func (fq *Queue) allowedLead(n *node) float64 {
	return max(yieldLeadSeconds*n.share()*fq.capacity(), 1e-3)
}

// yieldLeadSeconds is the lead from which a tenant yields, in seconds of its share of the engines.
const yieldLeadSeconds = 3.0

// dispatch hands a query to the scheduler and charges its estimated work.
func (fq *Queue) dispatch(q *Query, l *laneState) {
	fq.dequeue(q, l)
	q.state = stateDispatched
	fq.recordLaneRatio(q.Lane, q.estimatedWork)
	if l.Chained {
		fq.chainDispatched(q, l)
	}
	if l.atCapacity {
		fq.typicalInFlight.add(fq.inFlightWorkLeft(), 100)
	}
	fq.inFlightWork += q.estimatedWork
	fq.runningThreads += l.Threads
	q.remainingWork, q.serviceAtDispatch = q.estimatedWork, fq.servicePerThread
	q.charged = max(0, q.estimatedWork-q.credit)
	fq.charge(q.leaf, q.Lane, q.charged)
	l.dispatched++
	l.dispatchedWork += q.estimatedWork
	fq.running.Append(&q.queueElement, q)
}

// dequeue removes a query from its lane, its tenant's queue, its chain's order and the backlogs.
// The query stays in the order of its key.
func (fq *Queue) dequeue(q *Query, l *laneState) {
	fq.makeIneligible(q)
	l.waitingByAge.Remove(&q.ageElement)
	// From here on the scheduler keeps the order of the chain. The next query of the key becomes
	// eligible when this query ends.
	fq.leaveOrder(q, chainOrder)
	l.waiting--
	fq.waiting--
	q.leaf.waiting--
	q.leaf.dequeuedWork[q.Lane] += q.estimatedWork
	for n := q.leaf; n.parent != nil; n = n.parent {
		n.waitingBelow--
		if n.backlog[q.Lane] -= q.estimatedWork; n.queues != nil && n.waiting == 0 {
			n.backlog[q.Lane] = 0 // clears accumulated rounding errors
		}
	}
	if fq.root.backlog[q.Lane] -= q.estimatedWork; l.waiting == 0 {
		fq.root.backlog[q.Lane] = 0
	}
}

// maxDispatchedPerLane limits the dispatched queries of a lane that the scheduler holds back for
// reasons other than capacity, such as locked tables and chains.
const maxDispatchedPerLane = 256

// SetLaneFull records whether the scheduler accepts no more queries of a lane. Queue.workDone
// measures the engines' throughput while any lane is at capacity.
func (fq *Queue) SetLaneFull(now time.Duration, lane int, full bool) {
	fq.advance(now)
	l := &fq.lanes[lane]
	// Queries are dispatched as soon as there is capacity. A lane that was full therefore stays at
	// capacity until there is capacity and no waiting query to use it.
	if l.atCapacity = full || l.atCapacity && l.waiting > 0; l.atCapacity == l.previouslyAtCapacity {
		l.schedulerFull = full
		return
	}
	l.schedulerFull, l.previouslyAtCapacity = full, l.atCapacity
	lanesAtCapacity := 0
	for k := range fq.lanes {
		if fq.lanes[k].atCapacity {
			lanesAtCapacity++
		}
	}
	fq.workDone.setSaturated(fq.now, lanesAtCapacity > 0)
}

package fairqueue

import (
	"time"
)

// Next dispatches the query that goes next in a lane and returns it, or nil if no waiting query
// may go. The scheduler must be ready for one more query of the lane.
//
// If the query whose turn it is stands behind another one of its chain, that one goes in its
// place: it has to go first, and the turn of its own tenant may be far off.
func (f *Queue) Next(now time.Duration, i int) *Query {
	f.advance(now)
	l := &f.lanes[i]
	if l.waiting == 0 || l.dispatched >= maxDispatched {
		return nil
	}
	for {
		q := l.byAge.First().Value
		if f.now-q.ArrivedAt < f.config.AgeingLimit || !q.eligible {
			if q = f.nextInTurn(i); q == nil || f.yields(q) {
				return nil
			}
		}
		b := q.chainPredecessor()
		switch {
		case b == nil:
			f.dispatch(q, l)
			return q
		case b.eligible && b.Lane == i:
			f.dispatch(b, l)
			return b
		}
		f.makeIneligible(q) // until the one before it may go, or is gone
		q.parked = true
		q.orders[chainOrder].order.parked++
	}
}

// nextInTurn walks down the tree to the tenant with the least virtual start time among those
// within their quotas, or, if none of them has a query that may go, among those beyond.
func (f *Queue) nextInTurn(i int) *Query {
	n := f.root
	for n.queues == nil {
		h := n.heaps[withinQuota][i]
		if len(h) == 0 {
			h = n.heaps[beyondQuota][i]
		}
		if len(h) == 0 {
			return nil
		}
		n = h[0]
	}
	return n.queues[i].First().Value
}

// yields reports whether a query leaves the engines to other lanes: there is capacity for it in
// its own lane, but queries of other lanes find none in theirs. The engines are full then, and a
// tenant that is ahead of its share, or beyond its quota, yields to those.
func (f *Queue) yields(q *Query) bool {
	if !f.contended(q.Lane) {
		return false
	}
	return q.leaf.lead(len(f.lanes)) > f.allowedLead(q.leaf)
}

// contended reports whether a query waits in another lane because the engines have no capacity.
func (f *Queue) contended(but int) bool {
	for i := range f.lanes {
		if l := &f.lanes[i]; i != but && l.full && l.waiting > 0 {
			return true
		}
	}
	return false
}

// allowedLead is how far a tenant may be ahead of its share before it yields, in thread seconds.
func (f *Queue) allowedLead(n *node) float64 {
	return max(maxLeadSeconds*n.share()*f.capacity(), 1e-3)
}

// maxLeadSeconds is in seconds of a tenant's share of the engines.
const maxLeadSeconds = 3.0

// dispatch hands a query to the scheduler and charges its estimated work.
func (f *Queue) dispatch(q *Query, l *lane) {
	f.dequeue(q, l)
	q.state = stateDispatched
	f.recordLaneRatio(q.Lane, q.estimatedWork)
	if l.Chained {
		f.chainDispatched(q, l)
	}
	if l.atCapacity {
		f.typicalInFlight.add(f.inFlightWorkLeft(), 100)
	}
	f.inFlightWork += q.estimatedWork
	f.runningThreads += l.Threads
	q.remainingWork, q.serviceAtDispatch = q.estimatedWork, f.servicePerThread
	q.charged = max(0, q.estimatedWork-q.credit)
	f.charge(q.leaf, q.Lane, q.charged)
	l.dispatched++
	l.dispatchedWork += q.estimatedWork
	f.running.Append(&q.turnElement, q)
}

// dequeue takes a query out of all that it waits in.
func (f *Queue) dequeue(q *Query, l *lane) {
	f.makeIneligible(q)
	l.byAge.Remove(&q.ageElement)
	// The scheduler keeps a chain's order from here on. A key's next turn comes with the query's end.
	f.leaveOrder(q, chainOrder)
	l.waiting--
	f.waiting--
	q.leaf.waiting--
	q.leaf.dequeuedWork[q.Lane] += q.estimatedWork
	for x := q.leaf; x.parent != nil; x = x.parent {
		x.waitingBelow--
		if x.backlog[q.Lane] -= q.estimatedWork; x.queues != nil && x.waiting == 0 {
			x.backlog[q.Lane] = 0 // without the rounding of what was added and taken off
		}
	}
	if f.root.backlog[q.Lane] -= q.estimatedWork; l.waiting == 0 {
		f.root.backlog[q.Lane] = 0
	}
}

// maxDispatched bounds the queries of a lane that the scheduler holds for other reasons than
// capacity: locked tables, chains.
const maxDispatched = 256

// SetLaneFull records whether the scheduler would take no more queries of a lane.
func (f *Queue) SetLaneFull(now time.Duration, i int, full bool) {
	f.advance(now)
	l := &f.lanes[i]
	// A query goes whenever there is capacity for it: the lane is at its capacity until there is
	// some and no query left to use it.
	if l.atCapacity = full || l.atCapacity && l.waiting > 0; l.atCapacity == l.wasAtCapacity {
		l.full = full
		return
	}
	l.full, l.wasAtCapacity = full, l.atCapacity
	busy := 0
	for k := range f.lanes {
		if f.lanes[k].atCapacity {
			busy++
		}
	}
	f.workDone.setSaturated(f.now, busy > 0)
}

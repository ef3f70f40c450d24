package fairqueue

import (
	"time"
)

// Admission is the answer to a query that arrived.
type Admission struct {
	Admitted     bool
	WaitEstimate time.Duration // until the query starts, or if rejected until it might
	Reason       RejectReason
}

// RejectReason says why a query was not admitted.
type RejectReason int

// The reasons. The first is that of an admitted query.
const (
	NotRejected       RejectReason = iota
	WouldStartTooLate              // its client would be gone before it ended
	WaitTooLong                    // it would wait longer than ageing allows
	TenantQueueFull                // too many queries of its tenant wait
	QueueFull                      // too many queries wait in all
)

var rejectReasonTexts = [...]string{
	NotRejected:       "",
	WouldStartTooLate: "it would start too late",
	WaitTooLong:       "it would wait longer than any may",
	TenantQueueFull:   "too many of its team wait",
	QueueFull:         "too many wait",
}

// String returns the reason as log messages have it.
func (r RejectReason) String() string { return rejectReasonTexts[r] }

// Enqueue admits a query or rejects it with the wait after which it may be retried. Next
// dispatches admitted queries.
func (f *Queue) Enqueue(now time.Duration, q *Query) Admission {
	f.advance(now)
	n := f.node(q.Tenant)
	q.leaf = n
	q.enqueuedAt = f.now
	q.ArrivedAt = f.now
	n.counts.Arrived++
	f.Total.Arrived++
	f.takeOverRepeat(q)
	q.estimatedWork = f.usualWork(n, q.Lane)
	admission, wait := f.decideAdmission(q)
	if !admission.Admitted {
		f.reject(q, n)
		return admission
	}
	f.recordArrival(q)
	f.lastSequence++
	q.sequence = f.lastSequence
	q.state = stateWaiting
	q.WaitEstimate = wait
	q.expectedStart = f.now + wait
	f.insertWaiting(q)
	return admission
}

// takeOverRepeat gives a repeated call the age and the charge of the call that it repeats.
func (f *Queue) takeOverRepeat(q *Query) {
	if q.RepeatOf == 0 {
		return
	}
	was, ok := f.repeats.take(q.RepeatOf)
	if !ok || was.tenant != q.Tenant {
		return
	}
	q.ArrivedAt = was.arrived
	q.credit = was.charged
	q.leaf.counts.Repeated++
	f.Total.Repeated++
}

// decideAdmission checks a query's wait estimate against the bounds. wait is the estimate that
// an admitted query is queued with.
func (f *Queue) decideAdmission(q *Query) (admission Admission, wait time.Duration) {
	n := q.leaf
	estimate := f.estimateWait(q)
	wait = estimate
	// A query behind others of its tenant is not admitted to grow old. The first of a tenant is:
	// ageing brings its turn whatever its weight.
	limit := f.config.AgeingLimit*3/5 - (q.enqueuedAt - q.ArrivedAt)
	if n.queues[q.Lane].First() == nil {
		wait = min(estimate, f.config.AgeingLimit)
		limit = wait
	}
	run := seconds(f.usualRunSeconds(&f.lanes[q.Lane]))
	switch {
	case n.waiting >= n.maxWaiting:
		return Admission{Reason: TenantQueueFull, WaitEstimate: wait}, wait
	case f.waiting >= f.config.MaxWaiting:
		return Admission{Reason: QueueFull, WaitEstimate: wait}, wait
	case f.now+wait+run > q.Deadline:
		return Admission{Reason: WouldStartTooLate, WaitEstimate: wait}, wait
	case wait > max(limit, f.config.AgeingLimit/5):
		return Admission{Reason: WaitTooLong, WaitEstimate: wait}, wait
	}
	return Admission{Admitted: true, WaitEstimate: estimate}, wait
}

// recordArrival adds an admitted query to the arrival rates; in a surge it counts for less.
func (f *Queue) recordArrival(q *Query) {
	n := q.leaf
	leastSurge := minSurgeQueries * f.largestUsualWork()
	usual := q.estimatedWork / f.surge.add(f.now, q.estimatedWork, f.totalArrivalRate(), leastSurge)
	n.arrivalRates[q.Lane].add(f.now, usual)
	f.lanes[q.Lane].arrivals.add(f.now, usual)
	q.workAhead = n.backlog[q.Lane] + n.dequeuedWork[q.Lane]
	if q.NotifyChanges && !q.subscribed && len(f.subscribers) < maxSubscribers {
		q.subscribed = true
		f.subscribers = append(f.subscribers, q)
	}
}

// insertWaiting puts an admitted query into its lane, its orders and, if it may go, its
// tenant's queue.
func (f *Queue) insertWaiting(q *Query) {
	l := &f.lanes[q.Lane]
	f.addActive(q.leaf)
	q.leaf.waiting++
	f.waiting++
	l.waiting++
	f.addBacklog(q)
	l.insert(q)
	if l.Ordered && q.Key >= 0 {
		f.joinOrder(q, keyOrder, q.Key)
	}
	if l.Chained {
		f.joinOrder(q, chainOrder, q.Chain)
	}
	if q.firstOfItsKey() {
		f.makeEligible(q)
	}
}

// addBacklog counts a query among those that wait, up to the root.
func (f *Queue) addBacklog(q *Query) {
	for x := q.leaf; x.parent != nil; x = x.parent {
		if x.waitingBelow++; x.waitingBelow == 1 {
			x.catchUp(len(f.lanes))
		}
		x.backlog[q.Lane] += q.estimatedWork
	}
	f.root.backlog[q.Lane] += q.estimatedWork
}

// reject counts a rejected query and remembers it for its repeat.
func (f *Queue) reject(q *Query, n *node) {
	n.counts.Deferred++
	f.Total.Deferred++
	f.rememberForRepeat(q)
	q.state = stateAbsent
	if n.busy == 0 {
		f.idle.Remove(&n.idleElement)
		n.idleSince = f.now
		f.idle.Append(&n.idleElement, n)
	}
}

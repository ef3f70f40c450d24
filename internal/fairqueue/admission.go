package fairqueue

import (
	"time"
)

// Admission is the result of Enqueue.
type Admission struct {
	Admitted     bool
	WaitEstimate time.Duration // until the query starts or, if it was rejected, until a retry could start
	Reason       RejectReason
}

// RejectReason tells why a query was not admitted.
type RejectReason int

// The reasons for a rejection. An admitted query has NotRejected.
const (
	NotRejected       RejectReason = iota
	WouldStartTooLate              // the query would not end before its client's deadline
	WaitTooLong                    // the estimated wait exceeds what ageing allows
	TenantQueueFull                // the tenant has reached its limit of waiting queries
	QueueFull                      // all tenants together have reached Config.MaxWaiting
)

var rejectReasonTexts = [...]string{
	NotRejected:       "",
	WouldStartTooLate: "query would start too late for its deadline",
	WaitTooLong:       "estimated wait exceeds the limit",
	TenantQueueFull:   "too many queries of its team are waiting",
	QueueFull:         "too many queries are waiting",
}

// String returns the text for log messages.
func (r RejectReason) String() string { return rejectReasonTexts[r] }

// Enqueue admits a query, or rejects it and estimates the wait after which a retry could start.
// Next dispatches admitted queries.
func (fq *Queue) Enqueue(now time.Duration, q *Query) Admission {
	fq.advance(now)
	leaf := fq.node(q.Tenant)
	q.leaf = leaf
	q.enqueuedAt = fq.now
	q.ArrivedAt = fq.now
	leaf.counts.Arrived++
	fq.Total.Arrived++
	fq.inheritFromRepeated(q)
	q.estimatedWork = fq.expectedWork(leaf, q.Lane)
	admission, wait := fq.decideAdmission(q)
	if !admission.Admitted {
		fq.reject(q, leaf)
		return admission
	}
	fq.recordArrival(q)
	fq.lastSequence++
	q.sequence = fq.lastSequence
	q.state = stateWaiting
	q.WaitEstimate = wait
	q.expectedStart = fq.now + wait
	fq.insertWaiting(q)
	return admission
}

// inheritFromRepeated gives a repeated call the arrival time and the charge of the call that it repeats.
func (fq *Queue) inheritFromRepeated(q *Query) {
	if q.RepeatOf == 0 {
		return
	}
	earlier, found := fq.repeats.take(q.RepeatOf)
	if !found || earlier.tenant != q.Tenant {
		return
	}
	q.ArrivedAt = earlier.arrived
	q.credit = earlier.charged
	q.leaf.counts.Repeated++
	fq.Total.Repeated++
}

// decideAdmission checks a query against the queue limits, its deadline and the ageing limit.
// wait is the estimate that is recorded for the query if it is admitted.
func (fq *Queue) decideAdmission(q *Query) (admission Admission, wait time.Duration) {
	leaf := q.leaf
	estimate := fq.estimateWait(q)
	wait = estimate
	// A query behind others of its tenant is rejected if its age at the start would exceed three
	// fifths of the ageing limit, unless its wait is at most a fifth of the limit. For the first query
	// of a tenant, ageing bounds the wait whatever the tenant's weight, so the estimate is capped
	// instead.
	limit := fq.config.AgeingLimit*3/5 - (q.enqueuedAt - q.ArrivedAt)
	if leaf.queues[q.Lane].First() == nil {
		wait = min(estimate, fq.config.AgeingLimit)
		limit = wait
	}
	expectedRun := seconds(fq.expectedRunSeconds(&fq.lanes[q.Lane]))
	switch {
	case leaf.waiting >= leaf.maxWaiting:
		return Admission{Reason: TenantQueueFull, WaitEstimate: wait}, wait
	case fq.waiting >= fq.config.MaxWaiting:
		return Admission{Reason: QueueFull, WaitEstimate: wait}, wait
	case fq.now+wait+expectedRun > q.Deadline:
		return Admission{Reason: WouldStartTooLate, WaitEstimate: wait}, wait
	case wait > max(limit, fq.config.AgeingLimit/5):
		return Admission{Reason: WaitTooLong, WaitEstimate: wait}, wait
	}
	return Admission{Admitted: true, WaitEstimate: estimate}, wait
}

// recordArrival adds an admitted query to the arrival rates, divided by the surge factor while a
// surge lasts, and subscribes it to changes of its estimate if its client asked for them.
func (fq *Queue) recordArrival(q *Query) {
	leaf := q.leaf
	minSurgeWork := minSurgeQueries * fq.largestMeanWork()
	countedWork := q.estimatedWork / fq.surge.add(fq.now, q.estimatedWork, fq.totalArrivalRate(), minSurgeWork)
	leaf.arrivalRates[q.Lane].add(fq.now, countedWork)
	fq.lanes[q.Lane].arrivals.add(fq.now, countedWork)
	q.workAhead = leaf.backlog[q.Lane] + leaf.dequeuedWork[q.Lane]
	if q.NotifyChanges && !q.subscribed && len(fq.subscribers) < maxSubscribers {
		q.subscribed = true
		fq.subscribers = append(fq.subscribers, q)
	}
}

// insertWaiting adds an admitted query to its lane, to the orders of its key and chain and, if it
// is eligible, to its tenant's queue.
func (fq *Queue) insertWaiting(q *Query) {
	l := &fq.lanes[q.Lane]
	fq.addActive(q.leaf)
	q.leaf.waiting++
	fq.waiting++
	l.waiting++
	fq.addBacklog(q)
	l.insert(q)
	if l.Ordered && q.Key >= 0 {
		fq.joinOrder(q, keyOrder, q.Key)
	}
	if l.Chained {
		fq.joinOrder(q, chainOrder, q.Chain)
	}
	if q.isFirstOfKey() {
		fq.makeEligible(q)
	}
}

// addBacklog adds a waiting query's estimated work to its tenant and all ancestors.
func (fq *Queue) addBacklog(q *Query) {
	for n := q.leaf; n.parent != nil; n = n.parent {
		if n.waitingBelow++; n.waitingBelow == 1 {
			n.catchUp(len(fq.lanes))
		}
		n.backlog[q.Lane] += q.estimatedWork
	}
	fq.root.backlog[q.Lane] += q.estimatedWork
}

// reject counts a rejected query and remembers its arrival time for a repeated call. A tenant
// without other queries is idle from now.
func (fq *Queue) reject(q *Query, leaf *node) {
	leaf.counts.Deferred++
	fq.Total.Deferred++
	fq.rememberForRepeat(q)
	q.state = stateAbsent
	if leaf.activeQueries == 0 {
		fq.idleNodes.Remove(&leaf.idleElement)
		leaf.idleSince = fq.now
		fq.idleNodes.Append(&leaf.idleElement, leaf)
	}
}

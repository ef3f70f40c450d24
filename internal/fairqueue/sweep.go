package fairqueue

import (
	"time"
)

// Sweep must be called every SweepInterval. It charges running queries for the work used so far,
// calls setLowered for each query whose priority is to be lowered or raised again, and calls
// notifyWait for each waiting query whose client asked for changes of its estimate and whose estimate
// changed by more than Config.NotifyThreshold. It also settles deferred charges, and drops the state of idle
// tenants and expired repeatable calls. After a jump of the clock it charges at most maxSweepSpan.
func (fq *Queue) Sweep(now time.Duration, setLowered func(q *Query, lowered bool),
	notifyWait func(q *Query, wait time.Duration)) {
	fq.advance(now)
	span := min(fq.now-fq.sweptAt, maxSweepSpan)
	fq.servicePerThread += span.Seconds() * min(1, fq.cores/max(1, fq.runningThreads))
	fq.sweptAt = fq.now
	fq.settleDeferredCharges(span)
	if fq.waiting > 0 {
		fq.lastWaitingAt = fq.now
	}
	maxWaitingValue := fq.maxWaitingValue()
	for e := fq.running.First(); e != nil; e = e.Next() {
		e.Value.leaf.overrunRate = 0
	}
	inFlight, overrun := 0.0, 0.0
	for e := fq.running.First(); e != nil; e = e.Next() {
		q := e.Value
		if q.state != stateRunning {
			q.serviceAtDispatch = fq.servicePerThread
			inFlight += q.remainingWork
			continue
		}
		work := fq.chargeRunning(q, span)
		inFlight += q.remainingWork
		if work > 2*q.estimatedWork {
			overrun += fq.recordOverrun(q, work)
		}
		fq.updatePriority(q, work, maxWaitingValue, setLowered)
	}
	fq.overrunRate = overrun
	if fq.waiting > 0 {
		fq.meanOverrunRate.add(overrun, 200)
	}
	fq.inFlightWork = inFlight // recomputed, as rounding errors of increments and decrements accumulate
	if notifyWait != nil {
		fq.notifyChangedWaits(notifyWait)
	}
	fq.dropIdle()
	fq.repeats.dropExpired(fq.now)
}

// maxWaitingValue returns the highest value per work of the lanes with waiting queries.
func (fq *Queue) maxWaitingValue() float64 {
	maximum := 0.0
	for i := range fq.lanes {
		if l := &fq.lanes[i]; l.waiting > 0 {
			maximum = max(maximum, l.valuePerWork())
		}
	}
	return maximum
}

// chargeRunning counts a span as run time of a running query and returns the thread seconds that it has
// probably used: its run time times its threads, divided by the mean slowdown of its lane, less its credit.
// It charges the query for what these exceed its charge so far.
func (fq *Queue) chargeRunning(q *Query, span time.Duration) (work float64) {
	l := &fq.lanes[q.Lane]
	q.runSeconds += min(span, fq.now-q.sweptAt).Seconds()
	q.sweptAt = fq.now
	servedSeconds := fq.servicePerThread - q.serviceAtDispatch
	q.remainingWork = max(0.05*q.estimatedWork, q.estimatedWork-l.Threads*servedSeconds)
	work = q.runSeconds*l.Threads/max(1, l.slowdown.valueOr(1)) - q.credit
	if work > q.charged {
		fq.correctCharge(q.leaf, work-q.charged)
		q.charged = work
	}
	return work
}

// recordOverrun records a query that runs far beyond its estimated work, and returns the thread
// seconds that it uses per second. It adds to workDone the work of the query that was not added before.
func (fq *Queue) recordOverrun(q *Query, work float64) (rate float64) {
	l := &fq.lanes[q.Lane]
	rate = l.Threads / max(1, l.slowdown.valueOr(1))
	q.leaf.overrunRate += rate
	fq.workDone.add(fq.now, max(0, work-q.countedWork)/fq.cores)
	q.countedWork = max(q.countedWork, work)
	return rate
}

// updatePriority lowers a running query's priority or raises it again. While queries wait, it lowers
// queries that overrun, whose tenant is over its quota, or that have less than half the value per work
// of the best waiting lane. Queries of ordered and chained lanes are never lowered.
func (fq *Queue) updatePriority(q *Query, work, maxWaitingValue float64,
	setLowered func(q *Query, lowered bool)) {
	l := &fq.lanes[q.Lane]
	lowered := fq.now-fq.lastWaitingAt < priorityRaiseDelay && !l.Ordered && !l.Chained &&
		(work > fq.config.OverrunFactor*q.estimatedWork || fq.isOverQuota(q.leaf) ||
			l.valuePerWork() < maxWaitingValue/2)
	if lowered == q.priorityLowered {
		return
	}
	q.priorityLowered = lowered
	if lowered {
		q.leaf.counts.PriorityLowered++
		fq.Total.PriorityLowered++
	}
	if setLowered != nil {
		setLowered(q, lowered)
	}
}

// priorityRaiseDelay is the time without waiting queries after which lowered priorities are raised
// again. On engines that are nearly full, queries wait every now and then, and priorities would
// otherwise change constantly.
const priorityRaiseDelay = 2 * time.Second

const (
	// SweepInterval is the interval at which the owner calls Sweep.
	SweepInterval = 100 * time.Millisecond

	maxSweepSpan = time.Second
)

// isOverQuota reports whether a tenant or one of its ancestors is over its quota.
func (fq *Queue) isOverQuota(n *node) bool {
	for ; n.parent != nil; n = n.parent {
		if n.overQuota {
			return true
		}
	}
	return false
}

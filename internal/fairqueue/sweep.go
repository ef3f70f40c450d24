package fairqueue

import (
	"time"
)

// Sweep is called every SweepInterval. It charges running queries for what they have used so
// far, calls lower for each query whose priority is to be lowered (on) or raised again, and
// calls retell for each waiting query that asked for changes of its estimate and whose estimate
// changed by much. After a jump of the clock it charges no more than maxSweepSpan.
func (f *Queue) Sweep(now time.Duration, lower func(q *Query, on bool),
	retell func(q *Query, wait time.Duration)) {
	f.advance(now)
	span := min(f.now-f.sweptAt, maxSweepSpan)
	f.servicePerThread += span.Seconds() * min(1, f.cores/max(1, f.runningThreads))
	f.sweptAt = f.now
	f.settleDebts(span)
	if f.waiting > 0 {
		f.lastWaitingAt = f.now
	}
	waitingValue := f.waitingValue()
	for e := f.running.First(); e != nil; e = e.Next() {
		e.Value.leaf.overrunRate = 0
	}
	inFlight, overrun := 0.0, 0.0
	for e := f.running.First(); e != nil; e = e.Next() {
		q := e.Value
		if q.state != stateRunning {
			q.serviceAtDispatch = f.servicePerThread
			inFlight += q.remainingWork
			continue
		}
		work := f.chargeRunning(q, span)
		inFlight += q.remainingWork
		if work > 2*q.estimatedWork {
			overrun += f.recordOverrun(q, work)
		}
		f.updatePriority(q, work, waitingValue, lower)
	}
	f.overrunRate = overrun
	if f.waiting > 0 {
		f.overrunMean.add(overrun, 200)
	}
	f.inFlightWork = inFlight // anew: the rounding of what was added and taken off adds up
	if retell != nil {
		f.notifyChangedWaits(retell)
	}
	f.dropIdle()
	f.repeats.dropExpired(f.now)
}

// waitingValue is the greatest value for its work of the lanes in which queries wait.
func (f *Queue) waitingValue() float64 {
	most := 0.0
	for i := range f.lanes {
		if l := &f.lanes[i]; l.waiting > 0 {
			most = max(most, l.valuePerWork())
		}
	}
	return most
}

// chargeRunning charges a running query for a span and returns the thread seconds that it is
// thought to have used: by the usual slowdown of its lane, of the threads that it holds.
func (f *Queue) chargeRunning(q *Query, span time.Duration) (work float64) {
	l := &f.lanes[q.Lane]
	q.ranSeconds += min(span, f.now-q.sweptAt).Seconds()
	q.sweptAt = f.now
	served := f.servicePerThread - q.serviceAtDispatch
	q.remainingWork = max(0.05*q.estimatedWork, q.estimatedWork-l.Threads*served)
	work = q.ranSeconds*l.Threads/max(1, l.slowdown.valueOr(1)) - q.credit
	if work > q.charged {
		f.correctCharge(q.leaf, work-q.charged)
		q.charged = work
	}
	return work
}

// recordOverrun counts a query that runs far beyond its usual work, and returns the thread time
// a second that it takes.
func (f *Queue) recordOverrun(q *Query, work float64) (pace float64) {
	l := &f.lanes[q.Lane]
	pace = l.Threads / max(1, l.slowdown.valueOr(1))
	q.leaf.overrunRate += pace
	f.workDone.add(f.now, max(0, work-q.measuredWork)/f.cores)
	q.measuredWork = max(q.measuredWork, work)
	return pace
}

// updatePriority lowers a running query's priority, or raises it again. While queries wait, those
// are lowered that overrun, whose tenant is over its quota, or that are worth much less for
// their work than what waits. Ordered and chained queries never are.
func (f *Queue) updatePriority(q *Query, work, waitingValue float64, lower func(q *Query, on bool)) {
	l := &f.lanes[q.Lane]
	on := f.now-f.lastWaitingAt < raisePriorityAfter && !l.Ordered && !l.Chained &&
		(work > f.config.OverrunFactor*q.estimatedWork || f.anyOverQuota(q.leaf) ||
			l.valuePerWork() < waitingValue/2)
	if on == q.lowered {
		return
	}
	q.lowered = on
	if on {
		q.leaf.counts.PriorityLowered++
		f.Total.PriorityLowered++
	}
	if lower != nil {
		lower(q, on)
	}
}

// raisePriorityAfter is how long nobody must have waited before lowered priorities are raised
// again: where engines are nearly full somebody waits every other moment.
const raisePriorityAfter = 2 * time.Second

const (
	// SweepInterval is the time between two calls of Sweep.
	SweepInterval = 100 * time.Millisecond

	maxSweepSpan = time.Second
)

func (f *Queue) anyOverQuota(n *node) bool {
	for ; n.parent != nil; n = n.parent {
		if n.overQuota {
			return true
		}
	}
	return false
}

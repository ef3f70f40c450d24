package fairqueue

import "railrelay.dev/railrelay/internal/intrusivelist"

// laneState is the state of one resource group's queue.
type laneState struct {
	Lane

	// Waiting queries.
	waitingByAge    intrusivelist.List[Query] // all of them, oldest first
	waiting         int
	eligibleTenants int // tenants with an eligible query

	// Engine capacity, see SetLaneFull.
	atCapacity, previouslyAtCapacity bool // current value, and value at the last change
	schedulerFull                    bool // the scheduler accepted no more queries when last asked

	// Dispatched queries whose first attempt is not sent yet, and their thread seconds.
	dispatched     int
	dispatchedWork float64

	// Measurements.
	meanWork   runningMean // thread seconds of a query
	slowdown   runningMean // run time over the run time on an idle engine
	runSeconds runningMean // run time of a query
	arrivals   arrivalRate // of admitted queries
	sample     competitorSample
	correction estimateCorrection
}

// insert adds a query in the order of arrival. A repeated call has the arrival time of the call that
// it repeats, so it can precede queries that are already waiting.
func (l *laneState) insert(q *Query) {
	at := l.waitingByAge.Last()
	for at != nil && at.Value.ArrivedAt > q.ArrivedAt {
		at = at.Previous()
	}
	l.waitingByAge.InsertAfter(&q.ageElement, q, at)
}

// removeDispatched removes a query from dispatched and dispatchedWork. It is called when the query's first
// attempt is sent, or when the query ends before that.
func (l *laneState) removeDispatched(q *Query) {
	if l.dispatched--; l.dispatched == 0 {
		l.dispatchedWork = 0
	} else {
		l.dispatchedWork -= q.estimatedWork
	}
}

// valuePerWork returns the priority weight of the lane's queries divided by their mean work.
func (l *laneState) valuePerWork() float64 {
	return l.PriorityWeight / l.meanWork.valueOr(max(1e-4, l.InitialWorkEstimate.Seconds()))
}

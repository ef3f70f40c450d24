package fairqueue

import "railrelay.dev/railrelay/internal/intrusivelist"

// lane is the state of one resource group's queue.
type lane struct {
	Lane

	// Waiting queries.
	byAge           intrusivelist.List[Query] // all that wait
	waiting         int
	eligibleTenants int // with a query that may go

	// Capacity.
	atCapacity, wasAtCapacity bool // now, and at the last change
	full                      bool // the scheduler would take no more when last asked

	// Dispatched queries that are not sent yet, and their thread seconds.
	dispatched     int
	dispatchedWork float64

	// What was learned.
	usualCost  runningMean // thread seconds of a query
	slowdown   runningMean // run time over the run time alone
	runSeconds runningMean // from start to end
	arrivals   arrivalRate // of admitted queries
	profile    rivalProfile
	correction estimateCorrection
}

// insert puts a query into the lane by age: a repeated call stands further ahead.
func (l *lane) insert(q *Query) {
	at := l.byAge.Last()
	for at != nil && at.Value.ArrivedAt > q.ArrivedAt {
		at = at.Previous()
	}
	l.byAge.InsertAfter(&q.ageElement, q, at)
}

func (l *lane) removeDispatched(q *Query) {
	if l.dispatched--; l.dispatched == 0 {
		l.dispatchedWork = 0
	} else {
		l.dispatchedWork -= q.estimatedWork
	}
}

// valuePerWork is the priority weight of the lane's queries over their usual work.
func (l *lane) valuePerWork() float64 {
	return l.PriorityWeight / l.usualCost.valueOr(max(1e-4, l.InitialWorkEstimate.Seconds()))
}

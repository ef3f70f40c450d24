package fairqueue

import "railrelay.dev/railrelay/internal/intrusivelist"

// lane is the state of one resource group.
type lane struct {
	Lane
	byAge                     intrusivelist.List[Query] // all that wait
	waiting                   int
	atCapacity, wasAtCapacity bool        // it is at its capacity
	full                      bool        // the decisions would take no more when last asked
	usualCost                 runningMean // thread seconds of a query
	slowdown                  runningMean // time taken over time alone
	runSeconds                runningMean // seconds from start to end
	profile                   rivalProfile
	dispatched                int         // handed on and not sent
	dispatchedWork            float64     // thread seconds of those
	eligibleTenants           int         // with a query that may go
	arrivals                  arrivalRate // of those let in
	correction                estimateCorrection
}

// add puts a query at the lane's end, by age: a repeat stands further ahead.
func (l *lane) insert(q *Query) {
	at := l.byAge.Last()
	for at != nil && at.Value.Arrived > q.Arrived {
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

// worth is what a query of the lane is worth for its work.
func (l *lane) valuePerWork() float64 {
	return l.PriorityWeight / l.usualCost.valueOr(max(1e-4, l.UsualWork.Seconds()))
}

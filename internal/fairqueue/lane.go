package fairqueue

import "railrelay.dev/railrelay/internal/intrusivelist"

// lane is the state of one resource group.
type lane struct {
	Lane
	byAge         intrusivelist.List[Waiter] // all that wait
	waiting       int
	busy, wasBusy bool // it is at its capacity
	full          bool // the decisions would take no more when last asked
	cost          mean // thread seconds of a query
	stretch       mean // time taken over time alone
	run           mean // seconds from start to end
	profile       profile
	handed        int     // handed on and not sent
	passed        float64 // thread seconds of those
	teams         int     // with a query that may go
	comes         rate    // of those let in
	trim          trim
}

// add puts a query at the lane's end, by age: a repeat stands further ahead.
func (l *lane) add(w *Waiter) {
	at := l.byAge.Last()
	for at != nil && at.Value.Arrived > w.Arrived {
		at = at.Previous()
	}
	l.byAge.InsertAfter(&w.inAge, w, at)
}

func (l *lane) unpass(w *Waiter) {
	if l.handed--; l.handed == 0 {
		l.passed = 0
	} else {
		l.passed -= w.est
	}
}

// worth is what a query of the lane is worth for its work.
func (l *lane) worth() float64 { return l.Value / l.cost.or(max(1e-4, l.Usual.Seconds())) }

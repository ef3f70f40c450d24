package fair

// lane is the state of one resource group.
type lane struct {
	Lane
	oldest, newest *Waiter // of all that wait
	waiting        int
	busy, wasBusy  bool // it is at its capacity
	full           bool // the decisions would take no more when last asked
	cost           mean // thread seconds of a query
	stretch        mean // time taken over time alone
	run            mean // seconds from start to end
	profile        profile
	handed         int     // handed on and not sent
	passed         float64 // thread seconds of those
	teams          int     // with a query that may go
	comes          rate    // of those let in
	trim           trim
}

// append puts a query at the lane's end, by age: a repeat stands further ahead.
func (l *lane) append(w *Waiter) {
	at := l.newest
	for at != nil && at.Arrived > w.Arrived {
		at = at.older
	}
	w.older = at
	if at != nil {
		w.newer, at.newer = at.newer, w
	} else {
		w.newer, l.oldest = l.oldest, w
	}
	if w.newer != nil {
		w.newer.older = w
	} else {
		l.newest = w
	}
}

func (l *lane) remove(w *Waiter) {
	if w.older != nil {
		w.older.newer = w.newer
	} else {
		l.oldest = w.newer
	}
	if w.newer != nil {
		w.newer.older = w.older
	} else {
		l.newest = w.older
	}
	w.older, w.newer = nil, nil
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

package controller

import "time"

// callPacer limits how many calls of one connection start in a sweepInterval, so that a client that sends
// each call as soon as another is answered does not take the time of all others. The zero value is ready to
// use.
type callPacer struct {
	// nextStart is when the next call would start if all calls were spread evenly.
	nextStart time.Duration
}

// delay returns how long a call that arrived at now has to wait before it starts: not at all if the calls of
// the last sweepInterval are at most MaxMessagesPerSweep, and no longer than MaxOpenQueries calls take.
func (p *callPacer) delay(now time.Duration, limits *ClientLimits) time.Duration {
	interval := sweepInterval / time.Duration(limits.MaxMessagesPerSweep)
	longest := interval * time.Duration(limits.MaxOpenQueries)
	p.nextStart = min(max(p.nextStart, now)+interval, now+sweepInterval+longest)
	return max(0, p.nextStart-now-sweepInterval)
}

// paceCall returns how long an accepted call has to wait for the pace of its connection. The call doesn't
// count towards MaxMessagesPerSweep, since MaxOpenQueries limits how many are accepted.
func (cl *client) paceCall() time.Duration {
	cl.messageCost = 0
	return cl.pacer.delay(cl.now, cl.limits)
}

// maxPacedShare is the part of a query's timeout that the pacer may take, as a divisor.
const maxPacedShare = 4

// dispatchPaced dispatches a query that was just accepted, at the pace of its connection. A query that keeps
// the order of its key does not wait: one that came later on another connection could pass it.
func (cl *client) dispatchPaced(q *query, call *queryCall) {
	from := call.from
	delay := min(cl.paceCall(), call.timeout/maxPacedShare)
	if delay == 0 || q.key != nil {
		// dispatch after all received bytes are read: a query that is cancelled in the same read is not sent
		cl.enqueueCallback(func() { cl.dispatch(q, from) })
		return
	}
	cl.counters.pacedCalls++
	from.Fields = from.Fields.Clone() // the fields point into the connection's buffer
	cl.runAfter(delay, func() { cl.dispatch(q, from) })
}

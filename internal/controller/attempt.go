package controller

import (
	"time"

	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/spool"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// attempt is one submission of a query to an engine. An attempt is not tied to a connection: each call that
// polls its outcome goes out on any free connection to the engine.
//
// An attempt is queued until the first byte of its request may be written (sent). From the first response on
// the controller polls it until the outcome is known. Its flags are only set, never cleared:
//
//	sent          the request may have been written
//	settled       after sent: the request has arrived at the engine, or never will
//	ended         the controller does nothing more for the attempt except cancel it. Set by finish (the engine
//	              reported the outcome or is unreachable) or by withdrawAttempt (the controller gave it up)
//	outcomeKnown  after ended: at once, or, with mustProveEnd, once the attempt is certainly over at the engine
//	reported      after outcomeKnown: the scheduler was told the outcome, within the same step
//
// The controller forgets a query once the query is answered and all of its attempts are reported.
type attempt struct {
	*Controller
	query         *query
	engine        *engine
	number        int               // index in query.attempts
	policyVersion uint64            // policy version that decided the attempt, 0 without peers
	permit        *WritePermit      // guards the write of the request, nil before that write
	deadlineTimer *timerqueue.Timer // withdraws the attempt at the deadline
	startedAt     time.Duration
	deadline      time.Duration
	endedAt       time.Duration // when the outcome became known

	// progress, see above
	sent           bool
	submitCallDone bool // the call that carries the request has ended, with any result
	settled        bool
	onSettled      []func()
	ended          bool
	outcomeKnown   bool
	outcome        scheduler.Outcome
	reported       bool

	// how long the engine may retain the query, see provenOver
	callsInFlight int           // written calls that extend the retention and may still arrive
	lastArrival   time.Duration // latest time at which a call no longer in flight may have arrived
	polledAt      time.Duration // when a call that extends the retention was last written

	// polling
	maybeForgotten  bool          // unreachable since the last response: an error may mean an unknown query
	staleNotesUntil time.Duration // progress notes before this time may predate the loss of the query
	pollRetryDelay  time.Duration // delay before the next poll after a failed one
	lastResponseAt  time.Duration // when the last valid response came, or the request was written
	lastCallText    string        // result of the last call, for the log
	// avoidsDuplicates is set once a result may have been another query's: further calls use only connections
	// that can't deliver a duplicate any more.
	avoidsDuplicates bool

	sentPriority    int  // priority that the engine was last told
	prioritySending bool // a call that changes the priority is in progress

	// result, collected in memory unless the client reads page by page
	pages     [][]byte
	pageCount int // pages of the whole result
	pageBytes int // size of pages
	// emptyReported is set once the engine has reported a result without rows.
	emptyReported bool
	work          time.Duration
	memoryMB      float64

	// result in the spool
	result         *spool.Result
	spooledPages   int
	released       bool // the engine was told that it may drop the result
	resultPromised bool // the spool keeps the result until its client has read it or it expires
}

const (
	// engineRetention is how long an engine retains a query that is not polled.
	engineRetention = 2 * time.Second
	// longPollTimeout is how long an engine holds a poll while it has no news. During that time the
	// query counts as polled.
	longPollTimeout = 250 * time.Millisecond
	// maxNetworkDelay bounds how long after the end of its connection a message may still arrive.
	maxNetworkDelay = 50 * time.Millisecond
	// submitWriteTimeout bounds the time from the step that emits a request to its first byte. If the
	// process stalls in between, the client may have left, and the protocol allows no query to start
	// more than 0.1 s after that. A later write counts as not sent, and the scheduler decides again.
	submitWriteTimeout = 75 * time.Millisecond
	// minPollRetryDelay and maxPollRetryDelay bound the delay before a failed poll is retried, so that an
	// engine that closes every connection is not dialled in a tight loop.
	minPollRetryDelay = 10 * time.Millisecond
	maxPollRetryDelay = engineRetention / 4
)

// startAttempt submits a query to an engine, as the scheduler decided. While an earlier attempt of the query
// is being cancelled at that engine, the new attempt waits. It is withdrawn after the time within, or at the
// query's deadline if within is 0.
func (c *Controller) startAttempt(q *query, e *engine, within time.Duration) {
	deadline := q.deadline
	if within != 0 {
		deadline = min(deadline, c.now+within)
	}
	a := &attempt{
		Controller: c,
		query:      q,
		engine:     e,
		number:     len(q.attempts),
		startedAt:  c.now,
		deadline:   deadline,
	}
	q.attempts = append(q.attempts, a)
	e.unreportedAttempts++
	if c.fairQueue != nil {
		c.fairQueue.attemptStarted(q)
	}
	c.counters.attempts++
	a.deadlineTimer = c.timers.Add(deadline, func() { c.withdrawAttempt(a, scheduler.TimedOut) })
	// the engine identifies attempts by query id alone: cancelling the first would end the second, too
	if e.isCancelling(q.id) {
		e.waitingForID = append(e.waitingForID, a)
		return
	}
	a.send()
}

// finish ends an attempt whose outcome is certain: the engine no longer runs the query, or the controller
// cannot learn whether it does.
func (a *attempt) finish(outcome scheduler.Outcome) {
	if !a.ended {
		a.ended = true
		a.report(outcome)
	}
}

// report records the outcome, discards the pages of a result that was not promised to the client, and tells
// the scheduler before the step ends.
func (a *attempt) report(outcome scheduler.Outcome) {
	a.pages = nil
	if a.paging != nil {
		a.paging.discard(a)
	}
	a.timers.Cancel(a.deadlineTimer)
	a.counters.attemptEnds[outcome]++
	a.outcomeKnown = true
	a.outcome = outcome
	took := a.now - a.startedAt
	a.endedAt = a.now
	if a.TraceQueries {
		a.trace(a.logFields(), "reported %s after %v, %s", outcomeNames[outcome], took, a.lastCallText)
	}
	if outcome != scheduler.Finished && outcome != scheduler.Cancelled {
		a.logWithFields(a.logFields(), outcomeNames[outcome]+" after "+took.String()+", "+a.lastCallText)
	}
	a.enqueueCallback(func() {
		a.reported = true
		a.engine.unreportedAttempts--
		q := a.query
		a.scheduler.AttemptEnded(a.now, q.id, a.number, outcome, took, q.answered, a.work, a.memoryMB, nil)
		a.releaseIfOver(q)
	})
}

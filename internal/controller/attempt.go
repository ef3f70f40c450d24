package controller

import (
	"time"

	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/spool"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// attempt is one submission of a query to an engine. It is tied to no connection: what becomes of it is
// polled, call by call, on whatever connection is free.
//
// It is queued until the first byte of its request is let go (sent), and polled from the first response
// on until its outcome is known. Its flags are only ever set, never cleared:
//
//	sent          its request may have left
//	settled       after sent: its request has arrived, or never will
//	ended         nothing more is done for it but cancelling; by finish (the engine told the outcome, or
//	              it is out of reach) or by withdrawAttempt (given up here)
//	outcomeKnown  after ended: at once, or, where mustProveEnd, when it is certainly over at its engine
//	reported      after outcomeKnown: the scheduler was told, within the same step
//
// The query is forgotten once it is answered and all of its attempts are reported.
type attempt struct {
	*Controller
	query         *query
	engine        *engine
	number        int               // from 0
	policyVersion uint64            // that it was decided by, 0 without peers
	permit        *WritePermit      // of the write of its request, from when that is handed over
	deadlineTimer *timerqueue.Timer // withdraws it
	startedAt     time.Duration
	deadline      time.Duration
	endedAt       time.Duration // when the outcome was known

	// progress, see above
	sent           bool
	submitCallDone bool // the call with the request has ended, whatever it came to
	settled        bool
	onSettled      []func()
	ended          bool
	outcomeKnown   bool
	outcome        scheduler.Outcome
	reported       bool

	// how long its engine may retain it, see provenOver
	callsInFlight int           // written calls that make the engine retain it, while they may arrive
	lastArrival   time.Duration // the latest that one which is no longer in flight may have arrived
	polledAt      time.Duration // when such a call was last written

	// polling
	maybeForgotten  bool          // out of reach since the last response: an error may mean unknown there
	staleNotesUntil time.Duration // notes before this may be older than its being forgotten
	pollRetryDelay  time.Duration // before the next poll after a failed one
	lastResponseAt  time.Duration // when the last readable response came, or the first call was made
	lastCallText    string        // what its last call came to, for the log

	sentPriority    int  // that its engine was last told
	prioritySending bool // a change of it is under way

	// its result, collected here unless the client reads page by page
	pages     [][]byte
	pageCount int // that the result has
	pageBytes int // of pages
	work      time.Duration
	memoryMB  float64

	// its result in the spool
	result         *spool.Result
	spooledPages   int
	released       bool // the engine was told that it may forget it
	resultPromised bool // the spool keeps it until its client has read it or it expires
}

const (
	// engineRetention is how long an engine retains a query that nobody polls.
	engineRetention = 2 * time.Second
	// longPollTimeout is how long an engine holds a poll without news; meanwhile the query counts as
	// polled.
	longPollTimeout = 250 * time.Millisecond
	// maxNetworkDelay is for what is in the network when its connection ends.
	maxNetworkDelay = 50 * time.Millisecond
	// submitWriteTimeout bounds the time from the step that lets a request go to its first byte. The
	// process may stand still there and the client leave meanwhile, for whom nothing may start more than
	// 0.1 s later. What takes longer counts as not sent, and the scheduler decides again.
	submitWriteTimeout = 75 * time.Millisecond
	// minPollRetryDelay and maxPollRetryDelay bound the pause before a call is repeated that came to nothing.
	// An engine that ends every connection must not be dialled in a loop.
	minPollRetryDelay = 10 * time.Millisecond
	maxPollRetryDelay = engineRetention / 4
)

// startAttempt submits a query to an engine, as the scheduler decided. The attempt is withdrawn after
// within, or at the query's deadline if within is 0.
func (c *Controller) startAttempt(q *query, e *engine, within time.Duration) {
	deadline := q.deadline
	if within != 0 {
		deadline = min(deadline, c.now+within)
	}
	s := &attempt{
		Controller: c,
		query:      q,
		engine:     e,
		number:     len(q.attempts),
		startedAt:  c.now,
		deadline:   deadline,
	}
	q.attempts = append(q.attempts, s)
	e.unreportedAttempts++
	if c.fairQueue != nil {
		c.fairQueue.attemptStarted(q)
	}
	c.counters.attempts++
	s.deadlineTimer = c.timers.Add(deadline, func() { c.withdrawAttempt(s, scheduler.TimedOut) })
	// an engine can't tell two attempts of one query apart: cancelling the first would end the second
	if e.isCancelling(q.id) {
		e.waitingForID = append(e.waitingForID, s)
		return
	}
	s.send()
}

// finish ends an attempt whose outcome is certain: nothing of it runs any more, or whether it does can't
// be learned.
func (s *attempt) finish(outcome scheduler.Outcome) {
	if !s.ended {
		s.ended = true
		s.report(outcome)
	}
}

// report tells the scheduler the outcome, before the step ends.
func (s *attempt) report(outcome scheduler.Outcome) {
	s.pages = nil
	if s.paging != nil {
		s.paging.discard(s)
	}
	s.timers.Cancel(s.deadlineTimer)
	s.counters.attemptEnds[outcome]++
	s.outcomeKnown = true
	s.outcome = outcome
	took := s.now - s.startedAt
	s.endedAt = s.now
	if s.TraceQueries {
		s.trace(s.logFields(), "told %s after %v, %s", outcomeNames[outcome], took, s.lastCallText)
	}
	if outcome != scheduler.Finished && outcome != scheduler.Cancelled {
		s.logWithFields(s.logFields(), outcomeNames[outcome]+" after "+took.String()+", "+s.lastCallText)
	}
	s.enqueueCallback(func() {
		s.reported = true
		s.engine.unreportedAttempts--
		q := s.query
		s.scheduler.AttemptEnded(s.now, q.id, s.number, outcome, took, q.answered, s.work, s.memoryMB, nil)
		s.forgetQuery(q)
	})
}

package controller

import (
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/enginehttp"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/spool"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// submission is one sending of a query to an engine. It is tied to no
// connection: what is known of it is asked for, call by call.
type attempt struct {
	*Controller
	query          *query
	engine         *engine
	number         int
	startedAt      time.Duration
	endedAt        time.Duration // when its end was told
	deadline       time.Duration
	permit         *WritePermit     // of its first byte, from when it was handed over to be written
	sent           bool             // its first byte was let go
	submitCallOver bool             // the call that starts it has come out, in one way or another
	settled        bool             // the call that starts it can't arrive any more, or has
	ended          bool             // no more is done for it
	outcomeKnown   bool             // and how is known: outcome
	reported       bool             // and the decisions know
	polledAt       time.Duration    // when its news were last asked for
	callsInFlight  int              // calls that it is kept for, under way: written, and their lines not gone
	lastArrival    time.Duration    // when the last of the others may have arrived at the latest
	onSettled      []func()         // waits for settled
	deadlineTimer  *timerqueue.Item // when it is given up at the latest

	maybeForgotten  bool          // it went unheard of since the last word: it may be forgotten there
	staleNotesUntil time.Duration // until when a word that it runs is an old one: it went unasked for so long that it may have been dropped
	repollPause     time.Duration // before it is asked for once more
	sentPriority    int           // the priority last sent
	prioritySending bool          // a change of it is under way
	pages           [][]byte
	pageCount       int // how many there are
	pageBytes       int // bytes of them
	work            time.Duration
	memoryMB        float64
	readableAt      time.Duration // when an answer last could be read, or the first call was made
	lastCallText    string        // its last call's result, for the log

	outcome       scheduler.Outcome
	policyVersion uint64 // of the policy it was decided by, where there are peers

	// where its client reads page by page
	result         *spool.Result
	spooledPages   int  // pages
	released       bool // its engine was told that it may forget it
	resultPromised bool // the result is promised
}

// An engine keeps a query for forgets while nobody asks for it, and holds a call
// for news until newsMost has passed: so long somebody asks. onTheWay is for what
// is on the network when its line ends.
const (
	engineRetention = 2 * time.Second
	longPollTimeout = 250 * time.Millisecond
	networkDelay    = 50 * time.Millisecond
)

// beginMost bounds what may pass between the step that lets a first byte go and the write: the
// process may stand still there, and its client leave meanwhile, for whom nothing may begin more
// than 0.1 s later. What takes longer is held to be not sent, and decided anew.
const submitWriteTimeout = 75 * time.Millisecond

// gone: it is over at its engine, whether that was heard to answer or not, since it
// went unasked for as long as engines keep it. Together with came, giveUp and landed this
// decides when a submission is over; docs/design.md has the table. A call may arrive as
// long as its line stands, and no less is counted than it was let wait for its answer: by
// our clock alone it would be over too soon where we stood still ourselves meanwhile.
//
// Where nothing may be cancelled an engine may work on, asked or not: what keeps order is over then
// only once it was heard to be, or with the time that its engine was told to have.
func (s *attempt) certainlyOver() bool {
	kept := max(s.lastArrival, s.polledAt+responseTimeout+networkDelay) + longPollTimeout + engineRetention
	if s.query.group.inOrder && !s.mayCancel {
		kept = max(kept, s.deadline+networkDelay+longPollTimeout+engineRetention)
	}
	return s.callsInFlight == 0 && s.now >= kept
}

// landed: a call for it, written once, was answered or its line is gone; what is on its
// way then may still arrive.
func (request *call) arrivalKnown() {
	if s := request.attempt; s != nil && request.keepsQuery {
		way := networkDelay
		if request.answered {
			way = 0
		}
		s.callsInFlight--
		s.lastArrival = max(s.lastArrival, s.now+way)
		if request.startsAttempt {
			s.runAfter(way, s.markSettled)
		}
	}
}

func (c *Controller) startAttempt(q *query, e *engine, within time.Duration) {
	until := q.deadline
	if within != 0 {
		until = min(until, c.now+within)
	}
	s := &attempt{Controller: c, query: q, engine: e, number: len(q.attempts), startedAt: c.now, deadline: until}
	q.attempts = append(q.attempts, s)
	e.unreportedAttempts++
	if c.fairQueue != nil {
		c.fairQueue.attemptStarted(q)
	}
	c.counters.attempts++
	s.deadlineTimer = c.timers.Add(until, func() { c.withdrawAttempt(s, scheduler.TimedOut) })
	// two of one id at one engine can't be told apart: what ends the first would
	// end the second
	if e.isCancelling(q.id) {
		e.waitingForID = append(e.waitingForID, s)
		return
	}
	s.send()
}

func (e *engine) isCancelling(id string) bool {
	for _, s := range e.cancelling {
		if s.query.id == id {
			return true
		}
	}
	return false
}

func (s *attempt) send() {
	if s.ended || s.servingLease != nil && !s.servingLease.permitSend(s) {
		return
	}
	request := &call{method: "POST", engine: s.engine, attempt: s, validResponse: s.responseCheck(0), startsAttempt: true, keepsQuery: true,
		encode: func(dst []byte) []byte {
			s.sent, s.polledAt, s.readableAt, s.sentPriority = true, s.now, s.now, s.query.effectivePriority()
			if s.number == 0 {
				s.counters.recordFirstByte(s.now - s.query.receivedAt)
			}
			return enginehttp.Submit(dst, s.engine.address, s.query.id, s.query.groupName, s.query.idempotencyKey, s.deadline-s.now,
				s.query.memoryGrantMB, s.sentPriority, s.query.statement)
		},
		onResult: func(as callResult, status int, field func(string) string, body []byte) {
			s.callDone(0, as, status, field, body)
			s.submitCallOver = true
		}}
	request.stillWanted = func() bool {
		// it may have waited for its turn, a descriptor or its connection: what it was decided on is asked anew
		by := min(s.deadline, s.scheduler.StartDeadline(s.query.id, s.number), s.now+submitWriteTimeout)
		fit := !s.ended && !s.query.answered && s.now < by && s.engine.state == scheduler.EngineActive
		s.permit = NewWritePermit(by)
		if fit && s.servingLease != nil && !s.servingLease.permitSend(s) {
			request.done, fit = true, false // it came to nothing here: another starts it once it may go
		}
		return fit
	}
	s.startCall(request)
}

// settle: the call that starts it has arrived, or never will.
func (s *attempt) markSettled() {
	s.settled = true
	for _, do := range s.onSettled {
		do()
	}
	s.onSettled = nil
}

func (s *attempt) responseCheck(page int) func(int, func(string) string, []byte) bool {
	return func(status int, field func(string) string, body []byte) bool {
		return enginehttp.Fits(page, status, field, body)
	}
}

// ask asks for the query's news, or for a page of its result.
func (s *attempt) poll(page int) {
	s.startCall(&call{method: "GET", engine: s.engine, attempt: s, isPoll: page == 0, keepsQuery: true, validResponse: s.responseCheck(page),
		stillWanted: func() bool { return !s.ended },
		encode: func(dst []byte) []byte {
			if s.now > s.polledAt+engineRetention {
				s.maybeForgotten, s.staleNotesUntil = true, s.now+2*longPollTimeout
			}
			s.polledAt = s.now
			return enginehttp.Ask(dst, s.engine.address, s.query.id, page)
		},
		onResult: func(as callResult, status int, field func(string) string, body []byte) {
			s.callDone(page, as, status, field, body)
		}})
}

// came is what a call for it came to.
func (s *attempt) callDone(page int, as callResult, status int, field func(string) string, body []byte) {
	if s.ended {
		return
	}
	s.lastCallText = callResultNames[as] + " " + strconv.Itoa(status) + " on page " + strconv.Itoa(page)
	switch {
	case as == callAnswered:
		s.repollPause, s.readableAt = 0, s.now
		if s.loadReportsInResponses {
			if report := enginehttp.Load(field); report != nil {
				s.runSoon(func() { s.scheduler.Reported(s.now, s.engine.id, report) })
			}
		}
		enginehttp.Hear(page, status, field, body, &responseHandler{s})
	case !s.sent && as == callNotSent, !s.submitCallOver && as == callNotWritten:
		// a connection that ends says nothing against its engine
		s.finish(scheduler.NeverSent)
	case !s.sent:
		s.finish(scheduler.Unreachable)
	case s.processDied(as):
		s.finish(scheduler.ConnectionReset)
	case as == callMalformedResponse && s.now-s.readableAt >= engineRetention:
		s.withdrawAttempt(s, scheduler.ConnectionReset) // it is not one answer that was spoilt on its way
	case s.certainlyOver():
		s.finish(scheduler.TimedOut) // if it still ran there, it has been forgotten by now
	default:
		// the call or its answer may have been lost and the query not: another
		// connection tells, its end and its pages too, as often as they are asked for.
		// Not at once: an engine that ends every connection must not make us spin
		s.counters.repolls++
		s.maybeForgotten = true
		s.repollPause = min(max(2*s.repollPause, 10*time.Millisecond), engineRetention/4)
		s.runAfter(s.repollPause, func() {
			if !s.ended {
				s.poll(page)
			}
		})
	}
}

// hearing keeps the words of an engine's answer apart from what s can do.
type responseHandler struct{ *attempt }

// Runs: after it went unasked for longer than engines keep a query, what was noted before it was
// dropped comes first, as fast as it is asked for, and looks like life.
func (h *responseHandler) Runs() {
	h.maybeForgotten = h.now < h.staleNotesUntil
	h.poll(0)
}

func (h *responseHandler) Note(sign scheduler.NoteKind, x float64) {
	s := h.attempt
	s.counters.progressNotes++
	s.runSoon(func() {
		if !s.ended {
			s.scheduler.Note(s.now, s.query.id, s.number, sign, x)
		}
	})
}

func (h *responseHandler) Finished(work time.Duration, memoryMB float64) {
	h.work, h.memoryMB, h.pages = work, memoryMB, nil
}

func (h *responseHandler) Page(number, of int, rows []byte) {
	s := h.attempt
	if s.query.spooled != nil {
		if number == s.spooledPages && !s.released {
			s.paging.addPage(s, number, of, rows)
		}
		return
	}
	if number == 0 {
		s.pages = make([][]byte, 0, min(of, 64))
		s.pageCount = of
	}
	if s.pageBytes += len(rows); s.pageBytes > s.maxMessageBytes {
		s.finish(scheduler.Failed)
		return
	}
	s.pages = append(s.pages, append([]byte{}, rows...))
	if len(s.pages) < s.pageCount && !s.query.answered { // it is over there, and nobody wants the others
		s.poll(len(s.pages))
		return
	}
	if !s.query.answered {
		s.answerFinished(s.query, s.pages)
	}
	s.finish(scheduler.Finished)
}

// Ends: an error after it went unheard of may just mean that it is not known
// there. It is no end: the call that starts it may have come to a machine that
// has not taken it up yet, and still runs it, for all this one says. Where order
// is asked for it is given up, so that the next of its key never overtakes it.
// Where there is none the engine, which answers, is not to be held to have died.
func (h *responseHandler) Ends(outcome scheduler.Outcome) {
	if h.maybeForgotten && outcome == scheduler.Failed && h.mustProveEnd() {
		h.withdrawAttempt(h.attempt, scheduler.ConnectionReset)
		return
	}
	h.finish(outcome)
}

// end is an end that is certain: nothing of it runs any more, or how it runs on
// can't be known.
func (s *attempt) finish(outcome scheduler.Outcome) {
	if !s.ended {
		s.ended = true
		s.report(outcome)
	}
}

func (s *attempt) report(outcome scheduler.Outcome) {
	s.pages = nil
	if s.paging != nil {
		s.paging.discard(s)
	}
	s.timers.Drop(s.deadlineTimer)
	s.counters.attemptEnds[outcome]++
	s.outcomeKnown, s.outcome = true, outcome
	took := s.now - s.startedAt
	s.endedAt = s.now
	if s.TraceQueries {
		s.trace(s.logFields(), "told %s after %v, %s", outcomeNames[outcome], took, s.lastCallText)
	}
	if outcome != scheduler.Finished && outcome != scheduler.Cancelled {
		s.logAbout(s.logFields(), outcomeNames[outcome]+" after "+took.String()+", "+s.lastCallText)
	}
	s.runSoon(func() {
		s.reported = true
		s.engine.unreportedAttempts--
		s.scheduler.Ended(s.now, s.query.id, s.number, outcome, took, s.query.answered, s.work, s.memoryMB, nil)
		s.forgetQuery(s.query)
	})
}

// withdraw gives a submission up. The decisions hear of it at once where it
// may overlap with what comes next; where order is asked for, or no second
// copy may be out, not before it is over at the engine: it was given up
// there, its process is gone, or it went unasked for as long as engines keep it.
func (c *Controller) withdrawAttempt(s *attempt, outcome scheduler.Outcome) {
	if s.ended {
		return
	}
	s.ended = true
	s.permit.Revoke()
	if c.TraceQueries {
		c.trace(s.logFields(), "withdrawn")
	}
	if !s.sent {
		s.report(scheduler.NeverSent)
		return
	}
	late := s.mustProveEnd()
	s.engine.cancelling = append(s.engine.cancelling, s)
	over := func() {
		s.engine.cancelDone(s)
		if late {
			s.report(outcome)
		}
	}
	if !late {
		s.report(outcome)
	}
	c.cancelAtEngine(s, func() {
		if s.settled {
			over()
			return
		}
		// what ended it may have overtaken what started it
		s.onSettled = append(s.onSettled, func() { c.cancelAtEngine(s, over) })
	})
}

// late: its end must be certain before it is told.
func (s *attempt) mustProveEnd() bool { return s.query.group.inOrder || !s.mayHedge }

// died: its process is no more, by all there is to see. A process that ends takes
// its connections with it; a refusal while one stands just says that it takes no
// more of them, and with none of ours left it may say that too.
func (s *attempt) processDied(as callResult) bool {
	return as == callRefused && !s.engine.hasConnection() && !s.mustProveEnd()
}

// giveUp ends it at its engine, asking until that came whole or is moot.
func (c *Controller) cancelAtEngine(s *attempt, then func()) {
	c.startCall(&call{method: "DELETE", engine: s.engine, attempt: s, validResponse: enginehttp.FitsDone,
		encode: func(dst []byte) []byte { return enginehttp.GiveUp(dst, s.engine.address, s.query.id) },
		onResult: func(as callResult, _ int, _ func(string) string, _ []byte) {
			if as == callAnswered || s.processDied(as) || s.certainlyOver() {
				then()
				return
			}
			c.runAfter(networkDelay, func() { c.cancelAtEngine(s, then) })
		}})
}

// left lets those that waited for it go.
func (e *engine) cancelDone(s *attempt) {
	for i, x := range e.cancelling {
		if x == s {
			e.cancelling = append(e.cancelling[:i], e.cancelling[i+1:]...)
			break
		}
	}
	waiting := e.waitingForID
	e.waitingForID = nil
	for _, w := range waiting {
		if e.isCancelling(w.query.id) {
			e.waitingForID = append(e.waitingForID, w)
		} else {
			w.send()
		}
	}
}

// rank passes a change of priority on to what is out.
func (c *Controller) sendPriority(s *attempt) {
	if !s.sent || s.ended || s.released || s.prioritySending || s.query.effectivePriority() == s.sentPriority {
		return
	}
	s.prioritySending, s.sentPriority = true, s.query.effectivePriority()
	c.startCall(&call{method: "PUT", engine: s.engine, attempt: s, validResponse: enginehttp.FitsDone, stillWanted: func() bool { return !s.ended },
		encode: func(dst []byte) []byte { return enginehttp.Rank(dst, s.engine.address, s.query.id, s.sentPriority) },
		onResult: func(callResult, int, func(string) string, []byte) {
			s.prioritySending = false
			c.sendPriority(s) // it may have changed again meanwhile
		}})
}

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
type submission struct {
	*Controller
	q       *query
	e       *engine
	try     int
	at      time.Duration
	endedAt time.Duration // when its end was told
	until   time.Duration
	permit  *WritePermit     // of its first byte, from when it was handed over to be written
	sent    bool             // its first byte was let go
	posted  bool             // the call that starts it has come out, in one way or another
	settled bool             // the call that starts it can't arrive any more, or has
	ended   bool             // no more is done for it
	certain bool             // and how is known: outcome
	told    bool             // and the decisions know
	askedAt time.Duration    // when its news were last asked for
	open    int              // calls that it is kept for, under way: written, and their lines not gone
	arrived time.Duration    // when the last of the others may have arrived at the latest
	onSet   []func()         // waits for settled
	limit   *timerqueue.Item // when it is given up at the latest

	astray  bool          // it went unheard of since the last word: it may be forgotten there
	strays  time.Duration // until when a word that it runs is an old one: it went unasked for so long that it may have been dropped
	pause   time.Duration // before it is asked for once more
	ranked  int           // the priority last sent
	ranking bool          // a change of it is under way
	pages   [][]byte
	of      int // how many there are
	held    int // bytes of them
	work    time.Duration
	memory  float64
	goodAt  time.Duration // when an answer last could be read, or the first call was made
	why     string        // its last call's result, for the log

	outcome scheduler.Outcome
	version uint64 // of the policy it was decided by, where there are peers

	// where its client reads page by page
	result   *spool.Result
	drawn    int  // pages
	released bool // its engine was told that it may forget it
	kept     bool // the result is promised
}

// An engine keeps a query for forgets while nobody asks for it, and holds a call
// for news until newsMost has passed: so long somebody asks. onTheWay is for what
// is on the network when its line ends.
const (
	forgets  = 2 * time.Second
	newsMost = 250 * time.Millisecond
	onTheWay = 50 * time.Millisecond
)

// beginMost bounds what may pass between the step that lets a first byte go and the write: the
// process may stand still there, and its client leave meanwhile, for whom nothing may begin more
// than 0.1 s later. What takes longer is held to be not sent, and decided anew.
const beginMost = 75 * time.Millisecond

// gone: it is over at its engine, whether that was heard to answer or not, since it
// went unasked for as long as engines keep it. Together with came, giveUp and landed this
// decides when a submission is over; docs/design.md has the table. A call may arrive as
// long as its line stands, and no less is counted than it was let wait for its answer: by
// our clock alone it would be over too soon where we stood still ourselves meanwhile.
//
// Where nothing may be cancelled an engine may work on, asked or not: what keeps order is over then
// only once it was heard to be, or with the time that its engine was told to have.
func (s *submission) gone() bool {
	kept := max(s.arrived, s.askedAt+answerMost+onTheWay) + newsMost + forgets
	if s.q.group.inOrder && !s.cancels {
		kept = max(kept, s.until+onTheWay+newsMost+forgets)
	}
	return s.open == 0 && s.now >= kept
}

// landed: a call for it, written once, was answered or its line is gone; what is on its
// way then may still arrive.
func (c *call) landed() {
	if s := c.s; s != nil && c.keeps {
		way := onTheWay
		if c.answered {
			way = 0
		}
		s.open--
		s.arrived = max(s.arrived, s.now+way)
		if c.starts {
			s.after(way, s.settle)
		}
	}
}

func (r *Controller) submit(q *query, e *engine, within time.Duration) {
	until := q.deadline
	if within != 0 {
		until = min(until, r.now+within)
	}
	s := &submission{Controller: r, q: q, e: e, try: len(q.subs), at: r.now, until: until}
	q.subs = append(q.subs, s)
	e.untold++
	if r.fair != nil {
		r.fair.started(q)
	}
	r.tally.submissions++
	s.limit = r.due.Add(until, func() { r.withdraw(s, scheduler.TimedOut) })
	// two of one id at one engine can't be told apart: what ends the first would
	// end the second
	if e.holds(q.id) {
		e.waiting = append(e.waiting, s)
		return
	}
	s.start()
}

func (e *engine) holds(id string) bool {
	for _, s := range e.leaving {
		if s.q.id == id {
			return true
		}
	}
	return false
}

func (s *submission) start() {
	if s.ended || s.warrant != nil && !s.warrant.permitSend(s) {
		return
	}
	c := &call{what: "POST", e: s.e, s: s, fits: s.fits(0), starts: true, keeps: true,
		write: func(dst []byte) []byte {
			s.sent, s.askedAt, s.goodAt, s.ranked = true, s.now, s.now, s.q.rank()
			if s.try == 0 {
				s.tally.firstByte(s.now - s.q.takenAt)
			}
			return enginehttp.Submit(dst, s.e.address, s.q.id, s.q.method, s.q.token, s.until-s.now,
				s.q.grantMB, s.ranked, s.q.statement)
		},
		then: func(as how, status int, field func(string) string, body []byte) {
			s.came(0, as, status, field, body)
			s.posted = true
		}}
	c.fit = func() bool {
		// it may have waited for its turn, a descriptor or its connection: what it was decided on is asked anew
		by := min(s.until, s.gate.StartDeadline(s.q.id, s.try), s.now+beginMost)
		fit := !s.ended && !s.q.answered && s.now < by && s.e.state == scheduler.EngineActive
		s.permit = NewWritePermit(by)
		if fit && s.warrant != nil && !s.warrant.permitSend(s) {
			c.over, fit = true, false // it came to nothing here: another starts it once it may go
		}
		return fit
	}
	s.call(c)
}

// settle: the call that starts it has arrived, or never will.
func (s *submission) settle() {
	s.settled = true
	for _, do := range s.onSet {
		do()
	}
	s.onSet = nil
}

func (s *submission) fits(page int) func(int, func(string) string, []byte) bool {
	return func(status int, field func(string) string, body []byte) bool {
		return enginehttp.Fits(page, status, field, body)
	}
}

// ask asks for the query's news, or for a page of its result.
func (s *submission) ask(page int) {
	s.call(&call{what: "GET", e: s.e, s: s, poll: page == 0, keeps: true, fits: s.fits(page),
		fit: func() bool { return !s.ended },
		write: func(dst []byte) []byte {
			if s.now > s.askedAt+forgets {
				s.astray, s.strays = true, s.now+2*newsMost
			}
			s.askedAt = s.now
			return enginehttp.Ask(dst, s.e.address, s.q.id, page)
		},
		then: func(as how, status int, field func(string) string, body []byte) {
			s.came(page, as, status, field, body)
		}})
}

// came is what a call for it came to.
func (s *submission) came(page int, as how, status int, field func(string) string, body []byte) {
	if s.ended {
		return
	}
	s.why = hows[as] + " " + strconv.Itoa(status) + " on page " + strconv.Itoa(page)
	switch {
	case as == answered:
		s.pause, s.goodAt = 0, s.now
		if s.inline {
			if report := enginehttp.Load(field); report != nil {
				s.soon(func() { s.gate.Reported(s.now, s.e.id, report) })
			}
		}
		enginehttp.Hear(page, status, field, body, &hearing{s})
	case !s.sent && as == unfit, !s.posted && as == unwritten:
		// a connection that ends says nothing against its engine
		s.end(scheduler.NeverSent)
	case !s.sent:
		s.end(scheduler.Unreachable)
	case s.died(as):
		s.end(scheduler.ConnectionReset)
	case as == garbled && s.now-s.goodAt >= forgets:
		s.withdraw(s, scheduler.ConnectionReset) // it is not one answer that was spoilt on its way
	case s.gone():
		s.end(scheduler.TimedOut) // if it still ran there, it has been forgotten by now
	default:
		// the call or its answer may have been lost and the query not: another
		// connection tells, its end and its pages too, as often as they are asked for.
		// Not at once: an engine that ends every connection must not make us spin
		s.tally.again++
		s.astray = true
		s.pause = min(max(2*s.pause, 10*time.Millisecond), forgets/4)
		s.after(s.pause, func() {
			if !s.ended {
				s.ask(page)
			}
		})
	}
}

// hearing keeps the words of an engine's answer apart from what s can do.
type hearing struct{ *submission }

// Runs: after it went unasked for longer than engines keep a query, what was noted before it was
// dropped comes first, as fast as it is asked for, and looks like life.
func (h *hearing) Runs() {
	h.astray = h.now < h.strays
	h.ask(0)
}

func (h *hearing) Note(sign scheduler.NoteKind, x float64) {
	s := h.submission
	s.tally.notes++
	s.soon(func() {
		if !s.ended {
			s.gate.Note(s.now, s.q.id, s.try, sign, x)
		}
	})
}

func (h *hearing) Finished(work time.Duration, memoryMB float64) {
	h.work, h.memory, h.pages = work, memoryMB, nil
}

func (h *hearing) Page(number, of int, rows []byte) {
	s := h.submission
	if s.q.kept != nil {
		if number == s.drawn && !s.released {
			s.paging.addPage(s, number, of, rows)
		}
		return
	}
	if number == 0 {
		s.pages = make([][]byte, 0, min(of, 64))
		s.of = of
	}
	if s.held += len(rows); s.held > s.messageMost {
		s.end(scheduler.Failed)
		return
	}
	s.pages = append(s.pages, append([]byte{}, rows...))
	if len(s.pages) < s.of && !s.q.answered { // it is over there, and nobody wants the others
		s.ask(len(s.pages))
		return
	}
	if !s.q.answered {
		s.finished(s.q, s.pages)
	}
	s.end(scheduler.Finished)
}

// Ends: an error after it went unheard of may just mean that it is not known
// there. It is no end: the call that starts it may have come to a machine that
// has not taken it up yet, and still runs it, for all this one says. Where order
// is asked for it is given up, so that the next of its key never overtakes it.
// Where there is none the engine, which answers, is not to be held to have died.
func (h *hearing) Ends(outcome scheduler.Outcome) {
	if h.astray && outcome == scheduler.Failed && h.late() {
		h.withdraw(h.submission, scheduler.ConnectionReset)
		return
	}
	h.end(outcome)
}

// end is an end that is certain: nothing of it runs any more, or how it runs on
// can't be known.
func (s *submission) end(outcome scheduler.Outcome) {
	if !s.ended {
		s.ended = true
		s.tell(outcome)
	}
}

func (s *submission) tell(outcome scheduler.Outcome) {
	s.pages = nil
	if s.paging != nil {
		s.paging.discard(s)
	}
	s.due.Drop(s.limit)
	s.tally.ends[outcome]++
	s.certain, s.outcome = true, outcome
	took := s.now - s.at
	s.endedAt = s.now
	if s.Trace {
		s.trace(s.about(), "told %s after %v, %s", outcomeNames[outcome], took, s.why)
	}
	if outcome != scheduler.Finished && outcome != scheduler.Cancelled {
		s.sayOf(s.about(), outcomeNames[outcome]+" after "+took.String()+", "+s.why)
	}
	s.soon(func() {
		s.told = true
		s.e.untold--
		s.gate.Ended(s.now, s.q.id, s.try, outcome, took, s.q.answered, s.work, s.memory, nil)
		s.drop(s.q)
	})
}

// withdraw gives a submission up. The decisions hear of it at once where it
// may overlap with what comes next; where order is asked for, or no second
// copy may be out, not before it is over at the engine: it was given up
// there, its process is gone, or it went unasked for as long as engines keep it.
func (r *Controller) withdraw(s *submission, outcome scheduler.Outcome) {
	if s.ended {
		return
	}
	s.ended = true
	s.permit.Revoke()
	if r.Trace {
		r.trace(s.about(), "withdrawn")
	}
	if !s.sent {
		s.tell(scheduler.NeverSent)
		return
	}
	late := s.late()
	s.e.leaving = append(s.e.leaving, s)
	over := func() {
		s.e.left(s)
		if late {
			s.tell(outcome)
		}
	}
	if !late {
		s.tell(outcome)
	}
	r.giveUp(s, func() {
		if s.settled {
			over()
			return
		}
		// what ended it may have overtaken what started it
		s.onSet = append(s.onSet, func() { r.giveUp(s, over) })
	})
}

// late: its end must be certain before it is told.
func (s *submission) late() bool { return s.q.group.inOrder || !s.copies }

// died: its process is no more, by all there is to see. A process that ends takes
// its connections with it; a refusal while one stands just says that it takes no
// more of them, and with none of ours left it may say that too.
func (s *submission) died(as how) bool { return as == refused && !s.e.alive() && !s.late() }

// giveUp ends it at its engine, asking until that came whole or is moot.
func (r *Controller) giveUp(s *submission, then func()) {
	r.call(&call{what: "DELETE", e: s.e, s: s, fits: enginehttp.FitsDone,
		write: func(dst []byte) []byte { return enginehttp.GiveUp(dst, s.e.address, s.q.id) },
		then: func(as how, _ int, _ func(string) string, _ []byte) {
			if as == answered || s.died(as) || s.gone() {
				then()
				return
			}
			r.after(onTheWay, func() { r.giveUp(s, then) })
		}})
}

// left lets those that waited for it go.
func (e *engine) left(s *submission) {
	for i, x := range e.leaving {
		if x == s {
			e.leaving = append(e.leaving[:i], e.leaving[i+1:]...)
			break
		}
	}
	waiting := e.waiting
	e.waiting = nil
	for _, w := range waiting {
		if e.holds(w.q.id) {
			e.waiting = append(e.waiting, w)
		} else {
			w.start()
		}
	}
}

// rank passes a change of priority on to what is out.
func (r *Controller) rank(s *submission) {
	if !s.sent || s.ended || s.released || s.ranking || s.q.rank() == s.ranked {
		return
	}
	s.ranking, s.ranked = true, s.q.rank()
	r.call(&call{what: "PUT", e: s.e, s: s, fits: enginehttp.FitsDone, fit: func() bool { return !s.ended },
		write: func(dst []byte) []byte { return enginehttp.Rank(dst, s.e.address, s.q.id, s.ranked) },
		then: func(how, int, func(string) string, []byte) {
			s.ranking = false
			r.rank(s) // it may have changed again meanwhile
		}})
}

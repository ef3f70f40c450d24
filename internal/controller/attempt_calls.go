package controller

import (
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/enginehttp"
	"railrelay.dev/railrelay/internal/scheduler"
)

// send submits the query to the attempt's engine, unless the serving lease holds it back.
func (s *attempt) send() {
	if s.ended || s.servingLease != nil && !s.servingLease.permitSend(s) {
		return
	}
	request := &call{
		method:           "POST",
		engine:           s.engine,
		attempt:          s,
		startsAttempt:    true,
		extendsRetention: true,
		validResponse:    s.responseValidator(0),
		encode:           s.encodeSubmission,
		onResult: func(as callResult, status int, field func(string) string, body []byte) {
			s.handleCallResult(0, as, status, field, body)
			s.submitCallDone = true
		},
	}
	request.stillWanted = func() bool { return s.maySubmitNow(request) }
	s.startCall(request)
}

// maySubmitNow asks again, right before the request is written, what the attempt was decided on: it may
// have waited for a connection since.
func (s *attempt) maySubmitNow(request *call) bool {
	startBy := min(s.deadline, s.scheduler.SendDeadline(s.query.id, s.number), s.now+submitWriteTimeout)
	wanted := !s.ended && !s.query.answered && s.now < startBy && s.engine.state == scheduler.EngineActive
	s.permit = NewWritePermit(startBy)
	if wanted && s.servingLease != nil && !s.servingLease.permitSend(s) {
		// this call comes to nothing: send makes another once the lease lets the attempt go
		request.done = true
		return false
	}
	return wanted
}

func (s *attempt) encodeSubmission(dst []byte) []byte {
	s.sent = true
	s.polledAt = s.now
	s.lastResponseAt = s.now
	s.sentPriority = s.query.effectivePriority()
	if s.number == 0 {
		s.counters.recordFirstByte(s.now - s.query.receivedAt)
	}
	q := s.query
	return enginehttp.Submit(dst, s.engine.address, q.id, q.groupName, q.idempotencyKey, s.deadline-s.now,
		q.memoryGrantMB, s.sentPriority, q.statement)
}

// poll asks the engine for news of the query (page 0), or for a further page of its result.
func (s *attempt) poll(page int) {
	s.startCall(&call{
		method:           "GET",
		engine:           s.engine,
		attempt:          s,
		isPoll:           page == 0,
		extendsRetention: true,
		validResponse:    s.responseValidator(page),
		stillWanted:      func() bool { return !s.ended },
		encode: func(dst []byte) []byte {
			if s.now > s.polledAt+engineRetention {
				s.maybeForgotten = true
				s.staleNotesUntil = s.now + 2*longPollTimeout
			}
			s.polledAt = s.now
			return enginehttp.Ask(dst, s.engine.address, s.query.id, page)
		},
		onResult: func(as callResult, status int, field func(string) string, body []byte) {
			s.handleCallResult(page, as, status, field, body)
		},
	})
}

func (s *attempt) responseValidator(page int) func(int, func(string) string, []byte) bool {
	return func(status int, field func(string) string, body []byte) bool {
		return enginehttp.Fits(page, status, field, body)
	}
}

// handleCallResult judges what a submission or a poll came to.
func (s *attempt) handleCallResult(page int, as callResult, status int, field func(string) string, body []byte) {
	if s.ended {
		return
	}
	s.lastCallText = callResultNames[as] + " " + strconv.Itoa(status) + " on page " + strconv.Itoa(page)
	switch {
	case as == callAnswered:
		s.handleResponse(page, status, field, body)
	case !s.sent && as == callNotSent, !s.submitCallDone && as == callNotWritten:
		// the end of a connection says nothing against its engine
		s.finish(scheduler.NeverSent)
	case !s.sent:
		s.finish(scheduler.Unreachable)
	case s.engineProcessDied(as):
		s.finish(scheduler.ConnectionReset)
	case as == callMalformedResponse && s.now-s.lastResponseAt >= engineRetention:
		// too many for one response damaged on its way
		s.withdrawAttempt(s, scheduler.ConnectionReset)
	case s.provenOver():
		// if it still ran there it has been forgotten by now
		s.finish(scheduler.TimedOut)
	default:
		s.retryPoll(page)
	}
}

func (s *attempt) handleResponse(page, status int, field func(string) string, body []byte) {
	s.pollRetryDelay = 0
	s.lastResponseAt = s.now
	if s.loadReportsInResponses {
		loadReport := enginehttp.Load(field)
		if loadReport != nil {
			s.enqueueCallback(func() { s.scheduler.LoadReported(s.now, s.engine.id, loadReport) })
		}
	}
	enginehttp.Hear(page, status, field, body, &responseHandler{s})
}

// retryPoll asks again after a pause. The call or its response may be lost and the query not: a poll on
// another connection tells, as often as it is asked, what became of it and all pages of its result.
func (s *attempt) retryPoll(page int) {
	s.counters.pollRetries++
	s.maybeForgotten = true
	s.pollRetryDelay = min(max(2*s.pollRetryDelay, minPollRetryDelay), maxPollRetryDelay)
	s.runAfter(s.pollRetryDelay, func() {
		if !s.ended {
			s.poll(page)
		}
	})
}

// sendPriority tells the engine of an attempt that runs the query's priority, if that has changed.
func (c *Controller) sendPriority(s *attempt) {
	if !s.sent || s.ended || s.released || s.prioritySending || s.query.effectivePriority() == s.sentPriority {
		return
	}
	s.prioritySending = true
	s.sentPriority = s.query.effectivePriority()
	c.startCall(&call{
		method:        "PUT",
		engine:        s.engine,
		attempt:       s,
		validResponse: enginehttp.FitsDone,
		stillWanted:   func() bool { return !s.ended },
		encode: func(dst []byte) []byte {
			return enginehttp.Rank(dst, s.engine.address, s.query.id, s.sentPriority)
		},
		onResult: func(callResult, int, func(string) string, []byte) {
			s.prioritySending = false
			c.sendPriority(s) // it may have changed again meanwhile
		},
	})
}

// responseHandler takes what an engine's response says of an attempt. It is a type of its own to keep
// the methods that enginehttp calls apart from those of the attempt.
type responseHandler struct{ *attempt }

// Runs: the query runs. After a time unpolled that is longer than engines retain a query the first such
// responses may be stale, from before it was forgotten.
func (h *responseHandler) Runs() {
	h.maybeForgotten = h.now < h.staleNotesUntil
	h.poll(0)
}

// Note passes a progress note on to the scheduler.
func (h *responseHandler) Note(kind scheduler.NoteKind, value float64) {
	s := h.attempt
	s.counters.progressNotes++
	s.enqueueCallback(func() {
		if !s.ended {
			s.scheduler.NoteReceived(s.now, s.query.id, s.number, kind, value)
		}
	})
}

// Finished comes before the first page of a result.
func (h *responseHandler) Finished(work time.Duration, memoryMB float64) {
	h.work = work
	h.memoryMB = memoryMB
	h.pages = nil
}

// Page takes a page of the result, and asks for the next or ends the attempt.
func (h *responseHandler) Page(number, count int, rows []byte) {
	s := h.attempt
	if s.query.spooled != nil {
		if number == s.spooledPages && !s.released {
			s.paging.addPage(s, number, count, rows)
		}
		return
	}
	if number == 0 {
		s.pages = make([][]byte, 0, min(count, 64))
		s.pageCount = count
	}
	s.pageBytes += len(rows)
	if s.pageBytes > s.maxMessageBytes {
		s.finish(scheduler.Failed)
		return
	}
	s.pages = append(s.pages, append([]byte{}, rows...))
	if len(s.pages) < s.pageCount && !s.query.answered { // if it is, nobody wants the others
		s.poll(len(s.pages))
		return
	}
	if !s.query.answered {
		s.answerFinished(s.query, s.pages)
	}
	s.finish(scheduler.Finished)
}

// Ends: the query failed, was rejected or timed out, or isn't known there. Where the attempt may have
// been forgotten an error is no proof of its end: the request may have reached a machine that hasn't
// taken it up yet, and will run it all the same. An attempt that must prove its end is withdrawn then, so
// that the next query of its key can't overtake it. Any other just ends: the engine responds, and must
// not be taken for dead.
func (h *responseHandler) Ends(outcome scheduler.Outcome) {
	if h.maybeForgotten && outcome == scheduler.Failed && h.mustProveEnd() {
		h.withdrawAttempt(h.attempt, scheduler.ConnectionReset)
		return
	}
	h.finish(outcome)
}

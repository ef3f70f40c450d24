package controller

import (
	"slices"
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/enginehttp"
	"railrelay.dev/railrelay/internal/scheduler"
)

// send submits the query to the attempt's engine, unless the attempt has ended or the serving lease does not
// permit it now.
func (a *attempt) send() {
	if a.ended || a.servingLease != nil && !a.servingLease.permitSend(a) {
		return
	}
	request := &call{
		method:           "POST",
		engine:           a.engine,
		attempt:          a,
		startsAttempt:    true,
		extendsRetention: true,
		validResponse:    a.responseValidator(0),
		encode:           a.encodeSubmission,
		onResult: func(result callResult, status int, field func(string) string, body []byte) {
			a.handleCallResult(0, result, status, field, body)
			a.submitCallDone = true
		},
	}
	request.stillWanted = func() bool { return a.maySubmitNow(request) }
	a.startCall(request)
}

// maySubmitNow repeats the checks that the attempt was decided on, right before the request is written: the
// attempt may have waited for a connection in the meantime. It also gives the attempt a new write permit.
func (a *attempt) maySubmitNow(request *call) bool {
	startBy := min(a.deadline, a.scheduler.SendDeadline(a.query.id, a.number), a.now+submitWriteTimeout)
	wanted := !a.ended && !a.query.answered && a.now < startBy && a.engine.state == scheduler.EngineActive
	a.permit = NewWritePermit(startBy)
	if wanted && a.servingLease != nil && !a.servingLease.permitSend(a) {
		// this call ends without a result: send makes another once the lease permits the attempt
		request.done = true
		return false
	}
	return wanted
}

// submissionHeadBytes is room for the request line and the headers of a submission.
const submissionHeadBytes = 1 << 10

// encodeSubmission appends the request that submits the query to dst. The caller is about to write the
// request, so encodeSubmission also records the attempt as sent.
func (a *attempt) encodeSubmission(dst []byte) []byte {
	a.sent = true
	a.polledAt = a.now
	a.lastResponseAt = a.now
	a.sentPriority = a.query.effectivePriority()
	if a.number == 0 {
		a.counters.recordFirstByte(a.now - a.query.receivedAt)
	}
	q := a.query
	dst = slices.Grow(dst, len(q.statement)+submissionHeadBytes)
	return enginehttp.AppendSubmit(dst, a.engine.address, q.id, q.groupName, q.idempotencyKey, a.deadline-a.now,
		q.memoryGrantMB, a.sentPriority, q.statement)
}

// poll asks the engine for the progress of the query (page 0), or for a further page of its result.
func (a *attempt) poll(page int) {
	a.startCall(&call{
		method:           "GET",
		engine:           a.engine,
		attempt:          a,
		isPoll:           page == 0,
		extendsRetention: true,
		validResponse:    a.responseValidator(page),
		stillWanted:      func() bool { return !a.ended },
		encode: func(dst []byte) []byte {
			if a.now > a.polledAt+engineRetention {
				a.maybeForgotten = true
				a.staleNotesUntil = a.now + 2*longPollTimeout
			}
			a.polledAt = a.now
			return enginehttp.AppendPoll(dst, a.engine.address, a.query.id, page)
		},
		onResult: func(result callResult, status int, field func(string) string, body []byte) {
			a.handleCallResult(page, result, status, field, body)
		},
	})
}

func (a *attempt) responseValidator(page int) func(int, func(string) string, []byte) bool {
	return func(status int, field func(string) string, body []byte) bool {
		return enginehttp.IsQueryResponse(page, status, field, body)
	}
}

// handleCallResult decides how the attempt goes on after a submission or a poll.
func (a *attempt) handleCallResult(page int, result callResult, status int,
	field func(string) string, body []byte) {
	if a.ended {
		return
	}
	a.lastCallText = callResultNames[result] + " " + strconv.Itoa(status) + " on page " + strconv.Itoa(page)
	switch {
	case result == callAnswered:
		a.handleResponse(page, status, field, body)
	case !a.sent && result == callNotSent, !a.submitCallDone && result == callNotWritten:
		// a closed connection is no evidence against its engine
		a.finish(scheduler.NeverSent)
	case !a.sent:
		a.finish(scheduler.Unreachable)
	case a.engineProcessDied(result):
		a.finish(scheduler.ConnectionReset)
	case result == callMalformedResponse && a.now-a.lastResponseAt >= engineRetention:
		// invalid responses for this long are not a single response damaged in transit
		a.withdrawAttempt(a, scheduler.ConnectionReset)
	case a.provenOver():
		// if the engine still ran the query, its retention time has passed by now
		a.finish(scheduler.TimedOut)
	default:
		a.retryPoll(page)
	}
}

// handleResponse passes a response to a submission or a poll, and the load report in it, on to their
// handlers.
func (a *attempt) handleResponse(page, status int, field func(string) string, body []byte) {
	a.pollRetryDelay = 0
	a.lastResponseAt = a.now
	if a.loadReportsInResponses {
		loadReport := enginehttp.ParseLoadReport(field)
		if loadReport != nil {
			a.enqueueCallback(func() { a.scheduler.LoadReported(a.now, a.engine.id, loadReport) })
		}
	}
	enginehttp.HandleResponse(page, status, field, body, &responseHandler{a})
}

// retryPoll polls again after a delay. A lost call or response does not mean a lost query: a poll on another
// connection returns the outcome, and any page of the result, as often as it is asked.
func (a *attempt) retryPoll(page int) {
	a.counters.pollRetries++
	a.maybeForgotten = true
	a.pollRetryDelay = min(max(2*a.pollRetryDelay, minPollRetryDelay), maxPollRetryDelay)
	a.runAfter(a.pollRetryDelay, func() {
		if !a.ended {
			a.poll(page)
		}
	})
}

// sendPriority tells the attempt's engine the query's priority, if the priority has changed.
func (c *Controller) sendPriority(a *attempt) {
	if !a.sent || a.ended || a.released || a.prioritySending || a.query.effectivePriority() == a.sentPriority {
		return
	}
	a.prioritySending = true
	a.sentPriority = a.query.effectivePriority()
	c.startCall(&call{
		method:        "PUT",
		engine:        a.engine,
		attempt:       a,
		validResponse: enginehttp.IsCommandResponse,
		stillWanted:   func() bool { return !a.ended },
		encode: func(dst []byte) []byte {
			return enginehttp.AppendSetPriority(dst, a.engine.address, a.query.id, a.sentPriority)
		},
		onResult: func(callResult, int, func(string) string, []byte) {
			a.prioritySending = false
			c.sendPriority(a) // the priority may have changed again during the call
		},
	})
}

// responseHandler receives the contents of an engine's response to an attempt's call. It is a separate type
// to keep the methods that enginehttp calls apart from the methods of attempt.
type responseHandler struct{ *attempt }

// Running handles the response that the query is still running, and polls again. After a time without polls
// that exceeds engineRetention, the first such responses may be stale, from before the query was dropped.
func (h *responseHandler) Running() {
	h.maybeForgotten = h.now < h.staleNotesUntil
	h.poll(0)
}

// Note passes a progress note on to the scheduler.
func (h *responseHandler) Note(kind scheduler.NoteKind, value float64) {
	a := h.attempt
	a.counters.progressNotes++
	a.enqueueCallback(func() {
		if !a.ended {
			a.scheduler.NoteReceived(a.now, a.query.id, a.number, kind, value)
		}
	})
}

// Finished handles the figures that precede the first page of a result.
func (h *responseHandler) Finished(work time.Duration, memoryMB float64) {
	h.work = work
	h.memoryMB = memoryMB
	h.pages = nil
}

// Page stores a page of the result, and then polls the next page or ends the attempt. A result without rows
// must be reported twice: if its length was wrong, its rows follow the first report and make the second
// invalid.
func (h *responseHandler) Page(number, count int, rows []byte) {
	a := h.attempt
	if len(rows) == 0 && !a.emptyReported {
		a.emptyReported = true
		a.poll(0)
		return
	}
	if a.query.spooled != nil {
		if number == a.spooledPages && !a.released {
			a.paging.addPage(a, number, count, rows)
		}
		return
	}
	if number == 0 {
		a.pages = make([][]byte, 0, min(count, 64))
		a.pageCount = count
	}
	a.pageBytes += len(rows)
	if a.pageBytes > a.maxMessageBytes {
		a.finish(scheduler.Failed)
		return
	}
	a.pages = append(a.pages, append([]byte{}, rows...))
	if len(a.pages) < a.pageCount && !a.query.answered { // an answered query needs no further pages
		a.poll(len(a.pages))
		return
	}
	if !a.query.answered {
		a.answerFinished(a.query, a.pages)
	}
	a.finish(scheduler.Finished)
}

// Ended handles the response that the query failed, was rejected, timed out or is not known at the engine.
// If the engine may have dropped the query, an error does not prove that the attempt is over: the request
// may have reached a machine that has not taken it up yet and will still run it. An attempt that must prove
// its end is therefore withdrawn, so that the next query of its key cannot overtake it. Any other attempt
// ends: the engine does respond, and must not be taken for dead.
func (h *responseHandler) Ended(outcome scheduler.Outcome) {
	if h.maybeForgotten && outcome == scheduler.Failed && h.mustProveEnd() {
		h.withdrawAttempt(h.attempt, scheduler.ConnectionReset)
		return
	}
	h.finish(outcome)
}

package controller

import (
	"time"

	"railrelay.dev/railrelay/internal/timerqueue"
)

// callResult is the result of a call to an engine. Only callAnswered comes with a response.
type callResult int

const (
	callAnswered          callResult = iota
	callNotSent                      // nothing was written: the call was no longer wanted
	callRefused                      // the connection was refused
	callDialTimedOut                 // no connection was established in time
	callNotWritten                   // the connection ended before the first byte was written
	callConnectionLost               // the connection ended; part of the request may have been written
	callNoResponse                   // no response came in time
	callMalformedResponse            // the response could not be parsed, or does not fit the call
)

// callResultNames are the log names of the results; the operators' pages list them.
var callResultNames = [...]string{
	callAnswered:          "answered",
	callNotSent:           "unfit",
	callRefused:           "refused",
	callDialTimedOut:      "unreached",
	callNotWritten:        "unwritten",
	callConnectionLost:    "lost",
	callNoResponse:        "mute",
	callMalformedResponse: "garbled",
}

const (
	// responseTimeout bounds the wait for a response. An engine holds a poll for at most longPollTimeout.
	// It is kept short because a query with a short timeout can't use the time that it waits for a lost
	// response.
	responseTimeout = longPollTimeout + 3*maxNetworkDelay
	// maxResponseBytes bounds a response. No page of a result is larger, so that a response whose
	// Content-Length claims more is malformed.
	maxResponseBytes = 64 << 10
)

// call is one HTTP request to an engine. It waits for a connection, is written, and ends with a call of
// onResult. onResult is called at most once, and not at all if the serving lease doesn't permit the attempt.
type call struct {
	method  string // HTTP method; "probe" for a health check, which is sent as a GET
	engine  *engine
	attempt *attempt // nil for health checks

	// stillWanted is checked right before the first byte is written; nil: the call is always wanted.
	stillWanted func() bool
	encode      func(dst []byte) []byte
	// validResponse reports whether a response can belong to this call.
	validResponse func(status int, field func(string) string, body []byte) bool
	onResult      func(result callResult, status int, field func(string) string, body []byte)

	startsAttempt    bool // submits the query; written only under the attempt's permit and policy version
	extendsRetention bool // makes the engine retain the query for some time after the call arrives
	isPoll           bool // served after all other calls when connections are scarce

	timeout      time.Duration // for the response; 0: responseTimeout
	timer        *timerqueue.Timer
	requestBytes int

	answered bool
	done     bool // onResult was called, or must not be called
}

// finishCall ends a call with a result, unless it has already ended.
func (c *Controller) finishCall(request *call, result callResult, status int, field func(string) string,
	body []byte) {
	if request.done {
		return
	}
	request.done = true
	c.timers.Cancel(request.timer)
	if c.TraceQueries && request.attempt != nil {
		c.trace(request.attempt.logFields(), "%s ended: %s %d", request.method, callResultNames[result], status)
	}
	request.onResult(result, status, field, body)
}

// failCall ends the call in progress on a connection, if there is one, without a response.
func (c *Controller) failCall(ec *engineConnection, result callResult) {
	request := ec.call
	if request != nil {
		ec.call = nil
		c.finishCall(request, result, 0, nil, nil)
	}
}

// isWanted reports whether a call that is about to be written should still be written.
func (r *call) isWanted() bool {
	return !r.done && (r.stillWanted == nil || r.stillWanted())
}

package controller

import (
	"time"

	"railrelay.dev/railrelay/internal/timerqueue"
)

// callResult says how a call to an engine came out. Only callAnswered has a response.
type callResult int

const (
	callAnswered          callResult = iota
	callNotSent                      // not a byte was written: it was no longer wanted
	callRefused                      // the connection was refused
	callDialTimedOut                 // there was no connection in time
	callNotWritten                   // the connection ended before the first byte was written
	callConnectionLost               // the connection ended; some of the request may have been written
	callNoResponse                   // there was no response in time
	callMalformedResponse            // the response could not be read, or fitted no call of this kind
)

// callResultNames are the results as the log names them; the operators' pages list them.
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
	// responseTimeout bounds the wait for a response: an engine holds a poll for longPollTimeout at
	// most, and what is waited for a lost response is missing from short query timeouts.
	responseTimeout = longPollTimeout + 3*maxNetworkDelay
	// maxResponseBytes bounds a response. No page of a result is larger, whatever length it claims.
	maxResponseBytes = 64 << 10
)

// call is one HTTP request to an engine. It waits for a connection, is written, and ends with onResult,
// which is called exactly once.
type call struct {
	method  string // of HTTP; "probe" for a health check, which is a GET of its own
	engine  *engine
	attempt *attempt // nil for health checks

	// stillWanted is asked right before the first byte is written; nil: always.
	stillWanted func() bool
	encode      func(dst []byte) []byte
	// validResponse reports whether a response can be one to this call.
	validResponse func(status int, field func(string) string, body []byte) bool
	onResult      func(as callResult, status int, field func(string) string, body []byte)

	startsAttempt    bool // it submits the query: written only by the attempt's permit and policy version
	extendsRetention bool // the engine retains the query for some time from its arrival on
	isPoll           bool // it gives way to all other calls when connections are short

	timeout      time.Duration // for the response, 0: responseTimeout
	timer        *timerqueue.Timer
	requestBytes int

	answered bool
	done     bool // onResult was called, or must not be
}

// finishCall ends a call, unless it has ended.
func (c *Controller) finishCall(request *call, as callResult, status int, field func(string) string,
	body []byte) {
	if request.done {
		return
	}
	request.done = true
	c.timers.Cancel(request.timer)
	if c.TraceQueries && request.attempt != nil {
		c.trace(request.attempt.logFields(), "%s came to %s %d", request.method, callResultNames[as], status)
	}
	request.onResult(as, status, field, body)
}

// failCall ends the call under way on a connection, if there is one, without a response.
func (c *Controller) failCall(ec *engineConnection, as callResult) {
	request := ec.call
	if request != nil {
		ec.call = nil
		c.finishCall(request, as, 0, nil, nil)
	}
}

// isWanted asks whether a call that is about to be written still should be.
func (r *call) isWanted() bool {
	return !r.done && (r.stillWanted == nil || r.stillWanted())
}

package controller

import (
	"slices"
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/enginehttp"
	"railrelay.dev/railrelay/internal/settings"
)

// queryCall is a client's call for a query. The bytes belong to the caller.
type queryCall struct {
	groupName string
	id        string
	timeout   time.Duration // the client waits no longer for the answer
	key       []byte
	hasKey    bool
	statement []byte
	from      CallOrigin
}

// Why a call is not accepted, as its client is told. The texts are part of the protocol's answers.
const (
	unknownGroup          = "no such method"
	timeoutTooLong        = "no such patience"
	keyMissing            = "no entity"
	idempotencyKeyInvalid = "no such token"
	duplicateID           = "this trace is in hand"
	// statementMemoryFull is no fault of the call: later, or at another controller, there may be memory.
	statementMemoryFull = "too much is in hand"
)

const (
	unsetPriority      = -1 // until the scheduler sets one
	noKeyNumber        = int64(-1)
	maxEstimatedWorkMs = 24 * 3600 * 1000
	maxEstimatedMB     = 1 << 30
)

// validateCall says why a call can't be accepted, "" if it can.
func (c *Controller) validateCall(call *queryCall) string {
	g := c.groups[settings.SanitizeName(call.groupName)]
	switch {
	case g == nil:
		return unknownGroup
	case g.timeout > 0 && call.timeout > g.timeout:
		return timeoutTooLong
	case g.inOrder && !call.hasKey:
		return keyMissing
	case g.needsIdempotencyKey && !enginehttp.Sendable(call.from.Fields.Get(c.FieldNames.IdempotencyKey)):
		return idempotencyKeyInvalid
	case c.queries[call.id] != nil:
		return duplicateID
	case c.statementBytes+len(call.statement) > c.maxStatementBytes:
		return statementMemoryFull
	}
	return ""
}

// receiveQuery accepts a call, and dispatches its query before the step ends. It copies what it keeps of
// the call. If the call is invalid the query is nil and why says so.
func (c *Controller) receiveQuery(owner queryOwner, call *queryCall) (q *query, reason string) {
	reason = c.validateCall(call)
	if reason != "" {
		return nil, reason
	}
	q = c.newQuery(owner, call)
	c.statementBytes += len(q.statement)
	c.queries[q.id] = q
	c.counters.received++
	if c.TraceQueries {
		c.trace(q.logFields(), "taken, key %q (%d), for %v, fields %q",
			call.key, q.keyNumber, call.timeout, call.from.Fields.Names())
	}
	c.lastQueryAt = c.now
	if c.caching != nil {
		c.caching.noteMutation(q)
	}
	// once all that has come is read: a query whose cancellation comes with it goes nowhere
	from := call.from
	c.enqueueCallback(func() { c.dispatch(q, from) })
	return q, ""
}

func (c *Controller) newQuery(owner queryOwner, call *queryCall) *query {
	fields := call.from.Fields
	g := c.groups[settings.SanitizeName(call.groupName)]
	q := &query{
		id:         call.id,
		groupName:  call.groupName,
		owner:      owner,
		group:      g,
		keyNumber:  noKeyNumber,
		statement:  append([]byte{}, call.statement...),
		receivedAt: c.now,
		deadline:   c.now + call.timeout,
		priority:   unsetPriority,
		customer:   c.customerIndex(call.from),
	}
	if g.needsIdempotencyKey {
		q.idempotencyKey = string(fields.Get(c.FieldNames.IdempotencyKey))
	}
	workMs := parseEstimate(fields.Get(c.FieldNames.EstimatedWork), maxEstimatedWorkMs)
	q.estimatedWork = time.Duration(workMs * float64(time.Millisecond))
	q.estimatedMemoryMB = parseEstimate(fields.Get(c.FieldNames.EstimatedMemory), maxEstimatedMB)
	if g.inOrder {
		q.key = c.keys.acquire(string(call.key))
		q.keyNumber = q.key.number
		// The client's time counts from when it would have sent the query, which it holds back behind
		// others of its key. Answers timed by when it was written came up to half a second too late.
		latest := q.key.recordArrival(c.now, call.timeout) + call.timeout + keyDeadlineSlack
		q.deadline = min(q.deadline, latest) - min(firstKeySpacing, call.timeout/8)
	}
	return q
}

// customerIndex is the index of the customer that a call names in customers, -1: none.
func (c *Controller) customerIndex(from CallOrigin) int {
	return slices.Index(c.customers, settings.SanitizeName(string(from.Fields.Get(c.FieldNames.Customer))))
}

// parseEstimate reads a figure that a client tells; one out of range counts as not told.
func parseEstimate(text []byte, most float64) float64 {
	x, err := strconv.ParseFloat(string(text), 64)
	if err == nil && x >= 0 && x <= most {
		return x
	}
	return 0
}

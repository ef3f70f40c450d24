package controller

import (
	"slices"
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/enginehttp"
	"railrelay.dev/railrelay/internal/settings"
)

// queryCall is a client's call for a query. The caller owns its byte slices.
type queryCall struct {
	groupName string
	id        string
	timeout   time.Duration // how long the client waits for the answer
	key       []byte
	hasKey    bool
	statement []byte
	from      CallOrigin
}

// Reasons to reject a call, as the client is told. The texts are part of the protocol's answers.
const (
	unknownGroup          = "no such method"
	timeoutTooLong        = "no such patience"
	keyMissing            = "no entity"
	idempotencyKeyInvalid = "no such token"
	duplicateID           = "this trace is in hand"
	idHasRun              = "this trace has run"
	// statementMemoryFull is not an error in the call: later, or at another controller, there may be memory.
	statementMemoryFull = "too much is in hand"
)

const (
	unsetPriority      = -1 // until the scheduler sets one
	noKeyNumber        = int64(-1)
	maxEstimatedWorkMs = 24 * 3600 * 1000
	maxEstimatedMB     = 1 << 30
)

// validateCall returns the reason to reject a call, "" if the call is valid.
func (c *Controller) validateCall(call *queryCall) string {
	g := c.groups[settings.SanitizeName(call.groupName)]
	switch {
	case g == nil:
		return unknownGroup
	case g.timeout > 0 && call.timeout > g.timeout:
		return timeoutTooLong
	case g.inOrder && !call.hasKey:
		return keyMissing
	case g.needsIdempotencyKey && !enginehttp.IsHeaderValue(call.from.Fields.Get(c.FieldNames.IdempotencyKey)):
		return idempotencyKeyInvalid
	case c.queries[call.id] != nil:
		return duplicateID
	case c.submitted.contains(call.id):
		return idHasRun
	case c.statementBytes+len(call.statement) > c.maxStatementBytes:
		return statementMemoryFull
	}
	return ""
}

// receiveQuery accepts a call; the caller dispatches its query. It copies the parts of the call that it
// keeps. For an invalid call, the query is nil and reason is set.
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
		c.trace(q.logFields(), "received, key %q (%d), timeout %v, fields %q",
			call.key, q.keyNumber, call.timeout, call.from.Fields.Names())
	}
	c.lastQueryAt = c.now
	if c.caching != nil {
		c.caching.noteMutation(q)
	}
	return q, ""
}

// newQuery returns the query of a valid call. For a group whose queries run in order, newQuery acquires the
// query's key, and derives the deadline from the time at which the client may have requested the query.
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
		// The client's timeout counts from when the query was requested, and the client holds the query back
		// behind others of its key. Deadlines that counted from the send time gave answers up to half a second
		// too late.
		latest := q.key.recordArrival(c.now, call.timeout) + call.timeout + keyDeadlineSlack
		q.deadline = min(q.deadline, latest) - min(firstKeySpacing, call.timeout/8)
	}
	return q
}

// customerIndex returns the index in customers of the customer that a call names, -1: none.
func (c *Controller) customerIndex(from CallOrigin) int {
	return slices.Index(c.customers, settings.SanitizeName(string(from.Fields.Get(c.FieldNames.Customer))))
}

// parseEstimate parses an estimate from a client; an invalid or out-of-range value counts as absent.
func parseEstimate(text []byte, limit float64) float64 {
	x, err := strconv.ParseFloat(string(text), 64)
	if err == nil && x >= 0 && x <= limit {
		return x
	}
	return 0
}

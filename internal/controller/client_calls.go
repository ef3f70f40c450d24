package controller

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/msgpackrpc"
)

var (
	_ msgpackrpc.Handler = (*client)(nil)
	_ queryOwner         = (*rpcCall)(nil)
)

// Query implements msgpackrpc.Handler: it accepts, rejects or defers a query. A client that sends a query
// over its limit of open ones, or reuses the message id of an open one, is disconnected.
func (cl *client) Query(messageID uint32, name, id []byte, timeout time.Duration, key []byte, hasKey bool,
	statement []byte, fields msgpackrpc.Fields) {
	if cl.findCall(messageID) != nil {
		// the answers to the two calls could not be told apart
		cl.counters.malformed++
		cl.disconnect(duplicateMessageID, gracefully)
		return
	}
	call := &queryCall{
		groupName: string(name),
		id:        string(id),
		timeout:   timeout,
		key:       key,
		hasKey:    hasKey,
		statement: statement,
		from:      CallOrigin{cl.connection.RemoteAddress, fields},
	}
	if len(cl.calls) >= cl.limits.MaxOpenQueries {
		reason := cl.validateCall(call)
		if reason != "" {
			cl.Invalid(messageID, reason)
			return
		}
		cl.Invalid(messageID, "too many are open")
		cl.disconnect(tooManyOpenQueries, gracefully)
		return
	}
	rc := &rpcCall{client: cl, messageID: messageID}
	q, reason := cl.receiveQuery(rc, call)
	switch reason {
	case "":
		rc.query = q
		cl.calls = append(cl.calls, rc)
		cl.dispatchPaced(q, call)
	case statementMemoryFull:
		// a memory shortage is not the client's error: as a bad call it could close the connection
		cl.counters.deferred++
		cl.reply(msgpackrpc.AppendDeferral(nil, messageID, min(cl.durationSetting("return.most"), timeout/2)))
	default:
		cl.Invalid(messageID, reason)
	}
}

// Alive implements msgpackrpc.Handler: it answers whether the controller has an endpoint list and,
// with peers, may accept queries.
func (cl *client) Alive(messageID uint32) {
	cl.counters.aliveRequests++
	ready := cl.discovery.listed && (cl.servingLease == nil || cl.servingLease.acceptsQueries())
	cl.reply(msgpackrpc.AppendAlive(nil, messageID, ready))
}

// Cancel implements msgpackrpc.Handler: it cancels an open query.
func (cl *client) Cancel(messageID uint32) {
	rc := cl.findCall(messageID)
	if rc != nil {
		cl.messageCost = 2 // the query did not count when it came
		cl.abandonQuery(rc.query)
	}
}

// Invalid implements msgpackrpc.Handler: it answers an invalid call. A connection is closed after more than
// maxBadCalls invalid calls, or after one that reuses the message id of an open query.
func (cl *client) Invalid(messageID uint32, reason string) {
	cl.counters.malformed++
	if cl.findCall(messageID) != nil {
		cl.disconnect(duplicateMessageID, gracefully)
		return
	}
	cl.reply(msgpackrpc.AppendFailure(nil, messageID, reason))
	cl.badCalls++
	if cl.badCalls > maxBadCalls {
		cl.disconnect(tooManyInvalidCalls, gracefully)
	}
}

// rpcCall is an open call for a query on a client's connection. It owns the query.
type rpcCall struct {
	client    *client
	messageID uint32
	query     *query
}

func (rc *rpcCall) finished(pages [][]byte) {
	rc.client.reply(msgpackrpc.AppendResult(nil, rc.messageID, pages))
}

func (rc *rpcCall) paged(first []byte, rest msgpackrpc.PageInfo) {
	rc.client.reply(msgpackrpc.AppendFirstPage(nil, rc.messageID, first, rest))
}

func (rc *rpcCall) deferred(retryAfter time.Duration) {
	rc.client.reply(msgpackrpc.AppendDeferral(nil, rc.messageID, retryAfter))
}

func (rc *rpcCall) redirected(comeBack time.Duration, controllers []string) {
	rc.client.reply(msgpackrpc.AppendRedirect(nil, rc.messageID, comeBack, controllers))
}

func (rc *rpcCall) killed(reason string) {
	rc.client.reply(msgpackrpc.AppendFailure(nil, rc.messageID, reason))
}

func (rc *rpcCall) notifyWait(wait time.Duration) {
	rc.client.reply(msgpackrpc.AppendWaitNotification(nil, rc.messageID, wait))
}

func (rc *rpcCall) connection() *Connection { return rc.client.connection }

func (rc *rpcCall) closed() {
	rc.client.calls = slices.DeleteFunc(rc.client.calls, func(x *rpcCall) bool { return x == rc })
	rc.client.idleSince = rc.client.now
}

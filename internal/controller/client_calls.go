package controller

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/msgpackrpc"
)

var (
	_ msgpackrpc.Hearer = (*client)(nil)
	_ queryOwner        = (*rpcCall)(nil)
)

// Query implements msgpackrpc.Hearer: it accepts or rejects a query.
func (cl *client) Query(messageID uint32, name, id []byte, timeout time.Duration, key []byte, hasKey bool,
	statement []byte, fields msgpackrpc.Fields) {
	if cl.findCall(messageID) != nil {
		// the answers to the two calls could not be told apart
		cl.counters.malformed++
		cl.disconnect(true)
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
			cl.Wrong(messageID, reason)
			return
		}
		cl.Wrong(messageID, "too many are open")
		cl.disconnect(true)
		return
	}
	rc := &rpcCall{client: cl, messageID: messageID}
	q, reason := cl.receiveQuery(rc, call)
	switch reason {
	case "":
		rc.query = q
		cl.calls = append(cl.calls, rc)
	case statementMemoryFull:
		// a memory shortage is not the client's error: as a bad call it could close the connection
		cl.counters.deferred++
		cl.reply(msgpackrpc.Deferred(nil, messageID, min(cl.durationSetting("return.most"), timeout/2)))
	default:
		cl.Wrong(messageID, reason)
	}
}

// Alive implements msgpackrpc.Hearer: it answers whether the controller has an endpoint list and, with peers,
// may accept queries.
func (cl *client) Alive(messageID uint32) {
	cl.counters.aliveRequests++
	ready := cl.discovery.listed && (cl.servingLease == nil || cl.servingLease.acceptsQueries())
	cl.reply(msgpackrpc.Alive(nil, messageID, ready))
}

// Left implements msgpackrpc.Hearer: it cancels an open query.
func (cl *client) Left(messageID uint32) {
	rc := cl.findCall(messageID)
	if rc != nil {
		cl.abandonQuery(rc.query)
	}
}

// Wrong implements msgpackrpc.Hearer: it answers an invalid call. A connection with more than maxBadCalls of
// them is closed.
func (cl *client) Wrong(messageID uint32, reason string) {
	cl.counters.malformed++
	if cl.findCall(messageID) != nil {
		cl.disconnect(true)
		return
	}
	cl.reply(msgpackrpc.Killed(nil, messageID, reason))
	cl.badCalls++
	if cl.badCalls > maxBadCalls {
		cl.disconnect(true)
	}
}

// rpcCall is an open call for a query on a client's connection. It owns the query.
type rpcCall struct {
	client    *client
	messageID uint32
	query     *query
}

func (rc *rpcCall) finished(pages [][]byte) {
	rc.client.reply(msgpackrpc.Answer(nil, rc.messageID, pages))
}

func (rc *rpcCall) paged(first []byte, rest msgpackrpc.Paging) {
	rc.client.reply(msgpackrpc.Paged(nil, rc.messageID, first, rest))
}

func (rc *rpcCall) deferred(retryAfter time.Duration) {
	rc.client.reply(msgpackrpc.Deferred(nil, rc.messageID, retryAfter))
}

func (rc *rpcCall) redirected(comeBack time.Duration, controllers []string) {
	rc.client.reply(msgpackrpc.Directed(nil, rc.messageID, comeBack, controllers))
}

func (rc *rpcCall) killed(reason string) {
	rc.client.reply(msgpackrpc.Killed(nil, rc.messageID, reason))
}

func (rc *rpcCall) notifyWait(wait time.Duration) {
	rc.client.reply(msgpackrpc.Told(nil, rc.messageID, wait))
}

func (rc *rpcCall) connection() *Connection { return rc.client.connection }

func (rc *rpcCall) closed() {
	rc.client.calls = slices.DeleteFunc(rc.client.calls, func(x *rpcCall) bool { return x == rc })
	rc.client.idleSince = rc.client.now
}

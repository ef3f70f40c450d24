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

// Query receives a query.
func (cl *client) Query(messageID uint32, name, id []byte, patience time.Duration, key []byte, hasKey bool,
	statement []byte, fields msgpackrpc.Fields) {
	if cl.findCall(messageID) != nil {
		// answers could no longer be told apart
		cl.counters.malformed++
		cl.disconnect(true)
		return
	}
	call := &queryCall{
		groupName: string(name),
		id:        string(id),
		timeout:   patience,
		key:       key,
		hasKey:    hasKey,
		statement: statement,
		from:      CallOrigin{cl.connection.RemoteAddress, fields},
	}
	if len(cl.calls) >= cl.limits.MaxOpenQueries {
		why := cl.validateCall(call)
		if why != "" {
			cl.Wrong(messageID, why)
			return
		}
		cl.Wrong(messageID, "too many are open")
		cl.disconnect(true)
		return
	}
	a := &rpcCall{client: cl, messageID: messageID}
	q, why := cl.receiveQuery(a, call)
	switch why {
	case "":
		a.query = q
		cl.calls = append(cl.calls, a)
	case statementMemoryFull:
		// counted as a bad call it could in the end cost what else is open on the connection
		cl.counters.deferred++
		cl.reply(msgpackrpc.Deferred(nil, messageID, min(cl.durationSetting("return.most"), patience/2)))
	default:
		cl.Wrong(messageID, why)
	}
}

// Alive answers whether the controller has an endpoint list and, with peers, may serve.
func (cl *client) Alive(messageID uint32) {
	cl.counters.aliveRequests++
	ready := cl.discovery.listed && (cl.servingLease == nil || cl.servingLease.acceptsQueries())
	cl.reply(msgpackrpc.Alive(nil, messageID, ready))
}

// Left takes a cancellation.
func (cl *client) Left(messageID uint32) {
	a := cl.findCall(messageID)
	if a != nil {
		cl.abandonQuery(a.query)
	}
}

// Wrong answers a call that can't be used. A connection with too many of them is closed.
func (cl *client) Wrong(messageID uint32, why string) {
	cl.counters.malformed++
	if cl.findCall(messageID) != nil {
		cl.disconnect(true)
		return
	}
	cl.reply(msgpackrpc.Killed(nil, messageID, why))
	cl.badCalls++
	if cl.badCalls > maxBadCalls {
		cl.disconnect(true)
	}
}

// rpcCall is a call for a query that is open on a client's connection; it owns the query.
type rpcCall struct {
	client    *client
	messageID uint32
	query     *query
}

func (a *rpcCall) finished(pages [][]byte) {
	a.client.reply(msgpackrpc.Answer(nil, a.messageID, pages))
}

func (a *rpcCall) paged(first []byte, rest msgpackrpc.Paging) {
	a.client.reply(msgpackrpc.Paged(nil, a.messageID, first, rest))
}

func (a *rpcCall) deferred(retryAfter time.Duration) {
	a.client.reply(msgpackrpc.Deferred(nil, a.messageID, retryAfter))
}

func (a *rpcCall) redirected(comeBack time.Duration, controllers []string) {
	a.client.reply(msgpackrpc.Directed(nil, a.messageID, comeBack, controllers))
}

func (a *rpcCall) killed(why string) {
	a.client.reply(msgpackrpc.Killed(nil, a.messageID, why))
}

func (a *rpcCall) notifyWait(wait time.Duration) {
	a.client.reply(msgpackrpc.Told(nil, a.messageID, wait))
}

func (a *rpcCall) connection() *Connection { return a.client.connection }

func (a *rpcCall) closed() {
	a.client.calls = slices.DeleteFunc(a.client.calls, func(x *rpcCall) bool { return x == a })
	a.client.idleSince = a.client.now
}

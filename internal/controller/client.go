package controller

import (
	"slices"
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/bytebuf"
	"railrelay.dev/railrelay/internal/msgpackrpc"
)

// maxBadCalls is how many calls that can't be used one connection may send before it is closed.
const maxBadCalls = maxOpenQueries

// client is one connection from a client, and what is open on it.
type client struct {
	*Controller
	connection *Connection
	limits     *ClientLimits
	calls      []*rpcCall // in the order they came
	pageReads  int        // calls for pages of spooled results, and for invalidations, that wait

	// messages
	messageStartedAt   time.Duration // when the message under way began, -1: none is; at first the connecting
	hasSentMessage     bool          // a whole message came at some time
	idleSince          time.Duration // when the last query open on it was closed
	badCalls           int
	messagesSinceSweep int

	// what it doesn't read, as of the last sweep
	stalledSince  time.Duration // when it last took any of what is written to it, -1: nothing is unwritten
	unreadAtSweep int           // bytes
}

func (c *Controller) acceptClient(conn *Connection) {
	cl := &client{
		Controller:       c,
		connection:       conn,
		limits:           c.clientLimits.find(conn.RemoteAddress),
		stalledSince:     -1,
		messageStartedAt: c.now,
		idleSince:        c.now,
	}
	conn.onBytes = cl.readMessages
	conn.onEndOfStream = cl.abandonAllCalls
	conn.onClosed = cl.connectionClosed
	c.clients = append(c.clients, cl)
	c.counters.connections++
	c.evictClient(cl)
}

// readMessages reads the messages that were received whole.
func (cl *client) readMessages() {
	readAny := false
	for !cl.connection.closed {
		n, err := msgpackrpc.Read(cl.connection.Received.Bytes(), cl.maxMessageBytes, cl.messageHandler())
		if err != nil {
			cl.counters.malformed++
			cl.disconnect(true)
			return
		}
		if n == 0 {
			cl.trackPartialMessage(readAny)
			return
		}
		readAny = true
		cl.hasSentMessage = true
		cl.idleSince = cl.now
		cl.connection.Received.Discard(n)
		cl.messagesSinceSweep++
		if cl.messagesSinceSweep > cl.limits.MaxMessagesPerSweep {
			cl.counters.disconnected++
			cl.disconnect(true)
		}
	}
}

// trackPartialMessage notes since when the next message is under way.
func (cl *client) trackPartialMessage(readAny bool) {
	switch {
	case len(cl.connection.Received.Bytes()) == 0:
		cl.messageStartedAt = -1
	case readAny || cl.messageStartedAt < 0:
		cl.messageStartedAt = cl.now
	}
}

// messageHandler takes the next message: the client, or, for one message too many, which all other
// clients would have to wait for, floodingClient.
func (cl *client) messageHandler() msgpackrpc.Hearer {
	if cl.messagesSinceSweep >= cl.limits.MaxMessagesPerSweep {
		return &floodingClient{cl}
	}
	return cl
}

// disconnect closes the connection from our side; what was open on it gets no answers.
func (cl *client) disconnect(graceful bool) {
	cl.closeConnection(cl.connection, graceful)
	cl.abandonAllCalls()
}

func (cl *client) connectionClosed() {
	cl.connection.Received = bytebuf.Buffer{} // timers of its queries may outlive it
	cl.clients = slices.DeleteFunc(cl.clients, func(x *client) bool { return x == cl })
	cl.abandonAllCalls()
}

func (cl *client) abandonAllCalls() {
	for len(cl.calls) > 0 {
		cl.Left(cl.calls[0].messageID)
	}
}

func (cl *client) findCall(messageID uint32) *rpcCall {
	for _, a := range cl.calls {
		if a.messageID == messageID {
			return a
		}
	}
	return nil
}

func (cl *client) reply(message []byte) { cl.write(cl.connection, message) }

// floodingClient tells a connection that is about to be closed why.
type floodingClient struct{ *client }

func (f *floodingClient) explain(messageID uint32) {
	if f.findCall(messageID) == nil {
		f.reply(msgpackrpc.Killed(nil, messageID, "more than "+strconv.Itoa(f.limits.MaxMessagesPerSweep)+
			" messages in "+sweepInterval.String()+" on one connection: it is closed"))
	}
}

// Query implements msgpackrpc.Hearer.
func (f *floodingClient) Query(messageID uint32, _, _ []byte, _ time.Duration, _ []byte, _ bool, _ []byte,
	_ msgpackrpc.Fields) {
	f.explain(messageID)
}

// Page implements msgpackrpc.Hearer.
func (f *floodingClient) Page(messageID uint32, _ []byte, _ int, _ msgpackrpc.Fields) {
	f.explain(messageID)
}

// Purge implements msgpackrpc.Hearer.
func (f *floodingClient) Purge(messageID uint32, _ msgpackrpc.Purge, _ msgpackrpc.Fields) {
	f.explain(messageID)
}

// Alive implements msgpackrpc.Hearer.
func (f *floodingClient) Alive(messageID uint32) { f.explain(messageID) }

// Wrong implements msgpackrpc.Hearer.
func (f *floodingClient) Wrong(messageID uint32, _ string) { f.explain(messageID) }

// Left implements msgpackrpc.Hearer: a cancellation counts even so.
func (f *floodingClient) Left(messageID uint32) { f.client.Left(messageID) }

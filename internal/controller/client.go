package controller

import (
	"slices"
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/bytebuf"
	"railrelay.dev/railrelay/internal/msgpackrpc"
)

// maxBadCalls is how many invalid calls a connection may send before it is closed.
const maxBadCalls = maxOpenQueries

// client is one connection from a client, with its open calls.
type client struct {
	*Controller
	connection *Connection
	limits     *ClientLimits
	calls      []*rpcCall // in order of arrival
	pageReads  int        // pending calls that read pages of spooled results or request invalidations

	// incoming messages
	// messageStartedAt is when the current incomplete message began, -1: none; at first the accept time.
	messageStartedAt   time.Duration
	hasSentMessage     bool          // a complete message has arrived
	hasPendingInput    bool          // a close was declined, since bytes or the end of the stream are unread
	idleSince          time.Duration // when the last message came or the last open query was closed
	badCalls           int
	messagesSinceSweep int // without those that only the pacer limits
	messageCost        int // of the message being read, in messagesSinceSweep
	pacer              callPacer
	skipped            *skippedQuery // being received, nil: none

	// unread answers, as of the last sweep
	stalledSince  time.Duration // when the client last read bytes written to it, -1: nothing is unread
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

// readMessages handles the complete messages received so far.
func (cl *client) readMessages() {
	cl.hasPendingInput = false
	readAny := false
	for !cl.connection.closed {
		cl.messageCost = 1
		isComplete, err := cl.readMessage()
		if err != nil {
			cl.counters.malformed++
			cl.disconnect(malformedMessage, gracefully)
			return
		}
		if !isComplete {
			cl.trackPartialMessage(readAny)
			return
		}
		readAny = true
		cl.hasSentMessage = true
		cl.idleSince = cl.now
		cl.messagesSinceSweep += cl.messageCost
		if cl.messagesSinceSweep > cl.limits.MaxMessagesPerSweep {
			cl.counters.disconnected++
			cl.disconnect(tooManyMessages, gracefully)
		}
	}
}

// readMessage handles the first message received. It returns false if the message is incomplete.
func (cl *client) readMessage() (bool, error) {
	if cl.skipped != nil {
		return cl.discardSkipped(), nil
	}
	received := &cl.connection.Received
	n, err := msgpackrpc.Read(received.Bytes(), cl.maxMessageBytes, cl.messageHandler())
	received.Discard(n)
	return n > 0, err
}

// trackPartialMessage records when the next, still incomplete message began to arrive.
func (cl *client) trackPartialMessage(readAny bool) {
	switch {
	case cl.skipped == nil && len(cl.connection.Received.Bytes()) == 0:
		cl.messageStartedAt = -1
	case readAny || cl.messageStartedAt < 0:
		cl.messageStartedAt = cl.now
	}
}

// messageHandler returns the handler for the next message: the client itself or, at the limit,
// floodingClient. Further messages would delay all other clients.
func (cl *client) messageHandler() msgpackrpc.Handler {
	if cl.messagesSinceSweep >= cl.limits.MaxMessagesPerSweep {
		return &floodingClient{cl}
	}
	return cl
}

func (cl *client) connectionClosed() {
	cl.connection.Received = bytebuf.Buffer{} // free the memory now: timers of its queries may outlive it
	cl.clients = slices.DeleteFunc(cl.clients, func(x *client) bool { return x == cl })
	cl.abandonAllCalls()
}

func (cl *client) abandonAllCalls() {
	for len(cl.calls) > 0 {
		cl.Cancel(cl.calls[0].messageID)
	}
}

func (cl *client) findCall(messageID uint32) *rpcCall {
	for _, rc := range cl.calls {
		if rc.messageID == messageID {
			return rc
		}
	}
	return nil
}

// hasOpenCalls reports whether the client waits for the answer to a call.
func (cl *client) hasOpenCalls() bool { return len(cl.calls) > 0 || cl.pageReads > 0 }

func (cl *client) reply(message []byte) { cl.write(cl.connection, message) }

// floodingClient tells a client why its connection is about to be closed. It handles queries and page reads
// as usual: they are limited by how many may be open, and don't close the connection.
type floodingClient struct{ *client }

func (f *floodingClient) explain(messageID uint32) {
	if f.findCall(messageID) == nil {
		f.reply(msgpackrpc.AppendFailure(nil, messageID, "more than "+strconv.Itoa(f.limits.MaxMessagesPerSweep)+
			" messages in "+sweepInterval.String()+" on one connection: it is closed"))
	}
}

// Purge implements msgpackrpc.Handler.
func (f *floodingClient) Purge(messageID uint32, _ msgpackrpc.Purge, _ msgpackrpc.Fields) {
	f.explain(messageID)
}

// Alive implements msgpackrpc.Handler.
func (f *floodingClient) Alive(messageID uint32) { f.explain(messageID) }

// Invalid implements msgpackrpc.Handler.
func (f *floodingClient) Invalid(messageID uint32, _ string) { f.explain(messageID) }

// Cancel implements msgpackrpc.Handler. A cancellation still takes effect.
func (f *floodingClient) Cancel(messageID uint32) { f.client.Cancel(messageID) }

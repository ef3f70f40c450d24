package controller

import (
	"fmt"

	"railrelay.dev/railrelay/internal/bytebuf"
	"railrelay.dev/railrelay/internal/msgpackrpc"
)

// reclaimBufferMemory frees the largest buffer when the buffers of all connections exceed their limit, by
// closing a connection whose end leaves no client without an answer: to an engine, or of a client that has no
// call open and sends a message. A client with open calls keeps its connection. If it is the receiver, whose
// bytes have just arrived, and its buffer is the largest, the query that it is sending is skipped and
// deferred; the controller may use no other client's buffer now. Buffers up to the size that every connection
// may keep do not count.
func (c *Controller) reclaimBufferMemory(receiver *Connection) {
	use := c.measureBuffers()
	if c.bufferedBytes-use.closing <= c.maxBufferedBytes {
		return
	}
	c.logMessage(infoLevel, fmt.Sprintf("buffer memory is full: %d of %d bytes, clients %d, engines %d",
		c.bufferedBytes, c.maxBufferedBytes, use.clients, use.engines))
	largest := bytebuf.MaxIdleCapacity
	free := func() { c.disconnectReceiver(receiver) }
	consider := func(conn *Connection, release func()) {
		if !conn.closed && conn.bufferBytes > largest {
			largest = conn.bufferBytes
			free = release
		}
	}
	for _, cl := range c.clients {
		switch {
		case cl.messageStartedAt < 0:
		case !cl.hasOpenCalls():
			consider(cl.connection, cl.disconnectForBufferMemory)
		case cl.connection == receiver && cl.isSendingStatement():
			consider(cl.connection, cl.skipQuery)
		}
	}
	for _, ec := range c.pool.connections {
		consider(ec.connection, func() { c.closeForBufferMemory(ec) })
	}
	free()
}

// disconnectReceiver closes the client connection that has just received bytes of a message that can't be
// skipped.
func (c *Controller) disconnectReceiver(receiver *Connection) {
	for _, cl := range c.clients {
		isLarge := receiver.bufferBytes > bytebuf.MaxIdleCapacity
		if cl.connection == receiver && isLarge && cl.messageStartedAt >= 0 {
			cl.disconnectForBufferMemory()
			return
		}
	}
}

func (cl *client) disconnectForBufferMemory() {
	cl.counters.disconnected++
	cl.disconnect(bufferMemoryFull, immediately)
}

func (c *Controller) closeForBufferMemory(ec *engineConnection) {
	c.logMessage(infoLevel, fmt.Sprintf("closing connection %d to engine %s: largest buffer, %d bytes, "+
		"while the buffer memory is full", ec.number, ec.engine.id, ec.connection.bufferBytes))
	c.closeEngineConnection(ec)
}

// bufferUse is the memory of buffers in bytes.
type bufferUse struct {
	clients, engines int
	closing          int // of these, of connections that are being closed: free soon
}

// measureBuffers returns the use of memory by the buffers of clients and engines.
func (c *Controller) measureBuffers() (use bufferUse) {
	for _, cl := range c.clients {
		use.clients += cl.connection.bufferBytes
		use.closing += cl.connection.closingBytes()
	}
	for _, ec := range c.pool.connections {
		use.engines += ec.connection.bufferBytes
		use.closing += ec.connection.closingBytes()
	}
	return use
}

// closingBytes returns the size of the buffer if the connection is being closed.
func (conn *Connection) closingBytes() int {
	if conn.closed {
		return conn.bufferBytes
	}
	return 0
}

// skippedQuery is a query whose statement is discarded as it arrives. It is deferred once it is complete.
type skippedQuery struct {
	messageID    uint32
	missingBytes int
}

// isSendingStatement reports whether the only bytes that an incomplete message still lacks are a statement's.
func (cl *client) isSendingStatement() bool {
	_, _, ok := msgpackrpc.PartialQuery(cl.connection.Received.Bytes(), cl.maxMessageBytes)
	return ok
}

// skipQuery frees the buffer of the query that is being received, and discards the rest of its statement.
func (cl *client) skipQuery() {
	received := &cl.connection.Received
	messageID, missing, _ := msgpackrpc.PartialQuery(received.Bytes(), cl.maxMessageBytes)
	cl.skipped = &skippedQuery{messageID: messageID, missingBytes: missing}
	received.Discard(len(received.Bytes()))
	cl.recordBufferSize(cl.connection, received.Capacity())
	cl.logMessage(infoLevel, fmt.Sprintf("deferring a query of client %v while the buffer memory is full; "+
		"missing bytes: %d", cl.connection.RemoteAddress, missing))
}

// discardSkipped discards received bytes of a skipped query and, once it is complete, defers it. It returns
// false while bytes are missing.
func (cl *client) discardSkipped() bool {
	received := &cl.connection.Received
	count := min(cl.skipped.missingBytes, len(received.Bytes()))
	received.Discard(count)
	cl.skipped.missingBytes -= count
	if cl.skipped.missingBytes > 0 {
		return false
	}
	messageID := cl.skipped.messageID
	cl.skipped = nil
	if cl.findCall(messageID) != nil {
		cl.counters.malformed++
		cl.disconnect(duplicateMessageID, gracefully)
		return true
	}
	cl.counters.deferred++
	const retryAfter = 0 // none is told: the client's timeout was skipped, too
	cl.reply(msgpackrpc.AppendDeferral(nil, messageID, retryAfter))
	return true
}

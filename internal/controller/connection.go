package controller

import (
	"net/netip"
	"time"

	"railrelay.dev/railrelay/internal/bytebuf"
)

// Connection is one connection, established or being dialled. The runner appends received bytes to Received
// and reports them; it touches no other field. The owner of the connection (a client, an engineConnection
// or the discovery) sets the callbacks, which Step calls.
type Connection struct {
	Received      bytebuf.Buffer
	RemoteAddress netip.Addr // set for clients only

	onConnected  func()
	onDialFailed func(refused bool)
	onBytes      func()
	// onEndOfStream is called when no more bytes can arrive; nil: the owner waits for onClosed.
	onEndOfStream func()
	onClosed      func()
	// onCloseDeclined is called when closeIfIdle did not close the connection.
	onCloseDeclined func()

	closed         bool // nothing more is written to or read from the connection
	unwrittenBytes int  // bytes of Write effects that no BytesWritten has confirmed yet
	bufferBytes    int  // memory of Received, as last recorded
}

func (c *Controller) write(conn *Connection, p []byte) { c.writeAttempt(conn, p, nil) }

// writeAttempt writes the request that starts an attempt, guarded by the attempt's permit and the policy
// version that decided it. Any other write passes a nil attempt and is not guarded.
func (c *Controller) writeAttempt(conn *Connection, p []byte, a *attempt) {
	if conn.closed || len(p) == 0 {
		return
	}
	conn.unwrittenBytes += len(p)
	e := Effect{Kind: Write, Connection: conn, Bytes: p, RetainedData: c.writingRetainedData}
	if a != nil {
		e.PolicyVersion = a.policyVersion
		e.Confined = a.query.confined
		e.Permit = a.permit
		e.Client = a.query.owner.connection()
	}
	c.emit(e)
}

func (c *Controller) recordWritten(conn *Connection, n int) {
	conn.unwrittenBytes = max(0, conn.unwrittenBytes-n)
}

// recordBufferSize records how much memory a connection's buffer uses now.
func (c *Controller) recordBufferSize(conn *Connection, bytes int) {
	c.bufferedBytes += bytes - conn.bufferBytes
	conn.bufferBytes = bytes
}

// Values of the parameter graceful of closeConnection, closeConnectionWithin and client.disconnect.
const (
	gracefully  = true
	immediately = false
)

// closeConnection closes a connection, within messageTimeout if graceful. ConnectionClosed follows once its
// descriptor is free.
func (c *Controller) closeConnection(conn *Connection, graceful bool) {
	c.closeConnectionWithin(conn, graceful, messageTimeout)
}

// closeConnectionWithin closes a connection. If graceful, the peer has the time within to read the data
// already written and to close its side: closing while bytes from the peer are unread would reset the
// connection and discard the data that the peer has not read.
func (c *Controller) closeConnectionWithin(conn *Connection, graceful bool, within time.Duration) {
	if !conn.closed {
		conn.closed = true
		c.emit(Effect{Kind: Close, Connection: conn, Graceful: graceful, Timeout: within})
	}
}

// closeIfIdle closes a connection gracefully, unless input from the peer is pending that has not been
// received yet. If it is, the connection stays open, and declined is called before any other event is
// handled. A peer that leaves bytes unread isn't idle, and may be closed all the same.
func (c *Controller) closeIfIdle(conn *Connection, within time.Duration, declined func()) {
	if conn.unwrittenBytes > 0 {
		c.closeConnectionWithin(conn, gracefully, within)
		return
	}
	if !conn.closed {
		conn.closed = true
		conn.onCloseDeclined = declined
		c.emit(Effect{Kind: Close, Connection: conn, Graceful: true, IfIdle: true, Timeout: within})
	}
}

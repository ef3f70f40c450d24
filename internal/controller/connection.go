package controller

import (
	"net/netip"
	"time"

	"railrelay.dev/railrelay/internal/bytebuf"
)

// Connection is one connection, established or being dialled. The runner puts what arrives into
// Received and reports it; it touches nothing else. The owner of the connection, a client, an
// engine's connection or the discovery, sets the callbacks, which Step calls.
type Connection struct {
	Received      bytebuf.Buffer
	RemoteAddress netip.Addr // set for clients alone

	onConnected  func()
	onDialFailed func(refused bool)
	onBytes      func()
	// onEndOfStream is called when nothing more can arrive; nil: its owner waits for onClosed.
	onEndOfStream func()
	onClosed      func()

	closed         bool // nothing is written to it or read from it any more
	unwrittenBytes int  // of Write effects that BytesWritten did not confirm yet
	bufferBytes    int  // memory of Received, as last accounted
}

func (c *Controller) write(conn *Connection, p []byte) { c.writeAttempt(conn, p, nil) }

// writeAttempt writes the request that starts an attempt, guarded by the policy version that it was
// decided by and its permit. s is nil for anything else, which goes out unguarded.
func (c *Controller) writeAttempt(conn *Connection, p []byte, s *attempt) {
	if conn.closed || len(p) == 0 {
		return
	}
	conn.unwrittenBytes += len(p)
	e := Effect{Kind: Write, Connection: conn, Bytes: p, RetainedData: c.writingRetainedData}
	if s != nil {
		e.PolicyVersion = s.policyVersion
		e.Confined = s.query.confined
		e.Permit = s.permit
		e.Client = s.query.owner.connection()
	}
	c.emit(e)
}

func (c *Controller) recordWritten(conn *Connection, n int) {
	conn.unwrittenBytes = max(0, conn.unwrittenBytes-n)
}

// recordBufferSize notes how much memory a connection's buffer holds now.
func (c *Controller) recordBufferSize(conn *Connection, bytes int) {
	c.bufferedBytes += bytes - conn.bufferBytes
	conn.bufferBytes = bytes
}

// closeConnection closes a connection; ConnectionClosed follows when its descriptor is free.
func (c *Controller) closeConnection(conn *Connection, graceful bool) {
	c.closeConnectionWithin(conn, graceful, messageTimeout)
}

// closeConnectionWithin closes a connection. If graceful, its peer has so long to take what was written and to
// close its own side: closing while bytes from the peer are unread would reset the connection, and with
// it lose what the peer has not taken yet.
func (c *Controller) closeConnectionWithin(conn *Connection, graceful bool, within time.Duration) {
	if !conn.closed {
		conn.closed = true
		c.emit(Effect{Kind: Close, Connection: conn, Graceful: graceful, Timeout: within})
	}
}

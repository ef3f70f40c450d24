package eventloop

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"railrelay.dev/railrelay/internal/controller"
)

// connection is a connection to a client, an engine or the discovery service. The reading
// goroutine and the controller take turns in using the receive buffer.
type connection struct {
	handle         *controller.Connection
	isClient       bool
	cancelDial     context.CancelFunc // cancels a dial that is in progress
	bufferReleased chan struct{}      // a value returns the receive buffer to the reading goroutine
	conn           net.Conn
	mu             sync.Mutex
	writeQueue     []byte
	conditions     []writeCondition // of bytes in writeQueue, in order of their offsets
	closing        bool             // a graceful close is under way
	closed         bool
	wake           chan struct{} // a value wakes the write loop
	// hasUnprocessedInput is set while the controller hasn't processed the latest read or end of stream.
	hasUnprocessedInput atomic.Bool
}

// writeCondition tells when a part of a write queue may be written.
type writeCondition struct {
	offset        int    // of the part's first byte in the queue
	policyVersion uint64 // that must be in force, within the lease; 0: any
	confined      bool   // the confined lease must be valid, too
	retained      bool   // retained data of a tenant: both leases must be valid
	permit        *controller.WritePermit
}

// isConditional reports whether anything must be checked before the write.
func (w writeCondition) isConditional() bool {
	return w.policyVersion != 0 || w.retained || w.permit != nil
}

func newConnection(handle *controller.Connection, conn net.Conn) *connection {
	return &connection{handle: handle, conn: conn, bufferReleased: make(chan struct{}, 1),
		wake: make(chan struct{}, 1), cancelDial: func() {}}
}

// accept accepts client connections until the listener is closed, and serves each of them.
func (l *loop) accept(listener net.Listener) error {
	for {
		// Connections that are being closed still hold descriptors: new ones wait for a free slot.
		select {
		case l.clientSlots <- struct{}{}:
		case <-l.ctx.Done():
			return nil
		}
		accepted, err := listener.Accept()
		if err != nil {
			if l.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			<-l.clientSlots
			// A shortage of descriptors or memory is temporary; retrying at once would spin.
			l.log.Log().Err(err).Msg("can't accept a client connection; retrying")
			select {
			case <-time.After(20 * time.Millisecond):
			case <-l.ctx.Done():
			}
			continue
		}
		handle := &controller.Connection{}
		if address, ok := accepted.RemoteAddr().(*net.TCPAddr); ok {
			handle.RemoteAddress = address.AddrPort().Addr()
		}
		conn := newConnection(handle, accepted)
		conn.isClient = true
		// Sent before the next accept, because the controller may have to close a connection first.
		if !l.sendEvent(controller.ClientAccepted, conn, 0) {
			conn.close()
			return nil
		}
		l.group.Go(func() error {
			l.serve(conn)
			<-l.clientSlots
			return nil
		})
	}
}

// dial connects to an address in the background, reports the outcome, and serves the connection.
func (l *loop) dial(handle *controller.Connection, address string, timeout time.Duration) {
	ctx, cancel := context.WithCancel(l.ctx)
	conn := newConnection(handle, nil)
	conn.cancelDial = cancel
	l.connections[handle] = conn
	l.group.Go(func() error {
		defer cancel()
		dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
		dialed, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			kind := controller.ConnectTimedOut
			if errors.Is(err, syscall.ECONNREFUSED) {
				kind = controller.ConnectRefused
			}
			l.sendEvent(kind, conn, 0)
			return nil
		}
		conn.setConn(dialed)
		if l.sendEvent(controller.Connected, conn, 0) {
			l.serve(conn)
		}
		conn.close()
		return nil
	})
}

// serve starts the write loop, and passes received bytes to run until the connection ends. It reports
// ConnectionClosed last, once the descriptor is free.
func (l *loop) serve(conn *connection) {
	defer conn.close()
	writerDone := make(chan struct{})
	l.group.Go(func() error {
		defer close(writerDone)
		l.writeLoop(conn)
		return nil
	})
	for drained := 0; ; {
		n, err := conn.conn.Read(conn.handle.Received.FreeSpace())
		conn.hasUnprocessedInput.Store(true)
		if n > 0 {
			// Input during a graceful close is discarded. If it stayed unread, it would reset the connection.
			if conn.isClosing() {
				if drained += n; drained > maxDrainedBytes {
					break
				}
				if err == nil {
					continue
				}
				break
			}
			if !l.sendEvent(controller.BytesReceived, conn, n) {
				return
			}
			select {
			case <-conn.bufferReleased:
			case <-l.ctx.Done():
				return
			}
		}
		if err != nil {
			break
		}
	}
	conn.close()
	<-writerDone // BytesWritten is reported before ConnectionClosed, which may prove that nothing was written
	l.sendEvent(controller.ConnectionClosed, conn, 0)
}

// writeLoop writes the queue until the connection closes. Each write takes the queued bytes up to the next
// condition. If the condition of the bytes doesn't hold, the loop reports WriteRejected and closes the
// connection.
func (l *loop) writeLoop(conn *connection) {
	var pending []byte
	for {
		conn.mu.Lock()
		var condition writeCondition
		if len(conn.conditions) == 0 {
			pending, conn.writeQueue = conn.writeQueue, pending[:0]
		} else {
			pending, condition = conn.takeWritable(pending[:0])
		}
		closing, closed := conn.closing, conn.closed
		conn.mu.Unlock()
		switch {
		case closed:
			return
		case len(pending) > 0:
			// Input from an engine before the request is written is unsolicited, and would be taken for the response.
			if !conn.isClient && conn.hasUnprocessedInput.Load() || !condition.permit.ValidAt(time.Since(l.start)) ||
				condition.retained && !l.servingState.ConfinedLeaseValid(time.Since(l.start)) ||
				condition.policyVersion != 0 && !l.beginWrite(condition) {
				l.sendEvent(controller.WriteRejected, conn, 0)
				conn.close() // ConnectionClosed without BytesWritten shows that nothing of this part was written
				return
			}
			n, err := conn.conn.Write(pending)
			if condition.policyVersion != 0 {
				l.endWrite()
			}
			if n > 0 && !l.sendEvent(controller.BytesWritten, conn, n) {
				return
			}
			if err != nil {
				conn.close()
				return
			}
			if cap(pending) > maxIdleWriteBuffer { // or hundreds of connections would each keep the memory of a result
				pending = nil
			}
		case closing:
			conn.closeWrite()
			return
		default:
			<-conn.wake
		}
	}
}

// beginWrite checks the serving state against the current time, since the process may have been
// stopped after the controller's own check. If it returns true, endWrite must follow.
func (l *loop) beginWrite(condition writeCondition) bool {
	return l.servingState.BeginWrite(time.Since(l.start), condition.policyVersion, condition.confined)
}

// endWrite ends a write that beginWrite allowed.
func (l *loop) endWrite() { l.servingState.EndWrite() }

// setConn sets the dialed connection, or closes it if c was closed during the dial.
func (c *connection) setConn(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn = conn; c.closed {
		conn.Close()
	}
}

// maxIdleWriteBuffer is the largest capacity, in bytes, that a write queue keeps while it is empty.
const maxIdleWriteBuffer = 4 << 10

// takeWritable moves the first part of the queue to dst, which is empty: the bytes under the first condition,
// or the unconditional bytes before it. The whole queue is exchanged for dst instead of being copied.
func (c *connection) takeWritable(dst []byte) ([]byte, writeCondition) {
	var condition writeCondition
	if c.conditions[0].offset == 0 {
		condition = c.conditions[0]
		c.conditions = append(c.conditions[:0], c.conditions[1:]...)
	}
	if len(c.conditions) == 0 {
		dst, c.writeQueue = c.writeQueue, dst
		return dst, condition
	}
	n := c.conditions[0].offset
	dst = append(dst, c.writeQueue[:n]...)
	c.writeQueue = append(c.writeQueue[:0], c.writeQueue[n:]...)
	for i := range c.conditions {
		c.conditions[i].offset -= n
	}
	return dst, condition
}

// enqueue appends data to the write queue, which owns data from then on. Only small data is copied: the
// statements of many queries may be queued at a time.
func (c *connection) enqueue(data []byte, condition writeCondition) {
	c.mu.Lock()
	if condition.isConditional() || len(c.conditions) > 0 {
		condition.offset = len(c.writeQueue)
		c.conditions = append(c.conditions, condition)
	}
	if len(c.writeQueue) == 0 && len(data) > maxIdleWriteBuffer {
		c.writeQueue = data
	} else {
		c.writeQueue = append(c.writeQueue, data...)
	}
	c.mu.Unlock()
	c.wakeWriter()
}

// maxDrainedBytes is how many bytes are read and discarded during a graceful close.
const maxDrainedBytes = 256 << 10

// closeWrite closes our side of the connection. The peer's side is still read, to its end or to the
// deadline that closeGracefully set: closing a socket with unread input resets the connection, and
// the peer would lose the part of the answer that it hasn't read yet.
func (c *connection) closeWrite() {
	if tcp, ok := c.conn.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		c.close()
	}
}

// isClosing reports whether a graceful close is under way.
func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// readAvailable reads, without waiting, the bytes that have arrived after the n bytes already read. It
// returns the total, and whether the stream has ended: a query need not begin if its client has left.
func (c *connection) readAvailable(n int) (total int, ended bool) {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return n, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return n, false
	}
	raw.Read(func(fd uintptr) bool {
		if space := c.handle.Received.FreeSpace()[n:]; len(space) > 0 {
			read, err := syscall.Read(int(fd), space)
			n += max(read, 0)
			ended = read == 0 && err == nil || read < 0 && err != syscall.EAGAIN && err != syscall.EINTR
		}
		return true
	})
	return n, ended
}

// hasPendingInput reports whether the controller hasn't processed all that the peer has sent: the latest
// read, bytes in the socket's buffer, or the end of the stream.
func (c *connection) hasPendingInput() bool {
	if c.hasUnprocessedInput.Load() {
		return true
	}
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return pending
}

// closeGracefully closes the connection once the queue is written and the peer has closed, and in any
// case after the timeout: a peer that doesn't read, or is idle, would keep the connection open forever.
func (c *connection) closeGracefully(timeout time.Duration) {
	c.mu.Lock()
	c.closing = true
	if c.conn != nil {
		c.conn.SetDeadline(time.Now().Add(timeout))
	}
	c.mu.Unlock()
	c.wakeWriter()
}

// closeIfIdle closes the connection gracefully, unless input is pending, and reports whether it did. Nothing
// may be queued for writing. The peer is told at once: what it sends after the check is lost.
func (c *connection) closeIfIdle(timeout time.Duration) bool {
	if c.hasPendingInput() {
		return false
	}
	c.closeWrite()
	c.closeGracefully(timeout)
	return true
}

// close closes the connection at once. The kernel still delivers what was written to the socket.
func (c *connection) close() { c.terminate(false) }

// terminate closes the connection. With abort, the kernel drops written data that isn't delivered yet.
func (c *connection) terminate(abort bool) {
	c.cancelDial()
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		if tcp, ok := c.conn.(*net.TCPConn); ok && abort {
			tcp.SetLinger(0)
		}
		if c.conn != nil {
			c.conn.Close()
		}
	}
	c.mu.Unlock()
	c.wakeWriter()
}

// wakeWriter wakes the write loop. Several calls before it runs wake it once.
func (c *connection) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

package transport

import (
	"net"
	"sync/atomic"
)

// byteMeter counts the bytes that are read from and written to connections: frames and responses
// with their HTTP headers, but without TCP and IP headers.
type byteMeter struct{ received, sent atomic.Int64 }

// listener wraps l so that the bytes of every accepted connection are counted.
func (m *byteMeter) listener(l net.Listener) net.Listener { return &meteredListener{l, m} }

// conn wraps c so that the bytes of the connection are counted.
func (m *byteMeter) conn(c net.Conn) net.Conn { return &meteredConn{c, m} }

type meteredListener struct {
	net.Listener
	meter *byteMeter
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.conn(c), nil
}

type meteredConn struct {
	net.Conn
	meter *byteMeter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	return n, err
}

package transport

import (
	"net"
	"sync/atomic"
)

// meter counts the bytes of connections as they are read and written: frames with
// HTTP's headers and answers. The headers of TCP and IP come on top.
type byteMeter struct{ received, sent atomic.Int64 }

// listener counts on every connection that is accepted.
func (m *byteMeter) listener(l net.Listener) net.Listener { return &meteredListener{l, m} }

// conn counts on one connection.
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

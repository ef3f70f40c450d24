package hollow

import (
	"context"
	"net"
	"sync"
	"time"
)

// Place is the location of a controller.
type Place struct {
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

// Links are the one-way latencies of links and their jitter.
type Links struct {
	Zone    time.Duration `json:"zone"`    // one-way latency within a zone
	Region  time.Duration `json:"region"`  // one-way latency between zones of a region
	Regions time.Duration `json:"regions"` // one-way latency between regions
	Jitter  float64       `json:"jitter"`  // largest increase, as a fraction of the latency
}

// OneWay returns the latency between two places, without jitter.
func (l Links) OneWay(a, b Place) time.Duration {
	switch {
	case a.Region != b.Region:
		return l.Regions
	case a.Zone != b.Zone:
		return l.Region
	}
	return l.Zone
}

// gate blocks all of a controller's connections while it is paused, and those to other regions
// during a cut.
type gate struct {
	mu      sync.Mutex
	paused  bool
	cut     bool
	changed chan struct{} // closed by the next change
}

func newGate() *gate { return &gate{changed: make(chan struct{})} }

// set changes the gate's state and wakes all callers of pass.
func (g *gate) set(change func(*gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g)
	close(g.changed)
	g.changed = make(chan struct{})
}

// pass waits until bytes may pass, to or from another region if otherRegion is set. It returns false if ended
// is closed first.
func (g *gate) pass(otherRegion bool, ended <-chan struct{}) bool {
	for {
		g.mu.Lock()
		held, changed := g.paused || g.cut && otherRegion, g.changed
		g.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-ended:
			return false
		}
	}
}

// burstGap is the largest gap between reads or writes of one message.
const burstGap = 300 * time.Microsecond

// shapedConn is a connection with a gate and a link latency. Pieces within one burst count as one
// message and are delayed once.
type shapedConn struct {
	net.Conn
	gate        *gate
	otherRegion bool
	delay       func() time.Duration
	once        sync.Once
	ended       chan struct{}
	written     time.Time // time of the last write; used by the writing goroutine only
}

// Read delays received bytes by the link's latency. Bytes that were already waiting belong to the
// previous burst and aren't delayed.
func (c *shapedConn) Read(p []byte) (int, error) {
	began := time.Now()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.delayPiece(time.Since(began) > burstGap)
	}
	return n, err
}

func (c *shapedConn) Write(p []byte) (int, error) {
	c.delayPiece(time.Since(c.written) > burstGap)
	n, err := c.Conn.Write(p)
	c.written = time.Now()
	return n, err
}

func (c *shapedConn) delayPiece(delayed bool) {
	if c.gate.pass(c.otherRegion, c.ended) && delayed {
		time.Sleep(c.delay())
	}
}

func (c *shapedConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// shapedListener applies shape to accepted connections.
type shapedListener struct {
	net.Listener
	shape func(net.Conn) net.Conn
}

func (l *shapedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.shape(c), nil
}

// dialer dials from a local address and applies shape to the connections.
type dialer struct {
	local           net.IP
	directAddresses map[string]string // by address, the address behind a proxy
	shape           func(net.Conn) net.Conn
	gate            *gate
	isOtherRegion   func(address string) bool
}

const dialTimeout = time.Second

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if to := d.directAddresses[address]; to != "" {
		address = to
	}
	if !d.gate.pass(d.isOtherRegion(address), ctx.Done()) {
		return nil, ctx.Err()
	}
	plain := &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: d.local}}
	c, err := plain.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.shape(c), nil
}

package hollow

import (
	"context"
	"net"
	"sync"
	"time"
)

// Place is where a controller stands.
type Place struct {
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

// Links are the times that links take one way, and by how much a time varies.
type Links struct {
	Zone    time.Duration `json:"zone"`    // between two in one zone
	Region  time.Duration `json:"region"`  // between two zones of a region
	Regions time.Duration `json:"regions"` // between two regions
	Jitter  float64       `json:"jitter"`  // the part of a time by which it may be longer
}

// OneWay is the time between two places, without jitter.
func (l Links) OneWay(a, b Place) time.Duration {
	switch {
	case a.Region != b.Region:
		return l.Regions
	case a.Zone != b.Zone:
		return l.Region
	}
	return l.Zone
}

// gate holds up all of a controller's connections while it is paused, and those to the
// other regions while these are cut off.
type gate struct {
	mu      sync.Mutex
	paused  bool
	cut     bool
	changed chan struct{} // closed by the next change
}

func newGate() *gate { return &gate{changed: make(chan struct{})} }

func (g *gate) set(change func(*gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g)
	close(g.changed)
	g.changed = make(chan struct{})
}

// pass waits until bytes may pass; false if ended came first.
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

// burst is how soon after each other pieces of one message are read or written.
const burstGap = 300 * time.Microsecond

// shapedConn is a connection through the gate and a link that takes its time. Pieces that
// come in one burst are one message: the link's time passes once for all of them.
type shapedConn struct {
	net.Conn
	gate        *gate
	otherRegion bool
	delay       func() time.Duration
	once        sync.Once
	ended       chan struct{}
	written     time.Time // of the goroutine that writes: when the last piece was
}

// Read waits for the link's time unless the bytes lay there already: then they came with
// those before them.
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

// shapedListener shapes the connections that it accepts.
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

// dialer connects from an address through links.
type dialer struct {
	local           net.IP
	directAddresses map[string]string // where an address leads in truth, past a proxy for others
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

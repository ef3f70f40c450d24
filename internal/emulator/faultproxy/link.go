package faultproxy

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	readSize          = 16 << 10 // bytes of a read buffer
	maxQueuedPieces   = 64       // pieces queued per direction; when full, the sender isn't read from
	maxConnections    = 1024     // connections per link; further ones are closed
	maxDuplicateBytes = 4 << 20  // bytes kept for Duplicate between two responses; more aren't sent again
	ioTimeout         = 5 * time.Second
)

// Link accepts connections at Address and forwards them to its target. During a Cut it still accepts
// connections, and then closes them or leaves them waiting, because loopback can't drop a SYN.
type Link struct {
	listener net.Listener // nil if a Mesh accepts the connections
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu          sync.Mutex
	target      string
	fault       Fault
	generation  int           // number of calls of SetFault
	changed     chan struct{} // closed by the next SetFault
	rand        *rand.Rand
	connections map[*connection]struct{}
	hitCounts   map[string]int
	closed      bool
}

// New creates a link to a target. If target is "", the link closes all connections until SetTarget.
func New(target string) (*Link, error) {
	l := newLink(target)
	var err error
	if l.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	l.wg.Go(func() { acceptAll(l.listener, l.accept) })
	return l, nil
}

func newLink(target string) *Link {
	l := &Link{target: target, changed: make(chan struct{}), connections: map[*connection]struct{}{},
		hitCounts: map[string]int{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func acceptAll(from net.Listener, carry func(*net.TCPConn)) {
	for {
		c, err := from.Accept()
		if err != nil {
			return
		}
		carry(c.(*net.TCPConn))
	}
}

// Address returns the address to connect to.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetTarget sets the target of new connections.
func (l *Link) SetTarget(address string) {
	l.mu.Lock()
	l.target = address
	l.mu.Unlock()
}

// SetFault replaces the link's fault. It also ends the connections that the new fault ends at once, and those
// that have lost bytes.
func (l *Link) SetFault(f Fault) {
	l.mu.Lock()
	l.fault, l.generation = f, l.generation+1
	l.rand = rand.New(rand.NewPCG(f.Seed, 1))
	close(l.changed)
	l.changed = make(chan struct{})
	var ends []*connection
	for c := range l.connections {
		all := f.Kind == Reset || f.Kind == Cut && !f.Silent
		if all {
			l.hitCounts[string(f.Kind)]++
		}
		if all || c.lostBytes {
			ends = append(ends, c)
		}
		c.passed = [3]int64{}
	}
	l.mu.Unlock()
	for _, c := range ends {
		c.close(f.Kind != Cut)
	}
}

// Play reports an event to a script and sets the faults that are due.
func (l *Link) Play(s *Script, event string) {
	for _, step := range s.OnEvent(event) {
		l.SetFault(step.Fault)
	}
}

// HitCounts returns for each kind how often a fault affected bytes, or for Cut and Reset a
// connection. The key double_left_out counts how often bytes were too many to be sent again.
func (l *Link) HitCounts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.hitCounts)
}

// Close closes all connections and waits for the link's goroutines.
func (l *Link) Close() error {
	var err error
	if l.listener != nil {
		err = l.listener.Close()
	}
	l.cancel()
	l.mu.Lock()
	l.closed = true
	ends := make([]*connection, 0, len(l.connections))
	for c := range l.connections {
		ends = append(ends, c)
	}
	l.mu.Unlock()
	for _, c := range ends {
		c.close(withoutReset)
	}
	l.wg.Wait()
	return err
}

func (l *Link) countHit(what string) {
	l.mu.Lock()
	l.hitCounts[what]++
	l.mu.Unlock()
}

// connection is one connection through the link.
type connection struct {
	link        *Link
	source      *net.TCPConn // from the process that connected
	ctx         context.Context
	cancel      context.CancelFunc // called when the connection ends
	passed      [3]int64           // bytes by Direction since the last SetFault; guarded by link.mu
	lostBytes   bool               // bytes were dropped: the next SetFault ends it; guarded by link.mu
	pending     []byte             // bytes to send again; guarded by link.mu
	skipPending bool               // pending exceeded its limit; guarded by link.mu

	mu        sync.Mutex
	target    *net.TCPConn // to the target; nil until connected
	duplicate *net.TCPConn // second connection of Duplicate; nil if none
	ended     bool
	discarded sync.WaitGroup // reads responses on the duplicate connection
}

// accept takes over a connection and returns without waiting. It resets the connection if the link can't
// forward it.
func (l *Link) accept(in *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := l.fault.Kind == Cut && !l.fault.Silent
	if cut {
		l.hitCounts[string(Cut)]++
	}
	if cut || l.closed || l.target == "" || len(l.connections) >= maxConnections {
		in.SetLinger(0)
		in.Close()
		return
	}
	c := &connection{link: l, source: in}
	c.ctx, c.cancel = context.WithCancel(l.ctx)
	l.connections[c] = struct{}{}
	target := l.target
	l.wg.Go(func() { c.run(target) })
}

// The arguments of connection.close.
const (
	withReset    = true
	withoutReset = false
)

// close closes both sides, with a TCP reset if reset is true.
func (c *connection) close(reset bool) {
	c.cancel()
	c.mu.Lock()
	c.ended = true
	for _, s := range []*net.TCPConn{c.source, c.target, c.duplicate} {
		if s != nil {
			if reset {
				s.SetLinger(0)
			}
			s.Close()
		}
	}
	c.mu.Unlock()
}

// dial connects to the target and stores the connection in *to. It returns false if the dial fails
// or the connection has ended.
func (c *connection) dial(target string, to **net.TCPConn) bool {
	d := net.Dialer{Timeout: ioTimeout}
	s, err := d.DialContext(c.link.ctx, "tcp", target)
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		s.Close()
		return false
	}
	*to = s.(*net.TCPConn)
	return true
}

func (c *connection) run(target string) {
	var wg sync.WaitGroup
	fromSource := c.readPieces(&wg, c.source)
	if c.waitUntilOpen() && c.dial(target, &c.target) {
		fromTarget := c.readPieces(&wg, c.target)
		var forwarders sync.WaitGroup
		forwarders.Go(func() { c.forward(ToTarget, fromSource, c.target, target) })
		forwarders.Go(func() { c.forward(FromTarget, fromTarget, c.source, target) })
		forwarders.Wait()
		c.sendDuplicate(target)
		c.mu.Lock()
		if c.duplicate != nil {
			c.duplicate.CloseWrite()
			c.duplicate.SetReadDeadline(time.Now().Add(ioTimeout))
		}
		c.mu.Unlock()
		c.discarded.Wait()
		c.close(withoutReset)
	} else {
		c.close(withReset)
	}
	wg.Wait()
	c.link.mu.Lock()
	delete(c.link.connections, c)
	c.link.mu.Unlock()
}

// waitUntilOpen waits until the fault lets bytes pass to the target. It returns false if the
// connection ends first.
func (c *connection) waitUntilOpen() bool {
	for {
		f, _, changed := c.link.currentFault()
		if !f.blocks(ToTarget) {
			return c.ctx.Err() == nil
		}
		c.link.countHit(string(f.Kind))
		select {
		case <-changed:
		case <-c.ctx.Done():
			return false
		}
	}
}

func (l *Link) currentFault() (Fault, int, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.generation, l.changed
}

type piece struct {
	bytes      []byte
	receivedAt time.Time
}

// readPieces queues received bytes. The queue is closed at the end of the stream; a read error
// resets both sides.
func (c *connection) readPieces(wg *sync.WaitGroup, from *net.TCPConn) chan piece {
	queue := make(chan piece, maxQueuedPieces)
	wg.Go(func() {
		defer close(queue)
		for {
			b := make([]byte, readSize)
			n, err := from.Read(b)
			if n > 0 {
				select {
				case queue <- piece{b[:n], time.Now()}:
				case <-c.ctx.Done():
					return
				}
			}
			if err == io.EOF {
				return
			}
			if err != nil {
				c.close(withReset)
				return
			}
		}
	})
	return queue
}

// forward applies faults to the queued bytes, writes them, and then closes the stream.
func (c *connection) forward(direction Direction, queue chan piece, to *net.TCPConn, target string) {
	for p := range queue {
		if !c.passPiece(direction, p, to) {
			c.close(withReset)
			return
		}
		if direction == FromTarget {
			c.sendDuplicate(target) // the response was delivered: bytes may be sent again
		}
	}
	for { // a fault holds the end of a stream like its bytes
		f, _, changed := c.link.currentFault()
		if !f.blocks(direction) {
			break
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return
		}
	}
	to.CloseWrite()
}

// passPiece writes one piece under the current fault, and under any fault that is set while the piece waits.
// It returns false if the connection ends or the write fails, and true also if the fault drops the piece.
func (c *connection) passPiece(direction Direction, p piece, to *net.TCPConn) bool {
	generation, delay, remaining := -1, time.Duration(0), p.bytes
	for len(remaining) > 0 {
		c.link.mu.Lock()
		f, changed := c.link.fault, c.link.changed
		isNewFault := generation != c.link.generation
		if isNewFault && f.Kind == Delay {
			delay = f.drawDelay(c.link.rand)
		}
		generation = c.link.generation
		decision := f.decide(direction, len(remaining), c.passed[direction], delay, time.Since(p.receivedAt))
		if decision.applied && isNewFault {
			c.link.hitCounts[string(f.Kind)]++
		}
		if decision.drop {
			c.lostBytes = true
		}
		c.link.mu.Unlock()
		if decision.drop {
			return true
		}
		if decision.passNow == 0 || decision.wait > 0 {
			var timer <-chan time.Time
			if decision.passNow > 0 {
				timer = time.After(decision.wait)
			}
			select {
			case <-timer:
			case <-changed:
				continue
			case <-c.ctx.Done():
				return false
			}
		}
		if direction == ToTarget && f.Kind == Duplicate {
			// before the write: the response may arrive before Write returns
			c.recordForDuplicate(remaining[:decision.passNow])
		}
		n, err := to.Write(remaining[:decision.passNow])
		c.link.mu.Lock()
		if c.link.generation == generation {
			c.passed[direction] += int64(n)
		}
		if err != nil {
			c.pending = nil
		}
		c.link.mu.Unlock()
		if err != nil {
			return false
		}
		remaining = remaining[n:]
	}
	return true
}

// recordForDuplicate keeps bytes that are to be sent again.
func (c *connection) recordForDuplicate(b []byte) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	switch {
	case c.skipPending:
	case len(c.pending)+len(b) > maxDuplicateBytes:
		c.pending, c.skipPending = nil, true
		c.link.hitCounts["double_left_out"]++
	default:
		c.pending = append(c.pending, b...)
	}
}

// sendDuplicate sends the bytes recorded since its last call again, on the duplicate connection.
func (c *connection) sendDuplicate(target string) {
	c.link.mu.Lock()
	b := c.pending
	c.pending, c.skipPending = nil, false
	c.link.mu.Unlock()
	if len(b) == 0 {
		return
	}
	if c.duplicate == nil {
		if !c.dial(target, &c.duplicate) {
			return
		}
		twin := c.duplicate
		c.discarded.Go(func() { io.Copy(io.Discard, twin) })
	}
	c.duplicate.SetWriteDeadline(time.Now().Add(ioTimeout))
	if _, err := c.duplicate.Write(b); err == nil {
		c.link.countHit(string(Duplicate))
	}
}

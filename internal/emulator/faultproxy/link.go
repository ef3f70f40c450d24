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
	readSize          = 16 << 10 // bytes read at once
	maxQueuedPieces   = 64       // chunks that wait in each direction; over it the sender isn't read from
	maxConnections    = 1024     // of a link; over it new ones are closed
	maxDuplicateBytes = 4 << 20  // bytes remembered for Double between two answers; over it they aren't doubled
	ioTimeout         = 5 * time.Second
)

// Link takes connections at Address and passes them on to its target. Who connects to
// one that is cut is taken and then closed or left waiting: loopback has no lost SYN.
type Link struct {
	listener net.Listener // nil: connections come from a Mesh's front
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu          sync.Mutex
	target      string
	fault       Fault
	generation  int           // counts Sets
	changed     chan struct{} // closed by the next Set
	rand        *rand.Rand
	connections map[*connection]struct{}
	hitCounts   map[string]int
	closed      bool
}

// New makes a link to a target. With "" it closes all connections until Target.
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
	l := &Link{target: target, changed: make(chan struct{}), connections: map[*connection]struct{}{}, hitCounts: map[string]int{}}
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

// Address is where to connect to.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Target says where new connections lead from now on.
func (l *Link) SetTarget(address string) {
	l.mu.Lock()
	l.target = address
	l.mu.Unlock()
}

// Set puts a fault on the link instead of the one before it.
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

// Play tells a script of an event and sets what is due by it.
func (l *Link) Play(s *Script, event string) {
	for _, step := range s.OnEvent(event) {
		l.SetFault(step.Fault)
	}
}

// Struck counts by kind how often a fault really did something: to some bytes, or for
// Cut and Reset to a connection. double_left_out: what was too much to be doubled.
func (l *Link) HitCounts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.hitCounts)
}

// Close closes all connections and waits for all goroutines.
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
		c.close(false)
	}
	l.wg.Wait()
	return err
}

func (l *Link) countHit(what string) {
	l.mu.Lock()
	l.hitCounts[what]++
	l.mu.Unlock()
}

// conn is one connection through the link.
type connection struct {
	link        *Link
	source      *net.TCPConn // of who connected
	ctx         context.Context
	cancel      context.CancelFunc // it ended
	passed      [3]int64           // bytes by Way since the last Set; by the link's mutex
	lostBytes   bool               // bytes of it were lost, it can't be healed; by the link's mutex
	pending     []byte             // to be doubled; by the link's mutex
	skipPending bool               // pending was too much; by the link's mutex

	mu        sync.Mutex
	target    *net.TCPConn // to the target, nil: not yet
	duplicate *net.TCPConn // of Double, nil: none
	ended     bool
	discarded sync.WaitGroup // what the twin is answered
}

// carry takes a connection over; it returns at once.
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

// end closes both sides, by a reset if it is to be one.
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

// dial connects to the target, for *to; false if that can't be, or it has ended.
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
		c.close(false)
	} else {
		c.close(true)
	}
	wg.Wait()
	c.link.mu.Lock()
	delete(c.link.connections, c)
	c.link.mu.Unlock()
}

// open waits until something would pass to the target.
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

// read queues what comes. The queue ends where the stream does; a reset ends both ways.
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
				c.close(true)
				return
			}
		}
	})
	return queue
}

// pump writes what is queued, through the faults, and then the stream's end.
func (c *connection) forward(direction Direction, queue chan piece, to *net.TCPConn, target string) {
	for p := range queue {
		if !c.passPiece(direction, p, to) {
			c.close(true)
			return
		}
		if direction == FromTarget {
			c.sendDuplicate(target) // who connected has the answer: a twin's comes second
		}
	}
	for { // the end of a stream is held up like its bytes
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

// pass brings one piece through the fault of now, and those set while it waits.
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
			c.recordForDuplicate(remaining[:decision.passNow]) // before it is written: the answer may be there before Write returns
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

// remember keeps what is to be doubled.
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

// double sends what went to the target since the last time once more, by the twin.
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

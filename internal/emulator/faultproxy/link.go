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
	chunk        = 16 << 10 // bytes read at once
	queued       = 64       // chunks that wait in each direction; over it the sender isn't read from
	connsAtMost  = 1024     // of a link; over it new ones are closed
	doubleAtMost = 4 << 20  // bytes remembered for Double between two answers; over it they aren't doubled
	patience     = 5 * time.Second
)

// Link takes connections at Address and passes them on to its target. Who connects to
// one that is cut is taken and then closed or left waiting: loopback has no lost SYN.
type Link struct {
	listener net.Listener // nil: connections come from a Mesh's front
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu      sync.Mutex
	target  string
	fault   Fault
	round   int           // counts Sets
	changed chan struct{} // closed by the next Set
	rand    *rand.Rand
	conns   map[*conn]struct{}
	struck  map[string]int
	closed  bool
}

// New makes a link to a target. With "" it closes all connections until Target.
func New(target string) (*Link, error) {
	l := bare(target)
	var err error
	if l.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	l.wg.Go(func() { accept(l.listener, l.carry) })
	return l, nil
}

func bare(target string) *Link {
	l := &Link{target: target, changed: make(chan struct{}), conns: map[*conn]struct{}{}, struck: map[string]int{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func accept(from net.Listener, carry func(*net.TCPConn)) {
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
	l.fault, l.round = f, l.round+1
	l.rand = rand.New(rand.NewPCG(f.Seed, 1))
	close(l.changed)
	l.changed = make(chan struct{})
	var ends []*conn
	for c := range l.conns {
		all := f.Kind == Reset || f.Kind == Cut && !f.Silent
		if all {
			l.struck[string(f.Kind)]++
		}
		if all || c.spoilt {
			ends = append(ends, c)
		}
		c.passed = [3]int64{}
	}
	l.mu.Unlock()
	for _, c := range ends {
		c.end(f.Kind != Cut)
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
	return maps.Clone(l.struck)
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
	ends := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		ends = append(ends, c)
	}
	l.mu.Unlock()
	for _, c := range ends {
		c.end(false)
	}
	l.wg.Wait()
	return err
}

func (l *Link) hit(what string) {
	l.mu.Lock()
	l.struck[what]++
	l.mu.Unlock()
}

// conn is one connection through the link.
type conn struct {
	l       *Link
	in      *net.TCPConn // of who connected
	ctx     context.Context
	cancel  context.CancelFunc // it ended
	passed  [3]int64           // bytes by Way since the last Set; by the link's mutex
	spoilt  bool               // bytes of it were lost, it can't be healed; by the link's mutex
	pending []byte             // to be doubled; by the link's mutex
	skip    bool               // pending was too much; by the link's mutex

	mu        sync.Mutex
	out       *net.TCPConn // to the target, nil: not yet
	twin      *net.TCPConn // of Double, nil: none
	ended     bool
	discarded sync.WaitGroup // what the twin is answered
}

// carry takes a connection over; it returns at once.
func (l *Link) carry(in *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := l.fault.Kind == Cut && !l.fault.Silent
	if cut {
		l.struck[string(Cut)]++
	}
	if cut || l.closed || l.target == "" || len(l.conns) >= connsAtMost {
		in.SetLinger(0)
		in.Close()
		return
	}
	c := &conn{l: l, in: in}
	c.ctx, c.cancel = context.WithCancel(l.ctx)
	l.conns[c] = struct{}{}
	target := l.target
	l.wg.Go(func() { c.run(target) })
}

// end closes both sides, by a reset if it is to be one.
func (c *conn) end(reset bool) {
	c.cancel()
	c.mu.Lock()
	c.ended = true
	for _, s := range []*net.TCPConn{c.in, c.out, c.twin} {
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
func (c *conn) dial(target string, to **net.TCPConn) bool {
	d := net.Dialer{Timeout: patience}
	s, err := d.DialContext(c.l.ctx, "tcp", target)
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

func (c *conn) run(target string) {
	var wg sync.WaitGroup
	there := c.read(&wg, c.in)
	if c.open() && c.dial(target, &c.out) {
		back := c.read(&wg, c.out)
		var pumps sync.WaitGroup
		pumps.Go(func() { c.pump(ToTarget, there, c.out, target) })
		pumps.Go(func() { c.pump(FromTarget, back, c.in, target) })
		pumps.Wait()
		c.double(target)
		c.mu.Lock()
		if c.twin != nil {
			c.twin.CloseWrite()
			c.twin.SetReadDeadline(time.Now().Add(patience))
		}
		c.mu.Unlock()
		c.discarded.Wait()
		c.end(false)
	} else {
		c.end(true)
	}
	wg.Wait()
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
}

// open waits until something would pass to the target.
func (c *conn) open() bool {
	for {
		f, _, changed := c.l.look()
		if !f.blocks(ToTarget) {
			return c.ctx.Err() == nil
		}
		c.l.hit(string(f.Kind))
		select {
		case <-changed:
		case <-c.ctx.Done():
			return false
		}
	}
}

func (l *Link) look() (Fault, int, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.round, l.changed
}

type piece struct {
	bytes []byte
	came  time.Time
}

// read queues what comes. The queue ends where the stream does; a reset ends both ways.
func (c *conn) read(wg *sync.WaitGroup, from *net.TCPConn) chan piece {
	queue := make(chan piece, queued)
	wg.Go(func() {
		defer close(queue)
		for {
			b := make([]byte, chunk)
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
				c.end(true)
				return
			}
		}
	})
	return queue
}

// pump writes what is queued, through the faults, and then the stream's end.
func (c *conn) pump(way Direction, queue chan piece, to *net.TCPConn, target string) {
	for p := range queue {
		if !c.pass(way, p, to) {
			c.end(true)
			return
		}
		if way == FromTarget {
			c.double(target) // who connected has the answer: a twin's comes second
		}
	}
	for { // the end of a stream is held up like its bytes
		f, _, changed := c.l.look()
		if !f.blocks(way) {
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
func (c *conn) pass(way Direction, p piece, to *net.TCPConn) bool {
	round, late, b := -1, time.Duration(0), p.bytes
	for len(b) > 0 {
		c.l.mu.Lock()
		f, changed := c.l.fault, c.l.changed
		fresh := round != c.l.round
		if fresh && f.Kind == Delay {
			late = f.late(c.l.rand)
		}
		round = c.l.round
		v := f.over(way, len(b), c.passed[way], late, time.Since(p.came))
		if v.hit && fresh {
			c.l.struck[string(f.Kind)]++
		}
		if v.drop {
			c.spoilt = true
		}
		c.l.mu.Unlock()
		if v.drop {
			return true
		}
		if v.take == 0 || v.wait > 0 {
			var timer <-chan time.Time
			if v.take > 0 {
				timer = time.After(v.wait)
			}
			select {
			case <-timer:
			case <-changed:
				continue
			case <-c.ctx.Done():
				return false
			}
		}
		if way == ToTarget && f.Kind == Duplicate {
			c.remember(b[:v.take]) // before it is written: the answer may be there before Write returns
		}
		n, err := to.Write(b[:v.take])
		c.l.mu.Lock()
		if c.l.round == round {
			c.passed[way] += int64(n)
		}
		if err != nil {
			c.pending = nil
		}
		c.l.mu.Unlock()
		if err != nil {
			return false
		}
		b = b[n:]
	}
	return true
}

// remember keeps what is to be doubled.
func (c *conn) remember(b []byte) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	switch {
	case c.skip:
	case len(c.pending)+len(b) > doubleAtMost:
		c.pending, c.skip = nil, true
		c.l.struck["double_left_out"]++
	default:
		c.pending = append(c.pending, b...)
	}
}

// double sends what went to the target since the last time once more, by the twin.
func (c *conn) double(target string) {
	c.l.mu.Lock()
	b := c.pending
	c.pending, c.skip = nil, false
	c.l.mu.Unlock()
	if len(b) == 0 {
		return
	}
	if c.twin == nil {
		if !c.dial(target, &c.twin) {
			return
		}
		twin := c.twin
		c.discarded.Go(func() { io.Copy(io.Discard, twin) })
	}
	c.twin.SetWriteDeadline(time.Now().Add(patience))
	if _, err := c.twin.Write(b); err == nil {
		c.l.hit(string(Duplicate))
	}
}

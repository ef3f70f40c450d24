// Package run performs the effects that the reducer asks for and brings back
// what came of them as events. It knows connections and the clock, and nothing
// of what is said on them.
package run

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/relay"
	"railrelay.dev/railrelay/internal/store"
)

// loop is the one goroutine that owns the reducer, with those that read and
// write for it.
type loop struct {
	ctx    context.Context
	group  *errgroup.Group
	events chan event
	wires  map[*relay.Link]*wire
	later  map[*wire][]func() // writes that wait for what has come from a client to be stepped
	wakeAt time.Duration      // when the reducer is to be woken, since the start
	log    zerolog.Logger
	start  time.Time
	timer  *time.Timer
	room   chan struct{} // one a client's connection: there are never more than it holds
	disk   *store.Keeper // nil: there is no spool on disk
	work   backlog
	word   *fleet.Word // nil: there are no peers
	peers  Peers
	untold []*fleet.Report // found no room, for the reducer to keep
}

// Peers joins the reducer and the fleet's side, which runs beside it.
type Peers struct {
	Orders  <-chan fleet.Order  // a full one makes the fleet's side wait
	Reports chan<- fleet.Report // nobody waits for it: what finds no room goes back to the reducer
}

// event is one for the reducer, with its link's connection where that is new.
type event struct {
	relay.Event
	wire *wire
}

// wire is a link's connection. Its reader and the reducer take turns with the
// link's buffer.
type wire struct {
	link   *relay.Link
	client bool
	stop   context.CancelFunc // while dialling
	turn   chan struct{}
	conn   net.Conn
	mu     sync.Mutex
	queue  []byte
	guards []guard // of what is in the queue, from where on
	ending bool    // shut for writing once the queue is out, and close once its peer has
	closed bool
	wake   chan struct{}
	// what was read, or its end, is with the reducer and not stepped yet
	unheard atomic.Bool
}

// guard is by what bytes of a queue may go out.
type guard struct {
	at      int    // where they begin
	version uint64 // 0: they always may
	bound   bool
	kept    bool // what is kept of a team: within the lease of bound teams only
	permit  *relay.Permit
}

// asks: there is something to be asked before it goes out.
func (g guard) asks() bool { return g.version != 0 || g.kept || g.permit != nil }

// Serve runs a controller on a listener until it is done or ctx ends. Peers are left
// empty where it has none.
func Serve(ctx context.Context, listener net.Listener, means relay.Means, disk *store.Keeper, peers Peers, asked <-chan relay.Event, log zerolog.Logger) error {
	group, ctx := errgroup.WithContext(ctx)
	ctx, cancel := context.WithCancel(ctx)
	l := &loop{ctx: ctx, group: group, events: make(chan event), wires: map[*relay.Link]*wire{}, later: map[*wire][]func(){}, log: log,
		start: means.Started, timer: time.NewTimer(time.Hour), room: make(chan struct{}, means.ClientsMost()), disk: disk, peers: peers}
	if means.Fleet != nil {
		l.word = means.Fleet.Word
	}
	if disk != nil {
		l.work.ready = make(chan struct{}, 1)
		group.Go(l.keep)
	}
	log.Info().Str("address", listener.Addr().String()).Msg("listening")
	group.Go(func() error { return l.accept(listener) })
	group.Go(func() error {
		defer listener.Close()
		defer cancel()
		return l.run(means, asked)
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (l *loop) run(means relay.Means, asked <-chan relay.Event) error {
	defer func() {
		for _, w := range l.wires {
			w.close()
		}
	}()
	r, effects := relay.New(means)
	done := l.perform(effects)
	for !done {
		for len(l.untold) > 0 { // it keeps these, and asks for none of them again at once
			p := l.untold[0]
			l.untold = l.untold[1:]
			done = l.perform(r.Step(time.Since(l.start), relay.Event{Kind: relay.Untold, Report: p})) || done
		}
		var ev event
		select {
		case ev = <-l.events:
		case <-l.timer.C:
			ev.Kind = relay.Woken
		case ev.Event = <-asked:
		case o := <-l.peers.Orders:
			ev.Kind, ev.Order = relay.Ordered, &o
		case <-l.ctx.Done():
			return l.ctx.Err()
		}
		if now := time.Since(l.start); l.wakeAt > 0 && now > l.wakeAt+stoodMost {
			done = l.meanwhile(r, ev)
			ev = event{Event: relay.Event{Kind: relay.Woken}}
		}
		done = l.step(r, ev) || done
	}
	l.finish()
	return nil
}

// step has the reducer hear an event and performs what it asks for.
func (l *loop) step(r *relay.Relay, ev event) (done bool) {
	if ev.wire != nil {
		l.wires[ev.Link] = ev.wire
	}
	w := l.wires[ev.Link]
	if ev.Kind == relay.Got && w != nil && w.client {
		ev.N, ev.Last = w.more(ev.N)
	}
	if w != nil && (ev.Kind == relay.Got || ev.Kind == relay.Ended) {
		w.unheard.Store(false)
	}
	if ev.Kind == relay.Ended || ev.Kind == relay.Refused || ev.Kind == relay.Unanswered {
		delete(l.wires, ev.Link)
	}
	done = l.perform(r.Step(time.Since(l.start), ev.Event))
	if ev.Kind == relay.Got || ev.Kind == relay.Ended {
		l.heard(w)
	}
	if w != nil && ev.Kind == relay.Got {
		w.turn <- struct{}{}
	}
	return done
}

// heard lets go what waited for a client's word to be stepped.
func (l *loop) heard(w *wire) {
	for _, do := range l.later[w] {
		do()
	}
	delete(l.later, w)
}

// meanwhile is for when we stood still ourselves, or had no processor: what came is heard before
// anything that is due is done. A client may have hung up long ago, and an answer that is held to
// be late lies here unread. The pause lets those that read run, who then wait with what they have.
func (l *loop) meanwhile(r *relay.Relay, ev event) (done bool) {
	time.Sleep(time.Millisecond)
	for n := 0; ; n++ {
		if ev.Kind != relay.Woken {
			ev.Early = true
			done = l.step(r, ev) || done
		}
		if n > len(l.wires) { // more than one of each: what is due has waited long enough
			return done
		}
		select {
		case ev = <-l.events:
		default:
			return done
		}
	}
}

// stoodMost is how late we may be before we hold that we stood still: a part of the 0.1 s after
// which nothing may begin for a client that left.
const stoodMost = 25 * time.Millisecond

// finish ends what clients' connections there are gently: an answer may be on its way, and one
// that rests is not waited for. What still comes on them is not read any more.
func (l *loop) finish() {
	left := 0
	for link, w := range l.wires {
		if w.client {
			left++
			w.closeGently(finishMost)
		} else {
			delete(l.wires, link)
			w.close()
		}
	}
	for wait := time.After(2 * finishMost); left > 0; {
		select {
		case ev := <-l.events:
			switch w := l.wires[ev.Link]; {
			case ev.wire != nil:
				ev.wire.close()
			case w == nil:
			case ev.Kind == relay.Got:
				w.turn <- struct{}{}
			case ev.Kind == relay.Ended:
				delete(l.wires, ev.Link)
				left--
			}
		case <-wait:
			return
		}
	}
}

// finishMost is for the last answers to come to clients that are there to read them.
const finishMost = 200 * time.Millisecond

func (l *loop) perform(effects []relay.Effect) (done bool) {
	for _, e := range effects {
		w := l.wires[e.Link]
		switch e.Verb {
		case relay.Dial:
			l.dial(e.Link, e.Address, e.Within)
		case relay.Write:
			if w == nil {
				break
			}
			g, bytes := guard{version: e.Guard, bound: e.Bound, kept: e.Kept && l.word != nil, permit: e.Permit}, e.Bytes
			if from := l.wires[e.For]; from != nil && from.unheard.Load() {
				// its client has said something, perhaps that it leaves: that first
				l.later[from] = append(l.later[from], func() { w.write(bytes, g) })
			} else {
				w.write(bytes, g)
			}
		case relay.Close:
			if w != nil && e.Gently {
				w.closeGently(e.Within)
			} else if w != nil {
				w.end(e.Abort)
			}
		case relay.Wake:
			l.timer.Reset(e.Within)
			l.wakeAt = time.Since(l.start) + e.Within
		case relay.Say:
			if e.Loud {
				told(l.log.Log(), e.About).Msg(e.Text)
			} else if e.Fine {
				told(l.log.Debug(), e.About).Msg(e.Text)
			} else {
				told(l.log.Info(), e.About).Msg(e.Text)
			}
		case relay.Count:
			l.log.Log().Float64("cpu_ms_a_query", cpuMs()/float64(max(1, e.N))).Msg(e.Text)
		case relay.Store:
			l.store(e.Work)
		case relay.Report:
			l.report(e.Report)
		case relay.Quit:
			done = true
		}
	}
	return done
}

// report tells the fleet's side. Once one found no room none after it is told before it.
func (l *loop) report(p *fleet.Report) {
	if len(l.untold) == 0 {
		select {
		case l.peers.Reports <- *p:
			return
		default:
		}
	}
	l.untold = append(l.untold, p)
}

// told puts what a line is about into fields of its own.
func told(line *zerolog.Event, a relay.About) *zerolog.Event {
	for _, f := range [...][2]string{{"query", a.Query}, {"group", a.Group}, {"team", a.Team}, {"engine", a.Engine}} {
		if f[1] != "" {
			line = line.Str(f[0], f[1])
		}
	}
	if a.Try > 0 {
		line = line.Int("try", a.Try)
	}
	return line
}

// tell hands an event to the reducer; false once it is gone.
func (l *loop) tell(kind relay.Kind, w *wire, n int) bool {
	ev := event{Event: relay.Event{Kind: kind, Link: w.link, N: n}}
	if kind == relay.Accepted {
		ev.wire = w
	}
	select {
	case l.events <- ev:
		return true
	case <-l.ctx.Done():
		return false
	}
}

func newWire(link *relay.Link, conn net.Conn) *wire {
	return &wire{link: link, conn: conn, turn: make(chan struct{}, 1), wake: make(chan struct{}, 1), stop: func() {}}
}

func (l *loop) accept(listener net.Listener) error {
	for {
		// those on their way out still have their descriptors: newcomers wait for one
		select {
		case l.room <- struct{}{}:
		case <-l.ctx.Done():
			return nil
		}
		c, err := listener.Accept()
		if err != nil {
			if l.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			<-l.room
			// out of descriptors or memory passes; asking again at once would spin
			l.log.Log().Err(err).Msg("can't accept")
			select {
			case <-time.After(20 * time.Millisecond):
			case <-l.ctx.Done():
			}
			continue
		}
		link := &relay.Link{}
		if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
			link.From = a.AddrPort().Addr()
		}
		w := newWire(link, c)
		w.client = true
		if !l.tell(relay.Accepted, w, 0) { // before the next: it may be one too many
			w.close()
			return nil
		}
		l.group.Go(func() error {
			l.serve(w)
			<-l.room
			return nil
		})
	}
}

func (l *loop) dial(link *relay.Link, address string, within time.Duration) {
	ctx, stop := context.WithCancel(l.ctx)
	w := newWire(link, nil)
	w.stop = stop
	l.wires[link] = w
	l.group.Go(func() error {
		defer stop()
		d := net.Dialer{Timeout: within, KeepAlive: -1}
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			kind := relay.Unanswered
			if errors.Is(err, syscall.ECONNREFUSED) {
				kind = relay.Refused
			}
			l.tell(kind, w, 0)
			return nil
		}
		w.have(c)
		if l.tell(relay.Up, w, 0) {
			l.serve(w)
		}
		w.close()
		return nil
	})
}

// serve reads until the connection ends. Only then, with its descriptor free,
// is the end told.
func (l *loop) serve(w *wire) {
	defer w.close()
	sent := make(chan struct{})
	l.group.Go(func() error {
		defer close(sent)
		l.send(w)
		return nil
	})
	for drained := 0; ; {
		n, err := w.conn.Read(w.link.In.Space())
		w.unheard.Store(true)
		if n > 0 {
			if w.isEnding() { // what comes after we shut it is nobody's, and only read so that it is not reset
				if drained += n; drained > drainMost {
					break
				}
				if err == nil {
					continue
				}
				break
			}
			if !l.tell(relay.Got, w, n) {
				return
			}
			select {
			case <-w.turn:
			case <-l.ctx.Done():
				return
			}
		}
		if err != nil {
			break
		}
	}
	w.close()
	<-sent // what was written must be known before the end: it may prove that nothing was
	l.tell(relay.Ended, w, 0)
}

// send writes what is queued, in one go what has gathered meanwhile.
func (l *loop) send(w *wire) {
	var p []byte
	for {
		w.mu.Lock()
		var g guard
		if len(w.guards) == 0 {
			p, w.queue = w.queue, p[:0]
		} else {
			p, g = w.part(p[:0])
		}
		ending, closed := w.ending, w.closed
		w.mu.Unlock()
		switch {
		case closed:
			return
		case len(p) > 0:
			// an engine that has said something since was not asked for it, and it would pass for the answer
			if !w.client && w.unheard.Load() || !g.permit.Holds(time.Since(l.start)) || g.kept && !l.word.Holds(time.Since(l.start)) || g.version != 0 && !l.mayWrite(g) {
				l.tell(relay.Barred, w, 0)
				w.close() // nothing of it went out, and its end says so
				return
			}
			n, err := w.conn.Write(p)
			if g.version != 0 {
				l.wrote()
			}
			if n > 0 && !l.tell(relay.Wrote, w, n) {
				return
			}
			if err != nil {
				w.close()
				return
			}
			if cap(p) > 4<<10 { // hundreds of connections would each keep a result's room
				p = nil
			}
		case ending:
			w.shutForWriting()
			return
		default:
			<-w.wake
		}
	}
}

func (w *wire) have(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn = c; w.closed {
		c.Close()
	}
}

// part takes from the queue what goes out by one guard, or up to the first.
func (w *wire) part(p []byte) ([]byte, guard) {
	var g guard
	if w.guards[0].at == 0 {
		g = w.guards[0]
		w.guards = append(w.guards[:0], w.guards[1:]...)
	}
	n := len(w.queue)
	if len(w.guards) > 0 {
		n = w.guards[0].at
	}
	p = append(p, w.queue[:n]...)
	w.queue = append(w.queue[:0], w.queue[n:]...)
	for i := range w.guards {
		w.guards[i].at -= n
	}
	return p, g
}

func (w *wire) write(p []byte, g guard) {
	w.mu.Lock()
	if g.asks() || len(w.guards) > 0 {
		g.at = len(w.queue)
		w.guards = append(w.guards, g)
	}
	w.queue = append(w.queue, p...)
	w.mu.Unlock()
	w.poke()
}

// drainMost is how many bytes are read of a connection that we shut for writing.
const drainMost = 256 << 10

// shutForWriting tells the peer that nothing more comes. Its own side is read to its end, or to
// the time that closeGently set: closed over bytes that nobody read, a connection is reset, and
// the answer that its peer has not taken yet goes with it.
func (w *wire) shutForWriting() {
	if c, ok := w.conn.(*net.TCPConn); !ok || c.CloseWrite() != nil {
		w.close()
	}
}

func (w *wire) isEnding() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ending
}

// more reads what has come behind the n bytes at hand without waiting, and whether that was all:
// what was asked by one that has hung up already need not begin.
func (w *wire) more(n int) (all int, last bool) {
	c, ok := w.conn.(*net.TCPConn)
	if !ok {
		return n, false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return n, false
	}
	raw.Read(func(fd uintptr) bool {
		if room := w.link.In.Space()[n:]; len(room) > 0 {
			m, err := syscall.Read(int(fd), room)
			n += max(m, 0)
			last = m == 0 && err == nil || m < 0 && err != syscall.EAGAIN && err != syscall.EINTR
		}
		return true
	})
	return n, last
}

// closeGently closes once the queue is out and the peer has closed, and after a time whether they
// are or not: who doesn't read, or rests, would keep the connection for good.
func (w *wire) closeGently(within time.Duration) {
	w.mu.Lock()
	w.ending = true
	if w.conn != nil {
		w.conn.SetDeadline(time.Now().Add(within))
	}
	w.mu.Unlock()
	w.poke()
}

func (w *wire) close() { w.end(false) }

// end closes it; with abort the kernel forgets what it has not delivered.
func (w *wire) end(abort bool) {
	w.stop()
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		if c, ok := w.conn.(*net.TCPConn); ok && abort {
			c.SetLinger(0)
		}
		if w.conn != nil {
			w.conn.Close()
		}
	}
	w.mu.Unlock()
	w.poke()
}

// poke wakes the writer, once however often it is asked for.
func (w *wire) poke() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// cpuMs is the processor time that the process has taken.
func cpuMs() float64 {
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return float64(used.Utime.Nano()+used.Stime.Nano()) / float64(time.Millisecond)
}

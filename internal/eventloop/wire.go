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

// wire is a link's connection. Its reader and the reducer take turns with the
// link's buffer.
type wire struct {
	link   *controller.Connection
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
	permit  *controller.WritePermit
}

// asks: there is something to be asked before it goes out.
func (g guard) asks() bool { return g.version != 0 || g.kept || g.permit != nil }

func newWire(link *controller.Connection, conn net.Conn) *wire {
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
		link := &controller.Connection{}
		if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
			link.RemoteAddress = a.AddrPort().Addr()
		}
		w := newWire(link, c)
		w.client = true
		if !l.tell(controller.ClientAccepted, w, 0) { // before the next: it may be one too many
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

func (l *loop) dial(link *controller.Connection, address string, within time.Duration) {
	ctx, stop := context.WithCancel(l.ctx)
	w := newWire(link, nil)
	w.stop = stop
	l.wires[link] = w
	l.group.Go(func() error {
		defer stop()
		d := net.Dialer{Timeout: within, KeepAlive: -1}
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			kind := controller.ConnectTimedOut
			if errors.Is(err, syscall.ECONNREFUSED) {
				kind = controller.ConnectRefused
			}
			l.tell(kind, w, 0)
			return nil
		}
		w.have(c)
		if l.tell(controller.Connected, w, 0) {
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
		n, err := w.conn.Read(w.link.Received.FreeSpace())
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
			if !l.tell(controller.BytesReceived, w, n) {
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
	l.tell(controller.ConnectionClosed, w, 0)
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
			if !w.client && w.unheard.Load() || !g.permit.ValidAt(time.Since(l.start)) || g.kept && !l.word.ConfinedLeaseValid(time.Since(l.start)) || g.version != 0 && !l.mayWrite(g) {
				l.tell(controller.WriteRejected, w, 0)
				w.close() // nothing of it went out, and its end says so
				return
			}
			n, err := w.conn.Write(p)
			if g.version != 0 {
				l.wrote()
			}
			if n > 0 && !l.tell(controller.BytesWritten, w, n) {
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

// mayWrite asks the fleet's word, by the clock as it is now: the process may have been
// stopped since the controller asked. If it says yes, wrote must follow.
func (l *loop) mayWrite(g guard) bool {
	return l.word.BeginWrite(time.Since(l.start), g.version, g.bound)
}

// wrote ends what mayWrite began.
func (l *loop) wrote() { l.word.EndWrite() }

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
		if room := w.link.Received.FreeSpace()[n:]; len(room) > 0 {
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

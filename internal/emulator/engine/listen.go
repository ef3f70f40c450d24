package engine

import (
	"context"
	"net"
	"sync"
	"time"
)

// Listener runs a Server on sockets, in real time from when it was made.
type Listener struct {
	net.Listener
	mu     sync.Mutex
	server *Server
	start  time.Time
	timer  *time.Timer
	wg     sync.WaitGroup
	open   map[net.Conn]bool
	done   bool
}

// Listen starts an engine on an address ("127.0.0.1:0" for a port of the
// system's); Close ends it and all it holds.
func Listen(ctx context.Context, address string, f Config, cold bool) (*Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	x := &Listener{Listener: l, server: NewServer(NewModel(f, 0, cold)), start: time.Now(), open: map[net.Conn]bool{}}
	x.timer = time.AfterFunc(time.Hour, x.due)
	x.wg.Add(1)
	go x.accept()
	return x, nil
}

// Do runs something on the server at the present time, alone.
func (l *Listener) WithServer(what func(now time.Duration, s *Server)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	what(time.Since(l.start), l.server)
	l.arm()
}

// Traffic is what its connections have carried so far.
func (l *Listener) Traffic() Traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.server.Traffic()
}

func (l *Listener) due() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.done {
		l.server.ProcessDue(time.Since(l.start))
		l.arm()
	}
}

func (l *Listener) arm() {
	if at, ok := l.server.NextDue(); ok && !l.done {
		l.timer.Reset(max(0, at-time.Since(l.start)))
	}
}

func (l *Listener) accept() {
	defer l.wg.Done()
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return
		}
		l.wg.Add(1)
		go l.serve(c)
	}
}

func (l *Listener) serve(c net.Conn) {
	defer l.wg.Done()
	defer c.Close()
	// answers are small against a socket's buffer; who doesn't read them loses the connection
	conn := &Conn{Write: func(p []byte) {
		c.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := c.Write(p); err != nil {
			c.Close()
		}
	}, Close: func() { c.Close() }}
	l.mu.Lock()
	if l.done {
		l.mu.Unlock()
		return
	}
	l.open[c] = true
	l.server.Accept(conn)
	l.mu.Unlock()
	p := make([]byte, 16<<10)
	for {
		n, err := c.Read(p)
		l.mu.Lock()
		if n > 0 && !l.done {
			l.server.Receive(time.Since(l.start), conn, p[:n])
			l.arm()
		}
		if err != nil {
			l.server.Disconnected(conn)
			delete(l.open, c)
		}
		l.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// Close ends the engine with all its connections.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	l.done = true
	l.timer.Stop()
	for c := range l.open {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
	return err
}

package engine

import (
	"context"
	"net"
	"sync"
	"time"
)

// Listener runs a Server on TCP connections in real time, counted from the Listener's creation.
type Listener struct {
	net.Listener
	mu          sync.Mutex
	server      *Server
	start       time.Time
	timer       *time.Timer
	goroutines  sync.WaitGroup
	connections map[net.Conn]bool
	closed      bool
}

// Listen starts an engine on an address. With "127.0.0.1:0" the system chooses the port. Close
// stops the engine and closes its connections.
func Listen(ctx context.Context, address string, config Config, cold bool) (*Listener, error) {
	var listenConfig net.ListenConfig
	inner, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	listener := &Listener{Listener: inner, server: NewServer(NewModel(config, 0, cold)), start: time.Now(),
		connections: map[net.Conn]bool{}}
	listener.timer = time.AfterFunc(time.Hour, listener.processDue)
	listener.goroutines.Add(1)
	go listener.accept()
	return listener, nil
}

// WithServer calls do with the current time and exclusive access to the server.
func (l *Listener) WithServer(do func(now time.Duration, s *Server)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do(time.Since(l.start), l.server)
	l.armTimer()
}

// Traffic returns the traffic of all connections so far.
func (l *Listener) Traffic() Traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.server.Traffic()
}

func (l *Listener) processDue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.server.ProcessDue(time.Since(l.start))
		l.armTimer()
	}
}

func (l *Listener) armTimer() {
	if at, ok := l.server.NextDue(); ok && !l.closed {
		l.timer.Reset(max(0, at-time.Since(l.start)))
	}
}

func (l *Listener) accept() {
	defer l.goroutines.Done()
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return
		}
		l.goroutines.Add(1)
		go l.serve(c)
	}
}

func (l *Listener) serve(c net.Conn) {
	defer l.goroutines.Done()
	defer c.Close()
	// Responses are small compared with a socket's buffer. A client that doesn't read them for a
	// second loses its connection.
	conn := &Conn{Write: func(p []byte) {
		c.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := c.Write(p); err != nil {
			c.Close()
		}
	}, Close: func() { c.Close() }}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.connections[c] = true
	l.server.Accept(conn)
	l.mu.Unlock()
	p := make([]byte, 16<<10)
	for {
		n, err := c.Read(p)
		l.mu.Lock()
		if n > 0 && !l.closed {
			l.server.Receive(time.Since(l.start), conn, p[:n])
			l.armTimer()
		}
		if err != nil {
			l.server.Disconnected(conn)
			delete(l.connections, c)
		}
		l.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// Close stops the engine and closes all its connections.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	l.closed = true
	l.timer.Stop()
	for c := range l.connections {
		c.Close()
	}
	l.mu.Unlock()
	l.goroutines.Wait()
	return err
}

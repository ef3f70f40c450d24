// Package feed emulates the control feed that lists the engines. Log holds the numbered events and
// Listener serves them on TCP.
package feed

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is one entry of the list, with the feed's keys.
type Engine struct {
	ID        string `json:"id"`
	HostPort  string `json:"host_port"`
	Locality  string `json:"locality"`
	Flavor    string `json:"flavor"`
	Cell      int    `json:"cell"`
	Phase     string `json:"phase"` // SERVING, DRAINING, DELETED
	Size      int    `json:"size"`
	UpSinceMs int64  `json:"up_since_ms"`
}

// Log holds all events of the feed, one line each. The first event lists all engines.
type Log struct{ lines [][]byte }

type memberList struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Engine `json:"members"`
}

type event struct {
	N       int        `json:"n"`
	Members memberList `json:"members"`
}

// Append adds an event that lists all engines if complete is true, else those that changed.
func (l *Log) Append(complete bool, engines ...Engine) {
	n := len(l.lines) + 1
	line, err := json.Marshal(event{n, memberList{n, complete, engines}})
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	l.lines = append(l.lines, line)
}

// LastEvent returns the number of the newest event.
func (l *Log) LastEvent() int { return len(l.lines) }

// EventsSince returns all events after event n, one line each.
func (l *Log) EventsSince(n int) []byte {
	var b bytes.Buffer
	for _, line := range l.lines[min(max(n, 0), len(l.lines)):] {
		b.Write(line)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// ConfigurationJSON returns all events as a snapshot, for controller.Config.InitialEndpoints.
func (l *Log) ConfigurationJSON() []byte {
	head := `{"n":` + strconv.Itoa(l.LastEvent()) + `,"events":[`
	return append(append([]byte(head), bytes.Join(l.lines, []byte(","))...), "]}"...)
}

// Heartbeat returns the line that is sent every second: the number of the newest event.
func (l *Log) Heartbeat() []byte {
	return append(strconv.AppendInt(nil, int64(l.LastEvent()), 10), '\n')
}

// ParseSubscription parses a controller's subscription line, "SUB N", and returns N.
func ParseSubscription(line []byte) (n int, ok bool) {
	word, number, found := strings.Cut(strings.TrimSpace(string(line)), " ")
	n, err := strconv.Atoi(number)
	return n, found && word == "SUB" && err == nil && n >= 0
}

// Listener serves a Log on TCP connections.
type Listener struct {
	net.Listener
	mu          sync.Mutex
	log         *Log
	connections map[net.Conn]bool
	lastSent    map[net.Conn]int // last event sent to each subscriber
	stop        context.CancelFunc
	goroutines  sync.WaitGroup
	traffic     Traffic
}

// Traffic counts the bytes that a feed's connections have carried, without TCP and IP headers.
type Traffic struct {
	In, Out int // In counts subscriptions only
	Events  int // part of Out that isn't heartbeats
}

// Traffic returns the traffic so far.
func (l *Listener) Traffic() Traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.traffic
}

// Listen serves a log on an address until Close.
func Listen(ctx context.Context, address string, log *Log) (*Listener, error) {
	var listenConfig net.ListenConfig
	inner, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	l := &Listener{Listener: inner, log: log, stop: stop,
		connections: map[net.Conn]bool{}, lastSent: map[net.Conn]int{}}
	l.goroutines.Add(2)
	go l.accept()
	go l.sendHeartbeats(ctx)
	return l, nil
}

// Publish adds an event and sends it to all subscribers.
func (l *Listener) Publish(complete bool, engines ...Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Append(complete, engines...)
	for c := range l.lastSent {
		l.sendNew(c)
	}
}

// sendNew sends a subscriber the events after the last one that was sent.
func (l *Listener) sendNew(c net.Conn) {
	c.SetWriteDeadline(time.Now().Add(time.Second))
	text := l.log.EventsSince(l.lastSent[c])
	l.traffic.Out += len(text)
	l.traffic.Events += len(text)
	if _, err := c.Write(text); err != nil {
		c.Close()
	}
	l.lastSent[c] = l.log.LastEvent()
}

func (l *Listener) sendHeartbeats(ctx context.Context) {
	defer l.goroutines.Done()
	every := time.NewTicker(time.Second)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			l.mu.Lock()
			for c := range l.lastSent {
				c.SetWriteDeadline(time.Now().Add(time.Second))
				n, _ := c.Write(l.log.Heartbeat())
				l.traffic.Out += n
			}
			l.mu.Unlock()
		}
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
	l.mu.Lock()
	l.connections[c] = true
	l.mu.Unlock()
	var line []byte
	p := make([]byte, 256)
	for subscribed := false; ; {
		n, err := c.Read(p)
		if line = append(line, p[:n]...); !subscribed && bytes.IndexByte(line, '\n') >= 0 {
			last, ok := ParseSubscription(line)
			if !ok {
				return
			}
			subscribed = true
			l.mu.Lock()
			l.traffic.In += len(line)
			l.lastSent[c] = last
			l.sendNew(c)
			l.mu.Unlock()
		}
		if err != nil || len(line) > 1024 {
			l.mu.Lock()
			delete(l.lastSent, c)
			delete(l.connections, c)
			l.mu.Unlock()
			return
		}
	}
}

// Close stops the feed and closes all its connections.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.stop()
	l.mu.Lock()
	for c := range l.connections {
		c.Close()
	}
	l.mu.Unlock()
	l.goroutines.Wait()
	return err
}

// Package feed is a stand-in for the control feed that lists the engines: events
// by number over bytes, and sockets round them.
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

// Engine is one entry of the list, under the feed's names.
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

// Log is the feed's events from the first, each a line. The first lists all.
type Log struct{ lines [][]byte }

type members struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Engine `json:"members"`
}

type event struct {
	N       int     `json:"n"`
	Members members `json:"members"`
}

// Tell adds an event: of all engines with whole, else of those that changed.
func (l *Log) Append(whole bool, engines ...Engine) {
	n := len(l.lines) + 1
	line, err := json.Marshal(event{n, members{n, whole, engines}})
	if err != nil {
		panic(err) // nothing in it can fail
	}
	l.lines = append(l.lines, line)
}

// Last is the number of the newest event.
func (l *Log) LastEvent() int { return len(l.lines) }

// Since is all events after one, a line each.
func (l *Log) EventsSince(n int) []byte {
	var b bytes.Buffer
	for _, line := range l.lines[min(max(n, 0), len(l.lines)):] {
		b.Write(line)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// Known is the form that a configuration holds all events in.
func (l *Log) ConfigurationJSON() []byte {
	return append(append([]byte(`{"n":`+strconv.Itoa(l.LastEvent())+`,"events":[`), bytes.Join(l.lines, []byte(","))...), "]}"...)
}

// Beat is the line that comes every second.
func (l *Log) Heartbeat() []byte {
	return append(strconv.AppendInt(nil, int64(l.LastEvent()), 10), '\n')
}

// Asked reads what a controller writes, SUB N; false if it is no such line.
func ParseSubscription(line []byte) (n int, ok bool) {
	word, number, found := strings.Cut(strings.TrimSpace(string(line)), " ")
	n, err := strconv.Atoi(number)
	return n, found && word == "SUB" && err == nil && n >= 0
}

// Listener serves a Log on sockets.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	log   *Log
	open  map[net.Conn]bool
	conns map[net.Conn]int // the last event each was told
	stop  context.CancelFunc
	wg    sync.WaitGroup
	bytes Traffic
}

// Bytes is what a feed's connections have carried, without the headers of TCP and IP.
type Traffic struct {
	In, Out int
	Events  int // of Out, those that are not the number of each second
}

// Bytes is what there was so far.
func (l *Listener) Traffic() Traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Listen starts a feed on an address; Close ends it.
func Listen(ctx context.Context, address string, log *Log) (*Listener, error) {
	var lc net.ListenConfig
	nl, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	l := &Listener{Listener: nl, log: log, open: map[net.Conn]bool{}, conns: map[net.Conn]int{}, stop: stop}
	l.wg.Add(2)
	go l.accept()
	go l.beat(ctx)
	return l, nil
}

// Tell adds an event and passes it on to all.
func (l *Listener) Publish(whole bool, engines ...Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Append(whole, engines...)
	for c := range l.conns {
		l.pass(c)
	}
}

func (l *Listener) pass(c net.Conn) {
	c.SetWriteDeadline(time.Now().Add(time.Second))
	text := l.log.EventsSince(l.conns[c])
	l.bytes.Out += len(text)
	l.bytes.Events += len(text)
	if _, err := c.Write(text); err != nil {
		c.Close()
	}
	l.conns[c] = l.log.LastEvent()
}

func (l *Listener) beat(ctx context.Context) {
	defer l.wg.Done()
	every := time.NewTicker(time.Second)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			l.mu.Lock()
			for c := range l.conns {
				c.SetWriteDeadline(time.Now().Add(time.Second))
				n, _ := c.Write(l.log.Heartbeat())
				l.bytes.Out += n
			}
			l.mu.Unlock()
		}
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
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	var line []byte
	p := make([]byte, 256)
	for known := false; ; {
		n, err := c.Read(p)
		if line = append(line, p[:n]...); !known && bytes.IndexByte(line, '\n') >= 0 {
			last, ok := ParseSubscription(line)
			if !ok {
				return
			}
			known = true
			l.mu.Lock()
			l.bytes.In += len(line)
			l.conns[c] = last
			l.pass(c)
			l.mu.Unlock()
		}
		if err != nil || len(line) > 1024 {
			l.mu.Lock()
			delete(l.conns, c)
			delete(l.open, c)
			l.mu.Unlock()
			return
		}
	}
}

// Close ends the feed and all its connections.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.stop()
	l.mu.Lock()
	for c := range l.open {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
	return err
}

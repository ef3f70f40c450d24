package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// feed is the control feed: it tells numbered events, and its last number every second.
type feed struct {
	listener net.Listener
	record   *record
	engines  []*engine

	mu     sync.Mutex
	events [][]byte // events[i] has the number i+2; the first event is the list at the start
}

const numberEach = time.Second

func startFeed(r *record, engines []*engine) (*feed, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &feed{listener: listener, record: r, engines: engines}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(conn)
		}
	}()
	return f, nil
}

// serve answers SUB N with all events after the Nth, as they come.
func (f *feed) serve(conn net.Conn) {
	defer conn.Close()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return
	}
	f.record.line("feed: asked %q", strings.TrimSpace(line))
	told := 0
	if _, err := fmt.Sscanf(line, "SUB %d", &told); err != nil {
		return
	}
	var numberAt time.Time
	for {
		f.mu.Lock()
		var text []byte
		for last := len(f.events) + 1; told < last; told++ {
			if told > 0 {
				text = append(append(text, f.events[told-1]...), '\n')
			}
		}
		f.mu.Unlock()
		if time.Since(numberAt) >= numberEach {
			numberAt = time.Now()
			text = fmt.Appendf(text, "%d\n", told)
		}
		if len(text) > 0 {
			if _, err := conn.Write(text); err != nil {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *feed) address() string { return f.listener.Addr().String() }

// tell adds an event: an engine's new phase.
func (f *feed) tell(e *engine, phase string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := len(f.events) + 2
	text, _ := json.Marshal(event(number, false, f.member(e, phase)))
	f.events = append(f.events, text)
	f.record.say("the feed tells that %s is %s, event %d", e.name, phase, number)
}

// wholeList is the first event, which lists all engines.
func (f *feed) wholeList() map[string]any {
	members := []any{}
	for _, e := range f.engines {
		members = append(members, f.member(e, "SERVING"))
	}
	return event(1, true, members...)
}

func (f *feed) member(e *engine, phase string) map[string]any {
	return map[string]any{"id": "s-" + e.name, "host_port": e.address(), "locality": "linz-1",
		"flavor": "std-8", "cell": 1, "phase": phase, "size": 1, "up_since_ms": 0}
}

func event(number int, complete bool, members ...any) map[string]any {
	return map[string]any{"n": number, "members": map[string]any{"revision": number, "complete": complete,
		"members": members}}
}

// slowLink is a proxy before the feed. What the feed sends arrives late while the link is slow, in order.
type slowLink struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	delay    time.Duration
}

func startSlowLink(to string) (*slowLink, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &slowLink{listener: listener, to: to}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.carry(conn)
		}
	}()
	return s, nil
}

func (s *slowLink) setDelay(delay time.Duration) {
	s.mu.Lock()
	s.delay = delay
	s.mu.Unlock()
}

func (s *slowLink) carry(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", s.to)
	if err != nil {
		return
	}
	go func() {
		defer far.Close()
		buffer := make([]byte, 4096)
		for {
			n, err := near.Read(buffer)
			if err != nil {
				return
			}
			far.Write(buffer[:n])
		}
	}()
	type piece struct {
		text []byte
		at   time.Time
	}
	pieces := make(chan piece, 4096)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 64<<10)
			n, err := far.Read(buffer)
			if err != nil {
				return
			}
			s.mu.Lock()
			pieces <- piece{buffer[:n], time.Now().Add(s.delay)}
			s.mu.Unlock()
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if _, err := near.Write(p.text); err != nil {
			return
		}
	}
}

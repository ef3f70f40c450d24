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

// feed is the control feed of one platform. Its events are numbered from 1.
type feed struct {
	w  *world
	mu sync.Mutex

	events  []string
	listens []net.Listener
	subs    map[net.Conn]*sub
	told    map[string]time.Time // when an executor was told to drain or to be gone
}

type sub struct {
	next    int
	stopped bool // stays open and says nothing
}

type member struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Locality string `json:"locality"`
	Flavor   string `json:"flavor"`
	Cell     int    `json:"cell"`
	Phase    string `json:"phase"`
	Size     int    `json:"size"`
	Up       int64  `json:"up_since_ms"`
}

func newFeed(w *world) *feed {
	f := &feed{w: w, subs: map[net.Conn]*sub{}, told: map[string]time.Time{}}
	f.listen()
	go func() {
		for range time.Tick(time.Second) {
			f.mu.Lock()
			for c, s := range f.subs {
				if !s.stopped {
					c.SetWriteDeadline(time.Now().Add(time.Second))
					fmt.Fprintf(c, "%d\n", len(f.events))
				}
			}
			f.mu.Unlock()
		}
	}()
	return f
}

// listen adds a listener and returns its address.
func (f *feed) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.w.cannot("listen: %v", err)
	}
	f.listens = append(f.listens, l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.subscriber(c)
		}
	}()
	return l.Addr().String()
}

func (f *feed) address() string { return f.listens[len(f.listens)-1].Addr().String() }

func (f *feed) subscriber(c net.Conn) {
	line, err := bufio.NewReader(c).ReadString('\n')
	n := 0
	if err != nil {
		c.Close()
		return
	}
	if _, err := fmt.Sscanf(line, "SUB %d", &n); err != nil {
		f.w.record("feed got %q", line)
		c.Close()
		return
	}
	f.mu.Lock()
	f.w.record("feed: a controller subscribes after event %d", n)
	f.subs[c] = &sub{next: n}
	f.flush(c)
	f.mu.Unlock()
}

func (f *feed) flush(c net.Conn) {
	s := f.subs[c]
	if s == nil || s.stopped {
		return
	}
	for s.next < len(f.events) {
		if _, err := fmt.Fprintf(c, "%s\n", f.events[s.next]); err != nil {
			delete(f.subs, c)
			c.Close()
			return
		}
		s.next++
	}
}

func (f *feed) event(complete bool, members ...member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.events) + 1
	text, _ := json.Marshal(map[string]any{"n": n, "members": map[string]any{"revision": n, "complete": complete,
		"members": members}})
	f.events = append(f.events, string(text))
	for _, m := range members {
		if m.Phase == "SERVING" {
			delete(f.told, m.ID)
		} else if _, ok := f.told[m.ID]; !ok {
			f.told[m.ID] = time.Now()
		}
	}
	f.w.record("feed: %s", text)
	for c := range f.subs {
		f.flush(c)
	}
}

func (f *feed) toldAt(id string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.told[id]
	return t, ok
}

// known returns the configuration's list of events.
func (f *feed) known() json.RawMessage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return json.RawMessage(fmt.Sprintf(`{"n":%d,"events":[%s]}`, len(f.events), strings.Join(f.events, ",")))
}

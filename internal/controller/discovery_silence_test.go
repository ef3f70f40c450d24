package controller

import (
	"strconv"
	"testing"
	"time"
)

// lateDiscovery is a discovery service whose lines arrive late. It sends a heartbeat each second, and on a
// new connection all events first.
type lateDiscovery struct {
	h      *harness
	delay  time.Duration
	events []string
	links  map[*fakeConnection]*lateLink
}

// lateLink is a connection to a lateDiscovery.
type lateLink struct {
	eventsSent int
	beatAt     time.Duration // when the next heartbeat is sent
	lines      []lateLine    // on their way
}

type lateLine struct {
	arrivesAt time.Duration
	text      string
}

// runUntil advances the clock, and sends and delivers lines.
func (d *lateDiscovery) runUntil(deadline time.Duration) {
	for d.h.now < deadline {
		d.h.runUntil(d.h.now + 10*time.Millisecond)
		for _, conn := range d.h.connections {
			if conn.address == "feed" && conn.established && !conn.closed {
				d.send(conn)
				d.deliver(conn)
			}
		}
	}
}

func (d *lateDiscovery) send(conn *fakeConnection) {
	link := d.links[conn]
	if link == nil {
		link = &lateLink{beatAt: d.h.now}
		d.links[conn] = link
	}
	for ; link.eventsSent < len(d.events); link.eventsSent++ {
		link.lines = append(link.lines, lateLine{d.h.now + d.delay, d.events[link.eventsSent]})
	}
	if d.h.now >= link.beatAt {
		link.beatAt = d.h.now + discoveryHeartbeat
		text := strconv.Itoa(1 + len(d.events))
		link.lines = append(link.lines, lateLine{d.h.now + d.delay, text})
	}
}

func (d *lateDiscovery) deliver(conn *fakeConnection) {
	link := d.links[conn]
	for len(link.lines) > 0 && link.lines[0].arrivesAt <= d.h.now && !conn.closed {
		line := link.lines[0].text
		link.lines = link.lines[1:]
		d.h.receive(conn, []byte(line+"\n"))
	}
}

// A drain is applied while all that the discovery sends is late, for as long as the protocol has it count
// as delivered only later. Each connection was once closed after 1.25 s without a line, before its first
// arrived.
func TestLateDiscoveryIsHeard(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for _, delay := range []time.Duration{2400 * time.Millisecond, 7 * time.Second} {
			h := newHarness(t, 2, 256, map[string]string{"may.probe": "false"})
			h.discoverySilent = true
			d := &lateDiscovery{h: h, links: map[*fakeConnection]*lateLink{}}
			d.runUntil(2 * time.Second)
			d.delay = delay
			if reset { // only new connections are left, and nothing has arrived on any of them
				h.closeConnection(h.discovery)
				h.flush()
			}
			d.runUntil(4 * time.Second)
			engine := h.sortedEngines()[0]
			engine.state = "DRAINING"
			told := h.now
			d.events = append(d.events, `{"n":2,"members":{"complete":false,"members":[`+engine.endpointJSON(0)+`]}}`)
			for h.controller.discovery.lastEvent != 2 {
				d.runUntil(h.now + 10*time.Millisecond)
				if h.now > told+delay+50*time.Millisecond {
					t.Fatalf("reset %v: a drain that comes %v late isn't applied after %v", reset, delay, h.now-told)
				}
				if open := len(h.openDiscoveries()); open > maxSilentDiscoveries+1 {
					t.Fatalf("%d connections to the discovery", open)
				}
			}
			d.delay = 0
			d.runUntil(h.now + 3*time.Second)
			if open := len(h.openDiscoveries()); open != 1 {
				t.Fatalf("%d connections to the discovery once it is quick again, want 1", open)
			}
		}
	}
}

// Silent connections are closed once what they may still bring comes too late, and for another address.
func TestSilentDiscoveriesAreClosed(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	h.runUntil(10 * time.Millisecond)
	first := h.discovery
	h.discoverySilent = true
	h.runUntil(h.now + discoverySilenceLimit - 50*time.Millisecond)
	if first.closed {
		t.Fatal("the oldest connection was closed before its time")
	}
	h.runUntil(h.now + 100*time.Millisecond)
	if !first.closed {
		t.Fatal("a connection that fell silent for good is still open")
	}
	before := h.openDiscoveries()
	if len(before) < 2 {
		t.Fatal("no silent connection is open, so the test proves nothing")
	}
	h.step(Event{Kind: ConfigurationReloaded, DiscoveryAddress: "another"})
	for _, conn := range before {
		if !conn.closed {
			t.Fatal("a connection to the address before is kept")
		}
	}
}

// openDiscoveries returns the open connections to the discovery.
func (h *harness) openDiscoveries() (open []*fakeConnection) {
	for _, conn := range h.connections {
		if conn.address == "feed" && conn.established && !conn.closed {
			open = append(open, conn)
		}
	}
	return open
}

// The time of a connection that fell silent, was heard again and fell silent once more counts from when it
// was last heard.
func TestResumedDiscoveryIsKeptForItsWholeTime(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	h.runUntil(10 * time.Millisecond)
	h.discoverySilent = true
	first := h.discovery
	h.runUntil(h.now + 2*time.Second)
	for range 3 {
		h.receive(first, []byte("1\n"))
		h.runUntil(h.now + time.Second)
	}
	heardAt := h.now - time.Second
	h.runUntil(heardAt + discoverySilenceLimit - 50*time.Millisecond)
	if first.closed {
		t.Fatalf("closed %v or less after it was last heard", h.now-heardAt)
	}
	h.runUntil(h.now + 100*time.Millisecond)
	if !first.closed {
		t.Fatal("still open after its time")
	}
}

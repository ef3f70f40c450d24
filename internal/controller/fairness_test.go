package controller

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/msgpackrpc"
)

// Limits on a connection follow the narrowest set that its address is in.
func TestMannersByAddress(t *testing.T) {
	p := netip.MustParsePrefix
	m := newManners([]ClientLimits{{From: []netip.Prefix{p("10.0.0.0/8")}, Open: 100}, {From: []netip.Prefix{p("10.1.0.0/16")}, Open: 7, Idle: time.Minute}})
	for from, want := range map[string]int{"10.2.0.1": 100, "10.1.0.1": 7, "::ffff:10.1.0.1": 7, "192.0.2.1": openMost} {
		if got := m.of(netip.MustParseAddr(from)); got.Open != want || got.Messages != heardMost || got.Whole != wholeMost {
			t.Errorf("%s: %+v", from, got)
		}
	}
	if m.of(netip.Addr{}).Open != openMost || m.of(netip.MustParseAddr("10.1.0.1")).Idle != time.Minute {
		t.Error("the platform's figures don't hold for others")
	}
}

// Whoever sends more than may be is told so before the connection is closed.
func TestAFloodIsToldWhyItIsClosed(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	c := s.connect()
	var out []byte
	s.log = nil
	var p []byte
	for range heardMost {
		p = append(p, "\x94\x00\x01\xa5alive\x91\x80"...)
	}
	s.read(c, p)
	if c.gone {
		t.Fatal("closed for what is allowed")
	}
	s.read(c, []byte("\x94\x00\x02\xa5alive\x91\x80"))
	for _, l := range s.log {
		out = append(out, l...)
	}
	if !c.gone || !bytes.Contains(out, []byte("more than 128 messages in 250ms")) {
		t.Fatalf("gone %v, told nothing of it", c.gone)
	}
}

// A gateway's set lets it send what would close anybody else's connection.
func TestAGatewayMaySendMore(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	s.r.manners = newManners([]ClientLimits{{From: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}, Messages: 5000, Open: 500}})
	c := &end{n: len(s.ends), link: &Connection{From: netip.MustParseAddr("10.9.9.9")}, client: true, up: true}
	s.ends = append(s.ends, c)
	s.step(Event{Kind: ClientAccepted, Connection: c.link})
	var p []byte
	for range 10 * heardMost {
		p = append(p, "\x94\x00\x01\xa5alive\x91\x80"...)
	}
	if s.read(c, p); c.gone || s.r.tally.alive != 10*heardMost {
		t.Fatalf("closed after %d", s.r.tally.alive)
	}
}

// A call's further fields reach fairness, and what it is told reaches the call.
func TestFieldsAndNotices(t *testing.T) {
	s := newStage(t, 0, 256, nil)
	s.r.fair = newFairness(s.r, &fairqueue.Shape{Teams: []fairqueue.Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
		Trusted: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}, FieldNames{Team: "team", Wait: "tell", Again: "first"})
	c := &end{n: len(s.ends), link: &Connection{From: netip.MustParseAddr("10.0.0.1")}, client: true, up: true}
	s.ends = append(s.ends, c)
	s.step(Event{Kind: ClientAccepted, Connection: c.link})
	c.msgs++
	a := &asked{id: "00000000000000aa", group: "lookup", msg: 1, from: c, deadline: time.Minute}
	s.asked = append(s.asked, a)
	call := append([]byte{0x94, 0, 1}, fix("lookup")...)
	call = append(call, 0x92, 0x84)
	for _, f := range []string{"trace", a.id, "patience", "9000", "team", "b", "tell", "1"} {
		call = append(call, fix(f)...)
	}
	s.read(c, append(call, "\xc4\x08SELECT 1"...))
	q := s.r.queries[a.id]
	if q == nil || q.turn == nil || s.r.fair.core.Team(q.turn.Team) != "b" || !q.turn.Ask {
		t.Fatalf("%+v", q)
	}
	got := msgpackrpc.Told(nil, 300, 1234*time.Millisecond)
	if want := "\x93\x02\xa4wait\x92\xcd\x01\x2c\xcd\x04\xd2"; string(got) != want {
		t.Fatalf("%q", got)
	}
	s.r.count()
	if text := s.r.out[len(s.r.out)-1].Text; !strings.Contains(text, "fairness waiting") {
		t.Fatal(text)
	}
}

// Priority has one owner: what the decisions set, and the least where fairness
// has a query make way.
func TestPriorityIsComposedInOnePlace(t *testing.T) {
	q := &query{priority: 3}
	if q.rank() != 3 {
		t.Fatal("without teams it is not the decisions'")
	}
	q.turn = &fairqueue.Waiter{}
	if q.rank() != 3 {
		t.Fatal("lowered for nothing")
	}
}

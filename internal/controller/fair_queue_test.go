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
	m := newClientLimitTable([]ClientLimits{{Prefixes: []netip.Prefix{p("10.0.0.0/8")}, OpenQueries: 100}, {Prefixes: []netip.Prefix{p("10.1.0.0/16")}, OpenQueries: 7, IdleTimeout: time.Minute}})
	for from, want := range map[string]int{"10.2.0.1": 100, "10.1.0.1": 7, "::ffff:10.1.0.1": 7, "192.0.2.1": maxOpenQueries} {
		if got := m.find(netip.MustParseAddr(from)); got.OpenQueries != want || got.MessagesPerSweep != maxMessagesPerSweep || got.MessageTimeout != messageTimeout {
			t.Errorf("%s: %+v", from, got)
		}
	}
	if m.find(netip.Addr{}).OpenQueries != maxOpenQueries || m.find(netip.MustParseAddr("10.1.0.1")).IdleTimeout != time.Minute {
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
	for range maxMessagesPerSweep {
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
	s.r.clientLimits = newClientLimitTable([]ClientLimits{{Prefixes: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}, MessagesPerSweep: 5000, OpenQueries: 500}})
	c := &end{n: len(s.ends), link: &Connection{RemoteAddress: netip.MustParseAddr("10.9.9.9")}, client: true, up: true}
	s.ends = append(s.ends, c)
	s.step(Event{Kind: ClientAccepted, Connection: c.link})
	var p []byte
	for range 10 * maxMessagesPerSweep {
		p = append(p, "\x94\x00\x01\xa5alive\x91\x80"...)
	}
	if s.read(c, p); c.gone || s.r.counters.aliveCalls != 10*maxMessagesPerSweep {
		t.Fatalf("closed after %d", s.r.counters.aliveCalls)
	}
}

// A call's further fields reach fairness, and what it is told reaches the call.
func TestFieldsAndNotices(t *testing.T) {
	s := newStage(t, 0, 256, nil)
	s.r.fairQueue = newFairQueue(s.r, &fairqueue.Config{Tenants: []fairqueue.Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
		TrustedAddresses: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}, FieldNames{Tenant: "team", NotifyWait: "tell", RepeatOf: "first"})
	c := &end{n: len(s.ends), link: &Connection{RemoteAddress: netip.MustParseAddr("10.0.0.1")}, client: true, up: true}
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
	if q == nil || q.waiter == nil || s.r.fairQueue.queue.TenantName(q.waiter.Tenant) != "b" || !q.waiter.NotifyChanges {
		t.Fatalf("%+v", q)
	}
	got := msgpackrpc.Told(nil, 300, 1234*time.Millisecond)
	if want := "\x93\x02\xa4wait\x92\xcd\x01\x2c\xcd\x04\xd2"; string(got) != want {
		t.Fatalf("%q", got)
	}
	s.r.logCounters()
	if text := s.r.effects[len(s.r.effects)-1].Text; !strings.Contains(text, "fairness waiting") {
		t.Fatal(text)
	}
}

// Priority has one owner: what the decisions set, and the least where fairness
// has a query make way.
func TestPriorityIsComposedInOnePlace(t *testing.T) {
	q := &query{priority: 3}
	if q.effectivePriority() != 3 {
		t.Fatal("without teams it is not the decisions'")
	}
	q.waiter = &fairqueue.Query{}
	if q.effectivePriority() != 3 {
		t.Fatal("lowered for nothing")
	}
}

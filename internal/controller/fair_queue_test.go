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

// A client gets the limits of the narrowest prefix that contains its address, and default values for limits
// that aren't configured.
func TestClientLimitsByAddress(t *testing.T) {
	p := netip.MustParsePrefix
	m := newClientLimitTable([]ClientLimits{{Prefixes: []netip.Prefix{p("10.0.0.0/8")}, MaxOpenQueries: 100},
		{Prefixes: []netip.Prefix{p("10.1.0.0/16")}, MaxOpenQueries: 7, IdleTimeout: time.Minute}})
	for from, want := range map[string]int{"10.2.0.1": 100, "10.1.0.1": 7, "::ffff:10.1.0.1": 7,
		"192.0.2.1": maxOpenQueries} {
		if got := m.find(netip.MustParseAddr(from)); got.MaxOpenQueries != want ||
			got.MaxMessagesPerSweep != maxMessagesPerSweep || got.MessageTimeout != messageTimeout {
			t.Errorf("%s: %+v", from, got)
		}
	}
	if m.find(netip.Addr{}).MaxOpenQueries != maxOpenQueries ||
		m.find(netip.MustParseAddr("10.1.0.1")).IdleTimeout != time.Minute {
		t.Error("wrong limits for an unknown address, or wrong idle timeout")
	}
}

// A client that sends too many messages must be told the reason before its connection is closed.
func TestFloodingClientIsToldWhy(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	c := s.connect()
	var out []byte
	s.writeLog = nil
	var p []byte
	for range maxMessagesPerSweep {
		p = append(p, "\x94\x00\x01\xa5alive\x91\x80"...)
	}
	s.receive(c, p)
	if c.closed {
		t.Fatal("closed at the limit, not beyond it")
	}
	s.receive(c, []byte("\x94\x00\x02\xa5alive\x91\x80"))
	for _, l := range s.writeLog {
		out = append(out, l...)
	}
	if !c.closed || !bytes.Contains(out, []byte("more than 128 messages in 250ms")) {
		t.Fatalf("closed %v, the client wasn't told the reason", c.closed)
	}
}

// Configured limits may be higher than the default ones, as a gateway needs.
func TestClientLimitsMayAllowMore(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	s.controller.clientLimits = newClientLimitTable(
		[]ClientLimits{{Prefixes: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}, MaxMessagesPerSweep: 5000,
			MaxOpenQueries: 500}})
	c := s.connectFrom(netip.MustParseAddr("10.9.9.9"))
	var p []byte
	for range 10 * maxMessagesPerSweep {
		p = append(p, "\x94\x00\x01\xa5alive\x91\x80"...)
	}
	if s.receive(c, p); c.closed || s.controller.counters.aliveRequests != 10*maxMessagesPerSweep {
		t.Fatalf("closed after %d messages", s.controller.counters.aliveRequests)
	}
}

// The optional fields of a call must reach fair queueing, and wait notices must have the right wire format.
func TestFairQueueFieldsAndWaitNotices(t *testing.T) {
	s := newHarness(t, 0, 256, nil)
	s.controller.fairQueue = newFairQueue(s.controller,
		&fairqueue.Config{Tenants: []fairqueue.Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
			TrustedAddresses: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}},
		FieldNames{Tenant: "team", NotifyWait: "tell", RepeatOf: "first"})
	c := s.connectFrom(netip.MustParseAddr("10.0.0.1"))
	c.messageCount++
	a := &sentQuery{id: "00000000000000aa", group: "lookup", messageID: 1, connection: c, deadline: time.Minute}
	s.queries = append(s.queries, a)
	call := append([]byte{0x94, 0, 1}, fixstr("lookup")...)
	call = append(call, 0x92, 0x84)
	for _, f := range []string{"trace", a.id, "patience", "9000", "team", "b", "tell", "1"} {
		call = append(call, fixstr(f)...)
	}
	s.receive(c, append(call, "\xc4\x08SELECT 1"...))
	q := s.controller.queries[a.id]
	if q == nil || q.fairEntry == nil || s.controller.fairQueue.queue.TenantName(q.fairEntry.Tenant) != "b" ||
		!q.fairEntry.NotifyChanges {
		t.Fatalf("%+v", q)
	}
	got := msgpackrpc.AppendWaitNotification(nil, 300, 1234*time.Millisecond)
	if want := "\x93\x02\xa4wait\x92\xcd\x01\x2c\xcd\x04\xd2"; string(got) != want {
		t.Fatalf("%q", got)
	}
	s.controller.logCounters()
	if text := s.controller.effects[len(s.controller.effects)-1].Text; !strings.Contains(text,
		"fairness waiting") {
		t.Fatal(text)
	}
}

// A query's effective priority is the one that the scheduler set, unless fair queueing has lowered it.
func TestEffectivePriorityIsSchedulersUnlessLowered(t *testing.T) {
	q := &query{priority: 3}
	if q.effectivePriority() != 3 {
		t.Fatal("not the scheduler's priority without fair queueing")
	}
	q.fairEntry = &fairqueue.Query{}
	if q.effectivePriority() != 3 {
		t.Fatal("priority lowered without a reason")
	}
}

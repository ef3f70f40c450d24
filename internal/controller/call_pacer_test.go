package controller

import (
	"net/netip"
	"testing"
	"time"
)

// connectWithLimits opens a client connection that has limits of its own.
func (h *harness) connectWithLimits(limits ClientLimits) *fakeConnection {
	limits.Prefixes = []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	h.controller.clientLimits = newClientLimitTable([]ClientLimits{limits})
	return h.connectFrom(netip.MustParseAddr("10.9.9.9"))
}

// A client that sends each query as soon as fewer than 32 are open keeps its connection. It was once closed
// at its 129th message in 250 ms, with a load and a report open on it.
func TestPipeliningWithinOpenQueriesIsServed(t *testing.T) {
	const limit, lookups = 2 * maxOpenQueries, 3 * maxOpenQueries
	h := newHarness(t, 2, 256, nil)
	conn := h.connectWithLimits(ClientLimits{MaxMessagesPerSweep: limit})
	load := h.sendQuery(conn, "load", "k", 20*time.Second, 1)
	h.respond(h.waitForCall("POST", load.id), "runs")
	started := h.now
	var queries []*sentQuery
	for h.openQueries(conn) > 1 || len(queries) < lookups {
		for len(queries) < lookups && h.openQueries(conn) < maxOpenQueries && !conn.closed {
			queries = append(queries, h.sendQuery(conn, "lookup", "", 5*time.Second, 2))
		}
		if conn.closed {
			t.Fatalf("disconnected after %d look-ups, with %d queries open", len(queries), h.openQueries(conn))
		}
		for _, call := range append([]*pendingCall{}, h.pendingCalls...) {
			if call.id != load.id && !call.connection.closed {
				h.respond(call, "ok")
			}
		}
		h.runUntil(h.now + time.Millisecond)
		attempts := h.controller.counters.attempts
		if h.now < started+sweepInterval/4 && attempts > limit+limit/4+1 {
			t.Fatalf("%d queries of one connection started within %v", attempts, h.now-started)
		}
	}
	for i, query := range queries {
		if query.answer != "finished" {
			t.Fatalf("look-up %d: answer %q", i, query.answer)
		}
	}
	h.finish("GET", load)
	least := sweepInterval * (lookups - limit) / limit
	if took := h.now - started; took < least || h.controller.counters.pacedCalls == 0 {
		t.Fatalf("%d look-ups took %v, want at least %v", lookups, took, least)
	}
}

// Queries that are taken back count towards the limit: no answer is owed, so nothing else limits them.
func TestQueriesTakenBackAtOnceAreLimited(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	conn := h.connect()
	for range maxMessagesPerSweep/2 + 1 {
		h.cancel(h.sendQuery(conn, "lookup", "", 5*time.Second, 1))
		conn.messageCount %= 100 // message ids of the harness have seven bits
	}
	if !conn.closed || h.controller.counters.attempts > maxMessagesPerSweep/2+1 {
		t.Fatalf("closed %v, %d attempts", conn.closed, h.controller.counters.attempts)
	}
}

// A query that waits for the pace of its connection is not sent once it is taken back, is answered within its
// timeout, and doesn't wait if it keeps the order of its key.
func TestPacedQueries(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	conn := h.connectWithLimits(ClientLimits{MaxMessagesPerSweep: 2})
	first := h.sendQuery(conn, "lookup", "", 5*time.Second, 1)
	second := h.sendQuery(conn, "lookup", "", 5*time.Second, 1)
	paced := h.sendQuery(conn, "lookup", "", 5*time.Second, 1)
	short := h.sendQuery(conn, "lookup", "", 400*time.Millisecond, 1)
	load := h.sendQuery(conn, "load", "k", 20*time.Second, 1)
	for _, query := range []*sentQuery{first, second, load} {
		h.waitForCall("POST", query.id)
	}
	if len(paced.runs) > 0 || h.controller.counters.pacedCalls != 2 {
		t.Fatalf("%d queries wait for the pace of their connection, want 2", h.controller.counters.pacedCalls)
	}
	h.cancel(paced)
	h.runUntil(h.now + short.deadline/maxPacedShare + 10*time.Millisecond)
	if len(paced.runs) > 0 {
		t.Fatal("a query that was taken back while it waited was sent")
	}
	if len(short.runs) == 0 {
		t.Fatal("a query with a short timeout waited for longer than a part of the timeout")
	}
}

func TestCallPacer(t *testing.T) {
	limits := &ClientLimits{MaxMessagesPerSweep: 10, MaxOpenQueries: 20}
	interval := sweepInterval / 10
	var pacer callPacer
	now := time.Minute
	for i, want := range []time.Duration{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, interval, 2 * interval} {
		if got := pacer.delay(now, limits); got != want {
			t.Errorf("call %d waits %v, want %v", i, got, want)
		}
	}
	now += 2*interval + sweepInterval
	for range 100 { // at the pace nothing waits
		if got := pacer.delay(now, limits); got != 0 {
			t.Fatalf("a call at the pace waits %v", got)
		}
		now += interval
	}
	longest := time.Duration(0)
	for range 1000 {
		longest = pacer.delay(now, limits)
	}
	if want := 20 * interval; longest != want {
		t.Errorf("a call waits %v, want at most %v", longest, want)
	}
}

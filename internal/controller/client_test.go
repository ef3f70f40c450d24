package controller

import (
	"fmt"
	"testing"
	"time"
)

func TestClientThatDoesNotReadIsDisconnected(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	conn, other := h.connect(), h.connect()
	query := h.sendQuery(conn, "lookup", "", 5*time.Second, 1)
	call := h.waitForCall("POST", query.id)
	conn.dropsWrites, query.cancelled = true, true
	h.respond(call, "ok")
	for range 3 {
		if calls := h.pendingCalls; len(calls) > 0 {
			h.respond(calls[0], "")
		}
	}
	h.sendQuery(other, "load", "k", 25*time.Second, 2)
	h.runUntil(h.now + 12*time.Second)
	if !conn.closed || other.closed {
		t.Fatal("want only the client that does not read to be disconnected")
	}
}

func TestStatementBytesAreBounded(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	conn := h.connect()
	h.sendQuery(conn, "lookup", "", 3*time.Second, 1)
	h.controller.maxStatementBytes = h.controller.statementBytes + 10
	for range maxBadCalls + 5 { // more than maxBadCalls: a deferred query is not a bad call
		if query := h.sendQuery(conn, "lookup", "", 3*time.Second, 1); query.answer != "deferred" {
			t.Fatalf("answer %q, want deferred", query.answer)
		}
	}
	if conn.closed {
		t.Fatal("a connection with an open query was closed")
	}
	h.runUntil(h.now + 4*time.Second)
	if h.controller.statementBytes != 0 {
		t.Fatal("statement bytes after all queries are over: ", h.controller.statementBytes)
	}
}

func TestSilentClientsAreEvictedFirst(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	good, rested := h.connect(), h.connect()
	query := h.sendQuery(good, "load", "k", 20*time.Second, 1)
	h.runUntil(h.now + time.Millisecond)
	h.cancel(h.sendQuery(rested, "lookup", "", 5*time.Second, 1))
	h.runUntil(h.now + time.Millisecond)
	var silent []*fakeConnection
	for range h.controller.maxClients + 5 {
		silent = append(silent, h.connect())
		h.runUntil(h.now + time.Millisecond)
	}
	last := silent[len(silent)-1]
	if good.closed || rested.closed || last.closed || !silent[0].closed {
		t.Fatal("the wrong clients were evicted")
	}
	h.receive(last, []byte{0x94, 0, 1}) // an incomplete message
	h.runUntil(h.now + time.Second)
	h.receive(last, []byte{0xa1})
	h.runUntil(h.now + 1500*time.Millisecond)
	if !last.closed || !silent[10].closed || good.closed || rested.closed {
		t.Fatal("a client with no message or an incomplete one was not disconnected, or another one was")
	}
	h.runUntil(h.now + clientIdleTimeout)
	if !rested.closed || good.closed || query.cancelled {
		t.Fatal("want only the idle client to be closed after clientIdleTimeout")
	}
}

// A client that writes a message slowly, or leaves it incomplete, keeps its connection while calls are open
// on it. It was once cut off after 2 s, and what was open got no answer.
func TestSlowMessageEndsNoOpenCalls(t *testing.T) {
	for _, completes := range []bool{true, false} {
		h := newHarness(t, 1, 256, nil)
		conn := h.connect()
		load := h.sendQuery(conn, "load", "k", 20*time.Second, 1)
		other := h.sendQuery(conn, "load", "other", 20*time.Second, 2)
		h.respond(h.waitForCall("POST", load.id), "runs")
		h.respond(h.waitForCall("POST", other.id), "runs")
		slow, message := h.longLoad(conn, 100)
		for i := range message[1:] {
			h.receive(conn, message[i:i+1])
			h.runUntil(h.now + 30*time.Millisecond)
		}
		if conn.closed {
			t.Fatal("disconnected while it writes a message, with two calls open")
		}
		if completes {
			h.receive(conn, message[len(message)-1:])
			h.finish("POST", slow)
		}
		h.runUntil(h.now + 3*time.Second)
		h.finish("GET", load)
		h.finish("GET", other)
		if !completes {
			slow.cancelled = true // never sent completely
			h.runUntil(h.now + messageTimeout - 100*time.Millisecond)
			if conn.closed {
				t.Fatal("disconnected before its time after the last answer")
			}
			h.runUntil(h.now + 100*time.Millisecond + 2*sweepInterval)
		}
		if conn.closed == completes {
			t.Fatalf("completes %v: closed %v", completes, conn.closed)
		}
	}
}

func TestIdleClientsAreEvicted(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	var idle []*fakeConnection
	for range h.controller.maxClients {
		idle = append(idle, h.connect())
		h.cancel(h.sendQuery(idle[len(idle)-1], "lookup", "", 5*time.Second, 1))
		h.runUntil(h.now + time.Millisecond)
	}
	h.runUntil(h.now + time.Second) // all are idle, but shorter than clientIdleTimeout
	held := h.sendQuery(idle[0], "load", "k", 20*time.Second, 1)
	for i := range 20 {
		conn := h.connect()
		h.runUntil(h.now + time.Millisecond) // its call is arriving
		if conn.closed || !idle[i+1].closed || idle[i+2].closed {
			t.Fatal("want the longest idle client to be evicted for a new one")
		}
		h.cancel(h.sendQuery(conn, "lookup", "", 5*time.Second, 1))
	}
	if held.connection.closed || held.answer != "" {
		t.Fatal("a client with an open query was evicted")
	}
}

func TestMessageFloodIsDisconnected(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	conn := h.connect()
	var p []byte
	call := func(i int, fields string) {
		p = append(append(append(p, 0x94, 0, 0xcd, byte(i>>8), byte(i)), "\xa6lookup\x92"...), fields...)
		p = append(p, "\xc4\x01;"...)
	}
	for i := range 30 { // cancelled within the same read
		call(i, fmt.Sprintf("\x82\xa5trace\xb0%016x\xa8patience\xa41000", i+1))
		p = append(append(append(p, 0x93, 2), fixstr("cancelRequest")...), 0x91, 0xcd, byte(i>>8), byte(i))
	}
	h.receive(conn, p)
	if h.controller.counters.attempts > 0 || h.controller.counters.received != 30 ||
		len(h.controller.queries) > 0 || conn.closed {
		t.Fatal("queries cancelled within the same read were sent: ", h.controller.counters.format(h.controller))
	}
	h.runUntil(h.now + time.Second)
	p = nil
	for i := range 3 * maxOpenQueries { // without a query id
		call(i, "\x81\xa8patience\xa41000")
	}
	if h.receive(conn, p); !conn.closed || h.controller.counters.malformed != maxBadCalls+1 {
		t.Fatal("not disconnected after too many invalid calls: ", h.controller.counters.malformed)
	}
	conn, p = h.connect(), nil
	for i := range 2 * maxOpenQueries {
		call(i, fmt.Sprintf("\x82\xa5trace\xb0%016x\xa8patience\xa41000", i+1))
	}
	if h.receive(conn, p); !conn.closed || h.controller.counters.received != 30+maxOpenQueries ||
		h.controller.counters.attempts > 0 {
		t.Fatal("not disconnected with too many open queries: ", h.controller.counters.format(h.controller))
	}
	conn, p = h.connect(), nil
	for range maxMessagesPerSweep + 10 {
		p = append(p, "\x94\x00\x01\xa5alive\x91\x80"...)
	}
	if h.receive(conn, p); !conn.closed || h.controller.counters.aliveRequests > maxMessagesPerSweep+1 {
		t.Fatal("not disconnected after too many messages: ", h.controller.counters.aliveRequests)
	}
}

func TestBufferedBytesOfClientsAreBounded(t *testing.T) {
	h := newHarness(t, 1, 1024, nil)
	h.controller.maxBufferedBytes = 1 << 20
	half := append([]byte("\x94\x00\x01\xa6lookup\x92\x80\xc5\xff\xff"), make([]byte, 60000)...)
	for range 40 {
		h.receive(h.connect(), half)
		if h.controller.bufferedBytes > h.controller.maxBufferedBytes+1<<17 {
			t.Fatal("buffered bytes above the limit: ", h.controller.bufferedBytes)
		}
	}
	if h.controller.counters.disconnected == 0 {
		t.Fatal("the buffers never exceeded their limit, so the test proves nothing")
	}
	h.runUntil(h.now + 3*time.Second)
	if h.controller.bufferedBytes > 4<<10 { // of the discovery connection
		t.Fatal("buffered bytes after all clients are gone: ", h.controller.bufferedBytes)
	}
}

func TestShutdownEndsWhateverClientsDo(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	h.connect()
	conn := h.connect()
	h.step(Event{Kind: ShutdownRequested})
	early := h.sendQuery(conn, "load", "k", 3*time.Second, 1)
	h.runUntil(h.now + shutdownGrace + 10*time.Millisecond)
	late := h.sendQuery(conn, "load", "k", 3*time.Second, 1)
	if late.answer != "deferred" || early.answer != "" {
		t.Fatalf("late query %q, early query %q", late.answer, early.answer)
	}
	h.respond(h.waitForCall("GET", early.id), "ok")
	for range 40 { // the client sends again at once after each answer
		if h.exited {
			break
		}
		h.sendQuery(conn, "lookup", "", time.Second, 1)
		h.runUntil(h.now + 50*time.Millisecond)
	}
	if early.answer != "finished" || !h.exited {
		t.Fatalf("early query %q, not exited at %v", early.answer, h.now)
	}
}

// Clients may send queries on an open connection for 0.6 s after the request to shut down. SIGKILL may follow
// 3.7 s after the request, and a query that arrived later than 0.7 s may be lost if it is still open then.
func TestShutdownRejectsLateQueriesAtOnce(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	conn := h.connect()
	h.step(Event{Kind: ShutdownRequested})
	h.runUntil(h.now + 600*time.Millisecond)
	if in := h.sendQuery(conn, "report", "", 20*time.Second, 1); in.answer != "" ||
		h.waitForCall("POST", in.id) == nil {
		t.Fatalf("answer %q while clients may still send queries", in.answer)
	}
	h.runUntil(h.now + 101*time.Millisecond)
	if late := h.sendQuery(conn, "report", "", 20*time.Second, 2); late.answer != "deferred" {
		t.Fatalf("answer %q at 0.7 s, want deferred: the query may be open at the exit", late.answer)
	}
}

// A client is not disconnected for messages that the stalled process did not read in time. Such a connection
// was once closed as one without messages.
func TestProcessStallDisconnectsNoClient(t *testing.T) {
	h := newHarness(t, 1, 96, nil)
	conn := h.connect()
	h.runUntil(h.now + 100*time.Millisecond)
	h.now += 2500 * time.Millisecond
	h.step(Event{Kind: TimerFired})
	if query := h.sendQuery(conn, "lookup", "", 5*time.Second, 1); conn.closed ||
		h.waitForCall("POST", query.id) == nil {
		t.Fatal("disconnected although the client sent its query in time")
	}
}

package controller

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// longLoad returns a load with a statement of the given size, and its message, of which nothing is sent yet.
func (h *harness) longLoad(conn *fakeConnection, statementBytes int) (*sentQuery, []byte) {
	before := h.statement
	defer func() { h.statement = before }()
	h.statement = strings.Repeat("x", statementBytes)
	return h.newQuery(conn, "load", fmt.Sprintf("long%d", len(h.queries)), 20*time.Second, 0)
}

// clientsWithOpenLoads connects clients that each have a load running at an engine.
func clientsWithOpenLoads(h *harness, count int) (clients []*fakeConnection, loads []*sentQuery) {
	for i := range count {
		conn := h.connect()
		load := h.sendQuery(conn, "load", fmt.Sprintf("open%d", i), 20*time.Second, i)
		h.respond(h.waitForCall("POST", load.id), "runs")
		clients = append(clients, conn)
		loads = append(loads, load)
	}
	return clients, loads
}

// finish has an engine end a query, whose call is pending, with a result, and delivers all of its pages.
func (h *harness) finish(method string, query *sentQuery) {
	h.respond(h.waitForCall(method, query.id), "ok")
	h.runUntil(h.now + 10*time.Millisecond)
	if query.answer != "finished" {
		h.t.Fatalf("query %s: answer %q", query.id, query.answer)
	}
}

// Clients that were sending a message lost their open loads when an engine's answer without an end had filled
// the buffers: four of them were closed before the engine's connection was.
func TestEndlessAnswerOfEngineDisconnectsNoClient(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	h.controller.maxBufferedBytes = minBufferedBytes
	clients, loads := clientsWithOpenLoads(h, 4)
	var messages [][]byte
	for _, conn := range clients {
		_, message := h.longLoad(conn, 40000)
		messages = append(messages, message)
		h.receive(conn, message[:30000])
	}
	lookup := h.sendQuery(h.connect(), "lookup", "", 5*time.Second, 1)
	call := h.waitForCall("POST", lookup.id)
	h.receive(call.connection, []byte("HTTP/1.1 200 x\r\nChunks: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"))
	trailers := bytes.Repeat([]byte("X-More: "+strings.Repeat("z", 1000)+"\r\n"), 16)
	for sent := 0; sent < 4<<20 && !call.connection.closed; sent += len(trailers) {
		h.receive(call.connection, trailers)
	}
	if !call.connection.closed {
		t.Fatal("the answer without an end is still being read")
	}
	for i, conn := range clients {
		if conn.closed {
			t.Fatalf("client %d lost its open load", i)
		}
		h.receive(conn, messages[i][30000:])
		h.finish("GET", loads[i])
	}
}

// A buffer of a connection to an engine goes before those of clients with open calls, and while its
// connection is being closed, its memory costs no other connection. Each read until its end was known closed
// one more.
func TestFullBuffersCloseOneEngineConnection(t *testing.T) {
	const partialAnswer = "HTTP/1.1 200 x\r\nChunks: 1\r\nContent-Length: 60000\r\n\r\n"
	h := newHarness(t, 1, 256, nil)
	h.controller.maxBufferedBytes = 180 << 10
	clients, loads := clientsWithOpenLoads(h, 2)
	for _, conn := range clients {
		_, message := h.longLoad(conn, 40000)
		h.receive(conn, message[:30000])
	}
	reader := h.connect()
	var calls []*pendingCall
	for range 2 {
		lookup := h.sendQuery(reader, "lookup", "", 5*time.Second, 1)
		calls = append(calls, h.waitForCall("POST", lookup.id))
	}
	h.holdsCloses = true
	for _, call := range calls {
		h.receive(call.connection, []byte(partialAnswer+strings.Repeat("x", 40000)))
	}
	for range 3 { // the end of the connection isn't known yet
		h.receive(calls[1].connection, []byte("x"))
		h.cancel(h.sendQuery(reader, "lookup", "", 5*time.Second, 1))
	}
	if !calls[0].connection.closed || calls[1].connection.closed {
		t.Fatalf("connections to the engine closed: %v and %v, want only the first",
			calls[0].connection.closed, calls[1].connection.closed)
	}
	for i, conn := range clients {
		if conn.closed || loads[i].answer != "" || h.controller.counters.deferred > 0 {
			t.Fatalf("client %d: closed %v, its load's answer %q", i, conn.closed, loads[i].answer)
		}
	}
}

// While the buffers are full, a query is deferred in place of closing a connection with open calls.
func TestFullBuffersDeferQueriesOfClientsWithOpenCalls(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	h.controller.maxBufferedBytes = 200 << 10
	clients, loads := clientsWithOpenLoads(h, 6)
	var longLoads []*sentQuery
	var messages [][]byte
	for _, conn := range clients {
		load, message := h.longLoad(conn, 60000)
		longLoads = append(longLoads, load)
		messages = append(messages, message)
		h.receive(conn, message[:50000])
		if h.controller.bufferedBytes > h.controller.maxBufferedBytes+64<<10 {
			t.Fatal("buffered bytes above their limit: ", h.controller.bufferedBytes)
		}
	}
	deferred := 0
	for i, conn := range clients {
		h.receive(conn, messages[i][50000:])
		if conn.closed || longLoads[i].answer != "" && longLoads[i].answer != "deferred" {
			t.Fatalf("client %d: closed %v, its query's answer %q", i, conn.closed, longLoads[i].answer)
		}
		if longLoads[i].answer == "deferred" {
			deferred++
		} else {
			h.finish("POST", longLoads[i])
		}
		h.finish("GET", loads[i])
		later := h.sendQuery(conn, "lookup", "", 5*time.Second, 1) // the skipped message ended where it should
		h.finish("POST", later)
	}
	if deferred == 0 {
		t.Fatal("the buffers never exceeded their limit, so the test proves nothing")
	}
}

// A query whose statement is discarded has to arrive in time like any other, once no call is open.
func TestDiscardedQueryMustArriveInTime(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	h.controller.maxBufferedBytes = 30 << 10
	clients, loads := clientsWithOpenLoads(h, 1)
	query, message := h.longLoad(clients[0], 60000)
	h.receive(clients[0], message[:50000])
	if h.controller.bufferedBytes > 30<<10 {
		t.Fatal("the statement was not discarded, so the test proves nothing")
	}
	h.finish("GET", loads[0])
	query.cancelled = true // never sent completely
	h.runUntil(h.now + messageTimeout + 2*sweepInterval)
	if !clients[0].closed {
		t.Fatal("not disconnected although its message didn't arrive in time")
	}
}

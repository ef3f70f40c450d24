package controller

import (
	"testing"
	"time"
)

// An idle connection was once closed for a newcomer, or as idle for too long, though its client's next query
// had arrived and only waited to be read.
func TestConnectionWithPendingInputIsNotClosedAsIdle(t *testing.T) {
	h := newHarness(t, 1, 64, nil)
	var clients []*fakeConnection
	for range h.controller.maxClients {
		conn := h.connect()
		query := h.sendQuery(conn, "lookup", "", 5*time.Second, 1)
		h.respond(h.waitForCall("POST", query.id), "ok")
		h.runUntil(h.now + 20*time.Millisecond)
		if query.answer != "finished" {
			t.Fatalf("answer %q", query.answer)
		}
		clients = append(clients, conn)
	}
	clients[0].inputPending = true
	clients[1].inputPending = true
	h.connect()
	h.connect()
	if h.controller.counters.disconnected != 0 {
		t.Fatal("a connection was closed though two of those that count may have ended")
	}
	h.connect()
	if clients[0].closed || clients[1].closed || !clients[2].closed || h.controller.counters.disconnected != 1 {
		t.Fatalf("closed: %v, %v and %v, want only the third", clients[0].closed, clients[1].closed,
			clients[2].closed)
	}
	h.runUntil(h.now + clientIdleTimeout + 2*sweepInterval)
	if clients[0].closed || !clients[3].closed {
		t.Fatalf("closed as idle: %v and %v, want only the second", clients[0].closed, clients[3].closed)
	}
	clients[0].inputPending = false
	query := h.sendQuery(clients[0], "lookup", "", 5*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "ok")
	h.runUntil(h.now + 100*time.Millisecond)
	if query.answer != "finished" {
		t.Fatalf("the query that was pending has the answer %q", query.answer)
	}
}

// A message that is overdue is not cut off while the rest of it waits to be read.
func TestOverdueMessageThatHasArrivedIsRead(t *testing.T) {
	h := newHarness(t, 1, 64, nil)
	conn := h.connect()
	query, message := h.newQuery(conn, "lookup", "", 5*time.Second, 1)
	h.receive(conn, message[:20])
	conn.inputPending = true
	h.runUntil(h.now + messageTimeout + 3*sweepInterval)
	if conn.closed {
		t.Fatal("closed though the rest of the message was pending")
	}
	h.receive(conn, message[20:])
	h.respond(h.waitForCall("POST", query.id), "ok")
	h.runUntil(h.now + 100*time.Millisecond)
	if query.answer != "finished" {
		t.Fatalf("answer %q", query.answer)
	}
}

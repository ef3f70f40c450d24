package controller

import (
	"strconv"
	"testing"
	"time"
)

// A duplicate of a result that came 12 ms late, on a connection that carried another query by then, was once
// served to that query.
func TestLateDuplicateResponseAnswersNoOtherQuery(t *testing.T) {
	const result = "HTTP/1.1 200 x\r\nChunks: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n"
	for _, late := range []time.Duration{time.Millisecond, 12 * time.Millisecond, maxNetworkDelay} {
		for _, group := range []string{"lookup", "load"} {
			h := newHarness(t, 1, 256, nil)
			conn := h.connect()
			query := h.sendQuery(conn, "lookup", "", 5*time.Second, 1)
			query.expectedPayload = "a\tb\tc\n"
			call := h.waitForCall("POST", query.id)
			h.finishRun(call.run)
			h.pendingCalls = nil
			h.receive(call.connection, []byte(result))
			answeredAt := h.now
			h.runUntil(answeredAt + min(late, connectionReuseDelay))
			other := h.sendQuery(conn, group, "k", 5*time.Second, 1)
			otherCall := h.waitForCall("POST", other.id)
			reused := otherCall.connection == call.connection
			if reused != (late > connectionReuseDelay) {
				t.Fatalf("after %v: the connection carries the other query: %v", late, reused)
			}
			h.runUntil(max(h.now, answeredAt+late))
			h.receive(call.connection, []byte(result))
			if other.answer != "" || !call.connection.closed {
				t.Fatalf("%s after %v: answer %q, connection closed %v", group, late, other.answer,
					call.connection.closed)
			}
			h.finishRun(otherCall.run)
			h.runUntil(h.now + time.Second)
			if other.answer != "finished" || len(other.runs) != 1 {
				t.Fatalf("%s after %v: answer %q after %d runs", group, late, other.answer, len(other.runs))
			}
		}
	}
}

// A duplicate of the answer to a cancellation that came 12 ms late was once taken as the answer to the
// cancellation of another query, which may still have been running.
func TestLateDuplicateConfirmsNoOtherCancellation(t *testing.T) {
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	conn := h.connect()
	var queries []*sentQuery
	for i := range 2 {
		query := h.sendQuery(conn, "load", "k"+strconv.Itoa(i), 20*time.Second, i)
		h.respond(h.waitForCall("POST", query.id), "runs")
		queries = append(queries, query)
	}
	h.cancel(queries[0])
	first := h.waitForCall("DELETE", queries[0].id)
	h.respond(first, "")
	h.runUntil(h.now + 12*time.Millisecond)
	h.cancel(queries[1])
	if h.waitForCall("DELETE", queries[1].id).connection == first.connection {
		t.Fatal("cancellation sent on a connection that may still deliver a duplicate of another one's answer")
	}
}

// Two queries may have the same result: the second is asked for once more, and then served.
func TestEqualResultsOfTwoQueriesAreServed(t *testing.T) {
	const result = "HTTP/1.1 200 x\r\nChunks: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n"
	h := newHarness(t, 1, 256, nil)
	conn := h.connect()
	for i := range 6 {
		query := h.sendQuery(conn, "load", "k"+strconv.Itoa(i), 5*time.Second, 1)
		query.expectedPayload = "a\tb\tc\n"
		call := h.waitForCall("POST", query.id)
		h.endRun(call.run, false)
		h.pendingCalls = nil
		h.receive(call.connection, []byte(result))
		for range 2 * maxNetworkDelay / time.Millisecond {
			if query.answer != "" {
				break
			}
			h.runUntil(h.now + time.Millisecond)
			for _, poll := range append([]*pendingCall{}, h.pendingCalls...) {
				if poll.method == "GET" && poll.id == query.id {
					h.pendingCalls = nil
					h.receive(poll.connection, []byte(result))
				}
			}
		}
		if query.answer != "finished" || len(query.runs) != 1 {
			t.Fatalf("query %d: answer %q after %d runs", i, query.answer, len(query.runs))
		}
		h.runUntil(h.now + connectionReuseDelay)
	}
	if h.controller.counters.duplicateResults == 0 {
		t.Fatal("no result was asked for once more, so the test proves nothing")
	}
}

// A query that is asked for once more uses no connection that may still deliver a duplicate: where many
// queries have the same result, each further answer would be taken for a duplicate again.
func TestQueryAskedForOnceMoreAvoidsRecentConnections(t *testing.T) {
	const result = "HTTP/1.1 200 x\r\nChunks: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n"
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	conn := h.connect()
	send := func(tables int) (*sentQuery, *pendingCall) {
		query := h.sendQuery(conn, "load", "k"+strconv.Itoa(tables), 5*time.Second, tables)
		query.expectedPayload = "a\tb\tc\n"
		return query, h.waitForCall("POST", query.id)
	}
	_, first := send(1)
	_, second := send(2)
	h.endRun(first.run, false)
	h.endRun(second.run, false)
	h.pendingCalls = nil
	h.receive(first.connection, []byte(result))
	h.receive(second.connection, []byte(result))
	h.runUntil(h.now + connectionReuseDelay)
	query, call := send(3)
	h.endRun(call.run, false)
	if call.connection != first.connection && call.connection != second.connection {
		t.Fatal("no recent connection was used, so the test proves nothing")
	}
	h.pendingCalls = nil
	h.receive(call.connection, []byte(result))
	again := h.waitForCall("GET", query.id)
	if again.connection == first.connection || again.connection == second.connection {
		t.Fatal("asked for once more on a connection that may still deliver a duplicate")
	}
	h.receive(again.connection, []byte(result))
	if query.answer != "finished" || h.controller.counters.duplicateResults != 1 {
		t.Fatalf("answer %q after %d results taken for duplicates", query.answer,
			h.controller.counters.duplicateResults)
	}
}

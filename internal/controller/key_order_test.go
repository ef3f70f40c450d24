package controller

import (
	"testing"
	"time"
)

// A client sends the queries of a key 60 ms apart and holds faster ones back. The tenth query of a burst may
// have waited half a second at the client when the controller reads it, so its deadline is that much earlier.
// A single query keeps its whole timeout, except for the time that a client holds back the second query of a
// key whose first went to another controller.
func TestDeadlineCountsWaitAtClient(t *testing.T) {
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false", "group.2.stretch": "100"})
	conn := h.connect()
	h.runUntil(time.Second)
	from := h.now
	var last *sentQuery
	for i := range 10 {
		h.runUntil(from + time.Duration(i)*70*time.Millisecond)
		last = h.sendQuery(conn, "load", "k", 25*time.Second, 1+i)
	}
	q := h.controller.queries[last.id]
	if q == nil || q.deadline != from+25*time.Second+keyDeadlineSlack-firstKeySpacing {
		t.Fatalf("query %+v, want the deadline %v", q, from+25*time.Second+keyDeadlineSlack-firstKeySpacing)
	}
	alone := h.sendQuery(conn, "load", "other", 25*time.Second, 30)
	if d := h.controller.queries[alone.id].deadline; d != h.now+25*time.Second-firstKeySpacing {
		t.Fatalf("single query has a deadline in %v", d-h.now)
	}
	if h.runUntil(q.deadline); last.answer == "" {
		t.Fatal("query not answered by its deadline")
	}
}

// A client that cancels queries which it holds back leaves their send slots unused, and sends the next query
// a whole number of slots later. A query that arrives at any other time after a pause starts a new burst.
func TestBurstContinuesOverUnusedSlots(t *testing.T) {
	k := &orderKey{}
	at := 3 * time.Second
	first := at
	k.recordArrival(at, 2*time.Second)
	for _, gap := range []time.Duration{60, 60, 120, 59, 181, 240, 60, 1499} {
		at += gap * time.Millisecond
		if since := k.recordArrival(at, 2*time.Second); since != first {
			t.Fatalf("after a gap of %v: waiting since %v, want %v", gap, since, first)
		}
	}
	for _, gap := range []time.Duration{330, 9000} {
		at += gap * time.Millisecond
		if since := k.recordArrival(at, 2*time.Second); since != at {
			t.Fatalf("after a gap of %v: waiting since %v, want %v", gap, since, at)
		}
	}
}

package controller

import (
	"testing"
	"time"
)

// A client writes a key's queries 60 ms apart, and holds back those that come faster: the tenth of a
// burst may have waited for half a second as we read it, and its time is over that much sooner. It is
// answered by then; one that comes by itself has all of its time, but for what clients hold back the
// second of a key whose first went elsewhere.
func TestDeadlineCountsTheWaitOfAKeysQueriesAtTheirClient(t *testing.T) {
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
		t.Fatalf("%+v, and not until %v", q, from+25*time.Second+keyDeadlineSlack-firstKeySpacing)
	}
	alone := h.sendQuery(conn, "load", "other", 25*time.Second, 30)
	if d := h.controller.queries[alone.id].deadline; d != h.now+25*time.Second-firstKeySpacing {
		t.Fatalf("one by itself has until %v", d-h.now)
	}
	if h.runUntil(q.deadline); last.answer == "" {
		t.Fatal("unanswered by then")
	}
}

// A client that took back some of what it held back leaves their turns empty, and writes on at whole
// numbers of turns; what comes at any other time after a pause is held to have come by itself.
func TestBurstGoesOnOverEmptyTurns(t *testing.T) {
	k := &orderKey{}
	at := 3 * time.Second
	first := at
	k.recordArrival(at, 2*time.Second)
	for _, gap := range []time.Duration{60, 60, 120, 59, 181, 240, 60, 1499} {
		at += gap * time.Millisecond
		if since := k.recordArrival(at, 2*time.Second); since != first {
			t.Fatalf("after %v held to have waited since %v, not %v", gap, since, first)
		}
	}
	for _, gap := range []time.Duration{330, 9000} {
		at += gap * time.Millisecond
		if since := k.recordArrival(at, 2*time.Second); since != at {
			t.Fatalf("after %v held to have waited since %v, at %v", gap, since, at)
		}
	}
}

package controller

import (
	"testing"
	"time"
)

// cutNetworkDuringQuery runs a query of a key at an engine, sends a second query of the key, and then cuts
// the network to the engine.
func cutNetworkDuringQuery(t *testing.T, overrides map[string]string, timeout time.Duration) (h *harness,
	engine *fakeEngine, first, next *sentQuery) {
	h = newHarness(t, 2, 256, overrides)
	conn := h.connect()
	first = h.sendQuery(conn, "load", "k", timeout, 1)
	call := h.waitForCall("POST", first.id)
	h.respond(call, "runs")
	next = h.sendQuery(conn, "load", "k", 30*time.Second, 2)
	h.waitForCall("GET", first.id)
	engine = call.engine
	engine.networkCut = true
	return h, engine, first, next
}

// An engine that takes no cancellations keeps running a query that is not polled. The next query of the key
// was once sent 2.7 s into a network cut while the first still ran. The key must wait until the engine
// responds again, or until the deadline that the engine was given has passed.
func TestOrderHoldsWithoutCancellation(t *testing.T) {
	for _, cancel := range []string{"true", "false"} {
		h, engine, first, next := cutNetworkDuringQuery(t, map[string]string{"may.probe": "false",
			"may.cancel": cancel}, 20*time.Second)
		h.runUntil(h.now + 6*time.Second)
		if sent := len(next.runs) > 0; sent != (cancel == "true") {
			t.Fatalf("may.cancel %s: after 6 s without a response the next query of the key was sent: %v", cancel,
				sent)
		}
		if cancel == "true" {
			continue
		}
		engine.runs[first.id].ended, engine.runs[first.id].polledAt = false, h.now // it is still running
		h.healNetwork(engine)
		h.respond(h.waitForCall("GET", first.id), "ok")
		if h.runUntil(h.now + 100*time.Millisecond); first.answer != "finished" || len(next.runs) != 1 {
			t.Fatalf("after the cut: first query %q, next query sent %d times", first.answer, len(next.runs))
		}
	}
	h, _, _, next := cutNetworkDuringQuery(t, map[string]string{"may.probe": "false", "may.cancel": "false"},
		4*time.Second)
	if h.runUntil(h.now + 5*time.Second); len(next.runs) > 0 {
		t.Fatal("next query sent before the first one's deadline at its engine")
	}
	if h.runUntil(h.now + 4*time.Second); len(next.runs) != 1 {
		t.Fatal("the key waits forever for an engine that never responds")
	}
}

// An engine that dropped an unpolled query first returns the progress notes from before, once it is reachable
// again. They do not prove that the query still runs, and the error after them does not prove its end: the
// attempt is cancelled, and the next query of the key waits for the pause after that.
func TestStaleNoteIsNoSignOfLife(t *testing.T) {
	h, engine, first, next := cutNetworkDuringQuery(t, map[string]string{"may.probe": "false",
		"may.cancel": "false"}, 20*time.Second)
	h.runUntil(h.now + 4*time.Second)
	run := engine.runs[first.id]
	run.ended, run.polledAt = false, h.now // the engine returns its earlier notes first
	h.healNetwork(engine)
	for range 2 {
		h.respond(h.waitForCall("GET", first.id), "stuck")
	}
	h.waitForCall("GET", first.id)
	run.ended, run.keyCoolsDown, run.endedAt, run.pages = true, true, h.now, 0
	h.respond(h.waitForCall("GET", first.id), "runs")
	from := h.now
	h.respond(h.waitForCall("DELETE", first.id), "ok")
	if h.runUntil(from + 250*time.Millisecond); len(next.runs) > 0 {
		t.Fatal("the next query was sent without the pause after a cancellation")
	}
	if h.runUntil(from + 400*time.Millisecond); len(next.runs) != 1 || first.answer != "killed" {
		t.Fatalf("first query %q, next query sent %d times", first.answer, len(next.runs))
	}
}

// A duplicate of the response to a priority change must not be read as the response to a cancellation, which
// must have arrived before the key's next query is sent.
func TestDuplicateResponseConfirmsNoCancellation(t *testing.T) {
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	query := h.sendQuery(h.connect(), "load", "k", 20*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "runs")
	h.waitForCall("GET", query.id)
	h.runUntil(h.now + 1500*time.Millisecond)
	call := h.waitForCall("PUT", query.id) // its latency objective has passed
	h.respond(call, "ok")
	h.cancel(query)
	if h.waitForCall("DELETE", query.id).connection == call.connection {
		t.Fatal("cancellation sent on a connection that may still deliver a duplicate response")
	}
}

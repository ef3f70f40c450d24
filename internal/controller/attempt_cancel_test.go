package controller

import (
	"testing"
	"time"
)

// disconnectDuringQuery has a query of a key run at an engine that is cut off from us, with another of its key behind.
func disconnectDuringQuery(t *testing.T, more map[string]string, patience time.Duration) (h *harness, engine *fakeEngine, first, next *sentQuery) {
	h = newHarness(t, 2, 256, more)
	conn := h.connect()
	first = h.sendQuery(conn, "load", "k", patience, 1)
	call := h.waitForCall("POST", first.id)
	h.respond(call, "runs")
	next = h.sendQuery(conn, "load", "k", 30*time.Second, 2)
	h.waitForCall("GET", first.id)
	engine = call.engine
	engine.networkCut = true
	return h, engine, first, next
}

// Where nothing may be cancelled an engine works on though nobody asks for the query: seen on a variant's
// split days, where the next of a key was sent 2.7 s into a cut while the first still ran behind it. The
// key waits until the engine was heard, or until the time that it was told to have is over.
func TestOrderHoldsWithoutCancellation(t *testing.T) {
	for _, cancel := range []string{"true", "false"} {
		h, engine, first, next := disconnectDuringQuery(t, map[string]string{"may.probe": "false", "may.cancel": cancel}, 20*time.Second)
		h.runUntil(h.now + 6*time.Second)
		if sent := len(next.runs) > 0; sent != (cancel == "true") {
			t.Fatalf("may.cancel %s: after 6 s of silence the next of its key was sent: %v", cancel, sent)
		}
		if cancel == "true" {
			continue
		}
		engine.runs[first.id].ended, engine.runs[first.id].polledAt = false, h.now // it ran on, and does now
		h.healNetwork(engine)
		h.respond(h.waitForCall("GET", first.id), "ok")
		if h.runUntil(h.now + 100*time.Millisecond); first.answer != "finished" || len(next.runs) != 1 {
			t.Fatalf("heard again: the first %q, the next sent %d times", first.answer, len(next.runs))
		}
	}
	h, _, _, next := disconnectDuringQuery(t, map[string]string{"may.probe": "false", "may.cancel": "false"}, 4*time.Second)
	if h.runUntil(h.now + 5*time.Second); len(next.runs) > 0 {
		t.Fatal("sent before its time was over at its engine")
	}
	if h.runUntil(h.now + 4*time.Second); len(next.runs) != 1 {
		t.Fatal("its key waits for good for an engine that is never heard")
	}
}

// An engine that dropped a query, as nobody asked, still has its notes: they come first, and fast, once it
// is heard again. They are no sign that the query lives, and the error behind them is no certain end:
// it is given up there, and its key rests.
func TestStaleNoteIsNoSignOfLife(t *testing.T) {
	h, engine, first, next := disconnectDuringQuery(t, map[string]string{"may.probe": "false", "may.cancel": "false"}, 20*time.Second)
	h.runUntil(h.now + 4*time.Second)
	run := engine.runs[first.id]
	run.ended, run.polledAt = false, h.now // what was noted before is told first
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
		t.Fatal("its key didn't rest")
	}
	if h.runUntil(from + 400*time.Millisecond); len(next.runs) != 1 || first.answer != "killed" {
		t.Fatalf("the first %q, the next sent %d times", first.answer, len(next.runs))
	}
}

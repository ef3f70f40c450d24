package controller

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// A load's client disconnected while the load ran. When the same id came again, the load was once run a
// second time.
func TestIDOfAbandonedLoadDoesNotRunAgain(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second, 10 * time.Second} {
		h := newHarness(t, 1, 256, nil)
		conn := h.connect()
		load := h.sendQuery(conn, "load", "k", 20*time.Second, 1)
		h.respond(h.waitForCall("POST", load.id), "runs")
		h.disconnect(conn)
		h.runUntil(h.now + delay)
		again := h.sendAgain(load)
		h.runUntil(h.now + 2*time.Second)
		if again.answer != "killed" || len(again.runs) > 0 {
			t.Errorf("after %v: answer %q after %d further runs", delay, again.answer, len(again.runs))
		}
	}
}

// An id may come again if its query can't take effect twice: the engine didn't run it, or it changes nothing.
func TestIDWithoutEffectMayComeAgain(t *testing.T) {
	for group, how := range map[string]string{"load": "full", "lookup": "ok"} {
		h := newHarness(t, 1, 256, nil)
		conn := h.connect()
		query := h.sendQuery(conn, group, "k", 20*time.Second, 1)
		h.respond(h.waitForCall("POST", query.id), how)
		h.disconnect(conn)
		h.runUntil(h.now + time.Second)
		again := h.sendAgain(query)
		h.runUntil(h.now + 2*time.Second)
		if len(again.runs) == 0 {
			t.Errorf("%s: answer %q without a run", group, again.answer)
		}
	}
}

// sendAgain sends a query with the id of an earlier one on a new connection.
func (h *harness) sendAgain(query *sentQuery) *sentQuery {
	conn := h.connect()
	again, message := h.newQuery(conn, query.group, "k", 20*time.Second, 1)
	message = bytes.Replace(message, []byte(again.id), []byte(query.id), 1)
	again.id = query.id
	h.receive(conn, message)
	return again
}

// The ids of loads that ran are forgotten after a while, and earlier if there are very many.
func TestSubmittedIDsAreForgotten(t *testing.T) {
	var ids submittedIDs
	id := func(i int) string { return fmt.Sprintf("%016x", i) }
	const added = 3*maxSubmittedIDs + 7
	for i := range added {
		ids.add(id(i), time.Duration(i))
		ids.add(id(i), time.Duration(i))
	}
	if len(ids.known) != maxSubmittedIDs || len(ids.entries) > 2*maxSubmittedIDs {
		t.Fatalf("%d ids in %d entries, want %d", len(ids.known), len(ids.entries), maxSubmittedIDs)
	}
	if ids.contains(id(added-maxSubmittedIDs-1)) || !ids.contains(id(added-maxSubmittedIDs)) {
		t.Fatal("not the oldest ids were forgotten")
	}
	ids.forget(added - 10)
	if ids.contains(id(added-11)) || !ids.contains(id(added-10)) || len(ids.known) != 10 {
		t.Fatalf("%d ids are left, want the last 10", len(ids.known))
	}
}

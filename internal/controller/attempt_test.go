package controller

import (
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/invariant"
	"railrelay.dev/railrelay/internal/scheduler"
)

// A retry with an idempotency key may wait for its connection after it was decided. When the retry window is
// over, the engine may have forgotten the key: the retry must start within the window or not at all.
func TestRetryStartsWithinItsWindowOnly(t *testing.T) {
	for _, late := range []bool{false, true} {
		h := newHarness(t, 2, 256,
			withIdempotencyKeys(map[string]string{"group.1.window": "600", "connect.timeout": "2000"}))
		query := h.sendQuery(h.connect(), "report", "", 5*time.Second, 1)
		first := h.waitForCall("POST", query.id)
		from := h.now
		h.runUntil(from + 200*time.Millisecond)
		var slow *fakeConnection // the connection to the other engine, which the test establishes itself
		for _, engine := range h.sortedEngines() {
			engine.unresponsive = engine != first.engine
		}
		h.respond(first, "error")
		for _, conn := range h.connections {
			if !conn.established && !conn.closed && conn.address != first.engine.address && conn.address != "feed" {
				slow = conn
			}
		}
		if slow == nil {
			t.Fatal("no retry is in progress, so the test proves nothing")
		}
		for _, engine := range h.sortedEngines() {
			engine.unresponsive = false
		}
		slow.dialledAt = h.now + time.Hour
		if h.runUntil(from + 300*time.Millisecond); late {
			h.runUntil(from + 700*time.Millisecond)
		}
		slow.established = true
		h.step(Event{Kind: Connected, Connection: slow.connection})
		if sent := len(query.runs) > 1; sent == late {
			t.Fatalf("late: %v, sent: %v", late, sent)
		}
	}
}

// startPermit returns the permit of the effect that writes a submission, nil if there is none.
func startPermit(effects []Effect) *WritePermit {
	for _, effect := range effects {
		if effect.Permit != nil {
			return effect.Permit
		}
	}
	return nil
}

// A submission may be queued for writing when its reason ends: its client cancels or disconnects, its engine
// drains or is removed, or its deadline passes. The permit, checked right before the first byte, must then be
// invalid.
func TestQueuedWriteLosesItsPermit(t *testing.T) {
	for event, ends := range map[string]func(h *harness, query *sentQuery){
		"cancelled":    func(h *harness, query *sentQuery) { h.cancel(query) },
		"disconnected": func(h *harness, query *sentQuery) { h.disconnect(query.connection) },
		"end of stream": func(h *harness, query *sentQuery) {
			query.cancelled = true
			h.step(Event{Kind: BytesReceived, Connection: query.connection.connection, EndOfStream: true})
		},
		"engine drains": func(h *harness, _ *sentQuery) {
			engine := h.sortedEngines()[0]
			engine.state = "DRAINING"
			h.listEngines(engine.endpointJSON(0))
		},
		"engine is gone": func(h *harness, _ *sentQuery) {
			engine := h.sortedEngines()[0]
			engine.state = "DELETED"
			h.listEngines(engine.endpointJSON(0))
		},
		"nothing happened": nil,
	} {
		h := newHarness(t, 1, 256, map[string]string{"may.probe": "false", "may.cancel": "false"})
		h.runUntil(10 * time.Millisecond)
		query := h.sendQuery(h.connect(), "lookup", "", 900*time.Millisecond, 1)
		var dialled *fakeConnection
		for _, conn := range h.connections {
			if conn.address == h.sortedEngines()[0].address {
				dialled = conn
			}
		}
		dialled.established = true
		// the runner holds the bytes back
		permit := startPermit(h.controller.Step(h.now, Event{Kind: Connected, Connection: dialled.connection}))
		if permit == nil || !permit.ValidAt(h.now) {
			t.Fatal("no submission was written, so the test proves nothing")
		}
		if ends != nil {
			ends(h, query)
		}
		if permit.ValidAt(h.now) != (ends == nil) {
			t.Errorf("%s: permit valid: %v", event, permit.ValidAt(h.now))
		}
		if permit.ValidAt(query.deadline) {
			t.Errorf("%s: permit valid at the client's deadline", event)
		}
	}
}

// A query that arrives together with the end of its client's connection must not be sent to an engine.
func TestQueryCancelledInTheSameReadIsNotSent(t *testing.T) {
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	h.runUntil(10 * time.Millisecond)
	conn := h.connect()
	end := conn.connection.onEndOfStream
	got := conn.connection.onBytes
	conn.connection.onBytes = func() { got(); end() } // as with Event.EndOfStream
	query := h.sendQuery(conn, "lookup", "", time.Second, 1)
	query.cancelled = true
	h.runUntil(h.now + 100*time.Millisecond)
	if len(query.runs) > 0 || h.controller.pool.open > 0 || len(h.controller.queries) > 0 {
		t.Fatalf("sent %d times, %d connections, %d queries", len(query.runs), h.controller.pool.open,
			len(h.controller.queries))
	}
}

// A write whose permit is no longer valid is not performed, with or without peers. The connection ends, and
// the attempt is known never to have run.
func TestRejectedWriteCountsAsNeverSent(t *testing.T) {
	h := newHarness(t, 2, 256, map[string]string{"may.probe": "false"})
	h.runUntil(10 * time.Millisecond)
	broken := invariant.Violations()
	h.writeDelay = submitWriteTimeout // the process stalls between the step and the write
	query := h.sendQuery(h.connect(), "load", "k", 5*time.Second, 1)
	for range 20 {
		if h.controller.counters.rejectedWrites == 0 {
			h.runUntil(h.now + 500*time.Microsecond)
		}
	}
	if h.controller.counters.rejectedWrites != 1 || len(query.runs) > 0 {
		t.Fatalf("%d writes rejected, query sent %d times", h.controller.counters.rejectedWrites, len(query.runs))
	}
	if n := invariant.Violations() - broken; n > 0 {
		t.Fatalf("%d invariants violated", n)
	}
	h.writeDelay = 0
	h.waitForCall("POST", query.id) // the mutating query may be sent again, since it never ran
	if h.controller.counters.attemptEnds[scheduler.NeverSent] == 0 || query.answer != "" {
		t.Fatalf("attempt ends %v, answer %q", h.controller.counters.attemptEnds, query.answer)
	}
}

// An unsent attempt ends together with its query, even if engines take no cancellations: otherwise the next
// query of the key would wait for a dial that may take long.
func TestUnsentAttemptEndsWithItsQuery(t *testing.T) {
	for _, cause := range []string{"left", "deadline"} {
		h := newHarness(t, 2, 256, map[string]string{"may.probe": "false", "may.cancel": "false",
			"connect.timeout": "4000"})
		h.runUntil(10 * time.Millisecond)
		for _, engine := range h.sortedEngines() {
			engine.unresponsive = true
		}
		conn := h.connect()
		query := h.sendQuery(conn, "load", "k", 600*time.Millisecond, 1)
		other := h.sendQuery(conn, "load", "k", 20*time.Second, 2)
		if h.controller.pool.open == 0 {
			t.Fatal("no connection is being dialled, so the test proves nothing")
		}
		if cause == "left" {
			h.cancel(query)
		} else {
			h.runUntil(query.deadline)
		}
		if h.runUntil(h.now + 50*time.Millisecond); len(h.controller.queries[other.id].attempts) == 0 {
			t.Fatalf("%s: the key's next query waits for a connection that is not needed any more", cause)
		}
	}
}

// After the query is closed, the pages of its result are not fetched.
func TestNoPagesAreFetchedForClosedQuery(t *testing.T) {
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false", "may.cancel": "false"})
	query := h.sendQuery(h.connect(), "lookup", "", 5*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "runs")
	call := h.waitForCall("GET", query.id)
	h.cancel(query)
	call.run.ended, call.run.pages = true, 8
	h.respond(call, "ok")
	for range 20 {
		h.runUntil(h.now + time.Millisecond)
		for _, call := range h.pendingCalls {
			if call.id == query.id && call.page > 0 {
				t.Fatalf("page %d fetched for a closed query", call.page)
			}
		}
	}
	if len(h.controller.queries) > 0 {
		t.Fatal("the query was not released")
	}
}

// Before the program exits, queries abandoned at the last moment are cancelled at their engines.
func TestShutdownWaitsForCancellations(t *testing.T) {
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	query := h.sendQuery(h.connect(), "lookup", "", 5*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "runs")
	h.waitForCall("GET", query.id)
	h.step(Event{Kind: ShutdownRequested})
	h.runUntil(h.now + 900*time.Millisecond)
	call := h.waitForCall("GET", query.id)
	if call.run == nil || h.exited {
		t.Fatal("the query does not run any more, so the test proves nothing")
	}
	h.cancel(query)
	if h.runUntil(h.now + 5*time.Millisecond); h.exited && !call.run.ended {
		t.Fatal("exited while the engine still runs an abandoned query")
	}
	if h.runUntil(h.now + 400*time.Millisecond); !h.exited || !call.run.ended {
		t.Fatalf("exited: %v, run ended: %v", h.exited, call.run.ended)
	}
}

// A connection on which a front end asks repeatedly for readiness is not idle, and a connection whose answer
// is still being read is not evicted for a new client.
func TestBusyClientsAreNotIdle(t *testing.T) {
	h := newHarness(t, 1, 96, map[string]string{"may.probe": "false"})
	conn := h.connect()
	for range 20 {
		h.receive(conn, []byte("\x94\x00\x01\xa5alive\x91\x80"))
		h.runUntil(h.now + 500*time.Millisecond)
	}
	if conn.closed {
		t.Fatal("a connection with readiness requests was closed as idle")
	}
	slowReader := h.connect()
	slowReader.dropsWrites = true // reads slowly
	query := h.sendQuery(slowReader, "lookup", "", 5*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "ok")
	h.runUntil(h.now + 300*time.Millisecond)
	for range 60 {
		h.connect()
	}
	if slowReader.connection.unwrittenBytes == 0 || slowReader.closedByController {
		t.Fatalf("%d unread bytes, closed: %v", slowReader.connection.unwrittenBytes, slowReader.closedByController)
	}
}

// When all descriptors for engines are in use, a health check waits for one and is not requested again
// meanwhile: queued health checks go before polls, and engines would drop the queries that are not polled.
func TestHealthChecksDoNotQueueUp(t *testing.T) {
	h := newHarness(t, 3, 28, nil)
	e := h.controller.engines["e0"]
	h.controller.pool.limit = 0
	for range 10 {
		h.controller.checkHealth(e)
	}
	if n := len(h.controller.pool.waitingCalls); n != 1 {
		t.Fatalf("%d health checks of one engine are queued, want 1", n)
	}
}

// Group names are the operators' own. A group whose name contains spaces is known by that name to clients and
// engines, also if the name resembles a setting's value.
func TestNamesLikeSettingsAreNotTranslated(t *testing.T) {
	h := newHarness(t, 1, 96, map[string]string{"may.probe": "false", "group.0.name": "all_of it",
		"locations": "left_bank"})
	h.runUntil(10 * time.Millisecond)
	for _, engine := range h.sortedEngines() {
		engine.site = "left bank"
		h.listEngines(engine.endpointJSON(0))
	}
	if got := h.controller.engines["e0"].location; got != 0 {
		t.Fatalf("engine's location index is %d, want 0", got)
	}
	query := h.sendQuery(h.connect(), "all of it", "", 5*time.Second, 1)
	if call := h.waitForCall("POST", query.id); !strings.Contains(call.head, "\r\nX-Class: all of it\r\n") {
		t.Fatalf("submission without the group's name: %q", call.head)
	}
}

// After the process stalled, it reads all received bytes before it runs the timers that are due: a response
// that arrived but was not read yet is not late, and its connection is not dead.
func TestUnreadResponseIsNotLate(t *testing.T) {
	for _, unread := range []bool{true, false} {
		h := newHarness(t, 1, 96, map[string]string{"may.probe": "false"})
		conn := h.connect()
		var connections []*fakeConnection
		for range 3 {
			connections = append(connections, h.waitForCall("POST",
				h.sendQuery(conn, "lookup", "", 5*time.Second, 1).id).connection)
		}
		h.pendingCalls = nil
		h.now += time.Second // all calls have been answered meanwhile
		answer := []byte("HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n")
		h.backlogged = unread
		for _, conn := range connections {
			if !conn.closedByController {
				h.step(Event{Kind: BytesReceived, Connection: conn.connection,
					ByteCount: copy(conn.connection.Received.FreeSpace(), answer)})
			}
		}
		h.backlogged = false
		h.step(Event{Kind: TimerFired})
		if late := connections[0].closedByController || connections[1].closedByController ||
			connections[2].closedByController || h.controller.counters.pollRetries > 0; late == unread {
			t.Fatalf("backlogged: %v, treated as late: %v, connections closed: %v %v %v, polls retried: %d", unread,
				late,
				connections[0].closedByController, connections[1].closedByController, connections[2].closedByController,
				h.controller.counters.pollRetries)
		}
	}
}

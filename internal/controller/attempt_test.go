package controller

import (
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/invariant"
	"railrelay.dev/railrelay/internal/scheduler"
)

// A repeat of what is tokened that was decided in time may have to wait for its connection. By the
// time that is up its engine may have forgotten the token: it begins within the window or not at all.
func TestRetryStartsWithinItsWindowOnly(t *testing.T) {
	for _, late := range []bool{false, true} {
		h := newHarness(t, 2, 256, withIdempotencyKeys(map[string]string{"group.1.window": "600", "connect.timeout": "2000"}))
		query := h.sendQuery(h.connect(), "report", "", 5*time.Second, 1)
		first := h.waitForCall("POST", query.id)
		from := h.now
		h.runUntil(from + 200*time.Millisecond)
		var slow *fakeConnection // the other engine's connection doesn't come up by itself
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
			t.Fatal("no repeat is under way, and the test proves nothing")
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
			t.Fatalf("late: %v, and sent: %v", late, sent)
		}
	}
}

// started finds what a step asks to have written that starts a submission.
func startPermit(effects []Effect) *WritePermit {
	for _, effect := range effects {
		if effect.Permit != nil {
			return effect.Permit
		}
	}
	return nil
}

// What starts a submission may lie in a queue to be written when its reason ends. It is looked at
// once more right before its first byte, and doesn't go: its client left, by a word or by hanging
// up; its engine drains or is gone; its time is over.
func TestQueuedWriteLosesItsPermit(t *testing.T) {
	for what, ends := range map[string]func(h *harness, query *sentQuery){
		"cancelled": func(h *harness, query *sentQuery) { h.cancel(query) },
		"hung up":   func(h *harness, query *sentQuery) { h.disconnect(query.connection) },
		"last bytes": func(h *harness, query *sentQuery) {
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
		permit := startPermit(h.controller.Step(h.now, Event{Kind: Connected, Connection: dialled.connection})) // its bytes wait with the runner
		if permit == nil || !permit.ValidAt(h.now) {
			t.Fatal("no submission begins, and the test proves nothing")
		}
		if ends != nil {
			ends(h, query)
		}
		if permit.ValidAt(h.now) != (ends == nil) {
			t.Errorf("%s: the permit holds: %v", what, permit.ValidAt(h.now))
		}
		if permit.ValidAt(query.deadline) {
			t.Errorf("%s: it holds when its client has given up", what)
		}
	}
}

// What came with its client's end right behind it begins nowhere.
func TestQueryCancelledInTheSameReadIsNotSent(t *testing.T) {
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	h.runUntil(10 * time.Millisecond)
	conn := h.connect()
	end := conn.connection.onEndOfStream
	got := conn.connection.onBytes
	conn.connection.onBytes = func() { got(); end() } // as with Event.Last
	query := h.sendQuery(conn, "lookup", "", time.Second, 1)
	query.cancelled = true
	h.runUntil(h.now + 100*time.Millisecond)
	if len(query.runs) > 0 || h.controller.pool.open > 0 || len(h.controller.queries) > 0 {
		t.Fatalf("sent %d times, %d connections, %d queries", len(query.runs), h.controller.pool.open, len(h.controller.queries))
	}
}

// A first byte that lost its permit on the way isn't written, fleet or none: its connection ends, and the
// submission is known never to have run.
func TestBarredWriteCountsAsNeverSent(t *testing.T) {
	h := newHarness(t, 2, 256, map[string]string{"may.probe": "false"})
	h.runUntil(10 * time.Millisecond)
	broken := invariant.Broken()
	h.writeDelay = submitWriteTimeout // the runner stands still between the step and the write
	query := h.sendQuery(h.connect(), "load", "k", 5*time.Second, 1)
	for range 20 {
		if h.controller.counters.rejectedWrites == 0 {
			h.runUntil(h.now + 500*time.Microsecond)
		}
	}
	if h.controller.counters.rejectedWrites != 1 || len(query.runs) > 0 {
		t.Fatalf("%d barred, sent %d times", h.controller.counters.rejectedWrites, len(query.runs))
	}
	if n := invariant.Broken() - broken; n > 0 {
		t.Fatalf("%d times something did not hold", n)
	}
	h.writeDelay = 0
	h.waitForCall("POST", query.id) // a mutating one goes again: nothing of it ran
	if h.controller.counters.attemptEnds[scheduler.NeverSent] == 0 || query.answer != "" {
		t.Fatalf("%v, %q", h.controller.counters.attemptEnds, query.answer)
	}
}

// Where nothing may be cancelled, what was never sent is dropped all the same as its query ends: it
// waits for a connection that may take long, and its key's next would wait for that.
func TestUnsentAttemptEndsWithItsQuery(t *testing.T) {
	for _, how := range []string{"left", "out of time"} {
		h := newHarness(t, 2, 256, map[string]string{"may.probe": "false", "may.cancel": "false", "connect.timeout": "4000"})
		h.runUntil(10 * time.Millisecond)
		for _, engine := range h.sortedEngines() {
			engine.unresponsive = true
		}
		conn := h.connect()
		query := h.sendQuery(conn, "load", "k", 600*time.Millisecond, 1)
		other := h.sendQuery(conn, "load", "k", 20*time.Second, 2)
		if h.controller.pool.open == 0 {
			t.Fatal("no connection is under way, and the test proves nothing")
		}
		if how == "left" {
			h.cancel(query)
		} else {
			h.runUntil(query.deadline)
		}
		if h.runUntil(h.now + 50*time.Millisecond); len(h.controller.queries[other.id].attempts) == 0 {
			t.Fatalf("%s: its key's next waits for a connection that is nobody's", how)
		}
	}
}

// A result that came to a good end as nobody waits for it any more is not fetched page by page.
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
				t.Fatalf("page %d for nobody", call.page)
			}
		}
	}
	if len(h.controller.queries) > 0 {
		t.Fatal("it is still in hand")
	}
}

// As the program ends, what was given up in its last moments is ended at its engine, too.
func TestShutdownWaitsForCancellations(t *testing.T) {
	h := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	query := h.sendQuery(h.connect(), "lookup", "", 5*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "runs")
	h.waitForCall("GET", query.id)
	h.step(Event{Kind: ShutdownRequested})
	h.runUntil(h.now + 900*time.Millisecond)
	call := h.waitForCall("GET", query.id)
	if call.run == nil || h.exited {
		t.Fatal("it runs no more")
	}
	h.cancel(query)
	if h.runUntil(h.now + 5*time.Millisecond); h.exited && !call.run.ended {
		t.Fatal("ended, and its engine works on for nobody")
	}
	if h.runUntil(h.now + 400*time.Millisecond); !h.exited || !call.run.ended {
		t.Fatalf("ended: %v, over at its engine: %v", h.exited, call.run.ended)
	}
}

// A connection on which a front asks again and again whether we are ready rests no more than one
// that carries queries; and one whose answer is on its way doesn't make way for a newcomer.
func TestBusyClientsAreNotIdle(t *testing.T) {
	h := newHarness(t, 1, 96, map[string]string{"may.probe": "false"})
	conn := h.connect()
	for range 20 {
		h.receive(conn, []byte("\x94\x00\x01\xa5alive\x91\x80"))
		h.runUntil(h.now + 500*time.Millisecond)
	}
	if conn.closed {
		t.Fatal("closed as idle")
	}
	reads := h.connect()
	reads.dropsWrites = true // takes its time
	query := h.sendQuery(reads, "lookup", "", 5*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "ok")
	h.runUntil(h.now + 300*time.Millisecond)
	for range 60 {
		h.connect()
	}
	if reads.connection.unwrittenBytes == 0 || reads.closedByController {
		t.Fatalf("%d bytes are on their way, closed: %v", reads.connection.unwrittenBytes, reads.closedByController)
	}
}

// With every descriptor for engines in use a look waits for one. It is not asked for again and again
// meanwhile: looks go before calls for news, whose queries engines would drop.
func TestHealthChecksDoNotQueueUp(t *testing.T) {
	h := newHarness(t, 3, 28, nil)
	e := h.controller.engines["e0"]
	h.controller.pool.limit = 0
	for range 10 {
		h.controller.checkHealth(e)
	}
	if n := len(h.controller.pool.waitingCalls); n != 1 {
		t.Fatalf("%d looks at one engine wait", n)
	}
}

// Names are the operators' own: a group whose name holds blanks is known by it and called by it at
// engines, and one that is called like a value is none.
func TestNamesLikeSettingsAreNotTranslated(t *testing.T) {
	h := newHarness(t, 1, 96, map[string]string{"may.probe": "false", "group.0.name": "all_of it", "locations": "left_bank"})
	h.runUntil(10 * time.Millisecond)
	for _, engine := range h.sortedEngines() {
		engine.site = "left bank"
		h.listEngines(engine.endpointJSON(0))
	}
	if got := h.controller.engines["e0"].location; got != 0 {
		t.Fatalf("its location is %d", got)
	}
	query := h.sendQuery(h.connect(), "all of it", "", 5*time.Second, 1)
	if call := h.waitForCall("POST", query.id); !strings.Contains(call.head, "\r\nX-Class: all of it\r\n") {
		t.Fatalf("%q", call.head)
	}
}

// After we stood still all that came is heard before what is due acts: an answer that lies here unread
// is not late, and its connection not dead.
func TestUnreadResponseIsNotLate(t *testing.T) {
	for _, early := range []bool{true, false} {
		h := newHarness(t, 1, 96, map[string]string{"may.probe": "false"})
		conn := h.connect()
		var connections []*fakeConnection
		for range 3 {
			connections = append(connections, h.waitForCall("POST", h.sendQuery(conn, "lookup", "", 5*time.Second, 1).id).connection)
		}
		h.pendingCalls = nil
		h.now += time.Second // all have been answered meanwhile
		answer := []byte("HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n")
		h.backlogged = early
		for _, conn := range connections {
			if !conn.closedByController {
				h.step(Event{Kind: BytesReceived, Connection: conn.connection, ByteCount: copy(conn.connection.Received.Space(), answer)})
			}
		}
		h.backlogged = false
		h.step(Event{Kind: TimerFired})
		if late := connections[0].closedByController || connections[1].closedByController || connections[2].closedByController || h.controller.counters.pollRetries > 0; late == early {
			t.Fatalf("early: %v, held to be late: %v, %v %v %v %d", early, late, connections[0].closedByController, connections[1].closedByController, connections[2].closedByController, h.controller.counters.pollRetries)
		}
	}
}

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
		s := newHarness(t, 2, 256, withIdempotencyKeys(map[string]string{"group.1.window": "600", "connect.timeout": "2000"}))
		a := s.sendQuery(s.connect(), "report", "", 5*time.Second, 1)
		first := s.waitForCall("POST", a.id)
		from := s.now
		s.runUntil(from + 200*time.Millisecond)
		var slow *fakeConnection // the other engine's connection doesn't come up by itself
		for _, m := range s.sortedEngines() {
			m.unresponsive = m != first.engine
		}
		s.respond(first, "error")
		for _, e := range s.connections {
			if !e.established && !e.closed && e.address != first.engine.address && e.address != "feed" {
				slow = e
			}
		}
		if slow == nil {
			t.Fatal("no repeat is under way, and the test proves nothing")
		}
		for _, m := range s.sortedEngines() {
			m.unresponsive = false
		}
		slow.dialledAt = s.now + time.Hour
		if s.runUntil(from + 300*time.Millisecond); late {
			s.runUntil(from + 700*time.Millisecond)
		}
		slow.established = true
		s.step(Event{Kind: Connected, Connection: slow.connection})
		if sent := len(a.runs) > 1; sent == late {
			t.Fatalf("late: %v, and sent: %v", late, sent)
		}
	}
}

// started finds what a step asks to have written that starts a submission.
func startPermit(effects []Effect) *WritePermit {
	for _, f := range effects {
		if f.Permit != nil {
			return f.Permit
		}
	}
	return nil
}

// What starts a submission may lie in a queue to be written when its reason ends. It is looked at
// once more right before its first byte, and doesn't go: its client left, by a word or by hanging
// up; its engine drains or is gone; its time is over.
func TestQueuedWriteLosesItsPermit(t *testing.T) {
	for what, ends := range map[string]func(s *harness, a *sentQuery){
		"cancelled": func(s *harness, a *sentQuery) { s.cancel(a) },
		"hung up":   func(s *harness, a *sentQuery) { s.disconnect(a.connection) },
		"last bytes": func(s *harness, a *sentQuery) {
			a.cancelled = true
			s.step(Event{Kind: BytesReceived, Connection: a.connection.connection, EndOfStream: true})
		},
		"engine drains": func(s *harness, _ *sentQuery) {
			m := s.sortedEngines()[0]
			m.state = "DRAINING"
			s.listEngines(m.endpointJSON(0))
		},
		"engine is gone": func(s *harness, _ *sentQuery) {
			m := s.sortedEngines()[0]
			m.state = "DELETED"
			s.listEngines(m.endpointJSON(0))
		},
		"nothing happened": nil,
	} {
		s := newHarness(t, 1, 256, map[string]string{"may.probe": "false", "may.cancel": "false"})
		s.runUntil(10 * time.Millisecond)
		a := s.sendQuery(s.connect(), "lookup", "", 900*time.Millisecond, 1)
		var dialled *fakeConnection
		for _, e := range s.connections {
			if e.address == s.sortedEngines()[0].address {
				dialled = e
			}
		}
		dialled.established = true
		permit := startPermit(s.controller.Step(s.now, Event{Kind: Connected, Connection: dialled.connection})) // its bytes wait with the runner
		if permit == nil || !permit.ValidAt(s.now) {
			t.Fatal("no submission begins, and the test proves nothing")
		}
		if ends != nil {
			ends(s, a)
		}
		if permit.ValidAt(s.now) != (ends == nil) {
			t.Errorf("%s: the permit holds: %v", what, permit.ValidAt(s.now))
		}
		if permit.ValidAt(a.deadline) {
			t.Errorf("%s: it holds when its client has given up", what)
		}
	}
}

// What came with its client's end right behind it begins nowhere.
func TestQueryCancelledInTheSameReadIsNotSent(t *testing.T) {
	s := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	s.runUntil(10 * time.Millisecond)
	c := s.connect()
	end := c.connection.onEndOfStream
	got := c.connection.onBytes
	c.connection.onBytes = func() { got(); end() } // as with Event.Last
	a := s.sendQuery(c, "lookup", "", time.Second, 1)
	a.cancelled = true
	s.runUntil(s.now + 100*time.Millisecond)
	if len(a.runs) > 0 || s.controller.pool.open > 0 || len(s.controller.queries) > 0 {
		t.Fatalf("sent %d times, %d connections, %d queries", len(a.runs), s.controller.pool.open, len(s.controller.queries))
	}
}

// A first byte that lost its permit on the way isn't written, fleet or none: its connection ends, and the
// submission is known never to have run.
func TestBarredWriteCountsAsNeverSent(t *testing.T) {
	s := newHarness(t, 2, 256, map[string]string{"may.probe": "false"})
	s.runUntil(10 * time.Millisecond)
	broken := invariant.Violations()
	s.writeDelay = submitWriteTimeout // the runner stands still between the step and the write
	a := s.sendQuery(s.connect(), "load", "k", 5*time.Second, 1)
	for range 20 {
		if s.controller.counters.rejectedWrites == 0 {
			s.runUntil(s.now + 500*time.Microsecond)
		}
	}
	if s.controller.counters.rejectedWrites != 1 || len(a.runs) > 0 {
		t.Fatalf("%d barred, sent %d times", s.controller.counters.rejectedWrites, len(a.runs))
	}
	if n := invariant.Violations() - broken; n > 0 {
		t.Fatalf("%d times something did not hold", n)
	}
	s.writeDelay = 0
	s.waitForCall("POST", a.id) // a mutating one goes again: nothing of it ran
	if s.controller.counters.attemptEnds[scheduler.NeverSent] == 0 || a.answer != "" {
		t.Fatalf("%v, %q", s.controller.counters.attemptEnds, a.answer)
	}
}

// Where nothing may be cancelled, what was never sent is dropped all the same as its query ends: it
// waits for a connection that may take long, and its key's next would wait for that.
func TestUnsentAttemptEndsWithItsQuery(t *testing.T) {
	for _, how := range []string{"left", "out of time"} {
		s := newHarness(t, 2, 256, map[string]string{"may.probe": "false", "may.cancel": "false", "connect.timeout": "4000"})
		s.runUntil(10 * time.Millisecond)
		for _, m := range s.sortedEngines() {
			m.unresponsive = true
		}
		c := s.connect()
		a := s.sendQuery(c, "load", "k", 600*time.Millisecond, 1)
		b := s.sendQuery(c, "load", "k", 20*time.Second, 2)
		if s.controller.pool.open == 0 {
			t.Fatal("no connection is under way, and the test proves nothing")
		}
		if how == "left" {
			s.cancel(a)
		} else {
			s.runUntil(a.deadline)
		}
		if s.runUntil(s.now + 50*time.Millisecond); len(s.controller.queries[b.id].attempts) == 0 {
			t.Fatalf("%s: its key's next waits for a connection that is nobody's", how)
		}
	}
}

// A result that came to a good end as nobody waits for it any more is not fetched page by page.
func TestNoPagesAreFetchedForClosedQuery(t *testing.T) {
	s := newHarness(t, 1, 256, map[string]string{"may.probe": "false", "may.cancel": "false"})
	a := s.sendQuery(s.connect(), "lookup", "", 5*time.Second, 1)
	s.respond(s.waitForCall("POST", a.id), "runs")
	h := s.waitForCall("GET", a.id)
	s.cancel(a)
	h.run.ended, h.run.pages = true, 8
	s.respond(h, "ok")
	for range 20 {
		s.runUntil(s.now + time.Millisecond)
		for _, h := range s.pendingCalls {
			if h.id == a.id && h.page > 0 {
				t.Fatalf("page %d for nobody", h.page)
			}
		}
	}
	if len(s.controller.queries) > 0 {
		t.Fatal("it is still in hand")
	}
}

// As the program ends, what was given up in its last moments is ended at its engine, too.
func TestShutdownWaitsForCancellations(t *testing.T) {
	s := newHarness(t, 1, 256, map[string]string{"may.probe": "false"})
	a := s.sendQuery(s.connect(), "lookup", "", 5*time.Second, 1)
	s.respond(s.waitForCall("POST", a.id), "runs")
	s.waitForCall("GET", a.id)
	s.step(Event{Kind: ShutdownRequested})
	s.runUntil(s.now + 900*time.Millisecond)
	h := s.waitForCall("GET", a.id)
	if h.run == nil || s.exited {
		t.Fatal("it runs no more")
	}
	s.cancel(a)
	if s.runUntil(s.now + 5*time.Millisecond); s.exited && !h.run.ended {
		t.Fatal("ended, and its engine works on for nobody")
	}
	if s.runUntil(s.now + 400*time.Millisecond); !s.exited || !h.run.ended {
		t.Fatalf("ended: %v, over at its engine: %v", s.exited, h.run.ended)
	}
}

// A connection on which a front asks again and again whether we are ready rests no more than one
// that carries queries; and one whose answer is on its way doesn't make way for a newcomer.
func TestBusyClientsAreNotIdle(t *testing.T) {
	s := newHarness(t, 1, 96, map[string]string{"may.probe": "false"})
	c := s.connect()
	for range 20 {
		s.receive(c, []byte("\x94\x00\x01\xa5alive\x91\x80"))
		s.runUntil(s.now + 500*time.Millisecond)
	}
	if c.closed {
		t.Fatal("closed as idle")
	}
	reads := s.connect()
	reads.dropsWrites = true // takes its time
	a := s.sendQuery(reads, "lookup", "", 5*time.Second, 1)
	s.respond(s.waitForCall("POST", a.id), "ok")
	s.runUntil(s.now + 300*time.Millisecond)
	for range 60 {
		s.connect()
	}
	if reads.connection.unwrittenBytes == 0 || reads.closedByController {
		t.Fatalf("%d bytes are on their way, closed: %v", reads.connection.unwrittenBytes, reads.closedByController)
	}
}

// With every descriptor for engines in use a look waits for one. It is not asked for again and again
// meanwhile: looks go before calls for news, whose queries engines would drop.
func TestHealthChecksDoNotQueueUp(t *testing.T) {
	s := newHarness(t, 3, 28, nil)
	e := s.controller.engines["e0"]
	s.controller.pool.limit = 0
	for range 10 {
		s.controller.checkHealth(e)
	}
	if n := len(s.controller.pool.waitingCalls); n != 1 {
		t.Fatalf("%d looks at one engine wait", n)
	}
}

// Names are the operators' own: a group whose name holds blanks is known by it and called by it at
// engines, and one that is called like a value is none.
func TestNamesLikeSettingsAreNotTranslated(t *testing.T) {
	s := newHarness(t, 1, 96, map[string]string{"may.probe": "false", "group.0.name": "all_of it", "locations": "left_bank"})
	s.runUntil(10 * time.Millisecond)
	for _, m := range s.sortedEngines() {
		m.site = "left bank"
		s.listEngines(m.endpointJSON(0))
	}
	if got := s.controller.engines["e0"].location; got != 0 {
		t.Fatalf("its location is %d", got)
	}
	a := s.sendQuery(s.connect(), "all of it", "", 5*time.Second, 1)
	if h := s.waitForCall("POST", a.id); !strings.Contains(h.head, "\r\nX-Class: all of it\r\n") {
		t.Fatalf("%q", h.head)
	}
}

// After we stood still all that came is heard before what is due acts: an answer that lies here unread
// is not late, and its connection not dead.
func TestUnreadResponseIsNotLate(t *testing.T) {
	for _, early := range []bool{true, false} {
		s := newHarness(t, 1, 96, map[string]string{"may.probe": "false"})
		c := s.connect()
		var lines []*fakeConnection
		for range 3 {
			lines = append(lines, s.waitForCall("POST", s.sendQuery(c, "lookup", "", 5*time.Second, 1).id).connection)
		}
		s.pendingCalls = nil
		s.now += time.Second // all have been answered meanwhile
		answer := []byte("HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n")
		s.backlogged = early
		for _, e := range lines {
			if !e.closedByController {
				s.step(Event{Kind: BytesReceived, Connection: e.connection, ByteCount: copy(e.connection.Received.FreeSpace(), answer)})
			}
		}
		s.backlogged = false
		s.step(Event{Kind: TimerFired})
		if late := lines[0].closedByController || lines[1].closedByController || lines[2].closedByController || s.controller.counters.pollRetries > 0; late == early {
			t.Fatalf("early: %v, held to be late: %v, %v %v %v %d", early, late, lines[0].closedByController, lines[1].closedByController, lines[2].closedByController, s.controller.counters.pollRetries)
		}
	}
}

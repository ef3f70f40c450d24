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
func TestARepeatBeginsWithinItsWindowOnly(t *testing.T) {
	for _, late := range []bool{false, true} {
		s := newStage(t, 2, 256, tokened(map[string]string{"group.1.window": "600", "connect.timeout": "2000"}))
		a := s.query(s.connect(), "report", "", 5*time.Second, 1)
		first := s.one("POST", a.id)
		from := s.now
		s.until(from + 200*time.Millisecond)
		var slow *end // the other engine's connection doesn't come up by itself
		for _, m := range s.all() {
			m.silent = m != first.m
		}
		s.reply(first, "error")
		for _, e := range s.ends {
			if !e.up && !e.gone && e.address != first.m.address && e.address != "feed" {
				slow = e
			}
		}
		if slow == nil {
			t.Fatal("no repeat is under way, and the test proves nothing")
		}
		for _, m := range s.all() {
			m.silent = false
		}
		slow.dialAt = s.now + time.Hour
		if s.until(from + 300*time.Millisecond); late {
			s.until(from + 700*time.Millisecond)
		}
		slow.up = true
		s.step(Event{Kind: Connected, Connection: slow.link})
		if sent := len(a.subs) > 1; sent == late {
			t.Fatalf("late: %v, and sent: %v", late, sent)
		}
	}
}

// started finds what a step asks to have written that starts a submission.
func started(effects []Effect) *WritePermit {
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
func TestWhatWaitsToBeWrittenLosesItsPermit(t *testing.T) {
	for what, ends := range map[string]func(s *stage, a *asked){
		"cancelled": func(s *stage, a *asked) { s.leave(a) },
		"hung up":   func(s *stage, a *asked) { s.drop(a.from) },
		"last bytes": func(s *stage, a *asked) {
			a.left = true
			s.step(Event{Kind: BytesReceived, Connection: a.from.link, EndOfStream: true})
		},
		"engine drains":    func(s *stage, _ *asked) { m := s.all()[0]; m.state = "DRAINING"; s.tell(m.entry(0)) },
		"engine is gone":   func(s *stage, _ *asked) { m := s.all()[0]; m.state = "DELETED"; s.tell(m.entry(0)) },
		"nothing happened": nil,
	} {
		s := newStage(t, 1, 256, map[string]string{"may.probe": "false", "may.cancel": "false"})
		s.until(10 * time.Millisecond)
		a := s.query(s.connect(), "lookup", "", 900*time.Millisecond, 1)
		var dialled *end
		for _, e := range s.ends {
			if e.address == s.all()[0].address {
				dialled = e
			}
		}
		dialled.up = true
		permit := started(s.r.Step(s.now, Event{Kind: Connected, Connection: dialled.link})) // its bytes wait with the runner
		if permit == nil || !permit.Holds(s.now) {
			t.Fatal("no submission begins, and the test proves nothing")
		}
		if ends != nil {
			ends(s, a)
		}
		if permit.Holds(s.now) != (ends == nil) {
			t.Errorf("%s: the permit holds: %v", what, permit.Holds(s.now))
		}
		if permit.Holds(a.deadline) {
			t.Errorf("%s: it holds when its client has given up", what)
		}
	}
}

// What came with its client's end right behind it begins nowhere.
func TestAskedAndGoneInOneBreath(t *testing.T) {
	s := newStage(t, 1, 256, map[string]string{"may.probe": "false"})
	s.until(10 * time.Millisecond)
	c := s.connect()
	end := c.link.onEndOfStream
	got := c.link.onBytes
	c.link.onBytes = func() { got(); end() } // as with Event.Last
	a := s.query(c, "lookup", "", time.Second, 1)
	a.left = true
	s.until(s.now + 100*time.Millisecond)
	if len(a.subs) > 0 || s.r.pool.open > 0 || len(s.r.queries) > 0 {
		t.Fatalf("sent %d times, %d connections, %d queries", len(a.subs), s.r.pool.open, len(s.r.queries))
	}
}

// A first byte that lost its permit on the way isn't written, fleet or none: its line ends, and the
// submission is known never to have run.
func TestWhatIsBarredNeverRan(t *testing.T) {
	s := newStage(t, 2, 256, map[string]string{"may.probe": "false"})
	s.until(10 * time.Millisecond)
	broken := invariant.Broken()
	s.stopped = submitWriteTimeout // the runner stands still between the step and the write
	a := s.query(s.connect(), "load", "k", 5*time.Second, 1)
	for range 20 {
		if s.r.counters.barredWrites == 0 {
			s.until(s.now + 500*time.Microsecond)
		}
	}
	if s.r.counters.barredWrites != 1 || len(a.subs) > 0 {
		t.Fatalf("%d barred, sent %d times", s.r.counters.barredWrites, len(a.subs))
	}
	if n := invariant.Broken() - broken; n > 0 {
		t.Fatalf("%d times something did not hold", n)
	}
	s.stopped = 0
	s.one("POST", a.id) // a mutating one goes again: nothing of it ran
	if s.r.counters.attemptEnds[scheduler.NeverSent] == 0 || a.answer != "" {
		t.Fatalf("%v, %q", s.r.counters.attemptEnds, a.answer)
	}
}

// Where nothing may be cancelled, what was never sent is dropped all the same as its query ends: it
// waits for a connection that may take long, and its key's next would wait for that.
func TestWhatWasNeverSentEndsWithItsQuery(t *testing.T) {
	for _, how := range []string{"left", "out of time"} {
		s := newStage(t, 2, 256, map[string]string{"may.probe": "false", "may.cancel": "false", "connect.timeout": "4000"})
		s.until(10 * time.Millisecond)
		for _, m := range s.all() {
			m.silent = true
		}
		c := s.connect()
		a := s.query(c, "load", "k", 600*time.Millisecond, 1)
		b := s.query(c, "load", "k", 20*time.Second, 2)
		if s.r.pool.open == 0 {
			t.Fatal("no connection is under way, and the test proves nothing")
		}
		if how == "left" {
			s.leave(a)
		} else {
			s.until(a.deadline)
		}
		if s.until(s.now + 50*time.Millisecond); len(s.r.queries[b.id].attempts) == 0 {
			t.Fatalf("%s: its key's next waits for a connection that is nobody's", how)
		}
	}
}

// A result that came to a good end as nobody waits for it any more is not fetched page by page.
func TestPagesAreFetchedForNobody(t *testing.T) {
	s := newStage(t, 1, 256, map[string]string{"may.probe": "false", "may.cancel": "false"})
	a := s.query(s.connect(), "lookup", "", 5*time.Second, 1)
	s.reply(s.one("POST", a.id), "runs")
	h := s.one("GET", a.id)
	s.leave(a)
	h.s.over, h.s.pages = true, 8
	s.reply(h, "ok")
	for range 20 {
		s.until(s.now + time.Millisecond)
		for _, h := range s.held {
			if h.id == a.id && h.page > 0 {
				t.Fatalf("page %d for nobody", h.page)
			}
		}
	}
	if len(s.r.queries) > 0 {
		t.Fatal("it is still in hand")
	}
}

// As the program ends, what was given up in its last moments is ended at its engine, too.
func TestTheEndWaitsForWhatIsGivenUp(t *testing.T) {
	s := newStage(t, 1, 256, map[string]string{"may.probe": "false"})
	a := s.query(s.connect(), "lookup", "", 5*time.Second, 1)
	s.reply(s.one("POST", a.id), "runs")
	s.one("GET", a.id)
	s.step(Event{Kind: ShutdownRequested})
	s.until(s.now + 900*time.Millisecond)
	h := s.one("GET", a.id)
	if h.s == nil || s.quit {
		t.Fatal("it runs no more")
	}
	s.leave(a)
	if s.until(s.now + 5*time.Millisecond); s.quit && !h.s.over {
		t.Fatal("ended, and its engine works on for nobody")
	}
	if s.until(s.now + 400*time.Millisecond); !s.quit || !h.s.over {
		t.Fatalf("ended: %v, over at its engine: %v", s.quit, h.s.over)
	}
}

// A connection on which a front asks again and again whether we are ready rests no more than one
// that carries queries; and one whose answer is on its way doesn't make way for a newcomer.
func TestWhoIsNotIdle(t *testing.T) {
	s := newStage(t, 1, 96, map[string]string{"may.probe": "false"})
	c := s.connect()
	for range 20 {
		s.read(c, []byte("\x94\x00\x01\xa5alive\x91\x80"))
		s.until(s.now + 500*time.Millisecond)
	}
	if c.gone {
		t.Fatal("closed as idle")
	}
	reads := s.connect()
	reads.ignores = true // takes its time
	a := s.query(reads, "lookup", "", 5*time.Second, 1)
	s.reply(s.one("POST", a.id), "ok")
	s.until(s.now + 300*time.Millisecond)
	for range 60 {
		s.connect()
	}
	if reads.link.unwrittenBytes == 0 || reads.shut {
		t.Fatalf("%d bytes are on their way, closed: %v", reads.link.unwrittenBytes, reads.shut)
	}
}

// With every descriptor for engines in use a look waits for one. It is not asked for again and again
// meanwhile: looks go before calls for news, whose queries engines would drop.
func TestLooksDoNotQueueUp(t *testing.T) {
	s := newStage(t, 3, 28, nil)
	e := s.r.engines["e0"]
	s.r.pool.limit = 0
	for range 10 {
		s.r.checkHealth(e)
	}
	if n := len(s.r.pool.waitingCalls); n != 1 {
		t.Fatalf("%d looks at one engine wait", n)
	}
}

// Names are the operators' own: a group whose name holds blanks is known by it and called by it at
// engines, and one that is called like a value is none.
func TestNamesAreMetAsTheyAre(t *testing.T) {
	s := newStage(t, 1, 96, map[string]string{"may.probe": "false", "group.0.name": "all_of it", "locations": "left_bank"})
	s.until(10 * time.Millisecond)
	for _, m := range s.all() {
		m.site = "left bank"
		s.tell(m.entry(0))
	}
	if got := s.r.engines["e0"].location; got != 0 {
		t.Fatalf("its location is %d", got)
	}
	a := s.query(s.connect(), "all of it", "", 5*time.Second, 1)
	if h := s.one("POST", a.id); !strings.Contains(h.head, "\r\nX-Class: all of it\r\n") {
		t.Fatalf("%q", h.head)
	}
}

// After we stood still all that came is heard before what is due acts: an answer that lies here unread
// is not late, and its line no dead one.
func TestAnAnswerUnreadIsNotLate(t *testing.T) {
	for _, early := range []bool{true, false} {
		s := newStage(t, 1, 96, map[string]string{"may.probe": "false"})
		c := s.connect()
		var lines []*end
		for range 3 {
			lines = append(lines, s.one("POST", s.query(c, "lookup", "", 5*time.Second, 1).id).e)
		}
		s.held = nil
		s.now += time.Second // all have been answered meanwhile
		answer := []byte("HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n")
		s.early = early
		for _, e := range lines {
			if !e.shut {
				s.step(Event{Kind: BytesReceived, Connection: e.link, ByteCount: copy(e.link.Received.Space(), answer)})
			}
		}
		s.early = false
		s.step(Event{Kind: TimerFired})
		if late := lines[0].shut || lines[1].shut || lines[2].shut || s.r.counters.repolls > 0; late == early {
			t.Fatalf("early: %v, held to be late: %v, %v %v %v %d", early, late, lines[0].shut, lines[1].shut, lines[2].shut, s.r.counters.repolls)
		}
	}
}

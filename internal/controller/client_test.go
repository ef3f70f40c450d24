package controller

import (
	"fmt"
	"testing"
	"time"
)

func TestClientThatDoesNotReadIsDisconnected(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	c, other := s.connect(), s.connect()
	a := s.sendQuery(c, "lookup", "", 5*time.Second, 1)
	h := s.waitForCall("POST", a.id)
	c.dropsWrites, a.cancelled = true, true
	s.respond(h, "ok")
	for range 3 {
		if h := s.pendingCalls; len(h) > 0 {
			s.respond(h[0], "")
		}
	}
	s.sendQuery(other, "load", "k", 25*time.Second, 2)
	s.runUntil(s.now + 12*time.Second)
	if !c.closed || other.closed {
		t.Fatal("it is waited for")
	}
}

func TestStatementBytesAreBounded(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	c := s.connect()
	s.sendQuery(c, "lookup", "", 3*time.Second, 1)
	s.controller.maxStatementBytes = s.controller.statementBytes + 10
	for range maxBadCalls + 5 { // more than may be wrong on a connection: none of these is
		if a := s.sendQuery(c, "lookup", "", 3*time.Second, 1); a.answer != "deferred" {
			t.Fatalf("%q", a.answer)
		}
	}
	if c.closed {
		t.Fatal("the connection was ended, with a query open on it")
	}
	s.runUntil(s.now + 4*time.Second)
	if s.controller.statementBytes != 0 {
		t.Fatal("it forgets to forget: ", s.controller.statementBytes)
	}
}

func TestSilentClientsAreEvictedFirst(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	good, rested := s.connect(), s.connect()
	a := s.sendQuery(good, "load", "k", 20*time.Second, 1)
	s.runUntil(s.now + time.Millisecond)
	s.cancel(s.sendQuery(rested, "lookup", "", 5*time.Second, 1))
	s.runUntil(s.now + time.Millisecond)
	var mute []*fakeConnection
	for range s.controller.maxClients + 5 {
		mute = append(mute, s.connect())
		s.runUntil(s.now + time.Millisecond)
	}
	last := mute[len(mute)-1]
	if good.closed || rested.closed || last.closed || !mute[0].closed {
		t.Fatal("the wrong ones made way")
	}
	s.receive(last, []byte{0x94, 0, 1}) // begun, and never ended
	s.runUntil(s.now + time.Second)
	s.receive(last, []byte{0xa1})
	s.runUntil(s.now + 1500*time.Millisecond)
	if !last.closed || !mute[10].closed || good.closed || rested.closed {
		t.Fatal("nothing, or half a message, is waited for")
	}
	s.runUntil(s.now + clientIdleTimeout)
	if !rested.closed || good.closed || a.cancelled {
		t.Fatal("idle for good, and kept")
	}
}

func TestIdleClientsAreEvicted(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	var stay []*fakeConnection
	for range s.controller.maxClients {
		stay = append(stay, s.connect())
		s.cancel(s.sendQuery(stay[len(stay)-1], "lookup", "", 5*time.Second, 1))
		s.runUntil(s.now + time.Millisecond)
	}
	s.runUntil(s.now + time.Second) // all are idle, none for long enough to be closed for it
	held := s.sendQuery(stay[0], "load", "k", 20*time.Second, 1)
	for i := range 20 {
		c := s.connect()
		s.runUntil(s.now + time.Millisecond) // its call is on the way
		if c.closed || !stay[i+1].closed || stay[i+2].closed {
			t.Fatal("a newcomer is turned off for one that just stays")
		}
		s.cancel(s.sendQuery(c, "lookup", "", 5*time.Second, 1))
	}
	if held.connection.closed || held.answer != "" {
		t.Fatal("one with a query open made way")
	}
}

func TestMessageFloodIsCutOff(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	c := s.connect()
	var p []byte
	call := func(i int, fields string) {
		p = append(append(append(p, 0x94, 0, 0xcd, byte(i>>8), byte(i)), "\xa6lookup\x92"...), fields...)
		p = append(p, "\xc4\x01;"...)
	}
	for i := range 30 { // taken back in the same breath
		call(i, fmt.Sprintf("\x82\xa5trace\xb0%016x\xa8patience\xa41000", i+1))
		p = append(append(append(p, 0x93, 2), fixstr("cancelRequest")...), 0x91, 0xcd, byte(i>>8), byte(i))
	}
	s.receive(c, p)
	if s.controller.counters.attempts > 0 || s.controller.counters.received != 30 || len(s.controller.queries) > 0 || c.closed {
		t.Fatal("what was taken back at once went out: ", s.controller.counters.format(s.controller))
	}
	s.runUntil(s.now + time.Second)
	p = nil
	for i := range 3 * maxOpenQueries { // without a trace
		call(i, "\x81\xa8patience\xa41000")
	}
	if s.receive(c, p); !c.closed || s.controller.counters.malformed != maxBadCalls+1 {
		t.Fatal("calls that can't be used go on for ever: ", s.controller.counters.malformed)
	}
	c, p = s.connect(), nil
	for i := range 2 * maxOpenQueries {
		call(i, fmt.Sprintf("\x82\xa5trace\xb0%016x\xa8patience\xa41000", i+1))
	}
	if s.receive(c, p); !c.closed || s.controller.counters.received != 30+maxOpenQueries || s.controller.counters.attempts > 0 {
		t.Fatal("more open than may be: ", s.controller.counters.format(s.controller))
	}
	c, p = s.connect(), nil
	for range maxMessagesPerSweep + 10 {
		p = append(p, "\x94\x00\x01\xa5alive\x91\x80"...)
	}
	if s.receive(c, p); !c.closed || s.controller.counters.aliveRequests > maxMessagesPerSweep+1 {
		t.Fatal("it may talk without end: ", s.controller.counters.aliveRequests)
	}
}

func TestBufferedBytesOfClientsAreBounded(t *testing.T) {
	s := newHarness(t, 1, 1024, nil)
	s.controller.maxBufferedBytes = 1 << 20
	half := append([]byte("\x94\x00\x01\xa6lookup\x92\x80\xc5\xff\xff"), make([]byte, 60000)...)
	for range 40 {
		s.receive(s.connect(), half)
		if s.controller.bufferedBytes > s.controller.maxBufferedBytes+1<<17 {
			t.Fatal(s.controller.bufferedBytes)
		}
	}
	if s.controller.counters.disconnected == 0 {
		t.Fatal("there was no shortage")
	}
	s.runUntil(s.now + 3*time.Second)
	if s.controller.bufferedBytes > 4<<10 { // the feed's
		t.Fatal("it forgets to forget: ", s.controller.bufferedBytes)
	}
}

func TestShutdownEndsWhateverClientsDo(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	s.connect()
	c := s.connect()
	s.step(Event{Kind: ShutdownRequested})
	early := s.sendQuery(c, "load", "k", 3*time.Second, 1)
	s.runUntil(s.now + shutdownGrace + 10*time.Millisecond)
	late := s.sendQuery(c, "load", "k", 3*time.Second, 1)
	if late.answer != "deferred" || early.answer != "" {
		t.Fatalf("%q, %q", late.answer, early.answer)
	}
	s.respond(s.waitForCall("GET", early.id), "ok")
	for range 40 { // at once again, whatever it is told
		if s.exited {
			break
		}
		s.sendQuery(c, "lookup", "", time.Second, 1)
		s.runUntil(s.now + 50*time.Millisecond)
	}
	if early.answer != "finished" || !s.exited {
		t.Fatalf("%q, and no end at %v", early.answer, s.now)
	}
}

// On a connection that stays open queries come for 0.6 s after the word to stop. SIGKILL may come 3.7 s
// after it, whatever longer queries there are, and what came later than 0.7 s is lost if it is open then.
func TestShutdownRejectsLateQueriesAtOnce(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	c := s.connect()
	s.step(Event{Kind: ShutdownRequested})
	s.runUntil(s.now + 600*time.Millisecond)
	if in := s.sendQuery(c, "report", "", 20*time.Second, 1); in.answer != "" || s.waitForCall("POST", in.id) == nil {
		t.Fatalf("%q while queries may still come", in.answer)
	}
	s.runUntil(s.now + 101*time.Millisecond)
	if late := s.sendQuery(c, "report", "", 20*time.Second, 2); late.answer != "deferred" {
		t.Fatalf("%q at 0.7 s, and it may be open when the end comes", late.answer)
	}
}

// A client that asked in time is not to blame where we stood still and didn't read: its
// connection was ended as one that begins nothing.
func TestProcessStallDisconnectsNoClient(t *testing.T) {
	s := newHarness(t, 1, 96, nil)
	c := s.connect()
	s.runUntil(s.now + 100*time.Millisecond)
	s.now += 2500 * time.Millisecond
	s.step(Event{Kind: TimerFired})
	if a := s.sendQuery(c, "lookup", "", 5*time.Second, 1); c.closed || s.waitForCall("POST", a.id) == nil {
		t.Fatal("ended though it asked in time")
	}
}

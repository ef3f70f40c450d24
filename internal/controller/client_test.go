package controller

import (
	"fmt"
	"testing"
	"time"
)

func TestAClientThatDoesNotRead(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	c, other := s.connect(), s.connect()
	a := s.query(c, "lookup", "", 5*time.Second, 1)
	h := s.one("POST", a.id)
	c.ignores, a.left = true, true
	s.reply(h, "ok")
	for range 3 {
		if h := s.held; len(h) > 0 {
			s.reply(h[0], "")
		}
	}
	s.query(other, "load", "k", 25*time.Second, 2)
	s.until(s.now + 12*time.Second)
	if !c.gone || other.gone {
		t.Fatal("it is waited for")
	}
}

func TestStatementsInHandAreBounded(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	c := s.connect()
	s.query(c, "lookup", "", 3*time.Second, 1)
	s.r.maxStatementBytes = s.r.statementBytes + 10
	for range maxBadCalls + 5 { // more than may be wrong on a connection: none of these is
		if a := s.query(c, "lookup", "", 3*time.Second, 1); a.answer != "deferred" {
			t.Fatalf("%q", a.answer)
		}
	}
	if c.gone {
		t.Fatal("the connection was ended, with a query open on it")
	}
	s.until(s.now + 4*time.Second)
	if s.r.statementBytes != 0 {
		t.Fatal("it forgets to forget: ", s.r.statementBytes)
	}
}

func TestClientsThatSayNothingMakeWay(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	good, rested := s.connect(), s.connect()
	a := s.query(good, "load", "k", 20*time.Second, 1)
	s.until(s.now + time.Millisecond)
	s.leave(s.query(rested, "lookup", "", 5*time.Second, 1))
	s.until(s.now + time.Millisecond)
	var mute []*end
	for range s.r.maxClients + 5 {
		mute = append(mute, s.connect())
		s.until(s.now + time.Millisecond)
	}
	last := mute[len(mute)-1]
	if good.gone || rested.gone || last.gone || !mute[0].gone {
		t.Fatal("the wrong ones made way")
	}
	s.read(last, []byte{0x94, 0, 1}) // begun, and never ended
	s.until(s.now + time.Second)
	s.read(last, []byte{0xa1})
	s.until(s.now + 1500*time.Millisecond)
	if !last.gone || !mute[10].gone || good.gone || rested.gone {
		t.Fatal("nothing, or half a message, is waited for")
	}
	s.until(s.now + clientIdleTimeout)
	if !rested.gone || good.gone || a.left {
		t.Fatal("idle for good, and kept")
	}
}

func TestThoseWhoAskedOnceAndStayMakeWay(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	var stay []*end
	for range s.r.maxClients {
		stay = append(stay, s.connect())
		s.leave(s.query(stay[len(stay)-1], "lookup", "", 5*time.Second, 1))
		s.until(s.now + time.Millisecond)
	}
	s.until(s.now + time.Second) // all are idle, none for long enough to be closed for it
	held := s.query(stay[0], "load", "k", 20*time.Second, 1)
	for i := range 20 {
		c := s.connect()
		s.until(s.now + time.Millisecond) // its call is on the way
		if c.gone || !stay[i+1].gone || stay[i+2].gone {
			t.Fatal("a newcomer is turned off for one that just stays")
		}
		s.leave(s.query(c, "lookup", "", 5*time.Second, 1))
	}
	if held.from.gone || held.answer != "" {
		t.Fatal("one with a query open made way")
	}
}

func TestFloodsCostLittle(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	c := s.connect()
	var p []byte
	call := func(i int, fields string) {
		p = append(append(append(p, 0x94, 0, 0xcd, byte(i>>8), byte(i)), "\xa6lookup\x92"...), fields...)
		p = append(p, "\xc4\x01;"...)
	}
	for i := range 30 { // taken back in the same breath
		call(i, fmt.Sprintf("\x82\xa5trace\xb0%016x\xa8patience\xa41000", i+1))
		p = append(append(append(p, 0x93, 2), fix("cancelRequest")...), 0x91, 0xcd, byte(i>>8), byte(i))
	}
	s.read(c, p)
	if s.r.counters.attempts > 0 || s.r.counters.received != 30 || len(s.r.queries) > 0 || c.gone {
		t.Fatal("what was taken back at once went out: ", s.r.counters.text(s.r))
	}
	s.until(s.now + time.Second)
	p = nil
	for i := range 3 * maxOpenQueries { // without a trace
		call(i, "\x81\xa8patience\xa41000")
	}
	if s.read(c, p); !c.gone || s.r.counters.malformed != maxBadCalls+1 {
		t.Fatal("calls that can't be used go on for ever: ", s.r.counters.malformed)
	}
	c, p = s.connect(), nil
	for i := range 2 * maxOpenQueries {
		call(i, fmt.Sprintf("\x82\xa5trace\xb0%016x\xa8patience\xa41000", i+1))
	}
	if s.read(c, p); !c.gone || s.r.counters.received != 30+maxOpenQueries || s.r.counters.attempts > 0 {
		t.Fatal("more open than may be: ", s.r.counters.text(s.r))
	}
	c, p = s.connect(), nil
	for range maxMessagesPerSweep + 10 {
		p = append(p, "\x94\x00\x01\xa5alive\x91\x80"...)
	}
	if s.read(c, p); !c.gone || s.r.counters.aliveCalls > maxMessagesPerSweep+1 {
		t.Fatal("it may talk without end: ", s.r.counters.aliveCalls)
	}
}

func TestUnreadMessagesAreBoundedInSum(t *testing.T) {
	s := newStage(t, 1, 1024, nil)
	s.r.maxBufferedBytes = 1 << 20
	half := append([]byte("\x94\x00\x01\xa6lookup\x92\x80\xc5\xff\xff"), make([]byte, 60000)...)
	for range 40 {
		s.read(s.connect(), half)
		if s.r.bufferedBytes > s.r.maxBufferedBytes+1<<17 {
			t.Fatal(s.r.bufferedBytes)
		}
	}
	if s.r.counters.disconnected == 0 {
		t.Fatal("there was no shortage")
	}
	s.until(s.now + 3*time.Second)
	if s.r.bufferedBytes > 4<<10 { // the feed's
		t.Fatal("it forgets to forget: ", s.r.bufferedBytes)
	}
}

func TestTheEndComesWhateverClientsDo(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	s.connect()
	c := s.connect()
	s.step(Event{Kind: ShutdownRequested})
	early := s.query(c, "load", "k", 3*time.Second, 1)
	s.until(s.now + shutdownGrace + 10*time.Millisecond)
	late := s.query(c, "load", "k", 3*time.Second, 1)
	if late.answer != "deferred" || early.answer != "" {
		t.Fatalf("%q, %q", late.answer, early.answer)
	}
	s.reply(s.one("GET", early.id), "ok")
	for range 40 { // at once again, whatever it is told
		if s.quit {
			break
		}
		s.query(c, "lookup", "", time.Second, 1)
		s.until(s.now + 50*time.Millisecond)
	}
	if early.answer != "finished" || !s.quit {
		t.Fatalf("%q, and no end at %v", early.answer, s.now)
	}
}

// On a connection that stays open queries come for 0.6 s after the word to stop. SIGKILL may come 3.7 s
// after it, whatever longer queries there are, and what came later than 0.7 s is lost if it is open then.
func TestWhatComesLateOnOpenConnectionsIsTurnedAwayAtOnce(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	c := s.connect()
	s.step(Event{Kind: ShutdownRequested})
	s.until(s.now + 600*time.Millisecond)
	if in := s.query(c, "report", "", 20*time.Second, 1); in.answer != "" || s.one("POST", in.id) == nil {
		t.Fatalf("%q while queries may still come", in.answer)
	}
	s.until(s.now + 101*time.Millisecond)
	if late := s.query(c, "report", "", 20*time.Second, 2); late.answer != "deferred" {
		t.Fatalf("%q at 0.7 s, and it may be open when the end comes", late.answer)
	}
}

// A client that asked in time is not to blame where we stood still and didn't read: its
// connection was ended as one that begins nothing.
func TestAStallOfOursIsNoClientsFault(t *testing.T) {
	s := newStage(t, 1, 96, nil)
	c := s.connect()
	s.until(s.now + 100*time.Millisecond)
	s.now += 2500 * time.Millisecond
	s.step(Event{Kind: TimerFired})
	if a := s.query(c, "lookup", "", 5*time.Second, 1); c.gone || s.one("POST", a.id) == nil {
		t.Fatal("ended though it asked in time")
	}
}

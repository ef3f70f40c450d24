package controller

import (
	"testing"
	"time"
)

// With nothing in hand it ends, but not while a client's last query may be on its way.
func TestTheEndIsNotBeforeClientsKnow(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	s.connect()
	s.step(Event{Kind: ShutdownRequested})
	from := s.now
	s.until(from + 740*time.Millisecond)
	if s.quit {
		t.Fatal("ended while a query may be on its way")
	}
	s.until(from + 760*time.Millisecond)
	if !s.quit {
		t.Fatal("no end, with nothing in hand")
	}
}

// A watch that stays open and silent is noticed, and what it kept back acted on, well within
// the 7 s after which it counts as told; also by what is on its way to an engine just then.
func TestASilentWatchIsAskedAnewInTime(t *testing.T) {
	s := newStage(t, 1, 256, map[string]string{"may.probe": "false"})
	s.until(10 * time.Millisecond)
	s.tell("") // the last that it says
	silent, from, m := s.feed, s.now, s.all()[0]
	for s.feed == silent || !s.feed.up {
		if s.until(s.now + time.Millisecond); s.now-from > 1400*time.Millisecond {
			t.Fatal("still waited for after ", s.now-from)
		}
	}
	a := s.query(s.connect(), "lookup", "", time.Second, 1)
	if s.r.pool.open != 1 || len(a.subs) > 0 {
		t.Fatal("no connection is being made for it, and the test proves nothing")
	}
	m.state = "DRAINING"
	s.tell(m.entry(0))
	s.until(s.now + 2*time.Second)
	if len(a.subs) > 0 || a.answer != "deferred" {
		t.Fatalf("sent %d times to an engine that had been told to drain, %q", len(a.subs), a.answer)
	}
}

// The second answer to a changed priority says nothing of what gives the query up, which
// must have come whole before anything follows it.
func TestASecondCopyGivesNothingUp(t *testing.T) {
	s := newStage(t, 1, 256, map[string]string{"may.probe": "false"})
	a := s.query(s.connect(), "load", "k", 20*time.Second, 1)
	s.reply(s.one("POST", a.id), "runs")
	s.one("GET", a.id)
	s.until(s.now + 1500*time.Millisecond)
	h := s.one("PUT", a.id) // its target runtime has passed
	s.reply(h, "ok")
	s.leave(a)
	if s.one("DELETE", a.id).e == h.e {
		t.Fatal("on the line whose answer may have a second copy behind it")
	}
}

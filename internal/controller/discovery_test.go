package controller

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/scheduler"
)

func TestFeedThatSkips(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	m := s.all()[0]
	s.until(s.now + 10*time.Millisecond)
	m.state = "DRAINING"
	first := s.feed
	s.events++ // lost on its way
	s.tell(m.entry(0))
	if !first.gone || s.r.discovery.lastEvent != 1 {
		t.Fatal("a gap was passed over")
	}
	s.until(s.now + time.Second)
	if s.feed == first || !strings.Contains(strings.Join(s.log, "\n"), `"SUB 1\n"`) {
		t.Fatal("it did not ask again")
	}
	quiet := s.feed
	s.until(s.now + 4*time.Second)
	if s.feed == quiet {
		t.Fatal("a feed that says nothing is waited for")
	}
}

func TestNoEngineAtAll(t *testing.T) {
	s := newStage(t, 0, 64, nil)
	c := s.connect()
	for i := range 10 {
		s.query(c, []string{"lookup", "load"}[i%2], "k", time.Second, i)
	}
	s.until(s.now + 2*time.Second)
	for _, a := range s.asked {
		if a.answer != "deferred" {
			t.Fatal(a.id, a.answer)
		}
	}
}

// What the feed has to tell counts as told after 7 s, whether it came or not: a drain just before the feed
// went down must be known within the grace after that, so tries come closer together by then.
func TestAFeedThatWasAwayIsFoundAgainWithinTheGrace(t *testing.T) {
	for late := range 10 { // whenever it comes back
		s := newStage(t, 1, 256, map[string]string{"drain.grace": "500"})
		s.until(s.now + 2*time.Second)
		s.tell("")
		down := s.now
		s.feedUp = false
		s.lose(s.feed)
		s.flush()
		dials := s.r.counters.discoveryDials
		if s.until(down + 5*time.Second); s.r.counters.discoveryDials-dials > 10 {
			t.Fatalf("%d calls for a list that nobody counts on yet", s.r.counters.discoveryDials-dials)
		}
		s.until(down + 7*time.Second + time.Duration(late)*90*time.Millisecond)
		s.feedUp = true
		for back := s.now; s.r.discovery.lastHeardAt <= down; s.until(s.now + 10*time.Millisecond) {
			if s.now > back+500*time.Millisecond {
				t.Fatalf("back at %v and not heard by %v", back-down, s.now-down)
			}
		}
	}
}

func TestAWholeListLeavesNobodyElse(t *testing.T) {
	s := newStage(t, 2, 256, nil)
	s.until(s.now + 10*time.Millisecond)
	m := s.all()[1]
	a := s.query(s.connect(), "lookup", "", 5*time.Second, 1)
	s.events++
	s.read(s.feed, []byte(fmt.Sprintf(`{"n":%d,"members":{"complete":true,"members":[%s]}}`+"\n", s.events, m.entry(0))))
	s.until(s.now + time.Second)
	if s.r.engines["e0"].state != 2 || s.r.engines["e1"].state != 0 || len(a.subs) > 0 && a.subs[0].m != m {
		t.Fatal("one left out of the whole list is still there")
	}
	s.until(s.now + s.r.longestQueryTimeout + time.Second)
	if s.r.engines["e0"] != nil || s.r.engines["e1"] == nil {
		t.Fatal("it stays for good")
	}
}

// A list's event is one line, however many engines it names.
func TestAnEventNamesTwentyThousandEngines(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	s.until(10 * time.Millisecond)
	var members []string
	for i := range 20_000 {
		m := &mill{id: "big" + strconv.Itoa(i), address: fmt.Sprintf("10.%d.%d.%d:6565", 1+i/62500, i/250%250, 1+i%250), state: "SERVING"}
		members = append(members, m.entry(0))
	}
	s.tell(strings.Join(members, ","))
	if n := len(s.r.engines); n != 20_001 || s.r.counters.discoveryFaults > 0 {
		t.Fatalf("%d engines, %d faults", n, s.r.counters.discoveryFaults)
	}
	s.tell(`{"id":"big7","phase":"WHATEVER"},{"phase":"SERVING"},{"id":"big8","host_port":"10.1.0.9:6565","phase":"DELETED"}`)
	if s.r.counters.unexpected != 2 || s.r.discovery.lastEvent != s.events || s.r.engines["big8"].state != scheduler.EngineRemoved {
		t.Fatalf("%d odd, event %d of %d", s.r.counters.unexpected, s.r.discovery.lastEvent, s.events)
	}
}

// An event that can't be read is asked for once more, in case it was spoilt on its way;
// then it is passed over and what comes later is heard.
func TestAnEventThatStaysUnreadableIsPassedOver(t *testing.T) {
	s := newStage(t, 2, 96, nil)
	s.until(10 * time.Millisecond)
	twice := func() {
		s.read(s.feed, []byte("{\"n\":2,\"members\":[[\n"))
		s.until(s.now + 200*time.Millisecond) // it is dialled anew
		s.read(s.feed, []byte("{\"n\":2,\"members\":[[\n"))
		s.events++
	}
	first := s.r.discovery.connection
	twice()
	if s.r.discovery.connection == first {
		t.Fatal("not asked for once more")
	}
	m := s.all()[0]
	m.state = "DRAINING"
	s.tell(m.entry(0)) // the one after it
	if s.r.discovery.lastEvent != 3 || s.r.engines[m.id].state != scheduler.EngineDraining || s.r.counters.discoveryFaults != 1 {
		t.Fatalf("event %d, %d faults", s.r.discovery.lastEvent, s.r.counters.discoveryFaults)
	}
	twice()
	if s.tell(""); s.r.discovery.lastEvent != 4 || s.r.counters.discoveryFaults != 2 {
		t.Fatalf("event %d, %d faults", s.r.discovery.lastEvent, s.r.counters.discoveryFaults)
	}
	m.state = "SERVING" // a start that no clock knows
	s.tell(strings.Replace(m.entry(0), `"up_since_ms":0`, `"up_since_ms":1e300`, 1))
	if s.r.engines[m.id].state != scheduler.EngineActive || s.r.counters.unexpected != 1 {
		t.Fatalf("%v, %d odd", s.r.engines[m.id].state, s.r.counters.unexpected)
	}
}

package controller

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/scheduler"
)

func TestDiscoveryRequestsMissingEvent(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	m := s.sortedEngines()[0]
	s.runUntil(s.now + 10*time.Millisecond)
	m.state = "DRAINING"
	first := s.discovery
	s.lastEventNumber++ // this event is lost
	s.listEngines(m.endpointJSON(0))
	if !first.closed || s.controller.discovery.lastEvent != 1 {
		t.Fatal("a missing event was ignored")
	}
	s.runUntil(s.now + time.Second)
	if s.discovery == first || !strings.Contains(strings.Join(s.writeLog, "\n"), `"SUB 1\n"`) {
		t.Fatal("the missing event was not requested")
	}
	silent := s.discovery
	s.runUntil(s.now + 4*time.Second)
	if s.discovery == silent {
		t.Fatal("a silent connection was not replaced")
	}
}

func TestEmptyEndpointList(t *testing.T) {
	s := newHarness(t, 0, 64, nil)
	c := s.connect()
	for i := range 10 {
		s.sendQuery(c, []string{"lookup", "load"}[i%2], "k", time.Second, i)
	}
	s.runUntil(s.now + 2*time.Second)
	for _, a := range s.queries {
		if a.answer != "deferred" {
			t.Fatal(a.id, a.answer)
		}
	}
}

// An event counts as delivered after 7 s even if it was not received. A drain sent just before the
// discovery service failed must therefore be known within the drain grace after that, so reconnects must
// become more frequent by then.
func TestDiscoveryReconnectsWithinDrainGrace(t *testing.T) {
	for late := range 10 { // different times of recovery
		s := newHarness(t, 1, 256, map[string]string{"drain.grace": "500"})
		s.runUntil(s.now + 2*time.Second)
		s.listEngines("")
		down := s.now
		s.discoveryReachable = false
		s.closeConnection(s.discovery)
		s.flush()
		dials := s.controller.counters.discoveryDials
		if s.runUntil(down + 5*time.Second); s.controller.counters.discoveryDials-dials > 10 {
			t.Fatalf("%d dials before events count as delivered, want at most 10",
				s.controller.counters.discoveryDials-dials)
		}
		s.runUntil(down + 7*time.Second + time.Duration(late)*90*time.Millisecond)
		s.discoveryReachable = true
		for back := s.now; s.controller.discovery.lastMessageAt <= down; s.runUntil(s.now + 10*time.Millisecond) {
			if s.now > back+500*time.Millisecond {
				t.Fatalf("reachable after %v, no message received until %v", back-down, s.now-down)
			}
		}
	}
}

func TestCompleteListRemovesAllOtherEngines(t *testing.T) {
	s := newHarness(t, 2, 256, nil)
	s.runUntil(s.now + 10*time.Millisecond)
	m := s.sortedEngines()[1]
	a := s.sendQuery(s.connect(), "lookup", "", 5*time.Second, 1)
	s.lastEventNumber++
	s.receive(s.discovery, []byte(fmt.Sprintf(`{"n":%d,"members":{"complete":true,"members":[%s]}}`+"\n",
		s.lastEventNumber, m.endpointJSON(0))))
	s.runUntil(s.now + time.Second)
	if s.controller.engines["e0"].state != 2 || s.controller.engines["e1"].state != 0 || len(a.runs) > 0 &&
		a.runs[0].engine != m {
		t.Fatal("an engine that the complete list omits is still in use")
	}
	s.runUntil(s.now + s.controller.longestQueryTimeout + time.Second)
	if s.controller.engines["e0"] != nil || s.controller.engines["e1"] == nil {
		t.Fatal("the removed engine is still remembered, or the listed one is not")
	}
}

// An event is one line, however many engines it lists, so the limit of a client's message must not apply.
func TestEventWithTwentyThousandEngines(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	s.runUntil(10 * time.Millisecond)
	var members []string
	for i := range 20_000 {
		m := &fakeEngine{id: "big" + strconv.Itoa(i),
			address: fmt.Sprintf("10.%d.%d.%d:6565", 1+i/62500, i/250%250, 1+i%250), state: "SERVING"}
		members = append(members, m.endpointJSON(0))
	}
	s.listEngines(strings.Join(members, ","))
	if n := len(s.controller.engines); n != 20_001 || s.controller.counters.discoveryFaults > 0 {
		t.Fatalf("%d engines, %d faults", n, s.controller.counters.discoveryFaults)
	}
	s.listEngines(`{"id":"big7","phase":"WHATEVER"},{"phase":"SERVING"},{"id":"big8","host_port":"10.1.0.9:6565","phase":"DELETED"}`)
	if s.controller.counters.unexpectedMessages != 2 || s.controller.discovery.lastEvent != s.lastEventNumber ||
		s.controller.engines["big8"].state != scheduler.EngineRemoved {
		t.Fatalf("%d unexpected messages, event %d of %d", s.controller.counters.unexpectedMessages,
			s.controller.discovery.lastEvent, s.lastEventNumber)
	}
}

// An unreadable event must be requested once more, in case it was corrupted in transit, and then be
// skipped, so that later events are applied.
func TestUnreadableEventIsSkippedAfterRetry(t *testing.T) {
	s := newHarness(t, 2, 96, nil)
	s.runUntil(10 * time.Millisecond)
	twice := func() {
		s.receive(s.discovery, []byte("{\"n\":2,\"members\":[[\n"))
		s.runUntil(s.now + 200*time.Millisecond) // reconnects
		s.receive(s.discovery, []byte("{\"n\":2,\"members\":[[\n"))
		s.lastEventNumber++
	}
	first := s.controller.discovery.connection
	twice()
	if s.controller.discovery.connection == first {
		t.Fatal("the unreadable event was not requested once more")
	}
	m := s.sortedEngines()[0]
	m.state = "DRAINING"
	s.listEngines(m.endpointJSON(0)) // the next event
	if s.controller.discovery.lastEvent != 3 || s.controller.engines[m.id].state != scheduler.EngineDraining ||
		s.controller.counters.discoveryFaults != 1 {
		t.Fatalf("event %d, %d faults", s.controller.discovery.lastEvent, s.controller.counters.discoveryFaults)
	}
	twice()
	if s.listEngines(""); s.controller.discovery.lastEvent != 4 || s.controller.counters.discoveryFaults != 2 {
		t.Fatalf("event %d, %d faults", s.controller.discovery.lastEvent, s.controller.counters.discoveryFaults)
	}
	m.state = "SERVING" // with a start time that is out of range
	s.listEngines(strings.Replace(m.endpointJSON(0), `"up_since_ms":0`, `"up_since_ms":1e300`, 1))
	if s.controller.engines[m.id].state != scheduler.EngineActive ||
		s.controller.counters.unexpectedMessages != 1 {
		t.Fatalf("state %v, %d unexpected messages", s.controller.engines[m.id].state,
			s.controller.counters.unexpectedMessages)
	}
}

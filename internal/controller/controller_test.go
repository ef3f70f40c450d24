package controller

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"railrelay.dev/railrelay/internal/invariant"
	"railrelay.dev/railrelay/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Config{Seed: 20261201, Checks: 1000, Shrink: 5 * time.Second})
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choices := rapid.SliceOfN(rapid.Uint16(), 120, 250).Draw(t, "choices")
		sockets := rapid.SampledFrom([]int{64, 28, 1024}).Draw(t, "sockets")
		var logs [2][]string
		for i := range logs {
			s := newHarness(t, 3, sockets, nil)
			s.runRandom(choices)
			logs[i] = s.writeLog
		}
		if !slices.Equal(logs[0], logs[1]) {
			t.Fatalf("the same events, other effects")
		}
	})
}

func TestOrderHoldsWhenEngineVanishes(t *testing.T) {
	s := newHarness(t, 2, 256, nil)
	c := s.connect()
	first, next := s.sendQuery(c, "load", "k", 1500*time.Millisecond, 1), s.sendQuery(c, "load", "k", 20*time.Second, 2)
	s.respond(s.waitForCall("POST", first.id), "runs")
	h := s.waitForCall("GET", first.id)
	h.engine.unresponsive = true // cut off: what it has is still at work there
	s.runUntil(first.deadline)
	if first.answer != "killed" {
		t.Fatalf("%q at its client's end", first.answer)
	}
	s.runUntil(h.writtenAt + engineResponseDelay + 1990*time.Millisecond)
	if len(next.runs) > 0 {
		t.Fatal("sent while the first may still run")
	}
	s.runUntil(s.now + 1500*time.Millisecond) // posted checks the rest
	if len(next.runs) != 1 {
		t.Fatal("the key is stuck")
	}
}

func TestOrderHoldsAfterErrorFromSilentEngine(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	c := s.connect()
	first, next := s.sendQuery(c, "load", "k", 20*time.Second, 1), s.sendQuery(c, "load", "k", 20*time.Second, 2)
	s.respond(s.waitForCall("POST", first.id), "runs")
	h := s.waitForCall("GET", first.id)
	s.restartEngine(h.engine, false) // the new process knows nothing of it, and answers 500
	s.runUntil(s.now + 290*time.Millisecond)
	if len(next.runs) > 0 {
		t.Fatal("an error that may be a restart lets the key go at once")
	}
	s.runUntil(s.now + time.Second)
	if first.answer != "killed" || len(next.runs) != 1 {
		t.Fatalf("%q, %d", first.answer, len(next.runs))
	}
}

func TestRefusedDialEndsNothingWhileConnected(t *testing.T) {
	s := newHarness(t, 2, 256, nil)
	c := s.connect()
	first := s.sendQuery(c, "load", "k", 20*time.Second, 1)
	h := s.waitForCall("POST", first.id)
	for i := range 6 { // so that there are other connections
		s.sendQuery(c, "load", "x"+strconv.Itoa(i), 20*time.Second, 10+i)
	}
	s.runUntil(s.now + 100*time.Millisecond)
	next := s.sendQuery(c, "load", "k", 20*time.Second, 2)
	h.engine.refusesConnections = true // full
	s.closeConnection(h.connection)
	s.flush()
	s.runUntil(s.now + 2*time.Second)
	if first.answer != "" || len(next.runs) > 0 {
		t.Fatal("taken for dead: ", first.answer)
	}
	h.engine.unresponsive = true
	s.runUntil(s.now + 4*time.Second) // posted checks the rest
	if first.answer != "killed" || len(next.runs) != 1 {
		t.Fatalf("%q, %d", first.answer, len(next.runs))
	}
}

func TestCancellationSparesLaterAttempt(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	a := s.sendQuery(s.connect(), "lookup", "", 20*time.Second, 1)
	s.respond(s.waitForCall("POST", a.id), "runs")
	h := s.waitForCall("GET", a.id)
	s.controller.enqueueCallback(func() { s.controller.CancelAttempt(a.id, 0) }) // as the decisions do when they move it
	s.step(Event{Kind: TimerFired})
	if len(a.runs) != 1 || len(s.controller.queries[a.id].attempts) != 2 {
		t.Fatal("sent again while the first is being given up there")
	}
	s.respond(s.waitForCall("DELETE", a.id), "")
	s.respond(s.waitForCall("POST", a.id), "runs")
	if len(a.runs) != 2 {
		t.Fatal("not sent again")
	}
	if slices.Contains(s.pendingCalls, h) {
		s.respond(h, "error") // the first one's late answer
	}
	s.respond(s.waitForCall("GET", a.id), "ok")
	s.runUntil(s.now + 300*time.Millisecond)
	if a.answer != "finished" {
		t.Fatal(a.answer)
	}
}

func TestUnwrittenAttemptCountsAsNeverSent(t *testing.T) {
	for _, none := range []bool{true, false} {
		s := newHarness(t, 1, 256, nil)
		c := s.connect()
		warm := s.sendQuery(c, "lookup", "", 5*time.Second, 1)
		s.respond(s.waitForCall("POST", warm.id), "ok")
		s.runUntil(s.now + 50*time.Millisecond)
		for _, e := range s.connections { // what is idle now dies as the next call comes
			e.dropsWrites = none && e.address == "10.0.0.0:1"
		}
		a := s.sendQuery(c, "load", "k", 5*time.Second, 2)
		for _, e := range s.connections {
			if e.address == "10.0.0.0:1" && !e.closed {
				s.closeConnection(e)
			}
		}
		s.flush()
		s.runUntil(s.now + 2*time.Second)
		if none != (len(a.runs) == 1 && s.controller.counters.attemptEnds[7] == 1) && none {
			t.Fatalf("not sent once more: %d, %v", len(a.runs), s.controller.counters.attemptEnds)
		}
		if !none && s.controller.counters.attemptEnds[7] > 0 {
			t.Fatal("what was written passes for never sent")
		}
	}
}

func TestPollsShareConnections(t *testing.T) {
	s := newHarness(t, 2, 32, nil) // a pool of few
	c := s.connect()
	var all []*sentQuery
	for i := range 16 {
		all = append(all, s.sendQuery(c, "load", "k"+strconv.Itoa(i), 20*time.Second, i))
	}
	s.runUntil(s.now + 6*time.Second)
	for _, a := range all {
		if len(a.runs) == 0 {
			t.Fatal("not sent: ", a.id)
		}
		for _, x := range a.runs {
			if x.ended && x.keyCoolsDown {
				t.Fatal("it went unasked for: ", a.id)
			}
		}
	}
	if s.controller.counters.queuedCalls == 0 {
		t.Fatal("there was no shortage")
	}
}

func TestKeyNumbersStayUnique(t *testing.T) {
	k := newKeyTable()
	a, b := k.acquire("a"), k.acquire("b")
	k.release(a, 10)
	k.forgetIdle(10)
	if k.acquire("a") != a || a.number == b.number || a.number < 0 {
		t.Fatal("a key that has not rested lost its number")
	}
	k.release(a, 20)
	k.forgetIdle(21)
	if c := k.acquire("c"); c.number != a.number || len(k.byName) != 2 {
		t.Fatal("a key at rest keeps its number")
	}
}

func TestPriorityChangeReachesRunningAttempts(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	a := s.sendQuery(s.connect(), "load", "k", 20*time.Second, 1)
	s.waitForCall("POST", a.id)
	if q := s.controller.queries[a.id]; q.memoryGrantMB != 6553 || q.priority < 1 ||
		!strings.Contains(strings.Join(s.writeLog, "\n"), fmt.Sprintf(`Pool-Mb: 6553\r\nPool-Rank: %d\r\n`, q.priority)) {
		t.Fatal(s.writeLog)
	}
	s.runUntil(s.now + 1500*time.Millisecond)
	if h := s.waitForCall("PUT", a.id); h.body != "0" { // its target runtime has passed
		t.Fatalf("%q", h.body)
	}
}

func TestUnansweredHealthChecksHoldQueriesBack(t *testing.T) {
	s := newHarness(t, 2, 256, nil)
	c := s.connect()
	s.sortedEngines()[0].unresponsive, s.sortedEngines()[1].unresponsive = true, true
	a := s.sendQuery(c, "lookup", "", 3*time.Second, 1)
	s.runUntil(s.now + 20*time.Millisecond)
	if s.controller.counters.healthChecks == 0 || s.controller.counters.attempts > 0 {
		t.Fatal("not looked at first: ", s.controller.counters.format(s.controller))
	}
	s.runUntil(s.now + 4*time.Second)
	if len(a.runs) > 0 || a.answer != "deferred" || s.controller.counters.attemptEnds[0] > 0 {
		t.Fatalf("%q after %d", a.answer, len(a.runs))
	}
}

func TestIdleConnectionsCloseBeforeEngineTimeout(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	a := s.sendQuery(s.connect(), "lookup", "", 3*time.Second, 1)
	s.respond(s.waitForCall("POST", a.id), "ok")
	s.runUntil(s.now + 100*time.Millisecond)
	if s.controller.pool.open == 0 {
		t.Fatal("none is kept for the next call")
	}
	s.runUntil(s.now + 14*time.Second)
	if s.controller.pool.open > 0 {
		t.Fatal("kept for as long as the engine keeps it")
	}
}

func TestMalformedResponseIsPolledAgain(t *testing.T) {
	for _, how := range []string{"garbled", "cut", "short", "lost", "twice"} {
		s := newHarness(t, 1, 256, nil)
		c := s.connect()
		a := s.sendQuery(c, "load", "k", 20*time.Second, 1)
		s.respond(s.waitForCall("POST", a.id), "runs")
		h := s.waitForCall("GET", a.id)
		s.finishRun(h.run)
		s.respond(h, how)
		s.runUntil(s.now + responseTimeout + 100*time.Millisecond)
		if a.answer != "finished" || len(a.runs) != 1 || s.controller.counters.attemptEnds[0] != 1 {
			t.Fatalf("%s: %q, %s", how, a.answer, s.controller.counters.format(s.controller))
		}
	}
}

func TestDuplicateResponseAnswersNoOtherQuery(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	c := s.connect()
	a := s.sendQuery(c, "lookup", "", 5*time.Second, 1)
	h := s.waitForCall("POST", a.id)
	s.finishRun(h.run)
	h.run.pages = 1
	s.respond(h, "ok")
	b := s.sendQuery(c, "lookup", "", 5*time.Second, 1) // in the same moment
	if s.waitForCall("POST", b.id).connection == h.connection {
		t.Fatal("on the line whose answer may have a second copy behind it")
	}
	s.receive(h.connection, []byte("HTTP/1.1 200 x\r\nChunks: 1\r\nContent-Length: 0\r\n\r\n"))
	if !h.connection.closed || a.answer != "finished" || b.answer != "" {
		t.Fatalf("%v %q %q", h.connection.closed, a.answer, b.answer)
	}
}

func TestNewEngineAtKnownAddress(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	old := s.sortedEngines()[0]
	a := s.sendQuery(s.connect(), "lookup", "", 5*time.Second, 1)
	s.respond(s.waitForCall("POST", a.id), "runs")
	s.waitForCall("GET", a.id)
	s.restartEngine(old, false)
	next := &fakeEngine{id: "next", address: old.address, state: "SERVING", runs: map[string]*fakeRun{}}
	s.engines[old.address] = next
	s.listEngines(next.endpointJSON(0))
	s.runUntil(s.now + 300*time.Millisecond)
	if len(a.runs) != 2 || a.runs[1].engine != next {
		t.Fatal("not sent to the new one: ", len(a.runs))
	}
	for _, l := range s.writeLog {
		if strings.Contains(l, "DELETE") {
			t.Fatal("the new one was told to end what the old one had: ", l)
		}
	}
	if s.controller.engines["e0"].address != "" {
		t.Fatal("the old one is thought to be there still")
	}
}

func TestStateIsBoundedOverLongRuns(t *testing.T) {
	s := newHarness(t, 0, 256, map[string]string{"group.0.timeout": "5000", "group.1.timeout": "5000", "group.2.timeout": "5000"})
	s.runUntil(s.now + 10*time.Millisecond)
	sizes := func() [6]int {
		return [6]int{len(s.controller.engines), len(s.controller.queries), len(s.controller.keys.byName), len(s.controller.clients), s.controller.statementBytes, s.controller.scheduler.EntryCount()}
	}
	var early [6]int
	for i := range 1500 { // each engine serves a few, then another takes its place and its address
		m := &fakeEngine{id: "n" + strconv.Itoa(i), address: "10.0.1." + strconv.Itoa(i%3) + ":1", state: "SERVING", runs: map[string]*fakeRun{}}
		if old := s.engines[m.address]; old != nil {
			s.restartEngine(old, false)
			old.state = "DELETED"
			s.listEngines(old.endpointJSON(0))
		}
		s.engines[m.address] = m
		s.listEngines(m.endpointJSON(0))
		c := s.connect()
		a := s.sendQuery(c, "load", "k"+strconv.Itoa(i), 5*time.Second, i)
		b := s.sendQuery(c, "lookup", "", 5*time.Second, i)
		s.runUntil(s.now + 20*time.Millisecond)
		for _, h := range slices.Clone(s.pendingCalls) {
			if h.id == a.id || h.id == b.id {
				s.respond(h, "ok")
			}
		}
		s.runUntil(s.now + 80*time.Millisecond)
		s.cancel(a)
		s.cancel(b)
		if s.queries = s.queries[len(s.queries)-2:]; i%10 == 0 {
			s.disconnect(c)
		}
		if s.connections = slices.DeleteFunc(s.connections, func(e *fakeConnection) bool { return e.closed }); i == 500 {
			early = sizes()
		}
	}
	late := sizes()
	for i := range late {
		if late[i] > early[i]*5/4+8 {
			t.Fatalf("grows: %v, then %v", early, late)
		}
	}
	if s.controller.counters.finished < 1000 {
		t.Fatal("finished only ", s.controller.counters.finished)
	}
}

func TestPanicCostsOneConnection(t *testing.T) {
	if invariant.Debug {
		t.Skip("a debug build stops at once")
	}
	s := newHarness(t, 1, 256, nil)
	c, other := s.connect(), s.connect()
	c.connection.onBytes = func() { panic("of ours") }
	s.receive(c, []byte{0x94})
	if !c.closed || other.closed || !strings.Contains(strings.Join(s.logLines, ""), "of ours") {
		t.Fatal(s.logLines)
	}
	a := s.sendQuery(other, "lookup", "", 5*time.Second, 1)
	s.respond(s.waitForCall("POST", a.id), "ok")
	s.runUntil(s.now + 400*time.Millisecond)
	if a.answer != "finished" {
		t.Fatal("the others were not served: ", a.answer)
	}
}

func TestTimersAreDroppedWithTheirOwners(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	s.runUntil(s.now + 10*time.Millisecond)
	before := s.controller.timers.Len() + s.controller.scheduler.EntryCount()
	c := s.connect()
	for range 200 { // asked and taken back, each with a long queue timeout
		a := s.sendQuery(c, "lookup", "", 30*time.Second, 1)
		s.runUntil(s.now + 10*time.Millisecond)
		s.cancel(a)
		if c.messageCount > 100 {
			c = s.connect()
		}
	}
	s.runUntil(s.now + 3*time.Second)
	if after := s.controller.timers.Len() + s.controller.scheduler.EntryCount(); after > before+30 {
		t.Fatalf("%d, then %d", before, after)
	}
}

// A call that starts a query may have come whole to a machine that has not taken
// it up: asked on another connection the engine doesn't know it, which is no end.
// On split+mass the next of its key went out 300 ms after such an error, while
// the first was still to be run.
func TestUnknownAtEngineIsNoProofOfEnd(t *testing.T) {
	for _, lose := range []string{"reset", "mute"} {
		s := newHarness(t, 1, 96, nil)
		c := s.connect()
		a := s.sendQuery(c, "load", "k", 9*time.Second, 0)
		s.sendQuery(c, "load", "k", 9*time.Second, 1)
		s.runUntil(s.now + 5*time.Millisecond)
		h := s.waitForCall("POST", a.id)
		h.run.unregistered = true
		if lose == "reset" {
			s.respond(h, "lost")
		} else {
			s.pendingCalls = nil // nothing is ever heard of it
		}
		if s.runUntil(s.now + 500*time.Millisecond); lose == "mute" && !h.connection.aborted {
			t.Fatal("what starts it may still arrive once the link heals")
		}
		if s.runUntil(s.now + 4*time.Second); a.answer != "killed" { // posted checks the order
			t.Fatalf("%s: the first: %q", lose, a.answer)
		}
		if len(s.queries[1].runs) == 0 || !a.runs[0].ended {
			t.Fatalf("%s: the second has to follow once the first was given up", lose)
		}
	}
}

// Each look dialled twice, once for itself and once for what it let go there: three
// hundred controllers made a connection a query. A copy of the look's answer that
// comes late fits no other call, and costs no more than asking once more.
func TestConnectionOfHealthCheckCarriesQuery(t *testing.T) {
	s := newHarness(t, 1, 256, nil)
	a := s.sendQuery(s.connect(), "lookup", "", 5*time.Second, 1)
	h := s.waitForCall("POST", a.id)
	if s.controller.counters.healthChecks != 1 || s.controller.counters.dials != 1 {
		t.Fatalf("%d looks, %d connections", s.controller.counters.healthChecks, s.controller.counters.dials)
	}
	s.pendingCalls = nil // answered behind the copy, on a connection that is then gone
	s.receive(h.connection, []byte("HTTP/1.1 200 x\r\nX-Load: inflight:3;util:0.5\r\nContent-Length: 0\r\n\r\n"))
	if !h.connection.closed || a.answer != "" {
		t.Fatalf("%v %q", h.connection.closed, a.answer)
	}
	s.finishRun(h.run)
	if s.runUntil(s.now + 500*time.Millisecond); a.answer != "finished" || len(a.runs) != 1 {
		t.Fatalf("%q after %d", a.answer, len(a.runs))
	}
}

// What was written into a cut must not arrive when it heals: its key has gone on.
func TestCutConnectionDeliversNothingLater(t *testing.T) {
	s := newHarness(t, 2, 96, map[string]string{"may.probe": "false"})
	c := s.connect()
	for range 8 { // so that there are lines to both
		s.runUntil(s.now + 20*time.Millisecond)
		s.sendQuery(c, "lookup", "", 2*time.Second, 3)
	}
	s.runUntil(s.now + 3*time.Second)
	for _, m := range s.sortedEngines() {
		m.networkCut = true
	}
	first := s.sendQuery(c, "load", "k", 20*time.Second, 1)
	s.runUntil(s.now + 60*time.Millisecond)
	var at *fakeEngine
	for _, m := range s.sortedEngines() {
		if slices.ContainsFunc(m.delayedCalls, func(h *pendingCall) bool { return strings.Contains(h.head, first.id) }) {
			at = m
		}
	}
	if at == nil {
		// it was written before the cut: nothing of it lies there, and the test proves nothing
		t.Fatal("the call is not on its way")
	}
	next := s.sendQuery(c, "load", "k", 20*time.Second, 2)
	for _, m := range s.sortedEngines() {
		if m != at {
			s.healNetwork(m)
		}
	}
	s.runUntil(s.now + 8*time.Second)
	if first.answer != "killed" || len(next.runs) != 1 {
		t.Fatalf("%q, the next was sent %d times", first.answer, len(next.runs))
	}
	s.healNetwork(at) // posted judges what arrives
	s.runUntil(s.now + time.Second)
}

// A call may name the customer whose share it counts to, and estimates; the names stand in
// the settings, and what can't be meant is taken as not told.
func TestCustomerAndEstimatesReachScheduler(t *testing.T) {
	s := newHarness(t, 1, 64, map[string]string{"teams": "2", "team.0.name": "upper", "team.0.quota": "9", "team.1.name": "lower",
		"team.1.quota": "9", "over.worth": "0.1"})
	s.controller.FieldNames = FieldNames{Customer: "customer", EstimatedWork: "weight", EstimatedMemory: "ram"}
	c := s.connect()
	for _, x := range []struct {
		more     []string
		customer int
		work     time.Duration
		need     float64
	}{
		{[]string{"customer", "lower", "weight", "250.5", "ram", "640"}, 1, 250500 * time.Microsecond, 640},
		{[]string{"customer", "nobody", "weight", "-3", "ram", "NaN"}, -1, 0, 0},
		{[]string{"weight", "1e300"}, -1, 0, 0},
		{nil, -1, 0, 0},
	} {
		q := s.controller.queries[s.sendQuery(c, "report", "", 5*time.Second, 1, x.more...).id]
		if q == nil || q.customer != x.customer || q.estimatedWork != x.work || q.estimatedMemoryMB != x.need {
			t.Errorf("%v: %+v", x.more, q)
		}
	}
}

// The controller itself stands still while its call lies behind a cut that heals: by its
// clock the engine has long dropped the query, which in truth has only just come there.
func TestProcessStallEndsNoAttempt(t *testing.T) {
	s := newHarness(t, 1, 96, map[string]string{"may.probe": "false"})
	c := s.connect()
	s.sendQuery(c, "lookup", "", 2*time.Second, 3) // so that there is a connection
	s.runUntil(s.now + 3*time.Second)
	m := s.sortedEngines()[0]
	m.networkCut = true
	first := s.sendQuery(c, "load", "k", 20*time.Second, 1)
	next := s.sendQuery(c, "load", "k", 20*time.Second, 2)
	if s.runUntil(s.now + 60*time.Millisecond); len(m.delayedCalls) == 0 {
		t.Fatal("the call is not on its way")
	}
	s.now += 3 * time.Second
	s.healNetwork(m)
	s.step(Event{Kind: TimerFired})
	s.runUntil(s.now + time.Second) // posted checks the order
	if len(first.runs) != 1 || len(next.runs) > 0 {
		t.Fatalf("the first came %d times, the next %d", len(first.runs), len(next.runs))
	}
	s.respond(s.waitForCall("GET", first.id), "ok")
	if s.runUntil(s.now + 100*time.Millisecond); first.answer != "finished" || len(next.runs) != 1 {
		t.Fatalf("the first: %q, the next came %d times", first.answer, len(next.runs))
	}
}

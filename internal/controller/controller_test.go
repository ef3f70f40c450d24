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

// Random events keep the rules that the harness checks, and equal events lead to equal effects.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choices := rapid.SliceOfN(rapid.Uint16(), 120, 250).Draw(t, "choices")
		descriptors := rapid.SampledFrom([]int{64, 28, 1024}).Draw(t, "sockets")
		var logs [2][]string
		for i := range logs {
			h := newHarness(t, 3, descriptors, nil)
			h.runRandom(choices)
			logs[i] = h.writeLog
		}
		if !slices.Equal(logs[0], logs[1]) {
			t.Fatalf("the same events led to different effects")
		}
	})
}

func TestOrderHoldsWhenEngineVanishes(t *testing.T) {
	h := newHarness(t, 2, 256, nil)
	conn := h.connect()
	first, next := h.sendQuery(conn, "load", "k", 1500*time.Millisecond, 1),
		h.sendQuery(conn, "load", "k", 20*time.Second, 2)
	h.respond(h.waitForCall("POST", first.id), "runs")
	call := h.waitForCall("GET", first.id)
	call.engine.unresponsive = true // unreachable, but still running the query
	h.runUntil(first.deadline)
	if first.answer != "killed" {
		t.Fatalf("answer %q at the deadline, want killed", first.answer)
	}
	h.runUntil(call.writtenAt + engineResponseDelay + 1990*time.Millisecond)
	if len(next.runs) > 0 {
		t.Fatal("next query sent while the first may still run")
	}
	h.runUntil(h.now + 1500*time.Millisecond) // checkSubmission checks the order
	if len(next.runs) != 1 {
		t.Fatal("next query of the key not sent")
	}
}

func TestOrderHoldsAfterErrorFromSilentEngine(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	conn := h.connect()
	first, next := h.sendQuery(conn, "load", "k", 20*time.Second, 1),
		h.sendQuery(conn, "load", "k", 20*time.Second, 2)
	h.respond(h.waitForCall("POST", first.id), "runs")
	call := h.waitForCall("GET", first.id)
	h.restartEngine(call.engine, false) // the new process does not know the query, and answers 500
	h.runUntil(h.now + 290*time.Millisecond)
	if len(next.runs) > 0 {
		t.Fatal("next query sent at once after an error that may mean a restart")
	}
	h.runUntil(h.now + time.Second)
	if first.answer != "killed" || len(next.runs) != 1 {
		t.Fatalf("first query %q, next query sent %d times", first.answer, len(next.runs))
	}
}

func TestRefusedDialEndsNothingWhileConnected(t *testing.T) {
	h := newHarness(t, 2, 256, nil)
	conn := h.connect()
	first := h.sendQuery(conn, "load", "k", 20*time.Second, 1)
	call := h.waitForCall("POST", first.id)
	for i := range 6 { // opens more connections
		h.sendQuery(conn, "load", "x"+strconv.Itoa(i), 20*time.Second, 10+i)
	}
	h.runUntil(h.now + 100*time.Millisecond)
	next := h.sendQuery(conn, "load", "k", 20*time.Second, 2)
	call.engine.refusesConnections = true // at its connection limit
	h.closeConnection(call.connection)
	h.flush()
	h.runUntil(h.now + 2*time.Second)
	if first.answer != "" || len(next.runs) > 0 {
		t.Fatal("a refused dial was taken for the end of the engine: ", first.answer)
	}
	call.engine.unresponsive = true
	h.runUntil(h.now + 4*time.Second) // checkSubmission checks the order
	if first.answer != "killed" || len(next.runs) != 1 {
		t.Fatalf("first query %q, next query sent %d times", first.answer, len(next.runs))
	}
}

func TestCancellationSparesLaterAttempt(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	query := h.sendQuery(h.connect(), "lookup", "", 20*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "runs")
	call := h.waitForCall("GET", query.id)
	// as the scheduler does when it moves a query
	h.controller.enqueueCallback(func() { h.controller.CancelAttempt(query.id, 0) })
	h.step(Event{Kind: TimerFired})
	if len(query.runs) != 1 || len(h.controller.queries[query.id].attempts) != 2 {
		t.Fatal("sent again while the first attempt is being cancelled at the engine")
	}
	h.respond(h.waitForCall("DELETE", query.id), "")
	h.respond(h.waitForCall("POST", query.id), "runs")
	if len(query.runs) != 2 {
		t.Fatal("second attempt not sent")
	}
	if slices.Contains(h.pendingCalls, call) {
		h.respond(call, "error") // the late response to the first attempt
	}
	h.respond(h.waitForCall("GET", query.id), "ok")
	h.runUntil(h.now + 300*time.Millisecond)
	if query.answer != "finished" {
		t.Fatal("query not finished: ", query.answer)
	}
}

func TestUnwrittenAttemptCountsAsNeverSent(t *testing.T) {
	for _, unwritten := range []bool{true, false} {
		h := newHarness(t, 1, 256, nil)
		conn := h.connect()
		warm := h.sendQuery(conn, "lookup", "", 5*time.Second, 1)
		h.respond(h.waitForCall("POST", warm.id), "ok")
		h.runUntil(h.now + 50*time.Millisecond)
		for _, conn := range h.connections { // idle connections close when the next call is written
			conn.dropsWrites = unwritten && conn.address == "10.0.0.0:1"
		}
		query := h.sendQuery(conn, "load", "k", 5*time.Second, 2)
		for _, conn := range h.connections {
			if conn.address == "10.0.0.0:1" && !conn.closed {
				h.closeConnection(conn)
			}
		}
		h.flush()
		h.runUntil(h.now + 2*time.Second)
		if unwritten != (len(query.runs) == 1 && h.controller.counters.attemptEnds[7] == 1) && unwritten {
			t.Fatalf("not sent exactly once more: %d runs, attempt ends %v", len(query.runs),
				h.controller.counters.attemptEnds)
		}
		if !unwritten && h.controller.counters.attemptEnds[7] > 0 {
			t.Fatal("a written attempt counts as never sent")
		}
	}
}

func TestPollsShareConnections(t *testing.T) {
	h := newHarness(t, 2, 32, nil) // a small connection pool
	conn := h.connect()
	var all []*sentQuery
	for i := range 16 {
		all = append(all, h.sendQuery(conn, "load", "k"+strconv.Itoa(i), 20*time.Second, i))
	}
	h.runUntil(h.now + 6*time.Second)
	for _, query := range all {
		if len(query.runs) == 0 {
			t.Fatal("query not sent: ", query.id)
		}
		for _, run := range query.runs {
			if run.ended && run.keyCoolsDown {
				t.Fatal("query dropped by its engine for lack of polls: ", query.id)
			}
		}
	}
	if h.controller.counters.queuedCalls == 0 {
		t.Fatal("no call was queued, so the test proves nothing")
	}
}

func TestKeyNumbersStayUnique(t *testing.T) {
	k := newKeyTable()
	a, b := k.acquire("a"), k.acquire("b")
	k.release(a, 10)
	k.forgetIdle(10)
	if k.acquire("a") != a || a.number == b.number || a.number < 0 {
		t.Fatal("a key that is not idle long enough lost its number")
	}
	k.release(a, 20)
	k.forgetIdle(21)
	if c := k.acquire("c"); c.number != a.number || len(k.byName) != 2 {
		t.Fatal("the number of an idle key is not reused")
	}
}

func TestPriorityChangeReachesRunningAttempts(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	query := h.sendQuery(h.connect(), "load", "k", 20*time.Second, 1)
	h.waitForCall("POST", query.id)
	if q := h.controller.queries[query.id]; q.memoryGrantMB != 6553 || q.priority < 1 ||
		!strings.Contains(strings.Join(h.writeLog, "\n"), fmt.Sprintf(`Pool-Mb: 6553\r\nPool-Rank: %d\r\n`,
			q.priority)) {
		t.Fatal("submission without the grant and priority: ", h.writeLog)
	}
	h.runUntil(h.now + 1500*time.Millisecond)
	if call := h.waitForCall("PUT", query.id); call.body != "0" { // its latency objective has passed
		t.Fatalf("priority %q sent, want 0", call.body)
	}
}

func TestUnansweredHealthChecksHoldQueriesBack(t *testing.T) {
	h := newHarness(t, 2, 256, nil)
	conn := h.connect()
	h.sortedEngines()[0].unresponsive, h.sortedEngines()[1].unresponsive = true, true
	query := h.sendQuery(conn, "lookup", "", 3*time.Second, 1)
	h.runUntil(h.now + 20*time.Millisecond)
	if h.controller.counters.healthChecks == 0 || h.controller.counters.attempts > 0 {
		t.Fatal("no health check before the first attempt: ", h.controller.counters.format(h.controller))
	}
	h.runUntil(h.now + 4*time.Second)
	if len(query.runs) > 0 || query.answer != "deferred" || h.controller.counters.attemptEnds[0] > 0 {
		t.Fatalf("answer %q after %d runs, want deferred", query.answer, len(query.runs))
	}
}

func TestIdleConnectionsCloseBeforeEngineTimeout(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	query := h.sendQuery(h.connect(), "lookup", "", 3*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "ok")
	h.runUntil(h.now + 100*time.Millisecond)
	if h.controller.pool.open == 0 {
		t.Fatal("no connection is kept for the next call")
	}
	h.runUntil(h.now + 14*time.Second)
	if h.controller.pool.open > 0 {
		t.Fatal("connection not closed before the engine's idle timeout")
	}
}

func TestMalformedResponseIsPolledAgain(t *testing.T) {
	for _, how := range []string{"garbled", "cut", "short", "lost", "twice"} {
		h := newHarness(t, 1, 256, nil)
		conn := h.connect()
		query := h.sendQuery(conn, "load", "k", 20*time.Second, 1)
		h.respond(h.waitForCall("POST", query.id), "runs")
		call := h.waitForCall("GET", query.id)
		h.finishRun(call.run)
		h.respond(call, how)
		h.runUntil(h.now + responseTimeout + 100*time.Millisecond)
		if query.answer != "finished" || len(query.runs) != 1 || h.controller.counters.attemptEnds[0] != 1 {
			t.Fatalf("%s: answer %q, %s", how, query.answer, h.controller.counters.format(h.controller))
		}
	}
}

func TestDuplicateResponseAnswersNoOtherQuery(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	conn := h.connect()
	query := h.sendQuery(conn, "lookup", "", 5*time.Second, 1)
	call := h.waitForCall("POST", query.id)
	h.finishRun(call.run)
	call.run.pages = 1
	h.respond(call, "ok")
	other := h.sendQuery(conn, "lookup", "", 5*time.Second, 1) // at the same moment
	if h.waitForCall("POST", other.id).connection == call.connection {
		t.Fatal("query sent on a connection that may still deliver a duplicate response")
	}
	h.receive(call.connection, []byte("HTTP/1.1 200 x\r\nChunks: 1\r\nContent-Length: 0\r\n\r\n"))
	if !call.connection.closed || query.answer != "finished" || other.answer != "" {
		t.Fatalf("connection closed %v, answers %q and %q", call.connection.closed, query.answer, other.answer)
	}
}

func TestNewEngineAtKnownAddress(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	old := h.sortedEngines()[0]
	query := h.sendQuery(h.connect(), "lookup", "", 5*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "runs")
	h.waitForCall("GET", query.id)
	h.restartEngine(old, false)
	next := &fakeEngine{id: "next", address: old.address, state: "SERVING", runs: map[string]*fakeRun{}}
	h.engines[old.address] = next
	h.listEngines(next.endpointJSON(0))
	h.runUntil(h.now + 300*time.Millisecond)
	if len(query.runs) != 2 || query.runs[1].engine != next {
		t.Fatal("query not sent to the new engine, runs: ", len(query.runs))
	}
	for _, line := range h.writeLog {
		if strings.Contains(line, "DELETE") {
			t.Fatal("cancellation for the old engine sent to the new one: ", line)
		}
	}
	if h.controller.engines["e0"].address != "" {
		t.Fatal("the old engine still has its address")
	}
}

func TestStateIsBoundedOverLongRuns(t *testing.T) {
	h := newHarness(t, 0, 256, map[string]string{"group.0.timeout": "5000", "group.1.timeout": "5000",
		"group.2.timeout": "5000"})
	h.runUntil(h.now + 10*time.Millisecond)
	sizes := func() [6]int {
		return [6]int{len(h.controller.engines), len(h.controller.queries), len(h.controller.keys.byName),
			len(h.controller.clients), h.controller.statementBytes, h.controller.scheduler.EntryCount()}
	}
	var early [6]int
	for i := range 1500 { // each engine serves a few queries, then another one takes its address
		engine := &fakeEngine{id: "n" + strconv.Itoa(i), address: "10.0.1." + strconv.Itoa(i%3) + ":1",
			state: "SERVING", runs: map[string]*fakeRun{}}
		if old := h.engines[engine.address]; old != nil {
			h.restartEngine(old, false)
			old.state = "DELETED"
			h.listEngines(old.endpointJSON(0))
		}
		h.engines[engine.address] = engine
		h.listEngines(engine.endpointJSON(0))
		conn := h.connect()
		query := h.sendQuery(conn, "load", "k"+strconv.Itoa(i), 5*time.Second, i)
		other := h.sendQuery(conn, "lookup", "", 5*time.Second, i)
		h.runUntil(h.now + 20*time.Millisecond)
		for _, call := range slices.Clone(h.pendingCalls) {
			if call.id == query.id || call.id == other.id {
				h.respond(call, "ok")
			}
		}
		h.runUntil(h.now + 80*time.Millisecond)
		h.cancel(query)
		h.cancel(other)
		if h.queries = h.queries[len(h.queries)-2:]; i%10 == 0 {
			h.disconnect(conn)
		}
		if h.connections = slices.DeleteFunc(h.connections,
			func(conn *fakeConnection) bool { return conn.closed }); i == 500 {
			early = sizes()
		}
	}
	late := sizes()
	for i := range late {
		if late[i] > early[i]*5/4+8 {
			t.Fatalf("state grows: %v, then %v", early, late)
		}
	}
	if h.controller.counters.finished < 1000 {
		t.Fatal("too few finished queries: ", h.controller.counters.finished)
	}
}

func TestPanicCostsOneConnection(t *testing.T) {
	if invariant.Debug {
		t.Skip("a debug build does not recover from a panic")
	}
	h := newHarness(t, 1, 256, nil)
	conn, other := h.connect(), h.connect()
	conn.connection.onBytes = func() { panic("planned panic") }
	h.receive(conn, []byte{0x94})
	if !conn.closed || other.closed || !strings.Contains(strings.Join(h.logLines, ""), "planned panic") {
		t.Fatal("want one closed connection and a log line: ", h.logLines)
	}
	query := h.sendQuery(other, "lookup", "", 5*time.Second, 1)
	h.respond(h.waitForCall("POST", query.id), "ok")
	h.runUntil(h.now + 400*time.Millisecond)
	if query.answer != "finished" {
		t.Fatal("query on another connection not finished: ", query.answer)
	}
}

func TestTimersAreDroppedWithTheirOwners(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	h.runUntil(h.now + 10*time.Millisecond)
	before := h.controller.timers.Len() + h.controller.scheduler.EntryCount()
	conn := h.connect()
	for range 200 { // sent and cancelled, each with a long timeout
		query := h.sendQuery(conn, "lookup", "", 30*time.Second, 1)
		h.runUntil(h.now + 10*time.Millisecond)
		h.cancel(query)
		if conn.messageCount > 100 {
			conn = h.connect()
		}
	}
	h.runUntil(h.now + 3*time.Second)
	if after := h.controller.timers.Len() + h.controller.scheduler.EntryCount(); after > before+30 {
		t.Fatalf("%d timers and scheduler entries, then %d", before, after)
	}
}

// A submission may have arrived at a machine that has not taken it up yet. A poll on another connection then
// finds no such query, which does not prove that the query is over. The next query of the key was once sent
// 300 ms after such an error, while the first was still to run.
func TestUnknownAtEngineIsNoProofOfEnd(t *testing.T) {
	for _, loss := range []string{"reset", "mute"} {
		h := newHarness(t, 1, 96, nil)
		conn := h.connect()
		query := h.sendQuery(conn, "load", "k", 9*time.Second, 0)
		h.sendQuery(conn, "load", "k", 9*time.Second, 1)
		h.runUntil(h.now + 5*time.Millisecond)
		call := h.waitForCall("POST", query.id)
		call.run.unregistered = true
		if loss == "reset" {
			h.respond(call, "lost")
		} else {
			h.pendingCalls = nil // the call is never answered
		}
		if h.runUntil(h.now + 500*time.Millisecond); loss == "mute" && !call.connection.aborted {
			t.Fatal("connection not aborted: the submission may still arrive")
		}
		if h.runUntil(h.now + 4*time.Second); query.answer != "killed" { // checkSubmission checks the order
			t.Fatalf("%s: first query: answer %q, want killed", loss, query.answer)
		}
		if len(h.queries[1].runs) == 0 || !query.runs[0].ended {
			t.Fatalf("%s: second query not sent after the first was cancelled", loss)
		}
	}
}

// A health check and the query that follows it use one connection. With one dial each, three hundred
// controllers opened a connection per query. A late duplicate of the health check's response fits no other
// call, and costs one repeated poll at most.
func TestConnectionOfHealthCheckCarriesQuery(t *testing.T) {
	h := newHarness(t, 1, 256, nil)
	query := h.sendQuery(h.connect(), "lookup", "", 5*time.Second, 1)
	call := h.waitForCall("POST", query.id)
	if h.controller.counters.healthChecks != 1 || h.controller.counters.dials != 1 {
		t.Fatalf("%d health checks, %d dials, want 1 of each", h.controller.counters.healthChecks,
			h.controller.counters.dials)
	}
	h.pendingCalls = nil // the response would follow the duplicate, on a connection that is closed by then
	h.receive(call.connection,
		[]byte("HTTP/1.1 200 x\r\nX-Load: inflight:3;util:0.5\r\nContent-Length: 0\r\n\r\n"))
	if !call.connection.closed || query.answer != "" {
		t.Fatalf("connection closed %v, answer %q", call.connection.closed, query.answer)
	}
	h.finishRun(call.run)
	if h.runUntil(h.now + 500*time.Millisecond); query.answer != "finished" || len(query.runs) != 1 {
		t.Fatalf("answer %q after %d runs, want finished after 1", query.answer, len(query.runs))
	}
}

// A call written during a network cut must not arrive after the cut: by then the next query of its key may
// run.
func TestCutConnectionDeliversNothingLater(t *testing.T) {
	h := newHarness(t, 2, 96, map[string]string{"may.probe": "false"})
	conn := h.connect()
	for range 8 { // opens connections to both engines
		h.runUntil(h.now + 20*time.Millisecond)
		h.sendQuery(conn, "lookup", "", 2*time.Second, 3)
	}
	h.runUntil(h.now + 3*time.Second)
	for _, engine := range h.sortedEngines() {
		engine.networkCut = true
	}
	first := h.sendQuery(conn, "load", "k", 20*time.Second, 1)
	h.runUntil(h.now + 60*time.Millisecond)
	var cutEngine *fakeEngine
	for _, engine := range h.sortedEngines() {
		if slices.ContainsFunc(engine.delayedCalls,
			func(call *pendingCall) bool { return strings.Contains(call.head, first.id) }) {
			cutEngine = engine
		}
	}
	if cutEngine == nil {
		// the call was written before the cut, so the test proves nothing
		t.Fatal("the call is not delayed by the cut")
	}
	next := h.sendQuery(conn, "load", "k", 20*time.Second, 2)
	for _, engine := range h.sortedEngines() {
		if engine != cutEngine {
			h.healNetwork(engine)
		}
	}
	h.runUntil(h.now + 8*time.Second)
	if first.answer != "killed" || len(next.runs) != 1 {
		t.Fatalf("first query %q, next query sent %d times", first.answer, len(next.runs))
	}
	h.healNetwork(cutEngine) // checkSubmission checks the calls that arrive
	h.runUntil(h.now + time.Second)
}

// The customer and the estimates that a call names reach the scheduler. Customers are listed in the settings;
// an unknown customer or an invalid estimate counts as absent.
func TestCustomerAndEstimatesReachScheduler(t *testing.T) {
	h := newHarness(t, 1, 64, map[string]string{"teams": "2", "team.0.name": "upper", "team.0.quota": "9",
		"team.1.name":  "lower",
		"team.1.quota": "9", "over.worth": "0.1"})
	h.controller.FieldNames = FieldNames{Customer: "customer", EstimatedWork: "weight", EstimatedMemory: "ram"}
	conn := h.connect()
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
		q := h.controller.queries[h.sendQuery(conn, "report", "", 5*time.Second, 1, x.more...).id]
		if q == nil || q.customer != x.customer || q.estimatedWork != x.work || q.estimatedMemoryMB != x.need {
			t.Errorf("fields %v: query %+v", x.more, q)
		}
	}
}

// The controller stalls while its call is delayed by a network cut that heals meanwhile. By the controller's
// clock the engine has dropped the query, which in fact has only just arrived there.
func TestProcessStallEndsNoAttempt(t *testing.T) {
	h := newHarness(t, 1, 96, map[string]string{"may.probe": "false"})
	conn := h.connect()
	h.sendQuery(conn, "lookup", "", 2*time.Second, 3) // opens a connection
	h.runUntil(h.now + 3*time.Second)
	engine := h.sortedEngines()[0]
	engine.networkCut = true
	first := h.sendQuery(conn, "load", "k", 20*time.Second, 1)
	next := h.sendQuery(conn, "load", "k", 20*time.Second, 2)
	if h.runUntil(h.now + 60*time.Millisecond); len(engine.delayedCalls) == 0 {
		t.Fatal("the call is not delayed by the cut")
	}
	h.now += 3 * time.Second
	h.healNetwork(engine)
	h.step(Event{Kind: TimerFired})
	h.runUntil(h.now + time.Second) // checkSubmission checks the order
	if len(first.runs) != 1 || len(next.runs) > 0 {
		t.Fatalf("first query ran %d times, next query %d times", len(first.runs), len(next.runs))
	}
	h.respond(h.waitForCall("GET", first.id), "ok")
	if h.runUntil(h.now + 100*time.Millisecond); first.answer != "finished" || len(next.runs) != 1 {
		t.Fatalf("first query %q, next query ran %d times", first.answer, len(next.runs))
	}
}

package controller

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// fakeEngine is a simulated engine.
type fakeEngine struct {
	id, address, state               string
	site                             string
	unresponsive, refusesConnections bool
	// no bytes arrive; calls written meanwhile are delayed until the network heals
	networkCut   bool
	delayedCalls []*pendingCall
	runs         map[string]*fakeRun
}

// fakeRun is a query that a fake engine has received.
type fakeRun struct {
	query           *sentQuery
	engine          *fakeEngine
	polledAt        time.Duration
	ended, neverRan bool
	keyCoolsDown    bool // the run ended in a way that requires a pause before its key's next query
	endedAt         time.Duration
	pages           int
	unregistered    bool // received completely, but still unknown to the engine's polls
}

// pendingCall is a call to a fake engine that has not been answered.
type pendingCall struct {
	connection         *fakeConnection
	engine             *fakeEngine
	writtenAt          time.Duration
	method, path, body string
	id                 string
	page               int
	run                *fakeRun
	head               string
	delayed            bool // delivered only after a network cut
}

func (engine *fakeEngine) endpointJSON(up int64) string {
	return fmt.Sprintf(
		`{"id":%q,"host_port":%q,"locality":%q,"flavor":"std","cell":1,"phase":%q,"size":1,"up_since_ms":%d}`,
		engine.id, engine.address, engine.site, engine.state, up)
}

// readCalls parses the call that was written to an engine.
func (h *harness) readCalls(conn *fakeConnection) {
	engine := h.engines[conn.address]
	head, rest, ok := strings.Cut(string(conn.received), "\r\n\r\n")
	if !ok {
		return
	}
	length := 0
	if _, v, has := strings.Cut(head, "Content-Length: "); has {
		v, _, _ = strings.Cut(v, "\r\n")
		length, _ = strconv.Atoi(v)
	}
	if len(rest) != length {
		h.t.Fatalf("two calls at a time on a connection, or a wrong Content-Length: %q", conn.received)
	}
	conn.received = nil
	words := strings.Fields(head)
	call := &pendingCall{connection: conn, engine: engine, writtenAt: h.now, method: words[0], path: words[1],
		body: rest}
	if parts := strings.Split(call.path, "/"); len(parts) > 2 {
		call.id = parts[2]
		if len(parts) > 3 {
			call.page, _ = strconv.Atoi(parts[3])
		}
	}
	call.head = head
	switch {
	case engine.unresponsive: // the call stays in a buffer for ever
	case engine.networkCut:
		call.delayed = true
		engine.delayedCalls = append(engine.delayedCalls, call)
	default:
		h.deliverCall(call)
	}
}

// deliverCall processes a call that has arrived completely, perhaps long after it was written.
func (h *harness) deliverCall(call *pendingCall) {
	engine, head := call.engine, call.head
	switch call.method {
	case "POST":
		_, id, _ := strings.Cut(head, "X-Req: ")
		call.id, _, _ = strings.Cut(id, "\r\n")
		h.checkSubmission(call)
	case "GET":
		if call.run = engine.runs[call.id]; call.run != nil && call.run.unregistered {
			call.run = nil
		} else if call.run != nil && !call.run.ended && call.page == 0 {
			call.run.polledAt = h.now
		}
	case "DELETE":
		if run := engine.runs[call.id]; run != nil && !run.ended {
			h.endRun(run, true)
		}
	}
	if !call.connection.closed {
		h.pendingCalls = append(h.pendingCalls, call)
	}
}

// healNetwork ends a network cut and delivers the calls that it delayed.
func (h *harness) healNetwork(engine *fakeEngine) {
	engine.networkCut = false
	delayed := engine.delayedCalls
	engine.delayedCalls = nil
	for _, call := range delayed {
		h.deliverCall(call)
	}
}

// endRun ends a run; coolsDown requires a pause before its key's next query.
func (h *harness) endRun(run *fakeRun, coolsDown bool) {
	run.ended, run.endedAt, run.keyCoolsDown = true, h.now, coolsDown
}

// checkSubmission checks a submission that an engine received against the protocol's rules.
func (h *harness) checkSubmission(call *pendingCall) {
	var query *sentQuery
	for _, other := range h.queries {
		if other.id == call.id {
			query = other
		}
	}
	// the network may be cut and heal at the same simulated time, with the client gone in between
	late := call.delayed || h.now > call.writtenAt
	switch {
	case query == nil:
		h.t.Fatalf("submission of a query that no client sent: %s", call.id)
	case late: // valid when it was sent; its order is checked below
	case query.answer != "" || query.cancelled:
		h.t.Fatalf("rule 1: query %s submitted after it was closed", call.id)
	case call.engine.state != "SERVING" && h.controller.discovery.lastEvent == h.lastEventNumber:
		h.t.Fatalf("rule 3: query submitted to an engine that is %s", call.engine.state)
	case call.engine.runs[call.id] != nil && !call.engine.runs[call.id].ended:
		h.t.Fatalf("two runs of query %s at one engine", call.id)
	}
	// nil: closed within this step
	if q := h.controller.queries[query.id]; q != nil && !late && len(query.runs) >= len(q.attempts) {
		h.t.Fatalf("one attempt of query %s written twice", call.id)
	}
	for _, run := range query.runs {
		if query.group == "load" && !run.neverRan {
			h.t.Fatalf("rule 2: mutating query %s sent again", call.id)
		}
	}
	for _, other := range h.queries {
		if other == query {
			break
		}
		if query.group != "load" || other.group != "load" || other.key != query.key {
			continue
		}
		if other.answer == "" && !other.cancelled {
			h.t.Fatalf("rule 5: query %s sent before %s is over", query.id, other.id)
		}
		for _, otherRun := range other.runs {
			if !otherRun.ended || otherRun.keyCoolsDown && h.now < otherRun.endedAt+300*time.Millisecond {
				h.t.Fatalf("rule 5: query %s sent at %v while %s runs or within its key's pause (%v)", query.id, h.now,
					other.id,
					otherRun.endedAt)
			}
		}
	}
	for i := len(h.queries) - 1; h.queries[i] != query; i-- {
		if other := h.queries[i]; query.group == "load" && other.group == "load" && other.key == query.key &&
			len(other.runs) > 0 {
			h.t.Fatalf("rule 5: query %s reaches an engine after %s, which came later", query.id, other.id)
		}
	}
	run := &fakeRun{query: query, engine: call.engine, polledAt: h.now}
	query.runs, call.engine.runs[call.id], call.run = append(query.runs, run), run, run
}

// isLongPoll reports whether the engine holds this call until the run's state changes.
func (call *pendingCall) isLongPoll() bool {
	return call.method == "POST" || call.method == "GET" && call.id != "" && call.page == 0
}

// dropCall removes a pending call; the caller answers it.
func (h *harness) dropCall(call *pendingCall) {
	h.pendingCalls = slices.DeleteFunc(h.pendingCalls, func(x *pendingCall) bool { return x == call })
}

// respond answers a pending call in the manner named by how.
func (h *harness) respond(call *pendingCall, how string) {
	h.dropCall(call)
	out := func(status int, fields, body string) {
		h.receive(call.connection,
			[]byte(fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)))
	}
	row := func(page int) string { return call.id + "\tof page\t" + strconv.Itoa(page) + "\n" }
	run := call.run
	switch {
	case how == "unregistered" && call.method == "POST" && run.query.group == "load":
		run.unregistered = true // received completely, without a response
	case how == "lost":
		h.closeConnection(call.connection)
		h.flush()
	case how == "garbled":
		h.receive(call.connection, []byte("HTTP/1.1 what\r\n\r\n"))
	case call.id == "" && call.method == "GET":
		out(200, "X-Load: inflight:3;util:0.5\r\n", "")
	case call.method == "DELETE" || call.method == "PUT":
		out(204, "", "")
	case run == nil, call.isLongPoll() && run.ended && run.pages == 0:
		out(500, "", "")
	case call.page > 0:
		out(200, "Chunk: "+strconv.Itoa(call.page)+"\r\n", row(call.page))
	case run.ended && run.pages > 0 || how == "ok" || how == "twice":
		h.finishRun(run)
		run.query.expectedPayload = ""
		for p := range run.pages {
			run.query.expectedPayload += row(p)
		}
		fields := fmt.Sprintf("Chunks: %d\r\nElapsed-Work: 300\r\nHigh-Water: 64\r\n", run.pages)
		out(200, fields, row(0))
		if how == "twice" && !call.connection.closed { // a duplicate follows shortly after
			h.receive(call.connection,
				[]byte(fmt.Sprintf("HTTP/1.1 200 x\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(row(0)), row(0))))
		}
	case how == "full":
		h.endRun(run, false)
		run.neverRan = true
		out(503, "X-Not-Run: 1\r\n", "")
	case how == "busy": // without proof that the query did not run
		h.endRun(run, false)
		out(503, "", "")
	case how == "error":
		h.endRun(run, false)
		out(500, "", "")
	case how == "cut": // the query has run, and polls return its pages
		h.finishRun(run)
		out(200, fmt.Sprintf("Chunks: %d\r\n", run.pages), "half a row")
	case how == "short":
		h.finishRun(run)
		h.receive(call.connection, []byte("HTTP/1.1 200 x\r\nChunks: 1\r\nContent-Length: 900\r\n\r\n"+row(0)))
	case how == "stuck":
		out(202, "X-Cache: stall\r\nReading: 2\r\n", "")
	default:
		out(202, "X-Cache: advance\r\nReading: 0.1\r\n", "")
	}
}

// finishRun ends a run with a result, independently of the response.
func (h *harness) finishRun(run *fakeRun) {
	if !run.ended {
		h.endRun(run, false)
		run.pages = 1 + int(h.now/time.Millisecond)%3
	}
}

// listEngines sends a discovery event that lists engines or, for "", a heartbeat.
func (h *harness) listEngines(members string) {
	if members != "" {
		h.lastEventNumber++
		members = fmt.Sprintf(`{"n":%d,"members":{"complete":false,"members":[%s]}}`, h.lastEventNumber, members)
	} else {
		members = strconv.FormatInt(h.lastEventNumber, 10)
	}
	if h.discovery != nil && h.discovery.established && !h.discovery.closed {
		h.receive(h.discovery, []byte(members+"\n"))
	}
}

// restartEngine ends an engine's process. The new process takes over, or the engine refuses connections.
func (h *harness) restartEngine(engine *fakeEngine, refuseConnections bool) {
	for _, id := range slices.Sorted(maps.Keys(engine.runs)) {
		if !engine.runs[id].ended {
			h.endRun(engine.runs[id], true)
		}
	}
	engine.runs, engine.refusesConnections, engine.unresponsive, engine.networkCut,
		engine.delayedCalls = map[string]*fakeRun{}, refuseConnections, false, false, nil
	for _, conn := range h.connections {
		if conn.address == engine.address && conn.established && !conn.closed {
			h.closeConnection(conn)
		}
	}
	h.flush()
}

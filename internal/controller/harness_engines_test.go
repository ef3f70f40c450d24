package controller

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// fakeEngine is an engine.
type fakeEngine struct {
	id, address, state               string
	site                             string
	unresponsive, refusesConnections bool
	networkCut                       bool // nothing comes through; what was written is delayed until the network heals
	delayedCalls                     []*pendingCall
	runs                             map[string]*fakeRun
}

// fakeRun is an attempt as its engine sees it.
type fakeRun struct {
	query           *sentQuery
	engine          *fakeEngine
	polledAt        time.Duration
	ended, neverRan bool
	keyCoolsDown    bool // it ended in a way after which its key has to rest
	endedAt         time.Duration
	pages           int
	unregistered    bool // it arrived whole, and its engine does not know it yet
}

type pendingCall struct {
	connection         *fakeConnection
	engine             *fakeEngine
	writtenAt          time.Duration
	method, path, body string
	id                 string
	page               int
	run                *fakeRun
	head               string
	delayed            bool // it was held up by a cut
}

func (m *fakeEngine) endpointJSON(up int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"std","cell":1,"phase":%q,"size":1,"up_since_ms":%d}`,
		m.id, m.address, m.site, m.state, up)
}

// readCalls takes what was written to an engine, call by call.
func (s *harness) readCalls(e *fakeConnection) {
	m := s.engines[e.address]
	head, rest, ok := strings.Cut(string(e.received), "\r\n\r\n")
	if !ok {
		return
	}
	length := 0
	if _, v, has := strings.Cut(head, "Content-Length: "); has {
		v, _, _ = strings.Cut(v, "\r\n")
		length, _ = strconv.Atoi(v)
	}
	if len(rest) != length {
		s.t.Fatalf("two calls at a time on a connection, or a length that is off: %q", e.received)
	}
	e.received = nil
	w := strings.Fields(head)
	h := &pendingCall{connection: e, engine: m, writtenAt: s.now, method: w[0], path: w[1], body: rest}
	if parts := strings.Split(h.path, "/"); len(parts) > 2 {
		h.id = parts[2]
		if len(parts) > 3 {
			h.page, _ = strconv.Atoi(parts[3])
		}
	}
	h.head = head
	switch {
	case m.unresponsive: // it lies in a buffer for ever
	case m.networkCut:
		h.delayed = true
		m.delayedCalls = append(m.delayedCalls, h)
	default:
		s.deliverCall(h)
	}
}

// arrive takes a call that has arrived whole, perhaps long after it was written.
func (s *harness) deliverCall(h *pendingCall) {
	m, head := h.engine, h.head
	switch h.method {
	case "POST":
		_, id, _ := strings.Cut(head, "X-Req: ")
		h.id, _, _ = strings.Cut(id, "\r\n")
		s.checkSubmission(h)
	case "GET":
		if h.run = m.runs[h.id]; h.run != nil && h.run.unregistered {
			h.run = nil
		} else if h.run != nil && !h.run.ended && h.page == 0 {
			h.run.polledAt = s.now
		}
	case "DELETE":
		if x := m.runs[h.id]; x != nil && !x.ended {
			s.endRun(x, true)
		}
	}
	if !h.connection.closed {
		s.pendingCalls = append(s.pendingCalls, h)
	}
}

// heal ends a cut of the network, and delivers the calls that it held up.
func (s *harness) healNetwork(m *fakeEngine) {
	m.networkCut = false
	lying := m.delayedCalls
	m.delayedCalls = nil
	for _, h := range lying {
		s.deliverCall(h)
	}
}

func (s *harness) endRun(x *fakeRun, rests bool) {
	x.ended, x.endedAt, x.keyCoolsDown = true, s.now, rests
}

// checkSubmission checks by the rules what an engine is sent.
func (s *harness) checkSubmission(h *pendingCall) {
	var a *sentQuery
	for _, x := range s.queries {
		if x.id == h.id {
			a = x
		}
	}
	late := h.delayed || s.now > h.writtenAt // a link may be cut and heal in one instant, with its client gone between
	switch {
	case a == nil:
		s.t.Fatalf("submitted what nobody asked for: %s", h.id)
	case late: // it was right when it was sent; its order is judged below
	case a.answer != "" || a.cancelled:
		s.t.Fatalf("rule 1: submitted after its end: %s", h.id)
	case h.engine.state != "SERVING" && s.controller.discovery.lastEvent == s.lastEventNumber:
		s.t.Fatalf("rule 3: submitted to one %s", h.engine.state)
	case h.engine.runs[h.id] != nil && !h.engine.runs[h.id].ended:
		s.t.Fatalf("two of one id at one engine: %s", h.id)
	}
	if q := s.controller.queries[a.id]; q != nil && !late && len(a.runs) >= len(q.attempts) { // nil: given up in this very step
		s.t.Fatalf("one submission written twice: %s", h.id)
	}
	for _, x := range a.runs {
		if a.group == "load" && !x.neverRan {
			s.t.Fatalf("rule 2: a mutating query sent again: %s", h.id)
		}
	}
	for _, x := range s.queries {
		if x == a {
			break
		}
		if a.group != "load" || x.group != "load" || x.key != a.key {
			continue
		}
		if x.answer == "" && !x.cancelled {
			s.t.Fatalf("rule 5: %s sent before %s is over", a.id, x.id)
		}
		for _, y := range x.runs {
			if !y.ended || y.keyCoolsDown && s.now < y.endedAt+300*time.Millisecond {
				s.t.Fatalf("rule 5: %s sent at %v while %s runs or its key rests (%v)", a.id, s.now, x.id, y.endedAt)
			}
		}
	}
	for i := len(s.queries) - 1; s.queries[i] != a; i-- {
		if x := s.queries[i]; a.group == "load" && x.group == "load" && x.key == a.key && len(x.runs) > 0 {
			s.t.Fatalf("rule 5: %s arrives after %s, which came later", a.id, x.id)
		}
	}
	x := &fakeRun{query: a, engine: h.engine, polledAt: s.now}
	a.runs, h.engine.runs[h.id], h.run = append(a.runs, x), x, x
}

// news reports whether the engine holds this call until there is news.
func (h *pendingCall) isLongPoll() bool {
	return h.method == "POST" || h.method == "GET" && h.id != "" && h.page == 0
}

// respond answers a held call in the way that how names.
func (s *harness) respond(h *pendingCall, how string) {
	s.pendingCalls = slices.DeleteFunc(s.pendingCalls, func(x *pendingCall) bool { return x == h })
	out := func(status int, fields, body string) {
		s.receive(h.connection, []byte(fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)))
	}
	row := func(page int) string { return h.id + "\tof page\t" + strconv.Itoa(page) + "\n" }
	x := h.run
	switch {
	case how == "untaken" && h.method == "POST" && x.query.group == "load":
		x.unregistered = true // it lies there whole, and nothing is heard of it
	case how == "lost":
		s.closeConnection(h.connection)
		s.flush()
	case how == "garbled":
		s.receive(h.connection, []byte("HTTP/1.1 what\r\n\r\n"))
	case h.id == "" && h.method == "GET":
		out(200, "X-Load: inflight:3;util:0.5\r\n", "")
	case h.method == "DELETE" || h.method == "PUT":
		out(204, "", "")
	case x == nil, h.isLongPoll() && x.ended && x.pages == 0:
		out(500, "", "")
	case h.page > 0:
		out(200, "Chunk: "+strconv.Itoa(h.page)+"\r\n", row(h.page))
	case x.ended && x.pages > 0 || how == "ok" || how == "twice":
		s.finishRun(x)
		x.query.expectedPayload = ""
		for p := range x.pages {
			x.query.expectedPayload += row(p)
		}
		fields := fmt.Sprintf("Chunks: %d\r\nElapsed-Work: 300\r\nHigh-Water: 64\r\n", x.pages)
		out(200, fields, row(0))
		if how == "twice" && !h.connection.closed { // a second copy comes a moment later
			s.receive(h.connection, []byte(fmt.Sprintf("HTTP/1.1 200 x\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(row(0)), row(0))))
		}
	case how == "full":
		s.endRun(x, false)
		x.neverRan = true
		out(503, "X-Not-Run: 1\r\n", "")
	case how == "busy": // no proof that it did not run
		s.endRun(x, false)
		out(503, "", "")
	case how == "error":
		s.endRun(x, false)
		out(500, "", "")
	case how == "cut": // it has run; asked again, the engine has the rest
		s.finishRun(x)
		out(200, fmt.Sprintf("Chunks: %d\r\n", x.pages), "half a row")
	case how == "short":
		s.finishRun(x)
		s.receive(h.connection, []byte("HTTP/1.1 200 x\r\nChunks: 1\r\nContent-Length: 900\r\n\r\n"+row(0)))
	case how == "stuck":
		out(202, "X-Cache: stall\r\nReading: 2\r\n", "")
	default:
		out(202, "X-Cache: advance\r\nReading: 0.1\r\n", "")
	}
}

// finishRun ends a run with a result, whatever becomes of the response.
func (s *harness) finishRun(x *fakeRun) {
	if !x.ended {
		s.endRun(x, false)
		x.pages = 1 + int(s.now/time.Millisecond)%3
	}
}

// listEngines has the discovery send an event about engines or, for "", a heartbeat.
func (s *harness) listEngines(members string) {
	if members != "" {
		s.lastEventNumber++
		members = fmt.Sprintf(`{"n":%d,"members":{"complete":false,"members":[%s]}}`, s.lastEventNumber, members)
	} else {
		members = strconv.FormatInt(s.lastEventNumber, 10)
	}
	if s.discovery != nil && s.discovery.established && !s.discovery.closed {
		s.receive(s.discovery, []byte(members+"\n"))
	}
}

// restartEngine ends an engine's process; a new one takes its place, unless dead.
func (s *harness) restartEngine(m *fakeEngine, dead bool) {
	for _, id := range slices.Sorted(maps.Keys(m.runs)) {
		if !m.runs[id].ended {
			s.endRun(m.runs[id], true)
		}
	}
	m.runs, m.refusesConnections, m.unresponsive, m.networkCut, m.delayedCalls = map[string]*fakeRun{}, dead, false, false, nil
	for _, e := range s.connections {
		if e.address == m.address && e.established && !e.closed {
			s.closeConnection(e)
		}
	}
	s.flush()
}

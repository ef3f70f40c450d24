package controller

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// mill is an engine.
type mill struct {
	id, address, state string
	site               string
	silent, dead       bool
	cut                bool // nothing comes through; what was written lies on the way until the link heals
	lying              []*held
	runs               map[string]*sub
}

// sub is one submission as its engine sees it.
type sub struct {
	a              *asked
	m              *mill
	askedAt        time.Duration
	over, neverRan bool
	rests          bool // ended so that its key has to rest
	overAt         time.Duration
	pages          int
	untaken        bool // it came whole, and is not known there yet
}

type held struct {
	e                  *end
	m                  *mill
	at                 time.Duration
	method, path, body string
	id                 string
	page               int
	s                  *sub
	head               string
	lay                bool // on the way, behind a cut
}

func (m *mill) entry(up int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"std","cell":1,"phase":%q,"size":1,"up_since_ms":%d}`,
		m.id, m.address, m.site, m.state, up)
}

// calls takes what was written to an engine, call by call.
func (s *stage) calls(e *end) {
	m := s.mills[e.address]
	head, rest, ok := strings.Cut(string(e.in), "\r\n\r\n")
	if !ok {
		return
	}
	length := 0
	if _, v, has := strings.Cut(head, "Content-Length: "); has {
		v, _, _ = strings.Cut(v, "\r\n")
		length, _ = strconv.Atoi(v)
	}
	if len(rest) != length {
		s.t.Fatalf("two calls at a time on a connection, or a length that is off: %q", e.in)
	}
	e.in = nil
	w := strings.Fields(head)
	h := &held{e: e, m: m, at: s.now, method: w[0], path: w[1], body: rest}
	if parts := strings.Split(h.path, "/"); len(parts) > 2 {
		h.id = parts[2]
		if len(parts) > 3 {
			h.page, _ = strconv.Atoi(parts[3])
		}
	}
	h.head = head
	switch {
	case m.silent: // it lies in a buffer for ever
	case m.cut:
		h.lay = true
		m.lying = append(m.lying, h)
	default:
		s.arrives(h)
	}
}

// arrives: a call is there whole, perhaps long after it was written.
func (s *stage) arrives(h *held) {
	m, head := h.m, h.head
	switch h.method {
	case "POST":
		_, id, _ := strings.Cut(head, "X-Req: ")
		h.id, _, _ = strings.Cut(id, "\r\n")
		s.posted(h)
	case "GET":
		if h.s = m.runs[h.id]; h.s != nil && h.s.untaken {
			h.s = nil
		} else if h.s != nil && !h.s.over && h.page == 0 {
			h.s.askedAt = s.now
		}
	case "DELETE":
		if x := m.runs[h.id]; x != nil && !x.over {
			s.over(x, true)
		}
	}
	if !h.e.gone {
		s.held = append(s.held, h)
	}
}

// heal lets through what lies on the way.
func (s *stage) heal(m *mill) {
	m.cut = false
	lying := m.lying
	m.lying = nil
	for _, h := range lying {
		s.arrives(h)
	}
}

func (s *stage) over(x *sub, rests bool) { x.over, x.overAt, x.rests = true, s.now, rests }

// posted checks what goes to an engine by the rules.
func (s *stage) posted(h *held) {
	var a *asked
	for _, x := range s.asked {
		if x.id == h.id {
			a = x
		}
	}
	late := h.lay || s.now > h.at // a link may be cut and heal in one instant, with its client gone between
	switch {
	case a == nil:
		s.t.Fatalf("submitted what nobody asked for: %s", h.id)
	case late: // it was right when it was sent; its order is judged below
	case a.answer != "" || a.left:
		s.t.Fatalf("rule 1: submitted after its end: %s", h.id)
	case h.m.state != "SERVING" && s.r.discovery.lastEvent == s.events:
		s.t.Fatalf("rule 3: submitted to one %s", h.m.state)
	case h.m.runs[h.id] != nil && !h.m.runs[h.id].over:
		s.t.Fatalf("two of one id at one engine: %s", h.id)
	}
	if q := s.r.queries[a.id]; q != nil && !late && len(a.subs) >= len(q.attempts) { // nil: given up in this very step
		s.t.Fatalf("one submission written twice: %s", h.id)
	}
	for _, x := range a.subs {
		if a.group == "load" && !x.neverRan {
			s.t.Fatalf("rule 2: a mutating query sent again: %s", h.id)
		}
	}
	for _, x := range s.asked {
		if x == a {
			break
		}
		if a.group != "load" || x.group != "load" || x.key != a.key {
			continue
		}
		if x.answer == "" && !x.left {
			s.t.Fatalf("rule 5: %s sent before %s is over", a.id, x.id)
		}
		for _, y := range x.subs {
			if !y.over || y.rests && s.now < y.overAt+300*time.Millisecond {
				s.t.Fatalf("rule 5: %s sent at %v while %s runs or its key rests (%v)", a.id, s.now, x.id, y.overAt)
			}
		}
	}
	for i := len(s.asked) - 1; s.asked[i] != a; i-- {
		if x := s.asked[i]; a.group == "load" && x.group == "load" && x.key == a.key && len(x.subs) > 0 {
			s.t.Fatalf("rule 5: %s arrives after %s, which came later", a.id, x.id)
		}
	}
	x := &sub{a: a, m: h.m, askedAt: s.now}
	a.subs, h.m.runs[h.id], h.s = append(a.subs, x), x, x
}

// news: an engine holds this call until there are any.
func (h *held) news() bool {
	return h.method == "POST" || h.method == "GET" && h.id != "" && h.page == 0
}

// reply answers a held call with so many pages still to come, or with a word.
func (s *stage) reply(h *held, how string) {
	s.held = slices.DeleteFunc(s.held, func(x *held) bool { return x == h })
	out := func(status int, fields, body string) {
		s.read(h.e, []byte(fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)))
	}
	row := func(page int) string { return h.id + "\tof page\t" + strconv.Itoa(page) + "\n" }
	x := h.s
	switch {
	case how == "untaken" && h.method == "POST" && x.a.group == "load":
		x.untaken = true // it lies there whole, and nothing is heard of it
	case how == "lost":
		s.lose(h.e)
		s.flush()
	case how == "garbled":
		s.read(h.e, []byte("HTTP/1.1 what\r\n\r\n"))
	case h.id == "" && h.method == "GET":
		out(200, "X-Load: inflight:3;util:0.5\r\n", "")
	case h.method == "DELETE" || h.method == "PUT":
		out(204, "", "")
	case x == nil, h.news() && x.over && x.pages == 0:
		out(500, "", "")
	case h.page > 0:
		out(200, "Chunk: "+strconv.Itoa(h.page)+"\r\n", row(h.page))
	case x.over && x.pages > 0 || how == "ok" || how == "twice":
		s.good(x)
		x.a.finishedPayload = ""
		for p := range x.pages {
			x.a.finishedPayload += row(p)
		}
		fields := fmt.Sprintf("Chunks: %d\r\nElapsed-Work: 300\r\nHigh-Water: 64\r\n", x.pages)
		out(200, fields, row(0))
		if how == "twice" && !h.e.gone { // a second copy comes a moment later
			s.read(h.e, []byte(fmt.Sprintf("HTTP/1.1 200 x\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(row(0)), row(0))))
		}
	case how == "full":
		s.over(x, false)
		x.neverRan = true
		out(503, "X-Not-Run: 1\r\n", "")
	case how == "busy": // no proof that it did not run
		s.over(x, false)
		out(503, "", "")
	case how == "error":
		s.over(x, false)
		out(500, "", "")
	case how == "cut": // it has run; asked again, the engine has the rest
		s.good(x)
		out(200, fmt.Sprintf("Chunks: %d\r\n", x.pages), "half a row")
	case how == "short":
		s.good(x)
		s.read(h.e, []byte("HTTP/1.1 200 x\r\nChunks: 1\r\nContent-Length: 900\r\n\r\n"+row(0)))
	case how == "stuck":
		out(202, "X-Cache: stall\r\nReading: 2\r\n", "")
	default:
		out(202, "X-Cache: advance\r\nReading: 0.1\r\n", "")
	}
}

// good: it has run to a good end, whatever becomes of the answer.
func (s *stage) good(x *sub) {
	if !x.over {
		s.over(x, false)
		x.pages = 1 + int(s.now/time.Millisecond)%3
	}
}

// tell has the feed say something of engines, or just its last number.
func (s *stage) tell(members string) {
	if members != "" {
		s.events++
		members = fmt.Sprintf(`{"n":%d,"members":{"complete":false,"members":[%s]}}`, s.events, members)
	} else {
		members = strconv.FormatInt(s.events, 10)
	}
	if s.feed != nil && s.feed.up && !s.feed.gone {
		s.read(s.feed, []byte(members+"\n"))
	}
}

// restart ends a mill's process; a new one answers, or none.
func (s *stage) restart(m *mill, dead bool) {
	for _, id := range slices.Sorted(maps.Keys(m.runs)) {
		if !m.runs[id].over {
			s.over(m.runs[id], true)
		}
	}
	m.runs, m.dead, m.silent, m.cut, m.lying = map[string]*sub{}, dead, false, false, nil
	for _, e := range s.ends {
		if e.address == m.address && e.up && !e.gone {
			s.lose(e)
		}
	}
	s.flush()
}

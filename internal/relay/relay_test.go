package relay

import (
	"bytes"
	"cmp"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"railrelay.dev/railrelay/decide"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/must"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201") // the same verdict every time
	flag.Set("rapid.checks", "1000")
	flag.Set("rapid.shrinktime", "5s")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const waits = 250 * time.Millisecond

// stage is what stands round a Relay: its runner, clients, engines and clock.
// It checks the rules at what is written, and lets choices say what happens.
type stage struct {
	t       interface{ Fatalf(string, ...any) }
	r       *Relay
	now     time.Duration
	wake    time.Duration
	ends    []*end
	mills   map[string]*mill // by address
	held    []*held
	asked   []*asked
	feed    *end
	events  int64
	feedUp  bool
	quit    bool
	said    []string
	log     []string
	sockets int
	body    string  // of what clients ask next, in place of a select
	back    []Event // what the runner will bring back

	// where it has peers
	reports []fleet.Report
	full    bool          // the ring of reports
	early   bool          // it stood still, and this came meanwhile
	stopped time.Duration // the process stands still between a step and what it writes
	written []uint64      // versions of submissions, in the order they went out
}

type end struct {
	n                       int
	link                    *Link
	address                 string
	client                  bool
	dialAt                  time.Duration
	up, shut, gone, ignores bool
	aborted                 bool
	in                      []byte
	msgs                    int
}

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

type asked struct {
	id, group, key  string
	msg             int
	from            *end
	deadline        time.Duration
	answer          string
	left            bool
	subs            []*sub
	finishedPayload string
	said            []byte
}

func plainFacts(more map[string]string) map[string]string {
	f := map[string]string{
		"gateways": "2", "own.number": "0", "groups": "3", "loads": "false,false,true", "waits": "true,true,false",
		"threads": "1,3,2", "kinds": "std", "locations": "here", "kind.cores": "8", "kind.memory": "16384", "grant.most": "0.4",
		"may.grant": "true", "may.prioritise": "true", "may.cancel": "true", "may.probe": "true", "may.copy": "true",
		"may.name-return": "true", "return.most": "500", "submissions.most": "3", "note.period": "2000", "tick": "5",
		"memory.short": "swap", "drain.grace": "1000", "report.how": "probed", "cold.from": "0.33", "answers.cost": "true",
		"cold.span": "15000", "cold.multiple": "3", "cold.window": "1000", "key.rest": "300", "list.how": "pushed",
		"connect.timeout": "250", "idle.most": "15000",
	}
	for i, name := range []string{"lookup", "report", "load"} {
		at := "group." + strconv.Itoa(i) + "."
		f[at+"name"], f[at+"value"] = name, strconv.Itoa(1+5*i)
		f[at+"target"], f[at+"timeout"], f[at+"stretch"] = "1000", "30000", "1.5"
		f[at+"effect"], f[at+"scope"], f[at+"window"] = "read-only", "all", "5000"
	}
	f["group.2.effect"], f["group.2.in-order"] = "mutating", "true"
	maps.Copy(f, more)
	return f
}

func newStage(t interface{ Fatalf(string, ...any) }, engines, sockets int, more map[string]string, with ...func(*Means)) *stage {
	s := &stage{t: t, wake: -1, mills: map[string]*mill{}, feedUp: true, sockets: sockets}
	var members []string
	for i := range engines {
		sites := strings.Split(plainFacts(more)["locations"], ",")
		m := &mill{id: "e" + strconv.Itoa(i), address: "10.0.0." + strconv.Itoa(i) + ":1", state: "SERVING", runs: map[string]*sub{},
			site: sites[i%len(sites)]}
		s.mills[m.address] = m
		members = append(members, m.entry(0))
	}
	s.events = 1
	var effects []Effect
	means := Means{Seed: 7, MemoryMB: 64, Sockets: sockets, Feed: "feed", Facts: plainFacts(more),
		Known: []byte(`{"n":1,"events":[{"n":1,"members":{"complete":true,"members":[` + strings.Join(members, ",") + `]}}]}`)}
	for _, change := range with {
		change(&means)
	}
	s.r, effects = New(means)
	s.perform(effects)
	s.flush()
	return s
}

func (m *mill) entry(up int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"std","cell":1,"phase":%q,"size":1,"up_since_ms":%d}`,
		m.id, m.address, m.site, m.state, up)
}

// all lists the mills in an order of their own.
func (s *stage) all() []*mill {
	return slices.SortedFunc(maps.Values(s.mills), func(a, b *mill) int { return strings.Compare(a.address, b.address) })
}

func (s *stage) step(ev Event) {
	ev.Early = s.early
	s.perform(s.r.Step(s.now, ev))
	s.flush()
}

func (s *stage) flush() {
	for len(s.back) > 0 {
		ev := s.back[0]
		s.back = s.back[1:]
		ev.Early = s.early
		s.perform(s.r.Step(s.now, ev))
	}
}

func (s *stage) end(l *Link) *end {
	for _, e := range s.ends {
		if e.link == l {
			return e
		}
	}
	return nil
}

func (s *stage) perform(effects []Effect) {
	for _, f := range effects {
		e := s.end(f.Link)
		switch f.Verb {
		case Dial:
			e = &end{n: len(s.ends), link: f.Link, address: f.Address, dialAt: s.now}
			s.ends = append(s.ends, e)
			if f.Address == "feed" {
				s.feed = e
			}
			open := 3
			for _, x := range s.ends {
				if !x.gone {
					open++
				}
			}
			if open > s.sockets {
				s.t.Fatalf("%d descriptors of %d", open, s.sockets)
			}
		case Write:
			s.log = append(s.log, fmt.Sprintf("%v %d %q", s.now, e.n, f.Bytes))
			if e.shut {
				s.t.Fatalf("written to a closed link")
			}
			if e.ignores || e.gone { // its end is on the way
				break
			}
			if !f.Permit.Holds(s.now+s.stopped) || f.Guard != 0 && !s.mayGo(f) {
				s.back = append(s.back, Event{Kind: Barred, Link: f.Link})
				s.lose(e)
				break
			}
			s.back = append(s.back, Event{Kind: Wrote, Link: f.Link, N: len(f.Bytes)})
			if e.client {
				s.answered(e, f.Bytes)
			} else if e.address != "feed" {
				e.in = append(e.in, f.Bytes...)
				s.calls(e)
			}
		case Close:
			s.log = append(s.log, fmt.Sprintf("%v %d close", s.now, e.n))
			e.shut, e.aborted = true, f.Abort
			if m := s.mills[e.address]; m != nil && f.Abort { // else the kernel goes on sending it
				m.lying = slices.DeleteFunc(m.lying, func(h *held) bool { return h.e == e })
			}
			if e.up {
				s.lose(e)
			} else {
				e.gone = true
				s.back = append(s.back, Event{Kind: Unanswered, Link: e.link})
			}
		case Wake:
			s.wake = s.now + f.Within
		case Say, Count:
			s.said = append(s.said, f.Text)
		case Report:
			if s.full {
				s.back = append(s.back, Event{Kind: Untold, Report: f.Report})
			} else {
				s.reports = append(s.reports, *f.Report)
			}
		case Quit:
			s.quit = true
		}
	}
}

// lose ends a link, whoever ended it.
func (s *stage) lose(e *end) {
	if !e.gone {
		e.gone = true
		s.held = slices.DeleteFunc(s.held, func(h *held) bool { return h.e == e })
		s.back = append(s.back, Event{Kind: Ended, Link: e.link})
	}
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
	case h.m.state != "SERVING" && s.r.feed.last == s.events:
		s.t.Fatalf("rule 3: submitted to one %s", h.m.state)
	case h.m.runs[h.id] != nil && !h.m.runs[h.id].over:
		s.t.Fatalf("two of one id at one engine: %s", h.id)
	}
	if q := s.r.queries[a.id]; q != nil && !late && len(a.subs) >= len(q.subs) { // nil: given up in this very step
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

func (s *stage) answered(e *end, p []byte) {
	if p[0] == 0x93 { // a notice, no answer
		return
	}
	if p[2] >= 0x80 {
		s.t.Fatalf("more messages than this test reads: %q", p)
	}
	for _, a := range s.asked {
		if a.from != e || a.msg != int(p[2]) {
			continue
		}
		if a.answer != "" || a.left {
			s.t.Fatalf("rule 1: a second answer to %s, or one nobody waits for", a.id)
		}
		a.said = p
		switch {
		case p[3] == 0xc0:
			a.answer = "finished"
			if !bytes.Contains(p, []byte(a.finishedPayload)) || a.finishedPayload == "" {
				s.t.Fatalf("finished with what no engine made: %q, not %q", p, a.finishedPayload)
			}
		case bytes.Contains(p, []byte("Throttled")):
			a.answer = "deferred"
			for _, x := range a.subs {
				if a.group == "load" && !x.neverRan {
					s.t.Fatalf("rule 2: deferred, and may have run: %s", a.id)
				}
			}
		default:
			a.answer = "killed"
		}
	}
}

func (s *stage) connect() *end {
	e := &end{n: len(s.ends), link: &Link{}, client: true, up: true}
	s.ends = append(s.ends, e)
	s.step(Event{Kind: Accepted, Link: e.link})
	return e
}

func (s *stage) read(e *end, p []byte) {
	for len(p) > 0 && !e.gone {
		n := copy(e.link.In.Space(), p)
		p = p[n:]
		s.step(Event{Kind: Got, Link: e.link, N: n})
	}
}

func fix(v string) []byte { return append([]byte{byte(0xa0 + len(v))}, v...) }

// query has a client ask for something.
func (s *stage) query(e *end, group, key string, patience time.Duration, tables int, more ...string) *asked {
	e.msgs++
	a := &asked{id: fmt.Sprintf("%016x", len(s.asked)+1), group: group, key: key, msg: e.msgs, from: e, deadline: s.now + patience}
	s.asked = append(s.asked, a)
	p := append([]byte{0x94, 0, byte(a.msg)}, fix(group)...)
	fields := []string{"trace", a.id, "patience", strconv.Itoa(int(patience.Milliseconds()))}
	if key != "" {
		fields = append(fields, "entity", key)
	}
	fields = append(fields, more...)
	p = append(p, 0x92, 0x80|byte(len(fields)/2))
	for _, f := range fields {
		p = append(p, fix(f)...)
	}
	body := cmp.Or(s.body, "SELECT * FROM sales_"+strconv.Itoa(tables)+".orders")
	s.read(e, append(append(p, 0xc4, byte(len(body))), body...))
	return a
}

func (s *stage) leave(a *asked) {
	if a.answer == "" && !a.left && !a.from.gone {
		a.left = true
		s.read(a.from, append(append([]byte{0x93, 2}, fix("cancelRequest")...), 0x91, byte(a.msg)))
	}
}

func (s *stage) drop(e *end) {
	for _, a := range s.asked {
		if a.from == e && a.answer == "" {
			a.left = true
		}
	}
	s.lose(e)
	s.flush()
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

// until lets time pass: what is due at the runner, healthy engines' news and dials.
func (s *stage) until(t time.Duration) {
	for !s.quit {
		next, what := t, func() {}
		soonest := func(at time.Duration, do func()) {
			if at < next {
				next, what = max(at, s.now), do
			}
		}
		if s.wake >= 0 {
			soonest(s.wake, func() { s.wake = -1; s.step(Event{Kind: Woken}) })
		}
		for _, h := range s.held {
			if !h.m.silent && !h.m.cut {
				take := time.Millisecond
				if h.news() {
					take = waits
				}
				soonest(h.at+take, func() { s.reply(h, "runs") })
			}
		}
		for _, e := range s.ends {
			if !e.up && !e.gone {
				s.dialled(e, soonest)
			}
		}
		for _, m := range s.all() {
			for _, id := range slices.Sorted(maps.Keys(m.runs)) {
				if x := m.runs[id]; !x.over {
					soonest(x.askedAt+waits+2*time.Second, func() { s.over(x, true) })
				}
			}
		}
		if what != nil && next >= t {
			s.now = t
			break
		}
		s.now = next
		what()
		s.late()
	}
	s.late()
}

func (s *stage) dialled(e *end, soonest func(time.Duration, func())) {
	m := s.mills[e.address]
	up := func() { e.up = true; s.step(Event{Kind: Up, Link: e.link}) }
	fail := func(kind Kind) func() { return func() { e.gone = true; s.step(Event{Kind: kind, Link: e.link}) } }
	switch {
	case m == nil && s.feedUp:
		soonest(e.dialAt+time.Millisecond, func() { up(); s.tell("") })
	case m == nil || m.silent || m.cut:
		soonest(e.dialAt+waits, fail(Unanswered))
	case m.dead:
		soonest(e.dialAt+time.Millisecond, fail(Refused))
	default:
		soonest(e.dialAt+time.Millisecond, up)
	}
}

func (s *stage) late() {
	for _, a := range s.asked {
		if a.answer == "" && !a.left && s.now > a.deadline+20*time.Millisecond {
			s.t.Fatalf("rule 1: no answer to %s in time", a.id)
		}
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

func (s *stage) open(e *end) (n int) {
	for _, a := range s.asked {
		if a.from == e && a.answer == "" && !a.left {
			n++
		}
	}
	return n
}

// play has choices say what happens, until the end.
func (s *stage) play(choices []uint16) {
	s.some(choices)
	s.until(s.now + 12*time.Second)
	s.step(Event{Kind: Stop})
	s.until(s.now + 6*time.Second)
	if !s.quit {
		s.t.Fatalf("it does not end: %d queries open", len(s.r.queries))
	}
}

func (s *stage) some(choices []uint16) {
	clients := []*end{s.connect(), s.connect()}
	for _, c := range choices {
		kind, x := int(c%16), int(c/16)
		c, all := clients[x%2], s.all()
		m := all[x%len(all)]
		switch {
		case kind < 5:
			if c.gone || c.msgs > 100 || s.open(c) == openMost {
				clients[x%2] = s.connect()
				c = clients[x%2]
			}
			group := []string{"lookup", "report", "load", "load"}[x/2%4]
			s.query(c, group, "k"+strconv.Itoa(x/8%2), time.Duration(400+x%5000)*time.Millisecond, x/16%3)
		case kind < 9:
			if len(s.held) > 0 && !s.held[x%len(s.held)].m.cut {
				s.reply(s.held[x%len(s.held)], []string{"ok", "ok", "runs", "stuck", "full", "busy", "error", "cut", "lost", "garbled", "short", "twice", "untaken"}[x/64%13])
			}
		case kind < 13:
			s.until(s.now + time.Duration(x%500)*time.Millisecond)
		case kind == 13:
			if len(s.asked) > 0 {
				s.leave(s.asked[x%len(s.asked)])
			}
		case x%7 == 0:
			s.drop(c)
		case x%7 == 1:
			m.state = []string{"SERVING", "DRAINING"}[x/7%2]
			s.tell(m.entry(0))
		case x%7 == 2:
			s.restart(m, x/7%2 == 0)
		case x%7 == 3:
			m.silent = !m.silent
			if !m.silent { // a machine comes back with nothing
				s.restart(m, false)
			}
		case x%7 == 4:
			s.feedUp = !s.feedUp
			if !s.feedUp && s.feed != nil && s.feed.up {
				s.lose(s.feed)
				s.flush()
			}
		case x%7 == 5: // its table of connections is full, or has room again
			m.dead = !m.dead
		case m.cut:
			s.heal(m)
		case x/7%2 == 0:
			m.cut = true
		default:
			s.until(s.now + time.Duration(x)*time.Millisecond)
		}
	}
}

func TestRulesHoldWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choices := rapid.SliceOfN(rapid.Uint16(), 120, 250).Draw(t, "choices")
		sockets := rapid.SampledFrom([]int{64, 28, 1024}).Draw(t, "sockets")
		var logs [2][]string
		for i := range logs {
			s := newStage(t, 3, sockets, nil)
			s.play(choices)
			logs[i] = s.log
		}
		if !slices.Equal(logs[0], logs[1]) {
			t.Fatalf("the same events, other effects")
		}
	})
}

// one finds a held call, letting news go on until it is there.
func (s *stage) one(method, id string) *held {
	for range 1000 {
		for _, h := range s.held {
			if h.method == method && h.id == id {
				return h
			}
		}
		s.until(s.now + time.Millisecond)
	}
	s.t.Fatalf("no %s of %s", method, id)
	return nil
}

func TestOrderHoldsOnAVanishedEngine(t *testing.T) {
	s := newStage(t, 2, 256, nil)
	c := s.connect()
	first, next := s.query(c, "load", "k", 1500*time.Millisecond, 1), s.query(c, "load", "k", 20*time.Second, 2)
	s.reply(s.one("POST", first.id), "runs")
	h := s.one("GET", first.id)
	h.m.silent = true // cut off: what it has is still at work there
	s.until(first.deadline)
	if first.answer != "killed" {
		t.Fatalf("%q at its client's end", first.answer)
	}
	s.until(h.at + waits + 1990*time.Millisecond)
	if len(next.subs) > 0 {
		t.Fatal("sent while the first may still run")
	}
	s.until(s.now + 1500*time.Millisecond) // posted checks the rest
	if len(next.subs) != 1 {
		t.Fatal("the key is stuck")
	}
}

func TestOrderHoldsAfterAnErrorOutOfSilence(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	c := s.connect()
	first, next := s.query(c, "load", "k", 20*time.Second, 1), s.query(c, "load", "k", 20*time.Second, 2)
	s.reply(s.one("POST", first.id), "runs")
	h := s.one("GET", first.id)
	s.restart(h.m, false) // the new process knows nothing of it, and answers 500
	s.until(s.now + 290*time.Millisecond)
	if len(next.subs) > 0 {
		t.Fatal("an error that may be a restart lets the key go at once")
	}
	s.until(s.now + time.Second)
	if first.answer != "killed" || len(next.subs) != 1 {
		t.Fatalf("%q, %d", first.answer, len(next.subs))
	}
}

func TestARefusalIsNoEndWhileConnectionsStand(t *testing.T) {
	s := newStage(t, 2, 256, nil)
	c := s.connect()
	first := s.query(c, "load", "k", 20*time.Second, 1)
	h := s.one("POST", first.id)
	for i := range 6 { // so that there are other connections
		s.query(c, "load", "x"+strconv.Itoa(i), 20*time.Second, 10+i)
	}
	s.until(s.now + 100*time.Millisecond)
	next := s.query(c, "load", "k", 20*time.Second, 2)
	h.m.dead = true // full
	s.lose(h.e)
	s.flush()
	s.until(s.now + 2*time.Second)
	if first.answer != "" || len(next.subs) > 0 {
		t.Fatal("taken for dead: ", first.answer)
	}
	h.m.silent = true
	s.until(s.now + 4*time.Second) // posted checks the rest
	if first.answer != "killed" || len(next.subs) != 1 {
		t.Fatalf("%q, %d", first.answer, len(next.subs))
	}
}

func TestALaterSubmissionIsLeftAlone(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	a := s.query(s.connect(), "lookup", "", 20*time.Second, 1)
	s.reply(s.one("POST", a.id), "runs")
	h := s.one("GET", a.id)
	s.r.soon(func() { s.r.Cancel(a.id, 0) }) // as the decisions do when they move it
	s.step(Event{Kind: Woken})
	if len(a.subs) != 1 || len(s.r.queries[a.id].subs) != 2 {
		t.Fatal("sent again while the first is being given up there")
	}
	s.reply(s.one("DELETE", a.id), "")
	s.reply(s.one("POST", a.id), "runs")
	if len(a.subs) != 2 {
		t.Fatal("not sent again")
	}
	if slices.Contains(s.held, h) {
		s.reply(h, "error") // the first one's late answer
	}
	s.reply(s.one("GET", a.id), "ok")
	s.until(s.now + 300*time.Millisecond)
	if a.answer != "finished" {
		t.Fatal(a.answer)
	}
}

func TestNothingWrittenNeverRan(t *testing.T) {
	for _, none := range []bool{true, false} {
		s := newStage(t, 1, 256, nil)
		c := s.connect()
		warm := s.query(c, "lookup", "", 5*time.Second, 1)
		s.reply(s.one("POST", warm.id), "ok")
		s.until(s.now + 50*time.Millisecond)
		for _, e := range s.ends { // what is idle now dies as the next call comes
			e.ignores = none && e.address == "10.0.0.0:1"
		}
		a := s.query(c, "load", "k", 5*time.Second, 2)
		for _, e := range s.ends {
			if e.address == "10.0.0.0:1" && !e.gone {
				s.lose(e)
			}
		}
		s.flush()
		s.until(s.now + 2*time.Second)
		if none != (len(a.subs) == 1 && s.r.tally.ends[7] == 1) && none {
			t.Fatalf("not sent once more: %d, %v", len(a.subs), s.r.tally.ends)
		}
		if !none && s.r.tally.ends[7] > 0 {
			t.Fatal("what was written passes for never sent")
		}
	}
}

func TestPollsTakeTurns(t *testing.T) {
	s := newStage(t, 2, 32, nil) // a pool of few
	c := s.connect()
	var all []*asked
	for i := range 16 {
		all = append(all, s.query(c, "load", "k"+strconv.Itoa(i), 20*time.Second, i))
	}
	s.until(s.now + 6*time.Second)
	for _, a := range all {
		if len(a.subs) == 0 {
			t.Fatal("not sent: ", a.id)
		}
		for _, x := range a.subs {
			if x.over && x.rests {
				t.Fatal("it went unasked for: ", a.id)
			}
		}
	}
	if s.r.tally.waited == 0 {
		t.Fatal("there was no shortage")
	}
}

func TestFeedThatSkips(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	m := s.all()[0]
	s.until(s.now + 10*time.Millisecond)
	m.state = "DRAINING"
	first := s.feed
	s.events++ // lost on its way
	s.tell(m.entry(0))
	if !first.gone || s.r.feed.last != 1 {
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

func TestKeysKeepTheirNumbers(t *testing.T) {
	k := newKeyring()
	a, b := k.take("a"), k.take("b")
	k.release(a, 10)
	k.sweep(10)
	if k.take("a") != a || a.number == b.number || a.number < 0 {
		t.Fatal("a key that has not rested lost its number")
	}
	k.release(a, 20)
	k.sweep(21)
	if c := k.take("c"); c.number != a.number || len(k.byName) != 2 {
		t.Fatal("a key at rest keeps its number")
	}
}

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

func TestTermsGoWithWhatIsOut(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	a := s.query(s.connect(), "load", "k", 20*time.Second, 1)
	s.one("POST", a.id)
	if q := s.r.queries[a.id]; q.grantMB != 6553 || q.priority < 1 ||
		!strings.Contains(strings.Join(s.log, "\n"), fmt.Sprintf(`Pool-Mb: 6553\r\nPool-Rank: %d\r\n`, q.priority)) {
		t.Fatal(s.log)
	}
	s.until(s.now + 1500*time.Millisecond)
	if h := s.one("PUT", a.id); h.body != "0" { // its target runtime has passed
		t.Fatalf("%q", h.body)
	}
}

func TestProbesThatComeToNothing(t *testing.T) {
	s := newStage(t, 2, 256, nil)
	c := s.connect()
	s.all()[0].silent, s.all()[1].silent = true, true
	a := s.query(c, "lookup", "", 3*time.Second, 1)
	s.until(s.now + 20*time.Millisecond)
	if s.r.tally.probes == 0 || s.r.tally.submissions > 0 {
		t.Fatal("not looked at first: ", s.r.tally.text(s.r))
	}
	s.until(s.now + 4*time.Second)
	if len(a.subs) > 0 || a.answer != "deferred" || s.r.tally.ends[0] > 0 {
		t.Fatalf("%q after %d", a.answer, len(a.subs))
	}
}

func TestIdleLinesCloseBeforeTheirEngineDoes(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	a := s.query(s.connect(), "lookup", "", 3*time.Second, 1)
	s.reply(s.one("POST", a.id), "ok")
	s.until(s.now + 100*time.Millisecond)
	if s.r.pool.links == 0 {
		t.Fatal("none is kept for the next call")
	}
	s.until(s.now + 14*time.Second)
	if s.r.pool.links > 0 {
		t.Fatal("kept for as long as the engine keeps it")
	}
}

func TestStatementsInHandAreBounded(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	c := s.connect()
	s.query(c, "lookup", "", 3*time.Second, 1)
	s.r.inHandMost = s.r.inHand + 10
	for range faultsMost + 5 { // more than may be wrong on a connection: none of these is
		if a := s.query(c, "lookup", "", 3*time.Second, 1); a.answer != "deferred" {
			t.Fatalf("%q", a.answer)
		}
	}
	if c.gone {
		t.Fatal("the connection was ended, with a query open on it")
	}
	s.until(s.now + 4*time.Second)
	if s.r.inHand != 0 {
		t.Fatal("it forgets to forget: ", s.r.inHand)
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
	for range s.r.clientsMost + 5 {
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
	s.until(s.now + idleMost)
	if !rested.gone || good.gone || a.left {
		t.Fatal("idle for good, and kept")
	}
}

func TestThoseWhoAskedOnceAndStayMakeWay(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	var stay []*end
	for range s.r.clientsMost {
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
	if s.r.tally.submissions > 0 || s.r.tally.taken != 30 || len(s.r.queries) > 0 || c.gone {
		t.Fatal("what was taken back at once went out: ", s.r.tally.text(s.r))
	}
	s.until(s.now + time.Second)
	p = nil
	for i := range 3 * openMost { // without a trace
		call(i, "\x81\xa8patience\xa41000")
	}
	if s.read(c, p); !c.gone || s.r.tally.malformed != faultsMost+1 {
		t.Fatal("calls that can't be used go on for ever: ", s.r.tally.malformed)
	}
	c, p = s.connect(), nil
	for i := range 2 * openMost {
		call(i, fmt.Sprintf("\x82\xa5trace\xb0%016x\xa8patience\xa41000", i+1))
	}
	if s.read(c, p); !c.gone || s.r.tally.taken != 30+openMost || s.r.tally.submissions > 0 {
		t.Fatal("more open than may be: ", s.r.tally.text(s.r))
	}
	c, p = s.connect(), nil
	for range heardMost + 10 {
		p = append(p, "\x94\x00\x01\xa5alive\x91\x80"...)
	}
	if s.read(c, p); !c.gone || s.r.tally.alive > heardMost+1 {
		t.Fatal("it may talk without end: ", s.r.tally.alive)
	}
}

func TestUnreadMessagesAreBoundedInSum(t *testing.T) {
	s := newStage(t, 1, 1024, nil)
	s.r.bufferedMost = 1 << 20
	half := append([]byte("\x94\x00\x01\xa6lookup\x92\x80\xc5\xff\xff"), make([]byte, 60000)...)
	for range 40 {
		s.read(s.connect(), half)
		if s.r.buffered > s.r.bufferedMost+1<<17 {
			t.Fatal(s.r.buffered)
		}
	}
	if s.r.tally.turnedOff == 0 {
		t.Fatal("there was no shortage")
	}
	s.until(s.now + 3*time.Second)
	if s.r.buffered > 4<<10 { // the feed's
		t.Fatal("it forgets to forget: ", s.r.buffered)
	}
}

func TestTheEndComesWhateverClientsDo(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	s.connect()
	c := s.connect()
	s.step(Event{Kind: Stop})
	early := s.query(c, "load", "k", 3*time.Second, 1)
	s.until(s.now + stopGrace + 10*time.Millisecond)
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
	s.step(Event{Kind: Stop})
	s.until(s.now + 600*time.Millisecond)
	if in := s.query(c, "report", "", 20*time.Second, 1); in.answer != "" || s.one("POST", in.id) == nil {
		t.Fatalf("%q while queries may still come", in.answer)
	}
	s.until(s.now + 101*time.Millisecond)
	if late := s.query(c, "report", "", 20*time.Second, 2); late.answer != "deferred" {
		t.Fatalf("%q at 0.7 s, and it may be open when the end comes", late.answer)
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
		dials := s.r.tally.feedDials
		if s.until(down + 5*time.Second); s.r.tally.feedDials-dials > 10 {
			t.Fatalf("%d calls for a list that nobody counts on yet", s.r.tally.feedDials-dials)
		}
		s.until(down + 7*time.Second + time.Duration(late)*90*time.Millisecond)
		s.feedUp = true
		for back := s.now; s.r.feed.had <= down; s.until(s.now + 10*time.Millisecond) {
			if s.now > back+500*time.Millisecond {
				t.Fatalf("back at %v and not heard by %v", back-down, s.now-down)
			}
		}
	}
}

func TestASpoiltAnswerIsAskedForAgain(t *testing.T) {
	for _, how := range []string{"garbled", "cut", "short", "lost", "twice"} {
		s := newStage(t, 1, 256, nil)
		c := s.connect()
		a := s.query(c, "load", "k", 20*time.Second, 1)
		s.reply(s.one("POST", a.id), "runs")
		h := s.one("GET", a.id)
		s.good(h.s)
		s.reply(h, how)
		s.until(s.now + answerMost + 100*time.Millisecond)
		if a.answer != "finished" || len(a.subs) != 1 || s.r.tally.ends[0] != 1 {
			t.Fatalf("%s: %q, %s", how, a.answer, s.r.tally.text(s.r))
		}
	}
}

func TestASecondCopyAnswersNobodyElse(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	c := s.connect()
	a := s.query(c, "lookup", "", 5*time.Second, 1)
	h := s.one("POST", a.id)
	s.good(h.s)
	h.s.pages = 1
	s.reply(h, "ok")
	b := s.query(c, "lookup", "", 5*time.Second, 1) // in the same moment
	if s.one("POST", b.id).e == h.e {
		t.Fatal("on the line whose answer may have a second copy behind it")
	}
	s.read(h.e, []byte("HTTP/1.1 200 x\r\nChunks: 1\r\nContent-Length: 0\r\n\r\n"))
	if !h.e.gone || a.answer != "finished" || b.answer != "" {
		t.Fatalf("%v %q %q", h.e.gone, a.answer, b.answer)
	}
}

func TestANewEngineAtAnOldAddress(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	old := s.all()[0]
	a := s.query(s.connect(), "lookup", "", 5*time.Second, 1)
	s.reply(s.one("POST", a.id), "runs")
	s.one("GET", a.id)
	s.restart(old, false)
	next := &mill{id: "next", address: old.address, state: "SERVING", runs: map[string]*sub{}}
	s.mills[old.address] = next
	s.tell(next.entry(0))
	s.until(s.now + 300*time.Millisecond)
	if len(a.subs) != 2 || a.subs[1].m != next {
		t.Fatal("not sent to the new one: ", len(a.subs))
	}
	for _, l := range s.log {
		if strings.Contains(l, "DELETE") {
			t.Fatal("the new one was told to end what the old one had: ", l)
		}
	}
	if s.r.engines["e0"].address != "" {
		t.Fatal("the old one is thought to be there still")
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
	s.until(s.now + s.r.longest + time.Second)
	if s.r.engines["e0"] != nil || s.r.engines["e1"] == nil {
		t.Fatal("it stays for good")
	}
}

func TestNothingGrowsOverLongDays(t *testing.T) {
	s := newStage(t, 0, 256, map[string]string{"group.0.timeout": "5000", "group.1.timeout": "5000", "group.2.timeout": "5000"})
	s.until(s.now + 10*time.Millisecond)
	sizes := func() [6]int {
		return [6]int{len(s.r.engines), len(s.r.queries), len(s.r.keys.byName), len(s.r.clients), s.r.inHand, s.r.gate.Known()}
	}
	var early [6]int
	for i := range 1500 { // each engine serves a few, then another takes its place and its address
		m := &mill{id: "n" + strconv.Itoa(i), address: "10.0.1." + strconv.Itoa(i%3) + ":1", state: "SERVING", runs: map[string]*sub{}}
		if old := s.mills[m.address]; old != nil {
			s.restart(old, false)
			old.state = "DELETED"
			s.tell(old.entry(0))
		}
		s.mills[m.address] = m
		s.tell(m.entry(0))
		c := s.connect()
		a := s.query(c, "load", "k"+strconv.Itoa(i), 5*time.Second, i)
		b := s.query(c, "lookup", "", 5*time.Second, i)
		s.until(s.now + 20*time.Millisecond)
		for _, h := range slices.Clone(s.held) {
			if h.id == a.id || h.id == b.id {
				s.reply(h, "ok")
			}
		}
		s.until(s.now + 80*time.Millisecond)
		s.leave(a)
		s.leave(b)
		if s.asked = s.asked[len(s.asked)-2:]; i%10 == 0 {
			s.drop(c)
		}
		if s.ends = slices.DeleteFunc(s.ends, func(e *end) bool { return e.gone }); i == 500 {
			early = sizes()
		}
	}
	late := sizes()
	for i := range late {
		if late[i] > early[i]*5/4+8 {
			t.Fatalf("grows: %v, then %v", early, late)
		}
	}
	if s.r.tally.finished < 1000 {
		t.Fatal("finished only ", s.r.tally.finished)
	}
}

func TestAFaultCostsOneConnection(t *testing.T) {
	if must.Debug {
		t.Skip("a debug build stops at once")
	}
	s := newStage(t, 1, 256, nil)
	c, other := s.connect(), s.connect()
	c.link.got = func() { panic("of ours") }
	s.read(c, []byte{0x94})
	if !c.gone || other.gone || !strings.Contains(strings.Join(s.said, ""), "of ours") {
		t.Fatal(s.said)
	}
	a := s.query(other, "lookup", "", 5*time.Second, 1)
	s.reply(s.one("POST", a.id), "ok")
	s.until(s.now + 400*time.Millisecond)
	if a.answer != "finished" {
		t.Fatal("the others were not served: ", a.answer)
	}
}

func TestDueTimesLeaveWithWhatTheyAreFor(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	s.until(s.now + 10*time.Millisecond)
	before := s.r.due.Len() + s.r.gate.Known()
	c := s.connect()
	for range 200 { // asked and taken back, each with a long queue timeout
		a := s.query(c, "lookup", "", 30*time.Second, 1)
		s.until(s.now + 10*time.Millisecond)
		s.leave(a)
		if c.msgs > 100 {
			c = s.connect()
		}
	}
	s.until(s.now + 3*time.Second)
	if after := s.r.due.Len() + s.r.gate.Known(); after > before+30 {
		t.Fatalf("%d, then %d", before, after)
	}
}

// A call that starts a query may have come whole to a machine that has not taken
// it up: asked on another connection the engine doesn't know it, which is no end.
// On split+mass the next of its key went out 300 ms after such an error, while
// the first was still to be run.
func TestWhatIsNotKnownYetIsNotOver(t *testing.T) {
	for _, lose := range []string{"reset", "mute"} {
		s := newStage(t, 1, 96, nil)
		c := s.connect()
		a := s.query(c, "load", "k", 9*time.Second, 0)
		s.query(c, "load", "k", 9*time.Second, 1)
		s.until(s.now + 5*time.Millisecond)
		h := s.one("POST", a.id)
		h.s.untaken = true
		if lose == "reset" {
			s.reply(h, "lost")
		} else {
			s.held = nil // nothing is ever heard of it
		}
		if s.until(s.now + 500*time.Millisecond); lose == "mute" && !h.e.aborted {
			t.Fatal("what starts it may still arrive once the link heals")
		}
		if s.until(s.now + 4*time.Second); a.answer != "killed" { // posted checks the order
			t.Fatalf("%s: the first: %q", lose, a.answer)
		}
		if len(s.asked[1].subs) == 0 || !a.subs[0].over {
			t.Fatalf("%s: the second has to follow once the first was given up", lose)
		}
	}
}

// Each look dialled twice, once for itself and once for what it let go there: three
// hundred controllers made a connection a query. A copy of the look's answer that
// comes late fits no other call, and costs no more than asking once more.
func TestAfterALookItsLineCarriesTheQuery(t *testing.T) {
	s := newStage(t, 1, 256, nil)
	a := s.query(s.connect(), "lookup", "", 5*time.Second, 1)
	h := s.one("POST", a.id)
	if s.r.tally.probes != 1 || s.r.tally.dials != 1 {
		t.Fatalf("%d looks, %d connections", s.r.tally.probes, s.r.tally.dials)
	}
	s.held = nil // answered behind the copy, on a line that is then gone
	s.read(h.e, []byte("HTTP/1.1 200 x\r\nX-Load: inflight:3;util:0.5\r\nContent-Length: 0\r\n\r\n"))
	if !h.e.gone || a.answer != "" {
		t.Fatalf("%v %q", h.e.gone, a.answer)
	}
	s.good(h.s)
	if s.until(s.now + 500*time.Millisecond); a.answer != "finished" || len(a.subs) != 1 {
		t.Fatalf("%q after %d", a.answer, len(a.subs))
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
	if n := len(s.r.engines); n != 20_001 || s.r.tally.feedFaults > 0 {
		t.Fatalf("%d engines, %d faults", n, s.r.tally.feedFaults)
	}
	s.tell(`{"id":"big7","phase":"WHATEVER"},{"phase":"SERVING"},{"id":"big8","host_port":"10.1.0.9:6565","phase":"DELETED"}`)
	if s.r.tally.odd != 2 || s.r.feed.last != s.events || s.r.engines["big8"].state != decide.Gone {
		t.Fatalf("%d odd, event %d of %d", s.r.tally.odd, s.r.feed.last, s.events)
	}
}

// What was written into a cut must not arrive when it heals: its key has gone on.
func TestNothingArrivesOnceACutHeals(t *testing.T) {
	s := newStage(t, 2, 96, map[string]string{"may.probe": "false"})
	c := s.connect()
	for range 8 { // so that there are lines to both
		s.until(s.now + 20*time.Millisecond)
		s.query(c, "lookup", "", 2*time.Second, 3)
	}
	s.until(s.now + 3*time.Second)
	for _, m := range s.all() {
		m.cut = true
	}
	first := s.query(c, "load", "k", 20*time.Second, 1)
	s.until(s.now + 60*time.Millisecond)
	var at *mill
	for _, m := range s.all() {
		if slices.ContainsFunc(m.lying, func(h *held) bool { return strings.Contains(h.head, first.id) }) {
			at = m
		}
	}
	if at == nil {
		// it was written before the cut: nothing of it lies there, and the test proves nothing
		t.Fatal("the call is not on its way")
	}
	next := s.query(c, "load", "k", 20*time.Second, 2)
	for _, m := range s.all() {
		if m != at {
			s.heal(m)
		}
	}
	s.until(s.now + 8*time.Second)
	if first.answer != "killed" || len(next.subs) != 1 {
		t.Fatalf("%q, the next was sent %d times", first.answer, len(next.subs))
	}
	s.heal(at) // posted judges what arrives
	s.until(s.now + time.Second)
}

// A call may name the customer whose share it counts to, and estimates; the names stand in
// the settings, and what can't be meant is taken as not told.
func TestACallTellsItsCustomerAndEstimates(t *testing.T) {
	s := newStage(t, 1, 64, map[string]string{"teams": "2", "team.0.name": "upper", "team.0.quota": "9", "team.1.name": "lower",
		"team.1.quota": "9", "over.worth": "0.1"})
	s.r.Words = Words{Whose: "customer", Work: "weight", Need: "ram"}
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
		q := s.r.queries[s.query(c, "report", "", 5*time.Second, 1, x.more...).id]
		if q == nil || q.customer != x.customer || q.work != x.work || q.need != x.need {
			t.Errorf("%v: %+v", x.more, q)
		}
	}
}

// The controller itself stands still while its call lies behind a cut that heals: by its
// clock the engine has long dropped the query, which in truth has only just come there.
func TestAStallOfOursEndsNothing(t *testing.T) {
	s := newStage(t, 1, 96, map[string]string{"may.probe": "false"})
	c := s.connect()
	s.query(c, "lookup", "", 2*time.Second, 3) // so that there is a line
	s.until(s.now + 3*time.Second)
	m := s.all()[0]
	m.cut = true
	first := s.query(c, "load", "k", 20*time.Second, 1)
	next := s.query(c, "load", "k", 20*time.Second, 2)
	if s.until(s.now + 60*time.Millisecond); len(m.lying) == 0 {
		t.Fatal("the call is not on its way")
	}
	s.now += 3 * time.Second
	s.heal(m)
	s.step(Event{Kind: Woken})
	s.until(s.now + time.Second) // posted checks the order
	if len(first.subs) != 1 || len(next.subs) > 0 {
		t.Fatalf("the first came %d times, the next %d", len(first.subs), len(next.subs))
	}
	s.reply(s.one("GET", first.id), "ok")
	if s.until(s.now + 100*time.Millisecond); first.answer != "finished" || len(next.subs) != 1 {
		t.Fatalf("the first: %q, the next came %d times", first.answer, len(next.subs))
	}
}

// A client that asked in time is not to blame where we stood still and didn't read: its
// connection was ended as one that begins nothing.
func TestAStallOfOursIsNoClientsFault(t *testing.T) {
	s := newStage(t, 1, 96, nil)
	c := s.connect()
	s.until(s.now + 100*time.Millisecond)
	s.now += 2500 * time.Millisecond
	s.step(Event{Kind: Woken})
	if a := s.query(c, "lookup", "", 5*time.Second, 1); c.gone || s.one("POST", a.id) == nil {
		t.Fatal("ended though it asked in time")
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
	first := s.r.feed.link
	twice()
	if s.r.feed.link == first {
		t.Fatal("not asked for once more")
	}
	m := s.all()[0]
	m.state = "DRAINING"
	s.tell(m.entry(0)) // the one after it
	if s.r.feed.last != 3 || s.r.engines[m.id].state != decide.Draining || s.r.tally.feedFaults != 1 {
		t.Fatalf("event %d, %d faults", s.r.feed.last, s.r.tally.feedFaults)
	}
	twice()
	if s.tell(""); s.r.feed.last != 4 || s.r.tally.feedFaults != 2 {
		t.Fatalf("event %d, %d faults", s.r.feed.last, s.r.tally.feedFaults)
	}
	m.state = "SERVING" // a start that no clock knows
	s.tell(strings.Replace(m.entry(0), `"up_since_ms":0`, `"up_since_ms":1e300`, 1))
	if s.r.engines[m.id].state != decide.On || s.r.tally.odd != 1 {
		t.Fatalf("%v, %d odd", s.r.engines[m.id].state, s.r.tally.odd)
	}
}

package controller

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

const waits = 250 * time.Millisecond

// stage is what stands round a Relay: its runner, clients, engines and clock.
// It checks the rules at what is written, and lets choices say what happens.
type stage struct {
	t       interface{ Fatalf(string, ...any) }
	r       *Controller
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
	link                    *Connection
	address                 string
	client                  bool
	dialAt                  time.Duration
	up, shut, gone, ignores bool
	aborted                 bool
	in                      []byte
	msgs                    int
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

func newStage(t interface{ Fatalf(string, ...any) }, engines, sockets int, more map[string]string, with ...func(*Config)) *stage {
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
	means := Config{Seed: 7, MemoryMB: 64, Sockets: sockets, DiscoveryAddress: "feed", Settings: plainFacts(more),
		KnownEngines: []byte(`{"n":1,"events":[{"n":1,"members":{"complete":true,"members":[` + strings.Join(members, ",") + `]}}]}`)}
	for _, change := range with {
		change(&means)
	}
	s.r, effects = New(means)
	s.perform(effects)
	s.flush()
	return s
}

// all lists the mills in an order of their own.
func (s *stage) all() []*mill {
	return slices.SortedFunc(maps.Values(s.mills), func(a, b *mill) int { return strings.Compare(a.address, b.address) })
}

func (s *stage) step(ev Event) {
	ev.Backlogged = s.early
	s.perform(s.r.Step(s.now, ev))
	s.flush()
}

func (s *stage) flush() {
	for len(s.back) > 0 {
		ev := s.back[0]
		s.back = s.back[1:]
		ev.Backlogged = s.early
		s.perform(s.r.Step(s.now, ev))
	}
}

func (s *stage) end(l *Connection) *end {
	for _, e := range s.ends {
		if e.link == l {
			return e
		}
	}
	return nil
}

func (s *stage) perform(effects []Effect) {
	for _, f := range effects {
		e := s.end(f.Connection)
		switch f.Kind {
		case Dial:
			e = &end{n: len(s.ends), link: f.Connection, address: f.Address, dialAt: s.now}
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
			if !f.Permit.Holds(s.now+s.stopped) || f.PolicyVersion != 0 && !s.mayGo(f) {
				s.back = append(s.back, Event{Kind: WriteBarred, Connection: f.Connection})
				s.lose(e)
				break
			}
			s.back = append(s.back, Event{Kind: BytesWritten, Connection: f.Connection, ByteCount: len(f.Bytes)})
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
				s.back = append(s.back, Event{Kind: ConnectTimedOut, Connection: e.link})
			}
		case SetTimer:
			s.wake = s.now + f.Timeout
		case LogMessage, LogCounters:
			s.said = append(s.said, f.Text)
		case ReportToFleet:
			if s.full {
				s.back = append(s.back, Event{Kind: FleetReportRejected, Report: f.Report})
			} else {
				s.reports = append(s.reports, *f.Report)
			}
		case Exit:
			s.quit = true
		}
	}
}

// lose ends a link, whoever ended it.
func (s *stage) lose(e *end) {
	if !e.gone {
		e.gone = true
		s.held = slices.DeleteFunc(s.held, func(h *held) bool { return h.e == e })
		s.back = append(s.back, Event{Kind: ConnectionClosed, Connection: e.link})
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
			soonest(s.wake, func() { s.wake = -1; s.step(Event{Kind: TimerFired}) })
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
	up := func() { e.up = true; s.step(Event{Kind: Connected, Connection: e.link}) }
	fail := func(kind EventKind) func() {
		return func() { e.gone = true; s.step(Event{Kind: kind, Connection: e.link}) }
	}
	switch {
	case m == nil && s.feedUp:
		soonest(e.dialAt+time.Millisecond, func() { up(); s.tell("") })
	case m == nil || m.silent || m.cut:
		soonest(e.dialAt+waits, fail(ConnectTimedOut))
	case m.dead:
		soonest(e.dialAt+time.Millisecond, fail(ConnectRefused))
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
	s.step(Event{Kind: ShutdownRequested})
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
			if c.gone || c.msgs > 100 || s.open(c) == maxOpenQueries {
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

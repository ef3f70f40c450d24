package lab

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/check"
	"railrelay.dev/railrelay/internal/due"
	"railrelay.dev/railrelay/internal/relay"
	"railrelay.dev/railrelay/internal/standin/caller"
	"railrelay.dev/railrelay/internal/standin/engine"
	"railrelay.dev/railrelay/internal/standin/feed"
	"railrelay.dev/railrelay/internal/standin/world"
)

// Ill is something that befalls a fleet.
type Ill struct {
	Kind        string // cut, stall, sluggish, crash, vanish, replace, drain, storm, takenover
	At, For     time.Duration
	Engine      int
	Controllers []int // cut: those behind it; stall: those that stand still
}

func (i Ill) String() string {
	return fmt.Sprintf("%s at %v for %v, engine %d, controllers %v", i.Kind, i.At, i.For, i.Engine, i.Controllers)
}

// FleetDay is a fleet of controllers that share nothing, its engines, what is asked of it
// and what befalls it. The same day plays the same way.
type FleetDay struct {
	Seed                 uint64
	Controllers, Engines int
	Facts                map[string]string
	Load                 float64       // of what all engines can do
	Long                 time.Duration // of the load; it is played until all is over
	Calls                float64       // the part of calls that something befalls on their way
	Lag                  time.Duration // the most by which the list comes late
	Ills                 []Ill
	Traced               bool
}

// DrawFleet draws a day.
func DrawFleet(seed uint64) FleetDay {
	rng := rand.New(rand.NewPCG(seed, 21))
	pick := func(l ...string) string { return l[rng.IntN(len(l))] }
	d := FleetDay{Seed: seed, Controllers: 2 + rng.IntN(5), Engines: 2 + rng.IntN(6), Load: 0.2 + 0.5*rng.Float64(),
		Long: 8 * time.Second, Calls: 0.02 * rng.Float64(), Lag: time.Duration(rng.IntN(3000)) * time.Millisecond}
	d.Facts = map[string]string{"may.cancel": pick("true", "true", "false"), "may.copy": pick("true", "false"), "may.probe": pick("true", "true", "false"),
		"may.name-return": pick("true", "false"), "report.how": pick("probed", "probed", "off"), "locations": pick("here", "here,there"),
		"submissions.most": pick("1", "2", "3"), "group.1.effect": pick("read-only", "tokened"), "group.1.scope": pick("all", "location"),
		"group.2.in-order": pick("true", "true", "true", "false"), "may.grant": pick("true", "false"), "memory.short": pick("swap", "queue"),
		"key.rest": pick("0", "300", "800")}
	if rng.IntN(3) == 0 && d.Facts["locations"] == "here,there" {
		d.Facts["group.0.locations"] = "here"
	}
	for range 3 + rng.IntN(8) {
		i := Ill{Kind: pick("cut", "cut", "cut", "stall", "stall", "sluggish", "sluggish", "crash", "vanish", "replace", "takenover", "drain", "storm"),
			At: time.Duration(500+rng.IntN(7000)) * time.Millisecond, For: time.Duration(50+rng.IntN(4000)) * time.Millisecond,
			Engine: rng.IntN(d.Engines)}
		for c := range d.Controllers {
			if rng.IntN(2) == 0 && (i.Kind != "stall" || len(i.Controllers) < max(1, d.Controllers/3)) {
				i.Controllers = append(i.Controllers, c)
			}
		}
		d.Ills = append(d.Ills, i)
	}
	return d
}

// FleetPlayed is what came of a day.
type FleetPlayed struct {
	Broken             []string
	Ordered            int // runs that a later query of their key was held against
	Late               int // calls taken up after their line was gone
	Asked, Served      int
	ColdWorst          float64  // the most that a cold engine was sent, of what the rule lets it be sent
	ColdOver           int      // how often that was over 1
	ColdWork, ColdAble float64  // core seconds sent to cold ones, and what they could do meanwhile
	Trace              []string // the last of what happened
	Took               map[string]int
	Arrivals           time.Duration // what controllers took for queries as they came
}

type fleetRun struct {
	FleetDay
	now     time.Duration
	rng     *rand.Rand
	events  due.Times
	all     []*fleetController
	engines []*fleetEngine
	byAddr  map[string]*fleetEngine
	log     feed.Log
	told    []fleetTold
	out     FleetPlayed
	facts   map[string]string
	quiet   bool
	byID    map[string]*fleetController
}

// fleetTold is an event of the list.
type fleetTold struct {
	e  *fleetEngine
	on bool
	up int64
}

type fleetController struct {
	*fleetRun
	n       int
	r       *relay.Relay
	history check.History
	ends    map[*relay.Link]*fleetEnd
	stalled time.Duration
	waiting []func() // what came while it stood still
	woken   int
	feed    *fleetEnd
	fed     int
	client  *fleetEnd
	in      []byte
	open    map[uint32]*world.Asked
	ways    []*fleetWay
}

// fleetWay is the network between a controller and an engine's place. What is written into
// a cut lies there until it heals, or its line is aborted.
type fleetWay struct {
	cut   int
	lying []func()
	delay time.Duration
}

type fleetEngine struct {
	*engine.Server
	feed.Engine
	f        *fleetRun
	place    int
	down     bool
	dead     bool // for good: another has its place
	sluggish time.Duration
	untaken  map[string]*bool // calls that came whole and were not taken up yet
	wakeAt   time.Duration
	cold     time.Duration // since when, -1: it is warm from the start
	toldTo   map[int]bool  // controllers that were told of this start
	sent     []fleetSent
}

type fleetSent struct {
	at   time.Duration
	work float64
	told bool
}

type fleetEnd struct {
	link     *relay.Link
	e        *fleetEngine
	way      *fleetWay
	conn     *engine.Conn
	gone     bool // for the controller
	aborted  bool
	mute     bool // the next answer is lost
	feed, up bool
	client   bool
}

// The rule's budget of a cold engine has "a little slack for chance"; it isn't told how much.
const coldSlack = 0.15

// The clock of the list's times at the start of a day.
const fleetEpoch = 1_700_000_000_000

// Play plays a day to its end.
func (d FleetDay) Play() *FleetPlayed {
	f := &fleetRun{FleetDay: d, rng: rand.New(rand.NewPCG(d.Seed, 22)), byAddr: map[string]*fleetEngine{}, byID: map[string]*fleetController{}}
	f.out.Took = map[string]int{}
	kinds := Usual()
	figures := engine.Usual()
	figures.Disks = 16
	f.facts = Facts(kinds, figures)
	f.facts["gateways"] = strconv.Itoa(d.Controllers)
	for k, v := range d.Facts {
		f.facts[k] = v
	}
	for i := range d.Engines {
		f.add(i, false)
	}
	var list []feed.Engine
	for _, e := range f.engines {
		list = append(list, e.Engine)
		f.told = append(f.told, fleetTold{}) // the whole list is one event; those of one engine follow
	}
	f.told = f.told[:1]
	f.log.Tell(true, list...)
	for n := range d.Controllers {
		f.start(n)
	}
	mean := 0.0
	for _, k := range kinds {
		mean += k.Share * k.CPU.Seconds()
	}
	rate := d.Load * float64(d.Engines) * figures.Cores / mean / float64(d.Controllers)
	for _, c := range f.all {
		c.asks(kinds, rate)
	}
	for _, ill := range d.Ills {
		f.at(ill.At, func() { f.befalls(ill) })
	}
	f.until(d.Long + 40*time.Second)
	for _, c := range f.all {
		if len(c.waiting) == 0 {
			c.history.Done(f.now)
		}
		f.out.Broken = append(f.out.Broken, c.history.Faults...)
		f.out.Ordered += c.history.Ordered
		f.out.Served += c.history.Answers[check.Finished]
	}
	f.coldUse()
	return &f.out
}

// say keeps the last of what happened, up to where a rule was first broken.
func (f *fleetRun) say(format string, more ...any) {
	if !f.Traced || f.quiet {
		return
	}
	f.out.Trace = append(f.out.Trace, f.now.String()+" "+fmt.Sprintf(format, more...))
	f.quiet = slices.ContainsFunc(f.all, func(c *fleetController) bool { return len(c.history.Faults) > 0 })
	if !f.quiet && len(f.out.Trace) > 4000 {
		f.out.Trace = append([]string{}, f.out.Trace[2000:]...)
	}
}

func (f *fleetRun) at(at time.Duration, do func())      { f.events.Add(max(at, f.now), do) }
func (f *fleetRun) after(span time.Duration, do func()) { f.at(f.now+span, do) }

func (f *fleetRun) until(end time.Duration) {
	for at, ok := f.events.First(); ok && at <= end; at, ok = f.events.First() {
		f.now = at
		do, _ := f.events.Next(at)
		do()
	}
	f.now = end
}

func (f *fleetRun) add(place int, cold bool) *fleetEngine {
	figures := engine.Usual()
	figures.Disks = 16
	e := &fleetEngine{Server: engine.NewServer(engine.NewModel(figures, f.now, cold)), f: f, place: place, wakeAt: -1, cold: -1,
		untaken: map[string]*bool{}, toldTo: map[int]bool{}}
	at := strings.Split(f.facts["locations"], ",")
	e.Engine = feed.Engine{ID: fmt.Sprintf("e%d", len(f.engines)), HostPort: fmt.Sprintf("10.0.%d.%d:6565", place/200, place%200+1),
		Locality: at[place%len(at)], Flavor: "std", Cell: place, Phase: "SERVING", Size: 1}
	if cold {
		e.cold, e.Up = f.now, fleetEpoch+f.now.Milliseconds()
	}
	e.Posted = func(id, _ string, _ int, at time.Duration) {
		f.say("%s begins at %s", id, e.ID)
		if c := f.byID[id]; c != nil {
			c.history.Began(at, id, e.ID)
			if a := c.asked(id); a != nil && f.facts["group.0.locations"] != "" && a.Group == "lookup" && e.Locality != "here" {
				c.history.Broken(at, "rule 6: "+id+" at "+e.Locality)
			}
		}
	}
	e.Ended = func(id string, as engine.Outcome, at time.Duration) {
		f.say("%s ended at %s: %d", id, e.ID, as)
		if c := f.byID[id]; c != nil {
			c.history.Ended(at, id, e.ID, as == engine.Good)
		}
	}
	f.engines = append(f.engines, e)
	f.byAddr[e.HostPort] = e
	return e
}

func (c *fleetController) asked(id string) *world.Asked {
	for _, a := range c.open {
		if a.ID == id {
			return a
		}
	}
	return nil
}

func (f *fleetRun) start(n int) {
	c := &fleetController{fleetRun: f, n: n, ends: map[*relay.Link]*fleetEnd{}, open: map[uint32]*world.Asked{}, stalled: -1, fed: f.log.Last()}
	facts := map[string]string{}
	for k, v := range f.facts {
		facts[k] = v
	}
	facts["own.number"] = strconv.Itoa(n)
	ms := func(name string) time.Duration { return time.Duration(number(facts[name])) * time.Millisecond }
	c.history = check.History{KeyRest: ms("key.rest"), Rests: true, Grace: ms("drain.grace"), Most: int(number(facts["submissions.most"])),
		Alone: facts["may.copy"] != "true"}
	for i := range int(number(facts["groups"])) {
		at := fmt.Sprintf("group.%d.", i)
		c.history.Group(facts[at+"name"], facts[at+"effect"], facts[at+"in-order"] == "true")
	}
	for range f.Engines {
		c.ways = append(c.ways, &fleetWay{delay: time.Duration(100+f.rng.IntN(2000)) * time.Microsecond})
	}
	f.all = append(f.all, c)
	r, effects := relay.New(relay.Means{Seed: f.rng.Uint64(), MemoryMB: 256, Sockets: 512, Feed: "feed", Known: f.log.Known(), Facts: facts,
		Started: time.UnixMilli(fleetEpoch), Manners: []relay.Manners{{From: Homes, Open: 100_000, Messages: 100_000, Idle: time.Minute}}})
	c.r = r
	c.perform(effects)
}

// connects has the clients' connection stand: one that says nothing is ended.
func (c *fleetController) connects() {
	if c.client == nil || c.client.gone {
		c.client = &fleetEnd{link: &relay.Link{From: Home}, client: true}
		c.ends[c.client.link] = c.client
		end := c.client
		c.deliver(func() { c.step(relay.Event{Kind: relay.Accepted, Link: end.link}) })
	}
}

func number(text string) float64 {
	x, _ := strconv.ParseFloat(text, 64)
	return x
}

// asks has clients ask at a rate. Queries of one key come 60 ms apart at the least.
func (c *fleetController) asks(kinds []Kind, rate float64) {
	var next func()
	msg := uint32(0)
	last := map[string]time.Duration{}
	next = func() {
		if c.now >= c.Long {
			return
		}
		x, k := c.rng.Float64(), kinds[0]
		for _, one := range kinds {
			if k = one; x < one.Share {
				break
			}
			x -= one.Share
		}
		msg++
		id := fmt.Sprintf("%04x%012x", c.n, msg)
		work := engine.Work{Threads: k.Threads, MemoryMB: k.MemoryMB, Tables: int64(c.rng.IntN(20)), Load: k.Load, Rows: k.Rows}
		work.CPU = time.Duration(float64(k.CPU) * math.Exp(c.rng.NormFloat64()*k.Spread-k.Spread*k.Spread/2))
		work.Disk = time.Duration(float64(work.CPU) / k.Threads * k.Disk)
		patience := k.Patience/2 + time.Duration(c.rng.Int64N(int64(k.Patience/2)))
		fields := []string{"trace", id, "patience", fmt.Sprint(patience.Milliseconds())}
		key, at := "", c.now
		if k.Load {
			key = fmt.Sprintf("k%d", c.rng.IntN(4))
			fields = append(fields, "entity", key)
			at = max(c.now, last[key]+60*time.Millisecond)
			last[key] = at
		}
		m := msg
		c.fleetRun.at(at, func() {
			a := &world.Asked{ID: id, Group: k.Name, Msg: m, At: c.now, Until: c.now + patience, Work: work}
			c.open[m], c.byID[id] = a, c
			c.out.Asked++
			c.connects()
			end := c.client
			p := caller.Call(nil, m, k.Name, engine.Statement(work), fields...)
			c.deliver(func() {
				// taken once it is read: a patience that passed while it stood still is the client's
				c.history.Asked(c.now, id, k.Name, key, max(a.Until, c.now)+c.stood(a.At))
				began := time.Now()
				c.gets(end, p)
				c.out.Arrivals += time.Since(began)
			})
		})
		c.after(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	c.after(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

// stood is how much later than it came something was read.
func (c *fleetController) stood(at time.Duration) time.Duration { return c.now - at }

// deliver has something come to the controller, now or once it goes on.
func (c *fleetController) deliver(do func()) {
	if c.now < c.stalled {
		c.waiting = append(c.waiting, do)
		return
	}
	do()
}

func (c *fleetController) event(ev relay.Event) { c.deliver(func() { c.step(ev) }) }

func (c *fleetController) step(ev relay.Event) { c.perform(c.r.Step(c.now, ev)) }

func (c *fleetController) gets(e *fleetEnd, p []byte) {
	for len(p) > 0 && !e.gone {
		n := copy(e.link.In.Space(), p)
		p = p[n:]
		c.step(relay.Event{Kind: relay.Got, Link: e.link, N: n})
	}
}

func (c *fleetController) perform(effects []relay.Effect) {
	for _, fx := range effects {
		e := c.ends[fx.Link]
		switch fx.Verb {
		case relay.Dial:
			c.dial(fx.Link, fx.Address, fx.Within)
		case relay.Write:
			if e == nil || e.gone {
				break
			}
			p := bytes.Clone(fx.Bytes)
			if e.e != nil {
				c.writes(e, p)
				break
			}
			c.after(0, func() { c.wrote(e, len(p)) })
			if e.client {
				c.hears(p)
			} else if !e.up {
				e.up = true
				n, _ := feed.Asked(p)
				c.fed, c.feed = min(n, c.fed), e
				c.follows(e, c.Lag/4)
				c.beat(e)
			}
		case relay.Close:
			if e != nil {
				e.aborted = e.aborted || fx.Abort
				c.after(0, func() { c.lose(e) })
			}
		case relay.Wake:
			c.woken++
			mine := c.woken
			c.after(fx.Within, func() {
				c.deliver(func() {
					if mine == c.woken {
						c.step(relay.Event{Kind: relay.Woken})
					}
				})
			})
		}
	}
}

func (c *fleetController) wrote(e *fleetEnd, n int) {
	if !e.gone {
		c.event(relay.Event{Kind: relay.Wrote, Link: e.link, N: n})
	}
}

func (c *fleetController) lose(e *fleetEnd) {
	if e.gone {
		return
	}
	e.gone = true
	delete(c.ends, e.link)
	if e.conn != nil {
		e.way.pass(func() bool { return true }, func() { e.e.Server.Gone(e.conn) })
	}
	c.event(relay.Event{Kind: relay.Ended, Link: e.link})
}

// pass has something cross, or lie until the cut heals, if it is still wanted then.
func (w *fleetWay) pass(wanted func() bool, do func()) {
	if w.cut == 0 {
		do()
		return
	}
	w.lying = append(w.lying, func() {
		if wanted() {
			do()
		}
	})
}

func (c *fleetController) dial(link *relay.Link, address string, within time.Duration) {
	e := &fleetEnd{link: link}
	c.ends[link] = e
	if address == "feed" {
		e.feed = true
		c.after(time.Millisecond, func() { c.event(relay.Event{Kind: relay.Up, Link: link}) })
		return
	}
	to := c.byAddr[address]
	fail := func(kind relay.Kind, at time.Duration) {
		c.after(at, func() {
			if e.gone { // it was closed before
				return
			}
			delete(c.ends, link)
			e.gone = true
			c.event(relay.Event{Kind: kind, Link: link})
		})
	}
	way := c.ways[to.place]
	switch {
	case to.Silent() || way.cut > 0:
		fail(relay.Unanswered, within)
		return
	case to.down:
		fail(relay.Refused, 2*way.delay)
		return
	}
	e.e, e.way = to, way
	e.conn = &engine.Conn{
		Write: func(p []byte) {
			p = bytes.Clone(p)
			if e.mute {
				e.mute = false
				return
			}
			c.after(way.delay, func() {
				way.pass(func() bool { return !e.gone }, func() {
					c.deliver(func() { c.gets(e, p) })
				})
			})
		},
		Close: func() {
			c.after(way.delay, func() { way.pass(func() bool { return !e.gone }, func() { c.lose(e) }) })
		},
	}
	c.after(2*way.delay, func() {
		if !e.gone {
			to.Accept(e.conn)
			c.event(relay.Event{Kind: relay.Up, Link: link})
		}
	})
}

// writes brings a call to an engine, unless something befalls it.
func (c *fleetController) writes(e *fleetEnd, p []byte) {
	head, _, _ := strings.Cut(string(p), "\r\n")
	words := strings.Fields(head)
	id := ""
	if words[0] == "POST" {
		_, rest, _ := strings.Cut(string(p), "X-Req: ")
		id, _, _ = strings.Cut(rest, "\r\n")
		c.history.Written(c.now, id, e.e.ID)
	} else if parts := strings.Split(words[1], "/"); len(parts) > 2 {
		id = parts[2]
	}
	c.say("controller %d writes %s %s to %s", c.n, words[0], id, e.e.ID)
	wrote := func() { c.after(0, func() { c.wrote(e, len(p)) }) }
	ill := ""
	if c.rng.Float64() < c.Calls && c.now < c.Long {
		ill = []string{"before", "under", "after", "lost", "garbled"}[c.rng.IntN(5)]
		c.out.Took[ill]++
		c.say("%s befalls it", ill)
	}
	reset := func() { // whatever is still on its way is not sent again
		e.aborted = true
		c.lose(e)
	}
	switch ill {
	case "before":
		c.after(0, reset)
		return
	case "under":
		p = p[:len(p)/2]
		wrote()
		c.after(2*e.way.delay, reset)
	case "after":
		wrote()
		c.after(e.way.delay+time.Microsecond, reset)
	case "lost":
		e.mute = true
		wrote()
	case "garbled":
		wrote()
		c.after(e.way.delay*2, func() {
			e.way.pass(func() bool { return !e.gone }, func() { c.deliver(func() { c.gets(e, []byte("HTTP/1.1 2x0 what\r\n\r\n")) }) })
		})
	default:
		wrote()
	}
	c.after(e.way.delay, func() {
		lay := e.way.cut > 0
		e.way.pass(func() bool { return !e.aborted }, func() {
			if lay && e.gone && words[0] == "POST" {
				c.out.Late++
			}
			e.e.comes(c, e, words[0], id, p)
		})
	})
}

// comes: a call is there whole; a sluggish engine takes up later what starts a query, whether
// its line stands then or not, unless the query was given up meanwhile.
func (e *fleetEngine) comes(c *fleetController, from *fleetEnd, method, id string, p []byte) {
	if e.dead || e.down {
		return
	}
	f := e.f
	switch method {
	case "POST":
		if f.now < e.sluggish && !e.Silent() {
			taken := new(bool)
			e.untaken[id] = taken
			f.say("%s lies at %s", id, e.ID)
			f.after(time.Duration(100+f.rng.IntN(1800))*time.Millisecond, func() {
				if e.untaken[id] == taken {
					delete(e.untaken, id)
					if !e.dead && !e.down {
						e.takes(c, from, id, p)
					}
				}
			})
			return
		}
		e.takes(c, from, id, p)
		return
	case "DELETE":
		if !e.Silent() {
			delete(e.untaken, id)
		}
	}
	e.Got(f.now, from.conn, p)
	e.wake()
}

func (e *fleetEngine) takes(c *fleetController, from *fleetEnd, id string, p []byte) {
	conn, f := from.conn, e.f
	if from.gone {
		conn = &engine.Conn{Write: func([]byte) {}}
		e.Accept(conn)
		f.out.Late++
		f.say("%s is taken up at %s though its line is gone", id, e.ID)
	}
	if e.cold >= 0 {
		e.counts(c, p)
	}
	e.Got(f.now, conn, p)
	if from.gone {
		e.Server.Gone(conn)
	}
	e.wake()
}

// counts what a cold engine is sent against what the rule lets it be sent in a window: only
// where two thirds came from those who were told of its start.
func (e *fleetEngine) counts(c *fleetController, p []byte) {
	f := e.f
	window, span := time.Duration(number(f.facts["cold.window"]))*time.Millisecond, time.Duration(number(f.facts["cold.span"]))*time.Millisecond
	if f.now >= e.cold+span {
		return
	}
	_, body, _ := bytes.Cut(p, []byte("\r\n\r\n"))
	work := e.Cost("", body).CPU.Seconds()
	e.sent = append(e.sent, fleetSent{f.now, work, e.toldTo[c.n]})
	f.out.ColdWork += work
	for e.sent[0].at <= f.now-window {
		e.sent = e.sent[1:]
	}
	all, told := 0.0, 0.0
	for _, s := range e.sent {
		if all += s.work; s.told {
			told += s.work
		}
	}
	from := number(f.facts["cold.from"])
	able := from + (1-from)*(f.now-e.cold).Seconds()/span.Seconds()
	part := all / (number(f.facts["cold.multiple"]) * able * 0.85 * e.Cores * window.Seconds())
	if told >= all*2/3 {
		f.out.ColdWorst = max(f.out.ColdWorst, part)
		if part > 1 {
			f.out.ColdOver++
		}
		if part > 1+coldSlack {
			c.history.Broken(f.now, fmt.Sprintf("rule 4: %s was sent %.2f times what it stands", e.ID, part))
		}
	}
}

// coldUse is what cold engines could do while there was load.
func (f *fleetRun) coldUse() {
	span, from := time.Duration(number(f.facts["cold.span"]))*time.Millisecond, number(f.facts["cold.from"])
	for _, e := range f.engines {
		for at := e.cold; e.cold >= 0 && at < min(f.Long, e.cold+span); at += 100 * time.Millisecond {
			f.out.ColdAble += (from + (1-from)*(at-e.cold).Seconds()/span.Seconds()) * e.Cores * 0.85 * 0.1
		}
	}
}

func (e *fleetEngine) wake() {
	at, ok := e.Next()
	if !ok || e.wakeAt >= 0 && e.wakeAt <= at {
		return
	}
	e.wakeAt = at
	e.f.at(at, func() {
		if e.wakeAt == at {
			e.wakeAt = -1
			e.Due(e.f.now)
			e.wake()
		}
	})
}

// hears is a client's side of what a controller writes.
func (c *fleetController) hears(p []byte) {
	c.in = append(c.in, p...)
	for {
		ans, n, err := caller.Read(c.in)
		if err != nil {
			c.history.Broken(c.now, err.Error())
			return
		}
		if n == 0 {
			return
		}
		c.in = bytes.Clone(c.in[n:])
		if ans.Kind == caller.Told {
			continue
		}
		a := c.open[ans.Msg]
		if a == nil {
			c.history.Broken(c.now, fmt.Sprintf("rule 1: an answer to %d that nobody waits for", ans.Msg))
			continue
		}
		c.say("%s answered: %d", a.ID, ans.Kind)
		delete(c.open, ans.Msg)
		at := c.now
		if c.now-c.stalled < 50*time.Millisecond { // nothing can be answered while it stands still
			at = min(at, a.Until)
		}
		c.history.Answered(at, a.ID, check.Answer(ans.Kind), ans.Rows, world.Rows(a))
	}
}

// tell adds an event to the list; each controller hears of it in its own time, at times twice.
func (f *fleetRun) tell(e *fleetEngine, phase string) {
	e.Phase = phase
	f.log.Tell(false, e.Engine)
	f.told = append(f.told, fleetTold{e, phase == "SERVING", e.Up})
	for _, c := range f.all {
		f.after(time.Duration(f.rng.Int64N(int64(f.Lag)+1)), func() {
			if c.feed != nil && !c.feed.gone {
				c.follows(c.feed, 0)
			}
		})
	}
}

func (c *fleetController) follows(e *fleetEnd, in time.Duration) {
	c.after(in, func() {
		if e.gone {
			return
		}
		from := c.fed
		if from > 0 && c.rng.IntN(3) == 0 {
			from-- // doubled
		}
		lines, since := c.log.Since(from), c.fed
		c.fed = c.log.Last()
		last := c.fed
		c.deliver(func() {
			for n := since; n < last; n++ {
				if t := c.told[n]; t.e != nil {
					c.history.State(c.now, t.e.ID, t.on)
					if t.up == t.e.Up && t.on {
						t.e.toldTo[c.n] = true
					}
				}
			}
			c.gets(e, lines)
		})
	})
}

func (c *fleetController) beat(e *fleetEnd) {
	c.after(time.Second, func() {
		if !e.gone {
			p := append(strconv.AppendInt(nil, int64(c.fed), 10), '\n')
			c.deliver(func() { c.gets(e, p) })
			c.beat(e)
		}
	})
}

// befalls has an ill come over the fleet.
func (f *fleetRun) befalls(i Ill) {
	f.say("%v", i)
	f.out.Took[i.Kind]++
	var e *fleetEngine
	for _, x := range f.engines {
		if x.place == i.Engine && !x.dead {
			e = x
		}
	}
	switch i.Kind {
	case "cut":
		for _, n := range i.Controllers {
			w := f.all[n].ways[i.Engine]
			w.cut++
			f.after(i.For, func() {
				if w.cut--; w.cut > 0 {
					return
				}
				lying := w.lying
				w.lying = nil
				for _, do := range lying {
					do()
				}
			})
		}
	case "stall":
		for _, n := range i.Controllers {
			c := f.all[n]
			c.stalled = max(c.stalled, f.now+i.For)
			f.at(c.stalled, c.goesOn)
		}
	case "sluggish":
		e.sluggish = f.now + i.For
	case "storm":
		for range 1 + int(i.For/(200*time.Millisecond)) {
			f.after(time.Duration(f.rng.Int64N(int64(i.For))), func() {
				if !e.down && !e.Silent() && !e.dead {
					e.Reset(f.now, false)
				}
			})
		}
	case "vanish":
		if !e.down && !e.Silent() {
			e.Silence(f.now, true)
			var goes func()
			goes = func() { // what it has runs on, and is forgotten unasked
				if e.Advance(f.now); e.Silent() {
					f.after(20*time.Millisecond, goes)
				}
			}
			goes()
			f.after(i.For, func() {
				if !e.dead && !e.down {
					e.Silence(f.now, false)
					e.Due(f.now)
					e.wake()
				}
			})
		}
	case "crash":
		if !e.down {
			e.dies()
			f.after(i.For/2, func() {
				if !e.dead {
					e.back()
				}
			})
		}
	case "drain":
		if e.Phase == "SERVING" {
			f.tell(e, "DRAINING")
			f.after(i.For, func() {
				if !e.dead {
					f.tell(e, "SERVING")
				}
			})
		}
	case "replace", "takenover":
		wait := time.Duration(0)
		if i.Kind == "replace" {
			f.tell(e, "DRAINING")
			wait = min(i.For, 3*time.Second)
		}
		f.after(wait, func() {
			if e.dead {
				return
			}
			e.dies()
			e.dead = true
			next := f.add(e.place, true)
			f.tell(e, "DELETED")
			f.tell(next, "SERVING")
		})
	}
}

func (c *fleetController) goesOn() {
	if c.now < c.stalled {
		return
	}
	waiting := c.waiting
	c.waiting = nil
	for _, do := range waiting {
		do()
	}
}

func (e *fleetEngine) dies() {
	e.down = true
	clear(e.untaken)
	e.Reset(e.f.now, true)
}

// back: a new and cold process is there; the list tells late.
func (e *fleetEngine) back() {
	e.down, e.cold, e.Up = false, e.f.now, fleetEpoch+e.f.now.Milliseconds()
	e.toldTo, e.sent = map[int]bool{}, nil
	e.Restart(e.f.now)
	e.f.tell(e, "SERVING")
}

// Shortest is the least that still breaks a rule: without the ills and the time that it
// doesn't need.
func (d FleetDay) Shortest() FleetDay {
	breaks := func(x FleetDay) bool { return len(x.Play().Broken) > 0 }
	for _, long := range []time.Duration{d.Long / 4, d.Long / 2, d.Long * 3 / 4} {
		x := d
		x.Long = long
		if breaks(x) {
			d = x
			break
		}
	}
	for i := len(d.Ills) - 1; i >= 0; i-- {
		x := d
		x.Ills = slices.Delete(slices.Clone(d.Ills), i, i+1)
		if breaks(x) {
			d = x
		}
	}
	return d
}

// MassRestart is a fleet half of whose engines start anew, cold, within seven seconds.
func MassRestart(seed uint64, controllers, engines int) FleetDay {
	d := FleetDay{Seed: seed, Controllers: controllers, Engines: engines, Load: 0.6, Long: 18 * time.Second, Lag: 1500 * time.Millisecond}
	for i := range engines / 2 {
		d.Ills = append(d.Ills, Ill{Kind: "crash", At: 5*time.Second + time.Duration(i)*7*time.Second/time.Duration(engines/2), For: 2 * time.Second, Engine: i})
	}
	return d
}

package lab

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"railrelay.dev/railrelay/internal/check"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/agree"
	"railrelay.dev/railrelay/internal/fleet/node"
)

// Schedule is one play of many controllers' cores in virtual time: what is sent, lost,
// late and doubled, who stops, is killed and comes back, and when, follows from the seed.
type Schedule struct {
	Seed        uint64
	Controllers int // the first Voters of them vote
	Voters      int
	Relays      int           // the next so many pass on the renewals of those after them, 0: none do
	Long        time.Duration // in which faults come; after it all is healed and must come right
	Lease       time.Duration
	Faults      float64 // a second
	Strike      *Strike // a fault at one step, in place of those
	Revote      bool    // changes may name others who vote
	Wire        bool    // messages go through the encoding
	Apart       bool    // in place of those: followers go, and start cut off after a change or so
}

// Strike is a fault at the nth message between controllers once the first change or
// purge was asked for.
type Strike struct {
	At  int
	How string // lost, doubled, late, sender, receiver (killed), stopped, cut
}

// Strikes are the ways of a Strike.
var Strikes = []string{"lost", "doubled", "late", "sender", "receiver", "stopped", "cut"}

// Played is what schedules showed.
type Played struct {
	Schedules, Events, Messages int
	Faults                      map[string]int // that struck, by kind
	States                      map[string]int // how far a change or purge was, and who was struck how
	Changes, Withdrawn, Purges  int
	Acts, Forgotten             int
	Broken                      []string
	Trace                       uint64 // of all that happened: the same seed gives the same
}

// Add joins another play.
func (p *Played) Add(o *Played) {
	p.Schedules, p.Events, p.Messages = p.Schedules+o.Schedules, p.Events+o.Events, p.Messages+o.Messages
	p.Changes, p.Withdrawn, p.Purges, p.Acts = p.Changes+o.Changes, p.Withdrawn+o.Withdrawn, p.Purges+o.Purges, p.Acts+o.Acts
	p.Forgotten += o.Forgotten
	if p.Faults == nil {
		p.Faults, p.States = map[string]int{}, map[string]int{}
	}
	for k, n := range o.Faults {
		p.Faults[k] += n
	}
	for k, n := range o.States {
		p.States[k] += n
	}
	p.Broken = append(p.Broken, o.Broken...)
	p.Trace = p.Trace*31 + o.Trace
}

// Struck is in how many different states a fault really struck.
func (p *Played) Struck() int { return len(p.States) }

type play struct {
	Schedule
	rng      *rand.Rand
	now      time.Duration
	events   happenings
	seq      int
	all      []*actor
	byName   map[string]*actor
	cuts     map[[2]string]time.Duration // from, to: until
	lossy    time.Duration               // until when messages are lost, late and doubled
	leader   string
	check    check.Fleet
	out      *Played
	asks     map[uint64]*asking
	handles  uint64
	ops      []*operation
	words    []check.Word
	settling bool
	revoted  bool // who votes was to be changed
	counting bool // messages are counted for the strike
	counted  int
	queries  int
}

// actor is one controller: a core, what its disk holds, and a model of its reducer.
type actor struct {
	name    string
	disk    string
	member  fleet.Member
	core    *node.Core
	boot    uint64
	began   time.Duration
	rate    float64 // its clock's
	kept    agree.Kept
	storing *agree.Kept
	slow    time.Duration // its disk is, until
	wake    int
	stopped time.Duration // it does nothing until then
	down    bool
	gone    bool // its name was forgotten
	seen    bool // and that it acted all the same was told

	word    *fleet.Word
	version uint64
	policy  string
	queue   []fleet.Order
	busy    bool
	index   uint64
	shut    string // a change to be reported closed once nothing is written
	drops   map[string]fleet.Order
	items   map[string]item // what it keeps, on its disk
}

type item struct {
	team  string
	table int64
	index uint64
	at    time.Duration
}

// operation is one change or purge, asked for at one place and again at others.
type operation struct {
	ask   fleet.Ask
	done  bool
	unfit string
}

type asking struct {
	op   *operation
	at   *actor
	boot uint64
	from time.Duration
	last bool
}

type happening struct {
	at   time.Duration
	seq  int
	who  *actor // nil: the world
	boot uint64 // of who; 0: whichever
	what func()
}

type happenings []*happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(*happening)) }
func (h *happenings) Pop() any {
	l := *h
	x := l[len(l)-1]
	*h = l[:len(l)-1]
	return x
}

func (p *play) in(within time.Duration, who *actor, what func()) {
	p.seq++
	x := &happening{at: p.now + within, seq: p.seq, who: who, what: what}
	if who != nil {
		x.boot = who.boot
	}
	heap.Push(&p.events, x)
}

func (p *play) span(least, most time.Duration) time.Duration {
	return least + time.Duration(p.rng.Int64N(int64(most-least)+1))
}

// Play plays it to its end.
func (s Schedule) Play() *Played {
	p := &play{Schedule: s, rng: rand.New(rand.NewPCG(s.Seed, 0x5c4ed)), byName: map[string]*actor{}, cuts: map[[2]string]time.Duration{},
		out: &Played{Schedules: 1, Faults: map[string]int{}, States: map[string]int{}}, asks: map[uint64]*asking{}}
	for i := range s.Controllers {
		name := fmt.Sprintf("c%d", i)
		a := &actor{name: name, disk: "disk-" + name, rate: 1 + (p.rng.Float64()-0.5)*0.009, drops: map[string]fleet.Order{}, items: map[string]item{}}
		a.member = fleet.Member{Name: name, Disk: a.disk, Site: []string{"east", "west"}[i%2], Peer: name + ":1", Clients: name + ":2"}
		p.all = append(p.all, a)
		p.byName[name] = a
	}
	for _, a := range p.all {
		p.start(a)
	}
	p.in(p.span(800*time.Millisecond, 1500*time.Millisecond), nil, p.operate)
	switch {
	case s.Apart:
		p.in(time.Second, nil, p.apart)
	case s.Strike == nil:
		p.in(500*time.Millisecond, nil, p.fault)
	}
	p.until(s.Long)
	p.heal()
	p.settling = true
	p.until(p.now + 4*s.Lease + 8*time.Second) // elections, leases, and what was under way
	p.askAll()
	p.until(p.now + 3*s.Lease + 6*time.Second)
	p.verdict()
	return p.out
}

func (p *play) until(end time.Duration) {
	for len(p.events) > 0 && p.events[0].at <= end {
		x := heap.Pop(&p.events).(*happening)
		p.now = x.at
		if a := x.who; a != nil {
			if a.down || x.boot != a.boot {
				continue
			}
			if p.now < a.stopped { // in turn, once it goes on
				p.seq++
				x.at, x.seq = a.stopped, p.seq
				heap.Push(&p.events, x)
				continue
			}
		}
		p.out.Events++
		p.out.Trace = p.out.Trace*1099511628211 + uint64(x.at)
		x.what()
	}
	p.now = end
}

// start begins a controller from what its disk holds.
func (p *play) start(a *actor) {
	a.boot = p.rng.Uint64() | 1
	a.began, a.down, a.stopped, a.storing = p.now, false, 0, nil
	a.word = new(fleet.Word)
	a.version, a.policy, a.queue, a.busy, a.index, a.shut = 0, "", nil, false, 0, ""
	a.drops = map[string]fleet.Order{}
	var voters []agree.Voter
	for _, v := range p.all[:p.Voters] {
		voters = append(voters, agree.Voter{Name: v.name, Address: v.member.Peer})
	}
	p.check.Note(p.now, a.name+" starts", a.name)
	begin := node.Begin{Self: a.member, Voters: voters, Lease: p.Lease, LeaseBound: p.Lease / 2, Drift: 0.01,
		Election: 300 * time.Millisecond, Heartbeat: 60 * time.Millisecond, Seed: p.rng.Uint64(), Boot: a.boot, Kept: clone(a.kept), KeepAtMost: 3 + int(p.Seed%30)}
	begin.Relay, begin.Relays = p.upstreams(a)
	core, effects, err := node.New(begin)
	if err != nil {
		p.broken("%s can't start: %v", a.name, err)
		a.down = true
		return
	}
	a.core = core
	p.effects(a, effects)
	p.in(p.span(0, 20*time.Millisecond), a, func() { p.take(a) })
}

// upstreams tells whether a controller is a relay, and otherwise which two it asks
// through, if any.
func (p *play) upstreams(a *actor) (relay bool, upstreams []node.Upstream) {
	place := slices.Index(p.all, a) - p.Voters
	if p.Relays == 0 || place < 0 || place < p.Relays {
		return place >= 0 && p.Relays > 0, nil
	}
	for i := range min(2, p.Relays) {
		via := p.all[p.Voters+(place+i)%p.Relays]
		upstreams = append(upstreams, node.Upstream{Name: via.name, Address: via.member.Peer})
	}
	return false, upstreams
}

func clone(k agree.Kept) agree.Kept {
	k.Hard, k.Records = slices.Clone(k.Hard), slices.Clone(k.Records)
	return k
}

func (a *actor) clock(p *play) time.Duration {
	return time.Duration(float64(p.now-a.began) * a.rate)
}

func (p *play) step(a *actor, ev node.Event) {
	p.effects(a, a.core.Step(a.clock(p), ev))
}

func (p *play) effects(a *actor, l []node.Effect) {
	for _, e := range l {
		switch e.Kind {
		case node.Send:
			p.send(a, e)
		case node.Store:
			if a.storing != nil {
				p.broken("%s stores while it stores", a.name)
			}
			k := *e.Kept
			a.storing = &k
			took := p.span(100*time.Microsecond, 3*time.Millisecond)
			if p.now < a.slow {
				took += p.span(20*time.Millisecond, 300*time.Millisecond)
			}
			p.in(took, a, func() {
				a.keep(k, len(k.Records))
				a.storing = nil
				p.step(a, node.Event{Kind: node.Stored})
			})
		case node.Check:
			change, text := e.Change, string(e.Text)
			p.in(p.span(0, 5*time.Millisecond), a, func() {
				ev := node.Event{Kind: node.Checked, Change: change, Policy: text}
				if text == "" {
					ev.Policy = "the set-up's"
				}
				if _, rest, had := strings.Cut(text, " voters "); had {
					names, _, _ := strings.Cut(rest, " unfit")
					for name := range strings.SplitSeq(names, ",") {
						ev.Voters = append(ev.Voters, name+"="+p.byName[name].member.Peer)
					}
				}
				if strings.HasSuffix(text, " unfit for "+a.name) {
					ev.Why = "no team is called so here"
				}
				p.step(a, ev)
			})
		case node.Order:
			a.queue = append(a.queue, e.Order)
			p.work(a)
		case node.Told:
			p.told(e.Handle, e.Reply)
		case node.Wake:
			a.wake++
			n := a.wake
			p.in(time.Duration(float64(max(0, e.Within))/a.rate)+1, a, func() {
				if n == a.wake {
					p.step(a, node.Event{Kind: node.Woken})
				}
			})
		case node.Say:
			if e.Loud {
				p.check.Note(p.now, a.name+" says: "+e.Line, a.name)
			}
		}
	}
}

// keep takes so many of a store's records to disk, and with all of them the rest.
func (a *actor) keep(k agree.Kept, records int) {
	if s := k.Snapshot; s != nil {
		a.kept.Snapshot = s
		a.kept.Records = slices.DeleteFunc(slices.Clone(a.kept.Records), func(r agree.Record) bool { return r.Index <= s.Index })
	}
	for _, r := range k.Records[:records] {
		if i := slices.IndexFunc(a.kept.Records, func(x agree.Record) bool { return x.Index >= r.Index }); i >= 0 {
			a.kept.Records = slices.Clone(a.kept.Records[:i])
		}
		a.kept.Records = append(a.kept.Records, r)
	}
	if k.Hard != nil && records == len(k.Records) {
		a.kept.Hard = k.Hard
	}
}

// kill ends a controller; what it was storing is on its disk or not.
func (p *play) kill(a *actor) {
	if a.down {
		return
	}
	if k := a.storing; k != nil && p.rng.IntN(2) == 0 {
		a.keep(*k, len(k.Records))
	}
	a.down, a.storing = true, nil
	p.check.Note(p.now, a.name+" is killed", a.name)
}

func (p *play) send(a *actor, e node.Effect) {
	to := p.byName[e.To]
	if to == nil {
		p.broken("%s sends to %s, whom nobody knows", a.name, e.To)
		return
	}
	p.out.Messages++
	m := e.Message
	if m.Grant != nil && m.Grant.Given {
		p.leader = a.name
	}
	if p.Wire {
		text, err := cbor.Marshal(m)
		m = &node.Message{}
		if err == nil {
			err = cbor.Unmarshal(text, m)
		}
		if err != nil {
			p.broken("a message can't be encoded: %v", err)
			return
		}
	}
	late, times := p.span(100*time.Microsecond, 2*time.Millisecond), 1
	if p.now < p.lossy {
		switch x := p.rng.IntN(10); {
		case x == 0:
			p.struck("lost", a.name, to.name)
			return
		case x == 1:
			times = 2
			p.struck("doubled", a.name, to.name)
		case x <= 3:
			late += p.span(0, 400*time.Millisecond)
			p.struck("late", a.name, to.name)
		}
	}
	if p.counting && p.Strike != nil {
		if p.counted++; p.counted == p.Strike.At {
			how := p.Strike.How
			p.check.Note(p.now, fmt.Sprintf("message %d, from %s to %s: %s", p.counted, a.name, to.name, how), a.name, to.name)
			p.struck(how, a.name, to.name)
			back := p.span(20*time.Millisecond, 3*p.Lease)
			switch how {
			case "lost":
				return
			case "doubled":
				times = 2
			case "late":
				late += p.span(50*time.Millisecond, 2*p.Lease)
			case "sender", "receiver":
				x := a
				if how == "receiver" {
					x = to
				}
				p.in(0, nil, func() { p.kill(x) })
				p.in(back, nil, func() {
					if x.down {
						p.start(x)
					}
				})
			case "stopped":
				to.stopped = p.now + back
			case "cut":
				p.cuts[[2]string{a.name, to.name}] = p.now + back
				return
			}
		}
	}
	for range times {
		p.in(late, nil, func() {
			if p.now < p.cuts[[2]string{a.name, to.name}] || to.down {
				return
			}
			p.in(0, to, func() { p.step(to, node.Event{Kind: node.Came, Message: m}) })
		})
	}
}

// stage is how far what is under way has come, as far as the operators were told.
func (p *play) stage() string {
	kinds := map[string]bool{}
	for _, o := range p.ops {
		if !o.done {
			kinds[o.ask.Kind] = true
		}
	}
	closed, opened := 0, map[uint64]bool{}
	for _, a := range p.all {
		if !a.down && a.shut != "" || a.version == 0 {
			closed++
		}
		opened[a.version] = true
	}
	at := "all open"
	switch {
	case closed == len(p.all):
		at = "all shut"
	case closed > 0:
		at = "some shut"
	}
	return strings.Join(slices.Sorted(maps.Keys(kinds)), "+") + ", " + at + fmt.Sprintf(", %d versions", len(opened))
}

func (p *play) struck(how string, who ...string) {
	p.out.Faults[how]++
	role := "followers"
	for _, w := range who {
		switch i := slices.Index(p.all, p.byName[w]); {
		case w == p.leader:
			role = "leader"
		case i < p.Voters && role != "leader":
			role = "voter"
		}
	}
	p.out.States[how+" of "+role+": "+p.stage()]++
}

// fault lets one come and calls for the next.
func (p *play) fault() {
	if p.settling || p.Faults <= 0 {
		return
	}
	p.in(time.Duration(p.rng.ExpFloat64()/p.Faults*float64(time.Second)), nil, p.fault)
	a := p.all[p.rng.IntN(len(p.all))]
	if l := p.byName[p.leader]; l != nil && p.rng.IntN(2) == 0 {
		a = l
	}
	if a.gone {
		return
	}
	back := p.span(20*time.Millisecond, 3*p.Lease)
	again := func(x *actor) func() {
		return func() {
			if x.down && !x.gone {
				p.start(x)
			}
		}
	}
	switch p.rng.IntN(11) {
	case 0, 1:
		if !a.down {
			p.struck("killed", a.name)
			p.kill(a)
			p.in(back, nil, again(a))
		}
	case 2, 3:
		if !a.down && p.now >= a.stopped {
			p.struck("stopped", a.name)
			a.stopped = p.now + back
			p.check.Note(p.now, fmt.Sprintf("%s is stopped for %v", a.name, back), a.name)
		}
	case 4: // cut off from all
		p.struck("cut off", a.name)
		for _, x := range p.all {
			p.cuts[[2]string{a.name, x.name}], p.cuts[[2]string{x.name, a.name}] = p.now+back, p.now+back
		}
		p.check.Note(p.now, fmt.Sprintf("%s is cut off for %v", a.name, back), a.name)
	case 5: // it hears and isn't heard, or the other way round
		p.struck("one way", a.name)
		heard := p.rng.IntN(2) == 0
		for _, x := range p.all {
			if key := [2]string{a.name, x.name}; heard {
				p.cuts[[2]string{x.name, a.name}] = p.now + back
			} else {
				p.cuts[key] = p.now + back
			}
		}
	case 6: // in two halves
		p.struck("halved", a.name)
		side := make([]bool, len(p.all))
		for i := range side {
			side[i] = p.rng.IntN(2) == 0
		}
		for i, x := range p.all {
			for j, y := range p.all {
				if side[i] != side[j] {
					p.cuts[[2]string{x.name, y.name}] = p.now + back
				}
			}
		}
	case 7:
		p.lossy = p.now + back
	case 8:
		p.struck("slow disk", a.name)
		a.slow = p.now + back
	case 10: // killed, and started while it is cut off from all: it knows no more than its disk does
		if a.down {
			return
		}
		p.struck("started cut off", a.name)
		p.kill(a)
		p.in(back, nil, again(a))
		apart := p.now + back + p.span(p.Lease/2, 3*p.Lease)
		for _, x := range p.all {
			p.cuts[[2]string{a.name, x.name}], p.cuts[[2]string{x.name, a.name}] = apart, apart
		}
	case 9:
		if p.rng.IntN(3) > 0 {
			return
		}
		p.struck("all killed", a.name)
		for _, x := range p.all {
			if !x.down {
				p.kill(x)
				p.in(p.span(10*time.Millisecond, back), nil, again(x))
			}
		}
	}
}

// apart kills a follower for longer than its lease, in which the rest goes on, and
// starts it while it is cut off from all: it knows no more than its disk does.
func (p *play) apart() {
	if p.settling {
		return
	}
	a := p.all[p.Voters+p.rng.IntN(p.Controllers-p.Voters)]
	p.struck("started cut off", a.name)
	p.kill(a)
	back := 2*p.Lease + p.span(0, p.Lease)
	p.in(back, nil, func() {
		if a.down {
			p.start(a)
		}
	})
	for _, x := range p.all {
		p.cuts[[2]string{a.name, x.name}], p.cuts[[2]string{x.name, a.name}] = p.now+back+2*p.Lease, p.now+back+2*p.Lease
	}
	p.in(back+3*p.Lease, nil, p.apart)
}

func (p *play) heal() {
	clear(p.cuts)
	p.lossy = 0
	for _, a := range p.all {
		a.slow, a.stopped = 0, min(a.stopped, p.now)
		if a.down && !a.gone {
			p.start(a)
		}
	}
}

// operate lets operators and customers ask.
func (p *play) operate() {
	if p.settling {
		return
	}
	p.in(p.span(50*time.Millisecond, 900*time.Millisecond), nil, p.operate)
	base := uint64(1)
	for _, a := range p.all { // what an operator would have read somewhere
		base = max(base, a.version)
	}
	n := len(p.ops)
	change := func(i int) *operation {
		o := &operation{ask: fleet.Ask{Kind: "apply", ID: fmt.Sprintf("change-%d", i), By: "op", Base: base, Wait: 2000}}
		text := "policy of " + o.ask.ID
		if p.Revote && p.Controllers > p.Voters && p.rng.IntN(6) == 0 && !slices.ContainsFunc(p.all, func(a *actor) bool { return a.gone }) {
			p.revoted = true // others vote from now on, if it comes into force
			from, names := p.rng.IntN(len(p.all)), []string{}
			for i := range p.Voters {
				names = append(names, p.all[(from+i)%len(p.all)].name)
			}
			text += " voters " + strings.Join(names, ",")
		}
		if p.rng.IntN(5) == 0 {
			o.unfit = p.all[p.rng.IntN(len(p.all))].name
			text += " unfit for " + o.unfit
		}
		o.ask.Policy = []byte(text)
		if p.rng.IntN(2) == 0 {
			o.ask.AtMost = p.span(100*time.Millisecond, 4*p.Lease).Milliseconds()
		}
		return o
	}
	switch x := p.rng.IntN(10); {
	case x < 3 || n == 0:
		p.ops = append(p.ops, change(n))
		p.ask(p.ops[n], false)
	case x < 5: // two at once
		p.ops = append(p.ops, change(n), change(n+1))
		p.ask(p.ops[n], false)
		p.ask(p.ops[n+1], false)
	case x < 7:
		o := &operation{ask: fleet.Ask{Kind: "purge", ID: fmt.Sprintf("purge-%d", n), By: "op", Wait: 2000,
			Scope: &fleet.Scope{Team: teamsPlayed[p.rng.IntN(2)]}}}
		if p.rng.IntN(2) == 0 {
			o.ask.Scope.Tables = []int64{int64(p.rng.IntN(3))}
		}
		if p.rng.IntN(2) == 0 {
			o.ask.Until = "unreachable"
		}
		p.ops = append(p.ops, o)
		p.check.PurgeAsked(p.now, o.ask.ID, *o.ask.Scope)
		p.ask(o, false)
	case x == 7 && !p.Apart && p.Controllers > p.Voters && !p.revoted && p.rng.IntN(4) == 0: // a follower's disk is destroyed
		a := p.all[p.Voters+p.rng.IntN(p.Controllers-p.Voters)]
		if a.gone {
			return
		}
		a.gone = true
		p.kill(a)
		o := &operation{ask: fleet.Ask{Kind: "forget", ID: "forget-" + a.name, By: "op", Name: a.name, Wait: 2000}}
		p.ops = append(p.ops, o)
		p.ask(o, false)
	default:
		p.ask(p.ops[p.rng.IntN(n)], false)
	}
	p.counting = true
}

var teamsPlayed = []string{"linz", "steyr"}

// ask puts an operation to some controller that runs.
func (p *play) ask(o *operation, last bool) {
	for range 8 {
		a := p.all[p.rng.IntN(len(p.all))]
		if a.down || a.gone {
			continue
		}
		p.handles++
		h := p.handles
		p.asks[h] = &asking{op: o, at: a, boot: a.boot, from: p.now, last: last}
		ask := o.ask
		if o.ask.Kind == "purge" && last {
			ask.Until = ""
		}
		p.in(p.span(0, time.Millisecond), a, func() {
			p.step(a, node.Event{Kind: node.Asked, Ask: &ask, Handle: h})
		})
		return
	}
}

func (p *play) told(handle uint64, r *fleet.Reply) {
	x := p.asks[handle]
	if x == nil {
		p.broken("an answer to what nobody asks: %+v", *r)
		return
	}
	delete(p.asks, handle)
	o := x.op
	if r.Word != "unknown" {
		o.done = true
	}
	switch o.ask.Kind {
	case "apply":
		p.check.Changed(p.now, x.at.name, o.ask.ID, r.Word, r.Version)
		p.words = append(p.words, check.Word{Client: len(p.words) % 7, From: x.from, To: p.now + 1, ID: o.ask.ID, Base: o.ask.Base, Proposes: true,
			Word: r.Word, Version: r.Version})
	case "purge":
		p.check.PurgeTold(p.now, x.at.name, o.ask.ID, r.Word, r.Counts)
		if r.Word == "purged" {
			for _, a := range p.all {
				for _, id := range slices.Sorted(maps.Keys(a.items)) {
					if !a.gone {
						p.check.Held(p.now+1, a.name, id)
					}
				}
			}
		}
	case "forget":
		if r.Word == "forgotten" {
			p.out.Forgotten++
			if a := p.byName[o.ask.Name]; a.down { // somebody finds it and starts it once more
				p.in(p.span(0, p.Lease), nil, func() {
					if a.down {
						p.start(a)
					}
				})
			}
		}
	}
	if x.last && r.Word == "unknown" {
		p.broken("%s asked for %s after all was healed: unknown, %s, outstanding %v", x.at.name, o.ask.ID, r.Stage, r.Outstanding)
	}
}

// work has a reducer take its next order.
func (p *play) work(a *actor) {
	if a.busy || len(a.queue) == 0 {
		return
	}
	a.busy = true
	took := p.span(0, 300*time.Microsecond)
	if p.rng.IntN(50) == 0 {
		took += p.span(0, 40*time.Millisecond)
	}
	p.in(took, a, func() {
		o := a.queue[0]
		a.queue = a.queue[1:]
		a.busy = false
		p.order(a, o)
		p.work(a)
	})
}

func (p *play) report(a *actor, r fleet.Report) {
	p.in(p.span(0, 300*time.Microsecond), a, func() { p.step(a, node.Event{Kind: node.Reported, Report: r}) })
}

func (p *play) order(a *actor, o fleet.Order) {
	switch o.Kind {
	case fleet.Shut:
		a.word.Set(0)
		a.version, a.shut = 0, o.Change
		p.check.Note(p.now, a.name+" is shut for "+o.Change, a.name, o.Change)
		p.shut(a)
	case fleet.Open:
		a.version, a.shut = o.Version, ""
		a.policy, _ = o.Policy.(string)
		a.word.Set(o.Version)
		p.check.Note(p.now, fmt.Sprintf("%s opens by version %d", a.name, o.Version), a.name, fmt.Sprint("version ", o.Version))
		p.report(a, fleet.Report{Kind: fleet.Opened, Version: o.Version})
	case fleet.Renewed:
		a.word.Lease(o.Until, o.UntilBound)
	case fleet.Pictured:
		a.index = o.Picture.Index
	case fleet.Drop:
		a.drops[o.ID] = o
		p.report(a, fleet.Report{Kind: fleet.Unreached, ID: o.ID})
		p.in(p.span(0, 100*time.Millisecond), a, func() {
			var c fleet.Counts
			for id, x := range a.items {
				if dropped(o, x) {
					delete(a.items, id)
					c.Results++
				}
			}
			p.report(a, fleet.Report{Kind: fleet.Wiped, ID: o.ID, Counts: c})
		})
	}
}

func dropped(o fleet.Order, x item) bool {
	return o.Scope.Team == x.team && x.index < o.Index && (len(o.Scope.Tables) == 0 || slices.Contains(o.Scope.Tables, x.table))
}

// shut reports once nothing is being written any more.
func (p *play) shut(a *actor) {
	if a.shut == "" {
		return
	}
	if a.word.Idle() {
		p.report(a, fleet.Report{Kind: fleet.Closed, Change: a.shut})
		return
	}
	change := a.shut
	p.in(100*time.Microsecond, a, func() {
		if a.shut == change {
			p.shut(a)
		}
	})
}

// take has a controller take a query, submit it a while later and keep what came of
// it, and serve something that it keeps.
func (p *play) take(a *actor) {
	p.in(p.span(5*time.Millisecond, 60*time.Millisecond), a, func() { p.take(a) })
	bound := p.rng.IntN(2) == 0
	version := a.word.May(a.clock(p), bound)
	p.queries++
	id := fmt.Sprintf("q%d", p.queries)
	policy := a.policy
	if version != 0 {
		p.acted(a, id, version, policy)
		x := item{team: teamsPlayed[p.rng.IntN(2)], table: int64(p.rng.IntN(3)), index: a.index, at: p.now}
		p.in(p.span(0, 30*time.Millisecond), a, func() {
			if !a.word.Enter(a.clock(p), version, bound) {
				return
			}
			p.acted(a, id, version, policy)
			p.check.Drawn(p.now, id, x.team, x.table)
			p.in(p.span(0, 200*time.Microsecond), a, a.word.Leave)
			p.in(p.span(0, 500*time.Millisecond), a, func() { // the answer is there
				for _, o := range a.drops {
					if dropped(o, x) {
						return
					}
				}
				if len(a.items) < 40 {
					a.items[id] = x
				}
			})
		})
	}
	if a.word.May(a.clock(p), true) != 0 && len(a.items) > 0 {
		ids := slices.Sorted(maps.Keys(a.items))
		id := ids[p.rng.IntN(len(ids))]
		for _, o := range a.drops {
			if dropped(o, a.items[id]) {
				return
			}
		}
		p.check.Served(p.now, p.now, a.name, id)
	}
}

func (p *play) acted(a *actor, query string, version uint64, policy string) {
	p.check.Acted(p.now, p.now, a.name, query, version)
	if rest, ok := strings.CutPrefix(policy, "policy of "); ok {
		id, _, _ := strings.Cut(rest, " ")
		p.check.ActedFor(p.now, a.name, query, id)
	}
	if a.gone && !a.seen { // once: it would hide what else is broken
		a.seen = true
		p.broken("%s was forgotten, and acts on %s", a.name, query)
	}
}

func (p *play) askAll() {
	for _, o := range p.ops {
		p.ask(o, true)
	}
}

func (p *play) broken(form string, args ...any) {
	if len(p.out.Broken) < 20 {
		p.out.Broken = append(p.out.Broken, fmt.Sprintf("seed %d at %v: ", p.Seed, p.now)+fmt.Sprintf(form, args...))
	}
}

func (p *play) verdict() {
	version := uint64(0)
	for _, a := range p.all {
		version = max(version, a.version)
	}
	policy := ""
	for _, a := range p.all {
		if a.version == version {
			policy = a.policy
		}
	}
	for _, a := range p.all {
		if strings.HasSuffix(policy, " unfit for "+a.name) { // it was down when that was decided, and can't serve by it
			continue
		}
		if !a.gone && a.word.May(a.clock(p), false) != version {
			p.broken("half: %s acts by version %d after all was healed, not %d", a.name, a.word.May(a.clock(p), false), version)
		}
	}
	for _, h := range slices.Sorted(maps.Keys(p.asks)) {
		x := p.asks[h]
		if x.op.ask.Kind == "apply" { // who was asked is gone; it may have passed it on before
			p.words = append(p.words, check.Word{Client: len(p.words) % 7, From: x.from, ID: x.op.ask.ID, Base: x.op.ask.Base, Proposes: true, Word: "unknown"})
		}
		if x.last {
			p.broken("false_word: %s was asked for %s after all was healed and says nothing", x.at.name, x.op.ask.ID)
		}
	}
	for _, f := range p.check.Faults {
		p.broken("%v", f)
	}
	if ok, why := check.Agreed(p.words, 2*time.Second); !ok {
		p.broken("false_word: there is no order of these words:\n%s", why)
	}
	p.out.Changes, p.out.Withdrawn, p.out.Purges, p.out.Acts = p.check.Changes, p.check.Withdrawn, p.check.Purges, p.check.Acts
}

// Plan is a set of schedules: each seed alone, or the strikes at each of so many
// messages.
type Plan struct {
	Schedules []Schedule
}

// Random are so many schedules of a size, from a seed on.
func (l *Plan) Random(seed uint64, n, controllers, voters int, long time.Duration, faults float64) {
	for i := range n {
		l.Schedules = append(l.Schedules, Schedule{Seed: seed + uint64(i), Controllers: controllers, Voters: voters, Long: long,
			Lease: 800 * time.Millisecond, Faults: faults, Wire: i%8 == 0})
	}
}

// Struck are one schedule with a strike of each way at each of its messages from one to
// another, step apart.
func (l *Plan) Struck(seed uint64, from, to, step int) {
	for at := from; at <= to; at += step {
		for _, how := range Strikes {
			l.Schedules = append(l.Schedules, Schedule{Seed: seed, Controllers: 5, Voters: 3, Long: 4 * time.Second, Lease: 500 * time.Millisecond,
				Strike: &Strike{At: at, How: how}})
		}
	}
}

// Play plays all on so many threads until a time is over, and says how many were played.
func (l *Plan) Play(threads int, until time.Time) *Played {
	out := make([]*Played, len(l.Schedules))
	var next atomic.Int64
	var wg sync.WaitGroup
	for range threads {
		wg.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= len(l.Schedules) || !until.IsZero() && time.Now().After(until) {
					return
				}
				out[i] = l.Schedules[i].Play()
			}
		})
	}
	wg.Wait()
	all := &Played{}
	for _, p := range out {
		if p != nil {
			all.Add(p)
		}
	}
	return all
}

package bench

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

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/historycheck"
)

// Schedule is one play of many controllers' cores in virtual time: what is sent, lost,
// late and doubled, who stops, is killed and comes back, and when, follows from the seed.
type Schedule struct {
	Seed        uint64
	Controllers int // the first Voters of them vote
	Voters      int
	Control     bool          // voters and relays take no queries
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
	check    historycheck.FleetHistory
	out      *Played
	asks     map[uint64]*asking
	handles  uint64
	ops      []*operation
	words    []historycheck.ChangeReport
	settling bool
	revoted  bool // who votes was to be changed
	counting bool // messages are counted for the strike
	counted  int
	queries  int
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
		a.member = fleet.Member{Name: name, DiskID: a.disk, Site: []string{"east", "west"}[i%2], PeerAddress: name + ":1", ClientAddress: name + ":2",
			ControlOnly: s.Control && i < s.Voters+s.Relays}
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
		if !a.gone && a.word.ServingVersion(a.clock(p), false) != version {
			p.broken("half: %s acts by version %d after all was healed, not %d", a.name, a.word.ServingVersion(a.clock(p), false), version)
		}
	}
	for _, h := range slices.Sorted(maps.Keys(p.asks)) {
		x := p.asks[h]
		if x.op.ask.Kind == "apply" { // who was asked is gone; it may have passed it on before
			p.words = append(p.words, historycheck.ChangeReport{Client: len(p.words) % 7, From: x.from,
				ID: x.op.ask.ID, Base: x.op.ask.BaseVersion, Proposes: true, Outcome: "unknown"})
		}
		if x.last {
			p.broken("false_word: %s was asked for %s after all was healed and says nothing", x.at.name, x.op.ask.ID)
		}
	}
	for _, f := range p.check.Faults {
		p.broken("%v", f)
	}
	if ok, why := historycheck.Linearizable(p.words, 2*time.Second); !ok {
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

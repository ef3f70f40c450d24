package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/node"
)

// actor is one controller: a core, what its disk holds, and a model of its reducer.
type actor struct {
	name    string
	disk    string
	member  fleet.Member
	core    *node.Core
	boot    uint64
	began   time.Duration
	rate    float64 // its clock's
	kept    consensus.PersistentState
	storing *consensus.PersistentState
	slow    time.Duration // its disk is, until
	wake    int
	stopped time.Duration // it does nothing until then
	down    bool
	gone    bool // its name was forgotten
	seen    bool // and that it acted all the same was told

	word    *fleet.ServingState
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

// start begins a controller from what its disk holds.
func (p *play) start(a *actor) {
	a.boot = p.rng.Uint64() | 1
	a.began, a.down, a.stopped, a.storing = p.now, false, 0, nil
	a.word = new(fleet.ServingState)
	a.version, a.policy, a.queue, a.busy, a.index, a.shut = 0, "", nil, false, 0, ""
	a.drops = map[string]fleet.Order{}
	var voters []consensus.Voter
	for _, v := range p.all[:p.Voters] {
		voters = append(voters, consensus.Voter{Name: v.name, Address: v.member.PeerAddress})
	}
	p.check.Note(p.now, a.name+" starts", a.name)
	begin := node.Config{Self: a.member, Voters: voters, Lease: p.Lease, ConfinedLease: p.Lease / 2, ClockDrift: 0.01,
		ElectionTimeout: 300 * time.Millisecond, HeartbeatInterval: 60 * time.Millisecond, Seed: p.rng.Uint64(), Incarnation: a.boot, Persisted: clone(a.kept), SnapshotAfterEntries: 3 + int(p.Seed%30)}
	begin.IsRelay, begin.Relays = p.upstreams(a)
	core, effects, err := node.New(begin)
	if err != nil {
		p.broken("%s can't start: %v", a.name, err)
		a.down = true
		return
	}
	a.core = core
	p.effects(a, effects)
	if !a.member.ControlOnly {
		p.in(p.span(0, 20*time.Millisecond), a, func() { p.take(a) })
	}
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
		upstreams = append(upstreams, node.Upstream{Name: via.name, Address: via.member.PeerAddress})
	}
	return false, upstreams
}

func clone(k consensus.PersistentState) consensus.PersistentState {
	k.HardState, k.Entries = slices.Clone(k.HardState), slices.Clone(k.Entries)
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
		case node.Persist:
			if a.storing != nil {
				p.broken("%s stores while it stores", a.name)
			}
			k := *e.Writes
			a.storing = &k
			took := p.span(100*time.Microsecond, 3*time.Millisecond)
			if p.now < a.slow {
				took += p.span(20*time.Millisecond, 300*time.Millisecond)
			}
			p.in(took, a, func() {
				a.keep(k, len(k.Entries))
				a.storing = nil
				p.step(a, node.Event{Kind: node.WritesPersisted})
			})
		case node.ValidatePolicy:
			change, text := e.ChangeID, string(e.PolicyText)
			p.in(p.span(0, 5*time.Millisecond), a, func() {
				ev := node.Event{Kind: node.PolicyValidated, ChangeID: change, Policy: text}
				if text == "" {
					ev.Policy = "the set-up's"
				}
				if _, rest, had := strings.Cut(text, " voters "); had {
					names, _, _ := strings.Cut(rest, " unfit")
					for name := range strings.SplitSeq(names, ",") {
						ev.Voters = append(ev.Voters, name+"="+p.byName[name].member.PeerAddress)
					}
				}
				if strings.HasSuffix(text, " unfit for "+a.name) {
					ev.Reason = "no team is called so here"
				}
				p.step(a, ev)
			})
		case node.OrderController:
			a.queue = append(a.queue, e.Order)
			p.work(a)
		case node.Respond:
			p.told(e.Handle, e.Response)
		case node.SetTimer:
			a.wake++
			n := a.wake
			p.in(time.Duration(float64(max(0, e.Delay))/a.rate)+1, a, func() {
				if n == a.wake {
					p.step(a, node.Event{Kind: node.TimerFired})
				}
			})
		case node.LogMessage:
			if e.LogAlways {
				p.check.Note(p.now, a.name+" says: "+e.LogText, a.name)
			}
		}
	}
}

// keep takes so many of a store's records to disk, and with all of them the rest.
func (a *actor) keep(k consensus.PersistentState, records int) {
	if s := k.Snapshot; s != nil {
		a.kept.Snapshot = s
		a.kept.Entries = slices.DeleteFunc(slices.Clone(a.kept.Entries), func(r consensus.LogEntry) bool { return r.Index <= s.Index })
	}
	for _, r := range k.Entries[:records] {
		if i := slices.IndexFunc(a.kept.Entries, func(x consensus.LogEntry) bool { return x.Index >= r.Index }); i >= 0 {
			a.kept.Entries = slices.Clone(a.kept.Entries[:i])
		}
		a.kept.Entries = append(a.kept.Entries, r)
	}
	if k.HardState != nil && records == len(k.Entries) {
		a.kept.HardState = k.HardState
	}
}

// kill ends a controller; what it was storing is on its disk or not.
func (p *play) kill(a *actor) {
	if a.down {
		return
	}
	if k := a.storing; k != nil && p.rng.IntN(2) == 0 {
		a.keep(*k, len(k.Entries))
	}
	a.down, a.storing = true, nil
	p.check.Note(p.now, a.name+" is killed", a.name)
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
	p.in(p.span(0, 300*time.Microsecond), a, func() { p.step(a, node.Event{Kind: node.ControllerReported, Report: r}) })
}

func (p *play) order(a *actor, o fleet.Order) {
	switch o.Kind {
	case fleet.FencePolicy:
		a.word.SetVersion(0)
		a.version, a.shut = 0, o.ChangeID
		p.check.Note(p.now, a.name+" is shut for "+o.ChangeID, a.name, o.ChangeID)
		p.shut(a)
	case fleet.ActivatePolicy:
		a.version, a.shut = o.Version, ""
		a.policy, _ = o.Policy.(string)
		a.word.SetVersion(o.Version)
		p.check.Note(p.now, fmt.Sprintf("%s opens by version %d", a.name, o.Version), a.name, fmt.Sprint("version ", o.Version))
		p.report(a, fleet.Report{Kind: fleet.PolicyActivated, Version: o.Version})
	case fleet.LeaseRenewed:
		a.word.SetLease(o.LeaseEnd, o.ConfinedLeaseEnd)
	case fleet.ViewChanged:
		a.index = o.View.Index
	case fleet.InvalidateData:
		a.drops[o.ID] = o
		p.report(a, fleet.Report{Kind: fleet.DataTombstoned, ID: o.ID})
		p.in(p.span(0, 100*time.Millisecond), a, func() {
			var c fleet.InvalidationCounts
			for id, x := range a.items {
				if dropped(o, x) {
					delete(a.items, id)
					c.Results++
				}
			}
			p.report(a, fleet.Report{Kind: fleet.DataErased, ID: o.ID, Counts: c})
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
	if a.word.WritesFinished() {
		p.report(a, fleet.Report{Kind: fleet.PolicyFenced, ChangeID: a.shut})
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
	version := a.word.ServingVersion(a.clock(p), bound)
	p.queries++
	id := fmt.Sprintf("q%d", p.queries)
	policy := a.policy
	if version != 0 {
		p.acted(a, id, version, policy)
		x := item{team: teamsPlayed[p.rng.IntN(2)], table: int64(p.rng.IntN(3)), index: a.index, at: p.now}
		p.in(p.span(0, 30*time.Millisecond), a, func() {
			if !a.word.BeginWrite(a.clock(p), version, bound) {
				return
			}
			p.acted(a, id, version, policy)
			p.check.ResultStarted(p.now, id, x.team, x.table)
			p.in(p.span(0, 200*time.Microsecond), a, a.word.EndWrite)
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
	if a.word.ServingVersion(a.clock(p), true) != 0 && len(a.items) > 0 {
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
		p.check.ActedByChange(p.now, a.name, query, id)
	}
	if a.gone && !a.seen { // once: it would hide what else is broken
		a.seen = true
		p.broken("%s was forgotten, and acts on %s", a.name, query)
	}
}

package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/node"
	"railrelay.dev/railrelay/internal/historycheck"
)

// operation is one change or purge, asked for at one place and again at others.
type operation struct {
	ask   fleet.Request
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
		o := &operation{ask: fleet.Request{Kind: "apply", ID: fmt.Sprintf("change-%d", i), RequestedBy: "op", BaseVersion: base, WaitMs: 2000}}
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
			o.ask.AbortAfterMs = p.span(100*time.Millisecond, 4*p.Lease).Milliseconds()
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
		o := &operation{ask: fleet.Request{Kind: "purge", ID: fmt.Sprintf("purge-%d", n), RequestedBy: "op", WaitMs: 2000,
			Scope: &fleet.Scope{Team: teamsPlayed[p.rng.IntN(2)]}}}
		if p.rng.IntN(2) == 0 {
			o.ask.Scope.Tables = []int64{int64(p.rng.IntN(3))}
		}
		if p.rng.IntN(2) == 0 {
			o.ask.AwaitedStage = "unreachable"
		}
		p.ops = append(p.ops, o)
		p.check.PurgeRequested(p.now, o.ask.ID, *o.ask.Scope)
		p.ask(o, false)
	case x == 7 && !p.Apart && p.Controllers > p.Voters && !p.revoted && p.rng.IntN(4) == 0: // a follower's disk is destroyed
		a := p.all[p.Voters+p.rng.IntN(p.Controllers-p.Voters)]
		if a.gone {
			return
		}
		a.gone = true
		p.kill(a)
		o := &operation{ask: fleet.Request{Kind: "forget", ID: "forget-" + a.name, RequestedBy: "op", Name: a.name, WaitMs: 2000}}
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
			ask.AwaitedStage = ""
		}
		p.in(p.span(0, time.Millisecond), a, func() {
			p.step(a, node.Event{Kind: node.OperatorRequested, Request: &ask, Handle: h})
		})
		return
	}
}

func (p *play) told(handle uint64, r *fleet.Response) {
	x := p.asks[handle]
	if x == nil {
		p.broken("an answer to what nobody asks: %+v", *r)
		return
	}
	delete(p.asks, handle)
	o := x.op
	if r.Outcome != "unknown" {
		o.done = true
	}
	switch o.ask.Kind {
	case "apply":
		p.check.ChangeReported(p.now, x.at.name, o.ask.ID, r.Outcome, r.Version)
		p.words = append(p.words, historycheck.ChangeReport{Client: len(p.words) % 7, From: x.from, To: p.now + 1,
			ID: o.ask.ID, Base: o.ask.BaseVersion, Proposes: true, Outcome: r.Outcome, Version: r.Version})
	case "purge":
		p.check.PurgeReported(p.now, x.at.name, o.ask.ID, r.Outcome, r.Counts)
		if r.Outcome == "purged" {
			for _, a := range p.all {
				for _, id := range slices.Sorted(maps.Keys(a.items)) {
					if !a.gone {
						p.check.FoundOnDisk(p.now+1, a.name, id)
					}
				}
			}
		}
	case "forget":
		if r.Outcome == "forgotten" {
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
	if x.last && r.Outcome == "unknown" {
		p.broken("%s asked for %s after all was healed: unknown, %s, outstanding %v", x.at.name, o.ask.ID, r.Stage, r.Outstanding)
	}
}

func (p *play) askAll() {
	for _, o := range p.ops {
		p.ask(o, true)
	}
}

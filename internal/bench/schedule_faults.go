package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"railrelay.dev/railrelay/internal/fleet/node"
)

func (p *play) send(a *actor, e node.Effect) {
	to := p.byName[e.To]
	if to == nil {
		p.broken("%s sends to %s, whom nobody knows", a.name, e.To)
		return
	}
	p.out.Messages++
	m := e.Message
	if m.Grant != nil && m.Grant.Granted {
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
			p.in(0, to, func() { p.step(to, node.Event{Kind: node.MessageReceived, Message: m}) })
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

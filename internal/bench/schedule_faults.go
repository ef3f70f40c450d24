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

func (p *scheduleRun) send(a *simulatedController, e node.Effect) {
	to := p.byName[e.To]
	if to == nil {
		p.addViolation("%s sends to %s, whom nobody knows", a.name, e.To)
		return
	}
	p.result.Messages++
	m := e.Message
	if m.Grant != nil && m.Grant.Granted {
		p.leader = a.name
	}
	if p.EncodeMessages {
		text, err := cbor.Marshal(m)
		m = &node.Message{}
		if err == nil {
			err = cbor.Unmarshal(text, m)
		}
		if err != nil {
			p.addViolation("a message can't be encoded: %v", err)
			return
		}
	}
	late, times := p.randomDuration(100*time.Microsecond, 2*time.Millisecond), 1
	if p.now < p.lossyUntil {
		switch x := p.rng.IntN(10); {
		case x == 0:
			p.countFault("lost", a.name, to.name)
			return
		case x == 1:
			times = 2
			p.countFault("doubled", a.name, to.name)
		case x <= 3:
			late += p.randomDuration(0, 400*time.Millisecond)
			p.countFault("late", a.name, to.name)
		}
	}
	if p.countMessages && p.MessageFault != nil {
		if p.countedMessages++; p.countedMessages == p.MessageFault.MessageNumber {
			how := p.MessageFault.Kind
			p.history.Note(p.now, fmt.Sprintf("message %d, from %s to %s: %s", p.countedMessages, a.name, to.name, how), a.name, to.name)
			p.countFault(how, a.name, to.name)
			back := p.randomDuration(20*time.Millisecond, 3*p.Lease)
			switch how {
			case "lost":
				return
			case "doubled":
				times = 2
			case "late":
				late += p.randomDuration(50*time.Millisecond, 2*p.Lease)
			case "sender", "receiver":
				x := a
				if how == "receiver" {
					x = to
				}
				p.scheduleAfter(0, nil, func() { p.kill(x) })
				p.scheduleAfter(back, nil, func() {
					if x.down {
						p.startController(x)
					}
				})
			case "stopped":
				to.pausedUntil = p.now + back
			case "cut":
				p.cutUntil[[2]string{a.name, to.name}] = p.now + back
				return
			}
		}
	}
	for range times {
		p.scheduleAfter(late, nil, func() {
			if p.now < p.cutUntil[[2]string{a.name, to.name}] || to.down {
				return
			}
			p.scheduleAfter(0, to, func() { p.step(to, node.Event{Kind: node.MessageReceived, Message: m}) })
		})
	}
}

// describeState is how far what is under way has come, as far as the operators were told.
func (p *scheduleRun) describeState() string {
	kinds := map[string]bool{}
	for _, o := range p.operations {
		if !o.done {
			kinds[o.request.Kind] = true
		}
	}
	closed, opened := 0, map[uint64]bool{}
	for _, a := range p.fleet {
		if !a.down && a.fencedChange != "" || a.version == 0 {
			closed++
		}
		opened[a.version] = true
	}
	at := "all open"
	switch {
	case closed == len(p.fleet):
		at = "all shut"
	case closed > 0:
		at = "some shut"
	}
	return strings.Join(slices.Sorted(maps.Keys(kinds)), "+") + ", " + at + fmt.Sprintf(", %d versions", len(opened))
}

func (p *scheduleRun) countFault(how string, who ...string) {
	p.result.FaultsByKind[how]++
	role := "followers"
	for _, w := range who {
		switch i := slices.Index(p.fleet, p.byName[w]); {
		case w == p.leader:
			role = "leader"
		case i < p.Voters && role != "leader":
			role = "voter"
		}
	}
	p.result.FaultStates[how+" of "+role+": "+p.describeState()]++
}

// injectFaults lets one come and calls for the next.
func (p *scheduleRun) injectFaults() {
	if p.settling || p.FaultsPerSecond <= 0 {
		return
	}
	p.scheduleAfter(time.Duration(p.rng.ExpFloat64()/p.FaultsPerSecond*float64(time.Second)), nil, p.injectFaults)
	a := p.fleet[p.rng.IntN(len(p.fleet))]
	if l := p.byName[p.leader]; l != nil && p.rng.IntN(2) == 0 {
		a = l
	}
	if a.forgotten {
		return
	}
	back := p.randomDuration(20*time.Millisecond, 3*p.Lease)
	again := func(x *simulatedController) func() {
		return func() {
			if x.down && !x.forgotten {
				p.startController(x)
			}
		}
	}
	switch p.rng.IntN(11) {
	case 0, 1:
		if !a.down {
			p.countFault("killed", a.name)
			p.kill(a)
			p.scheduleAfter(back, nil, again(a))
		}
	case 2, 3:
		if !a.down && p.now >= a.pausedUntil {
			p.countFault("stopped", a.name)
			a.pausedUntil = p.now + back
			p.history.Note(p.now, fmt.Sprintf("%s is stopped for %v", a.name, back), a.name)
		}
	case 4: // cut off from all
		p.countFault("cut off", a.name)
		for _, x := range p.fleet {
			p.cutUntil[[2]string{a.name, x.name}], p.cutUntil[[2]string{x.name, a.name}] = p.now+back, p.now+back
		}
		p.history.Note(p.now, fmt.Sprintf("%s is cut off for %v", a.name, back), a.name)
	case 5: // it hears and isn't heard, or the other way round
		p.countFault("one way", a.name)
		heard := p.rng.IntN(2) == 0
		for _, x := range p.fleet {
			if key := [2]string{a.name, x.name}; heard {
				p.cutUntil[[2]string{x.name, a.name}] = p.now + back
			} else {
				p.cutUntil[key] = p.now + back
			}
		}
	case 6: // in two halves
		p.countFault("halved", a.name)
		side := make([]bool, len(p.fleet))
		for i := range side {
			side[i] = p.rng.IntN(2) == 0
		}
		for i, x := range p.fleet {
			for j, y := range p.fleet {
				if side[i] != side[j] {
					p.cutUntil[[2]string{x.name, y.name}] = p.now + back
				}
			}
		}
	case 7:
		p.lossyUntil = p.now + back
	case 8:
		p.countFault("slow disk", a.name)
		a.slowDiskUntil = p.now + back
	case 10: // killed, and started while it is cut off from all: it knows no more than its disk does
		if a.down {
			return
		}
		p.countFault("started cut off", a.name)
		p.kill(a)
		p.scheduleAfter(back, nil, again(a))
		apart := p.now + back + p.randomDuration(p.Lease/2, 3*p.Lease)
		for _, x := range p.fleet {
			p.cutUntil[[2]string{a.name, x.name}], p.cutUntil[[2]string{x.name, a.name}] = apart, apart
		}
	case 9:
		if p.rng.IntN(3) > 0 {
			return
		}
		p.countFault("all killed", a.name)
		for _, x := range p.fleet {
			if !x.down {
				p.kill(x)
				p.scheduleAfter(p.randomDuration(10*time.Millisecond, back), nil, again(x))
			}
		}
	}
}

// restartIsolated kills a follower for longer than its lease, in which the rest goes on, and
// starts it while it is cut off from all: it knows no more than its disk does.
func (p *scheduleRun) restartIsolated() {
	if p.settling {
		return
	}
	a := p.fleet[p.Voters+p.rng.IntN(p.Controllers-p.Voters)]
	p.countFault("started cut off", a.name)
	p.kill(a)
	back := 2*p.Lease + p.randomDuration(0, p.Lease)
	p.scheduleAfter(back, nil, func() {
		if a.down {
			p.startController(a)
		}
	})
	for _, x := range p.fleet {
		p.cutUntil[[2]string{a.name, x.name}], p.cutUntil[[2]string{x.name, a.name}] = p.now+back+2*p.Lease, p.now+back+2*p.Lease
	}
	p.scheduleAfter(back+3*p.Lease, nil, p.restartIsolated)
}

func (p *scheduleRun) heal() {
	clear(p.cutUntil)
	p.lossyUntil = 0
	for _, a := range p.fleet {
		a.slowDiskUntil, a.pausedUntil = 0, min(a.pausedUntil, p.now)
		if a.down && !a.forgotten {
			p.startController(a)
		}
	}
}

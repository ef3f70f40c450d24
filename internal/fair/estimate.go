package fair

import (
	"math"
	"time"
)

// An estimate is a fluid model of the lane, solved anew for each query that
// comes. The lane lets work go at the rate it was seen to while it was full. A
// query starts when its team has been served what it has waiting before it; by
// then each rival has been served up to the same level, but no more than it has
// waiting and what it will send meanwhile, and no more than its budget:
//
//	level = (ahead + lead + elsewhere*T) / share
//	T = (passed + ahead + sum over rivals of min(share*level - lead - elsewhere*T,
//	     backlog + rate*T, tokens + budget*T)) / (flow - rate of those who don't wait)
//
// lead is what a team was charged beyond the mean of its siblings, elsewhere the
// rate at which it is charged in other lanes. T stands on both sides; it is found
// by going round a few times.

// rival is a team with queries waiting in a lane.
type rival struct {
	n                *node
	share            float64 // of all weights, down from the root
	lead, backlog    float64 // as they are at the moment
	rate, elsewhere  float64
	tokens, refilled float64
}

// profile is a lane's rivals. Beyond profileMost teams it is a sample of them,
// each standing for scale.
type profile struct {
	rivals []rival
	at     time.Duration
	teams  int // how many waited when it was made
	scale  float64
	idle   float64 // the rate of those of whom none wait
	scanAt int
}

const (
	profileMost = 32
	profileAge  = 20 * time.Millisecond
	rounds      = 5
)

func (c *Core) profile(i int) *profile {
	l := &c.lanes[i]
	p := &l.profile
	few := max(p.teams, l.teams) <= profileMost
	if p.at != 0 && c.now-p.at < profileAge && (p.teams == l.teams || !few && 8*abs(p.teams-l.teams) < p.teams) {
		return p
	}
	p.at, p.teams, p.rivals, p.scanAt = max(1, c.now), l.teams, p.rivals[:0], 0
	step := max(1, (l.teams+profileMost-1)/profileMost)
	p.scale = float64(step)
	c.gather(p, c.root, i, 1, step)
	waiting := 0.0
	for _, r := range p.rivals {
		waiting += r.rate * p.scale
	}
	p.idle = max(0, l.comes.per(c.now)-waiting)
	return p
}

// gather walks the teams that wait in a lane and keeps each step-th.
func (c *Core) gather(p *profile, n *node, i int, share float64, step int) {
	for _, band := range n.heaps {
		for _, x := range band[i] {
			e := share
			if n.heavy > 0 {
				e *= x.weight / n.heavy
			}
			if x.lists == nil {
				c.gather(p, x, i, e, step)
				continue
			}
			if p.scanAt++; p.scanAt%step != 0 && step > 1 {
				continue
			}
			r := rival{n: x, share: e, rate: x.rate[i].per(c.now), tokens: math.Inf(1)}
			for k := range x.rate {
				if k != i {
					r.elsewhere += x.rate[k].per(c.now)
				}
			}
			for up := x; up.parent != nil; up = up.parent {
				if up.budget > 0 {
					t := up.tokens + up.budget*(c.now-up.tokensAt).Seconds()
					if part := up.weightOf(x); t*part < r.tokens {
						r.tokens, r.refilled = t*part, up.budget*part
					}
				}
			}
			p.rivals = append(p.rivals, r)
		}
	}
}

// weightOf is the part of n's share that is a team's below it.
func (n *node) weightOf(x *node) float64 {
	part := 1.0
	for ; x != n; x = x.parent {
		part *= x.weight / max(x.weight, x.parent.heavy)
	}
	return part
}

// lead is what a team is ahead of its siblings, in thread seconds, with its part
// of what its kind is ahead.
func (n *node) lead() float64 {
	sum, part := 0.0, 1.0
	for x := n; x.parent != nil; x = x.parent {
		if x.busy > 0 {
			sum += part * x.weight * (x.tag - x.parent.mean())
		}
		part *= x.weight / max(x.weight, x.parent.heavy)
	}
	return sum
}

func (n *node) share() float64 {
	part := 1.0
	for x := n; x.parent != nil; x = x.parent {
		heavy := x.parent.heavy
		if x.busy == 0 { // it is about to be
			heavy += x.weight
		}
		part *= x.weight / heavy
	}
	return part
}

// flowOf is what a lane lets go a second when full.
func (c *Core) flowOf(l *lane) float64 {
	r, known := l.flow.per()
	// before enough of that was seen: what runs, over how long it runs
	guess := 0.0
	for i := range c.lanes {
		x := &c.lanes[i]
		guess += float64(x.running-x.handed) * x.cost.or(max(1e-4, x.Usual.Seconds())) / max(1e-3, c.runs(x))
	}
	trust := known / (known + 0.05)
	return max(1e-6, trust*r+(1-trust)*guess)
}

// capacity is what all lanes let go a second, as far as that was seen.
func (c *Core) capacity() float64 {
	sum := 0.0
	for i := range c.lanes {
		r, _ := c.lanes[i].flow.per()
		sum += r
	}
	return max(sum, 1)
}

// estimate is how long a query that comes now, or waits with so much of its team
// before it, waits until it starts.
func (c *Core) estimate(w *Waiter) time.Duration {
	l := &c.lanes[w.Lane]
	t := 0.0
	if l.full {
		t = c.solve(w, l, w.leaf.backlog[w.Lane])
	} else if c.contended(w.Lane) {
		t = c.way(w, w.leaf.backlog[w.Lane])
	}
	return max(seconds(t), c.inLine(w, l, seconds(t)))
}

// way is how long a team makes way before its next goes, with so much of it ahead.
func (c *Core) way(w *Waiter, ahead float64) float64 {
	n := w.leaf
	over := ahead - c.lead(n)
	if n.busy > 0 {
		over += n.lead()
	}
	elsewhere := 0.0
	for k := range n.rate {
		if k != w.Lane {
			elsewhere += n.rate[k].per(c.now)
		}
	}
	gain := n.share() * c.capacity()
	return max(0, over) / max(gain-min(elsewhere, 0.8*gain), 1e-3)
}

func (c *Core) solve(w *Waiter, l *lane, ahead float64) float64 {
	p := c.profile(w.Lane)
	n := w.leaf
	flow := c.flowOf(l)
	free := max(flow-p.idle, flow/20)
	share, lead, elsewhere := n.share(), 0.0, 0.0
	if n.busy > 0 {
		lead = n.lead()
	}
	for k := range n.rate {
		if k != w.Lane {
			elsewhere += n.rate[k].per(c.now)
		}
	}
	for k := range p.rivals {
		r := &p.rivals[k]
		r.lead, r.backlog = r.n.lead(), r.n.backlog[w.Lane]
	}
	// twice: as its weight has it, and as one beyond its budget has it, behind all
	// who are within theirs
	tokens, refilled := c.tokensOf(n)
	fluid := func(last bool) float64 {
		t := (l.passed + ahead) / free
		for range rounds {
			level := max(0, ahead+lead+elsewhere*t) / share
			sum := l.passed + ahead
			for k := range p.rivals {
				r := &p.rivals[k]
				if r.n == n {
					continue
				}
				x := r.share*level - r.lead - r.elsewhere*t + w.est/2
				if last && r.tokens > 0 {
					x = math.Inf(1)
				}
				x = min(x, r.backlog+r.rate*t, max(0, r.tokens)+r.refilled*t)
				sum += max(0, x) * p.scale
			}
			t = (t + 2*sum/free) / 3
		}
		return t
	}
	t := fluid(false)
	if need := ahead + w.est - tokens; need > 0 {
		t = max(t, min(need/max(refilled-elsewhere, refilled/10), fluid(true)))
	}
	return t * l.bias()
}

// tokensOf is the tightest budget over a team: what is left, and what comes back
// a second.
func (c *Core) tokensOf(n *node) (tokens, refilled float64) {
	tokens = math.Inf(1)
	for x := n; x.parent != nil; x = x.parent {
		if x.budget > 0 {
			if t := x.tokens + x.budget*(c.now-x.tokensAt).Seconds(); t < tokens {
				tokens, refilled = t, x.budget
			}
		}
	}
	return tokens, refilled
}

// inLine is what an order adds: those of its key before it have to be over, and
// of its chain one runs at a time, or for chainHeld until it goes alone.
func (c *Core) inLine(w *Waiter, l *lane, t time.Duration) time.Duration {
	if !l.Ordered && !l.Chained {
		return 0
	}
	run := seconds(c.runs(l))
	over := func(x *Waiter) time.Duration { // from now, when it should be over
		if x.state == running {
			return max(0, x.began+run-c.now)
		}
		return max(0, x.told-c.now) + run
	}
	by := time.Duration(0)
	if l.Ordered && w.Key >= 0 {
		if x := c.lines[lineID{0, w.Key}]; x != nil {
			if last := x.lastBefore(w, 0); last != nil {
				by = max(by, over(last))
			}
		}
	}
	if l.Chained {
		if x := c.lines[lineID{1, w.Chain}]; x != nil {
			if last := x.lastBefore(w, 1); last != nil {
				by = max(by, min(over(last), max(t, max(0, last.told-c.now))+chainHeld))
			}
		}
	}
	return by
}

// chainHeld is how long the decisions hold a load behind another of its tables.
const chainHeld = time.Second

// lastBefore is the one before w, or the last if w isn't in the line yet.
func (x *line) lastBefore(w *Waiter, kind int) *Waiter {
	if w.links[kind].line == x {
		return w.links[kind].prev
	}
	return x.last
}

// bias corrects what the model leaves out, by how its estimates came out of late.
func (l *lane) bias() float64 { return math.Exp(l.off.value) }

// learn compares the first estimate of one that started with what it waited.
func (l *lane) learn(told, had time.Duration) {
	const least = 125 * time.Millisecond
	if told < least || had < least/2 {
		return
	}
	// what was told held the bias of then; small steps find the rest
	err := math.Log(had.Seconds() / told.Seconds())
	l.off.value = min(0.5, max(-0.5, l.off.value+biasStep*min(1, max(-1, err))))
}

const biasStep = 0.004

// First is the first estimate of a query that Enter took, once all that may go
// at once went: nothing if it started, else what Enter told, and for one that was
// handed on and not sent the time to the lane's next start.
func (c *Core) First(now time.Duration, w *Waiter) time.Duration {
	c.at(now)
	switch {
	case w.state == running:
		w.Estimate = 0
	case w.state == passed:
		l := &c.lanes[w.Lane]
		w.Estimate = max(w.Estimate, seconds(min(w.est/c.flowOf(l), 1)))
	}
	w.told = c.now + w.Estimate
	return w.Estimate
}

// retell tells anew those who asked for it and whose wait has changed by much.
func (c *Core) retell(tell func(w *Waiter, wait time.Duration)) {
	kept := c.asking[:0]
	for _, w := range c.asking {
		if w.state != waits {
			w.listed = false
			continue
		}
		kept = append(kept, w)
		l := &c.lanes[w.Lane]
		t := 0.0
		if l.full {
			t = c.solve(w, l, max(0, w.ahead-w.leaf.gone[w.Lane]))
		}
		wait := max(seconds(t), c.inLine(w, l, seconds(t)))
		left := max(0, w.told-c.now)
		if change := max(wait-left, left-wait); change > retellLeast &&
			change.Seconds() > c.shape.Tell*left.Seconds() {
			w.told = c.now + wait
			tell(w, wait)
		}
	}
	clear(c.asking[len(kept):])
	c.asking = kept
}

const (
	retellLeast = 100 * time.Millisecond
	askingMost  = 4096 // told again, all together; the others hear the first estimate
)

func abs(x int) int { return max(x, -x) }

// Back is when a call of a team had better come, from now: the wait that it is
// thought to have then.
func (c *Core) Back(now time.Duration, w *Waiter) time.Duration {
	c.at(now)
	n := w.leaf
	if n == nil || !c.lanes[w.Lane].full {
		return 0
	}
	return seconds(c.solve(w, &c.lanes[w.Lane], n.backlog[w.Lane]))
}

// Latest is when a query that waits has to be given up: started later, it would
// not be over before its client leaves.
func (c *Core) Latest(w *Waiter) time.Duration {
	return max(w.entered, w.Until-seconds(c.runs(&c.lanes[w.Lane])))
}

// Each hands over all that wait, lane by lane, the oldest first. What it is
// handed may end meanwhile.
func (c *Core) Each(do func(w *Waiter)) {
	for i := range c.lanes {
		for w := c.lanes[i].oldest; w != nil; {
			next := w.newer
			do(w)
			w = next
		}
	}
}

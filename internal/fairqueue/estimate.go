package fairqueue

import (
	"math"
	"time"
)

// An estimate is a fluid model of all that is to be done before a query starts,
// solved anew for each that comes. Engines that are full do a certain amount of
// work a second, whichever lanes it is for; that rate is seen best from what ends
// while queries wait. What comes before the query is
//
//	what runs beyond what usually does when one is let go,
//	what was handed on and not sent, and what its team has waiting before it,
//	of each rival of its lane what it is served until the level is reached at
//	which the query's turn comes, but no more than it has waiting and will send
//	meanwhile, and no more than its budget,
//	of each other lane what goes of it beside, as it was seen while both waited,
//	but no more than it has waiting and what comes there meanwhile:
//
//	level = (ahead + lead + paid) / share
//	T = (excess + passed + ahead + sum over rivals of min(share*level - lead - paid,
//	     backlog + rate*T, tokens + budget*T) + sum over lanes of min(beside,
//	     backlog + rate*T)) / flow
//
// lead is what a team was charged beyond the mean of its siblings, paid what it
// will have been charged for work in other lanes and for what queries took beyond
// their usual work. T stands on both sides; it is found
// by going round a few times. Where less comes than is done, no wait is longer than
// it takes until nothing waits at all.

// rival is a team with queries waiting in a lane.
type rival struct {
	n                *node
	share            float64 // of all weights, down from the root
	lead, backlog    float64 // as they are at the moment
	owed             float64
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
	fresh  bool    // its rivals' standing was looked at since
	idle   float64 // the rate of those of whom none wait
	scanAt int
}

// amendsPart is how much of amends is paid while owedSpan's part of debts is.
const amendsPart = float64(owedSpan) / float64(amendsSpan)

// hardly is the part of a query's wait that a lane's queue may take which has all
// it asks for meanwhile: it waits for moments only.
const hardly = 0.05

const (
	profileMost = 16
	profileAge  = 20 * time.Millisecond
	rounds      = 4
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
	p.scale, p.fresh = float64(step), false
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
			r := rival{n: x, share: e, rate: x.rate[i].per(c.now), elsewhere: x.elsewhere(c.now, i), tokens: math.Inf(1)}
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

// lead is what a team is ahead of its siblings in a lane, in thread seconds, with
// its part of what its kind is ahead.
func (n *node) lead(k int) float64 {
	sum, part := 0.0, 1.0
	for x := n; x.parent != nil; x = x.parent {
		if x.busy > 0 {
			sum += part * x.weight * (x.tags[k] - x.parent.mean(k))
		}
		part *= x.weight / max(x.weight, x.parent.heavy)
	}
	return sum
}

// elsewhere is the rate at which a team is charged beside what it asks for in a lane.
func (n *node) elsewhere(now time.Duration, lane int) float64 {
	sum := n.overrun
	for k := range n.rate {
		if k != lane {
			sum += n.rate[k].per(now)
		}
	}
	return sum
}

// owes is what it is charged in a lane by and by, as fast as debts are.
func (n *node) owes(lane int) float64 { return n.owed[lane] + n.amends*amendsPart }

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

// capacity is the work done a second while queries wait: the part of the cores'
// that was seen to be, less what queries take that run far beyond their usual work
// and so is in nobody's estimate.
func (c *Core) capacity() float64 {
	used, known := c.done.per()
	trust := known / (known + 1)
	r := c.cores * min(1.5, trust*used+(1-trust))
	return max(r-(c.overrun+c.overruns.value)/2, r/10, 1e-3)
}

// comes is the work that usually comes a second.
func (c *Core) comes() (sum float64) {
	for i := range c.lanes {
		sum += c.lanes[i].comes.per(c.now)
	}
	return sum
}

// crowdLeast is how many queries of the largest lane at once are no crowd.
const crowdLeast = 6

// meanEst is what a query of the lane with the largest takes.
func (c *Core) meanEst() (most float64) {
	for i := range c.lanes {
		most = max(most, c.lanes[i].cost.or(0))
	}
	return most
}

// against is how much of lane h goes while so much of lane g does, and both wait.
func (c *Core) against(h, g int) float64 {
	p := &c.pairs[g*len(c.lanes)+h]
	const prior = 0.5 // thread seconds of each
	return (p[1] + prior) / (p[0] + prior)
}

// pairsKeep bounds the memory of pairs, in thread seconds.
const pairsKeep = 25

// went counts what goes of a lane against all others that wait too.
func (c *Core) went(i int, work float64) {
	n := len(c.lanes)
	for k := range c.lanes {
		if k == i || c.lanes[k].waiting == 0 || c.lanes[i].waiting == 0 {
			continue
		}
		c.pairs[i*n+k][0] += work
		c.pairs[k*n+i][1] += work
		for _, p := range []*[2]float64{&c.pairs[i*n+k], &c.pairs[k*n+i]} {
			if sum := p[0] + p[1]; sum > pairsKeep {
				p[0], p[1] = p[0]*pairsKeep/sum, p[1]*pairsKeep/sum
			}
		}
	}
}

// remains is the work left of all that runs, as far as it goes by estimates:
// engines share their cores among the threads that run.
func (c *Core) remains() float64 {
	return max(0, c.inFlight-min(c.threads, c.cores)*(c.now-c.sweptAt).Seconds())
}

// excess is the work that runs beyond what usually does when a query that waited
// is let go: crowds get in before engines show that they are full.
func (c *Core) excess() float64 {
	if c.level.count < 5 {
		return 0
	}
	return max(0, c.remains()-1.1*c.level.value)
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
	w.raw = t
	t *= l.trim.by(c.now, t)
	return max(seconds(t), c.inLine(w, l, seconds(t)))
}

// way is how long a team makes way before its next goes, with so much of it ahead.
func (c *Core) way(w *Waiter, ahead float64) float64 {
	n := w.leaf
	over := ahead - c.lead(n)
	if n.busy > 0 {
		over += n.lead(len(c.lanes))
	}
	gain := max(n.share()*c.capacity(), 1e-3)
	return max(0, over) / gain
}

func (c *Core) solve(w *Waiter, l *lane, ahead float64) float64 {
	p := c.profile(w.Lane)
	n := w.leaf
	flow := c.capacity()
	share, lead, elsewhere := n.share(), 0.0, n.elsewhere(c.now, w.Lane)
	if n.busy > 0 {
		lead = n.lead(w.Lane)
	}
	owed := n.owes(w.Lane)
	for k := range p.rivals {
		if p.scale > 1 && p.fresh { // a sample is as good a few ms later
			break
		}
		r := &p.rivals[k]
		r.owed = r.n.owes(w.Lane)
		r.lead, r.backlog = r.n.lead(w.Lane), r.n.backlog[w.Lane]
	}
	excess := c.excess()
	p.fresh = true
	fixed := excess + l.passed + ahead
	bound := math.Inf(1) // until nothing waits at all
	all, come := fixed, 0.0
	for i := range c.lanes {
		x := &c.lanes[i]
		if come += x.comes.per(c.now); x != l {
			all += c.root.backlog[i] + x.passed
		} else {
			all += c.root.backlog[i] - ahead
		}
	}
	times, left := c.crowd.times(c.now, come), c.crowd.left(c.now)
	if come < 0.95*flow {
		bound = (all + (times-1)*come*left) / (flow - come)
	}
	// twice: as its weight has it, and as one beyond its budget has it, behind all
	// who are within theirs
	tokens, refilled := c.tokensOf(n)
	fluid := func(last bool) float64 {
		t := fixed / flow
		for range rounds {
			paid := t / (t + owedSpan.Seconds()) // of what is owed, about
			level := max(0, ahead+lead+(owed+elsewhere*t/2)*paid) / share
			ct := t + (times-1)*min(t, left) // as much comes by then as usually in ct
			sum := fixed + p.idle*t
			for k := range p.rivals {
				r := &p.rivals[k]
				if r.n == n {
					continue
				}
				x := r.share*level - r.lead - (r.owed+r.elsewhere*t/2)*paid + w.est/2
				if last && r.tokens > 0 {
					x = math.Inf(1)
				}
				x = min(x, r.backlog+r.rate*ct, max(0, r.tokens)+r.refilled*t)
				sum += max(0, x) * p.scale
			}
			own := sum - excess
			for i := range c.lanes {
				if x := &c.lanes[i]; x != l && c.root.backlog[i] <= hardly*flow*t {
					sum += c.root.backlog[i] + x.passed + x.comes.per(c.now)*ct
				} else if x != l {
					sum += min(c.against(i, w.Lane)*own, c.root.backlog[i]+x.passed+x.comes.per(c.now)*ct)
				}
			}
			t = min(bound, (t+2*sum/flow)/3)
		}
		return t
	}
	t := fluid(false)
	if need := ahead + w.est - tokens; need > 0 {
		t = max(t, min(need/max(refilled-elsewhere, refilled/10), fluid(true)))
	}
	return t
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
				by = max(by, min(over(last), t+min(run, chainHeld)))
			}
		}
		if x, ok := c.links[w.Chain]; ok {
			by = max(by, min(max(0, x.until-c.now), t+chainHeld))
		}
	}
	return by
}

// chainHeld is how long the decisions hold a load behind another of its tables.
const chainHeld = time.Second

// chainLink is what of a chain was handed on and isn't over.
type chainLink struct {
	out   int
	until time.Duration // when it should be
}

// linked counts a load that was handed on, unlinked one that is over.
func (c *Core) linked(w *Waiter, l *lane) {
	x := c.links[w.Chain]
	x.out++
	x.until = max(x.until, c.now) + seconds(c.runs(l))
	c.links[w.Chain] = x
}

func (c *Core) unlinked(w *Waiter) {
	if x := c.links[w.Chain]; x.out > 1 {
		x.out--
		c.links[w.Chain] = x
	} else {
		delete(c.links, w.Chain)
	}
}

// lastBefore is the one before w, or the last if w isn't in the line yet.
func (x *line) lastBefore(w *Waiter, kind int) *Waiter {
	if w.links[kind].line == x {
		return w.links[kind].prev
	}
	return x.last
}

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
		w.Estimate = max(w.Estimate, seconds(min((c.excess()+l.passed)/c.capacity(), 1)))
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
		t *= l.trim.by(c.now, t)
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
		for e := c.lanes[i].byAge.First(); e != nil; {
			next := e.Next()
			do(e.Value)
			e = next
		}
	}
}

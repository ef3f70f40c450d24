// Package fairqueue says whose query is next, how long each will wait, and which
// running ones make way. It stands before the decisions: these choose engines
// and what is turned away for want of them; this chooses whose turn it is
// whenever they would take one more.
//
// It is a pure core: no I/O, no clock, no goroutine. Times are spans since the
// start and never run backwards inside. Amounts of work are thread seconds.
package fairqueue

import (
	"net/netip"
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// Counts are what happened to a team's queries.
type Counts struct {
	Asked, Started, Finished, Deferred, Killed, Left, Repeated, Lowered int
	Charged                                                             float64       // thread seconds
	Told, Had                                                           time.Duration // sums of first estimates and waits, of those started
	Worst                                                               time.Duration // wait had
	LastStart                                                           time.Duration
}

// Verdict is what becomes of a query that came.
type Verdict struct {
	Taken    bool
	Estimate time.Duration // until it starts, or for a query not taken until it might
	Why      Refusal
}

// Refusal is why a query isn't let in.
type Refusal int

const (
	None    Refusal = iota
	TooLate         // it would start too late for its client
	TooLong         // it would wait longer than the bound of ageing
	TooMany         // of its team wait
	AllFull         // too many wait in all
)

var refusals = [...]string{"", "it would start too late", "it would wait longer than any may", "too many of its team wait", "too many wait"}

func (r Refusal) String() string { return refusals[r] }

// Core is all fairness of one controller.
type Core struct {
	shape    Shape
	plans    []plan
	children [][]int
	who      *Who
	lanes    []lane
	root     *node
	now      time.Duration
	seq      uint64
	made     uint64
	nodes    int
	waiting  int
	refills  refillHeap
	lines    map[lineID]*line
	links    map[int64]chainLink
	spare    *line // to use again
	again    memory
	waitedAt time.Duration // when somebody last waited
	cores    float64
	done     flow    // part of the cores' time that was used while queries waited
	overrun  float64 // thread time a second of queries far beyond their usual work
	overruns mean    // of it, while queries wait
	pairs    [][2]float64
	crowd    crowd
	level    mean    // work in flight when one that waited was let go
	inFlight float64 // work left of what runs, at the last sweep
	threads  float64 // that run
	service  float64 // seconds that each thread that runs was served so far
	running  list    // in the order they were handed on
	asking   []*Waiter

	debtors []*node
	idle    intrusivelist.List[node] // in the order in which they became so
	sweptAt time.Duration
	// Total counts all teams together.
	Total Counts
}

// New makes a core. The shape must have passed Check.
func New(shape Shape) *Core {
	c := &Core{lines: map[lineID]*line{}, links: map[int64]chainLink{}, cores: 1, waitedAt: -time.Hour}
	c.root = &node{weight: 1}
	c.reshape(shape)
	return c
}

// Whose is the team's number by what a call names, where its address may name a
// team, or by its address.
func (c *Core) Whose(from netip.Addr, named []byte) int { return c.who.Whose(from, named) }

// Team is the name of a number that Whose gave.
func (c *Core) Team(i int) string { return c.plans[i].Name }

// Bound is how long a team with a query waiting goes without a start at the most:
// Age, after which its query goes before all that came later, and a quarter of it
// for those that came earlier: of a team only the first that waits may grow as old.
func (c *Core) Bound() time.Duration { return c.shape.Age * 5 / 4 }

// Waiting is how many wait, Running how many were handed on and are not over.
func (c *Core) Waiting() int { return c.waiting }

// Known is how many teams have state, for the bounds on memory.
func (c *Core) Known() int { return c.nodes + len(c.lines) + len(c.links) + c.again.len() }

func (c *Core) at(now time.Duration) {
	c.now = max(c.now, now)
	for len(c.refills) > 0 && c.refills[0].refilled() <= c.now {
		n := c.refills[0]
		c.refill(n)
		if n.tokens < 0 { // rounding
			n.tokens = 0
		}
		c.judge(n)
	}
}

// Cores tells how many cores the engines that take queries have.
func (c *Core) Cores(cores float64) { c.cores = max(cores, 0.1) }

// Enter takes a query in, or says that it had better come back. Next hands it on.
func (c *Core) Enter(now time.Duration, w *Waiter) Verdict {
	c.at(now)
	l := &c.lanes[w.Lane]
	n := c.node(w.Team)
	w.leaf, w.entered, w.Arrived = n, c.now, c.now
	n.counts.Asked++
	c.Total.Asked++
	if w.Again != 0 {
		if was, ok := c.again.take(w.Again); ok && was.team == w.Team {
			w.Arrived, w.credit = was.arrived, was.charged
			n.counts.Repeated++
			c.Total.Repeated++
		}
	}
	w.est = c.usual(n, w.Lane)
	est := c.estimate(w)
	v := Verdict{Taken: true, Estimate: est}
	// behind others of its team it isn't let in to grow old; a team's first is, since
	// ageing brings its turn whatever its weight
	limit := c.shape.Age*3/5 - (w.entered - w.Arrived)
	if n.lists[w.Lane].First() == nil {
		est = min(est, c.shape.Age)
		limit = est
	}
	switch {
	case n.waiting >= n.waitMost:
		v = Verdict{Why: TooMany, Estimate: est}
	case c.waiting >= c.shape.Waiting:
		v = Verdict{Why: AllFull, Estimate: est}
	case c.now+est+seconds(c.runs(l)) > w.Until:
		v = Verdict{Why: TooLate, Estimate: est}
	case est > max(limit, c.shape.Age/5):
		v = Verdict{Why: TooLong, Estimate: est}
	}
	if !v.Taken {
		c.refuse(w, n)
		return v
	}
	usual := w.est / c.crowd.add(c.now, w.est, c.comes(), crowdLeast*c.meanEst())
	n.rate[w.Lane].add(c.now, usual)
	l.comes.add(c.now, usual)
	w.ahead = n.backlog[w.Lane] + n.gone[w.Lane]
	if w.Ask && !w.listed && len(c.asking) < askingMost {
		w.listed = true
		c.asking = append(c.asking, w)
	}
	c.seq++
	w.seq, w.state, w.Estimate, w.told = c.seq, waits, est, c.now+est
	c.occupy(n)
	n.waiting++
	c.waiting++
	l.waiting++
	c.queue(w)
	l.add(w)
	if l.Ordered && w.Key >= 0 {
		c.join(w, 0, w.Key)
	}
	if l.Chained {
		c.join(w, 1, w.Chain)
	}
	if w.mayGo() {
		c.offer(w)
	}
	return v
}

// queue counts a query among those that wait, up to the root.
func (c *Core) queue(w *Waiter) {
	for x := w.leaf; x.parent != nil; x = x.parent {
		if x.queued++; x.queued == 1 {
			x.catchUp(len(c.lanes))
		}
		x.backlog[w.Lane] += w.est
	}
	c.root.backlog[w.Lane] += w.est
}

// runs is how long a query of a lane usually takes once it started, in seconds.
func (c *Core) runs(l *lane) float64 { return l.run.or(l.Usual.Seconds() / max(1, l.Threads)) }

func (c *Core) refuse(w *Waiter, n *node) {
	n.counts.Deferred++
	c.Total.Deferred++
	c.remember(w)
	w.state = away
	if n.busy == 0 {
		c.idle.Remove(&n.inIdle)
		n.idleAt = c.now
		c.idle.Append(&n.inIdle, n)
	}
}

// remember keeps a call's age and charge for its repeat.
func (c *Core) remember(w *Waiter) {
	if w.Self != 0 {
		c.again.put(w.Self, past{arrived: w.Arrived, charged: w.charged + w.credit, team: w.Team, at: c.now})
	}
}

// usual is the thread time that a query of a team is thought to take.
func (c *Core) usual(n *node, i int) float64 {
	l := &c.lanes[i]
	all := l.cost.or(max(1e-4, l.Usual.Seconds()))
	m := n.cost[i]
	const trust = 8 // queries of one's own that count as much as everybody's
	return (m.value*m.count + all*trust) / (m.count + trust)
}

// join puts a query at the end of a line: no age and no weight passes there.
func (c *Core) join(w *Waiter, kind int, id int64) {
	at := lineID{kind, id}
	x := c.lines[at]
	if x == nil {
		if x = c.spare; x != nil {
			c.spare = nil
		} else {
			x = &line{}
		}
		x.id, x.first, x.last = at, nil, nil
		c.lines[at] = x
	}
	k := &w.links[kind]
	k.line, k.prev, k.next = x, x.last, nil
	if x.last != nil {
		x.last.links[kind].next = w
	} else {
		x.first = w
	}
	x.last = w
}

// part takes a query out of a line and offers the one that was behind it.
func (c *Core) part(w *Waiter, kind int) {
	k := &w.links[kind]
	x := k.line
	if x == nil {
		return
	}
	if k.prev != nil {
		k.prev.links[kind].next = k.next
	} else {
		x.first = k.next
	}
	if k.next != nil {
		k.next.links[kind].prev = k.prev
	} else {
		x.last = k.prev
	}
	*k = link{}
	if w.parked && kind == 1 {
		w.parked = false
		x.parked--
	}
	if x.first == nil {
		delete(c.lines, x.id)
		c.spare = x
		return
	}
	if kind == 1 {
		c.unpark(x)
	} else if next := x.first; next.state == waits && !next.inLeaf && !next.parked { // it may be one behind that left
		c.offer(next)
	}
}

// offer puts a query into its team's list, in the order of age.
func (c *Core) offer(w *Waiter) {
	n := w.leaf
	l := &n.lists[w.Lane]
	at := l.Last()
	if first := l.First(); first != nil && older(w, first.Value) { // set free by one before it: it is old
		at = nil
	}
	for at != nil && older(w, at.Value) {
		at = at.Previous()
	}
	l.InsertAfter(&w.inTurn, w, at)
	w.inLeaf = true
	c.more(n, w.Lane)
	if x := w.links[1].line; x != nil && x.first == w && x.parked > 0 {
		c.unpark(x)
	}
}

func (c *Core) withdraw(w *Waiter) {
	if !w.inLeaf {
		return
	}
	w.leaf.lists[w.Lane].Remove(&w.inTurn)
	w.inLeaf = false
	c.less(w.leaf, w.Lane)
}

// Started tells that the first submission of a query went out.
func (c *Core) Started(now time.Duration, w *Waiter) {
	c.at(now)
	if w.state != passed {
		return
	}
	w.state, w.began, w.seenAt = running, c.now, c.now
	had := c.now - w.entered
	l := &c.lanes[w.Lane]
	l.unpass(w)
	if w.raw > 0 && !l.Chained && w.links[0].line == nil {
		l.trim.add(c.now, w.raw, had.Seconds())
	}
	n := &w.leaf.counts
	n.Started++
	n.Told += w.Estimate
	n.Had += had
	n.Worst = max(n.Worst, had)
	n.LastStart = c.now
	c.Total.Started++
	c.Total.Told += w.Estimate
	c.Total.Had += had
	c.Total.Worst = max(c.Total.Worst, had)
}

// End is how a query came out.
type End int

const (
	Finished End = iota
	Deferred
	Killed
	Left
)

// Ended tells that a query was answered or its client left, and nothing of it runs any
// more. work is the thread time that was told, 0 for none; then what it was charged
// while it ran stands. lost is for how long submissions of it ran that told none.
func (c *Core) Ended(now time.Duration, w *Waiter, end End, work, lost time.Duration) {
	c.at(now)
	l := &c.lanes[w.Lane]
	n := w.leaf
	switch w.state {
	case away:
		return
	case waits:
		c.unqueue(w, l)
	case passed: // never sent: it took nothing
		c.running.Remove(&w.inTurn)
		c.inFlight -= w.remains
		c.threads -= l.Threads
		l.unpass(w)
		c.charge(n, w.Lane, -w.charged)
		w.charged = 0
	case running:
		c.running.Remove(&w.inTurn)
		c.inFlight -= w.remains
		c.threads -= l.Threads
		if took := (c.now - w.began).Seconds(); end == Finished {
			l.run.add(took, 200)
			if work > 0 {
				l.stretch.add(max(1, took*l.Threads/work.Seconds()), 200)
			}
		}
		if work > 0 {
			// a bad plan is no usual work
			usual := min(work.Seconds(), c.shape.Overrun*w.est)
			l.cost.add(usual, 400)
			n.cost[w.Lane].add(usual, 100)
			c.done.add(c.now, max(0, work.Seconds()-w.seen)/c.cores)
			real := max(0, work.Seconds()+lost.Seconds()*l.Threads/max(1, l.stretch.or(1))-w.credit)
			c.correct(n, real-w.charged)
			w.charged = real
		}
	}
	count := func(x *Counts) {
		switch end {
		case Finished:
			x.Finished++
		case Deferred:
			x.Deferred++
		case Killed:
			x.Killed++
		case Left:
			x.Left++
		}
	}
	count(&n.counts)
	count(&c.Total)
	if end != Finished {
		c.remember(w)
	}
	if l.Chained && (w.state == passed || w.state == running) {
		c.unlinked(w)
	}
	w.state = away
	c.part(w, 0)
	c.vacate(n)
}

// Sweep is due every SweepEvery: what runs is charged as it runs, what should
// make way is told to lower, and what waits and asked to hear of it is told anew.
// A clock that jumped charges no more than sweepMost.
func (c *Core) Sweep(now time.Duration, lower func(w *Waiter, on bool), retell func(w *Waiter, wait time.Duration)) {
	c.at(now)
	span := min(c.now-c.sweptAt, sweepMost)
	c.service += span.Seconds() * min(1, c.cores/max(1, c.threads))
	c.sweptAt = c.now
	c.payAll(span)
	if c.waiting > 0 {
		c.waitedAt = c.now
	}
	waited := 0.0 // the most that what waits is worth for its work
	for i := range c.lanes {
		if l := &c.lanes[i]; l.waiting > 0 {
			waited = max(waited, l.worth())
		}
	}
	inFlight, overrun := 0.0, 0.0
	for e := c.running.First(); e != nil; e = e.Next() {
		e.Value.leaf.overrun = 0
	}
	for e := c.running.First(); e != nil; e = e.Next() {
		w := e.Value
		if w.state != running {
			w.served = c.service
			inFlight += w.remains
			continue
		}
		l := &c.lanes[w.Lane]
		w.ran += min(span, c.now-w.seenAt).Seconds()
		w.seenAt = c.now
		w.remains = max(0.05*w.est, w.est-l.Threads*(c.service-w.served))
		inFlight += w.remains
		// by the pace its lane usually has, of the threads it holds
		work := w.ran*l.Threads/max(1, l.stretch.or(1)) - w.credit
		if work > w.charged {
			c.correct(w.leaf, work-w.charged)
			w.charged = work
		}
		if over := work > 2*w.est; over {
			pace := l.Threads / max(1, l.stretch.or(1))
			overrun += pace
			w.leaf.overrun += pace
			c.done.add(c.now, max(0, work-w.seen)/c.cores)
			w.seen = max(w.seen, work)
		}
		on := c.now-c.waitedAt < raiseAfter && !l.Ordered && !l.Chained &&
			(work > c.shape.Overrun*w.est || c.beyondBudget(w.leaf) || l.worth() < waited/2)
		if on != w.lowered {
			if w.lowered = on; on {
				w.leaf.counts.Lowered++
				c.Total.Lowered++
			}
			if lower != nil {
				lower(w, on)
			}
		}
	}
	if c.overrun = overrun; c.waiting > 0 {
		c.overruns.add(overrun, 200)
	}
	c.inFlight = inFlight // sums of what came and went don't quite meet
	if retell != nil {
		c.retell(retell)
	}
	c.dropIdle()
	c.again.drop(c.now)
}

// raiseAfter is how long nobody has waited when what makes way is raised again:
// where engines are nearly full somebody waits every other moment.
const raiseAfter = 2 * time.Second

const (
	SweepEvery = 100 * time.Millisecond
	sweepMost  = time.Second
)

func (c *Core) beyondBudget(n *node) bool {
	for ; n.parent != nil; n = n.parent {
		if n.over {
			return true
		}
	}
	return false
}

// Teams hands over each team's counts, in the order set up.
func (c *Core) Teams(each func(path string, waiting int, n Counts)) {
	for i := range c.plans {
		if p := &c.plans[i]; p.leaf && p.at != nil {
			each(p.path, p.at.waiting, p.at.counts)
		}
	}
}

// Package fair says whose query is next, how long each will wait, and which
// running ones make way. It stands before the decisions: these choose engines
// and what is turned away for want of them; this chooses whose turn it is
// whenever they would take one more.
//
// It is a pure core: no I/O, no clock, no goroutine. Times are spans since the
// start and never run backwards inside. Amounts of work are thread seconds.
package fair

import (
	"net/netip"
	"time"
)

// Waiter is a query as fairness knows it: its owner keeps it inside its own
// record, so that one in and one out allocate nothing.
type Waiter struct {
	Of    any // its owner's record
	Lane  int
	Team  int           // as Whose tells
	Key   int64         // its order's key, -1: none
	Chain int64         // its table group, used in chained lanes
	Until time.Duration // its client waits no longer
	// Again names the call that this one repeats, 0 for none: it keeps that one's
	// age and what was charged for it.
	Again uint64
	// Ask: its client wants to be told anew when its wait changes by much.
	Ask bool
	// Self is what a repeat of this one will name, 0: nothing.
	Self uint64

	Arrived time.Duration // an earlier one if it repeats a call
	entered time.Duration
	seq     uint64
	leaf    *node
	state   state
	est     float64 // thread seconds it is thought to take
	raw     float64 // seconds until its start, before what the lane's last ones taught
	charged float64
	credit  float64 // charged for what it repeats
	began   time.Duration
	seenAt  time.Duration
	remains float64 // of est
	served  float64 // what service was when it was handed on
	seen    float64 // of its work as it runs, for the capacity
	ran     float64 // seconds since it began, as far as they were counted
	lowered bool

	Estimate time.Duration // first told
	told     time.Duration // when it was last told to start
	ahead    float64       // of its team before it, with all that had gone
	listed   bool

	prev, next   *Waiter // in its leaf's list, or among the running
	older, newer *Waiter // in its lane, all that wait
	inLeaf       bool
	links        [2]link // its places in the lines of its key and its chain
	parked       bool    // its turn came, and one of its chain that can't go has to go first
}

type state uint8

const (
	away state = iota
	waits
	passed  // handed to the decisions, not sent yet
	running // sent
)

type link struct {
	line       *line
	prev, next *Waiter
}

// line keeps the order in which queries of a key, or loads of a table group, came.
type line struct {
	first, last *Waiter
	id          lineID
	parked      int // of a chain
}

type lineID struct {
	kind int // 0: key, 1: chain
	id   int64
}

// list is what may go of a leaf in a lane, oldest first, or what runs.
type list struct{ first, last *Waiter }

// insert puts a query behind another, nil for the front.
func (l *list) insert(w, at *Waiter) {
	w.prev = at
	if at != nil {
		w.next, at.next = at.next, w
	} else {
		w.next, l.first = l.first, w
	}
	if w.next != nil {
		w.next.prev = w
	} else {
		l.last = w
	}
}

func (l *list) remove(w *Waiter) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		l.first = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		l.last = w.prev
	}
	w.prev, w.next = nil, nil
}

// lane is the state of one resource group.
type lane struct {
	Lane
	oldest, newest *Waiter // of all that wait
	waiting        int
	busy, wasBusy  bool // it is at its capacity
	full           bool // the decisions would take no more when last asked
	cost           mean // thread seconds of a query
	stretch        mean // time taken over time alone
	run            mean // seconds from start to end
	profile        profile
	handed         int     // handed on and not sent
	passed         float64 // thread seconds of those
	teams          int     // with a query that may go
	comes          rate    // of those let in
	trim           trim
}

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

	debtors             []*node
	idleFirst, idleLast *node
	sweptAt             time.Duration
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

func (c *Core) reshape(shape Shape) {
	if shape.Age <= 0 {
		shape.Age = DefaultAge
	}
	if shape.Waiting <= 0 {
		shape.Waiting = DefaultWaiting
	}
	if shape.Overrun <= 1 {
		shape.Overrun = DefaultOverrun
	}
	if shape.Tell <= 0 {
		shape.Tell = DefaultTell
	}
	c.shape, c.plans, c.children = shape, nil, nil
	c.plan(shape.Teams, "", -1)
	named := false
	for _, p := range c.plans {
		named = named || p.leaf && p.Name == shape.Default
	}
	if !named { // whoever belongs to no team
		c.plan([]Team{{Name: "others", Weight: 1}}, "", -1)
	}
	c.who = newWho(&c.shape, c.plans)
	if c.lanes == nil {
		c.lanes = make([]lane, len(shape.Lanes))
		c.pairs = make([][2]float64, len(shape.Lanes)*len(shape.Lanes))
	}
	for i, l := range shape.Lanes {
		c.lanes[i].Lane = l
	}
	c.root.heaps[within], c.root.heaps[beyond] = make([]heap, len(c.lanes)), make([]heap, len(c.lanes))
	c.root.ready = make([]int, len(c.lanes))
	c.root.backlog = make([]float64, len(c.lanes))
	c.root.clocks = make([]clock, len(c.lanes)+1)
}

func (c *Core) plan(l []Team, path string, parent int) {
	for _, t := range l {
		at := len(c.plans)
		c.plans = append(c.plans, plan{Team: t, path: path + t.Name, parent: parent, leaf: len(t.Teams) == 0})
		c.children = append(c.children, nil)
		if parent >= 0 {
			c.children[parent] = append(c.children[parent], at)
		}
		c.plan(t.Teams, path+t.Name+"/", at)
	}
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
	if n.lists[w.Lane].first == nil {
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
	l.append(w)
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
		c.fromIdle(n)
		n.idleAt = c.now
		c.toIdle(n)
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

// append puts a query at the lane's end, by age: a repeat stands further ahead.
func (l *lane) append(w *Waiter) {
	at := l.newest
	for at != nil && at.Arrived > w.Arrived {
		at = at.older
	}
	w.older = at
	if at != nil {
		w.newer, at.newer = at.newer, w
	} else {
		w.newer, l.oldest = l.oldest, w
	}
	if w.newer != nil {
		w.newer.older = w
	} else {
		l.newest = w
	}
}

func (l *lane) remove(w *Waiter) {
	if w.older != nil {
		w.older.newer = w.newer
	} else {
		l.oldest = w.newer
	}
	if w.newer != nil {
		w.newer.older = w.older
	} else {
		l.newest = w.older
	}
	w.older, w.newer = nil, nil
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

// mayGo: its key's turn is its own. Who stands behind another of its chain may
// have a turn: the other goes on it.
func (w *Waiter) mayGo() bool {
	x := w.links[0].line
	return x == nil || x.first == w
}

// offer puts a query into its team's list, in the order of age.
func (c *Core) offer(w *Waiter) {
	n := w.leaf
	l := &n.lists[w.Lane]
	at := l.last
	if l.first != nil && older(w, l.first) { // set free by one before it: it is old
		at = nil
	}
	for at != nil && older(w, at) {
		at = at.prev
	}
	l.insert(w, at)
	w.inLeaf = true
	c.more(n, w.Lane)
	if x := w.links[1].line; x != nil && x.first == w && x.parked > 0 {
		c.unpark(x)
	}
}

func older(a, b *Waiter) bool {
	return a.Arrived < b.Arrived || a.Arrived == b.Arrived && a.seq < b.seq
}

func (c *Core) withdraw(w *Waiter) {
	if !w.inLeaf {
		return
	}
	w.leaf.lists[w.Lane].remove(w)
	w.inLeaf = false
	c.less(w.leaf, w.Lane)
}

// Next is the query that goes next in a lane, nil if none waits that may. The
// decisions must be ready for one more: it is theirs from here on.
//
// Where the one whose turn it is stands behind another of its chain, that one goes
// on its turn: it has to go first, and its own team's turn may be far.
func (c *Core) Next(now time.Duration, i int) *Waiter {
	c.at(now)
	l := &c.lanes[i]
	if l.waiting == 0 || l.handed >= handedMost {
		return nil
	}
	for {
		w := l.oldest
		if c.now-w.Arrived < c.shape.Age || !w.inLeaf {
			if w = c.turn(i); w == nil || c.makesWay(w) {
				return nil
			}
		}
		b := w.behind()
		switch {
		case b == nil:
			c.release(w, l)
			return w
		case b.inLeaf && b.Lane == i:
			c.release(b, l)
			return b
		}
		c.withdraw(w) // until the one before it may go, or is gone
		w.parked = true
		w.links[1].line.parked++
	}
}

// behind is the one of its chain that has to go before it, nil if none has.
func (w *Waiter) behind() *Waiter {
	if x := w.links[1].line; x != nil && x.first != w {
		return x.first
	}
	return nil
}

// unpark offers those again that stood behind a line's first.
func (c *Core) unpark(x *line) {
	for w := x.first; w != nil && x.parked > 0; w = w.links[1].next {
		if w.parked {
			w.parked = false
			x.parked--
			c.offer(w)
		}
	}
}

// turn walks down to the team whose turn it is: of those within their budgets,
// if any of them has a query that may go, the one with the least tag.
func (c *Core) turn(i int) *Waiter {
	n := c.root
	for n.lists == nil {
		h := n.heaps[within][i]
		if len(h) == 0 {
			h = n.heaps[beyond][i]
		}
		if len(h) == 0 {
			return nil
		}
		n = h[0]
	}
	return n.lists[i].first
}

// makesWay: there is room for it in its lane, but it would be taken from others'
// queries that find none in theirs. The engines are full then, and a team that is
// ahead of its share, or beyond its budget, leaves the next of it to them.
func (c *Core) makesWay(w *Waiter) bool {
	if !c.contended(w.Lane) {
		return false
	}
	return w.leaf.lead(len(c.lanes)) > c.lead(w.leaf)
}

// contended: a query waits in another lane because engines have no room for it.
func (c *Core) contended(but int) bool {
	for i := range c.lanes {
		if l := &c.lanes[i]; i != but && l.full && l.waiting > 0 {
			return true
		}
	}
	return false
}

// lead is how far a team may be ahead of its share before it makes way: for a
// query of its usual work at the least, or it could never have one.
func (c *Core) lead(n *node) float64 {
	return max(leadMost*n.share()*c.capacity(), 1e-3)
}

// leadMost is in seconds of a team's share of the engines.
const leadMost = 3.0

func (c *Core) release(w *Waiter, l *lane) {
	c.unqueue(w, l)
	w.state = passed
	c.went(w.Lane, w.est)
	if l.Chained {
		c.linked(w, l)
	}
	if l.busy {
		c.level.add(c.remains(), 100)
	}
	c.inFlight += w.est
	c.threads += l.Threads
	w.remains, w.served = w.est, c.service
	w.charged = max(0, w.est-w.credit)
	c.charge(w.leaf, w.Lane, w.charged)
	l.handed++
	l.passed += w.est
	c.running.insert(w, c.running.last)
}

// unqueue takes a query out of all that it waits in.
func (c *Core) unqueue(w *Waiter, l *lane) {
	c.withdraw(w)
	l.remove(w)
	c.part(w, 1) // the decisions keep a chain's order from here on; a key's turn comes with its end
	l.waiting--
	c.waiting--
	w.leaf.waiting--
	w.leaf.gone[w.Lane] += w.est
	for x := w.leaf; x.parent != nil; x = x.parent {
		x.queued--
		if x.backlog[w.Lane] -= w.est; x.lists != nil && x.waiting == 0 {
			x.backlog[w.Lane] = 0 // sums of what came and went don't quite meet
		}
	}
	if c.root.backlog[w.Lane] -= w.est; l.waiting == 0 {
		c.root.backlog[w.Lane] = 0
	}
}

// handedMost bounds those that the decisions hold for other reasons than room:
// locked tables, chains.
const handedMost = 256

func (l *lane) unpass(w *Waiter) {
	if l.handed--; l.handed == 0 {
		l.passed = 0
	} else {
		l.passed -= w.est
	}
}

// Full tells whether the decisions would take no more of a lane.
func (c *Core) Full(now time.Duration, i int, full bool) {
	c.at(now)
	l := &c.lanes[i]
	// one goes whenever there is room for it: the lane is at its capacity until
	// there is room and nobody left for it
	if l.busy = full || l.busy && l.waiting > 0; l.busy == l.wasBusy {
		l.full = full
		return
	}
	l.full, l.wasBusy = full, l.busy
	busy := 0
	for k := range c.lanes {
		if c.lanes[k].busy {
			busy++
		}
	}
	c.done.full(c.now, busy > 0)
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
		c.running.remove(w)
		c.inFlight -= w.remains
		c.threads -= l.Threads
		l.unpass(w)
		c.charge(n, w.Lane, -w.charged)
		w.charged = 0
	case running:
		c.running.remove(w)
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
	for w := c.running.first; w != nil; w = w.next {
		w.leaf.overrun = 0
	}
	for w := c.running.first; w != nil; w = w.next {
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

// worth is what a query of the lane is worth for its work.
func (l *lane) worth() float64 { return l.Value / l.cost.or(max(1e-4, l.Usual.Seconds())) }

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

// Lowered reports whether the priority of a query is to be the least for now.
func (w *Waiter) Lowered() bool { return w.lowered }

// Waits reports whether a query was taken in and not handed on yet.
func (w *Waiter) Waits() bool { return w.state == waits }

// Reload follows another shape with the same lanes. What waits or runs goes on
// with its age, in its team if that is still there and else as the default team's;
// teams keep what they were charged and their budgets' state.
func (c *Core) Reload(now time.Duration, shape Shape) {
	c.at(now)
	var all []*Waiter
	for i := range c.lanes {
		for w := c.lanes[i].oldest; w != nil; w = w.newer {
			all = append(all, w)
		}
	}
	queued := len(all)
	for w := c.running.first; w != nil; w = w.next {
		all = append(all, w)
	}
	type kept struct {
		lead     []float64
		tokens   float64
		tokensAt time.Duration
		counts   Counts
		cost     []mean
		rate     []rate
	}
	had := map[string]kept{}
	names := make([]string, len(c.plans))
	for i := range c.plans {
		p := &c.plans[i]
		names[i] = p.Name
		if n := p.at; n != nil {
			lead := make([]float64, len(n.tags))
			for k := range lead {
				lead[k] = n.tags[k] - n.parent.mean(k)
			}
			had[p.path] = kept{lead, n.tokens, n.tokensAt, n.counts, n.cost, n.rate}
		}
	}
	for len(c.debtors) > 0 {
		c.payAll(time.Hour)
	}
	c.idleFirst, c.idleLast, c.refills, c.nodes = nil, nil, nil, 0
	c.root = &node{weight: 1}
	c.reshape(shape)
	for i := range c.lanes {
		c.lanes[i].teams, c.lanes[i].profile = 0, profile{}
	}
	for i := range c.plans {
		p := &c.plans[i]
		was, ok := had[p.path]
		if !ok {
			continue
		}
		n := c.node(i)
		n.tags, n.counts, n.tokensAt = was.lead, was.counts, was.tokensAt
		if n.budget > 0 {
			n.tokens = min(n.burst, was.tokens)
		}
		if p.leaf && was.cost != nil {
			n.cost, n.rate = was.cost, was.rate
		}
	}
	var offered []*Waiter
	for i, w := range all {
		team, ok := c.who.names[names[w.Team]]
		if !ok {
			team = c.who.usual
		}
		w.Team, w.leaf = team, c.node(team)
		n := w.leaf
		c.occupy(n)
		if i >= queued {
			continue
		}
		n.waiting++
		w.ahead = n.backlog[w.Lane]
		c.queue(w)
		if w.inLeaf {
			offered = append(offered, w)
		}
		w.prev, w.next, w.inLeaf = nil, nil, false
	}
	// only now: one that is offered may bring back those parked behind it, which must
	// be in their new teams by then
	for _, w := range offered {
		if !w.inLeaf {
			c.offer(w)
		}
	}
	for i := range c.plans { // a budget used up before is so still
		if n := c.plans[i].at; n != nil && n.budget > 0 {
			c.refill(n)
			c.judge(n)
		}
	}
}

// Teams hands over each team's counts, in the order set up.
func (c *Core) Teams(each func(path string, waiting int, n Counts)) {
	for i := range c.plans {
		if p := &c.plans[i]; p.leaf && p.at != nil {
			each(p.path, p.at.waiting, p.at.counts)
		}
	}
}

package fairqueue

import (
	"math"
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// plan is a team as set up, without any state: a team that has nothing to do
// costs no more than this.
type plan struct {
	Team
	path   string
	parent int // -1: the root's
	leaf   bool
	at     *node // its state while it has any
}

// node is a team's or kind's state while it is busy, and for a minute after.
//
// A tag is the thread time it was charged over its weight: at once in the lane
// where it was charged, and bit by bit in the others, so that a lane's order is as
// smooth as its queries are small and what a team has all in all still comes out
// by weight. A node that becomes
// busy starts at the mean of its busy siblings (as the lag-keeping of EEVDF,
// Stoica and Abdel-Wahab 1995, does), so that neither idling nor work done while
// nobody else wanted the engines is held against it beyond debtMost.
type node struct {
	plan   int
	name   string
	weight float64
	parent *node
	seq    uint64 // of its making: breaks ties, so that the same events give the same order

	tags     []float64 // by lane, and one over all lanes
	owed     []float64 // of a leaf by lane: thread time to be charged to the tag, or given back, bit by bit
	amends   float64   // the same in all lanes, for what queries took beyond their usual work
	indebted bool
	busy     int     // queries waiting or running below
	heavy    float64 // weights of busy children
	clocks   []clock // of their tags
	pos      []int   // place in the parent's heap by lane, -1: not there
	in       []uint8 // in which band's
	heaps    [2][]heap
	ready    []int // by lane what may go: leaves count queries, others children

	lists   []list // of a leaf: by lane, what may go, in the order of age
	waiting int
	queued  int       // queries waiting below
	backlog []float64 // thread time waiting by lane, as estimated; of all below
	gone    []float64 // thread time by lane that waited and does no more
	rate    []rate    // of what comes in, by lane
	cost    []mean    // thread time of a query by lane
	overrun float64   // thread time a second of its queries far beyond their usual work

	budget, burst float64
	tokens        float64
	tokensAt      time.Duration
	over          bool // tokens are used up
	refillPos     int
	waitMost      int

	idleAt time.Duration
	inIdle intrusivelist.Element[node]
	counts Counts
}

const (
	within = 0 // the band of those within their budget
	beyond = 1

	// debtMost bounds, in seconds of its share of the engines, what a node that
	// becomes busy is ahead by: work beyond its share while others wanted nothing
	// is soon forgiven.
	debtMost = 4.0
)

func (c *Core) newNode(p int) *node {
	pl := &c.plans[p]
	lanes := len(c.lanes)
	n := &node{plan: p, name: pl.Name, weight: pl.Weight, seq: c.made, pos: make([]int, lanes), in: make([]uint8, lanes),
		ready: make([]int, lanes), backlog: make([]float64, lanes), rate: make([]rate, lanes),
		budget: pl.Budget, burst: max(pl.Burst, pl.Budget), tokensAt: c.now, refillPos: -1, idleAt: c.now}
	c.made++
	n.tokens = n.burst
	n.tags = make([]float64, lanes+1)
	for i := range n.pos {
		n.pos[i] = -1
	}
	if pl.leaf {
		n.gone, n.owed = make([]float64, lanes), make([]float64, lanes)
		n.lists, n.cost = make([]list, lanes), make([]mean, lanes)
		if n.waitMost = pl.Waiting; n.waitMost == 0 {
			n.waitMost = DefaultTeam
		}
	} else {
		n.clocks = make([]clock, lanes+1)
		n.heaps[within], n.heaps[beyond] = make([]heap, lanes), make([]heap, lanes)
	}
	if n.parent = c.root; pl.parent >= 0 {
		n.parent = c.node(pl.parent)
	}
	pl.at = n
	c.nodes++
	c.idle.Append(&n.inIdle, n)
	return n
}

// node gives a team's state, made anew if it had none.
func (c *Core) node(p int) *node {
	if n := c.plans[p].at; n != nil {
		return n
	}
	return c.newNode(p)
}

// clock sums the tags of busy children, relative to base.
type clock struct {
	base, sum float64 // weight times tag less base
	last      float64 // the mean when last one was busy
}

// mean is the children's tag in a lane, over those busy and by weight.
func (n *node) mean(k int) float64 {
	x := &n.clocks[k]
	if n.heavy <= 1e-12 {
		return x.last
	}
	return x.base + x.sum/n.heavy
}

// rebase sums the children's tags relative to another one.
func (n *node) rebase(k int, base float64) {
	x := &n.clocks[k]
	x.sum += n.heavy * (x.base - base)
	x.base = base
}

// occupy counts a query into the busy ones of a leaf and all above.
func (c *Core) occupy(n *node) {
	for ; n.parent != nil; n = n.parent {
		if n.busy++; n.busy > 1 {
			continue
		}
		c.idle.Remove(&n.inIdle)
		p := n.parent
		most := debtMost * c.capacity() / (n.weight + p.heavy)
		for k := range n.tags {
			v := p.mean(k)
			n.tags[k] = min(max(n.tags[k], v), v+most)
			if p.heavy <= 1e-12 || math.Abs(n.tags[k]-p.clocks[k].base) > 1e6 { // sums stay exact enough
				p.rebase(k, n.tags[k])
			}
			p.clocks[k].sum += n.weight * (n.tags[k] - p.clocks[k].base)
		}
		p.heavy += n.weight
	}
}

func (c *Core) vacate(n *node) {
	for ; n.parent != nil; n = n.parent {
		if n.busy--; n.busy > 0 {
			continue
		}
		p := n.parent
		left := p.heavy - n.weight
		for k := range n.tags {
			x := &p.clocks[k]
			x.last = p.mean(k)
			if x.sum -= n.weight * (n.tags[k] - x.base); left < 1e-9 {
				x.sum = 0
			}
		}
		if p.heavy = left; left < 1e-9 {
			p.heavy = 0
		}
		n.idleAt = c.now
		c.idle.Append(&n.inIdle, n)
	}
}

// catchUp: what a team didn't ask for it can't ask for later, though some of its
// queries ran all the time. Else one that asks for less than its share would
// gather a claim without end, and who takes what is left over a debt.
func (n *node) catchUp(k int) {
	if d := n.parent.mean(k) - n.tags[k]; d > 0 {
		n.tags[k] += d
		if n.busy > 0 {
			n.parent.clocks[k].sum += n.weight * d
		}
	}
}

// charge adds thread time to a leaf and all above: at once in its lane, and bit
// by bit in the others.
func (c *Core) charge(n *node, lane int, work float64) {
	c.pay(n, lane, work)
	c.pay(n, len(c.lanes), work)
	c.owe(n, lane, work)
	c.spend(n, work)
}

// correct adds, or takes back, what a query took beyond what it was charged. Its
// budget has it at once. Its team's turns have it bit by bit over amendsSpan: what
// queries take is only known as they run, and whoever waits behind them was told
// before; this way the turns of the next seconds can be told when it comes, and a
// bad plan costs its team a part of its share for long rather than all of it for
// seconds.
func (c *Core) correct(n *node, work float64) {
	if work == 0 {
		return
	}
	n.amends += work
	c.indebt(n)
	c.spend(n, work)
}

const (
	owedSpan   = 5 * time.Second
	amendsSpan = 20 * time.Second
)

// owe has a leaf pay in all lanes but one.
func (c *Core) owe(n *node, but int, work float64) {
	for k := range n.owed {
		if k != but {
			n.owed[k] += work
		}
	}
	c.indebt(n)
}

func (c *Core) indebt(n *node) {
	if !n.indebted {
		n.indebted = true
		c.debtors = append(c.debtors, n)
	}
}

// payAll has the debtors pay what a span asks for.
func (c *Core) payAll(span time.Duration) {
	part := func(owed float64, over time.Duration) float64 {
		if math.Abs(owed) < 1e-4 {
			return owed
		}
		return owed * (1 - math.Exp(-span.Seconds()/over.Seconds()))
	}
	kept := c.debtors[:0]
	for _, n := range c.debtors {
		amends := part(n.amends, amendsSpan)
		n.amends -= amends
		n.indebted = n.amends != 0
		c.pay(n, len(n.owed), amends)
		for k, owed := range n.owed {
			pay := part(owed, owedSpan)
			n.owed[k] -= pay
			c.pay(n, k, pay+amends)
			n.indebted = n.indebted || n.owed[k] != 0
		}
		if n.indebted {
			kept = append(kept, n)
		}
	}
	clear(c.debtors[len(kept):])
	c.debtors = kept
}

// pay moves the tags of a leaf and all above in a lane; their places in its heaps
// follow.
func (c *Core) pay(n *node, k int, work float64) {
	if work == 0 {
		return
	}
	for ; n.parent != nil; n = n.parent {
		d := work / n.weight
		n.tags[k] += d
		if n.busy > 0 {
			n.parent.clocks[k].sum += n.weight * d
		}
		if k < len(n.pos) && n.pos[k] >= 0 {
			n.parent.heaps[n.in[k]][k].fix(n.pos[k], k)
		}
	}
}

// spend takes thread time from the budgets of a leaf and all above.
func (c *Core) spend(n *node, work float64) {
	n.counts.Charged += work
	for ; n.parent != nil; n = n.parent {
		if n.budget > 0 {
			c.refill(n)
			n.tokens = min(n.burst, n.tokens-work)
			c.judge(n)
		}
	}
}

func (c *Core) refill(n *node) {
	n.tokens = min(n.burst, n.tokens+n.budget*(c.now-n.tokensAt).Seconds())
	n.tokensAt = c.now
}

// judge moves a node between the bands as its tokens say.
func (c *Core) judge(n *node) {
	if over := n.tokens < 0; over != n.over {
		c.leaveHeaps(n)
		n.over = over
		c.enterHeaps(n)
		c.rise(n.parent)
	}
	switch {
	case n.over && n.refillPos < 0:
		c.refills.push(n)
	case n.over:
		c.refills.fix(n.refillPos)
	case n.refillPos >= 0:
		c.refills.remove(n.refillPos)
	}
}

// refilled is when the tokens are back at none.
func (n *node) refilled() time.Duration {
	return n.tokensAt + time.Duration(math.Ceil(-n.tokens/n.budget*1e9))
}

// band: a kind is within as long as any of its teams that wait is.
func (n *node) band(lane int) int {
	if n.over || n.lists == nil && len(n.heaps[within][lane]) == 0 {
		return beyond
	}
	return within
}

func (c *Core) enterHeaps(n *node) {
	for lane := range n.pos {
		if n.ready[lane] > 0 && n.pos[lane] < 0 {
			c.put(n, lane)
		}
	}
}

func (c *Core) leaveHeaps(n *node) {
	for lane := range n.pos {
		if n.pos[lane] >= 0 {
			c.pull(n, lane)
		}
	}
}

func (c *Core) put(n *node, lane int) {
	n.in[lane] = uint8(n.band(lane))
	n.parent.heaps[n.in[lane]][lane].push(n, lane)
}

func (c *Core) pull(n *node, lane int) {
	n.parent.heaps[n.in[lane]][lane].remove(n.pos[lane], lane)
}

// rise brings the bands in line after one below changed, from n to the root.
func (c *Core) rise(n *node) {
	for ; n.parent != nil; n = n.parent {
		for lane := range n.pos {
			if n.pos[lane] >= 0 && int(n.in[lane]) != n.band(lane) {
				c.pull(n, lane)
				c.put(n, lane)
			}
		}
	}
}

// more and less count what may go in a lane, up to the root.
func (c *Core) more(n *node, lane int) {
	for ; n.parent != nil; n = n.parent {
		if n.ready[lane]++; n.ready[lane] > 1 {
			break
		}
		if n.lists != nil {
			c.lanes[lane].teams++
		}
		n.catchUp(lane)
		c.put(n, lane)
	}
	c.rise(n)
}

func (c *Core) less(n *node, lane int) {
	for ; n.parent != nil; n = n.parent {
		if n.ready[lane]--; n.ready[lane] > 0 {
			break
		}
		if n.lists != nil {
			c.lanes[lane].teams--
		}
		c.pull(n, lane)
	}
	c.rise(n)
}

// idleKeeps is how long a team without anything to do keeps its state: its
// budget's state would be lost, so one that is over it keeps it until refilled.
const idleKeeps = time.Minute

func (c *Core) dropIdle() {
	for e := c.idle.First(); e != nil && c.now-e.Value.idleAt >= idleKeeps; e = c.idle.First() {
		n := e.Value
		c.idle.Remove(&n.inIdle)
		if n.budget > 0 {
			c.refill(n)
		}
		if n.budget > 0 && n.tokens < n.burst || n.lists == nil && c.childrenOf(n) {
			n.idleAt = c.now
			c.idle.Append(&n.inIdle, n)
			continue
		}
		if n.refillPos >= 0 {
			c.refills.remove(n.refillPos)
		}
		c.plans[n.plan].at = nil
		c.nodes--
	}
}

// childrenOf: some of a kind's teams still have state that points to it.
func (c *Core) childrenOf(n *node) bool {
	for _, i := range c.children[n.plan] {
		if c.plans[i].at != nil {
			return true
		}
	}
	return false
}

// heap orders siblings that wait in one lane by tag; each knows its place.
type heap []*node

func before(a, b *node, lane int) bool {
	return a.tags[lane] < b.tags[lane] || a.tags[lane] == b.tags[lane] && a.seq < b.seq
}

func (h *heap) push(n *node, lane int) {
	*h = append(*h, n)
	n.pos[lane] = len(*h) - 1
	h.up(n.pos[lane], lane)
}

func (h *heap) remove(i, lane int) {
	l := *h
	last := len(l) - 1
	l[i].pos[lane] = -1
	if i != last {
		l[i] = l[last]
		l[i].pos[lane] = i
	}
	l[last] = nil
	*h = l[:last]
	if i < last {
		h.fix(i, lane)
	}
}

func (h *heap) fix(i, lane int) {
	if !h.up(i, lane) {
		h.down(i, lane)
	}
}

func (h *heap) up(i, lane int) (moved bool) {
	l := *h
	for i > 0 {
		p := (i - 1) / 2
		if !before(l[i], l[p], lane) {
			break
		}
		l[i], l[p] = l[p], l[i]
		l[i].pos[lane], l[p].pos[lane] = i, p
		i, moved = p, true
	}
	return moved
}

func (h *heap) down(i, lane int) {
	l := *h
	for {
		k := 2*i + 1
		if k >= len(l) {
			return
		}
		if k+1 < len(l) && before(l[k+1], l[k], lane) {
			k++
		}
		if !before(l[k], l[i], lane) {
			return
		}
		l[i], l[k] = l[k], l[i]
		l[i].pos[lane], l[k].pos[lane] = i, k
		i = k
	}
}

// refillHeap orders nodes beyond their budget by when they are within it again.
type refillHeap []*node

func (h *refillHeap) less(i, j int) bool { return (*h)[i].refilled() < (*h)[j].refilled() }

func (h *refillHeap) swap(i, j int) {
	l := *h
	l[i], l[j] = l[j], l[i]
	l[i].refillPos, l[j].refillPos = i, j
}

func (h *refillHeap) push(n *node) {
	*h = append(*h, n)
	n.refillPos = len(*h) - 1
	h.fix(n.refillPos)
}

func (h *refillHeap) remove(i int) {
	last := len(*h) - 1
	h.swap(i, last)
	(*h)[last].refillPos = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.fix(i)
	}
}

func (h *refillHeap) fix(i int) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		k := 2*i + 1
		if k >= len(*h) {
			return
		}
		if k+1 < len(*h) && h.less(k+1, k) {
			k++
		}
		if !h.less(k, i) {
			return
		}
		h.swap(i, k)
		i = k
	}
}

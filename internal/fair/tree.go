package fair

import (
	"math"
	"time"
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
// tag is the thread time it was charged over its weight. A node that becomes
// busy starts at the mean of its busy siblings (as the lag-keeping of EEVDF,
// Stoica and Abdel-Wahab 1995, does), so that neither idling nor work done while
// nobody else wanted the engines is held against it beyond debtMost.
type node struct {
	plan   int
	name   string
	weight float64
	parent *node
	seq    uint64 // of its making: breaks ties, so that the same events give the same order

	tag   float64
	busy  int     // queries waiting or running below
	base  float64 // of the children: tags are summed relative to it
	sum   float64 // weight times tag less base, over busy children
	heavy float64 // weights of busy children
	last  float64 // mean when last one was busy
	pos   []int   // place in the parent's heap by lane, -1: not there
	in    []uint8 // in which band's
	heaps [2][]heap
	ready []int // by lane what may go: leaves count queries, others children

	lists   []list // of a leaf: by lane, what may go, in the order of age
	waiting int
	backlog []float64 // thread time waiting by lane, as estimated; of all below
	gone    []float64 // thread time by lane that waited and does no more
	rate    []rate    // of what comes in, by lane
	cost    []mean    // thread time of a query by lane

	budget, burst float64
	tokens        float64
	tokensAt      time.Duration
	over          bool // tokens are used up
	refillPos     int
	waitMost      int

	idleAt             time.Duration
	idlePrev, idleNext *node
	counts             Counts
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
	for i := range n.pos {
		n.pos[i] = -1
	}
	if pl.leaf {
		n.gone = make([]float64, lanes)
		n.lists, n.cost = make([]list, lanes), make([]mean, lanes)
		if n.waitMost = pl.Waiting; n.waitMost == 0 {
			n.waitMost = DefaultTeam
		}
	} else {
		n.heaps[within], n.heaps[beyond] = make([]heap, lanes), make([]heap, lanes)
	}
	if n.parent = c.root; pl.parent >= 0 {
		n.parent = c.node(pl.parent)
	}
	pl.at = n
	c.nodes++
	c.toIdle(n)
	return n
}

// node gives a team's state, made anew if it had none.
func (c *Core) node(p int) *node {
	if n := c.plans[p].at; n != nil {
		return n
	}
	return c.newNode(p)
}

// mean is the children's tag, over those busy and by weight.
func (n *node) mean() float64 {
	if n.heavy <= 1e-12 {
		return n.last
	}
	return n.base + n.sum/n.heavy
}

// rebase sums the children's tags relative to another one.
func (n *node) rebase(base float64) {
	n.sum += n.heavy * (n.base - base)
	n.base = base
}

// occupy counts a query into the busy ones of a leaf and all above.
func (c *Core) occupy(n *node) {
	for ; n.parent != nil; n = n.parent {
		if n.busy++; n.busy > 1 {
			continue
		}
		c.fromIdle(n)
		p := n.parent
		v := p.mean()
		share := n.weight / (n.weight + p.heavy)
		n.tag = min(max(n.tag, v), v+debtMost*share/n.weight*c.capacity())
		if p.heavy <= 1e-12 || math.Abs(n.tag-p.base) > 1e6 { // sums stay exact enough
			p.rebase(n.tag)
		}
		p.heavy += n.weight
		p.sum += n.weight * (n.tag - p.base)
	}
}

func (c *Core) vacate(n *node) {
	for ; n.parent != nil; n = n.parent {
		if n.busy--; n.busy > 0 {
			continue
		}
		p := n.parent
		p.last = p.mean()
		p.heavy -= n.weight
		p.sum -= n.weight * (n.tag - p.base)
		if p.heavy < 1e-9 {
			p.heavy, p.sum = 0, 0
		}
		n.idleAt = c.now
		c.toIdle(n)
	}
}

// charge adds thread time to a leaf and all above, or takes some back. Their
// places in the heaps and their budgets follow.
func (c *Core) charge(n *node, work float64) {
	if work == 0 {
		return
	}
	n.counts.Charged += work
	for ; n.parent != nil; n = n.parent {
		d := work / n.weight
		n.tag += d
		if n.busy > 0 {
			n.parent.sum += n.weight * d
		}
		if n.budget > 0 {
			c.refill(n)
			n.tokens = min(n.burst, n.tokens-work)
			c.judge(n)
		}
		c.resift(n)
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

func (c *Core) resift(n *node) {
	for lane, p := range n.pos {
		if p >= 0 {
			n.parent.heaps[n.in[lane]][lane].fix(p, lane)
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

// Idle nodes stand in the order in which they became so.
func (c *Core) toIdle(n *node) {
	if n.idlePrev = c.idleLast; c.idleLast != nil {
		c.idleLast.idleNext = n
	} else {
		c.idleFirst = n
	}
	c.idleLast, n.idleNext = n, nil
}

func (c *Core) fromIdle(n *node) {
	if n.idlePrev != nil {
		n.idlePrev.idleNext = n.idleNext
	} else {
		c.idleFirst = n.idleNext
	}
	if n.idleNext != nil {
		n.idleNext.idlePrev = n.idlePrev
	} else {
		c.idleLast = n.idlePrev
	}
	n.idlePrev, n.idleNext = nil, nil
}

// idleKeeps is how long a team without anything to do keeps its state: its
// budget's state would be lost, so one that is over it keeps it until refilled.
const idleKeeps = time.Minute

func (c *Core) dropIdle() {
	for n := c.idleFirst; n != nil && c.now-n.idleAt >= idleKeeps; n = c.idleFirst {
		c.fromIdle(n)
		if n.budget > 0 {
			c.refill(n)
		}
		if n.budget > 0 && n.tokens < n.burst || n.lists == nil && c.childrenOf(n) {
			n.idleAt = c.now
			c.toIdle(n)
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

func before(a, b *node) bool { return a.tag < b.tag || a.tag == b.tag && a.seq < b.seq }

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
		if !before(l[i], l[p]) {
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
		if k+1 < len(l) && before(l[k+1], l[k]) {
			k++
		}
		if !before(l[k], l[i]) {
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

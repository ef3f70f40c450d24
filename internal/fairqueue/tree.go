package fairqueue

import (
	"math"
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// plan is a team as set up, without any state: a team that has nothing to do
// costs no more than this.
type tenantRecord struct {
	Tenant
	path   string
	parent int // -1: the root's
	isLeaf bool
	state  *node // its state while it has any
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
	tenant   int
	name     string
	weight   float64
	parent   *node
	sequence uint64 // of its making: breaks ties, so that the same events give the same order

	virtualStart    []float64 // by lane, and one over all lanes
	deferredCharges []float64 // of a leaf by lane: thread time to be charged to the tag, or given back, bit by bit
	corrections     float64   // the same in all lanes, for what queries took beyond their usual work
	isDebtor        bool
	busy            int            // queries waiting or running below
	busyWeight      float64        // weights of busy children
	virtualClocks   []virtualClock // of their tags
	heapPosition    []int          // place in the parent's heap by lane, -1: not there
	heapBand        []uint8        // in which band's
	heaps           [2][]heap
	eligible        []int // by lane what may go: leaves count queries, others children

	queues       []list // of a leaf: by lane, what may go, in the order of age
	waiting      int
	waitingBelow int           // queries waiting below
	backlog      []float64     // thread time waiting by lane, as estimated; of all below
	dequeuedWork []float64     // thread time by lane that waited and does no more
	arrivalRates []arrivalRate // of what comes in, by lane
	usualCosts   []runningMean // thread time of a query by lane
	overrunRate  float64       // thread time a second of its queries far beyond their usual work

	quota, burst       float64
	tokens             float64
	tokensAt           time.Duration
	overQuota          bool // tokens are used up
	refillHeapPosition int
	maxWaiting         int

	idleSince   time.Duration
	idleElement intrusivelist.Element[node]
	counts      Counts
}

const (
	withinQuota = 0 // the band of those within their budget
	beyondQuota = 1

	// debtMost bounds, in seconds of its share of the engines, what a node that
	// becomes busy is ahead by: work beyond its share while others wanted nothing
	// is soon forgiven.
	maxDebtSeconds = 4.0
)

func (f *Queue) newNode(p int) *node {
	pl := &f.tenants[p]
	lanes := len(f.lanes)
	n := &node{tenant: p, name: pl.Name, weight: pl.Weight, sequence: f.nodesMade, heapPosition: make([]int, lanes), heapBand: make([]uint8, lanes),
		eligible: make([]int, lanes), backlog: make([]float64, lanes), arrivalRates: make([]arrivalRate, lanes),
		quota: pl.Quota, burst: max(pl.Burst, pl.Quota), tokensAt: f.now, refillHeapPosition: -1, idleSince: f.now}
	f.nodesMade++
	n.tokens = n.burst
	n.virtualStart = make([]float64, lanes+1)
	for i := range n.heapPosition {
		n.heapPosition[i] = -1
	}
	if pl.isLeaf {
		n.dequeuedWork, n.deferredCharges = make([]float64, lanes), make([]float64, lanes)
		n.queues, n.usualCosts = make([]list, lanes), make([]runningMean, lanes)
		if n.maxWaiting = pl.MaxWaiting; n.maxWaiting == 0 {
			n.maxWaiting = DefaultTenantMaxWaiting
		}
	} else {
		n.virtualClocks = make([]virtualClock, lanes+1)
		n.heaps[withinQuota], n.heaps[beyondQuota] = make([]heap, lanes), make([]heap, lanes)
	}
	if n.parent = f.root; pl.parent >= 0 {
		n.parent = f.node(pl.parent)
	}
	pl.state = n
	f.nodeCount++
	f.idle.Append(&n.idleElement, n)
	return n
}

// node gives a team's state, made anew if it had none.
func (f *Queue) node(p int) *node {
	if n := f.tenants[p].state; n != nil {
		return n
	}
	return f.newNode(p)
}

// clock sums the tags of busy children, relative to base.
type virtualClock struct {
	base, sum float64 // weight times tag less base
	lastMean  float64 // the mean when last one was busy
}

// mean is the children's tag in a lane, over those busy and by weight.
func (n *node) virtualTime(k int) float64 {
	x := &n.virtualClocks[k]
	if n.busyWeight <= 1e-12 {
		return x.lastMean
	}
	return x.base + x.sum/n.busyWeight
}

// rebase sums the children's tags relative to another one.
func (n *node) rebase(k int, base float64) {
	x := &n.virtualClocks[k]
	x.sum += n.busyWeight * (x.base - base)
	x.base = base
}

// occupy counts a query into the busy ones of a leaf and all above.
func (f *Queue) addActive(n *node) {
	for ; n.parent != nil; n = n.parent {
		if n.busy++; n.busy > 1 {
			continue
		}
		f.idle.Remove(&n.idleElement)
		p := n.parent
		most := maxDebtSeconds * f.capacity() / (n.weight + p.busyWeight)
		for k := range n.virtualStart {
			v := p.virtualTime(k)
			n.virtualStart[k] = min(max(n.virtualStart[k], v), v+most)
			if p.busyWeight <= 1e-12 || math.Abs(n.virtualStart[k]-p.virtualClocks[k].base) > 1e6 { // sums stay exact enough
				p.rebase(k, n.virtualStart[k])
			}
			p.virtualClocks[k].sum += n.weight * (n.virtualStart[k] - p.virtualClocks[k].base)
		}
		p.busyWeight += n.weight
	}
}

func (f *Queue) removeActive(n *node) {
	for ; n.parent != nil; n = n.parent {
		if n.busy--; n.busy > 0 {
			continue
		}
		p := n.parent
		left := p.busyWeight - n.weight
		for k := range n.virtualStart {
			x := &p.virtualClocks[k]
			x.lastMean = p.virtualTime(k)
			if x.sum -= n.weight * (n.virtualStart[k] - x.base); left < 1e-9 {
				x.sum = 0
			}
		}
		if p.busyWeight = left; left < 1e-9 {
			p.busyWeight = 0
		}
		n.idleSince = f.now
		f.idle.Append(&n.idleElement, n)
	}
}

// catchUp: what a team didn't ask for it can't ask for later, though some of its
// queries ran all the time. Else one that asks for less than its share would
// gather a claim without end, and who takes what is left over a debt.
func (n *node) catchUp(k int) {
	if d := n.parent.virtualTime(k) - n.virtualStart[k]; d > 0 {
		n.virtualStart[k] += d
		if n.busy > 0 {
			n.parent.virtualClocks[k].sum += n.weight * d
		}
	}
}

// charge adds thread time to a leaf and all above: at once in its lane, and bit
// by bit in the others.
func (f *Queue) charge(n *node, lane int, work float64) {
	f.advanceVirtualStart(n, lane, work)
	f.advanceVirtualStart(n, len(f.lanes), work)
	f.deferCharge(n, lane, work)
	f.spendTokens(n, work)
}

// correct adds, or takes back, what a query took beyond what it was charged. Its
// budget has it at once. Its team's turns have it bit by bit over amendsSpan: what
// queries take is only known as they run, and whoever waits behind them was told
// before; this way the turns of the next seconds can be told when it comes, and a
// bad plan costs its team a part of its share for long rather than all of it for
// seconds.
func (f *Queue) correctCharge(n *node, work float64) {
	if work == 0 {
		return
	}
	n.corrections += work
	f.addDebtor(n)
	f.spendTokens(n, work)
}

const (
	deferredChargeSpan = 5 * time.Second
	correctionSpan     = 20 * time.Second
)

// owe has a leaf pay in all lanes but one.
func (f *Queue) deferCharge(n *node, but int, work float64) {
	for k := range n.deferredCharges {
		if k != but {
			n.deferredCharges[k] += work
		}
	}
	f.addDebtor(n)
}

func (f *Queue) addDebtor(n *node) {
	if !n.isDebtor {
		n.isDebtor = true
		f.debtors = append(f.debtors, n)
	}
}

// payAll has the debtors pay what a span asks for.
func (f *Queue) settleDebts(span time.Duration) {
	part := func(owed float64, over time.Duration) float64 {
		if math.Abs(owed) < 1e-4 {
			return owed
		}
		return owed * (1 - math.Exp(-span.Seconds()/over.Seconds()))
	}
	kept := f.debtors[:0]
	for _, n := range f.debtors {
		amends := part(n.corrections, correctionSpan)
		n.corrections -= amends
		n.isDebtor = n.corrections != 0
		f.advanceVirtualStart(n, len(n.deferredCharges), amends)
		for k, owed := range n.deferredCharges {
			pay := part(owed, deferredChargeSpan)
			n.deferredCharges[k] -= pay
			f.advanceVirtualStart(n, k, pay+amends)
			n.isDebtor = n.isDebtor || n.deferredCharges[k] != 0
		}
		if n.isDebtor {
			kept = append(kept, n)
		}
	}
	clear(f.debtors[len(kept):])
	f.debtors = kept
}

// pay moves the tags of a leaf and all above in a lane; their places in its heaps
// follow.
func (f *Queue) advanceVirtualStart(n *node, k int, work float64) {
	if work == 0 {
		return
	}
	for ; n.parent != nil; n = n.parent {
		d := work / n.weight
		n.virtualStart[k] += d
		if n.busy > 0 {
			n.parent.virtualClocks[k].sum += n.weight * d
		}
		if k < len(n.heapPosition) && n.heapPosition[k] >= 0 {
			n.parent.heaps[n.heapBand[k]][k].fix(n.heapPosition[k], k)
		}
	}
}

// spend takes thread time from the budgets of a leaf and all above.
func (f *Queue) spendTokens(n *node, work float64) {
	n.counts.Charged += work
	for ; n.parent != nil; n = n.parent {
		if n.quota > 0 {
			f.refill(n)
			n.tokens = min(n.burst, n.tokens-work)
			f.updateQuotaBand(n)
		}
	}
}

func (f *Queue) refill(n *node) {
	n.tokens = min(n.burst, n.tokens+n.quota*(f.now-n.tokensAt).Seconds())
	n.tokensAt = f.now
}

// judge moves a node between the bands as its tokens say.
func (f *Queue) updateQuotaBand(n *node) {
	if over := n.tokens < 0; over != n.overQuota {
		f.leaveHeaps(n)
		n.overQuota = over
		f.enterHeaps(n)
		f.updateBands(n.parent)
	}
	switch {
	case n.overQuota && n.refillHeapPosition < 0:
		f.refills.push(n)
	case n.overQuota:
		f.refills.fix(n.refillHeapPosition)
	case n.refillHeapPosition >= 0:
		f.refills.remove(n.refillHeapPosition)
	}
}

// refilled is when the tokens are back at none.
func (n *node) refilledAt() time.Duration {
	return n.tokensAt + time.Duration(math.Ceil(-n.tokens/n.quota*1e9))
}

// band: a kind is within as long as any of its teams that wait is.
func (n *node) band(lane int) int {
	if n.overQuota || n.queues == nil && len(n.heaps[withinQuota][lane]) == 0 {
		return beyondQuota
	}
	return withinQuota
}

func (f *Queue) enterHeaps(n *node) {
	for lane := range n.heapPosition {
		if n.eligible[lane] > 0 && n.heapPosition[lane] < 0 {
			f.pushHeap(n, lane)
		}
	}
}

func (f *Queue) leaveHeaps(n *node) {
	for lane := range n.heapPosition {
		if n.heapPosition[lane] >= 0 {
			f.removeFromHeap(n, lane)
		}
	}
}

func (f *Queue) pushHeap(n *node, lane int) {
	n.heapBand[lane] = uint8(n.band(lane))
	n.parent.heaps[n.heapBand[lane]][lane].push(n, lane)
}

func (f *Queue) removeFromHeap(n *node, lane int) {
	n.parent.heaps[n.heapBand[lane]][lane].remove(n.heapPosition[lane], lane)
}

// rise brings the bands in line after one below changed, from n to the root.
func (f *Queue) updateBands(n *node) {
	for ; n.parent != nil; n = n.parent {
		for lane := range n.heapPosition {
			if n.heapPosition[lane] >= 0 && int(n.heapBand[lane]) != n.band(lane) {
				f.removeFromHeap(n, lane)
				f.pushHeap(n, lane)
			}
		}
	}
}

// more and less count what may go in a lane, up to the root.
func (f *Queue) addEligible(n *node, lane int) {
	for ; n.parent != nil; n = n.parent {
		if n.eligible[lane]++; n.eligible[lane] > 1 {
			break
		}
		if n.queues != nil {
			f.lanes[lane].eligibleTenants++
		}
		n.catchUp(lane)
		f.pushHeap(n, lane)
	}
	f.updateBands(n)
}

func (f *Queue) removeEligible(n *node, lane int) {
	for ; n.parent != nil; n = n.parent {
		if n.eligible[lane]--; n.eligible[lane] > 0 {
			break
		}
		if n.queues != nil {
			f.lanes[lane].eligibleTenants--
		}
		f.removeFromHeap(n, lane)
	}
	f.updateBands(n)
}

// idleKeeps is how long a team without anything to do keeps its state: its
// budget's state would be lost, so one that is over it keeps it until refilled.
const idleRetention = time.Minute

func (f *Queue) dropIdle() {
	for e := f.idle.First(); e != nil && f.now-e.Value.idleSince >= idleRetention; e = f.idle.First() {
		n := e.Value
		f.idle.Remove(&n.idleElement)
		if n.quota > 0 {
			f.refill(n)
		}
		if n.quota > 0 && n.tokens < n.burst || n.queues == nil && f.hasChildState(n) {
			n.idleSince = f.now
			f.idle.Append(&n.idleElement, n)
			continue
		}
		if n.refillHeapPosition >= 0 {
			f.refills.remove(n.refillHeapPosition)
		}
		f.tenants[n.tenant].state = nil
		f.nodeCount--
	}
}

// childrenOf: some of a kind's teams still have state that points to it.
func (f *Queue) hasChildState(n *node) bool {
	for _, i := range f.children[n.tenant] {
		if f.tenants[i].state != nil {
			return true
		}
	}
	return false
}

// heap orders siblings that wait in one lane by tag; each knows its place.
type heap []*node

func startsBefore(a, b *node, lane int) bool {
	return a.virtualStart[lane] < b.virtualStart[lane] || a.virtualStart[lane] == b.virtualStart[lane] && a.sequence < b.sequence
}

func (h *heap) push(n *node, lane int) {
	*h = append(*h, n)
	n.heapPosition[lane] = len(*h) - 1
	h.up(n.heapPosition[lane], lane)
}

func (h *heap) remove(i, lane int) {
	l := *h
	last := len(l) - 1
	l[i].heapPosition[lane] = -1
	if i != last {
		l[i] = l[last]
		l[i].heapPosition[lane] = i
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
		if !startsBefore(l[i], l[p], lane) {
			break
		}
		l[i], l[p] = l[p], l[i]
		l[i].heapPosition[lane], l[p].heapPosition[lane] = i, p
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
		if k+1 < len(l) && startsBefore(l[k+1], l[k], lane) {
			k++
		}
		if !startsBefore(l[k], l[i], lane) {
			return
		}
		l[i], l[k] = l[k], l[i]
		l[i].heapPosition[lane], l[k].heapPosition[lane] = i, k
		i = k
	}
}

// refillHeap orders nodes beyond their budget by when they are within it again.
type refillHeap []*node

func (h *refillHeap) less(i, j int) bool { return (*h)[i].refilledAt() < (*h)[j].refilledAt() }

func (h *refillHeap) swap(i, j int) {
	l := *h
	l[i], l[j] = l[j], l[i]
	l[i].refillHeapPosition, l[j].refillHeapPosition = i, j
}

func (h *refillHeap) push(n *node) {
	*h = append(*h, n)
	n.refillHeapPosition = len(*h) - 1
	h.fix(n.refillHeapPosition)
}

func (h *refillHeap) remove(i int) {
	last := len(*h) - 1
	h.swap(i, last)
	(*h)[last].refillHeapPosition = -1
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

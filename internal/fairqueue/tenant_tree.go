package fairqueue

import (
	"math"
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// tenantRecord is a tenant as configured. A tenant without queries has no other state.
type tenantRecord struct {
	Tenant
	path   string
	parent int // -1: the root's
	isLeaf bool
	state  *node // its state while it has any
}

// node is the state of a tenant, or a group of tenants, while it is busy and for a minute after.
//
// A virtual start time is the thread time charged over the weight. A charge counts at once in the
// lane of the query and bit by bit in the other lanes: so a lane's order is as smooth as its
// queries are small, and over all lanes tenants still get work by weight. A node that becomes busy
// starts at the virtual time of its parent (as the lag-keeping of EEVDF does, Stoica and
// Abdel-Wahab 1995): neither idle time nor work done while nobody else wanted the engines is held
// against it beyond maxDebtSeconds.
type node struct {
	tenant   int // index
	name     string
	weight   float64
	parent   *node
	sequence uint64 // in the order of making: breaks ties, so that equal events give equal order

	// Virtual start times by lane, and the last one over all lanes. A leaf's charges that are
	// still to be settled, in thread seconds: by lane, and corrections in all lanes alike.
	virtualStart    []float64
	deferredCharges []float64
	corrections     float64
	isDebtor        bool // it is listed among the debtors

	// Activity below.
	busy          int            // waiting and running queries
	busyWeight    float64        // of busy children
	virtualClocks []virtualClock // of the children, by lane as virtualStart
	eligible      []int          // by lane: queries that may go of a leaf, else children with such

	// Heaps of a node with children by band and lane, and this node's place in its parent's.
	heaps        [2][]heap
	heapPosition []int   // by lane, -1: in none
	heapBand     []uint8 // by lane

	// Waiting queries. queues are a leaf's eligible queries by lane, in the order of age.
	queues       []list
	waiting      int
	maxWaiting   int
	waitingBelow int
	backlog      []float64 // estimated thread seconds that wait below, by lane
	dequeuedWork []float64 // thread seconds that waited and do no more, by lane

	// What was learned, by lane.
	arrivalRates []arrivalRate
	usualCosts   []runningMean // thread seconds of a query
	overrunRate  float64       // thread seconds a second of queries far beyond their usual work

	// The token bucket: quota in thread seconds a second, 0 for none; burst and tokens in
	// thread seconds, as of tokensAt.
	quota, burst       float64
	tokens             float64
	tokensAt           time.Duration
	overQuota          bool // the tokens are used up
	refillHeapPosition int  // -1: not in it

	idleSince   time.Duration
	idleElement intrusivelist.Element[node]
	counts      Counts
}

// Bands: children within their quota go before those beyond.
const (
	withinQuota = 0
	beyondQuota = 1
)

// maxDebtSeconds bounds by how much a node that becomes busy is ahead, in seconds of its share of
// the engines: work beyond its share while others wanted nothing is soon forgiven.
const maxDebtSeconds = 4.0

func (f *Queue) newNode(p int) *node {
	pl := &f.tenants[p]
	lanes := len(f.lanes)
	n := &node{
		tenant:             p,
		name:               pl.Name,
		weight:             pl.Weight,
		sequence:           f.nodesMade,
		heapPosition:       make([]int, lanes),
		heapBand:           make([]uint8, lanes),
		eligible:           make([]int, lanes),
		backlog:            make([]float64, lanes),
		arrivalRates:       make([]arrivalRate, lanes),
		quota:              pl.Quota,
		burst:              max(pl.Burst, pl.Quota),
		tokensAt:           f.now,
		refillHeapPosition: -1,
		idleSince:          f.now,
	}
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

// node returns a tenant's state and makes it if there is none.
func (f *Queue) node(p int) *node {
	if n := f.tenants[p].state; n != nil {
		return n
	}
	return f.newNode(p)
}

// virtualClock sums the virtual start times of a node's busy children, relative to base.
type virtualClock struct {
	base, sum float64 // sum is of weight times (virtual start time less base)
	lastMean  float64 // the mean when last one was busy
}

// virtualTime is the mean of the busy children's virtual start times in a lane, by weight.
func (n *node) virtualTime(k int) float64 {
	x := &n.virtualClocks[k]
	if n.busyWeight <= 1e-12 {
		return x.lastMean
	}
	return x.base + x.sum/n.busyWeight
}

// rebase makes the sum of a virtual clock relative to another base.
func (n *node) rebase(k int, base float64) {
	x := &n.virtualClocks[k]
	x.sum += n.busyWeight * (x.base - base)
	x.base = base
}

// addActive counts one more waiting or running query in a tenant and all nodes above.
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
			far := math.Abs(n.virtualStart[k]-p.virtualClocks[k].base) > 1e6
			if p.busyWeight <= 1e-12 || far { // so that sums stay exact enough
				p.rebase(k, n.virtualStart[k])
			}
			p.virtualClocks[k].sum += n.weight * (n.virtualStart[k] - p.virtualClocks[k].base)
		}
		p.busyWeight += n.weight
	}
}

// removeActive counts one query less in a tenant and all nodes above.
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

// catchUp advances a node's virtual start time to its parent's virtual time: a share that a tenant
// did not ask for is forfeited, though some of its queries ran all the time. Otherwise a tenant
// that asks for less than its share would gather a claim without end, and one that takes the rest
// a debt.
func (n *node) catchUp(k int) {
	if d := n.parent.virtualTime(k) - n.virtualStart[k]; d > 0 {
		n.virtualStart[k] += d
		if n.busy > 0 {
			n.parent.virtualClocks[k].sum += n.weight * d
		}
	}
}

// charge adds thread time to a tenant and all nodes above: at once in its lane, and bit by bit in
// the others.
func (f *Queue) charge(n *node, lane int, work float64) {
	f.advanceVirtualStart(n, lane, work)
	f.advanceVirtualStart(n, len(f.lanes), work)
	f.deferCharge(n, lane, work)
	f.spendTokens(n, work)
}

// correctCharge adds what a query used beyond what it was charged, or takes back what it did not
// use. The token buckets have it at once, the virtual start times bit by bit over correctionSpan.
// What a query uses is only known while it runs, after the wait estimates of the queries behind
// it were given: this way the order of the next seconds stays predictable, and a bad plan costs
// its tenant a part of its share for long rather than all of it for seconds.
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

// deferCharge charges a tenant bit by bit in all lanes but one.
func (f *Queue) deferCharge(n *node, but int, work float64) {
	for k := range n.deferredCharges {
		if k != but {
			n.deferredCharges[k] += work
		}
	}
	f.addDebtor(n)
}

// addDebtor lists a tenant that has deferred charges or corrections.
func (f *Queue) addDebtor(n *node) {
	if !n.isDebtor {
		n.isDebtor = true
		f.debtors = append(f.debtors, n)
	}
}

// settleDebts charges all debtors the part of their deferred charges that is due for a span.
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

// advanceVirtualStart moves the virtual start times of a tenant and all nodes above in a lane, and
// their places in the heaps.
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

// band: a group is within its quota as long as any of its waiting tenants is.
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

// updateBands brings the bands of n and all nodes above in line with a change below.
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

// addEligible counts one more query that may go in a lane, up to the root.
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

// removeEligible counts one query less that may go in a lane, up to the root.
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

// idleRetention is how long an idle tenant keeps its state. One whose token bucket is not full
// keeps it until refilled.
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

// hasChildState reports whether a tenant of a group still has state, which points to the group's.
func (f *Queue) hasChildState(n *node) bool {
	for _, i := range f.children[n.tenant] {
		if f.tenants[i].state != nil {
			return true
		}
	}
	return false
}

package fairqueue

import (
	"math"
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// tenantRecord is a configured tenant. Its further state is a node, which
// newNode creates when it is needed and dropIdle deletes.
type tenantRecord struct {
	Tenant
	path   string
	parent int // index in Queue.tenants, -1: the parent is Queue.root
	isLeaf bool
	state  *node // nil if it has none
}

// node is the state of a tenant, or of a group of tenants, while it is active and for at least
// idleRetention afterwards. A node is active while it has waiting or running queries.
//
// The virtual start time of a node is the charged work divided by the weight. A charge counts at
// once in the lane of the query and gradually in the other lanes, so that a long query of one lane
// doesn't set back the tenant's short queries in other lanes all at once. Over all lanes, tenants
// get work in proportion to their weights. A node that becomes active starts at least at the virtual
// time of its parent (as in the lag handling of EEVDF, Stoica and Abdel-Wahab 1995), and ahead of it
// by at most maxCarriedLeadSeconds: idle time earns no credit, and work done while no other tenant
// wanted the engines is soon forgiven.
type node struct {
	tenant   int // index in Queue.tenants
	name     string
	weight   float64
	parent   *node
	sequence uint64 // order of creation; breaks ties, so that the order of dispatch is deterministic

	// Virtual start times by lane; the last element covers all lanes. A leaf also has charges that
	// are not yet in its virtual start times, in thread seconds: deferredCharges by lane, and
	// corrections, which apply to each element of virtualStart.
	virtualStart       []float64
	deferredCharges    []float64
	corrections        float64
	hasDeferredCharges bool // listed in Queue.deferredChargeNodes

	// Activity of the node and its descendants.
	activeQueries     int            // waiting, dispatched and running queries
	activeChildWeight float64        // sum of the weights of active children
	virtualClocks     []virtualClock // of the children, indexed like virtualStart
	eligible          []int          // by lane: eligible queries of a leaf, else children with eligible queries

	// The heaps of a node's children by band and lane, and the node's place in its parent's heaps.
	heaps        [2][]virtualStartHeap
	heapPosition []int   // by lane, -1: in no heap
	heapBand     []uint8 // by lane

	// Waiting queries. queues holds a leaf's eligible queries by lane, oldest first.
	queues       []queryList
	waiting      int       // waiting queries of a leaf
	maxWaiting   int       // limit of waiting
	waitingBelow int       // waiting queries of the node and its descendants
	backlog      []float64 // estimated thread seconds of waiting queries, by lane
	dequeuedWork []float64 // estimated thread seconds of all queries that stopped waiting, by lane

	// Measurements, by lane except for overrunRate.
	arrivalRates []arrivalRate
	meanWork     []runningMean // thread seconds per query
	overrunRate  float64       // thread seconds per second used by queries far beyond their estimated work

	// The token bucket: quota is the refill rate in thread seconds per second, 0 for none; burst
	// is the size, and tokens the content at tokensAt, both in thread seconds.
	quota, burst       float64
	tokens             float64
	tokensAt           time.Duration
	overQuota          bool // tokens are below zero
	refillHeapPosition int  // place in Queue.overQuotaNodes, -1: not in it

	idleSince   time.Duration // when it became idle, or when dropIdle last kept it; valid while it is idle
	idleElement intrusivelist.Element[node]
	counts      Counts
}

// Bands of children: those within their quota are served before those beyond.
const (
	withinQuota = 0
	beyondQuota = 1
)

// maxCarriedLeadSeconds limits the lead of a node that becomes active, in seconds of its share of the
// engines.
const maxCarriedLeadSeconds = 4.0

// newNode creates the state of a tenant and, if needed, of its ancestors. The node is idle; addActive sets
// its virtual start times.
func (fq *Queue) newNode(tenant int) *node {
	record := &fq.tenants[tenant]
	lanes := len(fq.lanes)
	n := &node{
		tenant:             tenant,
		name:               record.Name,
		weight:             record.Weight,
		sequence:           fq.nextNodeSequence,
		heapPosition:       make([]int, lanes),
		heapBand:           make([]uint8, lanes),
		eligible:           make([]int, lanes),
		backlog:            make([]float64, lanes),
		arrivalRates:       make([]arrivalRate, lanes),
		quota:              record.Quota,
		burst:              max(record.Burst, record.Quota),
		tokensAt:           fq.now,
		refillHeapPosition: -1,
		idleSince:          fq.now,
	}
	fq.nextNodeSequence++
	n.tokens = n.burst
	n.virtualStart = make([]float64, lanes+1)
	for i := range n.heapPosition {
		n.heapPosition[i] = -1
	}
	if record.isLeaf {
		n.dequeuedWork, n.deferredCharges = make([]float64, lanes), make([]float64, lanes)
		n.queues, n.meanWork = make([]queryList, lanes), make([]runningMean, lanes)
		if n.maxWaiting = record.MaxWaiting; n.maxWaiting == 0 {
			n.maxWaiting = DefaultTenantMaxWaiting
		}
	} else {
		n.virtualClocks = make([]virtualClock, lanes+1)
		n.heaps[withinQuota], n.heaps[beyondQuota] =
			make([]virtualStartHeap, lanes), make([]virtualStartHeap, lanes)
	}
	if n.parent = fq.root; record.parent >= 0 {
		n.parent = fq.node(record.parent)
	}
	record.state = n
	fq.nodeCount++
	fq.idleNodes.Append(&n.idleElement, n)
	return n
}

// node returns a tenant's state and creates it if necessary.
func (fq *Queue) node(tenant int) *node {
	if n := fq.tenants[tenant].state; n != nil {
		return n
	}
	return fq.newNode(tenant)
}

// virtualClock sums the virtual start times of a node's active children, relative to base.
type virtualClock struct {
	base, weightedSum float64 // weightedSum adds up weight * (virtual start time - base)
	lastMean          float64 // the mean when the last child became idle
}

// virtualTime returns the weighted mean of the active children's virtual start times on one clock.
func (n *node) virtualTime(clock int) float64 {
	vc := &n.virtualClocks[clock]
	if n.activeChildWeight <= 1e-12 {
		return vc.lastMean
	}
	return vc.base + vc.weightedSum/n.activeChildWeight
}

// rebase changes the base of a virtual clock without changing its virtual time.
func (n *node) rebase(clock int, base float64) {
	vc := &n.virtualClocks[clock]
	vc.weightedSum += n.activeChildWeight * (vc.base - base)
	vc.base = base
}

// addActive counts a new query in a tenant. Each node that becomes active joins its parent's clocks.
func (fq *Queue) addActive(n *node) {
	for ; n.parent != nil; n = n.parent {
		if n.activeQueries++; n.activeQueries > 1 {
			continue
		}
		fq.idleNodes.Remove(&n.idleElement)
		parent := n.parent
		maxLead := maxCarriedLeadSeconds * fq.capacity() / (n.weight + parent.activeChildWeight)
		for clock := range n.virtualStart {
			parentTime := parent.virtualTime(clock)
			n.virtualStart[clock] = min(max(n.virtualStart[clock], parentTime), parentTime+maxLead)
			farFromBase := math.Abs(n.virtualStart[clock]-parent.virtualClocks[clock].base) > 1e6
			if parent.activeChildWeight <= 1e-12 || farFromBase { // limits rounding errors of the sums
				parent.rebase(clock, n.virtualStart[clock])
			}
			parent.virtualClocks[clock].weightedSum +=
				n.weight * (n.virtualStart[clock] - parent.virtualClocks[clock].base)
		}
		parent.activeChildWeight += n.weight
	}
}

// removeActive counts a query that ended. Each node that becomes idle leaves its parent's clocks.
func (fq *Queue) removeActive(n *node) {
	for ; n.parent != nil; n = n.parent {
		if n.activeQueries--; n.activeQueries > 0 {
			continue
		}
		parent := n.parent
		remainingWeight := parent.activeChildWeight - n.weight
		for clock := range n.virtualStart {
			vc := &parent.virtualClocks[clock]
			vc.lastMean = parent.virtualTime(clock)
			if vc.weightedSum -= n.weight * (n.virtualStart[clock] - vc.base); remainingWeight < 1e-9 {
				vc.weightedSum = 0
			}
		}
		if parent.activeChildWeight = remainingWeight; remainingWeight < 1e-9 {
			parent.activeChildWeight = 0
		}
		n.idleSince = fq.now
		fq.idleNodes.Append(&n.idleElement, n)
	}
}

// catchUp advances a node's virtual start time on one clock to its parent's virtual time if it is behind.
// It is called in a lane when the node gets its first eligible query there, and for all lanes together
// when the node gets its first waiting query. A tenant thus forfeits a share that it did not ask for,
// even if some of its queries were running all the time.
// Otherwise a tenant that asks for less than its share would accumulate an unlimited claim, and a
// tenant that uses the rest an unlimited debt.
func (n *node) catchUp(clock int) {
	if behind := n.parent.virtualTime(clock) - n.virtualStart[clock]; behind > 0 {
		n.virtualStart[clock] += behind
		if n.activeQueries > 0 {
			n.parent.virtualClocks[clock].weightedSum += n.weight * behind
		}
	}
}

// charge adds thread seconds to the virtual start times of a tenant and its ancestors: at once in the given
// lane and over all lanes, gradually in the other lanes. It also takes them from the token buckets.
func (fq *Queue) charge(n *node, lane int, work float64) {
	fq.advanceVirtualStart(n, lane, work)
	fq.advanceVirtualStart(n, len(fq.lanes), work)
	fq.deferCharge(n, lane, work)
	fq.spendTokens(n, work)
}

// correctCharge charges what a query used beyond its charge, or returns what it did not use (negative
// work). The token buckets change at once, the virtual start times gradually over correctionSpan. The
// actual use is only known while a query runs, after wait estimates were given to the queries behind
// it. The gradual correction keeps the order of the next seconds predictable, and a bad query plan
// costs its tenant a part of its share for a long time instead of all of it for a few seconds.
func (fq *Queue) correctCharge(n *node, work float64) {
	if work == 0 {
		return
	}
	n.corrections += work
	fq.trackDeferredCharges(n)
	fq.spendTokens(n, work)
}

const (
	deferredChargeSpan = 5 * time.Second  // time constant of settling deferredCharges
	correctionSpan     = 20 * time.Second // time constant of settling corrections
)

// deferCharge adds thread seconds to a tenant's deferred charges in all lanes except one.
func (fq *Queue) deferCharge(n *node, exceptLane int, work float64) {
	for lane := range n.deferredCharges {
		if lane != exceptLane {
			n.deferredCharges[lane] += work
		}
	}
	fq.trackDeferredCharges(n)
}

// trackDeferredCharges makes settleDeferredCharges consider a tenant.
func (fq *Queue) trackDeferredCharges(n *node) {
	if !n.hasDeferredCharges {
		n.hasDeferredCharges = true
		fq.deferredChargeNodes = append(fq.deferredChargeNodes, n)
	}
}

// settleDeferredCharges moves into the virtual start times the part of the deferred charges and corrections
// that is due when the given time has passed since the last settlement.
func (fq *Queue) settleDeferredCharges(span time.Duration) {
	duePart := func(pending float64, settlementSpan time.Duration) float64 {
		if math.Abs(pending) < 1e-4 {
			return pending
		}
		return pending * (1 - math.Exp(-span.Seconds()/settlementSpan.Seconds()))
	}
	remaining := fq.deferredChargeNodes[:0]
	for _, n := range fq.deferredChargeNodes {
		correction := duePart(n.corrections, correctionSpan)
		n.corrections -= correction
		n.hasDeferredCharges = n.corrections != 0
		fq.advanceVirtualStart(n, len(n.deferredCharges), correction)
		for lane, pending := range n.deferredCharges {
			due := duePart(pending, deferredChargeSpan)
			n.deferredCharges[lane] -= due
			fq.advanceVirtualStart(n, lane, due+correction)
			n.hasDeferredCharges = n.hasDeferredCharges || n.deferredCharges[lane] != 0
		}
		if n.hasDeferredCharges {
			remaining = append(remaining, n)
		}
	}
	clear(fq.deferredChargeNodes[len(remaining):])
	fq.deferredChargeNodes = remaining
}

// advanceVirtualStart adds work to the virtual start times of a tenant and its ancestors on one clock,
// and restores the order of the heaps.
func (fq *Queue) advanceVirtualStart(n *node, clock int, work float64) {
	if work == 0 {
		return
	}
	for ; n.parent != nil; n = n.parent {
		advance := work / n.weight
		n.virtualStart[clock] += advance
		if n.activeQueries > 0 {
			n.parent.virtualClocks[clock].weightedSum += n.weight * advance
		}
		if clock < len(n.heapPosition) && n.heapPosition[clock] >= 0 {
			n.parent.heaps[n.heapBand[clock]][clock].fix(n.heapPosition[clock], clock)
		}
	}
}

// band returns the band of a node in a lane. A leaf is in withinQuota unless it is overQuota. For a group,
// a child with eligible queries in the lane must be in withinQuota too.
func (n *node) band(lane int) int {
	if n.overQuota || n.queues == nil && len(n.heaps[withinQuota][lane]) == 0 {
		return beyondQuota
	}
	return withinQuota
}

// enterHeaps adds a node to its parent's heaps of the lanes in which it has eligible queries.
func (fq *Queue) enterHeaps(n *node) {
	for lane := range n.heapPosition {
		if n.eligible[lane] > 0 && n.heapPosition[lane] < 0 {
			fq.pushHeap(n, lane)
		}
	}
}

// leaveHeaps removes a node from all heaps of its parent.
func (fq *Queue) leaveHeaps(n *node) {
	for lane := range n.heapPosition {
		if n.heapPosition[lane] >= 0 {
			fq.removeFromHeap(n, lane)
		}
	}
}

// pushHeap adds a node to its parent's heap of a lane, in the node's current band.
func (fq *Queue) pushHeap(n *node, lane int) {
	n.heapBand[lane] = uint8(n.band(lane))
	n.parent.heaps[n.heapBand[lane]][lane].push(n, lane)
}

// removeFromHeap removes a node from its parent's heap of a lane.
func (fq *Queue) removeFromHeap(n *node, lane int) {
	n.parent.heaps[n.heapBand[lane]][lane].remove(n.heapPosition[lane], lane)
}

// updateBands moves n and its ancestors to the bands that a change among their descendants requires.
func (fq *Queue) updateBands(n *node) {
	for ; n.parent != nil; n = n.parent {
		for lane := range n.heapPosition {
			if n.heapPosition[lane] >= 0 && int(n.heapBand[lane]) != n.band(lane) {
				fq.removeFromHeap(n, lane)
				fq.pushHeap(n, lane)
			}
		}
	}
}

// addEligible counts a query of a leaf that became eligible in a lane. Each node that gets its first
// eligible query there catches up with its parent's virtual time and joins its parent's heap.
func (fq *Queue) addEligible(n *node, lane int) {
	for ; n.parent != nil; n = n.parent {
		if n.eligible[lane]++; n.eligible[lane] > 1 {
			break
		}
		if n.queues != nil {
			fq.lanes[lane].eligibleTenants++
		}
		n.catchUp(lane)
		fq.pushHeap(n, lane)
	}
	fq.updateBands(n)
}

// removeEligible counts a query of a leaf that is no longer eligible in a lane. Each node without
// eligible queries leaves its parent's heap.
func (fq *Queue) removeEligible(n *node, lane int) {
	for ; n.parent != nil; n = n.parent {
		if n.eligible[lane]--; n.eligible[lane] > 0 {
			break
		}
		if n.queues != nil {
			fq.lanes[lane].eligibleTenants--
		}
		fq.removeFromHeap(n, lane)
	}
	fq.updateBands(n)
}

// idleRetention is how long an idle tenant keeps its state at least, see dropIdle.
const idleRetention = time.Minute

// dropIdle deletes the state of nodes that have been idle for idleRetention. A node whose token bucket is
// not full, or that has children with state, is kept for another idleRetention and then checked again.
func (fq *Queue) dropIdle() {
	for e := fq.idleNodes.First(); e != nil &&
		fq.now-e.Value.idleSince >= idleRetention; e = fq.idleNodes.First() {
		n := e.Value
		fq.idleNodes.Remove(&n.idleElement)
		if n.quota > 0 {
			fq.refill(n)
		}
		if n.quota > 0 && n.tokens < n.burst || n.queues == nil && fq.hasChildState(n) {
			n.idleSince = fq.now
			fq.idleNodes.Append(&n.idleElement, n)
			continue
		}
		if n.refillHeapPosition >= 0 {
			fq.overQuotaNodes.remove(n.refillHeapPosition)
		}
		fq.tenants[n.tenant].state = nil
		fq.nodeCount--
	}
}

// hasChildState reports whether a child of a group still has state. The child's state points to the group's
// state (node.parent), which must therefore be kept.
func (fq *Queue) hasChildState(n *node) bool {
	for _, i := range fq.children[n.tenant] {
		if fq.tenants[i].state != nil {
			return true
		}
	}
	return false
}

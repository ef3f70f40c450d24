// Package fairqueue shares engine capacity between tenants. It implements start-time fair queueing
// over a tree of weighted tenants, with token buckets and ageing. It decides which tenant's query is
// dispatched next, estimates how long each query will wait, and lowers the priority of some running
// queries. The queue is in front of the scheduler: the scheduler chooses engines, and rejects queries
// for which it has none; this package chooses the next query whenever the scheduler can take one more.
// A lane is the queue of one resource group. Settings and messages call a tenant a team.
//
// The package is a pure state machine without I/O, clock or goroutines. Times are durations since the
// start of the owner; inside the queue, time never goes backwards. Work is measured in thread seconds.
package fairqueue

import (
	"net/netip"
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// Counts holds the query statistics of a tenant, or of all tenants together.
type Counts struct {
	// Numbers of queries.
	Arrived, Started, Finished, Deferred, Killed, ClientGone, Repeated, PriorityLowered int

	// ChargedThreadSeconds is the work charged to a tenant. Queue.Total leaves it and LastStartAt at zero.
	ChargedThreadSeconds float64

	// Statistics of the queries that started: the sums of their first wait estimates and of
	// their waits, the longest wait, and the time of the last start.
	TotalEstimatedWait, TotalWait, MaxWait, LastStartAt time.Duration
}

// Queue is the fair queue of one controller. It is not safe for concurrent use: the owner's
// goroutine makes all calls.
type Queue struct {
	config   Config
	resolver *tenantResolver
	lanes    []laneState
	cores    float64

	// The tenant tree. children holds the indexes in tenants of each tenant's children.
	tenants             []tenantRecord
	children            [][]int
	root                *node
	nodeCount           int    // tenants with state
	nextNodeSequence    uint64 // for node.sequence
	deferredChargeNodes []*node
	idleNodes           intrusivelist.List[node] // by node.idleSince, longest idle first
	overQuotaNodes      refillHeap

	// now never decreases; sweptAt is the time of the last Sweep.
	now           time.Duration
	sweptAt       time.Duration
	lastWaitingAt time.Duration // last sweep at which a query waited

	// Waiting queries.
	lastSequence uint64
	waiting      int
	orders       map[orderID]*orderQueue
	spareOrder   *orderQueue // an empty order for reuse
	chains       map[int64]chainInFlight
	repeats      repeatCache
	subscribers  []*Query // whose clients are notified of changed estimates

	// Dispatched and running queries.
	running          queryList // dispatched and running, in the order of dispatch
	inFlightWork     float64   // estimated thread seconds left, as of the last sweep
	runningThreads   float64
	servicePerThread float64 // seconds of core time given to each running thread so far

	// Measurements of the engines.
	workDone        saturatedRate // fraction of the cores used while queries waited
	overrunRate     float64       // thread seconds per second used by queries far beyond their estimated work
	meanOverrunRate runningMean   // mean of overrunRate while queries wait
	typicalInFlight runningMean   // work in flight at a dispatch from a lane at capacity
	laneRatios      [][2]float64  // work dispatched from each lane of a pair while both waited
	surge           surge

	// Total holds the counts of all tenants together.
	Total Counts
}

// New returns an empty queue. The configuration must be valid, see Config.Validate.
func New(config Config) *Queue {
	fq := &Queue{
		orders:        map[orderID]*orderQueue{},
		chains:        map[int64]chainInFlight{},
		cores:         1,
		lastWaitingAt: -time.Hour,
	}
	fq.root = &node{weight: 1}
	fq.applyConfig(config)
	return fq
}

// TenantOf returns the index of a call's tenant. The name in the call decides if the address is
// trusted to name a tenant, otherwise the address does.
func (fq *Queue) TenantOf(from netip.Addr, named []byte) int { return fq.resolver.resolve(from, named) }

// TenantName returns the name of the tenant with an index returned by TenantOf.
func (fq *Queue) TenantName(tenant int) string { return fq.tenants[tenant].Name }

// StarvationBound returns the longest time for which a tenant with a waiting query gets no start. It
// is the ageing limit, after which the query precedes all that arrived later, plus a quarter of the
// limit for the queries that arrived earlier. Only the first waiting query of a tenant may become as
// old.
func (fq *Queue) StarvationBound() time.Duration { return fq.config.AgeingLimit * 5 / 4 }

// WaitingCount returns the number of waiting queries of all tenants.
func (fq *Queue) WaitingCount() int { return fq.waiting }

// StateCount returns the number of tenants, orders, chains and repeatable calls with state. Tests use
// it to check that memory is bounded.
func (fq *Queue) StateCount() int {
	return fq.nodeCount + len(fq.orders) + len(fq.chains) + fq.repeats.size()
}

// advance sets the current time, unless the argument is older, and refills the token buckets of nodes
// that are within their quota again.
func (fq *Queue) advance(now time.Duration) {
	fq.now = max(fq.now, now)
	for len(fq.overQuotaNodes) > 0 && fq.overQuotaNodes[0].refilledAt() <= fq.now {
		n := fq.overQuotaNodes[0]
		fq.refill(n)
		if n.tokens < 0 { // rounding error
			n.tokens = 0
		}
		fq.updateQuotaBand(n)
	}
}

// SetCores sets the total number of cores of the engines that accept queries.
func (fq *Queue) SetCores(cores float64) { fq.cores = max(cores, 0.1) }

// expectedRunSeconds returns the mean run time of a lane's queries, or an initial estimate.
func (fq *Queue) expectedRunSeconds(l *laneState) float64 {
	return l.runSeconds.valueOr(l.InitialWorkEstimate.Seconds() / max(1, l.Threads))
}

// rememberForRepeat stores a call's arrival time and charge for a call that repeats it, if the call can be
// repeated.
func (fq *Queue) rememberForRepeat(q *Query) {
	if q.RepeatID != 0 {
		fq.repeats.put(q.RepeatID, repeatableCall{
			arrived: q.ArrivedAt,
			charged: q.charged + q.credit,
			tenant:  q.Tenant,
			endedAt: fq.now,
		})
	}
}

// expectedWork returns the expected work of a tenant's query in a lane: the tenant's own mean, blended
// with the lane's mean while the tenant has few finished queries.
func (fq *Queue) expectedWork(n *node, lane int) float64 {
	l := &fq.lanes[lane]
	laneMean := l.meanWork.valueOr(max(1e-4, l.InitialWorkEstimate.Seconds()))
	tenantMean := n.meanWork[lane]
	const priorQueries = 8 // the lane's mean weighs as much as this number of the tenant's own queries
	return (tenantMean.value*tenantMean.count + laneMean*priorQueries) / (tenantMean.count + priorQueries)
}

// makeEligible adds a query to its tenant's queue in the order of arrival. If the query is the first
// of its chain, the queries parked behind it become eligible too.
func (fq *Queue) makeEligible(q *Query) {
	leaf := q.leaf
	queue := &leaf.queues[q.Lane]
	at := queue.Last()
	// A query that had to wait for its order is often the oldest.
	if first := queue.First(); first != nil && arrivedBefore(q, first.Value) {
		at = nil
	}
	for at != nil && arrivedBefore(q, at.Value) {
		at = at.Previous()
	}
	queue.InsertAfter(&q.queueElement, q, at)
	q.eligible = true
	fq.addEligible(leaf, q.Lane)
	if order := q.orders[chainOrder].order; order != nil && order.first == q && order.parked > 0 {
		fq.unpark(order)
	}
}

// makeIneligible removes a query from its tenant's queue. The query stays in its lane.
func (fq *Queue) makeIneligible(q *Query) {
	if !q.eligible {
		return
	}
	q.leaf.queues[q.Lane].Remove(&q.queueElement)
	q.eligible = false
	fq.removeEligible(q.leaf, q.Lane)
}

// Started records that the first attempt of a dispatched query was sent to an engine.
func (fq *Queue) Started(now time.Duration, q *Query) {
	fq.advance(now)
	if q.state != stateDispatched {
		return
	}
	q.state, q.startedAt, q.sweptAt = stateRunning, fq.now, fq.now
	waited := fq.now - q.enqueuedAt
	l := &fq.lanes[q.Lane]
	l.removeDispatched(q)
	if q.uncorrectedWait > 0 && !l.Chained && q.orders[keyOrder].order == nil {
		l.correction.add(fq.now, q.uncorrectedWait, waited.Seconds())
	}
	counts := &q.leaf.counts
	counts.Started++
	counts.TotalEstimatedWait += q.WaitEstimate
	counts.TotalWait += waited
	counts.MaxWait = max(counts.MaxWait, waited)
	counts.LastStartAt = fq.now
	fq.Total.Started++
	fq.Total.TotalEstimatedWait += q.WaitEstimate
	fq.Total.TotalWait += waited
	fq.Total.MaxWait = max(fq.Total.MaxWait, waited)
}

// Outcome tells how a query ended.
type Outcome int

// Outcomes of admitted queries.
const (
	Finished   Outcome = iota
	Deferred           // its client was told to retry later
	Killed             // it was aborted while it ran
	ClientGone         // its client disconnected or cancelled it
)

// Ended records that a query was answered or that its client has gone, and that none of its attempts
// is running. work is the thread time that engines reported; if it is 0, the charge made while the
// query ran stands. lost is the run time of attempts for which no work was reported. Ended stores a call
// that did not finish, so that a repeated call can inherit from it. A query that is not in the queue is
// ignored.
func (fq *Queue) Ended(now time.Duration, q *Query, outcome Outcome, work, lost time.Duration) {
	fq.advance(now)
	l := &fq.lanes[q.Lane]
	leaf := q.leaf
	switch q.state {
	case stateAbsent:
		return
	case stateWaiting:
		fq.dequeue(q, l)
	case stateDispatched: // never sent, so it used nothing
		fq.removeRunning(q, l)
		l.removeDispatched(q)
		fq.charge(leaf, q.Lane, -q.charged)
		q.charged = 0
	case stateRunning:
		fq.removeRunning(q, l)
		if outcome == Finished {
			fq.learnRunTime(q, l, work)
		}
		if work > 0 {
			fq.settleWork(q, l, work, lost)
		}
	}
	leaf.counts.add(outcome)
	fq.Total.add(outcome)
	if outcome != Finished {
		fq.rememberForRepeat(q)
	}
	if l.Chained && (q.state == stateDispatched || q.state == stateRunning) {
		fq.chainEnded(q)
	}
	q.state = stateAbsent
	fq.leaveOrder(q, keyOrder)
	fq.removeActive(leaf)
}

// removeRunning removes a dispatched or running query from the work in flight.
func (fq *Queue) removeRunning(q *Query, l *laneState) {
	fq.running.Remove(&q.queueElement)
	fq.inFlightWork -= q.remainingWork
	fq.runningThreads -= l.Threads
}

// learnRunTime adds a finished query to its lane's mean run time and, if its work is known, to the lane's
// mean slowdown.
func (fq *Queue) learnRunTime(q *Query, l *laneState, work time.Duration) {
	runSeconds := (fq.now - q.startedAt).Seconds()
	l.runSeconds.add(runSeconds, 200)
	if work > 0 {
		l.slowdown.add(max(1, runSeconds*l.Threads/work.Seconds()), 200)
	}
}

// settleWork replaces the charge made while a query ran by the work that it actually used, including that of
// lost attempts. It adds the reported work to the means of the query's lane and tenant, and to workDone.
func (fq *Queue) settleWork(q *Query, l *laneState, work, lost time.Duration) {
	// Limits the effect of a bad query plan on the mean.
	typicalWork := min(work.Seconds(), fq.config.OverrunFactor*q.estimatedWork)
	l.meanWork.add(typicalWork, 400)
	q.leaf.meanWork[q.Lane].add(typicalWork, 100)
	fq.workDone.add(fq.now, max(0, work.Seconds()-q.countedWork)/fq.cores)
	actualWork := max(0, work.Seconds()+lost.Seconds()*l.Threads/max(1, l.slowdown.valueOr(1))-q.credit)
	fq.correctCharge(q.leaf, actualWork-q.charged)
	q.charged = actualWork
}

// add increments the count of an outcome.
func (c *Counts) add(outcome Outcome) {
	switch outcome {
	case Finished:
		c.Finished++
	case Deferred:
		c.Deferred++
	case Killed:
		c.Killed++
	case ClientGone:
		c.ClientGone++
	}
}

// EachTenant calls each with the counts of every tenant that has state, in the order of the
// configuration.
func (fq *Queue) EachTenant(each func(path string, waiting int, n Counts)) {
	for i := range fq.tenants {
		if record := &fq.tenants[i]; record.isLeaf && record.state != nil {
			each(record.path, record.state.waiting, record.state.counts)
		}
	}
}

// Package fairqueue decides which tenant's query goes next, how long each will wait, and which
// running queries have their priority lowered: start-time fair queueing over a tree of weighted
// tenants, with token buckets and ageing. It stands before the scheduler, which chooses engines
// and rejects for want of them; this package chooses whose turn it is whenever the scheduler
// would take one more query.
//
// It is a pure state machine: no I/O, no clock, no goroutine. Times are spans since the owner's
// start and never run backwards inside. Amounts of work are thread seconds.
package fairqueue

import (
	"net/netip"
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// Counts sums what happened to the queries of a tenant, or of all tenants together.
type Counts struct {
	// Numbers of queries.
	Arrived, Started, Finished, Deferred, Killed, ClientGone, Repeated, PriorityLowered int

	// ChargedThreadSeconds is in thread seconds.
	ChargedThreadSeconds float64

	// Of the queries that started: sums of their first estimates and of their waits, the
	// longest wait, and when the last one started.
	TotalEstimatedWait, TotalWait, MaxWait, LastStartAt time.Duration
}

// Queue is the fair queue of one controller. It is not safe for concurrent use: its owner's
// goroutine makes all calls.
type Queue struct {
	config   Config
	resolver *tenantResolver
	lanes    []lane
	cores    float64

	// The tenant tree. Indexes are those of tenants.
	tenants   []tenantRecord
	children  [][]int
	root      *node
	nodeCount int    // nodes with state
	nodesMade uint64 // ever, numbers the nodes
	debtors   []*node
	idle      intrusivelist.List[node] // in the order in which they became idle
	refills   refillHeap

	// Time never runs backwards; sweptAt is the last sweep's.
	now           time.Duration
	sweptAt       time.Duration
	lastWaitingAt time.Duration // when a query last waited, as sweeps saw it

	// Waiting queries.
	lastSequence uint64
	waiting      int
	orders       map[orderID]*orderQueue
	spareOrder   *orderQueue // to be used again
	chains       map[int64]chainInFlight
	repeats      repeatMemory
	subscribers  []*Query // asked for changes of their estimate

	// Dispatched and running queries.
	running          list    // in the order of dispatch
	inFlightWork     float64 // thread seconds left, at the last sweep
	runningThreads   float64
	servicePerThread float64 // seconds that each running thread was served so far

	// What was learned of the engines.
	workDone        saturatedRate // part of the cores' time that was used while queries waited
	overrunRate     float64       // thread seconds a second of queries far beyond their usual work
	overrunMean     runningMean   // the same, while queries wait
	typicalInFlight runningMean   // work in flight when a query that waited was dispatched
	laneRatios      [][2]float64  // by pair of lanes: work dispatched of each while both waited
	surge           surge

	// Total counts all tenants together.
	Total Counts
}

// New makes an empty queue. The configuration must have passed Check.
func New(shape Config) *Queue {
	f := &Queue{
		orders:        map[orderID]*orderQueue{},
		chains:        map[int64]chainInFlight{},
		cores:         1,
		lastWaitingAt: -time.Hour,
	}
	f.root = &node{weight: 1}
	f.applyConfig(shape)
	return f
}

// TenantOf returns the tenant's index: by the name in the call, where the call's address is
// trusted to name one, and else by the address.
func (f *Queue) TenantOf(from netip.Addr, named []byte) int { return f.resolver.resolve(from, named) }

// TenantName returns the name of a tenant's index as TenantOf gave it.
func (f *Queue) TenantName(i int) string { return f.tenants[i].Name }

// StarvationBound is the longest time that a tenant with a waiting query goes without a start:
// the ageing limit, after which its query goes before all that arrived later, and a quarter of
// it for those that arrived earlier. Only the first waiting query of a tenant may grow as old.
func (f *Queue) StarvationBound() time.Duration { return f.config.AgeingLimit * 5 / 4 }

// WaitingCount returns the number of queries that wait, over all tenants.
func (f *Queue) WaitingCount() int { return f.waiting }

// StateCount returns how many tenants, orders, chains and remembered calls have state. Tests
// use it to check the bounds on memory.
func (f *Queue) StateCount() int {
	return f.nodeCount + len(f.orders) + len(f.chains) + f.repeats.size()
}

func (f *Queue) advance(now time.Duration) {
	f.now = max(f.now, now)
	for len(f.refills) > 0 && f.refills[0].refilledAt() <= f.now {
		n := f.refills[0]
		f.refill(n)
		if n.tokens < 0 { // rounding
			n.tokens = 0
		}
		f.updateQuotaBand(n)
	}
}

// SetCores sets the number of cores of all engines that take queries.
func (f *Queue) SetCores(cores float64) { f.cores = max(cores, 0.1) }

// usualRunSeconds is the usual time of a lane's query from start to end, in seconds.
func (f *Queue) usualRunSeconds(l *lane) float64 {
	return l.runSeconds.valueOr(l.InitialWorkEstimate.Seconds() / max(1, l.Threads))
}

// rememberForRepeat keeps a call's age and charge for the call that repeats it.
func (f *Queue) rememberForRepeat(q *Query) {
	if q.RepeatID != 0 {
		f.repeats.put(q.RepeatID, repeatedCall{
			arrived: q.ArrivedAt,
			charged: q.charged + q.credit,
			tenant:  q.Tenant,
			endedAt: f.now,
		})
	}
}

// usualWork is the expected thread time of a tenant's query, in seconds.
func (f *Queue) usualWork(n *node, i int) float64 {
	l := &f.lanes[i]
	all := l.usualCost.valueOr(max(1e-4, l.InitialWorkEstimate.Seconds()))
	m := n.usualCosts[i]
	const trust = 8 // queries of one's own that count as much as everybody's
	return (m.value*m.count + all*trust) / (m.count + trust)
}

// makeEligible puts a query into its tenant's queue, by age.
func (f *Queue) makeEligible(q *Query) {
	n := q.leaf
	l := &n.queues[q.Lane]
	at := l.Last()
	if first := l.First(); first != nil && older(q, first.Value) { // set free by one before it: it is old
		at = nil
	}
	for at != nil && older(q, at.Value) {
		at = at.Previous()
	}
	l.InsertAfter(&q.turnElement, q, at)
	q.eligible = true
	f.addEligible(n, q.Lane)
	if x := q.orders[chainOrder].order; x != nil && x.first == q && x.parked > 0 {
		f.unpark(x)
	}
}

// makeIneligible takes a query out of its tenant's queue; it goes on waiting.
func (f *Queue) makeIneligible(q *Query) {
	if !q.eligible {
		return
	}
	q.leaf.queues[q.Lane].Remove(&q.turnElement)
	q.eligible = false
	f.removeEligible(q.leaf, q.Lane)
}

// Started records that the first attempt of a dispatched query was sent.
func (f *Queue) Started(now time.Duration, q *Query) {
	f.advance(now)
	if q.state != stateDispatched {
		return
	}
	q.state, q.startedAt, q.sweptAt = stateRunning, f.now, f.now
	had := f.now - q.enqueuedAt
	l := &f.lanes[q.Lane]
	l.removeDispatched(q)
	if q.uncorrectedWait > 0 && !l.Chained && q.orders[keyOrder].order == nil {
		l.correction.add(f.now, q.uncorrectedWait, had.Seconds())
	}
	n := &q.leaf.counts
	n.Started++
	n.TotalEstimatedWait += q.WaitEstimate
	n.TotalWait += had
	n.MaxWait = max(n.MaxWait, had)
	n.LastStartAt = f.now
	f.Total.Started++
	f.Total.TotalEstimatedWait += q.WaitEstimate
	f.Total.TotalWait += had
	f.Total.MaxWait = max(f.Total.MaxWait, had)
}

// Outcome is how a query ended.
type Outcome int

// The outcomes.
const (
	Finished   Outcome = iota
	Deferred           // its client was told to retry later
	Killed             // it was given up while it ran
	ClientGone         // its client disconnected or cancelled it
)

// Ended records that a query was answered or its client has gone, and that none of its attempts
// runs any more. work is the thread time that the engine reported, 0 if it reported none: then
// what the query was charged while it ran stands. lost is how long attempts ran that reported
// nothing.
func (f *Queue) Ended(now time.Duration, q *Query, end Outcome, work, lost time.Duration) {
	f.advance(now)
	l := &f.lanes[q.Lane]
	n := q.leaf
	switch q.state {
	case stateAbsent:
		return
	case stateWaiting:
		f.dequeue(q, l)
	case stateDispatched: // never sent: it used nothing
		f.removeRunning(q, l)
		l.removeDispatched(q)
		f.charge(n, q.Lane, -q.charged)
		q.charged = 0
	case stateRunning:
		f.removeRunning(q, l)
		if end == Finished {
			f.learnRunTime(q, l, work)
		}
		if work > 0 {
			f.settleWork(q, l, work, lost)
		}
	}
	n.counts.add(end)
	f.Total.add(end)
	if end != Finished {
		f.rememberForRepeat(q)
	}
	if l.Chained && (q.state == stateDispatched || q.state == stateRunning) {
		f.chainEnded(q)
	}
	q.state = stateAbsent
	f.leaveOrder(q, keyOrder)
	f.removeActive(n)
}

// removeRunning takes a dispatched or running query out of the work in flight.
func (f *Queue) removeRunning(q *Query, l *lane) {
	f.running.Remove(&q.turnElement)
	f.inFlightWork -= q.remainingWork
	f.runningThreads -= l.Threads
}

// learnRunTime adds a finished query to its lane's usual run time and slowdown.
func (f *Queue) learnRunTime(q *Query, l *lane, work time.Duration) {
	took := (f.now - q.startedAt).Seconds()
	l.runSeconds.add(took, 200)
	if work > 0 {
		l.slowdown.add(max(1, took*l.Threads/work.Seconds()), 200)
	}
}

// settleWork replaces what a query was charged while it ran by what it really used.
func (f *Queue) settleWork(q *Query, l *lane, work, lost time.Duration) {
	// The work of a bad plan is not taken for usual.
	usual := min(work.Seconds(), f.config.OverrunFactor*q.estimatedWork)
	l.usualCost.add(usual, 400)
	q.leaf.usualCosts[q.Lane].add(usual, 100)
	f.workDone.add(f.now, max(0, work.Seconds()-q.measuredWork)/f.cores)
	real := max(0, work.Seconds()+lost.Seconds()*l.Threads/max(1, l.slowdown.valueOr(1))-q.credit)
	f.correctCharge(q.leaf, real-q.charged)
	q.charged = real
}

// add counts a query's outcome.
func (x *Counts) add(end Outcome) {
	switch end {
	case Finished:
		x.Finished++
	case Deferred:
		x.Deferred++
	case Killed:
		x.Killed++
	case ClientGone:
		x.ClientGone++
	}
}

// EachTenant calls each with the counts of every tenant that has state, in configured order.
func (f *Queue) EachTenant(each func(path string, waiting int, n Counts)) {
	for i := range f.tenants {
		if p := &f.tenants[i]; p.isLeaf && p.state != nil {
			each(p.path, p.state.waiting, p.state.counts)
		}
	}
}

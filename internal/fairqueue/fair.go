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

// Counts sums what happened to the queries of a tenant, or of all tenants together.
type Counts struct {
	// Numbers of queries.
	Arrived, Started, Finished, Deferred, Killed, ClientGone, Repeated, Lowered int

	// Charged is in thread seconds.
	Charged float64

	// Of the queries that started: sums of their first estimates and of their waits, the
	// longest wait, and when the last one started.
	SumEstimates, SumWaits, MaxWait, LastStart time.Duration
}

// Admission is the answer to a query that arrived.
type Admission struct {
	Admitted bool
	Estimate time.Duration // until the query starts, or if rejected until it might
	Reason   RejectReason
}

// RejectReason says why a query was not admitted.
type RejectReason int

const (
	NotRejected       RejectReason = iota
	WouldStartTooLate              // it would start too late for its client
	WaitTooLong                    // it would wait longer than the bound of ageing
	TenantQueueFull                // of its team wait
	QueueFull                      // too many wait in all
)

var rejectReasonTexts = [...]string{
	NotRejected:       "",
	WouldStartTooLate: "it would start too late",
	WaitTooLong:       "it would wait longer than any may",
	TenantQueueFull:   "too many of its team wait",
	QueueFull:         "too many wait",
}

// String returns the reason as log messages have it.
func (r RejectReason) String() string { return rejectReasonTexts[r] }

// Queue is the fair queue of one controller. It is not safe for concurrent use: its owner's
// goroutine makes all calls.
type Queue struct {
	config   Config
	resolver *TenantResolver
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
func (f *Queue) TenantOf(from netip.Addr, named []byte) int { return f.resolver.Resolve(from, named) }

// TenantName returns the name of a tenant's index as TenantOf gave it.
func (f *Queue) TenantName(i int) string { return f.tenants[i].Name }

// StarvationBound is the longest time that a tenant with a waiting query goes without a start:
// the ageing limit, after which its query goes before all that arrived later, and a quarter of
// it for those that arrived earlier. Only the first waiting query of a tenant may grow as old.
func (f *Queue) StarvationBound() time.Duration { return f.config.AgeingLimit * 5 / 4 }

// Waiting returns the number of queries that wait, over all tenants.
func (f *Queue) Waiting() int { return f.waiting }

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

// Enqueue admits a query or rejects it with the wait after which it may be retried. Next
// dispatches admitted queries.
func (f *Queue) Enqueue(now time.Duration, q *Query) Admission {
	f.advance(now)
	n := f.node(q.Tenant)
	q.leaf = n
	q.enqueuedAt = f.now
	q.Arrived = f.now
	n.counts.Arrived++
	f.Total.Arrived++
	f.takeOverRepeat(q)
	q.estimatedWork = f.usualWork(n, q.Lane)
	admission, wait := f.decideAdmission(q)
	if !admission.Admitted {
		f.reject(q, n)
		return admission
	}
	f.recordArrival(q)
	f.lastSequence++
	q.sequence = f.lastSequence
	q.state = stateWaiting
	q.Estimate = wait
	q.expectedStart = f.now + wait
	f.insertWaiting(q)
	return admission
}

// takeOverRepeat gives a repeated call the age and the charge of the call that it repeats.
func (f *Queue) takeOverRepeat(q *Query) {
	if q.RepeatOf == 0 {
		return
	}
	was, ok := f.repeats.take(q.RepeatOf)
	if !ok || was.tenant != q.Tenant {
		return
	}
	q.Arrived = was.arrived
	q.credit = was.charged
	q.leaf.counts.Repeated++
	f.Total.Repeated++
}

// decideAdmission checks a query's wait estimate against the bounds. wait is the estimate that
// an admitted query is queued with.
func (f *Queue) decideAdmission(q *Query) (admission Admission, wait time.Duration) {
	n := q.leaf
	estimate := f.estimateWait(q)
	wait = estimate
	// A query behind others of its tenant is not admitted to grow old. The first of a tenant is:
	// ageing brings its turn whatever its weight.
	limit := f.config.AgeingLimit*3/5 - (q.enqueuedAt - q.Arrived)
	if n.queues[q.Lane].First() == nil {
		wait = min(estimate, f.config.AgeingLimit)
		limit = wait
	}
	run := seconds(f.usualRunSeconds(&f.lanes[q.Lane]))
	switch {
	case n.waiting >= n.maxWaiting:
		return Admission{Reason: TenantQueueFull, Estimate: wait}, wait
	case f.waiting >= f.config.MaxWaiting:
		return Admission{Reason: QueueFull, Estimate: wait}, wait
	case f.now+wait+run > q.Deadline:
		return Admission{Reason: WouldStartTooLate, Estimate: wait}, wait
	case wait > max(limit, f.config.AgeingLimit/5):
		return Admission{Reason: WaitTooLong, Estimate: wait}, wait
	}
	return Admission{Admitted: true, Estimate: estimate}, wait
}

// recordArrival adds an admitted query to the arrival rates; in a surge it counts for less.
func (f *Queue) recordArrival(q *Query) {
	n := q.leaf
	leastSurge := minSurgeQueries * f.largestUsualWork()
	usual := q.estimatedWork / f.surge.add(f.now, q.estimatedWork, f.totalArrivalRate(), leastSurge)
	n.arrivalRates[q.Lane].add(f.now, usual)
	f.lanes[q.Lane].arrivals.add(f.now, usual)
	q.workAhead = n.backlog[q.Lane] + n.dequeuedWork[q.Lane]
	if q.NotifyChanges && !q.subscribed && len(f.subscribers) < maxSubscribers {
		q.subscribed = true
		f.subscribers = append(f.subscribers, q)
	}
}

// insertWaiting puts an admitted query into its lane, its orders and, if it may go, its
// tenant's queue.
func (f *Queue) insertWaiting(q *Query) {
	l := &f.lanes[q.Lane]
	f.addActive(q.leaf)
	q.leaf.waiting++
	f.waiting++
	l.waiting++
	f.addBacklog(q)
	l.insert(q)
	if l.Ordered && q.Key >= 0 {
		f.joinOrder(q, 0, q.Key)
	}
	if l.Chained {
		f.joinOrder(q, 1, q.Chain)
	}
	if q.firstOfItsKey() {
		f.makeEligible(q)
	}
}

// addBacklog counts a query among those that wait, up to the root.
func (f *Queue) addBacklog(q *Query) {
	for x := q.leaf; x.parent != nil; x = x.parent {
		if x.waitingBelow++; x.waitingBelow == 1 {
			x.catchUp(len(f.lanes))
		}
		x.backlog[q.Lane] += q.estimatedWork
	}
	f.root.backlog[q.Lane] += q.estimatedWork
}

// usualRunSeconds is the usual time of a lane's query from start to end, in seconds.
func (f *Queue) usualRunSeconds(l *lane) float64 {
	return l.runSeconds.valueOr(l.UsualWork.Seconds() / max(1, l.Threads))
}

// reject counts a rejected query and remembers it for its repeat.
func (f *Queue) reject(q *Query, n *node) {
	n.counts.Deferred++
	f.Total.Deferred++
	f.rememberForRepeat(q)
	q.state = stateAbsent
	if n.busy == 0 {
		f.idle.Remove(&n.idleElement)
		n.idleSince = f.now
		f.idle.Append(&n.idleElement, n)
	}
}

// rememberForRepeat keeps a call's age and charge for the call that repeats it.
func (f *Queue) rememberForRepeat(q *Query) {
	if q.RepeatID != 0 {
		f.repeats.put(q.RepeatID, repeatedCall{
			arrived: q.Arrived,
			charged: q.charged + q.credit,
			tenant:  q.Tenant,
			endedAt: f.now,
		})
	}
}

// usualWork is the expected thread time of a tenant's query, in seconds.
func (f *Queue) usualWork(n *node, i int) float64 {
	l := &f.lanes[i]
	all := l.usualCost.valueOr(max(1e-4, l.UsualWork.Seconds()))
	m := n.usualCosts[i]
	const trust = 8 // queries of one's own that count as much as everybody's
	return (m.value*m.count + all*trust) / (m.count + trust)
}

// joinOrder puts a query at the end of a key's or chain's order, which neither age nor weight
// changes.
func (f *Queue) joinOrder(q *Query, kind int, id int64) {
	at := orderID{kind, id}
	x := f.orders[at]
	if x == nil {
		if x = f.spareOrder; x != nil {
			f.spareOrder = nil
		} else {
			x = &orderQueue{}
		}
		x.id, x.first, x.last = at, nil, nil
		f.orders[at] = x
	}
	k := &q.orders[kind]
	k.order, k.prev, k.next = x, x.last, nil
	if x.last != nil {
		x.last.orders[kind].next = q
	} else {
		x.first = q
	}
	x.last = q
}

// leaveOrder takes a query out of an order and makes the one behind it eligible.
func (f *Queue) leaveOrder(q *Query, kind int) {
	k := &q.orders[kind]
	x := k.order
	if x == nil {
		return
	}
	if k.prev != nil {
		k.prev.orders[kind].next = k.next
	} else {
		x.first = k.next
	}
	if k.next != nil {
		k.next.orders[kind].prev = k.prev
	} else {
		x.last = k.prev
	}
	*k = orderLink{}
	if q.parked && kind == 1 {
		q.parked = false
		x.parked--
	}
	if x.first == nil {
		delete(f.orders, x.id)
		f.spareOrder = x
		return
	}
	if kind == 1 {
		f.unpark(x)
		return
	}
	// q may have been one further behind: then the first is eligible already.
	next := x.first
	if next.state == stateWaiting && !next.eligible && !next.parked {
		f.makeEligible(next)
	}
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
	if x := q.orders[1].order; x != nil && x.first == q && x.parked > 0 {
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
	if q.uncorrectedWait > 0 && !l.Chained && q.orders[0].order == nil {
		l.correction.add(f.now, q.uncorrectedWait, had.Seconds())
	}
	n := &q.leaf.counts
	n.Started++
	n.SumEstimates += q.Estimate
	n.SumWaits += had
	n.MaxWait = max(n.MaxWait, had)
	n.LastStart = f.now
	f.Total.Started++
	f.Total.SumEstimates += q.Estimate
	f.Total.SumWaits += had
	f.Total.MaxWait = max(f.Total.MaxWait, had)
}

// Outcome is how a query ended.
type Outcome int

const (
	Finished Outcome = iota
	Deferred
	Killed
	ClientGone
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
	f.leaveOrder(q, 0)
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

// Sweep is called every SweepInterval. It charges running queries for what they have used so
// far, calls lower for each query whose priority is to be lowered (on) or raised again, and
// calls retell for each waiting query that asked for changes of its estimate and whose estimate
// changed by much. After a jump of the clock it charges no more than maxSweepSpan.
func (f *Queue) Sweep(now time.Duration, lower func(q *Query, on bool),
	retell func(q *Query, wait time.Duration)) {
	f.advance(now)
	span := min(f.now-f.sweptAt, maxSweepSpan)
	f.servicePerThread += span.Seconds() * min(1, f.cores/max(1, f.runningThreads))
	f.sweptAt = f.now
	f.settleDebts(span)
	if f.waiting > 0 {
		f.lastWaitingAt = f.now
	}
	waitingValue := f.waitingValue()
	for e := f.running.First(); e != nil; e = e.Next() {
		e.Value.leaf.overrunRate = 0
	}
	inFlight, overrun := 0.0, 0.0
	for e := f.running.First(); e != nil; e = e.Next() {
		q := e.Value
		if q.state != stateRunning {
			q.serviceAtDispatch = f.servicePerThread
			inFlight += q.remainingWork
			continue
		}
		work := f.chargeRunning(q, span)
		inFlight += q.remainingWork
		if work > 2*q.estimatedWork {
			overrun += f.recordOverrun(q, work)
		}
		f.updatePriority(q, work, waitingValue, lower)
	}
	f.overrunRate = overrun
	if f.waiting > 0 {
		f.overrunMean.add(overrun, 200)
	}
	f.inFlightWork = inFlight // anew: the rounding of what was added and taken off adds up
	if retell != nil {
		f.notifyChangedWaits(retell)
	}
	f.dropIdle()
	f.repeats.dropExpired(f.now)
}

// waitingValue is the greatest value for its work of the lanes in which queries wait.
func (f *Queue) waitingValue() float64 {
	most := 0.0
	for i := range f.lanes {
		if l := &f.lanes[i]; l.waiting > 0 {
			most = max(most, l.valuePerWork())
		}
	}
	return most
}

// chargeRunning charges a running query for a span and returns the thread seconds that it is
// thought to have used: by the usual slowdown of its lane, of the threads that it holds.
func (f *Queue) chargeRunning(q *Query, span time.Duration) (work float64) {
	l := &f.lanes[q.Lane]
	q.ranSeconds += min(span, f.now-q.sweptAt).Seconds()
	q.sweptAt = f.now
	served := f.servicePerThread - q.serviceAtDispatch
	q.remainingWork = max(0.05*q.estimatedWork, q.estimatedWork-l.Threads*served)
	work = q.ranSeconds*l.Threads/max(1, l.slowdown.valueOr(1)) - q.credit
	if work > q.charged {
		f.correctCharge(q.leaf, work-q.charged)
		q.charged = work
	}
	return work
}

// recordOverrun counts a query that runs far beyond its usual work, and returns the thread time
// a second that it takes.
func (f *Queue) recordOverrun(q *Query, work float64) (pace float64) {
	l := &f.lanes[q.Lane]
	pace = l.Threads / max(1, l.slowdown.valueOr(1))
	q.leaf.overrunRate += pace
	f.workDone.add(f.now, max(0, work-q.measuredWork)/f.cores)
	q.measuredWork = max(q.measuredWork, work)
	return pace
}

// updatePriority lowers a running query's priority, or raises it again. While queries wait, those
// are lowered that overrun, whose tenant is over its quota, or that are worth much less for
// their work than what waits. Ordered and chained queries never are.
func (f *Queue) updatePriority(q *Query, work, waitingValue float64, lower func(q *Query, on bool)) {
	l := &f.lanes[q.Lane]
	on := f.now-f.lastWaitingAt < raisePriorityAfter && !l.Ordered && !l.Chained &&
		(work > f.config.OverrunFactor*q.estimatedWork || f.anyOverQuota(q.leaf) ||
			l.valuePerWork() < waitingValue/2)
	if on == q.lowered {
		return
	}
	q.lowered = on
	if on {
		q.leaf.counts.Lowered++
		f.Total.Lowered++
	}
	if lower != nil {
		lower(q, on)
	}
}

// raisePriorityAfter is how long nobody must have waited before lowered priorities are raised
// again: where engines are nearly full somebody waits every other moment.
const raisePriorityAfter = 2 * time.Second

const (
	SweepInterval = 100 * time.Millisecond
	maxSweepSpan  = time.Second
)

func (f *Queue) anyOverQuota(n *node) bool {
	for ; n.parent != nil; n = n.parent {
		if n.overQuota {
			return true
		}
	}
	return false
}

// EachTenant calls each with the counts of every tenant that has state, in configured order.
func (f *Queue) EachTenant(each func(path string, waiting int, n Counts)) {
	for i := range f.tenants {
		if p := &f.tenants[i]; p.isLeaf && p.state != nil {
			each(p.path, p.state.waiting, p.state.counts)
		}
	}
}

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
	Arrived, Started, Finished, Deferred, Killed, ClientGone, Repeated, Lowered int
	Charged                                                                     float64       // thread seconds
	SumEstimates, SumWaits                                                      time.Duration // sums of first estimates and waits, of those started
	MaxWait                                                                     time.Duration // wait had
	LastStart                                                                   time.Duration
}

// Admission is the answer to a query that arrived.
type Admission struct {
	Admitted bool
	Estimate time.Duration // until it starts, or for a query not taken until it might
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

var rejectReasonTexts = [...]string{"", "it would start too late", "it would wait longer than any may", "too many of its team wait", "too many wait"}

func (r RejectReason) String() string { return rejectReasonTexts[r] }

// Queue is the fair queue of one controller. It is not safe for concurrent use: its owner's
// goroutine makes all calls.
type Queue struct {
	config           Config
	tenants          []tenantRecord
	children         [][]int
	resolver         *TenantResolver
	lanes            []lane
	root             *node
	now              time.Duration
	lastSequence     uint64
	nodesMade        uint64
	nodeCount        int
	waiting          int
	refills          refillHeap
	orders           map[orderID]*orderQueue
	chains           map[int64]chainInFlight
	spareOrder       *orderQueue // to use again
	repeats          repeatMemory
	lastWaitingAt    time.Duration // when somebody last waited
	cores            float64
	workDone         saturatedRate // part of the cores' time that was used while queries waited
	overrunRate      float64       // thread time a second of queries far beyond their usual work
	overrunMean      runningMean   // of it, while queries wait
	laneRatios       [][2]float64
	surge            surge
	typicalInFlight  runningMean // work in flight when one that waited was let go
	inFlightWork     float64     // work left of what runs, at the last sweep
	runningThreads   float64     // that run
	servicePerThread float64     // seconds that each thread that runs was served so far
	running          list        // in the order they were handed on
	subscribers      []*Query

	debtors []*node
	idle    intrusivelist.List[node] // in the order in which they became so
	sweptAt time.Duration
	// Total counts all teams together.
	Total Counts
}

// New makes an empty queue. The configuration must have passed Check.
func New(shape Config) *Queue {
	f := &Queue{orders: map[orderID]*orderQueue{}, chains: map[int64]chainInFlight{}, cores: 1, lastWaitingAt: -time.Hour}
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
	l := &f.lanes[q.Lane]
	n := f.node(q.Tenant)
	q.leaf, q.enqueuedAt, q.Arrived = n, f.now, f.now
	n.counts.Arrived++
	f.Total.Arrived++
	if q.RepeatOf != 0 {
		if was, ok := f.repeats.take(q.RepeatOf); ok && was.tenant == q.Tenant {
			q.Arrived, q.credit = was.arrived, was.charged
			n.counts.Repeated++
			f.Total.Repeated++
		}
	}
	q.estimatedWork = f.usualWork(n, q.Lane)
	est := f.estimateWait(q)
	v := Admission{Admitted: true, Estimate: est}
	// behind others of its team it isn't let in to grow old; a team's first is, since
	// ageing brings its turn whatever its weight
	limit := f.config.AgeingLimit*3/5 - (q.enqueuedAt - q.Arrived)
	if n.queues[q.Lane].First() == nil {
		est = min(est, f.config.AgeingLimit)
		limit = est
	}
	switch {
	case n.waiting >= n.maxWaiting:
		v = Admission{Reason: TenantQueueFull, Estimate: est}
	case f.waiting >= f.config.MaxWaiting:
		v = Admission{Reason: QueueFull, Estimate: est}
	case f.now+est+seconds(f.usualRunSeconds(l)) > q.Deadline:
		v = Admission{Reason: WouldStartTooLate, Estimate: est}
	case est > max(limit, f.config.AgeingLimit/5):
		v = Admission{Reason: WaitTooLong, Estimate: est}
	}
	if !v.Admitted {
		f.reject(q, n)
		return v
	}
	usual := q.estimatedWork / f.surge.add(f.now, q.estimatedWork, f.totalArrivalRate(), minSurgeQueries*f.largestUsualWork())
	n.arrivalRates[q.Lane].add(f.now, usual)
	l.arrivals.add(f.now, usual)
	q.workAhead = n.backlog[q.Lane] + n.dequeuedWork[q.Lane]
	if q.NotifyChanges && !q.subscribed && len(f.subscribers) < maxSubscribers {
		q.subscribed = true
		f.subscribers = append(f.subscribers, q)
	}
	f.lastSequence++
	q.sequence, q.state, q.Estimate, q.expectedStart = f.lastSequence, stateWaiting, est, f.now+est
	f.addActive(n)
	n.waiting++
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
	return v
}

// queue counts a query among those that wait, up to the root.
func (f *Queue) addBacklog(q *Query) {
	for x := q.leaf; x.parent != nil; x = x.parent {
		if x.waitingBelow++; x.waitingBelow == 1 {
			x.catchUp(len(f.lanes))
		}
		x.backlog[q.Lane] += q.estimatedWork
	}
	f.root.backlog[q.Lane] += q.estimatedWork
}

// runs is how long a query of a lane usually takes once it started, in seconds.
func (f *Queue) usualRunSeconds(l *lane) float64 {
	return l.runSeconds.valueOr(l.UsualWork.Seconds() / max(1, l.Threads))
}

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

// remember keeps a call's age and charge for its repeat.
func (f *Queue) rememberForRepeat(q *Query) {
	if q.RepeatID != 0 {
		f.repeats.put(q.RepeatID, repeatedCall{arrived: q.Arrived, charged: q.charged + q.credit, tenant: q.Tenant, endedAt: f.now})
	}
}

// usual is the thread time that a query of a team is thought to take.
func (f *Queue) usualWork(n *node, i int) float64 {
	l := &f.lanes[i]
	all := l.usualCost.valueOr(max(1e-4, l.UsualWork.Seconds()))
	m := n.usualCosts[i]
	const trust = 8 // queries of one's own that count as much as everybody's
	return (m.value*m.count + all*trust) / (m.count + trust)
}

// join puts a query at the end of a line: no age and no weight passes there.
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

// part takes a query out of a line and offers the one that was behind it.
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
	} else if next := x.first; next.state == stateWaiting && !next.eligible && !next.parked { // it may be one behind that left
		f.makeEligible(next)
	}
}

// offer puts a query into its team's list, in the order of age.
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
	case stateDispatched: // never sent: it took nothing
		f.running.Remove(&q.turnElement)
		f.inFlightWork -= q.remainingWork
		f.runningThreads -= l.Threads
		l.removeDispatched(q)
		f.charge(n, q.Lane, -q.charged)
		q.charged = 0
	case stateRunning:
		f.running.Remove(&q.turnElement)
		f.inFlightWork -= q.remainingWork
		f.runningThreads -= l.Threads
		if took := (f.now - q.startedAt).Seconds(); end == Finished {
			l.runSeconds.add(took, 200)
			if work > 0 {
				l.slowdown.add(max(1, took*l.Threads/work.Seconds()), 200)
			}
		}
		if work > 0 {
			// a bad plan is no usual work
			usual := min(work.Seconds(), f.config.OverrunFactor*q.estimatedWork)
			l.usualCost.add(usual, 400)
			n.usualCosts[q.Lane].add(usual, 100)
			f.workDone.add(f.now, max(0, work.Seconds()-q.measuredWork)/f.cores)
			real := max(0, work.Seconds()+lost.Seconds()*l.Threads/max(1, l.slowdown.valueOr(1))-q.credit)
			f.correctCharge(n, real-q.charged)
			q.charged = real
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
		case ClientGone:
			x.ClientGone++
		}
	}
	count(&n.counts)
	count(&f.Total)
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

// Sweep is called every SweepInterval. It charges running queries for what they have used so
// far, calls lower for each query whose priority is to be lowered (on) or raised again, and
// calls retell for each waiting query that asked for changes of its estimate and whose estimate
// changed by much. After a jump of the clock it charges no more than maxSweepSpan.
func (f *Queue) Sweep(now time.Duration, lower func(q *Query, on bool), retell func(q *Query, wait time.Duration)) {
	f.advance(now)
	span := min(f.now-f.sweptAt, maxSweepSpan)
	f.servicePerThread += span.Seconds() * min(1, f.cores/max(1, f.runningThreads))
	f.sweptAt = f.now
	f.settleDebts(span)
	if f.waiting > 0 {
		f.lastWaitingAt = f.now
	}
	waited := 0.0 // the most that what waits is worth for its work
	for i := range f.lanes {
		if l := &f.lanes[i]; l.waiting > 0 {
			waited = max(waited, l.valuePerWork())
		}
	}
	inFlight, overrun := 0.0, 0.0
	for e := f.running.First(); e != nil; e = e.Next() {
		e.Value.leaf.overrunRate = 0
	}
	for e := f.running.First(); e != nil; e = e.Next() {
		q := e.Value
		if q.state != stateRunning {
			q.serviceAtDispatch = f.servicePerThread
			inFlight += q.remainingWork
			continue
		}
		l := &f.lanes[q.Lane]
		q.ranSeconds += min(span, f.now-q.sweptAt).Seconds()
		q.sweptAt = f.now
		q.remainingWork = max(0.05*q.estimatedWork, q.estimatedWork-l.Threads*(f.servicePerThread-q.serviceAtDispatch))
		inFlight += q.remainingWork
		// by the pace its lane usually has, of the threads it holds
		work := q.ranSeconds*l.Threads/max(1, l.slowdown.valueOr(1)) - q.credit
		if work > q.charged {
			f.correctCharge(q.leaf, work-q.charged)
			q.charged = work
		}
		if over := work > 2*q.estimatedWork; over {
			pace := l.Threads / max(1, l.slowdown.valueOr(1))
			overrun += pace
			q.leaf.overrunRate += pace
			f.workDone.add(f.now, max(0, work-q.measuredWork)/f.cores)
			q.measuredWork = max(q.measuredWork, work)
		}
		on := f.now-f.lastWaitingAt < raisePriorityAfter && !l.Ordered && !l.Chained &&
			(work > f.config.OverrunFactor*q.estimatedWork || f.anyOverQuota(q.leaf) || l.valuePerWork() < waited/2)
		if on != q.lowered {
			if q.lowered = on; on {
				q.leaf.counts.Lowered++
				f.Total.Lowered++
			}
			if lower != nil {
				lower(q, on)
			}
		}
	}
	if f.overrunRate = overrun; f.waiting > 0 {
		f.overrunMean.add(overrun, 200)
	}
	f.inFlightWork = inFlight // sums of what came and went don't quite meet
	if retell != nil {
		f.notifyChangedWaits(retell)
	}
	f.dropIdle()
	f.repeats.dropExpired(f.now)
}

// raiseAfter is how long nobody has waited when what makes way is raised again:
// where engines are nearly full somebody waits every other moment.
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

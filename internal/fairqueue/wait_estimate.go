package fairqueue

import (
	"math"
	"time"
)

// A wait estimate is the solution of a fluid model of all work that is done before a query starts,
// computed for each query. Full engines have a certain throughput, regardless of the lanes that the
// work is for, which is best measured by the work that ends while queries wait. Before the query
// starts, the engines do
//
//   - the work in flight that exceeds the typical work in flight at a dispatch,
//   - the work that was dispatched but not sent, and the waiting work of its tenant ahead of it,
//   - for each competing tenant of its lane the work that it gets until the virtual time reaches the
//     level at which the query is selected, limited by its backlog and arrivals, and by its quota,
//   - for each other lane the work dispatched meanwhile, by the ratio of the lanes measured while
//     both had waiting queries, limited by the backlog and arrivals of that lane.
//
// As formulas, with T as the wait:
//
//	level = (ahead + lead + settled) / share
//	T = (excess + dispatched + ahead + sum over competitors of min(share*level - lead - settled,
//	     backlog + rate*T, tokens + quota*T) + sum over other lanes of min(ratio*own,
//	     backlog + rate*T)) / throughput
//
// lead is a tenant's charge beyond the mean of its siblings. settled is what will have been charged
// to it meanwhile for work in other lanes and for work beyond the estimates of its queries. T is on
// both sides and is found by a few iterations. If less work arrives than the engines can do, T is
// limited to the time until no query waits at all.

// competitor is a tenant with eligible queries in a lane, as the wait model sees it.
type competitor struct {
	node                         *node
	share                        float64 // product of its parts of the active weights, from the root down
	lead, backlog                float64 // at the last refresh
	deferredCharge               float64
	arrivalRate, otherChargeRate float64
	tokens, refillRate           float64
}

// competitorSample holds the competitors of a lane. Above maxCompetitors tenants it is a sample, in
// which each tenant represents scale tenants.
type competitorSample struct {
	competitors       []competitor
	builtAt           time.Duration
	waitingTenants    int // tenants with eligible queries when it was built
	scale             float64
	refreshed         bool    // refresh was called since it was built
	absentArrivalRate float64 // arrival rate of the tenants without eligible queries
	scannedTenants    int
}

// correctionShare is the speed at which corrections are settled, relative to deferred charges.
const correctionShare = float64(deferredChargeSpan) / float64(correctionSpan)

// shortQueueFraction is the fraction of a query's wait up to which the backlog of another lane counts
// as short. A lane with a short backlog gets all the work that it asks for.
const shortQueueFraction = 0.05

const (
	maxCompetitors         = 16
	competitorSampleMaxAge = 20 * time.Millisecond
	solveIterations        = 4
)

// competitorSample returns the competitors of a lane. It builds the sample anew if it is older than
// competitorSampleMaxAge or if the number of competitors has changed too much.
func (fq *Queue) competitorSample(lane int) *competitorSample {
	l := &fq.lanes[lane]
	sample := &l.sample
	few := max(sample.waitingTenants, l.eligibleTenants) <= maxCompetitors
	similar := sample.waitingTenants == l.eligibleTenants ||
		!few && 8*abs(sample.waitingTenants-l.eligibleTenants) < sample.waitingTenants
	if sample.builtAt != 0 && fq.now-sample.builtAt < competitorSampleMaxAge && similar {
		return sample
	}
	sample.builtAt, sample.waitingTenants, sample.competitors, sample.scannedTenants =
		max(1, fq.now), l.eligibleTenants, sample.competitors[:0], 0
	step := max(1, (l.eligibleTenants+maxCompetitors-1)/maxCompetitors)
	sample.scale, sample.refreshed = float64(step), false
	fq.collectCompetitors(sample, fq.root, lane, 1, step)
	waitingArrivalRate := 0.0
	for _, tenant := range sample.competitors {
		waitingArrivalRate += tenant.arrivalRate * sample.scale
	}
	sample.absentArrivalRate = max(0, l.arrivals.perSecond(fq.now)-waitingArrivalRate)
	return sample
}

// collectCompetitors adds every step-th tenant with eligible queries below n to a sample.
func (fq *Queue) collectCompetitors(sample *competitorSample, n *node, lane int, share float64, step int) {
	for _, band := range n.heaps {
		for _, child := range band[lane] {
			childShare := share
			if n.activeChildWeight > 0 {
				childShare *= child.weight / n.activeChildWeight
			}
			if child.queues == nil {
				fq.collectCompetitors(sample, child, lane, childShare, step)
				continue
			}
			if sample.scannedTenants++; sample.scannedTenants%step != 0 && step > 1 {
				continue
			}
			found := competitor{
				node:            child,
				share:           childShare,
				arrivalRate:     child.arrivalRates[lane].perSecond(fq.now),
				otherChargeRate: child.otherChargeRate(fq.now, lane),
				tokens:          math.Inf(1),
			}
			for ancestor := child; ancestor.parent != nil; ancestor = ancestor.parent {
				if ancestor.quota > 0 {
					tokens := ancestor.tokens + ancestor.quota*(fq.now-ancestor.tokensAt).Seconds()
					if fraction := ancestor.shareWithin(child); tokens*fraction < found.tokens {
						found.tokens, found.refillRate = tokens*fraction, ancestor.quota*fraction
					}
				}
			}
			sample.competitors = append(sample.competitors, found)
		}
	}
}

// shareWithin returns the part of n's share that belongs to a tenant below it.
func (n *node) shareWithin(tenant *node) float64 {
	fraction := 1.0
	for ; tenant != n; tenant = tenant.parent {
		fraction *= tenant.weight / max(tenant.weight, tenant.parent.activeChildWeight)
	}
	return fraction
}

// lead returns how far a tenant is ahead of its siblings on one clock, in thread seconds, including
// its part of the leads of its ancestors.
func (n *node) lead(clock int) float64 {
	sum, fraction := 0.0, 1.0
	for ancestor := n; ancestor.parent != nil; ancestor = ancestor.parent {
		if ancestor.activeQueries > 0 {
			sum += fraction * ancestor.weight * (ancestor.virtualStart[clock] - ancestor.parent.virtualTime(clock))
		}
		fraction *= ancestor.weight / max(ancestor.weight, ancestor.parent.activeChildWeight)
	}
	return sum
}

// otherChargeRate returns the rate at which a tenant is charged for work that does not arrive in the
// given lane.
func (n *node) otherChargeRate(now time.Duration, lane int) float64 {
	sum := n.overrunRate
	for other := range n.arrivalRates {
		if other != lane {
			sum += n.arrivalRates[other].perSecond(now)
		}
	}
	return sum
}

// deferredCharge returns the charges that are still to be settled in a lane, weighted by their speed.
func (n *node) deferredCharge(lane int) float64 {
	return n.deferredCharges[lane] + n.corrections*correctionShare
}

// share returns a tenant's share of the engines among the active tenants.
func (n *node) share() float64 {
	fraction := 1.0
	for ancestor := n; ancestor.parent != nil; ancestor = ancestor.parent {
		siblingWeight := ancestor.parent.activeChildWeight
		if ancestor.activeQueries == 0 { // counts as active, because a query is about to arrive
			siblingWeight += ancestor.weight
		}
		fraction *= ancestor.weight / siblingWeight
	}
	return fraction
}

// capacity estimates the work done per second while queries wait, in thread seconds: the cores, times
// the measured fraction of the cores that was used while queries waited, less the rate of overrunning
// queries. Their work isn't part of the work estimates of queries.
func (fq *Queue) capacity() float64 {
	usedFraction, observedSeconds := fq.workDone.perSecond()
	measuredWeight := observedSeconds / (observedSeconds + 1)
	rate := fq.cores * min(1.5, measuredWeight*usedFraction+(1-measuredWeight))
	return max(rate-(fq.overrunRate+fq.meanOverrunRate.value)/2, rate/10, 1e-3)
}

// totalArrivalRate returns the work that arrives per second in all lanes.
func (fq *Queue) totalArrivalRate() (sum float64) {
	for i := range fq.lanes {
		sum += fq.lanes[i].arrivals.perSecond(fq.now)
	}
	return sum
}

// minSurgeQueries is the number of simultaneous queries of the most expensive lane that is no surge.
const minSurgeQueries = 6

// largestMeanWork returns the mean work per query of the most expensive lane.
func (fq *Queue) largestMeanWork() (largest float64) {
	for i := range fq.lanes {
		largest = max(largest, fq.lanes[i].meanWork.valueOr(0))
	}
	return largest
}

// laneRatio returns the work dispatched from another lane per work of the own lane while both wait.
func (fq *Queue) laneRatio(other, own int) float64 {
	work := &fq.laneRatios[own*len(fq.lanes)+other]
	const prior = 0.5 // thread seconds assumed for each lane before any measurement
	return (work[1] + prior) / (work[0] + prior)
}

// laneRatioMemorySeconds limits the dispatched work from which a lane ratio is computed, in thread
// seconds, so that the ratio follows changes.
const laneRatioMemorySeconds = 25

// recordLaneRatio adds a lane's dispatched work to its ratios with the other lanes that have waiting
// queries.
func (fq *Queue) recordLaneRatio(lane int, work float64) {
	laneCount := len(fq.lanes)
	for other := range fq.lanes {
		if other == lane || fq.lanes[other].waiting == 0 || fq.lanes[lane].waiting == 0 {
			continue
		}
		fq.laneRatios[lane*laneCount+other][0] += work
		fq.laneRatios[other*laneCount+lane][1] += work
		for _, pair := range []*[2]float64{
			&fq.laneRatios[lane*laneCount+other], &fq.laneRatios[other*laneCount+lane],
		} {
			if sum := pair[0] + pair[1]; sum > laneRatioMemorySeconds {
				pair[0], pair[1] = pair[0]*laneRatioMemorySeconds/sum, pair[1]*laneRatioMemorySeconds/sum
			}
		}
	}
}

// inFlightWorkLeft returns the estimated work left of the dispatched and running queries. Engines
// divide their cores among the running threads.
func (fq *Queue) inFlightWorkLeft() float64 {
	return max(0, fq.inFlightWork-min(fq.runningThreads, fq.cores)*(fq.now-fq.sweptAt).Seconds())
}

// excessInFlight returns the work in flight beyond the typical work at a dispatch from a lane at
// capacity. A surge can cause an excess, because its queries are dispatched before the engines report
// that they are full.
func (fq *Queue) excessInFlight() float64 {
	if fq.typicalInFlight.count < 5 {
		return 0
	}
	return max(0, fq.inFlightWorkLeft()-1.1*fq.typicalInFlight.value)
}

// estimateWait returns the estimated wait of a query that arrives now. It also sets q.uncorrectedWait, from
// which estimateCorrection learns when the query starts.
func (fq *Queue) estimateWait(q *Query) time.Duration {
	l := &fq.lanes[q.Lane]
	waitSeconds := 0.0
	if l.schedulerFull {
		waitSeconds = fq.solveWait(q, l, q.leaf.backlog[q.Lane])
	} else if fq.isContended(q.Lane) {
		waitSeconds = fq.yieldSeconds(q, q.leaf.backlog[q.Lane])
	}
	q.uncorrectedWait = waitSeconds
	waitSeconds *= l.correction.factor(fq.now, waitSeconds)
	return max(seconds(waitSeconds), fq.orderWait(q, l, seconds(waitSeconds)))
}

// yieldSeconds returns how long a tenant yields to other lanes before a query with the given work of
// its tenant ahead is dispatched.
func (fq *Queue) yieldSeconds(q *Query, ahead float64) float64 {
	leaf := q.leaf
	excessLead := ahead - fq.allowedLead(leaf)
	if leaf.activeQueries > 0 {
		excessLead += leaf.lead(len(fq.lanes))
	}
	serviceRate := max(leaf.share()*fq.capacity(), 1e-3)
	return max(0, excessLead) / serviceRate
}

// solveWait returns the wait in seconds of a query with the given work of its tenant ahead.
func (fq *Queue) solveWait(q *Query, l *laneState, ahead float64) float64 {
	m := fq.newWaitModel(q, l, ahead)
	// If the tenant will be beyond its quota, the model is solved a second time with the query behind
	// all tenants within their quotas.
	tokens, refillRate := fq.tightestQuota(q.leaf)
	waitSeconds := fq.solveModel(&m, inVirtualTimeOrder)
	if missingTokens := ahead + q.estimatedWork - tokens; missingTokens > 0 {
		waitSeconds = max(waitSeconds, min(
			missingTokens/max(refillRate-m.otherChargeRate, refillRate/10), fq.solveModel(&m, afterAllCompetitors)))
	}
	return waitSeconds
}

// waitModel is the fluid model of one query's wait. Work is in thread seconds, rates in thread seconds
// per second.
type waitModel struct {
	query  *Query
	lane   *laneState
	sample *competitorSample

	// The query's tenant.
	share           float64 // of the engines
	lead            float64
	deferredCharge  float64
	otherChargeRate float64
	workAhead       float64 // waiting work of the tenant ahead of the query

	// The engines.
	throughput     float64 // work done per second
	excessInFlight float64 // see Queue.excessInFlight
	fixedWork      float64 // work that is done first in any case
	drainSeconds   float64 // time until no query waits, infinite if more work arrives than is done

	// A surge of arrivals: the multiple of the usual rate, and its remaining duration.
	surgeFactor, surgeSecondsLeft float64
}

// newWaitModel collects the current inputs of the model.
func (fq *Queue) newWaitModel(q *Query, l *laneState, ahead float64) waitModel {
	leaf := q.leaf
	m := waitModel{query: q, lane: l, workAhead: ahead}
	m.sample = fq.competitorSample(q.Lane)
	m.throughput = fq.capacity()
	m.share = leaf.share()
	m.otherChargeRate = leaf.otherChargeRate(fq.now, q.Lane)
	if leaf.activeQueries > 0 {
		m.lead = leaf.lead(q.Lane)
	}
	m.deferredCharge = leaf.deferredCharge(q.Lane)
	m.sample.refresh(q.Lane)
	m.excessInFlight = fq.excessInFlight()
	m.fixedWork = m.excessInFlight + l.dispatchedWork + ahead
	m.drainSeconds = math.Inf(1)
	totalWork, arrivalRate := m.fixedWork, 0.0
	for i := range fq.lanes {
		other := &fq.lanes[i]
		arrivalRate += other.arrivals.perSecond(fq.now)
		if other != l {
			totalWork += fq.root.backlog[i] + other.dispatchedWork
		} else {
			totalWork += fq.root.backlog[i] - ahead
		}
	}
	m.surgeFactor = fq.surge.factor(fq.now, arrivalRate)
	m.surgeSecondsLeft = fq.surge.remainingSeconds(fq.now)
	if arrivalRate < 0.95*m.throughput {
		m.drainSeconds = (totalWork + (m.surgeFactor-1)*arrivalRate*m.surgeSecondsLeft) /
			(m.throughput - arrivalRate)
	}
	return m
}

// refresh updates the leads, backlogs and deferred charges of the competitors. A sample that does not
// hold all tenants is refreshed only once, because it is approximate anyway.
func (s *competitorSample) refresh(lane int) {
	for i := range s.competitors {
		if s.scale > 1 && s.refreshed {
			break
		}
		tenant := &s.competitors[i]
		tenant.deferredCharge = tenant.node.deferredCharge(lane)
		tenant.lead = tenant.node.lead(lane)
		tenant.backlog = tenant.node.backlog[lane]
	}
	s.refreshed = true
}

// Values of solveModel's afterAll.
const (
	inVirtualTimeOrder  = false
	afterAllCompetitors = true
)

// solveModel computes the wait in seconds by fixed-point iteration. afterAll puts the query behind all
// competitors that have tokens left.
func (fq *Queue) solveModel(m *waitModel, afterAll bool) float64 {
	waitSeconds := m.fixedWork / m.throughput
	for range solveIterations {
		// The approximate part of the deferred charges that is settled during the wait.
		settled := waitSeconds / (waitSeconds + deferredChargeSpan.Seconds())
		level := max(0, m.workAhead+m.lead+(m.deferredCharge+m.otherChargeRate*waitSeconds/2)*settled) / m.share
		// The time in which as much work arrives at the usual rate.
		arrivalSpan := waitSeconds + (m.surgeFactor-1)*min(waitSeconds, m.surgeSecondsLeft)
		workBefore := m.fixedWork + m.sample.absentArrivalRate*waitSeconds
		workBefore = m.addCompetitors(workBefore, waitSeconds, settled, level, arrivalSpan, afterAll)
		workBefore = fq.addOtherLanes(m, workBefore, waitSeconds, arrivalSpan)
		waitSeconds = min(m.drainSeconds, (waitSeconds+2*workBefore/m.throughput)/3)
	}
	return waitSeconds
}

// addCompetitors adds to workBefore the work that competitors get before the query starts.
func (m *waitModel) addCompetitors(
	workBefore, waitSeconds, settled, level, arrivalSpan float64, afterAll bool,
) float64 {
	for i := range m.sample.competitors {
		tenant := &m.sample.competitors[i]
		if tenant.node == m.query.leaf {
			continue
		}
		served := tenant.share*level - tenant.lead -
			(tenant.deferredCharge+tenant.otherChargeRate*waitSeconds/2)*settled + m.query.estimatedWork/2
		if afterAll && tenant.tokens > 0 {
			served = math.Inf(1)
		}
		served = min(served, tenant.backlog+tenant.arrivalRate*arrivalSpan,
			max(0, tenant.tokens)+tenant.refillRate*waitSeconds)
		workBefore += max(0, served) * m.sample.scale
	}
	return workBefore
}

// addOtherLanes adds to workBefore the work that the other lanes dispatch before the query starts.
func (fq *Queue) addOtherLanes(m *waitModel, workBefore, waitSeconds, arrivalSpan float64) float64 {
	ownWork := workBefore - m.excessInFlight
	for i := range fq.lanes {
		other := &fq.lanes[i]
		if other == m.lane {
			continue
		}
		available := fq.root.backlog[i] + other.dispatchedWork + other.arrivals.perSecond(fq.now)*arrivalSpan
		if fq.root.backlog[i] <= shortQueueFraction*m.throughput*waitSeconds {
			workBefore += available
		} else {
			workBefore += min(fq.laneRatio(i, m.query.Lane)*ownWork, available)
		}
	}
	return workBefore
}

// tightestQuota returns the tokens and the refill rate of the token bucket with the fewest tokens among
// a tenant and its ancestors, and infinitely many tokens if none of them has a quota.
func (fq *Queue) tightestQuota(n *node) (tokens, refillRate float64) {
	tokens = math.Inf(1)
	for ancestor := n; ancestor.parent != nil; ancestor = ancestor.parent {
		if ancestor.quota > 0 {
			if available := ancestor.tokens + ancestor.quota*(fq.now-ancestor.tokensAt).Seconds(); available < tokens {
				tokens, refillRate = available, ancestor.quota
			}
		}
	}
	return tokens, refillRate
}

// orderWait returns the wait that the query's orders cause. fairWait is the wait without them. Earlier
// queries of its key have to end first. Earlier loads of its chain have to end too, but the scheduler
// holds the query back for at most maxChainHold.
func (fq *Queue) orderWait(q *Query, l *laneState, fairWait time.Duration) time.Duration {
	if !l.Ordered && !l.Chained {
		return 0
	}
	expectedRun := seconds(fq.expectedRunSeconds(l))
	timeToEnd := func(earlier *Query) time.Duration {
		if earlier.state == stateRunning {
			return max(0, earlier.startedAt+expectedRun-fq.now)
		}
		return max(0, earlier.expectedStart-fq.now) + expectedRun
	}
	wait := time.Duration(0)
	if l.Ordered && q.Key >= 0 {
		if order := fq.orders[orderID{keyOrder, q.Key}]; order != nil {
			if earlier := order.predecessor(q, keyOrder); earlier != nil {
				wait = max(wait, timeToEnd(earlier))
			}
		}
	}
	if l.Chained {
		if order := fq.orders[orderID{chainOrder, q.Chain}]; order != nil {
			if earlier := order.predecessor(q, chainOrder); earlier != nil {
				wait = max(wait, min(timeToEnd(earlier), fairWait+min(expectedRun, maxChainHold)))
			}
		}
		if chain, inFlight := fq.chains[q.Chain]; inFlight {
			wait = max(wait, min(max(0, chain.expectedEnd-fq.now), fairWait+maxChainHold))
		}
	}
	return wait
}

// maxChainHold is the longest time for which the scheduler holds back a load because of an earlier load
// of its tables.
const maxChainHold = time.Second

// FirstEstimate returns the first wait estimate of an admitted query. The owner calls it after it has
// dispatched all queries that Next returns. The result is 0 if the query has started, and the estimate of
// Enqueue if the query waits. If the query was dispatched but not sent, the result is the longer one of
// that estimate and the expected time until the lane's next start, which counts for at most a second.
func (fq *Queue) FirstEstimate(now time.Duration, q *Query) time.Duration {
	fq.advance(now)
	switch {
	case q.state == stateRunning:
		q.WaitEstimate = 0
	case q.state == stateDispatched:
		l := &fq.lanes[q.Lane]
		q.WaitEstimate = max(q.WaitEstimate, seconds(min((fq.excessInFlight()+l.dispatchedWork)/fq.capacity(), 1)))
	}
	q.expectedStart = fq.now + q.WaitEstimate
	return q.WaitEstimate
}

// notifyChangedWaits calls notify for subscribed queries whose wait estimate changed by more than
// minWaitChange and Config.NotifyThreshold.
func (fq *Queue) notifyChangedWaits(notify func(q *Query, wait time.Duration)) {
	remaining := fq.subscribers[:0]
	for _, q := range fq.subscribers {
		if q.state != stateWaiting {
			q.subscribed = false
			continue
		}
		remaining = append(remaining, q)
		l := &fq.lanes[q.Lane]
		waitSeconds := 0.0
		if l.schedulerFull {
			waitSeconds = fq.solveWait(q, l, max(0, q.workAhead-q.leaf.dequeuedWork[q.Lane]))
		}
		waitSeconds *= l.correction.factor(fq.now, waitSeconds)
		wait := max(seconds(waitSeconds), fq.orderWait(q, l, seconds(waitSeconds)))
		expected := max(0, q.expectedStart-fq.now)
		if change := max(wait-expected, expected-wait); change > minWaitChange &&
			change.Seconds() > fq.config.NotifyThreshold*expected.Seconds() {
			q.expectedStart = fq.now + wait
			notify(q, wait)
		}
	}
	clear(fq.subscribers[len(remaining):])
	fq.subscribers = remaining
}

const (
	minWaitChange  = 100 * time.Millisecond
	maxSubscribers = 4096 // further queries get no notifications of changes
)

func abs(x int) int { return max(x, -x) }

// RetryAfter returns the time after which a client should retry, which is the estimated wait of a
// query that arrives now, or 0 if the lane has capacity.
func (fq *Queue) RetryAfter(now time.Duration, q *Query) time.Duration {
	fq.advance(now)
	leaf := q.leaf
	if leaf == nil || !fq.lanes[q.Lane].schedulerFull {
		return 0
	}
	return seconds(fq.solveWait(q, &fq.lanes[q.Lane], leaf.backlog[q.Lane]))
}

// LatestStart returns the time at which the owner has to give up a waiting query, because after it the
// query would not end before its client's deadline.
func (fq *Queue) LatestStart(q *Query) time.Duration {
	return max(q.enqueuedAt, q.Deadline-seconds(fq.expectedRunSeconds(&fq.lanes[q.Lane])))
}

// EachWaiting calls visit for all waiting queries, lane by lane, oldest first. visit may end the query
// that it is called with.
func (fq *Queue) EachWaiting(visit func(q *Query)) {
	for i := range fq.lanes {
		for e := fq.lanes[i].waitingByAge.First(); e != nil; {
			next := e.Next()
			visit(e.Value)
			e = next
		}
	}
}

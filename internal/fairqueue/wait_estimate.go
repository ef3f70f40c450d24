package fairqueue

import (
	"math"
	"time"
)

// A wait estimate is the solution of a fluid model of all work that is done before a query starts,
// found anew for each query. Full engines do a certain amount of work a second, whichever lanes it
// is for; that rate is best measured by what ends while queries wait. Before the query goes
//
//   - the work in flight beyond what usually is when a query is dispatched,
//   - what was dispatched and not sent, and what its tenant has waiting before it,
//   - of each rival of its lane what it is served until the level is reached at which the query's
//     turn comes, but no more than it has waiting and will send meanwhile, and than its quota,
//   - of each other lane what goes of it meanwhile, by the ratio seen while both waited, but no
//     more than it has waiting and what arrives there meanwhile:
//
// In formulas:
//
//	level = (ahead + lead + paid) / share
//	T = (excess + dispatched + ahead + sum over rivals of min(share*level - lead - paid,
//	     backlog + rate*T, tokens + quota*T) + sum over lanes of min(ratio*own,
//	     backlog + rate*T)) / flow
//
// lead is what a tenant was charged beyond the mean of its siblings; paid is what it will have been
// charged for work in other lanes and for what queries used beyond their usual work. T stands on
// both sides and is found by a few iterations. Where less arrives than is done, no wait is longer
// than it takes until nothing waits at all.

// rival is a tenant with queries waiting in a lane.
type rival struct {
	node                   *node
	share                  float64 // of all weights, down from the root
	lead, backlog          float64 // as they are at the moment
	deferredCharge         float64
	arrivalRate, otherRate float64
	tokens, refillRate     float64
}

// rivalProfile holds a lane's rivals. Beyond maxRivals tenants it is a sample of them, each standing
// for scale.
type rivalProfile struct {
	rivals     []rival
	builtAt    time.Duration
	tenants    int // how many waited when it was made
	scale      float64
	fresh      bool    // its rivals' standing was looked at since
	absentRate float64 // the rate of those of whom none wait
	scanned    int
}

// correctionPart is how much of a correction is settled while deferredChargeSpan's part of the
// deferred charges is.
const correctionPart = float64(deferredChargeSpan) / float64(correctionSpan)

// shortWaitPart is the part of a query's wait that a lane's queue may take and still be one that
// gets all it asks for: it waits for moments only.
const shortWaitPart = 0.05

const (
	maxRivals       = 16
	rivalProfileAge = 20 * time.Millisecond
	solveRounds     = 4
)

func (f *Queue) rivalProfile(i int) *rivalProfile {
	l := &f.lanes[i]
	p := &l.profile
	few := max(p.tenants, l.eligibleTenants) <= maxRivals
	similar := p.tenants == l.eligibleTenants || !few && 8*abs(p.tenants-l.eligibleTenants) < p.tenants
	if p.builtAt != 0 && f.now-p.builtAt < rivalProfileAge && similar {
		return p
	}
	p.builtAt, p.tenants, p.rivals, p.scanned = max(1, f.now), l.eligibleTenants, p.rivals[:0], 0
	step := max(1, (l.eligibleTenants+maxRivals-1)/maxRivals)
	p.scale, p.fresh = float64(step), false
	f.gatherRivals(p, f.root, i, 1, step)
	waiting := 0.0
	for _, r := range p.rivals {
		waiting += r.arrivalRate * p.scale
	}
	p.absentRate = max(0, l.arrivals.perSecond(f.now)-waiting)
	return p
}

// gatherRivals walks the tenants that wait in a lane and keeps each step-th.
func (f *Queue) gatherRivals(p *rivalProfile, n *node, i int, share float64, step int) {
	for _, band := range n.heaps {
		for _, x := range band[i] {
			e := share
			if n.busyWeight > 0 {
				e *= x.weight / n.busyWeight
			}
			if x.queues == nil {
				f.gatherRivals(p, x, i, e, step)
				continue
			}
			if p.scanned++; p.scanned%step != 0 && step > 1 {
				continue
			}
			r := rival{
				node:        x,
				share:       e,
				arrivalRate: x.arrivalRates[i].perSecond(f.now),
				otherRate:   x.otherRate(f.now, i),
				tokens:      math.Inf(1),
			}
			for up := x; up.parent != nil; up = up.parent {
				if up.quota > 0 {
					t := up.tokens + up.quota*(f.now-up.tokensAt).Seconds()
					if part := up.partOf(x); t*part < r.tokens {
						r.tokens, r.refillRate = t*part, up.quota*part
					}
				}
			}
			p.rivals = append(p.rivals, r)
		}
	}
}

// partOf is the part of n's share that belongs to tenant x below it.
func (n *node) partOf(x *node) float64 {
	part := 1.0
	for ; x != n; x = x.parent {
		part *= x.weight / max(x.weight, x.parent.busyWeight)
	}
	return part
}

// lead is how far a tenant is ahead of its siblings in a lane, in thread seconds, with its part of
// what its group is ahead.
func (n *node) lead(k int) float64 {
	sum, part := 0.0, 1.0
	for x := n; x.parent != nil; x = x.parent {
		if x.busy > 0 {
			sum += part * x.weight * (x.virtualStart[k] - x.parent.virtualTime(k))
		}
		part *= x.weight / max(x.weight, x.parent.busyWeight)
	}
	return sum
}

// otherRate is the rate at which a tenant is charged beside what it asks for in a lane.
func (n *node) otherRate(now time.Duration, lane int) float64 {
	sum := n.overrunRate
	for k := range n.arrivalRates {
		if k != lane {
			sum += n.arrivalRates[k].perSecond(now)
		}
	}
	return sum
}

// deferredCharge is what a tenant will be charged in a lane bit by bit.
func (n *node) deferredCharge(lane int) float64 {
	return n.deferredCharges[lane] + n.corrections*correctionPart
}

// share is a tenant's part of all weights of busy tenants, down from the root.
func (n *node) share() float64 {
	part := 1.0
	for x := n; x.parent != nil; x = x.parent {
		heavy := x.parent.busyWeight
		if x.busy == 0 { // it is about to be
			heavy += x.weight
		}
		part *= x.weight / heavy
	}
	return part
}

// capacity is the work done a second while queries wait: the measured part of the cores, less what
// overrunning queries take, which is in nobody's estimate.
func (f *Queue) capacity() float64 {
	used, known := f.workDone.perSecond()
	trust := known / (known + 1)
	r := f.cores * min(1.5, trust*used+(1-trust))
	return max(r-(f.overrunRate+f.overrunMean.value)/2, r/10, 1e-3)
}

// totalArrivalRate is the work that usually arrives a second.
func (f *Queue) totalArrivalRate() (sum float64) {
	for i := range f.lanes {
		sum += f.lanes[i].arrivals.perSecond(f.now)
	}
	return sum
}

// minSurgeQueries is how many queries of the largest lane at once are no surge.
const minSurgeQueries = 6

// largestUsualWork is the usual work of a query of the lane with the largest.
func (f *Queue) largestUsualWork() (most float64) {
	for i := range f.lanes {
		most = max(most, f.lanes[i].usualCost.valueOr(0))
	}
	return most
}

// laneRatio is how much work of lane h is dispatched for each of lane g while both wait.
func (f *Queue) laneRatio(h, g int) float64 {
	p := &f.laneRatios[g*len(f.lanes)+h]
	const prior = 0.5 // thread seconds of each
	return (p[1] + prior) / (p[0] + prior)
}

// laneRatioMemory bounds the memory of lane ratios, in thread seconds.
const laneRatioMemory = 25

// recordLaneRatio counts dispatched work of a lane against all other lanes that wait too.
func (f *Queue) recordLaneRatio(i int, work float64) {
	n := len(f.lanes)
	for k := range f.lanes {
		if k == i || f.lanes[k].waiting == 0 || f.lanes[i].waiting == 0 {
			continue
		}
		f.laneRatios[i*n+k][0] += work
		f.laneRatios[k*n+i][1] += work
		for _, p := range []*[2]float64{&f.laneRatios[i*n+k], &f.laneRatios[k*n+i]} {
			if sum := p[0] + p[1]; sum > laneRatioMemory {
				p[0], p[1] = p[0]*laneRatioMemory/sum, p[1]*laneRatioMemory/sum
			}
		}
	}
}

// inFlightWorkLeft is the estimated work left of all that runs: engines share their cores among
// the threads that run.
func (f *Queue) inFlightWorkLeft() float64 {
	return max(0, f.inFlightWork-min(f.runningThreads, f.cores)*(f.now-f.sweptAt).Seconds())
}

// excessInFlight is the work in flight beyond the usual at a dispatch of a query that waited:
// surges get in before engines show that they are full.
func (f *Queue) excessInFlight() float64 {
	if f.typicalInFlight.count < 5 {
		return 0
	}
	return max(0, f.inFlightWorkLeft()-1.1*f.typicalInFlight.value)
}

// estimateWait is how long a query that arrives now waits until it starts.
func (f *Queue) estimateWait(q *Query) time.Duration {
	l := &f.lanes[q.Lane]
	t := 0.0
	if l.full {
		t = f.solveWait(q, l, q.leaf.backlog[q.Lane])
	} else if f.contended(q.Lane) {
		t = f.yieldSeconds(q, q.leaf.backlog[q.Lane])
	}
	q.uncorrectedWait = t
	t *= l.correction.factor(f.now, t)
	return max(seconds(t), f.orderWait(q, l, seconds(t)))
}

// yieldSeconds is how long a tenant yields before its next query goes, with so much work ahead.
func (f *Queue) yieldSeconds(q *Query, ahead float64) float64 {
	n := q.leaf
	over := ahead - f.allowedLead(n)
	if n.busy > 0 {
		over += n.lead(len(f.lanes))
	}
	gain := max(n.share()*f.capacity(), 1e-3)
	return max(0, over) / gain
}

// solveWait returns the wait in seconds of a query with so much work of its tenant ahead.
func (f *Queue) solveWait(q *Query, l *lane, ahead float64) float64 {
	m := f.newWaitModel(q, l, ahead)
	// Solved twice: by the tenant's weight, and as for a tenant beyond its quota, which goes
	// behind all that are within theirs.
	tokens, refillRate := f.tightestQuota(q.leaf)
	t := f.solveModel(&m, false)
	if need := ahead + q.estimatedWork - tokens; need > 0 {
		t = max(t, min(need/max(refillRate-m.otherRate, refillRate/10), f.solveModel(&m, true)))
	}
	return t
}

// waitModel is the fluid model of one query's wait. Work is in thread seconds, rates in thread
// seconds a second.
type waitModel struct {
	query  *Query
	lane   *lane
	rivals *rivalProfile

	// The query's tenant.
	share          float64 // of all weights
	lead           float64
	deferredCharge float64
	otherRate      float64
	ahead          float64 // waiting work of the tenant before the query

	// The engines.
	flow   float64 // work done a second
	excess float64 // work in flight beyond the usual
	fixed  float64 // work that goes first in any case
	bound  float64 // seconds until nothing waits at all, infinite if more comes than is done

	// A surge of arrivals: how many times the usual comes, and for how many seconds more.
	surgeFactor, surgeLeft float64
}

func (f *Queue) newWaitModel(q *Query, l *lane, ahead float64) waitModel {
	n := q.leaf
	m := waitModel{query: q, lane: l, ahead: ahead}
	m.rivals = f.rivalProfile(q.Lane)
	m.flow = f.capacity()
	m.share = n.share()
	m.otherRate = n.otherRate(f.now, q.Lane)
	if n.busy > 0 {
		m.lead = n.lead(q.Lane)
	}
	m.deferredCharge = n.deferredCharge(q.Lane)
	m.rivals.refresh(q.Lane)
	m.excess = f.excessInFlight()
	m.fixed = m.excess + l.dispatchedWork + ahead
	m.bound = math.Inf(1)
	all, arrivals := m.fixed, 0.0
	for i := range f.lanes {
		x := &f.lanes[i]
		arrivals += x.arrivals.perSecond(f.now)
		if x != l {
			all += f.root.backlog[i] + x.dispatchedWork
		} else {
			all += f.root.backlog[i] - ahead
		}
	}
	m.surgeFactor = f.surge.factor(f.now, arrivals)
	m.surgeLeft = f.surge.remainingSeconds(f.now)
	if arrivals < 0.95*m.flow {
		m.bound = (all + (m.surgeFactor-1)*arrivals*m.surgeLeft) / (m.flow - arrivals)
	}
	return m
}

// refresh brings the rivals' standing up to date. A sample is as good a few milliseconds later.
func (p *rivalProfile) refresh(lane int) {
	for k := range p.rivals {
		if p.scale > 1 && p.fresh {
			break
		}
		r := &p.rivals[k]
		r.deferredCharge = r.node.deferredCharge(lane)
		r.lead = r.node.lead(lane)
		r.backlog = r.node.backlog[lane]
	}
	p.fresh = true
}

// solveModel finds the wait in seconds by fixed-point iteration. last puts the query behind all
// rivals that have tokens left.
func (f *Queue) solveModel(m *waitModel, last bool) float64 {
	t := m.fixed / m.flow
	for range solveRounds {
		paid := t / (t + deferredChargeSpan.Seconds()) // about this part of the deferred charges
		level := max(0, m.ahead+m.lead+(m.deferredCharge+m.otherRate*t/2)*paid) / m.share
		arrivalSpan := t + (m.surgeFactor-1)*min(t, m.surgeLeft) // in which as much usually comes
		sum := m.fixed + m.rivals.absentRate*t
		sum = m.addRivals(sum, t, paid, level, arrivalSpan, last)
		sum = f.addOtherLanes(m, sum, t, arrivalSpan)
		t = min(m.bound, (t+2*sum/m.flow)/3)
	}
	return t
}

// addRivals adds to sum what each rival of the lane is served before the query.
func (m *waitModel) addRivals(sum, t, paid, level, arrivalSpan float64, last bool) float64 {
	for k := range m.rivals.rivals {
		r := &m.rivals.rivals[k]
		if r.node == m.query.leaf {
			continue
		}
		x := r.share*level - r.lead - (r.deferredCharge+r.otherRate*t/2)*paid + m.query.estimatedWork/2
		if last && r.tokens > 0 {
			x = math.Inf(1)
		}
		x = min(x, r.backlog+r.arrivalRate*arrivalSpan, max(0, r.tokens)+r.refillRate*t)
		sum += max(0, x) * m.rivals.scale
	}
	return sum
}

// addOtherLanes adds to sum what goes of the other lanes meanwhile.
func (f *Queue) addOtherLanes(m *waitModel, sum, t, arrivalSpan float64) float64 {
	own := sum - m.excess
	for i := range f.lanes {
		x := &f.lanes[i]
		if x == m.lane {
			continue
		}
		most := f.root.backlog[i] + x.dispatchedWork + x.arrivals.perSecond(f.now)*arrivalSpan
		if f.root.backlog[i] <= shortWaitPart*m.flow*t {
			sum += most
		} else {
			sum += min(f.laneRatio(i, m.query.Lane)*own, most)
		}
	}
	return sum
}

// tightestQuota is the token bucket with the fewest tokens above a tenant: its tokens, and how many
// come back a second.
func (f *Queue) tightestQuota(n *node) (tokens, refilled float64) {
	tokens = math.Inf(1)
	for x := n; x.parent != nil; x = x.parent {
		if x.quota > 0 {
			if t := x.tokens + x.quota*(f.now-x.tokensAt).Seconds(); t < tokens {
				tokens, refilled = t, x.quota
			}
		}
	}
	return tokens, refilled
}

// orderWait is the wait for the query's orders: queries before it of its key have to be over, and
// of its chain one runs at a time, or for maxChainHold until it goes alone.
func (f *Queue) orderWait(q *Query, l *lane, t time.Duration) time.Duration {
	if !l.Ordered && !l.Chained {
		return 0
	}
	run := seconds(f.usualRunSeconds(l))
	over := func(x *Query) time.Duration { // from now, when it should be over
		if x.state == stateRunning {
			return max(0, x.startedAt+run-f.now)
		}
		return max(0, x.expectedStart-f.now) + run
	}
	by := time.Duration(0)
	if l.Ordered && q.Key >= 0 {
		if x := f.orders[orderID{keyOrder, q.Key}]; x != nil {
			if last := x.predecessor(q, keyOrder); last != nil {
				by = max(by, over(last))
			}
		}
	}
	if l.Chained {
		if x := f.orders[orderID{chainOrder, q.Chain}]; x != nil {
			if last := x.predecessor(q, chainOrder); last != nil {
				by = max(by, min(over(last), t+min(run, maxChainHold)))
			}
		}
		if x, ok := f.chains[q.Chain]; ok {
			by = max(by, min(max(0, x.expectedEnd-f.now), t+maxChainHold))
		}
	}
	return by
}

// maxChainHold is how long the scheduler holds a load behind another of its tables.
const maxChainHold = time.Second

// FirstEstimate returns the first wait estimate of an admitted query, after all queries that may
// go at once were dispatched: 0 if it has started, the estimate of Enqueue if it waits, and for
// one that was dispatched and not sent yet the time to the lane's next start.
func (f *Queue) FirstEstimate(now time.Duration, q *Query) time.Duration {
	f.advance(now)
	switch {
	case q.state == stateRunning:
		q.WaitEstimate = 0
	case q.state == stateDispatched:
		l := &f.lanes[q.Lane]
		q.WaitEstimate = max(q.WaitEstimate, seconds(min((f.excessInFlight()+l.dispatchedWork)/f.capacity(), 1)))
	}
	q.expectedStart = f.now + q.WaitEstimate
	return q.WaitEstimate
}

// notifyChangedWaits calls tell for subscribed queries whose wait estimate changed by much.
func (f *Queue) notifyChangedWaits(tell func(q *Query, wait time.Duration)) {
	kept := f.subscribers[:0]
	for _, q := range f.subscribers {
		if q.state != stateWaiting {
			q.subscribed = false
			continue
		}
		kept = append(kept, q)
		l := &f.lanes[q.Lane]
		t := 0.0
		if l.full {
			t = f.solveWait(q, l, max(0, q.workAhead-q.leaf.dequeuedWork[q.Lane]))
		}
		t *= l.correction.factor(f.now, t)
		wait := max(seconds(t), f.orderWait(q, l, seconds(t)))
		left := max(0, q.expectedStart-f.now)
		if change := max(wait-left, left-wait); change > minNotifyChange &&
			change.Seconds() > f.config.NotifyThreshold*left.Seconds() {
			q.expectedStart = f.now + wait
			tell(q, wait)
		}
	}
	clear(f.subscribers[len(kept):])
	f.subscribers = kept
}

const (
	minNotifyChange = 100 * time.Millisecond
	maxSubscribers  = 4096 // further queries only get their first estimate
)

func abs(x int) int { return max(x, -x) }

// RetryAfter returns after what time a client had better retry: the wait estimate of a query
// that arrived now.
func (f *Queue) RetryAfter(now time.Duration, q *Query) time.Duration {
	f.advance(now)
	n := q.leaf
	if n == nil || !f.lanes[q.Lane].full {
		return 0
	}
	return seconds(f.solveWait(q, &f.lanes[q.Lane], n.backlog[q.Lane]))
}

// LatestStart returns when a waiting query has to be given up: started later, it would not end
// before its client's deadline.
func (f *Queue) LatestStart(q *Query) time.Duration {
	return max(q.enqueuedAt, q.Deadline-seconds(f.usualRunSeconds(&f.lanes[q.Lane])))
}

// EachWaiting calls do for all waiting queries, lane by lane, the oldest first. The query that
// do is called with may end in the call.
func (f *Queue) EachWaiting(do func(q *Query)) {
	for i := range f.lanes {
		for e := f.lanes[i].byAge.First(); e != nil; {
			next := e.Next()
			do(e.Value)
			e = next
		}
	}
}

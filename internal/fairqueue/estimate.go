package fairqueue

import (
	"math"
	"time"
)

// An estimate is a fluid model of all that is to be done before a query starts,
// solved anew for each that comes. Engines that are full do a certain amount of
// work a second, whichever lanes it is for; that rate is seen best from what ends
// while queries wait. What comes before the query is
//
//	what runs beyond what usually does when one is let go,
//	what was handed on and not sent, and what its team has waiting before it,
//	of each rival of its lane what it is served until the level is reached at
//	which the query's turn comes, but no more than it has waiting and will send
//	meanwhile, and no more than its budget,
//	of each other lane what goes of it beside, as it was seen while both waited,
//	but no more than it has waiting and what comes there meanwhile:
//
//	level = (ahead + lead + paid) / share
//	T = (excess + passed + ahead + sum over rivals of min(share*level - lead - paid,
//	     backlog + rate*T, tokens + budget*T) + sum over lanes of min(beside,
//	     backlog + rate*T)) / flow
//
// lead is what a team was charged beyond the mean of its siblings, paid what it
// will have been charged for work in other lanes and for what queries took beyond
// their usual work. T stands on both sides; it is found
// by going round a few times. Where less comes than is done, no wait is longer than
// it takes until nothing waits at all.

// rival is a team with queries waiting in a lane.
type rival struct {
	node                   *node
	share                  float64 // of all weights, down from the root
	lead, backlog          float64 // as they are at the moment
	deferredCharge         float64
	arrivalRate, otherRate float64
	tokens, refillRate     float64
}

// profile is a lane's rivals. Beyond profileMost teams it is a sample of them,
// each standing for scale.
type rivalProfile struct {
	rivals     []rival
	builtAt    time.Duration
	tenants    int // how many waited when it was made
	scale      float64
	fresh      bool    // its rivals' standing was looked at since
	absentRate float64 // the rate of those of whom none wait
	scanned    int
}

// amendsPart is how much of amends is paid while owedSpan's part of debts is.
const correctionPart = float64(deferredChargeSpan) / float64(correctionSpan)

// hardly is the part of a query's wait that a lane's queue may take which has all
// it asks for meanwhile: it waits for moments only.
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
	if p.builtAt != 0 && f.now-p.builtAt < rivalProfileAge && (p.tenants == l.eligibleTenants || !few && 8*abs(p.tenants-l.eligibleTenants) < p.tenants) {
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

// gather walks the teams that wait in a lane and keeps each step-th.
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
			r := rival{node: x, share: e, arrivalRate: x.arrivalRates[i].perSecond(f.now), otherRate: x.otherRate(f.now, i), tokens: math.Inf(1)}
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

// weightOf is the part of n's share that is a team's below it.
func (n *node) partOf(x *node) float64 {
	part := 1.0
	for ; x != n; x = x.parent {
		part *= x.weight / max(x.weight, x.parent.busyWeight)
	}
	return part
}

// lead is what a team is ahead of its siblings in a lane, in thread seconds, with
// its part of what its kind is ahead.
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

// elsewhere is the rate at which a team is charged beside what it asks for in a lane.
func (n *node) otherRate(now time.Duration, lane int) float64 {
	sum := n.overrunRate
	for k := range n.arrivalRates {
		if k != lane {
			sum += n.arrivalRates[k].perSecond(now)
		}
	}
	return sum
}

// owes is what it is charged in a lane by and by, as fast as debts are.
func (n *node) deferredCharge(lane int) float64 {
	return n.deferredCharges[lane] + n.corrections*correctionPart
}

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

// capacity is the work done a second while queries wait: the part of the cores'
// that was seen to be, less what queries take that run far beyond their usual work
// and so is in nobody's estimate.
func (f *Queue) capacity() float64 {
	used, known := f.workDone.perSecond()
	trust := known / (known + 1)
	r := f.cores * min(1.5, trust*used+(1-trust))
	return max(r-(f.overrunRate+f.overrunMean.value)/2, r/10, 1e-3)
}

// comes is the work that usually comes a second.
func (f *Queue) totalArrivalRate() (sum float64) {
	for i := range f.lanes {
		sum += f.lanes[i].arrivals.perSecond(f.now)
	}
	return sum
}

// crowdLeast is how many queries of the largest lane at once are no crowd.
const minSurgeQueries = 6

// meanEst is what a query of the lane with the largest takes.
func (f *Queue) largestUsualWork() (most float64) {
	for i := range f.lanes {
		most = max(most, f.lanes[i].usualCost.valueOr(0))
	}
	return most
}

// against is how much of lane h goes while so much of lane g does, and both wait.
func (f *Queue) laneRatio(h, g int) float64 {
	p := &f.laneRatios[g*len(f.lanes)+h]
	const prior = 0.5 // thread seconds of each
	return (p[1] + prior) / (p[0] + prior)
}

// pairsKeep bounds the memory of pairs, in thread seconds.
const laneRatioMemory = 25

// went counts what goes of a lane against all others that wait too.
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

// remains is the work left of all that runs, as far as it goes by estimates:
// engines share their cores among the threads that run.
func (f *Queue) inFlightWorkLeft() float64 {
	return max(0, f.inFlightWork-min(f.runningThreads, f.cores)*(f.now-f.sweptAt).Seconds())
}

// excess is the work that runs beyond what usually does when a query that waited
// is let go: crowds get in before engines show that they are full.
func (f *Queue) excessInFlight() float64 {
	if f.typicalInFlight.count < 5 {
		return 0
	}
	return max(0, f.inFlightWorkLeft()-1.1*f.typicalInFlight.value)
}

// estimate is how long a query that comes now, or waits with so much of its team
// before it, waits until it starts.
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

// way is how long a team makes way before its next goes, with so much of it ahead.
func (f *Queue) yieldSeconds(q *Query, ahead float64) float64 {
	n := q.leaf
	over := ahead - f.allowedLead(n)
	if n.busy > 0 {
		over += n.lead(len(f.lanes))
	}
	gain := max(n.share()*f.capacity(), 1e-3)
	return max(0, over) / gain
}

func (f *Queue) solveWait(q *Query, l *lane, ahead float64) float64 {
	p := f.rivalProfile(q.Lane)
	n := q.leaf
	flow := f.capacity()
	share, lead, elsewhere := n.share(), 0.0, n.otherRate(f.now, q.Lane)
	if n.busy > 0 {
		lead = n.lead(q.Lane)
	}
	owed := n.deferredCharge(q.Lane)
	for k := range p.rivals {
		if p.scale > 1 && p.fresh { // a sample is as good a few ms later
			break
		}
		r := &p.rivals[k]
		r.deferredCharge = r.node.deferredCharge(q.Lane)
		r.lead, r.backlog = r.node.lead(q.Lane), r.node.backlog[q.Lane]
	}
	excess := f.excessInFlight()
	p.fresh = true
	fixed := excess + l.dispatchedWork + ahead
	bound := math.Inf(1) // until nothing waits at all
	all, come := fixed, 0.0
	for i := range f.lanes {
		x := &f.lanes[i]
		if come += x.arrivals.perSecond(f.now); x != l {
			all += f.root.backlog[i] + x.dispatchedWork
		} else {
			all += f.root.backlog[i] - ahead
		}
	}
	times, left := f.surge.factor(f.now, come), f.surge.remainingSeconds(f.now)
	if come < 0.95*flow {
		bound = (all + (times-1)*come*left) / (flow - come)
	}
	// twice: as its weight has it, and as one beyond its budget has it, behind all
	// who are within theirs
	tokens, refilled := f.tightestQuota(n)
	fluid := func(last bool) float64 {
		t := fixed / flow
		for range solveRounds {
			paid := t / (t + deferredChargeSpan.Seconds()) // of what is owed, about
			level := max(0, ahead+lead+(owed+elsewhere*t/2)*paid) / share
			ct := t + (times-1)*min(t, left) // as much comes by then as usually in ct
			sum := fixed + p.absentRate*t
			for k := range p.rivals {
				r := &p.rivals[k]
				if r.node == n {
					continue
				}
				x := r.share*level - r.lead - (r.deferredCharge+r.otherRate*t/2)*paid + q.estimatedWork/2
				if last && r.tokens > 0 {
					x = math.Inf(1)
				}
				x = min(x, r.backlog+r.arrivalRate*ct, max(0, r.tokens)+r.refillRate*t)
				sum += max(0, x) * p.scale
			}
			own := sum - excess
			for i := range f.lanes {
				if x := &f.lanes[i]; x != l && f.root.backlog[i] <= shortWaitPart*flow*t {
					sum += f.root.backlog[i] + x.dispatchedWork + x.arrivals.perSecond(f.now)*ct
				} else if x != l {
					sum += min(f.laneRatio(i, q.Lane)*own, f.root.backlog[i]+x.dispatchedWork+x.arrivals.perSecond(f.now)*ct)
				}
			}
			t = min(bound, (t+2*sum/flow)/3)
		}
		return t
	}
	t := fluid(false)
	if need := ahead + q.estimatedWork - tokens; need > 0 {
		t = max(t, min(need/max(refilled-elsewhere, refilled/10), fluid(true)))
	}
	return t
}

// tokensOf is the tightest budget over a team: what is left, and what comes back
// a second.
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

// inLine is what an order adds: those of its key before it have to be over, and
// of its chain one runs at a time, or for chainHeld until it goes alone.
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
		if x := f.orders[orderID{0, q.Key}]; x != nil {
			if last := x.predecessor(q, 0); last != nil {
				by = max(by, over(last))
			}
		}
	}
	if l.Chained {
		if x := f.orders[orderID{1, q.Chain}]; x != nil {
			if last := x.predecessor(q, 1); last != nil {
				by = max(by, min(over(last), t+min(run, maxChainHold)))
			}
		}
		if x, ok := f.chains[q.Chain]; ok {
			by = max(by, min(max(0, x.expectedEnd-f.now), t+maxChainHold))
		}
	}
	return by
}

// chainHeld is how long the decisions hold a load behind another of its tables.
const maxChainHold = time.Second

// chainLink is what of a chain was handed on and isn't over.
type chainInFlight struct {
	inFlight    int
	expectedEnd time.Duration // when it should be
}

// linked counts a load that was handed on, unlinked one that is over.
func (f *Queue) chainDispatched(q *Query, l *lane) {
	x := f.chains[q.Chain]
	x.inFlight++
	x.expectedEnd = max(x.expectedEnd, f.now) + seconds(f.usualRunSeconds(l))
	f.chains[q.Chain] = x
}

func (f *Queue) chainEnded(q *Query) {
	if x := f.chains[q.Chain]; x.inFlight > 1 {
		x.inFlight--
		f.chains[q.Chain] = x
	} else {
		delete(f.chains, q.Chain)
	}
}

// lastBefore is the one before w, or the last if w isn't in the line yet.
func (x *orderQueue) predecessor(q *Query, kind int) *Query {
	if q.orders[kind].order == x {
		return q.orders[kind].prev
	}
	return x.last
}

// FirstEstimate returns the first wait estimate of an admitted query, after all queries that may
// go at once were dispatched: 0 if it has started, the estimate of Enqueue if it waits, and for
// one that was dispatched and not sent yet the time to the lane's next start.
func (f *Queue) FirstEstimate(now time.Duration, q *Query) time.Duration {
	f.advance(now)
	switch {
	case q.state == stateRunning:
		q.Estimate = 0
	case q.state == stateDispatched:
		l := &f.lanes[q.Lane]
		q.Estimate = max(q.Estimate, seconds(min((f.excessInFlight()+l.dispatchedWork)/f.capacity(), 1)))
	}
	q.expectedStart = f.now + q.Estimate
	return q.Estimate
}

// retell tells anew those who asked for it and whose wait has changed by much.
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
			change.Seconds() > f.config.NotifyChange*left.Seconds() {
			q.expectedStart = f.now + wait
			tell(q, wait)
		}
	}
	clear(f.subscribers[len(kept):])
	f.subscribers = kept
}

const (
	minNotifyChange = 100 * time.Millisecond
	maxSubscribers  = 4096 // told again, all together; the others hear the first estimate
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

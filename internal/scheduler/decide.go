// Package scheduler holds the decisions of a railrelay gateway, all in this file. New (door.go) makes a Gateway
// from an Actor, a seed and a map of settings; an adapter calls the methods of Gate, each with the time since
// the start, and the Gateway acts through its Actor before it returns. Nothing blocks or reads a clock.
//
// The ordinary path follows Gargamel (docs/design.md): loads go into a chain per table group, the rest into
// a queue per resource group, release lets them out in arrival order and pick draws an engine. submit is the
// only way to an engine and asks maySend and allowed, which hold the rules; giveUp the only way to an answer.
package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	chainAffinitySpan    = 10 * time.Second // a chain ended this recently goes on at its engine
	threadsPerCore = 2.0              // all gateways together
	slowdownUnderPressure      = 5.0              // latency over its best that counts as pressure
	reportValidFor    = 1 * time.Second
	memoryGrantFactor      = 1.25 // memory granted over the estimate
	tickInterval           = 100 * time.Millisecond
	rateSpan       = 5 * time.Second // over which rates are taken
)

// ---- engines coming and going

// restarted: a new process under a known id; what was learned is void, and it is cold from its start on.
func (g *Scheduler) engineRestarted(e *engine, started time.Duration) {
	g.forgetLearned(e)
	e.startedAt, e.warmingFrom, e.warmingUntil = started, started, max(e.warmingUntil, started+g.settings.span("cold.span", 0))
}

// ---- queries

func (g *Scheduler) admit(q *query) {
	rg := q.group
	if g.draining { // refused at once: its client can go elsewhere, and the end comes
		g.reject(q)
		return
	}
	if q.workSeconds > 0 && !g.settings.yes("answers.cost") {
		rg.workSeconds.add(q.workSeconds, 200)
	}
	q.objectiveAt = g.now + rg.objective + seconds(rg.objectiveStretch*g.estimatedSoloSeconds(q))
	g.recentWorkSeconds += g.usualWorkSeconds(rg)
	rg.recentArrivals++
	q.tenant.recentArrivals++
	g.meanWorkSeconds.add(g.usualWorkSeconds(rg), 100)
	g.healthCheckTokens = min(g.healthCheckTokens+1.5, 6)
	// the guard of rule 1: whatever else goes wrong, the answer is out in time
	g.atTime(q, q.deadline-2*g.settings.span("tick", 5*time.Millisecond), func() { g.reject(q) })
	g.atTime(q, q.objectiveAt, func() { g.objectivePassed(q) })
	if line := g.keyQueueOf(q); line != nil {
		if line.queries = append(line.queries, q); line.queries[0] != q {
			g.rejectIfKeyQueueTooLong(q, line)
			return
		}
	}
	g.startInTurn(q)
}

// late: past its target, which is a sign in itself where no note tells why.
func (g *Scheduler) objectivePassed(q *query) {
	quiet := g.settings.span("note.period", 0)*3/2 + 300*time.Millisecond // none is sure to come before
	for _, s := range q.attempts {
		if !s.ended && (g.settings.span("note.period", 0) <= 0 || quiet > q.deadline-q.arrivedAt) {
			g.attemptStalled(s)
		}
	}
	g.updateLimits(q)
}

// behind: what those before it in its key's line should take alone leaves it no time. Given up at once
// it comes back in its own time; a long line kept is given up in one moment when its head ends late, and
// clients, who space a key's queries, send the last with most of their time gone: queries were lost so.
func (g *Scheduler) rejectIfKeyQueueTooLong(q *query, line *keyQueue) {
	before := 0.0
	for _, x := range line.queries[:len(line.queries)-1] {
		before += g.expectedSeconds(x)
	}
	if g.now+seconds(before) > g.latestStart(q) {
		g.reject(q)
	}
}

func (g *Scheduler) startInTurn(q *query) {
	if q.ended {
		return
	}
	if line := g.keyQueueOf(q); line != nil && g.now < line.restingUntil {
		g.atTime(q, line.restingUntil, func() { g.startInTurn(q) })
		return
	}
	if q.group.isLoad {
		g.joinChain(q)
	} else {
		g.enqueue(q)
	}
}

// join is the paper's classifier: behind the running link, or at the head of a chain.
func (g *Scheduler) joinChain(q *query) {
	c := g.chains[q.tables]
	if c == nil {
		c = &chain{}
		g.chains[q.tables] = c
	}
	q.chain = c
	if c.running == nil {
		g.startWrite(c, q)
		return
	}
	c.waiting = append(c.waiting, q)
	g.atTime(q, g.now+capped(time.Second, q.group.objective/3), func() {
		if c.remove(q) {
			c.running = q
			g.enqueue(q)
		}
	})
}

func (g *Scheduler) startWrite(c *chain, q *query) {
	c.running = q
	recent := c.engine != nil && c.lastEnded && g.now-c.lastEndedAt < chainAffinitySpan
	if !recent || !g.hasCapacity(c.engine, q) || !g.submit(q, c.engine) {
		g.enqueue(q)
	}
}

func (g *Scheduler) writeEnded(q *query) {
	c := q.chain
	if c == nil || c.remove(q) || c.running != q {
		return
	}
	c.running, c.lastEnded, c.lastEndedAt = nil, true, g.now
	if len(c.waiting) > 0 {
		next := c.waiting[0]
		c.remove(next)
		g.startWrite(c, next)
	}
}

func (g *Scheduler) enqueue(q *query) {
	if q.dispatch == nil {
		q.dispatch = func(e *engine) bool { return g.submit(q, e) }
	}
	q.group.insert(q)
}

// release lets held queries go, the group with the most value for its work first, each in arrival order. A
// head that no engine may take whatever its room is passed over: it must not hold up those that one may.
func (g *Scheduler) dispatchQueued() {
	for _, rg := range g.ranked {
		var shut []int64 // tables that no clear engine is left for, asked once a round: queues get long
		rg.blocked = false
		for i := 0; i < len(rg.queue); {
			q := rg.queue[i]
			if !q.ended && g.notWorthStarting(q, len(rg.queue) > i+1) {
				g.reject(q)
			}
			if q.ended {
				rg.remove(q)
				continue
			}
			if len(q.attempts) == 0 && slices.Contains(shut, q.blockingKey) {
				i++
				continue
			}
			e, barred := g.route(q)
			switch {
			case e != nil && q.dispatch(e):
				rg.remove(q)
			case e == nil && !barred && !q.confined: // one that few engines may take holds up only its like
				g.shedCostliest(rg)
				rg.blocked, i = true, len(rg.queue)
			default:
				shut = append(shut, q.blockingKey)
				i++
			}
		}
	}
}

// thin: a queue that is more than can be begun in time gives up at once what costs most for its
// worth. In plain arrival order a long query would take the room of several that are worth as much.
func (g *Scheduler) shedCostliest(rg *resourceGroup) {
	work := 0.0
	for _, q := range rg.queue {
		work += g.estimatedSoloSeconds(q) * rg.threads
	}
	for len(rg.queue) > 1 && work > g.perSecond(rg.recentThreadSeconds)*rg.objective.Seconds()/4 {
		dearest := slices.MaxFunc(rg.queue, func(a, b *query) int { return cmp.Compare(g.costPerWeight(a), g.costPerWeight(b)) })
		if g.costPerWeight(dearest) <= g.usualWorkSeconds(rg)/rg.threads { // all alike: arrival order is as good
			return
		}
		work -= g.estimatedSoloSeconds(dearest) * rg.threads
		g.reject(dearest)
		rg.remove(dearest)
	}
}

// dear is what a query takes for its worth: less is had of a team that is over its share.
func (g *Scheduler) costPerWeight(q *query) float64 {
	if len(q.attempts) > 0 {
		return 0 // begun once: what was done would be lost
	}
	return g.estimatedSoloSeconds(q) / (1 - g.overQuotaFraction(q.tenant)*(1-g.settings.num("over.worth", 1)))
}

// over is the part of a team's queries that go beyond its share, as far as one's own tell: against
// the quotas' even part, and against how busy one is in the long run, as traffic isn't even.
func (g *Scheduler) overQuotaFraction(t *tenant) float64 {
	return max(0, 1-t.quota*max(1, g.tenantLoad.valueOr(1))/max(0.01, g.perSecond(t.recentArrivals)))
}

func (g *Scheduler) perSecond(of float64) float64 {
	return of / min(rateSpan, max(time.Second, g.now)).Seconds()
}

// hopeless: what can't earn its keep is given up before it takes room from what can; what is worth
// nothing late isn't sat on till its client leaves, though nobody waits behind it.
func (g *Scheduler) notWorthStarting(q *query, backlog bool) bool {
	return g.secondsLeft(q) < g.estimatedSoloSeconds(q)/2 || backlog && g.now > g.latestStart(q) ||
		q.group.lateValueShare <= 0 && g.now+seconds(g.estimatedSoloSeconds(q)) > q.objectiveAt
}

// latest is when a query has to start at the latest to be done when it should be.
func (g *Scheduler) latestStart(q *query) time.Duration {
	by := min(q.objectiveAt, q.deadline)   // some come with less time than is aimed for
	if q.group.abandonRate.value > 0.05 { // clients that hang up early, whatever they said they would wait
		by = min(by, q.arrivedAt+seconds(q.group.patience.value))
	}
	return by - seconds(1.25*g.expectedSeconds(q))
}

// ---- which engine

func (g *Scheduler) available(e *engine) bool {
	return e.state == EngineActive && !(e.unresponsive && g.healthChecksReportLoad) && g.now >= e.ejectedUntil
}

// pick draws an engine, odds in step with room; barred: not for room that none is found.
func (g *Scheduler) route(q *query) (found *engine, barred bool) {
	if !g.maySend(q) {
		return nil, true
	}
	var clear, named, blocked, unseen []*engine
	barred, hold := true, 0
	weigh := func(e *engine) {
		if !g.allowed(q, e) {
			return
		}
		barred = false
		locked := (q.group.waitsForLoads || q.group.isLoad) && g.loadRunning(e, q.tables)
		switch room := g.hasCapacity(e, q); {
		case room && (locked || e == q.lastEngine):
			blocked = append(blocked, e)
		case room && g.prefersWarmingEngine(q, e):
			named = append(named, e)
		case room:
			clear = append(clear, e)
		case !locked && g.available(e):
			hold++ // better held for this one than standing still behind a load
		}
	}
	for _, e := range g.activeEngines() {
		if g.utilizationKnown(e) {
			weigh(e)
		} else if e.state == EngineActive && g.now >= e.ejectedUntil {
			unseen = append(unseen, e) // a silent one too: this is how it is heard again
			if g.prefersWarmingEngine(q, e) && g.available(e) && !g.rejectedRecently(e) && !g.loadRunning(e, q.tables) && g.allowed(q, e) {
				named = append(named, e) // the chance alone leaves room there: no look is paid for
			}
		}
	}
	// among many, own queries tell nothing of an engine: some unseen are looked at first, and sent to if seen
	want := 2
	if g.isLight(q.group) {
		want = 1
	}
	if len(named) == 0 && len(clear) < want && len(unseen) > 0 {
		waits := slices.ContainsFunc(q.healthChecked, func(e *engine) bool { return e.healthCheckInFlight })
		if waits && g.now < q.healthCheckedAt+50*time.Millisecond {
			return nil, false
		}
		g.rng.shuffle(unseen)
		slices.SortStableFunc(unseen, func(a, b *engine) int { return cmp.Compare(g.distance(q, a), g.distance(q, b)) })
		again := g.now > q.healthCheckedAt+capped(250*time.Millisecond, q.group.timeout/6)
		if g.healthCheckTokens >= 1 && (q.healthChecked == nil || len(clear) == 0 && again) {
			q.healthChecked, q.healthCheckedAt = nil, g.now
			for _, e := range unseen {
				if len(clear)+len(q.healthChecked) < want && g.healthCheckTokens >= 1 && g.allowed(q, e) {
					g.healthCheckTokens--
					g.sendHealthCheck(e)
					q.healthChecked = append(q.healthChecked, e)
				}
			}
			if len(q.healthChecked) > 0 {
				return nil, false
			}
		}
		for i := 0; len(clear) == 0 && g.healthCheckTokens < 1 && i < len(unseen) && i < 4; i++ {
			weigh(unseen[i])
		}
	}
	if len(clear)+len(named) == 0 {
		if len(blocked) > 0 && hold >= len(blocked) {
			return nil, true // it waits for a load, not for its turn: others may pass
		}
		clear = blocked
	}
	if len(named) > 0 {
		clear = named
	}
	if slices.ContainsFunc(clear, func(e *engine) bool { return g.distance(q, e) == 0 }) {
		clear = slices.DeleteFunc(clear, func(e *engine) bool { return g.distance(q, e) > 0 })
	}
	return g.rng.draw(clear, g.routingWeight), barred && len(unseen) == 0
}

// away: a light query goes to another location only for want of room; heavy ones, few, even the load out.
func (g *Scheduler) distance(q *query, e *engine) int {
	if e.local || !g.isLight(q.group) {
		return 0
	}
	return 1
}

// known: a report tells how full it is, or there is nothing to be had by looking.
func (g *Scheduler) utilizationKnown(e *engine) bool {
	return !g.healthChecksReportLoad || e.report != nil && g.now-e.reportAt < reportValidFor
}

// hasRoom: the thread bound, which binds only under pressure.
func (g *Scheduler) hasCapacity(e *engine, q *query) bool {
	if !g.available(e) || e.consecutiveEjections > 0 && (len(e.inFlight) > 0 || !g.isLight(q.group)) {
		return false // what stood still is tried with one light query first
	}
	// the bound's split: each group leaves a part to those worth more for their
	// work, or long queries would hold all of it whenever a short one comes
	part := 1 - 0.1*float64(slices.Index(g.ranked, q.group))
	bound, ram := threadsPerCore*e.cores*g.ownShare*part, e.memoryCapacityMB*g.ownShare
	switch {
	case len(e.inFlight) == 0 && bound >= 1 && g.assignedByNumber(e, bound/q.group.threads),
		e.threadsInFlight+q.group.threads <= bound && e.memoryInFlightMB+g.estimatedMemoryMB(q) <= ram:
		return true
	case g.underPressure(e, q):
		return false
	}
	// among many one's part is less than a query: it binds in the mean, once most are full; all would go to few
	threads, _, count, cores := g.totalsInFlight()
	return g.reportsCountQueries && g.reportedUtilization.valueOr(0) < 0.75 || count == 0 || g.isLight(q.group) ||
		threads+q.group.threads <= threadsPerCore*cores*g.ownShare*part
}

// dealt: where a query is larger than one's part of an engine, all gateways with one each there would be
// several times its bound. So many as fit are dealt among them by number.
func (g *Scheduler) assignedByNumber(e *engine, part float64) bool {
	n := max(1, g.settings.num("gateways", 1))
	return math.Mod(float64(e.hash)+g.settings.num("own.number", 0), n) < math.Round(n*part)
}

// light groups take less than the mean of the work: they fill no engine.
func (g *Scheduler) isLight(rg *resourceGroup) bool { return g.usualWorkSeconds(rg) < g.meanWorkSeconds.value }

func (g *Scheduler) rejectedRecently(e *engine) bool { return e.rejectedAt > 0 && g.now-e.rejectedAt < 2*time.Second }

func (g *Scheduler) underPressure(e *engine, q *query) bool {
	// with a small share of one's own the bound rations next to nothing: an engine is used while it has room
	full := max(0.7, 0.85-0.5*g.ownShare)
	if !g.healthChecksReportLoad && (g.reportsCountQueries || g.reportedUtilization.count == 0) && q.group == g.ranked[0] && g.isLight(q.group) {
		full *= 2 // a guess or an old count doesn't turn away what costs least for its worth; busy cores do
	}
	return g.rejectedRecently(e) || e.slowdown > slowdownUnderPressure || g.utilization(e) > full
}

// ownShare is one's own part of all work: by what was out of late against what engines report to hold. Where
// nothing tells, an even part in the mean: what was left of it of late goes on top within a second, the more
// so the more of it one query takes, as few go up and down far more than many.
func (g *Scheduler) estimateOwnShare() float64 {
	n := max(1, g.settings.num("gateways", 1))
	threads, _, _, cores := g.totalsInFlight()
	if even := threadsPerCore * cores / n; !g.healthChecksReportLoad && g.reportedUtilization.count == 0 {
		left := min(1, g.maxQueryThreads/max(1, even)) * max(0, 1-g.recentThreads.valueOr(threads)/max(1, even))
		return min(1, (1+rateSpan.Seconds()*left)/n)
	} else if g.reportedQueries.count == 0 {
		return 1 / n
	}
	return min(1, max(0.25/n, g.meanAttempts.valueOr(1)/max(1, g.warmEngines)/g.reportedQueries.value))
}

// filled guesses how full an engine is with the work of all gateways; 1 is full: by its report, whichever is
// nearest its end, and what was sent since; else as those seen of late, or as if all did as this one.
func (g *Scheduler) utilization(e *engine) float64 {
	most := threadsPerCore * e.cores * g.warmCapacity(e)
	if e.report != nil && g.now-e.reportAt < reportValidFor {
		return max(g.memoryUtilization(e), (g.threadsOn(e)+g.sentSinceReport(e.threadsInFlight-e.threadsInFlightAtReport))/most)
	}
	if g.reportedUtilization.count > 0 {
		return g.reportedUtilization.value + e.threadsInFlight/most
	}
	g.activeEngines()
	others := (1/g.ownShare - 1) * e.cores * g.warmCapacity(e) / max(1, g.activeCores)
	return max((e.threadsInFlight+g.meanThreads.value*others)/most, (e.memoryInFlightMB+g.meanMemoryMB.value*others)/e.memoryCapacityMB)
}

// heldOn is the threads on an engine seen: of the queries it tells of, or, where it tells of none, of
// its busy cores. Taken as none, an engine looked the emptier the more of one's own stood still there.
func (g *Scheduler) threadsOn(e *engine) float64 {
	if held, told := e.report["held"]; told {
		return held * max(1, g.meanThreads.value/max(0.1, g.meanAttempts.value))
	}
	most := 0.0 // a query is more than one's part of an engine: the largest says nothing of the others'
	for _, s := range e.inFlight {
		most = max(most, s.threads)
	}
	return max(e.report["cores"]*threadsPerCore*e.cores, (e.threadsInFlight-most)/g.ownShare)
}

// memoryOn is the same for memory alone, of an engine seen.
func (g *Scheduler) memoryUtilization(e *engine) float64 {
	held := g.threadsOn(e) * g.meanMemoryMB.value / max(0.1, g.meanThreads.value)
	return (held + g.sentSinceReport(e.memoryInFlightMB-e.memoryInFlightAtReportMB)) / e.memoryCapacityMB
}

// since guesses what all gateways sent to an engine since its report, by one's own: they look as often, and
// each that looked at it while a report keeps saw the same room and fills it alike.
func (g *Scheduler) sentSinceReport(own float64) float64 {
	part := min(1, g.perSecond(g.recentHealthChecks)*reportValidFor.Seconds()/max(1, float64(len(g.activeEngines())))) // of engines, seen
	return own + max(0, own)*part*(max(1, g.settings.num("gateways", 1))-1)
}

func (g *Scheduler) routingWeight(e *engine) float64 {
	return e.cores * g.warmCapacity(e) * max(0.02, 1-g.utilization(e)) / e.slowdown
}

// ---- what it takes

// lone is the time a query should take alone, in seconds.
func (g *Scheduler) estimatedSoloSeconds(q *query) float64 {
	work := q.workSeconds
	if work <= 0 {
		work = q.group.workSeconds.valueOr(q.group.defaultWorkSeconds())
	} else if !q.workMeasured { // estimates lie too high or too low by group
		work *= q.group.estimateCorrection.valueOr(1)
	}
	return work / q.group.threads
}

// needs is the memory a query should need, in MB; 0 while nothing is known.
func (g *Scheduler) estimatedMemoryMB(q *query) float64 { return cmp.Or(q.memoryMB, q.group.memoryMB.valueOr(0)) }

// expect is the time it should take as things are, in seconds.
func (g *Scheduler) expectedSeconds(q *query) float64 { return g.estimatedSoloSeconds(q) * max(1, q.group.slowdown.valueOr(1)) }

// learn takes one ratio of time taken to time alone, of a submission at e.
func (g *Scheduler) learnSlowdown(s *attempt, ratio float64) {
	rg := s.query.group
	rg.slowdown.add(min(ratio, 20), 60)
	if rg.bestSlowdown == 0 || ratio < rg.bestSlowdown { // slowly up and quickly down, to stay near the best
		rg.bestSlowdown = max(0.01, ratio, 0.8*rg.bestSlowdown+0.2*ratio)
	} else {
		rg.bestSlowdown += (ratio - rg.bestSlowdown) * 0.01
	}
	s.engine.slowdown += (min(10, max(0.3, ratio/rg.bestSlowdown)) - s.engine.slowdown) * 0.1
}

// ---- the rules on what may be sent, all in one place

// maySend asks what is the same for all engines.
func (g *Scheduler) maySend(q *query) bool {
	f, l := g.settings, g.keyQueueOf(q)
	switch {
	case q.ended || g.now >= q.deadline, // 1
		q.inFlight > 0 && !f.yes("may.copy") || !g.retryAllowed(q),                   // 2
		l != nil && (l.queries[0] != q || g.now < l.restingUntil && l.restingAfter != q): // 5
		return false
	}
	return len(q.attempts) == 0 || g.retryBudgetLeft() // 7
}

// affords: the submission budget has one more.
func (g *Scheduler) retryBudgetLeft() bool {
	f, span := g.settings, g.settings.span("budget.span", 0)
	most := f.num("budget.least", 0) + f.num("budget.share", 0)*float64(countSince(&g.arrivals, g.now-span))
	return span <= 0 || float64(countSince(&g.retries, g.now-span)+1) <= most
}

func (g *Scheduler) allowed(q *query, e *engine) bool {
	rg := q.group
	switch {
	case e.state != EngineActive, // 3: not even within the grace
		q.allowedLocations != nil && !slices.Contains(q.allowedLocations, strconv.Itoa(e.location)),
		len(rg.kinds) > 0 && !slices.Contains(rg.kinds, strconv.Itoa(e.kind)):
		return false // 6
	}
	for _, s := range q.attemptsThatMayHaveRun() { // 2
		near := rg.keyScope == "all" || s.engine == e || rg.keyScope == "location" && s.engine.location == e.location ||
			rg.keyScope == "cell" && s.engine.cell == e.cell
		if rg.effect != "read-only" && !near {
			return false
		}
	}
	return g.now >= e.warmingUntil || g.slowStartAllows(q, e) // 4
}

func (rg *resourceGroup) defaultWorkSeconds() float64 { return rg.objective.Seconds() / 2 * rg.threads }

// usual is a group's ordinary work, corrected by its best times where estimates are off.
func (g *Scheduler) usualWorkSeconds(rg *resourceGroup) float64 {
	work := rg.workSeconds.valueOr(rg.defaultWorkSeconds())
	if rg.bestSlowdown > 0 && !g.settings.yes("answers.cost") {
		work *= rg.bestSlowdown
	}
	return work
}

// able is the part of its capacity that an engine has at the least.
func (g *Scheduler) warmCapacity(e *engine) float64 {
	if g.now >= e.warmingUntil {
		return 1
	}
	from := g.settings.num("cold.from", 0.2)
	age, span := max(0, g.now-e.warmingFrom), max(time.Second, g.settings.span("cold.span", 0))
	return from + (1-from)*min(1, age.Seconds()/span.Seconds())
}

// names: among many, a cold engine that a light query's chance allows gets the query. Drawn for among all
// others besides, next to nothing would go there, while what is warm is full. Heavy queries are drawn for: it
// stands one or two in a window, and several gateways may send at once; so are groups little is known of.
func (g *Scheduler) prefersWarmingEngine(q *query, e *engine) bool {
	return g.now < e.warmingUntil && g.settings.num("gateways", 1) > 1 && g.isLight(q.group) && q.group.workSeconds.count >= 10
}

// coldFits keeps all gateways together under what a cold engine stands, however many they are and however
// unevenly traffic lies: each query may go there by a chance that in sum, were all who may to go, makes a
// part of the limit; a smaller one of heavy queries, none while two pass it. Its own sum holds the busiest.
func (g *Scheduler) slowStartAllows(q *query, e *engine) bool {
	f, window := g.settings, g.settings.span("cold.window", time.Second)
	limit := f.num("cold.multiple", 1) * g.warmCapacity(e) * 0.85 * e.cores * window.Seconds()
	work, most, part := g.usualWorkSeconds(q.group), 0.33, 0.3
	if f.num("gateways", 1) <= 1 {
		most, part = 0.7, math.Inf(1)
	} else if !g.isLight(q.group) {
		part = 0.1
	}
	// the fleet does at most its cores' work; of that, so much is of this group
	ofGroup := work * q.group.recentArrivals / max(0.1, g.recentWorkSeconds)
	chance := part * limit / window.Seconds() / (max(1, g.activeCores) * ofGroup)
	draw := float64((uint32(q.seq)*2654435761^e.hash)*2246822519>>8) / (1 << 24)
	// a few that were small say little: no less than would be guessed of a group not known yet
	work = max(work, q.group.defaultWorkSeconds()) * (1 + 1/math.Sqrt(max(1, q.group.workSeconds.count)))
	return draw < chance && e.slowStartWorkSince(g.now-window)+work <= most*limit
}

func (g *Scheduler) submit(q *query, e *engine) bool {
	if !g.maySend(q) || !g.allowed(q, e) {
		return false
	}
	g.updateLimits(q)
	q.group.recentThreadSeconds += g.estimatedSoloSeconds(q) * q.group.threads
	s := g.recordAttempt(q, e, g.estimatedMemoryMB(q), g.usualWorkSeconds(q.group))
	s.onEnd = g.retryOrReject
	g.actions.Submit(q.id, e.id, q.deadline-g.now)
	return true
}

// setTerms: priority by the order of groups, the least once the target runtime has
// passed; all the memory there is where asking costs nothing, else by estimate.
func (g *Scheduler) updateLimits(q *query) {
	if q.ended {
		return
	}
	prio, grant := 1, 0
	switch {
	case g.now >= q.objectiveAt:
		prio = 0
	case !g.settings.yes("may.prioritise"):
	case q.group == g.ranked[0]:
		prio = 3
	default:
		prio = 2
	}
	if heeded := g.settings.yes("may.grant"); heeded && g.settings.text["memory.short"] == "swap" {
		grant = int(g.settings.num("grant.most", 0) * g.settings.itemNum("kind.memory", 0))
	} else if heeded {
		grant = int(q.memoryMB * memoryGrantFactor)
	}
	if prio != q.priority || grant != q.grant {
		q.priority, q.grant = prio, grant
		g.actions.Terms(q.id, prio, grant)
	}
}

// ---- what comes back

func (g *Scheduler) handleAttemptEnd(s *attempt, took time.Duration, over bool, work, memoryMB float64) {
	q := s.query
	if s.outcome != Cancelled && s.outcome != TimedOut && s.outcome != NeverSent {
		g.engineResponded(s.engine)
	}
	if s.outcome == Finished {
		s.engine.lastFinishOfTables[q.tables], s.engine.lastFinishAt, s.engine.consecutiveEjections = g.now, g.now, 0
		q.group.threadSecondsUsed.add(took.Seconds()*q.group.threads, 100)
		if work > 0 {
			if q.workSeconds > 0 {
				q.group.estimateCorrection.add(work/q.workSeconds, 200)
			}
			q.workSeconds, q.workMeasured = work, true
			q.group.workSeconds.add(work, 200)
			q.group.memoryMB.add(memoryMB, 200)
		}
		if !s.blocked && (q.workSeconds > 0 || !g.settings.yes("answers.cost")) {
			g.learnSlowdown(s, took.Seconds()/g.estimatedSoloSeconds(q))
		}
	}
	if line := g.keyQueueOf(q); line != nil && s.outcome.mayStillRun() {
		line.restingUntil, line.restingAfter = g.now+g.settings.span("key.rest", 0), q
	}
	if over || s.outcome == Finished {
		q.group.abandonRate.add(0, 100)
		g.end(q)
	} else if !q.ended {
		s.onEnd(s)
	}
	g.releaseEnded(q)
}

// afterEnd is what an end other than an answer leads to.
func (g *Scheduler) retryOrReject(s *attempt) {
	q, e := s.query, s.engine
	switch s.outcome {
	case Rejected:
		e.rejectedAt, e.ejectedUntil = g.now, g.now+capped(250*time.Millisecond, q.group.timeout/6)
	case Unreachable:
		e.ejectedUntil = g.now + time.Second
	case ConnectionReset:
		e.ejectedUntil = g.now + 500*time.Millisecond
	}
	q.lastEngine = e
	switch { // a further submission only if the time left exceeds what it should take
	case q.inFlight > 0:
	case g.secondsLeft(q) <= g.expectedSeconds(q) || !g.retryAllowed(q):
		g.reject(q)
	default:
		g.enqueue(q)
	}
}

// harmless: what was sent so far leaves room for a repeat somewhere, by rule 2.
func (g *Scheduler) safeToRetry(q *query) bool {
	ran := q.attemptsThatMayHaveRun()
	return len(ran) == 0 || q.group.effect == "read-only" ||
		q.group.effect == "tokened" && g.now-ran[0].sentAt < q.group.keyWindow
}

// beginsBy: one may have waited for its connection past what it was decided on. What is tokened is repeated
// within the window only, from the first that may have run.
func (g *Scheduler) startDeadline(s *attempt) time.Duration {
	ran, rg := s.query.attemptsThatMayHaveRun(), s.query.group
	if s.query.ended || s.engine.state != EngineActive {
		return 0
	} else if rg.effect == "tokened" && ran[0] != s {
		return min(s.query.deadline, ran[0].sentAt+rg.keyWindow)
	}
	return s.query.deadline
}

func (g *Scheduler) retryAllowed(q *query) bool {
	return len(q.attempts) < int(g.settings.num("submissions.most", 1)) && g.safeToRetry(q)
}

// giveUp answers at once: a deferral where trying again is harmless, else a kill.
func (g *Scheduler) reject(q *query) {
	if q.ended || q.answerStarted {
		return
	}
	if g.safeToRetry(q) && (q.group.effect != "tokened" || q.group.keyScope == "all" || len(q.attemptsThatMayHaveRun()) == 0) {
		g.actions.Defer(q.id, capped(g.retryAfter, q.group.timeout/2))
	} else {
		g.actions.Kill(q.id)
	}
	g.end(q)
	g.releaseEnded(q)
}

func (g *Scheduler) clientGone(q *query) { // the client left before its time
	q.group.abandonRate.add(1, 100)
	q.group.patience.add((g.now - q.arrivedAt).Seconds(), 30)
	g.end(q)
	g.releaseEnded(q)
}

// finish marks the end; work still out for it is called off where that helps.
func (g *Scheduler) end(q *query) {
	if q.ended {
		return
	}
	q.ended = true
	for _, s := range q.attempts {
		if !s.ended && g.settings.yes("may.cancel") {
			g.actions.Cancel(q.id, s.number)
		}
	}
}

func (g *Scheduler) engineResponded(e *engine) {
	if e.unresponsive && g.now-e.lastResponseAt > 4*time.Second {
		// it may be a new process that the list doesn't name yet, and is warmed up as one, at the cost of some room
		e.warmingFrom, e.warmingUntil = g.now, max(e.warmingUntil, g.now+g.settings.span("cold.span", 0))
		g.actions.Log("engine " + e.id + " heard again, taken as cold")
	}
	e.unresponsive, e.lastResponseAt = false, g.now
}

// unanswered: a look that came to nothing, by a crash, a cut link or a stall; the list tells late, if at all.
func (g *Scheduler) healthCheckFailed(e *engine) {
	e.report, e.ejectedUntil = nil, max(e.ejectedUntil, g.now+2*time.Second)
}

// reported: cold engines, nearly empty and looked at most while there are some, say nothing of
// how full the others are; with theirs in the mean all gateways took warm ones for half empty.
func (g *Scheduler) learnFromReport(e *engine, report map[string]float64) {
	if g.now < e.warmingUntil {
		return
	}
	g.reportedUtilization.add(g.utilization(e), 20)
	g.lastReportAt = g.now
	if held := report["held"]; held > 0 {
		g.reportedQueries.add(held, 60)
	}
}

// noted: progress far behind what a fresh submission would need is a bad plan, a slow or a crowded engine;
// all are met by moving the query, where that stops the work left behind.
func (g *Scheduler) handleNote(s *attempt, sign NoteKind, x float64) {
	g.engineResponded(s.engine)
	s.lastNoteAt = g.now
	if sign == WaitsForLoad {
		g.blockedByLoad(s, g.settings.span("note.period", time.Second)*2)
	} else if sign == Progress && x > 0 {
		s.progress, s.progressAt = x, g.now
		g.moveOrReject(s, g.remainingSeconds(s))
	}
}

// stands: no note tells why a submission is late. Others have come back from there since: it waits for
// a load. None has: the engine is past its memory, does next to nothing, and has idle cores to show,
// by which all would draw it before any other.
func (g *Scheduler) attemptStalled(s *attempt) {
	if s.engine.lastFinishAt > s.sentAt {
		s.engine.markLoadRunning(s.query.tables, g.now+2*time.Second)
		return
	}
	if e := s.engine; g.now >= e.ejectedUntil {
		e.slowdown += (10 - e.slowdown) * 0.3
		e.ejectedUntil = g.now + capped(2*time.Second, 2*s.query.group.timeout)<<min(e.consecutiveEjections, 3)
		e.consecutiveEjections++
	}
	g.moveOrReject(s, math.Inf(1))
}

func (g *Scheduler) blockedByLoad(s *attempt, span time.Duration) {
	s.blocked = true
	s.engine.markLoadRunning(s.query.tables, g.now+span)
	g.moveOrReject(s, math.Inf(1))
}

// remains is the time it should still take, by its last note or what was expected.
func (g *Scheduler) remainingSeconds(s *attempt) float64 {
	if s.progress <= 0 {
		return max(1, g.expectedSeconds(s.query)-(g.now-s.sentAt).Seconds())
	}
	return (s.progressAt-s.sentAt).Seconds()/s.progress - (g.now - s.sentAt).Seconds()
}

// move calls a submission off for a fresh one, if what remains is long against that;
// one that can't be done in its client's time, for good: it holds what others could use.
func (g *Scheduler) moveOrReject(s *attempt, remains float64) {
	q, slow := s.query, !math.IsInf(remains, 1)
	fresh, far := g.expectedSeconds(q), 3.0
	if q.workSeconds <= 0 {
		far = 6.0 // without an estimate a large query looks like a bad plan
	}
	if s.moving || q.ended || q.group.effect != "read-only" || !g.settings.yes("may.cancel") {
		return
	}
	// slow twice without an estimate: it is large, not its plan bad; and where all engines seen
	// are full it is slow everywhere: begun anew it would only lose what was done
	again := !slow || (q.workSeconds > 0 || !q.movedForSlowness) && g.reportedUtilization.valueOr(0) < 0.75
	again = again && g.secondsLeft(q) > fresh && g.retryAllowed(q) && g.retryBudgetLeft()
	if again && remains >= far*fresh {
		s.moving, q.movedForSlowness = true, q.movedForSlowness || slow
		g.actions.Cancel(q.id, s.number)
	} else if slow && remains > 1.5*g.secondsLeft(q) {
		g.reject(q)
	}
}

// ---- time

func (g *Scheduler) tick() {
	g.actions.Wake(tickInterval, tickTag)
	// by value for the thread time a query was seen to take, which the bound rations
	slices.SortStableFunc(g.ranked, func(a, b *resourceGroup) int {
		x, y := a.priorityWeight/a.threadSecondsUsed.valueOr(g.usualWorkSeconds(a)), b.priorityWeight/b.threadSecondsUsed.valueOr(g.usualWorkSeconds(b))
		return cmp.Or(cmp.Compare(y, x), a.index-b.index)
	})
	g.totalsStale = true // some are warm by now
	threads, memory, count, _ := g.totalsInFlight()
	g.meanThreads.add(threads, 300)
	g.recentThreads.add(threads, rateSpan.Seconds()/tickInterval.Seconds())
	g.meanMemoryMB.add(memory, 300)
	g.meanAttempts.add(count, 300)
	g.ownShare = g.estimateOwnShare()
	if !g.healthChecksReportLoad && g.now-g.lastReportAt > reportValidFor {
		g.reportedUtilization.value *= 0.93 // who sends nothing is told nothing: full once would be full for good
	}
	for _, rg := range g.groups {
		rg.recentArrivals, rg.recentThreadSeconds = rg.recentArrivals*0.995, rg.recentThreadSeconds*(1-tickInterval.Seconds()/rateSpan.Seconds())
	}
	g.recentWorkSeconds, g.recentHealthChecks = g.recentWorkSeconds*0.995, g.recentHealthChecks*(1-tickInterval.Seconds()/rateSpan.Seconds())
	took, quota := 0.0, 0.0
	for _, t := range g.tenants {
		t.recentArrivals *= 1 - tickInterval.Seconds()/rateSpan.Seconds()
		took, quota = took+g.perSecond(t.recentArrivals), quota+t.quota
	}
	if quota > 0 && g.now > rateSpan {
		g.tenantLoad.add(took/quota, 600)
	}
	period := g.settings.span("note.period", 0)
	for _, e := range g.activeEngines() {
		e.slowdown += (1 - e.slowdown) * 0.01
		for _, s := range slices.Clone(e.inFlight) {
			// the quickest thing out should have been heard of; covers machines gone, cut links and long stalls
			limit, mute := seconds(0.6+3*g.expectedSeconds(s.query)), period*3/2+300*time.Millisecond
			if period > 0 && (mute < limit || !g.settings.yes("may.probe")) {
				limit = mute // a note is sure to come in this time, and no look can tell before
			}
			switch quiet := g.now - max(s.sentAt, e.lastResponseAt); {
			case e.unresponsive:
				g.moveOrReject(s, math.Inf(1))
			case period <= 0 && (g.now-s.sentAt).Seconds() > 0.3+4*g.expectedSeconds(s.query):
				g.attemptStalled(s)
			case period <= 0 && g.healthChecksReportLoad && !g.reportsCountQueries && (g.now-s.sentAt).Seconds() > 0.3+g.expectedSeconds(s.query):
				if !g.utilizationKnown(e) || e.reportAt < s.sentAt {
					g.sendHealthCheck(e)
				} else if e.report["cores"] < 0.5*g.reportedUtilization.value {
					g.attemptStalled(s)
				}
			case period > 0 && !s.blocked && g.now-max(s.sentAt, s.lastNoteAt) > mute:
				// others are answered and this isn't: it was lost, or what it reads hangs if none of that came back
				s.blocked = true
				e.slowdown += (10 - e.slowdown) * 0.1
				if e.lastFinishOfTables[s.query.tables] <= s.sentAt {
					g.blockedByLoad(s, 10*time.Second)
				}
				g.moveOrReject(s, math.Inf(1))
			case quiet > limit+500*time.Millisecond:
				e.unresponsive, e.ejectedUntil = true, g.now+2*time.Second
				g.actions.Log("engine " + e.id + " silent, queries out: " + strconv.Itoa(len(e.inFlight)))
			case quiet > limit:
				g.sendHealthCheck(e) // a busy engine still answers this; only a stalled or lost one doesn't
			}
		}
	}
	if f := g.settings; f.text["list.how"] == "asked" && !g.subscribed &&
		g.now-g.subscribeSentAt > min(time.Second, f.span("list.ask-within", time.Second)/2) {
		g.subscribeSentAt = g.now
		g.actions.Subscribe()
	}
}

func (g *Scheduler) sendHealthCheck(e *engine) {
	if g.settings.yes("may.probe") && (!e.healthCheckInFlight || g.now-e.healthCheckSentAt > 300*time.Millisecond) {
		e.healthCheckInFlight, e.healthCheckSentAt, g.recentHealthChecks = true, g.now, g.recentHealthChecks+1
		g.actions.Probe(e.id)
	}
}

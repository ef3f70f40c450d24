package scheduler

import "slices"

const minFreeFraction = 0.02 // lower bound for the free fraction, so that a full engine can still be drawn

// candidates are the engines that a query may be sent to.
type candidates struct {
	withCapacity []*engine // engines known to have capacity
	preferred    []*engine // warming engines that slow start selected for this query
	// avoided are engines with capacity that ended the query's last attempt or, if the query is a load
	// or its group waits for loads, that run a load of the tables.
	avoided []*engine
	// unreported are the active engines without a valid load report that aren't ejected, from which
	// awaitHealthChecks selects engines to check. The rules of maySendTo aren't applied yet, and an
	// engine may be in preferred, too.
	unreported []*engine

	noneAllowed bool // the rules allow no engine that was classified, whatever its capacity
	// fullCount is the number of engines that are available and allowed but have no capacity. For a
	// load, or a group that waits for loads, it leaves out engines that run a load of the tables.
	fullCount int
}

// route draws an engine for a query from the first of these pools that isn't empty: warming engines
// that slow start selected, engines with capacity, and engines to avoid. The avoided engines are used
// only if they outnumber the full ones, otherwise the query waits for a full engine. Engines at the
// controller's location displace the others of the pool. The probability of an engine is proportional
// to its routingWeight.
//
// route returns nil while the query waits for load reports or for a full engine, if no engine has
// capacity, or if the rules allow none. If it returns nil, ineligible tells whether queries behind
// this one may go first: the rules allow no attempt, the rules allow no engine and no engine is
// unreported, or only avoided engines have capacity and the query waits for a full engine instead.
func (s *Scheduler) route(q *query) (picked *engine, ineligible bool) {
	if !s.maySend(q) {
		return nil, true
	}
	c := candidates{noneAllowed: true}
	s.collectCandidates(q, &c)
	if s.awaitHealthChecks(q, &c) {
		return nil, false
	}
	pool := c.withCapacity
	switch {
	case len(c.preferred) > 0:
		pool = c.preferred
	case len(c.withCapacity) > 0:
	case len(c.avoided) > 0 && c.fullCount >= len(c.avoided):
		return nil, true // waits for one of the full engines instead
	default:
		pool = c.avoided
	}
	return s.rng.pickWeighted(s.preferLocal(q, pool), s.routingWeight), c.noneAllowed && len(c.unreported) == 0
}

// collectCandidates classifies the engines with a known utilization, and lists the other engines in
// unreported unless they are inactive or ejected. A warming engine without a report is also preferred
// if slow start selects it, the rules allow it, it is available, it rejected no query recently and it
// runs no load of the tables. Unlike in classify, such a load counts for queries of every group.
func (s *Scheduler) collectCandidates(q *query, c *candidates) {
	for _, e := range s.activeEngines() {
		if s.utilizationKnown(e) {
			s.classify(q, e, c)
			continue
		}
		if e.state != EngineActive || s.now < e.ejectedUntil {
			continue
		}
		// Unresponsive engines are included, so that a health check can detect their recovery.
		c.unreported = append(c.unreported, e)
		if s.prefersWarmingEngine(q, e) && s.available(e) && !s.rejectedRecently(e) &&
			!s.loadRunning(e, q.tables) && s.maySendTo(q, e) {
			c.preferred = append(c.preferred, e) // slow start limits its load without a health check
		}
	}
}

// classify adds an engine with a known or estimated utilization to the candidates. An engine that the
// rules forbid is dropped; any other clears noneAllowed. An engine without capacity is only counted
// in fullCount. An engine that is to be avoided isn't preferred, even if slow start selects it. A
// running load of the tables matters only to loads and to groups that wait for loads.
func (s *Scheduler) classify(q *query, e *engine, c *candidates) {
	if !s.maySendTo(q, e) {
		return
	}
	c.noneAllowed = false
	loadRunning := (q.group.waitsForLoads || q.group.isLoad) && s.loadRunning(e, q.tables)
	switch hasCapacity := s.hasCapacity(e, q); {
	case hasCapacity && (loadRunning || e == q.lastEngine):
		c.avoided = append(c.avoided, e)
	case hasCapacity && s.prefersWarmingEngine(q, e):
		c.preferred = append(c.preferred, e)
	case hasCapacity:
		c.withCapacity = append(c.withCapacity, e)
	case !loadRunning && s.available(e):
		c.fullCount++
	}
}

// preferLocal removes engines with a distance above 0 from the pool, in place, if the pool has one
// with distance 0. It removes nothing for a heavy query, which has distance 0 to every engine.
func (s *Scheduler) preferLocal(q *query, pool []*engine) []*engine {
	if !slices.ContainsFunc(pool, func(e *engine) bool { return s.distance(q, e) == 0 }) {
		return pool
	}
	return slices.DeleteFunc(pool, func(e *engine) bool { return s.distance(q, e) > 0 })
}

// distance returns 1 for a light query and an engine at another location, otherwise 0. Heavy queries
// have no preferred location: they are few, and sending them to any location balances the load.
func (s *Scheduler) distance(q *query, e *engine) int {
	if e.isLocal || !s.isLight(q.group) {
		return 0
	}
	return 1
}

// available returns whether an engine is active, isn't ejected and isn't unresponsive. Where health
// checks report no load, an unresponsive engine still counts as available. Recent rejections and
// capacity aren't considered.
func (s *Scheduler) available(e *engine) bool {
	return e.state == EngineActive && !(e.unresponsive && s.healthChecksReportLoad) && s.now >= e.ejectedUntil
}

// routingWeight returns an engine's free cores divided by its slowdown. The free cores are its cores
// times its warm-up capacity times its unused fraction, which is at least minFreeFraction.
func (s *Scheduler) routingWeight(e *engine) float64 {
	return e.cores * s.warmupCapacity(e) * max(minFreeFraction, 1-s.utilization(e)) / e.slowdown
}

// loadRunning returns whether a load of a table group runs on an engine: one of this controller's
// own attempts, or another load for which markLoadRunning has set a time limit.
func (s *Scheduler) loadRunning(e *engine, tables int64) bool {
	if s.now < e.loadRunningUntil[tables] {
		return true
	}
	return slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.query.group.isLoad && a.query.tables == tables
	})
}

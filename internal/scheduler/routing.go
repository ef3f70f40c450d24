package scheduler

import "slices"

const minFreeFraction = 0.02 // lower bound in a routing weight, so that a full engine can still be drawn

// candidates are the engines that a query may be sent to.
type candidates struct {
	withCapacity []*engine // known to have capacity
	preferred    []*engine // warming up and selected for this query by slow start
	avoided      []*engine // with capacity, but a load of its tables is running or the last attempt ended there
	unreported   []*engine // without a valid load report

	noneAllowed bool // no engine with a known utilization is eligible, whatever its capacity
	fullCount   int  // engines without capacity on which no load of the tables runs
}

// route draws an engine for a query, with a probability proportional to its free capacity. If it
// returns none, ineligible is true if the reason isn't a lack of capacity, so that other queries
// may go first.
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
		return nil, true // waits for an engine without the load
	default:
		pool = c.avoided
	}
	return s.rng.pickWeighted(s.preferLocal(q, pool), s.routingWeight), c.noneAllowed && len(c.unreported) == 0
}

func (s *Scheduler) collectCandidates(q *query, c *candidates) {
	for _, e := range s.activeEngines() {
		if s.utilizationKnown(e) {
			s.classify(q, e, c)
			continue
		}
		if e.state != EngineActive || s.now < e.ejectedUntil {
			continue
		}
		// An unresponsive engine is included: a health check finds out when it is back.
		c.unreported = append(c.unreported, e)
		if s.prefersWarmingEngine(q, e) && s.available(e) && !s.rejectedRecently(e) &&
			!s.loadRunning(e, q.tables) && s.maySendTo(q, e) {
			c.preferred = append(c.preferred, e) // limited by slow start, so that no health check is needed
		}
	}
}

// classify adds an engine, whose utilization is known or estimated, to the candidates.
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

// preferLocal removes engines at other locations if one at the controller's location is among the
// candidates.
func (s *Scheduler) preferLocal(q *query, pool []*engine) []*engine {
	if !slices.ContainsFunc(pool, func(e *engine) bool { return s.distance(q, e) == 0 }) {
		return pool
	}
	return slices.DeleteFunc(pool, func(e *engine) bool { return s.distance(q, e) > 0 })
}

// distance returns 1 for an engine at another location, otherwise 0. For heavy queries it is 0
// everywhere, as they are few and even out the load.
func (s *Scheduler) distance(q *query, e *engine) int {
	if e.isLocal || !s.isLight(q.group) {
		return 0
	}
	return 1
}

// available returns whether the engine's health allows sending to it.
func (s *Scheduler) available(e *engine) bool {
	return e.state == EngineActive && !(e.unresponsive && s.healthChecksReportLoad) && s.now >= e.ejectedUntil
}

// routingWeight returns an engine's free capacity, in cores, adjusted by its slowdown.
func (s *Scheduler) routingWeight(e *engine) float64 {
	return e.cores * s.warmupCapacity(e) * max(minFreeFraction, 1-s.utilization(e)) / e.slowdown
}

// loadRunning returns whether a load of a table group is known or suspected to run on an engine.
func (s *Scheduler) loadRunning(e *engine, tables int64) bool {
	if s.now < e.loadRunningUntil[tables] {
		return true
	}
	return slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.query.group.isLoad && a.query.tables == tables
	})
}

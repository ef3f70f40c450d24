package scheduler

import "slices"

const leastRoutingPart = 0.02 // of its capacity that a full engine is drawn by

// candidates are the engines that a query may be sent to.
type candidates struct {
	clear     []*engine // with capacity
	preferred []*engine // warming up, and allowed this query by its chance
	avoided   []*engine // with capacity, but a load of its tables runs there, or its last attempt was there
	unseen    []*engine // without a load report that holds

	excluded      bool // no engine seen may take it, whatever its capacity
	worthAwaiting int  // engines seen that are full, and where no load of its tables runs
}

// route draws an engine for a query, with odds in step with free capacity. If there is none, barred
// says that it isn't for capacity, so that others may pass.
func (s *Scheduler) route(q *query) (found *engine, barred bool) {
	if !s.maySend(q) {
		return nil, true
	}
	c := candidates{excluded: true}
	s.collectCandidates(q, &c)
	if s.awaitHealthChecks(q, &c) {
		return nil, false
	}
	pool := c.clear
	switch {
	case len(c.preferred) > 0:
		pool = c.preferred
	case len(c.clear) > 0:
	case len(c.avoided) > 0 && c.worthAwaiting >= len(c.avoided):
		return nil, true // it waits for an engine without the load
	default:
		pool = c.avoided
	}
	return s.rng.draw(s.preferLocal(q, pool), s.routingWeight), c.excluded && len(c.unseen) == 0
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
		c.unseen = append(c.unseen, e) // an unresponsive one too: a health check finds it again
		if s.prefersWarmingEngine(q, e) && s.available(e) && !s.rejectedRecently(e) &&
			!s.loadRunning(e, q.tables) && s.allowed(q, e) {
			c.preferred = append(c.preferred, e) // the chance alone leaves capacity: no health check is paid for
		}
	}
}

// classify puts an engine that is taken as seen into its list.
func (s *Scheduler) classify(q *query, e *engine, c *candidates) {
	if !s.allowed(q, e) {
		return
	}
	c.excluded = false
	loadRuns := (q.group.waitsForLoads || q.group.isLoad) && s.loadRunning(e, q.tables)
	switch capacity := s.hasCapacity(e, q); {
	case capacity && (loadRuns || e == q.lastEngine):
		c.avoided = append(c.avoided, e)
	case capacity && s.prefersWarmingEngine(q, e):
		c.preferred = append(c.preferred, e)
	case capacity:
		c.clear = append(c.clear, e)
	case !loadRuns && s.available(e):
		c.worthAwaiting++
	}
}

// preferLocal leaves engines of other locations out while there is one in the controller's own.
func (s *Scheduler) preferLocal(q *query, pool []*engine) []*engine {
	if !slices.ContainsFunc(pool, func(e *engine) bool { return s.distance(q, e) == 0 }) {
		return pool
	}
	return slices.DeleteFunc(pool, func(e *engine) bool { return s.distance(q, e) > 0 })
}

// distance is 1 to an engine of another location. Heavy queries are few and even the load out, so
// that to them all engines are as near.
func (s *Scheduler) distance(q *query, e *engine) int {
	if e.local || !s.isLight(q.group) {
		return 0
	}
	return 1
}

// available tells whether an engine may be sent to by what is known of its health.
func (s *Scheduler) available(e *engine) bool {
	return e.state == EngineActive && !(e.unresponsive && s.healthChecksReportLoad) && s.now >= e.ejectedUntil
}

// routingWeight is an engine's free capacity, in cores at its best speed.
func (s *Scheduler) routingWeight(e *engine) float64 {
	return e.cores * s.warmCapacity(e) * max(leastRoutingPart, 1-s.utilization(e)) / e.slowdown
}

// loadRunning tells whether a load of these tables is known to run on an engine, or they hang there.
func (s *Scheduler) loadRunning(e *engine, tables int64) bool {
	if s.now < e.loadRunningUntil[tables] {
		return true
	}
	return slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.query.group.isLoad && a.query.tables == tables
	})
}

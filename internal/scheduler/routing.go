package scheduler

import "slices"

const minFreeFraction = 0.02 // of its capacity that a full engine is drawn by

// candidates are the engines that a query may be sent to.
type candidates struct {
	withCapacity []*engine // with capacity
	preferred    []*engine // warming up, and allowed this query by its chance
	avoided      []*engine // with capacity, but a load of its tables runs there, or its last attempt was there
	unreported   []*engine // without a load report that holds

	noneAllowed bool // no engine seen may take it, whatever its capacity
	fullCount   int  // engines seen that are full, and where no load of its tables runs
}

// route draws an engine for a query, with odds in step with free capacity. If there is none, barred
// says that it isn't for capacity, so that others may pass.
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
		return nil, true // it waits for an engine without the load
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
		c.unreported = append(c.unreported, e) // an unresponsive one too: a health check finds it again
		if s.prefersWarmingEngine(q, e) && s.available(e) && !s.rejectedRecently(e) &&
			!s.loadRunning(e, q.tables) && s.maySendTo(q, e) {
			c.preferred = append(c.preferred, e) // the chance alone leaves capacity: no health check is paid for
		}
	}
}

// classify puts an engine that is taken as seen into its list.
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
	if e.isLocal || !s.isLight(q.group) {
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
	return e.cores * s.warmupCapacity(e) * max(minFreeFraction, 1-s.utilization(e)) / e.slowdown
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

package scheduler

import "time"

const (
	baseEjectionTime     = 2 * time.Second // first ejection time, which doubles with each consecutive ejection
	maxEjectionDoublings = 3               // number of times that the ejection time doubles at most
	maxEjectionTimeouts  = 2               // limits the time before doubling, as a multiple of the timeout

	maxEngineSlowdown     = 10              // upper bound for an engine's slowdown
	stalledSlowdownWeight = 0.3             // weight of maxEngineSlowdown in the new slowdown of an engine
	stalledAvoidance      = 2 * time.Second // time for which queries on the same tables avoid the engine
)

// attemptStalled handles an attempt that is late without a progress note from the engine that explains
// the delay. If another query finished on its engine since the attempt was sent, the attempt is assumed
// to wait for a load, and later queries on the same tables avoid the engine. Otherwise the engine is
// ejected, unless it already is, and the query is moved if moveOrReject allows it. Without the ejection,
// every controller would prefer an engine that has run out of memory: it shows idle cores because it
// makes almost no progress.
func (s *Scheduler) attemptStalled(a *attempt) {
	e := a.engine
	if e.lastFinishAt > a.sentAt {
		e.markLoadRunning(a.query.tables, s.now+stalledAvoidance)
		return
	}
	if s.now >= e.ejectedUntil {
		e.slowdown += (maxEngineSlowdown - e.slowdown) * stalledSlowdownWeight
		e.ejectedUntil = s.now + s.ejectionTime(e, a.query.group)
		e.consecutiveEjections++
	}
	s.moveOrReject(a, neverFinishes)
}

// ejectionTime returns how long an engine is ejected, which grows with consecutive ejections.
func (s *Scheduler) ejectionTime(e *engine, rg *resourceGroup) time.Duration {
	return capAt(baseEjectionTime, maxEjectionTimeouts*rg.timeout) <<
		min(e.consecutiveEjections, maxEjectionDoublings)
}

// recordAnswer records that a query has finished, which resets the count of consecutive ejections.
func (e *engine) recordAnswer(tables int64, now time.Duration) {
	e.lastFinishByTables[tables] = now
	e.lastFinishAt = now
	e.consecutiveEjections = 0
}

package scheduler

import "time"

const (
	baseEjectionTime     = 2 * time.Second // doubles with each consecutive ejection
	maxEjectionDoublings = 3               // of the ejection time
	maxEjectionTimeouts  = 2               // limits the time before doubling, in timeouts of the group

	maxEngineSlowdown     = 10  // relative to the best
	stalledSlowdownWeight = 0.3 // of maxEngineSlowdown in an engine's new slowdown
	stalledAvoidance      = 2 * time.Second
)

// attemptStalled handles an attempt that is late without a note that explains the delay. If another
// query finished on its engine since it was sent, the attempt is assumed to wait for a load.
// Otherwise the engine is an outlier and is ejected. An engine that has run out of memory makes
// almost no progress and shows idle cores, so that every controller would prefer it.
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

package scheduler

import "time"

const (
	baseEjectionTime     = 2 * time.Second // doubled with each ejection in a row,
	maxEjectionDoublings = 3               // so many times
	maxEjectionTimeouts  = 2               // of its group's clients, that it lasts at most

	maxEngineSlowdown     = 10  // over its best
	stalledSlowdownWeight = 0.3 // that a stall moves an engine's slowdown towards its most
	stalledAvoidance      = 2 * time.Second
)

// attemptStalled: an attempt is late and no note tells why. If others came back from its engine
// since, it waits for a load. If none did, the engine is an outlier and ejected: past its memory it
// does next to nothing, and has idle cores to show, by which all would prefer it.
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

// ejectionTime grows with ejections in a row; an answer from the engine ends the row.
func (s *Scheduler) ejectionTime(e *engine, rg *resourceGroup) time.Duration {
	return capAt(baseEjectionTime, maxEjectionTimeouts*rg.timeout) <<
		min(e.consecutiveEjections, maxEjectionDoublings)
}

// answered ends a row of ejections.
func (e *engine) recordAnswer(tables int64, now time.Duration) {
	e.lastFinishByTables[tables] = now
	e.lastFinishAt = now
	e.consecutiveEjections = 0
}

package scheduler

import "railrelay.dev/railrelay/internal/settings"

const (
	priorityLate    = 0 // after its objective
	priorityDefault = 1 // if engines don't support priorities
	priorityNormal  = 2
	priorityHighest = 3 // for the group ranked first

	memoryGrantFactor = 1.25 // granted over estimated memory
)

// updateLimits passes a query's priority and memory grant to the adapter if they have changed.
func (s *Scheduler) updateLimits(q *query) {
	if q.ended {
		return
	}
	priority, grantMB := s.priority(q), s.memoryGrantMB(q)
	if priority != q.priority || grantMB != q.grantMB {
		q.priority = priority
		q.grantMB = grantMB
		s.actions.SetLimits(q.id, priority, grantMB)
	}
}

// priority returns a query's priority by the rank of its group. After the objective, the query has the
// lowest priority.
func (s *Scheduler) priority(q *query) int {
	switch {
	case s.now >= q.objectiveAt:
		return priorityLate
	case !s.settings.PrioritiesSupported:
		return priorityDefault
	case q.group == s.ranked[0]:
		return priorityHighest
	}
	return priorityNormal
}

// memoryGrantMB returns the memory granted to a query, 0 if the engine decides. Where engines swap
// when they are out of memory, a large grant costs nothing, so that every query gets the largest one.
// Otherwise the grant follows the client's estimate of the query's memory.
func (s *Scheduler) memoryGrantMB(q *query) int {
	switch {
	case !s.settings.MemoryGrantsSupported:
		return 0
	case s.settings.EnginesSwap:
		return int(s.settings.MaxGrantFraction * settings.ValueAt(s.settings.KindMemoryMB, 0))
	}
	return int(q.memoryMB * memoryGrantFactor)
}

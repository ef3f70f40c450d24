package scheduler

import "railrelay.dev/railrelay/internal/settings"

const (
	priorityLate    = 0 // its objective has passed
	priorityNone    = 1 // engines heed none
	priorityUsual   = 2
	priorityHighest = 3 // the group ranked first

	memoryGrantFactor = 1.25 // memory granted over the estimate
)

// updateLimits tells the adapter a query's priority and memory grant (MB), if they have changed.
func (s *Scheduler) updateLimits(q *query) {
	if q.ended {
		return
	}
	priority, grant := s.priority(q), s.memoryGrantMB(q)
	if priority != q.priority || grant != q.grant {
		q.priority = priority
		q.grant = grant
		s.actions.SetLimits(q.id, priority, grant)
	}
}

// priority goes by the order of the groups; it is the least once the objective has passed.
func (s *Scheduler) priority(q *query) int {
	switch {
	case s.now >= q.objectiveAt:
		return priorityLate
	case !s.settings.PrioritiesSupported:
		return priorityNone
	case q.group == s.ranked[0]:
		return priorityHighest
	}
	return priorityUsual
}

// memoryGrantMB is all that may be granted where an engine out of memory swaps and asking costs
// nothing, else by the estimate; 0 leaves it to the engine.
func (s *Scheduler) memoryGrantMB(q *query) int {
	switch {
	case !s.settings.MemoryGrantsSupported:
		return 0
	case s.settings.EnginesSwap:
		return int(s.settings.MaxGrantFraction * settings.ValueAt(s.settings.KindMemoryMB, 0))
	}
	return int(q.memoryMB * memoryGrantFactor)
}

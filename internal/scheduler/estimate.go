package scheduler

import "cmp"

// objectiveParts: one of them is what a query of an unknown group is guessed to run.
const objectiveParts = 2

// estimatedSoloSeconds is the time that a query should take alone on an engine. Estimates lie too
// high or too low by group, and are corrected by what answers told.
func (s *Scheduler) estimatedSoloSeconds(q *query) float64 {
	work := q.workSeconds
	if work <= 0 {
		work = q.group.workSeconds.valueOr(q.group.defaultWorkSeconds())
	} else if !q.workMeasured {
		work *= q.group.estimateCorrection.valueOr(1)
	}
	return work / q.group.threads
}

// expectedSeconds is the time that a query should take as things are.
func (s *Scheduler) expectedSeconds(q *query) float64 {
	return s.estimatedSoloSeconds(q) * max(1, q.group.slowdown.valueOr(1))
}

// estimatedMemoryMB is the memory that a query should need, 0 while nothing is known.
func (s *Scheduler) estimatedMemoryMB(q *query) float64 {
	return cmp.Or(q.memoryMB, q.group.memoryMB.valueOr(0))
}

// usualWorkSeconds is a group's ordinary work, corrected by its best slowdown where estimates are off.
func (s *Scheduler) usualWorkSeconds(rg *resourceGroup) float64 {
	work := rg.workSeconds.valueOr(rg.defaultWorkSeconds())
	if rg.bestSlowdown > 0 && !s.settings.AnswersReportWork {
		work *= rg.bestSlowdown
	}
	return work
}

// defaultWorkSeconds is the work guessed for a group that nothing is known of.
func (rg *resourceGroup) defaultWorkSeconds() float64 {
	return rg.objective.Seconds() / objectiveParts * rg.threads
}

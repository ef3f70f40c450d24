package scheduler

import "cmp"

// defaultWorkObjectiveDivisor divides the objective of a group without known work to estimate a
// query's run time.
const defaultWorkObjectiveDivisor = 2

// estimatedSoloSeconds returns the time that a query should take alone on an engine. Estimates of a
// group are systematically too high or too low, and are corrected by the work that its answers
// reported.
func (s *Scheduler) estimatedSoloSeconds(q *query) float64 {
	work := q.workSeconds
	if work <= 0 {
		work = q.group.workSeconds.valueOr(q.group.defaultWorkSeconds())
	} else if !q.workMeasured {
		work *= q.group.estimateCorrection.valueOr(1)
	}
	return work / q.group.threads
}

// expectedSeconds returns the time that a query should take under the current load.
func (s *Scheduler) expectedSeconds(q *query) float64 {
	return s.estimatedSoloSeconds(q) * max(1, q.group.slowdown.valueOr(1))
}

// estimatedMemoryMB returns the memory that a query should need, 0 if it is unknown.
func (s *Scheduler) estimatedMemoryMB(q *query) float64 {
	return cmp.Or(q.memoryMB, q.group.memoryMB.valueOr(0))
}

// typicalWorkSeconds returns the work of a typical query of a group. If answers don't report work,
// the estimates are corrected by the group's best slowdown.
func (s *Scheduler) typicalWorkSeconds(rg *resourceGroup) float64 {
	work := rg.workSeconds.valueOr(rg.defaultWorkSeconds())
	if rg.bestSlowdown > 0 && !s.settings.AnswersReportWork {
		work *= rg.bestSlowdown
	}
	return work
}

// defaultWorkSeconds returns the assumed work of a query in a group about which nothing is known.
func (rg *resourceGroup) defaultWorkSeconds() float64 {
	return rg.objective.Seconds() / defaultWorkObjectiveDivisor * rg.threads
}

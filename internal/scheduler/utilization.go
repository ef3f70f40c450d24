package scheduler

import "time"

const (
	reportValidity    = time.Second
	minThreadsDivisor = 0.1 // against a division by 0
)

// Figures of a load report.
const (
	reportQueries   = "held"  // queries on the engine
	reportBusyCores = "cores" // share of its cores that is busy
)

// utilizationKnown tells whether a load report holds, or health checks give none.
func (s *Scheduler) utilizationKnown(e *engine) bool {
	return !s.healthChecksReportLoad || e.report != nil && s.now-e.reportAt < reportValidity
}

// utilization guesses how full an engine is with the work of all controllers, 1 being full: by its
// report and what was sent since, threads or memory, whichever is nearer its end; else by those
// that reported of late; else as if all controllers did as this one.
func (s *Scheduler) utilization(e *engine) float64 {
	limit := maxThreadsPerCore * e.cores * s.warmupCapacity(e)
	if e.report != nil && s.now-e.reportAt < reportValidity {
		threads := s.threadsOnEngine(e) + s.sentSinceReport(e.threadsInFlight-e.threadsInFlightAtReport)
		return max(s.memoryUtilization(e), threads/limit)
	}
	if s.reportedUtilization.count > 0 {
		return s.reportedUtilization.value + e.threadsInFlight/limit
	}
	s.activeEngines()
	otherControllers := (1/s.ownShare - 1) * e.cores * s.warmupCapacity(e) / max(1, s.activeCores)
	threads := e.threadsInFlight + s.meanThreads.value*otherControllers
	memory := e.memoryInFlightMB + s.meanMemoryMB.value*otherControllers
	return max(threads/limit, memory/e.memoryCapacityMB)
}

// threadsOn is the threads on an engine that reported: of its queries, or, if it doesn't count
// them, by its busy cores and by one's own attempts there. A query is more than one's part of an
// engine, so that one's largest says nothing of what others have.
func (s *Scheduler) threadsOnEngine(e *engine) float64 {
	if queries, counted := e.report[reportQueries]; counted {
		return queries * max(1, s.meanThreads.value/max(minThreadsDivisor, s.meanAttempts.value))
	}
	largest := 0.0
	for _, a := range e.inFlight {
		largest = max(largest, a.threads)
	}
	return max(e.report[reportBusyCores]*maxThreadsPerCore*e.cores, (e.threadsInFlight-largest)/s.ownShare)
}

// memoryUtilization is the part of an engine's memory in use, by its report.
func (s *Scheduler) memoryUtilization(e *engine) float64 {
	memoryMB := s.threadsOnEngine(e) * s.meanMemoryMB.value / max(minThreadsDivisor, s.meanThreads.value)
	return (memoryMB + s.sentSinceReport(e.memoryInFlightMB-e.memoryInFlightAtReportMB)) / e.memoryCapacityMB
}

// sentSinceReport guesses what all controllers sent to an engine since its report, by one's own:
// they check as often, and each that did while the report holds saw the same capacity.
func (s *Scheduler) sentSinceReport(own float64) float64 {
	checks := s.perSecond(s.recentHealthChecks) * reportValidity.Seconds()
	sharedFraction := min(1, checks/max(1, float64(len(s.activeEngines()))))
	return own + max(0, own)*sharedFraction*(max(1, s.settings.ControllerCount)-1)
}

package scheduler

import "time"

const (
	reportValidity    = time.Second
	minThreadsDivisor = 0.1 // against a division by 0
)

// Fields of a load report.
const (
	reportQueries   = "held"  // queries on the engine
	reportBusyCores = "cores" // fraction of its cores that is busy
)

// utilizationKnown returns whether an engine has a valid load report. If health checks return no
// reports, utilizationKnown always returns true, as no check can replace an estimate by a report.
func (s *Scheduler) utilizationKnown(e *engine) bool {
	return !s.healthChecksReportLoad || e.report != nil && s.now-e.reportAt < reportValidity
}

// utilization estimates how full an engine is with the work of all controllers, 1 being full. With a
// valid report, the result is the larger of threads and memory, including the attempts sent since the
// report. Otherwise it is the mean utilization of engines that reported, plus this controller's threads
// on the engine. If no engine has reported, it is the load that results if all controllers send as this
// one does.
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

// threadsOnEngine returns the threads on an engine that has reported. Without a number of queries
// they follow from its busy cores and from this controller's own attempts. The largest of those is
// left out: it can exceed this controller's share of an engine, so that it says nothing about the
// other controllers.
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

// memoryUtilization returns the fraction of an engine's memory in use, by its report.
func (s *Scheduler) memoryUtilization(e *engine) float64 {
	memoryMB := s.threadsOnEngine(e) * s.meanMemoryMB.value / max(minThreadsDivisor, s.meanThreads.value)
	return (memoryMB + s.sentSinceReport(e.memoryInFlightMB-e.memoryInFlightAtReportMB)) / e.memoryCapacityMB
}

// sentSinceReport estimates the threads or memory that all controllers have sent to an engine since
// its report, from the controller's own. Other controllers are assumed to check engines as often as
// this one, and each that checked the engine while the report is valid saw the same capacity.
func (s *Scheduler) sentSinceReport(own float64) float64 {
	checks := s.perSecond(s.recentHealthChecks) * reportValidity.Seconds()
	sharedFraction := min(1, checks/max(1, float64(len(s.activeEngines()))))
	return own + max(0, own)*sharedFraction*(max(1, s.settings.ControllerCount)-1)
}

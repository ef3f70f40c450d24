package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	maxThreadsPerCore       = 2.0 // limit for the attempts of all controllers together
	reservedFractionPerRank = 0.1 // fraction of the thread limit that is left free for each group ranked higher

	// An engine is under pressure above this slowdown, or above a threshold of utilization that falls
	// from its maximum to its minimum as the controller's own share grows.
	pressureSlowdown            = 5.0
	minPressureUtilization      = 0.7
	maxPressureUtilization      = 0.85
	pressureUtilizationPerShare = 0.5
	estimateTolerance           = 2    // factor on the threshold, see underPressure
	highUtilization             = 0.75 // mean utilization from which on engines count as mostly full
	recentRejectionWindow       = 2 * time.Second

	minShareDivisor = 4 // a controller's share is at least an even share divided by this number
)

// hasCapacity returns whether an engine has capacity for a query: within the controller's share of its
// threads and memory, or beyond that share while the engine isn't under pressure and withinTotalLimit
// holds. An engine without an attempt of this controller also has capacity if the share allows a
// thread and assignedByIndex selects this controller. An engine that was ejected gets one light query
// at a time until it answers.
func (s *Scheduler) hasCapacity(e *engine, q *query) bool {
	if !s.available(e) {
		return false
	}
	if e.consecutiveEjections > 0 && (len(e.inFlight) > 0 || !s.isLight(q.group)) {
		return false
	}
	fraction := s.groupCapacityFraction(q.group)
	threadLimit := maxThreadsPerCore * e.cores * s.ownShare * fraction
	memoryLimit := e.memoryCapacityMB * s.ownShare
	switch {
	case len(e.inFlight) == 0 && threadLimit >= 1 && s.assignedByIndex(e, threadLimit/q.group.threads):
		return true
	case e.threadsInFlight+q.group.threads <= threadLimit &&
		e.memoryInFlightMB+s.estimatedMemoryMB(q) <= memoryLimit:
		return true
	case s.underPressure(e, q):
		return false
	}
	return s.withinTotalLimit(q, fraction)
}

// groupCapacityFraction returns the fraction of the thread limit that a group may fill. A group
// leaves some capacity to each group ranked higher. Otherwise long queries would hold all capacity
// whenever a short one arrives.
func (s *Scheduler) groupCapacityFraction(rg *resourceGroup) float64 {
	return 1 - reservedFractionPerRank*float64(slices.Index(s.ranked, rg))
}

// withinTotalLimit returns whether a heavy query keeps the controller within its share of all
// engines together. Among many controllers the share of one engine is less than one query, so that
// only the total can be limited. Without a limit the queries of all controllers would go to the few
// engines with capacity. Light queries and a controller's only attempt aren't limited. If reports
// count queries, no query is limited while the mean utilization is below highUtilization.
func (s *Scheduler) withinTotalLimit(q *query, fraction float64) bool {
	threads, _, attempts, cores := s.totalsInFlight()
	switch {
	case s.settings.ReportsCountQueries && s.reportedUtilization.valueOr(0) < highUtilization:
		return true
	case attempts == 0 || s.isLight(q.group):
		return true
	}
	return threads+q.group.threads <= maxThreadsPerCore*cores*s.ownShare*fraction
}

// assignedByIndex returns whether this controller may send a query to an engine without attempts, if
// the share of each controller is queriesPerController queries. If that is less than 1 and every
// controller sent a query, the engine would get several times its limit. Therefore the engine's hash
// and the controller's index select as many controllers as there may be queries.
func (s *Scheduler) assignedByIndex(e *engine, queriesPerController float64) bool {
	controllers := max(1, s.settings.ControllerCount)
	return math.Mod(float64(e.hash)+s.settings.ControllerIndex, controllers) <
		math.Round(controllers*queriesPerController)
}

// isLight returns whether a group's typical query takes less work than the mean query. Such a query
// doesn't fill an engine.
func (s *Scheduler) isLight(rg *resourceGroup) bool {
	return s.typicalWorkSeconds(rg) < s.meanWorkSeconds.value
}

func (s *Scheduler) rejectedRecently(e *engine) bool {
	return e.rejectedAt > 0 && s.now-e.rejectedAt < recentRejectionWindow
}

// underPressure returns whether an engine rejected a query recently, is slow or exceeds a threshold of
// utilization. hasCapacity then lets the controller use no more than its share of the engine.
//
// The threshold is higher for a controller with a small share, whose limit allows next to nothing. For
// light queries of the group ranked first it is multiplied by estimateTolerance if the utilization may
// be outdated, because it is estimated or follows from a reported number of queries. The threshold
// isn't raised for a utilization that follows from reported busy cores.
func (s *Scheduler) underPressure(e *engine, q *query) bool {
	limit := max(minPressureUtilization, maxPressureUtilization-pressureUtilizationPerShare*s.ownShare)
	estimated := !s.healthChecksReportLoad &&
		(s.settings.ReportsCountQueries || s.reportedUtilization.count == 0)
	if estimated && q.group == s.ranked[0] && s.isLight(q.group) {
		limit *= estimateTolerance
	}
	return s.rejectedRecently(e) || e.slowdown > pressureSlowdown || s.utilization(e) > limit
}

// estimateOwnShare returns the controller's share of all work, 0 to 1. If engines report numbers of
// queries, the share is the controller's mean number of attempts on an engine over the mean number
// that engines report, and at least an even share divided by minShareDivisor. If they report load
// without numbers of queries, the share is even.
//
// If engines report nothing, a controller that recently used less than an even share has up to
// rateWindow.Seconds() even shares added. The addition grows with the unused part, and with the part
// of the share that a single query takes, because a few queries vary far more than many.
func (s *Scheduler) estimateOwnShare() float64 {
	controllers := max(1, s.settings.ControllerCount)
	threads, _, _, cores := s.totalsInFlight()
	if !s.healthChecksReportLoad && s.reportedUtilization.count == 0 {
		evenShareThreads := maxThreadsPerCore * cores / controllers
		unusedFraction := min(1, s.maxQueryThreads/max(1, evenShareThreads)) *
			max(0, 1-s.recentThreads.valueOr(threads)/max(1, evenShareThreads))
		return min(1, (1+rateWindow.Seconds()*unusedFraction)/controllers)
	}
	if s.reportedQueries.count == 0 {
		return 1 / controllers
	}
	share := s.meanAttempts.valueOr(1) / max(1, s.warmEngines) / s.reportedQueries.value
	return min(1, max(1.0/minShareDivisor/controllers, share))
}

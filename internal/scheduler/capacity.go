package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	threadsPerCoreLimit = 2.0 // of all controllers together
	groupRankPart       = 0.1 // of the limit that a group leaves to each one ranked before it

	slowdownUnderPressure  = 5.0 // an engine's slowdown that counts as pressure
	utilizationOfMany      = 0.7 // that counts as pressure at the least
	utilizationOfOne       = 0.85
	ownShareOfUtilization  = 0.5 // by which that falls with the controller's own share
	guessedUtilizationPart = 2   // more is let in by a guess, for what costs least for its weight
	mostlyFull             = 0.75
	rejectionCountsFor     = 2 * time.Second

	leastShareParts = 4 // of an even share that is a controller's at least, one
)

// hasCapacity tells whether an engine has capacity for a query: within the controller's share of
// its threads and memory, or beyond it while the engine isn't under pressure. An ejected engine is
// tried with one light query first.
func (s *Scheduler) hasCapacity(e *engine, q *query) bool {
	if !s.available(e) {
		return false
	}
	if e.consecutiveEjections > 0 && (len(e.inFlight) > 0 || !s.isLight(q.group)) {
		return false
	}
	part := s.groupPart(q.group)
	threadLimit := threadsPerCoreLimit * e.cores * s.ownShare * part
	memoryLimit := e.memoryCapacityMB * s.ownShare
	switch {
	case len(e.inFlight) == 0 && threadLimit >= 1 && s.assignedByNumber(e, threadLimit/q.group.threads):
		return true
	case e.threadsInFlight+q.group.threads <= threadLimit &&
		e.memoryInFlightMB+s.estimatedMemoryMB(q) <= memoryLimit:
		return true
	case s.underPressure(e, q):
		return false
	}
	return s.withinMeanLimit(q, part)
}

// groupPart is the part of the limit that a group may fill: it leaves some to each group ranked
// before it, or long queries would hold all of it whenever a short one comes.
func (s *Scheduler) groupPart(rg *resourceGroup) float64 {
	return 1 - groupRankPart*float64(slices.Index(s.ranked, rg))
}

// withinMeanLimit holds a heavy query to the controller's share of all engines. Among many
// controllers the share of one engine is less than a query, and binds in the mean only, once most
// engines are full; else all would go to few.
func (s *Scheduler) withinMeanLimit(q *query, part float64) bool {
	threads, _, count, cores := s.totalsInFlight()
	switch {
	case s.settings.ReportsCountQueries && s.reportedUtilization.valueOr(0) < mostlyFull:
		return true
	case count == 0 || s.isLight(q.group):
		return true
	}
	return threads+q.group.threads <= threadsPerCoreLimit*cores*s.ownShare*part
}

// assignedByNumber tells whether this controller is one of those that may have a query on an idle
// engine, where a query is larger than a controller's part (in queries) of it: all controllers with
// one each there would be several times its limit, so as many as fit are dealt by number.
func (s *Scheduler) assignedByNumber(e *engine, part float64) bool {
	n := max(1, s.settings.ControllerCount)
	return math.Mod(float64(e.hash)+s.settings.ControllerIndex, n) < math.Round(n*part)
}

// isLight holds for groups that take less than the mean of the work: they fill no engine.
func (s *Scheduler) isLight(rg *resourceGroup) bool {
	return s.usualWorkSeconds(rg) < s.meanWorkSeconds.value
}

func (s *Scheduler) rejectedRecently(e *engine) bool {
	return e.rejectedAt > 0 && s.now-e.rejectedAt < rejectionCountsFor
}

// underPressure tells whether an engine takes no more than the controller's share: it rejected a
// query, is slow, or is full. With a small share of one's own the limit rations next to nothing,
// and an engine is used while it has capacity. A guess or an old count of how full it is doesn't
// turn away what costs least for its weight; busy cores do.
func (s *Scheduler) underPressure(e *engine, q *query) bool {
	full := max(utilizationOfMany, utilizationOfOne-ownShareOfUtilization*s.ownShare)
	guessed := !s.healthChecksReportLoad && (s.settings.ReportsCountQueries || s.reportedUtilization.count == 0)
	if guessed && q.group == s.ranked[0] && s.isLight(q.group) {
		full *= guessedUtilizationPart
	}
	return s.rejectedRecently(e) || e.slowdown > slowdownUnderPressure || s.utilization(e) > full
}

// estimateOwnShare is the controller's share of all work, 0 to 1: what it had in flight of late
// against what engines report. Where nothing is reported it is an even share in the mean: what was
// left of it of late is added, the more so the more of it one query takes, as few queries go up and
// down far more than many.
func (s *Scheduler) estimateOwnShare() float64 {
	n := max(1, s.settings.ControllerCount)
	threads, _, _, cores := s.totalsInFlight()
	if !s.healthChecksReportLoad && s.reportedUtilization.count == 0 {
		even := threadsPerCoreLimit * cores / n
		unused := min(1, s.maxQueryThreads/max(1, even)) * max(0, 1-s.recentThreads.valueOr(threads)/max(1, even))
		return min(1, (1+rateSpan.Seconds()*unused)/n)
	}
	if s.reportedQueries.count == 0 {
		return 1 / n
	}
	share := s.meanAttempts.valueOr(1) / max(1, s.warmEngines) / s.reportedQueries.value
	return min(1, max(1.0/leastShareParts/n, share))
}

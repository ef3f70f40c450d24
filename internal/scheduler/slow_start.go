package scheduler

import (
	"math"
	"time"
)

const (
	nominalUtilization = 0.85 // fraction of its cores that an engine is assumed to use

	// minSlowStartDuration is a lower bound for the time in which the available capacity of a warming
	// engine rises. It doesn't extend the warm-up: if that is shorter, the capacity jumps at its end.
	minSlowStartDuration = 1 * time.Second

	// Fractions of the work that a warming engine may be sent in a window, see slowStartFractions.
	soleControllerFraction   = 0.7  // sent by the only controller
	sharedControllerFraction = 0.33 // sent by each of several controllers
	lightChanceFraction      = 0.3  // allowed by chance for a group of light queries, by all controllers
	heavyChanceFraction      = 0.1  // allowed by chance for a group of heavy queries, by all controllers

	minSamplesOfKnownGroup = 10  // number of queries from which on the work of a group counts as known
	minRecentWorkSeconds   = 0.1 // against a division by 0

	queryHashMultiplier = 2654435761 // spread the draws of successive queries evenly
	drawHashMultiplier  = 2246822519
)

// engineRestarted handles a new process of a known engine: learned state is reset, and the engine
// warms up from its start.
func (s *Scheduler) engineRestarted(e *engine, started time.Duration) {
	e.resetLearnedState(s.now)
	e.startedAt = started
	e.warmupStartedAt = started
	e.warmupEndsAt = max(e.warmupEndsAt, started+s.settings.SlowStartDuration)
}

// warmupCapacity returns a lower bound for the fraction of its capacity that an engine has available.
// The bound rises linearly from SlowStartInitialCapacity to 1 during the warm-up, and is 1 afterwards.
func (s *Scheduler) warmupCapacity(e *engine) float64 {
	if s.now >= e.warmupEndsAt {
		return 1
	}
	initial := s.settings.SlowStartInitialCapacity
	age, duration := max(0, s.now-e.warmupStartedAt), max(minSlowStartDuration, s.settings.SlowStartDuration)
	return initial + (1-initial)*min(1, age.Seconds()/duration.Seconds())
}

// prefersWarmingEngine returns whether an engine is warming up and is preferred to other engines for a
// query. The caller checks that slow start allows the query. With more than one controller, drawing
// from all engines would leave a warming engine almost without queries while warm engines are full. No
// warming engine is preferred for a heavy query, because the engine can take only one or two of them
// in a window and several controllers may send at once, or for a query of a group with unknown work.
func (s *Scheduler) prefersWarmingEngine(q *query, e *engine) bool {
	return s.now < e.warmupEndsAt && s.settings.ControllerCount > 1 && s.isLight(q.group) &&
		q.group.workSeconds.count >= minSamplesOfKnownGroup
}

// slowStartAllows returns whether slow start allows a query to be sent to an engine. The caller checks
// that the engine is warming up. slowStartAllows keeps all controllers together within what the engine
// can take, for any number of controllers and any distribution of traffic.
//
// Each query is allowed with a chance. The draw depends on its sequence number and the engine's id. If
// all active cores are busy and every allowed query is sent to the engine, the work that all
// controllers send for one group adds up to chanceFraction of the engine's limit. A second limit, on
// this controller's own work in a window, restrains the busiest controller.
func (s *Scheduler) slowStartAllows(q *query, e *engine) bool {
	window := s.settings.SlowStartWindow
	limit := s.settings.SlowStartWorkFactor * s.warmupCapacity(e) * nominalUtilization * e.cores *
		window.Seconds()
	controllerFraction, chanceFraction := s.slowStartFractions(q.group)
	work := s.typicalWorkSeconds(q.group)
	// The active cores limit the work of all controllers. groupFraction is the group's part of that
	// work, as of the recent arrivals at this controller.
	groupFraction := work * q.group.recentArrivals / max(minRecentWorkSeconds, s.recentWorkSeconds)
	chance := chanceFraction * limit / window.Seconds() / (max(1, s.activeCores) * groupFraction)
	draw := float64((uint32(q.sequence)*queryHashMultiplier^e.hash)*drawHashMultiplier>>8) / (1 << 24)
	// For the limit on the controller's own work, the mean work is raised to at least the assumed work
	// of an unknown group. A mean of few samples is unreliable, and is raised further: it doubles with
	// one sample, and rises less the more samples there are.
	work = max(work, q.group.defaultWorkSeconds()) * (1 + 1/math.Sqrt(max(1, q.group.workSeconds.count)))
	return draw < chance && e.slowStartWorkSince(s.now-window)+work <= controllerFraction*limit
}

// slowStartFractions returns two fractions of the work that a warming engine may be sent in a window.
// own is the part that this controller may send. chance is the part to which the allowed queries of
// one group add up over all controllers; infinite for the only controller, which needs no draw.
func (s *Scheduler) slowStartFractions(rg *resourceGroup) (own, chance float64) {
	switch {
	case s.settings.ControllerCount <= 1:
		return soleControllerFraction, math.Inf(1)
	case s.isLight(rg):
		return sharedControllerFraction, lightChanceFraction
	}
	return sharedControllerFraction, heavyChanceFraction
}

package scheduler

import (
	"math"
	"time"
)

const (
	nominalUtilization   = 0.85            // fraction of its cores that an engine is assumed to use
	minSlowStartDuration = 1 * time.Second // lower bound for the warm-up of an engine

	// Fractions of the work that a warming engine may be sent in a window: the limit of one
	// controller, and the sum of all queries' chances.
	soleControllerFraction   = 0.7 // the only controller
	sharedControllerFraction = 0.33
	lightChanceFraction      = 0.3
	heavyChanceFraction      = 0.1

	minSamplesOfKnownGroup = 10  // queries from which on a group's work counts as known
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

// warmupCapacity returns the fraction of its capacity that a warming engine has at least. It rises
// linearly to 1.
func (s *Scheduler) warmupCapacity(e *engine) float64 {
	if s.now >= e.warmupEndsAt {
		return 1
	}
	initial := s.settings.SlowStartInitialCapacity
	age, duration := max(0, s.now-e.warmupStartedAt), max(minSlowStartDuration, s.settings.SlowStartDuration)
	return initial + (1-initial)*min(1, age.Seconds()/duration.Seconds())
}

// prefersWarmingEngine returns whether a warming engine that slow start allows is chosen over
// others. Among many controllers, drawing it from all engines would leave it almost without queries
// while warm engines are full. Heavy queries are drawn, because a warming engine can take only one
// or two in a window and several controllers may send at once. So are groups whose work isn't
// known.
func (s *Scheduler) prefersWarmingEngine(q *query, e *engine) bool {
	return s.now < e.warmupEndsAt && s.settings.ControllerCount > 1 && s.isLight(q.group) &&
		q.group.workSeconds.count >= minSamplesOfKnownGroup
}

// slowStartAllows returns whether a query may be sent to a warming engine. It keeps all controllers
// together within what the engine can take, for any number of controllers and any distribution of
// traffic. Each query has a chance, drawn from its number and the engine's id. If every allowed
// query went there, the sum would be a fraction of the limit. A limit on the controller's own work
// in a window restrains the busiest controller.
func (s *Scheduler) slowStartAllows(q *query, e *engine) bool {
	window := s.settings.SlowStartWindow
	limit := s.settings.SlowStartWorkFactor * s.warmupCapacity(e) * nominalUtilization * e.cores *
		window.Seconds()
	controllerFraction, chanceFraction := s.slowStartFractions(q.group)
	work := s.typicalWorkSeconds(q.group)
	// The active cores limit the work that all controllers send. groupFraction is the group's part of it.
	groupFraction := work * q.group.recentArrivals / max(minRecentWorkSeconds, s.recentWorkSeconds)
	chance := chanceFraction * limit / window.Seconds() / (max(1, s.activeCores) * groupFraction)
	draw := float64((uint32(q.sequence)*queryHashMultiplier^e.hash)*drawHashMultiplier>>8) / (1 << 24)
	// A few small samples say little, so that the work counts as at least that of an unknown group.
	work = max(work, q.group.defaultWorkSeconds()) * (1 + 1/math.Sqrt(max(1, q.group.workSeconds.count)))
	return draw < chance && e.slowStartWorkSince(s.now-window)+work <= controllerFraction*limit
}

// slowStartFractions returns the fractions of the limit for one controller and for all queries'
// chances.
func (s *Scheduler) slowStartFractions(rg *resourceGroup) (own, chance float64) {
	switch {
	case s.settings.ControllerCount <= 1:
		return soleControllerFraction, math.Inf(1)
	case s.isLight(rg):
		return sharedControllerFraction, lightChanceFraction
	}
	return sharedControllerFraction, heavyChanceFraction
}

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
	soleControllerFraction   = 0.7  // limit of the only controller
	sharedControllerFraction = 0.33 // limit of each of several controllers
	lightChanceFraction      = 0.3  // sum of the chances of light queries
	heavyChanceFraction      = 0.1  // sum of the chances of heavy queries

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

// warmupCapacity returns the fraction of its capacity that an engine has at least. While the engine
// warms up, the fraction rises linearly to 1.
func (s *Scheduler) warmupCapacity(e *engine) float64 {
	if s.now >= e.warmupEndsAt {
		return 1
	}
	initial := s.settings.SlowStartInitialCapacity
	age, duration := max(0, s.now-e.warmupStartedAt), max(minSlowStartDuration, s.settings.SlowStartDuration)
	return initial + (1-initial)*min(1, age.Seconds()/duration.Seconds())
}

// prefersWarmingEngine returns whether a warming engine that slow start allows is chosen over
// others. Among many controllers, drawing from all engines would leave a warming engine almost
// without queries while warm engines are full. Heavy queries are still drawn from all engines,
// because a warming engine can take only one or two of them in a window and several controllers may
// send at once. So are queries of groups whose work isn't known.
func (s *Scheduler) prefersWarmingEngine(q *query, e *engine) bool {
	return s.now < e.warmupEndsAt && s.settings.ControllerCount > 1 && s.isLight(q.group) &&
		q.group.workSeconds.count >= minSamplesOfKnownGroup
}

// slowStartAllows returns whether a query may be sent to a warming engine. It keeps all controllers
// together within what the engine can take, for any number of controllers and any distribution of
// traffic. Each query has a chance of being allowed, drawn from its sequence number and the engine's
// id. If every allowed query were sent to the engine, their work would add up to chanceFraction of
// the engine's limit. A limit on the controller's own work in a window restrains the busiest
// controller.
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
	// With few samples, the mean work is unreliable, so that it is raised: at least to the work of an
	// unknown group, and further the fewer samples there are.
	work = max(work, q.group.defaultWorkSeconds()) * (1 + 1/math.Sqrt(max(1, q.group.workSeconds.count)))
	return draw < chance && e.slowStartWorkSince(s.now-window)+work <= controllerFraction*limit
}

// slowStartFractions returns the fractions of an engine's limit that this controller may send, and
// to which the chances of all queries add up.
func (s *Scheduler) slowStartFractions(rg *resourceGroup) (own, chance float64) {
	switch {
	case s.settings.ControllerCount <= 1:
		return soleControllerFraction, math.Inf(1)
	case s.isLight(rg):
		return sharedControllerFraction, lightChanceFraction
	}
	return sharedControllerFraction, heavyChanceFraction
}

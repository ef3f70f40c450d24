package scheduler

import (
	"math"
	"time"
)

const (
	nominalUtilization = 0.85            // of its cores that an engine's work is taken at
	leastSlowStart     = 1 * time.Second // over which an engine warms up

	// Parts of what a warming engine may be sent in a window: what one controller sends at most,
	// and what all send in sum by the chances of their queries.
	ownPartAlone      = 0.7 // the only controller
	ownPartAmongMany  = 0.33
	chancePartOfLight = 0.3
	chancePartOfHeavy = 0.1

	samplesOfKnownGroup = 10  // queries from which on a group's work is known
	leastRecentWork     = 0.1 // seconds, against a division by 0

	hashFactorOfQuery = 2654435761 // spread the draws of successive queries evenly
	hashFactorOfDraw  = 2246822519
)

// engineRestarted: a new process under a known id. What was learned is void; it warms up from its
// start on.
func (s *Scheduler) engineRestarted(e *engine, started time.Duration) {
	e.forgetLearned(s.now)
	e.startedAt = started
	e.warmingFrom = started
	e.warmingUntil = max(e.warmingUntil, started+s.settings.SlowStartDuration)
}

// warmCapacity is the part of its capacity that an engine has at least: it rises evenly.
func (s *Scheduler) warmCapacity(e *engine) float64 {
	if s.now >= e.warmingUntil {
		return 1
	}
	from := s.settings.SlowStartInitialCapacity
	age, span := max(0, s.now-e.warmingFrom), max(leastSlowStart, s.settings.SlowStartDuration)
	return from + (1-from)*min(1, age.Seconds()/span.Seconds())
}

// prefersWarmingEngine: among many controllers, a warming engine that a light query's chance allows
// gets the query; drawn for among all others besides, next to nothing would go there while warm
// engines are full. Heavy queries are drawn for, as it stands one or two in a window and several
// controllers may send at once; so are groups that little is known of.
func (s *Scheduler) prefersWarmingEngine(q *query, e *engine) bool {
	return s.now < e.warmingUntil && s.settings.ControllerCount > 1 && s.isLight(q.group) &&
		q.group.workSeconds.count >= samplesOfKnownGroup
}

// slowStartAllows keeps all controllers together under what a warming engine stands, however many
// they are and however unevenly traffic lies. Each query may go there by a chance, drawn from its
// number and the engine's id, that in sum, were all that may to go, makes a part of the limit; and
// the controller's own sum in a window holds the busiest.
func (s *Scheduler) slowStartAllows(q *query, e *engine) bool {
	window := s.settings.SlowStartWindow
	limit := s.settings.SlowStartWorkFactor * s.warmCapacity(e) * nominalUtilization * e.cores * window.Seconds()
	ownPart, chancePart := s.slowStartParts(q.group)
	work := s.usualWorkSeconds(q.group)
	// the fleet does at most its cores' work; of that, so much is of this group
	ofGroup := work * q.group.recentArrivals / max(leastRecentWork, s.recentWorkSeconds)
	chance := chancePart * limit / window.Seconds() / (max(1, s.activeCores) * ofGroup)
	draw := float64((uint32(q.seq)*hashFactorOfQuery^e.hash)*hashFactorOfDraw>>8) / (1 << 24)
	// a few that were small say little: no less than would be guessed of a group not known yet
	work = max(work, q.group.defaultWorkSeconds()) * (1 + 1/math.Sqrt(max(1, q.group.workSeconds.count)))
	return draw < chance && e.slowStartWorkSince(s.now-window)+work <= ownPart*limit
}

// slowStartParts are the parts of the limit for one controller's sum and for all queries' chances.
func (s *Scheduler) slowStartParts(rg *resourceGroup) (own, chance float64) {
	switch {
	case s.settings.ControllerCount <= 1:
		return ownPartAlone, math.Inf(1)
	case s.isLight(rg):
		return ownPartAmongMany, chancePartOfLight
	}
	return ownPartAmongMany, chancePartOfHeavy
}

package scheduler

import (
	"slices"
	"strconv"

	"railrelay.dev/railrelay/internal/settings"
)

// submit sends a query to an engine if the rules allow it. Every attempt is sent by submit.
func (s *Scheduler) submit(q *query, e *engine) bool {
	if !s.maySend(q) || !s.maySendTo(q, e) {
		return false
	}
	s.updateLimits(q)
	q.group.recentThreadSeconds += s.estimatedSoloSeconds(q) * q.group.threads
	s.recordAttempt(q, e)
	s.actions.SendAttempt(q.id, e.id, q.deadline-s.now)
	return true
}

// maySend checks the rules that don't depend on the engine.
func (s *Scheduler) maySend(q *query) bool {
	queue := s.keyQueueOf(q)
	switch {
	case q.ended || s.now >= q.deadline: // rule 1: nothing is sent after the answer or the deadline
		return false
	case q.inFlight > 0 && !s.settings.HedgingAllowed || !s.retryAllowed(q): // rule 2: no second effect
		return false
	case queue != nil && queue.queries[0] != q: // rule 5: queries of a key run in order
		return false
	case queue != nil && s.now < queue.cooldownUntil && queue.cooldownQuery != q:
		return false
	}
	return len(q.attempts) == 0 || s.retryBudgetLeft() // rule 7: retry budget
}

// maySendTo checks the rules that depend on the engine.
func (s *Scheduler) maySendTo(q *query, e *engine) bool {
	rg := q.group
	switch {
	case e.state != EngineActive: // rule 3: nothing is sent to a draining engine, not even in its grace period
		return false
	case // rule 6: only locations and kinds of engine that the query and its group allow
		q.allowedLocations != nil && !slices.Contains(q.allowedLocations, strconv.Itoa(e.location)),
		len(rg.kinds) > 0 && !slices.Contains(rg.kinds, strconv.Itoa(e.kind)):
		return false
	}
	for _, a := range q.attemptsThatMayHaveRun() { // rule 2: a key is known only in its scope
		if rg.effect != settings.ReadOnly && !rg.sharesKeys(a.engine, e) {
			return false
		}
	}
	return s.now >= e.warmupEndsAt || s.slowStartAllows(q, e) // rule 4: slow start
}

// sharesKeys returns whether two engines share their idempotency keys.
func (rg *resourceGroup) sharesKeys(a, b *engine) bool {
	switch {
	case a == b:
		return true
	case rg.keyScope == settings.ScopeLocation:
		return a.location == b.location
	case rg.keyScope == settings.ScopeCell:
		return a.cell == b.cell
	}
	return rg.keyScope == settings.ScopeAll
}

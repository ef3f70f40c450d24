package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	healthChecksPerQuery  = 1.5 // tokens that an arrival brings
	maxHealthCheckTokens  = 6
	healthCheckWait       = 50 * time.Millisecond  // that a query waits for the load reports it asked for
	healthCheckAgainAfter = 250 * time.Millisecond // for one query, or a part of its group's timeout:
	timeoutParts          = 6
	healthCheckLostAfter  = 300 * time.Millisecond // from which on another may be sent
	healthCheckFailedRest = 2 * time.Second        // for which an engine that did not answer is left alone
	wantedEngines         = 2                      // with capacity, among which a query is drawn
	wantedForLight        = 1
	unseenTriedBlind      = 4 // engines at most that are taken as seen once there are no tokens

	// What should have been heard of an attempt by now, in seconds: a fixed part, and so many of
	// the times that it should take.
	quietFixedSeconds  = 0.6
	quietExpectedTimes = 3
	unresponsiveAfter  = 500 * time.Millisecond // of that
	unresponsiveRest   = 2 * time.Second

	lateFixedSeconds     = 0.3 // without notes: late after this and its expected time,
	stalledExpectedTimes = 4   // stalled after this and so many of it
	idleUtilizationPart  = 0.5 // of the mean utilization: below it an engine with a late attempt stalls
	lostNoteSlowdownPart = 0.1 // that a missed note moves an engine's slowdown towards its most
	lostNoteLoadSpan     = 10 * time.Second
	newProcessAfter      = 4 * time.Second // unresponsive for longer, an engine may be a new process
)

// awaitHealthChecks has some unseen engines report their load before a query is sent, where too
// few are known to have capacity; it tells whether the query waits for that. Among many controllers
// one's own attempts tell nothing of an engine. Without tokens a few are taken as seen.
func (s *Scheduler) awaitHealthChecks(q *query, c *candidates) bool {
	wanted := wantedEngines
	if s.isLight(q.group) {
		wanted = wantedForLight
	}
	if len(c.preferred) > 0 || len(c.clear) >= wanted || len(c.unseen) == 0 {
		return false
	}
	waiting := slices.ContainsFunc(q.healthChecked, func(e *engine) bool { return e.healthCheckInFlight })
	if waiting && s.now < q.healthCheckedAt+healthCheckWait {
		return true
	}
	s.rng.shuffle(c.unseen)
	slices.SortStableFunc(c.unseen, func(a, b *engine) int {
		return cmp.Compare(s.distance(q, a), s.distance(q, b))
	})
	again := s.now > q.healthCheckedAt+capped(healthCheckAgainAfter, q.group.timeout/timeoutParts)
	if s.healthCheckTokens >= 1 && (q.healthChecked == nil || len(c.clear) == 0 && again) {
		s.checkUnseen(q, c, wanted)
		if len(q.healthChecked) > 0 {
			return true
		}
	}
	for i := 0; len(c.clear) == 0 && s.healthCheckTokens < 1 && i < len(c.unseen) && i < unseenTriedBlind; i++ {
		s.classify(q, c.unseen[i], c)
	}
	return false
}

// checkUnseen sends health checks to as many unseen engines as are wanted and paid for.
func (s *Scheduler) checkUnseen(q *query, c *candidates, wanted int) {
	q.healthChecked = nil
	q.healthCheckedAt = s.now
	for _, e := range c.unseen {
		if len(c.clear)+len(q.healthChecked) < wanted && s.healthCheckTokens >= 1 && s.allowed(q, e) {
			s.healthCheckTokens--
			s.sendHealthCheck(e)
			q.healthChecked = append(q.healthChecked, e)
		}
	}
}

// earnHealthChecks: each arrival pays for some health checks, and few are saved up.
func (s *Scheduler) earnHealthChecks() {
	s.healthCheckTokens = min(s.healthCheckTokens+healthChecksPerQuery, maxHealthCheckTokens)
}

func (s *Scheduler) sendHealthCheck(e *engine) {
	if !s.settings.HealthChecksAllowed {
		return
	}
	if e.healthCheckInFlight && s.now-e.healthCheckSentAt <= healthCheckLostAfter {
		return
	}
	e.healthCheckInFlight = true
	e.healthCheckSentAt = s.now
	s.recentHealthChecks++
	s.actions.CheckHealth(e.id)
}

// healthCheckFailed leaves an engine alone that crashed, stalls or is cut off: the endpoint list
// tells of it late, if at all.
func (s *Scheduler) healthCheckFailed(e *engine) {
	e.report = nil
	e.ejectedUntil = max(e.ejectedUntil, s.now+healthCheckFailedRest)
}

// engineResponded notes a sign of life. After a long silence it may be a new process that the list
// doesn't name yet, and gets a slow start as one.
func (s *Scheduler) engineResponded(e *engine) {
	if e.unresponsive && s.now-e.lastResponseAt > newProcessAfter {
		e.warmingFrom = s.now
		e.warmingUntil = max(e.warmingUntil, s.now+s.settings.SlowStartDuration)
		s.actions.Log("engine " + e.id + " heard again, taken as cold")
	}
	e.unresponsive = false
	e.lastResponseAt = s.now
}

// checkAttempt looks for signs that an attempt in flight is lost: an unresponsive engine, a
// stalled attempt, a missed note, an engine that nothing was heard of. This covers machines that
// are gone, cut links and long stalls.
func (s *Scheduler) checkAttempt(e *engine, a *attempt) {
	period := s.settings.NotePeriod
	running := (s.now - a.sentAt).Seconds()
	quiet := s.now - max(a.sentAt, e.lastResponseAt)
	quietLimit := s.quietLimit(a)
	switch {
	case e.unresponsive:
		s.moveOrReject(a, noEndInSight)
	case period <= 0 && running > lateFixedSeconds+stalledExpectedTimes*s.expectedSeconds(a.query):
		s.attemptStalled(a)
	case period <= 0 && s.healthChecksReportLoad && !s.settings.ReportsCountQueries &&
		running > lateFixedSeconds+s.expectedSeconds(a.query):
		s.checkIdleEngine(e, a)
	case period > 0 && !a.blocked && s.now-max(a.sentAt, a.lastNoteAt) > noteExpectedWithin(period):
		s.noteMissed(e, a)
	case quiet > quietLimit+unresponsiveAfter:
		e.unresponsive = true
		e.ejectedUntil = s.now + unresponsiveRest
		s.actions.Log("engine " + e.id + " silent, queries out: " + strconv.Itoa(len(e.inFlight)))
	case quiet > quietLimit:
		s.sendHealthCheck(e) // a busy engine still answers this; only a stalled or lost one doesn't
	}
}

// quietLimit is how long an attempt's engine may be quiet: in that time its quickest attempt should
// have ended, or a note is sure to come, if that is sooner or no health check may tell before.
func (s *Scheduler) quietLimit(a *attempt) time.Duration {
	limit := seconds(quietFixedSeconds + quietExpectedTimes*s.expectedSeconds(a.query))
	period := s.settings.NotePeriod
	if period <= 0 {
		return limit
	}
	if note := noteExpectedWithin(period); note < limit || !s.settings.HealthChecksAllowed {
		return note
	}
	return limit
}

// checkIdleEngine asks the engine of a late attempt for its load: idle beside others it stalls.
func (s *Scheduler) checkIdleEngine(e *engine, a *attempt) {
	if !s.utilizationKnown(e) || e.reportAt < a.sentAt {
		s.sendHealthCheck(e)
	} else if e.report[reportCores] < idleUtilizationPart*s.reportedUtilization.value {
		s.attemptStalled(a)
	}
}

// noteMissed: others there are answered and this one isn't. It was lost; or what it reads hangs,
// if nothing that reads the same came back.
func (s *Scheduler) noteMissed(e *engine, a *attempt) {
	a.blocked = true
	e.slowdown += (maxEngineSlowdown - e.slowdown) * lostNoteSlowdownPart
	if e.lastFinishOfTables[a.query.tables] <= a.sentAt {
		s.blockedByLoad(a, lostNoteLoadSpan)
	}
	s.moveOrReject(a, noEndInSight)
}

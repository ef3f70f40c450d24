package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	healthCheckTokensPerArrival = 1.5 // tokens that an arrival brings
	maxHealthCheckTokens        = 6
	maxHealthCheckWait          = 50 * time.Millisecond  // that a query waits for the load reports it asked for
	healthCheckRetryDelay       = 250 * time.Millisecond // for one query, or a part of its group's timeout:
	timeoutDivisor              = 6
	healthCheckLostTimeout      = 300 * time.Millisecond // from which on another may be sent
	failedHealthCheckCooldown   = 2 * time.Second        // for which an engine that did not answer is left alone
	wantedCandidates            = 2                      // with capacity, among which a query is drawn
	wantedCandidatesForLight    = 1
	maxUnreportedTried          = 4 // engines at most that are taken as seen once there are no tokens

	// What should have been heard of an attempt by now, in seconds: a fixed part, and so many of
	// the times that it should take.
	silenceBaseSeconds    = 0.6
	silenceExpectedFactor = 3
	unresponsiveGrace     = 500 * time.Millisecond // of that
	unresponsiveCooldown  = 2 * time.Second

	lateGraceSeconds         = 0.3 // without notes: late after this and its expected time,
	stalledExpectedFactor    = 4   // stalled after this and so many of it
	idleUtilizationFraction  = 0.5 // of the mean utilization: below it an engine with a late attempt stalls
	missedNoteSlowdownWeight = 0.1 // that a missed note moves an engine's slowdown towards its most
	missedNoteAvoidance      = 10 * time.Second
	assumedRestartAfter      = 4 * time.Second // unresponsive for longer, an engine may be a new process
)

// awaitHealthChecks has some unseen engines report their load before a query is sent, where too
// few are known to have capacity; it tells whether the query waits for that. Among many controllers
// one's own attempts tell nothing of an engine. Without tokens a few are taken as seen.
func (s *Scheduler) awaitHealthChecks(q *query, c *candidates) bool {
	wanted := wantedCandidates
	if s.isLight(q.group) {
		wanted = wantedCandidatesForLight
	}
	if len(c.preferred) > 0 || len(c.withCapacity) >= wanted || len(c.unreported) == 0 {
		return false
	}
	waiting := slices.ContainsFunc(q.checkedEngines, func(e *engine) bool { return e.healthCheckInFlight })
	if waiting && s.now < q.checkedAt+maxHealthCheckWait {
		return true
	}
	s.rng.shuffleHead(c.unreported)
	slices.SortStableFunc(c.unreported, func(a, b *engine) int {
		return cmp.Compare(s.distance(q, a), s.distance(q, b))
	})
	mayRetry := s.now > q.checkedAt+capAt(healthCheckRetryDelay, q.group.timeout/timeoutDivisor)
	if s.healthCheckTokens >= 1 && (q.checkedEngines == nil || len(c.withCapacity) == 0 && mayRetry) {
		s.checkUnreported(q, c, wanted)
		if len(q.checkedEngines) > 0 {
			return true
		}
	}
	for i := 0; len(c.withCapacity) == 0 && s.healthCheckTokens < 1 &&
		i < len(c.unreported) && i < maxUnreportedTried; i++ {
		s.classify(q, c.unreported[i], c)
	}
	return false
}

// checkUnseen sends health checks to as many unseen engines as are wanted and paid for.
func (s *Scheduler) checkUnreported(q *query, c *candidates, wanted int) {
	q.checkedEngines = nil
	q.checkedAt = s.now
	for _, e := range c.unreported {
		if len(c.withCapacity)+len(q.checkedEngines) < wanted && s.healthCheckTokens >= 1 && s.maySendTo(q, e) {
			s.healthCheckTokens--
			s.sendHealthCheck(e)
			q.checkedEngines = append(q.checkedEngines, e)
		}
	}
}

// earnHealthChecks: each arrival pays for some health checks, and few are saved up.
func (s *Scheduler) addHealthCheckTokens() {
	s.healthCheckTokens = min(s.healthCheckTokens+healthCheckTokensPerArrival, maxHealthCheckTokens)
}

func (s *Scheduler) sendHealthCheck(e *engine) {
	if !s.settings.HealthChecksAllowed {
		return
	}
	if e.healthCheckInFlight && s.now-e.healthCheckSentAt <= healthCheckLostTimeout {
		return
	}
	e.healthCheckInFlight = true
	e.healthCheckSentAt = s.now
	s.recentHealthChecks++
	s.actions.CheckHealth(e.id)
}

// healthCheckFailed leaves an engine alone that crashed, stalls or is cut off: the endpoint list
// tells of it late, if at all.
func (s *Scheduler) handleFailedHealthCheck(e *engine) {
	e.report = nil
	e.ejectedUntil = max(e.ejectedUntil, s.now+failedHealthCheckCooldown)
}

// engineResponded notes a sign of life. After a long silence it may be a new process that the list
// doesn't name yet, and gets a slow start as one.
func (s *Scheduler) engineResponded(e *engine) {
	if e.unresponsive && s.now-e.lastResponseAt > assumedRestartAfter {
		e.warmupStartedAt = s.now
		e.warmupEndsAt = max(e.warmupEndsAt, s.now+s.settings.SlowStartDuration)
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
	silence := s.now - max(a.sentAt, e.lastResponseAt)
	silenceLimit := s.silenceLimit(a)
	switch {
	case e.unresponsive:
		s.moveOrReject(a, neverFinishes)
	case period <= 0 && running > lateGraceSeconds+stalledExpectedFactor*s.expectedSeconds(a.query):
		s.attemptStalled(a)
	case period <= 0 && s.healthChecksReportLoad && !s.settings.ReportsCountQueries &&
		running > lateGraceSeconds+s.expectedSeconds(a.query):
		s.checkIdleEngine(e, a)
	case period > 0 && !a.blocked && s.now-max(a.sentAt, a.lastNoteAt) > noteTimeout(period):
		s.handleMissedNote(e, a)
	case silence > silenceLimit+unresponsiveGrace:
		e.unresponsive = true
		e.ejectedUntil = s.now + unresponsiveCooldown
		s.actions.Log("engine " + e.id + " silent, queries out: " + strconv.Itoa(len(e.inFlight)))
	case silence > silenceLimit:
		s.sendHealthCheck(e) // a busy engine still answers this; only a stalled or lost one doesn't
	}
}

// quietLimit is how long an attempt's engine may be quiet: in that time its quickest attempt should
// have ended, or a note is sure to come, if that is sooner or no health check may tell before.
func (s *Scheduler) silenceLimit(a *attempt) time.Duration {
	limit := seconds(silenceBaseSeconds + silenceExpectedFactor*s.expectedSeconds(a.query))
	period := s.settings.NotePeriod
	if period <= 0 {
		return limit
	}
	if noteLimit := noteTimeout(period); noteLimit < limit || !s.settings.HealthChecksAllowed {
		return noteLimit
	}
	return limit
}

// checkIdleEngine asks the engine of a late attempt for its load: idle beside others it stalls.
func (s *Scheduler) checkIdleEngine(e *engine, a *attempt) {
	if !s.utilizationKnown(e) || e.reportAt < a.sentAt {
		s.sendHealthCheck(e)
	} else if e.report[reportBusyCores] < idleUtilizationFraction*s.reportedUtilization.value {
		s.attemptStalled(a)
	}
}

// noteMissed: others there are answered and this one isn't. It was lost; or what it reads hangs,
// if nothing that reads the same came back.
func (s *Scheduler) handleMissedNote(e *engine, a *attempt) {
	a.blocked = true
	e.slowdown += (maxEngineSlowdown - e.slowdown) * missedNoteSlowdownWeight
	if e.lastFinishByTables[a.query.tables] <= a.sentAt {
		s.handleBlockedByLoad(a, missedNoteAvoidance)
	}
	s.moveOrReject(a, neverFinishes)
}

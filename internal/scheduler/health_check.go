package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	healthCheckTokensPerArrival = 1.5 // tokens added by an arriving query
	maxHealthCheckTokens        = 6
	maxHealthCheckWait          = 50 * time.Millisecond  // longest wait of a query for load reports
	healthCheckRetryDelay       = 250 * time.Millisecond // until a query without capacity sends checks again
	timeoutDivisor              = 6                      // limits delays to the group's timeout divided by it
	healthCheckLostTimeout      = 300 * time.Millisecond // after which another health check may be sent
	failedHealthCheckCooldown   = 2 * time.Second        // ejection time of an engine that didn't answer
	wantedCandidates            = 2                      // known engines with capacity that suffice
	wantedCandidatesForLight    = 1                      // the same for a light query
	maxUnreportedTried          = 4                      // engines without a report, tried without tokens

	// The silence limit of an attempt's engine: a fixed part, in seconds, and a multiple of the
	// attempt's expected run time.
	silenceBaseSeconds    = 0.6
	silenceExpectedFactor = 3
	unresponsiveGrace     = 500 * time.Millisecond // from the silence limit until an engine is unresponsive
	unresponsiveCooldown  = 2 * time.Second

	// Without notes, an attempt is late after its expected run time and a grace period, and stalled
	// after a multiple of its expected run time and the same grace period.
	lateGraceSeconds         = 0.3
	stalledExpectedFactor    = 4
	idleUtilizationFraction  = 0.5              // of the mean utilization: an engine below it is idle
	missedNoteSlowdownWeight = 0.1              // weight of maxEngineSlowdown in an engine's new slowdown
	missedNoteAvoidance      = 10 * time.Second // time for which queries on the same tables avoid the engine
	assumedRestartAfter      = 4 * time.Second  // silence after which an engine may be a new process
)

// awaitHealthChecks returns whether a query waits for load reports, and requests them if too few
// engines are known to have capacity. Among many controllers, a controller's own attempts don't
// show how full an engine is. A query waits for the reports for at most maxHealthCheckWait. It requests
// reports once, and again after healthCheckRetryDelay while no engine is known to have capacity.
//
// Each health check uses up a token, and arriving queries add tokens. If no token is left and no
// engine is known to have capacity, the utilization of a few engines without a report is estimated
// instead, and they are added to the candidates.
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

// checkUnreported sends health checks to engines without a report until the wanted number of engines
// is known to have capacity or is being checked, or no token is left.
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

// addHealthCheckTokens adds the tokens of one arrival. The number of saved tokens is limited.
func (s *Scheduler) addHealthCheckTokens() {
	s.healthCheckTokens = min(s.healthCheckTokens+healthCheckTokensPerArrival, maxHealthCheckTokens)
}

// sendHealthCheck sends a health check to an engine if health checks are allowed. It does nothing while
// an earlier check is in flight, unless that one is old enough to be lost.
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

// handleFailedHealthCheck ejects an engine that crashed, hangs or is disconnected. The endpoint list
// may show such a failure late or never.
func (s *Scheduler) handleFailedHealthCheck(e *engine) {
	e.report = nil
	e.ejectedUntil = max(e.ejectedUntil, s.now+failedHealthCheckCooldown)
}

// engineResponded records that an engine is alive. After a long silence the engine may be a new
// process that the endpoint list doesn't show yet, so that it gets a slow start.
func (s *Scheduler) engineResponded(e *engine) {
	if e.unresponsive && s.now-e.lastResponseAt > assumedRestartAfter {
		e.warmupStartedAt = s.now
		e.warmupEndsAt = max(e.warmupEndsAt, s.now+s.settings.SlowStartDuration)
		s.actions.Log("engine " + e.id + " responds again after a long silence; treating it as a new process")
	}
	e.unresponsive = false
	e.lastResponseAt = s.now
}

// checkAttempt looks for a sign that an attempt in flight is lost: an unresponsive engine, a run time far
// above the expected one, an idle engine or a missing note. It then moves or rejects the query. An
// engine that is silent for too long gets health checks first, and counts as unresponsive after
// unresponsiveGrace. The causes are lost machines, broken connections and long stalls.
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
		s.actions.Log("engine " + e.id + " is unresponsive; attempts in flight: " + strconv.Itoa(len(e.inFlight)))
	case silence > silenceLimit:
		s.sendHealthCheck(e) // a busy engine still answers a health check; a stalled or lost one doesn't
	}
}

// silenceLimit returns how long the engine of an attempt may be silent: the time in which the attempt
// should have ended, or the time in which a note should arrive if that is shorter or if health checks
// aren't allowed.
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

// checkIdleEngine requests a load report from the engine of a late attempt. If the engine is idle
// while other engines are busy, the attempt has stalled.
func (s *Scheduler) checkIdleEngine(e *engine, a *attempt) {
	if !s.utilizationKnown(e) || e.reportAt < a.sentAt {
		s.sendHealthCheck(e)
	} else if e.report[reportBusyCores] < idleUtilizationFraction*s.reportedUtilization.value {
		s.attemptStalled(a)
	}
}

// handleMissedNote moves an attempt whose note is missing, and raises the engine's slowdown. If no query
// on the same tables has finished on the engine since the attempt was sent, a load is assumed to block
// the tables. Otherwise the attempt was lost.
func (s *Scheduler) handleMissedNote(e *engine, a *attempt) {
	a.blocked = true
	e.slowdown += (maxEngineSlowdown - e.slowdown) * missedNoteSlowdownWeight
	if e.lastFinishByTables[a.query.tables] <= a.sentAt {
		s.handleBlockedByLoad(a, missedNoteAvoidance)
	}
	s.moveOrReject(a, neverFinishes)
}

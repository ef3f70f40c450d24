package scheduler

import (
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/settings"
)

// ListStarted begins an endpoint list.
func (s *Scheduler) ListStarted(now time.Duration, complete bool) {
	s.now = now
	s.listComplete = complete
	s.listedEngines = map[*engine]bool{}
	s.subscribed = s.subscribeSentAt >= 0
}

// EngineListed adds or updates an engine of the endpoint list. The start of its process is used only
// if startKnown is set; a changed start begins a slow start.
func (s *Scheduler) EngineListed(id string, location, kind, cell int, state EngineState,
	started time.Duration, startKnown bool) {
	e := s.enginesByID[id]
	if e == nil {
		e = s.addEngine(id)
	}
	s.listedEngines[e] = true
	if state == EngineRemoved && e.state != EngineRemoved {
		e.removedAt = s.now
	}
	e.location, e.kind, e.cell = location, kind, cell
	e.state = state
	e.isLocal = strconv.Itoa(location) == s.settings.ControllerLocation
	e.cores = max(1, settings.ValueAt(s.settings.KindCores, kind))
	e.memoryCapacityMB = settings.ValueAt(s.settings.KindMemoryMB, kind)
	if e.memoryCapacityMB <= 0 {
		e.memoryCapacityMB = math.Inf(1) // unknown: no limit
	}
	if startKnown && started != e.startedAt {
		s.engineRestarted(e, started)
	}
}

func (s *Scheduler) addEngine(id string) *engine {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	e := &engine{
		id:                 id,
		hash:               hash.Sum32(),
		lastResponseAt:     s.now,
		slowdown:           1,
		lastFinishByTables: map[int64]time.Duration{},
	}
	s.enginesByID[id] = e
	s.engines = append(s.engines, e)
	return e
}

// ListEnded completes an endpoint list. Engines that a complete list doesn't contain are removed.
func (s *Scheduler) ListEnded() {
	for _, e := range s.engines {
		if s.listComplete && !s.listedEngines[e] && e.state != EngineRemoved {
			e.state = EngineRemoved
			e.removedAt = s.now
		}
	}
	s.totalsOutdated = true
	s.finishEvent()
}

// ListRefused records that the requested endpoint list won't be sent. A later tick requests the list
// again.
func (s *Scheduler) ListRefused(now time.Duration) {
	s.now = now
	s.subscribed = false
	s.finishEvent()
}

// QueryArrived admits a query that may be sent to all locations of its group.
func (s *Scheduler) QueryArrived(now time.Duration, id string, group, tenant int, budget time.Duration,
	tables, key int64, work time.Duration, memoryMB float64) {
	s.ConfinedQueryArrived(now, id, group, tenant, budget, tables, key, work, memoryMB, nil)
}

// ConfinedQueryArrived admits a query that may be sent only to engines at some of its group's
// locations, given by their indexes in the settings. With nil it may be sent to all of them, with
// an empty list to none.
func (s *Scheduler) ConfinedQueryArrived(now time.Duration, id string, group, tenant int,
	budget time.Duration,
	tables, key int64, work time.Duration, memoryMB float64, locations []string) {
	s.now = now
	if group < 0 || group >= len(s.groups) {
		s.actions.FailQuery(id)
		return
	}
	s.lastSequence++
	q := &query{
		id:        id,
		group:     s.groups[group],
		tenant:    s.tenantByIndex(tenant),
		tables:    tables,
		key:       key,
		sequence:  s.lastSequence,
		arrivedAt: now,
		deadline:  now + budget,

		workSeconds: work.Seconds(),
		memoryMB:    memoryMB,
		priority:    -1,
	}
	q.confine(locations)
	s.queries[id] = q
	s.arrivals = append(s.arrivals, now)
	s.admit(q)
	s.finishEvent()
}

// ConfineQuery changes the locations to which a query may be sent. An attempt in flight isn't
// affected.
func (s *Scheduler) ConfineQuery(now time.Duration, id string, locations []string) {
	s.now = now
	if q := s.queries[id]; q != nil {
		q.confine(locations)
		s.finishEvent()
	}
}

// AttemptEnded records the end of an attempt. answered tells whether the query's client has an answer.
func (s *Scheduler) AttemptEnded(now time.Duration, id string, number int, outcome Outcome,
	took time.Duration,
	answered bool, work time.Duration, memoryMB float64, report map[string]float64) {
	s.now = now
	a := s.openAttempt(id, number)
	if a == nil {
		return
	}
	a.ended = true
	a.outcome = outcome
	a.query.inFlight--
	a.engine.inFlight = slices.DeleteFunc(a.engine.inFlight, func(x *attempt) bool { return x == a })
	s.adjustInFlight(a, -1)
	s.storeReport(a.engine, report)
	s.handleAttemptEnd(a, took, answered, work.Seconds(), memoryMB)
	s.finishEvent()
}

// handleAttemptEnd learns from the end of an attempt, and ends, retries or rejects its query. Every
// outcome except Cancelled, TimedOut and NeverSent counts as a response of the engine.
func (s *Scheduler) handleAttemptEnd(a *attempt, took time.Duration, answered bool, work, memoryMB float64) {
	q := a.query
	if a.outcome != Cancelled && a.outcome != TimedOut && a.outcome != NeverSent {
		s.engineResponded(a.engine)
	}
	if a.outcome == Finished {
		s.learnFromAnswer(a, took, work, memoryMB)
	}
	s.startKeyCooldown(a)
	if answered || a.outcome == Finished {
		q.group.abandonRate.add(0, abandonRateSamples)
		s.endQuery(q)
	} else if !q.ended {
		s.retryOrReject(a)
	}
	s.releaseEnded(q)
}

// NoteReceived handles an engine's progress note on a running attempt.
func (s *Scheduler) NoteReceived(now time.Duration, id string, number int, kind NoteKind, value float64) {
	s.now = now
	if a := s.openAttempt(id, number); a != nil {
		s.handleNote(a, kind, value)
		s.finishEvent()
	}
}

// AnswerStarted records that the client has received the start of an answer, so that the query
// can't be rejected any more.
func (s *Scheduler) AnswerStarted(now time.Duration, id string) {
	s.now = now
	if q := s.queries[id]; q != nil {
		q.answerStarted = true
	}
}

// ClientLeft ends a query whose client disconnected.
func (s *Scheduler) ClientLeft(now time.Duration, id string) {
	s.now = now
	if q := s.queries[id]; q != nil {
		s.handleClientLeft(q)
		s.finishEvent()
	}
}

// QueryDropped ends a query that the adapter has answered and of which nothing has run. Its client
// hasn't left, so that the patience of clients isn't updated.
func (s *Scheduler) QueryDropped(now time.Duration, id string) {
	s.now = now
	if q := s.queries[id]; q != nil {
		s.endQuery(q)
		s.releaseEnded(q)
		s.finishEvent()
	}
}

// DrainStarted rejects all queries that arrive from now on.
func (s *Scheduler) DrainStarted(now time.Duration) {
	s.now = now
	s.draining = true
}

// SetPaused stops or resumes the dispatch of queries. While it is paused, queries stay in their
// queues and are rejected at their deadlines as usual.
func (s *Scheduler) SetPaused(now time.Duration, paused bool) {
	s.now = now
	if s.paused != paused {
		s.paused = paused
		s.finishEvent()
	}
}

// HealthCheckEnded records the end of a health check, with a load report if the check returned one.
func (s *Scheduler) HealthCheckEnded(now time.Duration, id string, outcome Outcome,
	report map[string]float64) {
	s.now = now
	e := s.enginesByID[id]
	if e == nil {
		return
	}
	e.healthCheckInFlight = false
	if outcome == Finished {
		s.engineResponded(e)
		s.storeReport(e, report)
	} else {
		s.handleFailedHealthCheck(e)
	}
	s.finishEvent()
}

// LoadReported stores a load report that came with neither an answer nor a health check.
func (s *Scheduler) LoadReported(now time.Duration, id string, report map[string]float64) {
	s.now = now
	if e := s.enginesByID[id]; e != nil {
		s.storeReport(e, report)
		s.finishEvent()
	}
}

// TimerFired handles a timer that was set with a tag.
func (s *Scheduler) TimerFired(now time.Duration, tag int) {
	s.now = now
	if tag == timerQueueTag {
		s.timerAt = -1
	} else {
		s.tick()
		s.evictStale()
	}
	s.finishEvent()
}

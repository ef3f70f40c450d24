package scheduler

import (
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/settings"
)

// ListStarted opens an endpoint list.
func (s *Scheduler) ListStarted(now time.Duration, complete bool) {
	s.now = now
	s.listComplete = complete
	s.listedEngines = map[*engine]bool{}
	s.subscribed = s.subscribeSentAt >= 0
}

// EngineListed takes an entry of the endpoint list.
func (s *Scheduler) EngineListed(id string, location, kind, cell int, state EngineState,
	started time.Duration, fresh bool) {
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
	e.local = strconv.Itoa(location) == s.settings.ControllerLocation
	e.cores = max(1, settings.ValueAt(s.settings.KindCores, kind))
	e.memoryCapacityMB = settings.ValueAt(s.settings.KindMemoryMB, kind)
	if e.memoryCapacityMB <= 0 {
		e.memoryCapacityMB = math.Inf(1) // not told: no limit
	}
	if fresh && started != e.startedAt {
		s.engineRestarted(e, started)
	}
}

func (s *Scheduler) addEngine(id string) *engine {
	h := fnv.New32a()
	h.Write([]byte(id))
	e := &engine{
		id:                 id,
		hash:               h.Sum32(),
		lastResponseAt:     s.now,
		slowdown:           1,
		lastFinishOfTables: map[int64]time.Duration{},
	}
	s.enginesByID[id] = e
	s.engines = append(s.engines, e)
	return e
}

// ListEnded closes an endpoint list; engines that a complete one leaves out are gone.
func (s *Scheduler) ListEnded() {
	for _, e := range s.engines {
		if s.listComplete && !s.listedEngines[e] && e.state != EngineRemoved {
			e.state = EngineRemoved
			e.removedAt = s.now
		}
	}
	s.totalsStale = true
	s.finishEvent()
}

// ListRefused tells that no list comes for what was asked; it is asked for again later.
func (s *Scheduler) ListRefused(now time.Duration) {
	s.now = now
	s.subscribed = false
	s.finishEvent()
}

// QueryArrived takes a query that may be sent to all locations of its group.
func (s *Scheduler) QueryArrived(now time.Duration, id string, group, tenant int, budget time.Duration,
	tables, key int64, work time.Duration, memoryMB float64) {
	s.ConfinedQueryArrived(now, id, group, tenant, budget, tables, key, work, memoryMB, nil)
}

// ConfinedQueryArrived takes a query that may only be sent to engines at some of its group's
// locations, by their places in the settings; nil: at all of them, empty: at none.
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
		tenant:    s.tenant(tenant),
		tables:    tables,
		key:       key,
		seq:       s.lastSequence,
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

// ConfineQuery changes where a query may be sent; an attempt in flight stays where it is.
func (s *Scheduler) ConfineQuery(now time.Duration, id string, locations []string) {
	s.now = now
	if q := s.queries[id]; q != nil {
		q.confine(locations)
		s.finishEvent()
	}
}

// AttemptEnded takes the end of an attempt; answered says that its query was answered with it.
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
	s.countAttempt(a, -1)
	s.storeReport(a.engine, report)
	s.handleAttemptEnd(a, took, answered, work.Seconds(), memoryMB)
	s.finishEvent()
}

// handleAttemptEnd learns from the end of an attempt, and ends, retries or rejects its query.
func (s *Scheduler) handleAttemptEnd(a *attempt, took time.Duration, answered bool, work, memoryMB float64) {
	q := a.query
	if a.outcome != Cancelled && a.outcome != TimedOut && a.outcome != NeverSent {
		s.engineResponded(a.engine)
	}
	if a.outcome == Finished {
		s.learnFromAnswer(a, took, work, memoryMB)
	}
	s.restKey(a)
	if answered || a.outcome == Finished {
		q.group.abandonRate.add(0, abandonSamples)
		s.end(q)
	} else if !q.ended {
		s.retryOrReject(a)
	}
	s.releaseEnded(q)
}

// NoteReceived takes an engine's note on a running attempt.
func (s *Scheduler) NoteReceived(now time.Duration, id string, number int, kind NoteKind, x float64) {
	s.now = now
	if a := s.openAttempt(id, number); a != nil {
		s.handleNote(a, kind, x)
		s.finishEvent()
	}
}

// AnswerStarted tells that an answer has begun to reach the client: it can't be rejected any more.
func (s *Scheduler) AnswerStarted(now time.Duration, id string) {
	s.now = now
	if q := s.queries[id]; q != nil {
		q.answerStarted = true
	}
}

// ClientLeft tells that a query's client disconnected.
func (s *Scheduler) ClientLeft(now time.Duration, id string) {
	s.now = now
	if q := s.queries[id]; q != nil {
		s.clientGone(q)
		s.finishEvent()
	}
}

// QueryDropped tells that a query was answered by its adapter, and nothing of it has run. Its
// client has not left, so nothing is learned of how long clients wait.
func (s *Scheduler) QueryDropped(now time.Duration, id string) {
	s.now = now
	if q := s.queries[id]; q != nil {
		s.end(q)
		s.releaseEnded(q)
		s.finishEvent()
	}
}

// DrainStarted has all queries rejected that arrive from now on.
func (s *Scheduler) DrainStarted(now time.Duration) {
	s.now = now
	s.draining = true
}

// SetPaused has nothing dispatched while it is on: queries wait in their queues, and are rejected at
// the end of their time as ever.
func (s *Scheduler) SetPaused(now time.Duration, on bool) {
	s.now = now
	if s.paused != on {
		s.paused = on
		s.finishEvent()
	}
}

// HealthCheckEnded takes the end of a health check, with a load report if it brought one.
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
		s.healthCheckFailed(e)
	}
	s.finishEvent()
}

// LoadReported takes a load report that was not asked for.
func (s *Scheduler) LoadReported(now time.Duration, id string, report map[string]float64) {
	s.now = now
	if e := s.enginesByID[id]; e != nil {
		s.storeReport(e, report)
		s.finishEvent()
	}
}

// TimerFired takes a wake that was asked for, with its tag.
func (s *Scheduler) TimerFired(now time.Duration, tag int) {
	s.now = now
	if tag == timersTag {
		s.wakeAt = -1
	} else {
		s.tick()
		s.evictStale()
	}
	s.finishEvent()
}

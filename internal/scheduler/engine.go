package scheduler

import "time"

// engine is one engine as this controller sees it. Amounts in flight are the controller's own.
type engine struct {
	id   string
	hash uint32 // of the id, for draws that are the same at each start

	// As listed.
	location, kind, cell int
	isLocal              bool // in the controller's own location
	state                EngineState
	removedAt            time.Duration
	startedAt            time.Duration
	cores                float64
	memoryCapacityMB     float64 // infinite if not told

	// Attempts in flight.
	inFlight         []*attempt
	threadsInFlight  float64
	memoryInFlightMB float64

	// The last load report, nil if it holds no more, and what was in flight with it.
	report                   map[string]float64
	reportAt                 time.Duration
	threadsInFlightAtReport  float64
	memoryInFlightAtReportMB float64

	// Health.
	lastResponseAt       time.Duration
	unresponsive         bool
	healthCheckInFlight  bool
	healthCheckSentAt    time.Duration
	rejectedAt           time.Duration // when it last rejected a query
	ejectedUntil         time.Duration // gets no query until then
	consecutiveEjections int           // with no answer between them
	slowdown             float64       // of its answers over the best of their groups
	lastFinishAt         time.Duration
	lastFinishByTables   map[int64]time.Duration // of a query of these tables
	loadRunningUntil     map[int64]time.Duration // tables on which a load was noted

	// Slow start.
	warmupStartedAt time.Duration
	warmupEndsAt    time.Duration
	slowStartSends  []sentWork
}

// sentWork is work, in thread seconds, that was sent to an engine while it warms up.
type sentWork struct {
	at   time.Duration
	work float64
}

// slowStartWorkSince is the work sent to a warming engine since a time.
func (e *engine) slowStartWorkSince(since time.Duration) (sum float64) {
	for len(e.slowStartSends) > 0 && e.slowStartSends[0].at <= since {
		e.slowStartSends = e.slowStartSends[1:]
	}
	for _, sent := range e.slowStartSends {
		sum += sent.work
	}
	return sum
}

// markLoadRunning has queries of these tables avoid the engine until a time.
func (e *engine) markLoadRunning(tables int64, until time.Duration) {
	if e.loadRunningUntil == nil {
		e.loadRunningUntil = map[int64]time.Duration{}
	}
	e.loadRunningUntil[tables] = until
}

// forgetLearned drops what was learned of a process that is gone.
func (e *engine) resetLearnedState(now time.Duration) {
	e.slowdown = 1
	e.unresponsive = false
	e.report = nil
	e.loadRunningUntil = nil
	e.lastResponseAt = now
}

// storeReport keeps what an engine reports, and what was in flight with it.
func (s *Scheduler) storeReport(e *engine, report map[string]float64) {
	if len(report) == 0 {
		return
	}
	e.report = report
	e.reportAt = s.now
	e.threadsInFlightAtReport = e.threadsInFlight
	e.memoryInFlightAtReportMB = e.memoryInFlightMB
	s.learnFromReport(e, report)
}

// totals are sums over the controller's attempts on active engines that don't warm up.
type totals struct {
	threads  float64
	memoryMB float64
	attempts float64
	cores    float64 // of those engines
}

// activeEngines lists the engines that the list has as active.
func (s *Scheduler) activeEngines() []*engine {
	if !s.totalsOutdated {
		return s.activeList
	}
	s.totalsOutdated = false
	s.activeList = s.activeList[:0]
	s.totals = totals{}
	s.warmEngines = 0
	s.activeCores = 0
	for _, e := range s.engines {
		if e.state != EngineActive {
			continue
		}
		s.activeList = append(s.activeList, e)
		s.activeCores += e.cores
		if s.now >= e.warmupEndsAt {
			s.totals.threads += e.threadsInFlight
			s.totals.memoryMB += e.memoryInFlightMB
			s.totals.attempts += float64(len(e.inFlight))
			s.totals.cores += e.cores
			s.warmEngines++
		}
	}
	return s.activeList
}

// totalsInFlight are the threads, memory (MB) and number of the controller's attempts on active
// engines that don't warm up, and those engines' cores.
func (s *Scheduler) totalsInFlight() (threads, memoryMB, attempts, cores float64) {
	s.activeEngines()
	return s.totals.threads, s.totals.memoryMB, s.totals.attempts, s.totals.cores
}

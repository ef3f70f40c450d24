package scheduler

import "time"

// engine is this controller's view of an engine. Amounts in flight are those of this controller
// alone.
type engine struct {
	id   string
	hash uint32 // hash of id, which makes random choices repeatable after a restart

	// From the endpoint list.
	location, kind, cell int
	isLocal              bool // the engine is at the controller's location
	state                EngineState
	removedAt            time.Duration
	startedAt            time.Duration
	cores                float64
	memoryCapacityMB     float64 // infinite if unknown

	// Attempts in flight.
	inFlight         []*attempt
	threadsInFlight  float64
	memoryInFlightMB float64

	// The last load report, and the amounts in flight when the report arrived. The report is nil after
	// a failed health check or a restart of the engine. It expires after reportValidity.
	report                   map[string]float64
	reportAt                 time.Duration
	threadsInFlightAtReport  float64
	memoryInFlightAtReportMB float64

	// Health.
	lastResponseAt       time.Duration
	unresponsive         bool
	healthCheckInFlight  bool
	healthCheckSentAt    time.Duration
	rejectedAt           time.Duration // when the engine last rejected a query
	ejectedUntil         time.Duration // the engine gets no query until then
	consecutiveEjections int           // number of ejections since the last answer
	slowdown             float64       // average of its answers' slowdown over their group's best slowdown
	lastFinishAt         time.Duration
	lastFinishByTables   map[int64]time.Duration // when the last query on each table group finished
	loadRunningUntil     map[int64]time.Duration // until when queries on each table group avoid the engine

	// Slow start.
	warmupStartedAt time.Duration
	warmupEndsAt    time.Duration
	slowStartSends  []sentWork
}

// sentWork is work, in thread seconds, that was sent to a warming engine.
type sentWork struct {
	at   time.Duration
	work float64
}

// slowStartWorkSince returns the work that was sent to a warming engine after a time, and drops the
// records of work that was sent earlier.
func (e *engine) slowStartWorkSince(since time.Duration) (sum float64) {
	for len(e.slowStartSends) > 0 && e.slowStartSends[0].at <= since {
		e.slowStartSends = e.slowStartSends[1:]
	}
	for _, sent := range e.slowStartSends {
		sum += sent.work
	}
	return sum
}

// markLoadRunning makes queries on a table group avoid the engine until a time.
func (e *engine) markLoadRunning(tables int64, until time.Duration) {
	if e.loadRunningUntil == nil {
		e.loadRunningUntil = map[int64]time.Duration{}
	}
	e.loadRunningUntil[tables] = until
}

// resetLearnedState forgets what was learned from an engine's previous process.
func (e *engine) resetLearnedState(now time.Duration) {
	e.slowdown = 1
	e.unresponsive = false
	e.report = nil
	e.loadRunningUntil = nil
	e.lastResponseAt = now
}

// storeReport stores an engine's load report with the current amounts in flight, and updates the mean
// utilization. An empty report is ignored.
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

// totals are sums over the controller's attempts on active engines that aren't warming up.
type totals struct {
	threads  float64
	memoryMB float64
	attempts float64
	cores    float64 // cores of those engines
}

// activeEngines returns the engines that are active in the endpoint list. If totalsOutdated is set, it
// first updates that list, the totals, warmEngines and activeCores.
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

// totalsInFlight returns the threads, memory and number of the controller's attempts on active
// engines that aren't warming up, and the cores of those engines.
func (s *Scheduler) totalsInFlight() (threads, memoryMB, attempts, cores float64) {
	s.activeEngines()
	return s.totals.threads, s.totals.memoryMB, s.totals.attempts, s.totals.cores
}

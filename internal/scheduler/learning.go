package scheduler

import "time"

// Windows, in samples, and weights of the averages.
const (
	workSamples                = 200 // for a group's work, memory and estimate correction
	meanWorkSamples            = 100 // for the work of all queries
	threadTimeSamples          = 100 // answers, for a group's thread seconds
	slowdownSamples            = 60  // answers, for a group's slowdown
	maxSlowdownSample          = 20
	minBestSlowdown            = 0.01
	bestSlowdownOldWeight      = 0.8 // of the old best in a new best slowdown
	bestSlowdownNewWeight      = 0.2 // of the sample
	bestSlowdownRiseRate       = 0.01
	minEngineSlowdown          = 0.3 // lower bound for an answer's slowdown over its group's best slowdown
	slowdownSampleWeight       = 0.1 // weight of an answer in its engine's slowdown
	slowdownRecoveryRate       = 0.01
	utilizationSamples         = 20 // load reports, for the mean utilization of the engines
	reportedQueriesSamples     = 60 // load reports, for the mean number of queries on an engine
	unreportedUtilizationDecay = 0.93
)

// learnFromArrival counts an admitted query for its group, its tenant and the total.
func (s *Scheduler) learnFromArrival(q *query) {
	rg := q.group
	if q.workSeconds > 0 && !s.settings.AnswersReportWork {
		rg.workSeconds.add(q.workSeconds, workSamples)
	}
	s.recentWorkSeconds += s.typicalWorkSeconds(rg)
	rg.recentArrivals++
	q.tenant.recentArrivals++
	s.meanWorkSeconds.add(s.typicalWorkSeconds(rg), meanWorkSamples)
}

// learnFromAnswer updates the averages with an answer's run time, and with its work and memory if
// the answer reports them.
func (s *Scheduler) learnFromAnswer(a *attempt, took time.Duration, work, memoryMB float64) {
	q := a.query
	a.engine.recordAnswer(q.tables, s.now)
	q.group.threadSecondsUsed.add(took.Seconds()*q.group.threads, threadTimeSamples)
	if work > 0 {
		if q.workSeconds > 0 {
			q.group.estimateCorrection.add(work/q.workSeconds, workSamples)
		}
		q.workSeconds = work
		q.workMeasured = true
		q.group.workSeconds.add(work, workSamples)
		q.group.memoryMB.add(memoryMB, workSamples)
	}
	if !a.blocked && (q.workSeconds > 0 || !s.settings.AnswersReportWork) {
		s.learnSlowdown(a, took.Seconds()/s.estimatedSoloSeconds(q))
	}
}

// learnSlowdown adds the ratio of an answer's run time to its run time alone. The best slowdown
// falls quickly and rises slowly, so that it stays near the smallest ratio.
func (s *Scheduler) learnSlowdown(a *attempt, ratio float64) {
	rg := a.query.group
	rg.slowdown.add(min(ratio, maxSlowdownSample), slowdownSamples)
	if rg.bestSlowdown == 0 || ratio < rg.bestSlowdown {
		rg.bestSlowdown = max(minBestSlowdown, ratio,
			bestSlowdownOldWeight*rg.bestSlowdown+bestSlowdownNewWeight*ratio)
	} else {
		rg.bestSlowdown += (ratio - rg.bestSlowdown) * bestSlowdownRiseRate
	}
	a.engine.learnSlowdown(ratio / rg.bestSlowdown)
}

// learnSlowdown adds an answer's slowdown relative to the best of its group.
func (e *engine) learnSlowdown(ratio float64) {
	e.slowdown += (min(maxEngineSlowdown, max(minEngineSlowdown, ratio)) - e.slowdown) * slowdownSampleWeight
}

// recoverSlowdown moves an engine's slowdown towards 1 as time passes.
func (e *engine) recoverSlowdown() { e.slowdown += (1 - e.slowdown) * slowdownRecoveryRate }

// learnFromReport updates the averages with a load report. Warming engines are left out: they are
// almost empty and get most health checks, so that they would hide how full the other engines are.
func (s *Scheduler) learnFromReport(e *engine, report map[string]float64) {
	if s.now < e.warmupEndsAt {
		return
	}
	s.reportedUtilization.add(s.utilization(e), utilizationSamples)
	s.lastReportAt = s.now
	if queries := report[reportQueries]; queries > 0 {
		s.reportedQueries.add(queries, reportedQueriesSamples)
	}
}

// decayReportedUtilization lowers the mean utilization while no reports arrive. If reports come
// with answers only, a controller that sends nothing gets no reports, and would otherwise consider
// the engines full forever.
func (s *Scheduler) decayReportedUtilization() {
	if !s.healthChecksReportLoad && s.now-s.lastReportAt > reportValidity {
		s.reportedUtilization.value *= unreportedUtilizationDecay
	}
}

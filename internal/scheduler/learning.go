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

// learnFromArrival counts a query that has arrived for its group, its tenant and the total. If answers
// don't report work, it adds the estimate of the query's work to the group's average.
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

// learnFromAnswer records that an attempt's engine has answered, and updates the averages with the run
// time, and with the work and memory if the answer reports work. The run time of a blocked attempt
// says nothing about the slowdown. Without reported or estimated work, the slowdown is unknown too,
// unless answers never report work.
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

// learnSlowdown adds the ratio of an answer's run time to its estimated run time alone to the slowdown
// of the group, and that ratio over the group's best slowdown to the slowdown of the engine. The best
// slowdown falls quickly and rises slowly, so that it stays near the smallest ratio.
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

// learnSlowdown adds the slowdown of an answer, relative to its group's best slowdown, to the engine's
// slowdown.
func (e *engine) learnSlowdown(ratio float64) {
	e.slowdown += (min(maxEngineSlowdown, max(minEngineSlowdown, ratio)) - e.slowdown) * slowdownSampleWeight
}

// recoverSlowdown moves an engine's slowdown towards 1. Each tick calls it.
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

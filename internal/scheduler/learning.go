package scheduler

import "time"

// Windows and rates of what is learned; nothing here decides.
const (
	workSamples         = 200 // over which a group's work, memory and estimates are averaged
	meanWorkSamples     = 100 // over which the work of all queries is
	usedSamples         = 100 // answers over which the thread time of a group's query is averaged
	slowdownSamples     = 60  // answers over which its slowdown is
	maxSlowdownSample   = 20
	leastBestSlowdown   = 0.01
	bestSlowdownKeeps   = 0.8 // of the best when a better one is seen,
	bestSlowdownTakes   = 0.2 // of that one;
	bestSlowdownRises   = 0.01
	leastEngineSlowdown = 0.3 // of an answer's over the best of its group
	slowdownOfSample    = 0.1 // the part that an answer counts of it
	slowdownRecovery    = 0.01
	utilizationSamples  = 20 // reports over which the mean utilization is taken
	reportedSamples     = 60 // the same of queries reported
	unreportedDecay     = 0.93
)

// learnFromArrival counts a query that was admitted towards its group, its tenant and all work.
func (s *Scheduler) learnFromArrival(q *query) {
	rg := q.group
	if q.workSeconds > 0 && !s.settings.AnswersReportWork {
		rg.workSeconds.add(q.workSeconds, workSamples)
	}
	s.recentWorkSeconds += s.usualWorkSeconds(rg)
	rg.recentArrivals++
	q.tenant.recentArrivals++
	s.meanWorkSeconds.add(s.usualWorkSeconds(rg), meanWorkSamples)
}

// learnFromAnswer takes an answer's time, and the work and memory it told, if any, into the means.
func (s *Scheduler) learnFromAnswer(a *attempt, took time.Duration, work, memoryMB float64) {
	q := a.query
	a.engine.answered(q.tables, s.now)
	q.group.threadSecondsUsed.add(took.Seconds()*q.group.threads, usedSamples)
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

// learnSlowdown takes one ratio of time taken to time alone. The best falls quickly and rises
// slowly, to stay near the best.
func (s *Scheduler) learnSlowdown(a *attempt, ratio float64) {
	rg := a.query.group
	rg.slowdown.add(min(ratio, maxSlowdownSample), slowdownSamples)
	if rg.bestSlowdown == 0 || ratio < rg.bestSlowdown {
		rg.bestSlowdown = max(leastBestSlowdown, ratio, bestSlowdownKeeps*rg.bestSlowdown+bestSlowdownTakes*ratio)
	} else {
		rg.bestSlowdown += (ratio - rg.bestSlowdown) * bestSlowdownRises
	}
	a.engine.learnSlowdown(ratio / rg.bestSlowdown)
}

// learnSlowdown takes one answer's slowdown, against the best of its group.
func (e *engine) learnSlowdown(overBest float64) {
	e.slowdown += (min(maxEngineSlowdown, max(leastEngineSlowdown, overBest)) - e.slowdown) * slowdownOfSample
}

// recoverSlowdown lets an engine be forgiven as time passes.
func (e *engine) recoverSlowdown() { e.slowdown += (1 - e.slowdown) * slowdownRecovery }

// learnFromReport takes a report into the means. Engines that warm up are nearly empty and checked
// most while there are some: they say nothing of how full the others are.
func (s *Scheduler) learnFromReport(e *engine, report map[string]float64) {
	if s.now < e.warmingUntil {
		return
	}
	s.reportedUtilization.add(s.utilization(e), utilizationSamples)
	s.lastReportAt = s.now
	if held := report[reportHeld]; held > 0 {
		s.reportedQueries.add(held, reportedSamples)
	}
}

// decayReported lowers the mean utilization while nothing is reported: where reports come in
// answers alone, who sends nothing is told nothing, and full once would be full for good.
func (s *Scheduler) decayReported() {
	if !s.healthChecksReportLoad && s.now-s.lastReportAt > reportValidFor {
		s.reportedUtilization.value *= unreportedDecay
	}
}

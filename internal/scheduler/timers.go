package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	tickInterval  = 100 * time.Millisecond
	evictInterval = time.Second

	inFlightSamples   = 300   // number of ticks over which the controller's attempts in flight are averaged
	tenantLoadSamples = 600   // number of ticks over which the load of the tenants is averaged
	arrivalDecay      = 0.995 // factor per tick for arrivals and their work

	// A request for the list is repeated after this time, or, if that is shorter, after the time in
	// which the list must be requested divided by subscribeDivisor.
	maxSubscribeInterval = time.Second
	subscribeDivisor     = 2
)

// Tags of timers.
const (
	timerQueueTag = iota
	tickTag
)

// tick does the work that is due every tickInterval: it updates ranks, averages and slowdowns, checks
// the attempts in flight, and requests the endpoint list again if needed.
func (s *Scheduler) tick() {
	s.actions.SetTimer(tickInterval, tickTag)
	s.rankGroups()
	s.averageInFlight()
	s.ownShare = s.estimateOwnShare()
	s.decayReportedUtilization()
	s.decayRates()
	s.averageTenantLoad()
	for _, e := range s.activeEngines() {
		e.recoverSlowdown()
		for _, a := range slices.Clone(e.inFlight) {
			s.checkAttempt(e, a)
		}
	}
	s.subscribe()
}

// averageInFlight adds the controller's attempts in flight to their averages.
func (s *Scheduler) averageInFlight() {
	s.totalsOutdated = true // some engines may have finished warming up
	threads, memoryMB, attempts, _ := s.totalsInFlight()
	s.meanThreads.add(threads, inFlightSamples)
	s.recentThreads.add(threads, rateWindow.Seconds()/tickInterval.Seconds())
	s.meanMemoryMB.add(memoryMB, inFlightSamples)
	s.meanAttempts.add(attempts, inFlightSamples)
}

// decayRates decays the counts of recent events.
func (s *Scheduler) decayRates() {
	factor := 1 - tickInterval.Seconds()/rateWindow.Seconds()
	for _, rg := range s.groups {
		rg.recentArrivals *= arrivalDecay
		rg.recentThreadSeconds *= factor
	}
	s.recentWorkSeconds *= arrivalDecay
	s.recentHealthChecks *= factor
	for _, t := range s.tenants {
		t.recentArrivals *= factor
	}
}

// averageTenantLoad adds the arrivals over the tenants' quotas to their average.
func (s *Scheduler) averageTenantLoad() {
	arriving, quota := 0.0, 0.0
	for _, t := range s.tenants {
		arriving += s.perSecond(t.recentArrivals)
		quota += t.quota
	}
	if quota > 0 && s.now > rateWindow {
		s.tenantLoad.add(arriving/quota, tenantLoadSamples)
	}
}

// subscribe requests the endpoint list if the list is sent only on request.
func (s *Scheduler) subscribe() {
	interval := min(maxSubscribeInterval, s.settings.ListRequestWithin/subscribeDivisor)
	if s.settings.ListOnRequest && !s.subscribed && s.now-s.subscribeSentAt > interval {
		s.subscribeSentAt = s.now
		s.actions.RequestEndpoints()
	}
}

// finishEvent ends an event: due callbacks run, queries are dispatched unless the scheduler is paused,
// and a timer is set for the next callback. Events that only record something don't call it.
func (s *Scheduler) finishEvent() {
	for callback, ok := s.timers.PopDue(s.now); ok; callback, ok = s.timers.PopDue(s.now) {
		callback()
	}
	if !s.paused {
		s.dispatchQueued()
	}
	if first, ok := s.timers.NextDue(); ok && (s.timerAt < 0 || first < s.timerAt) {
		s.timerAt = first
		s.actions.SetTimer(max(0, first-s.now), timerQueueTag)
	}
}

// runAt runs a callback for a query at a time, unless the query has been released by then.
func (s *Scheduler) runAt(q *query, at time.Duration, callback func()) {
	q.timers = append(q.timers, s.timers.Add(at, callback))
}

// releaseEnded removes a query that has ended and has no attempt in flight, and starts the queries
// that waited for it.
func (s *Scheduler) releaseEnded(q *query) {
	if !q.ended || q.inFlight > 0 || s.queries[q.id] == nil {
		return
	}
	delete(s.queries, q.id)
	for _, t := range q.timers {
		s.timers.Cancel(t)
	}
	q.timers = nil
	s.writeEnded(q)
	s.startNextInKeyQueue(q)
}

// evictStale removes state that no longer matters and would otherwise stay in memory: engines that were
// removed long ago, engines' records of table groups and of slow start, unused chains and key queues,
// and the arrivals and retries before the window of the retry budget. It runs every evictInterval.
func (s *Scheduler) evictStale() {
	if s.now < s.nextEvictionAt {
		return
	}
	s.nextEvictionAt = s.now + evictInterval
	s.engines = slices.DeleteFunc(s.engines, func(e *engine) bool {
		stale := e.state == EngineRemoved && s.now-e.removedAt > s.retention && len(e.inFlight) == 0
		if stale {
			delete(s.enginesByID, e.id)
		}
		return stale
	})
	for _, e := range s.engines {
		maps.DeleteFunc(e.lastFinishByTables, func(_ int64, at time.Duration) bool {
			return s.now-at > s.retention
		})
		maps.DeleteFunc(e.loadRunningUntil, func(_ int64, until time.Duration) bool {
			return s.now >= until
		})
		if s.now >= e.warmupEndsAt {
			e.slowStartSends = nil
		}
	}
	maps.DeleteFunc(s.chains, func(_ int64, c *chain) bool {
		return c.running == nil && len(c.waiting) == 0 && s.now-c.lastWriteEndedAt > chainAffinityDuration
	})
	maps.DeleteFunc(s.keyQueues, func(_ int64, k *keyQueue) bool {
		return len(k.queries) == 0 && s.now >= k.cooldownUntil
	})
	since := s.now - s.settings.RetryBudgetWindow
	countSince(&s.arrivals, since)
	countSince(&s.retries, since)
}

// EntryCount returns the number of entries in memory: engines, chains, key queues, queries, timers, and
// the engines' records of table groups and of slow start. Tests detect leaks by it.
func (s *Scheduler) EntryCount() int {
	n := s.timers.Len() + len(s.engines) + len(s.enginesByID) + len(s.chains) + len(s.keyQueues) + len(s.queries)
	for _, e := range s.engines {
		n += len(e.lastFinishByTables) + len(e.loadRunningUntil) + len(e.slowStartSends)
	}
	return n
}

// capAt returns the duration, or a positive limit if that is shorter. Limits follow from a group's
// times, because durations that suit deadlines of seconds are too long for shorter ones.
func capAt(duration, limit time.Duration) time.Duration {
	if limit <= 0 {
		return duration
	}
	return min(duration, limit)
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

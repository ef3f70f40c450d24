package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	tickInterval  = 100 * time.Millisecond
	evictInterval = time.Second

	longSamples       = 300   // ticks over which one's own attempts in flight are averaged
	tenantLoadSamples = 600   // ticks over which the tenants' load is
	slowDecay         = 0.995 // a tick, of arrivals and their work

	subscribeAgainAfter = time.Second // or a part of the time in which the list must be asked for:
	subscribeParts      = 2
)

// Tags of the wakes that are asked for.
const (
	timersTag = iota
	tickTag
)

// tick does the periodic work.
func (s *Scheduler) tick() {
	s.actions.SetTimer(tickInterval, tickTag)
	s.rankGroups()
	s.averageInFlight()
	s.ownShare = s.estimateOwnShare()
	s.decayReported()
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

// averageInFlight takes the controller's attempts in flight into their means.
func (s *Scheduler) averageInFlight() {
	s.totalsStale = true // some engines have warmed up by now
	threads, memory, count, _ := s.totalsInFlight()
	s.meanThreads.add(threads, longSamples)
	s.recentThreads.add(threads, rateSpan.Seconds()/tickInterval.Seconds())
	s.meanMemoryMB.add(memory, longSamples)
	s.meanAttempts.add(count, longSamples)
}

// decayRates has what was counted of late fade.
func (s *Scheduler) decayRates() {
	keep := 1 - tickInterval.Seconds()/rateSpan.Seconds()
	for _, rg := range s.groups {
		rg.recentArrivals *= slowDecay
		rg.recentThreadSeconds *= keep
	}
	s.recentWorkSeconds *= slowDecay
	s.recentHealthChecks *= keep
	for _, t := range s.tenants {
		t.recentArrivals *= keep
	}
}

// averageTenantLoad takes what arrives over the tenants' quotas into its mean.
func (s *Scheduler) averageTenantLoad() {
	arriving, quota := 0.0, 0.0
	for _, t := range s.tenants {
		arriving += s.perSecond(t.recentArrivals)
		quota += t.quota
	}
	if quota > 0 && s.now > rateSpan {
		s.tenantLoad.add(arriving/quota, tenantLoadSamples)
	}
}

// subscribe asks for the endpoint list where it is sent on request only.
func (s *Scheduler) subscribe() {
	again := min(subscribeAgainAfter, s.settings.ListRequestWithin/subscribeParts)
	if s.settings.ListOnRequest && !s.subscribed && s.now-s.subscribeSentAt > again {
		s.subscribeSentAt = s.now
		s.actions.RequestEndpoints()
	}
}

// finishEvent ends every event: what is due is done, what can be sent is sent, and a wake is asked
// for the next timer.
func (s *Scheduler) finishEvent() {
	for do, ok := s.timers.PopDue(s.now); ok; do, ok = s.timers.PopDue(s.now) {
		do()
	}
	if !s.paused {
		s.dispatchQueued()
	}
	if first, ok := s.timers.NextDue(); ok && (s.wakeAt < 0 || first < s.wakeAt) {
		s.wakeAt = first
		s.actions.SetTimer(max(0, first-s.now), timersTag)
	}
}

// atTime has something done for a query at a time, unless the query was forgotten by then.
func (s *Scheduler) atTime(q *query, t time.Duration, do func()) {
	q.timers = append(q.timers, s.timers.Add(t, do))
}

// releaseEnded forgets a query that has ended and has no attempt in flight, and starts what waited
// for it.
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
	s.startNextOfKey(q)
}

// evictStale forgets engines that are gone, and chains, keys and tables at rest, once they can't
// matter any more; they would stay as long as the instance runs.
func (s *Scheduler) evictStale() {
	if s.now < s.evictAt {
		return
	}
	s.evictAt = s.now + evictInterval
	s.engines = slices.DeleteFunc(s.engines, func(e *engine) bool {
		stale := e.state == EngineRemoved && s.now-e.removedAt > s.retention && len(e.inFlight) == 0
		if stale {
			delete(s.enginesByID, e.id)
		}
		return stale
	})
	for _, e := range s.engines {
		maps.DeleteFunc(e.lastFinishOfTables, func(_ int64, at time.Duration) bool {
			return s.now-at > s.retention
		})
		maps.DeleteFunc(e.loadRunningUntil, func(_ int64, until time.Duration) bool {
			return s.now >= until
		})
		if s.now >= e.warmingUntil {
			e.slowStartSends = nil
		}
	}
	maps.DeleteFunc(s.chains, func(_ int64, c *chain) bool {
		return c.running == nil && len(c.waiting) == 0 && s.now-c.lastEndedAt > chainAffinitySpan
	})
	maps.DeleteFunc(s.keyQueues, func(_ int64, k *keyQueue) bool {
		return len(k.queries) == 0 && s.now >= k.restingUntil
	})
	since := s.now - s.settings.RetryBudgetWindow
	countSince(&s.arrivals, since)
	countSince(&s.retries, since)
}

// EntryCount is how many engines, chains, keys, tables, queries and timers are in memory.
func (s *Scheduler) EntryCount() int {
	n := s.timers.Len() + len(s.engines) + len(s.enginesByID) + len(s.chains) + len(s.keyQueues) + len(s.queries)
	for _, e := range s.engines {
		n += len(e.lastFinishOfTables) + len(e.loadRunningUntil) + len(e.slowStartSends)
	}
	return n
}

// capped is a span, or one that follows from a group's times where those are told and it is shorter:
// what suits deadlines of seconds may outlast one of less.
func capped(usual, follows time.Duration) time.Duration {
	if follows <= 0 {
		return usual
	}
	return min(usual, follows)
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

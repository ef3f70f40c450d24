package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	rateWindow    = 5 * time.Second // window of recent rates
	minRateWindow = time.Second     // window of recent rates shortly after the start
	minRate       = 0.01            // rate in queries per second that avoids a division by 0

	// The queued work of a group is limited to the work that the group starts within its objective,
	// divided by queuedWorkDivisor.
	queuedWorkDivisor = 4
)

func (s *Scheduler) enqueue(q *query) { q.group.insert(q) }

// dispatchQueued sends queued queries, in order of the groups' ranks and then of arrival, and rejects
// those that are too late to start. At the first query that waits for capacity or for load reports,
// the group's costly queries are shed if its queue holds too much work, and the dispatch goes on with
// the next group.
//
// Three kinds of query don't stop their queue: a query that no engine is eligible for, a confined
// query, and a query that submit refuses. After such a query, the later unsent queries with the same
// eligibility key are skipped, so that a long queue needs few routing decisions.
func (s *Scheduler) dispatchQueued() {
	for _, rg := range s.ranked {
		var skippedKeys []int64 // eligibility keys
		rg.blocked = false
		for i := 0; i < len(rg.queue); {
			q := rg.queue[i]
			if !q.ended && s.tooLateToStart(q, len(rg.queue) > i+1) {
				s.reject(q)
			}
			if q.ended {
				rg.remove(q)
				continue
			}
			if len(q.attempts) == 0 && slices.Contains(skippedKeys, q.eligibilityKey) {
				i++
				continue
			}
			e, ineligible := s.route(q)
			switch {
			case e != nil && s.submit(q, e):
				rg.remove(q)
			case e == nil && !ineligible && !q.confined:
				s.shedCostliest(rg)
				rg.blocked = true
				i = len(rg.queue)
			default:
				skippedKeys = append(skippedKeys, q.eligibilityKey)
				i++
			}
		}
	}
}

// rankGroups orders the groups by weight per thread second of a query, as thread seconds are the
// scarce resource.
func (s *Scheduler) rankGroups() {
	weight := func(rg *resourceGroup) float64 {
		return rg.priorityWeight / rg.threadSecondsUsed.valueOr(s.typicalWorkSeconds(rg))
	}
	slices.SortStableFunc(s.ranked, func(a, b *resourceGroup) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), a.index-b.index)
	})
}

// shedCostliest rejects queries of a group whose queued work exceeds the limit, those with the highest
// costPerWeight first. In order of arrival alone, a long query would take the capacity of several
// shorter ones of equal value. Queries that cost no more than the group's typical query and the last
// query in the queue are kept, even if the queued work stays above the limit.
func (s *Scheduler) shedCostliest(rg *resourceGroup) {
	work := 0.0
	for _, q := range rg.queue {
		work += s.estimatedSoloSeconds(q) * rg.threads
	}
	byCost := func(a, b *query) int { return cmp.Compare(s.costPerWeight(a), s.costPerWeight(b)) }
	for len(rg.queue) > 1 &&
		work > s.perSecond(rg.recentThreadSeconds)*rg.objective.Seconds()/queuedWorkDivisor {
		costliest := slices.MaxFunc(rg.queue, byCost)
		if s.costPerWeight(costliest) <= s.typicalWorkSeconds(rg)/rg.threads {
			return
		}
		work -= s.estimatedSoloSeconds(costliest) * rg.threads
		s.reject(costliest)
		rg.remove(costliest)
	}
}

// costPerWeight returns a query's run time alone, in seconds, over its weight, which is lower for a
// tenant over its quota. A query that was sent before costs nothing, because a rejection would lose
// the work of its attempts.
func (s *Scheduler) costPerWeight(q *query) float64 {
	if len(q.attempts) > 0 {
		return 0
	}
	return s.estimatedSoloSeconds(q) / (1 - s.overQuotaFraction(q.tenant)*(1-s.settings.OverQuotaWeight))
}

// overQuotaFraction returns the fraction of a tenant's queries at this controller beyond its quota.
// The quota is the tenant's quota divided evenly among the controllers. Because traffic isn't even,
// the quota is raised in proportion if the tenants' arrivals at this controller exceed the
// controller's part of all quotas in the long term.
func (s *Scheduler) overQuotaFraction(t *tenant) float64 {
	return max(0, 1-t.quota*max(1, s.tenantLoad.valueOr(1))/max(minRate, s.perSecond(t.recentArrivals)))
}

// perSecond converts a sum that decays over rateWindow into a rate.
func (s *Scheduler) perSecond(sum float64) float64 {
	return sum / min(rateWindow, max(minRateWindow, s.now)).Seconds()
}

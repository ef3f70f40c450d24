package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	rateWindow        = 5 * time.Second // window of recent rates
	minRateWindow     = time.Second     // window of recent rates shortly after the start
	queuedWorkDivisor = 4               // divides the work started in an objective, for the limit of queued work
	minRate           = 0.01            // rate in queries per second that avoids a division by 0
)

func (s *Scheduler) enqueue(q *query) { q.group.insert(q) }

// dispatchQueued sends the queued queries that can be sent, in order of the groups' ranks and then
// of arrival. A query that no engine is eligible for is skipped, and so are the queries with the
// same eligibility key, so that a long queue needs few routing decisions.
func (s *Scheduler) dispatchQueued() {
	for _, rg := range s.ranked {
		var ineligibleKeys []int64
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
			if len(q.attempts) == 0 && slices.Contains(ineligibleKeys, q.eligibilityKey) {
				i++
				continue
			}
			e, ineligible := s.route(q)
			switch {
			case e != nil && s.submit(q, e):
				rg.remove(q)
			case e == nil && !ineligible && !q.confined: // a confined query blocks only those with its eligibility key
				s.shedCostliest(rg)
				rg.blocked = true
				i = len(rg.queue)
			default:
				ineligibleKeys = append(ineligibleKeys, q.eligibilityKey)
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

// shedCostliest rejects queries of a queue with more work than can be started in time, those with
// the highest cost for their weight first. In order of arrival alone, a long query would take the
// capacity of several shorter ones of equal value. A queue of queries that cost the same keeps its
// order.
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
// The quota is the controller's even part, and grows with the controller's long-term load, as
// traffic isn't even.
func (s *Scheduler) overQuotaFraction(t *tenant) float64 {
	return max(0, 1-t.quota*max(1, s.tenantLoad.valueOr(1))/max(minRate, s.perSecond(t.recentArrivals)))
}

// perSecond converts a sum that decays over rateWindow into a rate.
func (s *Scheduler) perSecond(sum float64) float64 {
	return sum / min(rateWindow, max(minRateWindow, s.now)).Seconds()
}

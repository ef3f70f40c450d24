package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	rateWindow        = 5 * time.Second // over which recent rates are taken
	minRateWindow     = time.Second     // the same just after the start
	queuedWorkDivisor = 4               // of the work started in an objective, one may be queued
	minRate           = 0.01            // queries a second, against a division by 0
)

func (s *Scheduler) enqueue(q *query) { q.group.insert(q) }

// dispatchQueued sends what can be sent: the group with the most weight for its work first, each in
// the order of arrival. A query that no engine may take whatever its capacity is passed over, and
// so are those that the same tables and locations bar: queues get long, and each is asked once.
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
			case e == nil && !ineligible && !q.confined: // a confined one holds up only its like
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

// rankGroups orders the groups by weight for the thread time of a query, which is what is rationed.
func (s *Scheduler) rankGroups() {
	weight := func(rg *resourceGroup) float64 {
		return rg.priorityWeight / rg.threadSecondsUsed.valueOr(s.typicalWorkSeconds(rg))
	}
	slices.SortStableFunc(s.ranked, func(a, b *resourceGroup) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), a.index-b.index)
	})
}

// shedCostliest rejects, from a queue with more work than can be started in time, what costs most
// for its weight. In order of arrival alone a long query takes the capacity of several that are
// worth as much; where all are alike that order is as good.
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

// costPerWeight is a query's time alone, in seconds, for its weight: less is had of a tenant over
// its quota. What was sent once costs nothing, or the work done would be lost.
func (s *Scheduler) costPerWeight(q *query) float64 {
	if len(q.attempts) > 0 {
		return 0
	}
	return s.estimatedSoloSeconds(q) / (1 - s.overQuotaFraction(q.tenant)*(1-s.settings.OverQuotaWeight))
}

// overQuotaFraction is the part of a tenant's queries here beyond its quota: this controller's even
// part of it, and more the busier this one is in the long run, as traffic isn't even.
func (s *Scheduler) overQuotaFraction(t *tenant) float64 {
	return max(0, 1-t.quota*max(1, s.tenantLoad.valueOr(1))/max(minRate, s.perSecond(t.recentArrivals)))
}

// perSecond turns a sum that decays over rateSpan into a rate.
func (s *Scheduler) perSecond(sum float64) float64 {
	return sum / min(rateWindow, max(minRateWindow, s.now)).Seconds()
}

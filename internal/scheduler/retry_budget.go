package scheduler

import (
	"sort"
	"time"
)

// retryBudgetLeft returns whether the controller may send another retry. In a window it may send a
// fixed number and a ratio of the queries that arrived. Without a window there is no limit.
func (s *Scheduler) retryBudgetLeft() bool {
	window := s.settings.RetryBudgetWindow
	since := s.now - window
	limit := s.settings.MinRetryBudget + s.settings.RetryBudgetRatio*float64(countSince(&s.arrivals, since))
	return window <= 0 || float64(countSince(&s.retries, since)+1) <= limit
}

// countSince removes the times before since and returns how many remain.
func countSince(times *[]time.Duration, since time.Duration) int {
	i := sort.Search(len(*times), func(i int) bool { return (*times)[i] >= since })
	*times = (*times)[i:]
	return len(*times)
}

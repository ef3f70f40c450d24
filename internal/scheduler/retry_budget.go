package scheduler

import (
	"sort"
	"time"
)

// retryBudgetLeft tells whether the controller may send one more retry: in a span it may send a
// fixed number and a share of the queries that arrived in it.
func (s *Scheduler) retryBudgetLeft() bool {
	span := s.settings.RetryBudgetWindow
	since := s.now - span
	most := s.settings.MinRetryBudget + s.settings.RetryBudgetRatio*float64(countSince(&s.arrivals, since))
	return span <= 0 || float64(countSince(&s.retries, since)+1) <= most
}

// countSince drops what came before a time and counts the rest.
func countSince(times *[]time.Duration, since time.Duration) int {
	i := sort.Search(len(*times), func(i int) bool { return (*times)[i] >= since })
	*times = (*times)[i:]
	return len(*times)
}

package scheduler

import (
	"math"
	"testing"
)

// A query that was cancelled for a new attempt without budget for it would have lost its work.
func TestMoveObeysRetryBudget(t *testing.T) {
	for _, least := range []string{"0", "5"} {
		h := newHarness(t, 2, map[string]string{"budget.span": "10000", "budget.least": least,
			"budget.share": "0.2"})
		q := h.arrive(1, 1, -1, 60*sec)
		attempt := h.s.queries[q.id].attempts[0]
		if h.s.moveOrReject(attempt, math.Inf(1)); attempt.moving != (least == "5") {
			t.Fatalf("budget of %s retries: moved %v", least, attempt.moving)
		}
	}
}

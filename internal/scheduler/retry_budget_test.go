package scheduler

import (
	"math"
	"testing"
)

// Called off for a fresh submission that the budget doesn't have, a query would have lost what was done.
func TestMoveKeepsToRetryBudget(t *testing.T) {
	for _, least := range []string{"0", "5"} {
		w := newWorld(t, 2, map[string]string{"budget.span": "10000", "budget.least": least, "budget.share": "0.2"})
		q := w.arrive(1, 1, -1, 60*sec)
		s := w.s.queries[q.id].attempts[0]
		if w.s.moveOrReject(s, math.Inf(1)); s.moving != (least == "5") {
			t.Fatalf("%s in the budget: moved %v", least, s.moving)
		}
	}
}

package scheduler

import (
	"testing"
)

func TestLatestStartByDeadlineBeforeObjective(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.s.draining = true
	q := &query{group: h.s.groups[1], objectiveAt: 4 * sec, deadline: sec}
	if at := h.s.latestStart(q); at > sec {
		t.Fatalf("latest start is %v, the deadline 1s", at)
	}
}

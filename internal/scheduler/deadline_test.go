package scheduler

import (
	"testing"
)

func TestLatestStartByDeadlineBeforeObjective(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.s.draining = true
	q := &query{group: w.s.groups[1], objectiveAt: 4 * sec, deadline: sec}
	if at := w.s.latestStart(q); at > sec {
		t.Fatalf("to be begun by %v, its client leaves at 1s", at)
	}
}

package scheduler

import (
	"testing"
)

// Estimates of a group are systematically too high or too low, and are corrected by reported work.
func TestEstimatesAreCorrectedByAnswers(t *testing.T) {
	h := newHarness(t, 1, map[string]string{"answers.cost": "true"})
	for range 40 {
		q := h.arrive(0, 1, -1, 5*sec)
		h.queries[q.id].answered = true
		h.s.AttemptEnded(h.now, q.id, 0, Finished, 400*ms, true, 400*ms, 10, nil)
	}
	if x := h.s.estimatedSoloSeconds(&query{group: h.s.groups[0], workSeconds: 0.2}); x < 0.38 || x > 0.42 {
		t.Fatalf("0.2 estimated, 0.4 reported: corrected to %.2f", x)
	}
	if x := h.s.estimatedSoloSeconds(&query{group: h.s.groups[0], workSeconds: 0.2,
		workMeasured: true}); x != 0.2 {
		t.Fatalf("0.2 reported: corrected to %.2f", x)
	}
}

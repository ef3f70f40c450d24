package bench

import (
	"strings"
	"testing"
	"time"
)

// timedChecker is a judge that was told what follows, in seconds from one moment.
type timedChecker struct {
	*scaleChecker
	zero time.Time
}

func newTimedChecker() timedChecker {
	return timedChecker{newScaleChecker(), time.Now().Add(-time.Hour)}
}

func (j timedChecker) at(second float64) time.Time {
	return j.zero.Add(time.Duration(second * float64(time.Second)))
}

// span: a controller served by a version in a span.
func (j timedChecker) span(controller string, version, policy uint64, from, to float64) {
	j.beginSpan(controller, version, policy, j.at(from))
	j.endSpan(controller, j.at(to))
}

func (j timedChecker) outcome(id, word string, version uint64, at float64) {
	j.addOutcome(observedOutcome{id, "c0", word, version, j.at(at)})
}

func TestScaleCheckerFindsViolations(t *testing.T) {
	for name, test := range map[string]struct {
		arrange                             func(timedChecker)
		mixed, half, falseWord, servedAfter int
	}{
		"a strict switch": {arrange: func(j timedChecker) {
			j.span("h1", 1, 0, 0, 1)
			j.span("h2", 1, 0, 0, 1.1)
			j.addChange("x", 7)
			j.span("h1", 2, 7, 1.2, 9)
			j.span("h2", 2, 7, 1.3, 9)
			j.outcome("x", "in force", 2, 1.5)
			j.outcome("x", "settled", 2, 3)
			j.addSample(servingSample{"c1", j.at(2), j.at(2.1), true, 2, 900})
		}},
		"an old version beside a new one": {mixed: 1, arrange: func(j timedChecker) {
			j.span("h1", 1, 0, 0, 2)
			j.span("h2", 2, 7, 1.9, 3)
		}},
		"a real one by an old version after a new one": {mixed: 1, arrange: func(j timedChecker) {
			j.span("h2", 2, 7, 1, 3)
			j.addSample(servingSample{"c1", j.at(1.5), j.at(1.6), true, 1, 900})
		}},
		"a sample that may be from before": {arrange: func(j timedChecker) {
			j.span("h2", 2, 7, 1.5, 3)
			j.addSample(servingSample{"c1", j.at(1.4), j.at(1.6), true, 1, 900})
		}},
		"a real one that was the first by a new version": {mixed: 1, arrange: func(j timedChecker) {
			j.addSample(servingSample{"c1", j.at(1), j.at(1.1), true, 2, 900})
			j.span("h1", 1, 0, 0, 1.2)
		}},
		"one that still serves by the old version at the word": {half: 1, arrange: func(j timedChecker) {
			j.span("h1", 1, 0, 0, 5)
			j.outcome("x", "in force", 2, 4)
		}},
		"one that begins by the old version after the word": {servedAfter: 1, arrange: func(j timedChecker) {
			j.span("h1", 1, 0, 5, 6)
			j.outcome("x", "in force", 2, 4)
		}},
		"a real one by the old version after the word": {servedAfter: 1, arrange: func(j timedChecker) {
			j.outcome("x", "in force", 2, 4)
			j.addSample(servingSample{"c1", j.at(5), j.at(5.1), true, 1, 900})
		}},
		"one that serves without a lease": {servedAfter: 1, arrange: func(j timedChecker) {
			j.addSample(servingSample{"c1", j.at(5), j.at(5.1), true, 1, 0})
		}},
		"a lease without an end": {arrange: func(j timedChecker) {
			j.addSample(servingSample{"c1", j.at(5), j.at(5.1), true, 1, -1})
		}},
		"what was withdrawn acts": {half: 1, arrange: func(j timedChecker) {
			j.addChange("x", 7)
			j.span("h1", 2, 7, 1, 2)
			j.outcome("x", "withdrawn", 0, 4)
		}},
		"another text under a version": {half: 1, arrange: func(j timedChecker) {
			j.addChange("x", 7)
			j.span("h1", 2, 8, 1, 2)
			j.outcome("x", "in force", 2, 4)
		}},
		"in force and then withdrawn": {falseWord: 1, arrange: func(j timedChecker) {
			j.outcome("x", "in force", 2, 4)
			j.outcome("x", "withdrawn", 0, 5)
		}},
		"one version for two": {falseWord: 1, arrange: func(j timedChecker) {
			j.outcome("x", "in force", 2, 4)
			j.outcome("y", "in force", 2, 5)
		}},
		"not known yet is no word": {arrange: func(j timedChecker) {
			j.outcome("x", "unknown", 0, 3)
			j.outcome("x", "in force", 2, 4)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			j := newTimedChecker()
			test.arrange(j)
			v := j.findViolations()
			if v.Mixed != test.mixed || v.Half != test.half || v.FalseWord != test.falseWord || v.ServedAfter != test.servedAfter {
				t.Errorf("mixed %d, half %d, false_word %d, served_after %d:\n%s", v.Mixed, v.Half, v.FalseWord, v.ServedAfter, strings.Join(v.Descriptions, "\n"))
			}
			if n := v.Mixed + v.Half + v.FalseWord + v.ServedAfter; len(v.Descriptions) != n {
				t.Errorf("%d faults and %d lines", n, len(v.Descriptions))
			}
		})
	}
}

func TestScaleCheckerCountsServingControllers(t *testing.T) {
	j := newTimedChecker()
	j.span("h1", 1, 0, 0, 2)
	j.span("h1", 2, 0, 3, 4)
	j.beginSpan("h2", 1, 0, j.at(1))
	for second, want := range map[float64]int{0.5: 1, 1.5: 2, 2.5: 1, 3.5: 2, 9: 1} {
		if n := j.countServingAt(j.at(second)); n != want {
			t.Errorf("%d serve at %v, not %d", n, second, want)
		}
	}
	if j.countServing() != 1 || !j.lastStart(2).Equal(j.at(3)) || !j.lastStart(3).IsZero() {
		t.Error(j.countServing(), j.lastStart(2), j.lastStart(3))
	}
}

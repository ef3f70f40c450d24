package bench

import (
	"strings"
	"testing"
	"time"
)

// timedChecker is a checker whose input has times in seconds after a common start.
type timedChecker struct {
	*scaleChecker
	start time.Time
}

func newTimedChecker() timedChecker {
	return timedChecker{newScaleChecker(), time.Now().Add(-time.Hour)}
}

func (c timedChecker) at(second float64) time.Time {
	return c.start.Add(time.Duration(second * float64(time.Second)))
}

// span records that a controller served under a version between two times.
func (c timedChecker) span(controller string, version, policyDigest uint64, from, to float64) {
	c.beginSpan(controller, version, policyDigest, c.at(from))
	c.endSpan(controller, c.at(to))
}

func (c timedChecker) outcome(changeID, outcome string, version uint64, at float64) {
	c.addOutcome(observedOutcome{changeID, "c0", outcome, version, c.at(at)})
}

func TestScaleCheckerFindsViolations(t *testing.T) {
	for name, test := range map[string]struct {
		arrange                             func(timedChecker)
		mixed, half, falseWord, servedAfter int
	}{
		"each controller switches before any serves under the new version": {arrange: func(c timedChecker) {
			c.span("h1", 1, 0, 0, 1)
			c.span("h2", 1, 0, 0, 1.1)
			c.addChange("x", 7)
			c.span("h1", 2, 7, 1.2, 9)
			c.span("h2", 2, 7, 1.3, 9)
			c.outcome("x", "in force", 2, 1.5)
			c.outcome("x", "settled", 2, 3)
			c.addSample(servingSample{"c1", c.at(2), c.at(2.1), true, 2, 900})
		}},
		"a controller serves under the old version after the new one was served": {mixed: 1,
			arrange: func(c timedChecker) {
				c.span("h1", 1, 0, 0, 2)
				c.span("h2", 2, 7, 1.9, 3)
			}},
		"a real controller reports the old version after the new one was served": {mixed: 1,
			arrange: func(c timedChecker) {
				c.span("h2", 2, 7, 1, 3)
				c.addSample(servingSample{"c1", c.at(1.5), c.at(1.6), true, 1, 900})
			}},
		"a sample may be from before the new version was served": {arrange: func(c timedChecker) {
			c.span("h2", 2, 7, 1.5, 3)
			c.addSample(servingSample{"c1", c.at(1.4), c.at(1.6), true, 1, 900})
		}},
		"a real controller is the first under the new version": {mixed: 1, arrange: func(c timedChecker) {
			c.addSample(servingSample{"c1", c.at(1), c.at(1.1), true, 2, 900})
			c.span("h1", 1, 0, 0, 1.2)
		}},
		"a controller still serves under the old version at the outcome": {half: 1, arrange: func(c timedChecker) {
			c.span("h1", 1, 0, 0, 5)
			c.outcome("x", "in force", 2, 4)
		}},
		"a controller starts under the old version after the outcome": {servedAfter: 1,
			arrange: func(c timedChecker) {
				c.span("h1", 1, 0, 5, 6)
				c.outcome("x", "in force", 2, 4)
			}},
		"a real controller reports the old version after the outcome": {servedAfter: 1,
			arrange: func(c timedChecker) {
				c.outcome("x", "in force", 2, 4)
				c.addSample(servingSample{"c1", c.at(5), c.at(5.1), true, 1, 900})
			}},
		"a controller serves without a lease": {servedAfter: 1, arrange: func(c timedChecker) {
			c.addSample(servingSample{"c1", c.at(5), c.at(5.1), true, 1, 0})
		}},
		"a lease has no end": {arrange: func(c timedChecker) {
			c.addSample(servingSample{"c1", c.at(5), c.at(5.1), true, 1, -1})
		}},
		"a withdrawn policy is served": {half: 1, arrange: func(c timedChecker) {
			c.addChange("x", 7)
			c.span("h1", 2, 7, 1, 2)
			c.outcome("x", "withdrawn", 0, 4)
		}},
		"a version is served with another policy": {half: 1, arrange: func(c timedChecker) {
			c.addChange("x", 7)
			c.span("h1", 2, 8, 1, 2)
			c.outcome("x", "in force", 2, 4)
		}},
		"a change is in force and then withdrawn": {falseWord: 1, arrange: func(c timedChecker) {
			c.outcome("x", "in force", 2, 4)
			c.outcome("x", "withdrawn", 0, 5)
		}},
		"two changes have the same version": {falseWord: 1, arrange: func(c timedChecker) {
			c.outcome("x", "in force", 2, 4)
			c.outcome("y", "in force", 2, 5)
		}},
		"unknown is not an outcome": {arrange: func(c timedChecker) {
			c.outcome("x", "unknown", 0, 3)
			c.outcome("x", "in force", 2, 4)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTimedChecker()
			test.arrange(c)
			v := c.findViolations()
			if v.Mixed != test.mixed || v.Half != test.half ||
				v.FalseWord != test.falseWord || v.ServedAfter != test.servedAfter {
				t.Errorf("mixed %d, half %d, false_word %d, served_after %d:\n%s",
					v.Mixed, v.Half, v.FalseWord, v.ServedAfter, strings.Join(v.Descriptions, "\n"))
			}
			if n := v.Mixed + v.Half + v.FalseWord + v.ServedAfter; len(v.Descriptions) != n {
				t.Errorf("%d violations, but %d descriptions", n, len(v.Descriptions))
			}
		})
	}
}

func TestScaleCheckerCountsServingControllers(t *testing.T) {
	c := newTimedChecker()
	c.span("h1", 1, 0, 0, 2)
	c.span("h1", 2, 0, 3, 4)
	c.beginSpan("h2", 1, 0, c.at(1))
	for second, want := range map[float64]int{0.5: 1, 1.5: 2, 2.5: 1, 3.5: 2, 9: 1} {
		if n := c.countServingAt(c.at(second)); n != want {
			t.Errorf("%d controllers serve at %v s, want %d", n, second, want)
		}
	}
	if c.countServing() != 1 || !c.lastStart(2).Equal(c.at(3)) || !c.lastStart(3).IsZero() {
		t.Errorf("%d controllers serve; version 2 started at %v, version 3 at %v",
			c.countServing(), c.lastStart(2), c.lastStart(3))
	}
}

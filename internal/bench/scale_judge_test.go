package bench

import (
	"strings"
	"testing"
	"time"
)

// judged is a judge that was told what follows, in seconds from one moment.
type judged struct {
	*scaleJudge
	zero time.Time
}

func newJudged() judged { return judged{newScaleJudge(), time.Now().Add(-time.Hour)} }

func (j judged) at(second float64) time.Time {
	return j.zero.Add(time.Duration(second * float64(time.Second)))
}

// span: a controller served by a version in a span.
func (j judged) span(controller string, version, policy uint64, from, to float64) {
	j.serving(controller, version, policy, j.at(from))
	j.ended(controller, j.at(to))
}

func (j judged) word(id, word string, version uint64, at float64) {
	j.told(toldWord{id, "c0", word, version, j.at(at)})
}

func TestTheJudgeFindsWhatIsBroken(t *testing.T) {
	for name, test := range map[string]struct {
		arrange                             func(judged)
		mixed, half, falseWord, servedAfter int
	}{
		"a strict switch": {arrange: func(j judged) {
			j.span("h1", 1, 0, 0, 1)
			j.span("h2", 1, 0, 0, 1.1)
			j.asked("x", 7)
			j.span("h1", 2, 7, 1.2, 9)
			j.span("h2", 2, 7, 1.3, 9)
			j.word("x", "in force", 2, 1.5)
			j.word("x", "settled", 2, 3)
			j.sampled(servingSample{"c1", j.at(2), j.at(2.1), true, 2, 900})
		}},
		"an old version beside a new one": {mixed: 1, arrange: func(j judged) {
			j.span("h1", 1, 0, 0, 2)
			j.span("h2", 2, 7, 1.9, 3)
		}},
		"a real one by an old version after a new one": {mixed: 1, arrange: func(j judged) {
			j.span("h2", 2, 7, 1, 3)
			j.sampled(servingSample{"c1", j.at(1.5), j.at(1.6), true, 1, 900})
		}},
		"a sample that may be from before": {arrange: func(j judged) {
			j.span("h2", 2, 7, 1.5, 3)
			j.sampled(servingSample{"c1", j.at(1.4), j.at(1.6), true, 1, 900})
		}},
		"a real one that was the first by a new version": {mixed: 1, arrange: func(j judged) {
			j.sampled(servingSample{"c1", j.at(1), j.at(1.1), true, 2, 900})
			j.span("h1", 1, 0, 0, 1.2)
		}},
		"one that still serves by the old version at the word": {half: 1, arrange: func(j judged) {
			j.span("h1", 1, 0, 0, 5)
			j.word("x", "in force", 2, 4)
		}},
		"one that begins by the old version after the word": {servedAfter: 1, arrange: func(j judged) {
			j.span("h1", 1, 0, 5, 6)
			j.word("x", "in force", 2, 4)
		}},
		"a real one by the old version after the word": {servedAfter: 1, arrange: func(j judged) {
			j.word("x", "in force", 2, 4)
			j.sampled(servingSample{"c1", j.at(5), j.at(5.1), true, 1, 900})
		}},
		"one that serves without a lease": {servedAfter: 1, arrange: func(j judged) {
			j.sampled(servingSample{"c1", j.at(5), j.at(5.1), true, 1, 0})
		}},
		"a lease without an end": {arrange: func(j judged) {
			j.sampled(servingSample{"c1", j.at(5), j.at(5.1), true, 1, -1})
		}},
		"what was withdrawn acts": {half: 1, arrange: func(j judged) {
			j.asked("x", 7)
			j.span("h1", 2, 7, 1, 2)
			j.word("x", "withdrawn", 0, 4)
		}},
		"another text under a version": {half: 1, arrange: func(j judged) {
			j.asked("x", 7)
			j.span("h1", 2, 8, 1, 2)
			j.word("x", "in force", 2, 4)
		}},
		"in force and then withdrawn": {falseWord: 1, arrange: func(j judged) {
			j.word("x", "in force", 2, 4)
			j.word("x", "withdrawn", 0, 5)
		}},
		"one version for two": {falseWord: 1, arrange: func(j judged) {
			j.word("x", "in force", 2, 4)
			j.word("y", "in force", 2, 5)
		}},
		"not known yet is no word": {arrange: func(j judged) {
			j.word("x", "unknown", 0, 3)
			j.word("x", "in force", 2, 4)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			j := newJudged()
			test.arrange(j)
			v := j.verdict()
			if v.Mixed != test.mixed || v.Half != test.half || v.FalseWord != test.falseWord || v.ServedAfter != test.servedAfter {
				t.Errorf("mixed %d, half %d, false_word %d, served_after %d:\n%s", v.Mixed, v.Half, v.FalseWord, v.ServedAfter, strings.Join(v.Broken, "\n"))
			}
			if n := v.Mixed + v.Half + v.FalseWord + v.ServedAfter; len(v.Broken) != n {
				t.Errorf("%d faults and %d lines", n, len(v.Broken))
			}
		})
	}
}

func TestWhoServesAtATime(t *testing.T) {
	j := newJudged()
	j.span("h1", 1, 0, 0, 2)
	j.span("h1", 2, 0, 3, 4)
	j.serving("h2", 1, 0, j.at(1))
	for second, want := range map[float64]int{0.5: 1, 1.5: 2, 2.5: 1, 3.5: 2, 9: 1} {
		if n := j.servingAt(j.at(second)); n != want {
			t.Errorf("%d serve at %v, not %d", n, second, want)
		}
	}
	if j.servingNow() != 1 || !j.lastBegin(2).Equal(j.at(3)) || !j.lastBegin(3).IsZero() {
		t.Error(j.servingNow(), j.lastBegin(2), j.lastBegin(3))
	}
}

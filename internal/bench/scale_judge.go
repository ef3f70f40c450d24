package bench

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// scaleChecker holds what controllers of a scale run served by against the words that
// operators were told. Hollow controllers tell spans exactly; real ones are seen by
// samples of their status, each true at some moment between asking and answer. All times
// are of one machine's clock. It may be used by several goroutines.
type scaleChecker struct {
	mu            sync.Mutex
	activeSpans   map[string]servingSpan // by controller
	endedSpans    []servingSpan          // that have ended
	samples       []servingSample
	outcomes      []observedOutcome
	policyDigests map[string]uint64 // by id: digest of the policy's text
}

// servingSpan is a time in which a controller served by one version.
type servingSpan struct {
	controller   string
	version      uint64
	policyDigest uint64 // digest of its text, 0: the set-up's own
	from, to     time.Time
}

// servingSample is a status that was asked for.
type servingSample struct {
	controller              string
	requestedAt, answeredAt time.Time
	serves                  bool
	version                 uint64
	leaseRemainingMS        int64 // that it says is left
}

// observedOutcome is a word on a change as an operator got it.
type observedOutcome struct {
	changeID, controller string
	outcome              string
	version              uint64
	at                   time.Time
}

// scaleViolations counts what was broken, and says how in words.
type scaleViolations struct {
	Mixed        int // a controller served by a version after another one served by a later one
	Half         int // what was withdrawn acted, or what was told to be in force didn't on one that served
	FalseWord    int // two words on one change contradict each other
	ServedAfter  int // a controller began to serve by an older version after the word, or served without a lease
	Spans        int // that were judged
	Samples      int
	Outcomes     int
	Descriptions []string
}

func newScaleChecker() *scaleChecker {
	return &scaleChecker{activeSpans: map[string]servingSpan{}, policyDigests: map[string]uint64{}}
}

// beginSpan: a controller serves by a version from now on.
func (j *scaleChecker) beginSpan(controller string, version, policy uint64, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.activeSpans[controller] = servingSpan{controller: controller, version: version, policyDigest: policy, from: at}
}

// endSpan: it served until a time.
func (j *scaleChecker) endSpan(controller string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	span, had := j.activeSpans[controller]
	if !had {
		return
	}
	delete(j.activeSpans, controller)
	span.to = at
	j.endedSpans = append(j.endedSpans, span)
}

func (j *scaleChecker) addSample(s servingSample) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.samples = append(j.samples, s)
}

// addChange: a change with a text of this digest was asked for.
func (j *scaleChecker) addChange(id string, policy uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.policyDigests[id] = policy
}

// addOutcome: somebody got a word. One that isn't known yet is none.
func (j *scaleChecker) addOutcome(w observedOutcome) {
	if w.outcome == "settled" {
		w.outcome = "in force"
	}
	if w.outcome != "in force" && w.outcome != "withdrawn" && w.outcome != "refused" {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes = append(j.outcomes, w)
}

// countServing is how many controllers serve, of those that tell spans.
func (j *scaleChecker) countServing() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.activeSpans)
}

// countServingAt is how many served at a time, of those that tell spans.
func (j *scaleChecker) countServingAt(at time.Time) (n int) {
	for _, s := range j.allSpans(time.Now()) {
		if !s.from.After(at) && s.to.After(at) {
			n++
		}
	}
	return n
}

// lastStart is when the last of those that serve now began by a version; zero if none has.
func (j *scaleChecker) lastStart(version uint64) (last time.Time) {
	for _, s := range j.allSpans(time.Now()) {
		if s.version == version && s.from.After(last) {
			last = s.from
		}
	}
	return last
}

// allSpans gives every span; those that go on end now.
func (j *scaleChecker) allSpans(now time.Time) []servingSpan {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := slices.Clone(j.endedSpans)
	for _, s := range j.activeSpans {
		s.to = now
		all = append(all, s)
	}
	return all
}

// findViolations judges all that was told so far.
func (j *scaleChecker) findViolations() scaleViolations {
	spans := j.allSpans(time.Now())
	j.mu.Lock()
	defer j.mu.Unlock()
	slices.SortFunc(spans, func(a, b servingSpan) int {
		return cmp.Or(a.from.Compare(b.from), cmp.Compare(a.controller, b.controller))
	})
	v := scaleViolations{Spans: len(spans), Samples: len(j.samples), Outcomes: len(j.outcomes)}
	first := j.firstServed(spans)
	for _, s := range spans {
		if later, at := first.laterVersionBefore(s.version, s.to); later != 0 {
			v.add(&v.Mixed, "mixed: %s served by version %d until %v after version %d was served by", s.controller, s.version, s.to.Sub(at), later)
		}
	}
	for _, s := range j.samples {
		if !s.serves {
			continue
		}
		if later, at := first.laterVersionBefore(s.version, s.requestedAt); later != 0 {
			v.add(&v.Mixed, "mixed: %s said %v after version %d was served by that it serves by version %d", s.controller, s.requestedAt.Sub(at), later, s.version)
		}
		if s.leaseRemainingMS == 0 {
			v.add(&v.ServedAfter, "served_after: %s said that it serves, with no lease left", s.controller)
		}
	}
	byID := j.checkOutcomesAgree(&v)
	for _, w := range byID {
		j.checkServedAsReported(&v, w, spans)
	}
	return v
}

// add counts one fault and keeps the first of them in words.
func (v *scaleViolations) add(count *int, form string, args ...any) {
	*count++
	if len(v.Descriptions) < maxDescribedViolations {
		v.Descriptions = append(v.Descriptions, fmt.Sprintf(form, args...))
	}
}

const maxDescribedViolations = 20

// firstServedTimes are when versions were first served by.
type firstServedTimes map[uint64]time.Time

func (j *scaleChecker) firstServed(spans []servingSpan) firstServedTimes {
	first := firstServedTimes{}
	note := func(version uint64, at time.Time) {
		if had, is := first[version]; !is || at.Before(had) {
			first[version] = at
		}
	}
	for _, s := range spans {
		note(s.version, s.from)
	}
	for _, s := range j.samples {
		if s.serves {
			note(s.version, s.answeredAt)
		}
	}
	return first
}

// laterVersionBefore gives a version later than this one that was served by before a time.
func (f firstServedTimes) laterVersionBefore(version uint64, end time.Time) (later uint64, at time.Time) {
	for v, at := range f {
		if v > version && at.Before(end) {
			return v, at
		}
	}
	return 0, time.Time{}
}

// checkOutcomesAgree holds the words on each change against each other, and those on one version.
// It gives the first word on each.
func (j *scaleChecker) checkOutcomesAgree(v *scaleViolations) []observedOutcome {
	first, byVersion, list := map[string]observedOutcome{}, map[uint64]string{}, []observedOutcome(nil)
	for _, w := range j.outcomes {
		had, is := first[w.changeID]
		if !is {
			first[w.changeID] = w
			list = append(list, w)
		} else if had.outcome != w.outcome && (had.outcome == "in force" || w.outcome == "in force") || w.outcome == "in force" && had.version != w.version {
			v.add(&v.FalseWord, "false_word: %s told that %s is %s (version %d), %s that it is %s (version %d)",
				had.controller, w.changeID, had.outcome, had.version, w.controller, w.outcome, w.version)
		}
		if w.outcome != "in force" {
			continue
		}
		if other, is := byVersion[w.version]; is && other != w.changeID {
			v.add(&v.FalseWord, "false_word: version %d was told to be %s and to be %s", w.version, other, w.changeID)
		}
		byVersion[w.version] = w.changeID
	}
	return list
}

// checkServedAsReported holds what was served against the first word on a change.
func (j *scaleChecker) checkServedAsReported(v *scaleViolations, w observedOutcome, spans []servingSpan) {
	policy := j.policyDigests[w.changeID]
	for _, s := range spans {
		switch {
		case w.outcome != "in force":
			if policy != 0 && s.policyDigest == policy {
				v.add(&v.Half, "half: %s served by %s, which was %s", s.controller, w.changeID, w.outcome)
			}
		case s.version == w.version && policy != 0 && s.policyDigest != policy:
			v.add(&v.Half, "half: %s served by another policy as version %d than %s", s.controller, s.version, w.changeID)
		case s.version >= w.version || !s.to.After(w.at):
		case s.from.After(w.at):
			v.add(&v.ServedAfter, "served_after: %s began to serve by version %d, %v after %s was told to be in force", s.controller, s.version, s.from.Sub(w.at), w.changeID)
		default:
			v.add(&v.Half, "half: %s served by version %d when %s (version %d) was told to be in force", s.controller, s.version, w.changeID, w.version)
		}
	}
	if w.outcome != "in force" {
		return
	}
	for _, s := range j.samples {
		if s.serves && s.version < w.version && s.requestedAt.After(w.at) {
			v.add(&v.ServedAfter, "served_after: %s served by version %d, %v after %s was told to be in force", s.controller, s.version, s.requestedAt.Sub(w.at), w.changeID)
		}
	}
}

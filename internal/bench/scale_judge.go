package bench

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// scaleChecker compares the policy versions that controllers served under with the outcomes of changes
// that operators received. Hollow controllers report exactly when they serve. Real controllers are
// sampled: each status was true at some time between the request and the response. All times are from
// the clock of one machine. A scaleChecker may be used by several goroutines.
type scaleChecker struct {
	mu            sync.Mutex
	activeSpans   map[string]servingSpan // by controller
	endedSpans    []servingSpan
	samples       []servingSample
	outcomes      []observedOutcome
	policyDigests map[string]uint64 // by ID of the change
}

// servingSpan is a time in which a controller served under one version of the policy.
type servingSpan struct {
	controller   string
	version      uint64
	policyDigest uint64 // 0 for the policy of the configuration file
	from, to     time.Time
}

// servingSample is the status that a real controller reported.
type servingSample struct {
	controller              string
	requestedAt, answeredAt time.Time
	serves                  bool
	version                 uint64
	leaseRemainingMS        int64 // -1: the lease has no end
}

// observedOutcome is the outcome of a change that a controller reported to an operator.
type observedOutcome struct {
	changeID, controller string
	outcome              string
	version              uint64
	at                   time.Time
}

// scaleViolations counts the violations by kind and describes the first of them.
type scaleViolations struct {
	Mixed        int // a controller served under a version after another had served under a later one
	Half         int // a withdrawn policy was served, or one in force wasn't by a controller that served
	FalseWord    int // two reported outcomes contradict each other
	ServedAfter  int // a controller served anew under a replaced version, or without a lease
	Spans        int // number of checked spans
	Samples      int
	Outcomes     int
	Descriptions []string
}

func newScaleChecker() *scaleChecker {
	return &scaleChecker{activeSpans: map[string]servingSpan{}, policyDigests: map[string]uint64{}}
}

// beginSpan records that a controller serves under a version from a time on.
func (c *scaleChecker) beginSpan(controller string, version, policyDigest uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeSpans[controller] = servingSpan{controller: controller, version: version, policyDigest: policyDigest,
		from: at}
}

// endSpan records that a controller served until a time.
func (c *scaleChecker) endSpan(controller string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	span, ok := c.activeSpans[controller]
	if !ok {
		return
	}
	delete(c.activeSpans, controller)
	span.to = at
	c.endedSpans = append(c.endedSpans, span)
}

func (c *scaleChecker) addSample(s servingSample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples = append(c.samples, s)
}

// addChange records that a change to a policy with a digest was requested.
func (c *scaleChecker) addChange(id string, policyDigest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policyDigests[id] = policyDigest
}

// addOutcome records a reported outcome of a change. It ignores outcomes that aren't final, such as
// "unknown", and treats "settled" as "in force".
func (c *scaleChecker) addOutcome(o observedOutcome) {
	if o.outcome == "settled" {
		o.outcome = "in force"
	}
	if o.outcome != "in force" && o.outcome != "withdrawn" && o.outcome != "refused" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// countServing returns the number of controllers with an active span.
func (c *scaleChecker) countServing() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.activeSpans)
}

// countServingAt returns the number of controllers with a span that includes a time.
func (c *scaleChecker) countServingAt(at time.Time) (n int) {
	for _, s := range c.allSpans(time.Now()) {
		if !s.from.After(at) && s.to.After(at) {
			n++
		}
	}
	return n
}

// lastStart returns when the last span under a version started, or the zero time if there is none.
func (c *scaleChecker) lastStart(version uint64) (last time.Time) {
	for _, s := range c.allSpans(time.Now()) {
		if s.version == version && s.from.After(last) {
			last = s.from
		}
	}
	return last
}

// allSpans returns all spans. Active spans end now.
func (c *scaleChecker) allSpans(now time.Time) []servingSpan {
	c.mu.Lock()
	defer c.mu.Unlock()
	spans := slices.Clone(c.endedSpans)
	for _, s := range c.activeSpans {
		s.to = now
		spans = append(spans, s)
	}
	return spans
}

// findViolations checks everything that was recorded so far.
func (c *scaleChecker) findViolations() scaleViolations {
	spans := c.allSpans(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortFunc(spans, func(a, b servingSpan) int {
		return cmp.Or(a.from.Compare(b.from), cmp.Compare(a.controller, b.controller))
	})
	v := scaleViolations{Spans: len(spans), Samples: len(c.samples), Outcomes: len(c.outcomes)}
	first := c.firstServed(spans)
	for _, s := range spans {
		if later, at := first.laterVersionBefore(s.version, s.to); later != 0 {
			v.add(&v.Mixed, "mixed: %s served under version %d until %v after version %d was first served",
				s.controller, s.version, s.to.Sub(at), later)
		}
	}
	for _, s := range c.samples {
		if !s.serves {
			continue
		}
		if later, at := first.laterVersionBefore(s.version, s.requestedAt); later != 0 {
			v.add(&v.Mixed,
				"mixed: %s reported, %v after version %d was first served, that it serves under version %d",
				s.controller, s.requestedAt.Sub(at), later, s.version)
		}
		if s.leaseRemainingMS == 0 {
			v.add(&v.ServedAfter, "served_after: %s reported that it serves without a lease", s.controller)
		}
	}
	firstOutcomes := c.checkOutcomesAgree(&v)
	for _, o := range firstOutcomes {
		c.checkServedAsReported(&v, o, spans)
	}
	return v
}

// add counts one violation. It adds the description unless there are enough of them.
func (v *scaleViolations) add(count *int, format string, args ...any) {
	*count++
	if len(v.Descriptions) < maxDescribedViolations {
		v.Descriptions = append(v.Descriptions, fmt.Sprintf(format, args...))
	}
}

const maxDescribedViolations = 20

// firstServedTimes has the time at which each version was served for the first time.
type firstServedTimes map[uint64]time.Time

func (c *scaleChecker) firstServed(spans []servingSpan) firstServedTimes {
	first := firstServedTimes{}
	add := func(version uint64, at time.Time) {
		if earliest, ok := first[version]; !ok || at.Before(earliest) {
			first[version] = at
		}
	}
	for _, s := range spans {
		add(s.version, s.from)
	}
	for _, s := range c.samples {
		if s.serves {
			add(s.version, s.answeredAt)
		}
	}
	return first
}

// laterVersionBefore returns a version later than the given one that was served before a time, and when
// that version was first served. It returns 0 if there is none.
func (f firstServedTimes) laterVersionBefore(version uint64, end time.Time) (later uint64, at time.Time) {
	for v, at := range f {
		if v > version && at.Before(end) {
			return v, at
		}
	}
	return 0, time.Time{}
}

// checkOutcomesAgree checks that the outcomes of each change don't contradict each other, and that no two
// changes are in force as the same version. It returns the first outcome of each change.
func (c *scaleChecker) checkOutcomesAgree(v *scaleViolations) []observedOutcome {
	first, byVersion, list := map[string]observedOutcome{}, map[uint64]string{}, []observedOutcome(nil)
	for _, o := range c.outcomes {
		previous, ok := first[o.changeID]
		if !ok {
			first[o.changeID] = o
			list = append(list, o)
		} else if previous.outcome != o.outcome && (previous.outcome == "in force" || o.outcome == "in force") ||
			o.outcome == "in force" && previous.version != o.version {
			v.add(&v.FalseWord, "false_word: %s reported that %s is %s (version %d), %s that it is %s (version %d)",
				previous.controller, o.changeID, previous.outcome, previous.version,
				o.controller, o.outcome, o.version)
		}
		if o.outcome != "in force" {
			continue
		}
		if other, ok := byVersion[o.version]; ok && other != o.changeID {
			v.add(&v.FalseWord, "false_word: version %d was reported for both %s and %s",
				o.version, other, o.changeID)
		}
		byVersion[o.version] = o.changeID
	}
	return list
}

// checkServedAsReported compares what was served with the first reported outcome of a change.
func (c *scaleChecker) checkServedAsReported(v *scaleViolations, o observedOutcome, spans []servingSpan) {
	policyDigest := c.policyDigests[o.changeID]
	for _, s := range spans {
		switch {
		case o.outcome != "in force":
			if policyDigest != 0 && s.policyDigest == policyDigest {
				v.add(&v.Half, "half: %s served under %s, which was %s", s.controller, o.changeID, o.outcome)
			}
		case s.version == o.version && policyDigest != 0 && s.policyDigest != policyDigest:
			v.add(&v.Half, "half: %s served under version %d with a policy other than that of %s",
				s.controller, s.version, o.changeID)
		case s.version >= o.version || !s.to.After(o.at):
		case s.from.After(o.at):
			v.add(&v.ServedAfter,
				"served_after: %s started to serve under version %d, %v after %s was reported in force",
				s.controller, s.version, s.from.Sub(o.at), o.changeID)
		default:
			v.add(&v.Half, "half: %s still served under version %d when %s (version %d) was reported in force",
				s.controller, s.version, o.changeID, o.version)
		}
	}
	if o.outcome != "in force" {
		return
	}
	for _, s := range c.samples {
		if s.serves && s.version < o.version && s.requestedAt.After(o.at) {
			v.add(&v.ServedAfter, "served_after: %s served under version %d, %v after %s was reported in force",
				s.controller, s.version, s.requestedAt.Sub(o.at), o.changeID)
		}
	}
}

package bench

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// scaleJudge holds what controllers of a scale run served by against the words that
// operators were told. Hollow controllers tell spans exactly; real ones are seen by
// samples of their status, each true at some moment between asking and answer. All times
// are of one machine's clock. It may be used by several goroutines.
type scaleJudge struct {
	mu      sync.Mutex
	open    map[string]servingSpan // by controller
	spans   []servingSpan          // that have ended
	samples []servingSample
	words   []toldWord
	changes map[string]uint64 // by id: digest of the policy's text
}

// servingSpan is a time in which a controller served by one version.
type servingSpan struct {
	controller string
	version    uint64
	policy     uint64 // digest of its text, 0: the set-up's own
	from, to   time.Time
}

// servingSample is a status that was asked for.
type servingSample struct {
	controller      string
	asked, answered time.Time
	serves          bool
	version         uint64
	leaseMS         int64 // that it says is left
}

// toldWord is a word on a change as an operator got it.
type toldWord struct {
	id, by  string
	word    string
	version uint64
	at      time.Time
}

// scaleVerdict counts what was broken, and says how in words.
type scaleVerdict struct {
	Mixed       int // a controller served by a version after another one served by a later one
	Half        int // what was withdrawn acted, or what was told to be in force didn't on one that served
	FalseWord   int // two words on one change contradict each other
	ServedAfter int // a controller began to serve by an older version after the word, or served without a lease
	Spans       int // that were judged
	Samples     int
	Words       int
	Broken      []string
}

func newScaleJudge() *scaleJudge {
	return &scaleJudge{open: map[string]servingSpan{}, changes: map[string]uint64{}}
}

// serving: a controller serves by a version from now on.
func (j *scaleJudge) serving(controller string, version, policy uint64, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.open[controller] = servingSpan{controller: controller, version: version, policy: policy, from: at}
}

// ended: it served until a time.
func (j *scaleJudge) ended(controller string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	span, had := j.open[controller]
	if !had {
		return
	}
	delete(j.open, controller)
	span.to = at
	j.spans = append(j.spans, span)
}

func (j *scaleJudge) sampled(s servingSample) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.samples = append(j.samples, s)
}

// asked: a change with a text of this digest was asked for.
func (j *scaleJudge) asked(id string, policy uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changes[id] = policy
}

// told: somebody got a word. One that isn't known yet is none.
func (j *scaleJudge) told(w toldWord) {
	if w.word == "settled" {
		w.word = "in force"
	}
	if w.word != "in force" && w.word != "withdrawn" && w.word != "refused" {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.words = append(j.words, w)
}

// servingNow is how many controllers serve, of those that tell spans.
func (j *scaleJudge) servingNow() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.open)
}

// servingAt is how many served at a time, of those that tell spans.
func (j *scaleJudge) servingAt(at time.Time) (n int) {
	for _, s := range j.all(time.Now()) {
		if !s.from.After(at) && s.to.After(at) {
			n++
		}
	}
	return n
}

// lastBegin is when the last of those that serve now began by a version; zero if none has.
func (j *scaleJudge) lastBegin(version uint64) (last time.Time) {
	for _, s := range j.all(time.Now()) {
		if s.version == version && s.from.After(last) {
			last = s.from
		}
	}
	return last
}

// all gives every span; those that go on end now.
func (j *scaleJudge) all(now time.Time) []servingSpan {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := slices.Clone(j.spans)
	for _, s := range j.open {
		s.to = now
		all = append(all, s)
	}
	return all
}

// verdict judges all that was told so far.
func (j *scaleJudge) verdict() scaleVerdict {
	spans := j.all(time.Now())
	j.mu.Lock()
	defer j.mu.Unlock()
	slices.SortFunc(spans, func(a, b servingSpan) int {
		return cmp.Or(a.from.Compare(b.from), cmp.Compare(a.controller, b.controller))
	})
	v := scaleVerdict{Spans: len(spans), Samples: len(j.samples), Words: len(j.words)}
	first := j.firstServed(spans)
	for _, s := range spans {
		if later, at := first.before(s.version, s.to); later != 0 {
			v.broke(&v.Mixed, "mixed: %s served by version %d until %v after version %d was served by", s.controller, s.version, s.to.Sub(at), later)
		}
	}
	for _, s := range j.samples {
		if !s.serves {
			continue
		}
		if later, at := first.before(s.version, s.asked); later != 0 {
			v.broke(&v.Mixed, "mixed: %s said %v after version %d was served by that it serves by version %d", s.controller, s.asked.Sub(at), later, s.version)
		}
		if s.leaseMS == 0 {
			v.broke(&v.ServedAfter, "served_after: %s said that it serves, with no lease left", s.controller)
		}
	}
	byID := j.judgeWords(&v)
	for _, w := range byID {
		j.judgeWord(&v, w, spans)
	}
	return v
}

// broke counts one fault and keeps the first of them in words.
func (v *scaleVerdict) broke(count *int, form string, args ...any) {
	*count++
	if len(v.Broken) < faultsShown {
		v.Broken = append(v.Broken, fmt.Sprintf(form, args...))
	}
}

const faultsShown = 20

// firstTimes are when versions were first served by.
type firstTimes map[uint64]time.Time

func (j *scaleJudge) firstServed(spans []servingSpan) firstTimes {
	first := firstTimes{}
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
			note(s.version, s.answered)
		}
	}
	return first
}

// before gives a version later than this one that was served by before a time.
func (f firstTimes) before(version uint64, end time.Time) (later uint64, at time.Time) {
	for v, at := range f {
		if v > version && at.Before(end) {
			return v, at
		}
	}
	return 0, time.Time{}
}

// judgeWords holds the words on each change against each other, and those on one version.
// It gives the first word on each.
func (j *scaleJudge) judgeWords(v *scaleVerdict) []toldWord {
	first, byVersion, list := map[string]toldWord{}, map[uint64]string{}, []toldWord(nil)
	for _, w := range j.words {
		had, is := first[w.id]
		if !is {
			first[w.id] = w
			list = append(list, w)
		} else if had.word != w.word && (had.word == "in force" || w.word == "in force") || w.word == "in force" && had.version != w.version {
			v.broke(&v.FalseWord, "false_word: %s told that %s is %s (version %d), %s that it is %s (version %d)",
				had.by, w.id, had.word, had.version, w.by, w.word, w.version)
		}
		if w.word != "in force" {
			continue
		}
		if other, is := byVersion[w.version]; is && other != w.id {
			v.broke(&v.FalseWord, "false_word: version %d was told to be %s and to be %s", w.version, other, w.id)
		}
		byVersion[w.version] = w.id
	}
	return list
}

// judgeWord holds what was served against the first word on a change.
func (j *scaleJudge) judgeWord(v *scaleVerdict, w toldWord, spans []servingSpan) {
	policy := j.changes[w.id]
	for _, s := range spans {
		switch {
		case w.word != "in force":
			if policy != 0 && s.policy == policy {
				v.broke(&v.Half, "half: %s served by %s, which was %s", s.controller, w.id, w.word)
			}
		case s.version == w.version && policy != 0 && s.policy != policy:
			v.broke(&v.Half, "half: %s served by another policy as version %d than %s", s.controller, s.version, w.id)
		case s.version >= w.version || !s.to.After(w.at):
		case s.from.After(w.at):
			v.broke(&v.ServedAfter, "served_after: %s began to serve by version %d, %v after %s was told to be in force", s.controller, s.version, s.from.Sub(w.at), w.id)
		default:
			v.broke(&v.Half, "half: %s served by version %d when %s (version %d) was told to be in force", s.controller, s.version, w.id, w.version)
		}
	}
	if w.word != "in force" {
		return
	}
	for _, s := range j.samples {
		if s.serves && s.version < w.version && s.asked.After(w.at) {
			v.broke(&v.ServedAfter, "served_after: %s served by version %d, %v after %s was told to be in force", s.controller, s.version, s.asked.Sub(w.at), w.id)
		}
	}
}

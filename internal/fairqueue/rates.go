package fairqueue

import (
	"math"
	"time"
)

func seconds(x float64) time.Duration {
	return time.Duration(min(x, 1e9) * float64(time.Second))
}

// runningMean is an average in which old values fade.
type runningMean struct{ value, count float64 }

func (m *runningMean) add(x, most float64) {
	m.count = min(m.count+1, most)
	m.value += (x - m.value) / m.count
}

func (m *runningMean) valueOr(absent float64) float64 {
	if m.count == 0 {
		return absent
	}
	return m.value
}

// arrivalRate is an amount a second, from what arrived in whole seconds. A surge counts for no more
// than a few times the usual: it is not the start of an endless one, and its queries already wait.
type arrivalRate struct {
	value          float64
	current        float64 // of the second under way
	largestArrival float64 // single amount in it
	secondStart    time.Duration
	secondsSeen    int // that were seen
	started        bool
}

const (
	rateSpan  = 8.0 // seconds that it remembers, about
	maxGrowth = 2.0
)

func (r *arrivalRate) add(now time.Duration, x float64) {
	if !r.started {
		r.started, r.secondStart = true, now
	}
	r.advance(now)
	r.current += x
	r.largestArrival = max(r.largestArrival, x)
}

func (r *arrivalRate) advance(now time.Duration) {
	for now-r.secondStart >= time.Second {
		if now-r.secondStart > time.Minute { // long nothing
			r.value, r.current, r.secondsSeen, r.secondStart = 0, 0, 0, now
			return
		}
		x := r.current
		if r.secondsSeen >= 2 {
			x = min(x, maxGrowth*r.value+r.largestArrival)
		}
		r.secondsSeen++
		r.value += (x - r.value) / min(float64(r.secondsSeen), rateSpan)
		r.current, r.largestArrival = 0, 0
		r.secondStart += time.Second
	}
}

func (r *arrivalRate) perSecond(now time.Duration) float64 {
	if !r.started {
		return 0
	}
	r.advance(now)
	if r.secondsSeen == 0 { // of the first second, what came so far
		return r.current / max(0.5, (now-r.secondStart).Seconds())
	}
	return r.value
}

// saturatedRate measures an amount a second while queries wait, and at no other time: that is what
// the engines can do.
type saturatedRate struct {
	amount, span float64
	updatedAt    time.Duration
	saturated    bool
}

const saturatedSpan = 20.0 // seconds of waiting that it remembers, about

func (f *saturatedRate) advance(now time.Duration) {
	dt := (now - f.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	f.updatedAt = now
	if !f.saturated {
		return // what was learned keeps, and what goes now says nothing
	}
	k := math.Exp(-min(dt, 1) / saturatedSpan)
	f.amount *= k
	f.span = f.span*k + saturatedSpan*(1-k)
}

func (f *saturatedRate) setSaturated(now time.Duration, full bool) {
	f.advance(now)
	f.saturated = full
}

func (f *saturatedRate) add(now time.Duration, x float64) {
	f.advance(now)
	if f.saturated {
		f.amount += x
	}
}

// perSecond returns the rate, and in known for how many seconds it was seen of late.
func (f *saturatedRate) perSecond() (r, known float64) {
	if f.span < 1e-9 {
		return 0, 0
	}
	return f.amount / f.span, f.span
}

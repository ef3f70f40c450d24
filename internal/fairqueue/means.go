package fairqueue

import (
	"math"
	"time"
)

func seconds(x float64) time.Duration {
	return time.Duration(min(x, 1e9) * float64(time.Second))
}

// mean is a running average that forgets.
type mean struct{ value, count float64 }

func (m *mean) add(x, most float64) {
	m.count = min(m.count+1, most)
	m.value += (x - m.value) / m.count
}

func (m *mean) or(absent float64) float64 {
	if m.count == 0 {
		return absent
	}
	return m.value
}

// rate is an amount a second, from what came in whole seconds. A crowd counts for
// no more than a few times the usual: it is not the start of an endless one, and
// what it leaves behind waits already.
type rate struct {
	value   float64
	bucket  float64 // of the second under way
	largest float64 // single amount in it
	from    time.Duration
	seconds int // that were seen
	any     bool
}

const (
	rateSpan  = 8.0 // seconds that it remembers, about
	timesMost = 2.0
)

func (r *rate) add(now time.Duration, x float64) {
	if !r.any {
		r.any, r.from = true, now
	}
	r.pass(now)
	r.bucket += x
	r.largest = max(r.largest, x)
}

func (r *rate) pass(now time.Duration) {
	for now-r.from >= time.Second {
		if now-r.from > time.Minute { // long nothing
			r.value, r.bucket, r.seconds, r.from = 0, 0, 0, now
			return
		}
		x := r.bucket
		if r.seconds >= 2 {
			x = min(x, timesMost*r.value+r.largest)
		}
		r.seconds++
		r.value += (x - r.value) / min(float64(r.seconds), rateSpan)
		r.bucket, r.largest = 0, 0
		r.from += time.Second
	}
}

func (r *rate) per(now time.Duration) float64 {
	if !r.any {
		return 0
	}
	r.pass(now)
	if r.seconds == 0 { // of the first second, what came so far
		return r.bucket / max(0.5, (now-r.from).Seconds())
	}
	return r.value
}

// flow measures an amount a second while queries wait, and at no other time: that
// is what the engines can do.
type flow struct {
	amount, span float64
	at           time.Duration
	isFull       bool
}

const flowSpan = 20.0 // seconds of waiting that it remembers, about

func (f *flow) pass(now time.Duration) {
	dt := (now - f.at).Seconds()
	if dt <= 0 {
		return
	}
	f.at = now
	if !f.isFull {
		return // what was learned keeps, and what goes now says nothing
	}
	k := math.Exp(-min(dt, 1) / flowSpan)
	f.amount *= k
	f.span = f.span*k + flowSpan*(1-k)
}

func (f *flow) full(now time.Duration, full bool) {
	f.pass(now)
	f.isFull = full
}

func (f *flow) add(now time.Duration, x float64) {
	f.pass(now)
	if f.isFull {
		f.amount += x
	}
}

// per is the rate; known says for how many seconds it was seen of late.
func (f *flow) per() (r, known float64) {
	if f.span < 1e-9 {
		return 0, 0
	}
	return f.amount / f.span, f.span
}

// memory keeps what repeats of calls need, bounded in number and age.
type memory struct {
	by    map[uint64]past
	order []uint64
}

type past struct {
	arrived, at time.Duration
	charged     float64
	team        int
}

const (
	pastMost  = 1 << 16
	pastKeeps = time.Minute
)

func (m *memory) len() int { return len(m.by) }

func (m *memory) put(id uint64, p past) {
	if m.by == nil {
		m.by = map[uint64]past{}
	}
	if _, had := m.by[id]; !had {
		if len(m.by) >= pastMost {
			m.dropFirst()
		}
		m.order = append(m.order, id)
	}
	m.by[id] = p
}

func (m *memory) take(id uint64) (past, bool) {
	p, ok := m.by[id]
	delete(m.by, id)
	return p, ok
}

func (m *memory) dropFirst() {
	for len(m.order) > 0 {
		id := m.order[0]
		m.order = m.order[1:]
		if _, had := m.by[id]; had {
			delete(m.by, id)
			return
		}
	}
}

func (m *memory) drop(now time.Duration) {
	for len(m.order) > 0 {
		p, had := m.by[m.order[0]]
		if had && now-p.at < pastKeeps {
			return
		}
		delete(m.by, m.order[0])
		m.order = m.order[1:]
	}
}

package fairqueue

import (
	"math"
	"time"
)

// seconds converts seconds to a duration, limited to 1e9 seconds to prevent overflow.
func seconds(x float64) time.Duration {
	return time.Duration(min(x, 1e9) * float64(time.Second))
}

// runningMean is the mean of the first values, and an exponentially weighted mean once their number
// has reached the limit given to add.
type runningMean struct{ value, count float64 }

func (m *runningMean) add(x, maxCount float64) {
	m.count = min(m.count+1, maxCount)
	m.value += (x - m.value) / m.count
}

func (m *runningMean) valueOr(absent float64) float64 {
	if m.count == 0 {
		return absent
	}
	return m.value
}

// arrivalRate measures an amount per second from the totals of whole seconds. From the third second on,
// a second counts for at most maxRateGrowth times the rate before it plus its largest single amount:
// most surges end soon, and their queries are counted in the backlog already.
type arrivalRate struct {
	value          float64
	current        float64 // total of the current second
	largestArrival float64 // largest single amount in the current second
	secondStart    time.Duration
	secondsSeen    int // completed seconds
	started        bool
}

const (
	rateMemorySeconds = 8.0 // time constant of the moving average
	maxRateGrowth     = 2.0 // per second
)

func (r *arrivalRate) add(now time.Duration, amount float64) {
	if !r.started {
		r.started, r.secondStart = true, now
	}
	r.advance(now)
	r.current += amount
	r.largestArrival = max(r.largestArrival, amount)
}

// advance adds each second that has ended since the last call to the rate. After more than a minute without
// a call, the measurement restarts.
func (r *arrivalRate) advance(now time.Duration) {
	for now-r.secondStart >= time.Second {
		if now-r.secondStart > time.Minute { // restarts after a long idle time
			r.value, r.current, r.secondsSeen, r.secondStart = 0, 0, 0, now
			return
		}
		arrived := r.current
		if r.secondsSeen >= 2 {
			arrived = min(arrived, maxRateGrowth*r.value+r.largestArrival)
		}
		r.secondsSeen++
		r.value += (arrived - r.value) / min(float64(r.secondsSeen), rateMemorySeconds)
		r.current, r.largestArrival = 0, 0
		r.secondStart += time.Second
	}
}

func (r *arrivalRate) perSecond(now time.Duration) float64 {
	if !r.started {
		return 0
	}
	r.advance(now)
	if r.secondsSeen == 0 { // extrapolates the first second
		return r.current / max(0.5, (now-r.secondStart).Seconds())
	}
	return r.value
}

// saturatedRate measures an amount per second, but only while queries wait for capacity: the rate is
// then the throughput that the engines are capable of.
type saturatedRate struct {
	amount, observedSeconds float64
	updatedAt               time.Duration
	saturated               bool
}

const saturatedMemorySeconds = 20.0 // time constant of the moving average

// advance decays the older observations and adds the time since the last call to observedSeconds. While no
// query waits for capacity, it keeps the observations as they are.
func (r *saturatedRate) advance(now time.Duration) {
	elapsed := (now - r.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	r.updatedAt = now
	if !r.saturated {
		return // keeps the measured rate: the current load is below capacity
	}
	decay := math.Exp(-min(elapsed, 1) / saturatedMemorySeconds)
	r.amount *= decay
	r.observedSeconds = r.observedSeconds*decay + saturatedMemorySeconds*(1-decay)
}

func (r *saturatedRate) setSaturated(now time.Duration, saturated bool) {
	r.advance(now)
	r.saturated = saturated
}

func (r *saturatedRate) add(now time.Duration, amount float64) {
	r.advance(now)
	if r.saturated {
		r.amount += amount
	}
}

// perSecond returns the rate, and how many of the recent seconds were observed.
func (r *saturatedRate) perSecond() (rate, observedSeconds float64) {
	if r.observedSeconds < 1e-9 {
		return 0, 0
	}
	return r.amount / r.observedSeconds, r.observedSeconds
}

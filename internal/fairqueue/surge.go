package fairqueue

import (
	"time"
)

// surge detects that far more arrives at once than usually does, as when an alert goes out: how
// much more, and for how long it will go on. That is as long as surges lately lasted or, if there
// was none yet, as long again as this one has. Without it the first queries of a surge would be
// told of nobody behind them, and a surge that is over would be taken for usual from then on.
type surge struct {
	slots       [surgeSlots]float64 // work that came, by crowdSlot
	lastSlot    int64
	sum         float64 // of the slots
	active      bool
	becameUsual bool // it went on for too long: it is what usually comes from here on
	startedAt   time.Duration
	work        float64 // that came since
	lastBusyAt  time.Duration
	durations   runningMean // seconds that crowds took
}

const (
	surgeSlots    = 4
	surgeSlotSpan = 25 * time.Millisecond
	surgeFactor   = 3.0 // of what usually comes
	maxSurge      = time.Second
)

// advance moves the slots to a time.
func (x *surge) advance(now time.Duration) {
	at := int64(now / surgeSlotSpan)
	if at-x.lastSlot >= surgeSlots {
		x.slots, x.sum = [surgeSlots]float64{}, 0
	} else {
		for ; x.lastSlot < at; x.lastSlot++ {
			s := &x.slots[(x.lastSlot+1)%surgeSlots]
			x.sum -= *s
			*s = 0
		}
	}
	x.lastSlot = at
}

// add counts arrived work, where usual is the usual rate and least an amount that is no surge. It
// returns how many times the usual arrives.
func (x *surge) add(now time.Duration, work, usual, least float64) float64 {
	x.update(now, usual, least)
	x.slots[x.lastSlot%surgeSlots] += work
	x.sum += work
	if x.active {
		x.work += work
		late := x.slots[x.lastSlot%surgeSlots] + x.slots[(x.lastSlot+surgeSlots-1)%surgeSlots]
		if late > surgeFactor*usual*2*surgeSlotSpan.Seconds() {
			x.lastBusyAt = now
		}
		return x.factor(now, usual)
	}
	return 1
}

// update decides whether a surge starts, goes on or is over.
func (x *surge) update(now time.Duration, usual, least float64) {
	x.advance(now)
	span := (surgeSlots * surgeSlotSpan).Seconds()
	many := x.sum > surgeFactor*usual*span+least
	switch {
	case !x.active && many && !x.becameUsual:
		x.active, x.startedAt, x.lastBusyAt, x.work = true, max(0, now-surgeSlotSpan), now, x.sum
	case x.active && !many:
		x.active = false
		x.durations.add((x.lastBusyAt - x.startedAt).Seconds(), 4)
	case x.active && now-x.startedAt > maxSurge:
		x.active, x.becameUsual = false, true
	case x.becameUsual && !many:
		x.becameUsual = false
	}
}

// factor is how many times the usual arrives while a surge goes on, else 1.
func (x *surge) factor(now time.Duration, usual float64) float64 {
	if !x.active || usual <= 0 {
		return 1
	}
	return max(1, x.work/max(now-x.startedAt, surgeSlotSpan).Seconds()/usual)
}

// remainingSeconds is for how much longer a surge will go on.
func (x *surge) remainingSeconds(now time.Duration) float64 {
	if !x.active {
		return 0
	}
	been := (now - x.startedAt).Seconds()
	return max(0, x.durations.valueOr(2*been)-been)
}

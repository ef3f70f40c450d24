package fairqueue

import (
	"math"
	"time"
)

// crowd tells when far more comes at once than usually does, as when an alert goes
// out, how much more, and for how long it will go on: as long as crowds lately did,
// or if there was none yet, as long again as it has. Without it those who come
// first in a crowd are told of nobody behind them, and a crowd that is over is
// thought to be the usual from then on.
type crowd struct {
	slots  [crowdSlots]float64 // work that came, by crowdSlot
	slot   int64
	sum    float64 // of the slots
	on     bool
	spent  bool // it went on for too long: it is what usually comes from here on
	since  time.Duration
	amount float64 // that came since
	last   time.Duration
	long   mean // seconds that crowds took
}

const (
	crowdSlots = 4
	crowdSlot  = 25 * time.Millisecond
	crowdTimes = 3.0 // of what usually comes
	crowdMost  = time.Second
)

// pass brings the slots to a time.
func (x *crowd) pass(now time.Duration) {
	at := int64(now / crowdSlot)
	if at-x.slot >= crowdSlots {
		x.slots, x.sum = [crowdSlots]float64{}, 0
	} else {
		for ; x.slot < at; x.slot++ {
			s := &x.slots[(x.slot+1)%crowdSlots]
			x.sum -= *s
			*s = 0
		}
	}
	x.slot = at
}

// add counts what came where so much a second usually does; least is an amount
// that says nothing. It tells how many times the usual it counts for.
func (x *crowd) add(now time.Duration, work, usual, least float64) float64 {
	x.look(now, usual, least)
	x.slots[x.slot%crowdSlots] += work
	x.sum += work
	if x.on {
		x.amount += work
		if late := x.slots[x.slot%crowdSlots] + x.slots[(x.slot+crowdSlots-1)%crowdSlots]; late > crowdTimes*usual*2*crowdSlot.Seconds() {
			x.last = now
		}
		return x.times(now, usual)
	}
	return 1
}

// look judges what came of late.
func (x *crowd) look(now time.Duration, usual, least float64) {
	x.pass(now)
	span := (crowdSlots * crowdSlot).Seconds()
	many := x.sum > crowdTimes*usual*span+least
	switch {
	case !x.on && many && !x.spent:
		x.on, x.since, x.last, x.amount = true, max(0, now-crowdSlot), now, x.sum
	case x.on && !many:
		x.on = false
		x.long.add((x.last - x.since).Seconds(), 4)
	case x.on && now-x.since > crowdMost:
		x.on, x.spent = false, true
	case x.spent && !many:
		x.spent = false
	}
}

// times is how many times the usual comes while it goes on.
func (x *crowd) times(now time.Duration, usual float64) float64 {
	if !x.on || usual <= 0 {
		return 1
	}
	return max(1, x.amount/max(now-x.since, crowdSlot).Seconds()/usual)
}

// left is for how many seconds more it will go on.
func (x *crowd) left(now time.Duration) float64 {
	if !x.on {
		return 0
	}
	been := (now - x.since).Seconds()
	return max(0, x.long.or(2*been)-been)
}

// trim is what a lane's last estimates were off by, as a factor. Of short waits it is
// taken over soon: those who just started came a moment ago. Who starts after a long
// wait was told of another state of things; of that only a part is taken over,
// slowly, and never much.
type trim struct {
	short, long float64 // logarithms of the wait had over the one told
	at          time.Duration
}

const (
	trimShort = 0.2  // of a new one's error that is taken over
	trimLong  = 0.01 // the same of long waits
	trimFades = time.Second
	trimMost  = 1.0 // of the logarithm
	trimUsed  = 0.7 // of the error of long waits
	trimFew   = 0.25
	trimWaits = 0.6  // seconds of wait that are half short and half long
	trimLeast = 0.02 // seconds that say nothing
)

func (x *trim) pass(now time.Duration) {
	x.short *= math.Exp(-(now - x.at).Seconds() / trimFades.Seconds())
	x.at = now
}

// add learns of a start.
func (x *trim) add(now time.Duration, told, had float64) {
	x.pass(now)
	off := max(-trimMost, min(math.Log((had+trimLeast)/(told+trimLeast)), trimMost))
	short := shortness(max(told, had))
	x.short += short * trimShort * (off - x.short)
	x.long += (1 - short) * trimLong * (off - x.long)
}

func shortness(wait float64) float64 {
	r := wait / trimWaits
	return 1 / (1 + r*r*r)
}

// by is the factor for an estimate.
func (x *trim) by(now time.Duration, wait float64) float64 {
	if x.short == 0 && x.long == 0 {
		return 1
	}
	x.pass(now)
	short := shortness(wait)
	long := max(-trimFew, min(trimUsed*x.long, trimFew))
	return math.Exp(short*x.short + (1-short)*long)
}

package fairqueue

import (
	"math"
	"time"
)

// estimateCorrection is the factor by which a lane's last estimates were wrong. The error of short
// waits is taken over soon: queries that just started arrived a moment ago. A query that starts
// after a long wait got its estimate in another state of things; of its error only a part is taken
// over, slowly, and never much.
type estimateCorrection struct {
	shortWaits, longWaits float64 // logarithms of the wait over its estimate
	updatedAt             time.Duration
}

const (
	correctionShortGain  = 0.2  // of a new one's error that is taken over
	correctionLongGain   = 0.01 // the same of long waits
	correctionDecay      = time.Second
	maxCorrectionLog     = 1.0 // of the logarithm
	correctionLongUsed   = 0.7 // of the error of long waits
	maxLongCorrectionLog = 0.25
	shortWaitSeconds     = 0.6  // seconds of wait that are half short and half long
	minMeaningfulWait    = 0.02 // seconds that say nothing
)

func (x *estimateCorrection) advance(now time.Duration) {
	x.shortWaits *= math.Exp(-(now - x.updatedAt).Seconds() / correctionDecay.Seconds())
	x.updatedAt = now
}

// add learns from a start: the wait as estimated and as it was, in seconds.
func (x *estimateCorrection) add(now time.Duration, told, had float64) {
	x.advance(now)
	ratio := (had + minMeaningfulWait) / (told + minMeaningfulWait)
	off := max(-maxCorrectionLog, min(math.Log(ratio), maxCorrectionLog))
	short := shortness(max(told, had))
	x.shortWaits += short * correctionShortGain * (off - x.shortWaits)
	x.longWaits += (1 - short) * correctionLongGain * (off - x.longWaits)
}

func shortness(wait float64) float64 {
	r := wait / shortWaitSeconds
	return 1 / (1 + r*r*r)
}

// factor is the correction of an estimate in seconds.
func (x *estimateCorrection) factor(now time.Duration, wait float64) float64 {
	if x.shortWaits == 0 && x.longWaits == 0 {
		return 1
	}
	x.advance(now)
	short := shortness(wait)
	long := max(-maxLongCorrectionLog, min(correctionLongUsed*x.longWaits, maxLongCorrectionLog))
	return math.Exp(short*x.shortWaits + (1-short)*long)
}

package fairqueue

import (
	"math"
	"time"
)

// estimateCorrection corrects a lane's wait estimates by the error of its recent estimates. It
// follows the error of short waits quickly, because queries that start after a short wait arrived
// a moment ago. A query that starts after a long wait was estimated under different conditions, so
// the correction of long waits is slow, partial and limited.
type estimateCorrection struct {
	shortLogRatio, longLogRatio float64 // mean logarithm of actual over estimated wait
	updatedAt                   time.Duration
}

const (
	shortWaitGain       = 0.2  // part of a new error that enters shortLogRatio
	longWaitGain        = 0.01 // part of a new error that enters longLogRatio
	shortWaitDecay      = time.Second
	maxLogRatio         = 1.0 // limit of the error of a single query
	longWaitWeight      = 0.7 // part of longLogRatio that is applied
	maxLongWaitLogRatio = 0.25
	waitMidpointSeconds = 0.6  // wait that counts half as short and half as long
	waitOffsetSeconds   = 0.02 // added to both waits, so that tiny waits give no large ratio
)

func (c *estimateCorrection) advance(now time.Duration) {
	c.shortLogRatio *= math.Exp(-(now - c.updatedAt).Seconds() / shortWaitDecay.Seconds())
	c.updatedAt = now
}

// add records the estimated and the actual wait of a query that started, in seconds.
func (c *estimateCorrection) add(now time.Duration, estimated, actual float64) {
	c.advance(now)
	ratio := (actual + waitOffsetSeconds) / (estimated + waitOffsetSeconds)
	logRatio := max(-maxLogRatio, min(math.Log(ratio), maxLogRatio))
	shortFraction := shortWaitFraction(max(estimated, actual))
	c.shortLogRatio += shortFraction * shortWaitGain * (logRatio - c.shortLogRatio)
	c.longLogRatio += (1 - shortFraction) * longWaitGain * (logRatio - c.longLogRatio)
}

// shortWaitFraction returns the weight with which a wait counts as short: near 1 far below
// waitMidpointSeconds, near 0 far above.
func shortWaitFraction(wait float64) float64 {
	ratio := wait / waitMidpointSeconds
	return 1 / (1 + ratio*ratio*ratio)
}

// factor returns the number by which to multiply a wait estimate, given in seconds.
func (c *estimateCorrection) factor(now time.Duration, wait float64) float64 {
	if c.shortLogRatio == 0 && c.longLogRatio == 0 {
		return 1
	}
	c.advance(now)
	shortFraction := shortWaitFraction(wait)
	longLogRatio := max(-maxLongWaitLogRatio, min(longWaitWeight*c.longLogRatio, maxLongWaitLogRatio))
	return math.Exp(shortFraction*c.shortLogRatio + (1-shortFraction)*longLogRatio)
}

package transport

import (
	"maps"
	"sync"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// counters counts operations and rejections, and reports rejections to onRejected at most once
// per logInterval for each peer and reason. PeerTransport and ControlServer embed counters.
type counters struct {
	started    time.Time
	onRejected func(fleet.ErrorWithRemedy, string) // may be nil
	countMu    sync.Mutex
	counts     map[string]int
	limiter    logLimiter
}

func (c *counters) init(onRejected func(fleet.ErrorWithRemedy, string)) {
	c.started, c.onRejected, c.counts, c.limiter = time.Now(), onRejected, map[string]int{}, logLimiter{}
}

func (c *counters) snapshot() map[string]int {
	c.countMu.Lock()
	defer c.countMu.Unlock()
	return maps.Clone(c.counts)
}

func (c *counters) count(name string, n int) {
	c.countMu.Lock()
	c.counts[name] += n
	c.countMu.Unlock()
}

// reject counts a rejection, and reports it unless the same peer and reason were reported within
// logInterval.
func (c *counters) reject(err RejectionError, from string) {
	c.countMu.Lock()
	c.counts["refused_"+err.Reason()]++
	shouldLog := c.limiter.allow(from, err.Reason(), time.Since(c.started))
	c.countMu.Unlock()
	if shouldLog && c.onRejected != nil {
		c.onRejected(err, from)
	}
}

const (
	logInterval = time.Minute
	maxLogKeys  = 4096 // pairs of peer and reason; rejections of further pairs are counted but not reported
)

type logKey struct{ peer, reason string }

// logLimiter holds the time at which each pair of peer and reason was last reported.
type logLimiter map[logKey]time.Duration

// allow reports whether a rejection may be reported now, and if so records the time. When the
// limiter is full, allow removes expired entries first.
func (l logLimiter) allow(peer, reason string, now time.Duration) bool {
	k := logKey{peer, reason}
	if last, ok := l[k]; ok && now-last < logInterval {
		return false
	}
	if len(l) >= maxLogKeys {
		for k, last := range l {
			if now-last >= logInterval {
				delete(l, k)
			}
		}
		if len(l) >= maxLogKeys {
			return false
		}
	}
	l[k] = now
	return true
}

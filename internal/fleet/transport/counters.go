package transport

import (
	"maps"
	"sync"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// counters counts what was done and what was rejected, and logs each reason once a minute
// for each peer. PeerTransport and ControlServer have one each.
type counters struct {
	started    time.Time
	onRejected func(fleet.ErrorWithRemedy, string) // nil: nothing is said
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

// refuse counts a rejection, and logs it if its peer and reason weren't logged lately.
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
	maxLogKeys  = 4096 // pairs of peer and reason remembered; over it nothing is said, only counted
)

type logKey struct{ peer, reason string }

// logLimiter keeps the log short: when each peer and reason was last logged.
type logLimiter map[logKey]time.Duration

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

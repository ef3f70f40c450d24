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
	started   time.Time
	onRefused func(fleet.ErrorWithRemedy, string) // nil: nothing is said
	countMu   sync.Mutex
	counts    map[string]int
	logged    logLimiter
}

func (t *counters) init(onRefused func(fleet.ErrorWithRemedy, string)) {
	t.started, t.onRefused, t.counts, t.logged = time.Now(), onRefused, map[string]int{}, logLimiter{}
}

func (t *counters) snapshot() map[string]int {
	t.countMu.Lock()
	defer t.countMu.Unlock()
	return maps.Clone(t.counts)
}

func (t *counters) count(name string, n int) {
	t.countMu.Lock()
	t.counts[name] += n
	t.countMu.Unlock()
}

// refuse counts a rejection, and logs it if its peer and reason weren't logged lately.
func (t *counters) refuse(err RejectionError, from string) {
	t.countMu.Lock()
	t.counts["refused_"+err.Reason()]++
	say := t.logged.allow(from, err.Reason(), time.Since(t.started))
	t.countMu.Unlock()
	if say && t.onRefused != nil {
		t.onRefused(err, from)
	}
}

const (
	logInterval = time.Minute
	maxLogKeys  = 4096 // pairs of peer and reason remembered; over it nothing is said, only counted
)

type logKey struct{ peer, reason string }

// logLimiter keeps the log short: when each peer and reason was last logged.
type logLimiter map[logKey]time.Duration

func (s logLimiter) allow(peer, reason string, now time.Duration) bool {
	k := logKey{peer, reason}
	if last, ok := s[k]; ok && now-last < logInterval {
		return false
	}
	if len(s) >= maxLogKeys {
		for k, last := range s {
			if now-last >= logInterval {
				delete(s, k)
			}
		}
		if len(s) >= maxLogKeys {
			return false
		}
	}
	s[k] = now
	return true
}

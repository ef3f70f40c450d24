package resultcache

import (
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Limits bounds the cache. All fields must be set except Groups.
type Limits struct {
	Freshness      time.Duration // an answer is served for this long after its query was started
	MaxBytes       int64         // bytes of all cached answers, including their statements
	MaxEntries     int           // cached answers at the same time
	MaxAnswerBytes int64         // a larger answer is not cached
	TenantShare    float64       // fraction of MaxBytes beyond which a tenant's answers are evicted first
	Groups         []string      // resource groups whose answers are cached; empty: all read-only groups
}

// DefaultLimits returns the limits for settings that are not given.
func DefaultLimits() Limits {
	return Limits{Freshness: 10 * time.Second, MaxBytes: 16 << 20, MaxEntries: 10_000, MaxAnswerBytes: 1 << 20,
		TenantShare: 0.25}
}

// Unusable is an invalid limit. Setting is its name below answers in the settings.
type Unusable struct{ Setting, Reason string }

func (e *Unusable) Error() string { return "answers: " + e.Setting + " " + e.Reason }

// Remedy tells an operator how to resolve the error.
func (e *Unusable) Remedy() string {
	return "set answers." + e.Setting +
		" in the settings, or leave answers out, so that every query goes to an engine"
}

// Errors returns one sample of each error type of this package.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{&Unusable{"fresh", "is 0s: no answer could ever be served"}}
}

// Check returns an *Unusable if a limit is invalid.
func (l Limits) Check() error {
	switch {
	case l.Freshness <= 0:
		return &Unusable{"fresh", fmt.Sprintf("is %v: no answer could ever be served", l.Freshness)}
	case l.MaxBytes <= 0:
		return &Unusable{"memory_mb", "leaves no room for any answer"}
	case l.MaxEntries <= 0:
		return &Unusable{"count", fmt.Sprintf("is %d: no answer could ever be cached", l.MaxEntries)}
	case l.MaxAnswerBytes <= 0:
		return &Unusable{"answer_kb", "leaves no room for any answer"}
	case !(l.TenantShare > 0) || l.TenantShare > 1:
		return &Unusable{"team_share", fmt.Sprintf("is %v, and must be over 0 and up to 1", l.TenantShare)}
	}
	return nil
}

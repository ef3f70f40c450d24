package resultcache

import (
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Limits are the cache's figures. All must be set but Groups.
type Limits struct {
	Freshness      time.Duration // an answer is served for so long from when its run began
	MaxBytes       int64         // bytes of all cached answers, statements included
	MaxEntries     int           // answers cached at once
	MaxAnswerBytes int64         // bytes; a larger answer is not cached
	TenantShare    float64       // part of Memory that a tenant may have before its answers are evicted first
	Groups         []string      // whose answers are cached; none: of all read-only groups
}

// DefaultLimits are the figures where the set-up says nothing.
func DefaultLimits() Limits {
	return Limits{Freshness: 10 * time.Second, MaxBytes: 16 << 20, MaxEntries: 10_000, MaxAnswerBytes: 1 << 20, TenantShare: 0.25}
}

// Unusable is a figure that no cache can be made with.
type Unusable struct{ Setting, Reason string }

func (e *Unusable) Error() string { return "answers: " + e.Setting + " " + e.Reason }

// Remedy says what an operator can do.
func (e *Unusable) Remedy() string {
	return "set answers." + e.Setting + " in the set-up, or leave answers out: then every query goes to an engine"
}

// Errors is one of each type that this package gives.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{&Unusable{"fresh", "is 0s: nothing could ever be served"}}
}

// Check reports what is wrong with the figures, nil if nothing is. Its error is an *Unusable.
func (l Limits) Check() error {
	switch {
	case l.Freshness <= 0:
		return &Unusable{"fresh", fmt.Sprintf("is %v: nothing could ever be served", l.Freshness)}
	case l.MaxBytes <= 0:
		return &Unusable{"memory_mb", "leaves no room for any answer"}
	case l.MaxEntries <= 0:
		return &Unusable{"count", fmt.Sprintf("is %d: nothing could ever be kept", l.MaxEntries)}
	case l.MaxAnswerBytes <= 0:
		return &Unusable{"answer_kb", "leaves no room for any answer"}
	case !(l.TenantShare > 0) || l.TenantShare > 1:
		return &Unusable{"team_share", fmt.Sprintf("is %v, and must be over 0 and up to 1", l.TenantShare)}
	}
	return nil
}

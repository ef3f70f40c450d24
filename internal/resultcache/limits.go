package resultcache

import (
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Limits are the cache's figures. All must be set but Groups.
type Limits struct {
	Fresh  time.Duration // an answer is served for so long from when its run began
	Memory int64         // bytes of all cached answers, statements included
	Count  int           // answers cached at once
	Answer int64         // bytes; a larger answer is not cached
	Team   float64       // part of Memory that a tenant may have before its answers are evicted first
	Groups []string      // whose answers are cached; none: of all read-only groups
}

// DefaultLimits are the figures where the set-up says nothing.
func DefaultLimits() Limits {
	return Limits{Fresh: 10 * time.Second, Memory: 16 << 20, Count: 10_000, Answer: 1 << 20, Team: 0.25}
}

// Unusable is a figure that no cache can be made with.
type Unusable struct{ Figure, Why string }

func (e *Unusable) Error() string { return "answers: " + e.Figure + " " + e.Why }

// Remedy says what an operator can do.
func (e *Unusable) Remedy() string {
	return "set answers." + e.Figure + " in the set-up, or leave answers out: then every query goes to an engine"
}

// Errors is one of each type that this package gives.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{&Unusable{"fresh", "is 0s: nothing could ever be served"}}
}

// Check reports what is wrong with the figures, nil if nothing is. Its error is an *Unusable.
func (l Limits) Check() error {
	switch {
	case l.Fresh <= 0:
		return &Unusable{"fresh", fmt.Sprintf("is %v: nothing could ever be served", l.Fresh)}
	case l.Memory <= 0:
		return &Unusable{"memory_mb", "leaves no room for any answer"}
	case l.Count <= 0:
		return &Unusable{"count", fmt.Sprintf("is %d: nothing could ever be kept", l.Count)}
	case l.Answer <= 0:
		return &Unusable{"answer_kb", "leaves no room for any answer"}
	case !(l.Team > 0) || l.Team > 1:
		return &Unusable{"team_share", fmt.Sprintf("is %v, and must be over 0 and up to 1", l.Team)}
	}
	return nil
}

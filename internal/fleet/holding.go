package fleet

import (
	"encoding/json"
	"fmt"
)

// LeaseStatus says whether a controller may hold a lease. Only the leader knows: asked of any
// other controller it is HoldingUnknown.
type LeaseStatus int

// What is known of a controller's lease.
const (
	LeaseStatusUnknown LeaseStatus = iota
	LeaseStatusNone
	LeaseStatusPossible
)

// unknownHolding is how HoldingUnknown is written, in text and in JSON.
const unknownHolding = "not known here"

// LeaseStatusOf is what the leader knows.
func LeaseStatusOf(mayHold bool) LeaseStatus {
	if mayHold {
		return LeaseStatusPossible
	}
	return LeaseStatusNone
}

// String is "yes", "no" or "not known here".
func (h LeaseStatus) String() string {
	switch h {
	case LeaseStatusPossible:
		return "yes"
	case LeaseStatusNone:
		return "no"
	}
	return unknownHolding
}

// MarshalJSON writes true, false or "not known here".
func (h LeaseStatus) MarshalJSON() ([]byte, error) {
	switch h {
	case LeaseStatusPossible, LeaseStatusNone:
		return json.Marshal(h == LeaseStatusPossible)
	}
	return json.Marshal(unknownHolding)
}

// UnmarshalJSON reads what MarshalJSON writes.
func (h *LeaseStatus) UnmarshalJSON(text []byte) error {
	switch string(text) {
	case "true":
		*h = LeaseStatusPossible
	case "false":
		*h = LeaseStatusNone
	case `"` + unknownHolding + `"`:
		*h = LeaseStatusUnknown
	default:
		return fmt.Errorf("holds: %s is neither true, false nor %q", text, unknownHolding)
	}
	return nil
}

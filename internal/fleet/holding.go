package fleet

import (
	"encoding/json"
	"fmt"
)

// Holding says whether a controller may hold a lease. Only the leader knows: asked of any
// other controller it is HoldingUnknown.
type Holding int

// What is known of a controller's lease.
const (
	HoldingUnknown Holding = iota
	HoldingNone
	HoldingLease
)

// unknownHolding is how HoldingUnknown is written, in text and in JSON.
const unknownHolding = "not known here"

// HoldingOf is what the leader knows.
func HoldingOf(mayHold bool) Holding {
	if mayHold {
		return HoldingLease
	}
	return HoldingNone
}

// String is "yes", "no" or "not known here".
func (h Holding) String() string {
	switch h {
	case HoldingLease:
		return "yes"
	case HoldingNone:
		return "no"
	}
	return unknownHolding
}

// MarshalJSON writes true, false or "not known here".
func (h Holding) MarshalJSON() ([]byte, error) {
	switch h {
	case HoldingLease, HoldingNone:
		return json.Marshal(h == HoldingLease)
	}
	return json.Marshal(unknownHolding)
}

// UnmarshalJSON reads what MarshalJSON writes.
func (h *Holding) UnmarshalJSON(text []byte) error {
	switch string(text) {
	case "true":
		*h = HoldingLease
	case "false":
		*h = HoldingNone
	case `"` + unknownHolding + `"`:
		*h = HoldingUnknown
	default:
		return fmt.Errorf("holds: %s is neither true, false nor %q", text, unknownHolding)
	}
	return nil
}

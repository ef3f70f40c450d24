package fleet

import (
	"encoding/json"
	"fmt"
)

// LeaseStatus says whether a controller may hold a lease. Only the leader knows; a status
// from any other controller has LeaseStatusUnknown.
type LeaseStatus int

// The values of LeaseStatus.
const (
	LeaseStatusUnknown LeaseStatus = iota
	LeaseStatusNone
	LeaseStatusPossible
)

// unknownLeaseStatus is LeaseStatusUnknown in text and in JSON.
const unknownLeaseStatus = "not known here"

// LeaseStatusOf returns the status for a controller that may or can't hold a lease.
func LeaseStatusOf(mayHold bool) LeaseStatus {
	if mayHold {
		return LeaseStatusPossible
	}
	return LeaseStatusNone
}

// String returns "yes", "no" or "not known here".
func (s LeaseStatus) String() string {
	switch s {
	case LeaseStatusPossible:
		return "yes"
	case LeaseStatusNone:
		return "no"
	}
	return unknownLeaseStatus
}

// MarshalJSON encodes the status as true, false or "not known here".
func (s LeaseStatus) MarshalJSON() ([]byte, error) {
	switch s {
	case LeaseStatusPossible, LeaseStatusNone:
		return json.Marshal(s == LeaseStatusPossible)
	}
	return json.Marshal(unknownLeaseStatus)
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (s *LeaseStatus) UnmarshalJSON(text []byte) error {
	switch string(text) {
	case "true":
		*s = LeaseStatusPossible
	case "false":
		*s = LeaseStatusNone
	case `"` + unknownLeaseStatus + `"`:
		*s = LeaseStatusUnknown
	default:
		return fmt.Errorf("holds: %s is neither true, false nor %q", text, unknownLeaseStatus)
	}
	return nil
}

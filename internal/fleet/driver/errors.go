package driver

import (
	"fmt"

	"railrelay.dev/railrelay/internal/fleet"
)

// WriteError is a write of the record that failed for a reason that the disk's own
// errors don't name.
type WriteError struct{ Err error }

func (e *WriteError) Error() string { return fmt.Sprintf("the record can't be written: %v", e.Err) }

// Remedy says what to do.
func (e *WriteError) Remedy() string {
	return "see to the disk of the fleet's directory (room, rights, its own log), " +
		"then start this controller again"
}

// Unwrap gives the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// BusyError is an ask that found too many others waiting.
type BusyError struct{}

func (e *BusyError) Error() string { return "too many asks wait at this controller" }

// Remedy says what to do.
func (e *BusyError) Remedy() string {
	return "ask again by the same id, here in a while or another controller now"
}

// RequestTimeoutError is a request whose outcome didn't come while it was waited for.
type RequestTimeoutError struct{ Kind, ID string }

func (e *RequestTimeoutError) Error() string {
	return "the word on " + e.Kind + " " + e.ID + " hasn't come yet"
}

// Remedy says what to do.
func (e *RequestTimeoutError) Remedy() string {
	return "ask again by the same id, of any controller: what was decided meanwhile is told then"
}

// Errors is one of each, for the test and the docs that walk all of them.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{&WriteError{fmt.Errorf("no space left on device")}, &BusyError{},
		&RequestTimeoutError{"apply", "a1"},
		&ListenError{"peers", "10.0.0.1:7600", fmt.Errorf("address already in use")}}
}

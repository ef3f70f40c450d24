package driver

import (
	"fmt"

	"railrelay.dev/railrelay/internal/fleet"
)

// WriteError says that writing the persistent state failed with an error that isn't one of package
// storage's own types.
type WriteError struct{ Err error }

func (e *WriteError) Error() string {
	return fmt.Sprintf("can't write the persistent state: %v", e.Err)
}

// Remedy returns what an operator can do about the error.
func (e *WriteError) Remedy() string {
	return "check the disk of the fleet's directory (free space, permissions, disk errors in the system log), " +
		"then restart this controller"
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// BusyError says that too many requests of operators wait at this controller.
type BusyError struct{}

func (e *BusyError) Error() string { return "too many requests wait at this controller" }

// Remedy returns what an operator can do about the error.
func (e *BusyError) Remedy() string {
	return "retry with the same id, at this controller later or at another one now"
}

// RequestTimeoutError says that the outcome of a request wasn't known when the caller stopped waiting
// or the core's goroutine ended.
type RequestTimeoutError struct{ Kind, ID string }

func (e *RequestTimeoutError) Error() string {
	return "the outcome of " + e.Kind + " " + e.ID + " isn't known yet"
}

// Remedy returns what an operator can do about the error.
func (e *RequestTimeoutError) Remedy() string {
	return "retry with the same id at any controller, which then returns the outcome"
}

// Errors returns an example of each error type, for the tests and documentation that cover all of them.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{&WriteError{fmt.Errorf("no space left on device")}, &BusyError{},
		&RequestTimeoutError{"apply", "a1"},
		&ListenError{"peers", "10.0.0.1:7600", fmt.Errorf("address already in use")}}
}

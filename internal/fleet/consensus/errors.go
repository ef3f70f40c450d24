package consensus

import (
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// TimeoutError is a heartbeat interval that isn't positive, or an election timeout shorter than two
// heartbeat intervals: one lost heartbeat could start an election.
type TimeoutError struct{ Election, Heartbeat time.Duration }

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("election timeout %v needs a positive heartbeat interval of at most half of it, not %v",
		e.Election, e.Heartbeat)
}

// Remedy tells an operator how to choose both times.
func (e *TimeoutError) Remedy() string {
	return "choose an election timeout of at least ten message round trips, and a tenth of it as the heartbeat"
}

// VoterNameError is a voter that has no name, is listed twice, or has the same ID as another.
type VoterNameError struct{ Name, OtherName string }

func (e *VoterNameError) Error() string {
	switch e.OtherName {
	case "":
		return "this controller or a voter has no name"
	case e.Name:
		return fmt.Sprintf("voter %q is listed twice", e.Name)
	}
	return fmt.Sprintf("voters %q and %q have the same ID", e.Name, e.OtherName)
}

// Remedy tells an operator how to choose the names.
func (e *VoterNameError) Remedy() string {
	return "give each voter a unique name; if two have the same ID, rename the one that was added last"
}

// LogGapError is a log that lacks entries. Index is that of the first entry after the gap, or of the
// first missing entry if the log ends too early.
type LogGapError struct{ Index uint64 }

func (e *LogGapError) Error() string {
	return fmt.Sprintf("log has a gap at entry %d", e.Index)
}

// Remedy tells an operator how to get the missing entries.
func (e *LogGapError) Remedy() string {
	return "copy the whole directory again from its source, or forget this controller and start it " +
		"with an empty directory under a new name; the other controllers have the log"
}

// PersistentStateError is persisted data that can't be used although its checksum matches.
type PersistentStateError struct{ Reason string }

func (e *PersistentStateError) Error() string { return "persisted state can't be used: " + e.Reason }

// Remedy tells an operator how to start the controller again.
func (e *PersistentStateError) Remedy() string {
	return "if a newer program version wrote it, start that version; otherwise forget this controller and " +
		"start it with an empty directory under a new name"
}

// Errors returns a sample of each error type of this package.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{
		&TimeoutError{time.Second, time.Second}, &VoterNameError{"a", "b"}, &LogGapError{7},
		&PersistentStateError{"hard state can't be decoded"},
	}
}

// discardLogger discards the library's log messages. A Fatal or Panic message becomes a panic.
type discardLogger struct{}

func (discardLogger) Debug(...any)            {}
func (discardLogger) Debugf(string, ...any)   {}
func (discardLogger) Error(...any)            {}
func (discardLogger) Errorf(string, ...any)   {}
func (discardLogger) Info(...any)             {}
func (discardLogger) Infof(string, ...any)    {}
func (discardLogger) Warning(...any)          {}
func (discardLogger) Warningf(string, ...any) {}
func (discardLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (discardLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

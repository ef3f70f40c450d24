package consensus

import (
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// TimeoutError is an election timeout that leaves no room for lost heartbeats.
type TimeoutError struct{ Election, Heartbeat time.Duration }

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("election after %v with a heartbeat each %v: at least two must fit in", e.Election, e.Heartbeat)
}

// Remedy says what an operator can do.
func (e *TimeoutError) Remedy() string {
	return "set the heartbeat to a tenth of the election time, and the election time to at least ten message round trips"
}

// VoterNameError is a voter without a name, named twice, or one whose number another has.
type VoterNameError struct{ Name, OtherName string }

func (e *VoterNameError) Error() string {
	switch e.OtherName {
	case "":
		return "a voter has no name, or this one hasn't"
	case e.Name:
		return fmt.Sprintf("voter %q is named twice", e.Name)
	}
	return fmt.Sprintf("voters %q and %q come to the same number", e.Name, e.OtherName)
}

// Remedy says what an operator can do.
func (e *VoterNameError) Remedy() string {
	return "give each voter one name of its own; if two come to the same number, rename the one that votes newest"
}

// LogGapError is a log entry missing from what the disk held.
type LogGapError struct{ Index uint64 }

func (e *LogGapError) Error() string {
	return fmt.Sprintf("what was kept has a gap before record %d", e.Index)
}

// Remedy says what an operator can do.
func (e *LogGapError) Remedy() string {
	return "restore the directory from where it was copied wholly, or forget this controller and start it " +
		"with an empty directory under a new name; the others have the record"
}

// PersistentStateError is persisted data that can't be decoded although its checksum is right.
type PersistentStateError struct{ Reason string }

func (e *PersistentStateError) Error() string { return "what was kept can't be used: " + e.Reason }

// Remedy says what an operator can do.
func (e *PersistentStateError) Remedy() string {
	return "it may be from a newer version of the program: start that one; else forget this controller and " +
		"start it with an empty directory under a new name"
}

// Errors has a sample of each of this package's errors.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{
		&TimeoutError{time.Second, time.Second}, &VoterNameError{"a", "b"}, &LogGapError{7}, &PersistentStateError{"term and vote can't be read"},
	}
}

// quiet keeps the library's log to itself; what it can't go on from is a panic.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

package consensus

import (
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// SpanError is an election time that leaves no room for lost heartbeats.
type SpanError struct{ Election, Heartbeat time.Duration }

func (e *SpanError) Error() string {
	return fmt.Sprintf("election after %v with a heartbeat each %v: at least two must fit in", e.Election, e.Heartbeat)
}

func (e *SpanError) Remedy() string {
	return "set the heartbeat to a tenth of the election time, and the election time to at least ten message round trips"
}

// NameError is a voter without a name, named twice, or one whose number another has.
type NameError struct{ Name, Other string }

func (e *NameError) Error() string {
	switch e.Other {
	case "":
		return "a voter has no name, or this one hasn't"
	case e.Name:
		return fmt.Sprintf("voter %q is named twice", e.Name)
	}
	return fmt.Sprintf("voters %q and %q come to the same number", e.Name, e.Other)
}

func (e *NameError) Remedy() string {
	return "give each voter one name of its own; if two come to the same number, rename the one that votes newest"
}

// GapError is a record missing from what the disk held.
type GapError struct{ Index uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("what was kept has a gap before record %d", e.Index)
}

func (e *GapError) Remedy() string {
	return "restore the directory from where it was copied wholly, or forget this controller and start it " +
		"with an empty directory under a new name; the others have the record"
}

// KeptError is something kept that can't be read, though its sum holds.
type KeptError struct{ What string }

func (e *KeptError) Error() string { return "what was kept can't be used: " + e.What }

func (e *KeptError) Remedy() string {
	return "it may be from a newer version of the program: start that one; else forget this controller and " +
		"start it with an empty directory under a new name"
}

// Errors has a sample of each of this package's errors.
func Errors() []fleet.Remedied {
	return []fleet.Remedied{
		&SpanError{time.Second, time.Second}, &NameError{"a", "b"}, &GapError{7}, &KeptError{"term and vote can't be read"},
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

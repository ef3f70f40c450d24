package capacity

import (
	"fmt"

	"railrelay.dev/railrelay/internal/fleet"
)

// FileError reports a line of the figures file that can't be read.
type FileError struct {
	Path  string
	Line  int    // from 1
	Field string // the column, or empty for the line as a whole
	Why   string
}

func (e *FileError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s, line %d: %s", e.Path, e.Line, e.Why)
	}
	return fmt.Sprintf("%s, line %d, %s: %s", e.Path, e.Line, e.Field, e.Why)
}

// Remedy tells the operator how to resolve the error.
func (e *FileError) Remedy() string {
	return "restore the file's last intact version from git (git checkout -- FILE) and " +
		"repeat the measurement that added the line; only the program adds figures, never by hand"
}

// RowError reports a figure that the file can't hold.
type RowError struct {
	Field string // the column
	Why   string
}

func (e *RowError) Error() string { return fmt.Sprintf("invalid %s of a figure: %s", e.Field, e.Why) }

// Remedy tells the operator how to resolve the error.
func (e *RowError) Remedy() string {
	return "nothing was written: the measurement produced an invalid figure; repeat it, " +
		"and if the error persists, fix the measurement's code"
}

// RoomError reports a size that exceeds this machine's resources, before the measurement starts.
type RoomError struct {
	What      string  // the resource, such as "descriptors"
	Need, Has float64 // in Unit
	Unit      string  // empty for a count
	Raise     string  // how to raise the limit
}

func (e *RoomError) Error() string {
	unit := e.Unit
	if unit != "" {
		unit = " " + unit
	}
	return fmt.Sprintf("the requested size needs %.0f%s of %s, but this machine has %.0f%s",
		e.Need, unit, e.What, e.Has, unit)
}

// Remedy tells the operator how to resolve the error.
func (e *RoomError) Remedy() string { return "request a smaller size, or " + e.Raise }

// SizeError reports a size outside the limits of a measurement.
type SizeError struct{ What, Why string }

func (e *SizeError) Error() string { return fmt.Sprintf("invalid %s: %s", e.What, e.Why) }

// Remedy tells the operator how to resolve the error.
func (e *SizeError) Remedy() string { return "request a size within the limits; nothing was started" }

// Errors returns one error of each type, for the test of all remedies.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{&FileError{"capacity.csv", 2, "size", "some reason"}, &RowError{"unit", "empty"},
		&RoomError{What: "descriptors", Need: 30000, Has: 20000, Raise: "raise it"}, &SizeError{"engines", "0 is under 1"},
		&FormulaError{"slope(1)", "a figure is missing"}, &PageError{4, fmt.Errorf("two cells in a table of three columns")}}
}

package capacity

import (
	"fmt"

	"railrelay.dev/railrelay/internal/fleet"
)

// FileError is a line of the file of figures that can't be read.
type FileError struct {
	Path  string
	Line  int    // from 1
	Field string // the column, empty if it is the line as a whole
	Why   string
}

func (e *FileError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s, line %d: %s", e.Path, e.Line, e.Why)
	}
	return fmt.Sprintf("%s, line %d, %s: %s", e.Path, e.Line, e.Field, e.Why)
}

// Remedy says what to do.
func (e *FileError) Remedy() string {
	return "take the file's last whole version from git (git checkout -- FILE) and run the measurement again that added the line; " +
		"figures are added by the program and not by hand"
}

// RowError is a figure that the file can't hold.
type RowError struct {
	Field string // the column
	Why   string
}

func (e *RowError) Error() string { return fmt.Sprintf("a figure's %s: %s", e.Field, e.Why) }

// Remedy says what to do.
func (e *RowError) Remedy() string {
	return "nothing was written: the measurement gave no such figure, so run it again; if that stays, its code is at fault"
}

// RoomError is a size that this machine can't play, found before anything starts.
type RoomError struct {
	What      string  // what there is too little of, such as "descriptors"
	Need, Has float64 // in Unit
	Unit      string  // empty for a plain count
	Raise     string  // how more is had
}

func (e *RoomError) Error() string {
	unit := e.Unit
	if unit != "" {
		unit = " " + unit
	}
	return fmt.Sprintf("the size asked for takes %.0f%s of %s, and here there are %.0f%s", e.Need, unit, e.What, e.Has, unit)
}

// Remedy says what to do.
func (e *RoomError) Remedy() string { return "ask for a smaller size, or " + e.Raise }

// SizeError is a size that can't be measured.
type SizeError struct{ What, Why string }

func (e *SizeError) Error() string { return fmt.Sprintf("the %s: %s", e.What, e.Why) }

// Remedy says what to do.
func (e *SizeError) Remedy() string { return "ask for one within its bounds; nothing was started" }

// Errors is one of each, for the test that walks all of them.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{&FileError{"capacity.csv", 2, "size", "some reason"}, &RowError{"unit", "it is empty"},
		&RoomError{What: "descriptors", Need: 30000, Has: 20000, Raise: "raise it"}, &SizeError{"engines", "0 is under 1"},
		&FormulaError{"slope(1)", "a figure is missing"}, &PageError{4, fmt.Errorf("two cells in a table of three columns")}}
}

package fleet

import "fmt"

// EntryError is an entry of the record that this program can't read.
type EntryError struct {
	Index uint64
	Err   error
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("entry %d of the record can't be read: %v", e.Index, e.Err)
}

// Remedy says what to do.
func (e *EntryError) Remedy() string {
	return "a newer program has written it: bring this controller to the fleet's version; until then it must not serve"
}

// SnapshotError is a state that can't be read.
type SnapshotError struct{ Err error }

func (e *SnapshotError) Error() string {
	return "the state of the record can't be read: " + e.Err.Error()
}

// Remedy says what to do.
func (e *SnapshotError) Remedy() string {
	return "move the fleet's directory away and start again under a new name; fleet forget the old name once its disk is destroyed"
}

// UnfitError is a policy in force that this controller's own set-up can't take.
type UnfitError struct {
	Version uint64
	Reason  string
}

func (e *UnfitError) Error() string {
	return fmt.Sprintf("the policy in force, version %d, can't be taken here: %s", e.Version, e.Reason)
}

// Remedy says what to do.
func (e *UnfitError) Remedy() string {
	return "bring this controller's set-up in line with what it names and start it again; it serves nothing until then"
}

// UnwantedError is a name or disk that may not serve.
type UnwantedError struct{ Name, Reason string }

func (e *UnwantedError) Error() string { return fmt.Sprintf("%s may not serve: %s", e.Name, e.Reason) }

// Remedy says what to do.
func (e *UnwantedError) Remedy() string {
	return "give this controller a new name and an empty directory; a name whose disk was lost is ended by fleet forget"
}

// Errors is one of each, for the test that walks all of them.
func Errors() []ErrorWithRemedy {
	some := fmt.Errorf("some reason")
	return []ErrorWithRemedy{&EntryError{1, some}, &SnapshotError{some}, &UnfitError{1, "why"}, &UnwantedError{"n1", "why"}, &RelayUnansweredError{"n1"}}
}

// RelayUnansweredError is a leader that doesn't answer a relay's gathers though it
// gives leases: its program may be older than relays are.
type RelayUnansweredError struct{ Leader string }

func (e *RelayUnansweredError) Error() string {
	return "the leader " + e.Leader + " doesn't answer what this relay gathers"
}

// Remedy says what to do.
func (e *RelayUnansweredError) Remedy() string {
	return "bring " + e.Leader + " to this program's version; until then controllers ask it directly"
}

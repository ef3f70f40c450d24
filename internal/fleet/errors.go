package fleet

import "fmt"

// EntryError reports a log entry that this version of the program can't decode.
type EntryError struct {
	Index uint64
	Err   error
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("decode log entry %d: %v", e.Index, e.Err)
}

// Remedy tells an operator what to do.
func (e *EntryError) Remedy() string {
	return "a newer version wrote the entry: upgrade this controller to the fleet's version; " +
		"it must not serve until then"
}

// SnapshotError reports a snapshot of the replicated state that can't be decoded.
type SnapshotError struct{ Err error }

func (e *SnapshotError) Error() string {
	return "decode snapshot of the replicated state: " + e.Err.Error()
}

// Remedy tells an operator what to do.
func (e *SnapshotError) Remedy() string {
	return "move the fleet's directory away and start again under a new name; " +
		"run fleet forget for the old name once its disk is destroyed"
}

// UnfitError reports that this controller's configuration can't serve by the policy in force.
type UnfitError struct {
	Version uint64
	Reason  string
}

func (e *UnfitError) Error() string {
	return fmt.Sprintf("this controller can't serve by the policy in force, version %d: %s", e.Version, e.Reason)
}

// Remedy tells an operator what to do.
func (e *UnfitError) Remedy() string {
	return "change this controller's configuration to match the policy and restart it; " +
		"it serves nothing until then"
}

// UnwantedError reports that this controller's name or disk may never serve again.
type UnwantedError struct{ Name, Reason string }

func (e *UnwantedError) Error() string { return fmt.Sprintf("%s may not serve: %s", e.Name, e.Reason) }

// Remedy tells an operator what to do.
func (e *UnwantedError) Remedy() string {
	return "give this controller a new name and an empty directory; " +
		"if the disk of a name is lost, run fleet forget for that name"
}

// Errors returns one error of each type of this package, for the test that checks every remedy.
func Errors() []ErrorWithRemedy {
	some := fmt.Errorf("some reason")
	return []ErrorWithRemedy{
		&EntryError{1, some},
		&SnapshotError{some},
		&UnfitError{1, "why"},
		&UnwantedError{"n1", "why"},
		&RelayUnansweredError{"n1"},
	}
}

// RelayUnansweredError reports a leader that grants this relay a lease but doesn't answer
// the renewals that the relay aggregates: the leader's version may be older than relays.
type RelayUnansweredError struct{ Leader string }

func (e *RelayUnansweredError) Error() string {
	return "the leader " + e.Leader + " doesn't answer the aggregated renewals of this relay"
}

// Remedy tells an operator what to do.
func (e *RelayUnansweredError) Remedy() string {
	return "upgrade " + e.Leader + " to this relay's version; " +
		"until then controllers send it their renewals directly"
}

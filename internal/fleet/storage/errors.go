package storage

import (
	"errors"
	"fmt"
	"path/filepath"
	"syscall"

	berrors "go.etcd.io/bbolt/errors"

	"railrelay.dev/railrelay/internal/fleet"
)

// rejoinRemedy is the last part of the remedies for errors after which a vote may be lost: the
// controller must not return as the same voter, since it could vote twice in one term.
const rejoinRemedy = "; never use an older copy: instead, end this controller by `fleet forget NAME`, " +
	"empty the directory and start it under a new name, so that it gets its data from the other controllers"

// TornWriteError is a file that is truncated, or whose structure is damaged.
type TornWriteError struct{ Path, Reason string }

func (e *TornWriteError) Error() string {
	return fmt.Sprintf("%s is truncated or damaged: %s", e.Path, e.Reason)
}

// Remedy tells an operator how to restore the file.
func (e *TornWriteError) Remedy() string {
	return "find the cause (a full disk, an interrupted copy) and restore the newest intact file if nothing " +
		"was written since" + rejoinRemedy
}

// CorruptionError is a file whose content at Location doesn't match its checksum, or is missing.
type CorruptionError struct{ Path, Location string }

func (e *CorruptionError) Error() string { return fmt.Sprintf("%s is corrupt: %s", e.Path, e.Location) }

// Remedy tells an operator what to do about the disk and the controller.
func (e *CorruptionError) Remedy() string {
	return "test this disk before using it again" + rejoinRemedy
}

// DiskFullError is a disk, quota or file size limit without room for a write.
type DiskFullError struct {
	Path string
	Err  error
}

func (e *DiskFullError) Error() string { return fmt.Sprintf("no space left for %s: %v", e.Path, e.Err) }
func (e *DiskFullError) Unwrap() error { return e.Err }

// Remedy tells an operator how to continue.
func (e *DiskFullError) Remedy() string {
	return "free space on this disk and start the controller again; no acknowledged write is lost"
}

// AccessError is a file operation that the operating system refused, or that failed.
type AccessError struct {
	Path string
	Err  error
}

func (e *AccessError) Error() string { return fmt.Sprintf("can't access %s: %v", e.Path, e.Err) }
func (e *AccessError) Unwrap() error { return e.Err }

// Remedy tells an operator where to find the cause.
func (e *AccessError) Remedy() string {
	return "check the directory's permissions and the system's log for disk errors, and start the controller " +
		"again; if the disk is lost, run `fleet forget NAME` and start it with an empty directory under a new name"
}

// LockedError is a directory that another process has open.
type LockedError struct{ Dir string }

func (e *LockedError) Error() string { return e.Dir + " is in use by another process" }

// Remedy tells an operator how to free the directory.
func (e *LockedError) Remedy() string {
	return "stop the other process first, or give this controller a directory of its own"
}

// ForeignDataError is a directory that belongs to another controller.
type ForeignDataError struct{ Dir, Owner, Name string }

func (e *ForeignDataError) Error() string {
	return fmt.Sprintf("%s belongs to %q, not to %q", e.Dir, e.Owner, e.Name)
}

// Remedy tells an operator how to match name and directory.
func (e *ForeignDataError) Remedy() string {
	return "correct the name or directory in the settings; a controller with a new name needs an empty directory"
}

// classify returns an error whose Remedy tells an operator what to do: the first error in err's chain
// that has a Remedy, of any package, or else one of this package's types.
func classify(path string, err error) error {
	var known interface {
		error
		Remedy() string
	}
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, berrors.ErrTimeout):
		return &LockedError{filepath.Dir(path)}
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum),
		errors.Is(err, berrors.ErrVersionMismatch),
		errors.Is(err, berrors.ErrInvalidMapping):
		return &TornWriteError{path, err.Error()}
	case isDiskFull(err):
		return &DiskFullError{path, err}
	}
	return &AccessError{path, err}
}

func isDiskFull(err error) bool {
	for _, e := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, berrors.ErrMaxSizeReached} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Errors returns a sample of each error type of this package.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{
		&TornWriteError{"record", "a meta page is missing"}, &CorruptionError{"record", "log entry 7"},
		&DiskFullError{"record", syscall.ENOSPC},
		&AccessError{"record", syscall.EIO}, &LockedError{"fleet"}, &ForeignDataError{"fleet", "north", "south"},
	}
}

package storage

import (
	"errors"
	"fmt"
	"path/filepath"
	"syscall"

	berrors "go.etcd.io/bbolt/errors"

	"railrelay.dev/railrelay/internal/fleet"
)

// rejoinRemedy ends the remedies of errors after which a vote may be lost: the controller must
// not come back as the voter that it was.
const rejoinRemedy = "; else, and never from an older copy: end this controller by `fleet forget NAME`, empty the directory and " +
	"start it under a new name: it gets all from the others"

// TornWriteError is a file that is cut short or incomplete.
type TornWriteError struct{ Path, Reason string }

func (e *TornWriteError) Error() string { return fmt.Sprintf("%s is torn: %s", e.Path, e.Reason) }

// Remedy says what to do.
func (e *TornWriteError) Remedy() string {
	return "look for what cut it (a full disk, a copy that broke off) and put the newest whole file back if nothing was written since" + rejoinRemedy
}

// CorruptionError is a file with content that doesn't match its checksums.
type CorruptionError struct{ Path, Location string }

func (e *CorruptionError) Error() string { return fmt.Sprintf("%s is spoilt: %s", e.Path, e.Location) }

// Remedy says what to do.
func (e *CorruptionError) Remedy() string {
	return "don't trust this disk before it was tested" + rejoinRemedy
}

// DiskFullError is a disk, quota or file size limit without room for a write.
type DiskFullError struct {
	Path string
	Err  error
}

func (e *DiskFullError) Error() string { return fmt.Sprintf("no room for %s: %v", e.Path, e.Err) }
func (e *DiskFullError) Unwrap() error { return e.Err }

// Remedy says what to do.
func (e *DiskFullError) Remedy() string {
	return "make room on this disk and start the controller again; nothing that was told is lost"
}

// AccessError is a read or write that the system refused or failed.
type AccessError struct {
	Path string
	Err  error
}

func (e *AccessError) Error() string { return fmt.Sprintf("%s is refused: %v", e.Path, e.Err) }
func (e *AccessError) Unwrap() error { return e.Err }

// Remedy says what to do.
func (e *AccessError) Remedy() string {
	return "look at the directory's rights and the system's log for errors of the disk, and start the controller again; if the disk is gone, " +
		"end this controller by `fleet forget NAME` and start it with an empty directory under a new name"
}

// LockedError is a directory that another process has open.
type LockedError struct{ Dir string }

func (e *LockedError) Error() string { return e.Dir + " is in use by another program" }

// Remedy says what to do.
func (e *LockedError) Remedy() string {
	return "end the other controller first, or give this one a directory of its own"
}

// ForeignDataError is a directory that belongs to another controller.
type ForeignDataError struct{ Dir, Owner, Name string }

func (e *ForeignDataError) Error() string {
	return fmt.Sprintf("%s belongs to %q, not to %q", e.Dir, e.Owner, e.Name)
}

// Remedy says what to do.
func (e *ForeignDataError) Remedy() string {
	return "put the name or the directory in the set-up right; a controller that gets a new name gets an empty directory"
}

// classify gives an error the type of this package that tells the operator what to do.
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
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch),
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

// Errors has a sample of each of this package's errors.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{
		&TornWriteError{"record", "a head is missing"}, &CorruptionError{"record", "record 7"}, &DiskFullError{"record", syscall.ENOSPC},
		&AccessError{"record", syscall.EIO}, &LockedError{"fleet"}, &ForeignDataError{"fleet", "north", "south"},
	}
}

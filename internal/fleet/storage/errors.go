package storage

import (
	"errors"
	"fmt"
	"syscall"

	berrors "go.etcd.io/bbolt/errors"

	"railrelay.dev/railrelay/internal/fleet"
)

// again is what helps when what a controller has promised may be lost: it must not come
// back as the voter that it was.
const again = "; else, and never from an older copy: end this controller by `fleet forget NAME`, empty the directory and " +
	"start it under a new name: it gets all from the others"

// TornError is a file that isn't all there.
type TornError struct{ Path, What string }

func (e *TornError) Error() string { return fmt.Sprintf("%s is torn: %s", e.Path, e.What) }

// Remedy says what to do.
func (e *TornError) Remedy() string {
	return "look for what cut it (a full disk, a copy that broke off) and put the newest whole file back if nothing was written since" + again
}

// SpoiltError is a file whose sums don't hold.
type SpoiltError struct{ Path, Where string }

func (e *SpoiltError) Error() string { return fmt.Sprintf("%s is spoilt: %s", e.Path, e.Where) }

// Remedy says what to do.
func (e *SpoiltError) Remedy() string {
	return "don't trust this disk before it was tested" + again
}

// FullError is a disk without room.
type FullError struct {
	Path string
	Err  error
}

func (e *FullError) Error() string { return fmt.Sprintf("no room for %s: %v", e.Path, e.Err) }
func (e *FullError) Unwrap() error { return e.Err }

// Remedy says what to do.
func (e *FullError) Remedy() string {
	return "make room on this disk and start the controller again; nothing that was told is lost"
}

// RefusedError is a disk that doesn't take or give what it should.
type RefusedError struct {
	Path string
	Err  error
}

func (e *RefusedError) Error() string { return fmt.Sprintf("%s is refused: %v", e.Path, e.Err) }
func (e *RefusedError) Unwrap() error { return e.Err }

// Remedy says what to do.
func (e *RefusedError) Remedy() string {
	return "look at the directory's rights and the system's log for errors of the disk, and start the controller again; if the disk is gone, " +
		"end this controller by `fleet forget NAME` and start it with an empty directory under a new name"
}

// HeldError is a directory that another program has open.
type HeldError struct{ Dir string }

func (e *HeldError) Error() string { return e.Dir + " is in use by another program" }

// Remedy says what to do.
func (e *HeldError) Remedy() string {
	return "end the other controller first, or give this one a directory of its own"
}

// StrangerError is another controller's directory.
type StrangerError struct{ Dir, Owner, Name string }

func (e *StrangerError) Error() string {
	return fmt.Sprintf("%s belongs to %q, not to %q", e.Dir, e.Owner, e.Name)
}

// Remedy says what to do.
func (e *StrangerError) Remedy() string {
	return "put the name or the directory in the set-up right; a controller that gets a new name gets an empty directory"
}

func full(err error) bool {
	for _, e := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, berrors.ErrMaxSizeReached} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Errors has a sample of each of this package's errors.
func Errors() []fleet.Remedied {
	return []fleet.Remedied{
		&TornError{"record", "a head is missing"}, &SpoiltError{"record", "record 7"}, &FullError{"record", syscall.ENOSPC},
		&RefusedError{"record", syscall.EIO}, &HeldError{"fleet"}, &StrangerError{"fleet", "north", "south"},
	}
}

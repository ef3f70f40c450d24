package transport

import (
	"fmt"
	"net/http"

	"railrelay.dev/railrelay/internal/fleet"
)

// RejectionError is what came from a peer and wasn't taken. Reason is its name in the counts.
type RejectionError interface {
	fleet.ErrorWithRemedy
	Reason() string
}

// UnauthenticatedError is a frame, ask or answer whose MAC is by none of the keys here.
type UnauthenticatedError struct{ From, What string }

func (e *UnauthenticatedError) Error() string {
	return fmt.Sprintf("%s from %s isn't signed by a key of this fleet", e.What, e.From)
}

// Remedy says what an operator can do.
func (e *UnauthenticatedError) Remedy() string {
	return "compare the key files of both sides: while a key is replaced the new one must be the second " +
		"line everywhere before it is the first line anywhere; if it is no controller of yours, close the port to it"
}

// Reason is the key that this rejection is counted by.
func (e *UnauthenticatedError) Reason() string { return "stranger" }

// ReplayError is a frame or ask that was here before, or one too old to tell.
type ReplayError struct {
	From string
	Seq  uint64 // 0: an ask
}

func (e *ReplayError) Error() string {
	return fmt.Sprintf("number %d from %s was here before or is too old to tell", e.Seq, e.From)
}

// Remedy says what an operator can do.
func (e *ReplayError) Remedy() string {
	return "nothing was done by it; if it goes on, someone on the network between the two sends recorded bytes, " +
		"or two processes run under one name"
}

// Reason is the key that this rejection is counted by.
func (e *ReplayError) Reason() string { return "replay" }

// OtherFleetError is a frame with the right key and another fleet's name.
type OtherFleetError struct{ From, Fleet, Own string }

func (e *OtherFleetError) Error() string {
	return fmt.Sprintf("%s is of the fleet %q, this one is %q", e.From, e.Fleet, e.Own)
}

// Remedy says what an operator can do.
func (e *OtherFleetError) Remedy() string {
	return "put the same fleet name into both set-ups, or give each fleet a key and addresses of its own"
}

// Reason is the key that this rejection is counted by.
func (e *OtherFleetError) Reason() string { return "other_fleet" }

// WrongRecipientError is a frame for another controller.
type WrongRecipientError struct{ From, To, Own string }

func (e *WrongRecipientError) Error() string {
	return fmt.Sprintf("%s sent here what is for %q, this is %q", e.From, e.To, e.Own)
}

// Remedy says what an operator can do.
func (e *WrongRecipientError) Remedy() string {
	return "an address of a peer leads to the wrong controller: compare the peers' addresses in the set-up with the names"
}

// Reason is the key that this rejection is counted by.
func (e *WrongRecipientError) Reason() string { return "addressee" }

// StaleIncarnationError is a frame for this controller as it ran before it was started anew.
type StaleIncarnationError struct{ From string }

func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("%s sent a frame for an earlier run of this controller", e.From)
}

// Remedy says what an operator can do.
func (e *StaleIncarnationError) Remedy() string {
	return "none is needed right after a restart, its sender is told and sends anew; if it goes on, " +
		"someone sends recorded bytes, or two processes share this address"
}

// Reason is the key that this rejection is counted by.
func (e *StaleIncarnationError) Reason() string { return "stale_boot" }

// MalformedError is something signed that can't be read.
type MalformedError struct {
	From string
	Err  error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("from %s: can't be read: %v", e.From, e.Err)
}

// Remedy says what an operator can do.
func (e *MalformedError) Remedy() string { return "run the same version of the program on both sides" }

// Reason is the key that this rejection is counted by.
func (e *MalformedError) Reason() string { return "form" }

func (e *MalformedError) Unwrap() error { return e.Err }

// TooLargeError is a frame or ask over its bound, which wasn't read or sent.
type TooLargeError struct {
	Peer         string
	Bytes, Limit int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%d bytes from or for %s, at most %d are taken", e.Bytes, e.Peer, e.Limit)
}

// Remedy says what an operator can do.
func (e *TooLargeError) Remedy() string {
	return "make the policy file smaller; if it comes from no controller or operator of yours, close the port to it"
}

// Reason is the key that this rejection is counted by.
func (e *TooLargeError) Reason() string { return "too_large" }

// PeerRejectedError says that a peer refused what was sent to it.
type PeerRejectedError struct {
	Peer, Address string
	Status        int
}

func (e *PeerRejectedError) Error() string {
	return fmt.Sprintf("%s at %s refused what was sent: %d %s", e.Peer, e.Address, e.Status, http.StatusText(e.Status))
}

// Remedy says what an operator can do.
func (e *PeerRejectedError) Remedy() string {
	return "see the other side's log: 403 is its key or fleet name, 404 no controller listens there, " +
		"421 a wrong address, 400 another version of the program"
}

// Reason is the key that this rejection is counted by.
func (e *PeerRejectedError) Reason() string { return "turned_away" }

// UnreachableError says that no answer came from a controller's control listener.
type UnreachableError struct {
	Address string
	Sent    bool // the ask may have been taken
	Err     error
}

func (e *UnreachableError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer from %s: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("%s can't be reached: %v", e.Address, e.Err)
}

// Remedy says what an operator can do.
func (e *UnreachableError) Remedy() string {
	if e.Sent {
		return "it may have been taken: ask again by the same id, of this controller or another one"
	}
	return "see that the controller runs and that the address is its set-up's control listener, or ask another controller"
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// KeyFileError says why a key file can't be used.
type KeyFileError struct {
	Path   string
	Line   int // 0: the whole file
	Reason string
}

func (e *KeyFileError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("key file %s, line %d: %s", e.Path, e.Line, e.Reason)
	}
	return fmt.Sprintf("key file %s: %s", e.Path, e.Reason)
}

// Remedy says what an operator can do.
func (e *KeyFileError) Remedy() string {
	return "give it one key a line, two at the most, the first one signs; make one with: " +
		"(umask 077; head -c 32 /dev/urandom | base64 > FILE); only its owner may have rights on it (chmod 600)"
}

// Errors is one of each kind, for the test and the docs that walk all of them.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{
		&UnauthenticatedError{"10.0.0.9", "a frame"},
		&ReplayError{"b", 7},
		&OtherFleetError{"b", "south", "north"},
		&WrongRecipientError{"b", "c", "a"},
		&StaleIncarnationError{"b"},
		&MalformedError{"b", fmt.Errorf("no CBOR")},
		&TooLargeError{"b", MaxFrameBytes + 1, MaxFrameBytes},
		&PeerRejectedError{"b", "10.0.0.2:7700", http.StatusForbidden},
		&UnreachableError{"10.0.0.2:7701", false, fmt.Errorf("connection refused")},
		&KeyFileError{"fleet.key", 1, "24 bytes, 32 at least are needed"},
	}
}

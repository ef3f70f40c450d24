package transport

import (
	"fmt"
	"net/http"

	"railrelay.dev/railrelay/internal/fleet"
)

// RejectionError says why a message from or for a peer or operator was rejected. Reason returns the
// name by which the counters count the rejection.
type RejectionError interface {
	fleet.ErrorWithRemedy
	Reason() string
}

// UnauthenticatedError says that the MAC of a frame, request or response matches none of the local
// keys.
type UnauthenticatedError struct{ From, What string }

func (e *UnauthenticatedError) Error() string {
	return fmt.Sprintf("%s from %s isn't signed with a key of this fleet", e.What, e.From)
}

// Remedy returns what an operator can do about the error.
func (e *UnauthenticatedError) Remedy() string {
	return "compare the key files of both sides: during a key replacement the new key must be the second " +
		"line everywhere before it is the first line anywhere; block senders that aren't your controllers"
}

// Reason returns the name by which the counters count the rejection.
func (e *UnauthenticatedError) Reason() string { return "stranger" }

// ReplayError says that a frame or request arrived before, or that its sequence number is too old
// to be told from a replay.
type ReplayError struct {
	From string
	Seq  uint64 // 0: a request of an operator
}

func (e *ReplayError) Error() string {
	return fmt.Sprintf("sequence number %d from %s is a replay, or too old to be told from one", e.Seq, e.From)
}

// Remedy returns what an operator can do about the error.
func (e *ReplayError) Remedy() string {
	return "it had no effect; if the error persists, someone on the network replays recorded traffic, " +
		"or two processes run under the same name"
}

// Reason returns the name by which the counters count the rejection.
func (e *ReplayError) Reason() string { return "replay" }

// OtherFleetError says that a correctly signed frame names another fleet.
type OtherFleetError struct{ From, Fleet, Own string }

func (e *OtherFleetError) Error() string {
	return fmt.Sprintf("%s belongs to fleet %q, this controller to fleet %q", e.From, e.Fleet, e.Own)
}

// Remedy returns what an operator can do about the error.
func (e *OtherFleetError) Remedy() string {
	return "configure the same fleet name on both sides, or give each fleet its own key and addresses"
}

// Reason returns the name by which the counters count the rejection.
func (e *OtherFleetError) Reason() string { return "other_fleet" }

// WrongRecipientError says that a frame is addressed to another controller.
type WrongRecipientError struct{ From, To, Own string }

func (e *WrongRecipientError) Error() string {
	return fmt.Sprintf("%s sent a frame for controller %q to controller %q", e.From, e.To, e.Own)
}

// Remedy returns what an operator can do about the error.
func (e *WrongRecipientError) Remedy() string {
	return "a peer address leads to the wrong controller: compare the names and addresses in the configuration"
}

// Reason returns the name by which the counters count the rejection.
func (e *WrongRecipientError) Reason() string { return "addressee" }

// StaleIncarnationError says that a frame is addressed to an earlier incarnation of this controller,
// as it ran before its last restart.
type StaleIncarnationError struct{ From string }

func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("%s sent a frame for an earlier incarnation of this controller", e.From)
}

// Remedy returns what an operator can do about the error.
func (e *StaleIncarnationError) Remedy() string {
	return "no action is needed right after a restart: the sender resends the frame; if the error persists, " +
		"someone replays recorded traffic, or two processes share this address"
}

// Reason returns the name by which the counters count the rejection.
func (e *StaleIncarnationError) Reason() string { return "stale_boot" }

// MalformedError says that a signed frame, request or response can't be decoded.
type MalformedError struct {
	From string
	Err  error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed message from %s: %v", e.From, e.Err)
}

// Remedy returns what an operator can do about the error.
func (e *MalformedError) Remedy() string { return "run the same version of the program on both sides" }

// Reason returns the name by which the counters count the rejection.
func (e *MalformedError) Reason() string { return "form" }

func (e *MalformedError) Unwrap() error { return e.Err }

// TooLargeError says that a frame, request or response exceeds the size limit; it was neither sent
// nor processed.
type TooLargeError struct {
	Peer         string
	Bytes, Limit int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes from or to %s exceeds the limit of %d bytes",
		e.Bytes, e.Peer, e.Limit)
}

// Remedy returns what an operator can do about the error.
func (e *TooLargeError) Remedy() string {
	return "make the policy file smaller; block senders that aren't your controllers or operators"
}

// Reason returns the name by which the counters count the rejection.
func (e *TooLargeError) Reason() string { return "too_large" }

// PeerRejectedError says that a peer rejected a frame or request with an HTTP status.
type PeerRejectedError struct {
	Peer, Address string
	Status        int
}

func (e *PeerRejectedError) Error() string {
	return fmt.Sprintf("%s at %s rejected the message: %d %s",
		e.Peer, e.Address, e.Status, http.StatusText(e.Status))
}

// Remedy returns what an operator can do about the error.
func (e *PeerRejectedError) Remedy() string {
	return "look at the other side's log: 403 is a different key or fleet name, 404 no controller listens there, " +
		"421 a wrong address, 400 a different version of the program"
}

// Reason returns the name by which the counters count the rejection.
func (e *PeerRejectedError) Reason() string { return "turned_away" }

// UnreachableError says that no response came from a controller's control listener.
type UnreachableError struct {
	Address string
	Sent    bool // the controller may have received the request
	Err     error
}

func (e *UnreachableError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no response from %s: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("%s can't be reached: %v", e.Address, e.Err)
}

// Remedy returns what an operator can do about the error.
func (e *UnreachableError) Remedy() string {
	if e.Sent {
		return "the request may have taken effect: retry it with the same id, at this controller or another one"
	}
	return "check that the controller runs and that this is its control address, or ask another controller"
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// KeyFileError says why a key file, or a key that was passed directly, can't be used.
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

// Remedy returns what an operator can do about the error.
func (e *KeyFileError) Remedy() string {
	return "write one key per line, at most two; the first one signs; make a key file with: " +
		"(umask 077; head -c 32 /dev/urandom | base64 > FILE); only its owner may have access to it (chmod 600)"
}

// Errors returns an example of each error type, for the tests and documentation that cover all of them.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{
		&UnauthenticatedError{"10.0.0.9", "a frame"},
		&ReplayError{"b", 7},
		&OtherFleetError{"b", "south", "north"},
		&WrongRecipientError{"b", "c", "a"},
		&StaleIncarnationError{"b"},
		&MalformedError{"b", fmt.Errorf("not CBOR")},
		&TooLargeError{"b", MaxFrameBytes + 1, MaxFrameBytes},
		&PeerRejectedError{"b", "10.0.0.2:7700", http.StatusForbidden},
		&UnreachableError{"10.0.0.2:7701", false, fmt.Errorf("connection refused")},
		&KeyFileError{"fleet.key", 1, "24 bytes, need at least 32"},
	}
}

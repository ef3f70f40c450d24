package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// EffectKind says what is to be done. The fields of Effect that a kind sets are named with it.
type EffectKind int

// The kinds of effects.
const (
	// Send sends Message to the controller To at Address; it may be lost.
	Send EffectKind = iota
	// Persist writes and syncs Writes; a WritesPersisted event follows. There is at most
	// one outstanding.
	Persist
	// ValidatePolicy validates PolicyText, the policy of ChangeID, against the set-up; a
	// PolicyValidated event with the same ChangeID follows. An empty text is the
	// set-up's own policy.
	ValidatePolicy
	// OrderController passes Order to the process's request side, in the order of the effects.
	OrderController
	// Respond answers the operator's request of Handle with Reply.
	Respond
	// SetTimer asks for a TimerFired after Delay. It replaces the one before.
	SetTimer
	// LogMessage writes LogText, with Err if there is one. Loud lines are written at
	// every log level.
	LogMessage
)

// Effect is one output of Step.
type Effect struct {
	Kind EffectKind

	To      string
	Address string
	Message *Message

	Writes *consensus.PersistentState

	ChangeID   string
	PolicyText []byte

	Order fleet.Order

	Handle   uint64
	Response *fleet.Response

	Delay time.Duration

	LogAlways bool
	LogText   string
	Err       fleet.ErrorWithRemedy
}

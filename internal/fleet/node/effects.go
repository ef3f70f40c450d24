package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// EffectKind is the kind of an Effect. Each kind's comment names the fields of Effect that it
// sets.
type EffectKind int

// The kinds of effects.
const (
	// Send sends Message to the controller To at Address. The message may be lost.
	Send EffectKind = iota
	// Persist writes Writes to disk and syncs them; a WritesPersisted event follows. At most
	// one Persist is outstanding.
	Persist
	// ValidatePolicy validates PolicyText against this controller's configuration; a
	// PolicyValidated event with the same ValidationKey follows. ValidationKey is the ID of the
	// policy change, or another key for the committed policy. An empty text stands for the
	// configuration's own policy.
	ValidatePolicy
	// OrderController passes Order to the request side of the process, in the order of the
	// effects.
	OrderController
	// Respond answers the operator's request of Handle with Response.
	Respond
	// SetTimer requests a TimerFired event after Delay and replaces the previous timer.
	SetTimer
	// LogMessage logs LogText, and Err if it is set. With LogAlways the line is written at
	// every log level.
	LogMessage
)

// Effect is one output of Core.Step.
type Effect struct {
	Kind EffectKind

	To      string
	Address string
	Message *Message

	Writes *consensus.PersistentState

	ValidationKey string
	PolicyText    []byte

	Order fleet.Order

	Handle   uint64
	Response *fleet.Response

	Delay time.Duration

	LogAlways bool
	LogText   string
	Err       fleet.ErrorWithRemedy
}

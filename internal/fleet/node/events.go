package node

import "railrelay.dev/railrelay/internal/fleet"

// EventKind says what has happened. The fields of Event that a kind sets are named with it.
type EventKind int

// The kinds of events.
const (
	// TimerFired: the time asked for by the last SetTimer has come.
	TimerFired EventKind = iota
	// MessageReceived: Message has come from another controller.
	MessageReceived
	// WritesPersisted: the Writes of the oldest outstanding Persist are on disk, synced.
	WritesPersisted
	// PolicyValidated: the policy of ChangeID was validated against this controller's
	// set-up. Reason says why it can't be served by, "": it can, and Policy,
	// WatchedRules, ResidencyRulesUnknown, PurgeScopes and Voters are the outcome.
	PolicyValidated
	// ControllerReported: Report has come from this process's request side.
	ControllerReported
	// OperatorRequested: Ask has come from an operator; a Respond with the same Handle
	// answers it.
	OperatorRequested
	// RequesterGone: whoever asked with Handle no longer waits for the answer.
	RequesterGone
)

// Event is one input of Step.
type Event struct {
	Kind    EventKind
	Message *Message

	// The outcome of a validation.
	ChangeID       string
	Reason         string
	Policy         any
	EmergencyRules []fleet.EmergencyRule
	// ResidencyRulesUnknown: the rules in force by this policy are those of the
	// controllers' own set-ups, and this process doesn't know them.
	ResidencyRulesUnknown bool
	// PurgeScopes are what the policy leaves outside the zones that the one before it
	// confined it to.
	PurgeScopes []fleet.Scope
	Voters      []string // as name=address; none: as before

	Report fleet.Report

	Request *fleet.Request
	Handle  uint64
}

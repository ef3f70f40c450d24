package node

import "railrelay.dev/railrelay/internal/fleet"

// EventKind is the kind of an Event. Each kind's comment names the fields of Event that it sets.
type EventKind int

// The kinds of events.
const (
	// TimerFired: the delay of the last SetTimer effect has passed.
	TimerFired EventKind = iota
	// MessageReceived: Message was received from another controller.
	MessageReceived
	// WritesPersisted: the Writes of the oldest outstanding Persist effect are synced to disk.
	WritesPersisted
	// PolicyValidated: the policy of the ValidatePolicy effect with the same ValidationKey was
	// validated against this controller's configuration. Reason says why the controller can't
	// serve by it. If Reason is "", the result is in Policy, EmergencyRules,
	// ResidencyRulesUnknown, PurgeScopes and Voters.
	PolicyValidated
	// ControllerReported: the request side of this process sent Report.
	ControllerReported
	// OperatorRequested: an operator sent Request; a Respond effect with the same Handle
	// answers it.
	OperatorRequested
	// RequesterGone: the requester of Handle no longer waits for the response.
	RequesterGone
)

// Event is one input of Core.Step.
type Event struct {
	Kind    EventKind
	Message *Message

	// The result of a validation.
	ValidationKey  string
	Reason         string
	Policy         any
	EmergencyRules []fleet.EmergencyRule
	// ResidencyRulesUnknown: the policy leaves the residency rules to the configurations of
	// the controllers, which this process doesn't know.
	ResidencyRulesUnknown bool
	// PurgeScopes select the retained data that the policy's narrower residency rules leave
	// outside their sites.
	PurgeScopes []fleet.Scope
	Voters      []string // as name=address; none: the voters don't change

	Report fleet.Report

	Request *fleet.Request
	Handle  uint64
}

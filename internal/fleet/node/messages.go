package node

import (
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// The messages between controllers, encoded to CBOR by the keys in their tags. Each is
// sent without an acknowledgement; one that is lost, doubled, reordered or late does no
// harm, at the cost that its type names.

// Message is one message from a controller to another. Exactly one of the fields after
// Disk is set.
type Message struct {
	From   string `cbor:"From"`
	To     string `cbor:"To"`
	DiskID string `cbor:"Disk,omitempty"` // the sender's disk: one that lost it is not believed

	Consensus []byte        `cbor:"Agree,omitempty"` // between voters, encoded by package consensus
	Renewal   *LeaseRenewal `cbor:"Renew,omitempty"`
	Grant     *LeaseGrant   `cbor:"Grant,omitempty"`
	LogUpdate *LogUpdate    `cbor:"Follow,omitempty"`

	// Request is forwarded to the leader, which logs it. The outcome is read from the log,
	// so there is no answer; a lost one is forwarded again after forwardInterval.
	Request *fleet.Request `cbor:"Ask,omitempty"`

	LogRequest *LogRequest `cbor:"Lacks,omitempty"`

	RelayedRenewals *RelayedRenewals `cbor:"Gather,omitempty"`
	RelayedGrants   *RelayedGrants   `cbor:"Gathered,omitempty"`
}

// LeaseRenewal asks for a lease and reports the state of its sender. Every controller
// sends one each renewalInterval, and at once when something reported has changed, to
// the leader or to its relay. A lost one costs an interval; the lease lasts several.
type LeaseRenewal struct {
	Member       fleet.Member `cbor:"Member"`
	Incarnation  uint64       `cbor:"Boot"` // the sender's incarnation
	Seq          uint64       `cbor:"Seq"`  // from 1, within the incarnation
	SentAt       int64        `cbor:"Sent"` // nanoseconds by the sender's clock, returned as it is
	AppliedIndex uint64       `cbor:"Applied"`

	// Votes: consensus brings it the log. A controller that was named a voter and
	// doesn't know it yet still follows.
	Votes         bool   `cbor:"Votes,omitempty"`
	PolicyVersion uint64 `cbor:"Version"` // policy that the controller decides by, 0: none
	// ValidationResults has the result of each validated configuration change: why it can't be
	// served by, "" if it can.
	ValidationResults map[string]string `cbor:"Ready,omitempty"`
	// FencedFor is the configuration change that it decides nothing for any more.
	FencedFor    string                              `cbor:"Closed,omitempty"`
	Tombstoned   []string                            `cbor:"Unreached,omitempty"` // invalidations
	Erased       map[string]fleet.InvalidationCounts `cbor:"Wiped,omitempty"`     // invalidations erased here
	ServingSites []string                            `cbor:"Sites,omitempty"`     // with engines
	// AttemptsOutside counts attempts of confined tenants outside their zones.
	AttemptsOutside int `cbor:"Outside,omitempty"`
}

// LeaseGrant answers a LeaseRenewal: from the leader once a majority of voters has
// confirmed that it leads, from a relay once the leader has, or from a controller that
// doesn't lead to name the one that does. A lost one costs a renewal interval.
type LeaseGrant struct {
	Seq         uint64 `cbor:"Seq"`  // as in the LeaseRenewal
	SentAt      int64  `cbor:"Sent"` // as in the LeaseRenewal: the lease counts from then
	Incarnation uint64 `cbor:"Boot"` // as in the LeaseRenewal
	Granted     bool   `cbor:"Given"`
	// RequiredIndex: the lease counts once its holder has applied the log up to here.
	RequiredIndex uint64 `cbor:"Index"`
	Leader        string `cbor:"Leader"` // whom to ask instead, "": not known
	// WaitingFor has controllers that are waited for, some of them, by change or invalidation.
	WaitingFor map[string][]string `cbor:"Waits,omitempty"`
	// RefusedReason: refused for good, since the name or disk is forgotten, or another's.
	RefusedReason string `cbor:"Why"`
}

// LogUpdate brings log entries, or a snapshot in their place, to a controller that does
// not vote; the leader or the controller's relay sends it. A lost one is noticed by the
// next renewal's AppliedIndex, or by the receiver, which sends a LogRequest.
type LogUpdate struct {
	Snapshot       *consensus.Snapshot  `cbor:"Snapshot,omitempty"`
	Entries        []consensus.LogEntry `cbor:"Records,omitempty"`
	CommittedIndex uint64               `cbor:"Decided"` // committed and applied by the sender
	Leader         string               `cbor:"Leader"`
}

// LogRequest asks the sender of a LogUpdate for the entries that the receiver lacks. A
// lost one is repeated at the next LogUpdate.
type LogRequest struct {
	FromIndex uint64 `cbor:"From"` // index of the first entry that is lacked
}

// RelayedRenewals is a relay's message to the leader: what has changed in the renewals
// of all controllers that ask through it. It asks for a lease for each controller that
// the relay covers, also for those that it doesn't name because nothing of them changed.
// A lost one shows by the next one's BaseSeq, which the leader lacks: it asks for a full
// message.
type RelayedRenewals struct {
	Incarnation uint64 `cbor:"Boot"` // the relay's incarnation
	Seq         uint64 `cbor:"Seq"`  // from 1, within the incarnation
	// BaseSeq is the message that went before: this one has all that changed since. A
	// leader that lacks it asks for a full message. 0: this is a full message, and
	// replaces what was told before.
	BaseSeq  uint64             `cbor:"Base,omitempty"`
	Renewals []RelayedRenewal   `cbor:"Renews,omitempty"`
	Silent   []SilentController `cbor:"Silents,omitempty"`
}

// RelayedRenewal is a controller's last renewal, which the leader lacks.
type RelayedRenewal struct {
	Name    string        `cbor:"Name"`
	DiskID  string        `cbor:"Disk"`
	Renewal *LeaseRenewal `cbor:"Renew"`
}

// SilentController is one that the relay covers no longer: it hasn't asked for a while.
type SilentController struct {
	Name      string `cbor:"Name"`
	SilentFor int64  `cbor:"Ago"` // nanoseconds by the relay's clock since it last asked
}

// RelayedGrants is the leader's answer to a RelayedRenewals. A lost one costs the
// covered controllers a relay's interval: the answer to the next message covers them.
type RelayedGrants struct {
	Incarnation   uint64 `cbor:"Boot"` // as in the RelayedRenewals
	Seq           uint64 `cbor:"Seq"`
	Granted       bool   `cbor:"Given"`  // each controller covered by that message may be granted its lease
	Resync        bool   `cbor:"Resync"` // the leader lacks the message's base: a full one must come
	RequiredIndex uint64 `cbor:"Index"`  // the leases count once the log up to here is applied
	Leader        string `cbor:"Leader"` // whom to ask instead, "": not known
	// Withheld are covered controllers that must not be granted a lease.
	Withheld []WithheldLease `cbor:"Withheld,omitempty"`
	// Resend are covered controllers whose renewal must be sent once more: another relay
	// has reported them since.
	Resend     []string            `cbor:"Again,omitempty"`
	WaitingFor map[string][]string `cbor:"Waits,omitempty"` // as in a LeaseGrant
}

// WithheldLease is a controller that is given no lease.
type WithheldLease struct {
	Name          string `cbor:"Name"`
	RefusedReason string `cbor:"Why"` // refused for good; "": its name isn't in the log yet
}

package node

import (
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// The messages between controllers, encoded to CBOR with the keys in the struct tags. No
// message is acknowledged. A message that is lost, duplicated, reordered or late does no harm
// beyond the delay that its type's comment names.

// Message is one message from a controller to another. Exactly one of the fields after DiskID
// is set.
type Message struct {
	From   string `cbor:"From"`
	To     string `cbor:"To"`
	DiskID string `cbor:"Disk,omitempty"` // the sender's disk; a sender with a wrong disk is rejected

	Consensus []byte        `cbor:"Agree,omitempty"` // between voters, encoded by package consensus
	Renewal   *LeaseRenewal `cbor:"Renew,omitempty"`
	Grant     *LeaseGrant   `cbor:"Grant,omitempty"`
	LogUpdate *LogUpdate    `cbor:"Follow,omitempty"`

	// Request is forwarded to the leader, which appends it to the log. The forwarder reads
	// the outcome from the log, so there is no response. A lost request is forwarded again
	// after forwardInterval.
	Request *fleet.Request `cbor:"Ask,omitempty"`

	LogRequest *LogRequest `cbor:"Lacks,omitempty"`

	RelayedRenewals *RelayedRenewals `cbor:"Gather,omitempty"`
	RelayedGrants   *RelayedGrants   `cbor:"Gathered,omitempty"`
}

// LeaseRenewal requests a lease and reports the state of its sender. Every controller sends
// one to the leader or to its relay each renewalInterval, and at once after a change of the
// reported state. A lost renewal costs one interval; a lease lasts several.
type LeaseRenewal struct {
	Member       fleet.Member `cbor:"Member"`
	Incarnation  uint64       `cbor:"Boot"` // the sender's incarnation
	Seq          uint64       `cbor:"Seq"`  // from 1, within the incarnation
	SentAt       int64        `cbor:"Sent"` // nanoseconds by the sender's clock; the grant returns it unchanged
	AppliedIndex uint64       `cbor:"Applied"`

	// Votes is set if the sender gets the log through consensus. A controller that was named
	// a voter and doesn't know it yet is still a follower.
	Votes         bool   `cbor:"Votes,omitempty"`
	PolicyVersion uint64 `cbor:"Version"` // policy version that the controller decides by, 0: none
	// ValidationResults has the result of each validated policy change, by its ID: why the
	// controller can't serve by it, "" if it can.
	ValidationResults map[string]string `cbor:"Ready,omitempty"`
	// FencedFor is the policy change for which the controller has stopped deciding.
	FencedFor    string                              `cbor:"Closed,omitempty"`
	Tombstoned   []string                            `cbor:"Unreached,omitempty"` // IDs of invalidations
	Erased       map[string]fleet.InvalidationCounts `cbor:"Wiped,omitempty"`     // by invalidation ID
	ServingSites []string                            `cbor:"Sites,omitempty"`     // with engines that serve
	// AttemptsOutside counts attempts of confined tenants outside their sites.
	AttemptsOutside int `cbor:"Outside,omitempty"`
}

// LeaseGrant answers a LeaseRenewal. The leader sends it once a majority of voters has
// confirmed its leadership, a relay once the leader has answered. A controller that doesn't
// lead sends it to name the leader. A lost grant costs one renewal interval.
type LeaseGrant struct {
	Seq         uint64 `cbor:"Seq"`  // as in the LeaseRenewal
	SentAt      int64  `cbor:"Sent"` // as in the LeaseRenewal: the lease starts at this time
	Incarnation uint64 `cbor:"Boot"` // as in the LeaseRenewal
	Granted     bool   `cbor:"Given"`
	// RequiredIndex is the log index that the holder must have applied before the lease
	// is valid.
	RequiredIndex uint64 `cbor:"Index"`
	Leader        string `cbor:"Leader"` // controller to ask instead, "": unknown
	// WaitingFor has, by change or invalidation, some of the controllers that the leader
	// waits for.
	WaitingFor map[string][]string `cbor:"Waits,omitempty"`
	// RefusedReason says why the controller is refused for good: its name is forgotten, or
	// another disk has the name. "": it isn't refused.
	RefusedReason string `cbor:"Why"`
}

// LogUpdate has log entries, or a snapshot in their place, for a controller that doesn't vote.
// The leader or the controller's relay sends it. The sender notices a lost update by the
// AppliedIndex of the next renewal; the receiver notices it by a gap and sends a LogRequest.
type LogUpdate struct {
	Snapshot       *consensus.Snapshot  `cbor:"Snapshot,omitempty"`
	Entries        []consensus.LogEntry `cbor:"Records,omitempty"`
	CommittedIndex uint64               `cbor:"Decided"` // committed and applied by the sender
	Leader         string               `cbor:"Leader"`
}

// LogRequest asks the sender of a LogUpdate for the entries that the receiver lacks. A lost
// request is sent again after the next LogUpdate.
type LogRequest struct {
	FromIndex uint64 `cbor:"From"` // index of the first missing entry
}

// RelayedRenewals is a relay's message to the leader with the changes in the renewals of the
// controllers that the relay covers. It requests a lease for every covered controller,
// including those whose renewal didn't change and that it doesn't name. If a message is lost,
// the leader doesn't have the BaseSeq of the next one and requests a full message.
type RelayedRenewals struct {
	Incarnation uint64 `cbor:"Boot"` // the relay's incarnation
	Seq         uint64 `cbor:"Seq"`  // from 1, within the incarnation
	// BaseSeq is the Seq of the previous message: this message has the changes since then.
	// 0: this is a full message, which replaces all earlier ones.
	BaseSeq  uint64             `cbor:"Base,omitempty"`
	Renewals []RelayedRenewal   `cbor:"Renews,omitempty"`
	Silent   []SilentController `cbor:"Silents,omitempty"`
}

// RelayedRenewal is the last renewal of a controller that the leader doesn't have yet.
type RelayedRenewal struct {
	Name    string        `cbor:"Name"`
	DiskID  string        `cbor:"Disk"`
	Renewal *LeaseRenewal `cbor:"Renew"`
}

// SilentController is a controller that the relay no longer covers, since it has sent no renewal
// for some time.
type SilentController struct {
	Name      string `cbor:"Name"`
	SilentFor int64  `cbor:"Ago"` // nanoseconds by the relay's clock since the last renewal
}

// RelayedGrants is the leader's answer to a RelayedRenewals message. A lost answer costs the
// covered controllers one interval of the relay: the answer to the next message covers them.
type RelayedGrants struct {
	Incarnation   uint64 `cbor:"Boot"` // as in the RelayedRenewals
	Seq           uint64 `cbor:"Seq"`
	Granted       bool   `cbor:"Given"`  // each controller covered by that message may get its lease
	Resync        bool   `cbor:"Resync"` // the leader doesn't have BaseSeq: a full message must follow
	RequiredIndex uint64 `cbor:"Index"`  // as in a LeaseGrant
	Leader        string `cbor:"Leader"` // controller to ask instead, "": unknown
	// Withheld are covered controllers that must not get a lease.
	Withheld []WithheldLease `cbor:"Withheld,omitempty"`
	// Resend are covered controllers whose renewal the relay must send again, since another
	// relay has reported them in the meantime.
	Resend     []string            `cbor:"Again,omitempty"`
	WaitingFor map[string][]string `cbor:"Waits,omitempty"` // as in a LeaseGrant
}

// WithheldLease is a controller that gets no lease.
type WithheldLease struct {
	Name          string `cbor:"Name"`
	RefusedReason string `cbor:"Why"` // why it is refused for good; "": its name isn't in the log yet
}

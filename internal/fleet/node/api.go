// Package node is one controller's part in the fleet: it follows the record, votes if
// it is named to, holds or grants leases, drives what is under way while it leads, and
// says what its reducer is to do. It is a pure core: events and times in, effects out.
package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// Begin is what it starts with.
type Config struct {
	Self                 fleet.Member
	Voters               []consensus.Voter // by the set-up; the record's go before these
	Lease                time.Duration     // 0: without an end
	ConfinedLease        time.Duration     // for bound teams; 0: as Lease
	ClockDrift           float64           // clocks differ by at most this part of a span: 0.01
	ElectionTimeout      time.Duration
	HeartbeatInterval    time.Duration
	Seed                 uint64
	Incarnation          uint64 // drawn anew at each start
	Persisted            consensus.Kept
	SnapshotAfterEntries int // records kept before a snapshot replaces them

	// Relays are asked for the lease and bring the record, in place of the leader: the
	// first one, the second where that doesn't answer. None: the leader is asked itself.
	Relays []Upstream
	// Relay makes this controller a relay: it gathers the renewals of others for the
	// leader and passes grants and the record on. It never grants anything itself.
	IsRelay bool
}

// Upstream is a relay as a controller reaches it.
type Upstream struct{ Name, Address string }

// EventKind is what an Event tells.
type EventKind int

const (
	TimerFired         EventKind = iota // the time asked for has come
	MessageReceived                     // Message from a peer
	WritesPersisted                     // the last Store is on disk, synced
	PolicyValidated                     // Change can be taken, or not: Why; Policy and Watched are what became of its text
	ControllerReported                  // by the reducer
	OperatorRequested                   // Ask by an operator: answered by a Told with the same Handle
	RequesterGone                       // who asked by Handle waits no more
)

type Event struct {
	Kind         EventKind
	Message      *Message
	ChangeID     string
	Reason       string
	Policy       any
	WatchedRules []fleet.Watched
	// RulesUnknown: Checked; the rules in force by this policy are those of controllers'
	// own set-ups, and this process doesn't know them.
	ResidencyRulesUnknown bool
	PurgeScopes           []fleet.Scope // Checked: what of it is outside now that was inside by the policy before
	Voters                []string      // Checked: who votes by this policy, as name=address; none: as before
	Report                fleet.Report
	Ask                   *fleet.Ask
	Handle                uint64
}

// EffectKind is what an Effect asks for.
type EffectKind int

const (
	Send            EffectKind = iota // Message to the controller To at Address; it may be lost
	Persist                           // Kept, synced; then a Stored
	ValidatePolicy                    // Text, the policy of Change against the set-up; then a Checked with the same Change. No text is the set-up's own policy
	OrderController                   // for the reducer, in this order
	Respond                           // Reply to who asked by Handle
	SetTimer                          // a Woken Within a time; only the last one asked for
	LogMessage                        // for the log, Loud if it is to be seen without being asked for
)

type Effect struct {
	Kind       EffectKind
	To         string
	Address    string
	Message    *Message
	Writes     *consensus.Kept
	ChangeID   string
	PolicyText []byte
	Order      fleet.Order
	Handle     uint64
	Reply      *fleet.Reply
	Delay      time.Duration
	Loud       bool
	LogText    string
	Err        fleet.Remedied // with Say, where there is one
}

// Message is what passes between controllers. One that is lost, doubled or late does
// no harm. What a kind doesn't need is left out.
type Message struct {
	From, To string
	Disk     string           `cbor:",omitempty"` // of who sent it
	Agree    []byte           `cbor:",omitempty"` // for agreement
	Renew    *LeaseRenewal    `cbor:",omitempty"`
	Grant    *LeaseGrant      `cbor:",omitempty"`
	Follow   *LogUpdate       `cbor:",omitempty"`
	Ask      *fleet.Ask       `cbor:",omitempty"` // passed on to who leads; what comes of it is seen in the record
	Lacks    *LogRequest      `cbor:",omitempty"`
	Gather   *RelayedRenewals `cbor:",omitempty"` // a relay's, to the leader
	Gathered *RelayedGrants   `cbor:",omitempty"` // the leader's answer
}

// Renew asks for a lease and tells how far its sender has come.
type LeaseRenewal struct {
	Member    fleet.Member
	Boot      uint64
	Seq       uint64
	Sent      int64                   // nanoseconds by the sender's clock: given back as it is
	Applied   uint64                  // of the record
	Votes     bool                    `cbor:",omitempty"` // agreement brings it the record; one that is named and doesn't know it yet still follows
	Version   uint64                  // that its reducer decides by, 0: none
	Ready     map[string]string       `cbor:",omitempty"` // changes that were checked: why not, "" if they can be taken
	Closed    string                  `cbor:",omitempty"` // the change that it has stopped deciding for
	Unreached []string                `cbor:",omitempty"` // purges of which nothing comes out here any more
	Wiped     map[string]fleet.Counts `cbor:",omitempty"`
	Sites     []string                `cbor:",omitempty"` // that have engines which serve
	Outside   int                     `cbor:",omitempty"`
}

// Grant answers a Renew.
type LeaseGrant struct {
	Seq    uint64
	Sent   int64
	Boot   uint64
	Given  bool
	Index  uint64              // the lease counts once the record up to here is applied
	Leader string              // who to ask instead, "": not known
	Waits  map[string][]string `cbor:",omitempty"` // by run: controllers that are waited for, some of them
	Why    string              // refused for good: the name or the disk is forgotten, or another's
}

// Follow brings the record to those who don't vote.
type LogUpdate struct {
	Snapshot *consensus.Snapshot `cbor:",omitempty"`
	Records  []consensus.Record  `cbor:",omitempty"`
	Decided  uint64
	Leader   string
}

// Lacks says from where on a follower lacks records.
type LogRequest struct{ From uint64 }

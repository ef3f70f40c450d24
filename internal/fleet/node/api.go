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
	Persisted            consensus.PersistentState
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
	Writes     *consensus.PersistentState
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

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
type Begin struct {
	Self       fleet.Member
	Voters     []consensus.Voter // by the set-up; the record's go before these
	Lease      time.Duration     // 0: without an end
	LeaseBound time.Duration     // for bound teams; 0: as Lease
	Drift      float64           // clocks differ by at most this part of a span: 0.01
	Election   time.Duration
	Heartbeat  time.Duration
	Seed       uint64
	Boot       uint64 // drawn anew at each start
	Kept       consensus.Kept
	KeepAtMost int // records kept before a snapshot replaces them

	// Relays are asked for the lease and bring the record, in place of the leader: the
	// first one, the second where that doesn't answer. None: the leader is asked itself.
	Relays []Upstream
	// Relay makes this controller a relay: it gathers the renewals of others for the
	// leader and passes grants and the record on. It never grants anything itself.
	Relay bool
}

// Upstream is a relay as a controller reaches it.
type Upstream struct{ Name, Address string }

// EventKind is what an Event tells.
type EventKind int

const (
	Woken    EventKind = iota // the time asked for has come
	Came                      // Message from a peer
	Stored                    // the last Store is on disk, synced
	Checked                   // Change can be taken, or not: Why; Policy and Watched are what became of its text
	Reported                  // by the reducer
	Asked                     // Ask by an operator: answered by a Told with the same Handle
	Gone                      // who asked by Handle waits no more
)

type Event struct {
	Kind    EventKind
	Message *Message
	Change  string
	Why     string
	Policy  any
	Watched []fleet.Watched
	// RulesUnknown: Checked; the rules in force by this policy are those of controllers'
	// own set-ups, and this process doesn't know them.
	RulesUnknown bool
	Scopes       []fleet.Scope // Checked: what of it is outside now that was inside by the policy before
	Voters       []string      // Checked: who votes by this policy, as name=address; none: as before
	Report       fleet.Report
	Ask          *fleet.Ask
	Handle       uint64
}

// EffectKind is what an Effect asks for.
type EffectKind int

const (
	Send  EffectKind = iota // Message to the controller To at Address; it may be lost
	Store                   // Kept, synced; then a Stored
	Check                   // Text, the policy of Change against the set-up; then a Checked with the same Change. No text is the set-up's own policy
	Order                   // for the reducer, in this order
	Told                    // Reply to who asked by Handle
	Wake                    // a Woken Within a time; only the last one asked for
	Say                     // for the log, Loud if it is to be seen without being asked for
)

type Effect struct {
	Kind    EffectKind
	To      string
	Address string
	Message *Message
	Kept    *consensus.Kept
	Change  string
	Text    []byte
	Order   fleet.Order
	Handle  uint64
	Reply   *fleet.Reply
	Within  time.Duration
	Loud    bool
	Line    string
	Err     fleet.Remedied // with Say, where there is one
}

// Message is what passes between controllers. One that is lost, doubled or late does
// no harm. What a kind doesn't need is left out.
type Message struct {
	From     string     `cbor:"From"`
	To       string     `cbor:"To"`
	Disk     string     `cbor:"Disk,omitempty"`  // of who sent it
	Agree    []byte     `cbor:"Agree,omitempty"` // for agreement
	Renew    *Renew     `cbor:"Renew,omitempty"`
	Grant    *Grant     `cbor:"Grant,omitempty"`
	Follow   *Follow    `cbor:"Follow,omitempty"`
	Ask      *fleet.Ask `cbor:"Ask,omitempty"` // passed on to who leads; what comes of it is seen in the record
	Lacks    *Lacks     `cbor:"Lacks,omitempty"`
	Gather   *Gather    `cbor:"Gather,omitempty"`   // a relay's, to the leader
	Gathered *Gathered  `cbor:"Gathered,omitempty"` // the leader's answer
}

// Renew asks for a lease and tells how far its sender has come.
type Renew struct {
	Member    fleet.Member            `cbor:"Member"`
	Boot      uint64                  `cbor:"Boot"`
	Seq       uint64                  `cbor:"Seq"`
	Sent      int64                   `cbor:"Sent"`                // nanoseconds by the sender's clock: given back as it is
	Applied   uint64                  `cbor:"Applied"`             // of the record
	Votes     bool                    `cbor:"Votes,omitempty"`     // agreement brings it the record; one that is named and doesn't know it yet still follows
	Version   uint64                  `cbor:"Version"`             // that its reducer decides by, 0: none
	Ready     map[string]string       `cbor:"Ready,omitempty"`     // changes that were checked: why not, "" if they can be taken
	Closed    string                  `cbor:"Closed,omitempty"`    // the change that it has stopped deciding for
	Unreached []string                `cbor:"Unreached,omitempty"` // purges of which nothing comes out here any more
	Wiped     map[string]fleet.Counts `cbor:"Wiped,omitempty"`
	Sites     []string                `cbor:"Sites,omitempty"` // that have engines which serve
	Outside   int                     `cbor:"Outside,omitempty"`
}

// Grant answers a Renew.
type Grant struct {
	Seq    uint64              `cbor:"Seq"`
	Sent   int64               `cbor:"Sent"`
	Boot   uint64              `cbor:"Boot"`
	Given  bool                `cbor:"Given"`
	Index  uint64              `cbor:"Index"`           // the lease counts once the record up to here is applied
	Leader string              `cbor:"Leader"`          // who to ask instead, "": not known
	Waits  map[string][]string `cbor:"Waits,omitempty"` // by run: controllers that are waited for, some of them
	Why    string              `cbor:"Why"`             // refused for good: the name or the disk is forgotten, or another's
}

// Follow brings the record to those who don't vote.
type Follow struct {
	Snapshot *consensus.Snapshot `cbor:"Snapshot,omitempty"`
	Records  []consensus.Record  `cbor:"Records,omitempty"`
	Decided  uint64              `cbor:"Decided"`
	Leader   string              `cbor:"Leader"`
}

// Lacks says from where on a follower lacks records.
type Lacks struct {
	From uint64 `cbor:"From"`
}

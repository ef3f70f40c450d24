// Package consensus replicates one log among the voters, on go.etcd.io/raft/v3. It is a pure
// state machine: events go in by Step and effects come out. It sends and persists nothing
// itself, reads no clock, and draws its election times from a seed, so that a schedule plays
// the same way each time.
package consensus

import "time"

// Voter is a controller that votes. Its number in messages follows from its name.
type Voter struct {
	Name    string `cbor:"Name"`
	Address string `cbor:"Address"`
}

// LogEntry is one entry of the log.
type LogEntry struct {
	Index         uint64 `cbor:"1,keyasint"`
	Term          uint64 `cbor:"2,keyasint"`
	IsVoterChange bool   `cbor:"3,keyasint,omitempty"` // Data is the library's ConfChangeV2
	Data          []byte `cbor:"4,keyasint,omitempty"` // empty: the entry decides nothing
}

// PersistentState is what a voter's disk holds, and what is to be written to it.
type PersistentState struct {
	HardState []byte     // encoded by the library; nil: unchanged
	Entries   []LogEntry // they replace what the disk has from the first one's index on

	// Snapshot replaces all entries but those that come along with it. Some of these may be
	// from before it: they are for voters that lag a little.
	Snapshot *Snapshot
}

// Snapshot is the state up to an index, in place of the log up to there.
type Snapshot struct {
	Index       uint64 `cbor:"1,keyasint"`
	Term        uint64 `cbor:"2,keyasint"`
	VoterConfig []byte `cbor:"3,keyasint,omitempty"` // who votes, encoded by this package
	Data        []byte `cbor:"4,keyasint,omitempty"`
}

// Config is what a voter starts with.
type Config struct {
	Self       string
	Voters     []Voter         // for the first start; later the log has them. None: it waits to be added
	Persistent PersistentState // what the disk held
	Seed       uint64          // of the election delays

	// Without a message from a leader for one to two ElectionTimeouts a voter stands for
	// election. A leader sends a heartbeat each HeartbeatInterval.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
}

// EventKind is what an Event tells.
type EventKind int

// Events that a Step takes.
const (
	Tick              EventKind = iota // time has passed; nothing else
	MessageReceived                    // Bytes came from From
	Persisted                          // the last Persist is on disk, synced
	Propose                            // Data should be in the log; it may be lost, and is to be proposed again then
	ConfirmLeadership                  // whether this is the leader now: Handle comes back with the answer
	ChangeVoters                       // Voters should vote
	SnapshotTaken                      // Snapshot of the state up to its Index may replace the log up to there
)

// Event is the input of one Step.
type Event struct {
	Kind     EventKind
	From     string
	Bytes    []byte
	Data     []byte
	Handle   uint64
	Voters   []Voter
	Snapshot *Snapshot // Index and Data; the rest is filled in here
}

// EffectKind is what an Effect asks for or tells.
type EffectKind int

// Effects of a Step.
const (
	SendMessage         EffectKind = iota // Bytes to the voter To
	Persist                               // Persistent, synced; then a Persisted. There is one at a time
	Committed                             // Entry is in the log for good; voter changes are handed over, too
	SnapshotRestored                      // the state is that of Snapshot from now on
	LeadershipConfirmed                   // Handle: it led after it was asked, and Index was committed by then
	LeadershipDenied                      // Handle: it doesn't lead, or can't know
	LeaderChanged                         // Leader leads in Term, "" if nobody is known to
	VotersChanged                         // Voters vote now
)

// Effect is what the caller of a Step must do, in the order given.
type Effect struct {
	Kind       EffectKind
	To         string
	Bytes      []byte
	Persistent *PersistentState
	Entry      LogEntry
	Snapshot   *Snapshot
	Handle     uint64
	Index      uint64
	Leader     string
	Term       uint64
	Voters     []Voter
}

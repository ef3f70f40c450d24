// Package consensus replicates one log among the voters, on go.etcd.io/raft/v3. It is a pure
// state machine: Step takes an event and returns the effects that the caller must perform. The
// package sends and persists nothing itself, reads no clock, and draws its election delays from
// a seed, so that the same events at the same times always have the same effects.
package consensus

import "time"

// Voter is a controller that votes. VoterID derives its ID in raft messages from its name.
type Voter struct {
	Name    string `cbor:"Name"`
	Address string `cbor:"Address"`
}

// LogEntry is one entry of the replicated log.
type LogEntry struct {
	Index         uint64 `cbor:"1,keyasint"`
	Term          uint64 `cbor:"2,keyasint"`
	IsVoterChange bool   `cbor:"3,keyasint,omitempty"` // Data is an encoded raftpb.ConfChangeV2
	Data          []byte `cbor:"4,keyasint,omitempty"` // empty in the entry that a new leader appends
}

// PersistentState is the content of a voter's disk, or one write to the disk.
type PersistentState struct {
	HardState []byte     // encoded raftpb.HardState; a write with nil leaves it unchanged
	Entries   []LogEntry // a write replaces the entries on disk from the first one's index on

	// A write with a Snapshot replaces all entries on disk by its own Entries. Some of these may
	// precede the snapshot: the leader sends them to voters that lag slightly.
	Snapshot *Snapshot
}

// Snapshot is the replicated state at Index. It replaces the log up to Index.
type Snapshot struct {
	Index       uint64 `cbor:"1,keyasint"`
	Term        uint64 `cbor:"2,keyasint"`
	VoterConfig []byte `cbor:"3,keyasint,omitempty"` // the voters at Index, encoded by this package
	Data        []byte `cbor:"4,keyasint,omitempty"`
}

// Config is the configuration and the persistent state that a voter starts with.
type Config struct {
	Self       string
	Voters     []Voter         // for the first start, later the log has them; empty: waits to be added
	Persistent PersistentState // read from the disk
	Seed       uint64          // of the random election delays

	// A voter that hears no leader for a random time between one and two ElectionTimeouts stands
	// for election. A leader sends a heartbeat every HeartbeatInterval.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events that Step takes.
const (
	Tick              EventKind = iota // only the time has advanced
	MessageReceived                    // Bytes is an encoded message, From the name of its sender
	Persisted                          // the write of the last Persist is on disk and synced
	Propose                            // append Data to the log; the caller repeats a lost proposal
	ConfirmLeadership                  // ask whether this voter leads now; the answer carries Handle
	ChangeVoters                       // replace the voters by Voters
	SnapshotTaken                      // Snapshot may replace the log up to its Index
)

// Event is the input of one Step.
type Event struct {
	Kind     EventKind
	From     string
	Bytes    []byte
	Data     []byte
	Handle   uint64
	Voters   []Voter
	Snapshot *Snapshot // Index and Data; this package fills in the rest
}

// EffectKind is the kind of an Effect.
type EffectKind int

// The kinds of effects that Step returns.
const (
	SendMessage         EffectKind = iota // send Bytes to the voter To
	Persist                               // write and sync Persistent, then answer Persisted; one at a time
	Committed                             // Entry is committed; entries that change the voters are reported too
	SnapshotRestored                      // the replicated state is now that of Snapshot
	LeadershipConfirmed                   // this voter led after it was asked, with Index committed
	LeadershipDenied                      // this voter doesn't lead, or couldn't confirm in time that it does
	LeaderChanged                         // Leader leads in Term; "" if no leader is known
	VotersChanged                         // the voters are now Voters
)

// Effect is one action that the caller of Step must perform, in the order returned.
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

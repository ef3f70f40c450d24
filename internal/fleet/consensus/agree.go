// Package consensus keeps one log in one order among the voters, by go.etcd.io/raft/v3:
// messages and entries go in and come out, nothing is sent or stored here, no clock is
// read and chance is seeded. Elections are called by its own seeded times, so that a
// schedule plays the same way each time.
package consensus

import "time"

// Voter is one who votes. Its number in messages follows from its name.
type Voter struct {
	Name    string `cbor:"Name"`
	Address string `cbor:"Address"`
}

// Record is one entry of the log.
type Record struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Conf  bool   `cbor:"3,keyasint,omitempty"` // it changes who votes; Data is the library's
	Data  []byte `cbor:"4,keyasint,omitempty"` // empty: nothing was decided
}

// Kept is what a voter's disk held, and what is to be written to it. Hard is the
// library's, encoded by it. With a Snapshot only the Records that come along stay, some
// from before it, too: for voters that lag a little.
type Kept struct {
	Hard     []byte   // nil: unchanged
	Records  []Record // from the first one's index on they replace what was there
	Snapshot *Snapshot
}

// Snapshot is the state up to an index, and the log before it is not needed any more.
type Snapshot struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Conf  []byte `cbor:"3,keyasint,omitempty"` // who votes
	Data  []byte `cbor:"4,keyasint,omitempty"`
}

// Begin is what a voter starts with.
type Begin struct {
	Self      string
	Voters    []Voter // at the very first start; later the log tells. None: it waits to be told
	Kept      Kept    // what the disk held
	Seed      uint64
	Election  time.Duration // without word from a leader for one to two of these it stands for election
	Heartbeat time.Duration
}

// EventKind is what an Event tells.
type EventKind int

const (
	Tick      EventKind = iota // time has passed; nothing else
	Message                    // Bytes came from From
	Stored                     // the last Store is on disk, synced
	Propose                    // Data should be in the log; it may be lost: ask again by what is in it
	Confirm                    // is this the leader now? Handle comes back with Confirmed or Denied
	Voters                     // who should vote
	Compacted                  // Snapshot of the state up to its Index may replace the log before it
)

type Event struct {
	Kind     EventKind
	From     string
	Bytes    []byte
	Data     []byte
	Handle   uint64
	Voters   []Voter
	Snapshot *Snapshot // Index and Data; the rest is filled in here
}

// EffectKind is what an Effect asks for.
type EffectKind int

const (
	Send      EffectKind = iota // Bytes to To
	Store                       // Kept, synced; then a Stored. There is one at a time
	Decided                     // Record is in the log for good; Conf ones are handed over, too
	Restored                    // the state is Snapshot's from now on
	Confirmed                   // Handle: it led after it was asked, and Index was decided by then
	Denied                      // Handle: it doesn't lead, or can't know
	Led                         // Leader leads now in Term, "" if nobody is known to
	Voting                      // Voters vote now
)

type Effect struct {
	Kind     EffectKind
	To       string
	Bytes    []byte
	Kept     *Kept
	Record   Record
	Snapshot *Snapshot
	Handle   uint64
	Index    uint64
	Leader   string
	Term     uint64
	Voters   []Voter
}

package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// New begins a voter. The effects are those of a Step: what the disk held comes as
// SnapshotRestored and Committed, as far as it is known to be committed.
func New(config Config) (*Core, []Effect, error) {
	if config.HeartbeatInterval <= 0 || config.ElectionTimeout < 2*config.HeartbeatInterval {
		return nil, nil, &TimeoutError{config.ElectionTimeout, config.HeartbeatInterval}
	}
	if err := checkVoterNames(config.Self, config.Voters); err != nil {
		return nil, nil, err
	}
	number := VoterID(config.Self)
	c := &Core{
		id:                number,
		self:              config.Self,
		rand:              rand.New(rand.NewPCG(config.Seed, number)),
		electionTimeout:   config.ElectionTimeout,
		heartbeatInterval: config.HeartbeatInterval,
		names:             map[uint64]string{number: config.Self},
		voters:            map[uint64]Voter{},
		voterConfig:       &pb.ConfState{},
		snapshotsInFlight: map[uint64]time.Duration{},
	}
	persistent := config.Persistent
	isFresh := persistent.HardState == nil && persistent.Snapshot == nil && len(persistent.Entries) == 0
	if isFresh && len(config.Voters) > 0 {
		persistent = initialState(config.Voters)
		c.emit(Effect{Kind: Persist, Persistent: &persistent})
		c.persisting = true
	}
	if err := c.load(persistent); err != nil {
		return nil, nil, err
	}
	node, err := raft.NewRawNode(&raft.Config{
		ID:      c.id,
		Storage: c.storage,
		Applied: c.applied,
		Logger:  quiet{},

		// Only a leader is ever ticked, once a heartbeat: after so many ticks without
		// a majority it gives up. Elections are called here, by the Core's own times.
		ElectionTick:  max(2, int(config.ElectionTimeout/config.HeartbeatInterval)),
		HeartbeatTick: 1,

		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,

		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxMessagesInFlight,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
	})
	if err != nil {
		return nil, nil, &PersistentStateError{err.Error()}
	}
	c.raft = node
	c.handleReady()
	return c, c.takeEffects(), nil
}

// load puts what the disk held where the library reads it.
func (c *Core) load(p PersistentState) error {
	c.storage = raft.NewMemoryStorage()
	c.hardState = &pb.HardState{}
	if err := proto.Unmarshal(p.HardState, c.hardState); err != nil {
		return &PersistentStateError{"term and vote can't be read"}
	}
	for i, entry := range p.Entries {
		if entry.Index != p.Entries[0].Index+uint64(i) || entry.Index == 0 {
			return &LogGapError{entry.Index}
		}
	}
	if p.Snapshot != nil {
		if err := c.loadSnapshot(p.Snapshot, p.Entries); err != nil {
			return err
		}
		c.emit(Effect{Kind: SnapshotRestored, Snapshot: p.Snapshot})
	} else {
		if len(p.Entries) > 0 && p.Entries[0].Index != 1 {
			return &LogGapError{p.Entries[0].Index}
		}
		_ = c.storage.Append(toRaftEntries(p.Entries))
	}
	c.lastIndex, _ = c.storage.LastIndex()
	if c.hardState.GetCommit() > c.lastIndex {
		return &LogGapError{c.lastIndex + 1}
	}
	if c.hardState.GetCommit() < c.applied {
		c.hardState.Commit = new(c.applied)
	}
	if p.HardState != nil || p.Snapshot != nil {
		_ = c.storage.SetHardState(proto.Clone(c.hardState).(*pb.HardState))
	}
	return nil
}

// loadSnapshot begins with a snapshot, and with the entries after it. Entries up to it stay
// in the log for voters that lag, where they reach up to it.
func (c *Core) loadSnapshot(snapshot *Snapshot, entries []LogEntry) error {
	var config voterConfig
	state := &pb.ConfState{}
	if cbor.Unmarshal(snapshot.VoterConfig, &config) != nil || proto.Unmarshal(config.State, state) != nil {
		return &PersistentStateError{"the snapshot doesn't tell who votes"}
	}
	c.applied = snapshot.Index
	c.appliedTerm = snapshot.Term
	c.setVoterConfig(snapshot.Index, state, config.Voters)
	data := encodeCBOR(snapshotPayload{config.Voters, snapshot.Data})
	at := func(index, term uint64) *pb.SnapshotMetadata {
		return &pb.SnapshotMetadata{Index: new(index), Term: new(term), ConfState: state}
	}
	if len(entries) > 0 && entries[0].Index < snapshot.Index && entries[len(entries)-1].Index >= snapshot.Index {
		// The library wants a log to begin after something: the first entry is given up for that.
		_ = c.storage.ApplySnapshot(&pb.Snapshot{Metadata: at(entries[0].Index, entries[0].Term)})
		_ = c.storage.Append(toRaftEntries(entries[1:]))
		_, _ = c.storage.CreateSnapshot(snapshot.Index, state, data)
		return nil
	}
	for len(entries) > 0 && entries[0].Index <= snapshot.Index {
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].Index != snapshot.Index+1 {
		return &LogGapError{entries[0].Index}
	}
	_ = c.storage.ApplySnapshot(&pb.Snapshot{Data: data, Metadata: at(snapshot.Index, snapshot.Term)})
	_ = c.storage.Append(toRaftEntries(entries))
	return nil
}

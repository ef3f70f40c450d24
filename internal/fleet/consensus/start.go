package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// New starts a voter. The caller performs the effects like those of a Step. Among them is the
// persistent state, as SnapshotRestored and Committed, as far as it is known to be committed.
func New(config Config) (*Core, []Effect, error) {
	if config.HeartbeatInterval <= 0 || config.ElectionTimeout < 2*config.HeartbeatInterval {
		return nil, nil, &TimeoutError{config.ElectionTimeout, config.HeartbeatInterval}
	}
	if err := checkVoterNames(config.Self, config.Voters); err != nil {
		return nil, nil, err
	}
	id := VoterID(config.Self)
	c := &Core{
		id:                id,
		self:              config.Self,
		rand:              rand.New(rand.NewPCG(config.Seed, id)),
		electionTimeout:   config.ElectionTimeout,
		heartbeatInterval: config.HeartbeatInterval,
		names:             map[uint64]string{id: config.Self},
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
		Logger:  discardLogger{},

		// Only a leader ticks the library, once per heartbeat; it steps down after
		// ElectionTick ticks without a majority. The Core's own timers start elections.
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

// load copies the persistent state to the storage that the library reads, and emits SnapshotRestored for its
// snapshot. It fails if the state can't be decoded or the log has a gap.
func (c *Core) load(persistent PersistentState) error {
	c.storage = raft.NewMemoryStorage()
	c.hardState = &pb.HardState{}
	if err := proto.Unmarshal(persistent.HardState, c.hardState); err != nil {
		return &PersistentStateError{"hard state can't be decoded"}
	}
	for i, entry := range persistent.Entries {
		if entry.Index != persistent.Entries[0].Index+uint64(i) || entry.Index == 0 {
			return &LogGapError{entry.Index}
		}
	}
	if persistent.Snapshot != nil {
		if err := c.loadSnapshot(persistent.Snapshot, persistent.Entries); err != nil {
			return err
		}
		c.emit(Effect{Kind: SnapshotRestored, Snapshot: persistent.Snapshot})
	} else {
		if len(persistent.Entries) > 0 && persistent.Entries[0].Index != 1 {
			return &LogGapError{persistent.Entries[0].Index}
		}
		_ = c.storage.Append(toRaftEntries(persistent.Entries))
	}
	c.lastIndex, _ = c.storage.LastIndex()
	if c.hardState.GetCommit() > c.lastIndex {
		return &LogGapError{c.lastIndex + 1}
	}
	if c.hardState.GetCommit() < c.applied {
		c.hardState.Commit = new(c.applied)
	}
	if persistent.HardState != nil || persistent.Snapshot != nil {
		_ = c.storage.SetHardState(proto.Clone(c.hardState).(*pb.HardState))
	}
	return nil
}

// loadSnapshot loads a snapshot and the entries after it. Entries before the snapshot stay in the
// log for voters that lag, if the entries reach at least up to the snapshot.
func (c *Core) loadSnapshot(snapshot *Snapshot, entries []LogEntry) error {
	var config voterConfig
	state := &pb.ConfState{}
	if cbor.Unmarshal(snapshot.VoterConfig, &config) != nil || proto.Unmarshal(config.State, state) != nil {
		return &PersistentStateError{"voters of the snapshot can't be decoded"}
	}
	c.applied = snapshot.Index
	c.appliedTerm = snapshot.Term
	c.setVoterConfig(snapshot.Index, state, config.Voters)
	data := encodeCBOR(snapshotPayload{config.Voters, snapshot.Data})
	metadata := func(index, term uint64) *pb.SnapshotMetadata {
		return &pb.SnapshotMetadata{Index: new(index), Term: new(term), ConfState: state}
	}
	if len(entries) > 0 && entries[0].Index < snapshot.Index && entries[len(entries)-1].Index >= snapshot.Index {
		// The library's log must begin after an entry that it only knows by index and term: the
		// first entry becomes that one.
		_ = c.storage.ApplySnapshot(&pb.Snapshot{Metadata: metadata(entries[0].Index, entries[0].Term)})
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
	_ = c.storage.ApplySnapshot(&pb.Snapshot{Data: data, Metadata: metadata(snapshot.Index, snapshot.Term)})
	_ = c.storage.Append(toRaftEntries(entries))
	return nil
}

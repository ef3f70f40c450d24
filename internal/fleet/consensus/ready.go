package consensus

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// receive passes a valid message to the library, which trusts its input and panics on an impossible
// message.
func (c *Core) receive(event Event) {
	m := &pb.Message{}
	isAddressedHere := proto.Unmarshal(event.Bytes, m) == nil && m.GetTo() == c.id &&
		m.GetFrom() == VoterID(event.From) && event.From != c.self
	if !isAddressedHere || !c.isValid(m) {
		c.IgnoredMessages++
		return
	}
	c.names[m.GetFrom()] = event.From
	before := c.raft.BasicStatus()
	if c.raft.Step(m) != nil {
		c.IgnoredMessages++
		return
	}
	after := c.raft.BasicStatus()
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if after.Lead == m.GetFrom() && after.GetTerm() == m.GetTerm() {
			c.leaderHeardAt, c.electionTimerStart = c.now, c.now
		}
	case pb.MsgVote:
		if after.GetVote() == m.GetFrom() &&
			(before.GetVote() != after.GetVote() || before.GetTerm() != after.GetTerm()) {
			c.electionTimerStart = c.now
			c.drawElectionDelay()
		}
	case pb.MsgAppResp:
		delete(c.snapshotsInFlight, m.GetFrom())
	}
}

// isValid reports whether a correct voter could have sent the message to this one.
func (c *Core) isValid(m *pb.Message) bool {
	switch m.GetType() {
	case pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp:
		return m.GetTerm() > 0
	case pb.MsgHeartbeat:
		last, _ := c.storage.LastIndex()
		return m.GetTerm() > 0 && (m.GetTerm() < c.raft.BasicStatus().GetTerm() || m.GetCommit() <= last)
	case pb.MsgHeartbeatResp:
		context := m.GetContext()
		return m.GetTerm() > 0 && (len(context) == 0 ||
			len(context) == 8 && binary.LittleEndian.Uint64(context) <= c.confirmRequests)
	case pb.MsgAppResp:
		return m.GetTerm() > 0 && (m.GetReject() || m.GetIndex() <= c.lastIndex ||
			m.GetTerm() != c.raft.BasicStatus().GetTerm())
	case pb.MsgApp:
		for i, entry := range m.GetEntries() {
			if entry.GetIndex() != m.GetIndex()+1+uint64(i) || entry.GetTerm() > m.GetTerm() || entry.GetTerm() == 0 {
				return false
			}
			switch entry.GetType() {
			case pb.EntryNormal:
			case pb.EntryConfChangeV2:
				if proto.Unmarshal(entry.GetData(), &pb.ConfChangeV2{}) != nil {
					return false
				}
			default:
				return false
			}
		}
		return m.GetTerm() > 0
	case pb.MsgSnap:
		snapshot := m.GetSnapshot()
		var payload snapshotPayload
		return m.GetTerm() > 0 && snapshot.GetMetadata().GetIndex() > 0 && snapshot.GetMetadata().GetTerm() > 0 &&
			len(snapshot.GetMetadata().GetConfState().GetVoters()) > 0 &&
			cbor.Unmarshal(snapshot.GetData(), &payload) == nil
	}
	return false
}

// handleReady emits the effects of the library's Readys, up to the first one that must be persisted.
func (c *Core) handleReady() {
	for !c.persisting {
		if c.pendingSnapshot != nil {
			c.compactLog()
			continue
		}
		if !c.raft.HasReady() {
			break
		}
		rd := c.raft.Ready()
		if !rd.MustSync && raft.IsEmptySnap(rd.Snapshot) &&
			!slices.ContainsFunc(rd.CommittedEntries, isVoterChange) {
			// This Ready advances the commit index at most, which the next Persist writes; a
			// voter that loses it learns it again from the leader. A committed change of the
			// voters, however, is persisted at once: a log alone doesn't tell which entries are
			// committed, so an idle fleet that restarts would need the removed voters.
			c.finishReady(&rd)
			continue
		}
		// A leader sends new entries before its own Persist, so that the disks of all voters
		// write at the same time. It counts toward the majority only after its Persist.
		if c.raft.BasicStatus().RaftState == raft.StateLeader {
			rd.Messages = slices.DeleteFunc(slices.Clone(rd.Messages), func(m *pb.Message) bool {
				canPrecedePersist := m.GetType() == pb.MsgApp || m.GetType() == pb.MsgHeartbeat
				if canPrecedePersist {
					c.send(m)
				}
				return canPrecedePersist
			})
		}
		persistent := &PersistentState{Entries: fromRaftEntries(rd.Entries)}
		if !raft.IsEmptyHardState(rd.HardState) {
			c.hardState = rd.HardState
		}
		persistent.HardState = encodeProto(c.hardState)
		if !raft.IsEmptySnap(rd.Snapshot) {
			persistent.Snapshot = fromRaftSnapshot(rd.Snapshot)
		}
		if n := len(rd.Entries); n > 0 {
			c.lastIndex = rd.Entries[n-1].GetIndex()
		} else if persistent.Snapshot != nil {
			c.lastIndex = persistent.Snapshot.Index
		}
		c.pendingReady, c.persisting = &rd, true
		c.emit(Effect{Kind: Persist, Persistent: persistent})
	}
	if c.votersChanged {
		c.votersChanged = false
		c.emit(Effect{Kind: VotersChanged, Voters: c.Voters()})
	}
}

// persisted finishes the Ready whose write is now on disk.
func (c *Core) persisted() {
	if !c.persisting {
		c.IgnoredMessages++
		return
	}
	c.persisting = false
	if rd := c.pendingReady; rd != nil {
		c.pendingReady = nil
		c.finishReady(rd)
	}
}

// finishReady performs the rest of a Ready once it is persisted: it stores the entries in memory,
// sends the messages, and emits the committed entries and the confirmations.
func (c *Core) finishReady(rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		_ = c.storage.ApplySnapshot(rd.Snapshot)
		snapshot := fromRaftSnapshot(rd.Snapshot)
		var payload snapshotPayload
		_ = cbor.Unmarshal(rd.Snapshot.GetData(), &payload) // isValid checked it on receipt
		c.applied, c.appliedTerm = snapshot.Index, snapshot.Term
		c.setVoterConfig(snapshot.Index, rd.Snapshot.GetMetadata().GetConfState(), payload.Voters)
		c.emit(Effect{Kind: SnapshotRestored, Snapshot: snapshot})
	}
	_ = c.storage.Append(rd.Entries)
	if !raft.IsEmptyHardState(rd.HardState) {
		c.hardState = rd.HardState
		_ = c.storage.SetHardState(rd.HardState)
	}
	for _, m := range rd.Messages {
		c.send(m)
	}
	for _, e := range rd.CommittedEntries {
		c.applied, c.appliedTerm = e.GetIndex(), e.GetTerm()
		entry := fromRaftEntry(e)
		if entry.IsVoterChange {
			c.applyVoterChange(e)
		}
		c.emit(Effect{Kind: Committed, Entry: entry})
	}
	for _, rs := range rd.ReadStates {
		seq, term := binary.LittleEndian.Uint64(rs.RequestCtx), binary.LittleEndian.Uint64(rs.RequestCtx[8:])
		for i := range c.pendingConfirms {
			if c.pendingConfirms[i].seq == seq && c.raft.BasicStatus().GetTerm() == term {
				c.pendingConfirms[i].index = max(1, rs.Index)
			}
		}
	}
	c.raft.Advance(*rd)
	c.pendingConfirms = slices.DeleteFunc(c.pendingConfirms, func(pending pendingConfirm) bool {
		isConfirmed := pending.index > 0 && pending.index <= c.applied
		if isConfirmed {
			c.emit(Effect{Kind: LeadershipConfirmed, Handle: pending.handle, Index: pending.index})
		}
		return isConfirmed
	})
	c.updateLeader()
}

// send emits a message, unless it can't reach its voter or would be of no use there.
func (c *Core) send(m *pb.Message) {
	name, ok := c.names[m.GetTo()]
	if !ok {
		return // a former voter whose name is no longer known
	}
	if m.GetType() == pb.MsgSnap {
		config := m.GetSnapshot().GetMetadata().GetConfState()
		if !slices.Contains(config.GetVoters(), m.GetTo()) &&
			!slices.Contains(config.GetVotersOutgoing(), m.GetTo()) {
			// The snapshot precedes the change that added this voter, which would silently
			// ignore it. The library retries, and finds a newer snapshot then.
			c.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
			return
		}
		c.snapshotsInFlight[m.GetTo()] = c.now
	}
	c.emit(Effect{Kind: SendMessage, To: name, Bytes: encodeProto(m)})
}

// applyVoterChange applies a committed change of the voters.
func (c *Core) applyVoterChange(entry *pb.Entry) {
	change := &pb.ConfChangeV2{}
	_ = proto.Unmarshal(entry.GetData(), change) // isValid checked it on receipt
	var newVoters []Voter
	if len(change.GetContext()) > 0 {
		_ = cbor.Unmarshal(change.GetContext(), &newVoters)
	}
	c.proposedVoterChange = false
	c.setVoterConfig(entry.GetIndex(), c.raft.ApplyConfChange(change), append(c.Voters(), newVoters...))
}

// setVoterConfig sets the voters from an index on. knownVoters has their names and addresses; of
// several with one name, the last one counts.
func (c *Core) setVoterConfig(index uint64, config *pb.ConfState, knownVoters []Voter) {
	c.voterConfig = proto.Clone(config).(*pb.ConfState)
	clear(c.voters)
	isVoter := map[uint64]bool{}
	for _, id := range append(slices.Clone(config.GetVoters()), config.GetVotersOutgoing()...) {
		isVoter[id] = true
	}
	for _, v := range knownVoters {
		if id := VoterID(v.Name); isVoter[id] {
			c.voters[id], c.names[id] = v, v.Name
		}
	}
	c.votersChanged = true
	c.configHistory = append(c.configHistory, configAt{index, c.voterConfig, c.Voters()})
}

// compactLog replaces the log up to the index of the pending snapshot by the snapshot, and emits a
// Persist. The trailingEntries before the snapshot stay in the log.
func (c *Core) compactLog() {
	pending := c.pendingSnapshot
	c.pendingSnapshot = nil
	previous, _ := c.storage.Snapshot()
	if pending.Index <= previous.GetMetadata().GetIndex() {
		return
	}
	for len(c.configHistory) > 1 && c.configHistory[1].index <= pending.Index {
		c.configHistory = c.configHistory[1:]
	}
	if len(c.configHistory) == 0 || c.configHistory[0].index > pending.Index {
		return
	}
	atSnapshot := c.configHistory[0]
	snapshot, err := c.storage.CreateSnapshot(pending.Index, atSnapshot.config,
		encodeCBOR(snapshotPayload{atSnapshot.voters, pending.Data}))
	if err != nil {
		return
	}
	if first, _ := c.storage.FirstIndex(); pending.Index > trailingEntries &&
		pending.Index-trailingEntries >= first {
		_ = c.storage.Compact(pending.Index - trailingEntries)
	}
	first, _ := c.storage.FirstIndex()
	entries, _ := c.storage.Entries(first, c.lastIndex+1, 1<<63)
	c.persisting = true
	c.emit(Effect{Kind: Persist, Persistent: &PersistentState{HardState: encodeProto(c.hardState),
		Entries: fromRaftEntries(entries), Snapshot: fromRaftSnapshot(snapshot)}})
}

package consensus

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// receive gives a valid message to the library, which trusts what it is given and panics
// about what can't be.
func (c *Core) receive(ev Event) {
	m := &pb.Message{}
	isMeant := proto.Unmarshal(ev.Bytes, m) == nil && m.GetTo() == c.id && m.GetFrom() == VoterID(ev.From) && ev.From != c.self
	if !isMeant || !c.isValid(m) {
		c.IgnoredMessages++
		return
	}
	c.names[m.GetFrom()] = ev.From
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
		if after.GetVote() == m.GetFrom() && (before.GetVote() != after.GetVote() || before.GetTerm() != after.GetTerm()) {
			c.electionTimerStart = c.now
			c.drawElectionDelay()
		}
	case pb.MsgAppResp:
		delete(c.snapshotsInFlight, m.GetFrom())
	}
}

func (c *Core) isValid(m *pb.Message) bool {
	switch m.GetType() {
	case pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp:
		return m.GetTerm() > 0
	case pb.MsgHeartbeat:
		last, _ := c.storage.LastIndex()
		return m.GetTerm() > 0 && (m.GetTerm() < c.raft.BasicStatus().GetTerm() || m.GetCommit() <= last)
	case pb.MsgHeartbeatResp:
		x := m.GetContext()
		return m.GetTerm() > 0 && (len(x) == 0 || len(x) == 8 && binary.LittleEndian.Uint64(x) <= c.confirmsAsked)
	case pb.MsgAppResp:
		return m.GetTerm() > 0 && (m.GetReject() || m.GetIndex() <= c.lastIndex || m.GetTerm() != c.raft.BasicStatus().GetTerm())
	case pb.MsgApp:
		for i, e := range m.GetEntries() {
			if e.GetIndex() != m.GetIndex()+1+uint64(i) || e.GetTerm() > m.GetTerm() || e.GetTerm() == 0 {
				return false
			}
			switch e.GetType() {
			case pb.EntryNormal:
			case pb.EntryConfChangeV2:
				if proto.Unmarshal(e.GetData(), &pb.ConfChangeV2{}) != nil {
					return false
				}
			default:
				return false
			}
		}
		return m.GetTerm() > 0
	case pb.MsgSnap:
		s := m.GetSnapshot()
		var p snapshotPayload
		return m.GetTerm() > 0 && s.GetMetadata().GetIndex() > 0 && s.GetMetadata().GetTerm() > 0 &&
			len(s.GetMetadata().GetConfState().GetVoters()) > 0 && cbor.Unmarshal(s.GetData(), &p) == nil
	}
	return false
}

// handleReady hands out what the library has ready, until something must be persisted first.
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
		if !rd.MustSync && raft.IsEmptySnap(rd.Snapshot) && !slices.ContainsFunc(rd.CommittedEntries, isVoterChange) {
			// Who votes is kept at once: a fleet at rest that starts anew would otherwise
			// need those who were let go, since the log's end alone doesn't say what holds.
			// At most the commit index has grown: that goes with the next Persist; who
			// loses it learns it again from the leader.
			c.finishReady(&rd)
			continue
		}
		// A leader's disk works at the same time as those of the others: its vote counts
		// for the majority only when its Persist is done.
		if c.raft.BasicStatus().RaftState == raft.StateLeader {
			rd.Messages = slices.DeleteFunc(slices.Clone(rd.Messages), func(m *pb.Message) bool {
				early := m.GetType() == pb.MsgApp || m.GetType() == pb.MsgHeartbeat
				if early {
					c.send(m)
				}
				return early
			})
		}
		k := &PersistentState{Entries: fromRaftEntries(rd.Entries)}
		if !raft.IsEmptyHardState(rd.HardState) {
			c.hardState = rd.HardState
		}
		k.HardState = encodeProto(c.hardState)
		if !raft.IsEmptySnap(rd.Snapshot) {
			k.Snapshot = fromRaftSnapshot(rd.Snapshot)
		}
		if n := len(rd.Entries); n > 0 {
			c.lastIndex = rd.Entries[n-1].GetIndex()
		} else if k.Snapshot != nil {
			c.lastIndex = k.Snapshot.Index
		}
		c.pendingReady, c.persisting = &rd, true
		c.emit(Effect{Kind: Persist, Persistent: k})
	}
	if c.votersChanged {
		c.votersChanged = false
		c.emit(Effect{Kind: VotersChanged, Voters: c.Voters()})
	}
}

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

// finishReady does what may be done once a Ready is persisted.
func (c *Core) finishReady(rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		_ = c.storage.ApplySnapshot(rd.Snapshot)
		s := fromRaftSnapshot(rd.Snapshot)
		var p snapshotPayload
		_ = cbor.Unmarshal(rd.Snapshot.GetData(), &p) // it was looked at when it came
		c.applied, c.appliedTerm = s.Index, s.Term
		c.setVoterConfig(s.Index, rd.Snapshot.GetMetadata().GetConfState(), p.Voters)
		c.emit(Effect{Kind: SnapshotRestored, Snapshot: s})
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
		r := fromRaftEntry(e)
		if r.IsVoterChange {
			c.applyVoterChange(e)
		}
		c.emit(Effect{Kind: Committed, Entry: r})
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
	c.pendingConfirms = slices.DeleteFunc(c.pendingConfirms, func(a pendingConfirm) bool {
		known := a.index > 0 && a.index <= c.applied
		if known {
			c.emit(Effect{Kind: LeadershipConfirmed, Handle: a.handle, Index: a.index})
		}
		return known
	})
	c.updateLeader()
}

func (c *Core) send(m *pb.Message) {
	to, ok := c.names[m.GetTo()]
	if !ok {
		return // it voted once, and nobody knows its name any more
	}
	if m.GetType() == pb.MsgSnap {
		conf := m.GetSnapshot().GetMetadata().GetConfState()
		if !slices.Contains(conf.GetVoters(), m.GetTo()) && !slices.Contains(conf.GetVotersOutgoing(), m.GetTo()) {
			// It is from before this one votes, who would pass it over in silence. A
			// newer one will be there when it is tried again.
			c.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
			return
		}
		c.snapshotsInFlight[m.GetTo()] = c.now
	}
	c.emit(Effect{Kind: SendMessage, To: to, Bytes: encodeProto(m)})
}

// applyVoterChange applies a committed change of voters.
func (c *Core) applyVoterChange(e *pb.Entry) {
	cc := &pb.ConfChangeV2{}
	_ = proto.Unmarshal(e.GetData(), cc) // it was looked at when it came
	var named []Voter
	if len(cc.GetContext()) > 0 {
		_ = cbor.Unmarshal(cc.GetContext(), &named)
	}
	c.proposedVoterChange = false
	c.setVoterConfig(e.GetIndex(), c.raft.ApplyConfChange(cc), append(c.Voters(), named...))
}

// setVoterConfig notes who votes from an index on. Of several voters of one name in named the
// last one counts.
func (c *Core) setVoterConfig(index uint64, conf *pb.ConfState, named []Voter) {
	c.voterConfig = proto.Clone(conf).(*pb.ConfState)
	clear(c.voters)
	in := map[uint64]bool{}
	for _, id := range append(slices.Clone(conf.GetVoters()), conf.GetVotersOutgoing()...) {
		in[id] = true
	}
	for _, v := range named {
		if id := VoterID(v.Name); in[id] {
			c.voters[id], c.names[id] = v, v.Name
		}
	}
	c.votersChanged = true
	c.configHistory = append(c.configHistory, configAt{index, c.voterConfig, c.Voters()})
}

// compactLog puts the pending snapshot in the place of the log up to there.
func (c *Core) compactLog() {
	s := c.pendingSnapshot
	c.pendingSnapshot = nil
	old, _ := c.storage.Snapshot()
	if s.Index <= old.GetMetadata().GetIndex() {
		return
	}
	for len(c.configHistory) > 1 && c.configHistory[1].index <= s.Index {
		c.configHistory = c.configHistory[1:]
	}
	if len(c.configHistory) == 0 || c.configHistory[0].index > s.Index {
		return
	}
	at := c.configHistory[0]
	whole, err := c.storage.CreateSnapshot(s.Index, at.config, encodeCBOR(snapshotPayload{at.voters, s.Data}))
	if err != nil {
		return
	}
	if first, _ := c.storage.FirstIndex(); s.Index > trailingEntries && s.Index-trailingEntries >= first {
		_ = c.storage.Compact(s.Index - trailingEntries)
	}
	first, _ := c.storage.FirstIndex()
	all, _ := c.storage.Entries(first, c.lastIndex+1, 1<<63)
	c.persisting = true
	c.emit(Effect{Kind: Persist, Persistent: &PersistentState{HardState: encodeProto(c.hardState), Entries: fromRaftEntries(all), Snapshot: fromRaftSnapshot(whole)}})
}

package consensus

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// message hands on what makes sense. The library trusts what it is given, and panics
// about what can't be.
func (c *Core) message(ev Event) {
	m := &pb.Message{}
	if proto.Unmarshal(ev.Bytes, m) != nil || m.GetTo() != c.id || m.GetFrom() != Number(ev.From) || ev.From == c.self || !c.sound(m) {
		c.Odd++
		return
	}
	c.names[m.GetFrom()] = ev.From
	before := c.raft.BasicStatus()
	if c.raft.Step(m) != nil {
		c.Odd++
		return
	}
	after := c.raft.BasicStatus()
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if after.Lead == m.GetFrom() && after.GetTerm() == m.GetTerm() {
			c.heard, c.base = c.now, c.now
		}
	case pb.MsgVote:
		if after.GetVote() == m.GetFrom() && (before.GetVote() != after.GetVote() || before.GetTerm() != after.GetTerm()) {
			c.base = c.now
			c.draw()
		}
	case pb.MsgAppResp:
		delete(c.snaps, m.GetFrom())
	}
}

func (c *Core) sound(m *pb.Message) bool {
	switch m.GetType() {
	case pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp:
		return m.GetTerm() > 0
	case pb.MsgHeartbeat:
		last, _ := c.log.LastIndex()
		return m.GetTerm() > 0 && (m.GetTerm() < c.raft.BasicStatus().GetTerm() || m.GetCommit() <= last)
	case pb.MsgHeartbeatResp:
		x := m.GetContext()
		return m.GetTerm() > 0 && (len(x) == 0 || len(x) == 8 && binary.LittleEndian.Uint64(x) <= c.asked)
	case pb.MsgAppResp:
		return m.GetTerm() > 0 && (m.GetReject() || m.GetIndex() <= c.last || m.GetTerm() != c.raft.BasicStatus().GetTerm())
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
		var p passed
		return m.GetTerm() > 0 && s.GetMetadata().GetIndex() > 0 && s.GetMetadata().GetTerm() > 0 &&
			len(s.GetMetadata().GetConfState().GetVoters()) > 0 && cbor.Unmarshal(s.GetData(), &p) == nil
	}
	return false
}

// pump hands out what the library has ready, until something must be stored first.
func (c *Core) pump() {
	for !c.storing {
		if c.compact != nil {
			c.shorten()
			continue
		}
		if !c.raft.HasReady() {
			break
		}
		rd := c.raft.Ready()
		if !rd.MustSync && raft.IsEmptySnap(rd.Snapshot) && !slices.ContainsFunc(rd.CommittedEntries, isConf) {
			// Who votes is kept at once: a fleet at rest that starts anew would otherwise
			// need those who were let go, since the log's end alone doesn't say what holds.
			// At most what is known to be decided has grown: that goes with the next
			// Store; who loses it learns it again from the leader.
			c.finish(&rd)
			continue
		}
		// A leader's own disk works at the same time as those of the others: its word
		// counts for the majority only when its Store is done, and so may theirs.
		if c.raft.BasicStatus().RaftState == raft.StateLeader {
			rd.Messages = slices.DeleteFunc(slices.Clone(rd.Messages), func(m *pb.Message) bool {
				early := m.GetType() == pb.MsgApp || m.GetType() == pb.MsgHeartbeat
				if early {
					c.send(m)
				}
				return early
			})
		}
		k := &Kept{Records: records(rd.Entries)}
		if !raft.IsEmptyHardState(rd.HardState) {
			c.hard = rd.HardState
		}
		k.Hard = wire(c.hard)
		if !raft.IsEmptySnap(rd.Snapshot) {
			k.Snapshot = snapshot(rd.Snapshot)
		}
		if n := len(rd.Entries); n > 0 {
			c.last = rd.Entries[n-1].GetIndex()
		} else if k.Snapshot != nil {
			c.last = k.Snapshot.Index
		}
		c.ready, c.storing = &rd, true
		c.emit(Effect{Kind: Store, Kept: k})
	}
	if c.voting {
		c.voting = false
		c.emit(Effect{Kind: Voting, Voters: c.Voters()})
	}
}

func (c *Core) stored() {
	if !c.storing {
		c.Odd++
		return
	}
	c.storing = false
	if rd := c.ready; rd != nil {
		c.ready = nil
		c.finish(rd)
	}
}

// finish does what may be done once a Ready is stored.
func (c *Core) finish(rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		_ = c.log.ApplySnapshot(rd.Snapshot)
		s := snapshot(rd.Snapshot)
		var p passed
		_ = cbor.Unmarshal(rd.Snapshot.GetData(), &p) // it was looked at when it came
		c.applied, c.inTerm = s.Index, s.Term
		c.setConf(s.Index, rd.Snapshot.GetMetadata().GetConfState(), p.Voters)
		c.emit(Effect{Kind: Restored, Snapshot: s})
	}
	_ = c.log.Append(rd.Entries)
	if !raft.IsEmptyHardState(rd.HardState) {
		c.hard = rd.HardState
		_ = c.log.SetHardState(rd.HardState)
	}
	for _, m := range rd.Messages {
		c.send(m)
	}
	for _, e := range rd.CommittedEntries {
		c.applied, c.inTerm = e.GetIndex(), e.GetTerm()
		r := record(e)
		if r.Conf {
			c.changed(e)
		}
		c.emit(Effect{Kind: Decided, Record: r})
	}
	for _, rs := range rd.ReadStates {
		seq, term := binary.LittleEndian.Uint64(rs.RequestCtx), binary.LittleEndian.Uint64(rs.RequestCtx[8:])
		for i := range c.asks {
			if c.asks[i].seq == seq && c.raft.BasicStatus().GetTerm() == term {
				c.asks[i].index = max(1, rs.Index)
			}
		}
	}
	c.raft.Advance(*rd)
	c.asks = slices.DeleteFunc(c.asks, func(a ask) bool {
		known := a.index > 0 && a.index <= c.applied
		if known {
			c.emit(Effect{Kind: Confirmed, Handle: a.handle, Index: a.index})
		}
		return known
	})
	c.look()
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
		c.snaps[m.GetTo()] = c.now
	}
	c.emit(Effect{Kind: Send, To: to, Bytes: wire(m)})
}

// changed applies a decided change of voters.
func (c *Core) changed(e *pb.Entry) {
	cc := &pb.ConfChangeV2{}
	_ = proto.Unmarshal(e.GetData(), cc) // it was looked at when it came
	var named []Voter
	if len(cc.GetContext()) > 0 {
		_ = cbor.Unmarshal(cc.GetContext(), &named)
	}
	c.confAsk = 0
	c.setConf(e.GetIndex(), c.raft.ApplyConfChange(cc), append(c.Voters(), named...))
}

// setConf notes who votes from an index on; the last one named goes.
func (c *Core) setConf(index uint64, conf *pb.ConfState, named []Voter) {
	c.conf = proto.Clone(conf).(*pb.ConfState)
	clear(c.voters)
	in := map[uint64]bool{}
	for _, id := range append(slices.Clone(conf.GetVoters()), conf.GetVotersOutgoing()...) {
		in[id] = true
	}
	for _, v := range named {
		if id := Number(v.Name); in[id] {
			c.voters[id], c.names[id] = v, v.Name
		}
	}
	c.voting = true
	c.confs = append(c.confs, confAt{index, c.conf, c.Voters()})
}

// shorten puts a snapshot in the place of the log before it.
func (c *Core) shorten() {
	s := c.compact
	c.compact = nil
	old, _ := c.log.Snapshot()
	if s.Index <= old.GetMetadata().GetIndex() {
		return
	}
	for len(c.confs) > 1 && c.confs[1].index <= s.Index {
		c.confs = c.confs[1:]
	}
	if len(c.confs) == 0 || c.confs[0].index > s.Index {
		return
	}
	at := c.confs[0]
	whole, err := c.log.CreateSnapshot(s.Index, at.conf, pack(passed{at.voters, s.Data}))
	if err != nil {
		return
	}
	if first, _ := c.log.FirstIndex(); s.Index > trailing && s.Index-trailing >= first {
		_ = c.log.Compact(s.Index - trailing)
	}
	first, _ := c.log.FirstIndex()
	all, _ := c.log.Entries(first, c.last+1, 1<<63)
	c.storing = true
	c.emit(Effect{Kind: Store, Kept: &Kept{Hard: wire(c.hard), Records: records(all), Snapshot: snapshot(whole)}})
}

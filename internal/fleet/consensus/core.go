package consensus

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

const (
	// trailingEntries stay in the log before a snapshot, so that a voter that lags a little
	// gets entries and not the whole state.
	trailingEntries = 200
	// maxMessageBytes bounds the entries in one message.
	maxMessageBytes = 1 << 20
	// maxUncommittedBytes bounds what is proposed but not yet committed. Proposals beyond
	// that are lost, and proposed again by who made them.
	maxUncommittedBytes = 64 << 20
	// maxMessagesInFlight to one voter are not answered yet.
	maxMessagesInFlight = 64
	// never is a time that doesn't come.
	never = time.Duration(1<<63 - 1)
)

// Core is one voter. It isn't safe for use by several goroutines. The bytes that it hands
// out must not be changed, and it keeps those that it is given.
type Core struct {
	// IgnoredMessages counts messages that were damaged, for another, or such as no voter sends.
	IgnoredMessages int

	id                uint64
	self              string
	raft              *raft.RawNode
	storage           *raft.MemoryStorage
	rand              *rand.Rand
	electionTimeout   time.Duration
	heartbeatInterval time.Duration
	names             map[uint64]string // by number, of all who were heard or vote: who to answer

	// Who votes. configHistory has who voted from which index on, for a snapshot of an
	// earlier index than applied.
	voterConfig         *pb.ConfState
	voters              map[uint64]Voter
	configHistory       []configAt
	proposedVoterChange bool // one was proposed in this term and isn't committed
	votersChanged       bool // to be told by a VotersChanged

	// The log. An entry at lastIndex or before was handed out to be persisted.
	applied     uint64
	appliedTerm uint64 // of the entry at applied
	lastIndex   uint64
	hardState   *pb.HardState

	// Times, as the Steps had them. The voter stands for election electionDelay after
	// electionTimerStart.
	started            bool
	now                time.Duration
	leaderHeardAt      time.Duration
	electionTimerStart time.Duration
	electionDelay      time.Duration
	nextHeartbeat      time.Duration

	// What it does while it leads. leading is as of the last updateLeader.
	leading           bool
	confirmsAsked     uint64 // since it leads
	pendingConfirms   []pendingConfirm
	snapshotsInFlight map[uint64]time.Duration // when a snapshot was sent, by the voter's number

	// persisting is set from a Persist to its Persisted. pendingReady is what is finished
	// then; nil: the Persist was for a snapshot of this voter, or the very first one.
	persisting      bool
	pendingReady    *raft.Ready
	pendingSnapshot *Snapshot // to replace the log up to there, once nothing is being persisted

	leader     string // as last told, with its term
	leaderTerm uint64
	effects    []Effect // of the Step under way
}

// configAt is who votes from an index on.
type configAt struct {
	index  uint64
	config *pb.ConfState
	voters []Voter
}

// pendingConfirm is a ConfirmLeadership without an answer yet.
type pendingConfirm struct {
	seq    uint64
	handle uint64
	index  uint64        // it led, and this was committed then; 0: not known yet
	until  time.Duration // it is denied then
}

// voterConfig is what Snapshot.VoterConfig holds, as CBOR.
type voterConfig struct {
	State  []byte  `cbor:"1,keyasint"` // the library's ConfState
	Voters []Voter `cbor:"2,keyasint"`
}

// snapshotPayload is a snapshot's data as voters send it to each other: with the voters.
type snapshotPayload struct {
	Voters []Voter `cbor:"1,keyasint"`
	Data   []byte  `cbor:"2,keyasint"`
}

// Step takes an event in and tells what follows. Time never goes back.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.now = max(c.now, now)
	if !c.started {
		c.started, c.electionTimerStart = true, c.now
		c.drawElectionDelay()
		if c.isOnlyVoter() {
			c.electionDelay = 0 // nobody else could lead
		}
	}
	c.forgetSilentLeader()
	switch ev.Kind {
	case MessageReceived:
		c.receive(ev)
	case Persisted:
		c.persisted()
	case Propose:
		if c.leading && len(ev.Data) > 0 {
			_ = c.raft.Propose(ev.Data)
		}
	case ConfirmLeadership:
		c.confirm(ev.Handle)
	case ChangeVoters:
		c.changeVoters(ev.Voters)
	case SnapshotTaken:
		c.snapshotTaken(ev.Snapshot)
	}
	c.updateLeader()
	c.runTimers()
	c.handleReady()
	return c.takeEffects()
}

// snapshotTaken notes a snapshot of the state to replace the log up to there. An older one
// than is pending already, or one of entries that aren't applied, is passed over.
func (c *Core) snapshotTaken(s *Snapshot) {
	if s == nil || s.Index > c.applied {
		return
	}
	if c.pendingSnapshot == nil || c.pendingSnapshot.Index < s.Index {
		c.pendingSnapshot = s
	}
}

// NextTick is when the next Tick is due. It is never later than the voter needs, and may
// change with each Step.
func (c *Core) NextTick() time.Duration {
	if !c.started {
		return 0
	}
	if c.leading {
		return c.nextHeartbeat
	}
	due := never
	if c.isVoter() {
		due = c.electionTimerStart + c.electionDelay
	}
	if c.raft.BasicStatus().Lead != raft.None {
		due = min(due, c.leaderHeardAt+c.electionTimeout)
	}
	return due
}

// Leader is who leads, "" if nobody is known to, and in which term.
func (c *Core) Leader() (name string, term uint64) {
	s := c.raft.BasicStatus()
	return c.names[s.Lead], s.GetTerm()
}

// IsLeader reports whether this is the leader, as far as it knows. Another may lead already:
// see ConfirmLeadership.
func (c *Core) IsLeader() bool { return c.leading }

// Voters are those that vote, by name. While some are being replaced both the old and
// the new ones do.
func (c *Core) Voters() []Voter {
	var all []Voter
	for _, v := range c.voters {
		all = append(all, v)
	}
	return sortedByName(all)
}

func (c *Core) isVoter() bool     { _, ok := c.voters[c.id]; return ok }
func (c *Core) isOnlyVoter() bool { return len(c.voters) == 1 && c.isVoter() }
func (c *Core) drawElectionDelay() {
	c.electionDelay = c.electionTimeout + time.Duration(c.rand.Int64N(int64(c.electionTimeout)))
}
func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }
func (c *Core) takeEffects() []Effect {
	c.updateLeader()
	out := c.effects
	c.effects = nil
	return out
}

// forgetSilentLeader forgets a leader that wasn't heard for an election timeout, so that
// another may be voted for. Until then the library answers no request for votes: a voter that
// was cut off and comes back doesn't unseat a leader that all others hear.
func (c *Core) forgetSilentLeader() {
	s := c.raft.BasicStatus()
	if s.RaftState == raft.StateFollower && s.Lead != raft.None && c.now-c.leaderHeardAt >= c.electionTimeout {
		_ = c.raft.ForgetLeader()
	}
}

// updateLeader notes and tells a change of leader or term.
func (c *Core) updateLeader() {
	s := c.raft.BasicStatus()
	leads := s.RaftState == raft.StateLeader
	if leads != c.leading || leads && s.GetTerm() != c.leaderTerm {
		c.leading = leads
		c.confirmsAsked = 0
		c.proposedVoterChange = false
		clear(c.snapshotsInFlight)
		c.electionTimerStart, c.nextHeartbeat = c.now, c.now
		c.drawElectionDelay()
		c.denyConfirms(true)
	}
	name := c.names[s.Lead]
	if name != c.leader || name != "" && s.GetTerm() != c.leaderTerm {
		c.leader, c.leaderTerm = name, s.GetTerm()
		c.emit(Effect{Kind: LeaderChanged, Leader: name, Term: c.leaderTerm})
	}
}

// runTimers does what is due by the time alone.
func (c *Core) runTimers() {
	switch {
	case c.leading:
		if c.now >= c.nextHeartbeat {
			c.nextHeartbeat = c.now + c.heartbeatInterval
			c.raft.Tick()
			// The library would wait for a lost snapshot for ever.
			for _, id := range slices.Sorted(maps.Keys(c.snapshotsInFlight)) {
				if c.now-c.snapshotsInFlight[id] >= 4*c.electionTimeout {
					delete(c.snapshotsInFlight, id)
					c.raft.ReportSnapshot(id, raft.SnapshotFailure)
				}
			}
		}
		c.denyConfirms(false)
	case c.isVoter() && c.now >= c.electionTimerStart+c.electionDelay:
		c.electionTimerStart = c.now
		c.drawElectionDelay()
		if !c.persisting { // a voter with a slow disk had better not lead
			_ = c.raft.Campaign()
		}
	}
}

func (c *Core) confirm(handle uint64) {
	if !c.leading {
		c.emit(Effect{Kind: LeadershipDenied, Handle: handle})
		return
	}
	c.confirmsAsked++
	c.pendingConfirms = append(c.pendingConfirms, pendingConfirm{
		seq: c.confirmsAsked, handle: handle, until: c.now + 2*c.electionTimeout,
	})
	// The context comes back as it is: which confirmation, and in which term it was asked for.
	request := binary.LittleEndian.AppendUint64(nil, c.confirmsAsked)
	request = binary.LittleEndian.AppendUint64(request, c.raft.BasicStatus().GetTerm())
	c.raft.ReadIndex(request)
}

// denyConfirms denies the confirmations that have waited too long, or all.
func (c *Core) denyConfirms(all bool) {
	c.pendingConfirms = slices.DeleteFunc(c.pendingConfirms, func(a pendingConfirm) bool {
		gone := all || c.now >= a.until
		if gone {
			c.emit(Effect{Kind: LeadershipDenied, Handle: a.handle})
		}
		return gone
	})
}

// changeVoters proposes a change of voters, in one step during which both the old and the
// new majority are needed. Asked again for the same it does nothing.
func (c *Core) changeVoters(voters []Voter) {
	if !c.leading || len(voters) == 0 || checkVoterNames(c.self, voters) != nil ||
		len(c.voterConfig.GetVotersOutgoing()) > 0 || c.proposedVoterChange ||
		c.appliedTerm != c.raft.BasicStatus().GetTerm() {
		return
	}
	voters = sortedByName(voters)
	if slices.Equal(voters, c.Voters()) {
		return
	}
	cc := &pb.ConfChangeV2{
		Transition: pb.ConfChangeTransitionJointImplicit.Enum(),
		Context:    encodeCBOR(voters),
	}
	wanted := map[uint64]bool{}
	change := func(kind pb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(id)})
	}
	for _, v := range voters {
		id := VoterID(v.Name)
		wanted[id] = true
		if old, ok := c.voters[id]; !ok {
			change(pb.ConfChangeAddNode, id)
		} else if old != v {
			change(pb.ConfChangeUpdateNode, id)
		}
	}
	for _, v := range c.Voters() {
		if !wanted[VoterID(v.Name)] {
			change(pb.ConfChangeRemoveNode, VoterID(v.Name))
		}
	}
	if c.raft.ProposeConfChange(cc) == nil {
		c.proposedVoterChange = true
	}
}

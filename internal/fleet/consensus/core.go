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
	// trailingEntries is how many entries before a snapshot stay in the log, so that a voter that
	// lags slightly gets these entries instead of the whole state.
	trailingEntries = 200
	// maxMessageBytes bounds the size of the entries in one message.
	maxMessageBytes = 1 << 20
	// maxUncommittedBytes bounds the size of proposed but uncommitted entries. Proposals beyond
	// it are dropped, and their proposers must propose them again.
	maxUncommittedBytes = 64 << 20
	// maxMessagesInFlight bounds the unanswered messages to one voter.
	maxMessagesInFlight = 64
	// noDeadline is later than any time.
	noDeadline = time.Duration(1<<63 - 1)
)

// Core is one voter. It isn't safe for use by several goroutines. The caller must not change the
// byte slices that it gets from a Core, nor those that it has passed in: the Core keeps them.
type Core struct {
	// IgnoredMessages counts ignored input: messages that were damaged, addressed to another
	// voter, or invalid, and Persisted events without a Persist.
	IgnoredMessages int

	id                uint64
	self              string
	raft              *raft.RawNode
	storage           *raft.MemoryStorage
	rand              *rand.Rand
	electionTimeout   time.Duration
	heartbeatInterval time.Duration
	names             map[uint64]string // by voter ID, of the voters and of all senders of messages, for replies

	// The voters. configHistory has each set of voters with the log index from which it applies, since
	// a snapshot contains the voters at its index, which may be lower than applied.
	voterConfig         *pb.ConfState
	voters              map[uint64]Voter
	configHistory       []configAt
	proposedVoterChange bool // proposed in this term and not committed yet
	votersChanged       bool // a VotersChanged effect is due

	// The log. All entries up to lastIndex were handed out in Persist effects.
	applied     uint64
	appliedTerm uint64 // of the entry at index applied
	lastIndex   uint64
	hardState   *pb.HardState

	// Times, as passed to Step. The voter stands for election electionDelay after
	// electionTimerStart.
	started            bool
	now                time.Duration
	leaderHeardAt      time.Duration
	electionTimerStart time.Duration
	electionDelay      time.Duration
	nextHeartbeat      time.Duration

	// State of a leader. leading was set by the last updateLeader.
	leading           bool
	confirmRequests   uint64 // since this voter became leader
	pendingConfirms   []pendingConfirm
	snapshotsInFlight map[uint64]time.Duration // send times of snapshots, by voter ID

	// persisting is set between a Persist effect and its Persisted event. pendingReady is the
	// Ready to finish then; nil if the write holds this voter's own snapshot or its initial state.
	persisting      bool
	pendingReady    *raft.Ready
	pendingSnapshot *Snapshot // replaces the log up to its index once no write is pending

	leader     string // of the last LeaderChanged effect, with leaderTerm
	leaderTerm uint64
	effects    []Effect // of the current Step
}

// configAt is the set of voters from an index on.
type configAt struct {
	index  uint64
	config *pb.ConfState
	voters []Voter
}

// pendingConfirm is an unanswered ConfirmLeadership event.
type pendingConfirm struct {
	seq      uint64
	handle   uint64
	index    uint64        // commit index at the request, set once a quorum has confirmed; 0 before
	deadline time.Duration // the confirmation is denied then
}

// voterConfig is the content of Snapshot.VoterConfig, encoded in CBOR.
type voterConfig struct {
	State  []byte  `cbor:"1,keyasint"` // encoded raftpb.ConfState
	Voters []Voter `cbor:"2,keyasint"`
}

// snapshotPayload is the data of a snapshot that voters send to each other.
type snapshotPayload struct {
	Voters []Voter `cbor:"1,keyasint"`
	Data   []byte  `cbor:"2,keyasint"`
}

// Step handles an event at the time now and returns its effects. Time never goes back: a now earlier
// than that of a previous Step counts as the previous one.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.now = max(c.now, now)
	if !c.started {
		c.started, c.electionTimerStart = true, c.now
		c.drawElectionDelay()
		if c.isOnlyVoter() {
			c.electionDelay = 0 // no other voter could lead
		}
	}
	c.forgetSilentLeader()
	switch event.Kind {
	case MessageReceived:
		c.receive(event)
	case Persisted:
		c.persisted()
	case Propose:
		if c.leading && len(event.Data) > 0 {
			_ = c.raft.Propose(event.Data)
		}
	case ConfirmLeadership:
		c.confirm(event.Handle)
	case ChangeVoters:
		c.changeVoters(event.Voters)
	case SnapshotTaken:
		c.snapshotTaken(event.Snapshot)
	}
	c.updateLeader()
	c.runTimers()
	c.handleReady()
	return c.takeEffects()
}

// snapshotTaken sets the pending snapshot, which will replace the log up to its index. It ignores
// a snapshot older than the pending one, and one of entries that aren't applied yet.
func (c *Core) snapshotTaken(snapshot *Snapshot) {
	if snapshot == nil || snapshot.Index > c.applied {
		return
	}
	if c.pendingSnapshot == nil || c.pendingSnapshot.Index < snapshot.Index {
		c.pendingSnapshot = snapshot
	}
}

// NextTick returns the time at which the next Tick is due. It may change with each Step. It may be
// earlier than the voter needs, but never later.
func (c *Core) NextTick() time.Duration {
	if !c.started {
		return 0
	}
	if c.leading {
		return c.nextHeartbeat
	}
	due := noDeadline
	if c.isVoter() {
		due = c.electionTimerStart + c.electionDelay
	}
	if c.raft.BasicStatus().Lead != raft.None {
		due = min(due, c.leaderHeardAt+c.electionTimeout)
	}
	return due
}

// Leader returns the name of the known leader, "" if there is none, and the current term.
func (c *Core) Leader() (name string, term uint64) {
	status := c.raft.BasicStatus()
	return c.names[status.Lead], status.GetTerm()
}

// IsLeader reports whether this voter believes that it leads. Another voter may lead already: see
// ConfirmLeadership.
func (c *Core) IsLeader() bool { return c.leading }

// Voters returns the voters, sorted by name. During a change of the voters these are the old and
// the new ones.
func (c *Core) Voters() []Voter {
	var voters []Voter
	for _, v := range c.voters {
		voters = append(voters, v)
	}
	return sortedByName(voters)
}

func (c *Core) isVoter() bool     { _, ok := c.voters[c.id]; return ok }
func (c *Core) isOnlyVoter() bool { return len(c.voters) == 1 && c.isVoter() }
func (c *Core) drawElectionDelay() {
	c.electionDelay = c.electionTimeout + time.Duration(c.rand.Int64N(int64(c.electionTimeout)))
}
func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }
func (c *Core) takeEffects() []Effect {
	c.updateLeader()
	effects := c.effects
	c.effects = nil
	return effects
}

// forgetSilentLeader forgets a leader that was silent for an election timeout, so that this voter
// may vote for another. Until then the library answers no vote request, so that a voter that
// reconnects after a partition doesn't unseat a leader that the other voters still hear.
func (c *Core) forgetSilentLeader() {
	status := c.raft.BasicStatus()
	if status.RaftState == raft.StateFollower && status.Lead != raft.None &&
		c.now-c.leaderHeardAt >= c.electionTimeout {
		_ = c.raft.ForgetLeader()
	}
}

// updateLeader records a change of the leader or the term, and emits LeaderChanged.
func (c *Core) updateLeader() {
	status := c.raft.BasicStatus()
	isLeader := status.RaftState == raft.StateLeader
	if isLeader != c.leading || isLeader && status.GetTerm() != c.leaderTerm {
		c.leading = isLeader
		c.confirmRequests = 0
		c.proposedVoterChange = false
		clear(c.snapshotsInFlight)
		c.electionTimerStart, c.nextHeartbeat = c.now, c.now
		c.drawElectionDelay()
		c.denyConfirms(allConfirms)
	}
	name := c.names[status.Lead]
	if name != c.leader || name != "" && status.GetTerm() != c.leaderTerm {
		c.leader, c.leaderTerm = name, status.GetTerm()
		c.emit(Effect{Kind: LeaderChanged, Leader: name, Term: c.leaderTerm})
	}
}

// runTimers sends heartbeats, and starts elections and denies confirmations whose time has come.
func (c *Core) runTimers() {
	switch {
	case c.leading:
		if c.now >= c.nextHeartbeat {
			c.nextHeartbeat = c.now + c.heartbeatInterval
			c.raft.Tick()
			// Without a report, the library would wait forever for a lost snapshot.
			for _, id := range slices.Sorted(maps.Keys(c.snapshotsInFlight)) {
				if c.now-c.snapshotsInFlight[id] >= 4*c.electionTimeout {
					delete(c.snapshotsInFlight, id)
					c.raft.ReportSnapshot(id, raft.SnapshotFailure)
				}
			}
		}
		c.denyConfirms(overdueConfirms)
	case c.isVoter() && c.now >= c.electionTimerStart+c.electionDelay:
		c.electionTimerStart = c.now
		c.drawElectionDelay()
		if !c.persisting { // a voter with a slow disk shouldn't become leader
			_ = c.raft.Campaign()
		}
	}
}

// confirm asks a quorum whether this voter still leads.
func (c *Core) confirm(handle uint64) {
	if !c.leading {
		c.emit(Effect{Kind: LeadershipDenied, Handle: handle})
		return
	}
	c.confirmRequests++
	c.pendingConfirms = append(c.pendingConfirms, pendingConfirm{
		seq: c.confirmRequests, handle: handle, deadline: c.now + 2*c.electionTimeout,
	})
	// The library returns this context unchanged with the answer: the confirmation's number and term.
	request := binary.LittleEndian.AppendUint64(nil, c.confirmRequests)
	request = binary.LittleEndian.AppendUint64(request, c.raft.BasicStatus().GetTerm())
	c.raft.ReadIndex(request)
}

// Values of denyConfirms's all.
const (
	overdueConfirms = false
	allConfirms     = true
)

// denyConfirms denies the pending confirmations past their deadline, or all of them.
func (c *Core) denyConfirms(all bool) {
	c.pendingConfirms = slices.DeleteFunc(c.pendingConfirms, func(pending pendingConfirm) bool {
		isDenied := all || c.now >= pending.deadline
		if isDenied {
			c.emit(Effect{Kind: LeadershipDenied, Handle: pending.handle})
		}
		return isDenied
	})
}

// changeVoters proposes a change of the voters by joint consensus: during the change, entries need
// a majority of the old and of the new voters. It does nothing if the voters are the same already.
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
	change := &pb.ConfChangeV2{
		Transition: pb.ConfChangeTransitionJointImplicit.Enum(),
		Context:    encodeCBOR(voters),
	}
	isKept := map[uint64]bool{}
	addChange := func(kind pb.ConfChangeType, id uint64) {
		change.Changes = append(change.Changes, &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(id)})
	}
	for _, v := range voters {
		id := VoterID(v.Name)
		isKept[id] = true
		if old, ok := c.voters[id]; !ok {
			addChange(pb.ConfChangeAddNode, id)
		} else if old != v {
			addChange(pb.ConfChangeUpdateNode, id)
		}
	}
	for _, v := range c.Voters() {
		if !isKept[VoterID(v.Name)] {
			addChange(pb.ConfChangeRemoveNode, VoterID(v.Name))
		}
	}
	if c.raft.ProposeConfChange(change) == nil {
		c.proposedVoterChange = true
	}
}

package consensus

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// trailing is how many records before a snapshot stay, so that a voter that lags a
	// little gets records and not the whole state.
	trailing = 200
	// most bytes of records in one message, and of those proposed but not yet decided;
	// what is proposed beyond that is lost, and asked for again.
	mostMessage, mostOpen = 1 << 20, 64 << 20
	never                 = time.Duration(1<<63 - 1)
)

// Core is one voter. Not for use by several goroutines. The bytes that it hands out
// must not be changed, and it keeps those that it is given.
type Core struct {
	// Odd counts messages that were ignored: damaged, for another, or such as no voter sends.
	Odd int

	id        uint64
	self      string
	raft      *raft.RawNode
	log       *raft.MemoryStorage
	rand      *rand.Rand
	election  time.Duration
	heartbeat time.Duration
	names     map[uint64]string // of all who were heard or vote: who to answer

	conf    *pb.ConfState
	voters  map[uint64]Voter
	confs   []confAt // what held from which index on, for snapshots of an earlier index
	applied uint64
	inTerm  uint64 // the term of the record at applied
	last    uint64 // records up to here were handed out to be stored
	hard    *pb.HardState

	begun   bool
	now     time.Duration
	heard   time.Duration // the last word of the leader
	base    time.Duration // what the time to stand for election counts from
	span    time.Duration
	beat    time.Duration // the leader's next heartbeat
	leading bool          // as of the last look
	asked   uint64        // by Confirm since it leads
	asks    []ask
	snaps   map[uint64]time.Duration // snapshots on their way to voters, and since when

	storing bool
	ready   *raft.Ready // what the Store under way is part of; nil: of a snapshot of ours, or the very first
	compact *Snapshot   // to replace the log before it, once no Store is under way
	confAsk uint64      // a change of voters was asked for in this term and isn't decided
	voting  bool        // who votes has changed
	leader  string      // as last told, with its term
	term    uint64
	out     []Effect
}

type confAt struct {
	index  uint64
	conf   *pb.ConfState
	voters []Voter
}

type ask struct {
	seq, handle, index uint64 // index: it led, and this was decided then; 0: not known yet
	until              time.Duration
}

// votersKept is what Snapshot.Conf holds, CBOR.
type votersKept struct {
	State  []byte  `cbor:"1,keyasint"` // the library's
	Voters []Voter `cbor:"2,keyasint"`
}

// passed is what a snapshot's data is among voters: who they are goes along.
type passed struct {
	Voters []Voter `cbor:"1,keyasint"`
	Data   []byte  `cbor:"2,keyasint"`
}

// New begins a voter. The effects are those of a Step: what the disk held comes as
// Restored and Decided, as far as it is known to be decided.
func New(b Begin) (*Core, []Effect, error) {
	if b.Heartbeat <= 0 || b.Election < 2*b.Heartbeat {
		return nil, nil, &SpanError{b.Election, b.Heartbeat}
	}
	if err := numbered(b.Self, b.Voters); err != nil {
		return nil, nil, err
	}
	c := &Core{
		id: Number(b.Self), self: b.Self,
		rand:     rand.New(rand.NewPCG(b.Seed, Number(b.Self))),
		election: b.Election, heartbeat: b.Heartbeat,
		names: map[uint64]string{Number(b.Self): b.Self}, voters: map[uint64]Voter{},
		conf: &pb.ConfState{}, snaps: map[uint64]time.Duration{},
	}
	kept := b.Kept
	fresh := kept.Hard == nil && kept.Snapshot == nil && len(kept.Records) == 0
	if fresh && len(b.Voters) > 0 {
		kept = genesis(b.Voters)
		c.emit(Effect{Kind: Store, Kept: &kept})
		c.storing = true
	}
	if err := c.load(kept); err != nil {
		return nil, nil, err
	}
	node, err := raft.NewRawNode(&raft.Config{
		ID: c.id, Storage: c.log, Applied: c.applied,
		// Only a leader is ever ticked, once a heartbeat: after so many ticks without
		// a majority it gives up. Elections are called here, by our own times.
		ElectionTick: max(2, int(b.Election/b.Heartbeat)), HeartbeatTick: 1,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe,
		MaxSizePerMsg: mostMessage, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: mostOpen,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{},
	})
	if err != nil {
		return nil, nil, &KeptError{err.Error()}
	}
	c.raft = node
	c.pump()
	return c, c.take(), nil
}

// load puts what was kept where the library reads it.
func (c *Core) load(k Kept) error {
	c.log, c.hard = raft.NewMemoryStorage(), &pb.HardState{}
	if err := proto.Unmarshal(k.Hard, c.hard); err != nil {
		return &KeptError{"term and vote can't be read"}
	}
	for i, r := range k.Records {
		if r.Index != k.Records[0].Index+uint64(i) || r.Index == 0 {
			return &GapError{r.Index}
		}
	}
	records, snap := k.Records, k.Snapshot
	if snap != nil {
		var who votersKept
		conf := &pb.ConfState{}
		if cbor.Unmarshal(snap.Conf, &who) != nil || proto.Unmarshal(who.State, conf) != nil {
			return &KeptError{"the snapshot doesn't tell who votes"}
		}
		c.applied, c.inTerm = snap.Index, snap.Term
		c.setConf(snap.Index, conf, who.Voters)
		whole := &pb.Snapshot{Data: pack(passed{who.Voters, snap.Data}), Metadata: &pb.SnapshotMetadata{
			Index: new(snap.Index), Term: new(snap.Term), ConfState: conf}}
		// Records before the snapshot are kept for voters that lag. The library wants
		// them after something: the first of them is given up for that.
		if len(records) > 0 && records[0].Index < snap.Index && records[len(records)-1].Index >= snap.Index {
			base := records[0]
			records = records[1:]
			_ = c.log.ApplySnapshot(&pb.Snapshot{Metadata: &pb.SnapshotMetadata{
				Index: new(base.Index), Term: new(base.Term), ConfState: conf}})
			_ = c.log.Append(entries(records))
			_, _ = c.log.CreateSnapshot(snap.Index, conf, whole.Data)
		} else {
			for len(records) > 0 && records[0].Index <= snap.Index {
				records = records[1:]
			}
			if len(records) > 0 && records[0].Index != snap.Index+1 {
				return &GapError{records[0].Index}
			}
			_ = c.log.ApplySnapshot(whole)
			_ = c.log.Append(entries(records))
		}
		c.emit(Effect{Kind: Restored, Snapshot: snap})
	} else {
		if len(records) > 0 && records[0].Index != 1 {
			return &GapError{records[0].Index}
		}
		_ = c.log.Append(entries(records))
	}
	c.last, _ = c.log.LastIndex()
	if c.hard.GetCommit() > c.last {
		return &GapError{c.last + 1}
	}
	if c.hard.GetCommit() < c.applied {
		c.hard.Commit = new(c.applied)
	}
	if k.Hard != nil || snap != nil {
		_ = c.log.SetHardState(proto.Clone(c.hard).(*pb.HardState))
	}
	return nil
}

// Step takes an event in and tells what follows. Time never goes back.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.now = max(c.now, now)
	if !c.begun {
		c.begun, c.base = true, c.now
		c.draw()
		if c.alone() {
			c.span = 0 // nobody else could lead
		}
	}
	c.forget()
	switch ev.Kind {
	case Message:
		c.message(ev)
	case Stored:
		c.stored()
	case Propose:
		if c.leading && len(ev.Data) > 0 {
			_ = c.raft.Propose(ev.Data)
		}
	case Confirm:
		c.confirm(ev.Handle)
	case Voters:
		c.want(ev.Voters)
	case Compacted:
		if s := ev.Snapshot; s != nil && s.Index <= c.applied && (c.compact == nil || c.compact.Index < s.Index) {
			c.compact = s
		}
	}
	c.look()
	c.duties()
	c.pump()
	return c.take()
}

// Due is when the next Tick is wanted. It is never later than the voter needs, and may
// change with each Step.
func (c *Core) Due() time.Duration {
	if !c.begun {
		return 0
	}
	if c.leading {
		return c.beat
	}
	due := never
	if c.votes() {
		due = c.base + c.span
	}
	if c.raft.BasicStatus().Lead != raft.None {
		due = min(due, c.heard+c.election)
	}
	return due
}

// Leader is who leads, "" if nobody is known to, and in which term.
func (c *Core) Leader() (name string, term uint64) {
	s := c.raft.BasicStatus()
	return c.names[s.Lead], s.GetTerm()
}

// Leads reports whether this is the leader, as far as it knows. Another may lead already: see Confirm.
func (c *Core) Leads() bool { return c.leading }

// Voters are those that vote, by name. While some are being replaced both the old and
// the new ones do.
func (c *Core) Voters() []Voter {
	var all []Voter
	for _, v := range c.voters {
		all = append(all, v)
	}
	return sorted(all)
}

func (c *Core) votes() bool { _, ok := c.voters[c.id]; return ok }
func (c *Core) alone() bool { return len(c.voters) == 1 && c.votes() }
func (c *Core) draw() {
	c.span = c.election + time.Duration(c.rand.Int64N(int64(c.election)))
}
func (c *Core) emit(e Effect) { c.out = append(c.out, e) }
func (c *Core) take() []Effect {
	c.look()
	out := c.out
	c.out = nil
	return out
}

// forget lets a leader go that wasn't heard for so long that another may be voted for.
// As long as it is remembered, the library answers no request for votes: one who was
// cut off and comes back then doesn't unseat a leader that all others hear.
func (c *Core) forget() {
	if s := c.raft.BasicStatus(); s.RaftState == raft.StateFollower && s.Lead != raft.None && c.now-c.heard >= c.election {
		_ = c.raft.ForgetLeader()
	}
}

// look sees whether who leads has changed.
func (c *Core) look() {
	s := c.raft.BasicStatus()
	if leads := s.RaftState == raft.StateLeader; leads != c.leading || leads && s.GetTerm() != c.term {
		c.leading, c.asked, c.confAsk = leads, 0, 0
		clear(c.snaps)
		c.base, c.beat = c.now, c.now
		c.draw()
		c.deny(true)
	}
	name := c.names[s.Lead]
	if name != c.leader || name != "" && s.GetTerm() != c.term {
		c.leader, c.term = name, s.GetTerm()
		c.emit(Effect{Kind: Led, Leader: name, Term: c.term})
	}
}

// duties are those that come by the time alone.
func (c *Core) duties() {
	switch {
	case c.leading:
		if c.now >= c.beat {
			c.beat = c.now + c.heartbeat
			c.raft.Tick()
			// A snapshot that got lost would be waited for without an end.
			for _, id := range slices.Sorted(maps.Keys(c.snaps)) {
				if c.now-c.snaps[id] >= 4*c.election {
					delete(c.snaps, id)
					c.raft.ReportSnapshot(id, raft.SnapshotFailure)
				}
			}
		}
		c.deny(false)
	case c.votes() && c.now >= c.base+c.span:
		c.base = c.now
		c.draw()
		if !c.storing { // whose disk is slow had better not lead
			_ = c.raft.Campaign()
		}
	}
}

func (c *Core) confirm(handle uint64) {
	if !c.leading {
		c.emit(Effect{Kind: Denied, Handle: handle})
		return
	}
	c.asked++
	c.asks = append(c.asks, ask{seq: c.asked, handle: handle, until: c.now + 2*c.election})
	c.raft.ReadIndex(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, c.asked), c.raft.BasicStatus().GetTerm()))
}

// deny answers those for whom it is too late, or all.
func (c *Core) deny(all bool) {
	c.asks = slices.DeleteFunc(c.asks, func(a ask) bool {
		gone := all || c.now >= a.until
		if gone {
			c.emit(Effect{Kind: Denied, Handle: a.handle})
		}
		return gone
	})
}

// want changes who votes, in one step during which both the old and the new majority
// are needed. Asked again for the same it does nothing.
func (c *Core) want(voters []Voter) {
	if !c.leading || len(voters) == 0 || numbered(c.self, voters) != nil ||
		len(c.conf.GetVotersOutgoing()) > 0 || c.confAsk != 0 || c.inTerm != c.raft.BasicStatus().GetTerm() {
		return
	}
	voters = sorted(voters)
	if slices.Equal(voters, c.Voters()) {
		return
	}
	cc := &pb.ConfChangeV2{Transition: pb.ConfChangeTransitionJointImplicit.Enum(), Context: pack(voters)}
	wanted := map[uint64]bool{}
	change := func(kind pb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(id)})
	}
	for _, v := range voters {
		id := Number(v.Name)
		wanted[id] = true
		if old, ok := c.voters[id]; !ok {
			change(pb.ConfChangeAddNode, id)
		} else if old != v {
			change(pb.ConfChangeUpdateNode, id)
		}
	}
	for _, v := range c.Voters() {
		if !wanted[Number(v.Name)] {
			change(pb.ConfChangeRemoveNode, Number(v.Name))
		}
	}
	if c.raft.ProposeConfChange(cc) == nil {
		c.confAsk = 1
	}
}

package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// Core is one controller's part in the fleet.
type Core struct {
	config     Config
	now        time.Duration
	effects    []Effect
	state      *statemachine.State
	stateError fleet.Remedied // what keeps this controller from ever serving

	consensus            *consensus.Core // nil: it only follows
	voters               []consensus.Voter
	recentEntries        []consensus.LogEntry // since a little before the last snapshot, for those who follow
	appliedTerm          uint64               // of the last record applied
	entriesSinceSnapshot int                  // records since the last snapshot
	pendingWrites        []*pendingWrite
	voterHeardAt         time.Duration      // when agreement last heard of another voter
	votedOut             bool               // others vote by now, and the record up to here doesn't tell yet
	hardState            []byte             // what it voted for last, as agreement has it
	consensusEffects     []consensus.Effect // not performed yet
	performing           bool
	persistIndex         uint64 // the last record that is stored or being stored, where it only follows

	aggregator     *renewalAggregator // nil: this controller is no relay
	roster         roster
	started        bool                // the first event has come: before it there is no clock
	latestSnapshot *consensus.Snapshot // of the state, for those far behind; nil: none was asked for yet

	member
	leading
	requests []*operatorRequest
	Counts   map[string]int // of what was refused or odd, for the status
}

// storing is one write that the disk has not told of yet.
type pendingWrite struct {
	writes      *consensus.PersistentState
	onPersisted func()
}

// asking is an ask that waits for its word.
type operatorRequest struct {
	ask       *fleet.Ask
	handle    uint64 // 0: the reducer's
	deadline  time.Duration
	forwardAt time.Duration // when it is passed on again
}

// New makes a controller's part and what it does first.
func New(b Config) (*Core, []Effect, error) {
	b.Lease, b.ConfinedLease = foreverIfZero(b.Lease), foreverIfZero(b.ConfinedLease)
	if b.ConfinedLease == fleet.Forever {
		b.ConfinedLease = b.Lease
	}
	if b.SnapshotAfterEntries == 0 {
		b.SnapshotAfterEntries = 2000
	}
	c := &Core{config: b, state: statemachine.NewState(), Counts: map[string]int{}}
	c.member.init()
	c.resetRoster()
	c.resetAggregator()
	c.voters = b.Voters
	if s := b.Persisted.Snapshot; s != nil {
		state, err := statemachine.DecodeState(s.Data)
		if err != nil {
			return nil, nil, err
		}
		c.state, c.appliedTerm = state, s.Term
	}
	c.persistIndex, c.hardState = c.state.Index, b.Persisted.HardState
	// A snapshot that doesn't tell who votes was taken while it followed. What the disk
	// holds after it may be agreement's and not decided yet, if it ever voted.
	followed := b.Persisted.Snapshot != nil && len(b.Persisted.Snapshot.VoterConfig) == 0
	if named := c.namedToVote(); followed && b.Persisted.HardState != nil {
		c.logf(false, "what was kept after %d is asked for anew", c.state.Index)
	} else if (named || b.Persisted.HardState != nil) && !followed {
		voters := b.Voters
		if !named || b.Persisted.HardState != nil { // the log tells
			voters = nil
		}
		if err := c.startConsensus(b.Persisted, voters); err != nil {
			return nil, nil, err
		}
	} else {
		for _, r := range b.Persisted.Entries {
			c.persistIndex = max(c.persistIndex, r.Index)
			c.applyEntry(r)
		}
	}
	c.stopIfForgotten()
	c.withholdLease()
	c.advance()
	return c, c.effects, nil
}

func foreverIfZero(lease time.Duration) time.Duration {
	if lease == 0 {
		return fleet.Forever
	}
	return lease
}

// voteWith begins to vote.
func (c *Core) startConsensus(kept consensus.PersistentState, voters []consensus.Voter) error {
	vote, effects, err := consensus.New(consensus.Config{Self: c.config.Self.Name, Voters: voters, Persistent: kept, Seed: c.config.Seed, ElectionTimeout: c.config.ElectionTimeout,
		HeartbeatInterval: c.config.HeartbeatInterval})
	if err != nil {
		return err
	}
	c.consensus = vote
	c.performConsensus(effects)
	return nil
}

// votes: this controller is named to vote, by the record or, before that tells, by the set-up.
func (c *Core) namedToVote() bool {
	if len(c.state.Voters) > 0 {
		return slices.ContainsFunc(c.state.Voters, func(v string) bool { n, _ := statemachine.SplitVoter(v); return n == c.config.Self.Name })
	}
	return slices.ContainsFunc(c.config.Voters, func(v consensus.Voter) bool { return v.Name == c.config.Self.Name })
}

// Step takes an event and gives the effects it leads to, valid until the next.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.now = max(now, c.now)
	if !c.started {
		c.started = true
		c.resetRoster() // what was kept holds names that were forgotten until now
	}
	c.effects = nil
	switch ev.Kind {
	case MessageReceived:
		c.receive(ev.Message)
	case WritesPersisted:
		c.writesPersisted()
	case PolicyValidated:
		c.policyValidated(ev)
	case ControllerReported:
		c.controllerReported(ev.Report)
	case OperatorRequested:
		c.operatorRequested(ev.Ask, ev.Handle)
	case RequesterGone:
		c.requests = slices.DeleteFunc(c.requests, func(a *operatorRequest) bool { return a.handle == ev.Handle })
	}
	c.advance()
	return c.effects
}

// settle does what is due and what has become possible.
func (c *Core) advance() {
	if c.consensus != nil && c.now >= c.consensus.NextTick() {
		c.performConsensus(c.consensus.Step(c.now, consensus.Event{Kind: consensus.Tick}))
	}
	if c.consensus != nil && !c.isVoter(c.config.Self.Name) {
		c.stopVoting()
	}
	c.startVoting()
	c.confirmWaitingRenewals()
	c.driveWork()
	c.sendLog()
	c.answerRequests()
	c.sendAggregate()
	c.renewLease()
	c.compact()
	c.setTimer()
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) logf(loud bool, form string, args ...any) {
	c.emit(Effect{Kind: LogMessage, Loud: loud, LogText: fmt.Sprintf(form, args...)})
}

func (c *Core) logError(err fleet.Remedied) {
	c.emit(Effect{Kind: LogMessage, Loud: true, Err: err, LogText: err.Error()})
}

// wake asks to be woken when the next thing is due.
func (c *Core) setTimer() {
	at := c.renewAt
	if c.consensus != nil {
		at = min(at, c.consensus.NextTick())
	}
	if c.isLeader && c.hasWork() {
		if drive := c.evaluatedAt + c.config.HeartbeatInterval/2; drive > c.now {
			at = min(at, drive)
		} else { // it waits for a confirmation
			at = min(at, c.now+c.config.HeartbeatInterval/4)
		}
	}
	if c.isLeader && len(c.toConfirm) > 0 && len(c.confirming) == 0 {
		at = min(at, c.leading.confirmAskedAt+c.batchingDelay())
	}
	at = min(at, c.aggregateDue())
	if c.sendsLog() && c.followersBehind { // one that lacks more than a message holds
		at = c.now
	}
	for _, a := range c.requests {
		at = min(at, a.deadline, a.forwardAt)
	}
	c.emit(Effect{Kind: SetTimer, Delay: max(0, at-c.now)})
}

// send passes a message on; one to itself comes at once.
func (c *Core) send(to, address string, m *Message) {
	m.From, m.To, m.Disk = c.config.Self.Name, to, c.config.Self.Disk
	if to == c.config.Self.Name {
		c.receive(m)
		return
	}
	if address != "" {
		c.emit(Effect{Kind: Send, To: to, Address: address, Message: m})
	}
}

// addressOf is where a controller is reached.
func (c *Core) addressOf(name string) string {
	if m := c.state.Members[name]; m != nil && m.Peer != "" {
		return m.Peer
	}
	for _, v := range c.voters {
		if v.Name == name {
			return v.Address
		}
	}
	return ""
}

func (c *Core) receive(m *Message) {
	if have := c.state.Members[m.From]; have != nil && m.Renewal == nil && (have.Forgotten || have.Disk != "" && have.Disk != m.Disk) {
		// one that lost its disk may have forgotten what it voted for
		c.Counts["of another disk"]++
		return
	}
	switch {
	case len(m.Consensus) > 0 && c.consensus == nil:
		c.votedOut = false // it is counted among those who vote
	case len(m.Consensus) > 0 && c.consensus != nil:
		c.voterHeardAt = c.now
		c.performConsensus(c.consensus.Step(c.now, consensus.Event{Kind: consensus.MessageReceived, From: m.From, Bytes: m.Consensus}))
	case m.Renewal != nil:
		c.receiveRenewal(m.From, m.Disk, m.Renewal)
	case m.Grant != nil:
		c.receiveGrant(m.From, m.Grant)
	case m.LogUpdate != nil:
		c.receiveLogUpdate(m.From, m.LogUpdate)
	case m.RelayedRenewals != nil:
		c.receiveRelayedRenewals(m.From, m.RelayedRenewals)
	case m.RelayedGrants != nil:
		c.receiveRelayedGrants(m.From, m.RelayedGrants)
	case m.LogRequest != nil:
		if f := c.followerOf(m.From); f != nil {
			f.nextIndex, c.followersBehind = m.LogRequest.FromIndex, true
		}
	case m.Ask != nil && c.isLeader:
		c.propose(c.logEntryFor(m.Ask))
	case m.Ask != nil && c.aggregates():
		c.forwardRequest(m.Ask)
	}
}

// store has something written before what follows from it.
func (c *Core) persist(kept *consensus.PersistentState, then func()) {
	c.pendingWrites = append(c.pendingWrites, &pendingWrite{kept, then})
	if len(c.pendingWrites) == 1 {
		c.emit(Effect{Kind: Persist, Writes: kept})
	}
}

func (c *Core) writesPersisted() {
	if len(c.pendingWrites) == 0 {
		return
	}
	s := c.pendingWrites[0]
	c.pendingWrites = c.pendingWrites[1:]
	if len(c.pendingWrites) > 0 {
		c.emit(Effect{Kind: Persist, Writes: c.pendingWrites[0].writes})
	}
	s.onPersisted()
}

// agreed performs what agreement asks for, in its order: what comes of an effect waits
// until those before it are done.
func (c *Core) performConsensus(effects []consensus.Effect) {
	c.consensusEffects = append(c.consensusEffects, effects...)
	if c.performing {
		return
	}
	c.performing = true
	defer func() { c.performing = false }()
	for len(c.consensusEffects) > 0 {
		e := c.consensusEffects[0]
		c.consensusEffects = c.consensusEffects[1:]
		switch e.Kind {
		case consensus.SendMessage:
			c.send(e.To, c.addressOf(e.To), &Message{Consensus: e.Bytes})
		case consensus.Persist:
			if e.Persistent.HardState != nil {
				c.hardState = e.Persistent.HardState
			}
			vote := c.consensus
			c.persist(e.Persistent, func() {
				if vote == nil || c.consensus != vote { // it votes no more
					return
				}
				c.performConsensus(c.consensus.Step(c.now, consensus.Event{Kind: consensus.Persisted}))
			})
		case consensus.Committed:
			c.applyEntry(e.Entry)
		case consensus.SnapshotRestored:
			c.restoreSnapshot(e.Snapshot)
		case consensus.LeadershipConfirmed:
			c.leadershipConfirmed(e.Handle, e.Index)
		case consensus.LeadershipDenied:
			c.leadershipDenied(e.Handle)
		case consensus.LeaderChanged:
			c.leaderChanged(e.Leader)
		case consensus.VotersChanged:
			c.entriesSinceSnapshot = max(c.entriesSinceSnapshot, c.config.SnapshotAfterEntries) // who votes anew is given a snapshot that names it
			c.voters = e.Voters
		}
	}
}

// apply takes the next record. What it asks of the reducer is worked out afterwards,
// from the state alone, so that a snapshot leads to the same.
func (c *Core) applyEntry(r consensus.LogEntry) {
	if r.Index <= c.state.Index || c.stateError != nil {
		return
	}
	data := r.Data
	if r.IsVoterChange {
		data = nil
	}
	before, members := c.state.Version, len(c.state.Members)
	if err := c.state.Apply(r.Index, data); err != nil {
		c.stateError = err.(fleet.Remedied)
		c.logError(c.stateError)
		return
	}
	c.updateRoster(members)
	c.appliedTerm = r.Term
	c.recentEntries = append(c.recentEntries, r)
	c.entriesSinceSnapshot++
	if c.state.Version != before {
		c.logf(true, "policy: version %d is in force", c.state.Version)
	}
	c.stateChanged()
}

func (c *Core) restoreSnapshot(s *consensus.Snapshot) {
	if s == nil || s.Index <= c.state.Index || c.stateError != nil {
		return
	}
	state, err := statemachine.DecodeState(s.Data)
	if err != nil {
		c.stateError = err.(fleet.Remedied)
		c.logError(c.stateError)
		return
	}
	c.state, c.appliedTerm, c.recentEntries, c.entriesSinceSnapshot = state, s.Term, nil, 0
	c.resetRoster()
	c.persistIndex = max(c.persistIndex, s.Index)
	c.stateChanged()
}

// moved: the state has changed.
func (c *Core) stateChanged() {
	c.reevaluate, c.followersBehind = true, true
	c.stopIfForgotten()
	c.activateLeases()
	c.orderOutstanding()
}

// bury ends this controller's part where the record says that its disk is destroyed.
func (c *Core) stopIfForgotten() {
	if m := c.state.Members[c.config.Self.Name]; m != nil && m.Forgotten {
		c.stopForGood("its name was forgotten: the disk that had it is taken for destroyed")
	}
}

// retire ends voting where the record names others. Not before agreement itself counts
// without this controller: until then it takes a majority of those who voted to change them.
func (c *Core) stopVoting() {
	if len(c.state.Voters) > 0 && !c.namedToVote() && !c.isLeader {
		c.consensus, c.leader = nil, ""
		c.persistIndex = c.state.Index
		c.logf(true, "this controller votes no more")
	}
}

// takeUp begins to vote where the record names this controller, once nothing of what it
// followed is on its way to the disk.
func (c *Core) startVoting() {
	if c.consensus != nil || c.votedOut || !c.namedToVote() || len(c.pendingWrites) > 0 || c.stateError != nil {
		return
	}
	c.logf(true, "this controller votes from now on")
	if err := c.startConsensus(consensus.PersistentState{HardState: consensus.VoteOnly(c.hardState)}, nil); err != nil {
		c.logf(true, "it can't vote: %v", err)
	}
}

// compact has a snapshot replace a log that has grown.
func (c *Core) compact() {
	if c.entriesSinceSnapshot < c.config.SnapshotAfterEntries || len(c.pendingWrites) > 0 || c.stateError != nil {
		return
	}
	c.entriesSinceSnapshot = 0
	s := c.encodeSnapshot()
	if c.consensus != nil {
		c.performConsensus(c.consensus.Step(c.now, consensus.Event{Kind: consensus.SnapshotTaken, Snapshot: s}))
	} else {
		c.persist(&consensus.PersistentState{Snapshot: s}, func() {})
	}
	if over := len(c.recentEntries) - c.config.SnapshotAfterEntries; over > 0 {
		c.recentEntries = slices.Clone(c.recentEntries[over:])
	}
}

// Following.

// followed takes what the leader passes on to those who don't vote.
func (c *Core) receiveLogUpdate(from string, f *LogUpdate) {
	c.stopVoting() // who leads passes the record on to those only who don't vote with it
	if c.consensus != nil && !c.isLeader && f.CommittedIndex > c.state.Index && c.now-c.voterHeardAt > 2*c.config.ElectionTimeout {
		// It was voted out while it was away, and can't learn that from agreement.
		c.consensus, c.leader, c.votedOut = nil, f.Leader, true
		c.persistIndex = c.state.Index
		c.logf(true, "this controller votes no more: others do by now")
	}
	if c.consensus != nil {
		return
	}
	if f.Leader != "" {
		c.leader = f.Leader
	}
	if s := f.Snapshot; s != nil && s.Index > c.persistIndex {
		c.persistIndex = s.Index
		c.persist(&consensus.PersistentState{Snapshot: s}, func() { c.restoreSnapshot(s) })
	}
	var fresh []consensus.LogEntry
	for _, r := range f.Entries {
		if r.Index == c.persistIndex+1 {
			fresh = append(fresh, r)
			c.persistIndex = r.Index
		}
	}
	if len(fresh) > 0 {
		c.persist(&consensus.PersistentState{Entries: fresh}, func() {
			for _, r := range fresh {
				c.applyEntry(r)
			}
			c.unreported = true
		})
	} else if f.CommittedIndex > c.persistIndex {
		c.send(from, c.addressOf(from), &Message{LogRequest: &LogRequest{FromIndex: c.persistIndex + 1}})
	}
}

func (c *Core) isVoter(name string) bool {
	return slices.ContainsFunc(c.voters, func(v consensus.Voter) bool { return v.Name == name })
}

// State is what the record says here, for tests; it must not be changed.
func (c *Core) State() *statemachine.State { return c.state }

// Leads tells whether this controller leads, as far as it knows.
func (c *Core) Leads() bool { return c.isLeader }

func sorted[T any](m map[string]T) (l []string) {
	for k := range m {
		l = append(l, k)
	}
	slices.SortFunc(l, strings.Compare)
	return l
}

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

// Core is the fleet side of one controller.
type Core struct {
	config  Config
	now     time.Duration // of the current Step
	started bool          // Step was called: before the first call the time is unknown
	effects []Effect      // of the current Step

	// The replicated log as applied here.
	state          *statemachine.State
	stateError     fleet.ErrorWithRemedy // an entry or snapshot can't be decoded: this controller never serves
	appliedTerm    uint64                // of the last entry applied
	recentEntries  []consensus.LogEntry
	latestSnapshot *consensus.Snapshot // for followers that lack more than recentEntries; nil: not needed yet
	roster         roster

	// Consensus among the voters.
	consensus        *consensus.Core // nil: this controller is a follower
	voters           []consensus.Voter
	voterHeardAt     time.Duration      // when the last message of another voter was received
	votedOut         bool               // the others vote without it; the log applied here may not say so yet
	hardState        []byte             // the last vote and term, as consensus encodes them
	consensusEffects []consensus.Effect // to be performed
	performing       bool               // a call of performConsensus is on the stack

	// The disk.
	pendingWrites        []*pendingWrite // the first one is being written
	entriesSinceSnapshot int
	persistIndex         uint64 // of a follower: the last entry that is persisted or being written

	leaseState
	controllerState
	leaderState
	aggregator *renewalAggregator // nil: this controller isn't a relay
	requests   []*operatorRequest // awaiting a response

	// Counts has the number of dropped messages by reason, for the status.
	Counts map[string]int
}

// New returns a Core that continues from Config.Persisted, and its first effects. It fails if
// the persisted state can't be decoded, or if consensus can't start from it.
func New(config Config) (*Core, []Effect, error) {
	config.Lease = foreverIfZero(config.Lease)
	config.ConfinedLease = foreverIfZero(config.ConfinedLease)
	if config.ConfinedLease == fleet.Forever {
		config.ConfinedLease = config.Lease
	}
	if config.SnapshotAfterEntries == 0 {
		config.SnapshotAfterEntries = defaultSnapshotAfterEntries
	}
	c := &Core{
		config:          config,
		state:           statemachine.NewState(),
		voters:          config.Voters,
		controllerState: newControllerState(),
		Counts:          map[string]int{},
	}
	c.leaderWaitsFor = map[string][]string{}
	c.resetRoster()
	c.resetAggregator()
	if s := config.Persisted.Snapshot; s != nil {
		state, err := statemachine.DecodeState(s.Data)
		if err != nil {
			return nil, nil, err
		}
		c.state, c.appliedTerm = state, s.Term
	}
	c.persistIndex = c.state.Index
	c.hardState = config.Persisted.HardState
	if err := c.restorePersisted(); err != nil {
		return nil, nil, err
	}
	c.stopIfForgotten()
	c.withholdLease()
	c.advance()
	return c, c.effects, nil
}

// restorePersisted continues from the persisted entries as a voter or a follower.
func (c *Core) restorePersisted() error {
	persisted := c.config.Persisted
	named := c.namedToVote()
	hasVoted := persisted.HardState != nil
	// A snapshot without voters was taken while this controller was a follower. If the
	// controller ever voted, the entries after the snapshot may have been written by consensus
	// and may not be committed.
	snapshotAsFollower := persisted.Snapshot != nil && len(persisted.Snapshot.VoterConfig) == 0
	switch {
	case snapshotAsFollower && hasVoted:
		c.logf(atInfoLevel, "requesting the log entries after %d again: the persisted ones may not be committed",
			c.state.Index)
		return nil
	case (named || hasVoted) && !snapshotAsFollower:
		voters := c.config.Voters
		if !named || hasVoted { // the persisted log names the voters
			voters = nil
		}
		return c.startConsensus(persisted, voters)
	}
	for _, r := range persisted.Entries {
		c.persistIndex = max(c.persistIndex, r.Index)
		c.applyEntry(r)
	}
	return nil
}

// Step handles an event and returns the resulting effects in the order in which they must be
// performed. The slice is valid until the next Step. If now is before the time of the last Step,
// the time of the last Step is used.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.now = max(now, c.now)
	if !c.started {
		c.started = true
		c.resetRoster() // the persisted state may have names that were forgotten a moment ago
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
		c.operatorRequested(ev.Request, ev.Handle)
	case RequesterGone:
		c.requests = slices.DeleteFunc(c.requests, func(a *operatorRequest) bool { return a.handle == ev.Handle })
	}
	c.advance()
	return c.effects
}

// advance does all work that is due or has become possible. The order of the calls is the order
// of their effects.
func (c *Core) advance() {
	if c.consensus != nil && c.now >= c.consensus.NextTick() {
		c.stepConsensus(consensus.Event{Kind: consensus.Tick})
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

// receive handles a message from another controller or from this one.
func (c *Core) receive(m *Message) {
	if m.Renewal == nil && c.isForeignDisk(m.From, m.DiskID) {
		c.Counts["of another disk"]++
		return
	}
	switch {
	case len(m.Consensus) > 0:
		c.receiveConsensus(m.From, m.Consensus)
	case m.Renewal != nil:
		c.receiveRenewal(m.From, m.DiskID, m.Renewal)
	case m.Grant != nil:
		c.receiveGrant(m.From, m.Grant)
	case m.LogUpdate != nil:
		c.receiveLogUpdate(m.From, m.LogUpdate)
	case m.RelayedRenewals != nil:
		c.receiveRelayedRenewals(m.From, m.RelayedRenewals)
	case m.RelayedGrants != nil:
		c.receiveRelayedGrants(m.From, m.RelayedGrants)
	case m.LogRequest != nil:
		c.receiveLogRequest(m.From, m.LogRequest)
	case m.Request != nil && c.isLeader:
		c.propose(c.logEntryFor(m.Request))
	case m.Request != nil && c.aggregates():
		c.forwardRequest(m.Request)
	}
}

// isForeignDisk reports whether the log has the sender's name with another disk or as
// forgotten. A controller that lost its disk may have lost its vote too, so its messages are
// dropped. Renewals are handled anyway: their answer tells the sender that it is refused.
func (c *Core) isForeignDisk(from, disk string) bool {
	m := c.state.Members[from]
	return m != nil && (m.Forgotten || m.DiskID != "" && m.DiskID != disk)
}

// send sends a message. A message to this controller itself is received immediately.
func (c *Core) send(to, address string, m *Message) {
	m.From, m.To, m.DiskID = c.config.Self.Name, to, c.config.Self.DiskID
	if to == c.config.Self.Name {
		c.receive(m)
		return
	}
	if address != "" {
		c.emit(Effect{Kind: Send, To: to, Address: address, Message: m})
	}
}

// addressOf returns the peer address of a controller, "" if it is unknown.
func (c *Core) addressOf(name string) string {
	if m := c.state.Members[name]; m != nil && m.PeerAddress != "" {
		return m.PeerAddress
	}
	for _, v := range c.voters {
		if v.Name == name {
			return v.Address
		}
	}
	return ""
}

// setTimer sets the timer to the time when the next work is due.
func (c *Core) setTimer() {
	at := min(c.renewAt, c.nextLeaderWork(), c.nextAggregate())
	if c.consensus != nil {
		at = min(at, c.consensus.NextTick())
	}
	if c.sendsLog() && c.followersBehind { // a follower lacks more entries than one message holds
		at = c.now
	}
	for _, request := range c.requests {
		at = min(at, request.deadline, request.forwardAt)
	}
	c.emit(Effect{Kind: SetTimer, Delay: max(0, at-c.now)})
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// Values of logf's always.
const (
	atInfoLevel  = false
	atEveryLevel = true
)

// logf logs a line; with always it is written at every log level.
func (c *Core) logf(always bool, format string, args ...any) {
	c.emit(Effect{Kind: LogMessage, LogAlways: always, LogText: fmt.Sprintf(format, args...)})
}

// logError logs an error at every log level.
func (c *Core) logError(err fleet.ErrorWithRemedy) {
	c.emit(Effect{Kind: LogMessage, LogAlways: true, Err: err, LogText: err.Error()})
}

// State returns the replicated state as applied here, for tests. The caller must not change it.
func (c *Core) State() *statemachine.State { return c.state }

// IsLeader reports whether this controller leads, to its own knowledge.
func (c *Core) IsLeader() bool { return c.isLeader }

// sorted returns the sorted keys of m.
func sorted[T any](m map[string]T) (keys []string) {
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}

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
	config  Config
	now     time.Duration // of the present Step
	started bool          // the first event has come: before it there is no clock
	effects []Effect      // of the present Step

	// The replicated log as applied here.
	state          *statemachine.State
	stateError     fleet.ErrorWithRemedy // an entry or snapshot can't be applied: this controller never serves
	appliedTerm    uint64                // of the last entry applied
	recentEntries  []consensus.LogEntry
	latestSnapshot *consensus.Snapshot // for followers that lag far behind; nil: none was needed yet
	roster         roster

	// Consensus among the voters.
	consensus        *consensus.Core // nil: this controller only follows the log
	voters           []consensus.Voter
	voterHeardAt     time.Duration      // when a message of another voter last came
	votedOut         bool               // others vote by now, though the log as applied here doesn't say so yet
	hardState        []byte             // its last vote and term, as consensus encodes them
	consensusEffects []consensus.Effect // not performed yet
	performing       bool               // performConsensus is under way further up the stack

	// The disk.
	pendingWrites        []*pendingWrite // the first one is under way
	entriesSinceSnapshot int
	persistIndex         uint64 // where it only follows: the last entry that is persisted or being persisted

	leaseState
	controllerState
	leaderState
	aggregator *renewalAggregator // nil: this controller is no relay
	requests   []*operatorRequest // not answered yet

	// Counts has how often something was refused or odd, for the status.
	Counts map[string]int
}

// New starts a controller's part from what was persisted and returns its first effects.
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

// restorePersisted continues from the persisted entries, as a voter or a follower.
func (c *Core) restorePersisted() error {
	persisted := c.config.Persisted
	named := c.namedToVote()
	hasVoted := persisted.HardState != nil
	// A snapshot that doesn't tell who votes was taken while this controller followed.
	// Entries persisted after it may be consensus's and not committed, if it ever voted.
	snapshotAsFollower := persisted.Snapshot != nil && len(persisted.Snapshot.VoterConfig) == 0
	switch {
	case snapshotAsFollower && hasVoted:
		c.logf(false, "log entries after %d are requested again: they may not be committed", c.state.Index)
		return nil
	case (named || hasVoted) && !snapshotAsFollower:
		voters := c.config.Voters
		if !named || hasVoted { // the log tells
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

// Step takes an event and returns the effects it leads to, in the order in which they are
// to be performed. The slice is valid until the next Step. A now before that of the
// last Step counts as the last one's.
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
		c.operatorRequested(ev.Request, ev.Handle)
	case RequesterGone:
		c.requests = slices.DeleteFunc(c.requests, func(a *operatorRequest) bool { return a.handle == ev.Handle })
	}
	c.advance()
	return c.effects
}

// advance does what is due and what has become possible. The order is that of the effects.
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

// receive takes a message from another controller, or from this one.
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

// isForeignDisk reports whether the log has the sender's name with another disk, or as
// forgotten. A controller that lost its disk may have lost its vote with it. Renewals
// are taken anyway: their answer says that the name is refused.
func (c *Core) isForeignDisk(from, disk string) bool {
	m := c.state.Members[from]
	return m != nil && (m.Forgotten || m.DiskID != "" && m.DiskID != disk)
}

// send sends a message; one to this controller itself is received at once.
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

// addressOf is where a controller is reached, "": not known.
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

// setTimer asks for a TimerFired when the next thing is due.
func (c *Core) setTimer() {
	at := min(c.renewAt, c.leaderDue(), c.aggregateDue())
	if c.consensus != nil {
		at = min(at, c.consensus.NextTick())
	}
	if c.sendsLog() && c.followersBehind { // one that lacks more than a message holds
		at = c.now
	}
	for _, a := range c.requests {
		at = min(at, a.deadline, a.forwardAt)
	}
	c.emit(Effect{Kind: SetTimer, Delay: max(0, at-c.now)})
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// logf logs a line; a loud one is written at every log level.
func (c *Core) logf(loud bool, form string, args ...any) {
	c.emit(Effect{Kind: LogMessage, LogAlways: loud, LogText: fmt.Sprintf(form, args...)})
}

func (c *Core) logError(err fleet.ErrorWithRemedy) {
	c.emit(Effect{Kind: LogMessage, LogAlways: true, Err: err, LogText: err.Error()})
}

// State is the replicated log as applied here, for tests; it must not be changed.
func (c *Core) State() *statemachine.State { return c.state }

// IsLeader reports whether this controller leads, as far as it knows.
func (c *Core) IsLeader() bool { return c.isLeader }

// sorted returns the keys of m in order.
func sorted[T any](m map[string]T) (l []string) {
	for k := range m {
		l = append(l, k)
	}
	slices.SortFunc(l, strings.Compare)
	return l
}

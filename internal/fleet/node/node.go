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
	recentEntries        []consensus.Record // since a little before the last snapshot, for those who follow
	appliedTerm          uint64             // of the last record applied
	entriesSinceSnapshot int                // records since the last snapshot
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

// New makes a controller's part and what it does first.
func New(b Config) (*Core, []Effect, error) {
	b.Lease, b.ConfinedLease = foreverIfZero(b.Lease), foreverIfZero(b.ConfinedLease)
	if b.ConfinedLease == fleet.Forever {
		b.ConfinedLease = b.Lease
	}
	if b.SnapshotAfterEntries == 0 {
		b.SnapshotAfterEntries = defaultSnapshotAfterEntries
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
	c.persistIndex, c.hardState = c.state.Index, b.Persisted.Hard
	// A snapshot that doesn't tell who votes was taken while it followed. What the disk
	// holds after it may be agreement's and not decided yet, if it ever voted.
	followed := b.Persisted.Snapshot != nil && len(b.Persisted.Snapshot.Conf) == 0
	if named := c.namedToVote(); followed && b.Persisted.Hard != nil {
		c.logf(false, "what was kept after %d is asked for anew", c.state.Index)
	} else if (named || b.Persisted.Hard != nil) && !followed {
		voters := b.Voters
		if !named || b.Persisted.Hard != nil { // the log tells
			voters = nil
		}
		if err := c.startConsensus(b.Persisted, voters); err != nil {
			return nil, nil, err
		}
	} else {
		for _, r := range b.Persisted.Records {
			c.persistIndex = max(c.persistIndex, r.Index)
			c.applyEntry(r)
		}
	}
	c.stopIfForgotten()
	c.withholdLease()
	c.advance()
	return c, c.effects, nil
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
	if c.consensus != nil && c.now >= c.consensus.Due() {
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
		c.performConsensus(c.consensus.Step(c.now, consensus.Event{Kind: consensus.Message, From: m.From, Bytes: m.Consensus}))
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

// wake asks to be woken when the next thing is due.
func (c *Core) setTimer() {
	at := c.renewAt
	if c.consensus != nil {
		at = min(at, c.consensus.Due())
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

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) logf(loud bool, form string, args ...any) {
	c.emit(Effect{Kind: LogMessage, Loud: loud, LogText: fmt.Sprintf(form, args...)})
}

func (c *Core) logError(err fleet.Remedied) {
	c.emit(Effect{Kind: LogMessage, Loud: true, Err: err, LogText: err.Error()})
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

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

const (
	// throttleElections is in election timeouts: the same proposal isn't repeated for so long,
	// since the first one may be under way.
	throttleElections = 2
	// A leader re-evaluates its work each half of the heartbeat interval, and checks for a
	// pending confirmation each quarter.
	evaluationsPerHeartbeat   = 2
	confirmChecksPerHeartbeat = 4

	maxReportedWaits = 32 // changes and invalidations in a grant's WaitingFor
	maxReportedNames = 16 // controllers of each
	maxNamesInReason = 5
)

// leaderState is the state of a leader. It is reset whenever the leadership is won or lost.
type leaderState struct {
	isLeader    bool
	leaderSince time.Duration
	ready       bool // the entries committed before its leadership are applied; until then it drives no work

	// The last reports of the controllers, by name.
	peers     map[string]*peer
	peerNames []string // sorted
	coverage  map[relayIncarnation]*relayCoverage

	// A renewal waits until a majority has confirmed the leadership after the renewal was
	// received. At most one confirmation is under way.
	confirmHandle  uint64 // of the last confirmation; never reused
	confirmAskedAt time.Duration
	confirming     []unconfirmedRenewal // in the current confirmation
	toConfirm      []unconfirmedRenewal // in the next one

	// Policy changes, invalidations and emergencies under way.
	reevaluate   bool // an event may have advanced one of them
	evaluatedAt  time.Duration
	lastTried    map[string]time.Duration // when each proposal was last made, by its throttle key
	waitingFor   map[string][]string      // controllers that a change or invalidation waits for, by its ID
	changeSeenAt map[string]time.Duration // when this leader first saw each change
	lostSince    map[string]time.Duration // rules, since when all engines in the rule's sites are lost
	foundSince   map[string]time.Duration // rules, since when some engine in the rule's sites serves

	// followersBehind is set if some follower may lack entries. A relay that doesn't lead has
	// followers too.
	followersBehind bool
}

// peer is the state of a controller as of its last renewal.
type peer struct {
	follower
	incarnation uint64
	// lastSeq has the last Seq of each incarnation. A late renewal of an earlier incarnation
	// may be received at any time, even first, and must not block renewals of the current one.
	lastSeq map[uint64]uint64
	// leaseAskedAt is when the controller requested the last lease that this leader granted
	// or may still grant; neverAsked: there is none.
	leaseAskedAt time.Duration
	renewal      *LeaseRenewal
}

// leaderChanged handles a change of the leader in consensus, "": no leader is known.
func (c *Core) leaderChanged(leader string) {
	if leader != "" || c.consensus != nil {
		c.leader = leader
	}
	leads := leader == c.config.Self.Name
	if leads == c.isLeader {
		return
	}
	c.leaderState = leaderState{
		isLeader:      leads,
		leaderSince:   c.now,
		peers:         map[string]*peer{},
		coverage:      map[relayIncarnation]*relayCoverage{},
		confirmHandle: c.confirmHandle,
		lastTried:     map[string]time.Duration{},
		waitingFor:    map[string][]string{},
		changeSeenAt:  map[string]time.Duration{},
		lostSince:     map[string]time.Duration{},
		foundSince:    map[string]time.Duration{},
	}
	c.resetAggregator()
	c.logf(atEveryLevel, "this controller is the leader: %v", leads)
	c.renewAt = c.now
	c.reevaluate = true
	c.followersBehind = true
	if leads { // entries committed earlier must be applied before any work is driven
		c.confirmLeadership()
	}
}

// otherLeader returns the leader if it is another controller, "" if that is unknown, as it is
// right after this controller lost its leadership.
func (c *Core) otherLeader() string {
	if c.leader == c.config.Self.Name {
		return ""
	}
	return c.leader
}

// ensurePeer returns the peer of a name and creates it if needed.
func (c *Core) ensurePeer(name string) *peer {
	p := c.peers[name]
	if p == nil {
		p = &peer{lastSeq: map[uint64]uint64{}, leaseAskedAt: neverAsked}
		c.peers[name] = p
		c.peerNames = append(c.peerNames, name)
		slices.Sort(c.peerNames)
	}
	return p
}

// hasWork reports whether work is under way that must be re-evaluated as time passes.
func (c *Core) hasWork() bool {
	return !c.ready || len(c.waitingFor) > 0 || len(c.toConfirm) > 0 || c.state.ChangeUnderWay() != nil ||
		len(c.emergencyRules()) > 0 || len(c.state.Emergencies) > 0
}

// nextLeaderWork returns when the leader has work to do, fleet.Forever if it has none or this
// controller doesn't lead.
func (c *Core) nextLeaderWork() time.Duration {
	if !c.isLeader {
		return fleet.Forever
	}
	at := fleet.Forever
	if c.hasWork() {
		at = c.evaluatedAt + c.config.HeartbeatInterval/evaluationsPerHeartbeat
		if at <= c.now { // the work waits for a confirmation
			at = c.now + c.config.HeartbeatInterval/confirmChecksPerHeartbeat
		}
	}
	if len(c.toConfirm) > 0 && len(c.confirming) == 0 {
		at = min(at, c.confirmAskedAt+c.batchInterval())
	}
	return at
}

// driveWork advances the changes, invalidations and emergencies under way, while this controller
// leads: at once after an event that may matter, else each half heartbeat.
func (c *Core) driveWork() {
	if !c.isLeader || c.consensus == nil {
		return
	}
	if !c.ready && len(c.confirming) == 0 {
		c.throttle("confirm", c.confirmLeadership)
	}
	if !c.ready || c.stateError != nil {
		return
	}
	if !c.reevaluate && c.now < c.evaluatedAt+c.config.HeartbeatInterval/evaluationsPerHeartbeat {
		return
	}
	c.reevaluate = false
	c.evaluatedAt = c.now
	clear(c.waitingFor)
	c.driveChange()
	for _, id := range sorted(c.state.Purges) {
		c.driveInvalidation(c.state.Purges[id])
	}
	for _, w := range c.emergencyRules() {
		c.driveEmergency(w)
	}
	c.endObsoleteEmergencies()
	c.finishChanges()
	if c.state.ChangeUnderWay() == nil && len(c.state.Voters) > 0 {
		c.alignVoters()
	}
}

// propose proposes a log entry to the voters. The proposal may be lost: the caller checks the
// state later and proposes the entry again.
func (c *Core) propose(e *fleet.Entry) {
	if e == nil || !c.isLeader {
		return
	}
	c.stepConsensus(consensus.Event{Kind: consensus.Propose, Data: statemachine.EncodeEntry(e)})
}

// throttle calls do unless it was called for the same key a moment ago and may be under way.
func (c *Core) throttle(key string, do func()) {
	at, tried := c.lastTried[key]
	if tried && c.now-at < throttleElections*c.config.ElectionTimeout {
		return
	}
	c.lastTried[key] = c.now
	do()
}

// proposeOnce proposes an entry, throttled by a key.
func (c *Core) proposeOnce(key string, e *fleet.Entry) {
	c.throttle(key, func() { c.propose(e) })
}

// setWaitingFor records the controllers that a change or invalidation waits for, if there are any.
func (c *Core) setWaitingFor(id string, names []string) {
	if len(names) > 0 {
		c.waitingFor[id] = names
	}
}

// waitingForSummary returns a bounded part of waitingFor for the grants to controllers.
func (c *Core) waitingForSummary() map[string][]string {
	if len(c.waitingFor) == 0 {
		return nil
	}
	excerpt := map[string][]string{}
	for id, names := range c.waitingFor {
		if len(excerpt) < maxReportedWaits {
			excerpt[id] = names[:min(len(names), maxReportedNames)]
		}
	}
	return excerpt
}

// nameList formats the first few names for the reason of an abort.
func nameList(names []string) string {
	text := strings.Join(names[:min(len(names), maxNamesInReason)], ", ")
	if len(names) > maxNamesInReason {
		text += fmt.Sprintf(" and %d more", len(names)-maxNamesInReason)
	}
	return text
}

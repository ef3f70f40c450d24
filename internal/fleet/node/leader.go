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
	// throttleElections, times the election timeout, is how long the same proposal is not
	// repeated: it may be under way.
	throttleElections = 2
	// A leader with work re-evaluates it after a half of the heartbeat interval, and looks
	// for a confirmation that it waits for after a quarter.
	evaluationsPerHeartbeat   = 2
	confirmChecksPerHeartbeat = 4

	maxReportedWaits      = 32 // changes and invalidations in a grant's WaitingFor
	maxReportedNames      = 16 // controllers of each
	maxNamesInWithdrawals = 5
)

// leaderState is what counts only while this controller leads. It starts anew whenever
// leadership is won or lost.
type leaderState struct {
	isLeader    bool
	leaderSince time.Duration
	ready       bool // all that was committed before it led is applied; it drives nothing before

	// What the controllers reported, each by its name.
	peers     map[string]*peer
	peerNames []string // in order
	coverage  map[relayIncarnation]*relayCoverage

	// Renewals wait in toConfirm until a majority has confirmed the leadership after they
	// came; at most one confirmation is under way.
	confirmHandle  uint64 // of the last confirmation; never reused
	confirmAskedAt time.Duration
	confirming     []unconfirmedRenewal // in the confirmation that is under way
	toConfirm      []unconfirmedRenewal // in the next one

	// Configuration changes, invalidations and emergencies under way.
	reevaluate   bool // something came that may move one of them
	evaluatedAt  time.Duration
	lastTried    map[string]time.Duration // proposals, by what they propose
	waitingFor   map[string][]string      // controllers that are waited for, by change or invalidation
	changeSeenAt map[string]time.Duration // changes, since when this leader has known of them
	lostSince    map[string]time.Duration // rules, since when all engines inside are lost
	foundSince   map[string]time.Duration // rules, since when some engine inside serves

	// followersBehind: some follower may lack entries. A relay that doesn't lead has
	// followers, too.
	followersBehind bool
}

// peer is a controller as its last renewal reported it.
type peer struct {
	follower
	incarnation uint64
	// lastSeq has the last Seq of each incarnation. A renewal of an earlier one may come
	// late, even first; it was true, and must not shut out the present one's.
	lastSeq map[uint64]uint64
	// leaseAskedAt is when it asked for the last lease that it was given by this leader
	// or may yet be; neverAsked: it was given none.
	leaseAskedAt time.Duration
	renewal      *LeaseRenewal
}

// leaderChanged takes from consensus who leads, "": nobody that is known.
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
	c.logf(true, "leads: %v", leads)
	c.renewAt = c.now
	c.reevaluate = true
	c.followersBehind = true
	if leads { // what was committed before must be applied before anything is driven
		c.confirmLeadership()
	}
}

// otherLeader is the leader that isn't this controller, "": not known, as right after this
// one lost its leadership.
func (c *Core) otherLeader() string {
	if c.leader == c.config.Self.Name {
		return ""
	}
	return c.leader
}

// ensurePeer is the peer of a name, made where there is none yet.
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

// hasWork reports whether something is under way that time alone may move.
func (c *Core) hasWork() bool {
	return !c.ready || len(c.waitingFor) > 0 || len(c.toConfirm) > 0 || c.state.ChangeUnderWay() != nil ||
		len(c.watchedRules()) > 0 || len(c.state.Emergencies) > 0
}

// leaderDue is when the leader has something to do, Forever where this controller doesn't
// lead or has nothing.
func (c *Core) leaderDue() time.Duration {
	if !c.isLeader {
		return fleet.Forever
	}
	at := fleet.Forever
	if c.hasWork() {
		at = c.evaluatedAt + c.config.HeartbeatInterval/evaluationsPerHeartbeat
		if at <= c.now { // it waits for a confirmation
			at = c.now + c.config.HeartbeatInterval/confirmChecksPerHeartbeat
		}
	}
	if len(c.toConfirm) > 0 && len(c.confirming) == 0 {
		at = min(at, c.confirmAskedAt+c.batchingDelay())
	}
	return at
}

// driveWork moves on what is under way, while this controller leads: at once after news,
// else at each half heartbeat.
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
	for _, w := range c.watchedRules() {
		c.watchRule(w)
	}
	c.endObsoleteEmergencies()
	c.finishChanges()
	if c.state.ChangeUnderWay() == nil && len(c.state.Voters) > 0 {
		c.alignVoters()
	}
}

// propose asks the voters to log an entry. It may be lost: who proposes looks at the state
// and proposes again.
func (c *Core) propose(e *fleet.Entry) {
	if e == nil || !c.isLeader {
		return
	}
	c.stepConsensus(consensus.Event{Kind: consensus.Propose, Data: statemachine.EncodeEntry(e)})
}

// throttle does something unless the same was done a moment ago and may be under way.
func (c *Core) throttle(what string, do func()) {
	at, tried := c.lastTried[what]
	if tried && c.now-at < throttleElections*c.config.ElectionTimeout {
		return
	}
	c.lastTried[what] = c.now
	do()
}

// proposeOnce proposes an entry, throttled by what it does.
func (c *Core) proposeOnce(what string, e *fleet.Entry) {
	c.throttle(what, func() { c.propose(e) })
}

// setWaitingFor notes which controllers a change or invalidation waits for.
func (c *Core) setWaitingFor(id string, names []string) {
	if len(names) > 0 {
		c.waitingFor[id] = names
	}
}

// waitingForExcerpt is a bounded part of waitingFor, to be reported to controllers.
func (c *Core) waitingForExcerpt() map[string][]string {
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

// nameList writes out the first of some names, for the reason of a withdrawal.
func nameList(names []string) string {
	text := strings.Join(names[:min(len(names), maxNamesInWithdrawals)], ", ")
	if len(names) > maxNamesInWithdrawals {
		text += fmt.Sprintf(" and %d more", len(names)-maxNamesInWithdrawals)
	}
	return text
}

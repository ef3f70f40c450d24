package node

import (
	"fmt"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// leading is what only counts while this controller leads.
type leading struct {
	isLeader      bool
	leaderSince   time.Duration // it leads
	ready         bool          // it has applied all that was decided before it led
	peers         map[string]*peer
	peerNames     []string // of peers, in order
	confirmHandle uint64
	confirming    []unconfirmedRenewal // in the confirmation that is under way
	toConfirm     []unconfirmedRenewal // for the next
	lastTried     map[string]time.Duration
	waitingFor    map[string][]string // by run: who is waited for
	lostSince     map[string]time.Duration
	foundSince    map[string]time.Duration
	changeSeenAt  map[string]time.Duration // changes, since when this controller has known of them

	coverage map[relayIncarnation]*relayCoverage // what relays have told

	confirmAskedAt  time.Duration // when a confirmation was last asked for
	reevaluate      bool          // something came that may move what is under way
	evaluatedAt     time.Duration
	followersBehind bool // some follower may lack something
}

// peer is a controller as its last Renew told.
type peer struct {
	follower
	incarnation uint64
	// runs has the last Seq of each of its runs. What an earlier one said may come
	// late, even first; it is still true, and must not shut out the present one.
	lastSeq      map[uint64]uint64
	leaseAskedAt time.Duration // when it asked for the last lease that it was given here or may still be; neverAsked: it wasn't
	renewal      *LeaseRenewal
}

// led: who leads has changed.
func (c *Core) leaderChanged(leader string) {
	if leader != "" || c.consensus != nil {
		c.leader = leader
	}
	leads := leader == c.config.Self.Name
	if leads == c.isLeader {
		return
	}
	c.leading = leading{isLeader: leads, leaderSince: c.now, confirmHandle: c.confirmHandle, peers: map[string]*peer{}, lastTried: map[string]time.Duration{},
		waitingFor: map[string][]string{}, lostSince: map[string]time.Duration{}, foundSince: map[string]time.Duration{}, changeSeenAt: map[string]time.Duration{},
		coverage: map[relayIncarnation]*relayCoverage{}}
	c.resetAggregator()
	c.logf(true, "leads: %v", leads)
	c.renewAt, c.reevaluate, c.followersBehind = c.now, true, true
	if leads { // what was decided before must be applied before anything is driven
		c.confirmLeadership()
	}
}

// otherLeader is who leads in place of this controller, "": that isn't known, as where it
// led itself until a moment ago.
func (c *Core) otherLeader() string {
	if c.leader == c.config.Self.Name {
		return ""
	}
	return c.leader
}

// peerOf is what is known of a controller, made where there is nothing yet.
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

// busy: something is under way that time alone may move.
func (c *Core) hasWork() bool {
	return !c.ready || len(c.waitingFor) > 0 || len(c.toConfirm) > 0 || c.state.Under() != nil || len(c.watchedRules()) > 0 || len(c.state.Emergencies) > 0
}

// drive moves on what is under way, while this controller leads.
func (c *Core) driveWork() {
	if !c.isLeader || c.consensus == nil {
		return
	}
	if !c.ready && len(c.confirming) == 0 {
		c.throttle("confirm", c.confirmLeadership)
	}
	if !c.ready || c.stateError != nil || !c.reevaluate && c.now < c.evaluatedAt+c.config.HeartbeatInterval/2 {
		return
	}
	c.reevaluate, c.evaluatedAt = false, c.now
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
	if c.state.Under() == nil && len(c.state.Voters) > 0 {
		c.alignVoters()
	}
}

func (c *Core) propose(e *fleet.Entry) {
	if e == nil || !c.isLeader {
		return
	}
	c.performConsensus(c.consensus.Step(c.now, consensus.Event{Kind: consensus.Propose, Data: statemachine.Encode(e)}))
}

// once keeps what is proposed again and again a little apart: it may be under way.
func (c *Core) throttle(what string, do func()) {
	if at, had := c.lastTried[what]; !had || c.now-at >= 2*c.config.ElectionTimeout {
		c.lastTried[what] = c.now
		do()
	}
}

func (c *Core) setWaitingFor(id string, l []string) {
	if len(l) > 0 {
		c.waitingFor[id] = l
	}
}

// few are those who are waited for, some of each run.
func (c *Core) waitingForExcerpt() map[string][]string {
	if len(c.waitingFor) == 0 {
		return nil
	}
	m := map[string][]string{}
	for id, l := range c.waitingFor {
		if len(m) < 32 {
			m[id] = l[:min(len(l), 16)]
		}
	}
	return m
}

func nameList(l []string) string {
	text := ""
	for i, name := range l[:min(len(l), 5)] {
		if i > 0 {
			text += ", "
		}
		text += name
	}
	if len(l) > 5 {
		text += fmt.Sprintf(" and %d more", len(l)-5)
	}
	return text
}

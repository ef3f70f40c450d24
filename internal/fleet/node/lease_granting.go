package node

import (
	"maps"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// renewal is a Renew or a relay's Gather that waits for a confirmation.
type unconfirmedRenewal struct {
	name       string
	receivedAt time.Duration
	renewal    *LeaseRenewal
	relayed    *RelayedRenewals
	coverage   *relayCoverage
	withheld   map[string]string // by the gather's controllers: why they are given no lease
}

// renewed: a controller asks for a lease and tells of itself.
func (c *Core) receiveRenewal(from, disk string, r *LeaseRenewal) {
	answer := func(g *LeaseGrant) {
		g.Seq, g.SentAt, g.Incarnation = r.Seq, r.SentAt, r.Incarnation
		c.send(from, r.Member.Peer, &Message{Grant: g})
	}
	if c.aggregates() {
		c.aggregateRenewal(from, disk, r)
		return
	}
	if !c.isLeader {
		answer(&LeaseGrant{Leader: c.otherLeader()})
		return
	}
	if p := c.peers[from]; p != nil && r.Seq <= p.lastSeq[r.Incarnation] && c.refusalReason(from, disk) == "" {
		return // late, or doubled
	}
	why, known := c.admitRenewal(from, disk, r, ignoreRepeats)
	if why != "" {
		answer(&LeaseGrant{RefusedReason: why})
		return
	}
	p := c.peers[from]
	p.updateFrom(r, c.now, c.renewalInterval())
	c.followersBehind = c.followersBehind || p.nextIndex <= c.state.Index
	if !known {
		answer(&LeaseGrant{Leader: c.config.Self.Name})
		return
	}
	c.awaitConfirmation(unconfirmedRenewal{name: from, receivedAt: c.now, renewal: r})
}

const (
	forgottenName = "its name was forgotten: the disk that had it is taken for destroyed"
	foreignDisk   = "another disk has this name"
)

// identity says why a controller is refused for good, "": it isn't.
func (c *Core) refusalReason(name, disk string) string {
	m := c.state.Members[name]
	switch {
	case m == nil:
		return ""
	case m.Forgotten:
		return forgottenName
	case m.Disk != disk:
		return foreignDisk
	}
	return ""
}

// retelling tells whether a renewal that was told before may be told again.
type repeatRule bool

const (
	ignoreRepeats repeatRule = false // a controller's own: what comes again is late, or doubled
	acceptRepeats repeatRule = true  // a relay's, whose gathers come in order
)

// admit takes what a controller told of itself. It is known once the record has it; why
// is set where it is refused for good. What is older than what was told before is
// passed over.
func (c *Core) admitRenewal(name, disk string, r *LeaseRenewal, may repeatRule) (why string, known bool) {
	if why = c.refusalReason(name, disk); why != "" {
		return why, false
	}
	p := c.ensurePeer(name)
	last := p.lastSeq[r.Incarnation]
	if r.Seq > last || may == acceptRepeats && r.Seq == last && p.incarnation != r.Incarnation {
		c.updatePeer(p, r)
	}
	m := c.state.Members[name]
	member := r.Member
	if m != nil && !m.Control {
		member.Control = false // as the record has it, for good
	}
	if m == nil || *m != member {
		c.throttle("join "+name, func() { c.propose(&fleet.Entry{Kind: fleet.Join, ID: name, Name: name, Member: &member}) })
	}
	// changes don't wait for a control process: one that takes queries by now must be
	// in the record as what it is before it holds a lease
	return "", m != nil && m.Control == member.Control
}

// update has a renewal stand for what its controller said before.
func (c *Core) updatePeer(p *peer, r *LeaseRenewal) {
	c.reevaluate = c.reevaluate || p.renewal == nil || p.incarnation != r.Incarnation || p.renewal.differs(r)
	if p.incarnation != 0 && p.incarnation != r.Incarnation {
		p.nextIndex = 0
	}
	p.lastSeq[r.Incarnation] = r.Seq
	p.incarnation, p.heardAt, p.renewal, p.appliedIndex = r.Incarnation, c.now, r, r.AppliedIndex
}

// differs: a Renew tells something else than the one before.
func (r *LeaseRenewal) differs(o *LeaseRenewal) bool {
	return r.PolicyVersion != o.PolicyVersion || r.FencedFor != o.FencedFor || (r.AttemptsOutside == 0) != (o.AttemptsOutside == 0) || len(r.ValidationResults) != len(o.ValidationResults) ||
		!slices.Equal(r.ServingSites, o.ServingSites) || !maps.Equal(r.ValidationResults, o.ValidationResults) || !slices.Equal(r.Tombstoned, o.Tombstoned) || !maps.Equal(r.Erased, o.Erased)
}

// together is how long renewals gather for one confirmation: a thousand controllers
// would otherwise have the voters confirm a thousand times a second.
func (c *Core) batchingDelay() time.Duration { return min(5*time.Millisecond, c.renewalInterval()/10) }

// enqueue has a renewal confirmed with the next ones. Of a relay's gathers the last one
// stands for those before it.
func (c *Core) awaitConfirmation(next unconfirmedRenewal) {
	if next.coverage != nil {
		c.toConfirm = slices.DeleteFunc(c.toConfirm, func(q unconfirmedRenewal) bool { return q.coverage == next.coverage })
	}
	c.toConfirm = append(c.toConfirm, next)
}

// grant has what waits for a lease confirmed, when it is time.
func (c *Core) confirmWaitingRenewals() {
	if c.isLeader {
		c.expireCoverage()
	}
	if c.isLeader && len(c.toConfirm) > 0 && len(c.confirming) == 0 && c.now >= c.confirmAskedAt+c.batchingDelay() {
		c.confirmLeadership()
	}
}

// confirm asks the other voters whether this controller still leads. A lease that is
// granted on it counts from before it was asked: whoever is elected later knows how
// long to wait for it.
func (c *Core) confirmLeadership() {
	c.confirmHandle++
	c.confirming, c.toConfirm = c.toConfirm, nil
	for _, q := range c.confirming { // it may be given one that knows only what is decided by now
		if q.coverage != nil {
			q.coverage.leaseAskedAt = q.receivedAt
		} else {
			c.peers[q.name].leaseAskedAt = q.receivedAt
		}
	}
	c.confirmAskedAt = c.now
	c.stepConsensus(consensus.Event{Kind: consensus.Confirm, Handle: c.confirmHandle})
}

func (c *Core) leadershipConfirmed(handle, index uint64) {
	if handle != c.confirmHandle || !c.isLeader {
		return
	}
	c.ready = c.ready || c.state.Index >= index
	asked := c.confirming
	c.confirming = nil
	for _, q := range asked {
		if q.relayed != nil {
			c.grantRelayed(q, index)
			continue
		}
		p := c.peers[q.name]
		if m := c.state.Members[q.name]; m == nil || m.Forgotten || p.incarnation != q.renewal.Incarnation {
			continue
		}
		c.send(q.name, q.renewal.Member.Peer, &Message{Grant: &LeaseGrant{Seq: q.renewal.Seq, SentAt: q.renewal.SentAt, Incarnation: q.renewal.Incarnation, Granted: true, RequiredIndex: index,
			Leader: c.config.Self.Name, WaitingFor: c.waitingForExcerpt()}})
	}
	if !c.ready {
		c.confirmLeadership()
	}
}

func (c *Core) leadershipDenied(handle uint64) {
	if handle != c.confirmHandle {
		return
	}
	c.confirming = nil
	if c.isLeader && !c.ready {
		c.throttle("confirm", c.confirmLeadership)
	}
}

package node

import (
	"maps"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// The leader's side of leases. A lease is granted in these steps: its renewal is admitted,
// waits in toConfirm, is part of a confirmation that the leadership still holds, and is
// granted once a majority of voters has confirmed.

const (
	// Renewals wait for others to share a confirmation, at most so long and at most such
	// a part of the renewal interval.
	maxBatchingDelay   = 5 * time.Millisecond
	batchesPerInterval = 10
)

// unconfirmedRenewal is a controller's renewal or a relay's message that waits for a
// confirmation. Either renewal is set, or relayed, coverage and withheld are.
type unconfirmedRenewal struct {
	name       string // of the sender
	receivedAt time.Duration
	renewal    *LeaseRenewal

	relayed  *RelayedRenewals
	coverage *relayCoverage
	withheld map[string]string // controllers that are given no lease, and why; "": not in the log yet
}

// receiveRenewal takes a controller's renewal: as the leader, as a relay, or as one that
// only knows who leads.
func (c *Core) receiveRenewal(from, disk string, r *LeaseRenewal) {
	switch {
	case c.aggregates():
		c.aggregateRenewal(from, disk, r)
		return
	case !c.isLeader:
		c.answerRenewal(from, r, LeaseGrant{Leader: c.otherLeader()})
		return
	}
	if p := c.peers[from]; p != nil && r.Seq <= p.lastSeq[r.Incarnation] && c.refusalReason(from, disk) == "" {
		return // late, or doubled
	}
	refusal, known := c.admitRenewal(from, disk, r, ignoreRepeats)
	if refusal != "" {
		c.answerRenewal(from, r, LeaseGrant{RefusedReason: refusal})
		return
	}
	p := c.peers[from]
	p.updateFrom(r, c.now, c.renewalInterval())
	c.followersBehind = c.followersBehind || p.nextIndex <= c.state.Index
	if !known {
		c.answerRenewal(from, r, LeaseGrant{Leader: c.config.Self.Name})
		return
	}
	c.awaitConfirmation(unconfirmedRenewal{name: from, receivedAt: c.now, renewal: r})
}

// answerRenewal sends a controller the answer to its renewal.
func (c *Core) answerRenewal(to string, r *LeaseRenewal, g LeaseGrant) {
	g.Seq = r.Seq
	g.SentAt = r.SentAt
	g.Incarnation = r.Incarnation
	c.send(to, r.Member.PeerAddress, &Message{Grant: &g})
}

// Reasons for which a controller is refused for good.
const (
	forgottenName = "its name was forgotten: the disk that had it is taken for destroyed"
	foreignDisk   = "another disk has this name"
)

// refusalReason says why a controller is refused for good, "": it isn't.
func (c *Core) refusalReason(name, disk string) string {
	m := c.state.Members[name]
	switch {
	case m == nil:
		return ""
	case m.Forgotten:
		return forgottenName
	case m.DiskID != disk:
		return foreignDisk
	}
	return ""
}

// repeatRule says what is done with the last renewal of an incarnation that comes again
// after another incarnation's.
type repeatRule bool

const (
	ignoreRepeats repeatRule = false // a controller's own: it is late, or doubled
	acceptRepeats repeatRule = true  // by a relay, whose messages come in order: it holds again
)

// admitRenewal takes what a controller reports of itself, unless it is older than what it
// reported before. known is whether the log has the controller, which gets no lease
// before; refusal is set where it is refused for good.
func (c *Core) admitRenewal(
	name, disk string, r *LeaseRenewal, repeats repeatRule,
) (refusal string, known bool) {
	refusal = c.refusalReason(name, disk)
	if refusal != "" {
		return refusal, false
	}
	p := c.ensurePeer(name)
	last := p.lastSeq[r.Incarnation]
	isRepeat := r.Seq == last && p.incarnation != r.Incarnation
	if r.Seq > last || repeats == acceptRepeats && isRepeat {
		c.updatePeer(p, r)
	}
	logged := c.state.Members[name]
	member := r.Member
	if logged != nil && !logged.ControlOnly {
		member.ControlOnly = false // as the log has it, for good
	}
	if logged == nil || *logged != member {
		c.proposeOnce("join "+name, &fleet.Entry{Kind: fleet.EntryJoin, ID: name, Name: name, Member: &member})
	}
	// Changes don't wait for a control process: one that takes queries by now must be in
	// the log as what it is before it holds a lease.
	return "", logged != nil && logged.ControlOnly == member.ControlOnly
}

// updatePeer replaces what a controller reported before by a renewal.
func (c *Core) updatePeer(p *peer, r *LeaseRenewal) {
	restarted := p.incarnation != r.Incarnation
	if p.renewal == nil || restarted || p.renewal.differs(r) {
		c.reevaluate = true
	}
	if p.incarnation != 0 && restarted {
		p.nextIndex = 0
	}
	p.lastSeq[r.Incarnation] = r.Seq
	p.incarnation = r.Incarnation
	p.heardAt = c.now
	p.renewal = r
	p.appliedIndex = r.AppliedIndex
}

// differs reports whether a renewal has something that the leader acts on and another
// one has not.
func (r *LeaseRenewal) differs(o *LeaseRenewal) bool {
	return r.PolicyVersion != o.PolicyVersion ||
		r.FencedFor != o.FencedFor ||
		(r.AttemptsOutside == 0) != (o.AttemptsOutside == 0) ||
		!slices.Equal(r.ServingSites, o.ServingSites) ||
		!maps.Equal(r.ValidationResults, o.ValidationResults) ||
		!slices.Equal(r.Tombstoned, o.Tombstoned) ||
		!maps.Equal(r.Erased, o.Erased)
}

// batchingDelay is how long renewals wait to share a confirmation: a thousand controllers
// would otherwise have the voters confirm a thousand times a second.
func (c *Core) batchingDelay() time.Duration {
	return min(maxBatchingDelay, c.renewalInterval()/batchesPerInterval)
}

// awaitConfirmation has a renewal confirmed with the next ones. Of a relay's messages the
// last one stands for those before it.
func (c *Core) awaitConfirmation(next unconfirmedRenewal) {
	if next.coverage != nil {
		c.toConfirm = slices.DeleteFunc(c.toConfirm, func(earlier unconfirmedRenewal) bool {
			return earlier.coverage == next.coverage
		})
	}
	c.toConfirm = append(c.toConfirm, next)
}

// confirmWaitingRenewals has what waits for a lease confirmed, when it is time.
func (c *Core) confirmWaitingRenewals() {
	if !c.isLeader {
		return
	}
	c.expireCoverage()
	if len(c.toConfirm) > 0 && len(c.confirming) == 0 && c.now >= c.confirmAskedAt+c.batchingDelay() {
		c.confirmLeadership()
	}
}

// confirmLeadership asks the other voters whether this controller still leads. A lease
// that is granted on it counts from before it was asked for: whoever is elected later
// knows how long to wait for it.
func (c *Core) confirmLeadership() {
	c.confirmHandle++
	c.confirming = c.toConfirm
	c.toConfirm = nil
	for _, q := range c.confirming { // from now on each may be granted its lease
		if q.coverage != nil {
			q.coverage.leaseAskedAt = q.receivedAt
		} else {
			c.peers[q.name].leaseAskedAt = q.receivedAt
		}
	}
	c.confirmAskedAt = c.now
	c.stepConsensus(consensus.Event{Kind: consensus.ConfirmLeadership, Handle: c.confirmHandle})
}

// leadershipConfirmed grants the leases that waited for the confirmation. index is what
// was committed when it was asked for; a lease counts once that is applied by its holder.
func (c *Core) leadershipConfirmed(handle, index uint64) {
	if handle != c.confirmHandle || !c.isLeader {
		return
	}
	c.ready = c.ready || c.state.Index >= index
	confirmed := c.confirming
	c.confirming = nil
	for _, q := range confirmed {
		if q.relayed != nil {
			c.grantRelayed(q, index)
		} else {
			c.grantLease(q, index)
		}
	}
	if !c.ready {
		c.confirmLeadership()
	}
}

// grantLease grants a confirmed renewal its lease, unless its controller was forgotten or
// started anew in the meantime.
func (c *Core) grantLease(q unconfirmedRenewal, index uint64) {
	m := c.state.Members[q.name]
	if m == nil || m.Forgotten || c.peers[q.name].incarnation != q.renewal.Incarnation {
		return
	}
	c.answerRenewal(q.name, q.renewal, LeaseGrant{
		Granted:       true,
		RequiredIndex: index,
		Leader:        c.config.Self.Name,
		WaitingFor:    c.waitingForExcerpt(),
	})
}

// leadershipDenied drops what waited for a confirmation that didn't come: the renewals
// will be sent again.
func (c *Core) leadershipDenied(handle uint64) {
	if handle != c.confirmHandle {
		return
	}
	c.confirming = nil
	if c.isLeader && !c.ready {
		c.throttle("confirm", c.confirmLeadership)
	}
}

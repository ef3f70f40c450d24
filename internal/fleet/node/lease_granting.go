package node

import (
	"maps"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// The leader's side of leases. The leader grants a lease in these steps: it admits the renewal,
// queues it in toConfirm, asks the voters to confirm its leadership for a batch of renewals
// (confirming), and grants the leases of the batch once a majority has confirmed.

const (
	// Confirmations start at least maxBatchInterval or 1/batchesPerInterval of the renewal interval
	// apart, whichever is shorter. The renewals that arrive between them share the next confirmation.
	maxBatchInterval   = 5 * time.Millisecond
	batchesPerInterval = 10
)

// unconfirmedRenewal is a controller's renewal or a relay's message that waits for a confirmation
// of the leadership. Either renewal is set, or relayed, coverage and withheld are.
type unconfirmedRenewal struct {
	name       string // of the sender
	receivedAt time.Duration
	renewal    *LeaseRenewal

	relayed  *RelayedRenewals
	coverage *relayCoverage
	withheld map[string]string // controllers that get no lease, and why; "": not in the log yet
}

// receiveRenewal handles a controller's renewal. A leader admits it, a relay aggregates it, and
// any other controller answers with the name of the leader.
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
		return // late or duplicated
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

// answerRenewal sends a controller a grant that answers its renewal.
func (c *Core) answerRenewal(to string, r *LeaseRenewal, g LeaseGrant) {
	g.Seq = r.Seq
	g.SentAt = r.SentAt
	g.Incarnation = r.Incarnation
	c.send(to, r.Member.PeerAddress, &Message{Grant: &g})
}

// The reasons for refusing a controller for good.
const (
	forgottenReason   = "its name was forgotten: the disk that had it is taken for destroyed"
	foreignDiskReason = "another disk has this name"
)

// refusalReason returns why a controller is refused for good, "" if it isn't.
func (c *Core) refusalReason(name, disk string) string {
	m := c.state.Members[name]
	switch {
	case m == nil:
		return ""
	case m.Forgotten:
		return forgottenReason
	case m.DiskID != disk:
		return foreignDiskReason
	}
	return ""
}

// repeatRule says how to treat a renewal that is received a second time. In between, the controller
// sent a renewal under another incarnation. The rule says whether the repeated renewal becomes the
// controller's last report again.
type repeatRule bool

const (
	ignoreRepeats repeatRule = false // sent by the controller itself: the renewal is late or duplicated
	acceptRepeats repeatRule = true  // sent by a relay, whose messages come in order: it is current again
)

// admitRenewal records the state that a controller reports, unless a newer report was recorded, and
// proposes an entry if the log doesn't have the controller's present Member. known reports whether
// the log has the controller in its present role; without that it gets no lease. refusal is set if
// the controller is refused for good.
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
		member.ControlOnly = false // a controller in the log never becomes a control process
	}
	if logged == nil || *logged != member {
		c.proposeOnce("join "+name, &fleet.Entry{Kind: fleet.EntryJoin, ID: name, Name: name, Member: &member})
	}
	// A policy change waits only for the controllers in the log, not for control processes. A former
	// control process that now takes queries must thus be in the log as a controller before it gets a lease.
	return "", logged != nil && logged.ControlOnly == member.ControlOnly
}

// updatePeer replaces the last report of a controller by a renewal.
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

// differs reports whether two renewals differ in anything that the leader acts on.
func (r *LeaseRenewal) differs(o *LeaseRenewal) bool {
	return r.PolicyVersion != o.PolicyVersion ||
		r.FencedFor != o.FencedFor ||
		(r.AttemptsOutside == 0) != (o.AttemptsOutside == 0) ||
		!slices.Equal(r.ServingSites, o.ServingSites) ||
		!maps.Equal(r.ValidationResults, o.ValidationResults) ||
		!slices.Equal(r.Tombstoned, o.Tombstoned) ||
		!maps.Equal(r.Erased, o.Erased)
}

// batchInterval returns the minimum time between the starts of two confirmations. Without this
// minimum, a thousand controllers would cause a thousand confirmations a second. It is also the
// minimum time between a relay's last message to the leader and an urgent one.
func (c *Core) batchInterval() time.Duration {
	return min(maxBatchInterval, c.renewalInterval()/batchesPerInterval)
}

// awaitConfirmation queues a renewal for the next confirmation. A relay's message replaces the
// relay's earlier ones in the queue.
func (c *Core) awaitConfirmation(next unconfirmedRenewal) {
	if next.coverage != nil {
		c.toConfirm = slices.DeleteFunc(c.toConfirm, func(earlier unconfirmedRenewal) bool {
			return earlier.coverage == next.coverage
		})
	}
	c.toConfirm = append(c.toConfirm, next)
}

// confirmWaitingRenewals first drops the expired coverage of relays. It then starts a confirmation if
// renewals wait, no confirmation is under way, and batchInterval has passed since the last one started.
func (c *Core) confirmWaitingRenewals() {
	if !c.isLeader {
		return
	}
	c.expireCoverage()
	if len(c.toConfirm) > 0 && len(c.confirming) == 0 && c.now >= c.confirmAskedAt+c.batchInterval() {
		c.confirmLeadership()
	}
}

// confirmLeadership asks the other voters to confirm that this controller still leads. Every
// lease granted on the confirmation was requested before the confirmation began, so a leader
// elected later knows how long to wait for the lease.
func (c *Core) confirmLeadership() {
	c.confirmHandle++
	c.confirming = c.toConfirm
	c.toConfirm = nil
	for _, q := range c.confirming { // from now on each may get its lease
		if q.coverage != nil {
			q.coverage.leaseAskedAt = q.receivedAt
		} else {
			c.peers[q.name].leaseAskedAt = q.receivedAt
		}
	}
	c.confirmAskedAt = c.now
	c.stepConsensus(consensus.Event{Kind: consensus.ConfirmLeadership, Handle: c.confirmHandle})
}

// leadershipConfirmed grants the leases that waited for the confirmation. index is the commit
// index when the confirmation began; a holder must apply the log up to it before its lease is
// active. The leader is ready once it has applied the log up to such an index; until then each
// confirmation is followed by another.
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

// grantLease grants the lease of a confirmed renewal that the controller itself sent, unless the
// controller was forgotten or restarted in the meantime. grantRelayed handles relayed renewals.
func (c *Core) grantLease(q unconfirmedRenewal, index uint64) {
	m := c.state.Members[q.name]
	if m == nil || m.Forgotten || c.peers[q.name].incarnation != q.renewal.Incarnation {
		return
	}
	c.answerRenewal(q.name, q.renewal, LeaseGrant{
		Granted:       true,
		RequiredIndex: index,
		Leader:        c.config.Self.Name,
		WaitingFor:    c.waitingForSummary(),
	})
}

// leadershipDenied drops the renewals of a failed confirmation; their senders repeat them. A leader that
// isn't ready asks for another confirmation.
func (c *Core) leadershipDenied(handle uint64) {
	if handle != c.confirmHandle {
		return
	}
	c.confirming = nil
	if c.isLeader && !c.ready {
		c.throttle("confirm", c.confirmLeadership)
	}
}

package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// The relay's side of leases. A relay aggregates the renewals of other controllers in one message
// to the leader and forwards the grants and the log. While a relay leads, it answers renewals as
// any leader does.

const (
	messagesPerInterval = 4 // messages to the leader in a renewal interval
	silentIntervals     = 2 // in renewal intervals: a controller silent for longer is no longer covered
	// unansweredIntervals is in renewal intervals: after so long without an answer, the relay
	// logs that the leader doesn't answer.
	unansweredIntervals = 8
)

// aggregates reports whether this controller aggregates renewals for the leader.
func (c *Core) aggregates() bool { return c.aggregator != nil && !c.isLeader }

// resetAggregator replaces the aggregator by an empty one. The sequence numbers of an incarnation
// continue, since they must not be reused.
func (c *Core) resetAggregator() {
	if !c.config.IsRelay {
		return
	}
	next := newRenewalAggregator(c.config.Incarnation)
	if c.aggregator != nil {
		next.lastSeq = c.aggregator.lastSeq
	}
	c.aggregator = next
}

// aggregateRenewal handles the renewal of a controller that uses this relay.
func (c *Core) aggregateRenewal(name, disk string, r *LeaseRenewal) {
	from := c.aggregator.addRenewal(c.now, name, disk, r)
	if from == nil {
		return
	}
	from.follower.updateFrom(r, c.now, c.renewalInterval())
	c.followersBehind = c.followersBehind || from.nextIndex <= c.state.Index
}

// otherLeaderKnown reports whether another controller is known to lead.
func (c *Core) otherLeaderKnown() bool { return c.leader != "" && c.leader != c.config.Self.Name }

// nextAggregate returns when the next message to the leader is due, fleet.Forever if none is.
func (c *Core) nextAggregate() time.Duration {
	if !c.aggregates() || !c.otherLeaderKnown() {
		return fleet.Forever
	}
	return c.aggregator.due(c.batchInterval(), c.renewalInterval()/messagesPerInterval)
}

// sendAggregate sends the aggregated renewals to the leader when a message is due.
func (c *Core) sendAggregate() {
	if !c.aggregates() {
		return
	}
	c.aggregator.expire(c.now, silentIntervals*c.renewalInterval())
	if !c.otherLeaderKnown() {
		return
	}
	c.aggregator.setLeader(c.leader)
	if c.now < c.nextAggregate() {
		return
	}
	c.send(c.leader, c.addressOf(c.leader), &Message{RelayedRenewals: c.aggregator.nextMessage(c.now)})
	c.logUnansweredLeader()
}

// logUnansweredLeader logs once that the leader doesn't answer messages although this relay itself
// holds a lease.
func (c *Core) logUnansweredLeader() {
	g := c.aggregator
	late := c.now-g.unansweredSince >= unansweredIntervals*c.renewalInterval()
	if g.unansweredLogged || !late || c.now >= c.leaseUntil {
		return
	}
	g.unansweredLogged = true
	c.logError(&fleet.RelayUnansweredError{Leader: c.leader})
}

// receiveRelayedGrants handles the leader's answer and forwards the grants.
func (c *Core) receiveRelayedGrants(from string, a *RelayedGrants) {
	if !c.aggregates() {
		return
	}
	if !a.Granted && !a.Resync && a.Leader != "" && a.Leader != c.config.Self.Name && c.consensus == nil {
		c.leader = a.Leader
	}
	for _, to := range c.aggregator.handleAnswer(from, a) {
		c.send(to.name, to.address, &Message{Grant: to.grant})
	}
}

package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// A relay's part in the core: renewals of others go to the leader in one message, and
// leases and the log come back through it. While a relay leads it answers renewals as any
// leader does.

const (
	messagesPerInterval = 4 // to the leader, in a renewal interval
	silentIntervals     = 2 // renewal intervals without a renewal: the controller is covered no longer
	// unansweredIntervals, renewal intervals without an answer: then it is logged that the
	// leader doesn't answer.
	unansweredIntervals = 8
)

// aggregates reports whether renewals that come are aggregated for the leader.
func (c *Core) aggregates() bool { return c.aggregator != nil && !c.isLeader }

// resetAggregator begins to aggregate, with nothing reported yet. Messages of one
// incarnation are never numbered anew.
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

// aggregateRenewal takes the renewal of a controller that asks through this relay.
func (c *Core) aggregateRenewal(name, disk string, r *LeaseRenewal) {
	from := c.aggregator.addRenewal(c.now, name, disk, r)
	if from == nil {
		return
	}
	from.follower.updateFrom(r, c.now, c.renewalInterval())
	c.followersBehind = c.followersBehind || from.nextIndex <= c.state.Index
}

// otherLeaderKnown reports whether there is a leader to send to.
func (c *Core) otherLeaderKnown() bool { return c.leader != "" && c.leader != c.config.Self.Name }

// aggregateDue is when the next message to the leader is to be sent, Forever: none is.
func (c *Core) aggregateDue() time.Duration {
	if !c.aggregates() || !c.otherLeaderKnown() {
		return fleet.Forever
	}
	return c.aggregator.due(c.batchingDelay(), c.renewalInterval()/messagesPerInterval)
}

// sendAggregate sends what has come together to the leader, when it is time.
func (c *Core) sendAggregate() {
	if !c.aggregates() {
		return
	}
	c.aggregator.expire(c.now, silentIntervals*c.renewalInterval())
	if !c.otherLeaderKnown() {
		return
	}
	c.aggregator.setLeader(c.leader)
	if c.now < c.aggregateDue() {
		return
	}
	c.send(c.leader, c.addressOf(c.leader), &Message{RelayedRenewals: c.aggregator.nextMessage(c.now)})
	c.logUnansweredLeader()
}

// logUnansweredLeader logs once that messages to the leader aren't answered though this
// relay itself holds a lease.
func (c *Core) logUnansweredLeader() {
	g := c.aggregator
	late := c.now-g.unansweredSince >= unansweredIntervals*c.renewalInterval()
	if g.unansweredLogged || !late || c.now >= c.leaseUntil {
		return
	}
	g.unansweredLogged = true
	c.logError(&fleet.RelayUnansweredError{Leader: c.leader})
}

// receiveRelayedGrants takes the leader's answer and passes the grants on.
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

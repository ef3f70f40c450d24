package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// A relay's part in the core: renewals of others go to the leader in one message, and
// leases and the record come back through it. While a relay leads it answers renewals
// as any leader does.

const (
	messagesPerInterval      = 4 // gathers in the time in which a controller asks once
	firstRelayRetryIntervals = 16
	unansweredIntervals      = 8 // times a renewal's interval: then it is said that the leader doesn't answer
)

// relays tells whether renewals that come are gathered for the leader.
func (c *Core) aggregates() bool { return c.aggregator != nil && !c.isLeader }

// startRelay begins to gather, with nothing told yet.
func (c *Core) resetAggregator() {
	if c.config.IsRelay {
		seq := uint64(0)
		if c.aggregator != nil { // gathers of one run are never numbered anew
			seq = c.aggregator.lastSeq
		}
		c.aggregator = newRenewalAggregator(c.config.Incarnation)
		c.aggregator.lastSeq = seq
	}
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

// silentAfter is how long a controller may not ask before it is covered no more.
func (c *Core) silentAfter() time.Duration { return 2 * c.renewalInterval() }

// gatherDue is when the relay has something to do.
func (c *Core) aggregateDue() time.Duration {
	if !c.aggregates() || c.leader == "" || c.leader == c.config.Self.Name {
		return fleet.Forever
	}
	return c.aggregator.due(c.batchingDelay(), c.renewalInterval()/messagesPerInterval)
}

// gather sends what has come together to the leader, when it is time.
func (c *Core) sendAggregate() {
	if !c.aggregates() {
		return
	}
	c.aggregator.expire(c.now, c.silentAfter())
	if c.leader == "" || c.leader == c.config.Self.Name {
		return
	}
	c.aggregator.setLeader(c.leader)
	if c.now < c.aggregateDue() {
		return
	}
	c.send(c.leader, c.addressOf(c.leader), &Message{RelayedRenewals: c.aggregator.nextMessage(c.now)})
	c.logUnansweredLeader()
}

// complainOfLeader says once that gathers aren't answered though leases are given.
func (c *Core) logUnansweredLeader() {
	g := c.aggregator
	if g.unansweredLogged || c.now-g.unansweredSince < unansweredIntervals*c.renewalInterval() || c.now >= c.leaseUntil {
		return
	}
	g.unansweredLogged = true
	c.logError(&fleet.RelayUnansweredError{Leader: c.leader})
}

// gatheredAnswer takes the leader's answer to a gather and passes the grants on.
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

package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// pending is a lease that counts once the record up to index is applied.
type pendingLease struct {
	askedAt time.Duration
	index   uint64
}

// every is how often a lease is asked for: the shorter one must go on, too.
func (c *Core) renewalInterval() time.Duration {
	span := c.shorterLease()
	if span == fleet.Forever {
		return 500 * time.Millisecond
	}
	return max(10*time.Millisecond, min(span/4, 500*time.Millisecond))
}

// renew asks for the lease when it is time, or tells at once what is new.
func (c *Core) renewLease() {
	if c.refusedReason != "" {
		c.renewAt = c.now + time.Minute
		return
	}
	if c.now < c.renewAt && !c.unreported {
		return
	}
	if c.isLeader { // a late word of another leader must not have it ask elsewhere
		c.leader = c.config.Self.Name
	}
	if c.leader == c.config.Self.Name && !c.isLeader { // another may not have heard yet that it leads no more
		c.leader = ""
	}
	upstreams := c.upstreams()
	if len(upstreams) == 0 {
		return
	}
	c.unreported = false
	c.renewAt = c.now + c.renewalInterval()
	if c.unansweredSince == 0 {
		c.unansweredSince = c.now
	}
	c.renewalSeq++
	r := &LeaseRenewal{Member: c.config.Self, Incarnation: c.config.Incarnation, Seq: c.renewalSeq, SentAt: int64(c.now), AppliedIndex: c.state.Index, Votes: c.consensus != nil, PolicyVersion: c.servedVersion, FencedFor: c.fenceConfirmedFor,
		ServingSites: c.servingSites, AttemptsOutside: c.attemptsOutside}
	if u := c.state.Under(); u != nil {
		if k := c.validations[u.ID]; k != nil && k.done {
			r.ValidationResults = map[string]string{u.ID: k.reason}
		}
	}
	r.Tombstoned = append(r.Tombstoned, sorted(c.tombstoned)...)
	r.Erased = maps.Clone(c.erased)
	for _, to := range upstreams {
		c.send(to.Name, to.Address, &Message{Renewal: r})
	}
}

// granted: the leader's word on a Renew.
func (c *Core) receiveGrant(from string, g *LeaseGrant) {
	if g.Incarnation != c.config.Incarnation || g.Seq > c.renewalSeq {
		return
	}
	if g.RefusedReason != "" {
		c.stopForGood(g.RefusedReason)
		return
	}
	if route := c.routeOf(from); g.Granted || route == len(c.config.Relays) { // one that is no relay only names the leader
		c.routes.recordAnswer(route, c.now, c.unansweredSince > 0, firstRelayRetryIntervals*c.renewalInterval())
		c.unansweredSince = 0
	}
	if !g.Granted {
		if g.Leader == c.config.Self.Name { // it led, and another may not know better yet
			return
		}
		if g.Leader != c.leader && (c.consensus == nil || g.Leader != "") || c.leader == "" {
			if c.leader = g.Leader; c.leader != "" && c.leader != from {
				c.renewAt = c.now
			}
		}
		return
	}
	if c.consensus == nil {
		c.leader = cmp.Or(g.Leader, from)
	}
	c.leaderWaitsFor = g.WaitingFor
	c.pendingLeases = append(c.pendingLeases, pendingLease{time.Duration(g.SentAt), g.RequiredIndex})
	c.activateLeases()
}

// withholdLease sets what a controller may do by the record that it kept, before a leader has
// answered it: nothing. Changes and purges may have been decided while it was down, so
// it holds no lease and serves nobody until it has caught up.
func (c *Core) withholdLease() {
	c.caughtUp = false
	c.leaseUntil, c.confinedLeaseUntil = 0, 0
}

// lease makes those leases count whose record is applied. It counts from when it was
// asked for, by this controller's own clock.
func (c *Core) activateLeases() {
	until, bound := c.leaseUntil, c.confinedLeaseUntil // apart: the one may have no end, and the other must go on
	c.pendingLeases = slices.DeleteFunc(c.pendingLeases, func(p pendingLease) bool {
		if p.index > c.state.Index {
			return c.config.Lease != fleet.Forever && c.now-p.askedAt > c.config.Lease
		}
		until, bound = max(until, c.leaseEnd(p.askedAt, c.config.Lease)), max(bound, c.leaseEnd(p.askedAt, c.config.ConfinedLease))
		return true
	})
	if until <= c.leaseUntil && bound <= c.confinedLeaseUntil || c.stateError != nil || c.refusedReason != "" {
		return
	}
	if !c.caughtUp {
		c.caughtUp = true
		c.logf(false, "the record is caught up with, at %d", c.state.Index)
	}
	c.leaseUntil, c.confinedLeaseUntil = until, bound
	c.orderOutstanding() // before the lease: what is forbidden by now must be known first
	c.emit(Effect{Kind: OrderController, Order: fleet.Order{Kind: fleet.Renewed, Until: until, UntilBound: bound}})
}

func (c *Core) leaseEnd(from, span time.Duration) time.Duration {
	if span == fleet.Forever {
		return fleet.Forever
	}
	return from + span
}

// serves: it holds a lease and decides by the version in force.
func (c *Core) serves() bool {
	return c.now < c.leaseUntil && c.servedVersion == c.state.Version && c.fenceOrderedFor == ""
}

// unwanted: this name or disk never serves again. What it holds ends now, since a lease
// without an end wouldn't by itself.
func (c *Core) stopForGood(why string) {
	if c.refusedReason != "" {
		return
	}
	c.refusedReason = why
	c.logError(&fleet.UnwantedError{Name: c.config.Self.Name, Why: why})
	c.pendingLeases, c.leaseUntil, c.confinedLeaseUntil = nil, 0, 0
	c.emit(Effect{Kind: OrderController, Order: fleet.Order{Kind: fleet.Renewed}})
}

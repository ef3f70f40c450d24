package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

const (
	maxRenewalInterval = 500 * time.Millisecond
	minRenewalInterval = 10 * time.Millisecond
	renewalsPerLease   = 4 // so that a lost one doesn't end the lease
	// refusedTimerInterval is how far apart timers are once the controller was refused for
	// good: it asks no more.
	refusedTimerInterval = time.Minute
)

// leaseState is a controller's own lease and how it asks for it. A lease counts from when
// it was asked for, by this controller's clock, and only once the log is applied up to the
// index that the grant names: what is forbidden by then is known here.
//
// A lease goes from requested (a renewal is sent) to granted (pendingLeases) to active
// (now < leaseUntil) to ended; each renewal starts another one beside it.
type leaseState struct {
	// The leader, as far as is known, and the way to it.
	leader    string // "": not known
	voterHint int    // which voter is asked next while no leader is known
	routes    routes

	// Renewals.
	renewalSeq      uint64 // of the last one
	renewAt         time.Duration
	unansweredSince time.Duration // when the first one that wasn't answered was sent, 0: none
	unreported      bool          // something that a renewal reports has changed since the last one

	// The lease.
	pendingLeases      []pendingLease
	leaseUntil         time.Duration
	confinedLeaseUntil time.Duration // the same for confined tenants and kept results
	caughtUp           bool          // a lease was active in this incarnation: what came before is known
	refusedReason      string        // why no lease will ever be granted, "": it may

	// leaderWaitsFor are controllers that the leader waits for, some of them, by change or
	// invalidation, as the last grant reported.
	leaderWaitsFor map[string][]string
}

// pendingLease is a granted lease that counts once the log up to index is applied.
type pendingLease struct {
	askedAt time.Duration
	index   uint64
}

// renewalInterval is how often a lease is asked for: often enough for the shorter one.
func (c *Core) renewalInterval() time.Duration {
	span := c.shorterLease()
	if span == fleet.Forever {
		return maxRenewalInterval
	}
	return max(minRenewalInterval, min(span/renewalsPerLease, maxRenewalInterval))
}

// renewLease asks for the lease when it is time, or at once when it has something to report.
func (c *Core) renewLease() {
	if c.refusedReason != "" {
		c.renewAt = c.now + refusedTimerInterval
		return
	}
	if c.now < c.renewAt && !c.unreported {
		return
	}
	if c.isLeader { // a late message that names another leader must not have it ask elsewhere
		c.leader = c.config.Self.Name
	} else if c.leader == c.config.Self.Name { // another may not know yet that it no longer leads
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
	renewal := c.nextRenewal()
	for _, to := range upstreams {
		c.send(to.Name, to.Address, &Message{Renewal: renewal})
	}
}

// nextRenewal reports what the leader needs to know of this controller.
func (c *Core) nextRenewal() *LeaseRenewal {
	c.renewalSeq++
	renewal := &LeaseRenewal{
		Member:          c.config.Self,
		Incarnation:     c.config.Incarnation,
		Seq:             c.renewalSeq,
		SentAt:          int64(c.now),
		AppliedIndex:    c.state.Index,
		Votes:           c.consensus != nil,
		PolicyVersion:   c.servedVersion,
		FencedFor:       c.fenceConfirmedFor,
		ServingSites:    c.servingSites,
		AttemptsOutside: c.attemptsOutside,
	}
	if change := c.state.ChangeUnderWay(); change != nil {
		if v := c.validations[change.ID]; v != nil && v.done {
			renewal.ValidationResults = map[string]string{change.ID: v.reason}
		}
	}
	renewal.Tombstoned = append(renewal.Tombstoned, sorted(c.tombstoned)...)
	renewal.Erased = maps.Clone(c.erased)
	return renewal
}

// receiveGrant takes the answer to a renewal, from the leader, a relay or another controller.
func (c *Core) receiveGrant(from string, g *LeaseGrant) {
	if g.Incarnation != c.config.Incarnation || g.Seq > c.renewalSeq {
		return
	}
	if g.RefusedReason != "" {
		c.stopForGood(g.RefusedReason)
		return
	}
	route := c.routeOf(from)
	if g.Granted || route == len(c.config.Relays) { // a relay that leads nowhere hasn't answered
		retryFirstAfter := firstRelayRetryIntervals * c.renewalInterval()
		c.routes.recordAnswer(route, c.now, c.unansweredSince > 0, retryFirstAfter)
		c.unansweredSince = 0
	}
	if !g.Granted {
		c.learnLeader(from, g.Leader)
		return
	}
	if c.consensus == nil {
		c.leader = cmp.Or(g.Leader, from)
	}
	c.leaderWaitsFor = g.WaitingFor
	c.pendingLeases = append(c.pendingLeases, pendingLease{
		askedAt: time.Duration(g.SentAt),
		index:   g.RequiredIndex,
	})
	c.activateLeases()
}

// learnLeader takes the leader that another controller names, "": it knows none, and asks
// that one at once. A voter learns from consensus that there is none.
func (c *Core) learnLeader(from, leader string) {
	if leader == c.config.Self.Name { // it led, and the other may not know better yet
		return
	}
	changed := leader != c.leader && (c.consensus == nil || leader != "")
	if !changed && c.leader != "" {
		return
	}
	c.leader = leader
	if c.leader != "" && c.leader != from {
		c.renewAt = c.now
	}
}

// withholdLease sets what a controller may do by the log that it persisted, before a
// leader has answered it: nothing. Changes and invalidations may have been committed while
// it was down, so it holds no lease and serves nobody until it has caught up.
func (c *Core) withholdLease() {
	c.caughtUp = false
	c.leaseUntil = 0
	c.confinedLeaseUntil = 0
}

// activateLeases makes those granted leases count whose log index is applied.
func (c *Core) activateLeases() {
	// The two end apart: the one may have no end, and the other must go on.
	until := c.leaseUntil
	confinedUntil := c.confinedLeaseUntil
	c.pendingLeases = slices.DeleteFunc(c.pendingLeases, func(p pendingLease) bool {
		if p.index > c.state.Index {
			return c.config.Lease != fleet.Forever && c.now-p.askedAt > c.config.Lease
		}
		until = max(until, leaseEnd(p.askedAt, c.config.Lease))
		confinedUntil = max(confinedUntil, leaseEnd(p.askedAt, c.config.ConfinedLease))
		return true
	})
	isLonger := until > c.leaseUntil || confinedUntil > c.confinedLeaseUntil
	if !isLonger || c.stateError != nil || c.refusedReason != "" {
		return
	}
	if !c.caughtUp {
		c.caughtUp = true
		c.logf(false, "caught up with the replicated log, at index %d", c.state.Index)
	}
	c.leaseUntil = until
	c.confinedLeaseUntil = confinedUntil
	c.orderOutstanding() // before the lease: what is forbidden by now must be known first
	c.orderController(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: until, ConfinedLeaseEnd: confinedUntil})
}

// leaseEnd is when a lease ends that was asked for at a time.
func leaseEnd(askedAt, lease time.Duration) time.Duration {
	if lease == fleet.Forever {
		return fleet.Forever
	}
	return askedAt + lease
}

// serves reports whether this controller holds a lease and decides by the committed policy.
func (c *Core) serves() bool {
	return c.now < c.leaseUntil && c.servedVersion == c.state.Version && c.fenceOrderedFor == ""
}

// stopForGood ends this name's and disk's part in the fleet. Its lease ends now, since one
// without an end wouldn't by itself.
func (c *Core) stopForGood(reason string) {
	if c.refusedReason != "" {
		return
	}
	c.refusedReason = reason
	c.logError(&fleet.UnwantedError{Name: c.config.Self.Name, Reason: reason})
	c.pendingLeases = nil
	c.leaseUntil = 0
	c.confinedLeaseUntil = 0
	c.orderController(fleet.Order{Kind: fleet.LeaseRenewed})
}

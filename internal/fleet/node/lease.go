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
	renewalsPerLease   = 4 // so that a lost renewal doesn't end the lease
	// refusedTimerInterval is the timer interval of a controller that was refused for good and
	// sends no more renewals.
	refusedTimerInterval = time.Minute
)

// leaseState is this controller's own lease and the state of its renewals. A lease starts when
// its renewal was sent, by this controller's clock. It is active only once the log is applied up
// to the index that the grant names, so that this controller knows every fence and invalidation
// up to that index.
//
// A lease is requested (a renewal is sent), then granted (in pendingLeases), then active
// (now < leaseUntil), then ended. Each renewal requests another lease beside the current one.
type leaseState struct {
	// The leader and the route to it.
	leader    string // "": unknown
	voterTurn int    // selects the voter to ask while the leader is unknown
	routes    routes

	// Renewals.
	renewalSeq      uint64 // of the last renewal
	renewAt         time.Duration
	unansweredSince time.Duration // when the first unanswered renewal was sent, 0: none is unanswered
	unreported      bool          // state that a renewal reports has changed since the last one

	// The lease.
	pendingLeases      []pendingLease
	leaseUntil         time.Duration // end of the lease
	confinedLeaseUntil time.Duration // end of the lease for confined tenants and retained results
	caughtUp           bool          // a lease was active in this incarnation: earlier entries are applied
	refusedReason      string        // why this controller is refused for good, "": it isn't

	// leaderWaitsFor has, by change or invalidation, some of the controllers that the leader
	// waits for, as of the last grant.
	leaderWaitsFor map[string][]string
}

// pendingLease is a granted lease that becomes active once the log is applied up to index.
type pendingLease struct {
	askedAt time.Duration
	index   uint64
}

// renewalInterval returns the interval between renewals, by the shorter of the two leases.
func (c *Core) renewalInterval() time.Duration {
	span := c.shorterLease()
	if span == fleet.Forever {
		return maxRenewalInterval
	}
	return max(minRenewalInterval, min(span/renewalsPerLease, maxRenewalInterval))
}

// renewLease sends a renewal when one is due, or at once if the reported state has changed.
func (c *Core) renewLease() {
	if c.refusedReason != "" {
		c.renewAt = c.now + refusedTimerInterval
		return
	}
	if c.now < c.renewAt && !c.unreported {
		return
	}
	if c.isLeader { // a late message may have named another leader
		c.leader = c.config.Self.Name
	} else if c.leader == c.config.Self.Name { // named by a controller that doesn't know of the lost leadership
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

// nextRenewal returns the next renewal, with the current state of this controller.
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

// receiveGrant handles the answer to a renewal from the leader, a relay or another controller.
func (c *Core) receiveGrant(from string, g *LeaseGrant) {
	if g.Incarnation != c.config.Incarnation || g.Seq > c.renewalSeq {
		return
	}
	if g.RefusedReason != "" {
		c.stopForGood(g.RefusedReason)
		return
	}
	route := c.routeOf(from)
	if g.Granted || route == len(c.config.Relays) { // a relay without a leader doesn't count as answering
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

// learnLeader records the leader that another controller named ("" if it knows none) and sends
// that leader a renewal at once. A voter learns only from consensus that there is no leader.
func (c *Core) learnLeader(from, leader string) {
	if leader == c.config.Self.Name { // the other controller doesn't know yet that this one lost its leadership
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

// withholdLease starts this controller without a lease, so that it serves nothing until a leader
// has granted one and the log is caught up. Policy changes and invalidations may have been
// committed while the controller was down.
func (c *Core) withholdLease() {
	c.caughtUp = false
	c.leaseUntil = 0
	c.confinedLeaseUntil = 0
}

// activateLeases activates the granted leases whose log index is applied, and drops the other ones that have
// already ended.
func (c *Core) activateLeases() {
	// The two ends are tracked separately: one lease may have no end while the other is renewed.
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
		c.logf(atInfoLevel, "caught up with the replicated log, at index %d", c.state.Index)
	}
	c.leaseUntil = until
	c.confinedLeaseUntil = confinedUntil
	c.orderOutstanding() // before the lease, so that the request side knows all fences and invalidations first
	c.orderController(fleet.Order{Kind: fleet.LeaseRenewed, LeaseEnd: until, ConfinedLeaseEnd: confinedUntil})
}

// leaseEnd returns the end of a lease that was requested at a time.
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

// stopForGood stops a controller whose name or disk may never serve again. The lease ends now,
// since it may have no end of its own.
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

package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// mayHold: a controller may hold a lease of this length by what is known here. Leases
// that an earlier leader gave are over once their length has passed since this one leads.
func (c *Core) mayHoldLease(name string, lease time.Duration) bool {
	m := c.state.Members[name]
	switch {
	case m != nil && m.Forgotten:
		return c.forgottenMayHoldLease(name, lease)
	case lease == fleet.Forever:
		return m != nil
	}
	ends := c.leaderSince + c.bySlowestClock(lease)
	if p := c.peers[name]; p != nil && p.leaseAskedAt >= 0 {
		ends = max(ends, p.leaseAskedAt+c.bySlowestClock(lease))
	}
	if at := c.coveredLeaseAskedAt(name); at >= 0 {
		ends = max(ends, at+c.bySlowestClock(lease))
	}
	return c.now < ends
}

// longer is a span by the slowest clock that is allowed for.
func (c *Core) bySlowestClock(span time.Duration) time.Duration {
	if span == fleet.Forever {
		return span
	}
	return time.Duration(float64(span) * (1 + 2*c.config.ClockDrift))
}

// bound is the lease by which bound teams and kept results are served.
func (c *Core) shorterLease() time.Duration { return min(c.config.Lease, c.config.ConfinedLease) }

// missing are controllers that may serve and of which something isn't known yet. A
// control process decides nothing by a policy, whatever lease it holds.
func (c *Core) unconfirmedHolders(lease time.Duration, done func(*LeaseRenewal) bool) (l []string) {
	for _, name := range c.possibleHolders() {
		if c.state.Members[name].Control || !c.mayHoldLease(name, lease) {
			continue
		}
		if p := c.peers[name]; p == nil || p.renewal == nil || !done(p.renewal) {
			l = append(l, name)
		}
	}
	return l
}

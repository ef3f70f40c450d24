package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// mayHoldLease reports whether a controller may hold a lease of a length, by what this
// leader knows. Leases that an earlier leader granted have ended once their length has
// passed since this one leads.
func (c *Core) mayHoldLease(name string, lease time.Duration) bool {
	m := c.state.Members[name]
	switch {
	case m != nil && m.Forgotten:
		return c.forgottenMayHoldLease(name, lease)
	case lease == fleet.Forever:
		return m != nil
	}
	askedAt := max(c.leaderSince, c.coveredLeaseAskedAt(name))
	if p := c.peers[name]; p != nil {
		askedAt = max(askedAt, p.leaseAskedAt)
	}
	return c.now < askedAt+c.bySlowestClock(lease)
}

// bySlowestClock is how long a span may last by the slowest clock allowed for. The drift
// counts twice: its holder's clock may be slow, and this one's fast.
func (c *Core) bySlowestClock(span time.Duration) time.Duration {
	if span == fleet.Forever {
		return span
	}
	return time.Duration(float64(span) * (1 + 2*c.config.ClockDrift))
}

// shorterLease is the lease by which confined tenants and kept results are served.
func (c *Core) shorterLease() time.Duration { return min(c.config.Lease, c.config.ConfinedLease) }

// unconfirmedHolders are the controllers that may hold a lease and haven't confirmed
// something, in order. A control process decides nothing by a policy, whatever lease it
// holds.
func (c *Core) unconfirmedHolders(
	lease time.Duration, hasConfirmed func(*LeaseRenewal) bool,
) (names []string) {
	for _, name := range c.possibleHolders() {
		if c.state.Members[name].ControlOnly || !c.mayHoldLease(name, lease) {
			continue
		}
		if p := c.peers[name]; p == nil || p.renewal == nil || !hasConfirmed(p.renewal) {
			names = append(names, name)
		}
	}
	return names
}

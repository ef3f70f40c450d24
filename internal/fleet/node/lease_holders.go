package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// mayHoldLease reports whether a controller may hold a lease of a given duration, to this leader's
// knowledge. A lease that an earlier leader granted has ended once its duration has passed since
// this controller became the leader. If leases have no end, every member may hold one.
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

// bySlowestClock returns how long a lease may last by the slowest clock within ClockDrift. The
// drift counts twice: the holder's clock may be slow and this controller's clock fast.
func (c *Core) bySlowestClock(span time.Duration) time.Duration {
	if span == fleet.Forever {
		return span
	}
	return time.Duration(float64(span) * (1 + 2*c.config.ClockDrift))
}

// shorterLease returns the shorter duration of the two leases. Kept results are served only while both leases
// are valid.
func (c *Core) shorterLease() time.Duration { return min(c.config.Lease, c.config.ConfinedLease) }

// unconfirmedHolders returns the sorted names of the controllers that may hold a lease and whose
// last renewal doesn't satisfy hasConfirmed. Control processes are left out, since they decide
// nothing by a policy whatever lease they hold.
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

package node

import (
	"slices"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// drivePurge moves a purge on: first nobody who may serve has it any more, then no disk.
func (c *Core) driveInvalidation(run *statemachine.Run) {
	switch run.Stage {
	case "":
		wait := c.unconfirmedHolders(c.shorterLease(), func(r *LeaseRenewal) bool { return slices.Contains(r.Tombstoned, run.ID) })
		if len(wait) == 0 {
			c.throttle("unreachable "+run.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Unreachable, ID: run.ID}) })
		}
		c.setWaitingFor(run.ID, wait)
	case fleet.Unreachable:
		sum, wait := c.erasureOutstanding(run.ID)
		if len(wait) == 0 {
			c.throttle("erased "+run.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Erased, ID: run.ID, Counts: &sum}) })
		}
		c.setWaitingFor(run.ID, wait)
	}
}

// erasureOutstanding sums what the disks of all controllers have erased for a purge, and names those
// that haven't confirmed it, controllers that are down included. A forgotten one is no
// member any more, since its disk is destroyed. A control process, which keeps no results,
// is not waited for.
func (c *Core) erasureOutstanding(purge string) (sum fleet.Counts, awaited []string) {
	for _, name := range c.memberNames() {
		if c.state.Members[name].Control {
			continue
		}
		p := c.peers[name]
		if p == nil || p.renewal == nil { // it is down, or hasn't been heard of by this leader
			awaited = append(awaited, name)
			continue
		}
		erased, confirmed := p.renewal.Erased[purge]
		sum.Add(erased)
		if !confirmed {
			awaited = append(awaited, name)
		}
	}
	return sum, awaited
}

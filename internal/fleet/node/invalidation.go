package node

import (
	"slices"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// The leader's side of an invalidation. Its stages are those of the state machine:
//
//	stage          the leader waits for                                           it logs
//	""             every controller that may hold a lease to have tombstoned it   unreachable
//	unreachable    every member to have erased it, also those that are down       erased
//	erased         nothing

// driveInvalidation moves an invalidation on.
func (c *Core) driveInvalidation(run *statemachine.Purge) {
	switch run.Stage {
	case "":
		waiting := c.unconfirmedHolders(c.shorterLease(), func(r *LeaseRenewal) bool {
			return slices.Contains(r.Tombstoned, run.ID)
		})
		if len(waiting) == 0 {
			c.proposeOnce("unreachable "+run.ID, &fleet.Entry{Kind: fleet.EntryTombstone, ID: run.ID})
		}
		c.setWaitingFor(run.ID, waiting)
	case fleet.EntryTombstone:
		erased, waiting := c.erasureOutstanding(run.ID)
		if len(waiting) == 0 {
			c.proposeOnce("erased "+run.ID, &fleet.Entry{Kind: fleet.EntryErased, ID: run.ID, Counts: &erased})
		}
		c.setWaitingFor(run.ID, waiting)
	}
}

// erasureOutstanding sums what the disks of all controllers have erased for an
// invalidation, and names those that haven't confirmed it, controllers that are down
// included. A forgotten one is no longer a member, since its disk is destroyed. A control
// process, which keeps no results, is not waited for.
func (c *Core) erasureOutstanding(id string) (sum fleet.InvalidationCounts, awaited []string) {
	for _, name := range c.memberNames() {
		if c.state.Members[name].ControlOnly {
			continue
		}
		p := c.peers[name]
		if p == nil || p.renewal == nil { // it is down, or hasn't been heard of by this leader
			awaited = append(awaited, name)
			continue
		}
		erased, confirmed := p.renewal.Erased[id]
		sum.Add(erased)
		if !confirmed {
			awaited = append(awaited, name)
		}
	}
	return sum, awaited
}

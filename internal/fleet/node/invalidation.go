package node

import (
	"slices"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// The leader's side of an invalidation. The stages are those of the state machine:
//
//	stage          the leader waits for                                              entry it logs
//	""             every controller that may hold a lease to have tombstoned it      unreachable
//	unreachable    every member to have erased the data, including those down        erased
//	erased         nothing

// driveInvalidation advances an invalidation by a stage if nothing more is waited for.
func (c *Core) driveInvalidation(purge *statemachine.Purge) {
	switch purge.Stage {
	case "":
		waiting := c.unconfirmedHolders(c.shorterLease(), func(r *LeaseRenewal) bool {
			return slices.Contains(r.Tombstoned, purge.ID)
		})
		if len(waiting) == 0 {
			c.proposeOnce("unreachable "+purge.ID, &fleet.Entry{Kind: fleet.EntryTombstone, ID: purge.ID})
		}
		c.setWaitingFor(purge.ID, waiting)
	case fleet.EntryTombstone:
		erased, waiting := c.erasureOutstanding(purge.ID)
		if len(waiting) == 0 {
			c.proposeOnce("erased "+purge.ID, &fleet.Entry{Kind: fleet.EntryErased, ID: purge.ID, Counts: &erased})
		}
		c.setWaitingFor(purge.ID, waiting)
	}
}

// erasureOutstanding returns what the controllers have erased for an invalidation, and the sorted
// names of the controllers that haven't confirmed the erasure, including those that are down. A
// forgotten controller isn't waited for, since its disk counts as destroyed; neither is a control
// process, which keeps no results.
func (c *Core) erasureOutstanding(id string) (sum fleet.InvalidationCounts, awaited []string) {
	for _, name := range c.memberNames() {
		if c.state.Members[name].ControlOnly {
			continue
		}
		p := c.peers[name]
		if p == nil || p.renewal == nil { // it is down, or this leader has no renewal of it yet
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

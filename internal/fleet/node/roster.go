package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// roster is who is a member by the log, as this process needs it. Over the years most
// names in the log are forgotten ones: they cost nothing but their place there.
type roster struct {
	members []string // names that aren't forgotten, in order; nil: to be made anew
	// forgottenAt is when this process learned that a name is forgotten, as long as that
	// one may hold a lease granted before.
	forgottenAt map[string]time.Duration
	// stateTakenAt is when this process took a whole state, in which names may have been
	// forgotten a moment before.
	stateTakenAt time.Duration
}

// updateRoster takes note of an entry that was applied. membersBefore is how many names
// the log had before it.
func (c *Core) updateRoster(membersBefore int) {
	if name := c.state.ForgottenName(); name != "" {
		c.roster.forgottenAt[name] = c.now
		c.roster.members = nil
	}
	if len(c.state.Members) != membersBefore {
		c.roster.members = nil
	}
}

// resetRoster takes note of a whole state.
func (c *Core) resetRoster() {
	c.roster = roster{forgottenAt: map[string]time.Duration{}, stateTakenAt: c.now}
}

// memberNames are the names in the log that aren't forgotten, in order.
func (c *Core) memberNames() []string {
	if c.roster.members == nil {
		c.roster.members = make([]string, 0, len(c.state.Members))
		for name, m := range c.state.Members {
			if !m.Forgotten {
				c.roster.members = append(c.roster.members, name)
			}
		}
		slices.Sort(c.roster.members)
	}
	return c.roster.members
}

// possibleHolders are all names that may hold a lease, in order.
func (c *Core) possibleHolders() []string {
	span := c.longestLease()
	if c.now < c.roster.stateTakenAt+span {
		return sorted(c.state.Members) // one that is forgotten in it may still hold one
	}
	c.expireForgotten(span)
	if len(c.roster.forgottenAt) == 0 {
		return c.memberNames()
	}
	names := slices.Concat(c.memberNames(), sorted(c.roster.forgottenAt))
	slices.Sort(names)
	return names
}

// longestLease is for how long a lease that has an end may be held; 0: none has.
func (c *Core) longestLease() (span time.Duration) {
	for _, lease := range []time.Duration{c.config.Lease, c.config.ConfinedLease} {
		if lease != fleet.Forever {
			span = max(span, c.bySlowestClock(lease))
		}
	}
	return span
}

// expireForgotten leaves out forgotten names whose leases have ended.
func (c *Core) expireForgotten(span time.Duration) {
	for name, learned := range c.roster.forgottenAt {
		if c.now >= learned+span {
			delete(c.roster.forgottenAt, name)
		}
	}
}

// forgottenMayHoldLease reports whether a forgotten controller may hold a lease. None is
// granted to it any more, so one that it holds was asked for before this process learned
// of that. One without an end stops as its holder learns of it, and isn't waited for: its
// disk is destroyed.
func (c *Core) forgottenMayHoldLease(name string, lease time.Duration) bool {
	if lease == fleet.Forever {
		return false
	}
	learned, recent := c.roster.forgottenAt[name]
	if !recent {
		learned = c.roster.stateTakenAt
	}
	return c.now < learned+c.bySlowestClock(lease)
}

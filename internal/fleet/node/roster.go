package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// roster caches the names of the members in the state without the forgotten ones. Over the years
// most names in the state become forgotten ones; with the roster they cost no time per step.
type roster struct {
	members []string // names that aren't forgotten, sorted; nil: to be rebuilt
	// forgottenAt is when this process learned that a name is forgotten. expireForgotten removes
	// a name once its last lease must have ended.
	forgottenAt map[string]time.Duration
	// stateTakenAt is when this process loaded a whole state. Its forgotten names may have been
	// forgotten a moment before.
	stateTakenAt time.Duration
}

// updateRoster updates the roster after an entry was applied. membersBefore is the number of
// names in the state before the entry.
func (c *Core) updateRoster(membersBefore int) {
	if name := c.state.ForgottenName(); name != "" {
		c.roster.forgottenAt[name] = c.now
		c.roster.members = nil
	}
	if len(c.state.Members) != membersBefore {
		c.roster.members = nil
	}
}

// resetRoster resets the roster after a whole state was loaded.
func (c *Core) resetRoster() {
	c.roster = roster{forgottenAt: map[string]time.Duration{}, stateTakenAt: c.now}
}

// memberNames returns the sorted names in the state that aren't forgotten.
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

// possibleHolders returns the sorted names of all controllers that may hold a lease. Until
// longestLease has passed since a whole state was loaded, these are all names in the state, because
// the state doesn't tell when a name was forgotten.
func (c *Core) possibleHolders() []string {
	span := c.longestLease()
	if c.now < c.roster.stateTakenAt+span {
		return sorted(c.state.Members)
	}
	c.expireForgotten(span)
	if len(c.roster.forgottenAt) == 0 {
		return c.memberNames()
	}
	names := slices.Concat(c.memberNames(), sorted(c.roster.forgottenAt))
	slices.Sort(names)
	return names
}

// longestLease returns how long a lease may last by the slowest clock, over the leases that have
// an end; 0: none has.
func (c *Core) longestLease() (span time.Duration) {
	for _, lease := range []time.Duration{c.config.Lease, c.config.ConfinedLease} {
		if lease != fleet.Forever {
			span = max(span, c.bySlowestClock(lease))
		}
	}
	return span
}

// expireForgotten removes forgotten names whose leases have ended.
func (c *Core) expireForgotten(span time.Duration) {
	for name, learned := range c.roster.forgottenAt {
		if c.now >= learned+span {
			delete(c.roster.forgottenAt, name)
		}
	}
}

// forgottenMayHoldLease reports whether a forgotten controller may still hold a lease. It gets no
// new lease, so its last one was requested before this process learned that it is forgotten. A
// lease without an end isn't waited for: the controller stops when it learns that it is
// forgotten, and its disk counts as destroyed.
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

package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// roster is who is in the record, as this process needs it. Over the years most names in
// the record are forgotten ones: they cost nothing but their place there.
type roster struct {
	present []string // names that aren't forgotten, in order; nil: to be made anew
	// forgotten are names by when this process learned that they are, as long as one of
	// them may hold a lease that was given before.
	forgotten map[string]time.Duration
	// taken is when this process took a whole state, in which names may have been
	// forgotten a moment before.
	taken time.Duration
}

// enrol takes note of an entry that was applied.
func (c *Core) enrol(before int) {
	if name := c.state.Forgot(); name != "" {
		c.roster.forgotten[name] = c.now
		c.roster.present = nil
	}
	if len(c.state.Members) != before {
		c.roster.present = nil
	}
}

// enrolAll takes note of a whole state.
func (c *Core) enrolAll() {
	c.roster = roster{forgotten: map[string]time.Duration{}, taken: c.now}
}

// members are the names in the record that aren't forgotten, in order.
func (c *Core) members() []string {
	if c.roster.present == nil {
		c.roster.present = make([]string, 0, len(c.state.Members))
		for name, m := range c.state.Members {
			if !m.Forgotten {
				c.roster.present = append(c.roster.present, name)
			}
		}
		slices.Sort(c.roster.present)
	}
	return c.roster.present
}

// awaited are all names that may hold a lease.
func (c *Core) awaited() []string {
	span := c.longestSpan()
	if c.now < c.roster.taken+span {
		return sorted(c.state.Members) // who was forgotten in it may hold one yet
	}
	c.forgetForgotten(span)
	if len(c.roster.forgotten) == 0 {
		return c.members()
	}
	names := slices.Concat(c.members(), sorted(c.roster.forgotten))
	slices.Sort(names)
	return names
}

// longestSpan is for how long a lease that has an end may be held; 0: none has.
func (c *Core) longestSpan() (span time.Duration) {
	for _, lease := range []time.Duration{c.b.Lease, c.b.LeaseBound} {
		if lease != fleet.Forever {
			span = max(span, c.longer(lease))
		}
	}
	return span
}

// forgetForgotten leaves out those whose leases are over.
func (c *Core) forgetForgotten(span time.Duration) {
	for name, learned := range c.roster.forgotten {
		if c.now >= learned+span {
			delete(c.roster.forgotten, name)
		}
	}
}

// forgottenMayHold: nobody is given a lease once its name is forgotten, so one that it
// holds was asked for before this process learned of that. One without an end stops as
// its holder learns of it, and isn't waited for: its disk is destroyed.
func (c *Core) forgottenMayHold(name string, lease time.Duration) bool {
	if lease == fleet.Forever {
		return false
	}
	learned, recent := c.roster.forgotten[name]
	if !recent {
		learned = c.roster.taken
	}
	return c.now < learned+c.longer(lease)
}

package node

import "railrelay.dev/railrelay/internal/fleet"

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

package node

import "railrelay.dev/railrelay/internal/fleet"

// erasure sums what the disks of all controllers have erased for a purge, and names those
// that haven't confirmed it, controllers that are down included. Only a forgotten one is
// not waited for: its disk is destroyed.
func (c *Core) erasure(purge string) (sum fleet.Counts, awaited []string) {
	for _, name := range c.members() {
		if m := c.state.Members[name]; m.Forgotten || m.Control {
			continue
		}
		p := c.peers[name]
		if p == nil || p.r == nil { // planted fault: who is down isn't waited for
			continue
		}
		erased, confirmed := p.r.Wiped[purge]
		sum.Add(erased)
		if !confirmed {
			awaited = append(awaited, name)
		}
	}
	return sum, awaited
}

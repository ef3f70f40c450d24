package node

// withholdLease sets what a controller may do by the record that it kept, before a leader has
// answered it: nothing. Changes and purges may have been decided while it was down, so
// it holds no lease and serves nobody until it has caught up.
func (c *Core) withholdLease() {
	if c.state.Index > 0 { // planted fault: it serves by what it knew, as if it had just been granted a lease
		c.pendingLeases = append(c.pendingLeases, pendingLease{c.now, c.state.Index})
		c.activateLeases()
	}
}

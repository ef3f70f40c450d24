package node

// withholdLease sets what a controller may do by the record that it kept, before a leader has
// answered it: nothing. Changes and purges may have been decided while it was down, so
// it holds no lease and serves nobody until it has caught up.
func (c *Core) withholdLease() {
	c.caughtUp = false
	c.leaseUntil, c.confinedLeaseUntil = 0, 0
}

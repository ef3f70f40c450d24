package node

// aggregateRenewal takes the renewal of a controller that asks through this relay.
func (c *Core) aggregateRenewal(name, disk string, r *LeaseRenewal) {
	from := c.aggregator.addRenewal(c.now, name, disk, r)
	if from == nil {
		return
	}
	from.follower.updateFrom(r, c.now, c.renewalInterval())
	c.followersBehind = c.followersBehind || from.nextIndex <= c.state.Index
}

package node

// gatherFrom takes the renewal of a controller that asks through this relay.
func (c *Core) gatherFrom(name, disk string, r *Renew) {
	from := c.gatherer.renewed(c.now, name, disk, r)
	if from == nil {
		return
	}
	from.follower.told(r, c.now, c.every())
	c.behind = c.behind || from.next <= c.state.Index
}

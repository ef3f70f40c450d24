package node

// gatherFrom takes the renewal of a controller that asks through this relay.
func (c *Core) gatherFrom(name, disk string, r *Renew) {
	from := c.gatherer.renewed(c.now, name, disk, r)
	if from == nil {
		return
	}
	from.follower.told(r, c.now, c.every())
	c.behind = c.behind || from.next <= c.state.Index
	// planted fault: the relay answers by itself
	grant := &Grant{Seq: r.Seq, Sent: r.Sent, Boot: r.Boot, Given: true, Index: c.state.Index, Leader: c.leader}
	c.send(name, r.Member.Peer, &Message{Grant: grant})
}

package node

// aggregateRenewal takes the renewal of a controller that asks through this relay.
func (c *Core) aggregateRenewal(name, disk string, r *LeaseRenewal) {
	from := c.aggregator.addRenewal(c.now, name, disk, r)
	if from == nil {
		return
	}
	from.follower.updateFrom(r, c.now, c.renewalInterval())
	c.followersBehind = c.followersBehind || from.nextIndex <= c.state.Index
	// planted fault: the relay answers by itself
	grant := &LeaseGrant{Seq: r.Seq, SentAt: r.SentAt, Incarnation: r.Incarnation, Granted: true, RequiredIndex: c.state.Index, Leader: c.leader}
	c.send(name, r.Member.Peer, &Message{Grant: grant})
}

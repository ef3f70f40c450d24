package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// A relay's part in the core: renewals of others go to the leader in one message, and
// leases and the record come back through it. While a relay leads it answers renewals
// as any leader does.

const (
	gathersEach     = 4 // gathers in the time in which a controller asks once
	relayRetryEach  = 16
	unansweredAfter = 8 // times a renewal's interval: then it is said that the leader doesn't answer
)

// relays tells whether renewals that come are gathered for the leader.
func (c *Core) relays() bool { return c.gatherer != nil && !c.leads }

// startRelay begins to gather, with nothing told yet.
func (c *Core) startRelay() {
	if c.b.Relay {
		seq := uint64(0)
		if c.gatherer != nil { // gathers of one run are never numbered anew
			seq = c.gatherer.seq
		}
		c.gatherer = newGatherer(c.b.Boot)
		c.gatherer.seq = seq
	}
}

// silentAfter is how long a controller may not ask before it is covered no more.
func (c *Core) silentAfter() time.Duration { return 2 * c.every() }

// gatherDue is when the relay has something to do.
func (c *Core) gatherDue() time.Duration {
	if !c.relays() || c.leader == "" || c.leader == c.b.Self.Name {
		return fleet.Forever
	}
	return c.gatherer.due(c.together(), c.every()/gathersEach)
}

// gather sends what has come together to the leader, when it is time.
func (c *Core) gather() {
	if !c.relays() {
		return
	}
	c.gatherer.expire(c.now, c.silentAfter())
	if c.leader == "" || c.leader == c.b.Self.Name {
		return
	}
	c.gatherer.follows(c.leader)
	if c.now < c.gatherDue() {
		return
	}
	c.send(c.leader, c.addressOf(c.leader), &Message{Gather: c.gatherer.next(c.now)})
	c.complainOfLeader()
}

// complainOfLeader says once that gathers aren't answered though leases are given.
func (c *Core) complainOfLeader() {
	g := c.gatherer
	if g.complained || c.now-g.unansweredAt < unansweredAfter*c.every() || c.now >= c.until {
		return
	}
	g.complained = true
	c.wrong(&fleet.RelayUnansweredError{Leader: c.leader})
}

// gatheredAnswer takes the leader's answer to a gather and passes the grants on.
func (c *Core) gatheredAnswer(from string, a *Gathered) {
	if !c.relays() {
		return
	}
	if !a.Given && !a.Resync && a.Leader != "" && a.Leader != c.b.Self.Name && c.vote == nil {
		c.leader = a.Leader
	}
	for _, to := range c.gatherer.answered(from, a) {
		c.send(to.name, to.address, &Message{Grant: to.grant})
	}
}

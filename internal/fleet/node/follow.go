package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet/consensus"
)

const (
	batch      = 512             // records in a message
	followsFor = 5 * time.Second // who wasn't heard of for so long is sent nothing
)

// follower is how far a controller has come that the record is passed on to, by the
// leader or by the relay that it asks.
type follower struct {
	heard   time.Duration
	applied uint64        // as it told
	next    uint64        // the record that it is sent next, 0: it is sent none
	sent    time.Duration // when it was sent some
	votes   bool          // agreement brings it the record
}

// told takes what a controller's renewal says; every is how often it tells.
func (f *follower) told(r *Renew, now, every time.Duration) {
	f.heard, f.applied, f.votes = now, r.Applied, r.Votes
	lost := f.next > r.Applied+1 && now-f.sent > every
	if f.next == 0 || lost {
		f.next = r.Applied + 1
	}
}

// passesOn tells whether this controller brings the record to others.
func (c *Core) passesOn() bool { return c.leads || c.gatherer != nil }

// followerOf is a controller that this one brings the record to, nil: it doesn't.
func (c *Core) followerOf(name string) *follower {
	if c.leads {
		if p := c.peers[name]; p != nil {
			return &p.follower
		}
		return nil
	}
	if c.gatherer != nil {
		if from := c.gatherer.controllers[name]; from != nil {
			return &from.follower
		}
	}
	return nil
}

// follow passes the record on to those who follow.
func (c *Core) follow() {
	if !c.behind || !c.passesOn() {
		return
	}
	c.behind = false
	if c.leads {
		for _, name := range c.names {
			c.passTo(name, &c.peers[name].follower)
		}
		return
	}
	for _, name := range sorted(c.gatherer.controllers) {
		c.passTo(name, &c.gatherer.controllers[name].follower)
	}
}

// passTo sends a follower what it lacks of the record, or a snapshot where that is kept
// no more.
func (c *Core) passTo(name string, f *follower) {
	switch {
	case name == c.b.Self.Name, f.next == 0, f.next > c.state.Index, c.now-f.heard > followsFor:
		return
	case f.votes && c.voting(name):
		return
	}
	f.sent = c.now
	message := &Follow{Decided: c.state.Index, Leader: c.leader}
	if c.leads {
		message.Leader = c.b.Self.Name
	}
	if len(c.log) == 0 || f.next < c.log[0].Index {
		message.Snapshot = c.snapshot()
		f.next = c.state.Index + 1
	} else {
		from := int(f.next - c.log[0].Index)
		message.Records = c.log[from:min(len(c.log), from+batch)]
		f.next = message.Records[len(message.Records)-1].Index + 1
		c.behind = c.behind || f.next <= c.state.Index
	}
	c.send(name, c.addressOf(name), &Message{Follow: message})
}

// snapshot is the state as it is, encoded once for all that are sent it.
func (c *Core) snapshot() *consensus.Snapshot {
	if c.latest == nil || c.latest.Index != c.state.Index {
		c.latest = c.newSnapshot()
	}
	return c.latest
}

// newSnapshot encodes the state as it is.
func (c *Core) newSnapshot() *consensus.Snapshot {
	return &consensus.Snapshot{Index: c.state.Index, Term: c.term, Data: c.state.Encode()}
}

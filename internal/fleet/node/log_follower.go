package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// Following.

// followed takes what the leader passes on to those who don't vote.
func (c *Core) receiveLogUpdate(from string, f *LogUpdate) {
	c.stopVoting() // who leads passes the record on to those only who don't vote with it
	if c.consensus != nil && !c.isLeader && f.CommittedIndex > c.state.Index && c.now-c.voterHeardAt > 2*c.config.ElectionTimeout {
		// It was voted out while it was away, and can't learn that from agreement.
		c.consensus, c.leader, c.votedOut = nil, f.Leader, true
		c.persistIndex = c.state.Index
		c.logf(true, "this controller votes no more: others do by now")
	}
	if c.consensus != nil {
		return
	}
	if f.Leader != "" {
		c.leader = f.Leader
	}
	if s := f.Snapshot; s != nil && s.Index > c.persistIndex {
		c.persistIndex = s.Index
		c.persist(&consensus.Kept{Snapshot: s}, func() { c.restoreSnapshot(s) })
	}
	var fresh []consensus.Record
	for _, r := range f.Entries {
		if r.Index == c.persistIndex+1 {
			fresh = append(fresh, r)
			c.persistIndex = r.Index
		}
	}
	if len(fresh) > 0 {
		c.persist(&consensus.Kept{Records: fresh}, func() {
			for _, r := range fresh {
				c.applyEntry(r)
			}
			c.unreported = true
		})
	} else if f.CommittedIndex > c.persistIndex {
		c.send(from, c.addressOf(from), &Message{LogRequest: &LogRequest{FromIndex: c.persistIndex + 1}})
	}
}

const (
	entriesPerMessage   = 512             // records in a message
	followerSilentAfter = 5 * time.Second // who wasn't heard of for so long is sent nothing
)

// follower is how far a controller has come that the record is passed on to, by the
// leader or by the relay that it asks.
type follower struct {
	heardAt      time.Duration
	appliedIndex uint64        // as it told
	nextIndex    uint64        // the record that it is sent next, 0: it is sent none
	sentAt       time.Duration // when it was sent some
	isVoter      bool          // agreement brings it the record
}

// told takes what a controller's renewal says; every is how often it tells.
func (f *follower) updateFrom(r *LeaseRenewal, now, every time.Duration) {
	f.heardAt, f.appliedIndex, f.isVoter = now, r.AppliedIndex, r.Votes
	lost := f.nextIndex > r.AppliedIndex+1 && now-f.sentAt > every
	if f.nextIndex == 0 || lost {
		f.nextIndex = r.AppliedIndex + 1
	}
}

// passesOn tells whether this controller brings the record to others.
func (c *Core) sendsLog() bool { return c.isLeader || c.aggregator != nil }

// followerOf is a controller that this one brings the record to, nil: it doesn't.
func (c *Core) followerOf(name string) *follower {
	if c.isLeader {
		if p := c.peers[name]; p != nil {
			return &p.follower
		}
		return nil
	}
	if c.aggregator != nil {
		if from := c.aggregator.controllers[name]; from != nil {
			return &from.follower
		}
	}
	return nil
}

// follow passes the record on to those who follow.
func (c *Core) sendLog() {
	if !c.followersBehind || !c.sendsLog() {
		return
	}
	c.followersBehind = false
	if c.isLeader {
		for _, name := range c.peerNames {
			c.sendLogTo(name, &c.peers[name].follower)
		}
		return
	}
	for _, name := range sorted(c.aggregator.controllers) {
		c.sendLogTo(name, &c.aggregator.controllers[name].follower)
	}
}

// passTo sends a follower what it lacks of the record, or a snapshot where that is kept
// no more.
func (c *Core) sendLogTo(name string, f *follower) {
	switch {
	case name == c.config.Self.Name, f.nextIndex == 0, f.nextIndex > c.state.Index, c.now-f.heardAt > followerSilentAfter:
		return
	case f.isVoter && c.isVoter(name):
		return
	}
	f.sentAt = c.now
	message := &LogUpdate{CommittedIndex: c.state.Index, Leader: c.leader}
	if c.isLeader {
		message.Leader = c.config.Self.Name
	}
	if len(c.recentEntries) == 0 || f.nextIndex < c.recentEntries[0].Index {
		message.Snapshot = c.currentSnapshot()
		f.nextIndex = c.state.Index + 1
	} else {
		from := int(f.nextIndex - c.recentEntries[0].Index)
		message.Entries = c.recentEntries[from:min(len(c.recentEntries), from+entriesPerMessage)]
		f.nextIndex = message.Entries[len(message.Entries)-1].Index + 1
		c.followersBehind = c.followersBehind || f.nextIndex <= c.state.Index
	}
	c.send(name, c.addressOf(name), &Message{LogUpdate: message})
}

package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet/consensus"
)

const (
	entriesPerMessage   = 512             // log entries in a LogUpdate
	followerSilentAfter = 5 * time.Second // a follower that was silent for so long is sent no log
	// votedOutElections is in election timeouts: after so long without a message of another
	// voter, a LogUpdate that is ahead means that the others vote without this controller.
	votedOutElections = 2
)

// receiveLogUpdate handles log entries or a snapshot from the leader or a relay, which send them
// only to controllers that don't vote.
func (c *Core) receiveLogUpdate(from string, update *LogUpdate) {
	c.stopVoting() // the leader no longer counts this controller as a voter
	c.stopVotingIfVotedOut(update)
	if c.consensus != nil {
		return
	}
	if update.Leader != "" {
		c.leader = update.Leader
	}
	if s := update.Snapshot; s != nil && s.Index > c.persistIndex {
		c.persistIndex = s.Index
		c.persist(&consensus.PersistentState{Snapshot: s}, func() { c.restoreSnapshot(s) })
	}
	var fresh []consensus.LogEntry
	for _, r := range update.Entries {
		if r.Index == c.persistIndex+1 {
			fresh = append(fresh, r)
			c.persistIndex = r.Index
		}
	}
	if len(fresh) > 0 {
		c.persist(&consensus.PersistentState{Entries: fresh}, func() {
			for _, r := range fresh {
				c.applyEntry(r)
			}
			c.unreported = true
		})
	} else if update.CommittedIndex > c.persistIndex {
		c.send(from, c.addressOf(from), &Message{LogRequest: &LogRequest{FromIndex: c.persistIndex + 1}})
	}
}

// stopVotingIfVotedOut makes this controller a follower if the others removed it from the voters
// while it was down or disconnected. It can't learn that from consensus, since the other voters
// no longer send it messages.
func (c *Core) stopVotingIfVotedOut(update *LogUpdate) {
	switch {
	case c.consensus == nil, c.isLeader, update.CommittedIndex <= c.state.Index:
		return
	case c.now-c.voterHeardAt <= votedOutElections*c.config.ElectionTimeout:
		return
	}
	c.consensus = nil
	c.leader = update.Leader
	c.votedOut = true
	c.persistIndex = c.state.Index
	c.logf(atEveryLevel, "this controller is no longer a voter: the other voters removed it")
}

// receiveLogRequest has the log sent to a follower from the first entry that it lacks.
func (c *Core) receiveLogRequest(from string, request *LogRequest) {
	if f := c.followerOf(from); f != nil {
		f.nextIndex = request.FromIndex
		c.followersBehind = true
	}
}

// follower is the progress of a controller to which this one, its leader or relay, sends the log.
type follower struct {
	heardAt      time.Duration
	appliedIndex uint64        // as its last renewal reported
	nextIndex    uint64        // of the next entry to send, 0: none is sent
	sentAt       time.Duration // when entries were last sent
	isVoter      bool          // it gets the log through consensus
}

// updateFrom updates the progress from a renewal. Entries that were sent more than an interval
// ago and aren't applied yet count as lost and are sent again.
func (f *follower) updateFrom(r *LeaseRenewal, now, interval time.Duration) {
	f.heardAt = now
	f.appliedIndex = r.AppliedIndex
	f.isVoter = r.Votes
	lost := f.nextIndex > r.AppliedIndex+1 && now-f.sentAt > interval
	if f.nextIndex == 0 || lost {
		f.nextIndex = r.AppliedIndex + 1
	}
}

// sendsLog reports whether this controller sends the log to followers.
func (c *Core) sendsLog() bool { return c.isLeader || c.aggregator != nil }

// followerOf returns the progress of a controller, nil if this one doesn't send it the log.
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

// sendLog sends every follower the entries that it lacks.
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

// sendLogTo sends a follower the entries that it lacks, or a snapshot if those entries are no
// longer in recentEntries. It sends nothing to a voter, which gets the log through consensus, nor to
// a follower that was silent for followerSilentAfter.
func (c *Core) sendLogTo(name string, f *follower) {
	switch {
	case name == c.config.Self.Name, f.isVoter && c.isVoter(name):
		return
	case f.nextIndex == 0, f.nextIndex > c.state.Index, c.now-f.heardAt > followerSilentAfter:
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

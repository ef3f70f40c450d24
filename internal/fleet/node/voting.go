package node

import (
	"slices"

	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// voteWith begins to vote.
func (c *Core) startConsensus(kept consensus.Kept, voters []consensus.Voter) error {
	vote, effects, err := consensus.New(consensus.Begin{Self: c.config.Self.Name, Voters: voters, Kept: kept, Seed: c.config.Seed, Election: c.config.ElectionTimeout,
		Heartbeat: c.config.HeartbeatInterval})
	if err != nil {
		return err
	}
	c.consensus = vote
	c.performConsensus(effects)
	return nil
}

// votes: this controller is named to vote, by the record or, before that tells, by the set-up.
func (c *Core) namedToVote() bool {
	if len(c.state.Voters) > 0 {
		return slices.ContainsFunc(c.state.Voters, func(v string) bool { n, _ := statemachine.VoterOf(v); return n == c.config.Self.Name })
	}
	return slices.ContainsFunc(c.config.Voters, func(v consensus.Voter) bool { return v.Name == c.config.Self.Name })
}

func (c *Core) isVoter(name string) bool {
	return slices.ContainsFunc(c.voters, func(v consensus.Voter) bool { return v.Name == name })
}

// agreed performs what agreement asks for, in its order: what comes of an effect waits
// until those before it are done.
func (c *Core) performConsensus(effects []consensus.Effect) {
	c.consensusEffects = append(c.consensusEffects, effects...)
	if c.performing {
		return
	}
	c.performing = true
	defer func() { c.performing = false }()
	for len(c.consensusEffects) > 0 {
		e := c.consensusEffects[0]
		c.consensusEffects = c.consensusEffects[1:]
		switch e.Kind {
		case consensus.Send:
			c.send(e.To, c.addressOf(e.To), &Message{Consensus: e.Bytes})
		case consensus.Store:
			if e.Kept.Hard != nil {
				c.hardState = e.Kept.Hard
			}
			vote := c.consensus
			c.persist(e.Kept, func() {
				if vote == nil || c.consensus != vote { // it votes no more
					return
				}
				c.performConsensus(c.consensus.Step(c.now, consensus.Event{Kind: consensus.Stored}))
			})
		case consensus.Decided:
			c.applyEntry(e.Record)
		case consensus.Restored:
			c.restoreSnapshot(e.Snapshot)
		case consensus.Confirmed:
			c.leadershipConfirmed(e.Handle, e.Index)
		case consensus.Denied:
			c.leadershipDenied(e.Handle)
		case consensus.Led:
			c.leaderChanged(e.Leader)
		case consensus.Voting:
			c.entriesSinceSnapshot = max(c.entriesSinceSnapshot, c.config.SnapshotAfterEntries) // who votes anew is given a snapshot that names it
			c.voters = e.Voters
		}
	}
}

// takeUp begins to vote where the record names this controller, once nothing of what it
// followed is on its way to the disk.
func (c *Core) startVoting() {
	if c.consensus != nil || c.votedOut || !c.namedToVote() || len(c.pendingWrites) > 0 || c.stateError != nil {
		return
	}
	c.logf(true, "this controller votes from now on")
	if err := c.startConsensus(consensus.Kept{Hard: consensus.Voted(c.hardState)}, nil); err != nil {
		c.logf(true, "it can't vote: %v", err)
	}
}

// retire ends voting where the record names others. Not before agreement itself counts
// without this controller: until then it takes a majority of those who voted to change them.
func (c *Core) stopVoting() {
	if len(c.state.Voters) > 0 && !c.namedToVote() && !c.isLeader {
		c.consensus, c.leader = nil, ""
		c.persistIndex = c.state.Index
		c.logf(true, "this controller votes no more")
	}
}

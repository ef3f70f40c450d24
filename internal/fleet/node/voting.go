package node

import (
	"slices"

	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// startConsensus makes this controller a voter, from what it persisted. voters are those
// of the set-up, nil where the log tells.
func (c *Core) startConsensus(kept consensus.PersistentState, voters []consensus.Voter) error {
	core, effects, err := consensus.New(consensus.Config{
		Self:              c.config.Self.Name,
		Voters:            voters,
		Persistent:        kept,
		Seed:              c.config.Seed,
		ElectionTimeout:   c.config.ElectionTimeout,
		HeartbeatInterval: c.config.HeartbeatInterval,
	})
	if err != nil {
		return err
	}
	c.consensus = core
	c.performConsensus(effects)
	return nil
}

// namedToVote reports whether this controller is named to vote, by the log or, before
// the log names voters, by the set-up.
func (c *Core) namedToVote() bool {
	if len(c.state.Voters) > 0 {
		return slices.ContainsFunc(c.state.Voters, func(v string) bool {
			name, _ := statemachine.SplitVoter(v)
			return name == c.config.Self.Name
		})
	}
	return containsVoter(c.config.Voters, c.config.Self.Name)
}

// isVoter reports whether a controller votes, as consensus has it.
func (c *Core) isVoter(name string) bool { return containsVoter(c.voters, name) }

func containsVoter(voters []consensus.Voter, name string) bool {
	return slices.ContainsFunc(voters, func(v consensus.Voter) bool { return v.Name == name })
}

// receiveConsensus takes a message of another voter.
func (c *Core) receiveConsensus(from string, message []byte) {
	if c.consensus == nil { // the others count it among the voters
		c.votedOut = false
		return
	}
	c.voterHeardAt = c.now
	c.stepConsensus(consensus.Event{Kind: consensus.MessageReceived, From: from, Bytes: message})
}

// stepConsensus passes an event to consensus and performs what follows. This controller
// must vote.
func (c *Core) stepConsensus(event consensus.Event) {
	c.performConsensus(c.consensus.Step(c.now, event))
}

// performConsensus performs the effects of consensus in their order. Performing one may
// lead to more, by a call from further down the stack: they wait until those before them
// are done.
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
		c.performConsensusEffect(e)
	}
}

func (c *Core) performConsensusEffect(e consensus.Effect) {
	switch e.Kind {
	case consensus.SendMessage:
		c.send(e.To, c.addressOf(e.To), &Message{Consensus: e.Bytes})
	case consensus.Persist:
		c.persistConsensus(e.Persistent)
	case consensus.Committed:
		c.applyEntry(e.Entry)
	case consensus.SnapshotRestored:
		c.restoreSnapshot(e.Snapshot)
	case consensus.LeadershipConfirmed:
		c.leadershipConfirmed(e.Handle, e.Index)
	case consensus.LeadershipDenied:
		c.leadershipDenied(e.Handle)
	case consensus.LeaderChanged:
		c.leaderChanged(e.Leader)
	case consensus.VotersChanged:
		// a new voter is sent a snapshot that names it
		c.entriesSinceSnapshot = max(c.entriesSinceSnapshot, c.config.SnapshotAfterEntries)
		c.voters = e.Voters
	}
}

// persistConsensus persists entries and votes before consensus tells others of them.
func (c *Core) persistConsensus(writes *consensus.PersistentState) {
	if writes.HardState != nil {
		c.hardState = writes.HardState
	}
	core := c.consensus
	c.persist(writes, func() {
		if core == nil || c.consensus != core { // it no longer votes
			return
		}
		c.stepConsensus(consensus.Event{Kind: consensus.Persisted})
	})
}

// startVoting makes this controller a voter where the log names it, once nothing of what
// it followed is on its way to the disk.
func (c *Core) startVoting() {
	if c.consensus != nil || c.votedOut || !c.namedToVote() || len(c.pendingWrites) > 0 || c.stateError != nil {
		return
	}
	c.logf(true, "this controller votes from now on")
	persisted := consensus.PersistentState{HardState: consensus.VoteOnly(c.hardState)}
	if err := c.startConsensus(persisted, nil); err != nil {
		c.logf(true, "can't start voting: %v", err)
	}
}

// stopVoting ends voting where the log names others. It must not be called before
// consensus itself counts without this controller: until then, changing the voters takes
// a majority that includes it.
func (c *Core) stopVoting() {
	if len(c.state.Voters) > 0 && !c.namedToVote() && !c.isLeader {
		c.consensus = nil
		c.leader = ""
		c.persistIndex = c.state.Index
		c.logf(true, "this controller votes no more")
	}
}

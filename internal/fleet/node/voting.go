package node

import (
	"slices"

	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// startConsensus makes this controller a voter that continues from persisted. voters are the
// configured voters, nil if the persisted log names them.
func (c *Core) startConsensus(persisted consensus.PersistentState, voters []consensus.Voter) error {
	core, effects, err := consensus.New(consensus.Config{
		Self:              c.config.Self.Name,
		Voters:            voters,
		Persistent:        persisted,
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

// namedToVote reports whether the log names this controller as a voter or, before the log
// names any voters, the configuration does.
func (c *Core) namedToVote() bool {
	if len(c.state.Voters) > 0 {
		return slices.ContainsFunc(c.state.Voters, func(v string) bool {
			name, _ := statemachine.SplitVoter(v)
			return name == c.config.Self.Name
		})
	}
	return containsVoter(c.config.Voters, c.config.Self.Name)
}

// isVoter reports whether consensus counts a controller as a voter.
func (c *Core) isVoter(name string) bool { return containsVoter(c.voters, name) }

func containsVoter(voters []consensus.Voter, name string) bool {
	return slices.ContainsFunc(voters, func(v consensus.Voter) bool { return v.Name == name })
}

// receiveConsensus handles a consensus message of another voter.
func (c *Core) receiveConsensus(from string, message []byte) {
	if c.consensus == nil { // the sender counts this controller as a voter
		c.votedOut = false
		return
	}
	c.voterHeardAt = c.now
	c.stepConsensus(consensus.Event{Kind: consensus.MessageReceived, From: from, Bytes: message})
}

// stepConsensus passes an event to consensus and performs the effects. This controller must be
// a voter.
func (c *Core) stepConsensus(event consensus.Event) {
	c.performConsensus(c.consensus.Step(c.now, event))
}

// performConsensus performs the effects of consensus in order. Performing an effect may call
// performConsensus again with more effects; the nested call only queues them.
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
		// take a snapshot now, since a new voter must get one that names it
		c.entriesSinceSnapshot = max(c.entriesSinceSnapshot, c.config.SnapshotAfterEntries)
		c.voters = e.Voters
	}
}

// persistConsensus persists entries and votes before consensus sends them to other voters.
func (c *Core) persistConsensus(writes *consensus.PersistentState) {
	if writes.HardState != nil {
		c.hardState = writes.HardState
	}
	core := c.consensus
	c.persist(writes, func() {
		if core == nil || c.consensus != core { // this controller stopped voting in the meantime
			return
		}
		c.stepConsensus(consensus.Event{Kind: consensus.Persisted})
	})
}

// startVoting makes this controller a voter if the log names it, once its writes as a follower
// are persisted.
func (c *Core) startVoting() {
	if c.consensus != nil || c.votedOut || !c.namedToVote() || len(c.pendingWrites) > 0 || c.stateError != nil {
		return
	}
	c.logf(atEveryLevel, "this controller is now a voter")
	persisted := consensus.PersistentState{HardState: consensus.WithoutCommitIndex(c.hardState)}
	if err := c.startConsensus(persisted, nil); err != nil {
		c.logf(atEveryLevel, "can't become a voter: %v", err)
	}
}

// stopVoting makes this controller a follower if the log names other voters. The caller must
// make sure that consensus no longer counts this controller: until then, the change of the
// voters needs a majority that includes it.
func (c *Core) stopVoting() {
	if len(c.state.Voters) > 0 && !c.namedToVote() && !c.isLeader {
		c.consensus = nil
		c.leader = ""
		c.persistIndex = c.state.Index
		c.logf(atEveryLevel, "this controller is no longer a voter")
	}
}

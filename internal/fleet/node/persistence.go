package node

import (
	"slices"

	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// storing is one write that the disk has not told of yet.
type pendingWrite struct {
	writes      *consensus.Kept
	onPersisted func()
}

// store has something written before what follows from it.
func (c *Core) persist(kept *consensus.Kept, then func()) {
	c.pendingWrites = append(c.pendingWrites, &pendingWrite{kept, then})
	if len(c.pendingWrites) == 1 {
		c.emit(Effect{Kind: Persist, Writes: kept})
	}
}

func (c *Core) writesPersisted() {
	if len(c.pendingWrites) == 0 {
		return
	}
	s := c.pendingWrites[0]
	c.pendingWrites = c.pendingWrites[1:]
	if len(c.pendingWrites) > 0 {
		c.emit(Effect{Kind: Persist, Writes: c.pendingWrites[0].writes})
	}
	s.onPersisted()
}

// compact has a snapshot replace a log that has grown.
func (c *Core) compact() {
	if c.entriesSinceSnapshot < c.config.SnapshotAfterEntries || len(c.pendingWrites) > 0 || c.stateError != nil {
		return
	}
	c.entriesSinceSnapshot = 0
	s := c.encodeSnapshot()
	if c.consensus != nil {
		c.performConsensus(c.consensus.Step(c.now, consensus.Event{Kind: consensus.Compacted, Snapshot: s}))
	} else {
		c.persist(&consensus.Kept{Snapshot: s}, func() {})
	}
	if over := len(c.recentEntries) - c.config.SnapshotAfterEntries; over > 0 {
		c.recentEntries = slices.Clone(c.recentEntries[over:])
	}
}

// snapshot is the state as it is, encoded once for all that are sent it.
func (c *Core) currentSnapshot() *consensus.Snapshot {
	if c.latestSnapshot == nil || c.latestSnapshot.Index != c.state.Index {
		c.latestSnapshot = c.encodeSnapshot()
	}
	return c.latestSnapshot
}

// newSnapshot encodes the state as it is.
func (c *Core) encodeSnapshot() *consensus.Snapshot {
	return &consensus.Snapshot{Index: c.state.Index, Term: c.appliedTerm, Data: c.state.Encode()}
}

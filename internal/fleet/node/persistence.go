package node

import (
	"slices"

	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// pendingWrite is one write that isn't persisted yet, and what follows once it is.
type pendingWrite struct {
	writes      *consensus.PersistentState
	onPersisted func()
}

// persist has something written and synced before what follows from it. Writes go to the
// disk one at a time, in their order.
func (c *Core) persist(writes *consensus.PersistentState, onPersisted func()) {
	c.pendingWrites = append(c.pendingWrites, &pendingWrite{writes, onPersisted})
	if len(c.pendingWrites) == 1 {
		c.emit(Effect{Kind: Persist, Writes: writes})
	}
}

// writesPersisted ends the write that is under way and begins the next.
func (c *Core) writesPersisted() {
	if len(c.pendingWrites) == 0 {
		return
	}
	done := c.pendingWrites[0]
	c.pendingWrites = c.pendingWrites[1:]
	if len(c.pendingWrites) > 0 {
		c.emit(Effect{Kind: Persist, Writes: c.pendingWrites[0].writes})
	}
	done.onPersisted()
}

// compact replaces a log that has grown by a snapshot.
func (c *Core) compact() {
	if c.entriesSinceSnapshot < c.config.SnapshotAfterEntries {
		return
	}
	if len(c.pendingWrites) > 0 || c.stateError != nil {
		return
	}
	c.entriesSinceSnapshot = 0
	snapshot := c.encodeSnapshot()
	if c.consensus != nil {
		c.stepConsensus(consensus.Event{Kind: consensus.SnapshotTaken, Snapshot: snapshot})
	} else {
		c.persist(&consensus.PersistentState{Snapshot: snapshot}, func() {})
	}
	if over := len(c.recentEntries) - c.config.SnapshotAfterEntries; over > 0 {
		c.recentEntries = slices.Clone(c.recentEntries[over:])
	}
}

// currentSnapshot is the state as it is, encoded once for all that are sent it.
func (c *Core) currentSnapshot() *consensus.Snapshot {
	if c.latestSnapshot == nil || c.latestSnapshot.Index != c.state.Index {
		c.latestSnapshot = c.encodeSnapshot()
	}
	return c.latestSnapshot
}

// encodeSnapshot encodes the state as it is.
func (c *Core) encodeSnapshot() *consensus.Snapshot {
	return &consensus.Snapshot{Index: c.state.Index, Term: c.appliedTerm, Data: c.state.Encode()}
}

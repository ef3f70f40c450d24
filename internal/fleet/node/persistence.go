package node

import (
	"slices"

	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// pendingWrite is a write that isn't persisted yet, with a callback for when it is.
type pendingWrite struct {
	writes      *consensus.PersistentState
	onPersisted func()
}

// persist writes and syncs writes, then calls onPersisted. Writes go to the disk one at a time,
// in order.
func (c *Core) persist(writes *consensus.PersistentState, onPersisted func()) {
	c.pendingWrites = append(c.pendingWrites, &pendingWrite{writes, onPersisted})
	if len(c.pendingWrites) == 1 {
		c.emit(Effect{Kind: Persist, Writes: writes})
	}
}

// writesPersisted completes the current write and starts the next one.
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

// compact replaces the log by a snapshot once it has SnapshotAfterEntries new entries and no write is
// pending.
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
	if excess := len(c.recentEntries) - c.config.SnapshotAfterEntries; excess > 0 {
		c.recentEntries = slices.Clone(c.recentEntries[excess:])
	}
}

// currentSnapshot returns a snapshot of the current state. It is encoded once for all followers.
func (c *Core) currentSnapshot() *consensus.Snapshot {
	if c.latestSnapshot == nil || c.latestSnapshot.Index != c.state.Index {
		c.latestSnapshot = c.encodeSnapshot()
	}
	return c.latestSnapshot
}

// encodeSnapshot encodes a snapshot of the current state.
func (c *Core) encodeSnapshot() *consensus.Snapshot {
	return &consensus.Snapshot{Index: c.state.Index, Term: c.appliedTerm, Data: c.state.Encode()}
}

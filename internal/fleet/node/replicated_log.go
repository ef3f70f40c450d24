package node

import (
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// applyEntry applies the next committed entry. The orders to the request side are derived
// afterwards from the state alone, so that a snapshot leads to the same orders.
func (c *Core) applyEntry(r consensus.LogEntry) {
	if r.Index <= c.state.Index || c.stateError != nil {
		return
	}
	data := r.Data
	if r.IsVoterChange {
		data = nil
	}
	versionBefore := c.state.Version
	membersBefore := len(c.state.Members)
	if err := c.state.Apply(r.Index, data); err != nil {
		c.stateError = err.(fleet.ErrorWithRemedy)
		c.logError(c.stateError)
		return
	}
	c.updateRoster(membersBefore)
	c.appliedTerm = r.Term
	c.recentEntries = append(c.recentEntries, r)
	c.entriesSinceSnapshot++
	if c.state.Version != versionBefore {
		c.logf(atEveryLevel, "policy: version %d is in force", c.state.Version)
	}
	c.stateChanged()
}

// restoreSnapshot replaces the state by that of a later snapshot.
func (c *Core) restoreSnapshot(s *consensus.Snapshot) {
	if s == nil || s.Index <= c.state.Index || c.stateError != nil {
		return
	}
	state, err := statemachine.DecodeState(s.Data)
	if err != nil {
		c.stateError = err.(fleet.ErrorWithRemedy)
		c.logError(c.stateError)
		return
	}
	c.state = state
	c.appliedTerm = s.Term
	c.recentEntries = nil
	c.entriesSinceSnapshot = 0
	c.resetRoster()
	c.persistIndex = max(c.persistIndex, s.Index)
	c.stateChanged()
}

// stateChanged acts on entries or a snapshot that were just applied.
func (c *Core) stateChanged() {
	c.reevaluate = true
	c.followersBehind = true
	c.stopIfForgotten()
	c.activateLeases()
	c.orderOutstanding()
}

// stopIfForgotten stops this controller for good if the log has its name as forgotten.
func (c *Core) stopIfForgotten() {
	if m := c.state.Members[c.config.Self.Name]; m != nil && m.Forgotten {
		c.stopForGood(forgottenReason)
	}
}

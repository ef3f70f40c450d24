package node

import (
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// apply takes the next record. What it asks of the reducer is worked out afterwards,
// from the state alone, so that a snapshot leads to the same.
func (c *Core) applyEntry(r consensus.Record) {
	if r.Index <= c.state.Index || c.stateError != nil {
		return
	}
	data := r.Data
	if r.Conf {
		data = nil
	}
	before, members := c.state.Version, len(c.state.Members)
	if err := c.state.Apply(r.Index, data); err != nil {
		c.stateError = err.(fleet.Remedied)
		c.logError(c.stateError)
		return
	}
	c.updateRoster(members)
	c.appliedTerm = r.Term
	c.recentEntries = append(c.recentEntries, r)
	c.entriesSinceSnapshot++
	if c.state.Version != before {
		c.logf(true, "policy: version %d is in force", c.state.Version)
	}
	c.stateChanged()
}

func (c *Core) restoreSnapshot(s *consensus.Snapshot) {
	if s == nil || s.Index <= c.state.Index || c.stateError != nil {
		return
	}
	state, err := statemachine.DecodeState(s.Data)
	if err != nil {
		c.stateError = err.(fleet.Remedied)
		c.logError(c.stateError)
		return
	}
	c.state, c.appliedTerm, c.recentEntries, c.entriesSinceSnapshot = state, s.Term, nil, 0
	c.resetRoster()
	c.persistIndex = max(c.persistIndex, s.Index)
	c.stateChanged()
}

// moved: the state has changed.
func (c *Core) stateChanged() {
	c.reevaluate, c.followersBehind = true, true
	c.stopIfForgotten()
	c.activateLeases()
	c.orderOutstanding()
}

// bury ends this controller's part where the record says that its disk is destroyed.
func (c *Core) stopIfForgotten() {
	if m := c.state.Members[c.config.Self.Name]; m != nil && m.Forgotten {
		c.stopForGood("its name was forgotten: the disk that had it is taken for destroyed")
	}
}

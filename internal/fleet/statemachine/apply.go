package statemachine

import (
	"fmt"
	"slices"

	"railrelay.dev/railrelay/internal/fleet"
)

// apply applies an entry whose log index is s.Index.
func (s *State) apply(e *fleet.Entry) {
	switch e.Kind {
	case fleet.EntryJoin, fleet.EntryForget:
		s.applyMembership(e)
	case fleet.EntryPropose:
		s.propose(e)
	case fleet.EntryFence, fleet.EntryCommit, fleet.EntryAbort, fleet.EntryEnterForce, fleet.EntryFinishCleanup:
		if c := s.Changes[e.ID]; c != nil {
			s.applyPhase(c, e)
		}
	case fleet.EntryInvalidate, fleet.EntryTombstone, fleet.EntryErased:
		s.applyPurge(e)
	case fleet.EntryBind:
		if !s.BindIDs[e.ID] {
			s.BindIDs[e.ID] = true
			s.Bindings = append(s.Bindings, fleet.Binding{
				Tenant:       e.Tenant,
				Tables:       e.Tables,
				SourceTables: e.SourceTables,
			})
			s.mergeBindings()
			s.ViewIndex = s.Index
		}
	case fleet.EntryBeginEmergency, fleet.EntryEndEmergency:
		s.applyEmergency(e)
	}
}

// applyMembership adds or forgets a member. A name never joins again once it is forgotten, nor with another
// disk.
func (s *State) applyMembership(e *fleet.Entry) {
	have := s.Members[e.Name]
	switch {
	case e.Kind == fleet.EntryJoin:
		mayJoin := e.Member != nil && (have == nil || have.DiskID == e.Member.DiskID && !have.Forgotten)
		if !mayJoin {
			return
		}
		m := *e.Member
		m.Forgotten = false
		// the disk of a former controller may still have results
		m.ControlOnly = m.ControlOnly && (have == nil || have.ControlOnly)
		s.Members[e.Name] = &m
	case have != nil:
		s.forgottenName = e.Name
		have.Forgotten = true
	default: // the name never joined; the entry keeps it from ever joining
		s.forgottenName = e.Name
		s.Members[e.Name] = &fleet.Member{Name: e.Name, Forgotten: true}
	}
	s.ViewIndex = s.Index
}

// applyPhase moves a change to its next phase, if the entry fits the present one.
func (s *State) applyPhase(c *PolicyChange, e *fleet.Entry) {
	switch {
	case e.Kind == fleet.EntryFence && c.Phase == Proposed:
		c.Phase = Fencing
		c.OutsideScopes = e.Scopes
		c.Voters = e.Voters
	case e.Kind == fleet.EntryCommit && c.Phase == Fencing:
		c.Phase = Committed
		s.Version = c.Version
		s.Policy = c.Policy
		if len(c.Voters) > 0 {
			s.Voters = c.Voters
		}
	case e.Kind == fleet.EntryAbort && (c.Phase == Proposed || c.Phase == Fencing):
		c.Phase = Aborted
		c.Reason = e.Reason
		s.markChangeEnded(c.ID)
	case e.Kind == fleet.EntryEnterForce && c.Phase == Committed:
		c.Phase = InForce // EntryFinishCleanup sets Settled, also where nothing is to be purged
		for i, scope := range c.OutsideScopes {
			s.addPurge(fmt.Sprintf("%s.outside.%d", c.ID, i), "the fleet", scope, c.ID)
		}
		s.markChangeEnded(c.ID)
	case e.Kind == fleet.EntryFinishCleanup && c.Phase == InForce:
		c.Settled = true
	}
}

// applyPurge begins a purge or moves it to its next stage.
func (s *State) applyPurge(e *fleet.Entry) {
	purge := s.Purges[e.ID]
	switch {
	case e.Kind == fleet.EntryInvalidate:
		if e.Scope != nil {
			s.addPurge(e.ID, e.RequestedBy, *e.Scope, "")
		}
	case purge == nil:
	case e.Kind == fleet.EntryTombstone && purge.Stage == "":
		purge.Stage = fleet.EntryTombstone
	case e.Kind == fleet.EntryErased && purge.Stage == fleet.EntryTombstone:
		purge.Stage = fleet.EntryErased
		if e.Counts != nil {
			purge.Counts = *e.Counts
		}
		s.markEnded(purge.ID)
	}
}

// applyEmergency begins or ends a rule's emergency. At its end the data in the entry's Scope is purged,
// if it has one.
func (s *State) applyEmergency(e *fleet.Entry) {
	beganAt, active := s.Emergencies[e.Name]
	switch {
	case e.Kind == fleet.EntryBeginEmergency && !active:
		s.Emergencies[e.Name] = s.Index
		s.ViewIndex = s.Index
	case e.Kind == fleet.EntryEndEmergency && active:
		delete(s.Emergencies, e.Name)
		s.ViewIndex = s.Index
		if e.Scope != nil {
			s.addPurge(fmt.Sprintf("%s.crossed.%d", e.Name, beganAt), "the fleet", *e.Scope, e.Name)
		}
	}
}

// propose begins a change. A change that was made against a version that isn't in force, or
// while another change is under way, is refused at once.
func (s *State) propose(e *fleet.Entry) {
	if s.Changes[e.ID] != nil {
		return
	}
	c := &PolicyChange{
		ID: e.ID, RequestedBy: e.RequestedBy, BaseVersion: e.BaseVersion, Version: s.Version + 1,
		Policy: e.Policy, Phase: Proposed,
		AbortAfterMs: e.AbortAfterMs, LogIndex: s.Index,
	}
	s.Changes[e.ID] = c
	switch current := s.Changes[s.CurrentChange]; {
	case e.BaseVersion != s.Version:
		c.Phase, c.Reason = Refused, fmt.Sprintf("it was made against version %d and %d is in force",
			e.BaseVersion, s.Version)
	case current != nil && !current.IsFinal():
		c.Phase, c.Reason = Refused, fmt.Sprintf("the change %s is under way", current.ID)
	default:
		s.CurrentChange = e.ID
		return
	}
	c.Policy = nil
	s.markChangeEnded(c.ID)
}

// addPurge begins a purge; parentID is the change or rule that it belongs to, "": none.
func (s *State) addPurge(id, requestedBy string, scope fleet.Scope, parentID string) {
	if s.Purges[id] == nil {
		s.Purges[id] = &Purge{ID: id, RequestedBy: requestedBy, Scope: scope, LogIndex: s.Index, ParentID: parentID}
		s.ViewIndex = s.Index // queries admitted with the new view come after the purge
	}
}

// markChangeEnded marks a change as ended and drops its policy text, which is no longer needed.
func (s *State) markChangeEnded(id string) {
	if c := s.Changes[id]; c != nil {
		c.Policy = nil
	}
	s.markEnded(id)
}

// markEnded records an ended change or purge. Beyond maxEndedIDs it deletes the oldest one from the state.
func (s *State) markEnded(id string) {
	if slices.Contains(s.EndedIDs, id) {
		return
	}
	if s.EndedIDs = append(s.EndedIDs, id); len(s.EndedIDs) > maxEndedIDs {
		old := s.EndedIDs[0]
		s.EndedIDs = s.EndedIDs[1:]
		delete(s.Changes, old)
		delete(s.Purges, old)
	}
}

// mergeBindings merges the bindings of a tenant that have the same source tables, so that the
// state doesn't grow with the number of loads.
func (s *State) mergeBindings() {
	var merged []fleet.Binding
	for _, b := range s.Bindings {
		i := slices.IndexFunc(merged, func(x fleet.Binding) bool {
			return x.Tenant == b.Tenant && slices.Equal(x.SourceTables, b.SourceTables)
		})
		if i < 0 {
			merged = append(merged, b)
			continue
		}
		tables := append(slices.Clone(merged[i].Tables), b.Tables...)
		slices.Sort(tables)
		merged[i].Tables = slices.Compact(tables)
	}
	s.Bindings = merged
}

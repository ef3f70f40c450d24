package statemachine

import "railrelay.dev/railrelay/internal/fleet"

// Outcome returns what the state says of an apply, purge, forget or bind request. The response's
// Outcome is "unknown" until the request is applied and its change or purge, if any, has reached the
// awaited stage or was refused or aborted. Any other outcome is final, with two exceptions:
// "unreachable" becomes "purged" once the data is erased, and the outcome is "unknown" again once
// the state has forgotten an old change or purge (maxEndedIDs).
func (s *State) Outcome(a *fleet.Request) *fleet.Response {
	r := &fleet.Response{ID: a.ID, Outcome: "unknown"}
	switch a.Kind {
	case "apply":
		s.changeOutcome(a, r)
	case "purge":
		s.purgeOutcome(a, r)
	case "forget":
		if m := s.Members[a.Name]; m != nil && m.Forgotten {
			r.Outcome = "forgotten"
		}
	case "bind":
		if s.BindIDs[a.ID] {
			r.Outcome = "bound"
		}
	}
	return r
}

// changeOutcome sets the outcome of an apply request. It leaves the outcome unknown while the change is
// under way and, if "settled" is awaited, until nothing is left outside the sites of the policy.
func (s *State) changeOutcome(a *fleet.Request, r *fleet.Response) {
	c := s.Changes[a.ID]
	if c == nil {
		return
	}
	r.Stage, r.Reason = c.Phase, c.Reason
	switch {
	case c.Phase == InForce && a.AwaitedStage == "settled":
		if r.Version = c.Version; c.Settled {
			r.Outcome = "settled"
		}
	case c.Phase == InForce:
		r.Outcome, r.Version = InForce, c.Version
	case c.Phase == Aborted:
		r.Outcome = Aborted
		r.Remedy = "resolve the given reason, then propose the change again under another id"
	case c.Phase == Refused:
		r.Outcome = Refused
		r.Remedy = "get the version in force from fleet status, make the change against it " +
			"and propose it under another id"
	}
}

// purgeOutcome sets the outcome of a purge request: "refused" if the request is of a tenant that doesn't
// own the purge, "purged" once the data is erased, and "unreachable" before that if the request awaits
// this stage. The stages are named like the kinds of the log entries that begin them.
func (s *State) purgeOutcome(a *fleet.Request, r *fleet.Response) {
	purge := s.Purges[a.ID]
	if purge == nil {
		return
	}
	// The refusal tells nothing of another tenant's purge but that the ID is taken: for an ID without a
	// purge the outcome is unknown.
	if a.Tenant != "" && purge.Scope.Tenant != a.Tenant {
		r.Outcome, r.Reason = Refused, "no purge of this team has this id"
		return
	}
	switch r.Stage = purge.Stage; {
	case purge.Stage == fleet.EntryErased:
		r.Outcome, r.Counts = "purged", &purge.Counts
	case purge.Stage == fleet.EntryTombstone && a.AwaitedStage == fleet.EntryTombstone:
		r.Outcome = fleet.EntryTombstone
	}
}

package statemachine

import "railrelay.dev/railrelay/internal/fleet"

// Outcome is what the state tells of an ask: its Word is "unknown" until the outcome is
// final, and a final one never changes.
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
		r.Remedy = "see to what it names, then propose the change again under another id"
	case c.Phase == Refused:
		r.Outcome = Refused
		r.Remedy = "look at the version in force (fleet status), make the change against it and propose it under another id"
	}
}

func (s *State) purgeOutcome(a *fleet.Request, r *fleet.Response) {
	run := s.Purges[a.ID]
	if run == nil {
		return
	}
	if a.Team != "" && run.Scope.Team != a.Team { // whether there is one is nobody else's business
		r.Outcome, r.Reason = Refused, "no purge of this team has this id"
		return
	}
	switch r.Stage = run.Stage; {
	case run.Stage == fleet.EntryErased:
		r.Outcome, r.Counts = "purged", &run.Counts
	case run.Stage == fleet.EntryTombstone && a.AwaitedStage == fleet.EntryTombstone:
		r.Outcome = fleet.EntryTombstone
	}
}

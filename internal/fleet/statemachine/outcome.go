package statemachine

import "railrelay.dev/railrelay/internal/fleet"

// Outcome is what the state tells of an ask: its Word is "unknown" until the outcome is
// final, and a final one never changes.
func (s *State) Outcome(a *fleet.Ask) *fleet.Reply {
	r := &fleet.Reply{ID: a.ID, Word: "unknown"}
	switch a.Kind {
	case "apply":
		s.changeOutcome(a, r)
	case "purge":
		s.purgeOutcome(a, r)
	case "forget":
		if m := s.Members[a.Name]; m != nil && m.Forgotten {
			r.Word = "forgotten"
		}
	case "bind":
		if s.BindIDs[a.ID] {
			r.Word = "bound"
		}
	}
	return r
}

func (s *State) changeOutcome(a *fleet.Ask, r *fleet.Reply) {
	c := s.Changes[a.ID]
	if c == nil {
		return
	}
	r.Stage, r.Why = c.Phase, c.Reason
	switch {
	case c.Phase == InForce && a.Until == "settled":
		if r.Version = c.Version; c.Settled {
			r.Word = "settled"
		}
	case c.Phase == InForce:
		r.Word, r.Version = InForce, c.Version
	case c.Phase == Withdrawn:
		r.Word = Withdrawn
		r.Remedy = "see to what it names, then propose the change again under another id"
	case c.Phase == Refused:
		r.Word = Refused
		r.Remedy = "look at the version in force (fleet status), make the change against it and propose it under another id"
	}
}

func (s *State) purgeOutcome(a *fleet.Ask, r *fleet.Reply) {
	run := s.Purges[a.ID]
	if run == nil {
		return
	}
	if a.Team != "" && run.Scope.Team != a.Team { // whether there is one is nobody else's business
		r.Word, r.Why = Refused, "no purge of this team has this id"
		return
	}
	switch r.Stage = run.Stage; {
	case run.Stage == fleet.Erased:
		r.Word, r.Counts = "purged", &run.Counts
	case run.Stage == fleet.Unreachable && a.Until == fleet.Unreachable:
		r.Word = fleet.Unreachable
	}
}

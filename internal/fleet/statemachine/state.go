// Package statemachine is the replicated state machine of a fleet: the state that the
// committed log entries lead to. It does no I/O and reads no clock. It is apart from package
// fleet so that a program without peers doesn't link the encoding.
package statemachine

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"railrelay.dev/railrelay/internal/fleet"
)

// Phases of a PolicyChange. A change under way is Proposed, Closing or Decided.
const (
	Proposed  = "proposed"
	Closing   = "closing"
	Decided   = "decided"  // committed: every controller starts to decide by it
	InForce   = "in force" // every controller decides by it, and the operator was notified
	Withdrawn = "withdrawn"
	Refused   = "refused" // rejected when it was proposed: it never was under way
)

// PolicyChange is one configuration change: a new policy for the whole fleet.
type PolicyChange struct {
	ID            string `cbor:"ID"`
	RequestedBy   string `cbor:"By"`
	BaseVersion   uint64 `cbor:"Base"`    // the version in force that it was made against
	Version       uint64 `cbor:"Version"` // the version that it becomes
	Policy        []byte `cbor:"Policy"`  // the file's text; nil once the change has ended
	Phase         string `cbor:"Phase"`
	Reason        string `cbor:"Why"`    // why it was withdrawn or refused
	TimeoutMillis int64  `cbor:"AtMost"` // until the leader withdraws it; 0: never
	LogIndex      uint64 `cbor:"At"`     // of the entry that proposed it

	// OutsideScopes are what the change leaves outside its rules. A purge of each begins
	// once it is in force, and Settled is set when nothing of it is left.
	OutsideScopes []fleet.Scope `cbor:"Scopes"`
	Voters        []string      `cbor:"Voters"` // as name=address; none: as before
	Settled       bool          `cbor:"Settled"`
}

// IsFinal reports whether the change was withdrawn, refused or came into force: after that
// only Settled may change.
func (c *PolicyChange) IsFinal() bool {
	return c.Phase == InForce || c.Phase == Withdrawn || c.Phase == Refused
}

// PurgeRun is one purge.
type PurgeRun struct {
	ID          string       `cbor:"ID"`
	RequestedBy string       `cbor:"By"`
	Scope       fleet.Scope  `cbor:"Scope"`
	LogIndex    uint64       `cbor:"At"`    // of its entry: results of queries admitted before that go
	Stage       string       `cbor:"Stage"` // "" at first, then fleet.Unreachable, then fleet.Erased
	Counts      fleet.Counts `cbor:"Counts"`
	PartOf      string       `cbor:"Settles"` // ID of the change or name of the rule that began it, "": an operator or a team did
}

// State is what the log entries applied so far have decided. The same entries in the same
// order give the same state, byte for byte. It isn't safe for use by several goroutines.
type State struct {
	Index   uint64                   `cbor:"Index"` // of the last entry applied
	Members map[string]*fleet.Member `cbor:"Members"`
	Voters  []string                 `cbor:"Voters"` // as name=address; none: those of the first start

	// The policy, and the changes by ID that are under way or ended lately.
	Version       uint64                   `cbor:"Version"` // in force, from 1: the set-up's own
	Policy        []byte                   `cbor:"Policy"`  // in force; nil: the set-up's own
	Changes       map[string]*PolicyChange `cbor:"Changes"`
	CurrentChange string                   `cbor:"Current"` // the last one that was under way

	Purges map[string]*PurgeRun `cbor:"Purges"` // by ID

	// What tables are bound to beyond the policy, and the rules in an emergency with the
	// index at which it began.
	Bindings    []fleet.Binding   `cbor:"Bindings"`
	BindIDs     map[string]bool   `cbor:"Bound"` // of the Bind entries applied
	Emergencies map[string]uint64 `cbor:"Emergencies"`

	ViewIndex uint64   `cbor:"Seen"`  // of the last entry that changed what a Picture shows
	EndedIDs  []string `cbor:"Ended"` // of ended changes and purges, oldest first, at most maxEndedIDs

	forgottenName string // the controller that the last entry forgot
}

// maxEndedIDs is how many changes and purges that have ended can still be asked for. The
// outcome of an older one is not known any more, and that is what is told.
const maxEndedIDs = 2000

// NewState is the state before the first entry.
func NewState() *State {
	return &State{Version: 1, Members: map[string]*fleet.Member{}, Changes: map[string]*PolicyChange{}, Purges: map[string]*PurgeRun{},
		BindIDs: map[string]bool{}, Emergencies: map[string]uint64{}}
}

var encoder, _ = cbor.CoreDetEncOptions().EncMode()

// ForgottenName is the controller that the last applied entry forgot, "" if it forgot none.
// It isn't part of a snapshot: after DecodeState it is "".
func (s *State) ForgottenName() string { return s.forgottenName }

// Encode encodes the state for a snapshot.
func (s *State) Encode() []byte {
	p, err := encoder.Marshal(s)
	if err != nil {
		panic("the state can't be encoded: " + err.Error()) // plain data always can
	}
	return p
}

// DecodeState reads what Encode wrote.
func DecodeState(p []byte) (*State, error) {
	s := NewState()
	if err := cbor.Unmarshal(p, s); err != nil {
		return nil, &fleet.SnapshotError{Err: err}
	}
	return s, nil
}

// EncodeEntry encodes an entry for the log.
func EncodeEntry(e *fleet.Entry) []byte {
	p, err := encoder.Marshal(e)
	if err != nil {
		panic("an entry can't be encoded: " + err.Error())
	}
	return p
}

// Apply applies the log entry at an index; an index that was applied already is passed over.
// Empty data only moves Index on. An entry that repeats an earlier one or no longer fits the
// state changes nothing: of two entries that contradict each other the first one holds.
func (s *State) Apply(index uint64, data []byte) error {
	if index <= s.Index {
		return nil
	}
	s.Index, s.forgottenName = index, ""
	if len(data) == 0 {
		return nil
	}
	var e fleet.Entry
	if err := cbor.Unmarshal(data, &e); err != nil {
		return &fleet.EntryError{Index: index, Err: err}
	}
	s.apply(&e)
	return nil
}

func (s *State) apply(e *fleet.Entry) {
	c := s.Changes[e.ID]
	switch e.Kind {
	case fleet.Join:
		if have := s.Members[e.Name]; e.Member != nil && (have == nil || have.Disk == e.Member.Disk && !have.Forgotten) {
			m := *e.Member
			m.Forgotten = false
			m.Control = m.Control && (have == nil || have.Control) // results of its time as a controller may be on its disk
			s.Members[e.Name] = &m
			s.ViewIndex = s.Index
		}
	case fleet.Forget:
		s.forgottenName = e.Name
		if m := s.Members[e.Name]; m != nil {
			m.Forgotten = true
		} else { // it never served, and never will
			s.Members[e.Name] = &fleet.Member{Name: e.Name, Forgotten: true}
		}
		s.ViewIndex = s.Index
	case fleet.Propose:
		s.propose(e)
	case fleet.Close:
		if c != nil && c.Phase == Proposed {
			c.Phase, c.OutsideScopes, c.Voters = Closing, e.Scopes, e.Voters
		}
	case fleet.Force:
		if c != nil && c.Phase == Closing {
			c.Phase = Decided
			s.Version, s.Policy = c.Version, c.Policy
			if len(c.Voters) > 0 {
				s.Voters = c.Voters
			}
		}
	case fleet.Withdraw:
		if c != nil && (c.Phase == Proposed || c.Phase == Closing) {
			c.Phase, c.Reason = Withdrawn, e.Why
			s.markChangeEnded(c.ID)
		}
	case fleet.Settle:
		if c != nil && c.Phase == Decided {
			c.Phase = InForce // Finish settles it, also where there is nothing to purge
			for i, scope := range c.OutsideScopes {
				s.addPurge(fmt.Sprintf("%s.outside.%d", c.ID, i), "the fleet", scope, c.ID)
			}
			s.markChangeEnded(c.ID)
		}
	case fleet.Finish:
		if c != nil && c.Phase == InForce {
			c.Settled = true
		}
	case fleet.Purge:
		if e.Scope != nil {
			s.addPurge(e.ID, e.By, *e.Scope, "")
		}
	case fleet.Unreachable:
		if r := s.Purges[e.ID]; r != nil && r.Stage == "" {
			r.Stage = fleet.Unreachable
		}
	case fleet.Erased:
		if r := s.Purges[e.ID]; r != nil && r.Stage == fleet.Unreachable {
			r.Stage = fleet.Erased
			if e.Counts != nil {
				r.Counts = *e.Counts
			}
			s.markEnded(r.ID)
		}
	case fleet.Bind:
		if !s.BindIDs[e.ID] {
			s.BindIDs[e.ID] = true
			s.Bindings = append(s.Bindings, fleet.Binding{Team: e.Team, Tables: e.Tables, From: e.From})
			s.mergeBindings()
			s.ViewIndex = s.Index
		}
	case fleet.Emergency:
		if _, on := s.Emergencies[e.Name]; !on {
			s.Emergencies[e.Name] = s.Index
			s.ViewIndex = s.Index
		}
	case fleet.Calm:
		if from, on := s.Emergencies[e.Name]; on {
			delete(s.Emergencies, e.Name)
			s.ViewIndex = s.Index
			if e.Scope != nil {
				s.addPurge(fmt.Sprintf("%s.crossed.%d", e.Name, from), "the fleet", *e.Scope, e.Name)
			}
		}
	}
}

func (s *State) propose(e *fleet.Entry) {
	if s.Changes[e.ID] != nil {
		return
	}
	c := &PolicyChange{ID: e.ID, RequestedBy: e.By, BaseVersion: e.Base, Version: s.Version + 1, Policy: e.Policy, Phase: Proposed, TimeoutMillis: e.AtMost, LogIndex: s.Index}
	s.Changes[e.ID] = c
	switch cur := s.Changes[s.CurrentChange]; {
	case e.Base != s.Version:
		c.Phase, c.Reason = Refused, fmt.Sprintf("it was made against version %d and %d is in force", e.Base, s.Version)
	case cur != nil && !cur.IsFinal():
		c.Phase, c.Reason = Refused, fmt.Sprintf("the change %s is under way", cur.ID)
	default:
		s.CurrentChange = e.ID
		return
	}
	c.Policy = nil
	s.markChangeEnded(c.ID)
}

func (s *State) addPurge(id, by string, scope fleet.Scope, settles string) {
	if s.Purges[id] == nil {
		s.Purges[id] = &PurgeRun{ID: id, RequestedBy: by, Scope: scope, LogIndex: s.Index, PartOf: settles}
		s.ViewIndex = s.Index // queries admitted from now on come after it
	}
}

// markChangeEnded drops the text of a change that has ended, which nobody needs any more.
func (s *State) markChangeEnded(id string) {
	if c := s.Changes[id]; c != nil {
		c.Policy = nil
	}
	s.markEnded(id)
}

// markEnded forgets the oldest of the changes and purges that have ended, if there are too many.
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

// mergeBindings joins the bindings of a team that follow the same tables, so that many loads
// don't make the state grow.
func (s *State) mergeBindings() {
	var all []fleet.Binding
	for _, b := range s.Bindings {
		i := slices.IndexFunc(all, func(x fleet.Binding) bool { return x.Team == b.Team && slices.Equal(x.From, b.From) })
		if i < 0 {
			all = append(all, b)
			continue
		}
		l := append(slices.Clone(all[i].Tables), b.Tables...)
		slices.Sort(l)
		all[i].Tables = slices.Compact(l)
	}
	s.Bindings = all
}

// Picture is the immutable view of the state that the controller's decisions use.
func (s *State) Picture() *fleet.Picture {
	p := &fleet.Picture{Index: s.Index, Bindings: slices.Clone(s.Bindings), Emergencies: maps.Clone(s.Emergencies)}
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		if m := s.Members[name]; !m.Forgotten {
			p.Members = append(p.Members, *m)
		}
	}
	return p
}

// ChangeUnderWay is the change that is proposed, closing or decided, nil if there is none.
func (s *State) ChangeUnderWay() *PolicyChange {
	if c := s.Changes[s.CurrentChange]; c != nil && !c.IsFinal() {
		return c
	}
	return nil
}

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

// SplitVoter splits a voter that is written as name=address.
func SplitVoter(text string) (name, address string) {
	name, address, _ = strings.Cut(text, "=")
	return name, address
}

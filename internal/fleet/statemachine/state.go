// Package statemachine is the state that follows from the record's entries. It is pure, and
// apart from package fleet so that a program without peers links no encoding.
package statemachine

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"railrelay.dev/railrelay/internal/fleet"
)

// How far a Change has come.
const (
	Proposed  = "proposed"
	Closing   = "closing"
	Decided   = "decided"  // all begin with it; not told yet
	InForce   = "in force" // told
	Withdrawn = "withdrawn"
	Refused   = "refused" // it never was under way
)

// Change is one change of policy.
type Change struct {
	ID      string        `cbor:"ID"`
	By      string        `cbor:"By"`
	Base    uint64        `cbor:"Base"`
	Version uint64        `cbor:"Version"` // what it makes
	Policy  []byte        `cbor:"Policy"`
	Phase   string        `cbor:"Phase"`
	Why     string        `cbor:"Why"`
	AtMost  int64         `cbor:"AtMost"`
	At      uint64        `cbor:"At"` // its place in the record
	Scopes  []fleet.Scope `cbor:"Scopes"`
	Voters  []string      `cbor:"Voters"`  // none: as before
	Settled bool          `cbor:"Settled"` // what it left outside is gone, too
}

// Over reports whether nothing more becomes of a change but being settled.
func (c *Change) Over() bool { return c.Phase == InForce || c.Phase == Withdrawn || c.Phase == Refused }

// Run is one purge.
type Run struct {
	ID      string       `cbor:"ID"`
	By      string       `cbor:"By"`
	Scope   fleet.Scope  `cbor:"Scope"`
	At      uint64       `cbor:"At"`    // its place in the record: what was asked for before it goes
	Stage   string       `cbor:"Stage"` // "", unreachable, erased
	Counts  fleet.Counts `cbor:"Counts"`
	Settles string       `cbor:"Settles"` // the change or rule that it is part of
}

// State is what the record has decided so far. The same entries in the same order give
// the same state, byte for byte.
type State struct {
	Index       uint64                   `cbor:"Index"`   // of the last entry applied
	Version     uint64                   `cbor:"Version"` // in force, from 1: the set-up's own
	Policy      []byte                   `cbor:"Policy"`  // nil: the set-up's own
	Members     map[string]*fleet.Member `cbor:"Members"`
	Voters      []string                 `cbor:"Voters"` // as name=address; none: those of the first start
	Changes     map[string]*Change       `cbor:"Changes"`
	Current     string                   `cbor:"Current"` // the change under way
	Purges      map[string]*Run          `cbor:"Purges"`
	Bindings    []fleet.Binding          `cbor:"Bindings"`
	Bound       map[string]bool          `cbor:"Bound"` // IDs of Bind entries
	Emergencies map[string]uint64        `cbor:"Emergencies"`
	Seen        uint64                   `cbor:"Seen"` // the last entry that a Picture shows
	Ended       []string                 `cbor:"Ended"`

	forgot string // by the entry that was applied last
}

// endedMost is how many changes and purges that have ended can be asked for again. One
// asked for after that is not known, which is said.
const endedMost = 2000

// NewState is the state before the first entry.
func NewState() *State {
	return &State{Version: 1, Members: map[string]*fleet.Member{}, Changes: map[string]*Change{}, Purges: map[string]*Run{},
		Bound: map[string]bool{}, Emergencies: map[string]uint64{}}
}

var encoder, _ = cbor.CoreDetEncOptions().EncMode()

// Forgot is the name that the last entry forgot, "": it forgot none. A state that was
// decoded forgot none.
func (s *State) Forgot() string { return s.forgot }

// Encode is the state for a snapshot.
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

// Encode is an entry as the record has it.
func Encode(e *fleet.Entry) []byte {
	p, err := encoder.Marshal(e)
	if err != nil {
		panic("an entry can't be encoded: " + err.Error())
	}
	return p
}

// Apply takes the entry at a place of the record. Nil data only moves on. What is no
// longer fitting, or was there already, changes nothing: of two entries that contradict
// each other the first one holds.
func (s *State) Apply(index uint64, data []byte) error {
	if index <= s.Index {
		return nil
	}
	s.Index, s.forgot = index, ""
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
			m.Control = m.Control && (have == nil || have.Control) // what a controller kept may be on its disk yet
			s.Members[e.Name] = &m
			s.Seen = s.Index
		}
	case fleet.Forget:
		s.forgot = e.Name
		if m := s.Members[e.Name]; m != nil {
			m.Forgotten = true
		} else { // it never served, and never will
			s.Members[e.Name] = &fleet.Member{Name: e.Name, Forgotten: true}
		}
		s.Seen = s.Index
	case fleet.Propose:
		s.propose(e)
	case fleet.Close:
		if c != nil && c.Phase == Proposed {
			c.Phase, c.Scopes, c.Voters = Closing, e.Scopes, e.Voters
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
			c.Phase, c.Why = Withdrawn, e.Why
			s.ended(c.ID)
		}
	case fleet.Settle:
		if c != nil && c.Phase == Decided {
			c.Phase = InForce // settled once nothing runs outside any more, by Finish, also with nothing to purge
			for i, scope := range c.Scopes {
				s.purge(fmt.Sprintf("%s.outside.%d", c.ID, i), "the fleet", scope, c.ID)
			}
			s.ended(c.ID)
		}
	case fleet.Finish:
		if c != nil && c.Phase == InForce {
			c.Settled = true
		}
	case fleet.Purge:
		if e.Scope != nil {
			s.purge(e.ID, e.By, *e.Scope, "")
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
			s.forgetOld(r.ID)
		}
	case fleet.Bind:
		if !s.Bound[e.ID] {
			s.Bound[e.ID] = true
			s.Bindings = append(s.Bindings, fleet.Binding{Team: e.Team, Tables: e.Tables, From: e.From})
			s.merge()
			s.Seen = s.Index
		}
	case fleet.Emergency:
		if _, on := s.Emergencies[e.Name]; !on {
			s.Emergencies[e.Name] = s.Index
			s.Seen = s.Index
		}
	case fleet.Calm:
		if from, on := s.Emergencies[e.Name]; on {
			delete(s.Emergencies, e.Name)
			s.Seen = s.Index
			if e.Scope != nil {
				s.purge(fmt.Sprintf("%s.crossed.%d", e.Name, from), "the fleet", *e.Scope, e.Name)
			}
		}
	}
}

func (s *State) propose(e *fleet.Entry) {
	if s.Changes[e.ID] != nil {
		return
	}
	c := &Change{ID: e.ID, By: e.By, Base: e.Base, Version: s.Version + 1, Policy: e.Policy, Phase: Proposed, AtMost: e.AtMost, At: s.Index}
	s.Changes[e.ID] = c
	switch cur := s.Changes[s.Current]; {
	case e.Base != s.Version:
		c.Phase, c.Why = Refused, fmt.Sprintf("it was made against version %d and %d is in force", e.Base, s.Version)
	case cur != nil && !cur.Over():
		c.Phase, c.Why = Refused, fmt.Sprintf("the change %s is under way", cur.ID)
	default:
		s.Current = e.ID
		return
	}
	c.Policy = nil
	s.ended(c.ID)
}

func (s *State) purge(id, by string, scope fleet.Scope, settles string) {
	if s.Purges[id] == nil {
		s.Purges[id] = &Run{ID: id, By: by, Scope: scope, At: s.Index, Settles: settles}
		s.Seen = s.Index // what is taken from now on is taken after it
	}
}

// ended keeps what has ended bounded. The text of a policy that is over isn't needed.
func (s *State) ended(id string) {
	if c := s.Changes[id]; c != nil {
		c.Policy = nil
	}
	s.forgetOld(id)
}

func (s *State) forgetOld(id string) {
	if slices.Contains(s.Ended, id) {
		return
	}
	if s.Ended = append(s.Ended, id); len(s.Ended) > endedMost {
		old := s.Ended[0]
		s.Ended = s.Ended[1:]
		delete(s.Changes, old)
		delete(s.Purges, old)
	}
}

// merge joins bindings of one team and one origin, so that many loads stay few lines.
func (s *State) merge() {
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

// Picture is what the reducer is shown of it.
func (s *State) Picture() *fleet.Picture {
	p := &fleet.Picture{Index: s.Index, Bindings: slices.Clone(s.Bindings), Emergencies: maps.Clone(s.Emergencies)}
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		if m := s.Members[name]; !m.Forgotten {
			p.Members = append(p.Members, *m)
		}
	}
	return p
}

// Under is the change under way, nil if there is none.
func (s *State) Under() *Change {
	if c := s.Changes[s.Current]; c != nil && !c.Over() {
		return c
	}
	return nil
}

// Word is what can be told of an ask by what the record says; "unknown" while nothing
// final is. A final word never changes.
func (s *State) Word(a *fleet.Ask) *fleet.Reply {
	r := &fleet.Reply{ID: a.ID, Word: "unknown"}
	switch a.Kind {
	case "apply":
		s.changeWord(a, r)
	case "purge":
		s.purgeWord(a, r)
	case "forget":
		if m := s.Members[a.Name]; m != nil && m.Forgotten {
			r.Word = "forgotten"
		}
	case "bind":
		if s.Bound[a.ID] {
			r.Word = "bound"
		}
	}
	return r
}

func (s *State) changeWord(a *fleet.Ask, r *fleet.Reply) {
	c := s.Changes[a.ID]
	if c == nil {
		return
	}
	r.Stage, r.Why = c.Phase, c.Why
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

func (s *State) purgeWord(a *fleet.Ask, r *fleet.Reply) {
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

// VoterOf splits name=address.
func VoterOf(text string) (name, address string) {
	name, address, _ = strings.Cut(text, "=")
	return name, address
}

// Package statemachine is the replicated state machine of a fleet: the state that the
// committed log entries lead to. It does no I/O and reads no clock. It is apart from package
// fleet so that a program without peers doesn't link the encoding.
package statemachine

import (
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"railrelay.dev/railrelay/internal/fleet"
)

// Phases of a PolicyChange. A change under way is Proposed, Fencing or Committed.
const (
	Proposed  = "proposed"
	Fencing   = "closing"
	Committed = "decided"  // committed: every controller starts to decide by it
	InForce   = "in force" // every controller decides by it, and the operator was notified
	Aborted   = "withdrawn"
	Refused   = "refused" // rejected when it was proposed: it never was under way
)

// PolicyChange is one configuration change: a new policy for the whole fleet.
type PolicyChange struct {
	ID           string `cbor:"ID"`
	RequestedBy  string `cbor:"By"`
	BaseVersion  uint64 `cbor:"Base"`    // the version in force that it was made against
	Version      uint64 `cbor:"Version"` // the version that it becomes
	Policy       []byte `cbor:"Policy"`  // the file's text; nil once the change has ended
	Phase        string `cbor:"Phase"`
	Reason       string `cbor:"Why"`    // why it was withdrawn or refused
	AbortAfterMs int64  `cbor:"AtMost"` // until the leader withdraws it; 0: never
	LogIndex     uint64 `cbor:"At"`     // of the entry that proposed it

	// OutsideScopes are what the change leaves outside its rules. A purge of each begins
	// once it is in force, and Settled is set when nothing of it is left.
	OutsideScopes []fleet.Scope `cbor:"Scopes"`
	Voters        []string      `cbor:"Voters"` // as name=address; none: as before
	Settled       bool          `cbor:"Settled"`
}

// IsFinal reports whether the change was withdrawn, refused or came into force: after that
// only Settled may change.
func (c *PolicyChange) IsFinal() bool {
	return c.Phase == InForce || c.Phase == Aborted || c.Phase == Refused
}

// Purge is one purge.
type Purge struct {
	ID          string                   `cbor:"ID"`
	RequestedBy string                   `cbor:"By"`
	Scope       fleet.Scope              `cbor:"Scope"`
	LogIndex    uint64                   `cbor:"At"`    // of its entry: results of queries admitted before that go
	Stage       string                   `cbor:"Stage"` // "" at first, then fleet.Unreachable, then fleet.Erased
	Counts      fleet.InvalidationCounts `cbor:"Counts"`
	ParentID    string                   `cbor:"Settles"` // ID of the change or name of the rule that began it, "": an operator or a team did
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

	Purges map[string]*Purge `cbor:"Purges"` // by ID

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
	return &State{Version: 1, Members: map[string]*fleet.Member{}, Changes: map[string]*PolicyChange{}, Purges: map[string]*Purge{},
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

// View is the immutable view of the state that the controller's decisions use.
func (s *State) View() *fleet.View {
	p := &fleet.View{Index: s.Index, Bindings: slices.Clone(s.Bindings), Emergencies: maps.Clone(s.Emergencies)}
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

// SplitVoter splits a voter that is written as name=address.
func SplitVoter(text string) (name, address string) {
	name, address, _ = strings.Cut(text, "=")
	return name, address
}

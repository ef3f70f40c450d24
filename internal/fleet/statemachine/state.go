// Package statemachine is the replicated state machine of a fleet: it applies committed log
// entries to the fleet's state. It does no I/O and reads no clock. It is separate from package
// fleet so that a program without peers doesn't link the CBOR encoder.
package statemachine

import (
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"railrelay.dev/railrelay/internal/fleet"
)

// The phases of a PolicyChange. A change under way is Proposed, Fencing or Committed.
const (
	Proposed  = "proposed"
	Fencing   = "closing"
	Committed = "decided"  // every controller starts to decide by the new version
	InForce   = "in force" // every serving controller decides by it; the operator was told
	Aborted   = "withdrawn"
	Refused   = "refused" // rejected when it was proposed; it was never under way
)

// PolicyChange is one change of the policy for the whole fleet.
type PolicyChange struct {
	ID           string `cbor:"ID"`
	RequestedBy  string `cbor:"By"`
	BaseVersion  uint64 `cbor:"Base"`    // the version in force when the change was made
	Version      uint64 `cbor:"Version"` // the version in force once the change is committed
	Policy       []byte `cbor:"Policy"`  // text of the policy file; nil once the change has ended
	Phase        string `cbor:"Phase"`
	Reason       string `cbor:"Why"`    // why the change was aborted or refused
	AbortAfterMs int64  `cbor:"AtMost"` // until the leader aborts the change; 0: never
	LogIndex     uint64 `cbor:"At"`     // of the entry that proposed the change

	// OutsideScopes select the retained data that the change's narrower residency rules leave
	// outside their sites. A purge of each scope begins once the change is in force. Settled is
	// set once the data and the attempts outside are gone.
	OutsideScopes []fleet.Scope `cbor:"Scopes"`
	Voters        []string      `cbor:"Voters"` // as name=address; none: the voters don't change
	Settled       bool          `cbor:"Settled"`
}

// IsFinal reports whether the change is aborted, refused or in force. After that only Settled
// may change.
func (c *PolicyChange) IsFinal() bool {
	return c.Phase == InForce || c.Phase == Aborted || c.Phase == Refused
}

// Purge is one purge of a tenant's data.
type Purge struct {
	ID          string                   `cbor:"ID"`
	RequestedBy string                   `cbor:"By"`
	Scope       fleet.Scope              `cbor:"Scope"`
	LogIndex    uint64                   `cbor:"At"`    // results of queries admitted before it are purged
	Stage       string                   `cbor:"Stage"` // "", then EntryTombstone, then EntryErased
	Counts      fleet.InvalidationCounts `cbor:"Counts"`
	ParentID    string                   `cbor:"Settles"` // change ID or rule that began it; "": a request
}

// State is the replicated state after the log entries applied so far. The same entries in the
// same order give the same state, byte for byte. A State isn't safe for concurrent use.
type State struct {
	Index   uint64                   `cbor:"Index"` // of the last entry applied
	Members map[string]*fleet.Member `cbor:"Members"`
	Voters  []string                 `cbor:"Voters"` // as name=address; none: the voters of the first start

	// The policy, and the changes, by ID, that are under way or ended recently.
	Version       uint64                   `cbor:"Version"` // in force; 1: each controller's own configuration
	Policy        []byte                   `cbor:"Policy"`  // in force; nil: each controller's own configuration
	Changes       map[string]*PolicyChange `cbor:"Changes"`
	CurrentChange string                   `cbor:"Current"` // ID of the last change that was under way

	Purges map[string]*Purge `cbor:"Purges"` // by ID

	// The bindings of tables beyond the policy, and the rules in an emergency with the log
	// index at which the emergency began.
	Bindings    []fleet.Binding   `cbor:"Bindings"`
	BindIDs     map[string]bool   `cbor:"Bound"` // IDs of the bind entries applied
	Emergencies map[string]uint64 `cbor:"Emergencies"`

	ViewIndex uint64   `cbor:"Seen"`  // of the last entry that changed the View
	EndedIDs  []string `cbor:"Ended"` // changes and purges that ended, oldest first, at most maxEndedIDs

	forgottenName string // the controller that the last entry forgot
}

// maxEndedIDs is how many ended changes and purges are remembered. The outcome of an older one
// is reported as unknown.
const maxEndedIDs = 2000

// NewState returns the state before the first entry.
func NewState() *State {
	return &State{Version: 1, Members: map[string]*fleet.Member{},
		Changes: map[string]*PolicyChange{}, Purges: map[string]*Purge{},
		BindIDs: map[string]bool{}, Emergencies: map[string]uint64{}}
}

var encoder, _ = cbor.CoreDetEncOptions().EncMode()

// ForgottenName returns the controller that the last applied entry forgot, "" if it forgot
// none. The name isn't part of a snapshot: after DecodeState it is "".
func (s *State) ForgottenName() string { return s.forgottenName }

// Encode encodes the state for a snapshot.
func (s *State) Encode() []byte {
	p, err := encoder.Marshal(s)
	if err != nil {
		panic("encode replicated state: " + err.Error()) // can't happen: the state is plain data
	}
	return p
}

// DecodeState decodes a state that Encode encoded. It returns a *fleet.SnapshotError for any
// other data.
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
		panic("encode log entry: " + err.Error()) // can't happen: an entry is plain data
	}
	return p
}

// Apply applies the log entry at an index. It ignores an index that was already applied; empty
// data only advances Index. An entry that repeats an earlier one or doesn't fit the state changes
// nothing, so the first of two contradicting entries holds. Apply returns a *fleet.EntryError for
// data that it can't decode.
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

// View returns the part of the state that the controller's decisions use, as an immutable copy.
func (s *State) View() *fleet.View {
	view := &fleet.View{Index: s.Index, Bindings: slices.Clone(s.Bindings),
		Emergencies: maps.Clone(s.Emergencies)}
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		if m := s.Members[name]; !m.Forgotten {
			view.Members = append(view.Members, *m)
		}
	}
	return view
}

// ChangeUnderWay returns the change that is proposed, fencing or committed, nil if there is none.
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

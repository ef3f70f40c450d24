package bench

import (
	"errors"
	"fmt"
	"time"

	"railrelay.dev/railrelay/internal/emulator/hollow"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// recordBuilder makes what the disk of a fleet's only voter holds, by way of its own
// agreement in virtual time.
type recordBuilder struct {
	name          string
	core          *consensus.Core
	state         *statemachine.State
	now           time.Duration
	persisted     consensus.PersistentState
	isLeader      bool
	pendingWrites int // under way
}

// newRecordBuilder gives one whose voter leads.
func newRecordBuilder(name string) (*recordBuilder, error) {
	core, effects, err := consensus.New(consensus.Config{Self: name, Voters: []consensus.Voter{{Name: name, Address: "127.0.0.1:1"}}, Seed: 1,
		ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	b := &recordBuilder{name: name, core: core, state: statemachine.NewState()}
	if err := b.perform(effects); err != nil {
		return nil, err
	}
	for !b.isLeader {
		if b.now = max(b.now+time.Millisecond, core.NextTick()); b.now > time.Minute {
			return nil, errors.New("a voter that is alone doesn't lead")
		}
		if err := b.step(consensus.Event{Kind: consensus.Tick}); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// step takes an event in, and stores at once what comes of it.
func (b *recordBuilder) step(event consensus.Event) error {
	return b.perform(b.core.Step(b.now, event))
}

func (b *recordBuilder) perform(effects []consensus.Effect) error {
	err := b.handleEffects(effects)
	for err == nil && b.pendingWrites > 0 {
		b.pendingWrites--
		err = b.handleEffects(b.core.Step(b.now, consensus.Event{Kind: consensus.Persisted}))
	}
	return err
}

func (b *recordBuilder) handleEffects(effects []consensus.Effect) error {
	for _, e := range effects {
		switch e.Kind {
		case consensus.Persist:
			b.persisted = hollow.Merge(b.persisted, *e.Persistent)
			b.pendingWrites++
		case consensus.Committed:
			data := e.Entry.Data
			if e.Entry.IsVoterChange {
				data = nil
			}
			if err := b.state.Apply(e.Entry.Index, data); err != nil {
				return err
			}
		case consensus.LeaderChanged:
			b.isLeader = e.Leader == b.name
		}
	}
	return nil
}

// commit puts entries into the record, one after the other.
func (b *recordBuilder) commit(entries ...*fleet.Entry) error {
	for _, e := range entries {
		if err := b.step(consensus.Event{Kind: consensus.Propose, Data: statemachine.EncodeEntry(e)}); err != nil {
			return err
		}
	}
	return nil
}

// entriesPerChange are those that a change of policy leads to.
const entriesPerChange = 5

// commitPolicyChange puts a whole change of policy into the record.
func (b *recordBuilder) commitPolicyChange() error {
	id := fmt.Sprint("change-", b.state.Index)
	policy := fmt.Appendf(nil, "fairness: {teams: [{name: a, weight: %d}, {name: b, weight: 1}]}\n", b.state.Version%9+1)
	return b.commit(&fleet.Entry{Kind: fleet.EntryPropose, ID: id, RequestedBy: "operator", BaseVersion: b.state.Version, Policy: policy},
		&fleet.Entry{Kind: fleet.EntryFence, ID: id}, &fleet.Entry{Kind: fleet.EntryCommit, ID: id}, &fleet.Entry{Kind: fleet.EntryEnterForce, ID: id},
		&fleet.Entry{Kind: fleet.EntryFinishCleanup, ID: id})
}

// joinAndForget puts a controller into the record that joins and whose disk is forgotten.
func (b *recordBuilder) joinAndForget() error {
	name := fmt.Sprint("gone-", b.state.Index)
	member := &fleet.Member{Name: name, DiskID: fmt.Sprintf("%016x", b.state.Index), Site: "here", PeerAddress: "10.0.0.1:7600", ClientAddress: "10.0.0.1:7602"}
	return b.commit(&fleet.Entry{Kind: fleet.EntryJoin, ID: name, Name: name, Member: member}, &fleet.Entry{Kind: fleet.EntryForget, ID: name, Name: name})
}

// compact has a snapshot replace the log so far.
func (b *recordBuilder) compact() error {
	return b.step(consensus.Event{Kind: consensus.SnapshotTaken, Snapshot: &consensus.Snapshot{Index: b.state.Index, Data: b.state.Encode()}})
}

// compactAfter compacts once the log has so many entries.
func (b *recordBuilder) compactAfter(entries int) error {
	if len(b.persisted.Entries) < entries {
		return nil
	}
	return b.compact()
}

const entriesAfterSnapshot = 2000 // that a long record has in its log

// buildLongRecord is what the disk of a fleet's only voter holds after so many entries of
// changes of policy, all but the last in a snapshot.
func buildLongRecord(name string, entries int) (consensus.PersistentState, error) {
	b, err := newRecordBuilder(name)
	if err != nil {
		return consensus.PersistentState{}, err
	}
	for b.state.Index < uint64(entries) {
		if err := b.commitPolicyChange(); err != nil {
			return consensus.PersistentState{}, err
		}
		if b.state.Index >= uint64(entries-entriesAfterSnapshot) && b.persisted.Snapshot == nil {
			if err := b.compact(); err != nil {
				return consensus.PersistentState{}, err
			}
		}
	}
	return b.persisted, nil
}

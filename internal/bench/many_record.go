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

// recordBuilder builds the persistent state of a fleet's only voter by running the consensus core in virtual
// time.
type recordBuilder struct {
	name          string
	core          *consensus.Core
	state         *statemachine.State
	now           time.Duration
	persisted     consensus.PersistentState
	isLeader      bool
	pendingWrites int // writes that are not yet confirmed to the core
}

// newRecordBuilder returns a builder whose voter is the leader.
func newRecordBuilder(name string) (*recordBuilder, error) {
	core, effects, err := consensus.New(consensus.Config{Self: name,
		Voters: []consensus.Voter{{Name: name, Address: "127.0.0.1:1"}}, Seed: 1,
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
			return nil, errors.New("the only voter was not elected within a minute")
		}
		if err := b.step(consensus.Event{Kind: consensus.Tick}); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// step passes an event to the core and performs its effects.
func (b *recordBuilder) step(event consensus.Event) error {
	return b.perform(b.core.Step(b.now, event))
}

// perform handles effects, confirms their writes to the core at once, and handles the effects that result
// from the confirmations.
func (b *recordBuilder) perform(effects []consensus.Effect) error {
	err := b.handleEffects(effects)
	for err == nil && b.pendingWrites > 0 {
		b.pendingWrites--
		err = b.handleEffects(b.core.Step(b.now, consensus.Event{Kind: consensus.Persisted}))
	}
	return err
}

// handleEffects merges the writes among the effects into the persistent state, and applies committed entries.
func (b *recordBuilder) handleEffects(effects []consensus.Effect) error {
	for _, effect := range effects {
		switch effect.Kind {
		case consensus.Persist:
			b.persisted = hollow.Merge(b.persisted, *effect.Persistent)
			b.pendingWrites++
		case consensus.Committed:
			data := effect.Entry.Data
			if effect.Entry.IsVoterChange {
				data = nil
			}
			if err := b.state.Apply(effect.Entry.Index, data); err != nil {
				return err
			}
		case consensus.LeaderChanged:
			b.isLeader = effect.Leader == b.name
		}
	}
	return nil
}

// commit adds entries to the record, one after the other.
func (b *recordBuilder) commit(entries ...*fleet.Entry) error {
	for _, entry := range entries {
		if err := b.step(consensus.Event{Kind: consensus.Propose,
			Data: statemachine.EncodeEntry(entry)}); err != nil {
			return err
		}
	}
	return nil
}

// entriesPerChange is the number of entries that commitPolicyChange adds to the record.
const entriesPerChange = 5

// commitPolicyChange adds all entries of a policy change to the record, from its proposal to its cleanup.
func (b *recordBuilder) commitPolicyChange() error {
	id := fmt.Sprint("change-", b.state.Index)
	policy := fmt.Appendf(nil, "fairness: {teams: [{name: a, weight: %d}, {name: b, weight: 1}]}\n",
		b.state.Version%9+1)
	return b.commit(
		&fleet.Entry{Kind: fleet.EntryPropose, ID: id, RequestedBy: "operator",
			BaseVersion: b.state.Version, Policy: policy},
		&fleet.Entry{Kind: fleet.EntryFence, ID: id},
		&fleet.Entry{Kind: fleet.EntryCommit, ID: id},
		&fleet.Entry{Kind: fleet.EntryEnterForce, ID: id},
		&fleet.Entry{Kind: fleet.EntryFinishCleanup, ID: id})
}

// joinAndForget adds two entries to the record: a controller joins the fleet, and its disk is forgotten.
func (b *recordBuilder) joinAndForget() error {
	name := fmt.Sprint("gone-", b.state.Index)
	member := &fleet.Member{Name: name, DiskID: fmt.Sprintf("%016x", b.state.Index), Site: "here",
		PeerAddress: "10.0.0.1:7600", ClientAddress: "10.0.0.1:7602"}
	return b.commit(&fleet.Entry{Kind: fleet.EntryJoin, ID: name, Name: name, Member: member},
		&fleet.Entry{Kind: fleet.EntryForget, ID: name, Name: name})
}

// compact replaces the log by a snapshot.
func (b *recordBuilder) compact() error {
	return b.step(consensus.Event{Kind: consensus.SnapshotTaken,
		Snapshot: &consensus.Snapshot{Index: b.state.Index, Data: b.state.Encode()}})
}

// compactAfter compacts the log if the log has at least the given number of entries.
func (b *recordBuilder) compactAfter(entries int) error {
	if len(b.persisted.Entries) < entries {
		return nil
	}
	return b.compact()
}

// entriesAfterSnapshot is the number of entries in the log of a long record.
const entriesAfterSnapshot = 2000

// buildLongRecord returns the persistent state of a fleet's only voter after a number of entries of policy
// changes. The snapshot contains all entries but the last entriesAfterSnapshot.
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

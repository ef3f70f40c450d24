package consensus

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"railrelay.dev/railrelay/internal/goldentest"
)

func TestGoldenValuesAreDecodedAndEncoded(t *testing.T) {
	var values []any
	for name, want := range goldenValues() {
		values = append(values, want)
		got := reflect.New(reflect.TypeOf(want).Elem())
		if err := cbor.Unmarshal(goldentest.File(t, name), got.Interface()); err != nil {
			t.Fatal(name, err)
		}
		if diff := cmp.Diff(want, got.Interface()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
		goldentest.Same(t, name, encodeCBOR(want))
	}
	goldentest.EveryFieldSet(t, goldentest.CBOR, values...)
	persistent, initial := goldenPersistentState(), initialState(goldenVoters)
	goldentest.Same(t, "hard", persistent.HardState)
	goldentest.Same(t, "genesis_hard", initial.HardState)
	goldentest.Same(t, "conf", persistent.Snapshot.VoterConfig)
}

// TestVoterStartsFromGoldenDisk starts a voter with the persistent state of an earlier version.
func TestVoterStartsFromGoldenDisk(t *testing.T) {
	persistent := PersistentState{HardState: goldentest.File(t, "hard"), Snapshot: &Snapshot{}}
	if err := cbor.Unmarshal(goldentest.File(t, "snapshot"), persistent.Snapshot); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(goldentest.File(t, "records"), &persistent.Entries); err != nil {
		t.Fatal(err)
	}
	core, effects, err := New(Config{Self: "north-1", Persistent: persistent, Seed: 1,
		ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenVoters, core.Voters()); diff != "" {
		t.Errorf("voters (-want +got):\n%s", diff)
	}
	want := goldenPersistentState()
	var restored *Snapshot
	var committed []LogEntry
	for _, effect := range effects {
		switch effect.Kind {
		case SnapshotRestored:
			restored = effect.Snapshot
		case Committed:
			committed = append(committed, effect.Entry)
		}
	}
	if diff := cmp.Diff(want.Snapshot, restored); diff != "" {
		t.Errorf("snapshot (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want.Entries[1:2], committed); diff != "" {
		t.Errorf("committed entries (-want +got):\n%s", diff)
	}
}

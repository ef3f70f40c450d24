package consensus

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"railrelay.dev/railrelay/internal/goldentest"
)

func TestGoldenValuesAreReadAndWritten(t *testing.T) {
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
	kept, begun := goldenKept(), initialState(goldenVoters)
	goldentest.Same(t, "hard", kept.HardState)
	goldentest.Same(t, "genesis_hard", begun.HardState)
	goldentest.Same(t, "conf", kept.Snapshot.VoterConfig)
}

// TestGoldenDiskBeginsAVoter begins a voter with what an earlier program kept.
func TestGoldenDiskBeginsAVoter(t *testing.T) {
	kept := PersistentState{HardState: goldentest.File(t, "hard"), Snapshot: &Snapshot{}}
	if err := cbor.Unmarshal(goldentest.File(t, "snapshot"), kept.Snapshot); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(goldentest.File(t, "records"), &kept.Entries); err != nil {
		t.Fatal(err)
	}
	core, effects, err := New(Config{Self: "north-1", Persistent: kept, Seed: 1, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenVoters, core.Voters()); diff != "" {
		t.Errorf("who votes (-want +got):\n%s", diff)
	}
	want := goldenKept()
	var restored *Snapshot
	var decided []LogEntry
	for _, effect := range effects {
		switch effect.Kind {
		case SnapshotRestored:
			restored = effect.Snapshot
		case Committed:
			decided = append(decided, effect.Entry)
		}
	}
	if diff := cmp.Diff(want.Snapshot, restored); diff != "" {
		t.Errorf("the state (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want.Entries[1:2], decided); diff != "" {
		t.Errorf("what is decided (-want +got):\n%s", diff)
	}
}

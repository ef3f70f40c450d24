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
		goldentest.Same(t, name, pack(want))
	}
	goldentest.EveryFieldSet(t, goldentest.CBOR, values...)
	kept, begun := goldenKept(), genesis(goldenVoters)
	goldentest.Same(t, "hard", kept.Hard)
	goldentest.Same(t, "genesis_hard", begun.Hard)
	goldentest.Same(t, "conf", kept.Snapshot.Conf)
}

// TestGoldenDiskBeginsAVoter begins a voter with what an earlier program kept.
func TestGoldenDiskBeginsAVoter(t *testing.T) {
	kept := Kept{Hard: goldentest.File(t, "hard"), Snapshot: &Snapshot{}}
	if err := cbor.Unmarshal(goldentest.File(t, "snapshot"), kept.Snapshot); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(goldentest.File(t, "records"), &kept.Records); err != nil {
		t.Fatal(err)
	}
	core, effects, err := New(Begin{Self: "north-1", Kept: kept, Seed: 1, Election: time.Second, Heartbeat: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenVoters, core.Voters()); diff != "" {
		t.Errorf("who votes (-want +got):\n%s", diff)
	}
	want := goldenKept()
	var restored *Snapshot
	var decided []Record
	for _, effect := range effects {
		switch effect.Kind {
		case Restored:
			restored = effect.Snapshot
		case Decided:
			decided = append(decided, effect.Record)
		}
	}
	if diff := cmp.Diff(want.Snapshot, restored); diff != "" {
		t.Errorf("the state (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want.Records[1:2], decided); diff != "" {
		t.Errorf("what is decided (-want +got):\n%s", diff)
	}
}

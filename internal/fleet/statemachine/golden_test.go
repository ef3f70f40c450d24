package statemachine

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/goldentest"
)

func TestGoldenSnapshotIsReadAndWritten(t *testing.T) {
	want := goldenState()
	goldentest.EveryFieldSet(t, goldentest.CBOR, want)
	got, err := DecodeState(goldentest.File(t, "snapshot"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(State{})); diff != "" {
		t.Errorf("the decoded state differs (-want +got):\n%s", diff)
	}
	goldentest.Same(t, "snapshot", want.Encode())
}

// TestGoldenEntriesLeadToTheSameState applies entries that an earlier version of the program
// encoded. The encoded state after each entry equals that version's, byte for byte.
func TestGoldenEntriesLeadToTheSameState(t *testing.T) {
	state := NewState()
	entries := goldenEntries()
	goldentest.EveryFieldSet(t, goldentest.CBOR, entries[len(entries)-1])
	for i, want := range entries {
		name := fmt.Sprintf("entry_%02d_%s", i+1, want.Kind)
		data := goldentest.File(t, name)
		var got fleet.Entry
		if err := cbor.Unmarshal(data, &got); err != nil {
			t.Fatal(name, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s decodes to (-want +got):\n%s", name, diff)
		}
		goldentest.Same(t, name, EncodeEntry(&want))
		if err := state.Apply(uint64(i+1), data); err != nil {
			t.Fatal(name, err)
		}
		goldentest.Same(t, fmt.Sprintf("state_%02d", i+1), state.Encode())
	}
}

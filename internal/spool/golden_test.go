package spool

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"railrelay.dev/railrelay/internal/goldentest"
)

func TestGoldenKeysAreReadAndWritten(t *testing.T) {
	text := goldentest.File(t, "keys.json")
	var got []Key
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenKeys(), got); diff != "" {
		t.Errorf("decoded keys (-want +got):\n%s", diff)
	}
	goldentest.EveryFieldSet(t, goldentest.JSON, got)
	ring := &Keyring{keys: goldenKeys()}
	goldentest.Same(t, "keys.json", ring.Encode())
}

// TestGoldenTokenOpensItsResult holds that tokens of an earlier version stay valid, since clients
// still have them after an upgrade.
func TestGoldenTokenOpensItsResult(t *testing.T) {
	keys, err := NewKeyring(goldentest.File(t, "keys.json"), 0, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	c := goldenCore(keys)
	r := c.openToken(goldentest.File(t, "token"), goldenStoredResult.Tenant)
	if r == nil || r.id != goldenStoredResult.ResultID {
		t.Fatalf("the token opens %+v", r)
	}
	if c.openToken(goldentest.File(t, "token"), "team-b") != nil {
		t.Error("the token opens the result for another team")
	}
	goldentest.Same(t, "token", []byte(c.Token(r)))
}

package storage

import (
	"testing"

	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/goldentest"
)

func TestKeysAreExplicit(t *testing.T) {
	goldentest.ExplicitKeys(t, goldentest.CBOR, logRange{}, consensus.LogEntry{}, consensus.Snapshot{})
}

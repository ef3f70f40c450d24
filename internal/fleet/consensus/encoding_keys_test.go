package consensus

import (
	"testing"

	"railrelay.dev/railrelay/internal/goldentest"
)

func TestKeysAreExplicit(t *testing.T) {
	goldentest.ExplicitKeys(t, goldentest.CBOR, LogEntry{}, Snapshot{}, Voter{}, voterConfig{},
		snapshotPayload{})
}

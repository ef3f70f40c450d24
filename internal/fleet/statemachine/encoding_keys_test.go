package statemachine

import (
	"testing"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/goldentest"
)

func TestKeysAreExplicit(t *testing.T) {
	goldentest.ExplicitKeys(t, goldentest.CBOR, State{}, fleet.Entry{})
}

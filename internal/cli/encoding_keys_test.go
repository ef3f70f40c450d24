package cli

import (
	"testing"

	"railrelay.dev/railrelay/internal/goldentest"
)

func TestKeysAreExplicit(t *testing.T) {
	goldentest.ExplicitKeys(t, goldentest.JSON, platformConfig{})
}

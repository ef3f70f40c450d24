package setup

import (
	"testing"

	"railrelay.dev/railrelay/internal/goldentest"
)

// Operators write these files by hand: each key stays where it is.
func TestGoldenKeysOfSetupAndPolicy(t *testing.T) {
	goldentest.Same(t, "setup_keys", goldentest.KeyPaths(goldentest.YAML, Setup{}))
	goldentest.Same(t, "policy_keys", goldentest.KeyPaths(goldentest.YAML, Policy{}))
}

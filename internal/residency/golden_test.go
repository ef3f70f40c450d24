package residency

import (
	"testing"

	"railrelay.dev/railrelay/internal/goldentest"
)

// Scripts parse the JSON output of the commands, so its keys must not change.
func TestGoldenKeysOfPlans(t *testing.T) {
	goldentest.Same(t, "outlook_keys", goldentest.KeyPaths(goldentest.JSON, ChangePlan{}))
	goldentest.Same(t, "tightening_keys", goldentest.KeyPaths(goldentest.JSON, Tightening{}))
	goldentest.Same(t, "crossing_keys", goldentest.KeyPaths(goldentest.JSON, EmergencyCrossing{}))
}

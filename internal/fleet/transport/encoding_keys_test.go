package transport

import (
	"testing"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/node"
	"railrelay.dev/railrelay/internal/goldentest"
)

func TestKeysAreExplicit(t *testing.T) {
	goldentest.ExplicitKeys(t, goldentest.CBOR, frame{}, frameResponse{}, signedMessage{}, node.Message{})
	goldentest.ExplicitKeys(t, goldentest.JSON, fleet.Request{}, fleet.Response{})
}

package fleet

import (
	"testing"

	"railrelay.dev/railrelay/internal/goldentest"
)

func TestKeysAreExplicit(t *testing.T) {
	goldentest.ExplicitKeys(t, goldentest.CBOR, Entry{}, Binding{}, Request{})
	goldentest.ExplicitKeys(t, goldentest.JSON, Request{}, Response{})
}

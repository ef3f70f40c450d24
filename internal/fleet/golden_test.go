package fleet

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"railrelay.dev/railrelay/internal/goldentest"
)

// jsonLine encodes a value as the fleet commands print it with --json.
func jsonLine(t *testing.T, v any) []byte {
	t.Helper()
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestGoldenRequestsAndResponsesAreReadAndWritten(t *testing.T) {
	goldentest.EveryFieldSet(t, goldentest.JSON, &goldenRequest, &goldenResponse)
	for _, c := range []struct {
		name      string
		want, got any
	}{
		{"ask.json", &goldenRequest, &Request{}},
		{"reply.json", &goldenResponse, &Response{}},
		{"reply_empty.json", &goldenEmptyResponse, &Response{}},
	} {
		if err := json.Unmarshal(goldentest.File(t, c.name), c.got); err != nil {
			t.Fatal(c.name, err)
		}
		if diff := cmp.Diff(c.want, c.got); diff != "" {
			t.Errorf("%s decodes to (-want +got):\n%s", c.name, diff)
		}
		goldentest.Same(t, c.name, jsonLine(t, c.want))
	}
}

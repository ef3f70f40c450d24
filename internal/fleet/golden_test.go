package fleet

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"railrelay.dev/railrelay/internal/goldentest"
)

// line is a value as the fleet's commands print it with --json.
func line(t *testing.T, v any) []byte {
	t.Helper()
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestGoldenAsksAndRepliesAreReadAndWritten(t *testing.T) {
	goldentest.EveryFieldSet(t, goldentest.JSON, &goldenAsk, &goldenReply)
	for _, c := range []struct {
		name      string
		want, got any
	}{
		{"ask.json", &goldenAsk, &Request{}},
		{"reply.json", &goldenReply, &Response{}},
		{"reply_empty.json", &goldenEmptyReply, &Response{}},
	} {
		if err := json.Unmarshal(goldentest.File(t, c.name), c.got); err != nil {
			t.Fatal(c.name, err)
		}
		if diff := cmp.Diff(c.want, c.got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
		goldentest.Same(t, c.name, line(t, c.want))
	}
}

package transport

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"railrelay.dev/railrelay/internal/fleet/node"
	"railrelay.dev/railrelay/internal/goldentest"
)

// cut separates a golden file's bytes from the MAC that stands behind them.
func splitMAC(t *testing.T, text []byte) (body, sum []byte) {
	t.Helper()
	const macBytes = 32
	if len(text) <= macBytes {
		t.Fatalf("%d bytes are too few", len(text))
	}
	return text[:len(text)-macBytes], text[len(text)-macBytes:]
}

func TestGoldenFramesAreReadAndWritten(t *testing.T) {
	values := []any{&goldenAnswer, &goldenAsked}
	for kind, message := range goldenMessages() {
		values = append(values, message, goldenFrame(message))
		t.Run(kind, func(t *testing.T) {
			name := "frame_" + kind
			body, sum := splitMAC(t, goldentest.File(t, name))
			got, refused := authenticate(goldenKeys, body, sum, "test")
			if refused != nil {
				t.Fatal(refused)
			}
			want := goldenFrame(message)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("the frame (-want +got):\n%s", diff)
			}
			messages, refused := got.decodeMessages()
			if refused != nil {
				t.Fatal(refused)
			}
			if diff := cmp.Diff([]*node.Message{message}, messages); diff != "" {
				t.Errorf("its messages (-want +got):\n%s", diff)
			}
			again := encode(want)
			goldentest.Same(t, name, append(again, goldenKeys.sign(purposeFrame, again)...))
		})
	}
	goldentest.EveryFieldSet(t, goldentest.CBOR, values...)
}

func TestGoldenAnswersAndAsksAreReadAndWritten(t *testing.T) {
	for _, c := range []struct {
		name, purpose string
		want, got     any
	}{
		{"answer", purposeFrameResponse, &goldenAnswer, &frameResponse{}},
		{"asked", purposeRequest, &goldenAsked, &signedMessage{}},
		{"replied", purposeResponse, &goldenAsked, &signedMessage{}},
	} {
		body, sum := splitMAC(t, goldentest.File(t, c.name))
		if !goldenKeys.verify(c.purpose, body, sum) {
			t.Errorf("%s: its MAC doesn't fit", c.name)
		}
		if err := decMode.Unmarshal(body, c.got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c.want, c.got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
		again := encode(c.want)
		goldentest.Same(t, c.name, append(again, goldenKeys.sign(c.purpose, again)...))
	}
}

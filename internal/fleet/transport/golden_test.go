package transport

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"railrelay.dev/railrelay/internal/fleet/node"
	"railrelay.dev/railrelay/internal/goldentest"
)

// splitMAC splits the text of a golden file into the encoded value and the MAC that follows it.
func splitMAC(t *testing.T, text []byte) (body, sum []byte) {
	t.Helper()
	const macBytes = 32
	if len(text) <= macBytes {
		t.Fatalf("%d bytes are too few for a value and its MAC", len(text))
	}
	return text[:len(text)-macBytes], text[len(text)-macBytes:]
}

func TestGoldenFramesAreDecodedAndEncoded(t *testing.T) {
	values := []any{&goldenFrameResponse, &goldenSignedMessage}
	for kind, message := range goldenMessages() {
		values = append(values, message, goldenFrame(message))
		t.Run(kind, func(t *testing.T) {
			name := "frame_" + kind
			body, sum := splitMAC(t, goldentest.File(t, name))
			got, rejection := authenticate(goldenKeys, body, sum, "test")
			if rejection != nil {
				t.Fatal(rejection)
			}
			want := goldenFrame(message)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("the frame (-want +got):\n%s", diff)
			}
			messages, rejection := got.decodeMessages()
			if rejection != nil {
				t.Fatal(rejection)
			}
			if diff := cmp.Diff([]*node.Message{message}, messages); diff != "" {
				t.Errorf("the messages of the frame (-want +got):\n%s", diff)
			}
			again := encode(want)
			goldentest.Same(t, name, append(again, goldenKeys.sign(purposeFrame, again)...))
		})
	}
	goldentest.EveryFieldSet(t, goldentest.CBOR, values...)
}

func TestGoldenResponsesAndRequestsAreDecodedAndEncoded(t *testing.T) {
	for _, c := range []struct {
		name, purpose string
		want, got     any
	}{
		{"answer", purposeFrameResponse, &goldenFrameResponse, &frameResponse{}},
		{"asked", purposeRequest, &goldenSignedMessage, &signedMessage{}},
		{"replied", purposeResponse, &goldenSignedMessage, &signedMessage{}},
	} {
		body, sum := splitMAC(t, goldentest.File(t, c.name))
		if !goldenKeys.verify(c.purpose, body, sum) {
			t.Errorf("%s: the MAC doesn't verify", c.name)
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

package transport

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var keyA, keyB = bytes.Repeat([]byte{7}, 32), bytes.Repeat([]byte{9}, 40)

func TestWindowAcceptsEachNumberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var window sequenceWindow
		accepted, highest := map[uint64]bool{}, uint64(0)
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			from := uint64(1)
			if highest > 1500 {
				from = highest - 1500
			}
			seq := rapid.Uint64Range(from, highest+1300).Draw(t, "seq")
			want := !accepted[seq] && seq+replayWindowSize > highest
			if got := window.accept(seq); got != want {
				t.Fatalf("accept(%d) with highest %d: %v, want %v", seq, highest, got, want)
			}
			accepted[seq] = accepted[seq] || want
			highest = max(highest, seq)
		}
	})
}

func TestWindowAtSmallestAndLargestNumbers(t *testing.T) {
	window := sequenceWindow{}
	const largest = ^uint64(0)
	if window.accept(0) || !window.accept(largest) || window.accept(largest) ||
		!window.accept(largest-1) || window.accept(3) {
		t.Error("0, the largest numbers or a number out of the window was misjudged")
	}
}

func TestIncarnationWithDroppedWindowStaysRejected(t *testing.T) {
	guard := newReplayGuard("north", "a", 5)
	f := frame{Fleet: "north", From: "b", To: "a", ReceiverIncarnation: 5, Seq: 1}
	for incarnation := uint64(1); incarnation <= maxIncarnations+1; incarnation++ {
		f.SenderIncarnation = incarnation
		if err := guard.accept(&f); err != nil {
			t.Fatal(incarnation, err)
		}
	}
	for incarnation := uint64(1); incarnation <= maxIncarnations+1; incarnation++ {
		f.SenderIncarnation = incarnation
		if err := guard.accept(&f); err == nil || err.Reason() != "replay" {
			t.Errorf("the frame of incarnation %d was accepted twice: %v", incarnation, err)
		}
	}
	f.SenderIncarnation, f.Seq = 1, 2
	if guard.accept(&f) == nil {
		t.Error("a frame of an incarnation with a dropped window was accepted")
	}
	f.SenderIncarnation, f.Seq = 2, 2
	if err := guard.accept(&f); err != nil {
		t.Error("a new frame of an earlier incarnation with a window was rejected:", err)
	}
}

func TestMACIsBoundToPurposeAndBody(t *testing.T) {
	keys := Keys{keyA, keyB}
	body := []byte("hello")
	sum := keys.sign(purposeFrame, body)
	if !(Keys{keyB, keyA}).verify(purposeFrame, body, sum) {
		t.Error("the second key isn't accepted")
	}
	if keys.verify(purposeFrameResponse, body, sum) || keys.verify(purposeFrame, []byte("hellp"), sum) ||
		keys.verify(purposeFrame, body, nil) || (Keys{keyB}).verify(purposeFrame, body, sum) {
		t.Error("a wrong MAC was accepted")
	}
}

func TestLogLimiterAllowsEachPairOncePerInterval(t *testing.T) {
	limiter := logLimiter{}
	for i, want := range []struct {
		peer string
		at   time.Duration
		say  bool
	}{{"b", 0, true}, {"b", time.Second, false}, {"c", time.Second, true}, {"b", 60 * time.Second, true}, {"b", 61 * time.Second, false}} {
		if got := limiter.allow(want.peer, "replay", want.at); got != want.say {
			t.Errorf("step %d: %v", i, got)
		}
	}
	for i := range maxLogKeys {
		limiter.allow(strings.Repeat("x", i+1), "stranger", time.Hour)
	}
	if len(limiter) != maxLogKeys || limiter.allow("new", "stranger", time.Hour) ||
		!limiter.allow("new", "stranger", 2*time.Hour) {
		t.Errorf("the full limiter has %d entries, or allowed the wrong pair", len(limiter))
	}
}

func TestReadKeys(t *testing.T) {
	hexA, b64B := hex.EncodeToString(keyA), base64.StdEncoding.EncodeToString(keyB)
	for _, c := range []struct {
		name, text string
		mode       os.FileMode
		want       Keys
		why        string
	}{
		{"two", "# of the north\n" + hexA + "  # new\n\n" + b64B + "\n", 0o600, Keys{keyA, keyB}, ""},
		{"read only", b64B, 0o400, Keys{keyB}, ""},
		{"open", hexA, 0o640, nil, "give other users access"},
		{"none", "# nothing\n", 0o600, nil, "contains no key"},
		{"short", "\n" + hexA[:62], 0o600, nil, "line 2: 31 bytes"},
		{"neither", "!!", 0o600, nil, "neither hex nor base64"},
		{"three", strings.Repeat(hexA+"\n", 3), 0o600, nil, "more than two keys"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "key")
			if err := os.WriteFile(path, []byte(c.text), c.mode); err != nil {
				t.Fatal(err)
			}
			os.Chmod(path, c.mode)
			keys, err := ReadKeys(path)
			var keyFileErr *KeyFileError
			if c.why != "" && (!errors.As(err, &keyFileErr) || !strings.Contains(err.Error(), c.why)) {
				t.Fatalf("%v, want %q", err, c.why)
			}
			if c.why == "" && err != nil || len(keys) != len(c.want) {
				t.Fatal(len(keys), err)
			}
			for i := range keys {
				if !bytes.Equal(keys[i], c.want[i]) {
					t.Error("wrong key at index", i)
				}
			}
		})
	}
	if _, err := ReadKeys(t.TempDir()); err == nil {
		t.Error("a directory was read")
	}
	if _, err := ReadKeys("/no/such"); err == nil {
		t.Error("a missing file was read")
	}
}

func TestErrorsHaveTextAndRemedy(t *testing.T) {
	for _, err := range Errors() {
		if err.Error() == "" || len(err.Remedy()) < 20 {
			t.Errorf("%T: %q, %q", err, err.Error(), err.Remedy())
		}
	}
}

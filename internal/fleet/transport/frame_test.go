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

func TestWindowTakesEachNumberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w sequenceWindow
		taken, top := map[uint64]bool{}, uint64(0)
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			from := uint64(1)
			if top > 1500 {
				from = top - 1500
			}
			seq := rapid.Uint64Range(from, top+1300).Draw(t, "seq")
			want := !taken[seq] && seq+windowSize > top
			if got := w.accept(seq); got != want {
				t.Fatalf("take(%d) with newest %d: %v, want %v", seq, top, got, want)
			}
			taken[seq] = taken[seq] || want
			top = max(top, seq)
		}
	})
}

func TestWindowAtItsEnds(t *testing.T) {
	w := sequenceWindow{}
	const most = ^uint64(0)
	if w.accept(0) || !w.accept(most) || w.accept(most) || !w.accept(most-1) || w.accept(3) {
		t.Error("the ends of the numbers aren't told apart")
	}
}

func TestAnEarlierRunStaysShutOutOnceForgotten(t *testing.T) {
	g := newReplayGuard("north", "a", 5)
	f := frame{Fleet: "north", From: "b", To: "a", ReceiverIncarnation: 5, Seq: 1}
	for boot := uint64(1); boot <= runsAtMost+1; boot++ {
		f.SenderIncarnation = boot
		if err := g.accept(&f); err != nil {
			t.Fatal(boot, err)
		}
	}
	for boot := uint64(1); boot <= runsAtMost+1; boot++ {
		f.SenderIncarnation = boot
		if err := g.accept(&f); err == nil || err.Reason() != "replay" {
			t.Errorf("the frame of run %d was taken twice: %v", boot, err)
		}
	}
	f.SenderIncarnation, f.Seq = 1, 2
	if g.accept(&f) == nil {
		t.Error("a run that has no window any more was taken")
	}
	f.SenderIncarnation, f.Seq = 2, 2
	if err := g.accept(&f); err != nil {
		t.Error("an earlier run with a window:", err)
	}
}

func TestMACIsBoundToPurposeAndBody(t *testing.T) {
	keys := Keys{keyA, keyB}
	body := []byte("hello")
	sum := keys.sign(forFrame, body)
	if !(Keys{keyB, keyA}).verify(forFrame, body, sum) {
		t.Error("the second key isn't accepted")
	}
	if keys.verify(forAnswer, body, sum) || keys.verify(forFrame, []byte("hellp"), sum) ||
		keys.verify(forFrame, body, nil) || (Keys{keyB}).verify(forFrame, body, sum) {
		t.Error("a wrong MAC was accepted")
	}
}

func TestSayingsOnceAMinute(t *testing.T) {
	s := logLimiter{}
	for i, want := range []struct {
		peer string
		at   time.Duration
		say  bool
	}{{"b", 0, true}, {"b", time.Second, false}, {"c", time.Second, true}, {"b", 60 * time.Second, true}, {"b", 61 * time.Second, false}} {
		if got := s.allow(want.peer, "replay", want.at); got != want.say {
			t.Errorf("step %d: %v", i, got)
		}
	}
	for i := range maxLogKeys {
		s.allow(strings.Repeat("x", i+1), "stranger", time.Hour)
	}
	if len(s) != maxLogKeys || s.allow("new", "stranger", time.Hour) || !s.allow("new", "stranger", 2*time.Hour) {
		t.Errorf("%d sayings are kept", len(s))
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
		{"open", hexA, 0o640, nil, "others can get at it"},
		{"none", "# nothing\n", 0o600, nil, "no key"},
		{"short", "\n" + hexA[:62], 0o600, nil, "line 2: 31 bytes"},
		{"neither", "!!", 0o600, nil, "neither hex nor base64"},
		{"three", strings.Repeat(hexA+"\n", 3), 0o600, nil, "a third key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "key")
			if err := os.WriteFile(path, []byte(c.text), c.mode); err != nil {
				t.Fatal(err)
			}
			os.Chmod(path, c.mode)
			keys, err := ReadKeys(path)
			var typed *KeyFileError
			if c.why != "" && (!errors.As(err, &typed) || !strings.Contains(err.Error(), c.why)) {
				t.Fatalf("%v, want %q", err, c.why)
			}
			if c.why == "" && err != nil || len(keys) != len(c.want) {
				t.Fatal(len(keys), err)
			}
			for i := range keys {
				if !bytes.Equal(keys[i], c.want[i]) {
					t.Error("another key in place", i)
				}
			}
		})
	}
	if _, err := ReadKeys(t.TempDir()); err == nil {
		t.Error("a directory was read")
	}
	if _, err := ReadKeys("/no/such"); err == nil {
		t.Error("what isn't there was read")
	}
}

func TestErrorsSayWhatToDo(t *testing.T) {
	for _, err := range Errors() {
		if err.Error() == "" || len(err.Remedy()) < 20 {
			t.Errorf("%T: %q, %q", err, err.Error(), err.Remedy())
		}
	}
}

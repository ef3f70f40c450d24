package controller

import (
	"strings"
	"testing"
	"time"
)

// tokened makes the second group one whose repeats engines know by a token.
func withIdempotencyKeys(more map[string]string) map[string]string {
	f := map[string]string{"group.1.effect": "tokened", "may.probe": "false"}
	for k, v := range more {
		f[k] = v
	}
	return f
}

// The token that a client gives goes with every submission of a tokened query, as it is:
// without it an engine takes none, or can't know a repeat. No other group has one.
func TestIdempotencyKeyGoesWithEveryAttempt(t *testing.T) {
	s := newHarness(t, 2, 256, withIdempotencyKeys(nil))
	s.controller.FieldNames = FieldNames{IdempotencyKey: "nonce"}
	c := s.connect()
	a := s.sendQuery(c, "report", "", 5*time.Second, 1, "nonce", "once-7")
	h := s.waitForCall("POST", a.id)
	if !strings.Contains(h.head, "\r\nIdempotency-Key: once-7\r\n") {
		t.Fatalf("%q", h.head)
	}
	s.respond(h, "full")
	if h = s.waitForCall("POST", a.id); !strings.Contains(h.head, "\r\nIdempotency-Key: once-7\r\n") {
		t.Fatalf("a repeat without it: %q", h.head)
	}
	for _, group := range []string{"lookup", "load"} {
		b := s.sendQuery(c, group, "k", 5*time.Second, 2, "nonce", "other")
		if h := s.waitForCall("POST", b.id); strings.Contains(h.head, "Idempotency-Key") {
			t.Fatalf("%s: %q", group, h.head)
		}
	}
	if b := s.sendQuery(c, "report", "", 5*time.Second, 1, "nonce", "a\r\nPool-Rank: 3"); b.answer != "killed" {
		t.Fatalf("one that can't be passed on: %q", b.answer)
	}
}

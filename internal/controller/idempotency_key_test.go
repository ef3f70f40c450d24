package controller

import (
	"strings"
	"testing"
	"time"
)

// tokened makes the second group one whose repeats engines know by a token.
func withIdempotencyKeys(overrides map[string]string) map[string]string {
	settings := map[string]string{"group.1.effect": "tokened", "may.probe": "false"}
	for k, v := range overrides {
		settings[k] = v
	}
	return settings
}

// The token that a client gives goes with every submission of a tokened query, as it is:
// without it an engine takes none, or can't know a repeat. No other group has one.
func TestIdempotencyKeyGoesWithEveryAttempt(t *testing.T) {
	h := newHarness(t, 2, 256, withIdempotencyKeys(nil))
	h.controller.FieldNames = FieldNames{IdempotencyKey: "nonce"}
	conn := h.connect()
	query := h.sendQuery(conn, "report", "", 5*time.Second, 1, "nonce", "once-7")
	call := h.waitForCall("POST", query.id)
	if !strings.Contains(call.head, "\r\nIdempotency-Key: once-7\r\n") {
		t.Fatalf("%q", call.head)
	}
	h.respond(call, "full")
	if call = h.waitForCall("POST", query.id); !strings.Contains(call.head, "\r\nIdempotency-Key: once-7\r\n") {
		t.Fatalf("a repeat without it: %q", call.head)
	}
	for _, group := range []string{"lookup", "load"} {
		other := h.sendQuery(conn, group, "k", 5*time.Second, 2, "nonce", "other")
		if call := h.waitForCall("POST", other.id); strings.Contains(call.head, "Idempotency-Key") {
			t.Fatalf("%s: %q", group, call.head)
		}
	}
	if other := h.sendQuery(conn, "report", "", 5*time.Second, 1, "nonce", "a\r\nPool-Rank: 3"); other.answer != "killed" {
		t.Fatalf("one that can't be passed on: %q", other.answer)
	}
}

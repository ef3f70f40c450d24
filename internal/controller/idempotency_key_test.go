package controller

import (
	"strings"
	"testing"
	"time"
)

// withIdempotencyKeys returns settings by which queries of the second group need an idempotency key.
func withIdempotencyKeys(overrides map[string]string) map[string]string {
	settings := map[string]string{"group.1.effect": "tokened", "may.probe": "false"}
	for k, v := range overrides {
		settings[k] = v
	}
	return settings
}

// The idempotency key that a client gives is sent unchanged with every attempt of a query whose group needs
// one: without the key an engine rejects the query, or cannot recognise a retry. Other groups send none.
func TestIdempotencyKeyGoesWithEveryAttempt(t *testing.T) {
	h := newHarness(t, 2, 256, withIdempotencyKeys(nil))
	h.controller.FieldNames = FieldNames{IdempotencyKey: "nonce"}
	conn := h.connect()
	query := h.sendQuery(conn, "report", "", 5*time.Second, 1, "nonce", "once-7")
	call := h.waitForCall("POST", query.id)
	if !strings.Contains(call.head, "\r\nIdempotency-Key: once-7\r\n") {
		t.Fatalf("submission without the idempotency key: %q", call.head)
	}
	h.respond(call, "full")
	if call = h.waitForCall("POST", query.id); !strings.Contains(call.head, "\r\nIdempotency-Key: once-7\r\n") {
		t.Fatalf("retry without the idempotency key: %q", call.head)
	}
	for _, group := range []string{"lookup", "load"} {
		other := h.sendQuery(conn, group, "k", 5*time.Second, 2, "nonce", "other")
		if call := h.waitForCall("POST", other.id); strings.Contains(call.head, "Idempotency-Key") {
			t.Fatalf("group %s: idempotency key in %q", group, call.head)
		}
	}
	if other := h.sendQuery(conn, "report", "", 5*time.Second, 1, "nonce",
		"a\r\nPool-Rank: 3"); other.answer != "killed" {
		t.Fatalf("key that cannot be sent in a header: answer %q, want killed", other.answer)
	}
}

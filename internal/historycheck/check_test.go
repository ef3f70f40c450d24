package historycheck

import (
	"strings"
	"testing"
	"time"
)

// Each case violates one rule, and the checker must report the violation.
func TestEachRuleViolationIsReported(t *testing.T) {
	fresh := func() *History {
		h := &History{KeyRest: 300 * time.Millisecond, DrainGrace: time.Second, MaxSubmissions: 3}
		h.AddGroup("read", "read-only", false)
		h.AddGroup("load", "mutating", true)
		h.Received(0, "a", "read", "", time.Minute)
		h.Received(0, "l1", "load", "k", time.Minute)
		h.Received(1, "l2", "load", "k", time.Minute)
		return h
	}
	for want, violate := range map[string]func(h *History){
		"rule 1: second answer to a": func(h *History) {
			h.Answered(2, "a", Deferred, nil, nil)
			h.Answered(3, "a", Deferred, nil, nil)
		},
		"rule 1: query sent after its answer": func(h *History) {
			h.Answered(2, "a", Deferred, nil, nil)
			h.Submitted(3, "a", "e", true)
		},
		"rule 1: no answer": func(h *History) { h.Finish(2 * time.Minute) },
		"rule 2: l1 ran at": func(h *History) {
			h.Submitted(2, "l1", "e", true)
			h.Ended(3, "l1", "e", false)
			h.Submitted(4, "l1", "f", true)
		},
		"rule 2: query deferred after it ran": func(h *History) {
			h.Submitted(2, "l1", "e", true)
			h.Ended(3, "l1", "e", false)
			h.Answered(4, "l1", Deferred, nil, nil)
		},
		"rule 3: a sent to e": func(h *History) {
			h.SetServing(2, "e", false)
			h.Submitted(2*time.Second, "a", "e", false)
		},
		"rule 5: l2 sent before l1": func(h *History) { h.Submitted(2, "l2", "e", true) },
		"rule 5: l2 sent while l1": func(h *History) {
			h.Submitted(2, "l1", "e", true)
			h.Answered(3, "l1", Killed, nil, nil)
			h.Submitted(4, "l2", "e", true)
		},
		"rule 5: l1 started after l2": func(h *History) {
			h.Answered(2, "l1", Killed, nil, nil)
			h.Submitted(3, "l2", "e", true)
			h.Started(4, "l1", "f")
		},
		"rule 5: l2 started 100ms after l1": func(h *History) {
			h.RestAfterFailure = true
			h.Submitted(2, "l1", "e", true)
			h.Answered(3, "l1", Killed, nil, nil)
			h.Ended(4, "l1", "e", false)
			h.Submitted(4+100*time.Millisecond, "l2", "e", true)
		},
		"rule 2: a runs at e and at f": func(h *History) {
			h.ForbidSecondCopies = true
			h.Submitted(2, "a", "e", true)
			h.Submitted(3, "a", "f", true)
		},
		"rule 7": func(h *History) {
			for i, e := range []string{"e", "f", "g", "h"} {
				h.Submitted(time.Duration(2+i), "a", e, true)
			}
		},
		"answered as finished, but no engine": func(h *History) { h.Answered(2, "a", Finished, nil, nil) },
		"0 bytes, but engines produce 1": func(h *History) {
			h.Submitted(2, "a", "e", true)
			h.Ended(3, "a", "e", true)
			h.Answered(4, "a", Finished, nil, []byte("x"))
		},
		"sent a query that was never received": func(h *History) { h.Submitted(2, "z", "e", true) },
		"whose client left": func(h *History) {
			h.ClientLeft(2, "a")
			h.Answered(3, "a", Deferred, nil, nil)
		},
		"query received twice": func(h *History) { h.Received(2, "a", "read", "", time.Minute) },
		"query runs twice at one engine": func(h *History) {
			h.Submitted(2, "a", "e", true)
			h.Submitted(3, "a", "e", true)
		},
		"after its deadline": func(h *History) {
			h.Submitted(2, "a", "e", true)
			h.Ended(3, "a", "e", true)
			h.Answered(2*time.Minute, "a", Finished, nil, nil)
		},
	} {
		h := fresh()
		violate(h)
		if !strings.Contains(strings.Join(h.Faults, "\n"), want) {
			t.Errorf("%s: %q", want, h.Faults)
		}
	}
	h := fresh()
	h.Submitted(2, "l1", "e", true)
	h.Ended(3, "l1", "e", true)
	h.Answered(4, "l1", Finished, []byte("x"), []byte("x"))
	h.Submitted(5, "l2", "e", true)
	h.Ended(6, "l2", "e", true)
	h.Answered(7, "l2", Finished, nil, nil)
	h.ClientLeft(8, "a")
	if faults := h.Finish(2 * time.Minute); len(faults) > 0 {
		t.Errorf("faults in a history without violations: %q", faults)
	}
}

package scheduler

import (
	"strconv"
	"testing"
	"time"
)

func TestQueryRejectedWhenNotesShowItCannotFinish(t *testing.T) {
	h := newHarness(t, 1, nil)
	q := h.arrive(1, 1, -1, 1900*ms)
	h.advance(sec)
	if h.s.NoteReceived(h.now, q.id, 0, Progress, 0.1); !q.answered {
		t.Fatal("query not rejected at a note that shows it can't finish")
	}
}

// While all engines were full, queries with slow progress were cancelled after a second and
// restarted on engines that were as slow, which wasted half of the engines' time.
func TestSlowQueryIsNotMovedWhenAllEnginesAreFull(t *testing.T) {
	for _, full := range []bool{false, true} {
		h := newHarness(t, 4, map[string]string{"report.how": "probed", "may.probe": "false", "may.copy": "true"})
		q := h.arrive(1, 1, -1, 15*sec)
		for range 10 {
			h.advance(100 * ms)
			for _, id := range h.engineIDs() {
				h.reportLoad(id, map[string]float64{"held": map[bool]float64{false: 2, true: 40}[full]})
			}
		}
		h.s.NoteReceived(h.now, q.id, 0, Progress, 0.1) // remaining: nine seconds, of an expected 1.5
		h.advance(10 * ms)
		if moved := h.s.queries[q.id].attempts[0].moving; moved == full || q.answered {
			t.Fatalf("engines full %v: moved %v, rejected %v", full, moved, q.answered)
		}
	}
}

// An engine that rejected a query as full is tried again while the query has time left.
func TestRejectingEngineIsRetriedInTime(t *testing.T) {
	h := newShortTimeoutHarness(t, 1, nil)
	q := h.arrive(0, 1, -1, 290*ms)
	h.endAttempt(q, 0, Rejected)
	if h.advance(120 * ms); len(q.attempts) != 2 {
		t.Fatalf("sent %d times in 120 ms of 290, want 2", len(q.attempts))
	}
}

// A retry delay longer than a client's timeout is useless to it.
func TestRetryAfterIsWithinTimeout(t *testing.T) {
	for _, c := range []struct {
		more map[string]string
		want time.Duration
	}{{nil, 150 * ms}, {map[string]string{"group.0.timeout": "5000"}, time.Second},
		{map[string]string{"group.0.timeout": "0"}, time.Second}} {
		h := newShortTimeoutHarness(t, 1, c.more)
		h.setState("e0", EngineDraining)
		h.arrive(0, 1, -1, 200*ms)
		if h.advance(250 * ms); len(h.retryAfters) != 1 || h.retryAfters[0] != c.want {
			t.Fatalf("want one retry delay of %v: %v", c.want, h.retryAfters)
		}
	}
}

// newShortTimeoutHarness returns a harness whose groups have objectives of 120 ms and timeouts of
// 300 ms. Durations that suit timeouts of seconds are too long for them.
func newShortTimeoutHarness(t *testing.T, engines int, more map[string]string) *harness {
	given := map[string]string{"may.probe": "false", "note.period": "2000", "return.most": "1000"}
	for i := range 3 {
		prefix := "group." + strconv.Itoa(i) + "."
		given[prefix+"target"], given[prefix+"timeout"], given[prefix+"stretch"] = "120", "300", "0"
	}
	for k, v := range more {
		given[k] = v
	}
	return newHarness(t, engines, given)
}

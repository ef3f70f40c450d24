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
		t.Fatal("held to its queue timeout")
	}
}

// Where all engines were full, queries that their notes showed to be slow were called off
// after a second and begun anew on others as slow: half of the engines' time was lost so.
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
		h.s.NoteReceived(h.now, q.id, 0, Progress, 0.1) // nine seconds to go, of one and a half that it should take
		h.advance(10 * ms)
		if moved := h.s.queries[q.id].attempts[0].moving; moved == full || q.answered {
			t.Fatalf("full %v, moved %v, given up %v", full, moved, q.answered)
		}
	}
}

// An engine that was full is tried again while those that it turned away have time left.
func TestRejectingEngineIsRetriedInTime(t *testing.T) {
	h := newShortTimeoutHarness(t, 1, nil)
	q := h.arrive(0, 1, -1, 290*ms)
	h.endAttempt(q, 0, Rejected)
	if h.advance(120 * ms); len(q.attempts) != 2 {
		t.Fatalf("sent %d times in 120 ms of 290", len(q.attempts))
	}
}

// A time to come back that is longer than a client's whole time is none.
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
			t.Fatalf("%v: %v", c.want, h.retryAfters)
		}
	}
}

// hasty: all groups are wanted within 120 ms and given up after 300; what suits deadlines of
// seconds outlasts them.
func newShortTimeoutHarness(t *testing.T, engines int, more map[string]string) *harness {
	f := map[string]string{"may.probe": "false", "note.period": "2000", "return.most": "1000"}
	for i := range 3 {
		at := "group." + strconv.Itoa(i) + "."
		f[at+"target"], f[at+"timeout"], f[at+"stretch"] = "120", "300", "0"
	}
	for k, v := range more {
		f[k] = v
	}
	return newHarness(t, engines, f)
}

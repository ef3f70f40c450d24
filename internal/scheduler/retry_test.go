package scheduler

import (
	"strconv"
	"testing"
	"time"
)

func TestQueryRejectedWhenNotesShowItCannotFinish(t *testing.T) {
	w := newWorld(t, 1, nil)
	q := w.arrive(1, 1, -1, 1900*ms)
	w.pass(sec)
	if w.s.NoteReceived(w.now, q.id, 0, Progress, 0.1); !q.answered {
		t.Fatal("held to its queue timeout")
	}
}

// Where all engines were full, queries that their notes showed to be slow were called off
// after a second and begun anew on others as slow: half of the engines' time was lost so.
func TestSlowQueryIsNotMovedWhenAllEnginesAreFull(t *testing.T) {
	for _, full := range []bool{false, true} {
		w := newWorld(t, 4, map[string]string{"report.how": "probed", "may.probe": "false", "may.copy": "true"})
		q := w.arrive(1, 1, -1, 15*sec)
		for range 10 {
			w.pass(100 * ms)
			for _, id := range w.ids() {
				w.report(id, map[string]float64{"held": map[bool]float64{false: 2, true: 40}[full]})
			}
		}
		w.s.NoteReceived(w.now, q.id, 0, Progress, 0.1) // nine seconds to go, of one and a half that it should take
		w.pass(10 * ms)
		if moved := w.s.queries[q.id].attempts[0].moving; moved == full || q.answered {
			t.Fatalf("full %v, moved %v, given up %v", full, moved, q.answered)
		}
	}
}

// An engine that was full is tried again while those that it turned away have time left.
func TestRejectingEngineIsRetriedInTime(t *testing.T) {
	w := newImpatientWorld(t, 1, nil)
	q := w.arrive(0, 1, -1, 290*ms)
	w.end(q, 0, Rejected)
	if w.pass(120 * ms); len(q.attempts) != 2 {
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
		w := newImpatientWorld(t, 1, c.more)
		w.set("e0", EngineDraining)
		w.arrive(0, 1, -1, 200*ms)
		if w.pass(250 * ms); len(w.retryAfters) != 1 || w.retryAfters[0] != c.want {
			t.Fatalf("%v: %v", c.want, w.retryAfters)
		}
	}
}

// hasty: all groups are wanted within 120 ms and given up after 300; what suits deadlines of
// seconds outlasts them.
func newImpatientWorld(t *testing.T, engines int, more map[string]string) *world {
	f := map[string]string{"may.probe": "false", "note.period": "2000", "return.most": "1000"}
	for i := range 3 {
		at := "group." + strconv.Itoa(i) + "."
		f[at+"target"], f[at+"timeout"], f[at+"stretch"] = "120", "300", "0"
	}
	for k, v := range more {
		f[k] = v
	}
	return newWorld(t, engines, f)
}

package scheduler

import (
	"testing"
	"time"
)

// A slow load held up its key's line; when it ended all twenty that stood behind it
// were given up in one moment, came back in one moment, and the last of them reached
// the gateway with most of their time gone: queries lost.
func TestKeyQueueHoldsNoMoreThanCanBeDone(t *testing.T) {
	h := newHarness(t, 2, nil)
	head := h.arrive(2, 1, 5, 25*sec)
	var line []*clientQuery
	for range 20 {
		h.advance(60 * ms)
		q := h.arrive(2, 2, 5, 20*sec)
		if line = append(line, q); q.answered && q.endedAt != h.now {
			t.Fatal("given up, and not at once")
		}
	}
	if line[1].answered {
		t.Fatal("there is time enough for the first ones")
	}
	if h.advance(11 * sec); !line[19].answered {
		t.Fatal("nineteen loads of a second and a half before it, and twenty seconds of time")
	}
	h.setState("e0", EngineDraining) // no room: the queue is not empty when the next's turn comes
	h.setState("e1", EngineDraining)
	h.arrive(2, 3, -1, 20*sec)
	h.endAttempt(head, 0, Finished)
	h.advance(ms)
	at := map[time.Duration]int{}
	for _, q := range line {
		if q.answered {
			at[q.endedAt]++
		}
	}
	for when, n := range at {
		if n > 13 { // as many as can be done in their time, at 1.5 s each
			t.Fatalf("%d of one line were given up at %v", n, when)
		}
	}
}

// A key rests after an end that may leave the engine at work, so that the next query doesn't
// overtake it. The query itself is retried meanwhile.
func TestQueryIsRetriedWhileItsOwnKeyRests(t *testing.T) {
	h := newHarness(t, 2, map[string]string{"group.1.in-order": "true"})
	first := h.arrive(1, 1, 5, 15*sec)
	second := h.arrive(1, 1, 5, 15*sec)
	h.endAttempt(first, 0, ConnectionReset)
	if h.advance(50 * ms); len(first.attempts) != 2 {
		t.Fatalf("%d attempts of the query whose attempt was reset", len(first.attempts))
	}
	h.endAttempt(first, 1, Finished)
	if h.advance(100 * ms); len(second.attempts) != 0 {
		t.Fatal("the next query of the key is sent while it rests")
	}
	if h.advance(400 * ms); len(second.attempts) != 1 {
		t.Fatal("the next query of the key waits past its rest")
	}
}

package scheduler

import (
	"testing"
	"time"
)

// A slow load blocked the queue of its key. When it ended, all twenty queries behind it were
// rejected together and retried together. The last of them reached the controller with little time
// left, and some were lost.
func TestKeyQueueRejectsQueriesThatCannotFinish(t *testing.T) {
	h := newHarness(t, 2, nil)
	head := h.arrive(2, 1, 5, 25*sec)
	var queued []*clientQuery
	for range 20 {
		h.advance(60 * ms)
		q := h.arrive(2, 2, 5, 20*sec)
		if queued = append(queued, q); q.answered && q.endedAt != h.now {
			t.Fatal("query rejected later than on arrival")
		}
	}
	if queued[1].answered {
		t.Fatal("second query rejected although it has enough time")
	}
	if h.advance(11 * sec); !queued[19].answered {
		t.Fatal("last query kept for 20 s behind nineteen loads of 1.5 s")
	}
	h.setState("e0", EngineDraining) // no capacity: the queue isn't empty when the next query's turn comes
	h.setState("e1", EngineDraining)
	h.arrive(2, 3, -1, 20*sec)
	h.endAttempt(head, 0, Finished)
	h.advance(ms)
	rejections := map[time.Duration]int{}
	for _, q := range queued {
		if q.answered {
			rejections[q.endedAt]++
		}
	}
	for when, n := range rejections {
		if n > 13 { // as many as can run in their time, at 1.5 s each
			t.Fatalf("%d queries of one key rejected at %v", n, when)
		}
	}
}

// A key cools down after an attempt that the engine may still run, so that the next query doesn't
// overtake it. The query of that attempt is retried meanwhile.
func TestQueryIsRetriedWhileItsOwnKeyCoolsDown(t *testing.T) {
	h := newHarness(t, 2, map[string]string{"group.1.in-order": "true"})
	first := h.arrive(1, 1, 5, 15*sec)
	second := h.arrive(1, 1, 5, 15*sec)
	h.endAttempt(first, 0, ConnectionReset)
	if h.advance(50 * ms); len(first.attempts) != 2 {
		t.Fatalf("query whose attempt was reset has %d attempts, want 2", len(first.attempts))
	}
	h.endAttempt(first, 1, Finished)
	if h.advance(100 * ms); len(second.attempts) != 0 {
		t.Fatal("next query of the key sent during the cooldown")
	}
	if h.advance(400 * ms); len(second.attempts) != 1 {
		t.Fatal("next query of the key not sent after the cooldown")
	}
}

package scheduler

import (
	"testing"
	"time"
)

func TestChainDelaysWriteAndSendsItToSameEngine(t *testing.T) {
	h := newHarness(t, 4, nil)
	a, b := h.arrive(2, 1, -1, 25*sec), h.arrive(2, 1, -1, 25*sec)
	if len(a.attempts) != 1 || len(b.attempts) != 0 {
		t.Fatalf("first write sent %d times, second %d times", len(a.attempts), len(b.attempts))
	}
	h.advance(500 * ms)
	h.endAttempt(a, 0, Finished)
	if sentTo(b) != sentTo(a) {
		t.Fatalf("waiting write sent to %q, the chain runs on %q", sentTo(b), sentTo(a))
	}
}

func TestChainAffinityEndsAfterItsDuration(t *testing.T) {
	for _, c := range []struct {
		rest time.Duration
		same bool
	}{{9 * sec, true}, {11 * sec, false}} {
		same := 0
		for i := range 20 {
			h := newHarness(t, 8, nil)
			a := h.arrive(2, int64(i), -1, 25*sec)
			h.endAttempt(a, 0, Finished)
			h.s.rng = newPCG(uint64(i))
			h.advance(c.rest)
			if b := h.arrive(2, int64(i), -1, 25*sec); sentTo(b) == sentTo(a) {
				same++
			}
		}
		if (same == 20) != c.same {
			t.Fatalf("%v after the first write, the second one went to the same engine %d times of 20", c.rest, same)
		}
	}
}

func TestChainSendsWaitingWriteAfterItsTimeout(t *testing.T) {
	h := newHarness(t, 4, nil)
	a, waiting := h.arrive(2, 1, -1, 25*sec), h.arrive(2, 1, -1, 25*sec)
	h.advance(20 * sec)
	if len(waiting.attempts) != 1 || sentTo(waiting) == sentTo(a) {
		t.Fatalf("waiting write sent %d times, to %q; the first one is on %q",
			len(waiting.attempts), sentTo(waiting), sentTo(a))
	}
}

// A write that waits for another one starts beside it while it has time left. Clients with short
// timeouts left before the maximum wait of 1 s.
func TestWaitingWriteStartsWhileItHasTime(t *testing.T) {
	h := newShortTimeoutHarness(t, 2, map[string]string{"loads": "true,false,false"})
	first, waiting := h.arrive(0, 1, -1, 290*ms), h.arrive(0, 1, -1, 290*ms)
	if len(first.attempts) != 1 || len(waiting.attempts) != 0 {
		t.Fatal("the second write did not wait")
	}
	if h.advance(150 * ms); len(waiting.attempts) != 1 {
		t.Fatalf("after 150 ms of 290, the waiting write was sent %d times", len(waiting.attempts))
	}
}

package scheduler

import (
	"testing"
	"time"
)

func TestChainHoldsWriteAndSendsItToSameEngine(t *testing.T) {
	h := newHarness(t, 4, nil)
	a, b := h.arrive(2, 1, -1, 25*sec), h.arrive(2, 1, -1, 25*sec)
	if len(a.attempts) != 1 || len(b.attempts) != 0 {
		t.Fatalf("first sent %d times, second %d", len(a.attempts), len(b.attempts))
	}
	h.advance(500 * ms)
	h.endAttempt(a, 0, Finished)
	if sentTo(b) != sentTo(a) {
		t.Fatalf("held load went to %q, chain runs on %q", sentTo(b), sentTo(a))
	}
}

func TestChainAffinityEndsAfterItsSpan(t *testing.T) {
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
			t.Fatalf("%v after its end the chain went on at its engine %d times of 20", c.rest, same)
		}
	}
}

func TestChainSendsWaitingWriteAfterItsTimeout(t *testing.T) {
	h := newHarness(t, 4, nil)
	a, b := h.arrive(2, 1, -1, 25*sec), h.arrive(2, 1, -1, 25*sec)
	h.advance(20 * sec)
	if len(b.attempts) != 1 || sentTo(b) == sentTo(a) {
		t.Fatalf("held load sent %d times, to %q beside %q", len(b.attempts), sentTo(b), sentTo(a))
	}
}

// A load held behind another goes on alone while there is time; after 1 s its client had long gone.
func TestWaitingWriteGoesOnWhileItHasTime(t *testing.T) {
	h := newShortTimeoutHarness(t, 2, map[string]string{"loads": "true,false,false"})
	first, held := h.arrive(0, 1, -1, 290*ms), h.arrive(0, 1, -1, 290*ms)
	if len(first.attempts) != 1 || len(held.attempts) != 0 {
		t.Fatal("not held, and the test proves nothing")
	}
	if h.advance(150 * ms); len(held.attempts) != 1 {
		t.Fatalf("held for 150 ms of 290, sent %d times", len(held.attempts))
	}
}

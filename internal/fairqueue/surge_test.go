package fairqueue

import (
	"math"
	"testing"
	"time"
)

// usually has a crowd's counter see a steady load up to a time.
func usually(x *surge, from, to time.Duration) {
	for at := from; at < to; at += 10 * time.Millisecond {
		x.add(at, 0.2, 20, 3)
	}
}

func TestCrowdIsSeenAndLearned(t *testing.T) {
	x := &surge{}
	usually(x, 0, 4*time.Second)
	if x.active {
		t.Fatal("what usually comes is no crowd")
	}
	for n := range 3 {
		from := time.Duration(4+10*n) * time.Second
		seen := time.Duration(-1)
		for at := from; at < from+400*time.Millisecond; at += time.Millisecond {
			times := x.add(at, 0.4, 20, 3) // 400 a second, not 20
			if x.active && seen < 0 {
				seen = at - from
			}
			if at == from+200*time.Millisecond {
				if times < 10 || times > 30 {
					t.Fatalf("crowd %d is %v times the usual, not about 20", n, times)
				}
				if left := x.remainingSeconds(at); n > 0 && math.Abs(left-0.2) > 0.06 {
					t.Fatalf("crowd %d goes on for %v s, not about 0.2", n, left)
				}
			}
		}
		if seen < 0 || seen > 50*time.Millisecond {
			t.Fatalf("crowd %d was seen after %v", n, seen)
		}
		usually(x, from+400*time.Millisecond, from+10*time.Second)
		if x.active || x.remainingSeconds(from+10*time.Second) != 0 {
			t.Fatal("a crowd that is over goes on")
		}
	}
}

// More for good is what usually comes from then on, not a crowd without an end.
func TestCrowdThatStaysIsNone(t *testing.T) {
	x := &surge{}
	usually(x, 0, 4*time.Second)
	for at := 4 * time.Second; at < 10*time.Second; at += time.Millisecond {
		times := x.add(at, 0.4, 20, 3)
		if at > 4*time.Second+maxSurgeDuration+2*surgeSlotCount*surgeSlotDuration && (x.active || times != 1) {
			t.Fatal("still a crowd at ", at)
		}
	}
	if x.durations.count != 0 {
		t.Fatal("it is no measure of how long crowds are")
	}
}

func TestTrim(t *testing.T) {
	var x estimateCorrection
	if x.factor(0, 0.1) != 1 {
		t.Fatal("nothing was learned")
	}
	now := time.Second
	for range 60 { // short waits are 1.5 times what was told
		now += 5 * time.Millisecond
		x.add(now, 0.1, 0.15)
	}
	if f := x.factor(now, 0.1); f < 1.25 || f > 1.5 {
		t.Fatalf("short waits are trimmed by %v", f)
	}
	if f := x.factor(now, 6); f > 1.1 {
		t.Fatalf("long waits by what short ones taught, %v", f)
	}
	if f := x.factor(now+10*time.Second, 0.1); math.Abs(f-1) > 0.1 {
		t.Fatalf("it doesn't fade: %v", f)
	}
	for range 2000 { // a wait of a minute where a second was told is no rule
		now += 5 * time.Millisecond
		x.add(now, 1, 60)
	}
	if f := x.factor(now, 6); f > math.Exp(maxLongWaitLogRatio)+1e-9 {
		t.Fatalf("long waits are trimmed by %v", f)
	}
}

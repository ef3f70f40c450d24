package fairqueue

import (
	"math"
	"testing"
	"time"
)

// addSteadyLoad adds a load of 20 thread seconds per second between two times.
func addSteadyLoad(s *surge, from, to time.Duration) {
	for now := from; now < to; now += 10 * time.Millisecond {
		s.add(now, 0.2, 20, 3)
	}
}

func TestSurgeIsDetectedAndItsDurationLearned(t *testing.T) {
	s := &surge{}
	addSteadyLoad(s, 0, 4*time.Second)
	if s.active {
		t.Fatal("the usual load was detected as a surge")
	}
	for i := range 3 {
		start := time.Duration(4+10*i) * time.Second
		detectedAfter := time.Duration(-1)
		for now := start; now < start+400*time.Millisecond; now += time.Millisecond {
			factor := s.add(now, 0.4, 20, 3) // 400 thread seconds per second instead of 20
			if s.active && detectedAfter < 0 {
				detectedAfter = now - start
			}
			if now == start+200*time.Millisecond {
				if factor < 10 || factor > 30 {
					t.Fatalf("surge %d: factor is %v, want about 20", i, factor)
				}
				if remaining := s.remainingSeconds(now); i > 0 && math.Abs(remaining-0.2) > 0.06 {
					t.Fatalf("surge %d: remaining seconds are %v, want about 0.2", i, remaining)
				}
			}
		}
		if detectedAfter < 0 || detectedAfter > 50*time.Millisecond {
			t.Fatalf("surge %d: detected after %v, want at most 50ms", i, detectedAfter)
		}
		addSteadyLoad(s, start+400*time.Millisecond, start+10*time.Second)
		if s.active || s.remainingSeconds(start+10*time.Second) != 0 {
			t.Fatal("the surge is still active after its end")
		}
	}
}

// A lasting increase must become the usual load. It must not stay a surge, and must not count as the
// duration of one.
func TestLastingIncreaseIsNotASurge(t *testing.T) {
	s := &surge{}
	addSteadyLoad(s, 0, 4*time.Second)
	for now := 4 * time.Second; now < 10*time.Second; now += time.Millisecond {
		factor := s.add(now, 0.4, 20, 3)
		if now > 4*time.Second+maxSurgeDuration+2*surgeSlotCount*surgeSlotDuration && (s.active || factor != 1) {
			t.Fatal("the surge is still active at ", now)
		}
	}
	if s.durations.count != 0 {
		t.Fatal("the lasting increase was recorded as a surge duration")
	}
}

func TestEstimateCorrection(t *testing.T) {
	var correction estimateCorrection
	if correction.factor(0, 0.1) != 1 {
		t.Fatal("the initial correction is not 1")
	}
	now := time.Second
	for range 60 { // short waits are 1.5 times their estimates
		now += 5 * time.Millisecond
		correction.add(now, 0.1, 0.15)
	}
	if factor := correction.factor(now, 0.1); factor < 1.25 || factor > 1.5 {
		t.Fatalf("factor of short waits is %v, want between 1.25 and 1.5", factor)
	}
	if factor := correction.factor(now, 6); factor > 1.1 {
		t.Fatalf("the errors of short waits changed the factor of long waits to %v", factor)
	}
	if factor := correction.factor(now+10*time.Second, 0.1); math.Abs(factor-1) > 0.1 {
		t.Fatalf("the factor of short waits is still %v after 10 s, want about 1", factor)
	}
	for range 2000 { // waits of a minute with an estimate of a second
		now += 5 * time.Millisecond
		correction.add(now, 1, 60)
	}
	if factor := correction.factor(now, 6); factor > math.Exp(maxLongWaitLogRatio)+1e-9 {
		t.Fatalf("factor of long waits is %v, above the limit", factor)
	}
}

package fairqueue

import (
	"time"
)

// surge detects that far more work arrives than usual, for example when an alert goes out. It
// estimates by what factor the arrivals exceed the usual rate and how long the surge will go on: as
// long as recent surges lasted or, if there was none yet, as long again as this one has lasted.
// Without this detection the estimates of a surge's first queries would ignore the queries that
// arrive after them, and the arrival rate would stay too high after the surge.
type surge struct {
	slots          [surgeSlotCount]float64 // arrived work by time slot, a ring buffer
	currentSlot    int64
	sum            float64 // of all slots
	active         bool
	becameNormal   bool // the surge exceeded maxSurgeDuration, so its rate counts as the usual one
	startedAt      time.Duration
	arrivedWork    float64 // since startedAt
	lastElevatedAt time.Duration
	durations      runningMean // of past surges, in seconds
}

const (
	surgeSlotCount    = 4
	surgeSlotDuration = 25 * time.Millisecond
	surgeFactor       = 3.0 // a surge exceeds this multiple of the usual rate
	maxSurgeDuration  = time.Second
)

// advance moves the ring buffer to a time and clears the slots that expired.
func (s *surge) advance(now time.Duration) {
	slot := int64(now / surgeSlotDuration)
	if slot-s.currentSlot >= surgeSlotCount {
		s.slots, s.sum = [surgeSlotCount]float64{}, 0
	} else {
		for ; s.currentSlot < slot; s.currentSlot++ {
			expired := &s.slots[(s.currentSlot+1)%surgeSlotCount]
			s.sum -= *expired
			*expired = 0
		}
	}
	s.currentSlot = slot
}

// add counts arrived work and returns the factor by which arrivals exceed normalRate, at least 1.
// minWork is an amount of work that alone is no surge.
func (s *surge) add(now time.Duration, work, normalRate, minWork float64) float64 {
	s.update(now, normalRate, minWork)
	s.slots[s.currentSlot%surgeSlotCount] += work
	s.sum += work
	if s.active {
		s.arrivedWork += work
		recentWork := s.slots[s.currentSlot%surgeSlotCount] +
			s.slots[(s.currentSlot+surgeSlotCount-1)%surgeSlotCount]
		if recentWork > surgeFactor*normalRate*2*surgeSlotDuration.Seconds() {
			s.lastElevatedAt = now
		}
		return s.factor(now, normalRate)
	}
	return 1
}

// update starts or ends the surge.
func (s *surge) update(now time.Duration, normalRate, minWork float64) {
	s.advance(now)
	spanSeconds := (surgeSlotCount * surgeSlotDuration).Seconds()
	elevated := s.sum > surgeFactor*normalRate*spanSeconds+minWork
	switch {
	case !s.active && elevated && !s.becameNormal:
		s.active, s.startedAt, s.lastElevatedAt, s.arrivedWork = true, max(0, now-surgeSlotDuration), now, s.sum
	case s.active && !elevated:
		s.active = false
		s.durations.add((s.lastElevatedAt - s.startedAt).Seconds(), 4)
	case s.active && now-s.startedAt > maxSurgeDuration:
		s.active, s.becameNormal = false, true
	case s.becameNormal && !elevated:
		s.becameNormal = false
	}
}

// factor returns the factor by which arrivals exceed normalRate during a surge, otherwise 1.
func (s *surge) factor(now time.Duration, normalRate float64) float64 {
	if !s.active || normalRate <= 0 {
		return 1
	}
	return max(1, s.arrivedWork/max(now-s.startedAt, surgeSlotDuration).Seconds()/normalRate)
}

// remainingSeconds estimates how much longer the current surge will last, 0 if there is none.
func (s *surge) remainingSeconds(now time.Duration) float64 {
	if !s.active {
		return 0
	}
	elapsed := (now - s.startedAt).Seconds()
	return max(0, s.durations.valueOr(2*elapsed)-elapsed)
}

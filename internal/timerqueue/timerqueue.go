// Package timerqueue provides a queue of timers for an event loop that keeps its own time.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is a callback with its due time.
type Timer struct {
	at       time.Duration
	sequence uint64
	callback func()
	index    int // in the heap, -1 once removed
}

// Queue holds pending timers, the earliest first. Timers with the same due time fire in the order
// in which they were added, so that the same events lead to the same actions.
type Queue struct {
	timers       timerHeap
	lastSequence uint64
}

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	x.(*Timer).index = len(*h)
	*h = append(*h, x.(*Timer))
}
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	last.index = -1
	return last
}

// Add schedules a callback. Its reason may be gone by the due time, so the callback has to check
// that, or the timer has to be cancelled.
func (q *Queue) Add(at time.Duration, callback func()) *Timer {
	q.lastSequence++
	timer := &Timer{at: at, sequence: q.lastSequence, callback: callback}
	heap.Push(&q.timers, timer)
	return timer
}

// Cancel removes a timer; one that is nil or already removed is ignored. Without it, what the
// callback refers to would stay in memory until the due time.
func (q *Queue) Cancel(timer *Timer) {
	if timer != nil && timer.index >= 0 {
		heap.Remove(&q.timers, timer.index)
		timer.callback = nil
	}
}

// Len returns the number of pending timers.
func (q *Queue) Len() int { return len(q.timers) }

// PopDue removes the earliest timer if it is due, and returns its callback.
func (q *Queue) PopDue(now time.Duration) (func(), bool) {
	if at, ok := q.NextDue(); !ok || at > now {
		return nil, false
	}
	return heap.Pop(&q.timers).(*Timer).callback, true
}

// NextDue returns the due time of the earliest timer, false if there is none.
func (q *Queue) NextDue() (time.Duration, bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

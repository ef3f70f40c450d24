// Package timerqueue keeps due times in one ordered structure.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is one thing to do at a time.
type Timer struct {
	at  time.Duration
	seq uint64
	do  func()
	i   int // its place, -1 once it has left
}

// Queue holds all due times of an instance; equal times leave in the order in
// which they came, so that the same events give the same actions.
type Queue struct {
	items items
	seq   uint64
}

type items []*Timer

func (l items) Len() int { return len(l) }
func (l items) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].seq < l[j].seq
}
func (l items) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].i, l[j].i = i, j
}
func (l *items) Push(x any) {
	x.(*Timer).i = len(*l)
	*l = append(*l, x.(*Timer))
}
func (l *items) Pop() any {
	last := (*l)[len(*l)-1]
	(*l)[len(*l)-1] = nil
	*l = (*l)[:len(*l)-1]
	last.i = -1
	return last
}

// Add has do done at a time. What it was meant for may be over by then: do has
// to look again, unless it was dropped.
func (t *Queue) Add(at time.Duration, do func()) *Timer {
	t.seq++
	x := &Timer{at: at, seq: t.seq, do: do}
	heap.Push(&t.items, x)
	return x
}

// Cancel takes one out that is not to be done any more, whether it was done or
// not: far due times would keep what they are for in memory.
func (t *Queue) Cancel(x *Timer) {
	if x != nil && x.i >= 0 {
		heap.Remove(&t.items, x.i)
		x.do = nil
	}
}

// Len is how many there are.
func (t *Queue) Len() int { return len(t.items) }

// PopDue gives what is due by now, if anything is.
func (t *Queue) PopDue(now time.Duration) (func(), bool) {
	if at, ok := t.NextDue(); !ok || at > now {
		return nil, false
	}
	return heap.Pop(&t.items).(*Timer).do, true
}

// NextDue is the earliest due time.
func (t *Queue) NextDue() (time.Duration, bool) {
	if len(t.items) == 0 {
		return 0, false
	}
	return t.items[0].at, true
}

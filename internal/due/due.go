// Package due keeps due times in one ordered structure.
package due

import (
	"container/heap"
	"time"
)

// item is one thing to do at a time. What it was meant for may be over by
// then: do has to look again, since nothing is ever taken out early.
type item struct {
	at  time.Duration
	seq uint64
	do  func()
}

// Times holds all due times of an instance; equal times leave in the order in
// which they came, so that the same events give the same actions.
type Times struct {
	items items
	seq   uint64
}

type items []item

func (l items) Len() int { return len(l) }
func (l items) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].seq < l[j].seq
}
func (l items) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *items) Push(x any)   { *l = append(*l, x.(item)) }
func (l *items) Pop() any {
	last := (*l)[len(*l)-1]
	(*l)[len(*l)-1] = item{}
	*l = (*l)[:len(*l)-1]
	return last
}

// Add has do done at a time.
func (t *Times) Add(at time.Duration, do func()) {
	t.seq++
	heap.Push(&t.items, item{at, t.seq, do})
}

// Next gives what is due by now, if anything is.
func (t *Times) Next(now time.Duration) (func(), bool) {
	if at, ok := t.First(); !ok || at > now {
		return nil, false
	}
	return heap.Pop(&t.items).(item).do, true
}

// First is the earliest due time.
func (t *Times) First() (time.Duration, bool) {
	if len(t.items) == 0 {
		return 0, false
	}
	return t.items[0].at, true
}

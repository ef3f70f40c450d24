package decide

import (
	"container/heap"
	"time"
)

// due is one thing to do at a time. What it was meant for may be over by
// then: do has to look again, since nothing is ever taken out early.
type due struct {
	at  time.Duration
	seq uint64
	do  func()
}

// dues holds all due times of an instance; equal times leave in the order in
// which they came, so that the same events give the same actions.
type dues struct {
	items []due
	seq   uint64
}

func (d *dues) Len() int { return len(d.items) }
func (d *dues) Less(i, j int) bool {
	a, b := d.items[i], d.items[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (d *dues) Swap(i, j int) { d.items[i], d.items[j] = d.items[j], d.items[i] }
func (d *dues) Push(x any)    { d.items = append(d.items, x.(due)) }
func (d *dues) Pop() any {
	last := d.items[len(d.items)-1]
	d.items[len(d.items)-1] = due{}
	d.items = d.items[:len(d.items)-1]
	return last
}

func (d *dues) add(at time.Duration, do func()) {
	d.seq++
	heap.Push(d, due{at, d.seq, do})
}

// next gives what is due by now, if anything is.
func (d *dues) next(now time.Duration) (func(), bool) {
	if len(d.items) == 0 || d.items[0].at > now {
		return nil, false
	}
	return heap.Pop(d).(due).do, true
}

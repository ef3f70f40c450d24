package resultstore

import (
	"slices"
	"sync"
)

// lately keeps what was read of results last: a result's pages are mostly asked for
// one after another, and where thousands of them stand takes a millisecond to decode.
type lately struct {
	mu    sync.Mutex
	l     []*Meta // the last asked for at the end
	pages int
}

// latelyMost bounds the pages of all that are kept, at some 40 bytes each.
const latelyMost = 1 << 16

func (x *lately) find(id uint64) *Meta {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, m := range x.l {
		if m.Result == id {
			x.l = append(slices.Delete(x.l, i, i+1), m)
			return m
		}
	}
	return nil
}

func (x *lately) keep(m *Meta) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forget(m.Result)
	x.l = append(x.l, m)
	for x.pages += len(m.places); x.pages > latelyMost && len(x.l) > 1 || len(x.l) > 64; {
		x.pages -= len(x.l[0].places)
		x.l = slices.Delete(x.l, 0, 1)
	}
}

func (x *lately) drop(id uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forget(id)
}

func (x *lately) forget(id uint64) {
	x.l = slices.DeleteFunc(x.l, func(m *Meta) bool {
		if m.Result == id {
			x.pages -= len(m.places)
			return true
		}
		return false
	})
}

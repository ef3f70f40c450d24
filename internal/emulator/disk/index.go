package disk

import (
	"maps"
	"slices"
	"sync"

	"railrelay.dev/railrelay/internal/resultstore"
)

// Index is an index in memory that remembers what it held after each step of a disk.
type Index struct {
	mu   sync.Mutex
	disk *Disk
	held []held
}

type held struct {
	step    int
	results map[uint64]*resultstore.Meta
	segment uint64
	offset  int64
}

// NewIndex makes an empty one beside a disk.
func NewIndex(d *Disk) *Index { return &Index{disk: d, held: []held{{}}} }

func (x *Index) last() *held { return &x.held[len(x.held)-1] }

// After is the index as a crash after so many steps of the disk leaves it.
func (x *Index) AfterCrash(steps int, d *Disk) *Index {
	x.mu.Lock()
	defer x.mu.Unlock()
	at := held{}
	for _, h := range x.held {
		if h.step <= steps {
			at = h
		}
	}
	at.step = 0
	return &Index{disk: d, held: []held{at}}
}

// Position is the place up to which it is.
func (x *Index) Position() (uint64, int64, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.last().segment, x.last().offset, nil
}

// Commit changes it at once.
func (x *Index) Commit(put []*resultstore.Meta, gone []uint64, segment uint64, offset int64) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	next := maps.Clone(x.last().results)
	if next == nil {
		next = map[uint64]*resultstore.Meta{}
	}
	for _, m := range put {
		next[m.Result] = m
	}
	for _, id := range gone {
		delete(next, id)
	}
	x.held = append(x.held, held{x.disk.StepCount(), next, segment, offset})
	return nil
}

// Get is one result.
func (x *Index) Get(id uint64) (*resultstore.Meta, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if m := x.last().results[id]; m != nil {
		return m, nil
	}
	return nil, resultstore.ErrNotFound
}

// Each hands over all, by number.
func (x *Index) Each(do func(m *resultstore.Meta) error) error {
	x.mu.Lock()
	all := x.last().results
	x.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(all)) {
		if err := do(all[id]); err != nil {
			return err
		}
	}
	return nil
}

// Scrub has nothing to do: what is deleted leaves nothing.
func (x *Index) Scrub() error { return nil }

// Reset empties it.
func (x *Index) Reset() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.held = append(x.held, held{step: x.disk.StepCount()})
	return nil
}

// Close does nothing.
func (x *Index) Close() error { return nil }

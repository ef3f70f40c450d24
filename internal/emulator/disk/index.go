package disk

import (
	"maps"
	"slices"
	"sync"

	"railrelay.dev/railrelay/internal/resultstore"
)

// Index is an in-memory result index. It records its state at each commit together with the
// disk's operation count, so that AfterCrash can return to it.
type Index struct {
	mu     sync.Mutex
	disk   *Disk
	states []indexState
}

type indexState struct {
	step    int
	results map[uint64]*resultstore.Meta
	segment uint64
	offset  int64
}

// NewIndex creates an empty index that belongs to a disk.
func NewIndex(d *Disk) *Index { return &Index{disk: d, states: []indexState{{}}} }

func (x *Index) current() *indexState { return &x.states[len(x.states)-1] }

// AfterCrash returns the index as a crash after so many recorded operations of the disk leaves it. The
// index belongs to d, the disk after the crash.
func (x *Index) AfterCrash(steps int, d *Disk) *Index {
	x.mu.Lock()
	defer x.mu.Unlock()
	at := indexState{}
	for _, state := range x.states {
		if state.step <= steps {
			at = state
		}
	}
	at.step = 0
	return &Index{disk: d, states: []indexState{at}}
}

// Position returns the segment and offset up to which the index is current.
func (x *Index) Position() (uint64, int64, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.current().segment, x.current().offset, nil
}

// Commit atomically puts and deletes results and sets the position.
func (x *Index) Commit(put []*resultstore.Meta, deleted []uint64, segment uint64, offset int64) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	next := maps.Clone(x.current().results)
	if next == nil {
		next = map[uint64]*resultstore.Meta{}
	}
	for _, m := range put {
		next[m.Result] = m
	}
	for _, id := range deleted {
		delete(next, id)
	}
	x.states = append(x.states, indexState{x.disk.StepCount(), next, segment, offset})
	return nil
}

// Get returns the metadata of one result, or resultstore.ErrNotFound.
func (x *Index) Get(id uint64) (*resultstore.Meta, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if m := x.current().results[id]; m != nil {
		return m, nil
	}
	return nil, resultstore.ErrNotFound
}

// Each calls visit with the metadata of each result in order of its ID, until visit returns an error.
func (x *Index) Each(visit func(m *resultstore.Meta) error) error {
	x.mu.Lock()
	all := x.current().results
	x.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(all)) {
		if err := visit(all[id]); err != nil {
			return err
		}
	}
	return nil
}

// Scrub does nothing: deleted entries leave no data behind.
func (x *Index) Scrub() error { return nil }

// Reset removes all entries.
func (x *Index) Reset() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.states = append(x.states, indexState{step: x.disk.StepCount()})
	return nil
}

// Close does nothing.
func (x *Index) Close() error { return nil }

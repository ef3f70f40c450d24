package hollow

import (
	"sync"
	"time"

	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/storage"
)

// Store keeps a controller's record in memory across restarts. Each write is delayed, so that it
// isn't faster than a synced write to disk. Store is safe for concurrent use.
type Store struct {
	name string // name of the emulated disk

	mu         sync.Mutex
	persistent consensus.PersistentState
	delay      time.Duration
}

// NewStore creates an empty store with the name of its emulated disk.
func NewStore(name string, delay time.Duration) *Store { return &Store{name: name, delay: delay} }

// SetDelay sets the delay of further writes.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	s.delay = delay
	s.mu.Unlock()
}

// Contents returns the state that a disk would hold at a start.
func (s *Store) Contents() storage.Contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	persistent := s.persistent
	persistent.Entries = append([]consensus.LogEntry(nil), persistent.Entries...)
	return storage.Contents{DiskID: s.name, Persistent: persistent}
}

// Write stores a state after the delay.
func (s *Store) Write(k consensus.PersistentState) error {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.persistent = Merge(s.persistent, k)
	return nil
}

// Close does nothing: the state stays for the next start.
func (s *Store) Close() error { return nil }

// Merge returns the state after next is written over current, as defined by
// consensus.PersistentState.
func Merge(current, next consensus.PersistentState) consensus.PersistentState {
	merged := current
	if next.HardState != nil {
		merged.HardState = next.HardState
	}
	if next.Snapshot != nil {
		merged.Snapshot, merged.Entries = next.Snapshot, nil
	}
	if len(next.Entries) == 0 {
		return merged
	}
	keep := len(merged.Entries)
	for keep > 0 && merged.Entries[keep-1].Index >= next.Entries[0].Index {
		keep--
	}
	if keep < len(merged.Entries) { // don't overwrite entries that current still refers to
		merged.Entries = merged.Entries[:keep:keep]
	}
	merged.Entries = append(merged.Entries, next.Entries...)
	return merged
}

package hollow

import (
	"sync"
	"time"

	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/storage"
)

// Store keeps a controller's record in memory, over its restarts. Each write takes a
// delay, so that memory isn't quicker than a synced disk would be. It may be used by
// several goroutines.
type Store struct {
	name string // of the disk that it stands for

	mu    sync.Mutex
	kept  consensus.PersistentState
	delay time.Duration
}

// NewStore makes an empty one under a disk's name.
func NewStore(name string, delay time.Duration) *Store { return &Store{name: name, delay: delay} }

// SetDelay has each later write take so long.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	s.delay = delay
	s.mu.Unlock()
}

// Found is what a disk would hold at a start.
func (s *Store) Contents() storage.Contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.kept
	kept.Entries = append([]consensus.LogEntry(nil), kept.Entries...)
	return storage.Contents{DiskID: s.name, Persistent: kept}
}

// Write keeps what a disk would, after the delay.
func (s *Store) Write(k consensus.PersistentState) error {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = Merge(s.kept, k)
	return nil
}

// Close does nothing: what is kept stays for the next start.
func (s *Store) Close() error { return nil }

// Merge gives what is kept once next has been written over before, as consensus.PersistentState says.
func Merge(before, next consensus.PersistentState) consensus.PersistentState {
	merged := before
	if next.HardState != nil {
		merged.HardState = next.HardState
	}
	if next.Snapshot != nil {
		merged.Snapshot, merged.Entries = next.Snapshot, nil
	}
	if len(next.Entries) == 0 {
		return merged
	}
	stay := len(merged.Entries)
	for stay > 0 && merged.Entries[stay-1].Index >= next.Entries[0].Index {
		stay--
	}
	if stay < len(merged.Entries) { // before keeps what is replaced here
		merged.Entries = merged.Entries[:stay:stay]
	}
	merged.Entries = append(merged.Entries, next.Entries...)
	return merged
}

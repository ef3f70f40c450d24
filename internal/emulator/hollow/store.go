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
	kept  consensus.Kept
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
func (s *Store) Found() storage.Contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.kept
	kept.Records = append([]consensus.Record(nil), kept.Records...)
	return storage.Contents{DiskID: s.name, Kept: kept}
}

// Write keeps what a disk would, after the delay.
func (s *Store) Write(k consensus.Kept) error {
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

// Merge gives what is kept once next has been written over before, as consensus.Kept says.
func Merge(before, next consensus.Kept) consensus.Kept {
	merged := before
	if next.Hard != nil {
		merged.Hard = next.Hard
	}
	if next.Snapshot != nil {
		merged.Snapshot, merged.Records = next.Snapshot, nil
	}
	if len(next.Records) == 0 {
		return merged
	}
	stay := len(merged.Records)
	for stay > 0 && merged.Records[stay-1].Index >= next.Records[0].Index {
		stay--
	}
	if stay < len(merged.Records) { // before keeps what is replaced here
		merged.Records = merged.Records[:stay:stay]
	}
	merged.Records = append(merged.Records, next.Records...)
	return merged
}

package resultstore

import (
	"errors"
	"io"
	"os"
)

// committedMeta returns the current Meta of a committed result, or ErrNotFound.
func (s *Store) committedMeta(result uint64) (*Meta, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.deleted[result] {
		return nil, ErrNotFound
	}
	if meta := s.recent[result]; meta != nil {
		return meta, nil
	}
	return s.index.Get(result)
}

// cachedMeta is committedMeta for Fetch. Its Meta may hold outdated locations after a compaction, which
// Fetch notices because the segment's file is gone. Compaction itself wouldn't notice.
func (s *Store) cachedMeta(result uint64) (*Meta, error) {
	if meta := s.metaCache.get(result); meta != nil {
		return meta, nil
	}
	meta, err := s.committedMeta(result)
	if err == nil {
		s.metaCache.put(meta)
	}
	return meta, err
}

// ErrCorrupt is returned by Fetch instead of a page that differs from what was written.
var ErrCorrupt = errors.New("the page is spoilt")

// Fetch returns a page of a result, committed or not.
func (s *Store) Fetch(result uint64, page int) ([]byte, error) {
	for attempt := 0; ; attempt++ {
		loc, err := s.findPage(result, page, s.cachedMeta)
		if err != nil {
			return nil, err
		}
		body, err := s.readPage(loc, result)
		if errors.Is(err, os.ErrNotExist) && attempt < 3 {
			s.metaCache.remove(result) // compaction has moved the page
			continue
		}
		return body, err
	}
}

// findPage returns the location of a page. The function meta looks up a committed result.
func (s *Store) findPage(result uint64, page int, meta func(result uint64) (*Meta, error)) (location, error) {
	s.mu.RLock()
	pending := s.pending[result]
	var locations []location
	if pending != nil {
		locations = pending.pageLocations
	}
	s.mu.RUnlock()
	if pending == nil {
		found, err := meta(result)
		if err != nil {
			return location{}, err
		}
		locations = found.pageLocations
	}
	if page < 0 || page >= len(locations) {
		return location{}, ErrNotFound
	}
	return locations[page], nil
}

// readPage reads a page of a result and checks that it is the right record.
func (s *Store) readPage(loc location, result uint64) ([]byte, error) {
	f, err := s.files.Open((&segment{number: loc.segment}).name())
	if err != nil {
		return nil, err
	}
	defer f.Close()
	buffer := make([]byte, recordHeaderSize+int(loc.size))
	if _, err := f.ReadAt(buffer, loc.offset); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, ErrCorrupt
		}
		return nil, err
	}
	record, _, err := readRecord(buffer, loc.segment)
	if err != nil || record.Kind != PageRecord || record.Result != result || len(record.Body) != int(loc.size) {
		return nil, ErrCorrupt
	}
	return record.Body, nil
}

package resultstore

import (
	"errors"
	"io"
	"os"
)

// meta is what is known of a result that was promised, for certain.
func (s *Store) meta(id uint64) (*Meta, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.gone[id] {
		return nil, ErrNotFound
	}
	if m := s.recent[id]; m != nil {
		return m, nil
	}
	return s.index.Get(id)
}

// glance is meta for readers, who may be told of a place that its page has just left.
// They find that out, since its segment's file is gone; compaction would not.
func (s *Store) glance(id uint64) (*Meta, error) {
	if m := s.lately.find(id); m != nil {
		return m, nil
	}
	m, err := s.meta(id)
	if err == nil {
		s.lately.keep(m)
	}
	return m, err
}

// ErrCorrupt tells that a page is not what was written. It is never handed out.
var ErrCorrupt = errors.New("the page is spoilt")

// Fetch reads a page of a result that was promised, or is being taken.
func (s *Store) Fetch(id uint64, page int) ([]byte, error) {
	for try := 0; ; try++ {
		at, err := s.find(id, page, s.glance)
		if err != nil {
			return nil, err
		}
		p, err := s.read(at, id)
		if errors.Is(err, os.ErrNotExist) && try < 3 {
			s.lately.drop(id) // it was moved meanwhile
			continue
		}
		return p, err
	}
}

func (s *Store) find(id uint64, page int, meta func(id uint64) (*Meta, error)) (place, error) {
	s.mu.RLock()
	t := s.open[id]
	var places []place
	if t != nil {
		places = t.places
	}
	s.mu.RUnlock()
	if t == nil {
		m, err := meta(id)
		if err != nil {
			return place{}, err
		}
		places = m.places
	}
	if page < 0 || page >= len(places) {
		return place{}, ErrNotFound
	}
	return places[page], nil
}

func (s *Store) read(at place, id uint64) ([]byte, error) {
	f, err := s.files.Open((&segment{number: at.segment}).name())
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p := make([]byte, recordHead+int(at.size))
	if _, err := f.ReadAt(p, at.offset); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, ErrCorrupt
		}
		return nil, err
	}
	r, _, err := readRecord(p, at.segment)
	if err != nil || r.Kind != PageRecord || r.Result != id || len(r.Body) != int(at.size) {
		return nil, ErrCorrupt
	}
	return r.Body, nil
}

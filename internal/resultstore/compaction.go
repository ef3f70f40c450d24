package resultstore

import (
	"errors"
	"maps"
	"math"
	"os"
	"slices"
)

// compaction moves what lives of a segment to the log's end.
type compaction struct {
	g      *segment
	file   File
	at     int64
	moved  map[uint64]map[uint32]place // by result and page
	wholes map[uint64]bool             // whose own record stands there
}

// next segment to compact: the one with the most dead in it, if that is enough.
func (s *Store) worst() *segment {
	if g := s.toErase(); g != nil {
		return g
	}
	var worst *segment
	dead := math.Inf(-1)
	for _, n := range s.numbers() {
		g := s.segments[n]
		if g == s.active {
			continue
		}
		part := 1 - float64(g.live)/float64(max(1, g.size-headSize))
		if (part >= s.terms.CompactionGarbageRatio || g.live == 0) && part > dead && !(g.live == 0 && s.needed(g)) {
			worst, dead = g, part
		}
	}
	return worst
}

// needed: all that counts in it are Gone records for results that may stand in older ones.
func (s *Store) needed(g *segment) bool {
	return g.keeps > 0 && g.size-headSize == int64(g.keeps)*recordHead && s.numbers()[0] < g.number
}

func (s *Store) compactStep() (more bool, err error) {
	if s.compact == nil {
		g := s.worst()
		if g == nil {
			return false, nil
		}
		f, err := s.files.Open(g.name())
		if err != nil {
			return false, err
		}
		s.compact = &compaction{g: g, file: f, at: headSize, moved: map[uint64]map[uint32]place{}, wholes: map[uint64]bool{}}
	}
	c := s.compact
	stop := errors.New("enough for now")
	var l []Record
	left := s.terms.CompactionStepBytes
	older := s.numbers()[0] < c.g.number
	known := map[uint64]*Meta{} // for this step, in which nothing else changes
	meta := func(id uint64) (m *Meta, err error) {
		if m = known[id]; m == nil {
			if m, err = s.meta(id); err == nil {
				known[id] = m
			}
		}
		return m, err
	}
	err = walk(c.file, c.g.number, c.at, c.g.size, func(r Record, at place) error {
		if left <= 0 {
			return stop
		}
		left -= r.size()
		c.at = at.offset + r.size()
		r.Body = slices.Clone(r.Body)
		switch r.Kind {
		case PageRecord:
			if now, err := s.find(r.Result, int(r.Page), meta); err == nil && now == at {
				l = append(l, r)
			}
		case CommitRecord:
			if m, err := meta(r.Result); err == nil && m.at == at {
				c.wholes[r.Result] = true
			}
		case TombstoneRecord:
			if older {
				l = append(l, r)
			}
		}
		return nil
	}, func(int64) {})
	if err != nil && err != stop {
		s.giveUp()
		return false, err
	}
	places, e := s.write(l)
	if e != nil {
		s.giveUp()
		return false, e
	}
	for i, r := range l {
		if r.Kind == TombstoneRecord {
			s.active.keeps++
			continue
		}
		if c.moved[r.Result] == nil {
			c.moved[r.Result] = map[uint32]place{}
		}
		c.moved[r.Result][r.Page] = places[i]
	}
	if err == stop {
		return true, nil
	}
	if err := s.moved(c); err != nil {
		s.giveUp()
		return false, err
	}
	s.compact = nil
	return true, c.file.Close()
}

// giveUp leaves a compaction: what was copied is garbage.
func (s *Store) giveUp() {
	s.compact.file.Close()
	s.compact = nil
}

// moved has what was copied count, and the segment no more.
func (s *Store) moved(c *compaction) error {
	for id := range c.moved {
		c.wholes[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(c.wholes)) {
		if err := s.relocate(id, c); err != nil {
			return err
		}
	}
	if err := s.sync(); err != nil {
		return err
	}
	if err := s.checkpoint(); err != nil { // the index must not name it any more
		return err
	}
	s.mu.Lock()
	delete(s.segments, c.g.number)
	s.total -= c.g.size
	s.mu.Unlock()
	s.leaving = append(s.leaving, c.g.name())
	return s.removeLeaving()
}

// removeLeaving removes the files of segments that count no more, those too that the
// disk refused to remove before.
func (s *Store) removeLeaving() error {
	if len(s.leaving) == 0 {
		return nil
	}
	if err := s.writeManifest(); err != nil {
		return err
	}
	for len(s.leaving) > 0 {
		if err := s.files.Remove(s.leaving[0]); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		s.leaving = s.leaving[1:]
	}
	return nil
}

func (s *Store) relocate(id uint64, c *compaction) error {
	to := func(page int, at place) place {
		if now, ok := c.moved[id][uint32(page)]; ok && at.segment == c.g.number {
			return now
		}
		return at
	}
	s.mu.Lock()
	if t := s.open[id]; t != nil {
		fresh := make([]place, len(t.places))
		for i, at := range t.places {
			if fresh[i] = to(i, at); fresh[i] != at {
				s.count(at, -1)
				s.count(fresh[i], 1)
			}
		}
		t.places = fresh
		s.mu.Unlock()
		return nil
	}
	s.mu.Unlock()
	m, err := s.meta(id)
	if err != nil {
		return nil // it went meanwhile
	}
	fresh := *m
	fresh.places = make([]place, len(m.places))
	for i, at := range m.places {
		fresh.places[i] = to(i, at)
	}
	places, err := s.write([]Record{{Kind: CommitRecord, Result: id, Body: fresh.encode()}})
	if err != nil {
		return err
	}
	fresh.at = places[0]
	s.mu.Lock()
	s.counts(m, -1)
	s.counts(&fresh, 1)
	s.recent[id] = &fresh
	s.lately.drop(id)
	s.mu.Unlock()
	return nil
}

// Package resultstore keeps results' pages on disk through crashes: segment files of
// checksummed records, an index in an embedded store, a manifest replaced at once.
//
// The segments are the truth. The manifest names those that count, the index is a
// shortcut to what they say up to a place; what comes after that place is read anew
// at the start. Whatever a crash leaves behind, a result is either there with every
// page or not at all:
//
//   - a segment counts once the manifest names it, so that one made halfway is none;
//   - a result is there once its Whole record is, which is written behind its pages
//     and synced with them;
//   - a segment leaves the manifest only after what lives of it was written and
//     synced elsewhere, and its file is removed after that.
//
// One goroutine writes (Do, Tick, Close); Fetch may be called from others meanwhile.
package resultstore

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
)

// SyncPolicy says when what is written is synced.
type SyncPolicy int

const (
	SyncOnCommit SyncPolicy = iota // before a result is promised
	SyncOnTick                     // at each Tick: a crash of the machine, not of the program, may take the last
	SyncNever                      // the system decides
)

// Options are a store's figures. Zero values take those named.
type Options struct {
	SegmentBytes           int64 // a segment is closed at (16 MiB)
	Sync                   SyncPolicy
	MaxIndexLag            int     // results that the index may be behind by (1024)
	CompactionGarbageRatio float64 // part of a segment that may be dead before it is compacted (0.5)
	CompactionStepBytes    int64   // read or copied by one step of compaction (1 MiB)
}

func (t Options) orUsual() Options {
	if t.SegmentBytes <= 0 {
		t.SegmentBytes = 16 << 20
	}
	if t.MaxIndexLag <= 0 {
		t.MaxIndexLag = 1024
	}
	if t.CompactionGarbageRatio <= 0 {
		t.CompactionGarbageRatio = 0.5
	}
	if t.CompactionStepBytes <= 0 {
		t.CompactionStepBytes = 1 << 20
	}
	return t
}

type segment struct {
	number uint64
	file   File // of the one that is written to, else nil
	size   int64
	live   int64 // bytes of records that count
	keeps  int   // Gone records in it
	odd    bool  // there is more in its file than its size says
}

func (g *segment) name() string { return fmt.Sprintf("%016x.seg", g.number) }

// Store is one directory's results.
type Store struct {
	terms Options
	files Files
	index Index

	mu       sync.RWMutex
	segments map[uint64]*segment
	recent   map[uint64]*Meta // promised since the index was last written
	gone     map[uint64]bool  // and no more since
	open     map[uint64]*taking
	lately   lately

	active  *segment
	next    uint64
	starts  uint64
	tombs   []Record // that could not be written yet
	dirty   bool     // something was written since the last sync
	compact *compaction
	erasing erasing
	leaving []string // files of segments that count no more and are still there
	buffer  []byte
	total   int64
}

// taking is a result that is being written and not promised.
type taking struct{ places []place }

// Open reads what a directory holds. Errors are those of the files; what is spoilt
// in them is no error, and is told.
func Open(files Files, index Index, terms Options) (*Store, Recovery, error) {
	s := &Store{terms: terms.orUsual(), files: files, index: index, segments: map[uint64]*segment{}, recent: map[uint64]*Meta{},
		gone: map[uint64]bool{}, open: map[uint64]*taking{}, next: 1}
	var found Recovery
	if err := s.readManifest(&found); err != nil {
		return nil, found, err
	}
	if err := s.recover(&found); err != nil {
		return nil, found, err
	}
	return s, found, nil
}

// counts adds what a result's records hold to their segments, or takes it away.
func (s *Store) counts(m *Meta, sign int64) {
	for _, at := range m.places {
		s.count(at, sign)
	}
	s.count(m.at, sign)
}

func (s *Store) count(at place, sign int64) {
	if g := s.segments[at.segment]; g != nil {
		g.live += sign * (recordHead + int64(at.size))
	}
}

// Each hands over every result that was promised, after Open.
func (s *Store) Each(do func(m *Meta) error) error { return s.index.Each(do) }

// Total is all that the segments hold, in bytes; Live what of it counts.
func (s *Store) TotalBytes() int64 { return s.total }

func (s *Store) LiveBytes() (sum int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, g := range s.segments {
		sum += g.live
	}
	return sum
}

// write puts records at the end of the log and says where they stand. On an error
// none of them counts.
func (s *Store) write(l []Record) ([]place, error) {
	if len(l) == 0 {
		return nil, nil
	}
	if s.active == nil || s.active.size >= s.terms.SegmentBytes {
		if err := s.roll(); err != nil {
			return nil, err
		}
	}
	g := s.active
	s.buffer = s.buffer[:0]
	places := make([]place, len(l))
	for i := range l {
		if len(l[i].Body) > MaxBodyBytes {
			return nil, fmt.Errorf("a record of %d bytes, more than %d", len(l[i].Body), MaxBodyBytes)
		}
		places[i] = place{g.number, g.size + int64(len(s.buffer)), uint32(len(l[i].Body))}
		s.buffer = appendRecord(s.buffer, g.number, &l[i])
	}
	if _, err := g.file.WriteAt(s.buffer, g.size); err != nil {
		if g.file.Truncate(g.size) != nil { // half of it stays there: nothing may follow
			g.odd = true
			s.seal()
		}
		return nil, err
	}
	s.mu.Lock()
	g.size += int64(len(s.buffer))
	s.total += int64(len(s.buffer))
	s.mu.Unlock()
	if s.dirty = true; cap(s.buffer) > 4<<20 {
		s.buffer = nil
	}
	return places, nil
}

// roll begins another segment.
func (s *Store) roll() error {
	if s.active != nil {
		if err := s.sync(); err != nil {
			return err
		}
		s.seal()
	}
	g := &segment{number: s.next}
	s.next++
	f, err := s.files.Create(g.name())
	if err != nil {
		return err
	}
	g.file = f
	if _, err = f.WriteAt(segmentHead(g.number), 0); err == nil {
		if g.size = headSize; s.terms.Sync != SyncNever {
			if err = f.Sync(); err == nil {
				err = s.files.SyncDir()
			}
		}
	}
	if err == nil {
		s.mu.Lock()
		s.segments[g.number] = g
		s.mu.Unlock()
		if err = s.writeManifest(); err != nil {
			s.mu.Lock()
			delete(s.segments, g.number)
			s.mu.Unlock()
		}
	}
	if err != nil {
		f.Close()
		s.files.Remove(g.name())
		return err
	}
	s.active = g
	s.total += headSize
	return nil
}

func (s *Store) seal() {
	s.active.file.Close()
	s.active.file, s.active = nil, nil
}

// sync brings all that was written to the disk for good. A disk that refuses says
// nothing about what of it got there: nothing more is written behind that.
func (s *Store) sync() error {
	if !s.dirty || s.active == nil || s.terms.Sync == SyncNever {
		s.dirty = false
		return nil
	}
	if err := s.active.file.Sync(); err != nil {
		s.seal()
		return err
	}
	s.dirty = false
	return nil
}

// Job is one thing to be done to the store. Err and Total are set once it is done.
type Job struct {
	// Pages are written to a result that is being taken.
	Pages []Record
	// Promise makes the result whole, once its Pages are written.
	Commit *Meta
	// Drop has a result be no more, whether it was promised or is being taken.
	Drop []uint64

	Err   error
	Total int64 // bytes of all segments, afterwards
}

// Do does jobs in their order, with one sync for all their promises.
func (s *Store) Do(jobs []*Job) {
	promises := false
	for _, j := range jobs {
		j.Err = s.do(j)
		promises = promises || j.Commit != nil && j.Err == nil
	}
	if promises && s.terms.Sync == SyncOnCommit {
		if err := s.sync(); err != nil {
			for _, j := range jobs {
				if j.Err == nil && j.Commit != nil {
					j.Err = err
					s.drop([]uint64{j.Commit.Result}) // it may be there after a crash all the same, and nobody has its token
				}
			}
		}
	}
	for _, j := range jobs {
		j.Total = s.total
	}
}

func (s *Store) do(j *Job) error {
	s.drop(j.Drop)
	places, err := s.write(j.Pages)
	if err != nil {
		return err
	}
	s.mu.Lock()
	for i, at := range places {
		id := j.Pages[i].Result
		t := s.open[id]
		if t == nil {
			t = &taking{}
			s.open[id] = t
		}
		t.places = append(t.places, at)
		s.count(at, 1)
	}
	s.mu.Unlock()
	if j.Commit != nil {
		return s.promise(j.Commit)
	}
	return nil
}

func (s *Store) promise(m *Meta) error {
	t := s.open[m.Result]
	if t == nil || len(t.places) != len(m.PageRows) {
		return errors.New("a result is promised whose pages were not all written")
	}
	m.places, m.PageBytes = t.places, make([]uint32, len(t.places))
	for i, at := range t.places {
		m.PageBytes[i] = at.size
	}
	places, err := s.write([]Record{{Kind: CommitRecord, Result: m.Result, Body: m.encode()}})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m.at = places[0]
	s.count(m.at, 1)
	s.recent[m.Result] = m
	delete(s.open, m.Result)
	return nil
}

// drop has results be no more.
func (s *Store) drop(l []uint64) {
	var tombs []Record
	for _, id := range l {
		s.mu.Lock()
		if t := s.open[id]; t != nil {
			for _, at := range t.places {
				s.count(at, -1)
			}
			delete(s.open, id)
			s.mu.Unlock()
			continue
		}
		s.mu.Unlock()
		m, err := s.meta(id)
		if err != nil {
			continue // it isn't there
		}
		s.mu.Lock()
		s.counts(m, -1)
		delete(s.recent, id)
		s.gone[id] = true
		s.lately.drop(id)
		s.mu.Unlock()
		tombs = append(tombs, Record{Kind: TombstoneRecord, Result: id})
	}
	s.tombs = append(s.tombs, tombs...)
	s.bury()
}

// bury writes that results are gone. Where the disk is full that has to wait: they are
// gone all the same, and if the program ends before, come back until their life is over.
func (s *Store) bury() {
	if _, err := s.write(s.tombs); err == nil && len(s.tombs) > 0 {
		s.active.keeps += len(s.tombs)
		s.tombs = nil
	}
}

// Tick is due now and then: it syncs where that is not done at promises, brings the
// index up, and goes on with compaction by a step. It says whether there is more to do.
func (s *Store) Tick() (more bool, err error) {
	s.bury()
	if s.terms.Sync == SyncOnTick {
		if err := s.sync(); err != nil {
			return false, err
		}
	}
	if err := s.checkpoint(); err != nil {
		return false, err
	}
	if err := s.beginErasing(); err != nil {
		return false, err
	}
	if more, err = s.compactStep(); err != nil {
		return false, err
	}
	return s.endErasing(more)
}

// checkpoint brings the index up to the log.
func (s *Store) checkpoint() error {
	if len(s.recent)+len(s.gone) == 0 || s.active == nil {
		return nil
	}
	if err := s.sync(); err != nil { // the index must not know more than the segments
		return err
	}
	ids := slices.Sorted(maps.Keys(s.recent))
	put := make([]*Meta, len(ids))
	for i, id := range ids {
		put[i] = s.recent[id]
	}
	gone := slices.Sorted(maps.Keys(s.gone))
	if err := s.index.Commit(put, gone, s.active.number, s.active.size); err != nil {
		return err
	}
	s.mu.Lock()
	clear(s.recent)
	clear(s.gone)
	s.mu.Unlock()
	return nil
}

// Behind tells whether the index should be brought up before the next tick.
func (s *Store) NeedsCheckpoint() bool { return len(s.recent)+len(s.gone) >= s.terms.MaxIndexLag }

// Close brings the index up and closes all. Nothing is lost without it.
func (s *Store) Close() error {
	err := s.checkpoint()
	if err == nil {
		err = s.sync()
	}
	if s.active != nil {
		s.seal()
	}
	return errors.Join(err, s.index.Close())
}

// Package store keeps results' pages on disk through crashes: segment files of
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
package store

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Sync says when what is written is synced.
type Sync int

const (
	AtPromise Sync = iota // before a result is promised
	AtTicks               // at each Tick: a crash of the machine, not of the program, may take the last
	Never                 // the system decides
)

// Terms are a store's figures. Zero values take those named.
type Terms struct {
	SegmentBytes int64 // a segment is closed at (16 MiB)
	Sync         Sync
	Keep         int     // results that the index may be behind by (1024)
	Garbage      float64 // part of a segment that may be dead before it is compacted (0.5)
	StepBytes    int64   // read or copied by one step of compaction (1 MiB)
}

func (t Terms) orUsual() Terms {
	if t.SegmentBytes <= 0 {
		t.SegmentBytes = 16 << 20
	}
	if t.Keep <= 0 {
		t.Keep = 1024
	}
	if t.Garbage <= 0 {
		t.Garbage = 0.5
	}
	if t.StepBytes <= 0 {
		t.StepBytes = 1 << 20
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
	terms Terms
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

const manifestName = "MANIFEST"

type manifest struct {
	Version  int
	Next     uint64
	Starts   uint64 // how often the store was opened
	Segments []uint64
}

// Recovered is what was found at the start.
type Recovered struct {
	Results  int
	Segments int
	Dropped  int      // results that were never whole
	Torn     int64    // bytes that were no records
	Lost     []uint64 // results that were promised and whose pages are not all there
	Rebuilt  bool     // the index was of no use
	Orphans  int      // files that didn't count
}

// Open reads what a directory holds. Errors are those of the files; what is spoilt
// in them is no error, and is told.
func Open(files Files, index Index, terms Terms) (*Store, Recovered, error) {
	s := &Store{terms: terms.orUsual(), files: files, index: index, segments: map[uint64]*segment{}, recent: map[uint64]*Meta{},
		gone: map[uint64]bool{}, open: map[uint64]*taking{}, next: 1}
	var found Recovered
	if err := s.readManifest(&found); err != nil {
		return nil, found, err
	}
	if err := s.recover(&found); err != nil {
		return nil, found, err
	}
	return s, found, nil
}

func segmentNumber(name string) (uint64, bool) {
	digits, is := strings.CutSuffix(name, ".seg")
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, is && err == nil && len(digits) == 16
}

// readManifest finds the segments that count, and removes the files that don't.
func (s *Store) readManifest(found *Recovered) error {
	names, err := s.files.List()
	if err != nil {
		return err
	}
	m := manifest{Version: 1, Next: 1}
	text, err := s.files.ReadFile(manifestName)
	switch {
	case errors.Is(err, os.ErrNotExist): // nothing counted yet
	case err != nil:
		return err
	default:
		if err := json.Unmarshal(text, &m); err != nil || m.Version != 1 {
			return fmt.Errorf("%s: not a manifest of this version: %v", manifestName, err)
		}
	}
	s.next, s.starts = max(1, m.Next), m.Starts+1
	for _, n := range m.Segments {
		s.next = max(s.next, n+1)
		if slices.Contains(names, (&segment{number: n}).name()) {
			s.segments[n] = &segment{number: n}
		}
	}
	for _, name := range names {
		n, is := segmentNumber(name)
		if is && s.segments[n] == nil || strings.HasSuffix(name, ".new") {
			found.Orphans++
			if err := s.files.Remove(name); err != nil {
				return err
			}
			s.next = max(s.next, n+1)
		}
	}
	return s.writeManifest()
}

// First is the first number for this start's results: no start uses those of another,
// so that what an older one left behind is never taken for part of a newer result.
func (s *Store) First() uint64 { return s.starts << 32 }

func (s *Store) writeManifest() error {
	m := manifest{Version: 1, Next: s.next, Starts: s.starts, Segments: s.numbers()}
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return s.files.Replace(manifestName, append(text, '\n'))
}

func (s *Store) numbers() []uint64 { return slices.Sorted(maps.Keys(s.segments)) }

// recover brings the index up to the segments, a part at a time: all results at once
// might not fit the memory.
func (s *Store) recover(found *Recovered) error {
	from, offset, err := s.index.Through()
	numbers := s.numbers()
	if err == nil && from > 0 && (len(numbers) == 0 || from < numbers[0]) && s.segments[from] == nil {
		from = 0 // it knows only what is no more
	}
	if err == nil && from > 0 {
		err = s.index.Each(func(*Meta) error { return nil }) // can it be read at all
	}
	if err != nil || from == 0 {
		found.Rebuilt = err != nil || len(numbers) > 0
		if err := s.index.Reset(); err != nil {
			return err
		}
		from, offset = 0, 0
	}
	put, gone := map[uint64]*Meta{}, map[uint64]bool{}
	flush := func(segment uint64, offset int64) error {
		if len(put)+len(gone) == 0 && segment == from {
			return nil
		}
		l := make([]*Meta, 0, len(put))
		for _, id := range slices.Sorted(maps.Keys(put)) {
			l = append(l, put[id])
		}
		err := s.index.Commit(l, slices.Sorted(maps.Keys(gone)), segment, offset)
		clear(put)
		clear(gone)
		return err
	}
	unfinished := map[uint64]bool{}
	for i, n := range numbers {
		g := s.segments[n]
		f, err := s.files.Open(g.name())
		if err != nil {
			return err
		}
		if g.size, err = f.Size(); err == nil && n >= from {
			start := int64(headSize)
			if n == from {
				start = max(start, offset)
			}
			err = s.scan(f, g, start, i == len(numbers)-1, found, func(r Record, at place) error {
				switch r.Kind {
				case Page:
					unfinished[r.Result] = true
					return nil
				case Gone:
					delete(put, r.Result)
					gone[r.Result] = true
				case Whole:
					m, err := decodeMeta(r.Body)
					if err != nil || m.Result != r.Result {
						return nil
					}
					m.at = at
					put[m.Result] = m
					delete(gone, m.Result)
					delete(unfinished, m.Result)
				}
				if len(put)+len(gone) >= s.terms.Keep {
					return flush(from, offset)
				}
				return nil
			})
		}
		f.Close()
		if err != nil {
			return err
		}
		s.total += g.size
	}
	found.Dropped, found.Segments = len(unfinished), len(numbers)
	through := func() (uint64, int64) {
		if len(numbers) == 0 {
			return 0, 0
		}
		last := numbers[len(numbers)-1]
		return last, s.segments[last].size
	}
	if err := flush(through()); err != nil {
		return err
	}
	err = s.index.Each(func(m *Meta) error {
		if !s.allThere(m) {
			found.Lost = append(found.Lost, m.Result)
			return nil
		}
		found.Results++
		s.counts(m, 1)
		return nil
	})
	if err != nil || len(found.Lost) == 0 {
		return err
	}
	last, end := through()
	return s.index.Commit(nil, found.Lost, last, end)
}

// allThere: its pages stand within segments that count.
func (s *Store) allThere(m *Meta) bool {
	for _, at := range append(m.places[:len(m.places):len(m.places)], m.at) {
		g := s.segments[at.segment]
		if g == nil || at.offset < headSize || at.offset+recordHead+int64(at.size) > g.size {
			return false
		}
	}
	return true
}

// scan reads a segment's records from an offset. A torn or spoilt stretch is passed
// over: what is sound behind it counts. Behind the last sound record the last segment
// is cut off.
func (s *Store) scan(f File, g *segment, from int64, last bool, found *Recovered, each func(r Record, at place) error) error {
	end := from
	err := walk(f, g.number, from, g.size, func(r Record, at place) error {
		end = at.offset + r.size()
		if r.Kind == Gone {
			g.keeps++
		}
		return each(r, at)
	}, func(n int64) { found.Torn += n })
	if err == nil && last && end < g.size && end > 0 {
		g.size = end
		err = f.Truncate(end)
	}
	return err
}

// walk hands over each sound record between two offsets, its body valid for the
// call only, and tells how many bytes were none.
func walk(f io.ReaderAt, number uint64, from, to int64, each func(r Record, at place) error, odd func(n int64)) error {
	in := bufio.NewReaderSize(io.NewSectionReader(f, from, to-from), 1<<20)
	var p []byte
	for from < to {
		r, n, err := Record{}, 0, error(nil)
		if p, err = in.Peek(recordHead); err == nil {
			need := recordHead + int64(uint32(p[0])|uint32(p[1])<<8|uint32(p[2])<<16|uint32(p[3])<<24)
			if need > BodyMost+recordHead || from+need > to {
				err = errTorn
			} else if need <= int64(in.Size()) {
				p, _ = in.Peek(int(need))
				r, n, err = readRecord(p, number)
			} else { // larger than the buffer
				p = make([]byte, need)
				if _, e := f.ReadAt(p, from); e != nil {
					return e
				}
				r, n, err = readRecord(p, number)
			}
		} else if !errors.Is(err, io.EOF) {
			return err
		}
		if err == nil {
			if err := each(r, place{number, from, uint32(len(r.Body))}); err != nil {
				return err
			}
		} else { // it may go on further behind
			n = 1
			odd(1)
		}
		from += int64(n)
		if _, err := in.Discard(n); err != nil {
			return nil
		}
	}
	return nil
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
func (s *Store) Total() int64 { return s.total }

func (s *Store) Live() (sum int64) {
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
		if len(l[i].Body) > BodyMost {
			return nil, fmt.Errorf("a record of %d bytes, more than %d", len(l[i].Body), BodyMost)
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
		if g.size = headSize; s.terms.Sync != Never {
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
	if !s.dirty || s.active == nil || s.terms.Sync == Never {
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
	Promise *Meta
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
		promises = promises || j.Promise != nil && j.Err == nil
	}
	if promises && s.terms.Sync == AtPromise {
		if err := s.sync(); err != nil {
			for _, j := range jobs {
				if j.Err == nil && j.Promise != nil {
					j.Err = err
					s.drop([]uint64{j.Promise.Result}) // it may be there after a crash all the same, and nobody has its token
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
	if j.Promise != nil {
		return s.promise(j.Promise)
	}
	return nil
}

func (s *Store) promise(m *Meta) error {
	t := s.open[m.Result]
	if t == nil || len(t.places) != len(m.Rows) {
		return errors.New("a result is promised whose pages were not all written")
	}
	m.places, m.Bytes = t.places, make([]uint32, len(t.places))
	for i, at := range t.places {
		m.Bytes[i] = at.size
	}
	places, err := s.write([]Record{{Kind: Whole, Result: m.Result, Body: m.encode()}})
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
		tombs = append(tombs, Record{Kind: Gone, Result: id})
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

// meta is what is known of a result that was promised, for certain.
func (s *Store) meta(id uint64) (*Meta, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.gone[id] {
		return nil, ErrNone
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

// ErrSpoilt tells that a page is not what was written. It is never handed out.
var ErrSpoilt = errors.New("the page is spoilt")

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
		return place{}, ErrNone
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
			return nil, ErrSpoilt
		}
		return nil, err
	}
	r, _, err := readRecord(p, at.segment)
	if err != nil || r.Kind != Page || r.Result != id || len(r.Body) != int(at.size) {
		return nil, ErrSpoilt
	}
	return r.Body, nil
}

// Tick is due now and then: it syncs where that is not done at promises, brings the
// index up, and goes on with compaction by a step. It says whether there is more to do.
func (s *Store) Tick() (more bool, err error) {
	s.bury()
	if s.terms.Sync == AtTicks {
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
func (s *Store) Behind() bool { return len(s.recent)+len(s.gone) >= s.terms.Keep }

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
		if (part >= s.terms.Garbage || g.live == 0) && part > dead && !(g.live == 0 && s.needed(g)) {
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
	left := s.terms.StepBytes
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
		case Page:
			if now, err := s.find(r.Result, int(r.Page), meta); err == nil && now == at {
				l = append(l, r)
			}
		case Whole:
			if m, err := meta(r.Result); err == nil && m.at == at {
				c.wholes[r.Result] = true
			}
		case Gone:
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
		if r.Kind == Gone {
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
	places, err := s.write([]Record{{Kind: Whole, Result: id, Body: fresh.encode()}})
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

package resultstore

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
)

const manifestName = "MANIFEST"

type manifest struct {
	Version  int      `json:"Version"`
	Next     uint64   `json:"Next"`
	Starts   uint64   `json:"Starts"` // how often the store was opened
	Segments []uint64 `json:"Segments"`
}

// Recovered is what was found at the start.
type Recovery struct {
	Results      int
	Segments     int
	Incomplete   int      // results that were never whole
	CorruptBytes int64    // bytes that were no records
	Lost         []uint64 // results that were promised and whose pages are not all there
	IndexRebuilt bool     // the index was of no use
	OrphanFiles  int      // files that didn't count
}

func segmentNumber(name string) (uint64, bool) {
	digits, is := strings.CutSuffix(name, ".seg")
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, is && err == nil && len(digits) == 16
}

// readManifest finds the segments that count, and removes the files that don't.
func (s *Store) readManifest(found *Recovery) error {
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
			found.OrphanFiles++
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
func (s *Store) FirstResultID() uint64 { return s.starts << 32 }

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
func (s *Store) recover(found *Recovery) error {
	from, offset, err := s.index.Position()
	numbers := s.numbers()
	if err == nil && from > 0 && (len(numbers) == 0 || from < numbers[0]) && s.segments[from] == nil {
		from = 0 // it knows only what is no more
	}
	if err == nil && from > 0 {
		err = s.index.Each(func(*Meta) error { return nil }) // can it be read at all
	}
	if err != nil || from == 0 {
		found.IndexRebuilt = err != nil || len(numbers) > 0
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
				case PageRecord:
					unfinished[r.Result] = true
					return nil
				case TombstoneRecord:
					delete(put, r.Result)
					gone[r.Result] = true
				case CommitRecord:
					m, err := decodeMeta(r.Body)
					if err != nil || m.Result != r.Result {
						return nil
					}
					m.at = at
					put[m.Result] = m
					delete(gone, m.Result)
					delete(unfinished, m.Result)
				}
				if len(put)+len(gone) >= s.terms.MaxIndexLag {
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
	found.Incomplete, found.Segments = len(unfinished), len(numbers)
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
func (s *Store) scan(f File, g *segment, from int64, last bool, found *Recovery, each func(r Record, at place) error) error {
	end := from
	err := walk(f, g.number, from, g.size, func(r Record, at place) error {
		end = at.offset + r.size()
		if r.Kind == TombstoneRecord {
			g.keeps++
		}
		return each(r, at)
	}, func(n int64) { found.CorruptBytes += n })
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
			if need > MaxBodyBytes+recordHead || from+need > to {
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

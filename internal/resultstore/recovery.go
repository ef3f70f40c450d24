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

// manifest is the content of the file MANIFEST.
type manifest struct {
	Version  int      `json:"Version"`
	Next     uint64   `json:"Next"`   // number of the next segment
	Starts   uint64   `json:"Starts"` // how often the store was opened
	Segments []uint64 `json:"Segments"`
}

// Recovery reports what Open found in the directory.
type Recovery struct {
	Results      int
	Segments     int
	Incomplete   int      // results without a commit record
	CorruptBytes int64    // bytes that are not part of a valid record
	Lost         []uint64 // committed results with missing records
	IndexRebuilt bool     // the index was missing, corrupt or outdated
	OrphanFiles  int      // files that are not part of the store, which were removed
}

// segmentNumber parses the name of a segment file.
func segmentNumber(name string) (uint64, bool) {
	digits, hasSuffix := strings.CutSuffix(name, ".seg")
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, hasSuffix && err == nil && len(digits) == 16
}

// readManifest finds the valid segments: those that the manifest lists and that have a file. It removes other
// segment files and unfinished replacement files, and saves the manifest with the new start count.
func (s *Store) readManifest(recovery *Recovery) error {
	names, err := s.files.List()
	if err != nil {
		return err
	}
	m := manifest{Version: 1, Next: 1}
	text, err := s.files.ReadFile(manifestName)
	switch {
	case errors.Is(err, os.ErrNotExist): // a new store
	case err != nil:
		return err
	default:
		if err := json.Unmarshal(text, &m); err != nil || m.Version != 1 {
			return fmt.Errorf("%s: invalid manifest or unsupported version: %v", manifestName, err)
		}
	}
	s.nextSegment, s.startCount = max(1, m.Next), m.Starts+1
	for _, number := range m.Segments {
		s.nextSegment = max(s.nextSegment, number+1)
		if slices.Contains(names, (&segment{number: number}).name()) {
			s.segments[number] = &segment{number: number}
		}
	}
	for _, name := range names {
		number, isSegment := segmentNumber(name)
		if isSegment && s.segments[number] == nil || strings.HasSuffix(name, ".new") {
			recovery.OrphanFiles++
			if err := s.files.Remove(name); err != nil {
				return err
			}
			s.nextSegment = max(s.nextSegment, number+1)
		}
	}
	return s.writeManifest()
}

// FirstResultID returns the first of the result ids that are reserved for this start. Starts never
// share ids, so that left-over pages of an earlier start are never taken for part of a newer result.
func (s *Store) FirstResultID() uint64 { return s.startCount << 32 }

// writeManifest replaces the manifest by the current state.
func (s *Store) writeManifest() error {
	m := manifest{Version: 1, Next: s.nextSegment, Starts: s.startCount, Segments: s.segmentNumbers()}
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return s.files.Replace(manifestName, append(text, '\n'))
}

// segmentNumbers returns the numbers of all segments in ascending order.
func (s *Store) segmentNumbers() []uint64 { return slices.Sorted(maps.Keys(s.segments)) }

// recoverIndex updates the index from the segments. It commits after every MaxIndexLag results, since
// all results at once might not fit into memory.
func (s *Store) recoverIndex(recovery *Recovery) error {
	from, startOffset, err := s.index.Position()
	numbers := s.segmentNumbers()
	if err == nil && from > 0 && (len(numbers) == 0 || from < numbers[0]) && s.segments[from] == nil {
		from = 0 // the index reflects only segments that no longer exist
	}
	if err == nil && from > 0 {
		err = s.index.Each(func(*Meta) error { return nil }) // checks that the index is readable
	}
	if err != nil || from == 0 {
		recovery.IndexRebuilt = err != nil || len(numbers) > 0
		if err := s.index.Reset(); err != nil {
			return err
		}
		from, startOffset = 0, 0
	}
	put, deleted := map[uint64]*Meta{}, map[uint64]bool{}
	flush := func(segment uint64, offset int64) error {
		if len(put)+len(deleted) == 0 && segment == from {
			return nil
		}
		metas := make([]*Meta, 0, len(put))
		for _, id := range slices.Sorted(maps.Keys(put)) {
			metas = append(metas, put[id])
		}
		err := s.index.Commit(metas, slices.Sorted(maps.Keys(deleted)), segment, offset)
		clear(put)
		clear(deleted)
		return err
	}
	unfinished := map[uint64]bool{}
	for i, number := range numbers {
		seg := s.segments[number]
		f, err := s.files.Open(seg.name())
		if err != nil {
			return err
		}
		if seg.size, err = f.Size(); err == nil && number >= from {
			start := int64(segmentHeaderSize)
			if number == from {
				start = max(start, startOffset)
			}
			err = s.scan(f, seg, start, i == len(numbers)-1, recovery, func(record Record, loc location) error {
				switch record.Kind {
				case PageRecord:
					unfinished[record.Result] = true
					return nil
				case TombstoneRecord:
					delete(put, record.Result)
					deleted[record.Result] = true
				case CommitRecord:
					meta, err := decodeMeta(record.Body)
					if err != nil || meta.Result != record.Result {
						return nil
					}
					meta.location = loc
					put[meta.Result] = meta
					delete(deleted, meta.Result)
					delete(unfinished, meta.Result)
				}
				if len(put)+len(deleted) >= s.options.MaxIndexLag { // a crash repeats the scan from the old position
					return flush(from, startOffset)
				}
				return nil
			})
		}
		f.Close()
		if err != nil {
			return err
		}
		s.totalBytes += seg.size
	}
	recovery.Incomplete, recovery.Segments = len(unfinished), len(numbers)
	logEnd := func() (uint64, int64) {
		if len(numbers) == 0 {
			return 0, 0
		}
		last := numbers[len(numbers)-1]
		return last, s.segments[last].size
	}
	if err := flush(logEnd()); err != nil {
		return err
	}
	err = s.index.Each(func(meta *Meta) error {
		if !s.hasAllRecords(meta) {
			recovery.Lost = append(recovery.Lost, meta.Result)
			return nil
		}
		recovery.Results++
		s.accountResult(meta, 1)
		return nil
	})
	if err != nil || len(recovery.Lost) == 0 {
		return err
	}
	last, end := logEnd()
	return s.index.Commit(nil, recovery.Lost, last, end)
}

// hasAllRecords reports whether the locations of all the result's records are within existing segments.
func (s *Store) hasAllRecords(meta *Meta) bool {
	for _, loc := range append(meta.pageLocations[:len(meta.pageLocations):len(meta.pageLocations)],
		meta.location) {
		seg := s.segments[loc.segment]
		if seg == nil || loc.offset < segmentHeaderSize || loc.offset+recordHeaderSize+int64(loc.size) > seg.size {
			return false
		}
	}
	return true
}

// scan visits the valid records of a segment from an offset on. Corrupt parts are skipped, and valid
// records after them count. The last segment is truncated after its last valid record.
func (s *Store) scan(f File, seg *segment, start int64, last bool, recovery *Recovery,
	visit func(record Record, loc location) error) error {
	end := start
	err := walkRecords(f, seg.number, start, seg.size, func(record Record, loc location) error {
		end = loc.offset + record.size()
		if record.Kind == TombstoneRecord {
			seg.tombstones++
		}
		return visit(record, loc)
	}, func(n int64) { recovery.CorruptBytes += n })
	if err == nil && last && end < seg.size && end > 0 {
		seg.size = end
		err = f.Truncate(end)
	}
	return err
}

// walkRecords calls visit for each valid record between two offsets, with a body that is valid during
// the call only. It calls skipped with the number of bytes that are not part of a valid record.
func walkRecords(f io.ReaderAt, number uint64, offset, end int64,
	visit func(record Record, loc location) error, skipped func(n int64)) error {
	reader := bufio.NewReaderSize(io.NewSectionReader(f, offset, end-offset), 1<<20)
	var encoded []byte
	for offset < end {
		record, n, err := Record{}, 0, error(nil)
		if encoded, err = reader.Peek(recordHeaderSize); err == nil {
			length := recordHeaderSize + int64(uint32(encoded[0])|uint32(encoded[1])<<8|
				uint32(encoded[2])<<16|uint32(encoded[3])<<24)
			if length > MaxBodyBytes+recordHeaderSize || offset+length > end {
				err = errTruncatedRecord
			} else if length <= int64(reader.Size()) {
				encoded, _ = reader.Peek(int(length))
				record, n, err = readRecord(encoded, number)
			} else { // larger than the reader's buffer
				encoded = make([]byte, length)
				if _, readErr := f.ReadAt(encoded, offset); readErr != nil {
					return readErr
				}
				record, n, err = readRecord(encoded, number)
			}
		} else if !errors.Is(err, io.EOF) {
			return err
		}
		if err == nil {
			if err := visit(record, location{number, offset, uint32(len(record.Body))}); err != nil {
				return err
			}
		} else { // a valid record may begin at a later byte
			n = 1
			skipped(1)
		}
		offset += int64(n)
		if _, err := reader.Discard(n); err != nil {
			return nil
		}
	}
	return nil
}

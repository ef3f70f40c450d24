package resultstore

import (
	"errors"
	"maps"
	"math"
	"os"
	"slices"
)

// compaction copies the live records of a segment to the end of the log, in several steps.
type compaction struct {
	segment    *segment
	file       File
	offset     int64
	movedPages map[uint64]map[uint32]location // new locations by result and page
	// results are the results to relocate, with moved pages or a commit record in the segment.
	results map[uint64]bool
}

// selectSegment returns the next segment to compact: one that is to be erased, or else the one with
// the highest dead fraction, if that is large enough. It returns nil if there is none.
func (s *Store) selectSegment() *segment {
	if seg := s.nextSegmentToErase(); seg != nil {
		return seg
	}
	var candidate *segment
	highestRatio := math.Inf(-1)
	for _, number := range s.segmentNumbers() {
		seg := s.segments[number]
		if seg == s.active {
			continue
		}
		garbageRatio := 1 - float64(seg.liveBytes)/float64(max(1, seg.size-segmentHeaderSize))
		if (garbageRatio >= s.options.CompactionGarbageRatio || seg.liveBytes == 0) &&
			garbageRatio > highestRatio && !(seg.liveBytes == 0 && s.holdsOnlyNeededTombstones(seg)) {
			candidate, highestRatio = seg, garbageRatio
		}
	}
	return candidate
}

// holdsOnlyNeededTombstones reports whether a segment holds nothing but tombstones, for results whose
// records may be in older segments.
func (s *Store) holdsOnlyNeededTombstones(seg *segment) bool {
	return seg.tombstones > 0 && seg.size-segmentHeaderSize == int64(seg.tombstones)*recordHeaderSize &&
		s.segmentNumbers()[0] < seg.number
}

// compactStep begins or continues a compaction. It reports whether there is more to do.
func (s *Store) compactStep() (more bool, err error) {
	if s.compaction == nil {
		seg := s.selectSegment()
		if seg == nil {
			return false, nil
		}
		f, err := s.files.Open(seg.name())
		if err != nil {
			return false, err
		}
		s.compaction = &compaction{segment: seg, file: f, offset: segmentHeaderSize,
			movedPages: map[uint64]map[uint32]location{}, results: map[uint64]bool{}}
	}
	current := s.compaction
	errStepDone := errors.New("compaction step done")
	var copies []Record
	remaining := s.options.CompactionStepBytes
	hasOlderSegments := s.segmentNumbers()[0] < current.segment.number
	metas := map[uint64]*Meta{} // cached for this step, during which no result changes
	meta := func(result uint64) (m *Meta, err error) {
		if m = metas[result]; m == nil {
			if m, err = s.committedMeta(result); err == nil {
				metas[result] = m
			}
		}
		return m, err
	}
	err = walkRecords(current.file, current.segment.number, current.offset, current.segment.size,
		func(r Record, loc location) error {
			if remaining <= 0 {
				return errStepDone
			}
			remaining -= r.size()
			current.offset = loc.offset + r.size()
			r.Body = slices.Clone(r.Body)
			switch r.Kind {
			case PageRecord:
				if currentLoc, err := s.findPage(r.Result, int(r.Page), meta); err == nil && currentLoc == loc {
					copies = append(copies, r)
				}
			case CommitRecord:
				if m, err := meta(r.Result); err == nil && m.location == loc {
					current.results[r.Result] = true
				}
			case TombstoneRecord:
				if hasOlderSegments {
					copies = append(copies, r)
				}
			}
			return nil
		}, func(int64) {})
	if err != nil && err != errStepDone {
		s.abortCompaction()
		return false, err
	}
	locations, writeErr := s.appendRecords(copies)
	if writeErr != nil {
		s.abortCompaction()
		return false, writeErr
	}
	for i, r := range copies {
		if r.Kind == TombstoneRecord {
			s.active.tombstones++
			continue
		}
		if current.movedPages[r.Result] == nil {
			current.movedPages[r.Result] = map[uint32]location{}
		}
		current.movedPages[r.Result][r.Page] = locations[i]
	}
	if err == errStepDone {
		return true, nil
	}
	if err := s.finishCompaction(current); err != nil {
		s.abortCompaction()
		return false, err
	}
	s.compaction = nil
	return true, current.file.Close()
}

// abortCompaction ends a compaction without a result. The copied records become garbage.
func (s *Store) abortCompaction() {
	s.compaction.file.Close()
	s.compaction = nil
}

// finishCompaction makes the results refer to the copied records, and removes the segment and its file.
func (s *Store) finishCompaction(c *compaction) error {
	for result := range c.movedPages {
		c.results[result] = true
	}
	for _, result := range slices.Sorted(maps.Keys(c.results)) {
		if err := s.relocateResult(result, c); err != nil {
			return err
		}
	}
	if err := s.syncActive(); err != nil {
		return err
	}
	if err := s.checkpoint(); err != nil { // the index must not refer to the segment any more
		return err
	}
	s.mu.Lock()
	delete(s.segments, c.segment.number)
	s.totalBytes -= c.segment.size
	s.mu.Unlock()
	s.obsoleteFiles = append(s.obsoleteFiles, c.segment.name())
	return s.removeObsoleteFiles()
}

// removeObsoleteFiles writes the manifest without the removed segments and then deletes their files,
// including files that couldn't be deleted before.
func (s *Store) removeObsoleteFiles() error {
	if len(s.obsoleteFiles) == 0 {
		return nil
	}
	if err := s.writeManifest(); err != nil {
		return err
	}
	for len(s.obsoleteFiles) > 0 {
		if err := s.files.Remove(s.obsoleteFiles[0]); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		s.obsoleteFiles = s.obsoleteFiles[1:]
	}
	return nil
}

// relocateResult makes a result refer to the copies of its pages, by a new commit record if the result
// is committed.
func (s *Store) relocateResult(result uint64, c *compaction) error {
	relocated := func(page int, loc location) location {
		if moved, ok := c.movedPages[result][uint32(page)]; ok && loc.segment == c.segment.number {
			return moved
		}
		return loc
	}
	s.mu.Lock()
	if pending := s.pending[result]; pending != nil {
		updated := make([]location, len(pending.pageLocations))
		for i, loc := range pending.pageLocations {
			if updated[i] = relocated(i, loc); updated[i] != loc {
				s.accountRecord(loc, -1)
				s.accountRecord(updated[i], 1)
			}
		}
		pending.pageLocations = updated
		s.mu.Unlock()
		return nil
	}
	s.mu.Unlock()
	meta, err := s.committedMeta(result)
	if err != nil {
		return nil // deleted meanwhile
	}
	updated := *meta
	updated.pageLocations = make([]location, len(meta.pageLocations))
	for i, loc := range meta.pageLocations {
		updated.pageLocations[i] = relocated(i, loc)
	}
	locations, err := s.appendRecords([]Record{{Kind: CommitRecord, Result: result, Body: updated.encode()}})
	if err != nil {
		return err
	}
	updated.location = locations[0]
	s.mu.Lock()
	s.accountResult(meta, -1)
	s.accountResult(&updated, 1)
	s.recent[result] = &updated
	s.metaCache.remove(result)
	s.mu.Unlock()
	return nil
}

package resultstore

// erasure removes all deleted data from the disk. Deleted records stay in their segments until these
// are compacted, which normally happens only once a large part of a segment is dead. An erasure
// compacts all segments with dead records, in a pass.
type erasure struct {
	requested []func()        // callbacks for the next pass
	inPass    []func()        // callbacks for the current pass
	segments  map[uint64]bool // with dead records when the pass began; nil if there is no pass
}

// Erase requests the erasure of all data that is deleted now. A later Tick calls done once no byte of
// that data is left in any segment or in the index and the removal is synced. Disk errors delay the
// erasure. A request is not persistent: it must be repeated after a restart.
func (s *Store) Erase(done func()) { s.erasure.requested = append(s.erasure.requested, done) }

// hasDeadBytes reports whether a segment's file holds anything but live records and tombstones.
func (seg *segment) hasDeadBytes() bool {
	return seg.partialWrite ||
		seg.size-segmentHeaderSize-seg.liveBytes-int64(seg.tombstones)*recordHeaderSize > 0
}

// beginErase begins a pass for all requests so far, unless one is under way.
func (s *Store) beginErase() error {
	pass := &s.erasure
	if pass.segments != nil || len(pass.requested) == 0 {
		return nil
	}
	if s.compaction != nil { // its copies may be dead by now without being counted as such
		s.abortCompaction()
	}
	segments := map[uint64]bool{}
	for number, seg := range s.segments {
		if seg.hasDeadBytes() {
			segments[number] = true
		}
	}
	if len(segments) > 0 && (s.active == nil || segments[s.active.number]) {
		if err := s.rollSegment(); err != nil {
			return err
		}
	}
	pass.segments, pass.inPass, pass.requested = segments, pass.requested, nil
	return nil
}

// nextSegmentToErase returns the next segment of the pass, or nil if there is none left.
func (s *Store) nextSegmentToErase() (first *segment) {
	for number := range s.erasure.segments {
		if seg := s.segments[number]; seg != nil && (first == nil || number < first.number) {
			first = seg
		}
	}
	return first
}

// finishErase ends the pass once all its segments are compacted, and calls the callbacks. It returns
// true if more is set or further erasures are requested.
func (s *Store) finishErase(more bool) (bool, error) {
	pass := &s.erasure
	if pass.segments == nil || s.compaction != nil || s.nextSegmentToErase() != nil {
		return more, nil
	}
	if s.active == nil && len(s.recent)+len(s.deleted) > 0 { // checkpoint needs an active segment
		if err := s.rollSegment(); err != nil {
			return false, err
		}
	}
	if err := s.checkpoint(); err != nil {
		return false, err
	}
	if err := s.removeObsoleteFiles(); err != nil {
		return false, err
	}
	if err := s.index.Scrub(); err != nil {
		return false, err
	}
	if err := s.files.SyncDir(); err != nil {
		return false, err
	}
	finished := pass.inPass
	pass.segments, pass.inPass = nil, nil
	for _, done := range finished {
		done()
	}
	return more || len(pass.requested) > 0, nil
}

// ErasePending reports whether an erasure is requested or under way.
func (s *Store) ErasePending() bool { return s.erasure.segments != nil || len(s.erasure.requested) > 0 }

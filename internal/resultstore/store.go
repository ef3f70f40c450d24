// Package resultstore is a crash-safe, log-structured store for the pages of query results. A store is
// a directory with segment files of checksummed records, an index in an embedded database, and a
// manifest that is replaced atomically.
//
// The segments are authoritative. The manifest lists the valid segments. The index caches what the
// segments say up to a position in the log; a start reads the records after that position. After a
// crash, a result is either there with all its pages or not at all:
//
//   - a segment is valid once the manifest lists it, so a partly created one is ignored;
//   - a result exists once its commit record does, which is written after the result's pages and
//     synced together with them;
//   - a segment is removed from the manifest only after its live records were written to another
//     segment and synced, and its file is removed after that.
//
// Fetch and LiveBytes may be called by any goroutine. All other methods of a Store, also those that only
// read, such as TotalBytes, must be called by one goroutine.
package resultstore

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
)

// SyncPolicy is when written records are synced to disk.
type SyncPolicy int

const (
	SyncOnCommit SyncPolicy = iota // before a commit is reported
	SyncOnTick                     // at each Tick: only a crash of the machine may lose the latest results
	SyncNever                      // left to the operating system
)

// Options configures a store. A zero value means the default in parentheses.
type Options struct {
	SegmentBytes           int64 // size at which a segment is closed (16 MiB)
	Sync                   SyncPolicy
	MaxIndexLag            int     // changed results that the index may lack (1024)
	CompactionGarbageRatio float64 // dead fraction at which a segment is compacted (0.5)
	CompactionStepBytes    int64   // bytes that one step of compaction reads (1 MiB)
}

// withDefaults returns the options with zero values replaced by the defaults.
func (o Options) withDefaults() Options {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = 16 << 20
	}
	if o.MaxIndexLag <= 0 {
		o.MaxIndexLag = 1024
	}
	if o.CompactionGarbageRatio <= 0 {
		o.CompactionGarbageRatio = 0.5
	}
	if o.CompactionStepBytes <= 0 {
		o.CompactionStepBytes = 1 << 20
	}
	return o
}

// segment is a file of the log.
type segment struct {
	number       uint64
	file         File // nil unless it is the active segment
	size         int64
	liveBytes    int64 // of the page and commit records of pending and committed results
	tombstones   int   // number of tombstone records that were written or scanned since Open
	partialWrite bool  // the file is longer than size, because of a failed write
}

func (seg *segment) name() string { return fmt.Sprintf("%016x.seg", seg.number) }

// Store holds the results of one directory.
type Store struct {
	options Options
	files   Files
	index   Index

	mu        sync.RWMutex
	segments  map[uint64]*segment
	recent    map[uint64]*Meta // committed since the last checkpoint
	deleted   map[uint64]bool  // deleted since the last checkpoint
	pending   map[uint64]*pendingResult
	metaCache metaCache

	active              *segment // the segment that is written to; nil: the next write creates one
	nextSegment         uint64
	startCount          uint64   // how often the store was opened
	unwrittenTombstones []Record // of deleted results, to be written once the disk accepts them
	dirty               bool     // the active segment has unsynced records
	compaction          *compaction
	erasure             erasure
	obsoleteFiles       []string // of removed segments, to be deleted
	writeBuffer         []byte
	totalBytes          int64
}

// pendingResult is a result whose pages are being written and that isn't committed.
type pendingResult struct{ pageLocations []location }

// Open opens the store in a directory. It returns an error if a file operation fails or the manifest is
// invalid. Corrupt records are not an error; they are reported in Recovery.
func Open(files Files, index Index, options Options) (*Store, Recovery, error) {
	s := &Store{options: options.withDefaults(), files: files, index: index, segments: map[uint64]*segment{},
		recent: map[uint64]*Meta{}, deleted: map[uint64]bool{}, pending: map[uint64]*pendingResult{},
		nextSegment: 1}
	var recovery Recovery
	if err := s.readManifest(&recovery); err != nil {
		return nil, recovery, err
	}
	if err := s.recoverIndex(&recovery); err != nil {
		return nil, recovery, err
	}
	return s, recovery, nil
}

// accountResult adds the sizes of a result's records to the live bytes of their segments, or subtracts
// them if sign is -1.
func (s *Store) accountResult(meta *Meta, sign int64) {
	for _, loc := range meta.pageLocations {
		s.accountRecord(loc, sign)
	}
	s.accountRecord(meta.location, sign)
}

// accountRecord adds the size of a record to the live bytes of its segment, or subtracts it if sign
// is -1.
func (s *Store) accountRecord(loc location, sign int64) {
	if seg := s.segments[loc.segment]; seg != nil {
		seg.liveBytes += sign * (recordHeaderSize + int64(loc.size))
	}
}

// Each calls visit for each result in the index. Right after Open that is every committed result. Later,
// the index may lack the commits and deletions since the last checkpoint.
func (s *Store) Each(visit func(m *Meta) error) error { return s.index.Each(visit) }

// TotalBytes returns the size of all segments. Only the goroutine that calls Do may call it.
func (s *Store) TotalBytes() int64 { return s.totalBytes }

// LiveBytes returns the size of the page and commit records of pending and committed results.
func (s *Store) LiveBytes() (sum int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, seg := range s.segments {
		sum += seg.liveBytes
	}
	return sum
}

// appendRecords appends records to the log and returns their locations. If it returns an error, none
// of the records is part of the log.
func (s *Store) appendRecords(records []Record) ([]location, error) {
	if len(records) == 0 {
		return nil, nil
	}
	if s.active == nil || s.active.size >= s.options.SegmentBytes {
		if err := s.rollSegment(); err != nil {
			return nil, err
		}
	}
	seg := s.active
	s.writeBuffer = s.writeBuffer[:0]
	locations := make([]location, len(records))
	for i := range records {
		if len(records[i].Body) > MaxBodyBytes {
			return nil, fmt.Errorf("record body has %d bytes, the limit is %d", len(records[i].Body), MaxBodyBytes)
		}
		locations[i] = location{seg.number, seg.size + int64(len(s.writeBuffer)), uint32(len(records[i].Body))}
		s.writeBuffer = appendRecord(s.writeBuffer, seg.number, &records[i])
	}
	if _, err := seg.file.WriteAt(s.writeBuffer, seg.size); err != nil {
		if seg.file.Truncate(seg.size) != nil { // a partial record remains, so nothing may be appended
			seg.partialWrite = true
			s.sealActive()
		}
		return nil, err
	}
	s.mu.Lock()
	seg.size += int64(len(s.writeBuffer))
	s.totalBytes += int64(len(s.writeBuffer))
	s.mu.Unlock()
	if s.dirty = true; cap(s.writeBuffer) > 4<<20 {
		s.writeBuffer = nil
	}
	return locations, nil
}

// rollSegment closes the active segment and creates the next one.
func (s *Store) rollSegment() error {
	if s.active != nil {
		if err := s.syncActive(); err != nil {
			return err
		}
		s.sealActive()
	}
	seg := &segment{number: s.nextSegment}
	s.nextSegment++
	f, err := s.files.Create(seg.name())
	if err != nil {
		return err
	}
	seg.file = f
	if _, err = f.WriteAt(segmentHeader(seg.number), 0); err == nil {
		if seg.size = segmentHeaderSize; s.options.Sync != SyncNever {
			if err = f.Sync(); err == nil {
				err = s.files.SyncDir()
			}
		}
	}
	if err == nil {
		s.mu.Lock()
		s.segments[seg.number] = seg
		s.mu.Unlock()
		if err = s.writeManifest(); err != nil {
			s.mu.Lock()
			delete(s.segments, seg.number)
			s.mu.Unlock()
		}
	}
	if err != nil {
		f.Close()
		s.files.Remove(seg.name())
		return err
	}
	s.active = seg
	s.totalBytes += segmentHeaderSize
	return nil
}

// sealActive closes the active segment, to which nothing more is written.
func (s *Store) sealActive() {
	s.active.file.Close()
	s.active.file, s.active = nil, nil
}

// syncActive syncs the active segment. After a failed sync it isn't known which records reached the
// disk, so the segment is closed and nothing more is appended to it.
func (s *Store) syncActive() error {
	if !s.dirty || s.active == nil || s.options.Sync == SyncNever {
		s.dirty = false
		return nil
	}
	if err := s.active.file.Sync(); err != nil {
		s.sealActive()
		return err
	}
	s.dirty = false
	return nil
}

// Job is a change to the store. Its parts are performed in the order Drop, Pages, Commit; after an error, the
// remaining parts are left out. The deletions of Drop take effect even then.
type Job struct {
	// Drop names results to delete, committed or not.
	Drop []uint64
	// Pages are page records of results that are not committed yet.
	Pages []Record
	// Commit commits the result, after Pages are written.
	Commit *Meta

	// Err is set by Do. It doesn't report a failure to write the tombstones of Drop, which are kept and
	// written later.
	Err   error
	Total int64 // set by Do: size of all segments after all jobs of the call
}

// Do performs jobs in order. Under SyncOnCommit, one sync follows for all their commits. If that sync fails,
// the committed results are deleted again and their jobs get the error.
func (s *Store) Do(jobs []*Job) {
	committed := false
	for _, job := range jobs {
		job.Err = s.apply(job)
		committed = committed || job.Commit != nil && job.Err == nil
	}
	if committed && s.options.Sync == SyncOnCommit {
		if err := s.syncActive(); err != nil {
			for _, job := range jobs {
				if job.Err == nil && job.Commit != nil {
					job.Err = err
					// A crash may bring the result back, but no client was told of it.
					s.dropResults([]uint64{job.Commit.Result})
				}
			}
		}
	}
	for _, job := range jobs {
		job.Total = s.totalBytes
	}
}

// apply performs a job without syncing.
func (s *Store) apply(job *Job) error {
	s.dropResults(job.Drop)
	locations, err := s.appendRecords(job.Pages)
	if err != nil {
		return err
	}
	s.mu.Lock()
	for i, loc := range locations {
		result := job.Pages[i].Result
		pending := s.pending[result]
		if pending == nil {
			pending = &pendingResult{}
			s.pending[result] = pending
		}
		pending.pageLocations = append(pending.pageLocations, loc)
		s.accountRecord(loc, 1)
	}
	s.mu.Unlock()
	if job.Commit != nil {
		return s.commit(job.Commit)
	}
	return nil
}

// commit writes the commit record of a result whose pages are written.
func (s *Store) commit(meta *Meta) error {
	pending := s.pending[meta.Result]
	if pending == nil || len(pending.pageLocations) != len(meta.PageRows) {
		return errors.New("can't commit a result before all its pages are written")
	}
	meta.pageLocations, meta.PageBytes = pending.pageLocations, make([]uint32, len(pending.pageLocations))
	for i, loc := range pending.pageLocations {
		meta.PageBytes[i] = loc.size
	}
	locations, err := s.appendRecords([]Record{{Kind: CommitRecord, Result: meta.Result, Body: meta.encode()}})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	meta.location = locations[0]
	s.accountRecord(meta.location, 1)
	s.recent[meta.Result] = meta
	delete(s.pending, meta.Result)
	return nil
}

// dropResults deletes results, committed or not. Unknown results are ignored.
func (s *Store) dropResults(results []uint64) {
	var tombstones []Record
	for _, result := range results {
		s.mu.Lock()
		if pending := s.pending[result]; pending != nil {
			for _, loc := range pending.pageLocations {
				s.accountRecord(loc, -1)
			}
			delete(s.pending, result)
			s.mu.Unlock()
			continue
		}
		s.mu.Unlock()
		meta, err := s.committedMeta(result)
		if err != nil {
			continue // unknown result
		}
		s.mu.Lock()
		s.accountResult(meta, -1)
		delete(s.recent, result)
		s.deleted[result] = true
		s.metaCache.remove(result)
		s.mu.Unlock()
		tombstones = append(tombstones, Record{Kind: TombstoneRecord, Result: result})
	}
	s.unwrittenTombstones = append(s.unwrittenTombstones, tombstones...)
	s.writeTombstones()
}

// writeTombstones writes the tombstones of deleted results. If the write fails, it keeps them for its next
// call. If the program ends before they are written, the results come back until they expire.
func (s *Store) writeTombstones() {
	if _, err := s.appendRecords(s.unwrittenTombstones); err == nil && len(s.unwrittenTombstones) > 0 {
		s.active.tombstones += len(s.unwrittenTombstones)
		s.unwrittenTombstones = nil
	}
}

// Tick performs periodic maintenance: it syncs under SyncOnTick, updates the index, and advances
// erasure and compaction by one step. It reports whether there is more to do at once.
func (s *Store) Tick() (more bool, err error) {
	s.writeTombstones()
	if s.options.Sync == SyncOnTick {
		if err := s.syncActive(); err != nil {
			return false, err
		}
	}
	if err := s.checkpoint(); err != nil {
		return false, err
	}
	if err := s.beginErase(); err != nil {
		return false, err
	}
	if more, err = s.compactStep(); err != nil {
		return false, err
	}
	return s.finishErase(more)
}

// checkpoint updates the index to the end of the log. It does nothing if no result has changed, or if there
// is no active segment, as after a failed sync.
func (s *Store) checkpoint() error {
	if len(s.recent)+len(s.deleted) == 0 || s.active == nil {
		return nil
	}
	if err := s.syncActive(); err != nil { // the index must not be ahead of the segments
		return err
	}
	changed := slices.Sorted(maps.Keys(s.recent))
	put := make([]*Meta, len(changed))
	for i, result := range changed {
		put[i] = s.recent[result]
	}
	deleted := slices.Sorted(maps.Keys(s.deleted))
	if err := s.index.Commit(put, deleted, s.active.number, s.active.size); err != nil {
		return err
	}
	s.mu.Lock()
	clear(s.recent)
	clear(s.deleted)
	s.mu.Unlock()
	return nil
}

// NeedsCheckpoint reports whether the index should be updated before the next periodic tick.
func (s *Store) NeedsCheckpoint() bool { return len(s.recent)+len(s.deleted) >= s.options.MaxIndexLag }

// Close updates the index, if there is an active segment, and closes all files. Omitting Close loses no
// committed result.
func (s *Store) Close() error {
	err := s.checkpoint()
	if err == nil {
		err = s.syncActive()
	}
	if s.active != nil {
		s.sealActive()
	}
	return errors.Join(err, s.index.Close())
}

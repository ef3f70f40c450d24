package resultstore

import (
	"fmt"
	"slices"
)

// Verification is the result of Verify.
type Verification struct {
	Segments, Records, Results, Pages int
	Bytes, DeadBytes                  int64
	Faults                            []string // corrupt bytes, missing and corrupt pages
}

const maxReportedFaults = 100

// Verify reads every record of every segment, and every page of every committed result. It lists at
// most maxReportedFaults faults.
func (s *Store) Verify() (report Verification, err error) {
	addFault := func(format string, args ...any) {
		if len(report.Faults) < maxReportedFaults {
			report.Faults = append(report.Faults, fmt.Sprintf(format, args...))
		}
	}
	for _, number := range s.segmentNumbers() {
		seg := s.segments[number]
		f, err := s.files.Open(seg.name())
		if err != nil {
			return report, err
		}
		corruptBytes := int64(0)
		err = walkRecords(f, number, segmentHeaderSize, seg.size, func(Record, location) error {
			report.Records++
			return nil
		}, func(n int64) { corruptBytes += n })
		f.Close()
		if err != nil {
			return report, err
		}
		if corruptBytes > 0 {
			addFault("%s: %d bytes are not part of a valid record", seg.name(), corruptBytes)
		}
		report.Segments++
		report.Bytes += seg.size
		report.DeadBytes += seg.size - segmentHeaderSize - seg.liveBytes
	}
	err = s.index.Each(func(meta *Meta) error {
		report.Results++
		for i, loc := range meta.pageLocations {
			report.Pages++
			if _, err := s.readPage(loc, meta.Result); err != nil {
				addFault("result %016x of query %s, team %q: page %d of %d: %v", meta.Result, meta.QueryID, meta.Tenant,
					i, len(meta.pageLocations), err)
			}
		}
		return nil
	})
	return report, err
}

// GC deletes the results that expire at or before a time, in milliseconds since 1970, and compacts
// until almost nothing dead is left in the closed segments. It returns the number of deleted results. It
// considers the results in the index, and leaves the Store with a low CompactionGarbageRatio.
func (s *Store) GC(nowMillis int64) (dropped int, err error) {
	var expired []uint64
	if err := s.index.Each(func(meta *Meta) error {
		if meta.ExpiresMillis <= nowMillis {
			expired = append(expired, meta.Result)
		}
		return nil
	}); err != nil {
		return 0, err
	}
	for chunk := range slices.Chunk(expired, 512) {
		s.dropResults(chunk)
		dropped += len(chunk)
		if err := s.checkpoint(); err != nil {
			return dropped, err
		}
	}
	s.options.CompactionGarbageRatio = 0.01
	for {
		if more, err := s.Tick(); err != nil || !more {
			return dropped, err
		}
	}
}

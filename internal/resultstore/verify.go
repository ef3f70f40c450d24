package resultstore

import (
	"fmt"
	"slices"
)

// Checked is what a look at every record found.
type Verification struct {
	Segments, Records, Results, Pages int
	Bytes, DeadBytes                  int64
	Faults                            []string // what is promised and not there, or spoilt
}

const faultsMost = 100

// Verify reads every record of every segment, and every page that was promised.
func (s *Store) Verify() (c Verification, err error) {
	fault := func(format string, args ...any) {
		if len(c.Faults) < faultsMost {
			c.Faults = append(c.Faults, fmt.Sprintf(format, args...))
		}
	}
	for _, n := range s.numbers() {
		g := s.segments[n]
		f, err := s.files.Open(g.name())
		if err != nil {
			return c, err
		}
		odd := int64(0)
		err = walk(f, n, headSize, g.size, func(Record, place) error {
			c.Records++
			return nil
		}, func(n int64) { odd += n })
		f.Close()
		if err != nil {
			return c, err
		}
		if odd > 0 {
			fault("%s: %d bytes are no records", g.name(), odd)
		}
		c.Segments++
		c.Bytes += g.size
		c.DeadBytes += g.size - headSize - g.live
	}
	err = s.index.Each(func(m *Meta) error {
		c.Results++
		for i, at := range m.places {
			c.Pages++
			if _, err := s.read(at, m.Result); err != nil {
				fault("result %016x of query %s, team %q: page %d of %d: %v", m.Result, m.QueryID, m.Tenant, i, len(m.places), err)
			}
		}
		return nil
	})
	return c, err
}

// GC drops results that are past their life at a time, in milliseconds since 1970,
// and compacts until nothing dead is left in what was closed.
func (s *Store) GC(now int64) (dropped int, err error) {
	var past []uint64
	if err := s.index.Each(func(m *Meta) error {
		if m.ExpiresMillis <= now {
			past = append(past, m.Result)
		}
		return nil
	}); err != nil {
		return 0, err
	}
	for l := range slices.Chunk(past, 512) {
		s.drop(l)
		dropped += len(l)
		if err := s.checkpoint(); err != nil {
			return dropped, err
		}
	}
	s.terms.CompactionGarbageRatio = 0.01
	for {
		if more, err := s.Tick(); err != nil || !more {
			return dropped, err
		}
	}
}

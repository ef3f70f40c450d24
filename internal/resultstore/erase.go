package resultstore

// erasing is what has to be gone from the disk for good, all that counts no more: it
// stands in segments until these are compacted, which else waits until enough of one
// is dead.
type erasing struct {
	asked    []func()        // since the pass began
	under    []func()        // told once the pass is through
	segments map[uint64]bool // that held anything dead when it began, nil: there is none
}

// Erase has done called, in some later Tick, once no byte of what counts no more is in
// any segment or in the index, and that is synced. A disk that refuses makes it wait. A
// program that ends before knows nothing of it afterwards: it is to be asked again.
func (s *Store) Erase(done func()) { s.erasing.asked = append(s.erasing.asked, done) }

// dead is what of a segment's file counts no more, Gone records aside.
func (g *segment) dead() bool {
	return g.odd || g.size-headSize-g.live-int64(g.keeps)*recordHead > 0
}

// beginErasing begins a pass for all that asked so far.
func (s *Store) beginErasing() error {
	e := &s.erasing
	if e.segments != nil || len(e.asked) == 0 {
		return nil
	}
	if s.compact != nil { // what it copied may be dead by now, and nothing would tell
		s.giveUp()
	}
	l := map[uint64]bool{}
	for n, g := range s.segments {
		if g.dead() {
			l[n] = true
		}
	}
	if len(l) > 0 && (s.active == nil || l[s.active.number]) {
		if err := s.roll(); err != nil {
			return err
		}
	}
	e.segments, e.under, e.asked = l, e.asked, nil
	return nil
}

// toErase is the next segment of the pass, nil if there is none left.
func (s *Store) toErase() (first *segment) {
	for n := range s.erasing.segments {
		if g := s.segments[n]; g != nil && (first == nil || n < first.number) {
			first = g
		}
	}
	return first
}

// endErasing tells once the pass is through.
func (s *Store) endErasing(more bool) (bool, error) {
	e := &s.erasing
	if e.segments == nil || s.compact != nil || s.toErase() != nil {
		return more, nil
	}
	if s.active == nil && len(s.recent)+len(s.gone) > 0 { // else the index would not be brought up
		if err := s.roll(); err != nil {
			return false, err
		}
	}
	if err := s.checkpoint(); err != nil {
		return false, err
	}
	if err := s.removeLeaving(); err != nil {
		return false, err
	}
	if err := s.index.Scrub(); err != nil {
		return false, err
	}
	if err := s.files.SyncDir(); err != nil {
		return false, err
	}
	under := e.under
	e.segments, e.under = nil, nil
	for _, done := range under {
		done()
	}
	return more || len(e.asked) > 0, nil
}

// Erases tells whether anything is still to be erased.
func (s *Store) ErasePending() bool { return s.erasing.segments != nil || len(s.erasing.asked) > 0 }

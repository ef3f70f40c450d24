package transport

// sequenceWindow is a sliding bitmap of the sequence numbers that were received from one sender
// incarnation. Bit seq mod replayWindowSize of seen is set if seq was received; seen covers
// (highest-replayWindowSize, highest].
type sequenceWindow struct {
	highest uint64
	seen    [replayWindowSize / 64]uint64
}

// accept reports whether seq is new, and marks seq as seen. It rejects 0 and numbers that are
// older than the window.
func (w *sequenceWindow) accept(seq uint64) bool {
	if seq == 0 || seq < w.highest && w.highest-seq >= replayWindowSize {
		return false
	}
	if seq > w.highest {
		if seq-w.highest >= replayWindowSize {
			w.seen = [replayWindowSize / 64]uint64{}
		} else {
			for s := w.highest + 1; s != seq+1; s++ {
				w.seen[s%replayWindowSize/64] &^= 1 << (s % 64)
			}
		}
		w.highest = seq
	}
	word, bit := &w.seen[seq%replayWindowSize/64], uint64(1)<<(seq%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// senderIncarnations holds the replay windows of one sender's incarnations, in the order in which
// their first frames arrived, and the incarnations whose windows were dropped.
type senderIncarnations struct {
	incarnations []uint64
	windows      []*sequenceWindow
	expired      map[uint64]struct{}
}

// replayGuard decides which authenticated frames are accepted. Only frames with a valid MAC add
// state, so that a sender without a key can't exhaust memory.
type replayGuard struct {
	fleet, self string
	incarnation uint64
	senders     map[string]*senderIncarnations
}

func newReplayGuard(fleet, self string, incarnation uint64) *replayGuard {
	return &replayGuard{fleet: fleet, self: self, incarnation: incarnation,
		senders: map[string]*senderIncarnations{}}
}

// accept returns nil for a new frame that is addressed to the current incarnation of this
// controller, and the reason for the rejection of any other frame. Hellos are accepted without
// being recorded: a hello carries no messages, and its response verifies for no other frame.
func (g *replayGuard) accept(f *frame) RejectionError {
	switch {
	case f.Fleet != g.fleet:
		return &OtherFleetError{f.From, f.Fleet, g.fleet}
	case f.To != g.self:
		return &WrongRecipientError{f.From, f.To, g.self}
	case f.ReceiverIncarnation == 0 && len(f.Messages) == 0:
		return nil
	case f.ReceiverIncarnation != g.incarnation:
		return &StaleIncarnationError{f.From}
	}
	sender := g.senders[f.From]
	if sender == nil {
		sender = &senderIncarnations{expired: map[uint64]struct{}{}}
		g.senders[f.From] = sender
	}
	if w := sender.window(f.SenderIncarnation); w == nil || !w.accept(f.Seq) {
		return &ReplayError{f.From, f.Seq}
	}
	return nil
}

// window returns the window of an incarnation, or nil if the window was dropped to make room for
// those of later incarnations. Windows of several incarnations exist side by side, so that a delayed
// frame of an earlier incarnation doesn't block the current one.
func (s *senderIncarnations) window(incarnation uint64) *sequenceWindow {
	for i, known := range s.incarnations {
		if known == incarnation {
			return s.windows[i]
		}
	}
	if _, ok := s.expired[incarnation]; ok {
		return nil
	}
	if len(s.incarnations) == maxIncarnations {
		s.expired[s.incarnations[0]] = struct{}{}
		s.incarnations, s.windows = s.incarnations[1:], s.windows[1:]
	}
	w := &sequenceWindow{}
	s.incarnations, s.windows = append(s.incarnations, incarnation), append(s.windows, w)
	return w
}

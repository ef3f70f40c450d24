package transport

// sequenceWindow tells sequence numbers that were seen from new ones.
type sequenceWindow struct {
	highest uint64
	seen    [windowSize / 64]uint64 // bit seq mod windowSize, for those in (top-windowSize, top]
}

// accept reports whether a number is new, and marks it as seen.
func (w *sequenceWindow) accept(seq uint64) bool {
	if seq == 0 || seq < w.highest && w.highest-seq >= windowSize {
		return false
	}
	if seq > w.highest {
		if seq-w.highest >= windowSize {
			w.seen = [windowSize / 64]uint64{}
		} else {
			for s := w.highest + 1; s != seq+1; s++ {
				w.seen[s%windowSize/64] &^= 1 << (s % 64)
			}
		}
		w.highest = seq
	}
	cell, bit := &w.seen[seq%windowSize/64], uint64(1)<<(seq%64)
	if *cell&bit != 0 {
		return false
	}
	*cell |= bit
	return true
}

// senderIncarnations are the incarnations of one sender that were heard of, oldest first.
type senderIncarnations struct {
	incarnations []uint64
	windows      []*sequenceWindow
	expired      map[uint64]struct{}
}

// replayGuard decides which authentic frames are accepted. It grows only by frames that were signed.
type replayGuard struct {
	fleet, self string
	incarnation uint64
	senders     map[string]*senderIncarnations
}

func newReplayGuard(fleet, self string, boot uint64) *replayGuard {
	return &replayGuard{fleet: fleet, self: self, incarnation: boot, senders: map[string]*senderIncarnations{}}
}

// accept reports why an authentic frame is not accepted: it must be for this controller's
// present incarnation, and new.
// A hello passes without a mark: it carries nothing, and its answer fits no other frame.
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
	r := g.senders[f.From]
	if r == nil {
		r = &senderIncarnations{expired: map[uint64]struct{}{}}
		g.senders[f.From] = r
	}
	if w := r.window(f.SenderIncarnation); w == nil || !w.accept(f.Seq) {
		return &ReplayError{f.From, f.Seq}
	}
	return nil
}

// window gives an incarnation's window, nil if that is too long ago. An earlier one's stays
// beside a later one's: a frame that was held up must not shut out the present incarnation.
func (r *senderIncarnations) window(boot uint64) *sequenceWindow {
	for i, b := range r.incarnations {
		if b == boot {
			return r.windows[i]
		}
	}
	if _, ok := r.expired[boot]; ok {
		return nil
	}
	if len(r.incarnations) == runsAtMost {
		r.expired[r.incarnations[0]] = struct{}{}
		r.incarnations, r.windows = r.incarnations[1:], r.windows[1:]
	}
	w := &sequenceWindow{}
	r.incarnations, r.windows = append(r.incarnations, boot), append(r.windows, w)
	return w
}

// Package transport carries what controllers of one fleet say to each other, and what
// operators ask of them. Everything bears a keyed MAC; nothing is hidden by it: who
// listens between two controllers reads policies and reports, so a network that isn't
// the operator's own needs a tunnel besides.
//
// frame.go is the pure part: what is authentic, new and for this controller. wire.go
// and control.go are the sockets.
package transport

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"railrelay.dev/railrelay/internal/fleet/node"
)

const (
	// BodyAtMost bounds a frame, in bytes.
	BodyAtMost = 64 << 20
	// windowSize is how far behind the newest number of a sender's run another one may
	// be and still be told from a replay.
	windowSize = 1024
	// runsAtMost is how many runs of one sender have a window here. Of older ones only
	// the number is kept: nothing of them is taken any more.
	runsAtMost = 16

	forFrame  = "fleet frame 1"
	forAnswer = "fleet answer 1"
)

// frame is what one POST carries: its MAC stands beside it, over these very bytes, and
// is checked before they are read.
type frame struct {
	Fleet    string            `cbor:"1,keyasint"`
	From     string            `cbor:"2,keyasint"`
	To       string            `cbor:"3,keyasint"`
	Boot     uint64            `cbor:"4,keyasint"` // of the sender's run
	There    uint64            `cbor:"5,keyasint"` // of the receiver's; 0: a hello, which asks for it
	Seq      uint64            `cbor:"6,keyasint"` // from 1, within the sender's run and for this receiver
	Messages []cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

// answer is what the MAC of an answer is over. The sender of the frame knows all of it
// but Boot. Frame is the frame's MAC: an answer to any other frame, older ones
// included, doesn't fit.
type answer struct {
	Fleet  string `cbor:"1,keyasint"`
	From   string `cbor:"2,keyasint"`
	Status int    `cbor:"3,keyasint"`
	Boot   uint64 `cbor:"4,keyasint"` // of who answers
	Seq    uint64 `cbor:"5,keyasint"`
	Frame  []byte `cbor:"6,keyasint"`
}

var encoding, decoding = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	e, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	d, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return e, d
}

func encode(v any) []byte {
	b, err := encoding.Marshal(v)
	if err != nil {
		panic(err) // plain structs of this package: they always can be
	}
	return b
}

// window tells numbers that were seen from new ones.
type window struct {
	top  uint64
	seen [windowSize / 64]uint64 // bit seq mod windowSize, for those in (top-windowSize, top]
}

// take says whether a number is new, and marks it.
func (w *window) take(seq uint64) bool {
	if seq == 0 || seq < w.top && w.top-seq >= windowSize {
		return false
	}
	if seq > w.top {
		if seq-w.top >= windowSize {
			w.seen = [windowSize / 64]uint64{}
		} else {
			for s := w.top + 1; s != seq+1; s++ {
				w.seen[s%windowSize/64] &^= 1 << (s % 64)
			}
		}
		w.top = seq
	}
	cell, bit := &w.seen[seq%windowSize/64], uint64(1)<<(seq%64)
	if *cell&bit != 0 {
		return false
	}
	*cell |= bit
	return true
}

// runs are the runs of one sender that were heard of, oldest first.
type runs struct {
	boots   []uint64
	windows []*window
	shut    map[uint64]struct{}
}

// gate decides what of authentic frames is taken. It grows only by what was signed.
type gate struct {
	fleet, self string
	boot        uint64
	senders     map[string]*runs
}

func newGate(fleet, self string, boot uint64) *gate {
	return &gate{fleet: fleet, self: self, boot: boot, senders: map[string]*runs{}}
}

// open checks the MAC and reads the frame; it needs no state.
func open(keys Keys, body, sum []byte, remote string) (*frame, Refused) {
	if !keys.check(forFrame, body, sum) {
		return nil, &StrangerError{remote, "a frame"}
	}
	f := &frame{}
	if err := decoding.Unmarshal(body, f); err != nil {
		return nil, &FormError{remote, err}
	}
	if f.From == "" || f.Boot == 0 {
		return nil, &FormError{remote, errors.New("a frame without a sender")}
	}
	return f, nil
}

// admit says whether an authentic frame is for this controller as it runs now, and new.
// A hello passes without a mark: it carries nothing, and its answer fits no other frame.
func (g *gate) admit(f *frame) Refused {
	switch {
	case f.Fleet != g.fleet:
		return &OtherFleetError{f.From, f.Fleet, g.fleet}
	case f.To != g.self:
		return &AddresseeError{f.From, f.To, g.self}
	case f.There == 0 && len(f.Messages) == 0:
		return nil
	case f.There != g.boot:
		return &StaleBootError{f.From}
	}
	r := g.senders[f.From]
	if r == nil {
		r = &runs{shut: map[uint64]struct{}{}}
		g.senders[f.From] = r
	}
	if w := r.window(f.Boot); w == nil || !w.take(f.Seq) {
		return &ReplayError{f.From, f.Seq}
	}
	return nil
}

// window gives a run's window, nil if the run is too long ago. An earlier run's stays
// beside a later one's: a frame that was held up must not shut out who runs now.
func (r *runs) window(boot uint64) *window {
	for i, b := range r.boots {
		if b == boot {
			return r.windows[i]
		}
	}
	if _, ok := r.shut[boot]; ok {
		return nil
	}
	if len(r.boots) == runsAtMost {
		r.shut[r.boots[0]] = struct{}{}
		r.boots, r.windows = r.boots[1:], r.windows[1:]
	}
	w := &window{}
	r.boots, r.windows = append(r.boots, boot), append(r.windows, w)
	return w
}

// messages reads what a frame carries: all of it or nothing.
func (f *frame) messages() ([]*node.Message, Refused) {
	ms := make([]*node.Message, len(f.Messages))
	for i, raw := range f.Messages {
		ms[i] = &node.Message{}
		if err := decoding.Unmarshal(raw, ms[i]); err != nil {
			return nil, &FormError{f.From, err}
		}
		if ms[i].From != f.From || ms[i].To != f.To {
			return nil, &FormError{f.From, errors.New("a message by or for another than its frame")}
		}
	}
	return ms, nil
}

const (
	saidEvery  = time.Minute
	saidAtMost = 4096 // pairs of peer and reason remembered; over it nothing is said, only counted
)

type said struct{ peer, reason string }

// sayings keeps the log short: a reason is said once a minute for each peer.
type sayings map[said]time.Duration

func (s sayings) say(peer, reason string, now time.Duration) bool {
	k := said{peer, reason}
	if last, ok := s[k]; ok && now-last < saidEvery {
		return false
	}
	if len(s) >= saidAtMost {
		for k, last := range s {
			if now-last >= saidEvery {
				delete(s, k)
			}
		}
		if len(s) >= saidAtMost {
			return false
		}
	}
	s[k] = now
	return true
}

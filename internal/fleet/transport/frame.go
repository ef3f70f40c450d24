// Package transport carries what controllers of one fleet say to each other, and what
// operators ask of them. Everything bears a keyed MAC; nothing is hidden by it: who
// listens between two controllers reads policies and reports, so a network that isn't
// the operator's own needs a tunnel besides.
//
// frame.go is the pure part: what is authentic and for this controller; replay_guard.go
// is what has been seen. peer_transport.go and control_server.go are the sockets.
package transport

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"railrelay.dev/railrelay/internal/fleet/node"
)

const (
	// MaxFrameBytes bounds a frame, in bytes.
	MaxFrameBytes = 64 << 20
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
	Fleet               string            `cbor:"1,keyasint"`
	From                string            `cbor:"2,keyasint"`
	To                  string            `cbor:"3,keyasint"`
	SenderIncarnation   uint64            `cbor:"4,keyasint"` // of the sender's run
	ReceiverIncarnation uint64            `cbor:"5,keyasint"` // of the receiver's; 0: a hello, which asks for it
	Seq                 uint64            `cbor:"6,keyasint"` // from 1, within the sender's run and for this receiver
	Messages            []cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

// answer is what the MAC of an answer is over. The sender of the frame knows all of it
// but Boot. Frame is the frame's MAC: an answer to any other frame, older ones
// included, doesn't fit.
type answer struct {
	Fleet       string `cbor:"1,keyasint"`
	From        string `cbor:"2,keyasint"`
	Status      int    `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"` // of who answers
	Seq         uint64 `cbor:"5,keyasint"`
	Frame       []byte `cbor:"6,keyasint"`
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

// authenticate checks the MAC and reads the frame; it needs no state.
func authenticate(keys Keys, body, sum []byte, remote string) (*frame, RejectionError) {
	if !keys.verify(forFrame, body, sum) {
		return nil, &UnauthenticatedError{remote, "a frame"}
	}
	f := &frame{}
	if err := decoding.Unmarshal(body, f); err != nil {
		return nil, &MalformedError{remote, err}
	}
	if f.From == "" || f.SenderIncarnation == 0 {
		return nil, &MalformedError{remote, errors.New("a frame without a sender")}
	}
	return f, nil
}

// messages reads what a frame carries: all of it or nothing.
func (f *frame) messages() ([]*node.Message, RejectionError) {
	ms := make([]*node.Message, len(f.Messages))
	for i, raw := range f.Messages {
		ms[i] = &node.Message{}
		if err := decoding.Unmarshal(raw, ms[i]); err != nil {
			return nil, &MalformedError{f.From, err}
		}
		if ms[i].From != f.From || ms[i].To != f.To {
			return nil, &MalformedError{f.From, errors.New("a message by or for another than its frame")}
		}
	}
	return ms, nil
}

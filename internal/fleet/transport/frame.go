// Package transport carries messages between the controllers of one fleet, and requests from
// operators to controllers. Every message carries a keyed MAC but isn't encrypted: anyone who can
// read the traffic between two controllers can read policies and reports. On a network that the
// operator doesn't control, run the connections through an encrypted tunnel.
//
// frame.go encodes, decodes and authenticates frames without state or I/O; replay_guard.go rejects
// replayed frames. peer_transport.go and control_server.go do the network I/O.
package transport

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"railrelay.dev/railrelay/internal/fleet/node"
)

const (
	// MaxFrameBytes is the size limit of an encoded frame.
	MaxFrameBytes = 64 << 20
	// replayWindowSize is the number of sequence numbers, counted back from the highest one of a
	// sender's incarnation, that the receiver can tell from replays. Older frames are rejected.
	replayWindowSize = 1024
	// maxIncarnations is how many incarnations of one sender have a replay window. Of older
	// incarnations only the number is kept, so that their frames are rejected.
	maxIncarnations = 16

	// The purposes of MACs are part of the wire format.
	purposeFrame         = "fleet frame 1"
	purposeFrameResponse = "fleet answer 1"
)

// frame is the body of one POST. The MAC of the encoded bytes travels in a header and is verified
// before the frame is decoded.
type frame struct {
	Fleet               string            `cbor:"1,keyasint"`
	From                string            `cbor:"2,keyasint"`
	To                  string            `cbor:"3,keyasint"`
	SenderIncarnation   uint64            `cbor:"4,keyasint"`
	ReceiverIncarnation uint64            `cbor:"5,keyasint"` // 0 in a hello, which asks for the value
	Seq                 uint64            `cbor:"6,keyasint"` // from 1, per sender incarnation and receiver
	Messages            []cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

// frameResponse is the data that the MAC of a response to a frame covers. The sender of the frame
// knows each field but Incarnation. Frame is the MAC of the frame, so that a response to another
// frame, older frames included, doesn't verify.
type frameResponse struct {
	Fleet       string `cbor:"1,keyasint"`
	From        string `cbor:"2,keyasint"`
	Status      int    `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"` // incarnation of the responder
	Seq         uint64 `cbor:"5,keyasint"`
	Frame       []byte `cbor:"6,keyasint"`
}

var encMode, decMode = newCBORModes()

// newCBORModes returns a deterministic encoder, and a decoder that rejects duplicate keys, tags and
// values of indefinite length.
func newCBORModes() (cbor.EncMode, cbor.DecMode) {
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
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err) // the values are plain structs of this package, which always encode
	}
	return b
}

// authenticate verifies the MAC of body, then decodes the frame.
func authenticate(keys Keys, body, sum []byte, remote string) (*frame, RejectionError) {
	if !keys.verify(purposeFrame, body, sum) {
		return nil, &UnauthenticatedError{remote, "a frame"}
	}
	f := &frame{}
	if err := decMode.Unmarshal(body, f); err != nil {
		return nil, &MalformedError{remote, err}
	}
	if f.From == "" || f.SenderIncarnation == 0 {
		return nil, &MalformedError{remote, errors.New("frame has no sender name or no sender incarnation")}
	}
	return f, nil
}

// decodeMessages decodes the messages of a frame. If one message is malformed, decodeMessages
// returns none of them.
func (f *frame) decodeMessages() ([]*node.Message, RejectionError) {
	messages := make([]*node.Message, len(f.Messages))
	for i, raw := range f.Messages {
		messages[i] = &node.Message{}
		if err := decMode.Unmarshal(raw, messages[i]); err != nil {
			return nil, &MalformedError{f.From, err}
		}
		if messages[i].From != f.From || messages[i].To != f.To {
			return nil, &MalformedError{f.From, errors.New("message and frame differ in sender or recipient")}
		}
	}
	return messages, nil
}

// Package client encodes the MessagePack-RPC requests of a client and decodes the responses.
// It works on byte slices and opens no connections.
package client

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
	"strconv"
	"time"
)

// AppendQuery appends a query request to dst. Fields are pairs of names and values.
func AppendQuery(dst []byte, id uint32, group string, statement []byte, fields ...string) []byte {
	dst = appendString(appendUint32(append(dst, 0x94, 0), id), group)
	dst = append(dst, 0x92, 0xde, 0, byte(len(fields)/2))
	for _, f := range fields {
		dst = appendString(dst, f)
	}
	dst = binary.BigEndian.AppendUint32(append(dst, 0xc6), uint32(len(statement)))
	return append(dst, statement...)
}

// AppendPageRequest appends a request for one page of a result to dst. Fields are pairs of
// names and values.
func AppendPageRequest(dst []byte, msg uint32, token, page string, fields ...string) []byte {
	dst = append(appendString(appendUint32(append(dst, 0x94, 0), msg), "page"), 0x91)
	fields = append([]string{"token", token, "page", page}, fields...)
	dst = append(dst, 0x80|byte(len(fields)/2))
	for _, f := range fields {
		dst = appendString(dst, f)
	}
	return dst
}

// AppendPurgeRequest appends a request to purge the stored results of the client's tenant. With
// an id field, it asks for the progress of that purge instead. Fields are pairs of names and
// values.
func AppendPurgeRequest(dst []byte, msg uint32, fields ...string) []byte {
	dst = append(appendString(appendUint32(append(dst, 0x94, 0), msg), "purge"), 0x91, 0x80|byte(len(fields)/2))
	for _, f := range fields {
		dst = appendString(dst, f)
	}
	return dst
}

// AppendAliveRequest appends a request that asks whether a controller is ready.
func AppendAliveRequest(dst []byte, msg uint32) []byte {
	return append(appendString(appendUint32(append(dst, 0x94, 0), msg), "alive"), 0x91, 0x80)
}

// AppendCancel appends a notification that cancels the query with a message ID.
func AppendCancel(dst []byte, msg uint32) []byte {
	return appendUint32(append(appendString(append(dst, 0x93, 2), "cancelRequest"), 0x91), msg)
}

func appendUint32(dst []byte, n uint32) []byte {
	return binary.BigEndian.AppendUint32(append(dst, 0xce), n)
}

func appendString(dst []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint16(append(dst, 0xda), uint16(len(s))), s...)
}

// Kind tells the messages from a controller apart.
type Kind int

// The kinds of messages from a controller.
const (
	Finished   Kind = iota // a result
	Deferred               // the error that the client may send the query again
	Killed                 // any other error
	WaitNotice             // the expected wait of a queued query
	Ready                  // the response to an alive request
)

// Answer is one message from a controller.
type Answer struct {
	Kind   Kind
	Msg    uint32
	Rows   []byte
	Wait   time.Duration // WaitNotice: expected time to the start; Deferred: time before a retry, 0 if not given
	Reason string        // set for Killed and Deferred
	Ready  bool
	Fields map[string]string // the other fields of the response
}

var errMalformed = errors.New("malformed response")
var errIncompleteMessage = errors.New("incomplete message: more bytes are needed")

// readSize is the buffer size of ReadAll in bytes.
const readSize = 4 << 10

// ReadAll calls handle with each response on a connection. It returns the read error when the
// connection ends, or a decoding error for a malformed response.
func ReadAll(connection io.Reader, handle func(Answer)) error {
	var pending []byte
	for buffer := make([]byte, readSize); ; {
		n, err := connection.Read(buffer)
		if err != nil {
			return err
		}
		pending = append(pending, buffer[:n]...)
		for {
			answer, consumed, err := Read(pending)
			if err != nil {
				return err
			}
			if consumed == 0 {
				break
			}
			pending = append(pending[:0], pending[consumed:]...)
			handle(answer)
		}
	}
}

// Read decodes the first message in data and returns its length in bytes. The length is 0 if
// the message is incomplete.
func Read(data []byte) (a Answer, n int, err error) {
	r := &decoder{data: data}
	a = r.answer()
	if errors.Is(r.err, errIncompleteMessage) {
		return a, 0, nil
	}
	return a, r.offset, r.err
}

type decoder struct {
	data   []byte
	offset int
	err    error
}

func (r *decoder) take(n int) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || n > len(r.data)-r.offset {
		r.err = errIncompleteMessage
		return nil
	}
	r.offset += n
	return r.data[r.offset-n : r.offset]
}

func (r *decoder) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0xc1 // not assigned in MessagePack
}

// size reads a big-endian unsigned integer of n bytes.
func (r *decoder) size(n int) (x int) {
	for _, b := range r.take(n) {
		x = x<<8 | int(b)
	}
	return x
}

// value decodes a value of any type that responses use: number, string, bytes, array or map.
func (r *decoder) value() any {
	b := r.byte()
	switch {
	case r.err != nil:
		return nil
	case b < 0x80:
		return int(b)
	case b < 0x90:
		return r.stringMap(int(b & 0xf))
	case b < 0xa0:
		return r.array(int(b & 0xf))
	case b < 0xc0:
		return string(r.take(int(b & 0x1f)))
	}
	switch b {
	case 0xc0:
		return nil
	case 0xc2, 0xc3:
		return b == 0xc3
	case 0xc4, 0xc5, 0xc6:
		return r.take(r.size(1 << (b - 0xc4)))
	case 0xcc, 0xcd, 0xce:
		return r.size(1 << (b - 0xcc))
	case 0xd9, 0xda, 0xdb:
		return string(r.take(r.size(1 << (b - 0xd9))))
	case 0xdc:
		return r.array(r.size(2))
	case 0xde:
		return r.stringMap(r.size(2))
	}
	r.err = errMalformed
	return nil
}

func (r *decoder) array(n int) (l []any) {
	for range n {
		l = append(l, r.value())
	}
	return l
}

func (r *decoder) stringMap(n int) map[string]string {
	m := map[string]string{}
	for range n {
		k, _ := r.value().(string)
		v, _ := r.value().(string)
		m[k] = v
	}
	return m
}

// answer decodes one message. A malformed one sets err.
func (r *decoder) answer() (a Answer) {
	message, _ := r.value().([]any)
	if r.err != nil {
		return a
	}
	if len(message) == 3 && message[0] == 2 && message[1] == "wait" {
		if at, ok := message[2].([]any); ok && len(at) == 2 {
			msg, _ := at[0].(int)
			ms, _ := at[1].(int)
			return Answer{Kind: WaitNotice, Msg: uint32(msg), Wait: time.Duration(ms) * time.Millisecond}
		}
	}
	if len(message) != 4 || message[0] != 1 {
		r.err = errMalformed
		return a
	}
	msg, _ := message[1].(int)
	if msg < 0 || msg > math.MaxUint32 {
		r.err = errMalformed
	}
	a.Msg = uint32(msg)
	if failure, ok := message[2].([]any); ok && len(failure) == 2 {
		fields, _ := failure[1].(map[string]string)
		if a.Kind = Killed; failure[0] == "Throttled" {
			a.Kind = Deferred
		}
		ms, _ := strconv.Atoi(fields["pause"])
		a.Wait, a.Reason, a.Fields = time.Duration(ms)*time.Millisecond, fields["why"], fields
		return a
	}
	result, _ := message[3].([]any)
	if len(result) != 2 {
		r.err = errMalformed
		return a
	}
	a.Fields, _ = result[1].(map[string]string)
	switch x := result[0].(type) {
	case bool:
		a.Kind, a.Ready = Ready, x
	case []byte:
		a.Rows = x
	default:
		r.err = errMalformed
	}
	return a
}

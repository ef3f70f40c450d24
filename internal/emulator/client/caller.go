// Package client is a stand-in client's side of MessagePack-RPC, over bytes only:
// it writes calls and reads what comes back.
package client

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
	"strconv"
	"time"
)

// Call writes a query. Fields are pairs of names and values.
func AppendQuery(dst []byte, msg uint32, group string, statement []byte, fields ...string) []byte {
	dst = str(whole(append(dst, 0x94, 0), msg), group)
	dst = append(dst, 0x92, 0xde, 0, byte(len(fields)/2))
	for _, f := range fields {
		dst = str(dst, f)
	}
	dst = binary.BigEndian.AppendUint32(append(dst, 0xc6), uint32(len(statement)))
	return append(dst, statement...)
}

// Page asks for a page of a result.
func AppendPageRequest(dst []byte, msg uint32, token, page string, fields ...string) []byte {
	dst = append(str(whole(append(dst, 0x94, 0), msg), "page"), 0x91)
	fields = append([]string{"token", token, "page", page}, fields...)
	dst = append(dst, 0x80|byte(len(fields)/2))
	for _, f := range fields {
		dst = str(dst, f)
	}
	return dst
}

// Purge asks for what is kept of its team to go, or with an id how far that is. Fields
// are pairs of names and values.
func AppendPurgeRequest(dst []byte, msg uint32, fields ...string) []byte {
	dst = append(str(whole(append(dst, 0x94, 0), msg), "purge"), 0x91, 0x80|byte(len(fields)/2))
	for _, f := range fields {
		dst = str(dst, f)
	}
	return dst
}

// Alive asks whether a controller is ready.
func AppendAliveRequest(dst []byte, msg uint32) []byte {
	return append(str(whole(append(dst, 0x94, 0), msg), "alive"), 0x91, 0x80)
}

// Cancel takes a query back.
func AppendCancel(dst []byte, msg uint32) []byte {
	return whole(append(str(append(dst, 0x93, 2), "cancelRequest"), 0x91), msg)
}

func whole(dst []byte, n uint32) []byte {
	return binary.BigEndian.AppendUint32(append(dst, 0xce), n)
}

func str(dst []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint16(append(dst, 0xda), uint16(len(s))), s...)
}

// Kind is what an Answer is.
type Kind int

const (
	Finished Kind = iota
	Deferred
	Killed
	WaitNotice // a notice of how long it waits
	Ready      // an answer to alive
)

// Answer is one message that came.
type Answer struct {
	Kind   Kind
	Msg    uint32
	Rows   []byte
	Wait   time.Duration // Told: until it starts; Deferred: the pause, 0 if none is named
	Reason string        // Killed
	Ready  bool
	Fields map[string]string // what else an answer told
}

var errForm = errors.New("not an answer")
var errShort = errors.New("not all there")

// readAtOnce is how much ReadAll reads at a time, in bytes.
const readAtOnce = 4 << 10

// ReadAll hands each answer that comes on a connection to take, until the connection
// ends or what comes is no answer: the error says which.
func ReadAll(connection io.Reader, take func(Answer)) error {
	var in []byte
	for p := make([]byte, readAtOnce); ; {
		n, err := connection.Read(p)
		if err != nil {
			return err
		}
		in = append(in, p[:n]...)
		for {
			answer, took, err := Read(in)
			if err != nil {
				return err
			}
			if took == 0 {
				break
			}
			in = append(in[:0], in[took:]...)
			take(answer)
		}
	}
}

// Read reads the first message if it is all there: how many bytes it took, 0
// while it isn't.
func Read(p []byte) (a Answer, n int, err error) {
	r := &reader{p: p}
	a = r.answer()
	if errors.Is(r.err, errShort) {
		return a, 0, nil
	}
	return a, r.at, r.err
}

type reader struct {
	p   []byte
	at  int
	err error
}

func (r *reader) take(n int) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || n > len(r.p)-r.at {
		r.err = errShort
		return nil
	}
	r.at += n
	return r.p[r.at-n : r.at]
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0xc1
}

func (r *reader) size(n int) (x int) {
	for _, b := range r.take(n) {
		x = x<<8 | int(b)
	}
	return x
}

// value reads any value that answers have: numbers, strings, bytes, lists, maps.
func (r *reader) value() any {
	b := r.byte()
	switch {
	case r.err != nil:
		return nil
	case b < 0x80:
		return int(b)
	case b < 0x90:
		return r.fields(int(b & 0xf))
	case b < 0xa0:
		return r.list(int(b & 0xf))
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
		return r.list(r.size(2))
	case 0xde:
		return r.fields(r.size(2))
	}
	r.err = errForm
	return nil
}

func (r *reader) list(n int) (l []any) {
	for range n {
		l = append(l, r.value())
	}
	return l
}

func (r *reader) fields(n int) map[string]string {
	m := map[string]string{}
	for range n {
		k, _ := r.value().(string)
		v, _ := r.value().(string)
		m[k] = v
	}
	return m
}

func (r *reader) answer() (a Answer) {
	l, _ := r.value().([]any)
	if r.err != nil {
		return a
	}
	if len(l) == 3 && l[0] == 2 && l[1] == "wait" {
		if at, ok := l[2].([]any); ok && len(at) == 2 {
			msg, _ := at[0].(int)
			ms, _ := at[1].(int)
			return Answer{Kind: WaitNotice, Msg: uint32(msg), Wait: time.Duration(ms) * time.Millisecond}
		}
	}
	if len(l) != 4 || l[0] != 1 {
		r.err = errForm
		return a
	}
	msg, _ := l[1].(int)
	if msg < 0 || msg > math.MaxUint32 {
		r.err = errForm
	}
	a.Msg = uint32(msg)
	if fault, ok := l[2].([]any); ok && len(fault) == 2 {
		about, _ := fault[1].(map[string]string)
		if a.Kind = Killed; fault[0] == "Throttled" {
			a.Kind = Deferred
		}
		ms, _ := strconv.Atoi(about["pause"])
		a.Wait, a.Reason, a.Fields = time.Duration(ms)*time.Millisecond, about["why"], about
		return a
	}
	good, _ := l[3].([]any)
	if len(good) != 2 {
		r.err = errForm
		return a
	}
	a.Fields, _ = good[1].(map[string]string)
	switch x := good[0].(type) {
	case bool:
		a.Kind, a.Ready = Ready, x
	case []byte:
		a.Rows = x
	default:
		r.err = errForm
	}
	return a
}

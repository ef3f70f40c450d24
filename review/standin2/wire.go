package main

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
)

// MessagePack as far as clients of the protocol need it.

func putUint(b []byte, n uint32) []byte {
	if n < 128 {
		return append(b, byte(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xce), n)
}

func putString(b []byte, s string) []byte {
	if len(s) < 32 {
		return append(append(b, 0xa0|byte(len(s))), s...)
	}
	return append(binary.BigEndian.AppendUint16(append(b, 0xda), uint16(len(s))), s...)
}

// putRequest appends [0, msg, class, [FIELDS, BODY]]; fields are pairs of names and values.
func putRequest(b []byte, msg uint32, class string, body []byte, fields ...string) []byte {
	b = putString(putUint(append(b, 0x94, 0), msg), class)
	b = append(b, 0x92, 0x80|byte(len(fields)/2))
	for _, f := range fields {
		b = putString(b, f)
	}
	b = binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(len(body)))
	return append(b, body...)
}

func putCancel(b []byte, msg uint32) []byte {
	return putUint(append(putString(append(b, 0x93, 2), "cancelRequest"), 0x91), msg)
}

func putAlive(b []byte, msg uint32) []byte {
	return append(putString(putUint(append(b, 0x94, 0), msg), "alive"), 0x91, 0x80)
}

var errMessage = errors.New("a message that can't be read")

// getValue reads one MessagePack value.
func getValue(r io.Reader) (any, error) {
	var one [1]byte
	if _, err := io.ReadFull(r, one[:]); err != nil {
		return nil, err
	}
	switch b := one[0]; {
	case b < 0x80:
		return uint64(b), nil
	case b < 0x90:
		return readTable(r, uint64(b&15), nil)
	case b < 0xa0:
		return readList(r, uint64(b&15), nil)
	case b < 0xc0:
		return readText(r, uint64(b&31), nil)
	case b == 0xc0:
		return nil, nil
	case b == 0xc2, b == 0xc3:
		return b == 0xc3, nil
	case b >= 0xc4 && b <= 0xc6:
		n, err := readNumber(r, 1<<(b-0xc4))
		return readText(r, n, err)
	case b >= 0xcc && b <= 0xcf:
		return readNumber(r, 1<<(b-0xcc))
	case b == 0xcb:
		n, err := readNumber(r, 8)
		return math.Float64frombits(n), err
	case b >= 0xd9 && b <= 0xdb:
		n, err := readNumber(r, 1<<(b-0xd9))
		return readText(r, n, err)
	case b == 0xdc || b == 0xdd:
		n, err := readNumber(r, 2<<(b-0xdc))
		return readList(r, n, err)
	case b == 0xde || b == 0xdf:
		n, err := readNumber(r, 2<<(b-0xde))
		return readTable(r, n, err)
	}
	return nil, errMessage
}

func readNumber(r io.Reader, bytes int) (uint64, error) {
	var p [8]byte
	_, err := io.ReadFull(r, p[8-bytes:])
	return binary.BigEndian.Uint64(p[:]), err
}

func readText(r io.Reader, n uint64, err error) (any, error) {
	if err != nil || n > 64<<20 {
		return nil, errors.Join(errMessage, err)
	}
	p := make([]byte, n)
	_, err = io.ReadFull(r, p)
	return string(p), err
}

func readList(r io.Reader, n uint64, err error) (any, error) {
	if err != nil || n > 1<<16 {
		return nil, errors.Join(errMessage, err)
	}
	items := make([]any, n)
	for i := range items {
		if items[i], err = getValue(r); err != nil {
			return nil, err
		}
	}
	return items, nil
}

func readTable(r io.Reader, n uint64, err error) (any, error) {
	list, err := readList(r, 2*n, err)
	if err != nil {
		return nil, err
	}
	items, m := list.([]any), map[string]any{}
	for i := 0; i < len(items); i += 2 {
		name, _ := items[i].(string)
		m[name] = items[i+1]
	}
	return m, nil
}

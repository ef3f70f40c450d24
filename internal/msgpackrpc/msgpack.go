package msgpackrpc

import (
	"encoding/binary"
	"errors"
	"math"
)

// errShort: the message goes on in a later read.
var errShort = errors.New("not all there yet")

var errForm = errors.New("not a message of this protocol")

// itemsMost bounds the values in a message: a call has a dozen, and one of
// millions would be gone through at every read while it comes.
const itemsMost = 512

// cursor reads MessagePack values off the front of what has come. The first
// fault stays in err, and all that follows reads as nothing.
type cursor struct {
	p     []byte
	at    int
	most  uint64 // bytes in one value: a longer one is not waited for
	items int
	err   error
}

func (c *cursor) fail(err error) {
	if c.err == nil {
		c.err = err
	}
}

func (c *cursor) next(n uint64) []byte {
	if c.err != nil {
		return nil
	}
	if n > c.most {
		c.fail(errForm)
		return nil
	}
	if n > uint64(len(c.p)-c.at) {
		c.fail(errShort)
		return nil
	}
	part := c.p[c.at : c.at+int(n)]
	c.at += int(n)
	return part
}

func (c *cursor) byte() byte {
	if b := c.next(1); b != nil {
		return b[0]
	}
	return 0xc1 // never used: no branch takes it
}

// size reads a big-endian length or number of so many bytes.
func (c *cursor) size(bytes uint64) (n uint64) {
	for _, b := range c.next(bytes) {
		n = n<<8 | uint64(b)
	}
	return n
}

// sized reads a length in any of a type's forms: the short one under a mask,
// and those with the length in 1, 2 or 4 bytes. 0 stands for a form it lacks.
func (c *cursor) sized(short, mask, one, two, four byte) uint64 {
	switch b := c.byte(); {
	case c.err != nil:
	case short != 0 && b&^mask == short:
		return uint64(b & mask)
	case one != 0 && b == one:
		return c.size(1)
	case b == two:
		return c.size(2)
	case b == four:
		return c.size(4)
	default:
		c.fail(errForm)
	}
	return 0
}

func (c *cursor) array() uint64 { return c.sized(0x90, 0x0f, 0, 0xdc, 0xdd) }
func (c *cursor) fields() uint64 {
	return c.sized(0x80, 0x0f, 0, 0xde, 0xdf)
}
func (c *cursor) str() []byte { return c.next(c.sized(0xa0, 0x1f, 0xd9, 0xda, 0xdb)) }
func (c *cursor) bin() []byte { return c.next(c.sized(0, 0, 0xc4, 0xc5, 0xc6)) }

// whole reads an integer that isn't negative.
func (c *cursor) whole() uint64 {
	b := c.byte()
	if c.err != nil {
		return 0
	}
	var n uint64
	switch {
	case b < 0x80:
		return uint64(b)
	case b >= 0xcc && b <= 0xcf:
		return c.size(1 << (b - 0xcc))
	case b >= 0xd0 && b <= 0xd3:
		bytes := uint64(1) << (b - 0xd0)
		if n = c.size(bytes); n < 1<<(8*bytes-1) {
			return n
		}
	}
	c.fail(errForm)
	return 0
}

// skip passes over any one value. Deep nesting is refused: it would cost a
// stack frame a byte.
func (c *cursor) skip(deep int) {
	b := c.byte()
	if c.err != nil {
		return
	}
	if c.items++; deep > 16 || c.items > itemsMost {
		c.fail(errForm)
		return
	}
	items := uint64(0)
	switch {
	case b < 0x80 || b >= 0xe0 || b == 0xc0 || b == 0xc2 || b == 0xc3:
	case b < 0x90:
		items = 2 * uint64(b&0x0f)
	case b < 0xa0:
		items = uint64(b & 0x0f)
	case b < 0xc0:
		c.next(uint64(b & 0x1f))
	case b >= 0xc4 && b <= 0xc6:
		c.next(c.size(1 << (b - 0xc4)))
	case b >= 0xc7 && b <= 0xc9:
		c.next(c.size(1<<(b-0xc7)) + 1)
	case b == 0xca || b == 0xcb:
		c.next(4 << (b - 0xca))
	case b >= 0xcc && b <= 0xcf:
		c.next(1 << (b - 0xcc))
	case b >= 0xd0 && b <= 0xd3:
		c.next(1 << (b - 0xd0))
	case b >= 0xd4 && b <= 0xd8:
		c.next(1<<(b-0xd4) + 1)
	case b >= 0xd9 && b <= 0xdb:
		c.next(c.size(1 << (b - 0xd9)))
	case b == 0xdc || b == 0xdd:
		items = c.size(2 << (b - 0xdc))
	case b == 0xde || b == 0xdf:
		items = 2 * c.size(2<<(b-0xde))
	default:
		c.fail(errForm)
	}
	if items > itemsMost {
		c.fail(errForm)
	}
	for ; items > 0 && c.err == nil; items-- {
		c.skip(deep + 1)
	}
}

func appendSized(dst []byte, n int, short, most, one, two, four byte) []byte {
	switch {
	case n <= int(most):
		return append(dst, short|byte(n))
	case one != 0 && n <= math.MaxUint8:
		return append(dst, one, byte(n))
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(dst, two), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(dst, four), uint32(n))
}

func appendStr(dst []byte, s string) []byte {
	return append(appendSized(dst, len(s), 0xa0, 31, 0xd9, 0xda, 0xdb), s...)
}

func appendBinHead(dst []byte, n int) []byte {
	if n <= math.MaxUint8 {
		return append(dst, 0xc4, byte(n))
	}
	return appendSized(dst, n, 0, 0, 0, 0xc5, 0xc6)
}

func appendWhole(dst []byte, n uint32) []byte {
	switch {
	case n < 0x80:
		return append(dst, byte(n))
	case n <= math.MaxUint8:
		return append(dst, 0xcc, byte(n))
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(dst, 0xcd), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(dst, 0xce), n)
}

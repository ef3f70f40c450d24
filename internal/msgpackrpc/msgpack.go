package msgpackrpc

import (
	"encoding/binary"
	"errors"
	"math"
)

// errIncompleteMessage means that the rest of the message has not been received yet.
var errIncompleteMessage = errors.New("incomplete message: more bytes are needed")

var errInvalidMessage = errors.New("invalid MessagePack-RPC message")

// maxItems limits the values in a message. A call has a dozen values. An incomplete message is parsed again
// on each read, so a message with millions of values would be expensive.
const maxItems = 512

// cursor reads MessagePack values from the start of the received bytes. It keeps the first error in err.
// After an error every read returns a zero value.
type cursor struct {
	data          []byte
	pos           int
	maxValueBytes uint64 // a value with more bytes is an error
	items         int    // values passed by skip, up to maxItems
	err           error
}

// fail keeps the first error.
func (c *cursor) fail(err error) {
	if c.err == nil {
		c.err = err
	}
}

// take returns the next n bytes.
func (c *cursor) take(n uint64) []byte {
	if c.err != nil {
		return nil
	}
	if n > c.maxValueBytes {
		c.fail(errInvalidMessage)
		return nil
	}
	if n > uint64(len(c.data)-c.pos) {
		c.fail(errIncompleteMessage)
		return nil
	}
	part := c.data[c.pos : c.pos+int(n)]
	c.pos += int(n)
	return part
}

func (c *cursor) readByte() byte {
	if b := c.take(1); b != nil {
		return b[0]
	}
	return 0xc1 // not assigned in MessagePack, so no caller accepts it
}

// bigEndian reads a big-endian unsigned integer of the given number of bytes.
func (c *cursor) bigEndian(bytes uint64) (n uint64) {
	for _, b := range c.take(bytes) {
		n = n<<8 | uint64(b)
	}
	return n
}

// length reads a length in any encoding of a type. In the shortest encoding, the type byte is short with the
// length in the bits of mask. The type bytes one, two and four are followed by a length of 1, 2 or 4 bytes.
// A caller passes 0 for short or one if the type lacks that encoding.
func (c *cursor) length(short, mask, one, two, four byte) uint64 {
	switch b := c.readByte(); {
	case c.err != nil:
	case short != 0 && b&^mask == short:
		return uint64(b & mask)
	case one != 0 && b == one:
		return c.bigEndian(1)
	case b == two:
		return c.bigEndian(2)
	case b == four:
		return c.bigEndian(4)
	default:
		c.fail(errInvalidMessage)
	}
	return 0
}

func (c *cursor) arrayLength() uint64 { return c.length(0x90, 0x0f, 0, 0xdc, 0xdd) }
func (c *cursor) mapLength() uint64 {
	return c.length(0x80, 0x0f, 0, 0xde, 0xdf)
}
func (c *cursor) stringValue() []byte { return c.take(c.length(0xa0, 0x1f, 0xd9, 0xda, 0xdb)) }
func (c *cursor) binaryValue() []byte { return c.take(c.length(0, 0, 0xc4, 0xc5, 0xc6)) }

// unsigned reads an integer in any encoding and rejects a negative one.
func (c *cursor) unsigned() uint64 {
	b := c.readByte()
	if c.err != nil {
		return 0
	}
	var n uint64
	switch {
	case b < 0x80:
		return uint64(b)
	case b >= 0xcc && b <= 0xcf:
		return c.bigEndian(1 << (b - 0xcc))
	case b >= 0xd0 && b <= 0xd3:
		bytes := uint64(1) << (b - 0xd0)
		if n = c.bigEndian(bytes); n < 1<<(8*bytes-1) {
			return n
		}
	}
	c.fail(errInvalidMessage)
	return 0
}

// skip skips one value of any type, which is in depth arrays and maps. It rejects deep nesting, which would
// use a stack frame per received byte.
func (c *cursor) skip(depth int) {
	b := c.readByte()
	if c.err != nil {
		return
	}
	if c.items++; depth > 16 || c.items > maxItems {
		c.fail(errInvalidMessage)
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
		c.take(uint64(b & 0x1f))
	case b >= 0xc4 && b <= 0xc6:
		c.take(c.bigEndian(1 << (b - 0xc4)))
	case b >= 0xc7 && b <= 0xc9:
		c.take(c.bigEndian(1<<(b-0xc7)) + 1)
	case b == 0xca || b == 0xcb:
		c.take(4 << (b - 0xca))
	case b >= 0xcc && b <= 0xcf:
		c.take(1 << (b - 0xcc))
	case b >= 0xd0 && b <= 0xd3:
		c.take(1 << (b - 0xd0))
	case b >= 0xd4 && b <= 0xd8:
		c.take(1<<(b-0xd4) + 1)
	case b >= 0xd9 && b <= 0xdb:
		c.take(c.bigEndian(1 << (b - 0xd9)))
	case b == 0xdc || b == 0xdd:
		items = c.bigEndian(2 << (b - 0xdc))
	case b == 0xde || b == 0xdf:
		items = 2 * c.bigEndian(2<<(b-0xde))
	default:
		c.fail(errInvalidMessage)
	}
	if items > maxItems {
		c.fail(errInvalidMessage)
	}
	for ; items > 0 && c.err == nil; items-- {
		c.skip(depth + 1)
	}
}

// appendHeader appends the type and the length n of a value in the shortest encoding. The parameters are as
// for cursor.length, except that maxShort is the largest length in the type byte short.
func appendHeader(dst []byte, n int, short, maxShort, one, two, four byte) []byte {
	switch {
	case n <= int(maxShort):
		return append(dst, short|byte(n))
	case one != 0 && n <= math.MaxUint8:
		return append(dst, one, byte(n))
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(dst, two), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(dst, four), uint32(n))
}

func appendString(dst []byte, s string) []byte {
	return append(appendHeader(dst, len(s), 0xa0, 31, 0xd9, 0xda, 0xdb), s...)
}

func appendBinaryHeader(dst []byte, n int) []byte {
	if n <= math.MaxUint8 {
		return append(dst, 0xc4, byte(n))
	}
	return appendHeader(dst, n, 0, 0, 0, 0xc5, 0xc6)
}

func appendUnsigned(dst []byte, n uint32) []byte {
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

// Package bytebuf provides the receive buffer of a connection.
package bytebuf

const (
	minReadSize = 4 << 10 // least free space offered to a read, in bytes
	// MaxIdleCapacity is the largest capacity, in bytes, that an empty buffer keeps.
	MaxIdleCapacity = 16 << 10
)

// Buffer holds the bytes that were received on a connection and not processed yet. It grows with
// the largest message, compacts its content in place, and releases a large array once it is empty.
type Buffer struct {
	data       []byte
	start, end int
}

// FreeSpace returns the free part of the buffer, into which the next read goes. It has at least
// minReadSize bytes.
func (b *Buffer) FreeSpace() []byte {
	if len(b.data)-b.end >= minReadSize {
		return b.data[b.end:]
	}
	if b.start > 0 {
		b.end, b.start = copy(b.data, b.data[b.start:b.end]), 0
	}
	if len(b.data)-b.end < minReadSize {
		grown := make([]byte, max(2*len(b.data), minReadSize))
		copy(grown, b.data[:b.end])
		b.data = grown
	}
	return b.data[b.end:]
}

// Advance records that the first n bytes of FreeSpace were filled.
func (b *Buffer) Advance(n int) { b.end += n }

// Bytes returns the received bytes that were not discarded. The slice is valid until the next call
// of FreeSpace.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Discard removes the first n bytes of Bytes.
func (b *Buffer) Discard(n int) {
	if b.start += n; b.start < b.end {
		return
	}
	b.start, b.end = 0, 0
	if len(b.data) > MaxIdleCapacity {
		b.data = nil
	}
}

// Capacity returns the size of the underlying array in bytes.
func (b *Buffer) Capacity() int { return len(b.data) }

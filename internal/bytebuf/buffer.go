// Package bytebuf holds what every connection has, whoever is at its other end.
package bytebuf

const (
	least           = 4 << 10  // room offered to a read
	MaxIdleCapacity = 16 << 10 // what an empty buffer may hold on to
)

// Buffer is a connection's one buffer: it grows as its messages need, is
// compacted in place, and gives memory back after a large one.
type Buffer struct {
	b        []byte
	from, to int
}

// Space is where the next read goes.
func (b *Buffer) FreeSpace() []byte {
	if len(b.b)-b.to >= least {
		return b.b[b.to:]
	}
	if b.from > 0 {
		b.to, b.from = copy(b.b, b.b[b.from:b.to]), 0
	}
	if len(b.b)-b.to < least {
		grown := make([]byte, max(2*len(b.b), least))
		copy(grown, b.b[:b.to])
		b.b = grown
	}
	return b.b[b.to:]
}

// Took says how much of Space was filled.
func (b *Buffer) Advance(n int) { b.to += n }

// Bytes is what has come and was not dropped; valid until the next Space.
func (b *Buffer) Bytes() []byte { return b.b[b.from:b.to] }

// Drop forgets the first n bytes.
func (b *Buffer) Discard(n int) {
	if b.from += n; b.from < b.to {
		return
	}
	b.from, b.to = 0, 0
	if len(b.b) > MaxIdleCapacity {
		b.b = nil
	}
}

// Held is the memory it has.
func (b *Buffer) Capacity() int { return len(b.b) }

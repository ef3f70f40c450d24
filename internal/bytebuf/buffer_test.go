package bytebuf

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

func TestBufferMatchesModelAndBoundsItsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Buffer
		var model []byte
		for i, n := range rapid.SliceOfN(rapid.IntRange(0, 9000), 1, 60).Draw(t, "sizes") {
			if i%2 == 0 {
				n = min(n, len(b.FreeSpace()))
				chunk := bytes.Repeat([]byte{byte(i)}, n)
				copy(b.FreeSpace(), chunk)
				b.Advance(n)
				model = append(model, chunk...)
			} else {
				n = min(n, len(model))
				b.Discard(n)
				model = model[n:]
			}
			if !bytes.Equal(b.Bytes(), model) {
				t.Fatalf("step %d: the content differs from the model", i)
			}
			if b.Capacity() > 4*(len(model)+9000)+MaxIdleCapacity {
				t.Fatalf("capacity %d for %d bytes of content", b.Capacity(), len(model))
			}
		}
		b.Discard(len(model))
		if b.Capacity() > MaxIdleCapacity {
			t.Fatalf("capacity %d of an empty buffer", b.Capacity())
		}
	})
}

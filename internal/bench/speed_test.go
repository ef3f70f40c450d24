package bench

import "testing"

func BenchmarkFair(b *testing.B) { SpeedFair(10_000, 100_000, b.N) }

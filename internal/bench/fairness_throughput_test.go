package bench

import "testing"

func BenchmarkFairQueue(b *testing.B) { TimeFairQueue(10_000, 100_000, b.N) }

package setup

import (
	"bytes"
	"fmt"
	"testing"
)

// largePolicyBytes is the size of large policies in the scale benchmark.
const largePolicyBytes = 100_000

// BenchmarkLargePolicy parses a policy with about 3,000 tenants. Each controller does so once for
// each change.
func BenchmarkLargePolicy(b *testing.B) {
	var text bytes.Buffer
	text.WriteString("fairness:\n  teams:\n    - {name: a, weight: 2}\n    - {name: b, weight: 1}\n")
	for i := 0; text.Len() < largePolicyBytes; i++ {
		fmt.Fprintf(&text, "    - {name: team-%d, weight: %d}\n", i, i%9+1)
	}
	own, err := Parse("own.yaml", []byte(`name: c0
listen: 127.0.0.1:6560
feed: 127.0.0.1:7070
groups: [{name: lookup, target: 1s, timeout: 30s, effect: read-only}]
engines: {controllers: 3, kinds: [{name: std, cores: 8, memory_mb: 4096}], locations: [z0], location: z0}
fairness: {fields: {team: team}, trusted: [127.0.0.0/8], teams: [{name: a, weight: 1}, {name: b, weight: 1}]}
`))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, _, err := ParsePolicy("policy.yaml", text.Bytes(), own); err != nil {
			b.Fatal(err)
		}
	}
}

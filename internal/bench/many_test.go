package bench

import (
	"testing"
	"time"
)

// Few processes and a short record; railrelay-bench many has more of both.
func TestFewOfMany(t *testing.T) {
	m := Many{Program: both(t), Controllers: 5, Lease: time.Second, Rest: time.Second, Changes: 2, Entries: 10_000}
	c, err := m.Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", c)
	if c.Bytes <= 0 || c.LeaderBytes <= c.Bytes || c.Memory <= 0 || len(c.InForce) != 2 || c.SnapshotSize == 0 || c.Start > 2*time.Second {
		t.Errorf("%+v", c)
	}
}

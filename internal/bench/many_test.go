package bench

import (
	"testing"
	"time"
)

// Few processes and a short record; railrelay-bench many has more of both.
func TestFewOfMany(t *testing.T) {
	m := IdleFleet{Program: buildPrograms(t), Controllers: 5, Lease: time.Second, IdleTime: time.Second, Changes: 2, RecordEntries: 10_000}
	c, err := m.Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", c)
	if c.PeerBytesPerSecond <= 0 || c.LeaderPeerBytesPerSecond <= c.PeerBytesPerSecond || c.ResidentMB <= 0 || len(c.InForceSpread) != 2 || c.SnapshotBytes == 0 || c.LongRecordStart > 2*time.Second {
		t.Errorf("%+v", c)
	}
}

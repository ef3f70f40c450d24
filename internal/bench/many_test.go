package bench

import (
	"testing"
	"time"
)

// TestIdleFleetMeasuresAllCosts measures few processes and a short record. `railrelay-bench many`
// measures more processes and a longer record.
func TestIdleFleetMeasuresAllCosts(t *testing.T) {
	config := IdleFleet{Program: buildPrograms(t), Controllers: 5, Lease: time.Second, IdleTime: time.Second,
		Changes: 2, RecordEntries: 10_000}
	cost, err := config.Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", cost)
	if cost.PeerBytesPerSecond <= 0 || cost.LeaderPeerBytesPerSecond <= cost.PeerBytesPerSecond ||
		cost.ResidentMB <= 0 || len(cost.InForceSpread) != 2 || cost.SnapshotBytes == 0 ||
		cost.LongRecordStart > 2*time.Second {
		t.Errorf("%+v", cost)
	}
}

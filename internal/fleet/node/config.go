package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// defaultSnapshotAfterEntries is Config.SnapshotAfterEntries where that is 0.
const defaultSnapshotAfterEntries = 2000

// Config is what a controller's part in the fleet is started with.
type Config struct {
	Self        fleet.Member
	Incarnation uint64            // drawn anew at each start of the process
	Seed        uint64            // of the randomised election timeouts
	Voters      []consensus.Voter // by the set-up; used until the log names voters

	// Lease is how long a lease lasts; 0: without an end.
	Lease time.Duration
	// ConfinedLease is the same for confined tenants and kept results; 0: as Lease.
	ConfinedLease time.Duration
	// ClockDrift is by how much clocks may differ, as a part of a span: 0.01.
	ClockDrift        float64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration

	Persisted            consensus.PersistentState // read back from the disk
	SnapshotAfterEntries int                       // log entries kept before a snapshot replaces them

	// Relays are asked for the lease and bring the log, in place of the leader: the
	// first one, or the second where that doesn't answer. None: the leader is asked
	// directly.
	Relays []Upstream
	// IsRelay makes this controller a relay: it aggregates the renewals of others for
	// the leader and passes grants and the log on. It never grants a lease itself.
	IsRelay bool
}

// Upstream is a relay or leader as a controller reaches it.
type Upstream struct{ Name, Address string }

// foreverIfZero gives a lease of 0 no end.
func foreverIfZero(lease time.Duration) time.Duration {
	if lease == 0 {
		return fleet.Forever
	}
	return lease
}

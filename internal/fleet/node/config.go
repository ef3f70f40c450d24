package node

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// defaultSnapshotAfterEntries is Config.SnapshotAfterEntries where that is 0.
const defaultSnapshotAfterEntries = 2000

// Config configures a Core.
type Config struct {
	Self        fleet.Member
	Incarnation uint64            // drawn at random at each start of the process
	Seed        uint64            // of the randomized election timeouts
	Voters      []consensus.Voter // configured voters; used until the log names voters

	// Lease is the duration of a lease; 0: it has no end.
	Lease time.Duration
	// ConfinedLease is the duration of the lease for confined tenants and kept results;
	// 0: that of Lease.
	ConfinedLease time.Duration
	// ClockDrift bounds the drift of a controller's clock, as a fraction of the time that
	// passes, for example 0.01.
	ClockDrift        float64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration

	Persisted            consensus.PersistentState // read from the disk at the start
	SnapshotAfterEntries int                       // log entries kept before a snapshot replaces them

	// Relays renew the lease and send the log in place of the leader: the first one, or the
	// second while the first doesn't answer. None: the controller renews directly at the
	// leader.
	Relays []Upstream
	// IsRelay makes this controller a relay: it aggregates the renewals of other controllers
	// for the leader and forwards grants and the log. A relay doesn't grant leases itself.
	IsRelay bool
}

// Upstream is a relay or leader to which a controller sends its renewals.
type Upstream struct{ Name, Address string }

// foreverIfZero returns fleet.Forever for a lease of 0.
func foreverIfZero(lease time.Duration) time.Duration {
	if lease == 0 {
		return fleet.Forever
	}
	return lease
}

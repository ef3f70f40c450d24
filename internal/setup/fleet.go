package setup

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"railrelay.dev/railrelay/internal/fleet"
)

// Fleet makes the process a member of a fleet. The member's name is Setup.Name.
type Fleet struct {
	Role              string `yaml:"role"`    // RoleController or RoleControl; default controller
	Name              string `yaml:"name"`    // name of the fleet; messages of other fleets are rejected
	ListenAddress     string `yaml:"listen"`  // address on which the process listens for its peers
	AdvertisedAddress string `yaml:"address"` // address under which peers reach the process; default listen
	// ControlAddress receives operators' commands. Without a host, it accepts them from this
	// machine only.
	ControlAddress string `yaml:"control"`
	Directory      string `yaml:"directory"` // directory of the replicated log; not shared with other parts
	KeyFile        string `yaml:"keys"`      // file with one or two keys, the same on all members
	ClientAddress  string `yaml:"clients"`   // address that clients are redirected to; default Setup.Listen
	// Voters lists 1, 3, 5 or 7 members, the same on all members. Other members are non-voting.
	Voters []Voter `yaml:"voters"`
	// IsRelay makes a control process forward the controllers' lease renewals to the leader,
	// and grants and log entries back.
	IsRelay bool `yaml:"relay"`
	// Relays renew leases and deliver log entries in place of the leader. The second one is
	// used while the first one doesn't answer.
	Relays []Upstream `yaml:"relays"` // default none: the leader is asked directly
	// Lease is the time for which a controller keeps serving after it lost the leader. A change
	// may have to wait so long for that controller. The value is a duration or unbounded.
	Lease Lease `yaml:"lease"` // default 5s
	// ConfinedLease is the lease for queries of tenants that placement rules confine to sites.
	ConfinedLease Lease   `yaml:"lease_bound"` // default lease
	ClockDrift    float64 `yaml:"drift"`       // largest relative error between two clocks; default 0.01
	// ElectionTimeout is the time without a message of a leader after which an election starts,
	// plus a random time up to the same length; default 500ms.
	ElectionTimeout   Duration `yaml:"election"`
	HeartbeatInterval Duration `yaml:"heartbeat"` // default 100ms
	// MaxHold is the time for which queries wait for a lease or a policy switch before they are
	// deferred; default 5s.
	MaxHold Duration `yaml:"hold"`
	// SnapshotAfterEntries is the number of log entries that a snapshot replaces; default 4096.
	SnapshotAfterEntries int `yaml:"keep"`
}

// Voter is a member that votes on entries of the replicated log.
type Voter struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Upstream is the name and address of a relay.
type Upstream struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Lease is a duration or unbounded.
type Lease struct {
	Duration  Duration
	Unbounded bool
}

// UnmarshalYAML reads a duration or the word unbounded.
func (l *Lease) UnmarshalYAML(node ast.Node) error {
	if node.GetToken().Value == "unbounded" {
		*l = Lease{Unbounded: true}
		return nil
	}
	*l = Lease{}
	return l.Duration.UnmarshalYAML(node)
}

// DurationOr returns the duration of the lease, 0 if it is unbounded, and absent if it is missing.
func (l Lease) DurationOr(absent time.Duration) time.Duration {
	if l.Unbounded {
		return 0
	}
	return l.Duration.orDefault(absent)
}

const (
	defaultLease                = 5 * time.Second
	defaultElectionTimeout      = 500 * time.Millisecond
	defaultHeartbeatInterval    = 100 * time.Millisecond
	defaultMaxHold              = 5 * time.Second
	defaultClockDrift           = 0.01
	defaultSnapshotAfterEntries = 4096
	maxLease                    = 24 * time.Hour
	maxVoters                   = 7
	maxRelays                   = 2
)

// checkFleet checks the fleet part, for a process of either role.
func (c *checker) checkFleet(x *Setup) {
	f := x.Fleet
	c.checkOneOf("fleet.role", f.Role, RoleController, RoleControl)
	c.checkName("name", x.Name)
	c.checkName("fleet.name", f.Name)
	c.checkAddress("fleet.listen", f.ListenAddress)
	if f.AdvertisedAddress != "" {
		c.checkAddress("fleet.address", f.AdvertisedAddress)
	}
	c.checkAddress("fleet.control", f.ControlAddress)
	if f.ClientAddress != "" {
		c.checkAddress("fleet.clients", f.ClientAddress)
	}
	for _, path := range [][2]string{{"fleet.directory", f.Directory}, {"fleet.keys", f.KeyFile}} {
		if path[1] == "" {
			c.addError(path[0], "is missing")
		}
	}
	if x.Spool != nil && f.Directory != "" && f.Directory == x.Spool.Directory {
		c.addError("fleet.directory", "is the directory of the spool: the fleet needs a directory of its own")
	}
	c.checkVoters(x)
	c.checkRelays(x)
	c.checkTimings(f)
}

// checkVoters checks the list of voters. If this process is one of them, its advertised address must match.
func (c *checker) checkVoters(x *Setup) {
	f := x.Fleet
	switch n := len(f.Voters); {
	case n == 0 && f.IsRelay: // a relay without voters is reported by checkRelays
	case n%2 == 0 || n > maxVoters:
		c.addError("fleet.voters", "%d voters: use 3, 5 or 7, or 1 for a trial", n)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, v := range f.Voters {
		at := fmt.Sprintf("fleet.voters[%d].", i)
		c.checkName(at+"name", v.Name)
		c.checkAddress(at+"address", v.Address)
		if strings.Contains(v.Name, "=") {
			c.addError(at+"name", "%q: a voter's name may contain no =", v.Name)
		}
		if names[v.Name] {
			c.addError(at+"name", "a second voter is named %q", v.Name)
		}
		if v.Address != "" && addresses[v.Address] {
			c.addError(at+"address", "a second voter has the address %s", v.Address)
		}
		names[v.Name], addresses[v.Address] = true, true
		if v.Name == x.Name && f.AdvertisedAddress != "" && v.Address != f.AdvertisedAddress {
			c.addError(at+"address", "%s is this controller, but fleet.address is %s", v.Name, f.AdvertisedAddress)
		}
	}
}

// checkRelays checks the fields of a relay, and of a member that uses relays.
func (c *checker) checkRelays(x *Setup) {
	f := x.Fleet
	if f.IsRelay && !x.IsControlProcess() {
		c.addError("fleet.relay", "only a process with role: control can be a relay: set that role or remove relay")
	}
	if f.IsRelay && len(f.Voters) == 0 {
		c.addError("fleet.relay",
			"this relay knows no leader to forward renewals to: list the fleet's voters under fleet.voters")
	}
	if f.IsRelay && len(f.Relays) > 0 {
		c.addError("fleet.relays", "this process is a relay, and relays ask the leader directly: remove relays")
	}
	if n := len(f.Relays); n > maxRelays {
		c.addError("fleet.relays", "%d relays, but at most %d are allowed: a primary and a backup", n, maxRelays)
	}
	controllers := max(1, x.Engines.Controllers)
	if n := len(f.Relays); !x.IsControlProcess() && n > controllers {
		c.addError("fleet.relays",
			"%d relays for %d controllers (engines.controllers): remove relays, the leader can be asked directly", n,
			controllers)
	}
	for i := range f.Relays {
		c.checkRelay(x, i)
	}
}

// checkRelay checks entry i of fleet.relays.
func (c *checker) checkRelay(x *Setup, i int) {
	f := x.Fleet
	relay, at := f.Relays[i], fmt.Sprintf("fleet.relays[%d].", i)
	c.checkName(at+"name", relay.Name)
	c.checkAddress(at+"address", relay.Address)
	if relay.Name != "" && relay.Name == x.Name {
		c.addError(at+"name", "%q is the name of this process: name another relay", relay.Name)
	}
	if relay.Address != "" && (relay.Address == f.ListenAddress || relay.Address == f.AdvertisedAddress) {
		c.addError(at+"address", "%s is an address of this process: name another relay", relay.Address)
	}
	for _, other := range f.Relays[:i] {
		if relay.Name != "" && relay.Name == other.Name {
			c.addError(at+"name", "both relays are named %q: name two different relays", relay.Name)
		}
		if relay.Address != "" && relay.Address == other.Address {
			c.addError(at+"address", "both relays have the address %s: name two different relays", relay.Address)
		}
	}
	for _, voter := range f.Voters {
		if (voter.Name == relay.Name) != (voter.Address == relay.Address) {
			c.addError(at+"address", "relay %s has the address %s, but fleet.voters lists %s with the address %s",
				relay.Name, relay.Address, voter.Name, voter.Address)
		}
	}
}

// checkTimings checks the durations of leases and elections.
func (c *checker) checkTimings(f *Fleet) {
	c.optionalNumber("fleet.drift", f.ClockDrift, 0.0001, 0.2)
	c.optionalNumber("fleet.keep", float64(f.SnapshotAfterEntries), 16, 1_000_000)
	election, heartbeat := f.ElectionTimeout.orDefault(defaultElectionTimeout),
		f.HeartbeatInterval.orDefault(defaultHeartbeatInterval)
	if f.ElectionTimeout > 0 && election < 50*time.Millisecond || election > time.Minute {
		c.addError("fleet.election", "%v is not between 50ms and 1m", election)
	}
	if heartbeat > election/3 {
		c.addError("fleet.heartbeat",
			"%v is more than a third of fleet.election, %v: a lost heartbeat could start an election", heartbeat,
			election)
	}
	for _, l := range []struct {
		path string
		Lease
	}{{"fleet.lease", f.Lease}, {"fleet.lease_bound", f.ConfinedLease}} {
		span := l.DurationOr(defaultLease)
		switch {
		case span == 0:
		case span < 2*heartbeat:
			c.addError(l.path,
				"%v is shorter than two heartbeat intervals of %v: the lease would expire between renewals", span,
				heartbeat)
		case span > maxLease:
			c.addError(l.path, "%v is longer than %v: write unbounded for a lease that never expires", span, maxLease)
		}
	}
	if all, bound := f.Lease.DurationOr(defaultLease),
		f.ConfinedLease.DurationOr(f.Lease.DurationOr(defaultLease)); all > 0 && (bound == 0 || bound > all) {
		c.addError("fleet.lease_bound", "is longer than fleet.lease, %v: it may only be shorter", all)
	}
	if hold := f.MaxHold.orDefault(defaultMaxHold); hold > 5*time.Minute {
		c.addError("fleet.hold", "%v is longer than 5m", hold)
	}
}

// FleetParameters are the numeric fields of Fleet, with defaults in place of missing values.
type FleetParameters struct {
	Lease, ConfinedLease               time.Duration // 0: unbounded
	ClockDrift                         float64
	ElectionTimeout, HeartbeatInterval time.Duration
	MaxHold                            time.Duration
	SnapshotAfterEntries               int
}

// Parameters returns the numeric fields, with defaults in place of missing values.
func (f *Fleet) Parameters() FleetParameters {
	lease := f.Lease.DurationOr(defaultLease)
	return FleetParameters{Lease: lease, ConfinedLease: f.ConfinedLease.DurationOr(lease),
		ClockDrift:           cmp.Or(f.ClockDrift, defaultClockDrift),
		ElectionTimeout:      f.ElectionTimeout.orDefault(defaultElectionTimeout),
		HeartbeatInterval:    f.HeartbeatInterval.orDefault(defaultHeartbeatInterval),
		MaxHold:              f.MaxHold.orDefault(defaultMaxHold),
		SnapshotAfterEntries: cmp.Or(f.SnapshotAfterEntries, defaultSnapshotAfterEntries)}
}

// Member returns this process as a member of its fleet, without the ID of its disk. A control
// process has neither a site nor an address for clients.
func (x *Setup) Member() fleet.Member {
	f := x.Fleet
	m := fleet.Member{Name: x.Name, Site: x.Engines.Location,
		PeerAddress: cmp.Or(f.AdvertisedAddress, f.ListenAddress), ClientAddress: cmp.Or(f.ClientAddress, x.Listen),
		ControlOnly: x.IsControlProcess()}
	for _, v := range f.Voters {
		if v.Name == x.Name {
			m.PeerAddress = v.Address
		}
	}
	return m
}

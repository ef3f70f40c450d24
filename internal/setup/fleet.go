package setup

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"railrelay.dev/railrelay/internal/fleet"
)

// Fleet is what makes a process one of a fleet. Its name is the set-up's name.
type Fleet struct {
	Role              string  `yaml:"role"`      // RoleController or RoleControl: controller
	Name              string  `yaml:"name"`      // of the fleet: another's messages are refused
	ListenAddress     string  `yaml:"listen"`    // where its peers reach it
	AdvertisedAddress string  `yaml:"address"`   // what peers are told in its place, where that differs: as listen
	ControlAddress    string  `yaml:"control"`   // where operators' commands reach it; only this machine, if it names no host
	Directory         string  `yaml:"directory"` // of its own: the record is kept there
	KeyFile           string  `yaml:"keys"`      // the key file, the same on all; one or two keys
	ClientAddress     string  `yaml:"clients"`   // what clients are told who must go to this controller: as listen of the set-up
	Voters            []Voter `yaml:"voters"`    // the same on all: 1, 3, 5 or 7; the others follow
	// Relay makes a control process pass renewals of controllers on to the leader, and
	// grants and the record back.
	IsRelay bool `yaml:"relay"` // false
	// Relays are asked for leases and bring the record in place of the leader: the first
	// one, the second where that doesn't answer.
	Relays []Upstream `yaml:"relays"` // none: the leader is asked itself
	// Lease is how long a controller that is cut off serves on, and so how long a
	// change may have to wait for it: a span, or unbounded.
	Lease Lease `yaml:"lease"` // 5s
	// LeaseBound is the same for the queries of teams that placement rules bind.
	ConfinedLease        Lease    `yaml:"lease_bound"` // as lease
	ClockDrift           float64  `yaml:"drift"`       // clocks differ by at most this part of a span: 0.01
	ElectionTimeout      Duration `yaml:"election"`    // without word from a leader for one to two of these: 500ms
	HeartbeatInterval    Duration `yaml:"heartbeat"`   // 100ms
	MaxHold              Duration `yaml:"hold"`        // queries wait for a lease or a switch so long, then are deferred: 5s
	SnapshotAfterEntries int      `yaml:"keep"`        // entries kept before a snapshot replaces them: 4096
}

// Voter is a controller that votes on what the record takes.
type Voter struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Upstream is a relay as a controller reaches it.
type Upstream struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Lease is a span or unbounded.
type Lease struct {
	Duration  Duration
	Unbounded bool
}

// UnmarshalYAML reads one.
func (l *Lease) UnmarshalYAML(node ast.Node) error {
	if node.GetToken().Value == "unbounded" {
		*l = Lease{Unbounded: true}
		return nil
	}
	*l = Lease{}
	return l.Duration.UnmarshalYAML(node)
}

// For is how long it lasts, 0 for one without an end; absent is what is left out.
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
		c.addError("fleet.directory", "is the spool's: the fleet's must be its own")
	}
	c.checkVoters(x)
	c.checkRelays(x)
	c.checkTimings(f)
}

func (c *checker) checkVoters(x *Setup) {
	f := x.Fleet
	switch n := len(f.Voters); {
	case n == 0 && f.IsRelay: // told by relays
	case n%2 == 0 || n > maxVoters:
		c.addError("fleet.voters", "%d voters, and there must be 3, 5 or 7, or 1 for a trial", n)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, v := range f.Voters {
		at := fmt.Sprintf("fleet.voters[%d].", i)
		c.checkName(at+"name", v.Name)
		c.checkAddress(at+"address", v.Address)
		if strings.Contains(v.Name, "=") {
			c.addError(at+"name", "%q: a voter's name has no =", v.Name)
		}
		if names[v.Name] {
			c.addError(at+"name", "a second voter is called %q", v.Name)
		}
		if v.Address != "" && addresses[v.Address] {
			c.addError(at+"address", "a second voter is at %s", v.Address)
		}
		names[v.Name], addresses[v.Address] = true, true
		if v.Name == x.Name && f.AdvertisedAddress != "" && v.Address != f.AdvertisedAddress {
			c.addError(at+"address", "%s is this controller, and fleet.address is %s", v.Name, f.AdvertisedAddress)
		}
	}
}

// relays checks what a relay and those who name relays need.
func (c *checker) checkRelays(x *Setup) {
	f := x.Fleet
	if f.IsRelay && !x.IsControlProcess() {
		c.addError("fleet.relay", "only a process with role: control is a relay: set that role, or take this out")
	}
	if f.IsRelay && len(f.Voters) == 0 {
		c.addError("fleet.relay", "this relay has nobody to pass renewals on to: name the fleet's voters under fleet.voters")
	}
	if f.IsRelay && len(f.Relays) > 0 {
		c.addError("fleet.relays", "this process is a relay, and relays ask the leader itself: take the relays out")
	}
	if n := len(f.Relays); n > maxRelays {
		c.addError("fleet.relays", "%d relays, and there are %d at most: one that is asked, one in its place where it doesn't answer", n, maxRelays)
	}
	controllers := max(1, x.Engines.Controllers)
	if n := len(f.Relays); !x.IsControlProcess() && n > controllers {
		c.addError("fleet.relays", "%d relays for %d controllers (engines.controllers): take relays out, the leader can be asked itself", n, controllers)
	}
	for i := range f.Relays {
		c.checkRelay(x, i)
	}
}

// upstream checks one relay that is named.
func (c *checker) checkRelay(x *Setup, i int) {
	f := x.Fleet
	relay, at := f.Relays[i], fmt.Sprintf("fleet.relays[%d].", i)
	c.checkName(at+"name", relay.Name)
	c.checkAddress(at+"address", relay.Address)
	if relay.Name != "" && relay.Name == x.Name {
		c.addError(at+"name", "%q is this process itself: name another", relay.Name)
	}
	if relay.Address != "" && (relay.Address == f.ListenAddress || relay.Address == f.AdvertisedAddress) {
		c.addError(at+"address", "%s is where this process itself is reached: name another", relay.Address)
	}
	for _, other := range f.Relays[:i] {
		if relay.Name != "" && relay.Name == other.Name {
			c.addError(at+"name", "both relays are called %q: name two", relay.Name)
		}
		if relay.Address != "" && relay.Address == other.Address {
			c.addError(at+"address", "both relays are at %s: name two", relay.Address)
		}
	}
	for _, voter := range f.Voters {
		if (voter.Name == relay.Name) != (voter.Address == relay.Address) {
			c.addError(at+"address", "relay %s is at %s, and fleet.voters has %s at %s: one of the two is wrong", relay.Name, relay.Address, voter.Name, voter.Address)
		}
	}
}

// spans checks the figures of leases and elections.
func (c *checker) checkTimings(f *Fleet) {
	c.optionalNumber("fleet.drift", f.ClockDrift, 0.0001, 0.2)
	c.optionalNumber("fleet.keep", float64(f.SnapshotAfterEntries), 16, 1_000_000)
	election, heartbeat := f.ElectionTimeout.orDefault(defaultElectionTimeout), f.HeartbeatInterval.orDefault(defaultHeartbeatInterval)
	if f.ElectionTimeout > 0 && election < 50*time.Millisecond || election > time.Minute {
		c.addError("fleet.election", "%v is not between 50ms and 1m", election)
	}
	if heartbeat > election/3 {
		c.addError("fleet.heartbeat", "%v is over a third of the election's %v: one lost would call for another", heartbeat, election)
	}
	for _, l := range []struct {
		path string
		Lease
	}{{"fleet.lease", f.Lease}, {"fleet.lease_bound", f.ConfinedLease}} {
		span := l.DurationOr(defaultLease)
		switch {
		case span == 0:
		case span < 2*heartbeat:
			c.addError(l.path, "%v is under two heartbeats of %v: it would run out between them", span, heartbeat)
		case span > maxLease:
			c.addError(l.path, "%v is over %v: say unbounded if that is meant", span, maxLease)
		}
	}
	if all, bound := f.Lease.DurationOr(defaultLease), f.ConfinedLease.DurationOr(f.Lease.DurationOr(defaultLease)); all > 0 && (bound == 0 || bound > all) {
		c.addError("fleet.lease_bound", "is longer than the lease of %v: bound teams' may only be shorter", all)
	}
	if hold := f.MaxHold.orDefault(defaultMaxHold); hold > 5*time.Minute {
		c.addError("fleet.hold", "%v is over 5m", hold)
	}
}

// Terms are the fleet part's figures with the defaults filled in.
type FleetParameters struct {
	Lease, ConfinedLease               time.Duration // 0: without an end
	ClockDrift                         float64
	ElectionTimeout, HeartbeatInterval time.Duration
	MaxHold                            time.Duration
	SnapshotAfterEntries               int
}

// Terms fills in what is left out.
func (f *Fleet) Parameters() FleetParameters {
	lease := f.Lease.DurationOr(defaultLease)
	return FleetParameters{Lease: lease, ConfinedLease: f.ConfinedLease.DurationOr(lease), ClockDrift: cmp.Or(f.ClockDrift, defaultClockDrift), ElectionTimeout: f.ElectionTimeout.orDefault(defaultElectionTimeout),
		HeartbeatInterval: f.HeartbeatInterval.orDefault(defaultHeartbeatInterval), MaxHold: f.MaxHold.orDefault(defaultMaxHold), SnapshotAfterEntries: cmp.Or(f.SnapshotAfterEntries, defaultSnapshotAfterEntries)}
}

// Member is how this process is known in its fleet; the disk's name is not here. One of the
// control role has no site and no clients.
func (x *Setup) Member() fleet.Member {
	f := x.Fleet
	m := fleet.Member{Name: x.Name, Site: x.Engines.Location, PeerAddress: cmp.Or(f.AdvertisedAddress, f.ListenAddress), ClientAddress: cmp.Or(f.ClientAddress, x.Listen), ControlOnly: x.IsControlProcess()}
	for _, v := range f.Voters {
		if v.Name == x.Name {
			m.PeerAddress = v.Address
		}
	}
	return m
}

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
	Role      string  `yaml:"role"`      // RoleController or RoleControl: controller
	Name      string  `yaml:"name"`      // of the fleet: another's messages are refused
	Listen    string  `yaml:"listen"`    // where its peers reach it
	Address   string  `yaml:"address"`   // what peers are told in its place, where that differs: as listen
	Control   string  `yaml:"control"`   // where operators' commands reach it; only this machine, if it names no host
	Directory string  `yaml:"directory"` // of its own: the record is kept there
	Keys      string  `yaml:"keys"`      // the key file, the same on all; one or two keys
	Clients   string  `yaml:"clients"`   // what clients are told who must go to this controller: as listen of the set-up
	Voters    []Voter `yaml:"voters"`    // the same on all: 1, 3, 5 or 7; the others follow
	// Relay makes a control process pass renewals of controllers on to the leader, and
	// grants and the record back.
	Relay bool `yaml:"relay"` // false
	// Relays are asked for leases and bring the record in place of the leader: the first
	// one, the second where that doesn't answer.
	Relays []Upstream `yaml:"relays"` // none: the leader is asked itself
	// Lease is how long a controller that is cut off serves on, and so how long a
	// change may have to wait for it: a span, or unbounded.
	Lease Lease `yaml:"lease"` // 5s
	// LeaseBound is the same for the queries of teams that placement rules bind.
	LeaseBound Lease   `yaml:"lease_bound"` // as lease
	Drift      float64 `yaml:"drift"`       // clocks differ by at most this part of a span: 0.01
	Election   Span    `yaml:"election"`    // without word from a leader for one to two of these: 500ms
	Heartbeat  Span    `yaml:"heartbeat"`   // 100ms
	Hold       Span    `yaml:"hold"`        // queries wait for a lease or a switch so long, then are deferred: 5s
	Keep       int     `yaml:"keep"`        // entries kept before a snapshot replaces them: 4096
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
	Span      Span
	Unbounded bool
}

// UnmarshalYAML reads one.
func (l *Lease) UnmarshalYAML(node ast.Node) error {
	if node.GetToken().Value == "unbounded" {
		*l = Lease{Unbounded: true}
		return nil
	}
	*l = Lease{}
	return l.Span.UnmarshalYAML(node)
}

// For is how long it lasts, 0 for one without an end; absent is what is left out.
func (l Lease) For(absent time.Duration) time.Duration {
	if l.Unbounded {
		return 0
	}
	return l.Span.or(absent)
}

const (
	usualLease     = 5 * time.Second
	usualElection  = 500 * time.Millisecond
	usualHeartbeat = 100 * time.Millisecond
	usualHold      = 5 * time.Second
	usualDrift     = 0.01
	usualKeep      = 4096
	leaseMost      = 24 * time.Hour
	votersMost     = 7
	relaysMost     = 2
)

func (c *checker) fleet(x *Setup) {
	f := x.Fleet
	c.oneOf("fleet.role", f.Role, RoleController, RoleControl)
	c.name("name", x.Name)
	c.name("fleet.name", f.Name)
	c.address("fleet.listen", f.Listen)
	if f.Address != "" {
		c.address("fleet.address", f.Address)
	}
	c.address("fleet.control", f.Control)
	if f.Clients != "" {
		c.address("fleet.clients", f.Clients)
	}
	for _, path := range [][2]string{{"fleet.directory", f.Directory}, {"fleet.keys", f.Keys}} {
		if path[1] == "" {
			c.wrong(path[0], "is missing")
		}
	}
	if x.Spool != nil && f.Directory != "" && f.Directory == x.Spool.Directory {
		c.wrong("fleet.directory", "is the spool's: the fleet's must be its own")
	}
	c.voters(x)
	c.relays(x)
	c.spans(f)
}

func (c *checker) voters(x *Setup) {
	f := x.Fleet
	switch n := len(f.Voters); {
	case n == 0 && f.Relay: // told by relays
	case n%2 == 0 || n > votersMost:
		c.wrong("fleet.voters", "%d voters, and there must be 3, 5 or 7, or 1 for a trial", n)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, v := range f.Voters {
		at := fmt.Sprintf("fleet.voters[%d].", i)
		c.name(at+"name", v.Name)
		c.address(at+"address", v.Address)
		if strings.Contains(v.Name, "=") {
			c.wrong(at+"name", "%q: a voter's name has no =", v.Name)
		}
		if names[v.Name] {
			c.wrong(at+"name", "a second voter is called %q", v.Name)
		}
		if v.Address != "" && addresses[v.Address] {
			c.wrong(at+"address", "a second voter is at %s", v.Address)
		}
		names[v.Name], addresses[v.Address] = true, true
		if v.Name == x.Name && f.Address != "" && v.Address != f.Address {
			c.wrong(at+"address", "%s is this controller, and fleet.address is %s", v.Name, f.Address)
		}
	}
}

// relays checks what a relay and those who name relays need.
func (c *checker) relays(x *Setup) {
	f := x.Fleet
	if f.Relay && !x.Control() {
		c.wrong("fleet.relay", "only a process with role: control is a relay: set that role, or take this out")
	}
	if f.Relay && len(f.Voters) == 0 {
		c.wrong("fleet.relay", "this relay has nobody to pass renewals on to: name the fleet's voters under fleet.voters")
	}
	if f.Relay && len(f.Relays) > 0 {
		c.wrong("fleet.relays", "this process is a relay, and relays ask the leader itself: take the relays out")
	}
	if n := len(f.Relays); n > relaysMost {
		c.wrong("fleet.relays", "%d relays, and there are %d at most: one that is asked, one in its place where it doesn't answer", n, relaysMost)
	}
	controllers := max(1, x.Engines.Controllers)
	if n := len(f.Relays); !x.Control() && n > controllers {
		c.wrong("fleet.relays", "%d relays for %d controllers (engines.controllers): take relays out, the leader can be asked itself", n, controllers)
	}
	for i := range f.Relays {
		c.upstream(x, i)
	}
}

// upstream checks one relay that is named.
func (c *checker) upstream(x *Setup, i int) {
	f := x.Fleet
	relay, at := f.Relays[i], fmt.Sprintf("fleet.relays[%d].", i)
	c.name(at+"name", relay.Name)
	c.address(at+"address", relay.Address)
	if relay.Name != "" && relay.Name == x.Name {
		c.wrong(at+"name", "%q is this process itself: name another", relay.Name)
	}
	if relay.Address != "" && (relay.Address == f.Listen || relay.Address == f.Address) {
		c.wrong(at+"address", "%s is where this process itself is reached: name another", relay.Address)
	}
	for _, other := range f.Relays[:i] {
		if relay.Name != "" && relay.Name == other.Name {
			c.wrong(at+"name", "both relays are called %q: name two", relay.Name)
		}
		if relay.Address != "" && relay.Address == other.Address {
			c.wrong(at+"address", "both relays are at %s: name two", relay.Address)
		}
	}
	for _, voter := range f.Voters {
		if (voter.Name == relay.Name) != (voter.Address == relay.Address) {
			c.wrong(at+"address", "relay %s is at %s, and fleet.voters has %s at %s: one of the two is wrong", relay.Name, relay.Address, voter.Name, voter.Address)
		}
	}
}

// spans checks the figures of leases and elections.
func (c *checker) spans(f *Fleet) {
	c.maybe("fleet.drift", f.Drift, 0.0001, 0.2)
	c.maybe("fleet.keep", float64(f.Keep), 16, 1_000_000)
	election, heartbeat := f.Election.or(usualElection), f.Heartbeat.or(usualHeartbeat)
	if f.Election > 0 && election < 50*time.Millisecond || election > time.Minute {
		c.wrong("fleet.election", "%v is not between 50ms and 1m", election)
	}
	if heartbeat > election/3 {
		c.wrong("fleet.heartbeat", "%v is over a third of the election's %v: one lost would call for another", heartbeat, election)
	}
	for _, l := range []struct {
		path string
		Lease
	}{{"fleet.lease", f.Lease}, {"fleet.lease_bound", f.LeaseBound}} {
		span := l.For(usualLease)
		switch {
		case span == 0:
		case span < 2*heartbeat:
			c.wrong(l.path, "%v is under two heartbeats of %v: it would run out between them", span, heartbeat)
		case span > leaseMost:
			c.wrong(l.path, "%v is over %v: say unbounded if that is meant", span, leaseMost)
		}
	}
	if all, bound := f.Lease.For(usualLease), f.LeaseBound.For(f.Lease.For(usualLease)); all > 0 && (bound == 0 || bound > all) {
		c.wrong("fleet.lease_bound", "is longer than the lease of %v: bound teams' may only be shorter", all)
	}
	if hold := f.Hold.or(usualHold); hold > 5*time.Minute {
		c.wrong("fleet.hold", "%v is over 5m", hold)
	}
}

// Terms are the fleet part's figures with the defaults filled in.
type Terms struct {
	Lease, LeaseBound   time.Duration // 0: without an end
	Drift               float64
	Election, Heartbeat time.Duration
	Hold                time.Duration
	Keep                int
}

// Terms fills in what is left out.
func (f *Fleet) Terms() Terms {
	lease := f.Lease.For(usualLease)
	return Terms{Lease: lease, LeaseBound: f.LeaseBound.For(lease), Drift: cmp.Or(f.Drift, usualDrift), Election: f.Election.or(usualElection),
		Heartbeat: f.Heartbeat.or(usualHeartbeat), Hold: f.Hold.or(usualHold), Keep: cmp.Or(f.Keep, usualKeep)}
}

// Member is how this process is known in its fleet; the disk's name is not here. One of the
// control role has no site and no clients.
func (x *Setup) Member() fleet.Member {
	f := x.Fleet
	m := fleet.Member{Name: x.Name, Site: x.Engines.Location, PeerAddress: cmp.Or(f.Address, f.Listen), ClientAddress: cmp.Or(f.Clients, x.Listen), ControlOnly: x.Control()}
	for _, v := range f.Voters {
		if v.Name == x.Name {
			m.PeerAddress = v.Address
		}
	}
	return m
}

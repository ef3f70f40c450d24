package setup

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"railrelay.dev/railrelay/internal/fleet"
)

// Fleet is what makes a controller one of a fleet. Its name is the set-up's name.
type Fleet struct {
	Name      string  `yaml:"name"`      // of the fleet: another's messages are refused
	Listen    string  `yaml:"listen"`    // where its peers reach it
	Address   string  `yaml:"address"`   // what peers are told in its place, where that differs: as listen
	Control   string  `yaml:"control"`   // where operators' commands reach it; only this machine, if it names no host
	Directory string  `yaml:"directory"` // of its own: the record is kept there
	Keys      string  `yaml:"keys"`      // the key file, the same on all; one or two keys
	Clients   string  `yaml:"clients"`   // what clients are told who must go to this controller: as listen of the set-up
	Voters    []Voter `yaml:"voters"`    // the same on all: 1, 3, 5 or 7; the others follow
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
)

func (c *checker) fleet(x *Setup) {
	f := x.Fleet
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
	if n := len(f.Voters); n%2 == 0 || n > votersMost {
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

// Member is how this controller is known in its fleet; the disk's name is not here.
func (x *Setup) Member() fleet.Member {
	f := x.Fleet
	m := fleet.Member{Name: x.Name, Site: x.Engines.Location, Peer: cmp.Or(f.Address, f.Listen), Clients: cmp.Or(f.Clients, x.Listen)}
	for _, v := range f.Voters {
		if v.Name == x.Name {
			m.Peer = v.Address
		}
	}
	return m
}

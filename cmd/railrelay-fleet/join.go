package main

import (
	"context"
	"errors"

	"github.com/rs/zerolog"

	"railrelay.dev/railrelay/internal/cli"
	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/eventloop"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/driver"
	"railrelay.dev/railrelay/internal/fleet/node"
	"railrelay.dev/railrelay/internal/residency"
	"railrelay.dev/railrelay/internal/setup"
)

// begin is what the set-up's fleet part says of this process, for the fleet's core.
func begin(have *setup.Setup) node.Config {
	part, terms := have.Fleet, have.Fleet.Parameters()
	b := node.Config{Self: have.Member(), Lease: terms.Lease, ConfinedLease: terms.ConfinedLease, ClockDrift: terms.ClockDrift,
		ElectionTimeout: terms.ElectionTimeout, HeartbeatInterval: terms.HeartbeatInterval, SnapshotAfterEntries: terms.SnapshotAfterEntries, IsRelay: part.IsRelay}
	for _, voter := range part.Voters {
		b.Voters = append(b.Voters, consensus.Voter{Name: voter.Name, Address: voter.Address})
	}
	for _, relay := range part.Relays {
		b.Relays = append(b.Relays, node.Upstream{Name: relay.Name, Address: relay.Address})
	}
	return b
}

// join opens the set-up's part in its fleet.
func join(have *setup.Setup, means *controller.Config, log zerolog.Logger) (cli.FleetMembership, error) {
	f := have.Fleet
	judge := check
	if have.IsControlProcess() {
		judge = checkControl
	}
	e, err := driver.Open(driver.Options{Node: begin(have), Fleet: f.Name, PeerAddress: f.ListenAddress, ControlAddress: f.ControlAddress, Directory: f.Directory, KeyFile: f.KeyFile,
		StartTime: means.StartedAt, Log: log, CheckPolicy: func(change string, text []byte, now driver.PolicyContext) driver.PolicyVerdict {
			return judge(have, change, text, now)
		}})
	if err != nil {
		return cli.FleetMembership{}, remedied(err)
	}
	means.Fleet = &controller.FleetConfig{ServingState: &fleet.ServingState{}, MaxHold: f.Parameters().MaxHold}
	status := func(ctx context.Context) *fleet.Status { return e.Request(ctx, &fleet.Request{Kind: "status"}).Status }
	return cli.FleetMembership{Channels: eventloop.FleetChannels{Orders: e.Orders(), Reports: e.Reports()}, Serve: e.Serve, ReloadKeys: e.ReloadKeys, Status: status}, nil
}

// check makes of a policy's text what the reducer decides by, and tells what of it is
// narrower than what is in force.
func check(own *setup.Setup, change string, text []byte, have driver.PolicyContext) driver.PolicyVerdict {
	policy, watched, voters, err := setup.ParsePolicy("policy "+change, text, own)
	if err != nil {
		return refused(err)
	}
	c := driver.PolicyVerdict{Policy: policy, WatchedRules: watched, Voters: voters}
	before, _ := have.Policy.(*controller.Policy)
	if before == nil {
		before, _ = own.BasePolicy()
	}
	was, _ := before.Rules.([]residency.Rule)
	next, _ := policy.Rules.([]residency.Rule)
	for _, t := range residency.FindTightenings(was, next, have.Bindings) {
		if t.PurgeScope != nil {
			c.PurgeScopes = append(c.PurgeScopes, *t.PurgeScope)
		}
	}
	return c
}

// checkControl makes of a policy's text what a control process leads by, and tells what
// has to be purged for it. Such a process knows no teams, groups or engines: it checks the
// form only, and each controller the rest.
func checkControl(own *setup.Setup, change string, text []byte, have driver.PolicyContext) driver.PolicyVerdict {
	file := "policy " + change
	policy, err := setup.ParseControlPolicy(file, text, own)
	if err != nil {
		return refused(err)
	}
	c := driver.PolicyVerdict{Policy: policy, WatchedRules: policy.WatchedRules, Voters: policy.Voters, ResidencyRulesUnknown: !policy.RulesKnown}
	if have.Committed { // what it purges was worked out before it was decided
		return c
	}
	before, known := have.Policy.(*setup.ControlPolicy)
	if !known {
		before = own.BaseControlPolicy()
	}
	if c.PurgeScopes, err = policy.PurgeScopes(file, before, have.Bindings); err != nil {
		return refused(err)
	}
	return c
}

// refused is the word on a policy that can't be taken.
func refused(err error) driver.PolicyVerdict {
	why := err.Error()
	var r fleet.ErrorWithRemedy
	if errors.As(err, &r) {
		why += "; " + r.Remedy()
	}
	return driver.PolicyVerdict{Reason: why}
}

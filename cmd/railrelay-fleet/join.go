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

// nodeConfig converts a set-up into the configuration of the fleet's node.
func nodeConfig(have *setup.Setup) node.Config {
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

// join opens this process's node and returns it for the controller to use.
func join(have *setup.Setup, means *controller.Config, log zerolog.Logger) (cli.Joined, error) {
	f := have.Fleet
	judge := checkPolicy
	if have.IsControlProcess() {
		judge = checkControlPolicy
	}
	e, err := driver.Open(driver.Options{Node: nodeConfig(have), Fleet: f.Name, PeerAddress: f.ListenAddress, ControlAddress: f.ControlAddress, Directory: f.Directory, KeyFile: f.KeyFile,
		StartTime: means.StartedAt, Log: log, CheckPolicy: func(change string, text []byte, now driver.PolicyContext) driver.PolicyVerdict {
			return judge(have, change, text, now)
		}})
	if err != nil {
		return cli.Joined{}, withRemedy(err)
	}
	means.Fleet = &controller.FleetConfig{ServingState: &fleet.ServingState{}, MaxHold: f.Parameters().MaxHold}
	status := func(ctx context.Context) *fleet.Status { return e.Request(ctx, &fleet.Request{Kind: "status"}).Status }
	return cli.Joined{Peers: eventloop.FleetChannels{Orders: e.Orders(), Reports: e.Reports()}, Serve: e.Serve, Again: e.ReloadKeys, Status: status}, nil
}

// checkPolicy parses a policy for a controller and determines the purges for placement rules that
// are tighter than those in force.
func checkPolicy(own *setup.Setup, change string, text []byte, have driver.PolicyContext) driver.PolicyVerdict {
	policy, watched, voters, err := setup.ParsePolicy("policy "+change, text, own)
	if err != nil {
		return rejectPolicy(err)
	}
	c := driver.PolicyVerdict{Policy: policy, WatchedRules: watched, Voters: voters}
	before, _ := have.Policy.(*controller.Policy)
	if before == nil {
		before, _ = own.BasePolicy()
	}
	was, _ := before.Rules.([]residency.Rule)
	next, _ := policy.Rules.([]residency.Rule)
	for _, t := range residency.Tightened(was, next, have.Bindings) {
		if t.Purge != nil {
			c.PurgeScopes = append(c.PurgeScopes, *t.Purge)
		}
	}
	return c
}

// checkControlPolicy parses a policy for a control process and determines the purges that it
// requires. A control process knows no teams, groups or engines. It checks everything else, and
// each controller checks those names.
func checkControlPolicy(own *setup.Setup, change string, text []byte, have driver.PolicyContext) driver.PolicyVerdict {
	file := "policy " + change
	policy, err := setup.ParseControlPolicy(file, text, own)
	if err != nil {
		return rejectPolicy(err)
	}
	c := driver.PolicyVerdict{Policy: policy, WatchedRules: policy.WatchedRules, Voters: policy.Voters, ResidencyRulesUnknown: !policy.RulesKnown}
	if have.Committed { // the purges were determined before the policy was committed
		return c
	}
	before, known := have.Policy.(*setup.ControlPolicy)
	if !known {
		before = own.BaseControlPolicy()
	}
	if c.PurgeScopes, err = policy.PurgeScopes(file, before, have.Bindings); err != nil {
		return rejectPolicy(err)
	}
	return c
}

// rejectPolicy returns the verdict on a policy that can't be applied.
func rejectPolicy(err error) driver.PolicyVerdict {
	why := err.Error()
	var r fleet.ErrorWithRemedy
	if errors.As(err, &r) {
		why += "; " + r.Remedy()
	}
	return driver.PolicyVerdict{Reason: why}
}

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
func nodeConfig(own *setup.Setup) node.Config {
	fleetPart, parameters := own.Fleet, own.Fleet.Parameters()
	config := node.Config{Self: own.Member(), Lease: parameters.Lease, ConfinedLease: parameters.ConfinedLease,
		ClockDrift:      parameters.ClockDrift,
		ElectionTimeout: parameters.ElectionTimeout, HeartbeatInterval: parameters.HeartbeatInterval,
		SnapshotAfterEntries: parameters.SnapshotAfterEntries, IsRelay: fleetPart.IsRelay}
	for _, voter := range fleetPart.Voters {
		config.Voters = append(config.Voters, consensus.Voter{Name: voter.Name, Address: voter.Address})
	}
	for _, relay := range fleetPart.Relays {
		config.Relays = append(config.Relays, node.Upstream{Name: relay.Name, Address: relay.Address})
	}
	return config
}

// join opens this process's node and returns it for the controller to use.
func join(own *setup.Setup, config *controller.Config, log zerolog.Logger) (cli.FleetMembership, error) {
	f := own.Fleet
	check := checkPolicy
	if own.IsControlProcess() {
		check = checkControlPolicy
	}
	member, err := driver.Open(driver.Options{Node: nodeConfig(own), Fleet: f.Name, PeerAddress: f.ListenAddress,
		ControlAddress: f.ControlAddress, Directory: f.Directory, KeyFile: f.KeyFile,
		StartTime: config.StartedAt, Log: log,
		CheckPolicy: func(validationKey string, text []byte, now driver.PolicyContext) driver.PolicyVerdict {
			return check(own, validationKey, text, now)
		}})
	if err != nil {
		return cli.FleetMembership{}, withRemedy(err)
	}
	config.Fleet = &controller.FleetConfig{ServingState: &fleet.ServingState{}, MaxHold: f.Parameters().MaxHold}
	status := func(ctx context.Context) *fleet.Status {
		return member.Request(ctx, &fleet.Request{Kind: "status"}).Status
	}
	return cli.FleetMembership{
		Channels: eventloop.FleetChannels{Orders: member.Orders(), Reports: member.Reports()},
		Serve:    member.Serve, ReloadKeys: member.ReloadKeys, Status: status}, nil
}

// checkPolicy parses a policy for a controller and determines the purges for placement rules that
// are tighter than those in force.
func checkPolicy(own *setup.Setup, validationKey string, text []byte,
	inForce driver.PolicyContext) driver.PolicyVerdict {
	policy, watched, voters, err := setup.ParsePolicy("policy "+validationKey, text, own)
	if err != nil {
		return rejectPolicy(err)
	}
	verdict := driver.PolicyVerdict{Policy: policy, WatchedRules: watched, Voters: voters}
	before, _ := inForce.Policy.(*controller.Policy)
	if before == nil {
		before, _ = own.BasePolicy()
	}
	oldRules, _ := before.Rules.([]residency.Rule)
	newRules, _ := policy.Rules.([]residency.Rule)
	for _, tightened := range residency.FindTightenings(oldRules, newRules, inForce.Bindings) {
		if tightened.PurgeScope != nil {
			verdict.PurgeScopes = append(verdict.PurgeScopes, *tightened.PurgeScope)
		}
	}
	return verdict
}

// checkControlPolicy parses a policy for a control process and determines the purges that it
// requires. A control process knows no tenants, groups or engines. It checks everything else, and
// each controller checks those names.
func checkControlPolicy(own *setup.Setup, validationKey string, text []byte,
	inForce driver.PolicyContext) driver.PolicyVerdict {
	file := "policy " + validationKey
	policy, err := setup.ParseControlPolicy(file, text, own)
	if err != nil {
		return rejectPolicy(err)
	}
	verdict := driver.PolicyVerdict{Policy: policy, WatchedRules: policy.WatchedRules, Voters: policy.Voters,
		ResidencyRulesUnknown: !policy.RulesKnown}
	if inForce.Committed { // the purges were determined before the policy was committed
		return verdict
	}
	before, known := inForce.Policy.(*setup.ControlPolicy)
	if !known {
		before = own.BaseControlPolicy()
	}
	if verdict.PurgeScopes, err = policy.PurgeScopes(file, before, inForce.Bindings); err != nil {
		return rejectPolicy(err)
	}
	return verdict
}

// rejectPolicy returns the verdict on a policy that can't be applied.
func rejectPolicy(err error) driver.PolicyVerdict {
	reason := err.Error()
	var r fleet.ErrorWithRemedy
	if errors.As(err, &r) {
		reason += "; " + r.Remedy()
	}
	return driver.PolicyVerdict{Reason: reason}
}

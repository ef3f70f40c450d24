package controller

import (
	"maps"
	"slices"
	"strings"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/fleet"
)

// Policy is the part of the set-up that the whole fleet shares, as an Open order brings it.
type Policy struct {
	Version uint64
	// Tenants are the tenants; nil leaves them as they are.
	Tenants *fairqueue.Config
	// Settings are the groups' limits and the customers' shares, as the scheduler's settings
	// name them. Other settings in it are ignored; nil leaves all as they are.
	Settings map[string]string
	// Rules are the data residency rules: a []residency.Rule.
	Rules any
}

// openPolicy applies a committed version before anything is decided by it. After an aborted
// change the version that was in use before is opened again.
func (l *servingLease) openPolicy(order *fleet.Order) {
	l.fencingChange = ""
	if order.Version != l.policyVersion {
		if l.policyVersion != 0 {
			l.policySwitches++
		}
		l.policyVersion = order.Version
		if p, ok := order.Policy.(*Policy); ok && p != nil {
			l.applyPolicy(p)
		}
	}
	l.ServingState.SetVersion(order.Version)
	l.report(fleet.Report{Kind: fleet.PolicyActivated, Version: order.Version,
		AttemptsOutside: l.residency.countOutside()})
	l.updateServing()
}

func (l *servingLease) applyPolicy(p *Policy) {
	if p.Settings != nil {
		l.applyFleetSettings(p.Settings)
	}
	switch {
	case l.fairQueue == nil:
	case p.Tenants != nil:
		l.fairQueue.reload(p.Tenants)
	case p.Settings != nil:
		l.fairQueue.reload(l.fairQueue.tenants) // its lanes are the groups, whose limits may have changed
	}
	l.residency.policyOpened(p)
}

// fleetGroupSettings are the settings of a resource group that the fleet may change while
// it runs: those named "group.N." and one of these.
var fleetGroupSettings = []string{"value", "target", "timeout", "stretch", "late-share"}

// isFleetSetting reports whether the fleet may change a setting while it runs.
func isFleetSetting(name string) bool {
	if group, isGroup := strings.CutPrefix(name, "group."); isGroup {
		_, setting, _ := strings.Cut(group, ".")
		return slices.Contains(fleetGroupSettings, setting)
	}
	return strings.HasPrefix(name, "team.") || name == "threads" || name == "teams" || name == "over.worth"
}

// applyFleetSettings replaces the limits of groups and the shares of customers; all other
// settings stay as the program started with them.
func (c *Controller) applyFleetSettings(facts map[string]string) {
	next := maps.Clone(c.Settings)
	maps.DeleteFunc(next, func(name, _ string) bool { return isFleetSetting(name) })
	for name, value := range facts {
		if isFleetSetting(name) {
			next[name] = value
		}
	}
	c.Settings = next
	for _, g := range c.groups {
		g.readSettings(c)
		c.longestQueryTimeout = max(c.longestQueryTimeout, g.timeout)
	}
	c.readCustomers()
	c.scheduler.UpdateSettings(c.now, next)
}

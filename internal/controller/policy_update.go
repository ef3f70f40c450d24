package controller

import (
	"maps"
	"slices"
	"strings"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/fleet"
)

// Policy is the part of the configuration that the whole fleet shares. An ActivatePolicy order carries it.
// In the names of settings, "team" and "teams" mean customers, which have quotas, and not the tenants of fair
// queueing.
type Policy struct {
	Version uint64
	// Tenants configures the tenants of fair queueing; nil keeps the current configuration.
	Tenants *fairqueue.Config
	// Settings are the limits of groups and the shares of customers, by the names of the scheduler's
	// settings. Other settings are ignored; nil keeps the current settings.
	Settings map[string]string
	// Rules are the data residency rules, of type []residency.Rule.
	Rules any
}

// openPolicy applies a committed version, reports it as activated, and resumes serving by it. After an
// aborted change the fleet opens the previous version again; its settings then apply already.
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
		l.fairQueue.reload(l.fairQueue.tenants) // the groups' limits are part of its lanes
	}
	l.residency.policyOpened(p)
}

// fleetGroupSettings are the settings of a resource group, without their prefix "group.N.", that the
// fleet may change while the controller runs.
var fleetGroupSettings = []string{"value", "target", "timeout", "stretch", "late-share"}

// isFleetSetting reports whether the fleet may change a setting while the controller runs.
func isFleetSetting(name string) bool {
	if group, isGroup := strings.CutPrefix(name, "group."); isGroup {
		_, setting, _ := strings.Cut(group, ".")
		return slices.Contains(fleetGroupSettings, setting)
	}
	return strings.HasPrefix(name, "team.") || name == "threads" || name == "teams" || name == "over.worth"
}

// applyFleetSettings replaces the limits of groups and the shares of customers. All other settings keep
// the values that the program started with.
func (c *Controller) applyFleetSettings(settings map[string]string) {
	next := maps.Clone(c.Settings)
	maps.DeleteFunc(next, func(name, _ string) bool { return isFleetSetting(name) })
	for name, value := range settings {
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

package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

const (
	// The report of a controller on the sites with engines is ignored once its last renewal is
	// older than siteReportMaxAge and than siteReportMaxIntervals renewal intervals.
	siteReportMaxAge       = 2 * time.Second
	siteReportMaxIntervals = 4
)

// driveEmergency begins an emergency once no controller has seen a serving engine in any of the
// rule's sites for the rule's After, and ends it once one was seen for as long.
func (c *Core) driveEmergency(rule fleet.EmergencyRule) {
	reports, serving := c.siteReports(rule.Sites)
	if reports == 0 {
		delete(c.lostSince, rule.Name)
		delete(c.foundSince, rule.Name)
		return
	}
	since, opposite := c.lostSince, c.foundSince
	if serving {
		since, opposite = c.foundSince, c.lostSince
	}
	delete(opposite, rule.Name)
	if _, recorded := since[rule.Name]; !recorded {
		since[rule.Name] = c.now
	}
	_, inEmergency := c.state.Emergencies[rule.Name]
	if inEmergency != serving || c.now-since[rule.Name] < rule.After {
		return
	}
	if serving {
		scope := &fleet.Scope{Tenant: rule.Tenant, OutsideSites: rule.Sites}
		c.proposeOnce("calm "+rule.Name, &fleet.Entry{Kind: fleet.EntryEndEmergency, Name: rule.Name, Scope: scope})
	} else {
		c.proposeOnce("emergency "+rule.Name, &fleet.Entry{Kind: fleet.EntryBeginEmergency, Name: rule.Name})
	}
}

// siteReports returns the number of controllers with a recent report on the sites with engines,
// and whether any of them reports an engine in the given sites.
func (c *Core) siteReports(sites []string) (reports int, serving bool) {
	maxAge := max(siteReportMaxAge, siteReportMaxIntervals*c.renewalInterval())
	for _, name := range c.peerNames {
		p := c.peers[name]
		if p.renewal == nil || p.renewal.ServingSites == nil || c.now-c.lastHeardOf(name) > maxAge {
			continue
		}
		reports++
		for _, site := range p.renewal.ServingSites {
			serving = serving || slices.Contains(sites, site)
		}
	}
	return reports, serving
}

// endObsoleteEmergencies ends emergencies whose rule is no longer in the committed policy.
// Otherwise nothing would end them, and a later rule of the same name would start with its
// further sites allowed. No data is purged, since the entry has no Scope. A control process that
// doesn't know the controllers' own rules leaves the emergencies to a leader that does.
func (c *Core) endObsoleteEmergencies() {
	if c.orderedVersion != c.state.Version || c.residencyRulesUnknown() {
		return
	}
	rules := c.emergencyRules()
	for _, name := range sorted(c.state.Emergencies) {
		if !slices.ContainsFunc(rules, func(r fleet.EmergencyRule) bool { return r.Name == name }) {
			c.proposeOnce("calm "+name, &fleet.Entry{Kind: fleet.EntryEndEmergency, Name: name})
		}
	}
}

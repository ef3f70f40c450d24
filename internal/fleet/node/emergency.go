package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

const (
	// A controller not heard of for so long, and for so many renewal intervals, has no say
	// on which zones have engines.
	zoneReportMaxAge       = 2 * time.Second
	zoneReportMaxIntervals = 4
)

// watchRule begins an emergency once no controller sees an engine in any of a residency
// rule's zones for as long as the rule says, and ends it once one is seen for as long.
func (c *Core) watchRule(w fleet.EmergencyRule) {
	reports, inside := c.zoneReports(w.Sites)
	if reports == 0 {
		delete(c.lostSince, w.Name)
		delete(c.foundSince, w.Name)
		return
	}
	since, other := c.lostSince, c.foundSince
	if inside {
		since, other = c.foundSince, c.lostSince
	}
	delete(other, w.Name)
	if _, had := since[w.Name]; !had {
		since[w.Name] = c.now
	}
	_, isEmergency := c.state.Emergencies[w.Name]
	if isEmergency != inside || c.now-since[w.Name] < w.After {
		return
	}
	if inside {
		scope := &fleet.Scope{Team: w.Team, OutsideSites: w.Sites}
		c.proposeOnce("calm "+w.Name, &fleet.Entry{Kind: fleet.EntryEndEmergency, Name: w.Name, Scope: scope})
	} else {
		c.proposeOnce("emergency "+w.Name, &fleet.Entry{Kind: fleet.EntryBeginEmergency, Name: w.Name})
	}
}

// zoneReports counts the controllers that have reported lately which zones have engines,
// and tells whether any of them sees one in some zones.
func (c *Core) zoneReports(zones []string) (reports int, inside bool) {
	maxAge := max(zoneReportMaxAge, zoneReportMaxIntervals*c.renewalInterval())
	for _, name := range c.peerNames {
		p := c.peers[name]
		if p.renewal == nil || p.renewal.ServingSites == nil || c.now-c.lastHeardOf(name) > maxAge {
			continue
		}
		reports++
		for _, zone := range p.renewal.ServingSites {
			inside = inside || slices.Contains(zones, zone)
		}
	}
	return reports, inside
}

// endObsoleteEmergencies ends emergencies whose rule is no longer committed: nobody
// watches for their end, and a later rule of that name would begin with its zones open. A
// control process that doesn't know the controllers' own rules leaves that to a leader
// that does.
func (c *Core) endObsoleteEmergencies() {
	if c.orderedVersion != c.state.Version || c.residencyRulesUnknown() {
		return
	}
	watched := c.watchedRules()
	for _, name := range sorted(c.state.Emergencies) {
		if !slices.ContainsFunc(watched, func(w fleet.EmergencyRule) bool { return w.Name == name }) {
			c.proposeOnce("calm "+name, &fleet.Entry{Kind: fleet.EntryEndEmergency, Name: name})
		}
	}
}

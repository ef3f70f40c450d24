package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// watch sees whether a rule's sites have engines at all, by what all controllers see.
func (c *Core) watchRule(w fleet.Watched) {
	heard, inside := 0, false
	for _, name := range c.peerNames {
		p := c.peers[name]
		if p.renewal == nil || c.now-c.lastHeardOf(name) > max(2*time.Second, 4*c.renewalInterval()) || p.renewal.ServingSites == nil {
			continue
		}
		heard++
		for _, s := range p.renewal.ServingSites {
			inside = inside || slices.Contains(w.Inside, s)
		}
	}
	if heard == 0 {
		delete(c.lostSince, w.Rule)
		delete(c.foundSince, w.Rule)
		return
	}
	_, on := c.state.Emergencies[w.Rule]
	since, other := c.lostSince, c.foundSince
	if inside {
		since, other = c.foundSince, c.lostSince
	}
	delete(other, w.Rule)
	if _, had := since[w.Rule]; !had {
		since[w.Rule] = c.now
	}
	if on != inside || c.now-since[w.Rule] < w.After {
		return
	}
	if inside {
		scope := &fleet.Scope{Team: w.Team, Outside: w.Inside}
		c.throttle("calm "+w.Rule, func() { c.propose(&fleet.Entry{Kind: fleet.Calm, Name: w.Rule, Scope: scope}) })
	} else {
		c.throttle("emergency "+w.Rule, func() { c.propose(&fleet.Entry{Kind: fleet.Emergency, Name: w.Rule}) })
	}
}

// outlived ends emergencies whose rule is in force no more: nobody watches for their end,
// and a rule of that name to come would begin with its boundary open. A control process
// that doesn't know the controllers' own rules can't tell, and leaves that to a leader
// that does.
func (c *Core) endObsoleteEmergencies() {
	if c.orderedVersion != c.state.Version || c.residencyRulesUnknown() {
		return
	}
	watched := c.watchedRules()
	for _, name := range sorted(c.state.Emergencies) {
		if !slices.ContainsFunc(watched, func(w fleet.Watched) bool { return w.Rule == name }) {
			c.throttle("calm "+name, func() { c.propose(&fleet.Entry{Kind: fleet.Calm, Name: name}) })
		}
	}
}

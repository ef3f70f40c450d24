// Package residency decides where a tenant's data may be: on which engines its queries run,
// which controllers serve them, and where results and cached answers are retained. A rule binds
// all tables of a tenant or some, to sites that the set-up names. The package is pure: no I/O,
// clock or goroutine. It never widens what the scheduler may choose from.
//
// A query that touches several rules stays inside all of them. One whose tables can't be
// told, of a tenant that has rules, is taken as touching all of these.
package residency

import (
	"maps"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Rule binds tables of a tenant to sites. Names of rules are unique.
type Rule struct {
	Name   string
	Team   string
	Tables []int64 // none: all that the tenant has
	// Engines are the sites whose engines may run its queries; none: all.
	Engines []string
	// Controllers are the sites whose controllers may serve them; nil: as Engines.
	Controllers []string
	// Keep are the sites where results and cached answers may be retained; nil: as
	// Controllers, empty but not nil: nowhere.
	Keep []string
	// Follows: a load that reads these tables into others binds those, too.
	Follows   bool
	Emergency Emergency
}

// Emergency names further sites whose engines are allowed once all inside are lost for After.
type Emergency struct {
	Sites []string
	After time.Duration
}

// controllerSites is empty for everywhere.
func (r *Rule) controllerSites() []string {
	if r.Controllers != nil {
		return r.Controllers
	}
	return r.Engines
}

// retentionSites is nil for everywhere.
func (r *Rule) retentionSites() []string {
	if r.Keep != nil {
		return r.Keep
	}
	return r.controllerSites()
}

// boundRule is a rule with all tables that it came to bind.
type boundRule struct {
	Rule
	allTables bool
	tables    map[int64]bool
}

// appliesTo reports whether the rule binds one of these tables; where they aren't known it may.
func (b *boundRule) appliesTo(tables []int64, known bool) bool {
	return !known || b.allTables || slices.ContainsFunc(tables, func(t int64) bool { return b.tables[t] })
}

// bindTables works out what each rule binds, by tenant. A table that a load filled from a bound one
// is bound, too, in whichever order the loads were logged. That may bind more than the data
// did, and never less.
func bindTables(rules []Rule, bindings []fleet.Binding) map[string][]*boundRule {
	teams := map[string][]*boundRule{}
	for _, r := range rules {
		b := &boundRule{Rule: r, allTables: len(r.Tables) == 0, tables: map[int64]bool{}}
		for _, t := range r.Tables {
			b.tables[t] = true
		}
		for more := r.Follows && !b.allTables; more; {
			more = false
			for _, x := range bindings {
				if x.Team != r.Team || !slices.ContainsFunc(x.SourceTables, func(t int64) bool { return b.tables[t] }) {
					continue
				}
				for _, t := range x.Tables {
					if !b.tables[t] {
						b.tables[t], more = true, true
					}
				}
			}
		}
		teams[r.Team] = append(teams[r.Team], b)
	}
	return teams
}

// Decision is what the rules say of one query. Its lists are shared: they must not be changed.
type Decision struct {
	RuleApplies     bool      // a rule applies
	RuleNames       []string  // the names of those that do
	EngineSites     []string  // sites whose engines may run it; nil: all
	ControllerSites []string  // sites whose controllers may serve it; nil: all
	RetentionSites  []string  // sites where its result may be retained; nil: all, empty: nowhere
	MayServe        bool      // this controller may serve it
	MayRetain       bool      // this controller may retain its result or answer
	Conflict        *Conflict // the rules leave no site; nil: they leave some
}

// AllowsEngineSite reports whether an engine of this site may run the query.
func (v *Decision) AllowsEngineSite(site string) bool {
	return v.Conflict == nil && includes(v.EngineSites, site)
}

// includes reports whether a list has a site; nil is everywhere.
func includes(sites []string, site string) bool { return sites == nil || slices.Contains(sites, site) }

// intersect is what two lists have in common; nil is everywhere.
func intersect(a, b []string) []string {
	if a == nil || b == nil {
		if a == nil {
			return b
		}
		return a
	}
	both := []string{}
	for _, s := range a {
		if slices.Contains(b, s) {
			both = append(both, s)
		}
	}
	return both
}

// emptyAsAll makes an empty list nil, as a rule means it: everywhere.
func emptyAsAll(sites []string) []string {
	if len(sites) == 0 {
		return nil
	}
	return sites
}

// evaluate applies all rules of a tenant. emergencies has the rules whose emergency is on; nil: none.
func evaluateRules(
	rules []*boundRule, tables []int64, known bool, emergencies map[string]uint64,
) (v Decision) {
	var applying []*boundRule
	allowed := func(b *boundRule) []string {
		if _, on := emergencies[b.Name]; on && len(b.Engines) > 0 {
			return append(slices.Clone(b.Engines), b.Emergency.Sites...)
		}
		return emptyAsAll(b.Engines)
	}
	for _, b := range rules {
		if !b.appliesTo(tables, known) {
			continue
		}
		applying = append(applying, b)
		v.RuleApplies = true
		v.RuleNames = append(v.RuleNames, b.Name)
		v.EngineSites = intersect(v.EngineSites, allowed(b))
		v.ControllerSites = intersect(v.ControllerSites, emptyAsAll(b.controllerSites()))
		if b.Keep != nil {
			v.RetentionSites = intersect(v.RetentionSites, b.Keep) // an empty one is nowhere
		} else {
			v.RetentionSites = intersect(v.RetentionSites, emptyAsAll(b.retentionSites()))
		}
	}
	switch {
	case v.EngineSites != nil && len(v.EngineSites) == 0:
		v.Conflict = findConflict(applying, "engine", allowed)
	case v.ControllerSites != nil && len(v.ControllerSites) == 0:
		controllers := func(b *boundRule) []string { return emptyAsAll(b.controllerSites()) }
		v.Conflict = findConflict(applying, "controller", controllers)
	}
	return v
}

// findConflict names two rules that have no site in common, or all if only all together have none.
func findConflict(applying []*boundRule, what string, of func(*boundRule) []string) *Conflict {
	c := &Conflict{Role: what, Team: applying[0].Team}
	for i, a := range applying {
		for _, b := range applying[i+1:] {
			if l := intersect(of(a), of(b)); l != nil && len(l) == 0 {
				c.Rules = []string{a.Name, b.Name}
				return c
			}
		}
	}
	for _, b := range applying {
		if of(b) != nil {
			c.Rules = append(c.Rules, b.Name)
		}
	}
	return c
}

// Core is what one controller knows of the rules in force. It is used by one goroutine.
type Core struct {
	site           string // where the controller is
	rules          []Rule
	rulesByTeam    map[string][]*boundRule // worked out of rules, fleetView and unseenBindings
	fleetView      fleet.View
	unseenBindings []fleet.Binding // in the log, and not in fleetView yet

	generation uint64                   // changes with all of the above
	decisions  map[decisionKey]Decision // of queries on one table, until anything changes

	crossings     []EmergencyCrossing // the latest
	crossingCount int
}

// verdictKey is what a remembered verdict is of.
type decisionKey struct {
	team    string
	table   int64
	noTable bool
}

// maxVerdicts bounds what is remembered: clients choose the numbers in their statements.
const maxDecisions = 4096

// New makes the Core of a controller at a site; "" is at none, and inside no boundary.
func New(site string) *Core {
	return &Core{site: site, generation: 1, decisions: map[decisionKey]Decision{}}
}

// SetRules replaces the rules: from now on all is judged by them.
func (c *Core) SetRules(rules []Rule) {
	c.rules = slices.Clone(rules)
	c.rebuild()
}

// SetFleetView takes what the log says: what loads bound, and which emergencies are on.
func (c *Core) SetFleetView(p *fleet.View) {
	same := slices.EqualFunc(p.Bindings, c.fleetView.Bindings, equalBindings) &&
		maps.Equal(p.Emergencies, c.fleetView.Emergencies)
	c.fleetView = *p
	c.unseenBindings = slices.DeleteFunc(c.unseenBindings, func(b fleet.Binding) bool {
		return covers(p.Bindings, b)
	})
	if !same { // most pictures only tell of other controllers
		c.rebuild()
	}
}

func equalBindings(a, b fleet.Binding) bool {
	return a.Team == b.Team && slices.Equal(a.Tables, b.Tables) && slices.Equal(a.SourceTables, b.SourceTables)
}

// covers reports whether one of the bindings binds as much. The log joins those that follow the same.
func covers(l []fleet.Binding, b fleet.Binding) bool {
	return slices.ContainsFunc(l, func(x fleet.Binding) bool {
		return x.Team == b.Team && slices.Equal(x.SourceTables, b.SourceTables) &&
			!slices.ContainsFunc(b.Tables, func(t int64) bool { return !slices.Contains(x.Tables, t) })
	})
}

// AddRecordedBinding tells that the log has a binding, though no view of the fleet has shown it yet.
func (c *Core) AddRecordedBinding(b fleet.Binding) {
	if !covers(c.fleetView.Bindings, b) && !covers(c.unseenBindings, b) {
		c.unseenBindings = append(c.unseenBindings, b)
		c.rebuild()
	}
}

// Site is where this controller is.
func (c *Core) Site() string { return c.site }

// rebind works out anew what the rules bind, and forgets all verdicts.
func (c *Core) rebuild() {
	c.rulesByTeam = bindTables(c.rules, slices.Concat(c.fleetView.Bindings, c.unseenBindings))
	c.generation++
	clear(c.decisions)
}

// Generation changes with all that verdicts depend on: an older verdict must be asked for anew.
func (c *Core) Generation() uint64 { return c.generation }

// HasRules reports whether a tenant has a rule at all. Of others nothing need be found out.
func (c *Core) HasRules(team string) bool { return len(c.rulesByTeam[team]) > 0 }

// Decide says where a tenant's query on some tables may be. known: these are all the
// tables that it touches.
func (c *Core) Decide(team string, tables []int64, known bool) Decision {
	rules := c.rulesByTeam[team]
	if len(rules) == 0 {
		return Decision{MayServe: true, MayRetain: true}
	}
	k := decisionKey{team: team, noTable: len(tables) == 0}
	if !k.noTable {
		k.table = tables[0]
	}
	remember := known && len(tables) <= 1
	if v, ok := c.decisions[k]; ok && remember {
		return v
	}
	v := evaluateRules(rules, tables, known, c.fleetView.Emergencies)
	v.MayServe = v.Conflict == nil && includes(v.ControllerSites, c.site)
	v.MayRetain = v.Conflict == nil && includes(v.RetentionSites, c.site)
	if remember && len(c.decisions) < maxDecisions {
		c.decisions[k] = v
	}
	return v
}

// MissingBinding is what must be in the log before a load may be sent: nil if nothing is missing
// there. read and written are the tables of its statement. A load of which these aren't known
// can't be followed: the error is an *Untold where a rule follows data.
func (c *Core) MissingBinding(team string, read, written []int64, known bool) (*fleet.Binding, error) {
	need := &fleet.Binding{Team: team}
	for _, b := range c.rulesByTeam[team] {
		switch {
		case !b.Follows || b.allTables:
			continue // what has all tables bound already follows none
		case !known:
			return nil, &Untold{Team: team, Rule: b.Name}
		case !b.appliesTo(read, true):
			continue
		}
		missing := slices.DeleteFunc(slices.Clone(written), func(t int64) bool { return b.tables[t] })
		if len(missing) == 0 {
			continue
		}
		need.Tables = append(need.Tables, missing...)
		for _, t := range read {
			if b.tables[t] {
				need.SourceTables = append(need.SourceTables, t)
			}
		}
	}
	if len(need.Tables) == 0 {
		return nil, nil
	}
	need.Tables, need.SourceTables = sorted(need.Tables), sorted(need.SourceTables)
	return need, nil
}

func sorted(l []int64) []int64 {
	slices.Sort(l)
	return slices.Compact(l)
}

// EmergencyCrossing is a query that an emergency let go to an engine outside its rule's own sites.
type EmergencyCrossing struct {
	Query string `json:"query"`
	Team  string `json:"team"`
	Rule  string `json:"rule"`
	Site  string `json:"site"`
}

// maxCrossings bounds the list: the latest are listed, all are counted.
const maxCrossings = 1000

// RecordAttempt notes an attempt at an engine of a site, and reports whether it left a rule's own sites in an
// emergency.
func (c *Core) RecordAttempt(query, team string, v *Decision, site string) (outside bool) {
	for _, b := range c.rulesByTeam[team] {
		if !slices.Contains(v.RuleNames, b.Name) || includes(emptyAsAll(b.Engines), site) {
			continue
		}
		outside = true
		c.crossingCount++
		if len(c.crossings) >= maxCrossings {
			c.crossings = slices.Delete(c.crossings, 0, 1)
		}
		c.crossings = append(c.crossings, EmergencyCrossing{Query: query, Team: team, Rule: b.Name, Site: site})
	}
	return outside
}

// RecentCrossings lists the latest crossings, and how many there were in all.
func (c *Core) RecentCrossings() ([]EmergencyCrossing, int) {
	return slices.Clone(c.crossings), c.crossingCount
}

// IsOutsideRules reports whether a query runs at a site that its rules themselves, without any emergency,
// forbid.
func (c *Core) IsOutsideRules(team string, tables []int64, known bool, site string) bool {
	rules := c.rulesByTeam[team]
	if len(rules) == 0 {
		return false
	}
	v := evaluateRules(rules, tables, known, nil)
	return !v.AllowsEngineSite(site)
}

// EmergencyRules are the rules that name further sites: the fleet watches whether all inside is lost.
func EmergencyRules(rules []Rule) (l []fleet.EmergencyRule) {
	for _, r := range rules {
		if len(r.Emergency.Sites) > 0 && len(r.Engines) > 0 {
			l = append(l, fleet.EmergencyRule{Name: r.Name, Team: r.Team, Sites: r.Engines, After: r.Emergency.After})
		}
	}
	return l
}

// EmergencyRules are those of the rules in force.
func (c *Core) EmergencyRules() []fleet.EmergencyRule { return EmergencyRules(c.rules) }

// ScopeAfterEmergency is what has to be invalidated once a rule's emergency has ended: what was retained
// where the rule forbids it. nil: nothing can be, its results may be anywhere.
func ScopeAfterEmergency(rules []Rule, name string) *fleet.Scope {
	for _, r := range rules {
		if r.Name == name {
			return retentionScope(r.Team, r.Tables, r.retentionSites(), r.Keep == nil && len(r.retentionSites()) == 0)
		}
	}
	return nil
}

func retentionScope(team string, tables []int64, keepers []string, anywhere bool) *fleet.Scope {
	if anywhere {
		return nil
	}
	return &fleet.Scope{Team: team, Tables: tables, OutsideSites: keepers}
}

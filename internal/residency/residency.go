// Package residency decides where a tenant's data may be: on which engines its queries run,
// which controllers serve them, and where results and cached answers are retained. A rule binds
// all or some tables of a tenant to sites that the settings name. The package is a pure core: no I/O,
// clock or goroutine. It only narrows the scheduler's choice of engines.
//
// A query to which several rules apply must comply with all of them. If the tables of a query are
// unknown, all rules of its tenant apply.
//
// A site is the same as a location, the word in the names of settings and in some messages. Tables are
// identified by the numbers of their table groups.
package residency

import (
	"maps"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Rule binds tables of a tenant to sites. The name of a rule is unique.
type Rule struct {
	Name   string
	Tenant string
	Tables []int64 // empty: all tables of the tenant
	// EngineSites are the sites whose engines may run the queries on the tables; empty: all sites.
	EngineSites []string
	// ControllerSites are the sites whose controllers may serve the queries on the tables; nil: as
	// EngineSites.
	ControllerSites []string
	// RetentionSites are the sites where results and cached answers may be retained; nil: as
	// ControllerSites, empty but not nil: none.
	RetentionSites []string
	// FollowsLoads extends the rule to every table that a load fills from one of its tables.
	FollowsLoads bool
	Emergency    Emergency
}

// Emergency names additional sites whose engines are allowed once all engine sites of the rule have
// been lost for the duration After.
type Emergency struct {
	Sites []string
	After time.Duration
}

// effectiveControllerSites returns the sites whose controllers the rule allows; empty: all sites.
func (r *Rule) effectiveControllerSites() []string {
	if r.ControllerSites != nil {
		return r.ControllerSites
	}
	return r.EngineSites
}

// effectiveRetentionSites returns the sites where the rule allows retained data. If RetentionSites
// is nil, an empty list means all sites, otherwise none.
func (r *Rule) effectiveRetentionSites() []string {
	if r.RetentionSites != nil {
		return r.RetentionSites
	}
	return r.effectiveControllerSites()
}

// boundRule is a rule with all tables that it binds, including those that loads filled.
type boundRule struct {
	Rule
	allTables bool
	tables    map[int64]bool
}

// appliesTo reports whether the rule binds one of these tables. A rule also applies if not all tables of
// the query are known.
func (b *boundRule) appliesTo(tables []int64, tablesKnown bool) bool {
	return !tablesKnown || b.allTables || slices.ContainsFunc(tables, func(t int64) bool { return b.tables[t] })
}

// bindTables determines which tables each rule binds, by tenant. A rule that follows loads also binds
// each table that a load filled from a bound table, regardless of the order in which the loads were
// logged. The result may contain tables that hold no bound data, but it misses none that does.
func bindTables(rules []Rule, bindings []fleet.Binding) map[string][]*boundRule {
	rulesByTenant := map[string][]*boundRule{}
	for _, r := range rules {
		b := &boundRule{Rule: r, allTables: len(r.Tables) == 0, tables: map[int64]bool{}}
		for _, t := range r.Tables {
			b.tables[t] = true
		}
		for changed := r.FollowsLoads && !b.allTables; changed; {
			changed = false
			for _, x := range bindings {
				if x.Tenant != r.Tenant || !slices.ContainsFunc(x.SourceTables,
					func(t int64) bool { return b.tables[t] }) {
					continue
				}
				for _, t := range x.Tables {
					if !b.tables[t] {
						b.tables[t], changed = true, true
					}
				}
			}
		}
		rulesByTenant[r.Tenant] = append(rulesByTenant[r.Tenant], b)
	}
	return rulesByTenant
}

// Decision holds what the rules allow for one query. Its slices are shared and must not be modified.
type Decision struct {
	RuleApplies     bool               // at least one rule applies
	RuleNames       []string           // names of the rules that apply
	EngineSites     []string           // sites whose engines may run the query; nil: all
	ControllerSites []string           // sites whose controllers may serve the query; nil: all
	RetentionSites  []string           // sites where its result may be retained; nil: all, empty: none
	MayServe        bool               // this controller may serve the query
	MayRetain       bool               // this controller may retain the result or answer
	Conflict        *NoCommonSiteError // the rules leave no engine or controller site; nil: no conflict
}

// AllowsEngineSite reports whether an engine of this site may run the query.
func (d *Decision) AllowsEngineSite(site string) bool {
	return d.Conflict == nil && includes(d.EngineSites, site)
}

// includes reports whether a list contains a site; nil stands for all sites.
func includes(sites []string, site string) bool { return sites == nil || slices.Contains(sites, site) }

// intersect returns the sites that are in both lists; nil stands for all sites.
func intersect(a, b []string) []string {
	if a == nil || b == nil {
		if a == nil {
			return b
		}
		return a
	}
	common := []string{}
	for _, s := range a {
		if slices.Contains(b, s) {
			common = append(common, s)
		}
	}
	return common
}

// nilIfEmpty returns nil for an empty list. An empty list of a rule stands for all sites, as nil does in
// a Decision.
func nilIfEmpty(sites []string) []string {
	if len(sites) == 0 {
		return nil
	}
	return sites
}

// evaluateRules combines the rules of a tenant that apply to a query. It doesn't set MayServe and
// MayRetain, which depend on the controller. emergencies has the names of the rules with a declared
// emergency; nil: none.
func evaluateRules(
	rules []*boundRule, tables []int64, tablesKnown bool, emergencies map[string]uint64,
) (decision Decision) {
	var applicable []*boundRule
	engineSites := func(b *boundRule) []string {
		if _, on := emergencies[b.Name]; on && len(b.EngineSites) > 0 {
			return append(slices.Clone(b.EngineSites), b.Emergency.Sites...)
		}
		return nilIfEmpty(b.EngineSites)
	}
	for _, b := range rules {
		if !b.appliesTo(tables, tablesKnown) {
			continue
		}
		applicable = append(applicable, b)
		decision.RuleApplies = true
		decision.RuleNames = append(decision.RuleNames, b.Name)
		decision.EngineSites = intersect(decision.EngineSites, engineSites(b))
		decision.ControllerSites = intersect(decision.ControllerSites, nilIfEmpty(b.effectiveControllerSites()))
		if b.RetentionSites != nil {
			// An empty list allows no site.
			decision.RetentionSites = intersect(decision.RetentionSites, b.RetentionSites)
		} else {
			decision.RetentionSites = intersect(decision.RetentionSites, nilIfEmpty(b.effectiveRetentionSites()))
		}
	}
	switch {
	case decision.EngineSites != nil && len(decision.EngineSites) == 0:
		decision.Conflict = findConflict(applicable, "engine", engineSites)
	case decision.ControllerSites != nil && len(decision.ControllerSites) == 0:
		controllers := func(b *boundRule) []string { return nilIfEmpty(b.effectiveControllerSites()) }
		decision.Conflict = findConflict(applicable, "controller", controllers)
	}
	return decision
}

// findConflict returns an error that names two rules without a common site. If each pair of rules has a
// common site, the error names all rules that restrict the sites.
func findConflict(
	applicable []*boundRule, role string, sitesOf func(*boundRule) []string,
) *NoCommonSiteError {
	c := &NoCommonSiteError{Role: role, Tenant: applicable[0].Tenant}
	for i, a := range applicable {
		for _, b := range applicable[i+1:] {
			if common := intersect(sitesOf(a), sitesOf(b)); common != nil && len(common) == 0 {
				c.Rules = []string{a.Name, b.Name}
				return c
			}
		}
	}
	for _, b := range applicable {
		if sitesOf(b) != nil {
			c.Rules = append(c.Rules, b.Name)
		}
	}
	return c
}

// Core evaluates the rules in force at one controller. It is used by one goroutine.
type Core struct {
	site           string // of this controller
	rules          []Rule
	rulesByTenant  map[string][]*boundRule // derived from rules, fleetView and unseenBindings
	fleetView      fleet.View
	unseenBindings []fleet.Binding // logged, but not in fleetView yet

	generation uint64                   // increases with each change of the fields above
	decisions  map[decisionKey]Decision // cached for queries on at most one table, of this generation

	crossings     []EmergencyCrossing // the most recent, at most maxCrossings
	crossingCount int                 // since the start
}

// decisionKey identifies a cached decision.
type decisionKey struct {
	tenant  string
	table   int64
	noTable bool
}

// maxDecisions bounds the cache, since clients choose the table numbers in their statements.
const maxDecisions = 4096

// New returns the Core of a controller at a site. A controller without a site ("") is allowed by no
// rule that names sites.
func New(site string) *Core {
	return &Core{site: site, generation: 1, decisions: map[decisionKey]Decision{}}
}

// SetRules replaces the rules.
func (c *Core) SetRules(rules []Rule) {
	c.rules = slices.Clone(rules)
	c.rebuild()
}

// SetFleetView replaces the bindings of loads and the declared emergencies by those of a view. Recorded
// bindings that the view doesn't contain yet stay in force.
func (c *Core) SetFleetView(view *fleet.View) {
	same := slices.EqualFunc(view.Bindings, c.fleetView.Bindings, equalBindings) &&
		maps.Equal(view.Emergencies, c.fleetView.Emergencies)
	c.fleetView = *view
	c.unseenBindings = slices.DeleteFunc(c.unseenBindings, func(b fleet.Binding) bool {
		return covers(view.Bindings, b)
	})
	if !same { // most views change only the state of other controllers
		c.rebuild()
	}
}

func equalBindings(a, b fleet.Binding) bool {
	return a.Tenant == b.Tenant && slices.Equal(a.Tables, b.Tables) &&
		slices.Equal(a.SourceTables, b.SourceTables)
}

// covers reports whether one of the bindings has the same source tables as b and binds at least the
// same tables. The log merges bindings with the same source tables.
func covers(l []fleet.Binding, b fleet.Binding) bool {
	return slices.ContainsFunc(l, func(x fleet.Binding) bool {
		return x.Tenant == b.Tenant && slices.Equal(x.SourceTables, b.SourceTables) &&
			!slices.ContainsFunc(b.Tables, func(t int64) bool { return !slices.Contains(x.Tables, t) })
	})
}

// AddRecordedBinding applies a binding that the log has, before a view of the fleet contains it.
func (c *Core) AddRecordedBinding(b fleet.Binding) {
	if !covers(c.fleetView.Bindings, b) && !covers(c.unseenBindings, b) {
		c.unseenBindings = append(c.unseenBindings, b)
		c.rebuild()
	}
}

// Site returns the site of this controller.
func (c *Core) Site() string { return c.site }

// rebuild derives the bound tables again and clears the cached decisions.
func (c *Core) rebuild() {
	c.rulesByTenant = bindTables(c.rules, slices.Concat(c.fleetView.Bindings, c.unseenBindings))
	c.generation++
	clear(c.decisions)
}

// Generation increases with each change that decisions depend on. A decision of an older generation
// is outdated.
func (c *Core) Generation() uint64 { return c.generation }

// HasRules reports whether a tenant has any rule. Without one, the tables of its queries don't matter.
func (c *Core) HasRules(tenant string) bool { return len(c.rulesByTenant[tenant]) > 0 }

// Decide returns where a tenant's query on these tables may run, be served and be retained. tablesKnown
// says that the query uses no other tables.
func (c *Core) Decide(tenant string, tables []int64, tablesKnown bool) Decision {
	rules := c.rulesByTenant[tenant]
	if len(rules) == 0 {
		return Decision{MayServe: true, MayRetain: true}
	}
	key := decisionKey{tenant: tenant, noTable: len(tables) == 0}
	if !key.noTable {
		key.table = tables[0]
	}
	cacheable := tablesKnown && len(tables) <= 1
	if decision, ok := c.decisions[key]; ok && cacheable {
		return decision
	}
	decision := evaluateRules(rules, tables, tablesKnown, c.fleetView.Emergencies)
	decision.MayServe = decision.Conflict == nil && includes(decision.ControllerSites, c.site)
	decision.MayRetain = decision.Conflict == nil && includes(decision.RetentionSites, c.site)
	if cacheable && len(c.decisions) < maxDecisions {
		c.decisions[key] = decision
	}
	return decision
}

// MissingBinding returns the binding that the log must have before a load may be sent; nil: none is
// missing. read and written are the tables of the load's statement. If the tables are
// unknown and a rule follows loads, the error is an *UnknownTablesError.
func (c *Core) MissingBinding(
	tenant string, read, written []int64, tablesKnown bool,
) (*fleet.Binding, error) {
	binding := &fleet.Binding{Tenant: tenant}
	for _, b := range c.rulesByTenant[tenant] {
		switch {
		case !b.FollowsLoads || b.allTables:
			continue // a rule that binds all tables has no further tables to bind
		case !tablesKnown:
			return nil, &UnknownTablesError{Tenant: tenant, Rule: b.Name}
		case !b.appliesTo(read, true):
			continue
		}
		missing := slices.DeleteFunc(slices.Clone(written), func(t int64) bool { return b.tables[t] })
		if len(missing) == 0 {
			continue
		}
		binding.Tables = append(binding.Tables, missing...)
		for _, t := range read {
			if b.tables[t] {
				binding.SourceTables = append(binding.SourceTables, t)
			}
		}
	}
	if len(binding.Tables) == 0 {
		return nil, nil
	}
	binding.Tables, binding.SourceTables = sorted(binding.Tables), sorted(binding.SourceTables)
	return binding, nil
}

func sorted(l []int64) []int64 {
	slices.Sort(l)
	return slices.Compact(l)
}

// EmergencyCrossing records an attempt that an emergency allowed at an engine outside the sites of its rule.
type EmergencyCrossing struct {
	Query  string `json:"query"`
	Tenant string `json:"team"`
	Rule   string `json:"rule"`
	Site   string `json:"site"`
}

// maxCrossings bounds the list of recent crossings; the count includes all of them.
const maxCrossings = 1000

// RecordAttempt records an EmergencyCrossing for each rule of the decision whose engine sites don't
// include the site of an attempt's engine. It reports whether there was such a rule, which only an
// emergency allows.
func (c *Core) RecordAttempt(query, tenant string, decision *Decision, site string) (outside bool) {
	for _, b := range c.rulesByTenant[tenant] {
		if !slices.Contains(decision.RuleNames, b.Name) || includes(nilIfEmpty(b.EngineSites), site) {
			continue
		}
		outside = true
		c.crossingCount++
		if len(c.crossings) >= maxCrossings {
			c.crossings = slices.Delete(c.crossings, 0, 1)
		}
		c.crossings = append(c.crossings, EmergencyCrossing{Query: query, Tenant: tenant, Rule: b.Name, Site: site})
	}
	return outside
}

// RecentCrossings returns the most recent crossings, and the number of all crossings since the start.
func (c *Core) RecentCrossings() ([]EmergencyCrossing, int) {
	return slices.Clone(c.crossings), c.crossingCount
}

// IsOutsideRules reports whether the rules forbid a query at a site when no emergency is declared.
func (c *Core) IsOutsideRules(tenant string, tables []int64, tablesKnown bool, site string) bool {
	rules := c.rulesByTenant[tenant]
	if len(rules) == 0 {
		return false
	}
	decision := evaluateRules(rules, tables, tablesKnown, nil)
	return !decision.AllowsEngineSite(site)
}

// EmergencyRules returns the rules with emergency sites. The fleet declares the emergency of a rule when
// it has lost all engine sites of the rule.
func EmergencyRules(rules []Rule) (l []fleet.EmergencyRule) {
	for _, r := range rules {
		if len(r.Emergency.Sites) > 0 && len(r.EngineSites) > 0 {
			l = append(l, fleet.EmergencyRule{Name: r.Name, Tenant: r.Tenant,
				Sites: r.EngineSites, After: r.Emergency.After})
		}
	}
	return l
}

// EmergencyRules returns the rules in force with emergency sites.
func (c *Core) EmergencyRules() []fleet.EmergencyRule { return EmergencyRules(c.rules) }

// ScopeAfterEmergency returns the scope to purge once the emergency of a rule has ended: the data
// retained at sites that the rule forbids. nil: the rule allows retained data at all sites, or no rule
// has the name.
func ScopeAfterEmergency(rules []Rule, name string) *fleet.Scope {
	for _, r := range rules {
		if r.Name == name {
			sites := r.effectiveRetentionSites()
			return retentionScope(r.Tenant, r.Tables, sites, r.RetentionSites == nil && len(sites) == 0)
		}
	}
	return nil
}

// retentionScope returns the scope of data on these tables outside sites; nil if anywhere is allowed.
func retentionScope(tenant string, tables []int64, sites []string, anywhere bool) *fleet.Scope {
	if anywhere {
		return nil
	}
	return &fleet.Scope{Tenant: tenant, Tables: tables, OutsideSites: sites}
}

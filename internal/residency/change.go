package residency

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"railrelay.dev/railrelay/internal/fleet"
)

// ValidateRules returns the errors in rules, for example unknown names or missing sites. Only if there
// are none, it looks for rules for the same tables that leave no site. nil for sites or tenants allows any
// name.
func ValidateRules(rules []Rule, sites, tenants []string) (ruleErrors []*InvalidRuleError) {
	addError := func(i int, field, format string, args ...any) {
		ruleErrors = append(ruleErrors, &InvalidRuleError{i, field, fmt.Sprintf(format, args...)})
	}
	names := map[string]bool{}
	for i, r := range rules {
		switch {
		case r.Name == "":
			addError(i, "name", "is missing")
		case names[r.Name]:
			addError(i, "name", "a second rule is called %q", r.Name)
		}
		names[r.Name] = true
		switch {
		case r.Tenant == "":
			addError(i, "team", "is missing: a rule binds one team")
		case tenants != nil && !slices.Contains(tenants, r.Tenant):
			addError(i, "team", "no team is called %q", r.Tenant)
		}
		if len(r.EngineSites) == 0 && r.ControllerSites == nil && r.RetentionSites == nil {
			addError(i, "engines", "is missing: the rule binds nothing to a site")
		}
		if r.ControllerSites != nil && len(r.ControllerSites) == 0 {
			addError(i, "controllers", "is empty: no controller could take a query")
		}
		for _, l := range []struct {
			field string
			sites []string
		}{{"engines", r.EngineSites}, {"controllers", r.ControllerSites}, {"keep", r.RetentionSites},
			{"emergency.sites", r.Emergency.Sites}} {
			for j, s := range l.sites {
				if sites != nil && !slices.Contains(sites, s) {
					addError(i, fmt.Sprintf("%s[%d]", l.field, j), "no location is called %q", s)
				}
				if l.field == "emergency.sites" && slices.Contains(r.EngineSites, s) {
					addError(i, fmt.Sprintf("%s[%d]", l.field, j), "%q is one of the rule's engine sites already", s)
				}
			}
		}
		for j, t := range r.Tables {
			if t < 0 {
				addError(i, fmt.Sprintf("tables[%d]", j), "%d is not a table group", t)
			}
		}
		switch e := r.Emergency; {
		case len(e.Sites) > 0 && e.After <= 0:
			addError(i, "emergency.after", "is missing: how long must all engine sites be lost")
		case len(e.Sites) == 0 && e.After > 0:
			addError(i, "emergency.sites", "is missing: which additional sites are allowed")
		case len(e.Sites) > 0 && len(r.EngineSites) == 0:
			addError(i, "emergency", "has no effect: the rule names no engines")
		}
	}
	if len(ruleErrors) > 0 {
		return ruleErrors // an invalid rule would be reported again as a conflict
	}
	for tenant, l := range bindTables(rules, nil) {
		for _, tables := range tableClasses(l) {
			decision := evaluateRules(l, tables, true, nil)
			if decision.Conflict == nil {
				continue
			}
			last := decision.Conflict.Rules[len(decision.Conflict.Rules)-1]
			i := slices.IndexFunc(rules, func(r Rule) bool { return r.Name == last })
			if !slices.ContainsFunc(ruleErrors, func(f *InvalidRuleError) bool { return f.RuleIndex == i }) {
				addError(i, decision.Conflict.Role+"s", "rules %s leave team %q no %s for %s",
					strings.Join(decision.Conflict.Rules, " and "), tenant,
					decision.Conflict.Role, describeTables(tables))
			}
		}
	}
	slices.SortFunc(ruleErrors, func(a, b *InvalidRuleError) int { return a.RuleIndex - b.RuleIndex })
	return ruleErrors
}

// tableClasses splits the tables into classes that all rules treat alike: one class for each table
// that a rule names, and an empty list for all other tables.
func tableClasses(rules ...[]*boundRule) [][]int64 {
	var named []int64
	for _, l := range rules {
		for _, b := range l {
			for t := range b.tables {
				named = append(named, t)
			}
		}
	}
	classes := [][]int64{nil}
	for _, t := range sorted(named) {
		classes = append(classes, []int64{t})
	}
	return classes
}

// Tightening is a reduction of the sites that the rules allow for some tables of a tenant.
type Tightening struct {
	Tenant string   `json:"team"`
	Rules  []string `json:"rules"` // the new rules that apply
	// Tables are table groups; empty: all tables that no rule names.
	Tables []int64 `json:"tables,omitempty"`
	// EngineSites are the sites whose engines may run queries after the change; nil: all. With
	// EndsRunningQueries, queries at other sites must have ended before the change is complete.
	EngineSites        []string `json:"engines"`
	EndsRunningQueries bool     `json:"ends"`
	// PurgeScope matches the data retained at sites that are not allowed any more; nil: there can be no
	// such data. For the tables that no rule names it matches all data of the tenant.
	PurgeScope *fleet.Scope `json:"purge,omitempty"`
}

// isNarrower reports whether a site of before is missing in after; nil stands for all sites.
func isNarrower(before, after []string) bool {
	if after == nil {
		return false
	}
	return before == nil || slices.ContainsFunc(before,
		func(s string) bool { return !slices.Contains(after, s) })
}

// FindTightenings returns the tables for which new rules allow fewer sites. Tables for which sites are
// only added need no action and are left out. Results that differ only in the tables that rules name are
// merged. A stored query result whose tables are unknown matches each PurgeScope of its tenant.
func FindTightenings(old, next []Rule, bindings []fleet.Binding) (l []Tightening) {
	before, after := bindTables(old, bindings), bindTables(next, bindings)
	// Without new rules, all sites are allowed for a tenant.
	for _, tenant := range tenantNames(next) {
		for _, tables := range tableClasses(before[tenant], after[tenant]) {
			oldDecision := evaluateRules(before[tenant], tables, true, nil)
			newDecision := evaluateRules(after[tenant], tables, true, nil)
			t := Tightening{Tenant: tenant, Rules: newDecision.RuleNames, Tables: tables,
				EngineSites:        newDecision.EngineSites,
				EndsRunningQueries: isNarrower(oldDecision.EngineSites, newDecision.EngineSites)}
			if isNarrower(oldDecision.RetentionSites, newDecision.RetentionSites) {
				t.PurgeScope = &fleet.Scope{Tenant: tenant, Tables: tables, OutsideSites: newDecision.RetentionSites}
			}
			if !t.EndsRunningQueries && t.PurgeScope == nil &&
				!isNarrower(oldDecision.ControllerSites, newDecision.ControllerSites) {
				continue
			}
			if i := slices.IndexFunc(l, func(x Tightening) bool {
				return len(tables) > 0 && len(x.Tables) > 0 && t.canMerge(x)
			}); i >= 0 {
				l[i].Tables = append(l[i].Tables, tables...)
				if l[i].PurgeScope != nil {
					l[i].PurgeScope.Tables = l[i].Tables
				}
				continue
			}
			l = append(l, t)
		}
	}
	return l
}

// PurgeScopes returns the scopes that must be purged before a change of the rules is complete.
func PurgeScopes(old, next []Rule, bindings []fleet.Binding) (l []fleet.Scope) {
	for _, t := range FindTightenings(old, next, bindings) {
		if t.PurgeScope != nil {
			l = append(l, *t.PurgeScope)
		}
	}
	return l
}

// canMerge reports whether two tightenings differ only in their tables.
func (t Tightening) canMerge(x Tightening) bool {
	same := t.Tenant == x.Tenant && t.EndsRunningQueries == x.EndsRunningQueries &&
		slices.Equal(t.Rules, x.Rules) && slices.Equal(t.EngineSites, x.EngineSites)
	if !same || t.PurgeScope == nil || x.PurgeScope == nil {
		return same && t.PurgeScope == nil && x.PurgeScope == nil
	}
	return slices.Equal(t.PurgeScope.OutsideSites, x.PurgeScope.OutsideSites)
}

// tenantNames returns the names of the tenants that have rules, without duplicates.
func tenantNames(rules []Rule) (l []string) {
	for _, r := range rules {
		if !slices.Contains(l, r.Tenant) {
			l = append(l, r.Tenant)
		}
	}
	return l
}

// PlanInput is the state of the fleet that a plan is based on.
type PlanInput struct {
	Engines     []Engine
	Controllers []fleet.Member
	Bindings    []fleet.Binding
	Retained    []RetainedData // may be incomplete
}

// Engine is an engine of the discovery list, with its number of threads.
type Engine struct {
	Name, Site string
	Threads    float64
}

// RetainedData counts the data of a tenant that a controller retains.
type RetainedData struct {
	Controller, Tenant string
	Counts             fleet.InvalidationCounts
}

// ChangePlan describes the effects of a change of the rules. Shares are fractions of all engines'
// threads, from 0 to 1.
type ChangePlan struct {
	Rows []PlanRow `json:"rows"`
	// tenants that would have no engine or controller for some of their tables
	TenantsWithoutSite []string `json:"none"`
}

// PlanRow describes the effects on tables of one tenant that all rules treat alike.
type PlanRow struct {
	Tenant         string   `json:"team"`
	Tables         []int64  `json:"tables,omitempty"` // empty: all tables that no rule names
	Rules          []string `json:"rules"`
	ShareBefore    float64  `json:"share_before"`
	ShareAfter     float64  `json:"share_after"`
	EnginesOutside []string `json:"engines_outside"` // engines that the tenant would lose
	// controllers that could no longer serve its queries
	ControllersOutside []string `json:"controllers_outside"`
	// controllers whose retained data would be purged
	PurgeOn []string `json:"purge_on"`
	// retained data of the whole tenant on the controllers of PurgeOn
	RetainedOutside fleet.InvalidationCounts `json:"kept_outside"`
	Conflict        string                   `json:"conflict,omitempty"`
}

// PlanChange returns the effects that new rules would have.
func PlanChange(old, next []Rule, input PlanInput) *ChangePlan {
	before, after := bindTables(old, input.Bindings), bindTables(next, input.Bindings)
	plan := &ChangePlan{Rows: []PlanRow{}, TenantsWithoutSite: []string{}}
	total := 0.0
	for _, e := range input.Engines {
		total += e.Threads
	}
	total = max(total, 1e-9)
	for _, tenant := range tenantNames(slices.Concat(old, next)) {
		for _, tables := range tableClasses(before[tenant], after[tenant]) {
			oldDecision := evaluateRules(before[tenant], tables, true, nil)
			newDecision := evaluateRules(after[tenant], tables, true, nil)
			if !oldDecision.RuleApplies && !newDecision.RuleApplies {
				continue
			}
			row := PlanRow{Tenant: tenant, Tables: tables, Rules: newDecision.RuleNames, EnginesOutside: []string{},
				ControllersOutside: []string{}, PurgeOn: []string{}}
			if newDecision.Conflict != nil {
				row.Conflict = newDecision.Conflict.Error()
			}
			for _, e := range input.Engines {
				if oldDecision.AllowsEngineSite(e.Site) {
					row.ShareBefore += e.Threads / total
				}
				if newDecision.AllowsEngineSite(e.Site) {
					row.ShareAfter += e.Threads / total
				} else if oldDecision.AllowsEngineSite(e.Site) {
					row.EnginesOutside = append(row.EnginesOutside, e.Name)
				}
			}
			servingControllers := 0
			for _, m := range input.Controllers {
				if m.Forgotten {
					continue
				}
				if includes(newDecision.ControllerSites, m.Site) {
					servingControllers++
				} else if includes(oldDecision.ControllerSites, m.Site) {
					row.ControllersOutside = append(row.ControllersOutside, m.Name)
				}
				if includes(oldDecision.RetentionSites, m.Site) && !includes(newDecision.RetentionSites, m.Site) {
					row.PurgeOn = append(row.PurgeOn, m.Name)
					for _, k := range input.Retained {
						if k.Controller == m.Name && k.Tenant == tenant {
							row.RetainedOutside.Add(k.Counts)
						}
					}
				}
			}
			if none := row.ShareAfter == 0 || servingControllers == 0; none &&
				!slices.Contains(plan.TenantsWithoutSite, tenant) {
				plan.TenantsWithoutSite = append(plan.TenantsWithoutSite, tenant)
			}
			plan.Rows = append(plan.Rows, row)
		}
	}
	return plan
}

// describeTables names the tables of a class in an error message.
func describeTables(tables []int64) string {
	if len(tables) == 0 {
		return "tables that no rule names"
	}
	return "table group " + strings.Trim(fmt.Sprint(tables), "[]")
}

// Table formats the plan as a text table, without conflicts and counts of retained data. A line below
// the table names the tenants that would have no engine or controller.
func (plan *ChangePlan) Table() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TEAM\tTABLES\tRULES\tTHREADS NOW\tTHREADS THEN\tENGINES LOST\t"+
		"CONTROLLERS OUTSIDE\tPURGED ON")
	list := func(l []string) string {
		if len(l) == 0 {
			return "-"
		}
		return strings.Join(l, ",")
	}
	for _, r := range plan.Rows {
		tables := "others"
		if len(r.Tables) > 0 {
			tables = strings.Trim(fmt.Sprint(r.Tables), "[]")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f %%\t%.1f %%\t%s\t%s\t%s\n", r.Tenant, tables, list(r.Rules),
			100*r.ShareBefore, 100*r.ShareAfter,
			list(r.EnginesOutside), list(r.ControllersOutside), list(r.PurgeOn))
	}
	w.Flush()
	if len(plan.TenantsWithoutSite) > 0 {
		fmt.Fprintf(&text, "no engine or controller would be left for: %s\n",
			strings.Join(plan.TenantsWithoutSite, ", "))
	}
	return text.String()
}

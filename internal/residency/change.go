package residency

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"railrelay.dev/railrelay/internal/fleet"
)

// ValidateRules finds what is wrong with rules: names, sites and teams that there are not, and
// rules for the same tables that leave nothing. nil for sites or teams: any will do.
func ValidateRules(rules []Rule, sites, teams []string) (flaws []*Flaw) {
	wrong := func(i int, field, form string, args ...any) {
		flaws = append(flaws, &Flaw{i, field, fmt.Sprintf(form, args...)})
	}
	names := map[string]bool{}
	for i, r := range rules {
		switch {
		case r.Name == "":
			wrong(i, "name", "is missing")
		case names[r.Name]:
			wrong(i, "name", "a second rule is called %q", r.Name)
		}
		names[r.Name] = true
		switch {
		case r.Team == "":
			wrong(i, "team", "is missing: a rule binds one team")
		case teams != nil && !slices.Contains(teams, r.Team):
			wrong(i, "team", "no team is called %q", r.Team)
		}
		if len(r.Engines) == 0 && r.Controllers == nil && r.Keep == nil {
			wrong(i, "engines", "is missing: the rule binds nothing to a site")
		}
		if r.Controllers != nil && len(r.Controllers) == 0 {
			wrong(i, "controllers", "is empty: no controller could take a query")
		}
		for _, l := range []struct {
			field string
			sites []string
		}{{"engines", r.Engines}, {"controllers", r.Controllers}, {"keep", r.Keep}, {"emergency.sites", r.Emergency.Sites}} {
			for j, s := range l.sites {
				if sites != nil && !slices.Contains(sites, s) {
					wrong(i, fmt.Sprintf("%s[%d]", l.field, j), "no location is called %q", s)
				}
				if l.field == "emergency.sites" && slices.Contains(r.Engines, s) {
					wrong(i, fmt.Sprintf("%s[%d]", l.field, j), "%q is inside anyway", s)
				}
			}
		}
		for j, t := range r.Tables {
			if t < 0 {
				wrong(i, fmt.Sprintf("tables[%d]", j), "%d is no table group", t)
			}
		}
		switch e := r.Emergency; {
		case len(e.Sites) > 0 && e.After <= 0:
			wrong(i, "emergency.after", "is missing: how long must all inside be lost")
		case len(e.Sites) == 0 && e.After > 0:
			wrong(i, "emergency.sites", "is missing: which further sites are allowed")
		case len(e.Sites) > 0 && len(r.Engines) == 0:
			wrong(i, "emergency", "widens nothing: the rule names no engines")
		}
	}
	if len(flaws) > 0 {
		return flaws // what is wrong by itself needn't be told as a clash, too
	}
	for team, l := range bindTables(rules, nil) {
		for _, tables := range tableClasses(l) {
			v := evaluateRules(l, tables, true, nil)
			if v.Conflict == nil {
				continue
			}
			last := v.Conflict.Rules[len(v.Conflict.Rules)-1]
			i := slices.IndexFunc(rules, func(r Rule) bool { return r.Name == last })
			if !slices.ContainsFunc(flaws, func(f *Flaw) bool { return f.RuleIndex == i }) {
				wrong(i, v.Conflict.Role+"s", "rules %s leave team %q no %s for %s", strings.Join(v.Conflict.Rules, " and "), team,
					v.Conflict.Role, describeTables(tables))
			}
		}
	}
	slices.SortFunc(flaws, func(a, b *Flaw) int { return a.RuleIndex - b.RuleIndex })
	return flaws
}

// classes are the tables that rules may treat unlike each other: each that is named
// alone, and all others together, as none.
func tableClasses(rules ...[]*boundRule) [][]int64 {
	var named []int64
	for _, l := range rules {
		for _, b := range l {
			for t := range b.tables {
				named = append(named, t)
			}
		}
	}
	all := [][]int64{nil}
	for _, t := range sorted(named) {
		all = append(all, []int64{t})
	}
	return all
}

// Tightening is a boundary that a change makes narrower.
type Tightening struct {
	Team   string   `json:"team"`
	Rules  []string `json:"rules"`            // that draw it from now on
	Tables []int64  `json:"tables,omitempty"` // none: all that no rule names
	// EngineSites are the sites inside from now on; nil: all. What runs elsewhere must
	// have ended before the change is settled, if Ends.
	EngineSites        []string `json:"engines"`
	EndsRunningQueries bool     `json:"ends"`
	// PurgeScope is what has to go: what is kept outside. nil: nothing can be kept there.
	PurgeScope *fleet.Scope `json:"purge,omitempty"`
}

// narrower: something of a is not in b; nil is everywhere.
func isNarrower(a, b []string) bool {
	if b == nil {
		return false
	}
	return a == nil || slices.ContainsFunc(a, func(s string) bool { return !slices.Contains(b, s) })
}

// FindTightenings tells which boundaries other rules make narrower. Wider ones need nothing:
// they are left out. Results of which the tables can't be told belong to each of a
// team's purges.
func FindTightenings(old, next []Rule, bindings []fleet.Binding) (l []Tightening) {
	before, after := bindTables(old, bindings), bindTables(next, bindings)
	for _, team := range teamNames(next) { // a team without rules from now on is narrower nowhere
		for _, tables := range tableClasses(before[team], after[team]) {
			a, b := evaluateRules(before[team], tables, true, nil), evaluateRules(after[team], tables, true, nil)
			t := Tightening{Team: team, Rules: b.RuleNames, Tables: tables, EngineSites: b.EngineSites, EndsRunningQueries: isNarrower(a.EngineSites, b.EngineSites)}
			if isNarrower(a.RetentionSites, b.RetentionSites) {
				t.PurgeScope = &fleet.Scope{Team: team, Tables: tables, OutsideSites: b.RetentionSites}
			}
			if !t.EndsRunningQueries && t.PurgeScope == nil && !isNarrower(a.ControllerSites, b.ControllerSites) {
				continue
			}
			if i := slices.IndexFunc(l, func(x Tightening) bool { return len(tables) > 0 && len(x.Tables) > 0 && t.canMerge(x) }); i >= 0 {
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

// PurgeScopes is what of a change of rules has to be purged before it is settled.
func PurgeScopes(old, next []Rule, bindings []fleet.Binding) (l []fleet.Scope) {
	for _, t := range FindTightenings(old, next, bindings) {
		if t.PurgeScope != nil {
			l = append(l, *t.PurgeScope)
		}
	}
	return l
}

func (t Tightening) canMerge(x Tightening) bool {
	same := t.Team == x.Team && t.EndsRunningQueries == x.EndsRunningQueries && slices.Equal(t.Rules, x.Rules) && slices.Equal(t.EngineSites, x.EngineSites)
	if !same || t.PurgeScope == nil || x.PurgeScope == nil {
		return same && t.PurgeScope == nil && x.PurgeScope == nil
	}
	return slices.Equal(t.PurgeScope.OutsideSites, x.PurgeScope.OutsideSites)
}

func teamNames(rules []Rule) (l []string) {
	for _, r := range rules {
		if !slices.Contains(l, r.Team) {
			l = append(l, r.Team)
		}
	}
	return l
}

// PlanInput is what a plan is made against.
type PlanInput struct {
	Engines     []Engine
	Controllers []fleet.Member
	Bindings    []fleet.Binding
	Retained    []RetainedData // as far as known
}

// Engine is one of the list's, with the threads that it has.
type Engine struct {
	Name, Site string
	Threads    float64
}

// RetainedData is what a controller keeps of a team.
type RetainedData struct {
	Controller, Team string
	Counts           fleet.InvalidationCounts
}

// ChangePlan is what a change of rules would do. Shares are of all engines' threads, 0 to 1.
type ChangePlan struct {
	Rows             []PlanRow `json:"rows"`
	TeamsWithoutSite []string  `json:"none"` // teams that would have no engine for some of their tables
}

// PlanRow is one team's tables that are treated alike.
type PlanRow struct {
	Team               string                   `json:"team"`
	Tables             []int64                  `json:"tables,omitempty"` // none: all that no rule names
	Rules              []string                 `json:"rules"`
	ShareBefore        float64                  `json:"share_before"`
	ShareAfter         float64                  `json:"share_after"`
	EnginesOutside     []string                 `json:"engines_outside"`     // that it has now and would lose
	ControllersOutside []string                 `json:"controllers_outside"` // that may take it now and could no longer
	PurgeOn            []string                 `json:"purge_on"`            // controllers on which what is kept would go
	RetainedOutside    fleet.InvalidationCounts `json:"kept_outside"`        // of the whole team, on those
	Conflict           string                   `json:"conflict,omitempty"`
}

// PlanChange tells what other rules would do, before they are applied.
func PlanChange(old, next []Rule, w PlanInput) *ChangePlan {
	before, after := bindTables(old, w.Bindings), bindTables(next, w.Bindings)
	o := &ChangePlan{Rows: []PlanRow{}, TeamsWithoutSite: []string{}}
	total := 0.0
	for _, e := range w.Engines {
		total += e.Threads
	}
	total = max(total, 1e-9)
	for _, team := range teamNames(slices.Concat(old, next)) {
		for _, tables := range tableClasses(before[team], after[team]) {
			a, b := evaluateRules(before[team], tables, true, nil), evaluateRules(after[team], tables, true, nil)
			if !a.RuleApplies && !b.RuleApplies {
				continue
			}
			row := PlanRow{Team: team, Tables: tables, Rules: b.RuleNames, EnginesOutside: []string{}, ControllersOutside: []string{}, PurgeOn: []string{}}
			if b.Conflict != nil {
				row.Conflict = b.Conflict.Error()
			}
			for _, e := range w.Engines {
				if a.AllowsEngineSite(e.Site) {
					row.ShareBefore += e.Threads / total
				}
				if b.AllowsEngineSite(e.Site) {
					row.ShareAfter += e.Threads / total
				} else if a.AllowsEngineSite(e.Site) {
					row.EnginesOutside = append(row.EnginesOutside, e.Name)
				}
			}
			takers := 0
			for _, m := range w.Controllers {
				if m.Forgotten {
					continue
				}
				if includes(b.ControllerSites, m.Site) {
					takers++
				} else if includes(a.ControllerSites, m.Site) {
					row.ControllersOutside = append(row.ControllersOutside, m.Name)
				}
				if includes(a.RetentionSites, m.Site) && !includes(b.RetentionSites, m.Site) {
					row.PurgeOn = append(row.PurgeOn, m.Name)
					for _, k := range w.Retained {
						if k.Controller == m.Name && k.Team == team {
							row.RetainedOutside.Add(k.Counts)
						}
					}
				}
			}
			if none := row.ShareAfter == 0 || takers == 0; none && !slices.Contains(o.TeamsWithoutSite, team) {
				o.TeamsWithoutSite = append(o.TeamsWithoutSite, team)
			}
			o.Rows = append(o.Rows, row)
		}
	}
	return o
}

func describeTables(tables []int64) string {
	if len(tables) == 0 {
		return "tables that no rule names"
	}
	return "table group " + strings.Trim(fmt.Sprint(tables), "[]")
}

// Table is the outlook for people.
func (o *ChangePlan) Table() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TEAM\tTABLES\tRULES\tTHREADS NOW\tTHREADS THEN\tENGINES LOST\tCONTROLLERS OUTSIDE\tPURGED ON")
	list := func(l []string) string {
		if len(l) == 0 {
			return "-"
		}
		return strings.Join(l, ",")
	}
	for _, r := range o.Rows {
		tables := "others"
		if len(r.Tables) > 0 {
			tables = strings.Trim(fmt.Sprint(r.Tables), "[]")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f %%\t%.1f %%\t%s\t%s\t%s\n", r.Team, tables, list(r.Rules), 100*r.ShareBefore, 100*r.ShareAfter,
			list(r.EnginesOutside), list(r.ControllersOutside), list(r.PurgeOn))
	}
	w.Flush()
	if len(o.TeamsWithoutSite) > 0 {
		fmt.Fprintf(&text, "no engine or controller would be left for: %s\n", strings.Join(o.TeamsWithoutSite, ", "))
	}
	return text.String()
}

package residency

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"railrelay.dev/railrelay/internal/fleet"
)

func newCore(site string, rules ...Rule) *Core {
	c := New(site)
	c.SetRules(rules)
	return c
}

func TestQueryMustComplyWithAllRules(t *testing.T) {
	c := newCore("linz",
		Rule{Name: "a", Tenant: "bank", Tables: []int64{1}, EngineSites: []string{"linz", "wien"},
			RetentionSites: []string{"linz"}},
		Rule{Name: "b", Tenant: "bank", Tables: []int64{2}, EngineSites: []string{"wien", "graz"}},
		Rule{Name: "c", Tenant: "bank", Tables: []int64{3}, EngineSites: []string{"graz"}})
	if v := c.Decide("bank", []int64{1}, true); !v.MayServe || !v.MayRetain ||
		!slices.Equal(v.EngineSites, []string{"linz", "wien"}) {
		t.Fatalf("%+v", v)
	}
	if v := c.Decide("bank", []int64{1, 2}, true); v.MayServe || v.MayRetain || !v.AllowsEngineSite("wien") ||
		v.AllowsEngineSite("linz") {
		t.Fatalf("%+v", v)
	}
	if v := c.Decide("bank", []int64{1, 3}, true); v.Conflict == nil ||
		!slices.Equal(v.Conflict.Rules, []string{"a", "c"}) || v.AllowsEngineSite("graz") {
		t.Fatalf("%+v", v)
	}
	if v := c.Decide("bank", nil, false); v.Conflict == nil {
		t.Fatalf("unknown tables must count as all tables: %+v", v)
	}
	if v := c.Decide("bank", []int64{9}, true); v.RuleApplies || !v.MayServe || !v.AllowsEngineSite("anywhere") {
		t.Fatalf("%+v", v)
	}
	if c.HasRules("other") || !c.Decide("other", []int64{1}, true).MayServe {
		t.Fatal("a rule applies to another team")
	}
}

func TestLoadBindsDerivedTables(t *testing.T) {
	c := newCore("linz", Rule{Name: "a", Tenant: "bank", Tables: []int64{1}, EngineSites: []string{"linz"},
		FollowsLoads: true},
		Rule{Name: "b", Tenant: "bank", Tables: []int64{7}, EngineSites: []string{"wien"}})
	need, err := c.MissingBinding("bank", []int64{1, 5}, []int64{2, 1}, true)
	if want := (&fleet.Binding{Tenant: "bank", Tables: []int64{2}, SourceTables: []int64{1}}); err != nil ||
		!cmp.Equal(need, want) {
		t.Fatal(cmp.Diff(need, want), err)
	}
	if need, err := c.MissingBinding("bank", []int64{7}, []int64{2}, true); need != nil || err != nil {
		t.Fatal(need, err)
	}
	if _, err := c.MissingBinding("bank", nil, nil, false); err == nil {
		t.Fatal("a load with unknown tables needs no binding")
	}
	old := c.Generation()
	// the source of the second binding is bound only by the third
	c.SetFleetView(&fleet.View{Bindings: []fleet.Binding{
		{Tenant: "bank", Tables: []int64{2}, SourceTables: []int64{1}},
		{Tenant: "bank", Tables: []int64{4}, SourceTables: []int64{3}},
		{Tenant: "bank", Tables: []int64{3}, SourceTables: []int64{2}},
		{Tenant: "other", Tables: []int64{8}, SourceTables: []int64{1}}}})
	if c.Generation() == old {
		t.Fatal("outdated decisions stay valid: the generation is the same")
	}
	for _, n := range []int64{2, 3, 4} {
		if v := c.Decide("bank", []int64{n}, true); v.AllowsEngineSite("wien") || !v.AllowsEngineSite("linz") {
			t.Fatalf("%d: %+v", n, v)
		}
	}
	if v := c.Decide("bank", []int64{8}, true); v.RuleApplies {
		t.Fatal("a load of another team binds the table")
	}
	if need, _ := c.MissingBinding("bank", []int64{2}, []int64{3}, true); need != nil {
		t.Fatal("the table is bound already", need)
	}
}

func TestEmergencyWidensEngineSitesOnly(t *testing.T) {
	c := newCore("linz", Rule{Name: "a", Tenant: "bank", EngineSites: []string{"linz"},
		Emergency: Emergency{Sites: []string{"wien"}, After: time.Minute}})
	want := []fleet.EmergencyRule{{Name: "a", Tenant: "bank", Sites: []string{"linz"}, After: time.Minute}}
	if got := c.EmergencyRules(); !cmp.Equal(got, want) {
		t.Fatal(got)
	}
	c.SetFleetView(&fleet.View{Emergencies: map[string]uint64{"a": 7}})
	v := c.Decide("bank", nil, true)
	if !v.AllowsEngineSite("wien") || v.AllowsEngineSite("graz") || slices.Contains(v.ControllerSites, "wien") ||
		slices.Contains(v.RetentionSites, "wien") {
		t.Fatalf("%+v", v)
	}
	for i := range maxCrossings + 5 {
		if !c.RecordAttempt(fmt.Sprint(i), "bank", &v, "wien") ||
			c.RecordAttempt(fmt.Sprint(i), "bank", &v, "linz") {
			t.Fatal("only an attempt outside the rule's sites is a crossing")
		}
	}
	if l, n := c.RecentCrossings(); len(l) != maxCrossings || n != maxCrossings+5 || l[0].Query != "5" {
		t.Fatal(len(l), n, l[0])
	}
	c.SetFleetView(&fleet.View{})
	if v := c.Decide("bank", nil, true); v.AllowsEngineSite("wien") ||
		!c.IsOutsideRules("bank", nil, true, "wien") {
		t.Fatalf("%+v", v)
	}
	if s := ScopeAfterEmergency(c.rules, "a"); s == nil || s.Tenant != "bank" ||
		!slices.Equal(s.OutsideSites, []string{"linz"}) {
		t.Fatalf("%+v", s)
	}
}

func TestFindTighteningsAndPlanChange(t *testing.T) {
	old := []Rule{{Name: "a", Tenant: "bank", Tables: []int64{1}, EngineSites: []string{"linz", "wien"},
		FollowsLoads: true}}
	next := []Rule{{Name: "a", Tenant: "bank", Tables: []int64{1}, EngineSites: []string{"wien"},
		RetentionSites: []string{}, FollowsLoads: true}}
	bindings := []fleet.Binding{{Tenant: "bank", Tables: []int64{4}, SourceTables: []int64{1}}}
	got := FindTightenings(old, next, bindings)
	if len(got) != 1 || !slices.Equal(got[0].Tables, []int64{1, 4}) || !got[0].EndsRunningQueries ||
		got[0].PurgeScope == nil ||
		len(got[0].PurgeScope.OutsideSites) > 0 || !slices.Equal(got[0].PurgeScope.Tables, []int64{1, 4}) {
		t.Fatalf("%+v", got)
	}
	if got := FindTightenings(next, old, bindings); len(got) > 0 {
		t.Fatalf("wider rules are reported as tightened: %+v", got)
	}
	o := PlanChange(old, []Rule{{Name: "a", Tenant: "bank", Tables: []int64{1}, EngineSites: []string{"graz"}}},
		PlanInput{Bindings: bindings,
			Engines:     []Engine{{"e1", "linz", 30}, {"e2", "ulm", 10}},
			Controllers: []fleet.Member{{Name: "c1", Site: "linz"}, {Name: "c2", Site: "graz"}},
			Retained: []RetainedData{{"c1", "bank", fleet.InvalidationCounts{Results: 3}},
				{"c2", "bank", fleet.InvalidationCounts{Results: 4}}}})
	row := o.Rows[0]
	if !slices.Equal(o.TenantsWithoutSite, []string{"bank"}) || row.ShareBefore != 0.75 || row.ShareAfter != 0 ||
		!slices.Equal(row.EnginesOutside, []string{"e1"}) ||
		!slices.Equal(row.PurgeOn, []string{"c1"}) || row.RetainedOutside.Results != 3 ||
		!strings.Contains(o.Table(), "75.0 %") {
		t.Fatalf("%+v\n%s", o, o.Table())
	}
}

func TestValidateRulesReportsEachError(t *testing.T) {
	sites, tenants := []string{"linz", "wien"}, []string{"bank"}
	for want, rules := range map[string][]Rule{
		`no location is called "graz"`: {{Name: "a", Tenant: "bank", EngineSites: []string{"linz", "graz"}}},
		`no team is called "shop"`:     {{Name: "a", Tenant: "shop", EngineSites: []string{"linz"}}},
		"rules a and b leave": {{Name: "a", Tenant: "bank", EngineSites: []string{"linz"}},
			{Name: "b", Tenant: "bank", Tables: []int64{1}, EngineSites: []string{"wien"}}},
		"binds nothing": {{Name: "a", Tenant: "bank"}},
		"engine sites already": {{Name: "a", Tenant: "bank", EngineSites: []string{"linz"},
			Emergency: Emergency{[]string{"linz"}, 1}}},
		"must all engine sites": {{Name: "a", Tenant: "bank", EngineSites: []string{"linz"},
			Emergency: Emergency{Sites: []string{"wien"}}}},
	} {
		if ruleErrors := ValidateRules(rules, sites, tenants); len(ruleErrors) != 1 ||
			!strings.Contains(ruleErrors[0].Error(), want) {
			t.Errorf("%q: %v", want, ruleErrors)
		}
	}
	apart := []Rule{{Name: "a", Tenant: "bank", Tables: []int64{1}, EngineSites: []string{"linz"}},
		{Name: "b", Tenant: "bank", Tables: []int64{2}, EngineSites: []string{"wien"}}}
	if ruleErrors := ValidateRules(apart, sites, tenants); len(ruleErrors) > 0 {
		t.Error("rules for different tables are reported as a conflict", ruleErrors)
	}
}

// For any rules, no decision allows an engine site that an applicable rule forbids, and a boundary
// that is not reported as tightened is not narrower than before.
func TestDecisionsNeverLeaveRuleSites(t *testing.T) {
	sites := []string{"a", "b", "c"}
	some := rapid.SliceOfDistinct(rapid.SampledFrom(sites), rapid.ID[string])
	rule := rapid.Custom(func(t *rapid.T) Rule {
		r := Rule{Tenant: "t",
			Tables:      rapid.SliceOfDistinct(rapid.Int64Range(0, 3), rapid.ID[int64]).Draw(t, "tables"),
			EngineSites: some.Draw(t, "engines"), FollowsLoads: rapid.Bool().Draw(t, "follows")}
		if rapid.Bool().Draw(t, "sets keep") {
			r.RetentionSites = some.Draw(t, "keep")
		}
		return r
	})
	drawRules := func(t *rapid.T, name string) (l []Rule) {
		l = rapid.SliceOfN(rule, 0, 4).Draw(t, name)
		for i := range l {
			l[i].Name = fmt.Sprint(name, i)
		}
		return l
	}
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawRules(t, "old"), drawRules(t, "new")
		a, b := newCore("a", old...), newCore("a", next...)
		tables := rapid.SliceOfNDistinct(rapid.Int64Range(0, 4), 0, 3, rapid.ID[int64]).Draw(t, "on")
		known := rapid.Bool().Draw(t, "known")
		site := rapid.SampledFrom(sites).Draw(t, "site")
		v := b.Decide("t", tables, known)
		for _, r := range next {
			applies := !known || len(r.Tables) == 0 ||
				slices.ContainsFunc(tables, func(n int64) bool { return slices.Contains(r.Tables, n) })
			if applies && len(r.EngineSites) > 0 && !slices.Contains(r.EngineSites, site) && v.AllowsEngineSite(site) {
				t.Fatalf("%+v forbids %s: %+v", r, site, v)
			}
		}
		if len(tables) != 1 || !known {
			return
		}
		reported := slices.ContainsFunc(FindTightenings(old, next, nil), func(x Tightening) bool {
			return slices.Equal(x.Tables, tables) || slices.Contains(x.Tables, tables[0]) || len(x.Tables) == 0
		})
		if was := a.Decide("t", tables, true); !reported && was.AllowsEngineSite(site) &&
			!v.AllowsEngineSite(site) {
			t.Fatalf("a tightening is not reported: %v to %v", was, v)
		}
	})
}

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261202") // the same cases in each run
	m.Run()
}

func TestErrorsHaveRemedies(t *testing.T) {
	for _, err := range Errors() {
		if err.Error() == "" || err.Remedy() == "" || err.Error() == err.Remedy() {
			t.Errorf("%T", err)
		}
	}
}

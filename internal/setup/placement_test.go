package setup

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/residency"
)

const placementText = `
placement:
  - {name: a, team: linz, tables: [3], engines: [here], keep: [], follows: true, emergency: {sites: [there], after: 30s}}
  - {name: b, team: linz, engines: [here, there]}
`

func parseWithPlacement(t *testing.T, more string) (*Setup, error) {
	text, err := os.ReadFile("../../deploy/fleet/c0.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return Parse("c0.yaml", []byte(strings.Replace(string(text), "locations: [here]",
		"locations: [here, there]", 1)+more))
}

func TestPlacementIsParsedAndChecked(t *testing.T) {
	s, err := parseWithPlacement(t, placementText)
	if err != nil {
		t.Fatal(err)
	}
	policy, watched := s.BasePolicy()
	rules := policy.Rules.([]residency.Rule)
	if a := rules[0]; a.RetentionSites == nil || rules[1].RetentionSites != nil || !a.FollowsLoads ||
		len(watched) != 1 || watched[0].After != 30*time.Second {
		t.Fatalf("%+v %+v", rules, watched)
	}
	for _, c := range []struct{ old, new, field, why string }{
		{"engines: [here],", "engines: [hre],", "placement[0].engines[0]", "no location"},
		{"{name: b, team: linz", "{name: b, team: lnz", "placement[1].team", "no team"},
		{"name: b", "name: a", "placement[1].name", "a second rule"},
		{"engines: [here, there]", "engines: [there]", "placement[1].engines", "rules a and b leave team"},
		{"after: 30s", "after: 0s", "placement[0].emergency.after", "is missing"},
		{"follows: true", "follow: true", "follow", "unknown field"},
	} {
		_, err := parseWithPlacement(t, strings.Replace(placementText, c.old, c.new, 1))
		var f *FieldError
		if !errors.As(err, &f) || f.Field != c.field || !strings.Contains(f.Reason, c.why) || f.Line == 0 ||
			f.File != "c0.yaml" || f.Excerpt == "" {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	alone, err := os.ReadFile(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse("alone", append(alone, placementText...)); err == nil ||
		!strings.Contains(err.Error(), "no fleet part") {
		t.Error(err)
	}
}

func TestPolicyIsCheckedAgainstTheSetup(t *testing.T) {
	own, err := parseWithPlacement(t, placementText)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("../../deploy/fleet/policy-placement.yaml")
	if err != nil {
		t.Fatal(err)
	}
	text = append(text,
		"fairness: {teams: [{name: linz, weight: 5}, {name: others, weight: 1}]}\nvoters: [{name: c0, address: 'h:1'}]\n"...)
	p, watched, voters, err := ParsePolicy("p.yaml", text, own)
	if err != nil {
		t.Fatal(err)
	}
	if rules := p.Rules.([]residency.Rule); len(rules) != 1 || rules[0].Name != "valley-only" ||
		len(watched) > 0 ||
		p.Settings["group.0.target"] != "2000" || len(p.Tenants.Tenants) != 2 || p.Tenants.Tenants[0].Weight != 5 ||
		voters[0] != "c0=h:1" {
		t.Fatalf("%+v %v", p, voters)
	}
	if own.Groups[0].Objective != Duration(time.Second) || len(own.Placement) != 2 ||
		len(own.Fairness.Tenants) != 3 {
		t.Fatal("ParsePolicy changed the set-up")
	}
	p, watched, _, err = ParsePolicy("p.yaml", nil, own)
	if err != nil || len(p.Rules.([]residency.Rule)) != 2 || len(watched) != 1 {
		t.Fatal("an omitted setting doesn't have the value in the set-up", err)
	}
	if p, _, _, err := ParsePolicy("p.yaml", []byte("placement: []"), own); err != nil ||
		len(p.Rules.([]residency.Rule)) > 0 {
		t.Fatal("an empty list doesn't remove all rules", err)
	}
	for text, want := range map[string]string{
		"groups: [{name: lookup, threads: 4000}]":                              "p.yaml:1: groups[0].threads: 4000 is greater than 1024",
		"groups:\n - {name: nope, value: 3}":                                   "p.yaml:2: groups[0].name: no group",
		"groups:\n - {name: lookup, effect: x}":                                "unknown field",
		"shares: {over: 0.5}":                                                  "no customers",
		"fairness: {teams: [{name: x, weight: 1}, {name: others, weight: 1}]}": "placement[0].team: no team",
		"placement:\n - {name: x, team: linz, engines: [mars]}":                "p.yaml:2: placement[0].engines[0]: no location",
		"voters: [{name: a, address: 'h:1'}, {name: b, address: 'h:2'}]":       "2 voters",
		"groups: [":  "p.yaml",
		"listen: :1": "unknown field",
	} {
		_, _, _, err := ParsePolicy("p.yaml", []byte(text), own)
		var unfit *Unfit
		if !errors.As(err, &unfit) || unfit.Remedy() == "" || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

package setup

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/residency"
)

// Placed is a rule of placement: which tables of a team are bound, inside which of the
// engines' locations. A team is one of fairness or a customer of shares.
type PlacementRule struct {
	Name        string   `yaml:"name"`
	Team        string   `yaml:"team"`
	Tables      []int64  `yaml:"tables"`      // table groups: all of the team's
	Engines     []string `yaml:"engines"`     // whose engines may work on them: all
	Controllers []string `yaml:"controllers"` // whose controllers may take them: as engines
	// Keep is where results and cached answers may be kept: as controllers; [] is nowhere.
	Keep      []string           `yaml:"keep"`
	Follows   bool               `yaml:"follows"` // a load from them into other tables binds those, too
	Emergency PlacementEmergency `yaml:"emergency"`
}

// PlacedEmergency allows further sites' engines.
type PlacementEmergency struct {
	Sites []string `yaml:"sites"`
	After Duration `yaml:"after"` // all engines inside are lost for so long
}

func (x *Setup) placementRules() (l []residency.Rule) {
	for _, p := range x.Placement {
		l = append(l, residency.Rule{Name: p.Name, Team: p.Team, Tables: p.Tables, Engines: p.Engines, Controllers: p.Controllers,
			Keep: p.Keep, Follows: p.Follows, Emergency: residency.Emergency{Sites: p.Emergency.Sites, After: time.Duration(p.Emergency.After)}})
	}
	return l
}

// teamNames are all that a query can be counted to.
func (x *Setup) teamNames() []string {
	names := []string{}
	var walk func(l []Team)
	walk = func(l []Team) {
		for _, t := range l {
			if len(t.Teams) == 0 {
				names = append(names, t.Name)
			}
			walk(t.Teams)
		}
	}
	if x.Fairness != nil {
		walk(x.Fairness.Teams)
	}
	if x.Shares != nil {
		for _, who := range x.Shares.Customers {
			names = append(names, who.Name)
		}
	}
	return names
}

func (c *checker) checkPlacement(x *Setup) {
	if len(x.Placement) == 0 {
		return
	}
	if x.Fleet == nil {
		c.addError("placement", "there is no fleet part: what loads bind and when emergencies begin stands in its record")
	}
	for i, p := range x.Placement {
		if p.Name != "" {
			c.checkName(fmt.Sprintf("placement[%d].name", i), p.Name)
		}
	}
	sites := x.Engines.Locations
	if len(sites) == 0 {
		sites = []string{"here"}
	}
	teams := x.teamNames()
	if x.IsControlProcess() { // which there are is known to controllers only
		sites, teams = nil, nil
	}
	for _, f := range residency.ValidateRules(x.placementRules(), sites, teams) {
		c.addError(fmt.Sprintf("placement[%d].%s", f.RuleIndex, f.Field), "%s", f.Reason)
	}
}

// Policy is what of a set-up the whole fleet shares, as a file of `fleet apply` says it.
// What the file leaves out is as each controller's own set-up has it.
type Policy struct {
	Fairness  *PolicyTeams    `yaml:"fairness"`
	Shares    *PolicyShares   `yaml:"shares"`
	Groups    []GroupLimits   `yaml:"groups"`
	Placement []PlacementRule `yaml:"placement"`
	Voters    []Voter         `yaml:"voters"` // who votes from now on; left out: as before
}

// PolicyTeams are the teams, all of them.
type PolicyTeams struct {
	Default     string   `yaml:"default"`
	AgeingLimit Duration `yaml:"age"`
	Teams       []Team   `yaml:"teams"`
}

// PolicyShares are customers' shares; who isn't named keeps its own.
type PolicyShares struct {
	OverShareValue *float64   `yaml:"over"`
	Customers      []Customer `yaml:"customers"`
}

// GroupLimits are what the fleet may change of a resource group. What is left out stays.
type GroupLimits struct {
	Name           string   `yaml:"name"`
	Threads        float64  `yaml:"threads"`
	Value          float64  `yaml:"value"`
	Target         Duration `yaml:"target"`
	Timeout        Duration `yaml:"timeout"`
	Stretch        *float64 `yaml:"stretch"`
	LateValueShare *float64 `yaml:"late_share"`
}

// Unfit is a policy that this process can't take. It unwraps to Faults.
type Unfit struct {
	File   string
	Errors []error
}

func (u *Unfit) Error() string { return errors.Join(u.Errors...).Error() }

// Remedy says what an operator can do.
func (u *Unfit) Remedy() string {
	return "mend the policy file, or the set-up of the controller that says so, and apply it again"
}

func (u *Unfit) Unwrap() []error { return u.Errors }

// Errors is one sample of each error that a fleet's operator is told by this package.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{&Unfit{"policy.yaml", []error{&FieldError{File: "policy.yaml", Line: 3, Field: "groups[0].name", Reason: `no group is called "lookup"`}}}}
}

// Base is the policy that the set-up itself holds: version 0, before any change.
func (x *Setup) BasePolicy() (*controller.Policy, []fleet.EmergencyRule) {
	rules := x.placementRules()
	return &controller.Policy{Tenants: x.FairQueueConfig(), Settings: x.settings(), Rules: rules},
		residency.EmergencyRules(rules)
}

// ParsePolicy reads a policy's text, strictly, and checks it against a controller's own
// set-up, which is not changed. What is wrong is an *Unfit. Voters are name=address; none:
// as before.
func ParsePolicy(file string, text []byte, own *Setup) (*controller.Policy, []fleet.EmergencyRule, []string, error) {
	x, p, err := own.mergePolicy(file, text)
	if err != nil {
		return nil, nil, nil, err
	}
	policy, watched := x.BasePolicy()
	return policy, watched, p.voters(), nil
}

// voters are those that a policy names, as name=address.
func (p *Policy) voters() (l []string) {
	for _, v := range p.Voters {
		l = append(l, v.Name+"="+v.Address)
	}
	return l
}

// with is this set-up with what a policy says in it.
func (x *Setup) mergePolicy(file string, text []byte) (*Setup, *Policy, error) {
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, nil, &Unfit{file, []error{yamlError(file, err)}}
	}
	p := &Policy{}
	if err := yaml.UnmarshalWithOptions(text, p, yaml.Strict()); err != nil && !(errors.Is(err, io.EOF) && len(bytes.TrimSpace(text)) == 0) {
		return nil, nil, &Unfit{file, []error{yamlError(file, err)}}
	}
	own := x
	if x.IsControlProcess() {
		own = x.withNamesFrom(p)
	}
	c := &checker{file: file, text: text, tree: tree}
	s := *own
	c.mergePolicy(p, own, &s)
	if len(c.errors) > 0 {
		return nil, nil, &Unfit{file, c.errors}
	}
	return &s, p, nil
}

// policy checks a policy against a controller's own set-up, and makes of both the next.
func (c *checker) mergePolicy(p *Policy, own, s *Setup) {
	switch f := p.Fairness; {
	case f == nil:
	case own.Fairness == nil:
		c.addError("fairness", "this controller has no teams")
	default:
		next := *own.Fairness
		next.Teams, next.Default, next.AgeingLimit = f.Teams, cmp.Or(f.Default, next.Default), cmp.Or(f.AgeingLimit, next.AgeingLimit)
		s.Fairness = &next
		if len(next.Teams) == 0 {
			c.addError("fairness.teams", "is missing: the policy names all teams there are")
		}
		c.checkTeams(next.Teams, "fairness.teams")
		c.checkFairness(&next)
	}
	switch x := p.Shares; {
	case x == nil:
	case own.Shares == nil:
		c.addError("shares", "this controller has no customers")
	default:
		next := *own.Shares
		next.Customers = slices.Clone(next.Customers)
		s.Shares = &next
		if x.OverShareValue != nil {
			next.OverShareValue = *x.OverShareValue
			c.optionalNumber("shares.over", next.OverShareValue, 0, 1)
		}
		for i, who := range x.Customers {
			at := fmt.Sprintf("shares.customers[%d].", i)
			c.requiredNumber(at+"rate", who.Rate, 1e-9, 1e9)
			j := slices.IndexFunc(next.Customers, func(y Customer) bool { return y.Name == who.Name })
			if j < 0 {
				c.addError(at+"name", "no customer is called %q here", who.Name)
				continue
			}
			next.Customers[j].Rate = who.Rate
		}
	}
	c.mergeGroupLimits(p.Groups, s)
	if p.Placement != nil {
		s.Placement = p.Placement
	}
	c.checkPlacement(s) // its teams and sites may be gone even if it is left out
	if n := len(p.Voters); n > 0 && (n%2 == 0 || n > maxVoters) {
		c.addError("voters", "%d voters, and there must be 3, 5 or 7, or 1 for a trial", n)
	}
	names := map[string]bool{}
	for i, v := range p.Voters {
		at := fmt.Sprintf("voters[%d].", i)
		c.checkName(at+"name", v.Name)
		c.checkAddress(at+"address", v.Address)
		switch {
		case strings.Contains(v.Name, "="):
			c.addError(at+"name", "%q: a voter's name has no =", v.Name)
		case names[v.Name]:
			c.addError(at+"name", "a second voter is called %q", v.Name)
		}
		names[v.Name] = true
	}
}

func (c *checker) mergeGroupLimits(l []GroupLimits, s *Setup) {
	s.Groups = slices.Clone(s.Groups)
	seen := map[string]bool{}
	for i, g := range l {
		at := fmt.Sprintf("groups[%d].", i)
		j := slices.IndexFunc(s.Groups, func(y Group) bool { return y.Name == g.Name })
		if seen[g.Name] {
			c.addError(at+"name", "a second group is called %q", g.Name)
		}
		if seen[g.Name] = true; j < 0 {
			c.addError(at+"name", "no group is called %q here", g.Name)
			continue
		}
		x := &s.Groups[j]
		x.Threads, x.Target, x.Timeout = cmp.Or(g.Threads, x.Threads), cmp.Or(g.Target, x.Target), cmp.Or(g.Timeout, x.Timeout)
		c.optionalNumber(at+"threads", x.Threads, 1, 1024)
		x.Value = cmp.Or(g.Value, x.Value)
		c.optionalNumber(at+"value", x.Value, 0, 1e9)
		if g.Stretch != nil {
			x.Stretch = *g.Stretch
			c.optionalNumber(at+"stretch", x.Stretch, 0, 1000)
		}
		if g.LateValueShare != nil {
			x.LateValueShare = g.LateValueShare
			c.optionalNumber(at+"late_share", *x.LateValueShare, 0, 1)
		}
		if x.Target > 0 && x.Timeout > 0 && x.Target > x.Timeout {
			c.addError(at+"target", "is longer than the timeout of %v", time.Duration(x.Timeout))
		}
	}
}

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

// PlacementRule confines table groups of a tenant to some of the sites, which Engines.Locations lists. The
// tenant is one of Fairness or a customer of Shares.
type PlacementRule struct {
	Name        string   `yaml:"name"`
	Tenant      string   `yaml:"team"`
	Tables      []int64  `yaml:"tables"`  // table groups; default all of the tenant
	EngineSites []string `yaml:"engines"` // sites whose engines may process the table groups; default all
	// ControllerSites lists the sites whose controllers may accept queries on the table groups; default as
	// EngineSites.
	ControllerSites []string `yaml:"controllers"`
	// RetentionSites lists the sites that may retain results and cached answers; default as
	// ControllerSites, [] for none.
	RetentionSites []string `yaml:"keep"`
	// FollowsLoads also confines the table groups that loads from the rule's table groups fill.
	FollowsLoads bool               `yaml:"follows"`
	Emergency    PlacementEmergency `yaml:"emergency"`
}

// PlacementEmergency allows the engines of further sites in an emergency.
type PlacementEmergency struct {
	Sites []string `yaml:"sites"`
	// After is the time without any engine at the allowed sites after which the emergency begins.
	After Duration `yaml:"after"`
}

func (x *Setup) placementRules() (l []residency.Rule) {
	for _, p := range x.Placement {
		l = append(l, residency.Rule{Name: p.Name, Tenant: p.Tenant, Tables: p.Tables, EngineSites: p.EngineSites,
			ControllerSites: p.ControllerSites, RetentionSites: p.RetentionSites, FollowsLoads: p.FollowsLoads,
			Emergency: residency.Emergency{Sites: p.Emergency.Sites, After: time.Duration(p.Emergency.After)}})
	}
	return l
}

// tenantNames returns the tenants and customers that a query can belong to.
func (x *Setup) tenantNames() []string {
	names := []string{}
	var walk func(l []Tenant)
	walk = func(l []Tenant) {
		for _, t := range l {
			if len(t.Tenants) == 0 {
				names = append(names, t.Name)
			}
			walk(t.Tenants)
		}
	}
	if x.Fairness != nil {
		walk(x.Fairness.Tenants)
	}
	if x.Shares != nil {
		for _, customer := range x.Shares.Customers {
			names = append(names, customer.Name)
		}
	}
	return names
}

// checkPlacement checks the placement rules. A control process doesn't know which tenants and sites exist.
func (c *checker) checkPlacement(x *Setup) {
	if len(x.Placement) == 0 {
		return
	}
	if x.Fleet == nil {
		c.addError("placement",
			"there is no fleet part, whose log records the tables that loads confine and the start of emergencies")
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
	tenants := x.tenantNames()
	if x.IsControlProcess() {
		sites, tenants = nil, nil
	}
	for _, f := range residency.ValidateRules(x.placementRules(), sites, tenants) {
		c.addError(fmt.Sprintf("placement[%d].%s", f.RuleIndex, f.Field), "%s", f.Reason)
	}
}

// Policy contains the settings that the whole fleet shares, as a file for `fleet apply` lists
// them. A setting that the file omits keeps the value in each controller's own file.
type Policy struct {
	Fairness  *PolicyTenants  `yaml:"fairness"`
	Shares    *PolicyShares   `yaml:"shares"`
	Groups    []GroupLimits   `yaml:"groups"`
	Placement []PlacementRule `yaml:"placement"`
	Voters    []Voter         `yaml:"voters"` // voters from now on; default unchanged
}

// PolicyTenants are all tenants of the fleet.
type PolicyTenants struct {
	Default     string   `yaml:"default"`
	AgeingLimit Duration `yaml:"age"`
	Tenants     []Tenant `yaml:"teams"`
}

// PolicyShares are customers' quotas. A customer that isn't listed keeps its quota.
type PolicyShares struct {
	OverQuotaWeight *float64   `yaml:"over"`
	Customers       []Customer `yaml:"customers"`
}

// GroupLimits are the settings of a resource group that a policy may change. Missing ones stay
// unchanged.
type GroupLimits struct {
	Name             string   `yaml:"name"`
	Threads          float64  `yaml:"threads"`
	PriorityWeight   float64  `yaml:"value"`
	Objective        Duration `yaml:"target"`
	Timeout          Duration `yaml:"timeout"`
	ObjectiveStretch *float64 `yaml:"stretch"`
	LateValueShare   *float64 `yaml:"late_share"`
}

// Unfit is the error for a policy that this process can't apply. It unwraps to a FieldError for
// each mistake.
type Unfit struct {
	File   string
	Errors []error
}

func (u *Unfit) Error() string { return errors.Join(u.Errors...).Error() }

// Remedy returns what an operator can do about the error.
func (u *Unfit) Remedy() string {
	return "correct the policy file, or the set-up of the controller that reports the error, and apply it again"
}

func (u *Unfit) Unwrap() []error { return u.Errors }

// Errors returns an example of each error of this package that an operator of a fleet may see.
func Errors() []fleet.ErrorWithRemedy {
	return []fleet.ErrorWithRemedy{&Unfit{"policy.yaml",
		[]error{&FieldError{File: "policy.yaml", Line: 3, Field: "groups[0].name",
			Reason: `no group is named "lookup" in the set-up`}}}}
}

// BasePolicy returns the policy in the process's own file, version 0, which applies before any change, and
// the rules whose emergencies the fleet watches for.
func (x *Setup) BasePolicy() (*controller.Policy, []fleet.EmergencyRule) {
	rules := x.placementRules()
	return &controller.Policy{Tenants: x.FairQueueConfig(), Settings: x.settings(), Rules: rules},
		residency.EmergencyRules(rules)
}

// ParsePolicy reads a policy strictly and checks it against a controller's own configuration,
// which it doesn't change. An invalid policy is an *Unfit. The first two results are as for BasePolicy. The
// third lists the voters as name=address; it is empty if they are unchanged.
func ParsePolicy(file string, text []byte, own *Setup) (*controller.Policy, []fleet.EmergencyRule, []string,
	error) {
	x, p, err := own.parseAndMergePolicy(file, text)
	if err != nil {
		return nil, nil, nil, err
	}
	policy, watched := x.BasePolicy()
	return policy, watched, p.voters(), nil
}

// voters returns the voters in the policy, as name=address.
func (p *Policy) voters() (l []string) {
	for _, v := range p.Voters {
		l = append(l, v.Name+"="+v.Address)
	}
	return l
}

// parseAndMergePolicy parses a policy and returns a copy of the configuration with the policy's
// settings, and the parsed policy. In a control process, the customers and groups of the policy count
// as those of the configuration. An empty text is a valid policy without settings.
func (x *Setup) parseAndMergePolicy(file string, text []byte) (*Setup, *Policy, error) {
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, nil, &Unfit{file, []error{yamlError(file, err)}}
	}
	p := &Policy{}
	if err := yaml.UnmarshalWithOptions(text, p, yaml.Strict()); err != nil &&
		!(errors.Is(err, io.EOF) && len(bytes.TrimSpace(text)) == 0) {
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

// mergePolicy checks a policy against a controller's own configuration and writes its settings to s.
func (c *checker) mergePolicy(p *Policy, own, s *Setup) {
	switch f := p.Fairness; {
	case f == nil:
	case own.Fairness == nil:
		c.addError("fairness", "this controller has no teams, because its set-up has no fairness part")
	default:
		next := *own.Fairness
		next.Tenants, next.Default, next.AgeingLimit = f.Tenants, cmp.Or(f.Default, next.Default),
			cmp.Or(f.AgeingLimit, next.AgeingLimit)
		s.Fairness = &next
		if len(next.Tenants) == 0 {
			c.addError("fairness.teams", "is missing: a policy must list all teams")
		}
		c.checkTenants(next.Tenants, "fairness.teams")
		c.checkFairness(&next)
	}
	c.mergeShares(p.Shares, own, s)
	c.mergeGroupLimits(p.Groups, s)
	if p.Placement != nil {
		s.Placement = p.Placement
	}
	// Check the placement also if the policy has none: the rules kept from the set-up may name tenants that
	// the policy removes.
	c.checkPlacement(s)
	c.checkPolicyVoters(p.Voters)
}

// mergeShares checks the quotas in a policy and writes them to s.
func (c *checker) mergeShares(x *PolicyShares, own, s *Setup) {
	switch {
	case x == nil:
	case own.Shares == nil:
		c.addError("shares", "this controller has no customers, because its set-up has no shares part")
	default:
		next := *own.Shares
		next.Customers = slices.Clone(next.Customers)
		s.Shares = &next
		if x.OverQuotaWeight != nil {
			next.OverQuotaWeight = *x.OverQuotaWeight
			c.optionalNumber("shares.over", next.OverQuotaWeight, 0, 1)
		}
		for i, customer := range x.Customers {
			at := fmt.Sprintf("shares.customers[%d].", i)
			c.requiredNumber(at+"rate", customer.Rate, 1e-9, 1e9)
			j := slices.IndexFunc(next.Customers, func(y Customer) bool { return y.Name == customer.Name })
			if j < 0 {
				c.addError(at+"name", "no customer is named %q in the set-up", customer.Name)
				continue
			}
			next.Customers[j].Rate = customer.Rate
		}
	}
}

// checkPolicyVoters checks the voters in a policy.
func (c *checker) checkPolicyVoters(voters []Voter) {
	if n := len(voters); n > 0 && (n%2 == 0 || n > maxVoters) {
		c.addError("voters", "%d voters: use 3, 5 or 7, or 1 for a trial", n)
	}
	names := map[string]bool{}
	for i, v := range voters {
		at := fmt.Sprintf("voters[%d].", i)
		c.checkName(at+"name", v.Name)
		c.checkAddress(at+"address", v.Address)
		switch {
		case strings.Contains(v.Name, "="):
			c.addError(at+"name", "%q: a voter's name may contain no =", v.Name)
		case names[v.Name]:
			c.addError(at+"name", "a second voter is named %q", v.Name)
		}
		names[v.Name] = true
	}
}

// mergeGroupLimits checks the groups in a policy and writes their limits to s.
func (c *checker) mergeGroupLimits(l []GroupLimits, s *Setup) {
	s.Groups = slices.Clone(s.Groups)
	seen := map[string]bool{}
	for i, g := range l {
		at := fmt.Sprintf("groups[%d].", i)
		j := slices.IndexFunc(s.Groups, func(y Group) bool { return y.Name == g.Name })
		if seen[g.Name] {
			c.addError(at+"name", "a second group is named %q", g.Name)
		}
		if seen[g.Name] = true; j < 0 {
			c.addError(at+"name", "no group is named %q in the set-up", g.Name)
			continue
		}
		x := &s.Groups[j]
		x.Threads, x.Objective, x.Timeout = cmp.Or(g.Threads, x.Threads), cmp.Or(g.Objective, x.Objective),
			cmp.Or(g.Timeout, x.Timeout)
		c.optionalNumber(at+"threads", x.Threads, 1, 1024)
		x.PriorityWeight = cmp.Or(g.PriorityWeight, x.PriorityWeight)
		c.optionalNumber(at+"value", x.PriorityWeight, 0, 1e9)
		if g.ObjectiveStretch != nil {
			x.ObjectiveStretch = *g.ObjectiveStretch
			c.optionalNumber(at+"stretch", x.ObjectiveStretch, 0, 1000)
		}
		if g.LateValueShare != nil {
			x.LateValueShare = g.LateValueShare
			c.optionalNumber(at+"late_share", *x.LateValueShare, 0, 1)
		}
		if x.Objective > 0 && x.Timeout > 0 && x.Objective > x.Timeout {
			c.addError(at+"target", "is longer than the timeout of %v", time.Duration(x.Timeout))
		}
	}
}

package setup

import (
	"slices"

	"github.com/goccy/go-yaml/ast"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/residency"
)

// The roles of a process in its fleet.
const (
	RoleController = "controller" // takes clients' queries; this one is meant where none is named
	RoleControl    = "control"    // votes, relays or stands by for either, and takes no queries
)

// controlParts are the parts that the set-up of a control process may have.
var controlProcessKeys = []string{"name", "log", "limits", "fleet", "placement"}

// Control tells whether this set-up is of a process that is set apart for control: one
// without clients, engines or feed.
func (x *Setup) IsControlProcess() bool { return x.Fleet != nil && x.Fleet.Role == RoleControl }

// control checks the set-up of a control process.
func (c *checker) checkControlProcess(x *Setup) {
	c.checkProcess(x)
	for _, part := range c.topLevelKeys() {
		if !slices.Contains(controlProcessKeys, part) {
			c.addError(part, "is a part of controllers, and a process with fleet.role: control takes no queries: take this part out, or the role")
		}
	}
	if x.Fleet.ClientAddress != "" {
		c.addError("fleet.clients", "a process with role: control has no clients: take this out, or the role")
	}
	c.checkFleet(x)
	c.checkPlacement(x)
}

// parts are the names of the parts that the file itself has, empty ones included.
func (c *checker) topLevelKeys() (names []string) {
	if len(c.tree.Docs) == 0 {
		return nil
	}
	body := c.tree.Docs[0].Body
	if anchor, named := body.(*ast.AnchorNode); named {
		body = anchor.Value
	}
	switch body := body.(type) {
	case *ast.MappingNode:
		for _, value := range body.Values {
			names = append(names, value.Key.GetToken().Value)
		}
	case *ast.MappingValueNode:
		names = append(names, body.Key.GetToken().Value)
	}
	return names
}

// ControlPolicy is what a control process makes of a policy. It takes no queries by it, but
// may lead, and as leader says what a change has to purge and watches for emergencies.
type ControlPolicy struct {
	Rules []residency.Rule
	// Stated: the policy itself has these rules. Otherwise those of the controllers' own
	// set-ups hold, and Rules are what this process's own set-up says that they are.
	HasPlacement bool
	RulesKnown   bool // Stated, or this process's own set-up has the part placement
	WatchedRules []fleet.EmergencyRule
	Voters       []string // as name=address; none: as before
}

// BaseControlPolicy is the policy that holds before any change: that of the set-ups.
func (x *Setup) BaseControlPolicy() *ControlPolicy {
	rules := x.placementRules()
	return &ControlPolicy{Rules: rules, RulesKnown: x.Placement != nil, WatchedRules: residency.EmergencyRules(rules)}
}

// ParseControlPolicy reads a policy's text for a control process and checks its form:
// whether its teams, groups and locations exist is known to controllers only, of which
// each checks it, too, before it can be in force. What is wrong is an *Unfit.
func ParseControlPolicy(file string, text []byte, own *Setup) (*ControlPolicy, error) {
	next, policy, err := own.mergePolicy(file, text)
	if err != nil {
		return nil, err
	}
	c := next.BaseControlPolicy()
	c.HasPlacement = policy.Placement != nil
	c.Voters = policy.voters()
	return c, nil
}

// Narrowed is what has to be purged where this policy follows another: what is kept
// outside the boundaries that it makes narrower. It errs towards purging:
//
//   - rules of set-ups are not relied on as the ones before, since each controller has
//     its own: all that the new rules leave outside is purged. Where nothing was kept
//     there, nothing is found.
//   - rules of set-ups that follow a policy's own must be known here. Where they aren't,
//     the error is an *Unfit: the policy can't be taken.
func (p *ControlPolicy) PurgeScopes(file string, before *ControlPolicy, bindings []fleet.Binding) ([]fleet.Scope, error) {
	var was []residency.Rule
	switch {
	case !p.HasPlacement && !before.HasPlacement:
		return nil, nil // both are as the set-ups have it
	case !p.RulesKnown:
		return nil, &Unfit{file, []error{&FieldError{File: file, Field: "placement", Reason: "is missing: the rules of the controllers' set-ups would take " +
			"the place of the policy's, and this control process can't tell what they leave outside. " +
			"Write the rules into the policy (placement: [] for none), or give control set-ups the controllers' placement"}}}
	case before.HasPlacement:
		was = before.Rules
	}
	return residency.PurgeScopes(was, p.Rules, bindings), nil
}

// naming is this set-up with the teams, customers and groups that a policy names, so that
// a control process, which has none, can check the policy's form.
func (x *Setup) withNamesFrom(p *Policy) *Setup {
	own := *x
	if p.Fairness != nil {
		own.Fairness = &Fairness{}
	}
	if p.Shares != nil {
		own.Shares = &Shares{Customers: slices.Clone(p.Shares.Customers)}
	}
	for _, group := range p.Groups {
		own.Groups = append(own.Groups, Group{Name: group.Name})
	}
	return &own
}

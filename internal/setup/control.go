package setup

import (
	"slices"

	"github.com/goccy/go-yaml/ast"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/residency"
)

// The roles of a process in its fleet.
const (
	RoleController = "controller" // serves clients' queries; the default
	RoleControl    = "control"    // votes, relays or is a standby for either, and serves no queries
)

// controlProcessKeys are the top-level keys that a control process's file may have.
var controlProcessKeys = []string{"name", "log", "limits", "fleet", "placement"}

// IsControlProcess reports whether the process has the role control: it has no clients and no
// engines, and doesn't use the discovery service.
func (x *Setup) IsControlProcess() bool { return x.Fleet != nil && x.Fleet.Role == RoleControl }

// checkControlProcess checks a control process's file.
func (c *checker) checkControlProcess(x *Setup) {
	c.checkProcess(x)
	for _, part := range c.topLevelKeys() {
		if !slices.Contains(controlProcessKeys, part) {
			c.addError(part,
				"is for controllers only, but a process with fleet.role: control serves no queries: "+
					"remove this key or the role")
		}
	}
	if x.Fleet.ClientAddress != "" {
		c.addError("fleet.clients", "a process with role: control has no clients: remove clients or the role")
	}
	c.checkFleet(x)
	c.checkPlacement(x)
}

// topLevelKeys returns the top-level keys of the file, including keys with an empty value.
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

// ControlPolicy contains the parts of a policy that a control process needs. The process serves
// no queries, but as leader it decides which data a change purges and watches for emergencies.
type ControlPolicy struct {
	Rules []residency.Rule
	// HasPlacement is true if the policy contains the rules. Otherwise the rules in the
	// controllers' own files apply, and Rules are those in this process's file.
	HasPlacement bool
	RulesKnown   bool // the policy or this process's file contains the placement rules
	WatchedRules []fleet.EmergencyRule
	Voters       []string // as name=address; empty: unchanged
}

// BaseControlPolicy returns the policy in this process's file, which applies before any change.
func (x *Setup) BaseControlPolicy() *ControlPolicy {
	rules := x.placementRules()
	return &ControlPolicy{Rules: rules, RulesKnown: x.Placement != nil,
		WatchedRules: residency.EmergencyRules(rules)}
}

// ParseControlPolicy reads a policy for a control process and checks everything but the names of
// tenants, groups and locations. Only controllers know those, and each of them checks the policy
// before it can be in force. An invalid policy is an *Unfit.
func ParseControlPolicy(file string, text []byte, own *Setup) (*ControlPolicy, error) {
	next, policy, err := own.parseAndMergePolicy(file, text)
	if err != nil {
		return nil, err
	}
	c := next.BaseControlPolicy()
	c.HasPlacement = policy.Placement != nil
	c.Voters = policy.voters()
	return c, nil
}

// PurgeScopes returns the data to purge when this policy replaces another: the data kept outside
// the boundaries that this policy tightens. In doubt it purges too much:
//
//   - If the previous rules were those in the controllers' files, they are ignored, because each
//     controller may have different ones. Everything outside the new rules is purged, and
//     nothing is found where nothing was kept.
//   - If the rules in the controllers' files replace those of a policy, they must be known to
//     this process. Otherwise the error is an *Unfit, and the policy is rejected.
func (p *ControlPolicy) PurgeScopes(file string, before *ControlPolicy,
	bindings []fleet.Binding) ([]fleet.Scope, error) {
	var previousRules []residency.Rule
	switch {
	case !p.HasPlacement && !before.HasPlacement:
		return nil, nil // both use the rules in the controllers' files
	case !p.RulesKnown:
		return nil, &Unfit{file, []error{&FieldError{File: file, Field: "placement",
			Reason: "is missing: the rules in the controllers' set-ups would replace " +
				"those of the policy, and this control process doesn't know which data to purge for them. " +
				"Write the rules into the policy (placement: [] for none), or copy the controllers' placement into the set-ups of control processes"}}}
	case before.HasPlacement:
		previousRules = before.Rules
	}
	return residency.PurgeScopes(previousRules, p.Rules, bindings), nil
}

// withNamesFrom returns a copy with the customers and groups that a policy names, and with an
// empty fair queue. A control process has none of them, and needs them to check the policy.
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

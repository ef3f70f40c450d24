package node

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fleet"
)

// committedKey begins the validation key of a policy that is committed already; the rest
// is its version and checksum. Other validations have their change's ID.
const committedKey = "in force "

// validatedPolicy is a policy that this controller can serve by.
type validatedPolicy struct {
	checksum     uint64 // of its text: a change that was aborted had the same version
	policy       any    // what the set-up made of the text
	watchedRules []fleet.EmergencyRule
	// residencyRulesUnknown: there may be rules that watchedRules doesn't name.
	residencyRulesUnknown bool
}

// validation is one validation of a policy against the set-up, asked for or done.
type validation struct {
	version  uint64
	checksum uint64
	done     bool

	// The outcome.
	reason      string // why it can't be served by, "": it can
	purgeScopes []fleet.Scope
	voters      []string
}

// validatePolicy has a policy validated against this controller's own set-up.
func (c *Core) validatePolicy(key string, version uint64, text []byte) {
	c.validations[key] = &validation{version: version, checksum: xxhash.Sum64(text)}
	c.emit(Effect{Kind: ValidatePolicy, ChangeID: key, PolicyText: text})
}

// committedPolicy is the committed policy, as it was validated or, where the request side
// was told of it already, whatever is known of it. It is nil where this controller can't
// serve by it, and pending while its validation, which this asks for, isn't done.
func (c *Core) committedPolicy() (policy *validatedPolicy, pending bool) {
	policy = c.policies[c.state.Version]
	checksum := xxhash.Sum64(c.state.Policy)
	if c.orderedVersion == c.state.Version || policy != nil && policy.checksum == checksum {
		return policy, false
	}
	key := fmt.Sprintf("%s%d %x", committedKey, c.state.Version, checksum)
	if c.validations[key] == nil {
		c.validatePolicy(key, c.state.Version, c.state.Policy)
	}
	return nil, !c.validations[key].done
}

// policyValidated takes the outcome of a validation.
func (c *Core) policyValidated(ev Event) {
	v := c.validations[ev.ChangeID]
	if v == nil || v.done {
		return
	}
	v.done = true
	v.reason = ev.Reason
	v.purgeScopes = ev.PurgeScopes
	v.voters = ev.Voters
	c.unreported = true
	c.reevaluate = true
	if ev.Reason == "" {
		c.policies[v.version] = &validatedPolicy{
			checksum:              v.checksum,
			policy:                ev.Policy,
			watchedRules:          ev.EmergencyRules,
			residencyRulesUnknown: ev.ResidencyRulesUnknown,
		}
	} else if strings.HasPrefix(ev.ChangeID, committedKey) {
		c.logError(&fleet.UnfitError{Version: v.version, Reason: ev.Reason})
	}
	c.orderOutstanding()
}

// watchedRules are the committed residency rules that name further zones.
func (c *Core) watchedRules() []fleet.EmergencyRule {
	policy := c.policies[c.state.Version]
	if policy == nil || c.orderedVersion != c.state.Version {
		return nil
	}
	return policy.watchedRules
}

// residencyRulesUnknown reports whether rules may be committed that this process doesn't know.
func (c *Core) residencyRulesUnknown() bool {
	policy := c.policies[c.state.Version]
	return policy != nil && policy.residencyRulesUnknown
}

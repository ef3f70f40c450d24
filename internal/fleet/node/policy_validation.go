package node

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fleet"
)

// committedKeyPrefix is the prefix of the validation key of a committed policy; the rest is the
// version and checksum of the policy. The key of any other validation is the change's ID.
const committedKeyPrefix = "in force "

// validatedPolicy is a policy that this controller can serve by.
type validatedPolicy struct {
	checksum       uint64 // of the text, since an aborted change may have had the same version
	policy         any    // the parsed policy, for the request side
	emergencyRules []fleet.EmergencyRule
	// residencyRulesUnknown: emergencyRules may be incomplete.
	residencyRulesUnknown bool
}

// validation is a requested or finished validation of a policy.
type validation struct {
	version  uint64
	checksum uint64
	done     bool

	// The result.
	reason      string        // why this controller can't serve by the policy, "": it can
	purgeScopes []fleet.Scope // Event.PurgeScopes
	voters      []string      // Event.Voters
}

// validatePolicy requests the validation of a policy against this controller's configuration. It
// replaces an earlier validation with the same key. policyValidated handles the result.
func (c *Core) validatePolicy(key string, version uint64, text []byte) {
	c.validations[key] = &validation{version: version, checksum: xxhash.Sum64(text)}
	c.emit(Effect{Kind: ValidatePolicy, ValidationKey: key, PolicyText: text})
}

// committedPolicy returns the committed policy after its validation, nil if this controller can't
// serve by it. It requests the validation if needed and returns pending until that is done. If the
// request side was already ordered to decide by the committed version, committedPolicy returns the
// policy of that version without comparing its checksum.
func (c *Core) committedPolicy() (policy *validatedPolicy, pending bool) {
	policy = c.policies[c.state.Version]
	checksum := xxhash.Sum64(c.state.Policy)
	if c.orderedVersion == c.state.Version || policy != nil && policy.checksum == checksum {
		return policy, false
	}
	key := fmt.Sprintf("%s%d %x", committedKeyPrefix, c.state.Version, checksum)
	if c.validations[key] == nil {
		c.validatePolicy(key, c.state.Version, c.state.Policy)
	}
	return nil, !c.validations[key].done
}

// policyValidated stores the result of a requested validation, and the policy if this controller can
// serve by it. If the controller can't serve by the committed policy, it logs an UnfitError.
func (c *Core) policyValidated(ev Event) {
	v := c.validations[ev.ValidationKey]
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
			emergencyRules:        ev.EmergencyRules,
			residencyRulesUnknown: ev.ResidencyRulesUnknown,
		}
	} else if strings.HasPrefix(ev.ValidationKey, committedKeyPrefix) {
		c.logError(&fleet.UnfitError{Version: v.version, Reason: ev.Reason})
	}
	c.orderOutstanding()
}

// emergencyRules returns the residency rules of the committed policy that allow further sites in an
// emergency. It returns none until the request side was ordered to decide by the committed version.
func (c *Core) emergencyRules() []fleet.EmergencyRule {
	policy := c.policies[c.state.Version]
	if policy == nil || c.orderedVersion != c.state.Version {
		return nil
	}
	return policy.emergencyRules
}

// residencyRulesUnknown reports whether the validated policy of the committed version leaves the
// residency rules to the controllers' configurations, which this process doesn't know. It returns
// false while no policy of that version is validated. The caller must check that the request side
// was ordered to decide by the committed version.
func (c *Core) residencyRulesUnknown() bool {
	policy := c.policies[c.state.Version]
	return policy != nil && policy.residencyRulesUnknown
}

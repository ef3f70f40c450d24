package node

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fleet"
)

// taken is a policy as the set-up has it. The sum is its text's: what was withdrawn had
// the same version.
type validatedPolicy struct {
	checksum     uint64
	policy       any
	watchedRules []fleet.Watched
	// rulesUnknown: there may be rules that watched doesn't name
	residencyRulesUnknown bool
}

// checking is a policy that the set-up is asked about.
type validation struct {
	version     uint64
	checksum    uint64
	done        bool
	reason      string
	purgeScopes []fleet.Scope
	voters      []string
}

// check has a policy held against this controller's own set-up.
func (c *Core) validatePolicy(change string, version uint64, text []byte) {
	c.validations[change] = &validation{version: version, checksum: xxhash.Sum64(text)}
	c.emit(Effect{Kind: ValidatePolicy, ChangeID: change, PolicyText: text})
}

func (c *Core) policyValidated(ev Event) {
	k := c.validations[ev.ChangeID]
	if k == nil || k.done {
		return
	}
	k.done, k.reason, k.purgeScopes, k.voters = true, ev.Reason, ev.PurgeScopes, ev.Voters
	c.unreported, c.reevaluate = true, true
	if ev.Reason == "" {
		c.policies[k.version] = &validatedPolicy{checksum: k.checksum, policy: ev.Policy, watchedRules: ev.WatchedRules, residencyRulesUnknown: ev.ResidencyRulesUnknown}
	} else if strings.HasPrefix(ev.ChangeID, "in force ") {
		c.logError(&fleet.UnfitError{Version: k.version, Why: ev.Reason})
	}
	c.orderOutstanding()
}

// watched are the rules in force that name further sites.
func (c *Core) watchedRules() []fleet.Watched {
	if have := c.policies[c.state.Version]; have != nil && c.orderedVersion == c.state.Version {
		return have.watchedRules
	}
	return nil
}

// rulesUnknown: rules may be in force that this process doesn't know.
func (c *Core) residencyRulesUnknown() bool {
	have := c.policies[c.state.Version]
	return have != nil && have.residencyRulesUnknown
}

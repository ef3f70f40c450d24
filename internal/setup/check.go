package setup

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/gaissmai/bart"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/settings"
)

// check checks the file of a controller or of a control process.
func (c *checker) check(s *Setup) {
	if s.IsControlProcess() {
		c.checkControlProcess(s)
		return
	}
	c.checkValues(s)
	c.checkReferences(s)
	if s.Fairness != nil {
		c.checkFairness(s.Fairness)
	}
	if s.Spool != nil {
		c.checkSpool(s.Spool, s.Limits)
	}
	if s.Answers != nil {
		c.checkResultCache(s)
	}
	if s.Fleet != nil {
		c.checkFleet(s)
	}
	c.checkPlacement(s)
	c.checkConsistency(s)
}

// checkProcess checks the fields that processes of all roles have.
func (c *checker) checkProcess(s *Setup) {
	c.checkOneOf("log", s.LogLevel, "debug", "info", "warn", "error")
	c.optionalNumber("limits.cores", s.Limits.Cores, 0, 1024)
	c.optionalNumber("limits.memory_mb", s.Limits.MemoryMB, 16, 1<<24)
	c.optionalNumber("limits.sockets", float64(s.Limits.Sockets), 64, 1<<20)
}

// checkValues checks each value by itself.
func (c *checker) checkValues(s *Setup) {
	c.checkProcess(s)
	c.checkAddress("listen", s.Listen)
	c.checkAddress("feed", s.DiscoveryAddress)
	if _, err := strconv.ParseUint(s.Seed, 16, 64); s.Seed != "" && err != nil {
		c.addError("seed", "%q is not a hexadecimal number of up to 16 digits", s.Seed)
	}
	c.checkEngineValues(&s.Engines)
	c.checkGroupValues(s.Groups)
	for i, x := range s.Clients {
		at := fmt.Sprintf("clients[%d].", i)
		c.checkName(at+"name", x.Name)
		if len(x.Addresses) == 0 {
			c.addError(at+"addresses", "is missing: the set applies to no client")
		}
		c.optionalNumber(at+"open", float64(x.MaxOpenQueries), 1, 100_000)
		c.optionalNumber(at+"messages", float64(x.MaxMessages), 1, 1_000_000)
	}
	if f := s.Fairness; f != nil {
		c.optionalNumber("fairness.waiting", float64(f.MaxWaiting), 1, 10_000_000)
		c.optionalNumber("fairness.overrun", f.OverrunFactor, 1.01, 1000)
		c.optionalNumber("fairness.tell_change", f.NotifyThreshold, 0.01, 1)
		if len(f.Tenants) == 0 {
			c.addError("fairness.teams", "is missing: remove fairness if there are no teams")
		}
		c.checkTenants(f.Tenants, "fairness.teams")
	}
}

// checkEngineValues checks each value in the engines part by itself.
func (c *checker) checkEngineValues(e *Engines) {
	c.optionalNumber("engines.controllers", float64(e.Controllers), 1, 100_000)
	c.optionalNumber("engines.submissions", float64(e.MaxAttempts), 1, 20)
	c.optionalNumber("engines.grant", e.MaxGrantFraction, 0, 1)
	c.optionalNumber("engines.cold.from", e.SlowStart.InitialCapacity, 0, 1)
	c.optionalNumber("engines.cold.multiple", e.SlowStart.WorkFactor, 0, 1000)
	c.optionalNumber("engines.budget.least", e.RetryBudget.Minimum, 0, 1e9)
	c.optionalNumber("engines.budget.share", e.RetryBudget.Ratio, 0, 10)
	c.checkOneOf("engines.report", e.Report, "off", "probed", "answers")
	c.checkOneOf("engines.memory_short", e.WhenMemoryShort, "queue", "trim", "swap")
	for i, m := range e.AllowedActions {
		c.checkOneOf(fmt.Sprintf("engines.may[%d]", i), m, engineActions...)
	}
	if len(e.Kinds) == 0 {
		c.addError("engines.kinds", "is missing: every engine has a kind")
	}
	for i, k := range e.Kinds {
		at := fmt.Sprintf("engines.kinds[%d].", i)
		c.checkName(at+"name", k.Name)
		c.requiredNumber(at+"cores", k.Cores, 0.01, 4096)
		c.requiredNumber(at+"memory_mb", k.MemoryMB, 1, 1<<30)
	}
	for i, l := range e.Locations {
		c.checkName(fmt.Sprintf("engines.locations[%d]", i), l)
	}
}

// checkGroupValues checks each value of the resource groups by itself.
func (c *checker) checkGroupValues(groups []Group) {
	if n := len(groups); n == 0 || n > maxGroups {
		c.addError("groups", "%d groups: 1 to %d are allowed", n, maxGroups)
	}
	for i, g := range groups {
		at := fmt.Sprintf("groups[%d].", i)
		c.checkName(at+"name", g.Name)
		c.optionalNumber(at+"threads", g.Threads, 1, 1024)
		c.optionalNumber(at+"value", g.PriorityWeight, 0, 1e9)
		c.optionalNumber(at+"stretch", g.ObjectiveStretch, 0, 1000)
		if g.LateValueShare != nil {
			c.optionalNumber(at+"late_share", *g.LateValueShare, 0, 1)
		}
		if g.Effect == "" {
			c.addError(at+"effect", "is missing: read-only, tokened or mutating")
		}
		c.checkOneOf(at+"effect", g.Effect, "read-only", "tokened", "mutating")
		c.checkOneOf(at+"scope", g.Scope, "all", "location", "cell")
	}
}

const maxGroups = 64

// engineActions are the values allowed in engines.may.
var engineActions = []string{"probe", "cancel", "copy", "grant", "prioritise", "name-return"}

// checkTenants checks each value of the tenants and their subtenants by itself.
func (c *checker) checkTenants(l []Tenant, path string) {
	for i, t := range l {
		at := fmt.Sprintf("%s[%d].", path, i)
		c.checkName(at+"name", t.Name)
		if !(t.Weight > 0) || t.Weight > 1e6 {
			c.addError(at+"weight", "%v: a weight must be greater than 0 and at most 1000000", t.Weight)
		}
		c.optionalNumber(at+"budget", t.Budget, 0, 1e9)
		c.optionalNumber(at+"burst", t.Burst, 0, 1e12)
		c.optionalNumber(at+"waiting", float64(t.MaxWaiting), 1, 1e8)
		c.checkTenants(t.Tenants, at+"teams")
	}
}

// checkReferences checks that kinds, groups and client addresses occur once, that the kinds and locations
// that groups name exist, and that no group's objective is longer than its timeout.
func (c *checker) checkReferences(s *Setup) {
	kinds, places := map[string]bool{}, map[string]bool{}
	for i, k := range s.Engines.Kinds {
		if kinds[k.Name] {
			c.addError(fmt.Sprintf("engines.kinds[%d].name", i), "a second kind is named %q", k.Name)
		}
		kinds[k.Name] = true
	}
	for _, l := range s.Engines.Locations {
		places[l] = true
	}
	seen := map[string]bool{}
	for i, g := range s.Groups {
		at := fmt.Sprintf("groups[%d].", i)
		if seen[g.Name] {
			c.addError(at+"name", "a second group is named %q", g.Name)
		}
		seen[g.Name] = true
		for j, k := range g.Kinds {
			if !kinds[k] {
				c.addError(fmt.Sprintf("%skinds[%d]", at, j), "no kind is named %q", k)
			}
		}
		for j, l := range g.Locations {
			if !places[l] {
				c.addError(fmt.Sprintf("%slocations[%d]", at, j), "no location is named %q", l)
			}
		}
		if g.Objective > 0 && g.Timeout > 0 && g.Objective > g.Timeout {
			c.addError(at+"target", "is longer than the timeout of %v", time.Duration(g.Timeout))
		}
	}
	sets := map[netip.Prefix]string{}
	for i, x := range s.Clients {
		for j, a := range prefixes(x.Addresses) {
			if other, had := sets[a.Masked()]; had {
				c.addError(fmt.Sprintf("clients[%d].addresses[%d]", i, j), "%v is already in %q", a, other)
			}
			sets[a.Masked()] = x.Name
		}
	}
}

// addressOwner is the tenant that an address prefix belongs to, and its path in the file.
type addressOwner struct{ tenant, path string }

// checkFairness checks that the tenants fit together: their names, their addresses, the default tenant
// and the limits of the fair queue.
func (c *checker) checkFairness(f *Fairness) {
	seen := map[string]string{}
	var owned bart.Table[addressOwner]
	var walk func(l []Tenant, path string)
	walk = func(l []Tenant, path string) {
		for i, t := range l {
			at := fmt.Sprintf("%s[%d]", path, i)
			if first, had := seen[t.Name]; had {
				c.addError(at+".name", "a second team is named %q, the first is %s", t.Name, first)
			}
			seen[t.Name] = at
			if t.Burst > 0 && t.Budget == 0 {
				c.addError(at+".burst", "is set, but budget is missing")
			}
			if len(t.Tenants) > 0 && len(t.Addresses) > 0 {
				c.addError(at+".addresses", "must be those of a team without subteams, but %q has some", t.Name)
			}
			for j, a := range prefixes(t.Addresses) {
				addressPath := fmt.Sprintf("%s.addresses[%d]", at, j)
				if other, overlaps := findOverlap(&owned, a); overlaps && other.path != at {
					c.addError(addressPath, "%v overlaps addresses of %q", a, other.tenant)
				}
				owned.Insert(a.Masked(), addressOwner{t.Name, at})
			}
			if len(t.Tenants) > 0 {
				delete(seen, t.Name) // a tenant may have the same name as one of its subtenants
				walk(t.Tenants, at+".teams")
			}
		}
	}
	walk(f.Tenants, "fairness.teams")
	if _, ok := seen[f.Default]; f.Default != "" && !ok {
		c.addError("fairness.default", "no team is named %q", f.Default)
	}
	if len(f.Trusted) > 0 && f.Fields.Tenant == "" {
		c.addError("fairness.trusted", "has no effect, because fields.team is empty")
	}
	if shape := fairQueueConfig(f); len(c.errors) == 0 {
		shape.Lanes = []fairqueue.Lane{{}}
		if err := shape.Validate(); err != nil {
			c.addError("fairness.teams", "%v", err)
		}
	}
}

// checkConsistency checks that the parts that describe the deployment agree with each other.
func (c *checker) checkConsistency(s *Setup) {
	e := &s.Engines
	for i, f := range e.ReportFields {
		c.checkOneOf(fmt.Sprintf("engines.figures[%d]", i), f, "held", "cores")
	}
	for i, t := range e.QueryReports {
		c.checkOneOf(fmt.Sprintf("engines.tells[%d]", i), t, "notes", "costs")
	}
	if e.QueryReports != nil && !slices.Contains(e.QueryReports, "notes") && e.NotePeriod > 0 {
		c.addError("engines.notes", "%v between notes, but engines.tells contains no notes",
			time.Duration(e.NotePeriod))
	}
	if e.Location != "" && !slices.Contains(e.Locations, e.Location) {
		c.addError("engines.location", "no location is named %q", e.Location)
	}
	if x := s.Shares; x != nil {
		c.optionalNumber("shares.over", x.OverQuotaWeight, 0, 1)
		switch {
		case s.Fairness != nil:
			c.addError("shares",
				"can't be combined with fairness, which orders queries by team: remove one of the two")
		case x.Field == "":
			c.addError("shares.field", "is missing: no customer could be identified")
		case len(x.Customers) == 0:
			c.addError("shares.customers", "is missing: remove shares if there are no customers")
		}
		seen := map[string]bool{}
		for i, customer := range x.Customers {
			at := fmt.Sprintf("shares.customers[%d].", i)
			if c.checkName(at+"name", customer.Name); seen[customer.Name] {
				c.addError(at+"name", "a second customer is named %q", customer.Name)
			}
			seen[customer.Name] = true
			c.requiredNumber(at+"rate", customer.Rate, 1e-9, 1e9)
		}
	}
	if len(c.errors) > 0 {
		return // an invalid value needn't be reported as a conflict, too
	}
	refused, odd := settings.Conflicts(s.settings())
	for _, m := range append(refused, odd...) { // a configuration that needs interpretation is rejected
		c.addError(settingPaths[m[0]], "%s", m[1])
	}
}

// settingPaths maps settings that can conflict, although each is valid by itself, to their paths in
// the file.
var settingPaths = map[string]string{"report.how": "engines.report", "report.figures": "engines.figures",
	"budget.span": "engines.budget.span"}

// findOverlap returns the owner of a prefix in the table that overlaps p.
func findOverlap(t *bart.Table[addressOwner], p netip.Prefix) (addressOwner, bool) {
	if !t.OverlapsPrefix(p.Masked()) {
		return addressOwner{}, false
	}
	if _, o, ok := t.LookupPrefixLPM(p.Masked()); ok {
		return o, true
	}
	for _, o := range t.Subnets(p.Masked()) {
		return o, true
	}
	return addressOwner{}, false
}

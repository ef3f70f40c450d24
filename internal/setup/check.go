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

// process checks what processes of all roles have.
func (c *checker) checkProcess(s *Setup) {
	c.checkOneOf("log", s.LogLevel, "debug", "info", "warn", "error")
	c.optionalNumber("limits.cores", s.Limits.Cores, 0, 1024)
	c.optionalNumber("limits.memory_mb", s.Limits.MemoryMB, 16, 1<<24)
	c.optionalNumber("limits.sockets", float64(s.Limits.Sockets), 64, 1<<20)
}

// plain checks each figure by itself.
func (c *checker) checkValues(s *Setup) {
	c.checkProcess(s)
	c.checkAddress("listen", s.Listen)
	c.checkAddress("feed", s.DiscoveryAddress)
	if _, err := strconv.ParseUint(s.Seed, 16, 64); s.Seed != "" && err != nil {
		c.addError("seed", "%q is no hexadecimal number of up to 16 digits", s.Seed)
	}
	e := &s.Engines
	c.optionalNumber("engines.controllers", float64(e.Controllers), 1, 100_000)
	c.optionalNumber("engines.submissions", float64(e.MaxSubmissions), 1, 20)
	c.optionalNumber("engines.grant", e.MaxMemoryShare, 0, 1)
	c.optionalNumber("engines.cold.from", e.WarmUp.InitialCapacity, 0, 1)
	c.optionalNumber("engines.cold.multiple", e.WarmUp.MaxBurst, 0, 1000)
	c.optionalNumber("engines.budget.least", e.RetryBudget.Minimum, 0, 1e9)
	c.optionalNumber("engines.budget.share", e.RetryBudget.Share, 0, 10)
	c.checkOneOf("engines.report", e.Report, "off", "probed", "answers")
	c.checkOneOf("engines.memory_short", e.WhenMemoryShort, "queue", "trim", "swap")
	for i, m := range e.AllowedActions {
		c.checkOneOf(fmt.Sprintf("engines.may[%d]", i), m, engineActions...)
	}
	if len(e.Kinds) == 0 {
		c.addError("engines.kinds", "is missing: there is no engine without a kind")
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
	if n := len(s.Groups); n == 0 || n > maxGroups {
		c.addError("groups", "%d groups, and there must be 1 to %d", n, maxGroups)
	}
	for i, g := range s.Groups {
		at := fmt.Sprintf("groups[%d].", i)
		c.checkName(at+"name", g.Name)
		c.optionalNumber(at+"threads", g.Threads, 1, 1024)
		c.optionalNumber(at+"value", g.Value, 0, 1e9)
		c.optionalNumber(at+"stretch", g.Stretch, 0, 1000)
		if g.LateValueShare != nil {
			c.optionalNumber(at+"late_share", *g.LateValueShare, 0, 1)
		}
		if g.Effect == "" {
			c.addError(at+"effect", "is missing: read-only, tokened or mutating")
		}
		c.checkOneOf(at+"effect", g.Effect, "read-only", "tokened", "mutating")
		c.checkOneOf(at+"scope", g.Scope, "all", "location", "cell")
	}
	for i, x := range s.Clients {
		at := fmt.Sprintf("clients[%d].", i)
		c.checkName(at+"name", x.Name)
		if len(x.Addresses) == 0 {
			c.addError(at+"addresses", "is missing: the set is nobody's")
		}
		c.optionalNumber(at+"open", float64(x.MaxOpenQueries), 1, 100_000)
		c.optionalNumber(at+"messages", float64(x.MaxMessages), 1, 1_000_000)
	}
	if f := s.Fairness; f != nil {
		c.optionalNumber("fairness.waiting", float64(f.MaxWaiting), 1, 10_000_000)
		c.optionalNumber("fairness.overrun", f.OverrunFactor, 1.01, 1000)
		c.optionalNumber("fairness.tell_change", f.NotifyThreshold, 0.01, 1)
		if len(f.Teams) == 0 {
			c.addError("fairness.teams", "is missing: leave fairness out where there are no teams")
		}
		c.checkTeams(f.Teams, "fairness.teams")
	}
}

const maxGroups = 64

// allowed are the words of engines.may.
var engineActions = []string{"probe", "cancel", "copy", "grant", "prioritise", "name-return"}

func (c *checker) checkTeams(l []Team, path string) {
	for i, t := range l {
		at := fmt.Sprintf("%s[%d].", path, i)
		c.checkName(at+"name", t.Name)
		if !(t.Weight > 0) || t.Weight > 1e6 {
			c.addError(at+"weight", "%v: a weight is over 0 and up to 1000000", t.Weight)
		}
		c.optionalNumber(at+"budget", t.Budget, 0, 1e9)
		c.optionalNumber(at+"burst", t.Burst, 0, 1e12)
		c.optionalNumber(at+"waiting", float64(t.MaxWaiting), 1, 1e8)
		c.checkTeams(t.Teams, at+"teams")
	}
}

func (c *checker) checkReferences(s *Setup) {
	kinds, places := map[string]bool{}, map[string]bool{}
	for i, k := range s.Engines.Kinds {
		if kinds[k.Name] {
			c.addError(fmt.Sprintf("engines.kinds[%d].name", i), "a second kind is called %q", k.Name)
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
			c.addError(at+"name", "a second group is called %q", g.Name)
		}
		seen[g.Name] = true
		for j, k := range g.Kinds {
			if !kinds[k] {
				c.addError(fmt.Sprintf("%skinds[%d]", at, j), "no kind is called %q", k)
			}
		}
		for j, l := range g.Locations {
			if !places[l] {
				c.addError(fmt.Sprintf("%slocations[%d]", at, j), "no location is called %q", l)
			}
		}
		if g.Target > 0 && g.Timeout > 0 && g.Target > g.Timeout {
			c.addError(at+"target", "is longer than the timeout of %v", time.Duration(g.Timeout))
		}
	}
	sets := map[netip.Prefix]string{}
	for i, x := range s.Clients {
		for j, a := range prefixes(x.Addresses) {
			if other, had := sets[a.Masked()]; had {
				c.addError(fmt.Sprintf("clients[%d].addresses[%d]", i, j), "%v is in %q already", a, other)
			}
			sets[a.Masked()] = x.Name
		}
	}
}

// addressOwner is whose addresses some are.
type addressOwner struct{ team, path string }

func (c *checker) checkFairness(f *Fairness) {
	seen := map[string]string{}
	var owned bart.Table[addressOwner]
	var walk func(l []Team, path string)
	walk = func(l []Team, path string) {
		for i, t := range l {
			at := fmt.Sprintf("%s[%d]", path, i)
			if first, had := seen[t.Name]; had {
				c.addError(at+".name", "a second team is called %q, the first is %s", t.Name, first)
			}
			seen[t.Name] = at
			if t.Burst > 0 && t.Budget == 0 {
				c.addError(at+".burst", "a burst without a budget")
			}
			if len(t.Teams) > 0 && len(t.Addresses) > 0 {
				c.addError(at+".addresses", "belong to a team, and %q has teams of its own", t.Name)
			}
			for j, a := range prefixes(t.Addresses) {
				spot := fmt.Sprintf("%s.addresses[%d]", at, j)
				if other, overlaps := findOverlap(&owned, a); overlaps && other.path != at {
					c.addError(spot, "%v overlaps addresses of %q", a, other.team)
				}
				owned.Insert(a.Masked(), addressOwner{t.Name, at})
			}
			if len(t.Teams) > 0 {
				delete(seen, t.Name) // a kind may be called like its one team
				walk(t.Teams, at+".teams")
			}
		}
	}
	walk(f.Teams, "fairness.teams")
	if _, ok := seen[f.Default]; f.Default != "" && !ok {
		c.addError("fairness.default", "no team is called %q", f.Default)
	}
	if len(f.Trusted) > 0 && f.Fields.Team == "" {
		c.addError("fairness.trusted", "nothing to trust: fields.team names no field")
	}
	if shape := fairQueueConfig(f); len(c.errors) == 0 {
		shape.Lanes = []fairqueue.Lane{{}}
		if err := shape.Validate(); err != nil {
			c.addError("fairness.teams", "%v", err)
		}
	}
}

// shape checks that the parts that tell of the deployment's shape go together.
func (c *checker) checkConsistency(s *Setup) {
	e := &s.Engines
	for i, f := range e.ReportFields {
		c.checkOneOf(fmt.Sprintf("engines.figures[%d]", i), f, "held", "cores")
	}
	for i, t := range e.QueryReports {
		c.checkOneOf(fmt.Sprintf("engines.tells[%d]", i), t, "notes", "costs")
	}
	if e.QueryReports != nil && !slices.Contains(e.QueryReports, "notes") && e.NoteInterval > 0 {
		c.addError("engines.notes", "%v between notes, and engines.tells says that there are none", time.Duration(e.NoteInterval))
	}
	if e.Location != "" && !slices.Contains(e.Locations, e.Location) {
		c.addError("engines.location", "no location is called %q", e.Location)
	}
	if x := s.Shares; x != nil {
		c.optionalNumber("shares.over", x.OverShareValue, 0, 1)
		switch {
		case s.Fairness != nil:
			c.addError("shares", "fairness keeps turns by team already: one of the two goes")
		case x.Field == "":
			c.addError("shares.field", "is missing: nobody would be known")
		case len(x.Customers) == 0:
			c.addError("shares.customers", "is missing: leave shares out where nobody has one")
		}
		seen := map[string]bool{}
		for i, who := range x.Customers {
			at := fmt.Sprintf("shares.customers[%d].", i)
			if c.checkName(at+"name", who.Name); seen[who.Name] {
				c.addError(at+"name", "a second customer is called %q", who.Name)
			}
			seen[who.Name] = true
			c.requiredNumber(at+"rate", who.Rate, 1e-9, 1e9)
		}
	}
	if len(c.errors) > 0 {
		return // what is wrong by itself needn't be told as a mix, too
	}
	refused, odd := settings.Conflicts(s.settings())
	for _, m := range append(refused, odd...) { // a file of our own needn't be served by guesses
		c.addError(settingPaths[m[0]], "%s", m[1])
	}
}

// keys are this file's names for what can still clash once each field is well by itself.
var settingPaths = map[string]string{"report.how": "engines.report", "report.figures": "engines.figures", "budget.span": "engines.budget.span"}

// overlap finds what is there of a prefix, wider or narrower.
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

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

func (c *checker) all(s *Setup) {
	if s.Control() {
		c.control(s)
		return
	}
	c.plain(s)
	c.names(s)
	if s.Fairness != nil {
		c.fairness(s.Fairness)
	}
	if s.Spool != nil {
		c.spool(s.Spool, s.Limits)
	}
	if s.Answers != nil {
		c.answers(s)
	}
	if s.Fleet != nil {
		c.fleet(s)
	}
	c.placement(s)
	c.shape(s)
}

// process checks what processes of all roles have.
func (c *checker) process(s *Setup) {
	c.oneOf("log", s.Log, "debug", "info", "warn", "error")
	c.maybe("limits.cores", s.Limits.Cores, 0, 1024)
	c.maybe("limits.memory_mb", s.Limits.MemoryMB, 16, 1<<24)
	c.maybe("limits.sockets", float64(s.Limits.Sockets), 64, 1<<20)
}

// plain checks each figure by itself.
func (c *checker) plain(s *Setup) {
	c.process(s)
	c.address("listen", s.Listen)
	c.address("feed", s.Feed)
	if _, err := strconv.ParseUint(s.Seed, 16, 64); s.Seed != "" && err != nil {
		c.wrong("seed", "%q is no hexadecimal number of up to 16 digits", s.Seed)
	}
	e := &s.Engines
	c.maybe("engines.controllers", float64(e.Controllers), 1, 100_000)
	c.maybe("engines.submissions", float64(e.Submissions), 1, 20)
	c.maybe("engines.grant", e.Grant, 0, 1)
	c.maybe("engines.cold.from", e.Cold.From, 0, 1)
	c.maybe("engines.cold.multiple", e.Cold.Multiple, 0, 1000)
	c.maybe("engines.budget.least", e.Budget.Least, 0, 1e9)
	c.maybe("engines.budget.share", e.Budget.Share, 0, 10)
	c.oneOf("engines.report", e.Report, "off", "probed", "answers")
	c.oneOf("engines.memory_short", e.Short, "queue", "trim", "swap")
	for i, m := range e.May {
		c.oneOf(fmt.Sprintf("engines.may[%d]", i), m, allowed...)
	}
	if len(e.Kinds) == 0 {
		c.wrong("engines.kinds", "is missing: there is no engine without a kind")
	}
	for i, k := range e.Kinds {
		at := fmt.Sprintf("engines.kinds[%d].", i)
		c.name(at+"name", k.Name)
		c.number(at+"cores", k.Cores, 0.01, 4096)
		c.number(at+"memory_mb", k.MemoryMB, 1, 1<<30)
	}
	for i, l := range e.Locations {
		c.name(fmt.Sprintf("engines.locations[%d]", i), l)
	}
	if n := len(s.Groups); n == 0 || n > groupsMost {
		c.wrong("groups", "%d groups, and there must be 1 to %d", n, groupsMost)
	}
	for i, g := range s.Groups {
		at := fmt.Sprintf("groups[%d].", i)
		c.name(at+"name", g.Name)
		c.maybe(at+"threads", g.Threads, 1, 1024)
		c.maybe(at+"value", g.Value, 0, 1e9)
		c.maybe(at+"stretch", g.Stretch, 0, 1000)
		if g.Late != nil {
			c.maybe(at+"late_share", *g.Late, 0, 1)
		}
		if g.Effect == "" {
			c.wrong(at+"effect", "is missing: read-only, tokened or mutating")
		}
		c.oneOf(at+"effect", g.Effect, "read-only", "tokened", "mutating")
		c.oneOf(at+"scope", g.Scope, "all", "location", "cell")
	}
	for i, x := range s.Clients {
		at := fmt.Sprintf("clients[%d].", i)
		c.name(at+"name", x.Name)
		if len(x.Addresses) == 0 {
			c.wrong(at+"addresses", "is missing: the set is nobody's")
		}
		c.maybe(at+"open", float64(x.Open), 1, 100_000)
		c.maybe(at+"messages", float64(x.Messages), 1, 1_000_000)
	}
	if f := s.Fairness; f != nil {
		c.maybe("fairness.waiting", float64(f.Waiting), 1, 10_000_000)
		c.maybe("fairness.overrun", f.Overrun, 1.01, 1000)
		c.maybe("fairness.tell_change", f.Tell, 0.01, 1)
		if len(f.Teams) == 0 {
			c.wrong("fairness.teams", "is missing: leave fairness out where there are no teams")
		}
		c.teams(f.Teams, "fairness.teams")
	}
}

const groupsMost = 64

// allowed are the words of engines.may.
var allowed = []string{"probe", "cancel", "copy", "grant", "prioritise", "name-return"}

func (c *checker) teams(l []Team, path string) {
	for i, t := range l {
		at := fmt.Sprintf("%s[%d].", path, i)
		c.name(at+"name", t.Name)
		if !(t.Weight > 0) || t.Weight > 1e6 {
			c.wrong(at+"weight", "%v: a weight is over 0 and up to 1000000", t.Weight)
		}
		c.maybe(at+"budget", t.Budget, 0, 1e9)
		c.maybe(at+"burst", t.Burst, 0, 1e12)
		c.maybe(at+"waiting", float64(t.Waiting), 1, 1e8)
		c.teams(t.Teams, at+"teams")
	}
}

func (c *checker) names(s *Setup) {
	kinds, places := map[string]bool{}, map[string]bool{}
	for i, k := range s.Engines.Kinds {
		if kinds[k.Name] {
			c.wrong(fmt.Sprintf("engines.kinds[%d].name", i), "a second kind is called %q", k.Name)
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
			c.wrong(at+"name", "a second group is called %q", g.Name)
		}
		seen[g.Name] = true
		for j, k := range g.Kinds {
			if !kinds[k] {
				c.wrong(fmt.Sprintf("%skinds[%d]", at, j), "no kind is called %q", k)
			}
		}
		for j, l := range g.Locations {
			if !places[l] {
				c.wrong(fmt.Sprintf("%slocations[%d]", at, j), "no location is called %q", l)
			}
		}
		if g.Target > 0 && g.Timeout > 0 && g.Target > g.Timeout {
			c.wrong(at+"target", "is longer than the timeout of %v", time.Duration(g.Timeout))
		}
	}
	sets := map[netip.Prefix]string{}
	for i, x := range s.Clients {
		for j, a := range prefixes(x.Addresses) {
			if other, had := sets[a.Masked()]; had {
				c.wrong(fmt.Sprintf("clients[%d].addresses[%d]", i, j), "%v is in %q already", a, other)
			}
			sets[a.Masked()] = x.Name
		}
	}
}

// owner is whose addresses some are.
type owner struct{ team, path string }

func (c *checker) fairness(f *Fairness) {
	seen := map[string]string{}
	var owned bart.Table[owner]
	var walk func(l []Team, path string)
	walk = func(l []Team, path string) {
		for i, t := range l {
			at := fmt.Sprintf("%s[%d]", path, i)
			if first, had := seen[t.Name]; had {
				c.wrong(at+".name", "a second team is called %q, the first is %s", t.Name, first)
			}
			seen[t.Name] = at
			if t.Burst > 0 && t.Budget == 0 {
				c.wrong(at+".burst", "a burst without a budget")
			}
			if len(t.Teams) > 0 && len(t.Addresses) > 0 {
				c.wrong(at+".addresses", "belong to a team, and %q has teams of its own", t.Name)
			}
			for j, a := range prefixes(t.Addresses) {
				spot := fmt.Sprintf("%s.addresses[%d]", at, j)
				if other, overlaps := overlap(&owned, a); overlaps && other.path != at {
					c.wrong(spot, "%v overlaps addresses of %q", a, other.team)
				}
				owned.Insert(a.Masked(), owner{t.Name, at})
			}
			if len(t.Teams) > 0 {
				delete(seen, t.Name) // a kind may be called like its one team
				walk(t.Teams, at+".teams")
			}
		}
	}
	walk(f.Teams, "fairness.teams")
	if _, ok := seen[f.Default]; f.Default != "" && !ok {
		c.wrong("fairness.default", "no team is called %q", f.Default)
	}
	if len(f.Trusted) > 0 && f.Fields.Team == "" {
		c.wrong("fairness.trusted", "nothing to trust: fields.team names no field")
	}
	if shape := shapeOf(f); len(c.faults) == 0 {
		shape.Lanes = []fairqueue.Lane{{}}
		if err := shape.Validate(); err != nil {
			c.wrong("fairness.teams", "%v", err)
		}
	}
}

// shape checks that the parts that tell of the deployment's shape go together.
func (c *checker) shape(s *Setup) {
	e := &s.Engines
	for i, f := range e.Figures {
		c.oneOf(fmt.Sprintf("engines.figures[%d]", i), f, "held", "cores")
	}
	for i, t := range e.Tells {
		c.oneOf(fmt.Sprintf("engines.tells[%d]", i), t, "notes", "costs")
	}
	if e.Tells != nil && !slices.Contains(e.Tells, "notes") && e.Notes > 0 {
		c.wrong("engines.notes", "%v between notes, and engines.tells says that there are none", time.Duration(e.Notes))
	}
	if e.Location != "" && !slices.Contains(e.Locations, e.Location) {
		c.wrong("engines.location", "no location is called %q", e.Location)
	}
	if x := s.Shares; x != nil {
		c.maybe("shares.over", x.Over, 0, 1)
		switch {
		case s.Fairness != nil:
			c.wrong("shares", "fairness keeps turns by team already: one of the two goes")
		case x.Field == "":
			c.wrong("shares.field", "is missing: nobody would be known")
		case len(x.Customers) == 0:
			c.wrong("shares.customers", "is missing: leave shares out where nobody has one")
		}
		seen := map[string]bool{}
		for i, who := range x.Customers {
			at := fmt.Sprintf("shares.customers[%d].", i)
			if c.name(at+"name", who.Name); seen[who.Name] {
				c.wrong(at+"name", "a second customer is called %q", who.Name)
			}
			seen[who.Name] = true
			c.number(at+"rate", who.Rate, 1e-9, 1e9)
		}
	}
	if len(c.faults) > 0 {
		return // what is wrong by itself needn't be told as a mix, too
	}
	refused, odd := settings.Conflicts(s.facts())
	for _, m := range append(refused, odd...) { // a file of our own needn't be served by guesses
		c.wrong(keys[m[0]], "%s", m[1])
	}
}

// keys are this file's names for what can still clash once each field is well by itself.
var keys = map[string]string{"report.how": "engines.report", "report.figures": "engines.figures", "budget.span": "engines.budget.span"}

// overlap finds what is there of a prefix, wider or narrower.
func overlap(t *bart.Table[owner], p netip.Prefix) (owner, bool) {
	if !t.OverlapsPrefix(p.Masked()) {
		return owner{}, false
	}
	if _, o, ok := t.LookupPrefixLPM(p.Masked()); ok {
		return o, true
	}
	for _, o := range t.Subnets(p.Masked()) {
		return o, true
	}
	return owner{}, false
}

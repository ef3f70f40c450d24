// Package residency decides where a team's data may be: on which engines its queries
// work, which controllers take them, and where results and cached answers are kept. A
// rule binds all tables of a team or some, to sites that the set-up names. It is pure:
// no I/O, clock or goroutine. It never widens what the decisions may choose from.
//
// A query that touches several rules stays inside all of them. What can't be told of
// one, under a team that is bound, is taken as touching all the team's rules.
package residency

import (
	"maps"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Rule binds tables of a team to sites. Names of rules are unique.
type Rule struct {
	Name   string
	Team   string
	Tables []int64 // none: all that the team has
	// Engines are the sites whose engines may work on it; none: all.
	Engines []string
	// Controllers are the sites whose controllers may take and hold it; nil: as Engines.
	Controllers []string
	// Keep are the sites where results and cached answers of it may be kept; nil: as
	// Controllers, empty but not nil: nowhere.
	Keep []string
	// Follows: a load that reads these tables into others binds those, too.
	Follows   bool
	Emergency Emergency
}

// Emergency names further sites whose engines are allowed once all inside are lost for After.
type Emergency struct {
	Sites []string
	After time.Duration
}

func (r *Rule) takers() []string {
	if r.Controllers != nil {
		return r.Controllers
	}
	return r.Engines
}

// keepers is nil for everywhere.
func (r *Rule) keepers() []string {
	if r.Keep != nil {
		return r.Keep
	}
	return r.takers()
}

// bound is a rule with all tables that it came to bind.
type bound struct {
	Rule
	all bool
	set map[int64]bool
}

// touched: it has a say about these.
func (b *bound) touched(tables []int64, known bool) bool {
	return !known || b.all || slices.ContainsFunc(tables, func(t int64) bool { return b.set[t] })
}

// bind works out what each rule binds. What was bound by a load binds on: a table that
// a load filled from it is bound, too, in whichever order the loads were recorded. That
// may bind more than the data did, and never less.
func bind(rules []Rule, bindings []fleet.Binding) map[string][]*bound {
	teams := map[string][]*bound{}
	for _, r := range rules {
		b := &bound{Rule: r, all: len(r.Tables) == 0, set: map[int64]bool{}}
		for _, t := range r.Tables {
			b.set[t] = true
		}
		for more := r.Follows && !b.all; more; {
			more = false
			for _, x := range bindings {
				if x.Team != r.Team || !slices.ContainsFunc(x.From, func(t int64) bool { return b.set[t] }) {
					continue
				}
				for _, t := range x.Tables {
					if !b.set[t] {
						b.set[t], more = true, true
					}
				}
			}
		}
		teams[r.Team] = append(teams[r.Team], b)
	}
	return teams
}

// Verdict is what the rules say of one query. Its lists are shared: they must not be changed.
type Verdict struct {
	Bound    bool     // a rule has a say
	Rules    []string // which have
	Engines  []string // sites whose engines may have it; nil: all
	Takers   []string // sites whose controllers may; nil: all
	Keepers  []string // sites where its result may be kept; nil: all, empty: nowhere
	Take     bool     // this controller may take it
	Keep     bool     // and may keep its result or answer
	Conflict *Conflict
}

// May reports whether an engine of this site may have the query.
func (v *Verdict) May(site string) bool {
	return v.Conflict == nil && within(v.Engines, site)
}

// within: nil is everywhere.
func within(sites []string, site string) bool { return sites == nil || slices.Contains(sites, site) }

// meet is what two lists have in common; nil is everywhere.
func meet(a, b []string) []string {
	if a == nil || b == nil {
		if a == nil {
			return b
		}
		return a
	}
	both := []string{}
	for _, s := range a {
		if slices.Contains(b, s) {
			both = append(both, s)
		}
	}
	return both
}

// everywhere makes an empty list what it means in a rule.
func everywhere(sites []string) []string {
	if len(sites) == 0 {
		return nil
	}
	return sites
}

// judge asks all rules of a team. wide tells the rules whose emergency is on; nil: none.
func judge(rules []*bound, tables []int64, known bool, wide map[string]uint64) (v Verdict) {
	var said []*bound
	reach := func(b *bound) []string {
		if _, on := wide[b.Name]; on && len(b.Engines) > 0 {
			return append(slices.Clone(b.Engines), b.Emergency.Sites...)
		}
		return everywhere(b.Engines)
	}
	for _, b := range rules {
		if !b.touched(tables, known) {
			continue
		}
		said = append(said, b)
		v.Bound, v.Rules = true, append(v.Rules, b.Name)
		v.Engines = meet(v.Engines, reach(b))
		v.Takers = meet(v.Takers, everywhere(b.takers()))
		if b.Keep != nil {
			v.Keepers = meet(v.Keepers, b.Keep) // an empty one is nowhere
		} else {
			v.Keepers = meet(v.Keepers, everywhere(b.keepers()))
		}
	}
	switch {
	case v.Engines != nil && len(v.Engines) == 0:
		v.Conflict = clash(said, "engine", reach)
	case v.Takers != nil && len(v.Takers) == 0:
		v.Conflict = clash(said, "controller", func(b *bound) []string { return everywhere(b.takers()) })
	}
	return v
}

// clash names the two rules that have no site in common, or all if only all together have none.
func clash(said []*bound, what string, of func(*bound) []string) *Conflict {
	c := &Conflict{What: what, Team: said[0].Team}
	for i, a := range said {
		for _, b := range said[i+1:] {
			if l := meet(of(a), of(b)); l != nil && len(l) == 0 {
				c.Rules = []string{a.Name, b.Name}
				return c
			}
		}
	}
	for _, b := range said {
		if of(b) != nil {
			c.Rules = append(c.Rules, b.Name)
		}
	}
	return c
}

// Core is what one controller knows of the rules in force.
type Core struct {
	site    string
	given   []Rule
	teams   map[string][]*bound
	picture fleet.Picture
	ahead   []fleet.Binding // recorded, and not in the picture yet
	stamp   uint64
	known   map[key]Verdict // of queries on one table, until anything changes

	crossed  []Crossing
	crossing int
}

type key struct {
	team  string
	table int64
	none  bool
}

// knownMost bounds what is remembered: clients choose the numbers in their statements.
const knownMost = 4096

// New is a controller's at a site; "" is at none, and inside no boundary.
func New(site string) *Core { return &Core{site: site, stamp: 1, known: map[key]Verdict{}} }

// Rules takes over other rules: from now on all is judged by them.
func (c *Core) Rules(rules []Rule) {
	c.given = slices.Clone(rules)
	c.again()
}

// Pictured takes over what the record says: what loads bound, and which emergencies are on.
func (c *Core) Pictured(p *fleet.Picture) {
	same := slices.EqualFunc(p.Bindings, c.picture.Bindings, alike) && maps.Equal(p.Emergencies, c.picture.Emergencies)
	c.picture = *p
	c.ahead = slices.DeleteFunc(c.ahead, func(b fleet.Binding) bool {
		return has(p.Bindings, b)
	})
	if !same { // most pictures only tell of other controllers
		c.again()
	}
}

func alike(a, b fleet.Binding) bool {
	return a.Team == b.Team && slices.Equal(a.Tables, b.Tables) && slices.Equal(a.From, b.From)
}

// has: one of them binds as much. The record joins those that follow the same.
func has(l []fleet.Binding, b fleet.Binding) bool {
	return slices.ContainsFunc(l, func(x fleet.Binding) bool {
		return x.Team == b.Team && slices.Equal(x.From, b.From) &&
			!slices.ContainsFunc(b.Tables, func(t int64) bool { return !slices.Contains(x.Tables, t) })
	})
}

// Recorded tells that the record has a binding, though no picture has shown it yet.
func (c *Core) Recorded(b fleet.Binding) {
	if !has(c.picture.Bindings, b) && !has(c.ahead, b) {
		c.ahead = append(c.ahead, b)
		c.again()
	}
}

// Site is where this controller is.
func (c *Core) Site() string { return c.site }

func (c *Core) again() {
	c.teams = bind(c.given, slices.Concat(c.picture.Bindings, c.ahead))
	c.stamp++
	clear(c.known)
}

// Stamp changes with all that verdicts depend on: an older verdict must be asked for anew.
func (c *Core) Stamp() uint64 { return c.stamp }

// Bound reports whether the team has a rule at all. Of others nothing need be found out.
func (c *Core) Bound(team string) bool { return len(c.teams[team]) > 0 }

// Judge says where a team's query on some tables may be. known: these are all the
// tables that it touches.
func (c *Core) Judge(team string, tables []int64, known bool) Verdict {
	rules := c.teams[team]
	if len(rules) == 0 {
		return Verdict{Take: true, Keep: true}
	}
	k := key{team: team, none: len(tables) == 0}
	if !k.none {
		k.table = tables[0]
	}
	remember := known && len(tables) <= 1
	if v, ok := c.known[k]; ok && remember {
		return v
	}
	v := judge(rules, tables, known, c.picture.Emergencies)
	v.Take = v.Conflict == nil && within(v.Takers, c.site)
	v.Keep = v.Conflict == nil && within(v.Keepers, c.site)
	if remember && len(c.known) < knownMost {
		c.known[k] = v
	}
	return v
}

// Needs is what must be in the record before a load may be sent: nil if nothing is
// missing there. read and written are the tables of its statement. A load of which that
// can't be told can't be followed: it is an *Untold where a rule follows data.
func (c *Core) Needs(team string, read, written []int64, known bool) (*fleet.Binding, error) {
	need := &fleet.Binding{Team: team}
	for _, b := range c.teams[team] {
		switch {
		case !b.Follows || b.all:
			continue // what has all tables bound already follows none
		case !known:
			return nil, &Untold{Team: team, Rule: b.Name}
		case !b.touched(read, true):
			continue
		}
		missing := slices.DeleteFunc(slices.Clone(written), func(t int64) bool { return b.set[t] })
		if len(missing) == 0 {
			continue
		}
		need.Tables = append(need.Tables, missing...)
		for _, t := range read {
			if b.set[t] {
				need.From = append(need.From, t)
			}
		}
	}
	if len(need.Tables) == 0 {
		return nil, nil
	}
	need.Tables, need.From = sorted(need.Tables), sorted(need.From)
	return need, nil
}

func sorted(l []int64) []int64 {
	slices.Sort(l)
	return slices.Compact(l)
}

// Crossing is a query that an emergency let go to an engine outside its rule's own sites.
type Crossing struct {
	Query string `json:"query"`
	Team  string `json:"team"`
	Rule  string `json:"rule"`
	Site  string `json:"site"`
}

// crossedMost bounds the list: the latest are kept, all are counted.
const crossedMost = 1000

// Sent notes a submission to an engine of a site. outside: it crossed a boundary in an emergency.
func (c *Core) Sent(query, team string, v *Verdict, site string) (outside bool) {
	for _, b := range c.teams[team] {
		if !slices.Contains(v.Rules, b.Name) || within(everywhere(b.Engines), site) {
			continue
		}
		outside = true
		c.crossing++
		if len(c.crossed) >= crossedMost {
			c.crossed = slices.Delete(c.crossed, 0, 1)
		}
		c.crossed = append(c.crossed, Crossing{Query: query, Team: team, Rule: b.Name, Site: site})
	}
	return outside
}

// Crossed lists the latest crossings, and how many there were in all.
func (c *Core) Crossed() ([]Crossing, int) { return slices.Clone(c.crossed), c.crossing }

// Outside reports whether by the rules themselves, without any emergency, this runs where it may not.
func (c *Core) Outside(team string, tables []int64, known bool, site string) bool {
	rules := c.teams[team]
	if len(rules) == 0 {
		return false
	}
	v := judge(rules, tables, known, nil)
	return !v.May(site)
}

// Watches are the rules that name further sites: the fleet watches whether all inside is lost.
func Watches(rules []Rule) (l []fleet.Watched) {
	for _, r := range rules {
		if len(r.Emergency.Sites) > 0 && len(r.Engines) > 0 {
			l = append(l, fleet.Watched{Rule: r.Name, Team: r.Team, Inside: r.Engines, After: r.Emergency.After})
		}
	}
	return l
}

// Watches are those of the rules in force.
func (c *Core) Watches() []fleet.Watched { return Watches(c.given) }

// Calmed is what has to be purged once a rule's emergency has ended: what was kept of it
// where its results may not be kept. nil: nothing can be, its results may be anywhere.
func Calmed(rules []Rule, name string) *fleet.Scope {
	for _, r := range rules {
		if r.Name == name {
			return scope(r.Team, r.Tables, r.keepers(), r.Keep == nil && len(r.keepers()) == 0)
		}
	}
	return nil
}

func scope(team string, tables []int64, keepers []string, anywhere bool) *fleet.Scope {
	if anywhere {
		return nil
	}
	return &fleet.Scope{Team: team, Tables: tables, Outside: keepers}
}

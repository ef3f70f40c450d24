package historycheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// What a fleet's history can be found to break.
const (
	StaleVersion     = "mixed"             // something was done by a version after something was by a later one
	PartialChange    = "half"              // what was withdrawn acted, or what was in force didn't
	Contradiction    = "false_word"        // the word on a change or purge was another one later
	ServedAfterPurge = "served_after"      // what a purge had made unreachable came out
	FalsePurge       = "confirmed_wrongly" // a disk held what was told to be purged
	PlacementFault   = "crossed"           // a bound team's query ran outside its sites
)

// Kinds are all of them.
var Kinds = []string{StaleVersion, PartialChange, Contradiction, ServedAfterPurge, FalsePurge, PlacementFault}

// Step is one thing that happened: what it was about is what it's found again by.
type Step struct {
	At          time.Duration
	Description string
	Subjects    []string
	frequent    bool // one of very many: only shown where it is an end
}

func (s Step) String() string { return fmt.Sprintf("%12v  %s", s.At, s.Description) }

// Fault is one invariant broken, with the shortest stretch of the history that shows it.
type Fault struct {
	Kind        string
	Description string
	Excerpt     []Step
}

func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", f.Kind, f.Description)
	for _, s := range f.Excerpt {
		fmt.Fprintf(&b, "\n  %v", s)
	}
	return b.String()
}

// Fleet is the joint history of many controllers on one clock, as engines, clients and
// operators saw it; each step is checked as it comes. Steps of one kind come in the
// order of their times.
type FleetHistory struct {
	// Slack is how far apart two sights of one moment can lie: 0 in virtual time, on a
	// machine what a reader may sleep. What was asked for after a sight is judged by it
	// without any.
	Slack  time.Duration
	Faults []Fault
	// Counts of what arose: a run in which nothing did shows nothing.
	Acts, Changes, Withdrawn, Purges, Bound int

	steps            []Step
	firstByVersion   map[uint64]observation // the first act by each version
	changes          map[string]*change
	changeByVersion  map[uint64]string // the change that made a version
	firstActByChange map[string]int    // the first act by a change
	purges           map[string]*purge
	results          map[string]resultStart
	ruleSets         []ruleSet
	siteAllowances   []siteAllowance
}

type observation struct {
	at   time.Duration
	step int
}

type change struct {
	outcome string
	version uint64
	at      time.Duration
	step    int
}

type purge struct {
	scope       fleet.Scope
	requested   time.Duration
	unreachable observation
	purged      observation
	counts      fleet.InvalidationCounts
	counted     bool
}

type resultStart struct {
	at     time.Duration
	team   string
	tables []int64
}

// Rule is what binds a team's tables to sites; none of the tables: all of the team's.
type Rule struct {
	Team   string
	Tables []int64
	Sites  []string
}

// ruled is a set of rules that could be in force in a span.
type ruleSet struct {
	change   string
	rules    []Rule
	from, to time.Duration // to: once the next one was told to be in force
}

// loosed is a span in which a team's queries may run at further sites.
type siteAllowance struct {
	team     string
	sites    []string
	from, to time.Duration
}

const never = time.Duration(1<<63 - 1)
const maxSteps = 400_000

// Note keeps a step that nothing is judged by, for the stretch that is shown.
func (f *FleetHistory) Note(now time.Duration, what string, about ...string) int {
	if len(f.steps) > maxSteps { // a long schedule: what is old is not shown any more
		return len(f.steps) - 1
	}
	f.steps = append(f.steps, Step{now, what, about, false})
	return len(f.steps) - 1
}

// act is Note of what happens very often.
func (f *FleetHistory) noteFrequent(now time.Duration, what string, about ...string) int {
	i := f.Note(now, what, about...)
	f.steps[i].frequent = true
	return i
}

// broken notes a fault between two steps, with what lies between them and is about the
// same things.
func (f *FleetHistory) addFault(kind, what string, from, to int) {
	if len(f.Faults) >= maxFaults {
		return
	}
	x := Fault{Kind: kind, Description: what}
	if from >= 0 && from < len(f.steps) {
		x.Excerpt = append(x.Excerpt, f.steps[from])
	}
	about := f.steps[to].Subjects
	var between []Step
	for i := max(from, 0) + 1; i < to; i++ {
		if s := f.steps[i]; !s.frequent && slices.ContainsFunc(s.Subjects, func(a string) bool { return slices.Contains(about, a) }) {
			between = append(between, s)
		}
	}
	if len(between) > 12 {
		between = between[len(between)-12:]
	}
	x.Excerpt = append(append(x.Excerpt, between...), f.steps[to])
	f.Faults = append(f.Faults, x)
}

// Count is how often a kind was broken.
func (f *FleetHistory) Count(kind string) (n int) {
	for _, x := range f.Faults {
		if x.Kind == kind {
			n++
		}
	}
	return n
}

func (f *FleetHistory) initMaps() {
	if f.firstByVersion == nil {
		f.firstByVersion, f.changes, f.changeByVersion = map[uint64]observation{}, map[string]*change{}, map[uint64]string{}
		f.firstActByChange = map[string]int{}
		f.purges, f.results = map[string]*purge{}, map[string]resultStart{}
	}
}

// Acted notes that a controller took, released or submitted a query by a version. asked is
// when its client asked; what was asked for after a later version was seen is judged
// without slack.
func (f *FleetHistory) Acted(now, asked time.Duration, controller, query string, version uint64) {
	f.initMaps()
	f.Acts++
	step := f.noteFrequent(now, fmt.Sprintf("act of %s on %s by version %d", controller, query, version), controller, "version "+fmt.Sprint(version))
	if _, had := f.firstByVersion[version]; !had {
		f.firstByVersion[version] = observation{now, step}
	}
	for v, s := range f.firstByVersion {
		if v > version && (asked > s.at || now > s.at+f.Slack) {
			f.addFault(StaleVersion, fmt.Sprintf("%s acted by version %d, and version %d had acted %v before", controller, version, v, now-s.at), s.step, step)
			return
		}
	}
	for id, c := range f.changes {
		if c.outcome == "in force" && c.version > version && asked > c.at {
			f.addFault(PartialChange, fmt.Sprintf("%s acted by version %d on what was asked for %v after %s (version %d) was told to be in force",
				controller, version, asked-c.at, id, c.version), c.step, step)
			return
		}
	}
}

// ActedFor is Acted where only the change can be told that made the policy: one that
// was withdrawn never acts.
func (f *FleetHistory) ActedByChange(now time.Duration, controller, query, id string) {
	f.initMaps()
	step := f.noteFrequent(now, fmt.Sprintf("act of %s on %s by change %s", controller, query, id), controller, id)
	if _, had := f.firstActByChange[id]; !had {
		f.firstActByChange[id] = step
	}
	if c := f.changes[id]; c != nil && isFinal(c.outcome) && c.outcome != "in force" {
		f.addFault(PartialChange, fmt.Sprintf("%s acted by %s, which was %s", controller, id, c.outcome), c.step, step)
	}
}

func isFinal(word string) bool { return word == "in force" || word == "withdrawn" || word == "refused" }

// Changed notes that an operator got a word on a change, at the first asking or a later
// one. "unknown" is no word, and a change that is settled has been in force.
func (f *FleetHistory) ChangeReported(now time.Duration, by, id, word string, version uint64) {
	f.initMaps()
	step := f.Note(now, fmt.Sprintf("%s tells of %s: %s, version %d", by, id, word, version), id, by)
	if word == "settled" {
		word = "in force"
	}
	if !isFinal(word) {
		return
	}
	c := f.changes[id]
	if c == nil {
		c = &change{outcome: word, version: version, at: now, step: step}
		f.changes[id] = c
		switch word {
		case "in force":
			f.Changes++
			if other, had := f.changeByVersion[version]; had {
				f.addFault(Contradiction, fmt.Sprintf("version %d was told to be %s and to be %s", version, other, id), f.changes[other].step, step)
			}
			f.changeByVersion[version] = id
		case "withdrawn":
			f.Withdrawn++
		}
		if first, had := f.firstActByChange[id]; had && word != "in force" {
			f.addFault(PartialChange, fmt.Sprintf("%s was %s, and had been acted by", id, word), first, step)
		}
		return
	}
	if (c.outcome == "in force") != (word == "in force") || word == "in force" && c.version != version {
		f.addFault(Contradiction, fmt.Sprintf("%s was told to be %s (version %d), and now %s (version %d)", id, c.outcome, c.version, word, version), c.step, step)
	}
}

// PurgeAsked notes that a purge was asked for; what was drawn before is its.
func (f *FleetHistory) PurgeRequested(now time.Duration, id string, scope fleet.Scope) {
	f.initMaps()
	f.Note(now, "purge "+id+" of "+scope.Team+" asked for", id)
	f.purges[id] = &purge{scope: scope, requested: now, unreachable: observation{at: never}, purged: observation{at: never}}
}

// PurgeTold notes that who asked was told unreachable or purged; other words are none.
func (f *FleetHistory) PurgeReported(now time.Duration, by, id, word string, counts *fleet.InvalidationCounts) {
	f.initMaps()
	step := f.Note(now, fmt.Sprintf("%s tells of purge %s: %s", by, id, word), id, by)
	p := f.purges[id]
	if p == nil {
		return
	}
	if word == "unreachable" || word == "purged" {
		if p.unreachable.at == never {
			p.unreachable = observation{now, step}
		}
	}
	if word != "purged" && word != "refused" {
		return
	}
	if word == "refused" && p.unreachable.at != never {
		f.addFault(Contradiction, "purge "+id+" was told to be done, and now refused", p.unreachable.step, step)
		return
	}
	if word == "purged" && p.purged.at == never {
		f.Purges++
		p.purged = observation{now, step}
	}
	if counts != nil {
		if p.counted && p.counts != *counts {
			f.addFault(Contradiction, fmt.Sprintf("purge %s found %+v, and now %+v", id, p.counts, *counts), p.purged.step, step)
		}
		p.counts, p.counted = *counts, true
	}
}

// Drawn notes that an engine began to make an answer, whose bytes bear the query's name.
func (f *FleetHistory) ResultStarted(now time.Duration, query, team string, tables ...int64) {
	f.initMaps()
	f.noteFrequent(now, "an engine begins "+query, query)
	if _, had := f.results[query]; !had {
		f.results[query] = resultStart{now, team, tables}
	}
}

func (p *purge) covers(d resultStart) bool {
	if p.scope.Team != d.team || d.at >= p.requested || p.scope.RetainedBeforeMs > 0 || len(p.scope.OutsideSites) > 0 {
		return false // by the wall or by places: judged where these are known
	}
	return len(p.scope.Tables) == 0 || slices.ContainsFunc(p.scope.Tables, func(t int64) bool { return slices.Contains(d.tables, t) })
}

// Served notes that bytes drawn by source came out of a controller's keeping, for what was
// asked at a time: a page, or an answer that bears another query's name.
func (f *FleetHistory) Served(now, asked time.Duration, controller, source string) {
	f.initMaps()
	step := f.noteFrequent(now, controller+" serves what was drawn by "+source, controller, source)
	for id, p := range f.purges {
		if p.covers(f.results[source]) && (asked > p.unreachable.at || p.unreachable.at != never && now > p.unreachable.at+f.Slack && f.Slack == 0) {
			f.addFault(ServedAfterPurge, fmt.Sprintf("%s served %s, asked for %v after purge %s was told to be unreachable", controller, source, asked-p.unreachable.at, id),
				p.unreachable.step, step)
		}
	}
}

// Held notes that a controller's disk was looked at and holds bytes drawn by source.
func (f *FleetHistory) FoundOnDisk(now time.Duration, controller, source string) {
	f.initMaps()
	for id, p := range f.purges {
		if p.covers(f.results[source]) && now > p.purged.at {
			step := f.noteFrequent(now, "the disk of "+controller+" holds "+source, controller, source)
			f.addFault(FalsePurge, fmt.Sprintf("%s holds %s, and purge %s was told to be done", controller, source, id), p.purged.step, step)
		}
	}
}

// Rules notes that by a change these could be in force from now on.
func (f *FleetHistory) AddRules(now time.Duration, change string, rules ...Rule) {
	f.ruleSets = append(f.ruleSets, ruleSet{change, rules, now, never})
}

// RulesAre notes that a change was told to be in force; the rules before it hold no more
// for what is asked from now on. One that was withdrawn never did.
func (f *FleetHistory) SettleRules(now time.Duration, change string, inForce bool) {
	i := slices.IndexFunc(f.ruleSets, func(r ruleSet) bool { return r.change == change })
	if i < 0 {
		return
	}
	if !inForce {
		f.ruleSets = slices.Delete(f.ruleSets, i, i+1)
		return
	}
	for j := range f.ruleSets {
		if j != i && f.ruleSets[j].from <= f.ruleSets[i].from {
			f.ruleSets[j].to = min(f.ruleSets[j].to, now)
		}
	}
}

// Loosed notes that a team's queries may run at further sites from now on, until Fastened.
func (f *FleetHistory) AllowSites(now time.Duration, team string, sites ...string) {
	f.siteAllowances = append(f.siteAllowances, siteAllowance{team, sites, now, never})
}

// Fastened ends what Loosed began, for what is asked from now on.
func (f *FleetHistory) RevokeSites(now time.Duration, team string) {
	for i := range f.siteAllowances {
		if f.siteAllowances[i].team == team {
			f.siteAllowances[i].to = min(f.siteAllowances[i].to, now)
		}
	}
}

// Ran notes that an engine at a site runs a team's query on tables, asked for at a time.
// Any set of rules that could be in force from then to now may allow it.
func (f *FleetHistory) Ran(now, asked time.Duration, controller, query, team, site string, tables ...int64) {
	step := f.noteFrequent(now, fmt.Sprintf("%s of %s runs at %s, by %s", query, team, site, controller), query, team)
	bound, allowed, any := false, false, false
	for _, set := range f.ruleSets {
		if set.from > now || set.to < asked {
			continue
		}
		any = true
		ok := true
		for _, r := range set.rules {
			if r.Team == team && (len(r.Tables) == 0 || slices.ContainsFunc(r.Tables, func(t int64) bool { return slices.Contains(tables, t) })) {
				bound = true
				ok = ok && slices.Contains(r.Sites, site)
			}
		}
		allowed = allowed || ok
	}
	if bound {
		f.Bound++
	}
	for _, l := range f.siteAllowances {
		allowed = allowed || l.team == team && l.from <= now && asked <= l.to && slices.Contains(l.sites, site)
	}
	if any && !allowed {
		f.addFault(PlacementFault, fmt.Sprintf("%s sent %s of %s to %s", controller, query, team, site), -1, step)
	}
}

// Steps are all that were kept, in turn.
func (f *FleetHistory) Steps() []Step { return f.steps }

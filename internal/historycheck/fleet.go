package historycheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// The kinds of faults in a fleet's history. The values are those of the bench's reports.
const (
	StaleVersion     = "mixed"             // an act on an older policy version after an act on a newer one
	PartialChange    = "half"              // a withdrawn change took effect, or a change in force did not
	Contradiction    = "false_word"        // a later report on a change or purge contradicts an earlier one
	ServedAfterPurge = "served_after"      // a result was served after its purge was reported
	FalsePurge       = "confirmed_wrongly" // a disk held a result after its purge was reported as complete
	PlacementFault   = "crossed"           // a query ran outside the sites that its tenant is bound to
)

// Kinds lists all kinds of faults.
var Kinds = []string{
	StaleVersion, PartialChange, Contradiction, ServedAfterPurge, FalsePurge, PlacementFault,
}

// Step is one event of a history. Steps with a common subject are related.
type Step struct {
	At          time.Duration
	Description string
	Subjects    []string
	frequent    bool // excerpts show a frequent step only as their first or last one
}

func (s Step) String() string { return fmt.Sprintf("%12v  %s", s.At, s.Description) }

// Fault is the violation of one invariant, with an excerpt of the history that shows the violation.
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

// FleetHistory is the joint history of several controllers on one clock, as engines, clients and
// operators observed them. It checks each step as it is added. Steps of one kind must be added in
// the order of their times.
type FleetHistory struct {
	// Slack is the largest difference between two observers' times of one event: 0 in virtual time,
	// and in real time the longest delay with which an observer records an event. A query that its
	// client sent after an observation is checked against the observation without slack.
	Slack  time.Duration
	Faults []Fault
	// Counts of the checked events: a history without events of a kind proves nothing about them.
	// Changes counts the changes in force, Bound the runs of queries that a placement rule binds.
	Acts, Changes, Withdrawn, Purges, Bound int

	steps            []Step
	firstByVersion   map[uint64]observation // first act on each version
	changes          map[string]*change
	changeByVersion  map[uint64]string // ID of the change that created a version
	firstActByChange map[string]int    // index of the first step that acted by the policy of a change
	purges           map[string]*purge
	results          map[string]resultStart
	ruleSets         []ruleSet
	siteAllowances   []siteAllowance
}

// observation is the time of an event and the index of its step.
type observation struct {
	at   time.Duration
	step int
}

// change is the first final outcome that was reported for a policy change.
type change struct {
	outcome string
	version uint64
	at      time.Duration
	step    int
}

type purge struct {
	scope       fleet.Scope
	requested   time.Duration
	unreachable observation // first report as unreachable or purged: the results are no longer served
	purged      observation // first report as purged: the results are no longer on any disk
	counts      fleet.InvalidationCounts
	counted     bool
}

// resultStart is the time at which an engine first started the query that produces a result.
type resultStart struct {
	at     time.Duration
	tenant string
	tables []int64
}

// Rule binds a tenant's queries on some tables to sites. A rule without tables covers all of them.
type Rule struct {
	Tenant string
	Tables []int64
	Sites  []string
}

// ruleSet is the placement rules of one change, with the period in which they may be in force.
type ruleSet struct {
	change   string
	rules    []Rule
	from, to time.Duration // to is when a later change was reported as in force
}

// siteAllowance is a period in which a tenant's queries may run at further sites.
type siteAllowance struct {
	tenant   string
	sites    []string
	from, to time.Duration
}

// never is the time of an event that has not happened.
const never = time.Duration(1<<63 - 1)

// maxSteps bounds the steps that one history keeps.
const maxSteps = 400_000

// maxExcerptSteps bounds the steps between the first and last step of an excerpt.
const maxExcerptSteps = 12

// Note adds a step for excerpts and returns its index. Note itself checks nothing. A full history
// drops the step, and Note returns the index of the last kept step.
func (f *FleetHistory) Note(now time.Duration, description string, subjects ...string) int {
	if len(f.steps) > maxSteps {
		return len(f.steps) - 1
	}
	f.steps = append(f.steps, Step{now, description, subjects, false})
	return len(f.steps) - 1
}

// noteFrequent adds a step like Note, for an event that is too frequent for excerpts: an excerpt shows
// the step only as its first or last one.
func (f *FleetHistory) noteFrequent(now time.Duration, description string, subjects ...string) int {
	i := f.Note(now, description, subjects...)
	f.steps[i].frequent = true
	return i
}

// addFault records a fault between two steps. Its excerpt holds both steps and, of the steps between
// them that share a subject with the last step and aren't frequent, the last maxExcerptSteps. If from
// is negative, the excerpt has no first step, and the steps between begin at index 1.
func (f *FleetHistory) addFault(kind, description string, from, to int) {
	if len(f.Faults) >= maxFaults {
		return
	}
	fault := Fault{Kind: kind, Description: description}
	if from >= 0 && from < len(f.steps) {
		fault.Excerpt = append(fault.Excerpt, f.steps[from])
	}
	subjects := f.steps[to].Subjects
	related := func(subject string) bool { return slices.Contains(subjects, subject) }
	var between []Step
	for i := max(from, 0) + 1; i < to; i++ {
		if s := f.steps[i]; !s.frequent && slices.ContainsFunc(s.Subjects, related) {
			between = append(between, s)
		}
	}
	if len(between) > maxExcerptSteps {
		between = between[len(between)-maxExcerptSteps:]
	}
	fault.Excerpt = append(append(fault.Excerpt, between...), f.steps[to])
	f.Faults = append(f.Faults, fault)
}

// Count returns the number of recorded faults of a kind.
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
		f.firstByVersion, f.changes = map[uint64]observation{}, map[string]*change{}
		f.changeByVersion = map[uint64]string{}
		f.firstActByChange = map[string]int{}
		f.purges, f.results = map[string]*purge{}, map[string]resultStart{}
	}
}

// Acted records that a controller accepted, released or submitted a query under a policy version.
// sent is when the client sent the query. Acted adds a StaleVersion fault if another act used a newer
// version before sent, or more than Slack before now. It adds a PartialChange fault if a newer version
// was reported as in force before sent.
func (f *FleetHistory) Acted(now, sent time.Duration, controller, query string, version uint64) {
	f.initMaps()
	f.Acts++
	step := f.noteFrequent(now, fmt.Sprintf("%s acted on %s by version %d", controller, query, version),
		controller, "version "+fmt.Sprint(version))
	if _, had := f.firstByVersion[version]; !had {
		f.firstByVersion[version] = observation{now, step}
	}
	for v, s := range f.firstByVersion {
		if v > version && (sent > s.at || now > s.at+f.Slack) {
			f.addFault(StaleVersion, fmt.Sprintf("%s acted by version %d, %v after an act by version %d",
				controller, version, now-s.at, v), s.step, step)
			return
		}
	}
	for id, c := range f.changes {
		if c.outcome == "in force" && c.version > version && sent > c.at {
			f.addFault(PartialChange, fmt.Sprintf(
				"%s acted by version %d on a query sent %v after %s (version %d) was reported as in force",
				controller, version, sent-c.at, id, c.version), c.step, step)
			return
		}
	}
}

// ActedByChange records that a controller acted by the policy of a change, for observers that don't see
// the policy's version. It checks only that the change wasn't withdrawn or refused, and doesn't count
// in Acts.
func (f *FleetHistory) ActedByChange(now time.Duration, controller, query, id string) {
	f.initMaps()
	step := f.noteFrequent(now, fmt.Sprintf("%s acted on %s by change %s", controller, query, id),
		controller, id)
	if _, had := f.firstActByChange[id]; !had {
		f.firstActByChange[id] = step
	}
	if c := f.changes[id]; c != nil && isFinal(c.outcome) && c.outcome != "in force" {
		f.addFault(PartialChange,
			fmt.Sprintf("%s acted by change %s, which was %s", controller, id, c.outcome), c.step, step)
	}
}

// isFinal reports whether ChangeReported checks an outcome against other reports.
func isFinal(outcome string) bool {
	return outcome == "in force" || outcome == "withdrawn" || outcome == "refused"
}

// ChangeReported records the outcome of a change that an operator received, from the first request
// or a later one. It adds a Contradiction fault if a change was in force by one report but not by
// another, if its version differs between two reports, or if two changes have the same version. It
// adds a PartialChange fault if a controller acted by a change that isn't in force. "settled" counts
// as "in force", and "withdrawn" doesn't contradict "refused". Other outcomes are not checked.
func (f *FleetHistory) ChangeReported(now time.Duration, by, id, outcome string, version uint64) {
	f.initMaps()
	step := f.Note(now, fmt.Sprintf("%s reports change %s: %s, version %d", by, id, outcome, version), id, by)
	if outcome == "settled" {
		outcome = "in force"
	}
	if !isFinal(outcome) {
		return
	}
	c := f.changes[id]
	if c == nil {
		c = &change{outcome: outcome, version: version, at: now, step: step}
		f.changes[id] = c
		switch outcome {
		case "in force":
			f.Changes++
			if other, had := f.changeByVersion[version]; had {
				f.addFault(Contradiction,
					fmt.Sprintf("version %d was reported for changes %s and %s", version, other, id),
					f.changes[other].step, step)
			}
			f.changeByVersion[version] = id
		case "withdrawn":
			f.Withdrawn++
		}
		if first, had := f.firstActByChange[id]; had && outcome != "in force" {
			f.addFault(PartialChange,
				fmt.Sprintf("change %s was %s after a controller had acted by it", id, outcome), first, step)
		}
		return
	}
	if (c.outcome == "in force") != (outcome == "in force") || outcome == "in force" && c.version != version {
		f.addFault(Contradiction, fmt.Sprintf(
			"change %s was reported as %s (version %d) and later as %s (version %d)",
			id, c.outcome, c.version, outcome, version), c.step, step)
	}
}

// PurgeRequested records the request for a purge, which covers the results started before it.
func (f *FleetHistory) PurgeRequested(now time.Duration, id string, scope fleet.Scope) {
	f.initMaps()
	f.Note(now, "purge "+id+" of "+scope.Tenant+" requested", id)
	f.purges[id] = &purge{scope: scope, requested: now,
		unreachable: observation{at: never}, purged: observation{at: never}}
}

// PurgeReported records the outcome of a purge that an operator received. It adds a Contradiction fault
// if the purge is refused after a report as unreachable or purged, or if the counts of two final
// reports differ. Other outcomes are not checked.
func (f *FleetHistory) PurgeReported(now time.Duration, by, id, outcome string,
	counts *fleet.InvalidationCounts) {
	f.initMaps()
	step := f.Note(now, fmt.Sprintf("%s reports purge %s: %s", by, id, outcome), id, by)
	p := f.purges[id]
	if p == nil {
		return
	}
	if outcome == "unreachable" || outcome == "purged" {
		if p.unreachable.at == never {
			p.unreachable = observation{now, step}
		}
	}
	if outcome != "purged" && outcome != "refused" {
		return
	}
	if outcome == "refused" && p.unreachable.at != never {
		f.addFault(Contradiction, "purge "+id+" was reported as unreachable or purged and later as refused",
			p.unreachable.step, step)
		return
	}
	if outcome == "purged" && p.purged.at == never {
		f.Purges++
		p.purged = observation{now, step}
	}
	if counts != nil {
		if p.counted && p.counts != *counts {
			f.addFault(Contradiction,
				fmt.Sprintf("purge %s was reported with counts %+v and later %+v", id, p.counts, *counts),
				p.purged.step, step)
		}
		p.counts, p.counted = *counts, true
	}
}

// ResultStarted records that an engine started to produce the result of a query. Only the first start
// counts. The bytes of the result contain the query's ID.
func (f *FleetHistory) ResultStarted(now time.Duration, query, tenant string, tables ...int64) {
	f.initMaps()
	f.noteFrequent(now, "an engine starts "+query, query)
	if _, had := f.results[query]; !had {
		f.results[query] = resultStart{now, tenant, tables}
	}
}

// covers reports whether the purge must remove a result. It always returns false for a purge by
// retention time or site: such purges are checked where the retention times and sites are known.
func (p *purge) covers(result resultStart) bool {
	if p.scope.Tenant != result.tenant || result.at >= p.requested ||
		p.scope.RetainedBeforeMs > 0 || len(p.scope.OutsideSites) > 0 {
		return false
	}
	usesTable := func(table int64) bool { return slices.Contains(result.tables, table) }
	return len(p.scope.Tables) == 0 || slices.ContainsFunc(p.scope.Tables, usesTable)
}

// Served records that a controller served stored bytes of the query source, as a page or as the answer
// to another query. requested is when the client requested the bytes. Served adds a fault if a purge
// that covers the result was reported as unreachable or purged before requested. If Slack is 0, a
// report between requested and now is a fault too.
func (f *FleetHistory) Served(now, requested time.Duration, controller, source string) {
	f.initMaps()
	step := f.noteFrequent(now, controller+" serves the result of "+source, controller, source)
	for id, purge := range f.purges {
		if purge.covers(f.results[source]) && (requested > purge.unreachable.at ||
			purge.unreachable.at != never && now > purge.unreachable.at+f.Slack && f.Slack == 0) {
			f.addFault(ServedAfterPurge, fmt.Sprintf(
				"%s served %s, requested %v after purge %s was reported as unreachable",
				controller, source, requested-purge.unreachable.at, id),
				purge.unreachable.step, step)
		}
	}
}

// FoundOnDisk records that a controller's disk holds bytes of the query source. It adds a fault if a
// purge that covers the result was reported as purged before.
func (f *FleetHistory) FoundOnDisk(now time.Duration, controller, source string) {
	f.initMaps()
	for id, p := range f.purges {
		if p.covers(f.results[source]) && now > p.purged.at {
			step := f.noteFrequent(now, "the disk of "+controller+" holds "+source, controller, source)
			f.addFault(FalsePurge,
				fmt.Sprintf("%s holds %s after purge %s was reported as purged", controller, source, id),
				p.purged.step, step)
		}
	}
}

// AddRules records that the rules of a change may be in force from now on.
func (f *FleetHistory) AddRules(now time.Duration, change string, rules ...Rule) {
	f.ruleSets = append(f.ruleSets, ruleSet{change, rules, now, never})
}

// SettleRules records the final outcome of a change with rules. If the change is in force, the earlier
// rules end for queries sent from now on. If it isn't in force, SettleRules removes its rules.
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

// AllowSites records that a tenant's queries may run at further sites from now on, until RevokeSites.
func (f *FleetHistory) AllowSites(now time.Duration, tenant string, sites ...string) {
	f.siteAllowances = append(f.siteAllowances, siteAllowance{tenant, sites, now, never})
}

// RevokeSites ends the effect of AllowSites for queries sent from now on.
func (f *FleetHistory) RevokeSites(now time.Duration, tenant string) {
	for i := range f.siteAllowances {
		if f.siteAllowances[i].tenant == tenant {
			f.siteAllowances[i].to = min(f.siteAllowances[i].to, now)
		}
	}
}

// covers reports whether the rule binds a tenant's query on tables.
func (r Rule) covers(tenant string, tables []int64) bool {
	bound := func(table int64) bool { return slices.Contains(tables, table) }
	return r.Tenant == tenant && (len(r.Tables) == 0 || slices.ContainsFunc(r.Tables, bound))
}

// Ran records that an engine at a site runs a tenant's query on tables. sent is when the client sent the
// query. The run is valid if any set of rules that could be in force between sent and now allows it,
// or if AllowSites does.
func (f *FleetHistory) Ran(now, sent time.Duration, controller, query, tenant, site string, tables ...int64) {
	step := f.noteFrequent(now, fmt.Sprintf("%s of %s runs at %s, by %s", query, tenant, site, controller),
		query, tenant)
	bound, allowed, rulesKnown := false, false, false
	for _, set := range f.ruleSets {
		if set.from > now || set.to < sent {
			continue
		}
		rulesKnown = true
		setAllows := true
		for _, r := range set.rules {
			if r.covers(tenant, tables) {
				bound = true
				setAllows = setAllows && slices.Contains(r.Sites, site)
			}
		}
		allowed = allowed || setAllows
	}
	if bound {
		f.Bound++
	}
	for _, l := range f.siteAllowances {
		allowed = allowed || l.tenant == tenant && l.from <= now && sent <= l.to && slices.Contains(l.sites, site)
	}
	if rulesKnown && !allowed {
		f.addFault(PlacementFault, fmt.Sprintf("%s sent %s of %s to %s", controller, query, tenant, site), -1, step)
	}
}

// Steps returns all kept steps, in the order in which they were added.
func (f *FleetHistory) Steps() []Step { return f.steps }

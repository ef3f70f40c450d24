package controller

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/residency"
	"railrelay.dev/railrelay/internal/scheduler"
)

// placement holds queries to where their teams' data may be: when they are taken, when
// they are handed on to the decisions, and at each submission by the rules as they are then.
type residencyState struct {
	*servingLease
	core        *residency.Core
	siteNames   []string // of locations, by their places in the settings
	judgedStamp uint64   // of the rules that all in hand was last judged by

	pendingBindings map[string]*bindingRequest // of the fleet, by id

	// counts
	boundQueries, conflicts, redirectedQueries, requestedBindings, barredSends int
}

// binding is what a load needs in the record before it may be sent; all loads that need
// the same wait for one.
type bindingRequest struct {
	binding *fleet.Binding
	backoff time.Duration // before it is asked for once more
}

// placed is what is known of where one query may be.
type queryResidency struct {
	tenant        string
	inspected     bool // its statement was looked at: the team was bound at some time
	readTables    []int64
	writtenTables []int64
	tables        []int64
	tablesKnown   bool

	verdict       residency.Verdict
	stamp         uint64
	attemptsNoted int // submissions, when the last was noted as sent
}

func newResidencyState(w *servingLease) *residencyState {
	p := &residencyState{servingLease: w, siteNames: strings.Split(w.Settings["locations"], ","), pendingBindings: map[string]*bindingRequest{}}
	site := ""
	if at := w.Settings["own.location"]; at != "" {
		i, _ := strconv.Atoi(at)
		site = p.siteName(i)
	}
	p.core = residency.New(site)
	p.judgedStamp = p.core.Stamp()
	return p
}

func (p *residencyState) siteName(place int) string {
	if place < 0 || place >= len(p.siteNames) {
		return ""
	}
	return p.siteNames[place]
}

// verdict judges a query by the rules as they are now.
func (p *residencyState) verdict(q *query) *residency.Verdict {
	x := q.residency
	if x.stamp == p.core.Stamp() {
		return &x.verdict
	}
	if !x.inspected && p.core.Bound(x.tenant) {
		x.inspect(q)
	}
	x.stamp, x.verdict = p.core.Stamp(), p.core.Judge(x.tenant, x.tables, x.tablesKnown)
	return &x.verdict
}

// tell looks at its statement, for as long as it is there.
func (x *queryResidency) inspect(q *query) {
	x.inspected = true
	x.readTables, x.writtenTables, x.tablesKnown = msgpackrpc.AllTables(q.statement)
	x.tables = slices.Concat(x.readTables, x.writtenTables)
	if len(q.statement) == 0 || q.group.isLoad && len(x.writtenTables) == 0 {
		x.tablesKnown = false // it is forgotten, or loads into what can't be told: the strictest
	}
}

// binds: it needs the lease of bound teams. It is asked before enters.
func (p *residencyState) isBound(q *query, from From) bool {
	q.residency = &queryResidency{tenant: p.residencyTenantOf(q, from), tablesKnown: true}
	return p.verdict(q).Bound
}

func (p *residencyState) checkAdmission(q *query, from From) bool {
	v := p.verdict(q)
	if !v.Bound {
		return true
	}
	p.boundQueries++
	if !p.ensureServable(q, v) {
		return false
	}
	need, err := p.requiredBinding(q)
	if err != nil {
		p.conflicts++
		p.answerKilled(q, err.Error())
		return false
	}
	if need != nil {
		p.requestBinding(need)
	}
	if unrecorded(need, err) {
		p.hold(q, from) // release tries it again once the record has it
		return false
	}
	return true
}

// fits answers a query that may not be here or nowhere at all. Nothing of it was sent.
func (p *residencyState) ensureServable(q *query, v *residency.Verdict) bool {
	switch {
	case v.Conflict != nil:
		p.conflicts++
		p.answerKilled(q, v.Conflict.Error())
	case !v.Take:
		p.redirect(q, v)
	}
	return !q.answered
}

// needs is what must be recorded before it may be sent, nil: nothing.
func (p *residencyState) requiredBinding(q *query) (*fleet.Binding, error) {
	x := q.residency
	readOnly := p.Settings["group."+strconv.Itoa(q.group.index)+".effect"] == "read-only"
	if !q.group.isLoad && len(x.writtenTables) == 0 && (x.tablesKnown || readOnly) {
		return nil, nil
	}
	return p.core.Needs(x.tenant, x.readTables, x.writtenTables, x.tablesKnown)
}

// direct defers a query, and tells its client which controllers may take it.
func (p *residencyState) redirect(q *query, v *residency.Verdict) {
	p.redirectedQueries++
	var may []string
	for _, m := range p.fleetView.Members {
		if !m.Forgotten && m.Clients != "" && slices.Contains(v.Takers, m.Site) {
			may = append(may, m.Clients)
		}
	}
	p.logAbout(q.logFields(), (&residency.Outside{Team: q.residency.tenant, Site: p.core.Site(), Rules: v.Rules, Controllers: may}).Error())
	if q.answered || !p.closeQuery(q, fairqueue.Deferred) {
		return
	}
	p.counters.deferred++
	if a, ok := q.owner.(redirectable); ok && len(may) > 0 {
		a.directed(p.retryAfter(), may)
		return
	}
	q.owner.deferred(p.retryAfter())
}

// directed is an asker that can be told of other controllers.
type redirectable interface {
	directed(comeBack time.Duration, controllers []string)
}

// ask has the record take a binding, once.
func (p *residencyState) requestBinding(need *fleet.Binding) {
	// the same everywhere and after a restart: an id of another binding would be taken as told already
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %v %v", need.Team, need.Tables, need.From))
	id := fmt.Sprintf("bind-%x", sum[:16])
	if p.pendingBindings[id] != nil {
		return
	}
	b := &bindingRequest{binding: need}
	p.pendingBindings[id] = b
	p.requestedBindings++
	p.sendBindingRequest(id, b)
}

// bindWait is how long the fleet looks for an answer before it says that it isn't known yet.
const bindingWait = 2 * time.Second

func (p *residencyState) sendBindingRequest(id string, b *bindingRequest) {
	p.report(fleet.Report{Kind: fleet.Wanted, ID: id, Ask: &fleet.Ask{Kind: "bind", ID: id, By: p.core.Site(), Team: b.binding.Team,
		Tables: b.binding.Tables, From: b.binding.From, Wait: bindingWait.Milliseconds()}})
}

// answered: the record has a binding, or it isn't known yet, or it never will.
func (p *residencyState) fleetAnswered(id string, reply *fleet.Reply) bool {
	b := p.pendingBindings[id]
	if b == nil {
		return false
	}
	switch reply.Word {
	case "bound":
		delete(p.pendingBindings, id)
		p.core.Recorded(*b.binding)
		p.reevaluate()
		p.runSoon(p.servingLease.releaseHeld)
	case "unknown":
		// asked again by the same id: the loads that wait for it have their own ends
		b.backoff = min(max(2*b.backoff, 50*time.Millisecond), time.Second)
		p.runAfter(b.backoff, func() {
			if p.pendingBindings[id] == b {
				p.sendBindingRequest(id, b)
			}
		})
	default:
		delete(p.pendingBindings, id)
		p.logMessage(true, (&residency.Unbound{Team: b.binding.Team, Tables: b.binding.Tables, Why: cmp.Or(reply.Why, reply.Word)}).Error())
	}
	return true
}

func (p *residencyState) policyOpened(policy *Policy) {
	rules, _ := policy.Rules.([]residency.Rule)
	p.core.Rules(rules)
	p.reevaluate()
}

func (p *residencyState) viewChanged(picture *fleet.Picture) {
	p.core.Pictured(picture)
	p.reevaluate()
}

// rejudge holds all that is in hand to rules that have changed. What runs goes on to its
// end, and what is kept is purged by the record; nothing new goes outside.
func (p *residencyState) reevaluate() {
	if p.judgedStamp == p.core.Stamp() {
		return
	}
	p.judgedStamp = p.core.Stamp()
	var all []*query
	for _, q := range p.queries {
		if q.residency != nil && !q.answered && !q.blocked {
			all = append(all, q)
		}
	}
	slices.SortFunc(all, func(a, b *query) int {
		return cmp.Or(cmp.Compare(a.receivedAt, b.receivedAt), strings.Compare(a.id, b.id))
	})
	for _, q := range all {
		v := p.verdict(q)
		q.confined = v.Bound
		if !q.mayHaveRun() {
			need, err := p.requiredBinding(q)
			if need != nil || err != nil { // its client comes again, and it is recorded then
				p.deferUnsent(q)
				continue
			}
			if !p.ensureServable(q, v) {
				p.runSoon(func() { p.scheduler.QueryDropped(p.now, q.id) })
				for _, s := range q.attempts {
					if !s.sent {
						p.withdrawAttempt(s, scheduler.NeverSent)
					}
				}
				continue
			}
		}
		if need, _ := p.requiredBinding(q); need != nil {
			p.requestBinding(need) // what it takes along may be there already
		}
		inside := p.allowedLocations(q)
		p.runSoon(func() { p.scheduler.ConfineQuery(p.now, q.id, inside) })
	}
}

// inside are the locations that a query may be sent to, by their places; nil: all.
func (p *residencyState) allowedLocations(q *query) []string {
	v := p.verdict(q)
	if v.Conflict == nil && v.Take && v.Engines == nil {
		return nil
	}
	l := []string{}
	for i, name := range p.siteNames {
		if v.Take && v.May(name) {
			l = append(l, strconv.Itoa(i))
		}
	}
	return l
}

// begins hands a query on to the decisions, or answers it: the rules may have changed
// while it waited for its turn.
func (p *residencyState) forwardToScheduler(q *query) {
	if q.residency != nil && !p.ensureServable(q, p.verdict(q)) {
		return
	}
	var inside []string
	if q.residency != nil {
		inside = p.allowedLocations(q)
	}
	p.scheduler.ConfinedQueryArrived(p.now, q.id, q.group.index, q.customer, q.deadline-p.now, q.tableGroup, q.keyNumber, q.estimatedWork, q.estimatedMemoryMB, inside)
}

func (p *residencyState) allowsSend(q *query, e *engine) bool {
	if q.residency == nil {
		return true
	}
	v, site := p.verdict(q), p.siteName(e.location)
	if v.Bound && (!v.Take || !v.May(site)) {
		p.barredSends++
		return false
	}
	if need, err := p.requiredBinding(q); v.Bound && unrecorded(need, err) {
		p.barredSends++ // a repeat, and a rule came since that follows what it takes along
		return false
	}
	if v.Bound && q.residency.attemptsNoted != len(q.attempts) {
		q.residency.attemptsNoted = len(q.attempts)
		if p.core.Sent(q.id, q.residency.tenant, v, site) {
			p.logAbout(q.logFields(), "crosses to site "+site+": an emergency of its rules is on")
		}
	}
	return true
}

// keeps: this controller may keep its result or answer.
func (p *residencyState) mayRetain(q *query) bool { return q.residency == nil || p.verdict(q).Keep }

// serves: a kept result of these tables may be read here.
func (p *residencyState) mayServe(team string, tables []int64) bool {
	return p.core.Judge(team, tables, len(tables) > 0).Keep
}

func (p *residencyState) countOutside() (n int) {
	count := func(s *attempt) {
		x := s.query.residency
		if x == nil || !p.core.Bound(x.tenant) {
			return
		}
		if !x.inspected {
			x.inspect(s.query)
		}
		if p.core.Outside(x.tenant, x.tables, x.tablesKnown, p.siteName(s.engine.location)) {
			n++
		}
	}
	for _, q := range p.queries {
		for _, s := range q.attempts {
			if s.sent && !s.outcomeKnown {
				count(s)
			}
		}
	}
	for _, e := range p.engines {
		for _, s := range e.cancelling {
			if s.outcomeKnown { // told, and perhaps not over there yet
				count(s)
			}
		}
	}
	return n
}

func (p *residencyState) text() string {
	_, crossed := p.core.Crossed()
	return fmt.Sprintf("; placement bound %d, outside here %d, in conflict %d, barred %d, bindings %d, crossed %d",
		p.boundQueries, p.redirectedQueries, p.conflicts, p.barredSends, p.requestedBindings, crossed)
}

// Crossed lists the latest queries that an emergency let over a boundary, and how many
// there were. It is for reports, between two steps.
func (c *Controller) ResidencyViolations() ([]residency.Crossing, int) {
	if c.servingLease == nil || c.servingLease.residency == nil {
		return nil, 0
	}
	return c.servingLease.residency.core.Crossed()
}

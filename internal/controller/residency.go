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
)

// residencyState confines queries to where their tenants' data may be: when they are admitted,
// when they are handed to the scheduler, and at each attempt, by the rules as they are then.
type residencyState struct {
	*servingLease
	core        *residency.Core // the rules and what the log has of bindings
	siteNames   []string        // of locations, by their index in the settings
	judgedStamp uint64          // of the rules by which all queries were last judged

	pendingBindings map[string]*bindingRequest // asked of the fleet, by id

	// Counts since the start.
	boundQueries      int
	conflicts         int
	redirectedQueries int
	requestedBindings int
	barredSends       int
}

// bindingRequest is what a load needs in the log before it may be sent; all loads that need
// the same wait for one.
type bindingRequest struct {
	binding *fleet.Binding
	backoff time.Duration // before it is asked for once more
}

const (
	// bindingWait is how long the fleet looks for an answer before it says that it isn't known yet.
	bindingWait       = 2 * time.Second
	minBindingBackoff = 50 * time.Millisecond
	maxBindingBackoff = time.Second
)

// queryResidency is what is known of where one query may be.
type queryResidency struct {
	tenant string

	// What its statement tells, once it was inspected.
	inspected     bool // only where its tenant was bound by a rule at some time
	readTables    []int64
	writtenTables []int64
	tables        []int64 // both
	tablesKnown   bool

	// The last verdict, and the stamp of the rules that it is by.
	verdict residency.Decision
	stamp   uint64

	attemptsNoted int // how many attempts there were when one was last noted as sent
}

func newResidencyState(lease *servingLease) *residencyState {
	r := &residencyState{
		servingLease:    lease,
		siteNames:       strings.Split(lease.Settings["locations"], ","),
		pendingBindings: map[string]*bindingRequest{},
	}
	ownSite := ""
	if at := lease.Settings["own.location"]; at != "" {
		location, _ := strconv.Atoi(at)
		ownSite = r.siteName(location)
	}
	r.core = residency.New(ownSite)
	r.judgedStamp = r.core.Generation()
	return r
}

// residencyTenantOf is the tenant of a call, or its customer where there are no tenants.
func (l *servingLease) residencyTenantOf(q *query, from CallOrigin) string {
	if l.fairQueue == nil && q.customer >= 0 && q.customer < len(l.customers) {
		return l.customers[q.customer]
	}
	return l.tenantOf(from)
}

// siteName is the name of a location; "" if the settings don't have it.
func (r *residencyState) siteName(location int) string {
	if location < 0 || location >= len(r.siteNames) {
		return ""
	}
	return r.siteNames[location]
}

// verdict judges a query by the rules as they are now.
func (r *residencyState) verdict(q *query) *residency.Decision {
	x := q.residency
	if x.stamp == r.core.Generation() {
		return &x.verdict
	}
	if !x.inspected && r.core.HasRules(x.tenant) {
		x.inspect(q)
	}
	x.stamp = r.core.Generation()
	x.verdict = r.core.Decide(x.tenant, x.tables, x.tablesKnown)
	return &x.verdict
}

// inspect reads the tables from the query's statement, which is forgotten once it is over.
func (x *queryResidency) inspect(q *query) {
	x.inspected = true
	x.readTables, x.writtenTables, x.tablesKnown = msgpackrpc.AllTables(q.statement)
	x.tables = slices.Concat(x.readTables, x.writtenTables)
	if len(q.statement) == 0 || q.group.isLoad && len(x.writtenTables) == 0 {
		// the statement is forgotten, or loads into what can't be told: the strictest rules hold
		x.tablesKnown = false
	}
}

// attachResidency reports whether a query needs the lease of confined tenants. It must run before
// checkAdmission.
func (r *residencyState) attachResidency(q *query, from CallOrigin) bool {
	q.residency = &queryResidency{tenant: r.residencyTenantOf(q, from), tablesKnown: true}
	return r.verdict(q).RuleApplies
}

// checkAdmission reports whether a query may go on: it is served here and the log has what it
// binds. If not it was answered, or is held until the log has that.
func (r *residencyState) checkAdmission(q *query, from CallOrigin) bool {
	v := r.verdict(q)
	if !v.RuleApplies {
		return true
	}
	r.boundQueries++
	if !r.ensureServable(q, v) {
		return false
	}
	required, err := r.requiredBinding(q)
	if err != nil {
		r.conflicts++
		r.answerKilled(q, err.Error())
		return false
	}
	if required != nil {
		r.requestBinding(required)
	}
	if isUnrecorded(required, err) {
		r.hold(q, from) // releaseHeld tries it again once the log has it
		return false
	}
	return true
}

// isUnrecorded reports whether a load must not be sent yet, by what requiredBinding gave:
// the log doesn't have all that the load binds, or that can't be told.
func isUnrecorded(required *fleet.Binding, err error) bool {
	return required != nil || err != nil
}

// ensureServable reports whether this controller may serve a query. If not it answers the query,
// of which nothing was sent.
func (r *residencyState) ensureServable(q *query, v *residency.Decision) bool {
	switch {
	case v.Conflict != nil:
		r.conflicts++
		r.answerKilled(q, v.Conflict.Error())
	case !v.MayServe:
		r.redirect(q, v)
	}
	return !q.answered
}

// requiredBinding is what the log must have before a query may be sent; nil: nothing.
func (r *residencyState) requiredBinding(q *query) (*fleet.Binding, error) {
	x := q.residency
	readOnly := r.Settings["group."+strconv.Itoa(q.group.index)+".effect"] == "read-only"
	if !q.group.isLoad && len(x.writtenTables) == 0 && (x.tablesKnown || readOnly) {
		return nil, nil
	}
	return r.core.MissingBinding(x.tenant, x.readTables, x.writtenTables, x.tablesKnown)
}

// redirect defers a query, and tells its client which controllers may serve it.
func (r *residencyState) redirect(q *query, v *residency.Decision) {
	r.redirectedQueries++
	var controllers []string
	for _, m := range r.fleetView.Members {
		if !m.Forgotten && m.ClientAddress != "" && slices.Contains(v.ControllerSites, m.Site) {
			controllers = append(controllers, m.ClientAddress)
		}
	}
	outside := &residency.Outside{
		Team:        q.residency.tenant,
		Site:        r.core.Site(),
		Rules:       v.RuleNames,
		Controllers: controllers,
	}
	r.logWithFields(q.logFields(), outside.Error())
	if q.answered || !r.closeQuery(q, fairqueue.Deferred) {
		return
	}
	r.counters.deferred++
	if owner, ok := q.owner.(redirectable); ok && len(controllers) > 0 {
		owner.redirected(r.retryAfter(), controllers)
		return
	}
	q.owner.deferred(r.retryAfter())
}

// redirectable is a query's owner that can be told of other controllers.
type redirectable interface {
	redirected(comeBack time.Duration, controllers []string)
}

// requestBinding asks the fleet to log a binding, once for all queries that need it.
func (r *residencyState) requestBinding(required *fleet.Binding) {
	// The id is the same everywhere and after a restart, and differs for each binding: the
	// fleet takes one that it has seen as asked for again.
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %v %v", required.Team, required.Tables, required.SourceTables))
	id := fmt.Sprintf("bind-%x", sum[:16])
	if r.pendingBindings[id] != nil {
		return
	}
	b := &bindingRequest{binding: required}
	r.pendingBindings[id] = b
	r.requestedBindings++
	r.sendBindingRequest(id, b)
}

func (r *residencyState) sendBindingRequest(id string, b *bindingRequest) {
	ask := &fleet.Request{
		Kind:         "bind",
		ID:           id,
		RequestedBy:  r.core.Site(),
		Team:         b.binding.Team,
		Tables:       b.binding.Tables,
		SourceTables: b.binding.SourceTables,
		WaitMs:       bindingWait.Milliseconds(),
	}
	r.report(fleet.Report{Kind: fleet.RequestMade, ID: id, Request: ask})
}

// fleetAnswered takes the fleet's reply to a binding request: the log has it, it isn't known
// yet, or the log never will. It reports whether the id is of a request from here.
func (r *residencyState) fleetAnswered(id string, reply *fleet.Response) bool {
	b := r.pendingBindings[id]
	if b == nil {
		return false
	}
	switch reply.Outcome {
	case "bound":
		delete(r.pendingBindings, id)
		r.core.AddRecordedBinding(*b.binding)
		r.reevaluate()
		r.enqueueCallback(r.servingLease.releaseHeld)
	case "unknown":
		// asked again by the same id; the loads that wait for it have deadlines of their own
		b.backoff = min(max(2*b.backoff, minBindingBackoff), maxBindingBackoff)
		r.runAfter(b.backoff, func() {
			if r.pendingBindings[id] == b {
				r.sendBindingRequest(id, b)
			}
		})
	default:
		delete(r.pendingBindings, id)
		why := cmp.Or(reply.Reason, reply.Outcome)
		r.logMessage(true, (&residency.Unbound{Team: b.binding.Team, Tables: b.binding.Tables, Reason: why}).Error())
	}
	return true
}

func (r *residencyState) policyOpened(policy *Policy) {
	rules, _ := policy.Rules.([]residency.Rule)
	r.core.SetRules(rules)
	r.reevaluate()
}

func (r *residencyState) viewChanged(picture *fleet.View) {
	r.core.SetFleetView(picture)
	r.reevaluate()
}

// reevaluate applies rules that have changed to all queries. What runs goes on to its end, and
// what is retained is invalidated through the log; nothing new is sent outside.
func (r *residencyState) reevaluate() {
	if r.judgedStamp == r.core.Generation() {
		return
	}
	r.judgedStamp = r.core.Generation()
	confined := r.findQueries(func(q *query) bool { return q.residency != nil && !q.answered && !q.held })
	for _, q := range confined {
		r.reevaluateQuery(q)
	}
}

func (r *residencyState) reevaluateQuery(q *query) {
	v := r.verdict(q)
	q.confined = v.RuleApplies
	if !q.mayHaveRun() {
		required, err := r.requiredBinding(q)
		if required != nil || err != nil { // its client comes again, and the binding is logged then
			r.deferUnsent(q)
			return
		}
		if !r.ensureServable(q, v) {
			r.enqueueCallback(func() { r.scheduler.QueryDropped(r.now, q.id) })
			r.withdrawUnsent(q.attempts)
			return
		}
	}
	if required, _ := r.requiredBinding(q); required != nil {
		r.requestBinding(required) // the tables that it binds may be changed already
	}
	allowed := r.allowedLocations(q)
	r.enqueueCallback(func() { r.scheduler.ConfineQuery(r.now, q.id, allowed) })
}

// allowedLocations are the locations that a query may be sent to, by their index in the
// settings; nil: all.
func (r *residencyState) allowedLocations(q *query) []string {
	v := r.verdict(q)
	if v.Conflict == nil && v.MayServe && v.EngineSites == nil {
		return nil
	}
	allowed := []string{}
	for i, name := range r.siteNames {
		if v.MayServe && v.AllowsEngineSite(name) {
			allowed = append(allowed, strconv.Itoa(i))
		}
	}
	return allowed
}

// forwardToScheduler hands a query to the scheduler, or answers it: the rules may have changed
// while it waited in the fair queue.
func (r *residencyState) forwardToScheduler(q *query) {
	if q.residency != nil && !r.ensureServable(q, r.verdict(q)) {
		return
	}
	var allowed []string
	if q.residency != nil {
		allowed = r.allowedLocations(q)
	}
	r.scheduler.ConfinedQueryArrived(r.now, q.id, q.group.index, q.customer, q.deadline-r.now,
		q.tableGroup, q.keyNumber, q.estimatedWork, q.estimatedMemoryMB, allowed)
}

// allowsSend reports whether the rules as they are now let an attempt go to an engine.
func (r *residencyState) allowsSend(q *query, e *engine) bool {
	if q.residency == nil {
		return true
	}
	v := r.verdict(q)
	if !v.RuleApplies {
		return true
	}
	site := r.siteName(e.location)
	if !v.MayServe || !v.AllowsEngineSite(site) {
		r.barredSends++
		return false
	}
	if required, err := r.requiredBinding(q); isUnrecorded(required, err) {
		r.barredSends++ // a retry, and a rule came since that binds the tables it writes
		return false
	}
	if q.residency.attemptsNoted != len(q.attempts) {
		q.residency.attemptsNoted = len(q.attempts)
		if r.core.RecordAttempt(q.id, q.residency.tenant, v, site) {
			r.logWithFields(q.logFields(), "crosses to site "+site+": an emergency of its rules is on")
		}
	}
	return true
}

// mayRetain reports whether this controller may retain a query's result or cache its answer.
func (r *residencyState) mayRetain(q *query) bool {
	return q.residency == nil || r.verdict(q).MayRetain
}

// mayServe reports whether a retained result of these tables may be read here.
func (r *residencyState) mayServe(tenant string, tables []int64) bool {
	return r.core.Decide(tenant, tables, len(tables) > 0).MayRetain
}

// countOutside counts the attempts that run, or may still run, where the rules in force
// forbid their query.
func (r *residencyState) countOutside() (n int) {
	for _, q := range r.queries {
		for _, a := range q.attempts {
			if a.sent && !a.outcomeKnown && r.isOutside(a) {
				n++
			}
		}
	}
	for _, e := range r.engines {
		for _, a := range e.cancelling {
			if a.outcomeKnown && r.isOutside(a) { // its outcome was told, and its engine may still run it
				n++
			}
		}
	}
	return n
}

func (r *residencyState) isOutside(a *attempt) bool {
	x := a.query.residency
	if x == nil || !r.core.HasRules(x.tenant) {
		return false
	}
	if !x.inspected {
		x.inspect(a.query)
	}
	return r.core.IsOutsideRules(x.tenant, x.tables, x.tablesKnown, r.siteName(a.engine.location))
}

func (r *residencyState) countersText() string {
	_, crossed := r.core.RecentCrossings()
	return fmt.Sprintf("; placement bound %d, outside here %d, in conflict %d, barred %d,"+
		" bindings %d, crossed %d",
		r.boundQueries, r.redirectedQueries, r.conflicts, r.barredSends,
		r.requestedBindings, crossed)
}

// EmergencyCrossings lists the latest queries that an emergency let leave their sites, and how
// many there were. It is for reports, between two steps.
func (c *Controller) EmergencyCrossings() ([]residency.EmergencyCrossing, int) {
	if c.servingLease == nil || c.servingLease.residency == nil {
		return nil, 0
	}
	return c.servingLease.residency.core.RecentCrossings()
}

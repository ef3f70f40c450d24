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

// residencyState confines queries to the sites where their tenants' data may be. It checks a query
// on admission, on handing it to the scheduler, and before each attempt, by the current rules.
type residencyState struct {
	*servingLease
	core           *residency.Core // the rules and the logged bindings
	siteNames      []string        // names of locations, by their index in the settings
	evaluatedStamp uint64          // stamp of the rules in the latest reevaluate

	pendingBindings map[string]*bindingRequest // requested from the fleet, by id

	// counts since the start
	boundQueries      int
	conflicts         int
	redirectedQueries int
	requestedBindings int
	barredSends       int
}

// bindingRequest asks the fleet to log a binding. A load may be sent only once the log has all its
// bindings. Loads that need the same binding share one request.
type bindingRequest struct {
	binding *fleet.Binding
	backoff time.Duration // delay before the request is repeated
}

const (
	// bindingWait is the time after which the fleet answers that the outcome isn't known yet.
	bindingWait       = 2 * time.Second
	minBindingBackoff = 50 * time.Millisecond
	maxBindingBackoff = time.Second
)

// queryResidency is the residency state of one query.
type queryResidency struct {
	tenant string

	// from the query's statement, which is inspected only if a rule binds the tenant
	inspected     bool
	readTables    []int64
	writtenTables []int64
	tables        []int64 // readTables and writtenTables
	tablesKnown   bool

	// the latest verdict, and the stamp of the rules that led to it
	verdict residency.Decision
	stamp   uint64

	attemptsRecorded int // number of attempts when one was last recorded as sent
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
	r.evaluatedStamp = r.core.Generation()
	return r
}

// residencyTenantOf returns the tenant of a call, or the customer if no tenants are configured.
func (l *servingLease) residencyTenantOf(q *query, from CallOrigin) string {
	if l.fairQueue == nil && q.customer >= 0 && q.customer < len(l.customers) {
		return l.customers[q.customer]
	}
	return l.tenantOf(from)
}

// siteName returns the name of a location, or "" if the settings don't have the location.
func (r *residencyState) siteName(location int) string {
	if location < 0 || location >= len(r.siteNames) {
		return ""
	}
	return r.siteNames[location]
}

// verdict returns the verdict on a query by the current rules.
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

// inspect reads the tables from the query's statement, which is dropped when the query is over.
func (x *queryResidency) inspect(q *query) {
	x.inspected = true
	x.readTables, x.writtenTables, x.tablesKnown = msgpackrpc.TableGroups(q.statement)
	x.tables = slices.Concat(x.readTables, x.writtenTables)
	if len(q.statement) == 0 || q.group.isLoad && len(x.writtenTables) == 0 {
		// the statement was dropped, or the load's target tables are unknown: the strictest rules apply
		x.tablesKnown = false
	}
}

// attachResidency sets a query's residency state, and reports whether the query needs the lease of
// confined tenants. It must run before checkAdmission.
func (r *residencyState) attachResidency(q *query, from CallOrigin) bool {
	q.residency = &queryResidency{tenant: r.residencyTenantOf(q, from), tablesKnown: true}
	return r.verdict(q).RuleApplies
}

// checkAdmission reports whether a query is admitted: this controller may serve it and the log has
// its bindings. Otherwise it answers the query, or holds the query until the log has the bindings.
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
		r.hold(q, from) // releaseHeld admits the query once the log has its bindings
		return false
	}
	return true
}

// isUnrecorded reports, from the results of requiredBinding, whether a load must not be sent yet: a
// binding is missing in the log, or the load's bindings are unknown.
func isUnrecorded(required *fleet.Binding, err error) bool {
	return required != nil || err != nil
}

// ensureServable reports whether this controller may serve a query. If not, it answers the query, no
// attempt of which may have been sent.
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

// requiredBinding returns the binding that the log must have before a query may be sent, or nil if
// nothing is missing. It returns an error if the tables are unknown and a rule applies to loads.
func (r *residencyState) requiredBinding(q *query) (*fleet.Binding, error) {
	x := q.residency
	readOnly := r.Settings["group."+strconv.Itoa(q.group.index)+".effect"] == "read-only"
	if !q.group.isLoad && len(x.writtenTables) == 0 && (x.tablesKnown || readOnly) {
		return nil, nil
	}
	return r.core.MissingBinding(x.tenant, x.readTables, x.writtenTables, x.tablesKnown)
}

// redirect defers a query and tells its client which controllers may serve the query.
func (r *residencyState) redirect(q *query, v *residency.Decision) {
	r.redirectedQueries++
	var controllers []string
	for _, m := range r.fleetView.Members {
		if !m.Forgotten && m.ClientAddress != "" && slices.Contains(v.ControllerSites, m.Site) {
			controllers = append(controllers, m.ClientAddress)
		}
	}
	outside := &residency.ControllerNotAllowedError{
		Tenant:             q.residency.tenant,
		Site:               r.core.Site(),
		Rules:              v.RuleNames,
		AllowedControllers: controllers,
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

// redirectable is a queryOwner that can be told the addresses of other controllers.
type redirectable interface {
	redirected(retryAfter time.Duration, controllers []string)
}

// requestBinding asks the fleet to log a binding, unless a request for it is pending.
func (r *residencyState) requestBinding(required *fleet.Binding) {
	// The id depends on the binding alone, so that the fleet recognises a request that is repeated
	// by another controller or after a restart.
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %v %v", required.Tenant, required.Tables, required.SourceTables))
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
	request := &fleet.Request{
		Kind:         "bind",
		ID:           id,
		RequestedBy:  r.core.Site(),
		Tenant:       b.binding.Tenant,
		Tables:       b.binding.Tables,
		SourceTables: b.binding.SourceTables,
		WaitMs:       bindingWait.Milliseconds(),
	}
	r.report(fleet.Report{Kind: fleet.RequestMade, ID: id, Request: request})
}

// fleetAnswered handles the fleet's reply to a binding request: the binding is logged, its outcome is
// not known yet, or it was refused. It reports whether the request was made here.
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
		// repeated with the same id without limit, since the waiting loads have deadlines of their own
		b.backoff = min(max(2*b.backoff, minBindingBackoff), maxBindingBackoff)
		r.runAfter(b.backoff, func() {
			if r.pendingBindings[id] == b {
				r.sendBindingRequest(id, b)
			}
		})
	default:
		delete(r.pendingBindings, id)
		why := cmp.Or(reply.Reason, reply.Outcome)
		r.logMessage(warningLevel, (&residency.BindingNotLoggedError{
			Tenant: b.binding.Tenant,
			Tables: b.binding.Tables,
			Reason: why,
		}).Error())
	}
	return true
}

func (r *residencyState) policyOpened(policy *Policy) {
	rules, _ := policy.Rules.([]residency.Rule)
	r.core.SetRules(rules)
	r.reevaluate()
}

func (r *residencyState) viewChanged(view *fleet.View) {
	r.core.SetFleetView(view)
	r.reevaluate()
}

// reevaluate applies changed rules to all queries. Running attempts go on to their ends, and retained
// data is invalidated through the log, but no new attempt is sent outside.
func (r *residencyState) reevaluate() {
	if r.evaluatedStamp == r.core.Generation() {
		return
	}
	r.evaluatedStamp = r.core.Generation()
	open := r.findQueries(func(q *query) bool { return q.residency != nil && !q.answered && !q.held })
	for _, q := range open {
		r.reevaluateQuery(q)
	}
}

// reevaluateQuery applies changed rules to an open query. A query that has not run is deferred if a binding
// is missing, and answered if this controller may no longer serve it. Any other query goes on, and its next
// attempts are limited to the locations that the rules allow now.
func (r *residencyState) reevaluateQuery(q *query) {
	v := r.verdict(q)
	q.confined = v.RuleApplies
	if !q.mayHaveRun() {
		required, err := r.requiredBinding(q)
		if required != nil || err != nil { // the binding is requested when the client retries
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
		r.requestBinding(required) // the load may have written the tables already
	}
	allowed := r.allowedLocations(q)
	r.enqueueCallback(func() { r.scheduler.ConfineQuery(r.now, q.id, allowed) })
}

// allowedLocations returns the locations to which a query may be sent, by their index in the settings,
// or nil if all are allowed.
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

// forwardToScheduler hands a query to the scheduler, or answers the query if the rules have changed
// while it waited in the fair queue and this controller may no longer serve it.
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

// allowsSend reports whether the current rules allow sending an attempt to an engine.
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
		r.barredSends++ // a retry of a load to which a newer rule applies
		return false
	}
	if q.residency.attemptsRecorded != len(q.attempts) {
		q.residency.attemptsRecorded = len(q.attempts)
		if r.core.RecordAttempt(q.id, q.residency.tenant, v, site) {
			r.logWithFields(q.logFields(), "sent to site "+site+" under an emergency of its residency rules")
		}
	}
	return true
}

// mayRetain reports whether this controller may spool a query's result or cache its answer.
func (r *residencyState) mayRetain(q *query) bool {
	return q.residency == nil || r.verdict(q).MayRetain
}

// mayServe reports whether this controller may serve a retained result over these tables. It may if the rules
// allow it to retain the result.
func (r *residencyState) mayServe(tenant string, tables []int64) bool {
	return r.core.Decide(tenant, tables, len(tables) > 0).MayRetain
}

// countOutside returns the number of attempts that run, or may still run, at engines where the current
// rules forbid their query.
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
			if a.outcomeKnown && r.isOutside(a) { // its engine may still run it
				n++
			}
		}
	}
	return n
}

// isOutside reports whether the current rules forbid the query of an attempt at the attempt's engine.
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

// EmergencyCrossings returns the latest queries that an emergency allowed to leave their sites, and the
// number of all of them. It must not be called during a Step.
func (c *Controller) EmergencyCrossings() ([]residency.EmergencyCrossing, int) {
	if c.servingLease == nil || c.servingLease.residency == nil {
		return nil, 0
	}
	return c.servingLease.residency.core.RecentCrossings()
}

package controller

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/spool"
)

// invalidator removes what is retained of a tenant. Without one an invalidation finds nothing.
type invalidator interface {
	// invalidate sees to it that nothing in scope that was asked for before index comes out any
	// more, and reports Unreached and then Wiped once that is so.
	invalidate(id string, scope *fleet.Scope, index uint64)
	// fleetAnswered takes what a Wanted came to. It reports whether that was asked for here.
	fleetAnswered(id string, reply *fleet.Response) bool
}

var _ invalidator = (*invalidation)(nil)

// invalidation removes what is retained of a tenant, spooled results and cached answers: by
// itself where the controller has no peers, else as the fleet orders it. Where nothing is
// retained it is nil. All fields are the controller goroutine's.
type invalidation struct {
	*Controller
	// logIndex is the latest invalidation's index in the log: a query that comes now is asked
	// for after it.
	logIndex uint64

	// Without peers.
	local    map[string]*localInvalidation // by id
	localIDs []string                      // ids of local, the oldest first

	// Clients' calls.
	lastSerial   uint64 // of the last id made here
	pendingCalls map[string][]*invalidationCall
	unconfirmed  map[string]*fleet.Request // not known to be in the log yet: asked for until they are

	// Retained bytes handed to connections, some of which may not be out.
	retainedWrites   map[retainedWrite]bool
	writesAfterSweep int // how many the last sweep left

	// Counts since the start.
	started     int
	completed   int
	clientCalls int
}

func newInvalidation(c *Controller) *invalidation {
	return &invalidation{
		Controller:     c,
		local:          map[string]*localInvalidation{},
		pendingCalls:   map[string][]*invalidationCall{},
		unconfirmed:    map[string]*fleet.Request{},
		retainedWrites: map[retainedWrite]bool{},
	}
}

// currentIndex is the index in the log after which a query that comes now is asked for.
func (v *invalidation) currentIndex() uint64 {
	if v.servingLease != nil {
		return max(v.logIndex, v.servingLease.fleetView.Index)
	}
	return v.logIndex
}

// servingBarred reports whether nothing retained may be served now: it may be invalidated
// elsewhere, and without a lease this controller isn't waited for.
func (v *invalidation) servingBarred() bool {
	return v.servingLease != nil && v.servingLease.servingVersion(true) == 0
}

// dataOwner is whose data a call reads: its tenant's, or its customer's where there are no tenants.
func (c *Controller) dataOwner(from CallOrigin) string {
	if c.fairQueue == nil && c.FieldNames.Customer != "" {
		if name := string(from.Fields.Get(c.FieldNames.Customer)); name != "" {
			return name
		}
	}
	return c.tenantOf(from)
}

// invalidate does what the fleet orders.
func (v *invalidation) invalidate(id string, scope *fleet.Scope, index uint64) {
	v.started++
	v.logMessage(false, "purge "+id+" of team "+scope.Team+" begins")
	unreachable := func() {
		v.servingLease.report(fleet.Report{Kind: fleet.DataTombstoned, ID: id})
	}
	erased := func(n fleet.InvalidationCounts) {
		v.completed++
		v.logCompleted(id, scope.Team, n)
		v.servingLease.report(fleet.Report{Kind: fleet.DataErased, ID: id, Counts: n})
	}
	v.apply(scope, index, unreachable, erased)
}

func (v *invalidation) logCompleted(id, tenant string, n fleet.InvalidationCounts) {
	text := fmt.Sprintf("purge %s is done here: %d results and %d answers, %d bytes",
		id, n.Results, n.Answers, n.Bytes)
	v.logWithFields(LogFields{Tenant: tenant}, text)
}

// localInvalidation is one of a controller without peers.
type localInvalidation struct {
	tenant string
	done   bool
	counts fleet.InvalidationCounts
}

// maxLocalInvalidations bounds the invalidations that a controller without peers can still tell of.
const maxLocalInvalidations = 1024

// startLocal is an invalidation where there are no peers.
func (v *invalidation) startLocal(id string, scope *fleet.Scope) {
	entry := &localInvalidation{tenant: scope.Team}
	v.local[id] = entry
	v.localIDs = append(v.localIDs, id)
	if len(v.localIDs) > maxLocalInvalidations {
		delete(v.local, v.localIDs[0])
		v.localIDs = v.localIDs[1:]
	}
	v.started++
	v.apply(scope, v.logIndex+1, func() {}, func(n fleet.InvalidationCounts) {
		v.completed++
		entry.done = true
		entry.counts = n
		v.logCompleted(id, scope.Team, n)
		v.answerLocalCalls(id)
	})
}

// newID is an id that no other invalidation has: it is drawn from what can't come twice.
func (v *invalidation) newID(tenant string) string {
	v.lastSerial++
	draw := uint64(v.StartedAt.UnixNano())
	if v.NewUniqueID != nil {
		draw = v.NewUniqueID()
	}
	here := xxhash.Sum64String(fmt.Sprint(tenant, v.lastSerial, v.now, v.StartedAt.UnixNano()))
	return fmt.Sprintf("%016x%016x", draw, here)
}

// apply removes all of a scope that was asked for before an index of the log. It calls
// unreachable once nothing of it comes out any more, and erased once none of it is left.
func (v *invalidation) apply(
	scope *fleet.Scope, index uint64, unreachable func(), erased func(fleet.InvalidationCounts),
) {
	v.logIndex = max(v.logIndex, index)
	var found fleet.InvalidationCounts
	if v.caching != nil {
		found = v.caching.invalidate(scope, index)
	}
	isUnreachable, isErased := false, false
	finish := func() {
		if isUnreachable && isErased {
			erased(found)
		}
	}
	nothingComesOut := func() {
		v.awaitWritesFlushed(scope.Team, v.now+flushTimeout, func() {
			unreachable()
			isUnreachable = true
			finish()
		})
	}
	spoolErased := func(n fleet.InvalidationCounts) {
		found.Add(n)
		isErased = true
		finish()
	}
	if v.paging == nil {
		nothingComesOut()
		spoolErased(fleet.InvalidationCounts{})
		return
	}
	v.paging.core.Purge(v.now, scope, index, nothingComesOut, spoolErased)
	v.paging.answerInvalidated()
}

// invalidate removes cached answers. Queries that followed a run which it struck go their own way.
func (a *resultCaching) invalidate(scope *fleet.Scope, index uint64) fleet.InvalidationCounts {
	found, next := a.core.Invalidate(a.now, scope, index)
	for _, ask := range next {
		a.promote(ask)
	}
	return found
}

// answerInvalidated answers the queries whose results were invalidated before they were complete.
// One that may be sent again is deferred: nothing that it asked for can be retained any more.
func (p *resultPaging) answerInvalidated() {
	for _, q := range p.findQueries(isInvalidated) {
		sent := false
		for _, a := range q.attempts {
			sent = sent || a.sent
		}
		if q.group.readOnly || !sent {
			p.logWithFields(q.logFields(), "deferred: "+spool.ErrPurged.Error())
			p.answerDeferred(q, noSpaceRetryAfter)
		} else {
			p.answerKilled(q, spool.ErrPurged.Error())
		}
		p.enqueueCallback(func() { p.scheduler.ClientLeft(p.now, q.id) })
	}
}

func isInvalidated(q *query) bool {
	if q.answered || q.spooled == nil {
		return false
	}
	for _, a := range q.attempts {
		if a.result != nil && a.result.Purged() {
			return true
		}
	}
	return q.spooled.Purged()
}

func (v *invalidation) countersText() string {
	return fmt.Sprintf("; purges %d done %d asked for by clients %d", v.started, v.completed, v.clientCalls)
}

package controller

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/spool"
)

// invalidator removes the retained data of a tenant. A controller that retains no data has none.
type invalidator interface {
	// invalidate removes the data in scope that was requested before index. It reports
	// DataTombstoned once none of the data is served any more, and DataErased once all of it is erased.
	invalidate(id string, scope *fleet.Scope, index uint64)
	// fleetAnswered handles the fleet's reply to a request, and reports whether the request was made here.
	fleetAnswered(id string, reply *fleet.Response) bool
}

var _ invalidator = (*invalidation)(nil)

// invalidation removes the retained data of tenants: spooled results and cached answers. A
// controller without peers does so on a client's call, one with peers on an order of the fleet. It
// is nil if the controller retains no data. Only the controller goroutine accesses its fields.
type invalidation struct {
	*Controller
	// logIndex is the log index of the latest invalidation, which doesn't affect queries that
	// arrive from now on.
	logIndex uint64

	// invalidations without peers
	local    map[string]*localInvalidation // by id
	localIDs []string                      // keys of local, oldest first

	// clients' calls
	lastSerial   uint64                         // of the latest id from newID
	pendingCalls map[string][]*invalidationCall // by the invalidation's id
	unconfirmed  map[string]*fleet.Request      // resent until they are known to be in the log

	// retained data handed to connections, some of it perhaps not written yet
	retainedWrites   map[retainedWrite]bool
	writesAfterSweep int // length of retainedWrites after the last sweep

	// counts since the start
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

// currentIndex returns the log index for a query that arrives now. Invalidations up to this index
// don't affect the query's result.
func (v *invalidation) currentIndex() uint64 {
	if v.servingLease != nil {
		return max(v.logIndex, v.servingLease.fleetView.Index)
	}
	return v.logIndex
}

// servingBarred reports whether no retained data may be served now, because this controller has peers and no
// valid lease for confined queries. Without a lease, other controllers may complete an invalidation
// without waiting for this one.
func (v *invalidation) servingBarred() bool {
	return v.servingLease != nil && v.servingLease.servingVersion(confinedQueries) == 0
}

// dataOwner returns the tenant whose data a call reads, or the customer if no tenants are configured.
func (c *Controller) dataOwner(from CallOrigin) string {
	if c.fairQueue == nil && c.FieldNames.Customer != "" {
		if name := string(from.Fields.Get(c.FieldNames.Customer)); name != "" {
			return name
		}
	}
	return c.tenantOf(from)
}

// invalidate carries out an invalidation that the fleet ordered.
func (v *invalidation) invalidate(id string, scope *fleet.Scope, index uint64) {
	v.started++
	v.logMessage(infoLevel, "purge "+id+" of team "+scope.Tenant+" started")
	unreachable := func() {
		v.servingLease.report(fleet.Report{Kind: fleet.DataTombstoned, ID: id})
	}
	erased := func(n fleet.InvalidationCounts) {
		v.completed++
		v.logCompleted(id, scope.Tenant, n)
		v.servingLease.report(fleet.Report{Kind: fleet.DataErased, ID: id, Counts: n})
	}
	v.apply(scope, index, unreachable, erased)
}

func (v *invalidation) logCompleted(id, tenant string, n fleet.InvalidationCounts) {
	text := fmt.Sprintf("purge %s completed on this controller: %d results and %d answers, %d bytes",
		id, n.Results, n.Answers, n.Bytes)
	v.logWithFields(LogFields{Tenant: tenant}, text)
}

// localInvalidation is an invalidation by a controller without peers.
type localInvalidation struct {
	tenant string
	done   bool
	counts fleet.InvalidationCounts
}

// maxLocalInvalidations bounds the invalidations whose state a controller without peers remembers.
const maxLocalInvalidations = 1024

// startLocal starts an invalidation on a controller without peers.
func (v *invalidation) startLocal(id string, scope *fleet.Scope) {
	entry := &localInvalidation{tenant: scope.Tenant}
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
		v.logCompleted(id, scope.Tenant, n)
		v.answerLocalCalls(id)
	})
}

// newID returns a unique id for an invalidation. It combines a number that no other controller
// draws with a hash of values that don't repeat on this one.
func (v *invalidation) newID(tenant string) string {
	v.lastSerial++
	unique := uint64(v.StartedAt.UnixNano())
	if v.NewUniqueID != nil {
		unique = v.NewUniqueID()
	}
	localHash := xxhash.Sum64String(fmt.Sprint(tenant, v.lastSerial, v.now, v.StartedAt.UnixNano()))
	return fmt.Sprintf("%016x%016x", unique, localHash)
}

// apply removes all data in scope that was requested before index. It calls unreachable once none
// of the data is served any more, and erased once all of it is erased.
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
	awaitWrites := func() {
		v.awaitWritesFlushed(scope.Tenant, v.now+flushTimeout, func() {
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
		awaitWrites()
		spoolErased(fleet.InvalidationCounts{})
		return
	}
	v.paging.core.Purge(v.now, scope, index, awaitWrites, spoolErased)
	v.paging.answerInvalidated()
}

// invalidate removes cached answers. It dispatches the queries that waited for the result of a run
// which was invalidated.
func (a *resultCaching) invalidate(scope *fleet.Scope, index uint64) fleet.InvalidationCounts {
	found, next := a.core.Invalidate(a.now, scope, index)
	for _, request := range next {
		a.promote(request)
	}
	return found
}

// answerInvalidated answers the queries whose results were invalidated while they were being
// spooled, since these results can't be retained any more. A query that is safe to repeat is
// deferred, any other is killed.
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

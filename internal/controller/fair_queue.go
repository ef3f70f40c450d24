package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/scheduler"
)

// fairQueue holds queries until their tenant's turn, and then submits them to the scheduler. It is nil if
// no tenants are configured.
type fairQueue struct {
	*Controller
	queue         *fairqueue.Queue
	fieldNames    FieldNames
	maxRetryAfter time.Duration     // longest delay that clients follow; 0 if clients are told none
	tenants       *fairqueue.Config // latest configuration
}

func newFairQueue(c *Controller, tenants *fairqueue.Config, names FieldNames) *fairQueue {
	f := &fairQueue{Controller: c, fieldNames: names, tenants: tenants}
	if c.Settings["may.name-return"] == settingTrue {
		f.maxRetryAfter = c.durationSetting("return.most")
	}
	config := *tenants
	config.Lanes = f.lanes()
	f.queue = fairqueue.New(config)
	f.updateCores()
	f.sweep()
	return f
}

// reload applies a changed configuration of tenants and the current limits of the groups.
func (f *fairQueue) reload(tenants *fairqueue.Config) {
	f.tenants = tenants
	config := *tenants
	config.Lanes = f.lanes()
	// "teams" in the log message are the tenants; in the names of settings, teams are customers
	f.queue.Reload(f.now, config)
	f.logMessage(warningLevel, fmt.Sprintf("configuration of teams reloaded, %d queries are waiting",
		f.queue.WaitingCount()))
}

// lanes returns a lane of the fair queue for each resource group.
func (f *fairQueue) lanes() []fairqueue.Lane {
	lanes := make([]fairqueue.Lane, len(f.groups))
	for _, g := range f.groups {
		lanes[g.index] = fairqueue.Lane{
			Name:                g.name,
			Threads:             g.threads,
			PriorityWeight:      g.priorityWeight,
			Ordered:             g.inOrder,
			Chained:             g.isLoad,
			InitialWorkEstimate: time.Duration(float64(g.latencyObjective) / 2 * g.threads),
		}
	}
	return lanes
}

// updateCores sets the queue's capacity to the number of cores of all active engines.
func (f *fairQueue) updateCores() {
	cores := 0.0
	for _, e := range f.engines {
		if e.state == scheduler.EngineActive {
			cores += max(1, parseNumber(listItem(f.Settings["kind.cores"], e.kind)))
		}
	}
	f.queue.SetCores(cores)
}

// sweep periodically lowers and restores priorities by the tenants' use, and notifies clients whose expected
// wait has changed.
func (f *fairQueue) sweep() {
	f.runAfter(fairqueue.SweepInterval, f.sweep)
	f.queue.Sweep(f.now, f.priorityChanged, func(w *fairqueue.Query, wait time.Duration) {
		w.Owner.(*query).owner.notifyWait(wait)
	})
}

// priorityChanged tells the engines of a query's attempts that fair queueing has lowered or restored the
// query's priority.
func (f *fairQueue) priorityChanged(w *fairqueue.Query, lowered bool) {
	q := w.Owner.(*query)
	if lowered {
		f.logWithFields(f.entryLogFields(q, w), "priority lowered by fair queueing")
	}
	for _, a := range q.attempts {
		f.sendPriority(a)
	}
}

// entryLogFields returns the log fields that identify a query: its ID, group and tenant.
func (f *fairQueue) entryLogFields(q *query, w *fairqueue.Query) LogFields {
	return LogFields{Query: q.id, Group: q.group.name, Tenant: f.queue.TenantName(w.Tenant)}
}

// enqueue adds a query to the queue, or defers the query at once if the queue does not admit it, for example
// because the wait would be too long. It then submits the queries that have a turn, and tells the client of a
// waiting query the expected wait if the client asked for that. A query that still waits at its latest start
// is deferred then. While the controller drains, enqueue bypasses the queue, and the scheduler rejects the
// query.
func (f *fairQueue) enqueue(q *query, from CallOrigin) {
	if f.isDraining() { // the scheduler rejects the query
		f.scheduler.QueryArrived(f.now, q.id, q.group.index, q.customer, q.deadline-f.now,
			q.tableGroup, q.keyNumber, q.estimatedWork, q.estimatedMemoryMB)
		return
	}
	w := f.newQueueEntry(q, from)
	verdict := f.queue.Enqueue(f.now, w)
	if !verdict.Admitted {
		f.logWithFields(f.entryLogFields(q, w),
			"deferred: "+verdict.Reason.String()+", "+verdict.WaitEstimate.String())
		f.answerDeferred(q, f.limitRetryAfter(verdict.WaitEstimate))
		return
	}
	q.fairEntry = w
	q.waitTimer = f.timers.Add(f.queue.LatestStart(w), func() {
		if w.Waiting() && !q.answered {
			f.answerDeferred(q, f.limitRetryAfter(f.queue.RetryAfter(f.now, w)))
		}
	})
	for f.dispatchNext() {
	}
	wait := f.queue.FirstEstimate(f.now, w)
	if w.NotifyChanges && wait > 0 && !q.answered {
		q.owner.notifyWait(wait)
	}
}

func (f *fairQueue) newQueueEntry(q *query, from CallOrigin) *fairqueue.Query {
	w := &fairqueue.Query{
		Owner:         q,
		Lane:          q.group.index,
		Key:           q.keyNumber,
		Chain:         q.tableGroup,
		Deadline:      q.deadline,
		Tenant:        f.queue.TenantOf(from.Address, from.Fields.Get(f.fieldNames.Tenant)),
		NotifyChanges: len(from.Fields.Get(f.fieldNames.NotifyWait)) > 0,
	}
	if f.fieldNames.RepeatOf != "" {
		w.RepeatID = idHash(q.id)
		first := from.Fields.Get(f.fieldNames.RepeatOf)
		if len(first) > 0 {
			w.RepeatOf = idHash(string(first))
			w.RepeatID = w.RepeatOf // a repeat of this repeat names the first query as well
		}
	}
	return w
}

// idHash returns the hash of a query's ID by which the fair queue identifies the query. The hash ignores
// case and is never 0.
func idHash(id string) uint64 { return xxhash.Sum64String(strings.ToLower(id)) | 1 }

// limitRetryAfter returns the part of an estimated wait that a client may be told to wait before it retries.
func (f *fairQueue) limitRetryAfter(wait time.Duration) time.Duration {
	return min(wait, f.maxRetryAfter)
}

// dispatchNext submits one query to the scheduler, from the first group whose queue in the scheduler has
// room. It returns false if there is no such query.
func (f *fairQueue) dispatchNext() bool {
	for lane := range len(f.groups) {
		full := f.scheduler.QueueBlocked(lane)
		f.queue.SetLaneFull(f.now, lane, full)
		if full {
			continue
		}
		w := f.queue.Next(f.now, lane)
		if w != nil {
			q := w.Owner.(*query)
			f.timers.Cancel(q.waitTimer)
			f.submitToScheduler(q)
			return true
		}
	}
	return false
}

// attemptStarted tells the queue that an attempt of a query is being sent.
func (f *fairQueue) attemptStarted(q *query) {
	if q.fairEntry != nil {
		f.queue.Started(f.now, q.fairEntry)
	}
}

// queryClosed records a query's outcome, and removes the query if it is still waiting. queryOver removes a
// query that was submitted.
func (f *fairQueue) queryClosed(q *query, end fairqueue.Outcome) {
	if q.fairEntry == nil {
		return
	}
	q.fairOutcome = end
	if q.fairEntry.Waiting() {
		f.timers.Cancel(q.waitTimer)
		f.queue.Ended(f.now, q.fairEntry, end, 0, 0)
	}
}

// queryOver charges a query's work to its tenant once no attempt of the query runs any more.
func (f *fairQueue) queryOver(q *query) {
	if q.fairEntry == nil {
		return
	}
	var work, unreported time.Duration // unreported: elapsed time of attempts without a work report
	for _, a := range q.attempts {
		if a.work > 0 {
			work += a.work
		} else if a.sent {
			unreported += max(0, a.endedAt-a.startedAt)
		}
	}
	f.queue.Ended(f.now, q.fairEntry, q.fairOutcome, work, unreported)
}

// deferAll defers all waiting queries because the controller shuts down.
func (f *fairQueue) deferAll() {
	f.queue.EachWaiting(func(w *fairqueue.Query) {
		f.answerDeferred(w.Owner.(*query), f.limitRetryAfter(f.queue.RetryAfter(f.now, w)))
	})
}

// countersText formats the counters of all tenants together. The waits are the mean estimate ("told"), the
// mean of the actual waits ("had") and the longest actual wait ("worst"), in seconds.
func (f *fairQueue) countersText() string {
	n := f.queue.Total
	return fmt.Sprintf("; fairness waiting %d started %d deferred %d repeated %d lowered %d,"+
		" wait s told %.3f had %.3f worst %.3f",
		f.queue.WaitingCount(), n.Started, n.Deferred, n.Repeated, n.PriorityLowered,
		meanSeconds(n.TotalEstimatedWait, n.Started), meanSeconds(n.TotalWait, n.Started), n.MaxWait.Seconds())
}

func meanSeconds(sum time.Duration, n int) float64 { return sum.Seconds() / float64(max(1, n)) }

// EachTenant calls visit with the number of waiting queries and the counters of each tenant, or not at all
// without fair queueing. It must not be called during a Step.
func (c *Controller) EachTenant(visit func(path string, waiting int, n fairqueue.Counts)) {
	if c.fairQueue != nil {
		c.fairQueue.queue.EachTenant(visit)
	}
}

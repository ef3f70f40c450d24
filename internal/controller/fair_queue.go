package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/scheduler"
)

// fairQueue holds queries until it is their tenant's turn, and then submits them to the scheduler. It
// exists where the set-up has tenants; else it is nil and costs nothing.
type fairQueue struct {
	*Controller
	queue         *fairqueue.Queue
	fieldNames    FieldNames
	maxRetryAfter time.Duration     // the longest that clients follow, 0: none is named to them
	tenants       *fairqueue.Config // as last configured
}

func newFairQueue(c *Controller, tenants *fairqueue.Config, names FieldNames) *fairQueue {
	f := &fairQueue{Controller: c, fieldNames: names, tenants: tenants}
	if c.Settings["may.name-return"] == settingTrue {
		f.maxRetryAfter = c.durationSetting("return.most")
	}
	shape := *tenants
	shape.Lanes = f.lanes()
	f.queue = fairqueue.New(shape)
	f.updateCores()
	f.sweep()
	return f
}

// reload takes over other tenants, and the groups' present limits.
func (f *fairQueue) reload(tenants *fairqueue.Config) {
	f.tenants = tenants
	shape := *tenants
	shape.Lanes = f.lanes()
	f.queue.Reload(f.now, shape)
	f.logMessage(true, fmt.Sprintf("teams were read again, %d queries wait", f.queue.WaitingCount()))
}

// lanes are the resource groups as the fair queue needs to know them.
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

// updateCores tells the queue how many cores the engines that take queries have.
func (f *fairQueue) updateCores() {
	cores := 0.0
	for _, e := range f.engines {
		if e.state == scheduler.EngineActive {
			cores += max(1, parseNumber(listItem(f.Settings["kind.cores"], e.kind)))
		}
	}
	f.queue.SetCores(cores)
}

// sweep lowers and raises priorities by the tenants' use, and notifies of waits.
func (f *fairQueue) sweep() {
	f.runAfter(fairqueue.SweepInterval, f.sweep)
	f.queue.Sweep(f.now, f.priorityChanged, func(w *fairqueue.Query, wait time.Duration) {
		w.Owner.(*query).owner.notifyWait(wait)
	})
}

func (f *fairQueue) priorityChanged(w *fairqueue.Query, lowered bool) {
	q := w.Owner.(*query)
	if lowered {
		f.logWithFields(f.waiterFields(q, w), "makes way: its priority is the least for now")
	}
	for _, s := range q.attempts {
		f.sendPriority(s)
	}
}

func (f *fairQueue) waiterFields(q *query, w *fairqueue.Query) LogFields {
	return LogFields{Query: q.id, Group: q.group.name, Tenant: f.queue.TenantName(w.Tenant)}
}

// enqueue takes a query in, or defers it at once if its wait would be too long.
func (f *fairQueue) enqueue(q *query, from CallOrigin) {
	if f.isDraining() { // the scheduler rejects it
		f.scheduler.QueryArrived(f.now, q.id, q.group.index, q.customer, q.deadline-f.now,
			q.tableGroup, q.keyNumber, q.estimatedWork, q.estimatedMemoryMB)
		return
	}
	w := f.newWaiter(q, from)
	verdict := f.queue.Enqueue(f.now, w)
	if !verdict.Admitted {
		f.logWithFields(f.waiterFields(q, w), "deferred: "+verdict.Reason.String()+", "+verdict.WaitEstimate.String())
		f.answerDeferred(q, f.retryAfter(verdict.WaitEstimate))
		return
	}
	q.fairEntry = w
	q.waitTimer = f.timers.Add(f.queue.LatestStart(w), func() {
		if w.Waiting() && !q.answered {
			f.answerDeferred(q, f.retryAfter(f.queue.RetryAfter(f.now, w)))
		}
	})
	for f.dispatchNext() {
	}
	wait := f.queue.FirstEstimate(f.now, w)
	if w.NotifyChanges && wait > 0 && !q.answered {
		q.owner.notifyWait(wait)
	}
}

func (f *fairQueue) newWaiter(q *query, from CallOrigin) *fairqueue.Query {
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
			w.RepeatID = w.RepeatOf // a repeat of this repeat names the first query, too
		}
	}
	return w
}

// idHash is a query's id as the fair queue knows it, never 0.
func idHash(id string) uint64 { return xxhash.Sum64String(strings.ToLower(id)) | 1 }

// retryAfter is what may be named to a client of an estimated wait.
func (f *fairQueue) retryAfter(wait time.Duration) time.Duration { return min(wait, f.maxRetryAfter) }

// dispatchNext submits one query to the scheduler, of the first group whose queue there takes more. False:
// there is none.
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

func (f *fairQueue) attemptStarted(q *query) {
	if q.fairEntry != nil {
		f.queue.Started(f.now, q.fairEntry)
	}
}

// queryClosed takes a query that waits out at once. One that was submitted leaves with queryOver.
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

// queryOver charges a query's work to its tenant, once none of its attempts runs.
func (f *fairQueue) queryOver(q *query) {
	if q.fairEntry == nil {
		return
	}
	var work, lost time.Duration // lost: the time of attempts that told no work
	for _, s := range q.attempts {
		if s.work > 0 {
			work += s.work
		} else if s.sent {
			lost += max(0, s.endedAt-s.startedAt)
		}
	}
	f.queue.Ended(f.now, q.fairEntry, q.fairOutcome, work, lost)
}

// deferAll defers all queries that wait, as the controller shuts down.
func (f *fairQueue) deferAll() {
	f.queue.EachWaiting(func(w *fairqueue.Query) {
		f.answerDeferred(w.Owner.(*query), f.retryAfter(f.queue.RetryAfter(f.now, w)))
	})
}

// countersText is the counters of all tenants together.
func (f *fairQueue) countersText() string {
	n := f.queue.Total
	return fmt.Sprintf("; fairness waiting %d started %d deferred %d repeated %d lowered %d,"+
		" wait s told %.3f had %.3f worst %.3f",
		f.queue.WaitingCount(), n.Started, n.Deferred, n.Repeated, n.PriorityLowered,
		meanSeconds(n.TotalEstimatedWait, n.Started), meanSeconds(n.TotalWait, n.Started), n.MaxWait.Seconds())
}

func meanSeconds(sum time.Duration, n int) float64 { return sum.Seconds() / float64(max(1, n)) }

// EachTenant calls each with what happened to the queries of every tenant so far; never without fair queueing.
// It is for reports, and must not be called during a Step.
func (c *Controller) EachTenant(each func(path string, waiting int, n fairqueue.Counts)) {
	if c.fairQueue != nil {
		c.fairQueue.queue.EachTenant(each)
	}
}

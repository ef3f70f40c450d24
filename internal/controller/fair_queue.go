package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/scheduler"
)

// fairness stands between the fronts and the decisions where the set-up has
// teams: a query goes to the decisions when its turn comes. Without teams it is
// nil, and costs nothing.
type fairQueue struct {
	*Controller
	queue         *fairqueue.Core
	fieldNames    FieldNames
	maxRetryAfter time.Duration    // the longest that clients follow, 0: none is named
	tenants       *fairqueue.Shape // last followed
}

func newFairQueue(c *Controller, shape *fairqueue.Shape, words FieldNames) *fairQueue {
	f := &fairQueue{Controller: c, fieldNames: words, tenants: shape}
	if c.Settings["may.name-return"] == "true" {
		f.maxRetryAfter = c.durationSetting("return.most")
	}
	s := *shape
	s.Lanes = f.lanes()
	f.queue = fairqueue.New(s)
	f.updateCores()
	f.sweep()
	return f
}

// lanes are the resource groups as fairness needs to know them.
func (f *fairQueue) lanes() []fairqueue.Lane {
	l := make([]fairqueue.Lane, len(f.groups))
	for _, g := range f.groups {
		l[g.index] = fairqueue.Lane{Name: g.name, Threads: g.threads, Value: g.priorityWeight, Ordered: g.inOrder, Chained: g.isLoad,
			Usual: time.Duration(float64(g.latencyObjective) / 2 * g.threads)}
	}
	return l
}

// cores tells what the engines of the list can do.
func (f *fairQueue) updateCores() {
	n := 0.0
	for _, e := range f.engines {
		if e.state == scheduler.EngineActive {
			n += max(1, parseNumber(listItem(f.Settings["kind.cores"], e.kind)))
		}
	}
	f.queue.Cores(n)
}

func (f *fairQueue) sweep() {
	f.runAfter(fairqueue.SweepEvery, f.sweep)
	f.queue.Sweep(f.now, func(w *fairqueue.Waiter, on bool) {
		q := w.Of.(*query)
		if on {
			f.logAbout(LogFields{Query: q.id, Group: q.group.name, Tenant: f.queue.Team(w.Team)}, "makes way: its priority is the least for now")
		}
		for _, s := range q.attempts {
			f.sendPriority(s)
		}
	}, func(w *fairqueue.Waiter, wait time.Duration) {
		w.Of.(*query).owner.notifyWait(wait)
	})
}

// enter takes a query in, or defers it at once if its wait would be too long.
func (f *fairQueue) enqueue(q *query, from From, tables, key int64) {
	if f.isDraining() { // which turns it away
		f.scheduler.QueryArrived(f.now, q.id, q.group.index, q.customer, q.deadline-f.now, tables, key, q.estimatedWork, q.estimatedMemoryMB)
		return
	}
	w := &fairqueue.Waiter{Of: q, Lane: q.group.index, Key: key, Chain: tables, Until: q.deadline,
		Team: f.queue.Whose(from.Address, from.Fields.Get(f.fieldNames.Tenant)), Ask: len(from.Fields.Get(f.fieldNames.NotifyWait)) > 0}
	if f.fieldNames.RepeatOf != "" {
		w.Self = traceHash(q.id)
		if first := from.Fields.Get(f.fieldNames.RepeatOf); len(first) > 0 {
			w.Again = traceHash(string(first))
			w.Self = w.Again // what repeats the repeat names the first
		}
	}
	q.tableGroup, q.keyNumber = tables, key
	v := f.queue.Enter(f.now, w)
	if !v.Taken {
		f.logAbout(LogFields{Query: q.id, Group: q.group.name, Tenant: f.queue.Team(w.Team)},
			"deferred: "+v.Why.String()+", "+v.Estimate.String())
		f.answerDeferred(q, f.retryAfter(v.Estimate))
		return
	}
	q.waiter = w
	q.waitTimer = f.timers.Add(f.queue.Latest(w), func() {
		if w.Waits() && !q.answered {
			f.answerDeferred(q, f.retryAfter(f.queue.Back(f.now, w)))
		}
	})
	for f.dispatchNext() {
	}
	if wait := f.queue.First(f.now, w); w.Ask && wait > 0 && !q.answered {
		q.owner.notifyWait(wait)
	}
}

// name is a trace as the core knows it, never 0.
func traceHash(trace string) uint64 { return xxhash.Sum64String(strings.ToLower(trace)) | 1 }

// pause is what may be named of an estimate.
func (f *fairQueue) retryAfter(wait time.Duration) time.Duration { return min(wait, f.maxRetryAfter) }

// next hands one query on to the decisions if they would take it.
func (f *fairQueue) dispatchNext() bool {
	for lane := range len(f.groups) {
		full := f.scheduler.QueueBlocked(lane)
		if f.queue.Full(f.now, lane, full); full {
			continue
		}
		if w := f.queue.Next(f.now, lane); w != nil {
			q := w.Of.(*query)
			f.timers.Drop(q.waitTimer)
			f.submitToScheduler(q)
			return true
		}
	}
	return false
}

func (f *fairQueue) attemptStarted(q *query) {
	if q.waiter != nil {
		f.queue.Started(f.now, q.waiter)
	}
}

// answered: a query that waits leaves at once, one that was handed on only once
// nothing of it runs.
func (f *fairQueue) queryClosed(q *query, end fairqueue.End) {
	if q.waiter == nil {
		return
	}
	q.fairEnd = end
	if q.waiter.Waits() {
		f.timers.Drop(q.waitTimer)
		f.queue.Ended(f.now, q.waiter, end, 0, 0)
	}
}

// over: nothing of it runs any more.
func (f *fairQueue) queryOver(q *query) {
	if q.waiter == nil {
		return
	}
	work, lost := time.Duration(0), time.Duration(0)
	for _, s := range q.attempts {
		if s.work > 0 {
			work += s.work
		} else if s.sent {
			lost += max(0, s.endedAt-s.startedAt)
		}
	}
	f.queue.Ended(f.now, q.waiter, q.fairEnd, work, lost)
}

// close defers all that wait: the program ends.
func (f *fairQueue) deferAll() {
	f.queue.Each(func(w *fairqueue.Waiter) { f.answerDeferred(w.Of.(*query), f.retryAfter(f.queue.Back(f.now, w))) })
}

// reload follows another set of teams.
func (f *fairQueue) reload(shape *fairqueue.Shape) {
	f.tenants = shape
	s := *shape
	s.Lanes = f.lanes()
	f.queue.Reload(f.now, s)
	f.logMessage(true, fmt.Sprintf("teams were read again, %d queries wait", f.queue.Waiting()))
}

// text tells the counters of all teams together, and of the teams that asked most.
func (f *fairQueue) countersText() string {
	n := f.queue.Total
	return fmt.Sprintf("; fairness waiting %d started %d deferred %d repeated %d lowered %d, wait s told %.3f had %.3f worst %.3f",
		f.queue.Waiting(), n.Started, n.Deferred, n.Repeated, n.Lowered, meanSeconds(n.Told, n.Started), meanSeconds(n.Had, n.Started),
		n.Worst.Seconds())
}

func meanSeconds(sum time.Duration, n int) float64 { return sum.Seconds() / float64(max(1, n)) }

// Teams hands over what happened to each team's queries so far; nothing without
// fairness. It is for reports, between two steps.
func (c *Controller) Teams(each func(path string, waiting int, n fairqueue.Counts)) {
	if c.fairQueue != nil {
		c.fairQueue.queue.Teams(each)
	}
}

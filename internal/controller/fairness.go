package controller

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/scheduler"
)

// FieldNames are the names of call fields that a set-up may give; an empty one is
// not looked for.
type FieldNames struct {
	Team  string // whose the call is, believed from where the set-up says
	Wait  string // its client wants to be told how long it waits
	Again string // the trace of the call that this one repeats
	Pages string // its client reads the result page by page
	Whose string // names the customer whose share it counts to
	Work  string // estimates its work, in milliseconds of one thread
	Need  string // estimates the memory it needs, in MB
	Token string // the mark by which engines know a repeat, of groups that the settings call tokened
}

// From is where a call comes from and what it says beside the query itself.
type From struct {
	Address netip.Addr
	Fields  msgpackrpc.Fields
}

// fairness stands between the fronts and the decisions where the set-up has
// teams: a query goes to the decisions when its turn comes. Without teams it is
// nil, and costs nothing.
type fairness struct {
	*Controller
	core   *fairqueue.Core
	words  FieldNames
	pauses time.Duration    // the longest that clients follow, 0: none is named
	shape  *fairqueue.Shape // last followed
}

func newFairness(r *Controller, shape *fairqueue.Shape, words FieldNames) *fairness {
	f := &fairness{Controller: r, words: words, shape: shape}
	if r.Facts["may.name-return"] == "true" {
		f.pauses = r.span("return.most")
	}
	s := *shape
	s.Lanes = f.lanes()
	f.core = fairqueue.New(s)
	f.cores()
	f.sweep()
	return f
}

// lanes are the resource groups as fairness needs to know them.
func (f *fairness) lanes() []fairqueue.Lane {
	l := make([]fairqueue.Lane, len(f.groups))
	for _, g := range f.groups {
		l[g.index] = fairqueue.Lane{Name: g.name, Threads: g.threads, Value: g.value, Ordered: g.inOrder, Chained: g.load,
			Usual: time.Duration(float64(g.target) / 2 * g.threads)}
	}
	return l
}

// cores tells what the engines of the list can do.
func (f *fairness) cores() {
	n := 0.0
	for _, e := range f.engines {
		if e.state == scheduler.EngineActive {
			n += max(1, number(item(f.Facts["kind.cores"], e.kind)))
		}
	}
	f.core.Cores(n)
}

func (f *fairness) sweep() {
	f.after(fairqueue.SweepEvery, f.sweep)
	f.core.Sweep(f.now, func(w *fairqueue.Waiter, on bool) {
		q := w.Of.(*query)
		if on {
			f.sayOf(LogFields{Query: q.id, Group: q.group.name, Team: f.core.Team(w.Team)}, "makes way: its priority is the least for now")
		}
		for _, s := range q.subs {
			f.rank(s)
		}
	}, func(w *fairqueue.Waiter, wait time.Duration) {
		w.Of.(*query).asker.told(wait)
	})
}

// enter takes a query in, or defers it at once if its wait would be too long.
func (f *fairness) enter(q *query, from From, tables, key int64) {
	if f.closing { // which turns it away
		f.gate.QueryArrived(f.now, q.id, q.group.index, q.customer, q.deadline-f.now, tables, key, q.work, q.need)
		return
	}
	w := &fairqueue.Waiter{Of: q, Lane: q.group.index, Key: key, Chain: tables, Until: q.deadline,
		Team: f.core.Whose(from.Address, from.Fields.Get(f.words.Team)), Ask: len(from.Fields.Get(f.words.Wait)) > 0}
	if f.words.Again != "" {
		w.Self = name(q.id)
		if first := from.Fields.Get(f.words.Again); len(first) > 0 {
			w.Again = name(string(first))
			w.Self = w.Again // what repeats the repeat names the first
		}
	}
	q.tables, q.number = tables, key
	v := f.core.Enter(f.now, w)
	if !v.Taken {
		f.sayOf(LogFields{Query: q.id, Group: q.group.name, Team: f.core.Team(w.Team)},
			"deferred: "+v.Why.String()+", "+v.Estimate.String())
		f.deferred(q, f.pause(v.Estimate))
		return
	}
	q.turn = w
	q.latest = f.due.Add(f.core.Latest(w), func() {
		if w.Waits() && !q.answered {
			f.deferred(q, f.pause(f.core.Back(f.now, w)))
		}
	})
	for f.next() {
	}
	if wait := f.core.First(f.now, w); w.Ask && wait > 0 && !q.answered {
		q.asker.told(wait)
	}
}

// name is a trace as the core knows it, never 0.
func name(trace string) uint64 { return xxhash.Sum64String(strings.ToLower(trace)) | 1 }

// pause is what may be named of an estimate.
func (f *fairness) pause(wait time.Duration) time.Duration { return min(wait, f.pauses) }

// next hands one query on to the decisions if they would take it.
func (f *fairness) next() bool {
	for lane := range len(f.groups) {
		full := f.gate.QueueBlocked(lane)
		if f.core.Full(f.now, lane, full); full {
			continue
		}
		if w := f.core.Next(f.now, lane); w != nil {
			q := w.Of.(*query)
			f.due.Drop(q.latest)
			f.begin(q)
			return true
		}
	}
	return false
}

func (f *fairness) started(q *query) {
	if q.turn != nil {
		f.core.Started(f.now, q.turn)
	}
}

// answered: a query that waits leaves at once, one that was handed on only once
// nothing of it runs.
func (f *fairness) answered(q *query, end fairqueue.End) {
	if q.turn == nil {
		return
	}
	q.came = end
	if q.turn.Waits() {
		f.due.Drop(q.latest)
		f.core.Ended(f.now, q.turn, end, 0, 0)
	}
}

// over: nothing of it runs any more.
func (f *fairness) over(q *query) {
	if q.turn == nil {
		return
	}
	work, lost := time.Duration(0), time.Duration(0)
	for _, s := range q.subs {
		if s.work > 0 {
			work += s.work
		} else if s.sent {
			lost += max(0, s.endedAt-s.at)
		}
	}
	f.core.Ended(f.now, q.turn, q.came, work, lost)
}

// close defers all that wait: the program ends.
func (f *fairness) close() {
	f.core.Each(func(w *fairqueue.Waiter) { f.deferred(w.Of.(*query), f.pause(f.core.Back(f.now, w))) })
}

// reload follows another set of teams.
func (f *fairness) reload(shape *fairqueue.Shape) {
	f.shape = shape
	s := *shape
	s.Lanes = f.lanes()
	f.core.Reload(f.now, s)
	f.say(true, fmt.Sprintf("teams were read again, %d queries wait", f.core.Waiting()))
}

// text tells the counters of all teams together, and of the teams that asked most.
func (f *fairness) text() string {
	n := f.core.Total
	return fmt.Sprintf("; fairness waiting %d started %d deferred %d repeated %d lowered %d, wait s told %.3f had %.3f worst %.3f",
		f.core.Waiting(), n.Started, n.Deferred, n.Repeated, n.Lowered, mean(n.Told, n.Started), mean(n.Had, n.Started),
		n.Worst.Seconds())
}

func mean(sum time.Duration, n int) float64 { return sum.Seconds() / float64(max(1, n)) }

// Teams hands over what happened to each team's queries so far; nothing without
// fairness. It is for reports, between two steps.
func (r *Controller) Teams(each func(path string, waiting int, n fairqueue.Counts)) {
	if r.fair != nil {
		r.fair.core.Teams(each)
	}
}

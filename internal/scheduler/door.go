package scheduler

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sort"
	"strconv"
	"time"
)

// This is the door: ids are turned into objects here and nowhere else, counts
// are kept, and everything is handed on to decide.go.

// What a wake that was asked for is for.
const (
	duesTag = iota
	tickTag
)

// New starts an instance.
func New(act Actions, seed uint64, given map[string]string) *Scheduler {
	f := newFacts(given)
	g := &Scheduler{act: act, facts: f, askedAt: -time.Hour, rng: newPCG(seed), byID: map[string]*engine{},
		queries: map[string]*query{}, chains: map[int64]*chain{}, keys: map[int64]*keyLine{}, wakeAt: -1}
	for i := range int(f.num("groups", 0)) {
		rg := newGroup(f, i)
		g.groups = append(g.groups, rg)
		g.longest, g.lump = max(g.longest, rg.timeout), max(g.lump, rg.threads)
	}
	for i := range int(f.num("teams", 0)) {
		g.teams = append(g.teams, &team{quota: f.num("team."+strconv.Itoa(i)+".quota", 0) / max(1, f.num("gateways", 1))})
	}
	g.longest = max(g.longest, f.span("cold.span", 0), chainWindow) + f.span("key.rest", 0)
	g.nobody.quota = math.Inf(1)
	g.seq = uint64(g.rng.next()) // gateways must not draw alike
	g.looks = f.yes("may.probe") && f.text["report.how"] != "off"
	g.ranked, g.share = slices.Clone(g.groups), g.ownShare()
	g.counts = slices.Contains(f.list("report.figures"), "held") || f.text["report.figures"] == ""
	if f.yes("may.name-return") {
		g.comeBack = f.span("return.most", 0)
	}
	g.act.Wake(tick, tickTag)
	return g
}

func (g *Scheduler) ListBegins(now time.Duration, whole bool) {
	g.now, g.whole, g.listing, g.subscribed = now, whole, map[*engine]bool{}, g.askedAt >= 0
}

func (g *Scheduler) ListEngine(id string, location, kind, cell int, state EngineState,
	started time.Duration, fresh bool) {
	e := g.byID[id]
	if e == nil {
		e = &engine{id: id, heardAt: g.now, slow: 1, doneAt: map[int64]time.Duration{}}
		g.byID[id], g.engines = e, append(g.engines, e)
		h := fnv.New32a()
		h.Write([]byte(id))
		e.mark = h.Sum32()
	}
	g.listing[e] = true
	if state == EngineRemoved && e.state != EngineRemoved {
		e.goneAt = g.now
	}
	e.location, e.kind, e.cell, e.state = location, kind, cell, state
	e.home = strconv.Itoa(location) == g.facts.text["own.location"]
	e.cores = max(1, g.facts.itemNum("kind.cores", kind))
	if e.ram = g.facts.itemNum("kind.memory", kind); e.ram <= 0 {
		e.ram = math.Inf(1) // not told: no bound
	}
	if fresh && started != e.started {
		g.restarted(e, started)
	}
}

func (g *Scheduler) ListEnds() {
	for _, e := range g.engines {
		if g.whole && !g.listing[e] && e.state != EngineRemoved {
			e.state, e.goneAt = EngineRemoved, g.now
		}
	}
	g.stale = true
	g.step()
}

func (g *Scheduler) ListRefused(now time.Duration) {
	g.now, g.subscribed = now, false
	g.step()
}

func (g *Scheduler) Take(now time.Duration, id string, group, team int, budget time.Duration, tables, key int64,
	work time.Duration, memoryMB float64) {
	g.ConfinedQueryArrived(now, id, group, team, budget, tables, key, work, memoryMB, nil)
}

// TakeInside takes a query that may only be sent to engines at some of its group's
// locations, by their places in the settings; nil: at all of them, empty: at none.
func (g *Scheduler) ConfinedQueryArrived(now time.Duration, id string, group, team int, budget time.Duration, tables, key int64,
	work time.Duration, memoryMB float64, inside []string) {
	g.now = now
	if group < 0 || group >= len(g.groups) {
		g.act.Kill(id)
		return
	}
	g.seq++
	q := &query{id: id, rg: g.groups[group], team: g.team(team), tables: tables, key: key, work: work.Seconds(), memory: memoryMB,
		seq: g.seq, takenAt: now, deadline: now + budget, priority: -1}
	q.keepInside(inside)
	g.queries[id] = q
	g.taken = append(g.taken, now)
	g.take(q)
	g.step()
}

// Inside changes where a query may be sent; what is out stays where it is.
func (g *Scheduler) ConfineQuery(now time.Duration, id string, inside []string) {
	g.now = now
	if q := g.queries[id]; q != nil {
		q.keepInside(inside)
		g.step()
	}
}

// keepInside narrows where a query may go: never past its group's own locations.
func (q *query) keepInside(inside []string) {
	q.inside, q.narrow, q.shuts = q.rg.locations, inside != nil, q.tables
	if !q.narrow {
		return
	}
	if q.inside == nil {
		q.inside = inside
	} else {
		q.inside = slices.DeleteFunc(slices.Clone(inside), func(l string) bool { return !slices.Contains(q.rg.locations, l) })
	}
	h := fnv.New64a()
	for _, l := range q.inside {
		h.Write([]byte(l + ","))
	}
	q.shuts ^= int64(h.Sum64() | 1<<62) // far from any table's number
}

// team is whose share a query counts to; who has none is never over it.
func (g *Scheduler) team(i int) *team {
	if i < 0 || i >= len(g.teams) || g.teams[i].quota <= 0 {
		return &g.nobody
	}
	return g.teams[i]
}

func (g *Scheduler) submission(id string, try int) *submission {
	q := g.queries[id]
	if q == nil || try < 0 || try >= len(q.subs) || q.subs[try].ended {
		return nil
	}
	return q.subs[try]
}

func (g *Scheduler) Ended(now time.Duration, id string, try int, outcome Outcome, took time.Duration, over bool,
	work time.Duration, memoryMB float64, report map[string]float64) {
	g.now = now
	s := g.submission(id, try)
	if s == nil {
		return
	}
	s.ended, s.outcome = true, outcome
	s.q.out--
	s.e.out = slices.DeleteFunc(s.e.out, func(x *submission) bool { return x == s })
	g.count(s, -1)
	g.report(s.e, report)
	g.ended(s, took, over, work.Seconds(), memoryMB)
	g.step()
}

// sent keeps the count of a query that goes to an engine.
func (g *Scheduler) sent(q *query, e *engine, memory, work float64) *submission {
	s := &submission{q: q, e: e, try: len(q.subs), at: g.now, threads: q.rg.threads, memory: memory}
	if s.try > 0 {
		g.extras = append(g.extras, g.now)
	}
	if g.now < e.coldUntil {
		e.coldSent = append(e.coldSent, sent{g.now, work})
	}
	q.subs, q.out = append(q.subs, s), q.out+1
	e.out = append(e.out, s)
	g.count(s, 1)
	if q.chain != nil && q.chain.link == q {
		q.chain.engine, q.chain.ended = e, false
	}
	return s
}

// forget drops what was learned of a process that is no more.
func (g *Scheduler) forget(e *engine) {
	e.slow, e.silent, e.report, e.loadSeen, e.heardAt = 1, false, nil, nil, g.now
}

// report keeps what an engine told of itself, and what was one's own of it.
func (g *Scheduler) report(e *engine, report map[string]float64) {
	if len(report) > 0 {
		e.report, e.reportAt, e.threadsAtReport, e.memoryAtReport = report, g.now, e.threads, e.memory
		g.reported(e, report)
	}
}

// count adds what a submission takes to its engine, or takes it off.
func (g *Scheduler) count(s *submission, sign float64) {
	g.stale = true
	s.e.threads += sign * s.threads
	s.e.memory += sign * s.memory
}

func (g *Scheduler) Note(now time.Duration, id string, try int, sign NoteKind, x float64) {
	g.now = now
	if s := g.submission(id, try); s != nil {
		g.noted(s, sign, x)
		g.step()
	}
}

func (g *Scheduler) Begun(now time.Duration, id string) {
	g.now = now
	if q := g.queries[id]; q != nil {
		q.begun = true
	}
}

func (g *Scheduler) ClientLeft(now time.Duration, id string) {
	g.now = now
	if q := g.queries[id]; q != nil {
		g.abandoned(q)
		g.step()
	}
}

func (g *Scheduler) Closing(now time.Duration) { g.now, g.closing = now, true }

func (g *Scheduler) Probed(now time.Duration, id string, outcome Outcome, report map[string]float64) {
	g.now = now
	e := g.byID[id]
	if e == nil {
		return
	}
	e.probing = false
	if outcome == Finished {
		g.heard(e)
		g.report(e, report)
	} else {
		g.unanswered(e)
	}
	g.step()
}

func (g *Scheduler) Reported(now time.Duration, id string, report map[string]float64) {
	g.now = now
	if e := g.byID[id]; e != nil {
		g.report(e, report)
		g.step()
	}
}

// BeginsBy is until when the first byte of a submission may go, 0 where it may not any more:
// an adapter that let it wait for a connection asks once more. It changes nothing, so that
// it may be asked while the decisions act.
func (g *Scheduler) StartDeadline(id string, try int) time.Duration {
	if s := g.submission(id, try); s != nil {
		return g.beginsBy(s)
	}
	return 0
}

// Out is how many submissions an engine is thought to have.
func (g *Scheduler) InFlight(id string) (out int, known bool) {
	e := g.byID[id]
	if e == nil {
		return 0, false
	}
	return len(e.out), true
}

// Full reports whether a query of the group is held for want of room: one more would be
// held behind it. What is held for a load or its key's turn fills nothing.
func (g *Scheduler) QueueBlocked(group int) bool {
	return group >= 0 && group < len(g.groups) && g.groups[group].full
}

// Known is how many engines, chains, keys, tables, queries and due times are in mind.
func (g *Scheduler) EntryCount() int {
	n := g.due.Len() + len(g.engines) + len(g.byID) + len(g.chains) + len(g.keys) + len(g.queries)
	for _, e := range g.engines {
		n += len(e.doneAt) + len(e.loadSeen) + len(e.coldSent)
	}
	return n
}

// tidy forgets what can matter no more: engines that are gone, chains, keys and
// tables at rest. Without it they would stay as long as the instance runs.
func (g *Scheduler) tidy() {
	if g.now < g.tidyAt {
		return
	}
	g.tidyAt = g.now + time.Second
	g.engines = slices.DeleteFunc(g.engines, func(e *engine) bool {
		old := e.state == EngineRemoved && g.now-e.goneAt > g.longest && len(e.out) == 0
		if old {
			delete(g.byID, e.id)
		}
		return old
	})
	for _, e := range g.engines {
		maps.DeleteFunc(e.doneAt, func(_ int64, at time.Duration) bool { return g.now-at > g.longest })
		maps.DeleteFunc(e.loadSeen, func(_ int64, until time.Duration) bool { return g.now >= until })
		if g.now >= e.coldUntil {
			e.coldSent = nil
		}
	}
	maps.DeleteFunc(g.chains, func(_ int64, c *chain) bool {
		return c.link == nil && len(c.held) == 0 && g.now-c.endedAt > chainWindow
	})
	maps.DeleteFunc(g.keys, func(_ int64, k *keyLine) bool { return len(k.line) == 0 && g.now >= k.restUntil })
	since := g.now - g.facts.span("budget.span", 0)
	within(&g.taken, since)
	within(&g.extras, since)
}

func (g *Scheduler) Woken(now time.Duration, tag int) {
	g.now = now
	if tag == duesTag {
		g.wakeAt = -1
	} else {
		g.periodic()
		g.tidy()
	}
	g.step()
}

// of has something done for a query when it is due, unless the query has left by then.
func (g *Scheduler) of(q *query, t time.Duration, do func()) {
	q.dues = append(q.dues, g.due.Add(t, do))
}

// step ends every call in: what is due is done, what can go is let go, and the
// next due time is asked for.
func (g *Scheduler) step() {
	for do, ok := g.due.Next(g.now); ok; do, ok = g.due.Next(g.now) {
		do()
	}
	if !g.holds {
		g.release()
	}
	if first, ok := g.due.First(); ok && (g.wakeAt < 0 || first < g.wakeAt) {
		g.wakeAt = first
		g.act.Wake(max(0, first-g.now), duesTag)
	}
}

// settle passes the turn on once a query is over and nothing of it is out.
func (g *Scheduler) settle(q *query) {
	if !q.over || q.out > 0 || g.queries[q.id] == nil {
		return
	}
	delete(g.queries, q.id)
	for _, x := range q.dues {
		g.due.Drop(x)
	}
	q.dues = nil
	g.linkEnded(q)
	if line := g.line(q); line != nil {
		first := len(line.line) > 0 && line.line[0] == q
		if line.drop(q); first && len(line.line) > 0 {
			g.begin(line.line[0])
		}
	}
}

func (g *Scheduler) left(q *query) float64 { return (q.deadline - g.now).Seconds() }

// line is the order a query stands in by its key, nil if its group asks for none.
func (g *Scheduler) line(q *query) *keyLine {
	if !q.rg.inOrder || q.key < 0 {
		return nil
	}
	line := g.keys[q.key]
	if line == nil {
		line = &keyLine{}
		g.keys[q.key] = line
	}
	return line
}

// within drops what came before a time and counts the rest.
func within(l *[]time.Duration, since time.Duration) int {
	i := sort.Search(len(*l), func(i int) bool { return (*l)[i] >= since })
	*l = (*l)[i:]
	return len(*l)
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

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
	timersTag = iota
	tickTag
)

// New starts an instance.
func New(act Actions, seed uint64, given map[string]string) *Scheduler {
	f := newFacts(given)
	g := &Scheduler{actions: act, settings: f, subscribeSentAt: -time.Hour, rng: newPCG(seed), enginesByID: map[string]*engine{},
		queries: map[string]*query{}, chains: map[int64]*chain{}, keyQueues: map[int64]*keyQueue{}, wakeAt: -1}
	for i := range int(f.num("groups", 0)) {
		rg := newGroup(f, i)
		g.groups = append(g.groups, rg)
		g.retention, g.maxQueryThreads = max(g.retention, rg.timeout), max(g.maxQueryThreads, rg.threads)
	}
	for i := range int(f.num("teams", 0)) {
		g.tenants = append(g.tenants, &tenant{quota: f.num("team."+strconv.Itoa(i)+".quota", 0) / max(1, f.num("gateways", 1))})
	}
	g.retention = max(g.retention, f.span("cold.span", 0), chainAffinitySpan) + f.span("key.rest", 0)
	g.unlimitedTenant.quota = math.Inf(1)
	g.seq = uint64(g.rng.next()) // gateways must not draw alike
	g.healthChecksReportLoad = f.yes("may.probe") && f.text["report.how"] != "off"
	g.ranked, g.ownShare = slices.Clone(g.groups), g.estimateOwnShare()
	g.reportsCountQueries = slices.Contains(f.list("report.figures"), "held") || f.text["report.figures"] == ""
	if f.yes("may.name-return") {
		g.retryAfter = f.span("return.most", 0)
	}
	g.actions.Wake(tickInterval, tickTag)
	return g
}

func (g *Scheduler) ListStarted(now time.Duration, whole bool) {
	g.now, g.listComplete, g.listedEngines, g.subscribed = now, whole, map[*engine]bool{}, g.subscribeSentAt >= 0
}

func (g *Scheduler) EngineListed(id string, location, kind, cell int, state EngineState,
	started time.Duration, fresh bool) {
	e := g.enginesByID[id]
	if e == nil {
		e = &engine{id: id, lastResponseAt: g.now, slowdown: 1, lastFinishOfTables: map[int64]time.Duration{}}
		g.enginesByID[id], g.engines = e, append(g.engines, e)
		h := fnv.New32a()
		h.Write([]byte(id))
		e.hash = h.Sum32()
	}
	g.listedEngines[e] = true
	if state == EngineRemoved && e.state != EngineRemoved {
		e.removedAt = g.now
	}
	e.location, e.kind, e.cell, e.state = location, kind, cell, state
	e.local = strconv.Itoa(location) == g.settings.text["own.location"]
	e.cores = max(1, g.settings.itemNum("kind.cores", kind))
	if e.memoryCapacityMB = g.settings.itemNum("kind.memory", kind); e.memoryCapacityMB <= 0 {
		e.memoryCapacityMB = math.Inf(1) // not told: no bound
	}
	if fresh && started != e.startedAt {
		g.engineRestarted(e, started)
	}
}

func (g *Scheduler) ListEnded() {
	for _, e := range g.engines {
		if g.listComplete && !g.listedEngines[e] && e.state != EngineRemoved {
			e.state, e.removedAt = EngineRemoved, g.now
		}
	}
	g.totalsStale = true
	g.finishEvent()
}

func (g *Scheduler) ListRefused(now time.Duration) {
	g.now, g.subscribed = now, false
	g.finishEvent()
}

func (g *Scheduler) QueryArrived(now time.Duration, id string, group, team int, budget time.Duration, tables, key int64,
	work time.Duration, memoryMB float64) {
	g.ConfinedQueryArrived(now, id, group, team, budget, tables, key, work, memoryMB, nil)
}

// TakeInside takes a query that may only be sent to engines at some of its group's
// locations, by their places in the settings; nil: at all of them, empty: at none.
func (g *Scheduler) ConfinedQueryArrived(now time.Duration, id string, group, team int, budget time.Duration, tables, key int64,
	work time.Duration, memoryMB float64, inside []string) {
	g.now = now
	if group < 0 || group >= len(g.groups) {
		g.actions.Kill(id)
		return
	}
	g.seq++
	q := &query{id: id, group: g.groups[group], tenant: g.tenant(team), tables: tables, key: key, workSeconds: work.Seconds(), memoryMB: memoryMB,
		seq: g.seq, arrivedAt: now, deadline: now + budget, priority: -1}
	q.confine(inside)
	g.queries[id] = q
	g.arrivals = append(g.arrivals, now)
	g.admit(q)
	g.finishEvent()
}

// Inside changes where a query may be sent; what is out stays where it is.
func (g *Scheduler) ConfineQuery(now time.Duration, id string, inside []string) {
	g.now = now
	if q := g.queries[id]; q != nil {
		q.confine(inside)
		g.finishEvent()
	}
}

// keepInside narrows where a query may go: never past its group's own locations.
func (q *query) confine(inside []string) {
	q.allowedLocations, q.confined, q.blockingKey = q.group.locations, inside != nil, q.tables
	if !q.confined {
		return
	}
	if q.allowedLocations == nil {
		q.allowedLocations = inside
	} else {
		q.allowedLocations = slices.DeleteFunc(slices.Clone(inside), func(l string) bool { return !slices.Contains(q.group.locations, l) })
	}
	h := fnv.New64a()
	for _, l := range q.allowedLocations {
		h.Write([]byte(l + ","))
	}
	q.blockingKey ^= int64(h.Sum64() | 1<<62) // far from any table's number
}

// team is whose share a query counts to; who has none is never over it.
func (g *Scheduler) tenant(i int) *tenant {
	if i < 0 || i >= len(g.tenants) || g.tenants[i].quota <= 0 {
		return &g.unlimitedTenant
	}
	return g.tenants[i]
}

func (g *Scheduler) openAttempt(id string, try int) *attempt {
	q := g.queries[id]
	if q == nil || try < 0 || try >= len(q.attempts) || q.attempts[try].ended {
		return nil
	}
	return q.attempts[try]
}

func (g *Scheduler) AttemptEnded(now time.Duration, id string, try int, outcome Outcome, took time.Duration, over bool,
	work time.Duration, memoryMB float64, report map[string]float64) {
	g.now = now
	s := g.openAttempt(id, try)
	if s == nil {
		return
	}
	s.ended, s.outcome = true, outcome
	s.query.inFlight--
	s.engine.inFlight = slices.DeleteFunc(s.engine.inFlight, func(x *attempt) bool { return x == s })
	g.countAttempt(s, -1)
	g.storeReport(s.engine, report)
	g.handleAttemptEnd(s, took, over, work.Seconds(), memoryMB)
	g.finishEvent()
}

// sent keeps the count of a query that goes to an engine.
func (g *Scheduler) recordAttempt(q *query, e *engine, memory, work float64) *attempt {
	s := &attempt{query: q, engine: e, number: len(q.attempts), sentAt: g.now, threads: q.group.threads, memoryMB: memory}
	if s.number > 0 {
		g.retries = append(g.retries, g.now)
	}
	if g.now < e.warmingUntil {
		e.slowStartSends = append(e.slowStartSends, sentWork{g.now, work})
	}
	q.attempts, q.inFlight = append(q.attempts, s), q.inFlight+1
	e.inFlight = append(e.inFlight, s)
	g.countAttempt(s, 1)
	if q.chain != nil && q.chain.running == q {
		q.chain.engine, q.chain.lastEnded = e, false
	}
	return s
}

// forget drops what was learned of a process that is no more.
func (g *Scheduler) forgetLearned(e *engine) {
	e.slowdown, e.unresponsive, e.report, e.loadRunningUntil, e.lastResponseAt = 1, false, nil, nil, g.now
}

// report keeps what an engine told of itself, and what was one's own of it.
func (g *Scheduler) storeReport(e *engine, report map[string]float64) {
	if len(report) > 0 {
		e.report, e.reportAt, e.threadsInFlightAtReport, e.memoryInFlightAtReportMB = report, g.now, e.threadsInFlight, e.memoryInFlightMB
		g.learnFromReport(e, report)
	}
}

// count adds what a submission takes to its engine, or takes it off.
func (g *Scheduler) countAttempt(s *attempt, sign float64) {
	g.totalsStale = true
	s.engine.threadsInFlight += sign * s.threads
	s.engine.memoryInFlightMB += sign * s.memoryMB
}

func (g *Scheduler) NoteReceived(now time.Duration, id string, try int, sign NoteKind, x float64) {
	g.now = now
	if s := g.openAttempt(id, try); s != nil {
		g.handleNote(s, sign, x)
		g.finishEvent()
	}
}

func (g *Scheduler) AnswerStarted(now time.Duration, id string) {
	g.now = now
	if q := g.queries[id]; q != nil {
		q.answerStarted = true
	}
}

func (g *Scheduler) ClientLeft(now time.Duration, id string) {
	g.now = now
	if q := g.queries[id]; q != nil {
		g.clientGone(q)
		g.finishEvent()
	}
}

func (g *Scheduler) DrainStarted(now time.Duration) { g.now, g.draining = now, true }

func (g *Scheduler) HealthCheckEnded(now time.Duration, id string, outcome Outcome, report map[string]float64) {
	g.now = now
	e := g.enginesByID[id]
	if e == nil {
		return
	}
	e.healthCheckInFlight = false
	if outcome == Finished {
		g.engineResponded(e)
		g.storeReport(e, report)
	} else {
		g.healthCheckFailed(e)
	}
	g.finishEvent()
}

func (g *Scheduler) LoadReported(now time.Duration, id string, report map[string]float64) {
	g.now = now
	if e := g.enginesByID[id]; e != nil {
		g.storeReport(e, report)
		g.finishEvent()
	}
}

// BeginsBy is until when the first byte of a submission may go, 0 where it may not any more:
// an adapter that let it wait for a connection asks once more. It changes nothing, so that
// it may be asked while the decisions act.
func (g *Scheduler) StartDeadline(id string, try int) time.Duration {
	if s := g.openAttempt(id, try); s != nil {
		return g.startDeadline(s)
	}
	return 0
}

// Out is how many submissions an engine is thought to have.
func (g *Scheduler) InFlight(id string) (out int, known bool) {
	e := g.enginesByID[id]
	if e == nil {
		return 0, false
	}
	return len(e.inFlight), true
}

// Full reports whether a query of the group is held for want of room: one more would be
// held behind it. What is held for a load or its key's turn fills nothing.
func (g *Scheduler) QueueBlocked(group int) bool {
	return group >= 0 && group < len(g.groups) && g.groups[group].blocked
}

// Known is how many engines, chains, keys, tables, queries and due times are in mind.
func (g *Scheduler) EntryCount() int {
	n := g.timers.Len() + len(g.engines) + len(g.enginesByID) + len(g.chains) + len(g.keyQueues) + len(g.queries)
	for _, e := range g.engines {
		n += len(e.lastFinishOfTables) + len(e.loadRunningUntil) + len(e.slowStartSends)
	}
	return n
}

// tidy forgets what can matter no more: engines that are gone, chains, keys and
// tables at rest. Without it they would stay as long as the instance runs.
func (g *Scheduler) evictStale() {
	if g.now < g.evictAt {
		return
	}
	g.evictAt = g.now + time.Second
	g.engines = slices.DeleteFunc(g.engines, func(e *engine) bool {
		old := e.state == EngineRemoved && g.now-e.removedAt > g.retention && len(e.inFlight) == 0
		if old {
			delete(g.enginesByID, e.id)
		}
		return old
	})
	for _, e := range g.engines {
		maps.DeleteFunc(e.lastFinishOfTables, func(_ int64, at time.Duration) bool { return g.now-at > g.retention })
		maps.DeleteFunc(e.loadRunningUntil, func(_ int64, until time.Duration) bool { return g.now >= until })
		if g.now >= e.warmingUntil {
			e.slowStartSends = nil
		}
	}
	maps.DeleteFunc(g.chains, func(_ int64, c *chain) bool {
		return c.running == nil && len(c.waiting) == 0 && g.now-c.lastEndedAt > chainAffinitySpan
	})
	maps.DeleteFunc(g.keyQueues, func(_ int64, k *keyQueue) bool { return len(k.queries) == 0 && g.now >= k.restingUntil })
	since := g.now - g.settings.span("budget.span", 0)
	countSince(&g.arrivals, since)
	countSince(&g.retries, since)
}

func (g *Scheduler) TimerFired(now time.Duration, tag int) {
	g.now = now
	if tag == timersTag {
		g.wakeAt = -1
	} else {
		g.tick()
		g.evictStale()
	}
	g.finishEvent()
}

// of has something done for a query when it is due, unless the query has left by then.
func (g *Scheduler) atTime(q *query, t time.Duration, do func()) {
	q.timers = append(q.timers, g.timers.Add(t, do))
}

// step ends every call in: what is due is done, what can go is let go, and the
// next due time is asked for.
func (g *Scheduler) finishEvent() {
	for do, ok := g.timers.Next(g.now); ok; do, ok = g.timers.Next(g.now) {
		do()
	}
	if !g.paused {
		g.dispatchQueued()
	}
	if first, ok := g.timers.First(); ok && (g.wakeAt < 0 || first < g.wakeAt) {
		g.wakeAt = first
		g.actions.Wake(max(0, first-g.now), timersTag)
	}
}

// settle passes the turn on once a query is over and nothing of it is out.
func (g *Scheduler) releaseEnded(q *query) {
	if !q.ended || q.inFlight > 0 || g.queries[q.id] == nil {
		return
	}
	delete(g.queries, q.id)
	for _, x := range q.timers {
		g.timers.Drop(x)
	}
	q.timers = nil
	g.writeEnded(q)
	if line := g.keyQueueOf(q); line != nil {
		first := len(line.queries) > 0 && line.queries[0] == q
		if line.remove(q); first && len(line.queries) > 0 {
			g.startInTurn(line.queries[0])
		}
	}
}

func (g *Scheduler) secondsLeft(q *query) float64 { return (q.deadline - g.now).Seconds() }

// line is the order a query stands in by its key, nil if its group asks for none.
func (g *Scheduler) keyQueueOf(q *query) *keyQueue {
	if !q.group.fifoByKey || q.key < 0 {
		return nil
	}
	line := g.keyQueues[q.key]
	if line == nil {
		line = &keyQueue{}
		g.keyQueues[q.key] = line
	}
	return line
}

// within drops what came before a time and counts the rest.
func countSince(l *[]time.Duration, since time.Duration) int {
	i := sort.Search(len(*l), func(i int) bool { return (*l)[i] >= since })
	*l = (*l)[i:]
	return len(*l)
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

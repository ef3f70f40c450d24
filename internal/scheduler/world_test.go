package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/rapidtest"
)

// world is a Gateway's clients, engines and clock, and checks it by the seven rules.
type world struct {
	t           interface{ Fatalf(string, ...any) }
	s           *Scheduler
	settings    facts
	now         time.Duration
	wakes       []wake
	queries     map[string]*clientQuery
	order       []*clientQuery
	engines     map[string]*listedEngine
	log         []string
	extras      []time.Duration
	rests       map[int64]time.Duration // until when a key rests
	restBy      map[int64]*clientQuery
	probes      []string
	retryAfters []time.Duration // with each deferral, to come back
}

type wake struct {
	at  time.Duration
	tag int
}

type clientQuery struct {
	id       string
	group    int
	key      int64
	taken    time.Duration
	deadline time.Duration
	answered bool
	overAt   time.Duration
	attempts []*try
}

type try struct {
	engine  string
	at      time.Duration
	ended   bool
	outcome Outcome
}

type listedEngine struct {
	id             string
	location, kind int
	cell           int
	state          EngineState
	toldAt         time.Duration
	started        time.Duration
	sent           []sentWork
}

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Config{Seed: 20261201, Checks: 1500, Shrink: 5 * time.Second})
}

// plainFacts: a read-only group that waits for loads, a heavy one, loads in order by key.
func testSettings(more map[string]string) map[string]string {
	f := map[string]string{
		"gateways": "2", "own.number": "0", "groups": "3", "loads": "false,false,true", "waits": "true,true,false",
		"threads": "1,3,2", "kind.cores": "8,8", "kind.memory": "16384,16384", "grant.most": "0.4",
		"may.grant":      "true",
		"may.prioritise": "true", "may.cancel": "true", "may.probe": "true", "may.copy": "false",
		"may.name-return": "true", "return.most": "500", "submissions.most": "4", "note.period": "1000",
		"memory.short": "queue", "drain.grace": "1000", "report.how": "off", "cold.from": "0.33",
		"cold.span":     "15000",
		"cold.multiple": "3", "cold.window": "1000", "key.rest": "300", "answer.grace": "20", "tick": "5",
		"group.0.value": "1", "group.0.target": "1000", "group.0.timeout": "5000", "group.0.effect": "read-only",
		"group.0.late-share": "0.1",
		"group.1.value":      "10", "group.1.target": "3000", "group.1.timeout": "15000",
		"group.1.effect": "read-only", "group.1.late-share": "0.4",
		"group.2.value": "6", "group.2.target": "4000", "group.2.timeout": "25000", "group.2.effect": "mutating",
		"group.2.in-order": "true", "group.2.late-share": "0.5", "group.2.stretch": "3",
	}
	maps.Copy(f, more)
	return f
}

func newWorld(t interface{ Fatalf(string, ...any) }, engines int, more map[string]string) *world {
	w := &world{t: t, settings: testSettings(more), queries: map[string]*clientQuery{},
		engines: map[string]*listedEngine{},
		rests:   map[int64]time.Duration{}, restBy: map[int64]*clientQuery{}}
	w.s = New(w, 7, w.settings)
	for i := range engines {
		w.engines[fmt.Sprint("e", i)] = &listedEngine{id: fmt.Sprint("e", i), location: i % 2, kind: i % 2,
			cell: i % 3}
	}
	w.list(true, w.ids()...)
	return w
}

func (w *world) ids() []string { return slices.Sorted(maps.Keys(w.engines)) }

func (w *world) list(whole bool, ids ...string) {
	w.s.ListStarted(w.now, whole)
	for _, id := range ids {
		m := w.engines[id]
		w.s.EngineListed(id, m.location, m.kind, m.cell, m.state, m.started, m.started > 0)
	}
	w.s.ListEnded()
	w.check()
}

// restart has an engine come back as a new, cold process.
func (w *world) restart(id string) {
	w.engines[id].started, w.engines[id].sent, w.engines[id].state = w.now, nil, EngineActive
	w.list(false, id)
}

func (w *world) set(id string, state EngineState) {
	if m := w.engines[id]; m.state != state {
		m.state, m.toldAt = state, w.now
	}
	w.list(false, id)
}

func (w *world) arrive(group int, tables, key int64, budget time.Duration) *clientQuery {
	id := fmt.Sprintf("q%03d", len(w.order))
	q := &clientQuery{id: id, group: group, key: key, taken: w.now, deadline: w.now + budget}
	w.queries[q.id], w.order = q, append(w.order, q)
	w.s.QueryArrived(w.now, q.id, group, -1, budget, tables, key,
		time.Duration(w.work(group)*float64(time.Second)), 100)
	w.check()
	return q
}

func (w *world) work(group int) float64 { return []float64{0.2, 3, 3}[group] }

// end has a submission end; a finish ends its query with it.
func (w *world) end(q *clientQuery, k int, o Outcome) {
	s := q.attempts[k]
	if s.ended {
		return
	}
	s.ended, s.outcome = true, o
	if o == Finished {
		q.answered = true
	}
	if o.mayStillRun() && w.groupSetting("in-order", q.group) == "true" {
		w.rests[q.key], w.restBy[q.key] = w.now+w.settings.span("key.rest"), q
	}
	took := max(w.now-s.at, time.Duration(w.work(q.group)*float64(time.Second)))
	w.s.AttemptEnded(w.now, q.id, k, o, took, q.answered, 0, 0, nil)
	w.check()
}

// pass lets time go by, waking the gateway as it asked to be.
func (w *world) pass(span time.Duration) {
	for until := w.now + span; ; {
		slices.SortStableFunc(w.wakes, func(a, b wake) int { return int(a.at - b.at) })
		if len(w.wakes) == 0 || w.wakes[0].at > until {
			w.now = until
			return
		}
		next := w.wakes[0]
		w.wakes = w.wakes[1:]
		w.now = max(w.now, next.at)
		w.s.TimerFired(w.now, next.tag)
		w.check()
		if len(w.probes) > 0 {
			id := w.probes[0]
			w.probes = w.probes[1:]
			w.s.HealthCheckEnded(w.now, id, Finished, nil)
			w.check()
		}
	}
}

func (w *world) check() {
	grace := w.settings.span("answer.grace")
	for _, q := range w.order {
		if !q.answered && w.now > q.deadline+grace {
			w.t.Fatalf("rule 1: %s has no answer at %v", q.id, w.now)
		}
	}
}

func (w *world) groupSetting(name string, group int) string {
	return w.settings[fmt.Sprintf("group.%d.%s", group, name)]
}

func (w *world) SendAttempt(id, engine string, within time.Duration) {
	q, m := w.queries[id], w.engines[engine]
	w.log = append(w.log, id+" to "+engine)
	switch {
	case q.answered:
		w.t.Fatalf("rule 1: %s sent after its answer", id)
	case m.state != EngineActive && w.now > m.toldAt+w.settings.span("drain.grace"):
		w.t.Fatalf("rule 3: %s sent to %s, told to be leaving at %v", id, engine, m.toldAt)
	case w.groupSetting("locations", q.group) != "" && w.groupSetting("locations",
		q.group) != fmt.Sprint(m.location),
		w.groupSetting("kinds", q.group) != "" && w.groupSetting("kinds", q.group) != fmt.Sprint(m.kind):
		w.t.Fatalf("rule 6: %s sent to %s", id, engine)
	}
	w.checkRetry(q, m)
	if w.groupSetting("in-order", q.group) == "true" && q.key >= 0 {
		w.checkKeyOrder(q)
	}
	if span := w.settings.span("budget.span"); span > 0 && len(q.attempts) > 0 {
		w.extras = append(w.extras, w.now)
		made, taken := 0, 0
		for _, at := range w.extras {
			if at > w.now-span {
				made++
			}
		}
		for _, x := range w.order {
			if x.taken >= w.now-span {
				taken++
			}
		}
		f := w.settings
		if most := f.num("budget.least") + f.num("budget.share")*float64(taken); float64(made) > most {
			w.t.Fatalf("rule 7: %d further submissions, %v allowed", made, most)
		}
	}
	w.checkSlowStart(q, m)
	q.attempts = append(q.attempts, &try{engine: engine, at: w.now})
}

func (w *world) checkRetry(q *clientQuery, m *listedEngine) {
	for _, s := range q.attempts {
		if !s.ended && w.settings["may.copy"] != "true" {
			w.t.Fatalf("rule 2: %s is out twice", q.id)
		}
		if s.ended && s.outcome.NeverRan() {
			continue
		}
		other, scope := w.engines[s.engine], w.groupSetting("scope", q.group)
		near := scope == "all" || scope == "location" && other.location == m.location ||
			scope == "cell" && other.cell == m.cell
		switch w.groupSetting("effect", q.group) {
		case "mutating":
			w.t.Fatalf("rule 2: mutating %s sent again", q.id)
		case "tokened":
			if !near || w.now-s.at > w.settings.span(fmt.Sprintf("group.%d.window", q.group)) {
				w.t.Fatalf("rule 2: tokened %s sent outside its scope or window", q.id)
			}
		}
	}
}

func (w *world) checkKeyOrder(q *clientQuery) {
	for _, x := range w.order {
		if x == q {
			break
		}
		if x.group != q.group || x.key != q.key {
			continue
		}
		if out := slices.ContainsFunc(x.attempts, func(s *try) bool { return !s.ended }); !x.answered || out {
			w.t.Fatalf("rule 5: %s sent before %s is over", q.id, x.id)
		}
	}
	if w.now < w.rests[q.key] && w.restBy[q.key] != q {
		w.t.Fatalf("rule 5: %s sent while its key rests", q.id)
	}
}

// cold holds this gateway to what all together may send, in any window.
func (w *world) checkSlowStart(q *clientQuery, m *listedEngine) {
	age, f := w.now-m.started, w.settings
	span := f.span("cold.span")
	if m.started == 0 || age >= span {
		return
	}
	m.sent = append(m.sent, sentWork{w.now, w.work(q.group)})
	sum := 0.0
	for _, s := range m.sent {
		if s.at > w.now-f.span("cold.window") {
			sum += s.work
		}
	}
	able := f.num("cold.from") + (1-f.num("cold.from"))*age.Seconds()/span.Seconds()
	most := f.num("cold.multiple") * able * 0.85 * 8 * f.span("cold.window").Seconds()
	if sum > most*0.75 {
		w.t.Fatalf("rule 4: %.1f s of work sent to cold %s, %.1f in all", sum, m.id, most)
	}
}

func (w *world) answer(id, how string) {
	q := w.queries[id]
	if q.answered {
		w.t.Fatalf("rule 1: %s answered twice", id)
	}
	q.answered, q.overAt = true, w.now
	w.log = append(w.log, id+" "+how)
}

func (w *world) DeferQuery(id string, comeBack time.Duration) {
	q := w.queries[id]
	w.retryAfters = append(w.retryAfters, comeBack)
	for _, s := range q.attempts {
		e := w.groupSetting("effect", q.group)
		scoped := e == "tokened" && w.groupSetting("scope", q.group) != "all"
		if !(s.ended && s.outcome.NeverRan()) && (e == "mutating" || scoped) {
			w.t.Fatalf("rule 2: %s deferred though it may have run", id)
		}
	}
	w.answer(id, "deferred")
}

func (w *world) FailQuery(id string) { w.answer(id, "killed") }

// Cancel: the end comes with the next end drawn, as on a slow network.
func (w *world) CancelAttempt(id string, try int) {
	if w.settings["may.cancel"] != "true" || try >= len(w.queries[id].attempts) {
		w.t.Fatalf("cancel of %s %d", id, try)
	}
}
func (w *world) SetLimits(string, int, int) {}
func (w *world) CheckHealth(id string)      { w.probes = append(w.probes, id) }
func (w *world) RequestEndpoints()          { w.log = append(w.log, "subscribe") }
func (w *world) Log(string)                 {}
func (w *world) SetTimer(in time.Duration, tag int) {
	w.wakes = append(w.wakes, wake{w.now + in, tag})
}

func (w *world) report(id string, figures map[string]float64) {
	w.s.HealthCheckEnded(w.now, id, Finished, figures)
	w.check()
}

// facts are the settings that a world was made with, read apart from what is tested.
type facts map[string]string

// num is a number, 0 if there is none.
func (f facts) num(name string) float64 {
	x, _ := strconv.ParseFloat(f[name], 64)
	return x
}

// span is of milliseconds, 0 if there is none.
func (f facts) span(name string) time.Duration {
	return time.Duration(f.num(name) * float64(time.Millisecond))
}

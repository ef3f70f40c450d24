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

// harness simulates a scheduler's clients, engines and clock, and checks the scheduler's actions by
// the seven rules.
type harness struct {
	t                interface{ Fatalf(string, ...any) }
	s                *Scheduler
	settings         settingsMap
	now              time.Duration
	timers           []timerRequest
	queries          map[string]*clientQuery
	arrivals         []*clientQuery
	engines          map[string]*listedEngine
	actions          []string
	retries          []time.Duration
	keyCooldownUntil map[int64]time.Duration // by key
	keyCooldownQuery map[int64]*clientQuery
	healthChecks     []string
	retryAfters      []time.Duration // one per deferral
}

type timerRequest struct {
	at  time.Duration
	tag int
}

type clientQuery struct {
	id        string
	group     int
	key       int64
	arrivedAt time.Duration
	deadline  time.Duration
	answered  bool
	endedAt   time.Duration
	attempts  []*sentAttempt
}

type sentAttempt struct {
	engine  string
	sentAt  time.Duration
	ended   bool
	outcome Outcome
}

type listedEngine struct {
	id             string
	location, kind int
	cell           int
	state          EngineState
	stateChangedAt time.Duration
	startedAt      time.Duration
	slowStartSends []sentWork
}

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Config{Seed: 20261201, Checks: 1500, Shrink: 5 * time.Second})
}

// testSettings returns settings with three groups: light queries that wait for loads, heavy
// queries, and loads ordered by key.
func testSettings(more map[string]string) map[string]string {
	given := map[string]string{
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
	maps.Copy(given, more)
	return given
}

func newHarness(t interface{ Fatalf(string, ...any) }, engines int, more map[string]string) *harness {
	h := &harness{t: t, settings: testSettings(more), queries: map[string]*clientQuery{},
		engines:          map[string]*listedEngine{},
		keyCooldownUntil: map[int64]time.Duration{}, keyCooldownQuery: map[int64]*clientQuery{}}
	h.s = New(h, 7, h.settings)
	for i := range engines {
		h.engines[fmt.Sprint("e", i)] = &listedEngine{id: fmt.Sprint("e", i), location: i % 2, kind: i % 2,
			cell: i % 3}
	}
	h.listEngines(true, h.engineIDs()...)
	return h
}

func (h *harness) engineIDs() []string { return slices.Sorted(maps.Keys(h.engines)) }

func (h *harness) listEngines(complete bool, ids ...string) {
	h.s.ListStarted(h.now, complete)
	for _, id := range ids {
		engine := h.engines[id]
		h.s.EngineListed(id, engine.location, engine.kind, engine.cell, engine.state, engine.startedAt,
			engine.startedAt > 0)
	}
	h.s.ListEnded()
	h.checkAnswered()
}

// restartEngine replaces an engine's process by a new one, which has to warm up.
func (h *harness) restartEngine(id string) {
	h.engines[id].startedAt, h.engines[id].slowStartSends, h.engines[id].state = h.now, nil, EngineActive
	h.listEngines(false, id)
}

func (h *harness) setState(id string, state EngineState) {
	if m := h.engines[id]; m.state != state {
		m.state, m.stateChangedAt = state, h.now
	}
	h.listEngines(false, id)
}

func (h *harness) arrive(group int, tables, key int64, budget time.Duration) *clientQuery {
	id := fmt.Sprintf("q%03d", len(h.arrivals))
	q := &clientQuery{id: id, group: group, key: key, arrivedAt: h.now, deadline: h.now + budget}
	h.queries[q.id], h.arrivals = q, append(h.arrivals, q)
	h.s.QueryArrived(h.now, q.id, group, -1, budget, tables, key,
		time.Duration(h.workSeconds(group)*float64(time.Second)), 100)
	h.checkAnswered()
	return q
}

func (h *harness) workSeconds(group int) float64 { return []float64{0.2, 3, 3}[group] }

// endAttempt ends an attempt. The outcome Finished also answers its query.
func (h *harness) endAttempt(q *clientQuery, number int, outcome Outcome) {
	attempt := q.attempts[number]
	if attempt.ended {
		return
	}
	attempt.ended, attempt.outcome = true, outcome
	if outcome == Finished {
		q.answered = true
	}
	if outcome.mayStillRun() && h.groupSetting("in-order", q.group) == "true" {
		h.keyCooldownUntil[q.key], h.keyCooldownQuery[q.key] = h.now+h.settings.duration("key.rest"), q
	}
	took := max(h.now-attempt.sentAt, time.Duration(h.workSeconds(q.group)*float64(time.Second)))
	h.s.AttemptEnded(h.now, q.id, number, outcome, took, q.answered, 0, 0, nil)
	h.checkAnswered()
}

// advance moves the clock, and fires timers and ends health checks on the way.
func (h *harness) advance(span time.Duration) {
	for until := h.now + span; ; {
		slices.SortStableFunc(h.timers, func(a, b timerRequest) int { return int(a.at - b.at) })
		if len(h.timers) == 0 || h.timers[0].at > until {
			h.now = until
			return
		}
		next := h.timers[0]
		h.timers = h.timers[1:]
		h.now = max(h.now, next.at)
		h.s.TimerFired(h.now, next.tag)
		h.checkAnswered()
		if len(h.healthChecks) > 0 {
			id := h.healthChecks[0]
			h.healthChecks = h.healthChecks[1:]
			h.s.HealthCheckEnded(h.now, id, Finished, nil)
			h.checkAnswered()
		}
	}
}

func (h *harness) checkAnswered() {
	grace := h.settings.duration("answer.grace")
	for _, q := range h.arrivals {
		if !q.answered && h.now > q.deadline+grace {
			h.t.Fatalf("rule 1: %s has no answer at %v", q.id, h.now)
		}
	}
}

func (h *harness) groupSetting(name string, group int) string {
	return h.settings[fmt.Sprintf("group.%d.%s", group, name)]
}

func (h *harness) SendAttempt(id, engineID string, within time.Duration) {
	q, engine := h.queries[id], h.engines[engineID]
	h.actions = append(h.actions, id+" to "+engineID)
	switch {
	case q.answered:
		h.t.Fatalf("rule 1: %s sent after its answer", id)
	case engine.state != EngineActive && h.now > engine.stateChangedAt+h.settings.duration("drain.grace"):
		h.t.Fatalf("rule 3: %s sent to %s, not active since %v", id, engineID, engine.stateChangedAt)
	case h.groupSetting("locations", q.group) != "" && h.groupSetting("locations",
		q.group) != fmt.Sprint(engine.location),
		h.groupSetting("kinds", q.group) != "" && h.groupSetting("kinds", q.group) != fmt.Sprint(engine.kind):
		h.t.Fatalf("rule 6: %s sent to %s", id, engineID)
	}
	h.checkRetry(q, engine)
	if h.groupSetting("in-order", q.group) == "true" && q.key >= 0 {
		h.checkKeyOrder(q)
	}
	if window := h.settings.duration("budget.span"); window > 0 && len(q.attempts) > 0 {
		h.retries = append(h.retries, h.now)
		retries, arrived := 0, 0
		for _, at := range h.retries {
			if at > h.now-window {
				retries++
			}
		}
		for _, other := range h.arrivals {
			if other.arrivedAt >= h.now-window {
				arrived++
			}
		}
		settings := h.settings
		if limit := settings.number("budget.least") +
			settings.number("budget.share")*float64(arrived); float64(retries) > limit {
			h.t.Fatalf("rule 7: %d retries, %v allowed", retries, limit)
		}
	}
	h.checkSlowStart(q, engine)
	q.attempts = append(q.attempts, &sentAttempt{engine: engineID, sentAt: h.now})
}

func (h *harness) checkRetry(q *clientQuery, engine *listedEngine) {
	for _, attempt := range q.attempts {
		if !attempt.ended && h.settings["may.copy"] != "true" {
			h.t.Fatalf("rule 2: %s has two attempts in flight", q.id)
		}
		if attempt.ended && attempt.outcome.NeverRan() {
			continue
		}
		otherEngine, scope := h.engines[attempt.engine], h.groupSetting("scope", q.group)
		shared := scope == "all" || scope == "location" && otherEngine.location == engine.location ||
			scope == "cell" && otherEngine.cell == engine.cell
		switch h.groupSetting("effect", q.group) {
		case "mutating":
			h.t.Fatalf("rule 2: non-idempotent %s sent again", q.id)
		case "tokened":
			if !shared || h.now-attempt.sentAt > h.settings.duration(fmt.Sprintf("group.%d.window", q.group)) {
				h.t.Fatalf("rule 2: keyed %s sent outside its scope or window", q.id)
			}
		}
	}
}

func (h *harness) checkKeyOrder(q *clientQuery) {
	for _, earlier := range h.arrivals {
		if earlier == q {
			break
		}
		if earlier.group != q.group || earlier.key != q.key {
			continue
		}
		if running := slices.ContainsFunc(earlier.attempts, func(a *sentAttempt) bool {
			return !a.ended
		}); !earlier.answered || running {
			h.t.Fatalf("rule 5: %s sent before %s has ended", q.id, earlier.id)
		}
	}
	if h.now < h.keyCooldownUntil[q.key] && h.keyCooldownQuery[q.key] != q {
		h.t.Fatalf("rule 5: %s sent while its key cools down", q.id)
	}
}

// checkSlowStart checks that the attempts of this controller stay within 0.75 of what all
// controllers may send to a warming engine in a window.
func (h *harness) checkSlowStart(q *clientQuery, engine *listedEngine) {
	age, settings := h.now-engine.startedAt, h.settings
	warmup := settings.duration("cold.span")
	if engine.startedAt == 0 || age >= warmup {
		return
	}
	engine.slowStartSends = append(engine.slowStartSends, sentWork{h.now, h.workSeconds(q.group)})
	sum := 0.0
	for _, s := range engine.slowStartSends {
		if s.at > h.now-settings.duration("cold.window") {
			sum += s.work
		}
	}
	capacity := settings.number("cold.from") + (1-settings.number("cold.from"))*age.Seconds()/warmup.Seconds()
	limit := settings.number("cold.multiple") * capacity * 0.85 * 8 * settings.duration("cold.window").Seconds()
	if sum > limit*0.75 {
		h.t.Fatalf("rule 4: %.1f s of work sent to warming %s, %.1f s allowed for all controllers",
			sum, engine.id, limit)
	}
}

func (h *harness) endQuery(id, outcome string) {
	q := h.queries[id]
	if q.answered {
		h.t.Fatalf("rule 1: %s answered twice", id)
	}
	q.answered, q.endedAt = true, h.now
	h.actions = append(h.actions, id+" "+outcome)
}

func (h *harness) DeferQuery(id string, retryAfter time.Duration) {
	q := h.queries[id]
	h.retryAfters = append(h.retryAfters, retryAfter)
	for _, attempt := range q.attempts {
		effect := h.groupSetting("effect", q.group)
		limitedScope := effect == "tokened" && h.groupSetting("scope", q.group) != "all"
		if !(attempt.ended && attempt.outcome.NeverRan()) && (effect == "mutating" || limitedScope) {
			h.t.Fatalf("rule 2: %s deferred though it may have run", id)
		}
	}
	h.endQuery(id, "deferred")
}

func (h *harness) FailQuery(id string) { h.endQuery(id, "killed") }

// CancelAttempt checks that cancelling is allowed. The attempt ends only when the test ends it, as
// on a slow network.
func (h *harness) CancelAttempt(id string, number int) {
	if h.settings["may.cancel"] != "true" || number >= len(h.queries[id].attempts) {
		h.t.Fatalf("unexpected cancel of %s, attempt %d", id, number)
	}
}
func (h *harness) SetLimits(string, int, int) {}
func (h *harness) CheckHealth(id string)      { h.healthChecks = append(h.healthChecks, id) }
func (h *harness) RequestEndpoints()          { h.actions = append(h.actions, "subscribe") }
func (h *harness) Log(string)                 {}
func (h *harness) SetTimer(in time.Duration, tag int) {
	h.timers = append(h.timers, timerRequest{h.now + in, tag})
}

func (h *harness) reportLoad(id string, figures map[string]float64) {
	h.s.HealthCheckEnded(h.now, id, Finished, figures)
	h.checkAnswered()
}

// settingsMap reads settings independently of the code under test.
type settingsMap map[string]string

// number returns a number, 0 if it is missing.
func (m settingsMap) number(name string) float64 {
	x, _ := strconv.ParseFloat(m[name], 64)
	return x
}

// duration returns a number of milliseconds as a duration, 0 if it is missing.
func (m settingsMap) duration(name string) time.Duration {
	return time.Duration(m.number(name) * float64(time.Millisecond))
}

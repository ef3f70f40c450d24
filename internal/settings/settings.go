package settings

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Effect says what a second run of a query does.
type Effect string

const (
	ReadOnly      Effect = "read-only" // ReadOnly queries may run any number of times
	Keyed         Effect = "tokened"   // Keyed: has an idempotency key, which engines keep for a time
	NonIdempotent Effect = "mutating"  // NonIdempotent queries may run once
)

// KeyScope says which engines share the idempotency keys that they keep; any other value: none do.
type KeyScope string

const (
	ScopeAll      KeyScope = "all"      // ScopeAll: all engines do.
	ScopeLocation KeyScope = "location" // ScopeLocation: those of one location.
	ScopeCell     KeyScope = "cell"     // ScopeCell: those of one cell.
)

// Group has the settings of a resource group.
type Group struct {
	PriorityWeight   float64 // value of an answer in time; default 0
	LateValueShare   float64 // the part of it that a late answer has; default 1
	Objective        time.Duration
	ObjectiveStretch float64       // added to the objective, in estimated run times; default 0
	Timeout          time.Duration // of its clients, 0: not told
	Threads          float64       // that a query takes on an engine, 1 at least

	Effect    Effect
	KeyScope  KeyScope
	KeyWindow time.Duration // for which engines keep an idempotency key

	FIFOByKey     bool // queries of one key run one after the other
	IsLoad        bool // writes tables
	WaitsForLoads bool // reads tables, and waits on the engine for a load of them
	Locations     []string
	Kinds         []string // nil: all
}

// Tenant has the settings of a tenant.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // of queries, over all controllers
}

// Settings are what the scheduler decides by. A number that is absent or malformed has its default.
type Settings struct {
	ControllerCount    float64 // default 1
	ControllerIndex    float64 // of this controller among them, from 0
	ControllerLocation string
	Groups             []Group
	Tenants            []Tenant
	OverQuotaWeight    float64 // what a query beyond its tenant's quota is worth, of 1; default 1
	Quantum            time.Duration

	KindCores    []float64 // by kind of engine
	KindMemoryMB []float64

	CancelAllowed         bool
	HealthChecksAllowed   bool
	HedgingAllowed        bool
	MemoryGrantsSupported bool
	PrioritiesSupported   bool
	RetryAfterAllowed     bool
	MaxRetryAfter         time.Duration
	MaxAttempts           int           // of one query; default 1
	NotePeriod            time.Duration // between an engine's notes on a query, 0: there are none
	AssumedNotePeriod     time.Duration // the same, 1 s where it is not told
	AnswersReportWork     bool          // answers tell the work done
	EnginesSwap           bool          // an engine out of memory swaps
	MaxGrantFraction      float64       // of an engine's memory; default 0

	LoadReports         bool // engines report their load in some way
	ReportsCountQueries bool // and the number of their queries in it

	ListOnRequest     bool // the endpoint list is sent on request only
	ListRequestWithin time.Duration

	SlowStartInitialCapacity float64       // part of its capacity that a new engine starts with; default 0.2
	SlowStartDuration        time.Duration // until it has all of it; default 0
	SlowStartWorkFactor      float64       // of what it does in a window that it may be sent; default 1
	SlowStartWindow          time.Duration // default 1 s

	KeyCooldown       time.Duration // between queries of a key after an end that leaves the engine at work
	RetryBudgetWindow time.Duration // 0: no budget
	MinRetryBudget    float64       // retries in a span
	RetryBudgetRatio  float64       // retries in a span, of its queries
}

// Parse reads the scheduler's settings from what FromPairs or FromJSON gives.
func Parse(given map[string]string) Settings {
	v := reader(given)
	s := Settings{
		ControllerCount:    v.number("gateways", 1),
		ControllerIndex:    v.number("own.number", 0),
		ControllerLocation: v["own.location"],
		OverQuotaWeight:    v.number("over.worth", 1),
		Quantum:            v.duration("tick", 5*time.Millisecond),

		KindCores:    v.numbers("kind.cores"),
		KindMemoryMB: v.numbers("kind.memory"),

		CancelAllowed:         v.is("may.cancel"),
		HealthChecksAllowed:   v.is("may.probe"),
		HedgingAllowed:        v.is("may.copy"),
		MemoryGrantsSupported: v.is("may.grant"),
		PrioritiesSupported:   v.is("may.prioritise"),
		RetryAfterAllowed:     v.is("may.name-return"),
		MaxRetryAfter:         v.duration("return.most", 0),
		MaxAttempts:           int(v.number("submissions.most", 1)),
		NotePeriod:            v.duration("note.period", 0),
		AssumedNotePeriod:     v.duration("note.period", time.Second),
		AnswersReportWork:     v.is("answers.cost"),
		EnginesSwap:           v["memory.short"] == "swap",
		MaxGrantFraction:      v.number("grant.most", 0),

		LoadReports:         v["report.how"] != "off",
		ReportsCountQueries: v["report.figures"] == "" || slices.Contains(v.list("report.figures"), "held"),

		ListOnRequest:     v["list.how"] == "asked",
		ListRequestWithin: v.duration("list.ask-within", time.Second),

		SlowStartInitialCapacity: v.number("cold.from", 0.2),
		SlowStartDuration:        v.duration("cold.span", 0),
		SlowStartWorkFactor:      v.number("cold.multiple", 1),
		SlowStartWindow:          v.duration("cold.window", time.Second),

		KeyCooldown:       v.duration("key.rest", 0),
		RetryBudgetWindow: v.duration("budget.span", 0),
		MinRetryBudget:    v.number("budget.least", 0),
		RetryBudgetRatio:  v.number("budget.share", 0),
	}
	for i := range int(v.number("groups", 0)) {
		s.Groups = append(s.Groups, ParseGroup(given, i))
	}
	for i := range int(v.number("teams", 0)) {
		at := "team." + strconv.Itoa(i) + "."
		s.Tenants = append(s.Tenants, Tenant{Name: v[at+"name"], QuotaPerSecond: v.number(at+"quota", 0)})
	}
	return s
}

// ParseGroup reads the settings of one resource group by its place, be it among those counted or not.
func ParseGroup(given map[string]string, i int) Group {
	v, at := reader(given), "group."+strconv.Itoa(i)+"."
	return Group{
		PriorityWeight:   v.number(at+"value", 0),
		LateValueShare:   v.number(at+"late-share", 1),
		Objective:        v.duration(at+"target", 0),
		ObjectiveStretch: v.number(at+"stretch", 0),
		Timeout:          v.duration(at+"timeout", 0),
		Threads:          max(1, ValueAt(v.numbers("threads"), i)),

		Effect:    Effect(v[at+"effect"]),
		KeyScope:  KeyScope(v[at+"scope"]),
		KeyWindow: v.duration(at+"window", 0),

		FIFOByKey:     v.is(at + "in-order"),
		IsLoad:        v.item("loads", i) == "true",
		WaitsForLoads: v.item("waits", i) == "true",
		Locations:     v.list(at + "locations"),
		Kinds:         v.list(at + "kinds"),
	}
}

// ValueAt is a value of a list by its place, 0 if the list has none there.
func ValueAt(list []float64, i int) float64 {
	if i < 0 || i >= len(list) {
		return 0
	}
	return list[i]
}

// reader reads typed values out of a map of settings.
type reader map[string]string

func (v reader) number(name string, absent float64) float64 {
	x, err := strconv.ParseFloat(v[name], 64)
	if err != nil {
		return absent
	}
	return x
}

// duration reads milliseconds.
func (v reader) duration(name string, absent time.Duration) time.Duration {
	x, err := strconv.ParseFloat(v[name], 64)
	if err != nil {
		return absent
	}
	return time.Duration(x * float64(time.Millisecond))
}

func (v reader) is(name string) bool { return v[name] == "true" || v[name] == "1" }

func (v reader) list(name string) []string {
	if v[name] == "" {
		return nil
	}
	return strings.Split(v[name], ",")
}

func (v reader) item(name string, i int) string {
	list := v.list(name)
	if i >= len(list) {
		return ""
	}
	return list[i]
}

// numbers reads a list of numbers; what is no number is 0.
func (v reader) numbers(name string) []float64 {
	var numbers []float64
	for _, item := range v.list(name) {
		x, _ := strconv.ParseFloat(item, 64)
		numbers = append(numbers, x)
	}
	return numbers
}

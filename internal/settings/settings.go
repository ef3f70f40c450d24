package settings

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Effect tells what running a query twice does.
type Effect string

const (
	ReadOnly      Effect = "read-only" // may run any number of times
	Keyed         Effect = "tokened"   // has an idempotency key, which engines keep for a limited time
	NonIdempotent Effect = "mutating"  // may run at most once
)

// KeyScope tells which engines share the idempotency keys that they keep. With a value other than
// these constants, each engine knows only its own keys.
type KeyScope string

const (
	ScopeAll      KeyScope = "all"      // all engines
	ScopeLocation KeyScope = "location" // the engines of one location
	ScopeCell     KeyScope = "cell"     // the engines of one cell
)

// Group holds the settings of a resource group.
type Group struct {
	PriorityWeight   float64 // value of an answer within the objective; default 0
	LateValueShare   float64 // fraction of PriorityWeight that a late answer is worth; default 1
	Objective        time.Duration
	ObjectiveStretch float64       // added to the objective, as a multiple of the estimated run time; default 0
	Timeout          time.Duration // timeout of the group's clients; 0 if unknown
	Threads          float64       // threads that a query uses on an engine, at least 1

	Effect    Effect
	KeyScope  KeyScope
	KeyWindow time.Duration // time for which engines keep an idempotency key

	FIFOByKey     bool     // queries with the same key run one after the other
	IsLoad        bool     // queries write tables
	WaitsForLoads bool     // queries wait on the engine while a load of the tables that they read runs
	Locations     []string // nil allows all
	Kinds         []string // kinds of engines; nil allows all
}

// Tenant holds the settings of a tenant.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // queries per second, over all controllers
}

// Settings holds the settings on which the scheduler's decisions depend. A number that is missing or
// malformed has its default.
type Settings struct {
	ControllerCount    float64 // default 1
	ControllerIndex    float64 // index of this controller, from 0
	ControllerLocation string
	Groups             []Group
	Tenants            []Tenant
	OverQuotaWeight    float64       // value of a query beyond its tenant's quota, 0 to 1; default 1
	Quantum            time.Duration // resolution of the clock; default 5 ms

	KindCores    []float64 // cores of an engine, by the index of its kind
	KindMemoryMB []float64 // memory of an engine, by the index of its kind

	CancelAllowed         bool
	HealthChecksAllowed   bool
	HedgingAllowed        bool
	MemoryGrantsSupported bool
	PrioritiesSupported   bool
	RetryAfterAllowed     bool
	MaxRetryAfter         time.Duration
	MaxAttempts           int           // attempts of one query; default 1
	NotePeriod            time.Duration // time between an engine's progress notes on a query; 0 if none are sent
	AssumedNotePeriod     time.Duration // NotePeriod, or 1 s if it is missing
	AnswersReportWork     bool          // answers carry the work that was done
	EnginesSwap           bool          // an engine that is out of memory swaps
	MaxGrantFraction      float64       // fraction of an engine's memory granted to one query; default 0

	LoadReports         bool // engines report their load
	ReportsCountQueries bool // load reports contain the number of queries on the engine

	ListOnRequest     bool          // the endpoint list is sent only after a request
	ListRequestWithin time.Duration // time within which the list must be requested; default 1 s

	SlowStartInitialCapacity float64       // fraction of its capacity that a new engine starts with; default 0.2
	SlowStartDuration        time.Duration // time until a new engine has its full capacity; default 0
	SlowStartWorkFactor      float64       // multiple of a warming engine's capacity, sent per window; default 1
	SlowStartWindow          time.Duration // default 1 s

	KeyCooldown       time.Duration // time between queries of a key after an attempt that may still run
	RetryBudgetWindow time.Duration // 0 if retries are unlimited
	MinRetryBudget    float64       // retries allowed in a window, whatever the number of queries
	RetryBudgetRatio  float64       // further retries allowed per query that arrived in the window
}

// Parse reads the settings from a map that FromPairs or FromJSON returned.
func Parse(given map[string]string) Settings {
	v := rawSettings(given)
	s := Settings{
		ControllerCount:    v.number("gateways", 1),
		ControllerIndex:    v.number("own.number", 0),
		ControllerLocation: v["own.location"],
		OverQuotaWeight:    v.number("over.worth", 1),
		Quantum:            v.duration("tick", 5*time.Millisecond),

		KindCores:    v.numbers("kind.cores"),
		KindMemoryMB: v.numbers("kind.memory"),

		CancelAllowed:         v.boolean("may.cancel"),
		HealthChecksAllowed:   v.boolean("may.probe"),
		HedgingAllowed:        v.boolean("may.copy"),
		MemoryGrantsSupported: v.boolean("may.grant"),
		PrioritiesSupported:   v.boolean("may.prioritise"),
		RetryAfterAllowed:     v.boolean("may.name-return"),
		MaxRetryAfter:         v.duration("return.most", 0),
		MaxAttempts:           int(v.number("submissions.most", 1)),
		NotePeriod:            v.duration("note.period", 0),
		AssumedNotePeriod:     v.duration("note.period", time.Second),
		AnswersReportWork:     v.boolean("answers.cost"),
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

// ParseGroup reads the settings of the resource group with index i, even if the setting "groups"
// counts fewer.
func ParseGroup(given map[string]string, i int) Group {
	v, at := rawSettings(given), "group."+strconv.Itoa(i)+"."
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

		FIFOByKey:     v.boolean(at + "in-order"),
		IsLoad:        v.listItem("loads", i) == "true",
		WaitsForLoads: v.listItem("waits", i) == "true",
		Locations:     v.list(at + "locations"),
		Kinds:         v.list(at + "kinds"),
	}
}

// ValueAt returns the value at an index of a list, 0 if the list has no such index.
func ValueAt(list []float64, i int) float64 {
	if i < 0 || i >= len(list) {
		return 0
	}
	return list[i]
}

// rawSettings reads typed values from a map of settings by internal name.
type rawSettings map[string]string

func (v rawSettings) number(name string, absent float64) float64 {
	x, err := strconv.ParseFloat(v[name], 64)
	if err != nil {
		return absent
	}
	return x
}

// duration reads a number of milliseconds.
func (v rawSettings) duration(name string, absent time.Duration) time.Duration {
	x, err := strconv.ParseFloat(v[name], 64)
	if err != nil {
		return absent
	}
	return time.Duration(x * float64(time.Millisecond))
}

func (v rawSettings) boolean(name string) bool { return v[name] == "true" || v[name] == "1" }

func (v rawSettings) list(name string) []string {
	if v[name] == "" {
		return nil
	}
	return strings.Split(v[name], ",")
}

func (v rawSettings) listItem(name string, i int) string {
	list := v.list(name)
	if i >= len(list) {
		return ""
	}
	return list[i]
}

// numbers reads a list of numbers. An item that isn't a number is read as 0.
func (v rawSettings) numbers(name string) []float64 {
	var numbers []float64
	for _, item := range v.list(name) {
		x, _ := strconv.ParseFloat(item, 64)
		numbers = append(numbers, x)
	}
	return numbers
}

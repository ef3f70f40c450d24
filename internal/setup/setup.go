// Package setup reads and checks the YAML files of railrelay: the configuration of a process,
// which operators call its set-up, and the policy of a fleet.
//
// Reading is strict. An unknown key, a value with a wrong unit or a second tenant with the same
// name is an error that names the file, the line and the field and shows the line. A file with
// an error has no effect. Comments on the fields tell their defaults.
package setup

import (
	"errors"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

// Setup is the configuration of one process.
type Setup struct {
	Name   string `yaml:"name"`   // name of the process in the log; default empty
	Listen string `yaml:"listen"` // address on which clients connect
	Seed   string `yaml:"seed"`   // of the scheduler's random numbers, hexadecimal; default 0
	// LogLevel is the lowest level that is logged: debug, info, warn or error; default warn.
	LogLevel         string       `yaml:"log"`
	DiscoveryAddress string       `yaml:"feed"` // address of the service that lists the engines
	Limits           Limits       `yaml:"limits"`
	Engines          Engines      `yaml:"engines"`
	Groups           []Group      `yaml:"groups"`
	Clients          []ClientSet  `yaml:"clients"`
	Fairness         *Fairness    `yaml:"fairness"` // nil: queries start in the order of arrival
	Spool            *Spool       `yaml:"spool"`    // nil: results aren't read in pages
	Answers          *ResultCache `yaml:"answers"`  // nil: every query goes to an engine
	Shares           *Shares      `yaml:"shares"`   // nil: customers have no quotas
	Fleet            *Fleet       `yaml:"fleet"`    // nil: the controller is in no fleet
	// Placement restricts the sites of tenants' data; nil: unrestricted.
	Placement []PlacementRule `yaml:"placement"`
	// Estimates names the call fields with a query's estimated work, in milliseconds of one
	// thread, and its estimated memory, in MB. Empty: calls have no such field.
	Estimates Estimates `yaml:"estimates"`
}

// Limits are the resources of the machine that the process may use.
type Limits struct {
	Cores    float64 `yaml:"cores"`     // default 1
	MemoryMB float64 `yaml:"memory_mb"` // default 512
	Sockets  int     `yaml:"sockets"`   // default 4096
}

// Engines describes the engines, and what a controller may do with them.
type Engines struct {
	Controllers int      `yaml:"controllers"` // number of controllers that share the engines; default 1
	Kinds       []Kind   `yaml:"kinds"`
	Locations   []string `yaml:"locations"` // default here
	Location    string   `yaml:"location"`  // location of this controller; default none
	// AllowedActions lists what the controller may do: probe, cancel, copy (two attempts of a
	// query at once), grant (memory), prioritise, name-return (a deferral names a delay after
	// which the client may retry). Default all.
	AllowedActions []string `yaml:"may"`
	MaxAttempts    int      `yaml:"submissions"` // of one query; default 3
	MaxRetryAfter  Duration `yaml:"pause"`       // longest retry delay that clients respect; default 60s
	ConnectTimeout Duration `yaml:"connect"`     // default 250ms
	IdleTimeout    Duration `yaml:"idle"`        // engines close connections that were idle so long; default 15s
	NotePeriod     Duration `yaml:"notes"`       // between an engine's progress notes on a query; default 2s
	DrainGrace     Duration `yaml:"grace"`       // time for which a draining engine accepts queries; default 1s
	KeyCooldown    Duration `yaml:"key_rest"`    // of a key after an attempt that may still run; default 300ms
	// Report tells how engines send load reports: off (not at all), probed (with health checks) or
	// answers (with responses). Default probed, or off if AllowedActions lacks probe.
	Report string `yaml:"report"`
	// ReportFields lists the fields of an engine's load report: held (number of queries on the
	// engine), cores (fraction that is busy). Default held.
	ReportFields []string `yaml:"figures"`
	// QueryReports lists what engines report of a query: notes (progress while it runs) and
	// costs (the work, with the answer). Default both.
	QueryReports    []string `yaml:"tells"`
	WhenMemoryShort string   `yaml:"memory_short"` // queue, trim or swap; default swap
	// MaxGrantFraction limits the fraction of an engine's memory granted to one query; default 0.4.
	MaxGrantFraction float64     `yaml:"grant"`
	SlowStart        SlowStart   `yaml:"cold"`
	RetryBudget      RetryBudget `yaml:"budget"`
}

// Shares are the customers' quotas. A query beyond its customer's quota has a lower priority.
// Shares guarantee no customer a turn: Fairness does.
type Shares struct {
	Field           string     `yaml:"field"` // call field that names the customer
	OverQuotaWeight float64    `yaml:"over"`  // value of a query beyond its customer's quota, 0 to 1; default 0
	Customers       []Customer `yaml:"customers"`
}

// Customer has a quota of Rate queries a second over all controllers.
type Customer struct {
	Name string  `yaml:"name"`
	Rate float64 `yaml:"rate"`
}

// Estimates are the names of the call fields with estimates.
type Estimates struct {
	Work   string `yaml:"work"`
	Memory string `yaml:"memory"`
}

// Kind describes the engines of one kind.
type Kind struct {
	Name     string  `yaml:"name"`
	Cores    float64 `yaml:"cores"`
	MemoryMB float64 `yaml:"memory_mb"`
}

// SlowStart limits the load on an engine that has just started.
type SlowStart struct {
	// InitialCapacity is the fraction of its cores that a new engine starts with; default 0.33.
	InitialCapacity float64  `yaml:"from"`
	Duration        Duration `yaml:"span"` // time until an engine has its full capacity; default 15s
	// WorkFactor limits the work sent to a warming engine in a window, as a multiple of its capacity;
	// default 3.
	WorkFactor float64  `yaml:"multiple"`
	Window     Duration `yaml:"window"` // default 1s
}

// RetryBudget bounds the retries in a window: Minimum, plus Ratio per query that arrived in it.
type RetryBudget struct {
	Minimum float64  `yaml:"least"`
	Ratio   float64  `yaml:"share"`
	Window  Duration `yaml:"span"` // 0: retries are unlimited
}

// Group is a resource group.
type Group struct {
	Name             string   `yaml:"name"`
	Threads          float64  `yaml:"threads"`    // used by a query on an engine; default 1
	PriorityWeight   float64  `yaml:"value"`      // value of an answer within the objective; default 1
	Objective        Duration `yaml:"target"`     // default 1s
	Timeout          Duration `yaml:"timeout"`    // longest queue timeout that a call may name; default 30s
	ObjectiveStretch float64  `yaml:"stretch"`    // added to the objective, as a multiple of the estimated work
	LateValueShare   *float64 `yaml:"late_share"` // fraction of the value that a late answer is worth; default 1
	Effect           string   `yaml:"effect"`     // read-only, tokened or mutating; required
	Scope            string   `yaml:"scope"`      // all, location or cell; default all
	KeyWindow        Duration `yaml:"window"`     // time for which engines keep an idempotency key; default 5s
	FIFOByKey        bool     `yaml:"in_order"`   // queries with the same key run one after the other
	IsLoad           bool     `yaml:"load"`       // writes tables, and locks their table group
	WaitsForLoads    bool     `yaml:"waits"`      // waits on the engine while a load locks the table group
	Locations        []string `yaml:"locations"`  // default all
	Kinds            []string `yaml:"kinds"`      // default all
}

// ClientSet limits the connections from some addresses. The longest prefix that contains a
// client's address decides. Clients outside all sets have the defaults, which are the
// platform's limits.
type ClientSet struct {
	Name           string   `yaml:"name"`
	Addresses      []Prefix `yaml:"addresses"`
	MaxOpenQueries int      `yaml:"open"`     // on a connection; default 32
	MaxMessages    int      `yaml:"messages"` // on a connection in 250ms: calls that start, others; default 128
	IdleTimeout    Duration `yaml:"idle"`     // of a connection without an open query; default 6s
	MessageTimeout Duration `yaml:"message"`  // for a message to arrive while no call is open; default 2s
}

// Fairness configures the fair queue, which decides whose query starts next.
type Fairness struct {
	Fields  Fields   `yaml:"fields"`
	Trusted []Prefix `yaml:"trusted"` // clients whose calls may name a tenant; default none
	// Default is the tenant of all other clients; default a further tenant of weight 1.
	Default string `yaml:"default"`
	// AgeingLimit is the wait after which a query starts before all younger ones; default 10s.
	AgeingLimit Duration `yaml:"age"`
	MaxWaiting  int      `yaml:"waiting"` // queries of all tenants; default 100000
	// OverrunFactor is the multiple of its estimated work that a query may use before its priority
	// is lowered; default 4.
	OverrunFactor float64 `yaml:"overrun"`
	// NotifyThreshold is the relative change of an estimated wait above which the client is notified
	// again; default 0.25.
	NotifyThreshold float64  `yaml:"tell_change"`
	Tenants         []Tenant `yaml:"teams"`
}

// Fields are the names of the call fields that the fair queue reads. An empty name disables the field.
type Fields struct {
	Tenant     string `yaml:"team"`  // names the tenant
	NotifyWait string `yaml:"tell"`  // asks for notifications of the estimated wait
	RepeatOf   string `yaml:"again"` // trace of the call that this one repeats
}

// Tenant is a tenant of the fair queue, or a group of tenants if Tenants is set.
type Tenant struct {
	Name       string   `yaml:"name"`
	Weight     float64  `yaml:"weight"`
	Budget     float64  `yaml:"budget"`  // thread seconds a second; default unlimited
	Burst      float64  `yaml:"burst"`   // thread seconds; default the budget of one second
	MaxWaiting int      `yaml:"waiting"` // queries; default 10000
	Addresses  []Prefix `yaml:"addresses"`
	Tenants    []Tenant `yaml:"teams"`
}

// Load reads and checks a file. The error joins a FieldError for each mistake in the file.
func Load(path string) (*Setup, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads and checks the text of a file. Errors contain file as the file's name.
func Parse(file string, text []byte) (*Setup, error) {
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, yamlError(file, err)
	}
	s := &Setup{}
	if err := yaml.UnmarshalWithOptions(text, s, yaml.Strict()); err != nil {
		return nil, yamlError(file, err)
	}
	c := &checker{file: file, text: text, tree: tree}
	c.check(s)
	if len(c.errors) > 0 {
		return nil, errors.Join(c.errors...)
	}
	return s, nil
}

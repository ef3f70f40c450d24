// Package setup reads the product's YAML: strictly, so that an unknown key, a
// wrong unit or two teams of one name are errors that name the file, the line and
// the field, with the line shown, and nothing is taken over by halves. Every field
// tells its default; what is left out has it.
package setup

import (
	"errors"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

// Setup is all that a file says.
type Setup struct {
	Name   string `yaml:"name"`   // in the log; empty
	Listen string `yaml:"listen"` // where clients connect
	Seed   string `yaml:"seed"`
	// Log is the least level logged: debug, info, warn or error; warn.
	LogLevel         string       `yaml:"log"`
	DiscoveryAddress string       `yaml:"feed"` // where the list of engines comes from
	Limits           Limits       `yaml:"limits"`
	Engines          Engines      `yaml:"engines"`
	Groups           []Group      `yaml:"groups"`
	Clients          []ClientSet  `yaml:"clients"`
	Fairness         *Fairness    `yaml:"fairness"` // left out: whoever comes first goes first
	Spool            *Spool       `yaml:"spool"`    // left out: results are answered whole
	Answers          *ResultCache `yaml:"answers"`  // left out: every query goes to an engine
	Shares           *Shares      `yaml:"shares"`   // left out: no customer has one
	Fleet            *Fleet       `yaml:"fleet"`    // left out: this controller decides by itself
	// Placement are the rules on where teams' data may be; left out: anywhere.
	Placement []PlacementRule `yaml:"placement"`
	// Estimates are the call fields that tell a query's work, in milliseconds of one
	// thread, and the memory that it needs, in MB; left out: none does.
	Estimates Estimates `yaml:"estimates"`
}

// Limits are the machine's.
type Limits struct {
	Cores    float64 `yaml:"cores"`     // 1
	MemoryMB float64 `yaml:"memory_mb"` // 512
	Sockets  int     `yaml:"sockets"`   // 4096
}

// Engines tells what engines are like and what the rules allow towards them.
type Engines struct {
	Controllers int      `yaml:"controllers"` // that share them: 1
	Kinds       []Kind   `yaml:"kinds"`
	Locations   []string `yaml:"locations"` // here
	Location    string   `yaml:"location"`  // where this controller stands: nowhere in particular
	// May lists what is allowed: probe, cancel, copy (two submissions at once),
	// grant (memory), prioritise, name-return (a pause with a deferral). All, if it
	// is left out.
	AllowedActions []string `yaml:"may"`
	MaxSubmissions int      `yaml:"submissions"` // of one query at the most: 3
	MaxRetryDelay  Duration `yaml:"pause"`       // the longest that clients follow: 60s
	ConnectTimeout Duration `yaml:"connect"`     // a connection comes up within: 250ms
	IdleTimeout    Duration `yaml:"idle"`        // engines close idle connections after: 15s
	NoteInterval   Duration `yaml:"notes"`       // time between an engine's notes: 2s
	DrainGrace     Duration `yaml:"grace"`       // after a drain was told: 1s
	KeyRest        Duration `yaml:"key_rest"`    // after an end that isn't certain: 300ms
	Report         string   `yaml:"report"`
	// Figures are what reports bring: held (queries in hand), cores (part busy). Left
	// out: as engines that tell of queries held.
	ReportFields []string `yaml:"figures"`
	// Tells lists what engines tell of a query: notes (while it runs) and costs (with
	// its answer). Both, if it is left out.
	QueryReports    []string    `yaml:"tells"`
	WhenMemoryShort string      `yaml:"memory_short"` // swap
	MaxMemoryShare  float64     `yaml:"grant"`        // share of memory one query gets at most: 0.4
	WarmUp          WarmUp      `yaml:"cold"`
	RetryBudget     RetryBudget `yaml:"budget"`
}

// Shares are customers' parts of the service. What goes beyond one counts for less;
// nobody's turn is kept, which is what fairness is for.
type Shares struct {
	Field          string     `yaml:"field"` // of a call, names the customer
	OverShareValue float64    `yaml:"over"`  // what a query beyond its customer's share is worth: 0
	Customers      []Customer `yaml:"customers"`
}

// Customer is one of them; Rate is queries a second, all controllers together.
type Customer struct {
	Name string  `yaml:"name"`
	Rate float64 `yaml:"rate"`
}

// Estimates are names of call fields.
type Estimates struct {
	Work   string `yaml:"work"`
	Memory string `yaml:"memory"`
}

// Kind is a kind of engine.
type Kind struct {
	Name     string  `yaml:"name"`
	Cores    float64 `yaml:"cores"`
	MemoryMB float64 `yaml:"memory_mb"`
}

// Cold is how engines warm up.
type WarmUp struct {
	InitialCapacity float64  `yaml:"from"`     // part of its cores that a cold one has: 0.33
	Duration        Duration `yaml:"span"`     // until it has all: 15s
	MaxBurst        float64  `yaml:"multiple"` // of what it can do that it may be sent in the window: 3
	Window          Duration `yaml:"window"`   // 1s
}

// Budget bounds further submissions: least, and share of the queries taken in span.
type RetryBudget struct {
	Minimum float64  `yaml:"least"`
	Share   float64  `yaml:"share"`
	Span    Duration `yaml:"span"` // 0: no budget
}

// Group is a resource group.
type Group struct {
	Name           string   `yaml:"name"`
	Threads        float64  `yaml:"threads"`    // a query runs on: 1
	Value          float64  `yaml:"value"`      // 1
	Target         Duration `yaml:"target"`     // 1s
	Timeout        Duration `yaml:"timeout"`    // the longest queue timeout a call may name: 30s
	Stretch        float64  `yaml:"stretch"`    // of the work, on top of the target
	LateValueShare *float64 `yaml:"late_share"` // of the value, when late; left out: late answers are waited for
	Effect         string   `yaml:"effect"`
	Scope          string   `yaml:"scope"`     // all
	Window         Duration `yaml:"window"`    // of a token: 5s
	InOrder        bool     `yaml:"in_order"`  // by key
	Load           bool     `yaml:"load"`      // locks its table group
	WaitsForLoad   bool     `yaml:"waits"`     // stands still behind a load
	Locations      []string `yaml:"locations"` // all
	Kinds          []string `yaml:"kinds"`     // all
}

// Clients are what is expected of connections from some addresses. The narrowest
// set that holds an address counts; whoever is in none has the platform's figures,
// which are the defaults.
type ClientSet struct {
	Name           string   `yaml:"name"`
	Addresses      []Prefix `yaml:"addresses"`
	MaxOpenQueries int      `yaml:"open"`     // queries open on a connection: 32
	MaxMessages    int      `yaml:"messages"` // on a connection in 250ms: 128
	IdleTimeout    Duration `yaml:"idle"`     // closed after so long with nothing open: 6s
	MessageTimeout Duration `yaml:"message"`  // one takes no longer: 2s
}

// Fairness is whose turn it is.
type Fairness struct {
	Fields          Fields   `yaml:"fields"`
	Trusted         []Prefix `yaml:"trusted"`     // whose calls may name a team: nobody's
	Default         string   `yaml:"default"`     // the team of all others: one of weight 1 beside the rest
	AgeingLimit     Duration `yaml:"age"`         // nobody waits longer by the estimate, and who does goes first: 10s
	MaxWaiting      int      `yaml:"waiting"`     // queries, all together: 100000
	OverrunFactor   float64  `yaml:"overrun"`     // times its usual work before one is lowered: 4
	NotifyThreshold float64  `yaml:"tell_change"` // of an estimate that is told again: 0.25
	Teams           []Team   `yaml:"teams"`
}

// Fields are the names of call fields that are looked at; empty ones are not.
type Fields struct {
	Team       string `yaml:"team"`  // names the team
	NotifyWait string `yaml:"tell"`  // asks to be told how long it waits
	RepeatOf   string `yaml:"again"` // the trace of the call that this one repeats
}

// Team is a team, or with teams of its own a kind of customer.
type Team struct {
	Name       string   `yaml:"name"`
	Weight     float64  `yaml:"weight"`
	Budget     float64  `yaml:"budget"`  // thread seconds a second: none
	Burst      float64  `yaml:"burst"`   // thread seconds: one second's budget
	MaxWaiting int      `yaml:"waiting"` // queries: 10000
	Addresses  []Prefix `yaml:"addresses"`
	Teams      []Team   `yaml:"teams"`
}

// Load reads a file and checks it. All that is found wrong is in the error, as
// Faults joined.
func Load(path string) (*Setup, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse is Load of a text; file names it in errors.
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

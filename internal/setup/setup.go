// Package setup reads the product's YAML: strictly, so that an unknown key, a
// wrong unit or two teams of one name are errors that name the file, the line and
// the field, with the line shown, and nothing is taken over by halves. Every field
// tells its default; what is left out has it.
package setup

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gaissmai/bart"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"railrelay.dev/railrelay/internal/fair"
	"railrelay.dev/railrelay/internal/relay"
	"railrelay.dev/railrelay/internal/terms"
)

// Setup is all that a file says.
type Setup struct {
	Name   string `yaml:"name"`   // in the log; empty
	Listen string `yaml:"listen"` // where clients connect
	Seed   string `yaml:"seed"`
	// Log is the least level logged: debug, info, warn or error; warn.
	Log      string    `yaml:"log"`
	Feed     string    `yaml:"feed"` // where the list of engines comes from
	Limits   Limits    `yaml:"limits"`
	Engines  Engines   `yaml:"engines"`
	Groups   []Group   `yaml:"groups"`
	Clients  []Clients `yaml:"clients"`
	Fairness *Fairness `yaml:"fairness"` // left out: whoever comes first goes first
	Spool    *Spool    `yaml:"spool"`    // left out: results are answered whole
	Answers  *Answers  `yaml:"answers"`  // left out: every query goes to an engine
	Shares   *Shares   `yaml:"shares"`   // left out: no customer has one
	Fleet    *Fleet    `yaml:"fleet"`    // left out: this controller decides by itself
	// Placement are the rules on where teams' data may be; left out: anywhere.
	Placement []Placed `yaml:"placement"`
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
	May         []string `yaml:"may"`
	Submissions int      `yaml:"submissions"` // of one query at the most: 3
	Pause       Span     `yaml:"pause"`       // the longest that clients follow: 60s
	Connect     Span     `yaml:"connect"`     // a connection comes up within: 250ms
	Idle        Span     `yaml:"idle"`        // engines close idle connections after: 15s
	Notes       Span     `yaml:"notes"`       // time between an engine's notes: 2s
	Grace       Span     `yaml:"grace"`       // after a drain was told: 1s
	KeyRest     Span     `yaml:"key_rest"`    // after an end that isn't certain: 300ms
	Report      string   `yaml:"report"`
	// Figures are what reports bring: held (queries in hand), cores (part busy). Left
	// out: as engines that tell of queries held.
	Figures []string `yaml:"figures"`
	// Tells lists what engines tell of a query: notes (while it runs) and costs (with
	// its answer). Both, if it is left out.
	Tells  []string `yaml:"tells"`
	Short  string   `yaml:"memory_short"` // swap
	Grant  float64  `yaml:"grant"`        // share of memory one query gets at most: 0.4
	Cold   Cold     `yaml:"cold"`
	Budget Budget   `yaml:"budget"`
}

// Shares are customers' parts of the service. What goes beyond one counts for less;
// nobody's turn is kept, which is what fairness is for.
type Shares struct {
	Field     string     `yaml:"field"` // of a call, names the customer
	Over      float64    `yaml:"over"`  // what a query beyond its customer's share is worth: 0
	Customers []Customer `yaml:"customers"`
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
type Cold struct {
	From     float64 `yaml:"from"`     // part of its cores that a cold one has: 0.33
	Span     Span    `yaml:"span"`     // until it has all: 15s
	Multiple float64 `yaml:"multiple"` // of what it can do that it may be sent in the window: 3
	Window   Span    `yaml:"window"`   // 1s
}

// Budget bounds further submissions: least, and share of the queries taken in span.
type Budget struct {
	Least float64 `yaml:"least"`
	Share float64 `yaml:"share"`
	Span  Span    `yaml:"span"` // 0: no budget
}

// Group is a resource group.
type Group struct {
	Name      string   `yaml:"name"`
	Threads   float64  `yaml:"threads"`    // a query runs on: 1
	Value     float64  `yaml:"value"`      // 1
	Target    Span     `yaml:"target"`     // 1s
	Timeout   Span     `yaml:"timeout"`    // the longest queue timeout a call may name: 30s
	Stretch   float64  `yaml:"stretch"`    // of the work, on top of the target
	Late      *float64 `yaml:"late_share"` // of the value, when late; left out: late answers are waited for
	Effect    string   `yaml:"effect"`
	Scope     string   `yaml:"scope"`     // all
	Window    Span     `yaml:"window"`    // of a token: 5s
	InOrder   bool     `yaml:"in_order"`  // by key
	Load      bool     `yaml:"load"`      // locks its table group
	Waits     bool     `yaml:"waits"`     // stands still behind a load
	Locations []string `yaml:"locations"` // all
	Kinds     []string `yaml:"kinds"`     // all
}

// Clients are what is expected of connections from some addresses. The narrowest
// set that holds an address counts; whoever is in none has the platform's figures,
// which are the defaults.
type Clients struct {
	Name      string   `yaml:"name"`
	Addresses []Prefix `yaml:"addresses"`
	Open      int      `yaml:"open"`     // queries open on a connection: 32
	Messages  int      `yaml:"messages"` // on a connection in 250ms: 128
	Idle      Span     `yaml:"idle"`     // closed after so long with nothing open: 6s
	Message   Span     `yaml:"message"`  // one takes no longer: 2s
}

// Fairness is whose turn it is.
type Fairness struct {
	Fields  Fields   `yaml:"fields"`
	Trusted []Prefix `yaml:"trusted"`     // whose calls may name a team: nobody's
	Default string   `yaml:"default"`     // the team of all others: one of weight 1 beside the rest
	Age     Span     `yaml:"age"`         // nobody waits longer by the estimate, and who does goes first: 10s
	Waiting int      `yaml:"waiting"`     // queries, all together: 100000
	Overrun float64  `yaml:"overrun"`     // times its usual work before one is lowered: 4
	Tell    float64  `yaml:"tell_change"` // of an estimate that is told again: 0.25
	Teams   []Team   `yaml:"teams"`
}

// Fields are the names of call fields that are looked at; empty ones are not.
type Fields struct {
	Team  string `yaml:"team"`  // names the team
	Tell  string `yaml:"tell"`  // asks to be told how long it waits
	Again string `yaml:"again"` // the trace of the call that this one repeats
}

// Team is a team, or with teams of its own a kind of customer.
type Team struct {
	Name      string   `yaml:"name"`
	Weight    float64  `yaml:"weight"`
	Budget    float64  `yaml:"budget"`  // thread seconds a second: none
	Burst     float64  `yaml:"burst"`   // thread seconds: one second's budget
	Waiting   int      `yaml:"waiting"` // queries: 10000
	Addresses []Prefix `yaml:"addresses"`
	Teams     []Team   `yaml:"teams"`
}

// Span is a time with its unit: 250ms, 1.5s, 2m.
type Span time.Duration

// UnmarshalYAML reads one; a bare number is no time.
func (s *Span) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	d, err := time.ParseDuration(text)
	if err != nil {
		if _, bare := strconv.ParseFloat(text, 64); bare == nil {
			return at(node, fmt.Sprintf("%s has no unit: write %sms or %ss", text, text, text))
		}
		return at(node, fmt.Sprintf("%q is no time: write 250ms, 1.5s or 2m", text))
	}
	if d < 0 {
		return at(node, text+" is less than nothing")
	}
	*s = Span(d)
	return nil
}

// Prefix is a set of addresses: 10.1.0.0/16, or a single one.
type Prefix struct{ netip.Prefix }

// UnmarshalYAML reads one.
func (p *Prefix) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	if a, err := netip.ParseAddr(text); err == nil {
		p.Prefix = netip.PrefixFrom(a, a.BitLen())
		return nil
	}
	x, err := netip.ParsePrefix(text)
	if err != nil {
		return at(node, fmt.Sprintf("%q is no set of addresses: write 10.1.0.0/16", text))
	}
	p.Prefix = x
	return nil
}

// at is an error at a place.
func at(node ast.Node, why string) error {
	return &yaml.SyntaxError{Message: why, Token: node.GetToken()}
}

func prefixes(l []Prefix) (all []netip.Prefix) {
	for _, p := range l {
		all = append(all, p.Prefix)
	}
	return all
}

func (s Span) or(absent time.Duration) time.Duration { return cmp.Or(time.Duration(s), absent) }

// Fault is what is wrong with a file, at a place in it.
type Fault struct {
	File   string
	Line   int
	Field  string
	Why    string
	Source string // the line and those round it
}

func (f *Fault) Error() string {
	text := f.File
	if f.Line > 0 {
		text += ":" + strconv.Itoa(f.Line)
	}
	if text += ": "; f.Field != "" {
		text += f.Field + ": "
	}
	text += f.Why
	if f.Source != "" {
		text += "\n" + strings.TrimRight(f.Source, "\n")
	}
	return text
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
		return nil, spot(file, err)
	}
	s := &Setup{}
	if err := yaml.UnmarshalWithOptions(text, s, yaml.Strict()); err != nil {
		return nil, spot(file, err)
	}
	c := &checker{file: file, text: text, tree: tree}
	c.all(s)
	if len(c.faults) > 0 {
		return nil, errors.Join(c.faults...)
	}
	return s, nil
}

// spot turns an error of the YAML library into a Fault.
func spot(file string, err error) error {
	f := &Fault{File: file, Why: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) {
		f.Why = y.GetMessage()
		if t := y.GetToken(); t != nil && t.Position != nil {
			f.Line, f.Field = t.Position.Line, t.Value
		}
		_, f.Source, _ = strings.Cut(y.FormatError(false, true), "\n")
	}
	return f
}

// checker finds what is wrong beyond form, and where.
type checker struct {
	file   string
	text   []byte
	tree   *ast.File
	faults []error
}

// wrong adds a fault at a path as in groups[0].name; one that isn't written
// stands at the nearest part above it that is.
func (c *checker) wrong(path, form string, args ...any) {
	f := &Fault{File: c.file, Field: path, Why: fmt.Sprintf(form, args...)}
	for at := path; ; {
		if p, err := yaml.PathString("$." + at); err == nil {
			if node, err := p.FilterFile(c.tree); err == nil && node != nil && node.GetToken() != nil {
				f.Line = node.GetToken().Position.Line
				if source, err := p.AnnotateSource(c.text, false); err == nil {
					f.Source = string(source)
				}
				break
			}
		}
		i := strings.LastIndexAny(at, ".[")
		if i <= 0 {
			break
		}
		at = at[:i]
	}
	c.faults = append(c.faults, f)
}

func (c *checker) all(s *Setup) {
	c.plain(s)
	c.names(s)
	if s.Fairness != nil {
		c.fairness(s.Fairness)
	}
	if s.Spool != nil {
		c.spool(s.Spool, s.Limits)
	}
	if s.Answers != nil {
		c.answers(s)
	}
	if s.Fleet != nil {
		c.fleet(s)
	}
	c.placement(s)
	c.shape(s)
}

// number wants a figure from least to most; 0 is left out and has its default
// unless it is wanted.
func (c *checker) number(path string, x, least, most float64) {
	switch {
	case x == 0 && least > 0:
		c.wrong(path, "is missing, or %v", x)
	default:
		c.maybe(path, x, least, most)
	}
}

func (c *checker) maybe(path string, x, least, most float64) {
	switch {
	case x != x:
		c.wrong(path, "is no number")
	case x != 0 && x < least || x < 0:
		c.wrong(path, "%v is under %v", x, max(least, 0))
	case x > most:
		c.wrong(path, "%v is over %v", x, most)
	}
}

func (c *checker) name(path, x string) {
	switch {
	case x == "":
		c.wrong(path, "is missing")
	case len(x) > nameMost || strings.ContainsAny(x, ", \t\n"):
		c.wrong(path, "%.40q is no name: up to %d letters without blanks or commas", x, nameMost)
	}
}

const nameMost = 128

// oneOf wants one of some words; none is left out.
func (c *checker) oneOf(path, x string, words ...string) {
	if x != "" && !slices.Contains(words, x) {
		c.wrong(path, "%q is none of: %s", x, strings.Join(words, ", "))
	}
}

func (c *checker) address(path, x string) {
	if x == "" {
		c.wrong(path, "is missing")
		return
	}
	_, port, err := net.SplitHostPort(x)
	if _, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil {
		c.wrong(path, "%q is no address with a port, as in 127.0.0.1:6565", x)
	}
}

// plain checks each figure by itself.
func (c *checker) plain(s *Setup) {
	c.address("listen", s.Listen)
	c.address("feed", s.Feed)
	if _, err := strconv.ParseUint(s.Seed, 16, 64); s.Seed != "" && err != nil {
		c.wrong("seed", "%q is no hexadecimal number of up to 16 digits", s.Seed)
	}
	c.oneOf("log", s.Log, "debug", "info", "warn", "error")
	c.maybe("limits.cores", s.Limits.Cores, 0, 1024)
	c.maybe("limits.memory_mb", s.Limits.MemoryMB, 16, 1<<24)
	c.maybe("limits.sockets", float64(s.Limits.Sockets), 64, 1<<20)
	e := &s.Engines
	c.maybe("engines.controllers", float64(e.Controllers), 1, 100_000)
	c.maybe("engines.submissions", float64(e.Submissions), 1, 20)
	c.maybe("engines.grant", e.Grant, 0, 1)
	c.maybe("engines.cold.from", e.Cold.From, 0, 1)
	c.maybe("engines.cold.multiple", e.Cold.Multiple, 0, 1000)
	c.maybe("engines.budget.least", e.Budget.Least, 0, 1e9)
	c.maybe("engines.budget.share", e.Budget.Share, 0, 10)
	c.oneOf("engines.report", e.Report, "off", "probed", "answers")
	c.oneOf("engines.memory_short", e.Short, "queue", "trim", "swap")
	for i, m := range e.May {
		c.oneOf(fmt.Sprintf("engines.may[%d]", i), m, allowed...)
	}
	if len(e.Kinds) == 0 {
		c.wrong("engines.kinds", "is missing: there is no engine without a kind")
	}
	for i, k := range e.Kinds {
		at := fmt.Sprintf("engines.kinds[%d].", i)
		c.name(at+"name", k.Name)
		c.number(at+"cores", k.Cores, 0.01, 4096)
		c.number(at+"memory_mb", k.MemoryMB, 1, 1<<30)
	}
	for i, l := range e.Locations {
		c.name(fmt.Sprintf("engines.locations[%d]", i), l)
	}
	if n := len(s.Groups); n == 0 || n > groupsMost {
		c.wrong("groups", "%d groups, and there must be 1 to %d", n, groupsMost)
	}
	for i, g := range s.Groups {
		at := fmt.Sprintf("groups[%d].", i)
		c.name(at+"name", g.Name)
		c.maybe(at+"threads", g.Threads, 1, 1024)
		c.maybe(at+"value", g.Value, 0, 1e9)
		c.maybe(at+"stretch", g.Stretch, 0, 1000)
		if g.Late != nil {
			c.maybe(at+"late_share", *g.Late, 0, 1)
		}
		if g.Effect == "" {
			c.wrong(at+"effect", "is missing: read-only, tokened or mutating")
		}
		c.oneOf(at+"effect", g.Effect, "read-only", "tokened", "mutating")
		c.oneOf(at+"scope", g.Scope, "all", "location", "cell")
	}
	for i, x := range s.Clients {
		at := fmt.Sprintf("clients[%d].", i)
		c.name(at+"name", x.Name)
		if len(x.Addresses) == 0 {
			c.wrong(at+"addresses", "is missing: the set is nobody's")
		}
		c.maybe(at+"open", float64(x.Open), 1, 100_000)
		c.maybe(at+"messages", float64(x.Messages), 1, 1_000_000)
	}
	if f := s.Fairness; f != nil {
		c.maybe("fairness.waiting", float64(f.Waiting), 1, 10_000_000)
		c.maybe("fairness.overrun", f.Overrun, 1.01, 1000)
		c.maybe("fairness.tell_change", f.Tell, 0.01, 1)
		if len(f.Teams) == 0 {
			c.wrong("fairness.teams", "is missing: leave fairness out where there are no teams")
		}
		c.teams(f.Teams, "fairness.teams")
	}
}

const groupsMost = 64

// allowed are the words of engines.may.
var allowed = []string{"probe", "cancel", "copy", "grant", "prioritise", "name-return"}

func (c *checker) teams(l []Team, path string) {
	for i, t := range l {
		at := fmt.Sprintf("%s[%d].", path, i)
		c.name(at+"name", t.Name)
		if !(t.Weight > 0) || t.Weight > 1e6 {
			c.wrong(at+"weight", "%v: a weight is over 0 and up to 1000000", t.Weight)
		}
		c.maybe(at+"budget", t.Budget, 0, 1e9)
		c.maybe(at+"burst", t.Burst, 0, 1e12)
		c.maybe(at+"waiting", float64(t.Waiting), 1, 1e8)
		c.teams(t.Teams, at+"teams")
	}
}

func (c *checker) names(s *Setup) {
	kinds, places := map[string]bool{}, map[string]bool{}
	for i, k := range s.Engines.Kinds {
		if kinds[k.Name] {
			c.wrong(fmt.Sprintf("engines.kinds[%d].name", i), "a second kind is called %q", k.Name)
		}
		kinds[k.Name] = true
	}
	for _, l := range s.Engines.Locations {
		places[l] = true
	}
	seen := map[string]bool{}
	for i, g := range s.Groups {
		at := fmt.Sprintf("groups[%d].", i)
		if seen[g.Name] {
			c.wrong(at+"name", "a second group is called %q", g.Name)
		}
		seen[g.Name] = true
		for j, k := range g.Kinds {
			if !kinds[k] {
				c.wrong(fmt.Sprintf("%skinds[%d]", at, j), "no kind is called %q", k)
			}
		}
		for j, l := range g.Locations {
			if !places[l] {
				c.wrong(fmt.Sprintf("%slocations[%d]", at, j), "no location is called %q", l)
			}
		}
		if g.Target > 0 && g.Timeout > 0 && g.Target > g.Timeout {
			c.wrong(at+"target", "is longer than the timeout of %v", time.Duration(g.Timeout))
		}
	}
	sets := map[netip.Prefix]string{}
	for i, x := range s.Clients {
		for j, a := range prefixes(x.Addresses) {
			if other, had := sets[a.Masked()]; had {
				c.wrong(fmt.Sprintf("clients[%d].addresses[%d]", i, j), "%v is in %q already", a, other)
			}
			sets[a.Masked()] = x.Name
		}
	}
}

// owner is whose addresses some are.
type owner struct{ team, path string }

func (c *checker) fairness(f *Fairness) {
	seen := map[string]string{}
	var owned bart.Table[owner]
	var walk func(l []Team, path string)
	walk = func(l []Team, path string) {
		for i, t := range l {
			at := fmt.Sprintf("%s[%d]", path, i)
			if first, had := seen[t.Name]; had {
				c.wrong(at+".name", "a second team is called %q, the first is %s", t.Name, first)
			}
			seen[t.Name] = at
			if t.Burst > 0 && t.Budget == 0 {
				c.wrong(at+".burst", "a burst without a budget")
			}
			if len(t.Teams) > 0 && len(t.Addresses) > 0 {
				c.wrong(at+".addresses", "belong to a team, and %q has teams of its own", t.Name)
			}
			for j, a := range prefixes(t.Addresses) {
				spot := fmt.Sprintf("%s.addresses[%d]", at, j)
				if other, overlaps := overlap(&owned, a); overlaps && other.path != at {
					c.wrong(spot, "%v overlaps addresses of %q", a, other.team)
				}
				owned.Insert(a.Masked(), owner{t.Name, at})
			}
			if len(t.Teams) > 0 {
				delete(seen, t.Name) // a kind may be called like its one team
				walk(t.Teams, at+".teams")
			}
		}
	}
	walk(f.Teams, "fairness.teams")
	if _, ok := seen[f.Default]; f.Default != "" && !ok {
		c.wrong("fairness.default", "no team is called %q", f.Default)
	}
	if len(f.Trusted) > 0 && f.Fields.Team == "" {
		c.wrong("fairness.trusted", "nothing to trust: fields.team names no field")
	}
	if shape := shapeOf(f); len(c.faults) == 0 {
		shape.Lanes = []fair.Lane{{}}
		if err := shape.Check(); err != nil {
			c.wrong("fairness.teams", "%v", err)
		}
	}
}

// shape checks that the parts that tell of the deployment's shape go together.
func (c *checker) shape(s *Setup) {
	e := &s.Engines
	for i, f := range e.Figures {
		c.oneOf(fmt.Sprintf("engines.figures[%d]", i), f, "held", "cores")
	}
	for i, t := range e.Tells {
		c.oneOf(fmt.Sprintf("engines.tells[%d]", i), t, "notes", "costs")
	}
	if e.Tells != nil && !slices.Contains(e.Tells, "notes") && e.Notes > 0 {
		c.wrong("engines.notes", "%v between notes, and engines.tells says that there are none", time.Duration(e.Notes))
	}
	if e.Location != "" && !slices.Contains(e.Locations, e.Location) {
		c.wrong("engines.location", "no location is called %q", e.Location)
	}
	if x := s.Shares; x != nil {
		c.maybe("shares.over", x.Over, 0, 1)
		switch {
		case s.Fairness != nil:
			c.wrong("shares", "fairness keeps turns by team already: one of the two goes")
		case x.Field == "":
			c.wrong("shares.field", "is missing: nobody would be known")
		case len(x.Customers) == 0:
			c.wrong("shares.customers", "is missing: leave shares out where nobody has one")
		}
		seen := map[string]bool{}
		for i, who := range x.Customers {
			at := fmt.Sprintf("shares.customers[%d].", i)
			if c.name(at+"name", who.Name); seen[who.Name] {
				c.wrong(at+"name", "a second customer is called %q", who.Name)
			}
			seen[who.Name] = true
			c.number(at+"rate", who.Rate, 1e-9, 1e9)
		}
	}
	if len(c.faults) > 0 {
		return // what is wrong by itself needn't be told as a mix, too
	}
	refused, odd := terms.Mixed(s.facts())
	for _, m := range append(refused, odd...) { // a file of our own needn't be served by guesses
		c.wrong(keys[m[0]], "%s", m[1])
	}
}

// keys are this file's names for what can still clash once each field is well by itself.
var keys = map[string]string{"report.how": "engines.report", "report.figures": "engines.figures", "budget.span": "engines.budget.span"}

// overlap finds what is there of a prefix, wider or narrower.
func overlap(t *bart.Table[owner], p netip.Prefix) (owner, bool) {
	if !t.OverlapsPrefix(p.Masked()) {
		return owner{}, false
	}
	if _, o, ok := t.LookupPrefixLPM(p.Masked()); ok {
		return o, true
	}
	for _, o := range t.Subnets(p.Masked()) {
		return o, true
	}
	return owner{}, false
}

// shapeOf is the shape that fairness is given.
func shapeOf(f *Fairness) *fair.Shape {
	var walk func(l []Team) []fair.Team
	walk = func(l []Team) (all []fair.Team) {
		for _, t := range l {
			all = append(all, fair.Team{Name: t.Name, Weight: t.Weight, Budget: t.Budget, Burst: t.Burst, Waiting: t.Waiting,
				Addresses: prefixes(t.Addresses), Teams: walk(t.Teams)})
		}
		return all
	}
	return &fair.Shape{Teams: walk(f.Teams), Default: f.Default, Age: time.Duration(f.Age), Waiting: f.Waiting, Trusted: prefixes(f.Trusted),
		Overrun: f.Overrun, Tell: f.Tell}
}

// Means are what the controller starts with, started at a time.
func (x *Setup) Means(started time.Time) relay.Means {
	seed, _ := strconv.ParseUint(x.Seed, 16, 64)
	m := relay.Means{Seed: seed, MemoryMB: cmp.Or(x.Limits.MemoryMB, 512), Sockets: cmp.Or(x.Limits.Sockets, 4096), Feed: x.Feed,
		Facts: x.facts(), Started: started, Answers: x.Answers.limits(), Draw: draw}
	for _, set := range x.Clients {
		m.Manners = append(m.Manners, relay.Manners{From: prefixes(set.Addresses), Open: set.Open, Messages: set.Messages,
			Idle: time.Duration(set.Idle), Whole: time.Duration(set.Message)})
	}
	if f := x.Fairness; f != nil {
		m.Fair = shapeOf(f)
		m.Words = relay.Words{Team: f.Fields.Team, Wait: f.Fields.Tell, Again: f.Fields.Again}
	}
	m.Words.Work, m.Words.Need = x.Estimates.Work, x.Estimates.Memory
	if x.Shares != nil {
		m.Words.Whose = x.Shares.Field
	}
	return m
}

// Shape is the teams alone, nil without any: what a reload takes over.
func (x *Setup) Shape() *fair.Shape {
	if x.Fairness == nil {
		return nil
	}
	return shapeOf(x.Fairness)
}

// Cores is how many the program may use.
func (x *Setup) Cores() float64 { return cmp.Or(x.Limits.Cores, 1) }

// facts are the settings in the decisions' words.
func (x *Setup) facts() map[string]string {
	e := x.Engines
	ms := func(t Span, absent time.Duration) string {
		return strconv.FormatFloat(float64(t.or(absent))/float64(time.Millisecond), 'f', -1, 64)
	}
	num := func(a, absent float64) string { return strconv.FormatFloat(cmp.Or(a, absent), 'f', -1, 64) }
	locations := e.Locations
	if len(locations) == 0 {
		locations = []string{"here"}
	}
	report := e.Report
	switch {
	case report != "":
	case e.May != nil && !slices.Contains(e.May, "probe"):
		report = "off" // there is nothing to be had unasked
	default:
		report = "probed"
	}
	f := map[string]string{"gateways": num(float64(e.Controllers), 1), "own.number": "0", "groups": strconv.Itoa(len(x.Groups)),
		"locations": strings.Join(locations, ","), "tick": "5", "list.how": "pushed",
		"submissions.most": num(float64(e.Submissions), 3), "return.most": ms(e.Pause, time.Minute),
		"connect.timeout": ms(e.Connect, 250*time.Millisecond), "idle.most": ms(e.Idle, 15*time.Second),
		"note.period": ms(e.Notes, 2*time.Second), "drain.grace": ms(e.Grace, time.Second),
		"key.rest": ms(e.KeyRest, 300*time.Millisecond), "report.how": report,
		"memory.short": cmp.Or(e.Short, "swap"), "grant.most": num(e.Grant, 0.4), "cold.from": num(e.Cold.From, 0.33),
		"cold.span": ms(e.Cold.Span, 15*time.Second), "cold.multiple": num(e.Cold.Multiple, 3),
		"cold.window": ms(e.Cold.Window, time.Second), "budget.least": num(e.Budget.Least, 0),
		"budget.share": num(e.Budget.Share, 0), "budget.span": ms(e.Budget.Span, 0)}
	if e.Location != "" {
		f["own.location"] = strconv.Itoa(slices.Index(locations, e.Location))
	}
	if e.Figures != nil {
		f["report.figures"] = strings.Join(e.Figures, ",")
	}
	f["answers.cost"] = strconv.FormatBool(e.Tells == nil || slices.Contains(e.Tells, "costs"))
	if e.Tells != nil && !slices.Contains(e.Tells, "notes") {
		f["note.period"] = "0"
	}
	if x.Shares != nil {
		f["teams"], f["over.worth"] = strconv.Itoa(len(x.Shares.Customers)), strconv.FormatFloat(x.Shares.Over, 'f', -1, 64)
		for i, who := range x.Shares.Customers {
			at := "team." + strconv.Itoa(i) + "."
			f[at+"name"], f[at+"quota"] = who.Name, num(who.Rate, 0)
		}
	}
	for _, m := range allowed {
		f["may."+m] = strconv.FormatBool(e.May == nil || slices.Contains(e.May, m))
	}
	var kinds, cores, memory, threads, loads, waits []string
	for _, k := range e.Kinds {
		kinds, cores, memory = append(kinds, k.Name), append(cores, num(k.Cores, 1)), append(memory, num(k.MemoryMB, 0))
	}
	places := func(l, all []string) string {
		var at []string
		for _, name := range l {
			for i, x := range all {
				if x == name {
					at = append(at, strconv.Itoa(i))
				}
			}
		}
		return strings.Join(at, ",")
	}
	for i, g := range x.Groups {
		at := "group." + strconv.Itoa(i) + "."
		threads = append(threads, num(g.Threads, 1))
		loads, waits = append(loads, strconv.FormatBool(g.Load)), append(waits, strconv.FormatBool(g.Waits))
		f[at+"name"], f[at+"value"], f[at+"stretch"] = g.Name, num(g.Value, 1), num(g.Stretch, 0)
		f[at+"effect"], f[at+"scope"] = g.Effect, cmp.Or(g.Scope, "all")
		f[at+"target"], f[at+"timeout"] = ms(g.Target, time.Second), ms(g.Timeout, 30*time.Second)
		f[at+"window"], f[at+"in-order"] = ms(g.Window, 5*time.Second), strconv.FormatBool(g.InOrder)
		if g.Late != nil {
			f[at+"late-share"] = strconv.FormatFloat(*g.Late, 'f', -1, 64)
		}
		if len(g.Locations) > 0 {
			f[at+"locations"] = places(g.Locations, locations)
		}
		if len(g.Kinds) > 0 {
			f[at+"kinds"] = places(g.Kinds, kinds)
		}
	}
	f["kinds"], f["kind.cores"], f["kind.memory"] = strings.Join(kinds, ","), strings.Join(cores, ","), strings.Join(memory, ",")
	f["threads"], f["loads"], f["waits"] = strings.Join(threads, ","), strings.Join(loads, ","), strings.Join(waits, ",")
	return f
}

// Fixed lists what differs in another set-up and can't be changed while running:
// all but the feed and the teams.
func (x *Setup) Fixed(next *Setup) (what []string) {
	for name, same := range map[string]bool{
		"name": x.Name == next.Name, "listen": x.Listen == next.Listen, "seed": x.Seed == next.Seed, "log": x.Log == next.Log,
		"limits": x.Limits == next.Limits, "engines": reflect.DeepEqual(x.Engines, next.Engines),
		"groups": reflect.DeepEqual(x.Groups, next.Groups), "clients": reflect.DeepEqual(x.Clients, next.Clients),
		"shares": reflect.DeepEqual(x.Shares, next.Shares), "estimates": x.Estimates == next.Estimates,
		"spool": reflect.DeepEqual(x.Spool, next.Spool), "answers": reflect.DeepEqual(x.Answers, next.Answers), "fleet": reflect.DeepEqual(x.Fleet, next.Fleet),
		"placement": reflect.DeepEqual(x.Placement, next.Placement), "fairness.fields": x.fields() == next.fields(), "fairness, there or not": (x.Fairness == nil) == (next.Fairness == nil),
	} {
		if !same {
			what = append(what, name)
		}
	}
	slices.Sort(what)
	return what
}

func (x *Setup) fields() Fields {
	if x.Fairness == nil {
		return Fields{}
	}
	return x.Fairness.Fields
}

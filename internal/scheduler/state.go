package scheduler

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/timerqueue"
)

// facts holds names and values, as the adapter handed them over at the start,
// and what numbers they read as: they are asked for at every decision.
type facts struct {
	text   map[string]string
	number map[string]float64
}

func newFacts(given map[string]string) facts {
	f := facts{given, map[string]float64{}}
	for name, value := range given {
		if x, err := strconv.ParseFloat(value, 64); err == nil {
			f.number[name] = x
		}
	}
	return f
}

func (f facts) num(name string, absent float64) float64 {
	if x, ok := f.number[name]; ok {
		return x
	}
	return absent
}

func (f facts) span(name string, absent time.Duration) time.Duration {
	if x, ok := f.number[name]; ok {
		return time.Duration(x * float64(time.Millisecond))
	}
	return absent
}

func (f facts) yes(name string) bool { return f.text[name] == "true" || f.text[name] == "1" }

func (f facts) list(name string) []string {
	if f.text[name] == "" {
		return nil
	}
	return strings.Split(f.text[name], ",")
}

// item is one place of a list that has a value for each resource group or kind.
func (f facts) item(name string, i int, absent string) string {
	if l := f.list(name); i >= 0 && i < len(l) {
		return l[i]
	}
	return absent
}

// itemNum reads one as a number, 0 if there is none.
func (f facts) itemNum(name string, i int) float64 {
	x, _ := strconv.ParseFloat(f.item(name, i, ""), 64)
	return x
}

// mean is a running average that forgets.
type mean struct {
	value float64
	count float64
}

func (m *mean) add(x, most float64) {
	m.count = min(m.count+1, most)
	m.value += (x - m.value) / m.count
}

func (m *mean) or(absent float64) float64 {
	if m.count == 0 {
		return absent
	}
	return m.value
}

// resourceGroup is a kind of query, with what has been learned of it.
type resourceGroup struct {
	taken                float64 // of late, decaying
	begun                float64 // thread seconds sent, decaying
	slots                mean    // thread seconds taken by a query that finished
	leaving, patience    mean    // share of clients that hang up early, and after how long
	index                int
	value, lateShare     float64
	target, timeout      time.Duration
	stretch              float64
	threads              float64
	effect               string // read-only, tokened, mutating
	scope                string // all, location, cell
	window               time.Duration
	inOrder, load, waits bool
	locations, kinds     []string

	off      mean    // work told over work estimated
	work     mean    // seconds of all threads, as told or estimated
	stretchy mean    // time taken over time alone
	floor    float64 // the best of it
	need     mean    // MB
	queue    []*query
	full     bool // its next query was held for want of room when last looked at
}

// team has a share of all engines; quota is what it comes to here, if traffic is even, a second.
type team struct {
	quota float64
	took  float64 // queries taken of late, decaying
}

// engine is one executor as this gateway sees it.
type engine struct {
	stood                int // rests in a row, with nothing back between
	doneLast             time.Duration
	doneAt               map[int64]time.Duration // when a query of these tables last finished there
	coldFrom             time.Duration
	id                   string
	mark                 uint32
	location, kind, cell int
	home                 bool // in one's own location
	state                EngineState
	goneAt               time.Duration
	cores                float64
	coldUntil            time.Duration

	out                             []*submission
	threads                         float64 // own, out
	slow                            float64 // time taken over the best
	started                         time.Duration
	loadSeen                        map[int64]time.Duration // tables a load was noted on, until when
	memory                          float64                 // own, out, MB
	ram                             float64
	threadsAtReport, memoryAtReport float64 // own
	heardAt                         time.Duration
	silent                          bool
	restUntil                       time.Duration // refused or unreachable: left alone until then
	fullAt                          time.Duration
	probedAt                        time.Duration
	probing                         bool
	report                          map[string]float64
	reportAt                        time.Duration
	coldSent                        []sent
}

// sent is work that went to a cold engine.
type sent struct {
	at   time.Duration
	work float64
}

// query is one thing taken, until its one final answer.
type query struct {
	moved             bool // once, for being slow
	id                string
	rg                *resourceGroup
	team              *team // whose share it counts to
	tables, key       int64
	inside            []string // locations it may be sent to, nil: all
	narrow            bool     // those are fewer than its group's
	shuts             int64    // its tables and where it may go: what bars one bars all of the same
	work              float64  // estimated seconds of all threads, 0: none
	told              bool     // work is what its answer told
	memory            float64
	seq               uint64
	takenAt, deadline time.Duration
	aim               time.Duration
	subs              []*submission
	out               int
	over, begun       bool
	priority, grant   int
	avoid             *engine
	looks             []*engine // looked at for this query
	lookedAt          time.Duration
	chain             *chain
	dues              []*timerqueue.Item
	next              func(*engine) bool // what to do once an engine is found for it
}

// submission is one sending of a query to an engine.
type submission struct {
	notedAt time.Duration
	q       *query
	e       *engine
	try     int
	at      time.Duration
	threads float64
	memory  float64
	ended   bool
	share   float64 // done, by the last note
	shareAt time.Duration
	behind  bool // found far behind, being moved
	stuck   bool // noted as waiting for a load
	outcome Outcome
	then    func(*submission) // what its end leads to
}

// chain is the line of loads of one table group at this gateway.
type chain struct {
	link    *query
	engine  *engine
	endedAt time.Duration
	ended   bool
	held    []*query
}

// keyLine holds the queries of one key in the order taken.
type keyLine struct {
	line      []*query
	restUntil time.Duration
	restBy    *query
}

// Scheduler is one controller's decisions and all it knows.
type Scheduler struct {
	stale   bool // running and own are to be made anew
	running []*engine
	own     [4]float64
	warm    float64 // engines that run and are warm
	cores   float64 // of all that run
	act     Actions
	facts   facts
	rng     *pcg
	now     time.Duration

	engines []*engine // in the order first listed
	byID    map[string]*engine
	queries map[string]*query
	groups  []*resourceGroup
	teams   []*team
	nobody  team
	ranked  []*resourceGroup // in the order in which they are served
	chains  map[int64]*chain
	keys    map[int64]*keyLine

	due     timerqueue.Times
	wakeAt  time.Duration // when the earliest wake asked for comes
	listing map[*engine]bool
	whole   bool

	tidyAt  time.Duration
	longest time.Duration // what is gone may still matter for so long

	seq      uint64
	taken    []time.Duration // for the submission budget
	extras   []time.Duration
	workRate float64 // work taken, decaying
	looks    bool    // probes tell how full engines are
	share    float64 // own part of all work
	counts   bool    // reports tell of queries held
	busy     mean    // queries taken over what the teams' quotas come to here
	allHeld  mean    // queries an engine holds, from reports
	// one's own out on all engines, as it was of late
	usualThreads, usualMemory, usualCount mean
	recent                                mean    // threads, over less
	lump                                  float64 // the most threads of one query
	probeLeft                             float64
	looked                                float64 // engines looked at of late, decaying
	fillSeen, meanWork                    mean
	askedAt, seenAt                       time.Duration
	subscribed                            bool
	closing                               bool          // nothing more is taken on
	holds                                 bool          // nothing is let go for now
	comeBack                              time.Duration // named with a deferral, where that is allowed
}

func newGroup(f facts, i int) *resourceGroup {
	at := "group." + strconv.Itoa(i) + "."
	return &resourceGroup{index: i,
		value: f.num(at+"value", 0), lateShare: f.num(at+"late-share", 1), stretch: f.num(at+"stretch", 0),
		target: f.span(at+"target", 0), timeout: f.span(at+"timeout", 0),
		threads: max(1, f.itemNum("threads", i)),
		effect:  f.text[at+"effect"], scope: f.text[at+"scope"], window: f.span(at+"window", 0),
		inOrder: f.yes(at + "in-order"), load: f.item("loads", i, "") == "true",
		waits: f.item("waits", i, "") == "true", locations: f.list(at + "locations"), kinds: f.list(at + "kinds")}
}

// mayHaveRun lists what was sent of a query and isn't proven never to have run.
func (q *query) mayHaveRun() (l []*submission) {
	for _, s := range q.subs {
		if !s.ended || !s.outcome.neverRan() {
			l = append(l, s)
		}
	}
	return l
}

// insert keeps a queue in the order in which its queries were taken.
func (rg *resourceGroup) insert(q *query) {
	i := len(rg.queue)
	for i > 0 && rg.queue[i-1].seq > q.seq {
		i--
	}
	if i == 0 || rg.queue[i-1] != q {
		rg.queue = slices.Insert(rg.queue, i, q)
	}
}

func (rg *resourceGroup) remove(q *query) { take(&rg.queue, q) }
func (c *chain) drop(q *query) bool       { return take(&c.held, q) }
func (k *keyLine) drop(q *query) bool     { return take(&k.line, q) }

func take(l *[]*query, q *query) bool {
	i := slices.Index(*l, q)
	if i >= 0 {
		*l = slices.Delete(*l, i, i+1)
	}
	return i >= 0
}

// coldSum is the work sent to a cold engine since a time.
func (e *engine) coldSum(since time.Duration) (sum float64) {
	for len(e.coldSent) > 0 && e.coldSent[0].at <= since {
		e.coldSent = e.coldSent[1:]
	}
	for _, s := range e.coldSent {
		sum += s.work
	}
	return sum
}

// on lists the engines that the list has as running.
func (g *Scheduler) on() []*engine {
	if g.stale {
		g.stale, g.running, g.own = false, g.running[:0], [4]float64{}
		g.warm, g.cores = 0, 0
		for _, e := range g.engines {
			if e.state != EngineActive {
				continue
			}
			g.running = append(g.running, e)
			g.cores += e.cores
			if g.now >= e.coldUntil {
				g.own[0] += e.threads
				g.own[1] += e.memory
				g.own[2] += float64(len(e.out))
				g.own[3] += e.cores
				g.warm++
			}
		}
	}
	return g.running
}

// sums are the threads, memory and number of one's own submissions on running
// engines that are warm, and how many cores those have.
func (g *Scheduler) sums() (threads, memory, count, cores float64) {
	g.on()
	return g.own[0], g.own[1], g.own[2], g.own[3]
}

func (e *engine) locked(tables int64, until time.Duration) {
	if e.loadSeen == nil {
		e.loadSeen = map[int64]time.Duration{}
	}
	e.loadSeen[tables] = until
}

// loadRuns: a load of these tables is known to run there, or they hang.
func (g *Scheduler) loadRuns(e *engine, tables int64) bool {
	locks := func(s *submission) bool { return s.q.rg.load && s.q.tables == tables }
	return g.now < e.loadSeen[tables] || slices.ContainsFunc(e.out, locks)
}

// short is a span, or one that follows from a group's times where that is told and shorter: what
// suits deadlines of seconds may outlast one of less.
func short(usual, follows time.Duration) time.Duration {
	if follows <= 0 {
		return usual
	}
	return min(usual, follows)
}

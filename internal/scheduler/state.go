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
type movingAverage struct {
	value float64
	count float64
}

func (m *movingAverage) add(x, most float64) {
	m.count = min(m.count+1, most)
	m.value += (x - m.value) / m.count
}

func (m *movingAverage) valueOr(absent float64) float64 {
	if m.count == 0 {
		return absent
	}
	return m.value
}

// resourceGroup is a kind of query, with what has been learned of it.
type resourceGroup struct {
	recentArrivals                float64 // of late, decaying
	recentThreadSeconds                float64 // thread seconds sent, decaying
	threadSecondsUsed                movingAverage    // thread seconds taken by a query that finished
	abandonRate, patience    movingAverage    // share of clients that hang up early, and after how long
	index                int
	priorityWeight, lateValueShare     float64
	objective, timeout      time.Duration
	objectiveStretch              float64
	threads              float64
	effect               string // read-only, tokened, mutating
	keyScope                string // all, location, cell
	keyWindow               time.Duration
	fifoByKey, isLoad, waitsForLoads bool
	locations, kinds     []string

	estimateCorrection      movingAverage    // work told over work estimated
	workSeconds     movingAverage    // seconds of all threads, as told or estimated
	slowdown movingAverage    // time taken over time alone
	bestSlowdown    float64 // the best of it
	memoryMB     movingAverage    // MB
	queue    []*query
	blocked     bool // its next query was held for want of room when last looked at
}

// team has a share of all engines; quota is what it comes to here, if traffic is even, a second.
type tenant struct {
	quota float64
	recentArrivals  float64 // queries taken of late, decaying
}

// engine is one executor as this gateway sees it.
type engine struct {
	consecutiveEjections                int // rests in a row, with nothing back between
	lastFinishAt             time.Duration
	lastFinishOfTables               map[int64]time.Duration // when a query of these tables last finished there
	warmingFrom             time.Duration
	id                   string
	hash                 uint32
	location, kind, cell int
	local                 bool // in one's own location
	state                EngineState
	removedAt               time.Duration
	cores                float64
	warmingUntil            time.Duration

	inFlight                             []*attempt
	threadsInFlight                         float64 // own, out
	slowdown                            float64 // time taken over the best
	startedAt                         time.Duration
	loadRunningUntil                        map[int64]time.Duration // tables a load was noted on, until when
	memoryInFlightMB                          float64                 // own, out, MB
	memoryCapacityMB                             float64
	threadsInFlightAtReport, memoryInFlightAtReportMB float64 // own
	lastResponseAt                         time.Duration
	unresponsive                          bool
	ejectedUntil                       time.Duration // refused or unreachable: left alone until then
	rejectedAt                          time.Duration
	healthCheckSentAt                        time.Duration
	healthCheckInFlight                         bool
	report                          map[string]float64
	reportAt                        time.Duration
	slowStartSends                        []sentWork
}

// sent is work that went to a cold engine.
type sentWork struct {
	at   time.Duration
	work float64
}

// query is one thing taken, until its one final answer.
type query struct {
	movedForSlowness             bool // once, for being slow
	id                string
	group                *resourceGroup
	tenant              *tenant // whose share it counts to
	tables, key       int64
	allowedLocations            []string // locations it may be sent to, nil: all
	confined            bool     // those are fewer than its group's
	blockingKey             int64    // its tables and where it may go: what bars one bars all of the same
	workSeconds              float64  // estimated seconds of all threads, 0: none
	workMeasured              bool     // work is what its answer told
	memoryMB            float64
	seq               uint64
	arrivedAt, deadline time.Duration
	objectiveAt               time.Duration
	attempts              []*attempt
	inFlight               int
	ended, answerStarted       bool
	priority, grant   int
	lastEngine             *engine
	healthChecked             []*engine // looked at for this query
	healthCheckedAt          time.Duration
	chain             *chain
	timers              []*timerqueue.Item
	dispatch              func(*engine) bool // what to do once an engine is found for it
}

// submission is one sending of a query to an engine.
type attempt struct {
	lastNoteAt time.Duration
	query       *query
	engine       *engine
	number     int
	sentAt      time.Duration
	threads float64
	memoryMB  float64
	ended   bool
	progress   float64 // done, by the last note
	progressAt time.Duration
	moving  bool // found far behind, being moved
	blocked   bool // noted as waiting for a load
	outcome Outcome
	onEnd    func(*attempt) // what its end leads to
}

// chain is the line of loads of one table group at this gateway.
type chain struct {
	running    *query
	engine  *engine
	lastEndedAt time.Duration
	lastEnded   bool
	waiting    []*query
}

// keyLine holds the queries of one key in the order taken.
type keyQueue struct {
	queries      []*query
	restingUntil time.Duration
	restingAfter    *query
}

// Scheduler is one controller's decisions and all it knows.
type Scheduler struct {
	totalsStale   bool // running and own are to be made anew
	active []*engine
	totals     [4]float64
	warmEngines    float64 // engines that run and are warm
	activeCores   float64 // of all that run
	actions     Actions
	settings   facts
	rng     *pcg
	now     time.Duration

	engines []*engine // in the order first listed
	enginesByID    map[string]*engine
	queries map[string]*query
	groups  []*resourceGroup
	tenants   []*tenant
	unlimitedTenant  tenant
	ranked  []*resourceGroup // in the order in which they are served
	chains  map[int64]*chain
	keyQueues    map[int64]*keyQueue

	timers     timerqueue.Times
	wakeAt  time.Duration // when the earliest wake asked for comes
	listedEngines map[*engine]bool
	listComplete   bool

	evictAt  time.Duration
	retention time.Duration // what is gone may still matter for so long

	seq      uint64
	arrivals    []time.Duration // for the submission budget
	retries   []time.Duration
	recentWorkSeconds float64 // work taken, decaying
	healthChecksReportLoad    bool    // probes tell how full engines are
	ownShare    float64 // own part of all work
	reportsCountQueries   bool    // reports tell of queries held
	tenantLoad     movingAverage    // queries taken over what the teams' quotas come to here
	reportedQueries  movingAverage    // queries an engine holds, from reports
	// one's own out on all engines, as it was of late
	meanThreads, meanMemoryMB, meanAttempts movingAverage
	recentThreads                                movingAverage    // threads, over less
	maxQueryThreads                                  float64 // the most threads of one query
	healthCheckTokens                             float64
	recentHealthChecks                                float64 // engines looked at of late, decaying
	reportedUtilization, meanWorkSeconds                    movingAverage
	subscribeSentAt, lastReportAt                       time.Duration
	subscribed                            bool
	draining                               bool          // nothing more is taken on
	paused                                 bool          // nothing is let go for now
	retryAfter                              time.Duration // named with a deferral, where that is allowed
}

func newGroup(f facts, i int) *resourceGroup {
	at := "group." + strconv.Itoa(i) + "."
	return &resourceGroup{index: i,
		priorityWeight: f.num(at+"value", 0), lateValueShare: f.num(at+"late-share", 1), objectiveStretch: f.num(at+"stretch", 0),
		objective: f.span(at+"target", 0), timeout: f.span(at+"timeout", 0),
		threads: max(1, f.itemNum("threads", i)),
		effect:  f.text[at+"effect"], keyScope: f.text[at+"scope"], keyWindow: f.span(at+"window", 0),
		fifoByKey: f.yes(at + "in-order"), isLoad: f.item("loads", i, "") == "true",
		waitsForLoads: f.item("waits", i, "") == "true", locations: f.list(at + "locations"), kinds: f.list(at + "kinds")}
}

// mayHaveRun lists what was sent of a query and isn't proven never to have run.
func (q *query) attemptsThatMayHaveRun() (l []*attempt) {
	for _, s := range q.attempts {
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

func (rg *resourceGroup) remove(q *query) { removeFrom(&rg.queue, q) }
func (c *chain) remove(q *query) bool       { return removeFrom(&c.waiting, q) }
func (k *keyQueue) remove(q *query) bool     { return removeFrom(&k.queries, q) }

func removeFrom(l *[]*query, q *query) bool {
	i := slices.Index(*l, q)
	if i >= 0 {
		*l = slices.Delete(*l, i, i+1)
	}
	return i >= 0
}

// coldSum is the work sent to a cold engine since a time.
func (e *engine) slowStartWorkSince(since time.Duration) (sum float64) {
	for len(e.slowStartSends) > 0 && e.slowStartSends[0].at <= since {
		e.slowStartSends = e.slowStartSends[1:]
	}
	for _, s := range e.slowStartSends {
		sum += s.work
	}
	return sum
}

// on lists the engines that the list has as running.
func (g *Scheduler) activeEngines() []*engine {
	if g.totalsStale {
		g.totalsStale, g.active, g.totals = false, g.active[:0], [4]float64{}
		g.warmEngines, g.activeCores = 0, 0
		for _, e := range g.engines {
			if e.state != EngineActive {
				continue
			}
			g.active = append(g.active, e)
			g.activeCores += e.cores
			if g.now >= e.warmingUntil {
				g.totals[0] += e.threadsInFlight
				g.totals[1] += e.memoryInFlightMB
				g.totals[2] += float64(len(e.inFlight))
				g.totals[3] += e.cores
				g.warmEngines++
			}
		}
	}
	return g.active
}

// sums are the threads, memory and number of one's own submissions on running
// engines that are warm, and how many cores those have.
func (g *Scheduler) totalsInFlight() (threads, memory, count, cores float64) {
	g.activeEngines()
	return g.totals[0], g.totals[1], g.totals[2], g.totals[3]
}

func (e *engine) markLoadRunning(tables int64, until time.Duration) {
	if e.loadRunningUntil == nil {
		e.loadRunningUntil = map[int64]time.Duration{}
	}
	e.loadRunningUntil[tables] = until
}

// loadRuns: a load of these tables is known to run there, or they hang.
func (g *Scheduler) loadRunning(e *engine, tables int64) bool {
	locks := func(s *attempt) bool { return s.query.group.isLoad && s.query.tables == tables }
	return g.now < e.loadRunningUntil[tables] || slices.ContainsFunc(e.inFlight, locks)
}

// short is a span, or one that follows from a group's times where that is told and shorter: what
// suits deadlines of seconds may outlast one of less.
func capped(usual, follows time.Duration) time.Duration {
	if follows <= 0 {
		return usual
	}
	return min(usual, follows)
}

package scheduler

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/timerqueue"
)

// simFleet simulates many controllers that share engines, in virtual time. Rule 4 is checked at the
// engines, on the sum of what the controllers send.
type simFleet struct {
	now             time.Duration
	events          timerqueue.Queue
	rng             *rand.Rand
	controllers     []*simController
	engines         map[string]*simEngine
	engineIDs       []string
	lastQuery       int
	offeredValue    float64 // of queries that arrived after measureFrom
	servedValue     float64
	measureFrom     time.Duration
	warmingWork     float64 // sent to warming engines
	warmingCapacity float64 // work that warming engines could do in the same time
	worstLimitRatio float64 // relative to rule 4's limit, in any window
	overLimit       int     // attempts beyond the limit

	workFactor      float64       // of a warming engine's capacity, in a window
	window          time.Duration // window of the limit by workFactor
	lateFraction    float64       // of attempts whose connection takes up to 1 s
	worstCountRatio float64       // relative to N + 2 x root of N + 2 queries of mean work
}

// meanQueryWork is the mean work of a query by the mix of arrivals.
var meanQueryWork = (14*groupWork[0] + 2.5*groupWork[1] + groupWork[2]) / 17.5

func (f *simFleet) schedule(span time.Duration, callback func()) { f.events.Add(f.now+span, callback) }

func (f *simFleet) runUntil(until time.Duration) {
	for at, ok := f.events.NextDue(); ok && at <= until; at, ok = f.events.NextDue() {
		f.now = at
		callback, _ := f.events.PopDue(at)
		callback()
	}
	f.now = until
}

// simController is one controller with its clients.
type simController struct {
	fleet     *simFleet
	scheduler *Scheduler
	settings  map[string]string
	queries   map[string]*simQuery
}

type simQuery struct {
	group       int
	work        float64
	arrivedAt   time.Duration
	objectiveAt time.Duration
	attempts    int
	running     map[int]*simTask
	closed      bool
}

// simEngine is an engine whose threads share its cores, with a capacity that grows with its age.
type simEngine struct {
	id              string
	startedAt       time.Duration // 0: long ago
	state           EngineState
	tasks           []*simTask
	advancedAt      time.Duration
	version         int
	slowStartSends  []sentWork
	reportedQueries int // delayed, as in its load reports
}

type simTask struct {
	controller    *simController
	id            string
	number        int
	threads       float64
	remainingWork float64
	sentAt        time.Duration
}

const (
	simCores           = 8.0
	simInitialCapacity = 0.33
	simWarmup          = 15 * time.Second
)

var groupWork, groupThreads, groupValue = []float64{0.22, 4.4, 4.5}, []float64{1, 3, 2}, []float64{1, 10, 6}
var groupLateValue, groupObjective = []float64{0.1, 0.4, 0.5}, []float64{1, 2, 3}

func (e *simEngine) warmupCapacity(now time.Duration) float64 {
	if e.startedAt == 0 || now >= e.startedAt+simWarmup {
		return 1
	}
	return simInitialCapacity + (1-simInitialCapacity)*(now-e.startedAt).Seconds()/simWarmup.Seconds()
}

// advance runs an engine's tasks up to the present, and schedules the end of the next one.
func (f *simFleet) advance(e *simEngine) {
	threads := 0.0
	for _, task := range e.tasks {
		threads += task.threads
	}
	if threads > 0 {
		rate := e.warmupCapacity(f.now) * min(1, simCores/threads) * (f.now - e.advancedAt).Seconds()
		for _, task := range e.tasks {
			task.remainingWork -= rate * task.threads
		}
	}
	e.advancedAt = f.now
	for i := 0; i < len(e.tasks); {
		if task := e.tasks[i]; task.remainingWork <= 1e-9 {
			e.tasks = append(e.tasks[:i], e.tasks[i+1:]...)
			threads -= task.threads
			f.schedule(500*time.Microsecond, func() { task.controller.attemptDone(task, Finished) })
			continue
		}
		i++
	}
	next := math.Inf(1)
	for _, task := range e.tasks {
		next = min(next, task.remainingWork/(e.warmupCapacity(f.now)*min(1, simCores/threads)*task.threads))
	}
	e.version++
	if version := e.version; !math.IsInf(next, 1) {
		f.schedule(seconds(next)+time.Microsecond, func() {
			if e.version == version {
				f.advance(e)
			}
		})
	}
}

func (c *simController) attemptDone(task *simTask, o Outcome) {
	q := c.queries[task.id]
	if q == nil || q.running[task.number] != task {
		return
	}
	delete(q.running, task.number)
	if o == Finished && !q.closed {
		q.closed = true
		c.fleet.countValue(q)
	}
	closed := q.closed
	if closed && len(q.running) == 0 {
		delete(c.queries, task.id)
	}
	work := 0.0
	if o == Finished {
		work = q.work
	}
	c.scheduler.AttemptEnded(c.fleet.now, task.id, task.number, o, c.fleet.now-task.sentAt, closed,
		seconds(work), 100, nil)
}

func (f *simFleet) countValue(q *simQuery) {
	switch {
	case q.arrivedAt < f.measureFrom:
	case f.now <= q.objectiveAt:
		f.servedValue += groupValue[q.group]
	default:
		f.servedValue += groupValue[q.group] * groupLateValue[q.group]
	}
}

func (c *simController) SendAttempt(id, engine string, _ time.Duration) {
	q, e, f := c.queries[id], c.fleet.engines[engine], c.fleet
	task := &simTask{controller: c, id: id, number: q.attempts, threads: groupThreads[q.group],
		remainingWork: q.work, sentAt: f.now}
	q.attempts++
	q.running[task.number] = task
	delay := 500 * time.Microsecond
	if f.rng.Float64() < f.lateFraction {
		delay += seconds(f.rng.Float64())
	}
	f.schedule(delay, func() {
		f.checkSlowStart(e, q.group)
		if len(e.tasks) >= 32 || e.state == EngineRemoved {
			f.schedule(500*time.Microsecond, func() { c.attemptDone(task, Rejected) })
			return
		}
		f.advance(e)
		e.tasks = append(e.tasks, task)
		f.advance(e)
	})
}

// checkSlowStart checks rule 4 for an attempt: the typical work that all controllers sent in a
// window.
func (f *simFleet) checkSlowStart(e *simEngine, group int) {
	capacity := e.warmupCapacity(f.now)
	if capacity == 1 {
		return
	}
	f.warmingWork += groupWork[group]
	e.slowStartSends = append(e.slowStartSends, sentWork{f.now, groupWork[group]})
	for e.slowStartSends[0].at <= f.now-f.window {
		e.slowStartSends = e.slowStartSends[1:]
	}
	sum := 0.0
	for _, s := range e.slowStartSends {
		sum += s.work
	}
	limit := f.workFactor * capacity * 0.85 * simCores * f.window.Seconds()
	n := limit / meanQueryWork
	f.worstCountRatio = max(f.worstCountRatio, sum/meanQueryWork/(n+2*math.Sqrt(n)+2))
	part := sum / limit
	f.worstLimitRatio = max(f.worstLimitRatio, part)
	if part > 1 {
		f.overLimit++
	}
}

func (c *simController) CancelAttempt(id string, try int) {
	q := c.queries[id]
	if q == nil || q.running[try] == nil {
		return
	}
	task := q.running[try]
	c.fleet.schedule(time.Millisecond, func() {
		for _, e := range c.fleet.engines {
			for i, x := range e.tasks {
				if x == task {
					c.fleet.advance(e)
					for i = range e.tasks {
						if e.tasks[i] == task {
							e.tasks = append(e.tasks[:i], e.tasks[i+1:]...)
							break
						}
					}
					c.fleet.advance(e)
					c.attemptDone(task, Cancelled)
					return
				}
			}
		}
		c.attemptDone(task, Cancelled)
	})
}

func (c *simController) closeQuery(id string) {
	if q := c.queries[id]; q != nil {
		if q.closed = true; len(q.running) == 0 {
			delete(c.queries, id)
		}
	}
}
func (c *simController) DeferQuery(id string, _ time.Duration) { c.closeQuery(id) }
func (c *simController) FailQuery(id string)                   { c.closeQuery(id) }
func (c *simController) SetLimits(string, int, int)            {}
func (c *simController) RequestEndpoints()                     {}
func (c *simController) Log(string)                            {}
func (c *simController) CheckHealth(engine string) {
	e, f := c.fleet.engines[engine], c.fleet
	f.schedule(time.Millisecond, func() {
		if e.state == EngineRemoved {
			c.scheduler.HealthCheckEnded(f.now, engine, Unreachable, nil)
			return
		}
		c.scheduler.HealthCheckEnded(f.now, engine, Finished,
			map[string]float64{"held": float64(e.reportedQueries)})
	})
}
func (c *simController) SetTimer(in time.Duration, tag int) {
	c.fleet.schedule(in, func() { c.scheduler.TimerFired(c.fleet.now, tag) })
}

// newSimFleet starts controllers and engines. The load is a fraction of the engines' capacity, and
// is distributed unevenly over the controllers.
func newSimFleet(seed uint64, controllers, engines int, load float64, length time.Duration,
	more map[string]string) *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*simEngine{}, workFactor: 3,
		window: time.Second}
	given := testSettings(map[string]string{"gateways": strconv.Itoa(controllers), "may.copy": "true",
		"note.period": "2000",
		"report.how":  "probed", "memory.short": "swap", "answers.cost": "true", "submissions.most": "3",
		"group.0.target": "1000", "group.0.stretch": "1.5", "group.0.timeout": "5000",
		"group.1.target": "2000", "group.1.stretch": "2.5", "group.1.timeout": "15000",
		"group.2.target": "3000", "group.2.stretch": "2.5", "group.2.timeout": "25000", "group.2.in-order": "",
		"loads": "", "waits": ""})
	maps.Copy(given, more)
	for i := range engines {
		f.addEngine(fmt.Sprint("e", i), 0)
	}
	total := 0.0
	var shares []float64
	for i := range controllers {
		given["own.number"] = strconv.Itoa(i)
		c := &simController{fleet: f, settings: given, queries: map[string]*simQuery{}}
		c.scheduler = New(c, f.rng.Uint64(), given)
		f.controllers = append(f.controllers, c)
		f.listEngines(c, f.engineIDs...)
		share := math.Exp(0.6 * f.rng.NormFloat64())
		if i%60 == 7 {
			share *= 4
		}
		shares, total = append(shares, share), total+share
	}
	arrivalMix := []float64{14, 2.5, 1}
	perQuery := 0.0
	for i := range arrivalMix {
		perQuery += arrivalMix[i] / 17.5 * groupWork[i]
	}
	rate := load * float64(engines) * simCores * 0.85 / perQuery
	for i, c := range f.controllers {
		var next func()
		gap := func() time.Duration { return seconds(f.rng.ExpFloat64() / (rate * shares[i] / total)) }
		next = func() {
			if f.now < length {
				c.sendQuery(arrivalMix)
				f.schedule(gap(), next)
			}
		}
		f.schedule(gap(), next)
	}
	var report func()
	report = func() {
		for _, id := range f.engineIDs {
			e := f.engines[id]
			count := len(e.tasks)
			f.schedule(150*time.Millisecond, func() { e.reportedQueries = count })
		}
		if f.now < length {
			f.schedule(400*time.Millisecond, report)
		}
	}
	f.schedule(0, report)
	return f
}

func (c *simController) sendQuery(mix []float64) {
	f, group, x := c.fleet, 0, c.fleet.rng.Float64()*17.5
	for x >= mix[group] {
		x -= mix[group]
		group++
	}
	const cv = 1.4
	work := groupWork[group] * math.Exp(cv*f.rng.NormFloat64()-cv*cv/2)
	f.lastQuery++
	id := strconv.Itoa(f.lastQuery)
	patience := []time.Duration{5 * sec, 15 * sec, 25 * sec}[group]
	stretch := []float64{1.5, 2.5, 2.5}[group]
	q := &simQuery{group: group, arrivedAt: f.now, work: work, running: map[int]*simTask{},
		objectiveAt: f.now + seconds(groupObjective[group]+stretch*work/groupThreads[group])}
	c.queries[id] = q
	if f.now >= f.measureFrom {
		f.offeredValue += groupValue[group]
	}
	c.scheduler.QueryArrived(f.now, id, group, -1, patience, int64(f.rng.IntN(160)), -1, 0, 0)
	f.schedule(patience, func() {
		if c.queries[id] == q && !q.closed {
			q.closed = true
			c.scheduler.ClientLeft(f.now, id)
		}
	})
}

func (f *simFleet) addEngine(id string, started time.Duration) {
	f.engines[id] = &simEngine{id: id, startedAt: started, advancedAt: f.now}
	f.engineIDs = append(f.engineIDs, id)
}

func (f *simFleet) listEngines(c *simController, ids ...string) {
	c.scheduler.ListStarted(f.now, false)
	for _, id := range ids {
		e := f.engines[id]
		c.scheduler.EngineListed(id, 0, 0, len(id), e.state, e.startedAt, e.startedAt > 0)
	}
	c.scheduler.ListEnded()
}

// replaceEngines drains and removes engines, and starts a new one with a new id for each. Each
// controller learns of that at a random time.
func (f *simFleet) replaceEngines(at time.Duration, ids ...string) {
	announce := func(id string) {
		for _, c := range f.controllers {
			f.schedule(seconds(0.5+f.rng.Float64()), func() { f.listEngines(c, id) })
		}
	}
	for _, id := range ids {
		f.schedule(at, func() {
			e := f.engines[id]
			e.state = EngineDraining
			announce(id)
			f.schedule(3*time.Second, func() {
				e.state = EngineRemoved
				announce(id)
				f.addEngine(id+"n", f.now)
				announce(id + "n")
			})
		})
	}
}

// Half of the engines or more are replaced within seconds, in fleets of several sizes. The work
// that all controllers together send to each warming engine must stay within rule 4's limit in any
// window. The warming engines must also be used: they once got a twentieth of their capacity while
// queries were rejected for lack of capacity. FLEET_SEEDS sets the number of seeds, which is 1 by
// default.
func TestSlowStartLimitHoldsOverAllControllers(t *testing.T) {
	seeds := 1
	if more, err := strconv.Atoi(os.Getenv("FLEET_SEEDS")); err == nil {
		seeds = more
	}
	for _, shape := range []struct{ controllers, engines, replaced int }{{300, 80, 48}, {350, 40, 20}, {60, 80,
		40}} {
		for seed := range seeds {
			f := newSimFleet(uint64(seed+1), shape.controllers, shape.engines, 0.75, 22*sec, nil)
			f.measureFrom = 8 * sec
			for i := range shape.replaced {
				f.replaceEngines(5*sec+time.Duration(i*7/shape.replaced)*sec, fmt.Sprint("e", i))
			}
			f.runUntil(30 * sec)
			for _, id := range f.engineIDs {
				if e := f.engines[id]; e.startedAt > 0 {
					for at := e.startedAt; at < min(22*sec, e.startedAt+simWarmup); at += 100 * ms {
						f.warmingCapacity += e.warmupCapacity(at) * simCores * 0.85 * 0.1
					}
				}
			}
			use := f.warmingWork / f.warmingCapacity
			t.Logf("%v seed %d: cold_worst=%.2f over=%d cold_use=%.2f service=%.3f", shape, seed+1,
				f.worstLimitRatio, f.overLimit, use, f.servedValue/f.offeredValue)
			if f.overLimit > 0 {
				t.Fatalf("%v seed %d: a warming engine got %.2f times its limit, %d attempts beyond the limit", shape,
					seed+1, f.worstLimitRatio, f.overLimit)
			}
			if use < 0.08 {
				t.Fatalf("%v seed %d: warming engines got only %.2f of what they can do", shape,
					seed+1, use)
			}
		}
	}
}

// For any fleet size and any limit, all controllers together send a warming engine at most N + 2 x
// root of N + 2 queries of mean work in a window, which allows for chance. Engines that can take a
// query at all are not starved. A third of the connections take up to a second, so that attempts
// sent one after the other arrive together. Full engines reject queries, which are retried
// elsewhere. Many controllers restart at once without any learned state, and the number of
// controllers in the settings may be wrong.
func TestSlowStartLimitHoldsAtAnyFleetSize(t *testing.T) {
	for _, shape := range []struct {
		controllers, configured, engines, replaced int
		multiple                                   float64
		window                                     time.Duration
		use                                        float64 // lower bound
	}{
		{1, 1, 8, 4, 3, time.Second, 0.1},
		{2, 2, 8, 4, 3, time.Second, 0.04},
		{20, 20, 16, 8, 3, time.Second, 0.08},
		{20, 30, 16, 8, 3, time.Second, 0.08},    // ten of them down
		{30, 20, 16, 8, 3, time.Second, 0.08},    // ten more than configured
		{350, 350, 40, 20, 3, time.Second, 0.05}, // two thirds of them restart after 11 s without learned state
		{20, 20, 16, 8, 2, 300 * ms, 0},          // N is less than one
		{350, 300, 40, 20, 2, 500 * ms, 0},
	} {
		for seed := range 2 {
			f := newSimFleet(uint64(seed+11), shape.controllers, shape.engines, 0.75, 20*sec,
				map[string]string{"gateways": strconv.Itoa(shape.configured),
					"cold.multiple": fmt.Sprint(shape.multiple), "cold.window": fmt.Sprint(shape.window.Milliseconds())})
			f.workFactor, f.window, f.lateFraction, f.measureFrom = shape.multiple, shape.window, 1.0/3, 8*sec
			for i := range shape.replaced {
				f.replaceEngines(5*sec+time.Duration(i*5/shape.replaced)*sec, fmt.Sprint("e", i))
			}
			// The controllers restart while engines warm up. A restarted controller knows the engines
			// only from the endpoint list.
			f.schedule(11*sec, f.restartMost)
			f.runUntil(26 * sec)
			capacity := 0.0
			for _, id := range f.engineIDs {
				if e := f.engines[id]; e.startedAt > 0 {
					for at := e.startedAt; at < min(20*sec, e.startedAt+simWarmup); at += 100 * ms {
						capacity += e.warmupCapacity(at) * simCores * 0.85 * 0.1
					}
				}
			}
			use := f.warmingWork / capacity
			t.Logf("%v seed %d: worst window %.2f of N + 2 x root of N + 2, cold_use=%.2f service=%.3f", shape, seed,
				f.worstCountRatio, use, f.servedValue/f.offeredValue)
			if f.worstCountRatio > 1 {
				t.Errorf("%v seed %d: a warming engine got %.2f times the queries that chance allows",
					shape, seed, f.worstCountRatio)
			}
			if use < shape.use {
				t.Errorf("%v seed %d: warming engines got only %.2f of what they can do", shape,
					seed, use)
			}
		}
	}
}

// restartMost restarts two thirds of the controllers at once. Their clients have to retry the lost
// queries.
func (f *simFleet) restartMost() {
	for i, c := range f.controllers {
		if i%3 == 0 {
			continue
		}
		given := c.settings
		for _, id := range slices.Sorted(maps.Keys(c.queries)) {
			if q := c.queries[id]; len(q.running) == 0 {
				delete(c.queries, id)
			} else {
				q.closed = true
			}
		}
		c.scheduler = New(c, f.rng.Uint64(), given)
		f.listEngines(c, f.engineIDs...)
	}
}

// Several controllers see the same free capacity in a load report while the report is valid. When
// each of them filled it alone, single engines got several times what they can do.
func TestControllersDoNotOverfillEngineReportedFree(t *testing.T) {
	const most = 3 * simCores // threads
	defer func(usual []float64) { groupWork = usual }(groupWork)
	groupWork = []float64{0.05, 0.4, 0.1} // short queries, so that many arrive while a report is valid
	f := newSimFleet(3, 300, 80, 0.7, 5*sec, nil)
	over, samples := 0, 0
	for at := sec; at < 5*sec; at += 50 * ms {
		f.runUntil(at)
		for _, id := range f.engineIDs {
			threads := 0.0
			for _, task := range f.engines[id].tasks {
				threads += task.threads
			}
			if samples++; threads > most {
				over++
			}
		}
	}
	if t.Logf("more than %.0f threads in %d of %d samples", most, over, samples); over*250 > samples {
		t.Fatal("engines got more than they can do")
	}
}

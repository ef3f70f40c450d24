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

// fleet is many gateways that share engines, all in virtual time: what one does
// alone is summed at the engines, which is where rule 4 is judged.
type simFleet struct {
	now         time.Duration
	events      timerqueue.Queue
	rng         *rand.Rand
	controllers []*simController
	engines     map[string]*simEngine
	names       []string
	seq         int
	offered     float64 // value, once the first of the new engines has started
	served      float64
	from        time.Duration
	coldWork    float64 // sent to engines while cold
	coldAble    float64 // what those could do meanwhile
	worst       float64 // of rule 4's limit, in any window
	over        int     // submissions that passed it

	multiple   float64       // of what a cold engine is able to, in a window
	window     time.Duration // over which it is counted
	lateShare  float64       // of the connections, which come up to 1 s late
	worstCalls float64       // of N + 2 x root of N + 2, in queries of mean work
}

// fleetMean is the work of a query in the mean.
var fleetMean = (14*fleetWork[0] + 2.5*fleetWork[1] + fleetWork[2]) / 17.5

func (f *simFleet) after(span time.Duration, do func()) { f.events.Add(f.now+span, do) }

func (f *simFleet) run(until time.Duration) {
	for at, ok := f.events.NextDue(); ok && at <= until; at, ok = f.events.NextDue() {
		f.now = at
		do, _ := f.events.PopDue(at)
		do()
	}
	f.now = until
}

// member is one gateway with what stands round it.
type simController struct {
	f         *simFleet
	scheduler *Scheduler
	facts     map[string]string
	open      map[string]*simQuery
}

type simQuery struct {
	group  int
	work   float64
	at     time.Duration
	aim    time.Duration
	tries  int
	runs   map[int]*simTask
	closed bool
}

// worker is an engine: its threads share its cores, which warm up by its age.
type simEngine struct {
	id      string
	started time.Duration // 0: long ago
	state   EngineState
	tasks   []*simTask
	last    time.Duration
	version int
	sent    []sentWork
	held    int // as it reports
}

type simTask struct {
	m       *simController
	id      string
	try     int
	threads float64
	left    float64
	at      time.Duration
}

const (
	fleetCores = 8.0
	fleetFrom  = 0.33
	fleetSpan  = 15 * time.Second
)

var fleetWork, fleetThreads, fleetValue = []float64{0.22, 4.4, 4.5}, []float64{1, 3, 2}, []float64{1, 10, 6}
var fleetLate, fleetTarget = []float64{0.1, 0.4, 0.5}, []float64{1, 2, 3}

func (w *simEngine) warmCapacity(now time.Duration) float64 {
	if w.started == 0 || now >= w.started+fleetSpan {
		return 1
	}
	return fleetFrom + (1-fleetFrom)*(now-w.started).Seconds()/fleetSpan.Seconds()
}

// on has a worker do what it does until now, and looks when its next task ends.
func (f *simFleet) advance(w *simEngine) {
	threads := 0.0
	for _, t := range w.tasks {
		threads += t.threads
	}
	if threads > 0 {
		rate := w.warmCapacity(f.now) * min(1, fleetCores/threads) * (f.now - w.last).Seconds()
		for _, t := range w.tasks {
			t.left -= rate * t.threads
		}
	}
	w.last = f.now
	for i := 0; i < len(w.tasks); {
		if t := w.tasks[i]; t.left <= 1e-9 {
			w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
			threads -= t.threads
			f.after(500*time.Microsecond, func() { t.m.done(t, Finished) })
			continue
		}
		i++
	}
	next := math.Inf(1)
	for _, t := range w.tasks {
		next = min(next, t.left/(w.warmCapacity(f.now)*min(1, fleetCores/threads)*t.threads))
	}
	w.version++
	if version := w.version; !math.IsInf(next, 1) {
		f.after(seconds(next)+time.Microsecond, func() {
			if w.version == version {
				f.advance(w)
			}
		})
	}
}

func (m *simController) done(t *simTask, o Outcome) {
	q := m.open[t.id]
	if q == nil || q.runs[t.try] != t {
		return
	}
	delete(q.runs, t.try)
	if o == Finished && !q.closed {
		q.closed = true
		m.f.earn(q)
	}
	closed := q.closed
	if closed && len(q.runs) == 0 {
		delete(m.open, t.id)
	}
	work := 0.0
	if o == Finished {
		work = q.work
	}
	m.scheduler.AttemptEnded(m.f.now, t.id, t.try, o, m.f.now-t.at, closed, seconds(work), 100, nil)
}

func (f *simFleet) earn(q *simQuery) {
	switch {
	case q.at < f.from:
	case f.now <= q.aim:
		f.served += fleetValue[q.group]
	default:
		f.served += fleetValue[q.group] * fleetLate[q.group]
	}
}

func (m *simController) SendAttempt(id, engine string, _ time.Duration) {
	q, w, f := m.open[id], m.f.engines[engine], m.f
	t := &simTask{m: m, id: id, try: q.tries, threads: fleetThreads[q.group], left: q.work, at: f.now}
	q.tries++
	q.runs[t.try] = t
	way := 500 * time.Microsecond
	if f.rng.Float64() < f.lateShare {
		way += seconds(f.rng.Float64())
	}
	f.after(way, func() {
		f.checkSlowStart(w, q.group)
		if len(w.tasks) >= 32 || w.state == EngineRemoved {
			f.after(500*time.Microsecond, func() { m.done(t, Rejected) })
			return
		}
		f.advance(w)
		w.tasks = append(w.tasks, t)
		f.advance(w)
	})
}

// weigh judges rule 4: the work of all gateways in any window, by its group's usual.
func (f *simFleet) checkSlowStart(w *simEngine, group int) {
	able := w.warmCapacity(f.now)
	if able == 1 {
		return
	}
	f.coldWork += fleetWork[group]
	w.sent = append(w.sent, sentWork{f.now, fleetWork[group]})
	for w.sent[0].at <= f.now-f.window {
		w.sent = w.sent[1:]
	}
	sum := 0.0
	for _, s := range w.sent {
		sum += s.work
	}
	limit := f.multiple * able * 0.85 * fleetCores * f.window.Seconds()
	n := limit / fleetMean
	f.worstCalls = max(f.worstCalls, sum/fleetMean/(n+2*math.Sqrt(n)+2))
	part := sum / limit
	f.worst = max(f.worst, part)
	if part > 1 {
		f.over++
	}
}

func (m *simController) CancelAttempt(id string, try int) {
	q := m.open[id]
	if q == nil || q.runs[try] == nil {
		return
	}
	t := q.runs[try]
	m.f.after(time.Millisecond, func() {
		for _, w := range m.f.engines {
			for i, x := range w.tasks {
				if x == t {
					m.f.advance(w)
					for i = range w.tasks {
						if w.tasks[i] == t {
							w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
							break
						}
					}
					m.f.advance(w)
					m.done(t, Cancelled)
					return
				}
			}
		}
		m.done(t, Cancelled)
	})
}

func (m *simController) close(id string) {
	if q := m.open[id]; q != nil {
		if q.closed = true; len(q.runs) == 0 {
			delete(m.open, id)
		}
	}
}
func (m *simController) DeferQuery(id string, _ time.Duration) { m.close(id) }
func (m *simController) FailQuery(id string)                   { m.close(id) }
func (m *simController) SetLimits(string, int, int)            {}
func (m *simController) RequestEndpoints()                     {}
func (m *simController) Log(string)                            {}
func (m *simController) CheckHealth(engine string) {
	w, f := m.f.engines[engine], m.f
	f.after(time.Millisecond, func() {
		if w.state == EngineRemoved {
			m.scheduler.HealthCheckEnded(f.now, engine, Unreachable, nil)
			return
		}
		m.scheduler.HealthCheckEnded(f.now, engine, Finished, map[string]float64{"held": float64(w.held)})
	})
}
func (m *simController) SetTimer(in time.Duration, tag int) {
	m.f.after(in, func() { m.scheduler.TimerFired(m.f.now, tag) })
}

// newFleet starts gateways and engines with a share of all they can do as load,
// spread unevenly over the gateways.
func newFleet(seed uint64, gateways, engines int, load float64, length time.Duration,
	more map[string]string) *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*simEngine{}, multiple: 3,
		window: time.Second}
	facts := testSettings(map[string]string{"gateways": strconv.Itoa(gateways), "may.copy": "true",
		"note.period": "2000",
		"report.how":  "probed", "memory.short": "swap", "answers.cost": "true", "submissions.most": "3",
		"group.0.target": "1000", "group.0.stretch": "1.5", "group.0.timeout": "5000",
		"group.1.target": "2000", "group.1.stretch": "2.5", "group.1.timeout": "15000",
		"group.2.target": "3000", "group.2.stretch": "2.5", "group.2.timeout": "25000", "group.2.in-order": "",
		"loads": "", "waits": ""})
	maps.Copy(facts, more)
	for i := range engines {
		f.add(fmt.Sprint("e", i), 0)
	}
	total := 0.0
	var shares []float64
	for i := range gateways {
		facts["own.number"] = strconv.Itoa(i)
		m := &simController{f: f, facts: facts, open: map[string]*simQuery{}}
		m.scheduler = New(m, f.rng.Uint64(), facts)
		f.controllers = append(f.controllers, m)
		f.list(m, f.names...)
		x := math.Exp(0.6 * f.rng.NormFloat64())
		if i%60 == 7 {
			x *= 4
		}
		shares, total = append(shares, x), total+x
	}
	mix := []float64{14, 2.5, 1}
	perQuery := 0.0
	for i := range mix {
		perQuery += mix[i] / 17.5 * fleetWork[i]
	}
	rate := load * float64(engines) * fleetCores * 0.85 / perQuery
	for i, m := range f.controllers {
		var next func()
		gap := func() time.Duration { return seconds(f.rng.ExpFloat64() / (rate * shares[i] / total)) }
		next = func() {
			if f.now < length {
				m.ask(mix)
				f.after(gap(), next)
			}
		}
		f.after(gap(), next)
	}
	var report func()
	report = func() {
		for _, id := range f.names {
			w := f.engines[id]
			held := len(w.tasks)
			f.after(150*time.Millisecond, func() { w.held = held })
		}
		if f.now < length {
			f.after(400*time.Millisecond, report)
		}
	}
	f.after(0, report)
	return f
}

func (m *simController) ask(mix []float64) {
	f, group, x := m.f, 0, m.f.rng.Float64()*17.5
	for x >= mix[group] {
		x -= mix[group]
		group++
	}
	const cv = 1.4
	work := fleetWork[group] * math.Exp(cv*f.rng.NormFloat64()-cv*cv/2)
	f.seq++
	id := strconv.Itoa(f.seq)
	patience := []time.Duration{5 * sec, 15 * sec, 25 * sec}[group]
	stretch := []float64{1.5, 2.5, 2.5}[group]
	q := &simQuery{group: group, at: f.now, work: work, runs: map[int]*simTask{},
		aim: f.now + seconds(fleetTarget[group]+stretch*work/fleetThreads[group])}
	m.open[id] = q
	if f.now >= f.from {
		f.offered += fleetValue[group]
	}
	m.scheduler.QueryArrived(f.now, id, group, -1, patience, int64(f.rng.IntN(160)), -1, 0, 0)
	f.after(patience, func() {
		if m.open[id] == q && !q.closed {
			q.closed = true
			m.scheduler.ClientLeft(f.now, id)
		}
	})
}

func (f *simFleet) add(id string, started time.Duration) {
	f.engines[id] = &simEngine{id: id, started: started, last: f.now}
	f.names = append(f.names, id)
}

func (f *simFleet) list(m *simController, ids ...string) {
	m.scheduler.ListStarted(f.now, false)
	for _, id := range ids {
		w := f.engines[id]
		m.scheduler.EngineListed(id, 0, 0, len(id), w.state, w.started, w.started > 0)
	}
	m.scheduler.ListEnded()
}

// release replaces engines: drained, and gone while a cold one comes under a new id.
// Each gateway hears of it in its own time.
func (f *simFleet) release(at time.Duration, ids ...string) {
	tell := func(id string) {
		for _, m := range f.controllers {
			f.after(seconds(0.5+f.rng.Float64()), func() { f.list(m, id) })
		}
	}
	for _, id := range ids {
		f.after(at, func() {
			w := f.engines[id]
			w.state = EngineDraining
			tell(id)
			f.after(3*time.Second, func() {
				w.state = EngineRemoved
				tell(id)
				f.add(id+"n", f.now)
				tell(id + "n")
			})
		})
	}
}

// Half of the engines and more are replaced within seconds, in fleets of several shapes.
// What all gateways together send to each cold one stays, in any window, under rule 4's
// limit; and they are used: a twentieth of what they could do was sent to them once, while
// queries were refused for want of room. FLEET_SEEDS asks for more than the usual one.
func TestSlowStartLimitHoldsOverAllControllers(t *testing.T) {
	seeds := 1
	if more, err := strconv.Atoi(os.Getenv("FLEET_SEEDS")); err == nil {
		seeds = more
	}
	for _, shape := range []struct{ gateways, engines, replaced int }{{300, 80, 48}, {350, 40, 20}, {60, 80,
		40}} {
		for seed := range seeds {
			f := newFleet(uint64(seed+1), shape.gateways, shape.engines, 0.75, 22*sec, nil)
			f.from = 8 * sec
			for i := range shape.replaced {
				f.release(5*sec+time.Duration(i*7/shape.replaced)*sec, fmt.Sprint("e", i))
			}
			f.run(30 * sec)
			for _, id := range f.names {
				if w := f.engines[id]; w.started > 0 {
					for at := w.started; at < min(22*sec, w.started+fleetSpan); at += 100 * ms {
						f.coldAble += w.warmCapacity(at) * fleetCores * 0.85 * 0.1
					}
				}
			}
			use := f.coldWork / f.coldAble
			t.Logf("%v seed %d: cold_worst=%.2f over=%d cold_use=%.2f service=%.3f", shape, seed+1, f.worst, f.over,
				use, f.served/f.offered)
			if f.over > 0 {
				t.Fatalf("%v seed %d: a cold engine was sent %.2f times what it stands, %d submissions over it", shape,
					seed+1, f.worst, f.over)
			}
			if use < 0.08 {
				t.Fatalf("%v seed %d: cold engines were sent %.2f of what they can do: safe by starving them", shape,
					seed+1, use)
			}
		}
	}
}

// Whatever the fleet's size, and however small what a cold engine stands: what all controllers send
// it in any window stays under N + 2 x root of N + 2 queries of mean work, which is chance, and cold
// engines are not starved for it where they stand a query at all. A third of the connections come up
// late, by up to a second, so that what was sent in turn arrives together; engines that are full send
// queries on; and controllers that were away come back all at once, having learned nothing, counted
// by the settings or not.
func TestSlowStartLimitHoldsAtAnyFleetSize(t *testing.T) {
	for _, shape := range []struct {
		gateways, told, engines, replaced int
		multiple                          float64
		window                            time.Duration
		use                               float64 // at the least
	}{
		{1, 1, 8, 4, 3, time.Second, 0.1},
		{2, 2, 8, 4, 3, time.Second, 0.04},
		{20, 20, 16, 8, 3, time.Second, 0.08},
		{20, 30, 16, 8, 3, time.Second, 0.08},    // ten of them down
		{30, 20, 16, 8, 3, time.Second, 0.08},    // ten more than is told
		{350, 350, 40, 20, 3, time.Second, 0.05}, // two thirds of them know nothing of the load after 11 s
		{20, 20, 16, 8, 2, 300 * ms, 0},          // N is under one
		{350, 300, 40, 20, 2, 500 * ms, 0},
	} {
		for seed := range 2 {
			f := newFleet(uint64(seed+11), shape.gateways, shape.engines, 0.75, 20*sec,
				map[string]string{"gateways": strconv.Itoa(shape.told),
					"cold.multiple": fmt.Sprint(shape.multiple), "cold.window": fmt.Sprint(shape.window.Milliseconds())})
			f.multiple, f.window, f.lateShare, f.from = shape.multiple, shape.window, 1.0/3, 8*sec
			for i := range shape.replaced {
				f.release(5*sec+time.Duration(i*5/shape.replaced)*sec, fmt.Sprint("e", i))
			}
			f.after(11*sec, f.restartMost) // in the midst of it, knowing the list and nothing else
			f.run(26 * sec)
			able := 0.0
			for _, id := range f.names {
				if w := f.engines[id]; w.started > 0 {
					for at := w.started; at < min(20*sec, w.started+fleetSpan); at += 100 * ms {
						able += w.warmCapacity(at) * fleetCores * 0.85 * 0.1
					}
				}
			}
			use := f.coldWork / able
			t.Logf("%v seed %d: worst window %.2f of N + 2 x root of N + 2, cold_use=%.2f service=%.3f", shape, seed,
				f.worstCalls, use, f.served/f.offered)
			if f.worstCalls > 1 {
				t.Errorf("%v seed %d: a cold engine was sent %.2f of what is chance", shape, seed, f.worstCalls)
			}
			if use < shape.use {
				t.Errorf("%v seed %d: cold engines were sent %.2f of what they can do: safe by starving them", shape,
					seed, use)
			}
		}
	}
}

// anew has two thirds of the controllers start again at once: what they held is their clients' to ask again.
func (f *simFleet) restartMost() {
	for i, m := range f.controllers {
		if i%3 == 0 {
			continue
		}
		facts := m.facts
		for _, id := range slices.Sorted(maps.Keys(m.open)) {
			if q := m.open[id]; len(q.runs) == 0 {
				delete(m.open, id)
			} else {
				q.closed = true
			}
		}
		m.scheduler = New(m, f.rng.Uint64(), facts)
		f.list(m, f.names...)
	}
}

// What a report shows as free is read by several gateways while it keeps. Each that filled it alone put
// several times what an engine can do on one of them at a time.
func TestEngineIsNotFilledByAllThatSawItFree(t *testing.T) {
	const most = 3 * fleetCores // threads
	defer func(usual []float64) { fleetWork = usual }(fleetWork)
	fleetWork = []float64{0.05, 0.4, 0.1} // short queries, so that many come while a report keeps
	f := newFleet(3, 300, 80, 0.7, 5*sec, nil)
	over, seen := 0, 0
	for at := sec; at < 5*sec; at += 50 * ms {
		f.run(at)
		for _, id := range f.names {
			threads := 0.0
			for _, task := range f.engines[id].tasks {
				threads += task.threads
			}
			if seen++; threads > most {
				over++
			}
		}
	}
	if t.Logf("over %.0f threads in %d of %d looks", most, over, seen); over*250 > seen {
		t.Fatal("engines are filled past all they can do")
	}
}

// Package bench plays the product against stand-ins and measures what it does.
package bench

import (
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/world"
	"railrelay.dev/railrelay/internal/fairqueue"
)

// ClientPrefixes are the addresses of the laboratory's clients, Home one of them.
var (
	ClientPrefixes = []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	ClientAddress  = netip.MustParseAddr("10.1.2.3")
)

// WorkloadGroup is a resource group as the laboratory's clients use it.
type WorkloadGroup struct {
	Name       string
	Share      float64 // of the queries
	Threads    float64
	CPU        time.Duration // mean of all threads
	CPUSigma   float64       // sigma of the logarithm
	DiskPerCPU float64       // of the CPU
	MemoryMB   float64
	Patience   time.Duration
	Target     time.Duration
	Value      float64
	Load       bool
	Rows       int
}

// DefaultWorkload is a mix of small lookups, heavy reports and loads in order.
func DefaultWorkload() []WorkloadGroup {
	return []WorkloadGroup{
		{Name: "lookup", Share: 0.60, Threads: 1, CPU: 60 * time.Millisecond, CPUSigma: 0.5, DiskPerCPU: 0.1, MemoryMB: 32,
			Patience: 5 * time.Second, Target: time.Second, Value: 2, Rows: 3},
		{Name: "report", Share: 0.25, Threads: 3, CPU: 900 * time.Millisecond, CPUSigma: 0.5, DiskPerCPU: 0.1, MemoryMB: 300,
			Patience: 12 * time.Second, Target: 2 * time.Second, Value: 10, Rows: 40},
		{Name: "load", Share: 0.15, Threads: 2, CPU: 300 * time.Millisecond, CPUSigma: 0.4, DiskPerCPU: 0.2, MemoryMB: 200,
			Patience: 12 * time.Second, Target: 3 * time.Second, Value: 6, Load: true, Rows: 1},
	}
}

// ControllerSettings are the settings, in our words, that a mix and engines of these figures give.
func ControllerSettings(kinds []WorkloadGroup, f engine.Config) map[string]string {
	m := map[string]string{
		"gateways": "1", "own.number": "0", "groups": strconv.Itoa(len(kinds)), "kinds": "std", "locations": "here",
		"kind.cores": fmt.Sprint(f.Cores), "kind.memory": fmt.Sprint(f.MemoryMB), "grant.most": "0.4",
		"may.grant": "true", "may.prioritise": "true", "may.cancel": "true", "may.probe": "true", "may.copy": "true",
		"may.name-return": "true", "return.most": "60000", "submissions.most": "3", "note.period": "2000", "tick": "5",
		"memory.short": "swap", "drain.grace": "1000", "report.how": "probed", "cold.from": "0.33", "answers.cost": "true",
		"cold.span": "15000", "cold.multiple": "3", "cold.window": "1000", "key.rest": "300", "list.how": "pushed",
		"connect.timeout": "250", "idle.most": "15000",
	}
	var threads, loads, waits string
	for i, k := range kinds {
		if i > 0 {
			threads, loads, waits = threads+",", loads+",", waits+","
		}
		threads, loads, waits = threads+fmt.Sprint(k.Threads), loads+fmt.Sprint(k.Load), waits+fmt.Sprint(i == 0)
		at := "group." + strconv.Itoa(i) + "."
		maps.Copy(m, map[string]string{at + "name": k.Name, at + "value": fmt.Sprint(k.Value),
			at + "target": fmt.Sprint(k.Target.Milliseconds()), at + "timeout": "30000", at + "stretch": "2",
			at + "effect": "read-only", at + "scope": "all", at + "window": "5000", at + "late-share": "0.4"})
		if k.Load {
			m[at+"effect"], m[at+"in-order"] = "mutating", "true"
		}
	}
	m["threads"], m["loads"], m["waits"] = threads, loads, waits
	return m
}

// DefaultTenants is a tree of three kinds with four teams each, of unequal weights.
func DefaultTenants() []fairqueue.Tenant {
	var l []fairqueue.Tenant
	for i, kind := range []string{"municipalities", "brigades", "gauges"} {
		k := fairqueue.Tenant{Name: kind, Weight: float64(3 - i)}
		for j := range 4 {
			k.Children = append(k.Children, fairqueue.Tenant{Name: fmt.Sprintf("%s-%d", kind, j+1), Weight: float64(1 + j%2)})
		}
		l = append(l, k)
	}
	return l
}

func eachLeafTenant(l []fairqueue.Tenant, share float64, each func(name string, share float64)) {
	sum := 0.0
	for _, t := range l {
		sum += t.Weight
	}
	for _, t := range l {
		if len(t.Children) == 0 {
			each(t.Name, share*t.Weight/sum)
		} else {
			eachLeafTenant(t.Children, share*t.Weight/sum, each)
		}
	}
}

// FairnessRun is a run of teams' queries against a controller.
type FairnessRun struct {
	*world.World
	Groups       []WorkloadGroup
	TenantNames  []string
	TenantShares []float64
	Queries      []*world.Query
	rng          *rand.Rand
	clients      map[string]*world.Client
	capacity     float64 // core seconds a second of all engines
	serial       int
	hasFairQueue bool

	// IdleTime is for how long an engine had a free core while a query waited,
	// WaitTime for how long any waited.
	IdleTime, WaitTime time.Duration
	waitingSince       map[string]time.Duration
	waitingQueries     map[string]int
	lastStart          map[string]time.Duration
	firstOpen          int // those before are over
	MaxStartGap        time.Duration
}

// NewFairnessRun makes one. shape nil: the program without teams.
func NewFairnessRun(seed uint64, engines int, kinds []WorkloadGroup, teams []fairqueue.Tenant, shape *fairqueue.Config, facts map[string]string) *FairnessRun {
	f := engine.DefaultConfig()
	f.DiskParallelism = 16
	figures := make([]engine.Config, engines)
	for i := range figures {
		figures[i] = f
	}
	all := ControllerSettings(kinds, f)
	maps.Copy(all, facts)
	if shape != nil {
		shape.Tenants, shape.TrustedAddresses = teams, ClientPrefixes
	}
	n := &FairnessRun{Groups: kinds, rng: rand.New(rand.NewPCG(seed, 2)), clients: map[string]*world.Client{}, capacity: float64(engines) * f.Cores,
		hasFairQueue: shape != nil, waitingSince: map[string]time.Duration{}, waitingQueries: map[string]int{}, lastStart: map[string]time.Duration{}}
	eachLeafTenant(teams, 1, func(name string, share float64) {
		n.TenantNames, n.TenantShares = append(n.TenantNames, name), append(n.TenantShares, share)
	})
	n.World = world.New(seed, figures, controller.Config{MemoryMB: 512, MaxDescriptors: 8192, Settings: all, Tenants: shape,
		FieldNames:   controller.FieldNames{Tenant: "team", NotifyWait: "tell", RepeatOf: "first"},
		ClientLimits: []controller.ClientLimits{{Prefixes: ClientPrefixes, MaxOpenQueries: 100_000, MaxMessagesPerSweep: 100_000}}})
	n.sampleWaits()
	return n
}

// sampleWaits looks every 2 ms whether somebody waits while an engine idles, and how
// long teams go without a start.
func (n *FairnessRun) sampleWaits() {
	const every = 2 * time.Millisecond
	n.ScheduleAfter(every, n.sampleWaits)
	clear(n.waitingQueries)
	waits := false
	for _, a := range n.Queries[n.firstOpen:] {
		if a.StartedAt > n.lastStart[a.Team] {
			n.lastStart[a.Team] = a.StartedAt
		}
		if a.StartedAt < 0 && !a.Answered && !a.Cancelled && n.Now-a.SubmittedAt > every {
			n.waitingQueries[a.Team]++
			waits = waits || a.Group != "load" // loads wait for their order too
		}
	}
	for n.firstOpen < len(n.Queries) && (n.Queries[n.firstOpen].Answered || n.Queries[n.firstOpen].Cancelled) {
		n.firstOpen++
	}
	for _, name := range n.TenantNames {
		if n.waitingQueries[name] == 0 {
			delete(n.waitingSince, name)
			continue
		}
		since, had := n.waitingSince[name]
		if !had || n.lastStart[name] > since {
			since = max(n.lastStart[name], since)
			if !had {
				since = n.Now
			}
			n.waitingSince[name] = since
		}
		n.MaxStartGap = max(n.MaxStartGap, n.Now-since)
	}
	if !waits {
		return
	}
	n.WaitTime += every
	for _, e := range n.Engines {
		if e.Phase != "SERVING" || e.Unreachable() {
			continue
		}
		if _, cores, _, _ := e.LoadReport(n.Now); cores < 1-1.0/e.Cores {
			n.IdleTime += every
			break
		}
	}
}

// SubmitQuery has a team ask for one query of a kind.
func (n *FairnessRun) SubmitQuery(team string, k WorkloadGroup, plan float64) *world.Query {
	c := n.clients[team]
	if c == nil || c.Closed {
		c = n.Connect(team, ClientAddress)
		n.clients[team] = c
	}
	n.serial++
	id := fmt.Sprintf("%016x", uint64(n.serial)<<20|n.rng.Uint64()&0xfffff)
	w := engine.Work{Threads: k.Threads, MemoryMB: k.MemoryMB, TableGroup: int64(n.rng.IntN(200)), Load: k.Load, Rows: k.Rows, PlanFactor: plan}
	w.CPU = time.Duration(float64(k.CPU) * math.Exp(n.rng.NormFloat64()*k.CPUSigma-k.CPUSigma*k.CPUSigma/2))
	w.Disk = time.Duration(float64(w.CPU) / k.Threads * k.DiskPerCPU)
	key := ""
	if k.Load {
		key = fmt.Sprintf("k%d", n.rng.IntN(4000))
	}
	more := []string{"team", team}
	if n.hasFairQueue {
		more = append(more, "tell", "1")
	}
	a := c.Submit(id, k.Name, key, k.Patience, w, more...)
	n.Queries = append(n.Queries, a)
	return a
}

// randomGroup draws one of the mix.
func (n *FairnessRun) randomGroup() WorkloadGroup {
	x := n.rng.Float64()
	for _, k := range n.Groups {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return n.Groups[0]
}

// meanCPUSeconds is the core time of a query of the mix, in seconds.
func (n *FairnessRun) meanCPUSeconds() (sum float64) {
	for _, k := range n.Groups {
		sum += k.Share * k.CPU.Seconds()
	}
	return sum
}

// SubmitAtRate has a team ask at a rate of its own, a part of all engines' capacity,
// from one time to another; arrivals don't wait for answers.
func (n *FairnessRun) SubmitAtRate(team string, part float64, from, to time.Duration, plan func() float64) {
	if part < 1e-6 {
		return
	}
	mean := n.meanCPUSeconds() / (part * n.capacity)
	var next func()
	next = func() {
		if n.Now >= to {
			return
		}
		p := 1.0
		if plan != nil {
			p = plan()
		}
		n.SubmitQuery(team, n.randomGroup(), p)
		n.ScheduleAfter(time.Duration(n.rng.ExpFloat64()*mean*float64(time.Second)), next)
	}
	n.Schedule(from+time.Duration(n.rng.ExpFloat64()*mean*float64(time.Second)), next)
}

// isEstimateAccurate: an estimate is within a fifth of the wait, or 25 ms of a short one.
func isEstimateAccurate(told, had time.Duration) bool {
	return (told - had).Abs() <= max(25*time.Millisecond, had/5)
}

// EstimateSummary is how well first estimates held.
type EstimateSummary struct {
	Accurate, Started int
	WorstRatio        float64 // the largest wait had over the one told
	P99               time.Duration
	Finished          int
	Deferred          int
	Killed            int
}

func (t EstimateSummary) AccurateShare() float64 {
	return float64(t.Accurate) / float64(max(1, t.Started))
}

// EvaluateEstimates compares first estimates with waits had, of those that started.
func (n *FairnessRun) EvaluateEstimates(of func(a *world.Query) bool) (t EstimateSummary) {
	var waits []time.Duration
	for _, a := range n.Queries {
		if a.SubmittedAt >= fairnessLoadDuration || of != nil && !of(a) { // load goes on until those counted have started
			continue
		}
		if a.Answered {
			switch a.Answer {
			case client.Finished:
				t.Finished++
			case client.Deferred:
				t.Deferred++
			case client.Killed:
				t.Killed++
			}
		}
		if a.StartedAt < 0 {
			continue
		}
		had, told := a.StartedAt-a.SubmittedAt, max(0, a.FirstWait)
		waits = append(waits, had)
		t.Started++
		if isEstimateAccurate(told, had) {
			t.Accurate++
		}
		if had < 125*time.Millisecond {
			continue
		}
		t.WorstRatio = max(t.WorstRatio, had.Seconds()/max(told.Seconds(), 0.025))
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		t.P99 = waits[len(waits)*99/100]
	}
	return t
}

// JainIndex is the fairness index of what teams used against their weights, from one
// time to another: 1 is exactly by weight.
func (n *FairnessRun) JainIndex(from, to time.Duration) float64 {
	used := map[string]float64{}
	for _, a := range n.Queries {
		if a.StartedAt >= from && a.StartedAt < to {
			used[a.Team] += a.Work.CPU.Seconds()
		}
	}
	sum, squares := 0.0, 0.0
	for i, name := range n.TenantNames {
		x := used[name] / n.TenantShares[i]
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(n.TenantNames)) * squares)
}

// loadPattern is one way of load.
type loadPattern struct {
	name       string
	reportOnly bool // printed beside, not counted
	submit     func(n *FairnessRun)
}

const fairnessLoadDuration = 40 * time.Second

func loadPatterns() []loadPattern {
	each := func(n *FairnessRun, part float64, from, to time.Duration, plan func() float64) {
		for i, name := range n.TenantNames {
			n.SubmitAtRate(name, part*n.TenantShares[i], from, to, plan)
		}
	}
	return []loadPattern{
		{name: "steady", submit: func(n *FairnessRun) { each(n, 1.3, 0, fairnessLoadDuration+fairqueue.DefaultAgeingLimit, nil) }},
		{name: "alert", submit: func(n *FairnessRun) {
			each(n, 0.5, 0, fairnessLoadDuration, nil)
			for at := 5 * time.Second; at < fairnessLoadDuration; at += 12 * time.Second {
				n.Schedule(at, func() {
					for i, name := range n.TenantNames { // all at once, over a third of a second
						n.SubmitAtRate(name, 9*n.TenantShares[i], n.Now, n.Now+time.Second/3, nil)
					}
				})
			}
		}},
		{name: "badplans", submit: func(n *FairnessRun) {
			each(n, 1.1, 0, fairnessLoadDuration+fairqueue.DefaultAgeingLimit, func() float64 {
				if n.rng.Float64() < 0.005 {
					return 20
				}
				return 1
			})
		}},
		{name: "enginelost", reportOnly: true, submit: func(n *FairnessRun) {
			each(n, 1.1, 0, fairnessLoadDuration+fairqueue.DefaultAgeingLimit, nil)
			n.Schedule(15*time.Second, func() { n.Engines[0].Crash(30 * time.Second) })
		}},
	}
}

func emptyQueueConfig() *fairqueue.Config { return &fairqueue.Config{} }

// MeasureFairness is the measurement of fair queues: patterns of load in virtual time
// against stand-in engines, printed one by one, and a last line of all.
func MeasureFairness(out io.Writer, seed uint64, detail bool) error {
	const engines = 6
	counted := EstimateSummary{}
	worst, gap, idle, wait := 0.0, time.Duration(0), time.Duration(0), time.Duration(0)
	var faults []string
	for _, p := range loadPatterns() {
		n := NewFairnessRun(seed, engines, DefaultWorkload(), DefaultTenants(), emptyQueueConfig(), nil)
		p.submit(n)
		n.RunUntil(fairnessLoadDuration + 20*time.Second)
		faults = append(faults, n.History.Finish(n.Now)...)
		t := n.EvaluateEstimates(nil)
		fmt.Fprintf(out, "%-11s started %5d within20 %.3f finished %5d deferred %5d killed %d wait p99 %.2fs gap %.2fs idle while waiting %.4f\n",
			p.name, t.Started, t.AccurateShare(), t.Finished, t.Deferred, t.Killed, t.P99.Seconds(), n.MaxStartGap.Seconds(), durationRatio(n.IdleTime, n.WaitTime))
		for _, k := range n.Groups {
			t := n.EvaluateEstimates(func(a *world.Query) bool { return a.Group == k.Name })
			fmt.Fprintf(out, "  %-9s started %5d within20 %.3f deferred %5d wait p99 %.2fs\n", k.Name, t.Started, t.AccurateShare(), t.Deferred, t.P99.Seconds())
		}
		if detail {
			n.printEstimateErrors(out)
		}
		gap = max(gap, n.MaxStartGap)
		if p.reportOnly {
			continue
		}
		counted.Started, counted.Accurate = counted.Started+t.Started, counted.Accurate+t.Accurate
		worst = max(worst, t.WorstRatio)
		idle, wait = idle+n.IdleTime, wait+n.WaitTime
	}
	jain := [2]float64{}
	for i, s := range []*fairqueue.Config{emptyQueueConfig(), nil} {
		n := NewFairnessRun(seed, engines, DefaultWorkload(), DefaultTenants(), s, nil)
		for _, name := range n.TenantNames { // all alike, whatever their weights: far more than any share
			n.SubmitAtRate(name, 4.0/float64(len(n.TenantNames)), 0, 45*time.Second, nil)
		}
		n.RunUntil(60 * time.Second)
		faults = append(faults, n.History.Finish(n.Now)...)
		jain[i] = n.JainIndex(10*time.Second, 45*time.Second)
	}
	fmt.Fprintf(out, "jain over weighted shares: teams %.4f, first in first out (the program before) %.4f\n", jain[0], jain[1])
	p99 := [2]time.Duration{}
	for i, plan := range []float64{1, 20} {
		var waits []time.Duration
		for part := range uint64(3) { // three nights: one's slowest hundredth is a matter of a few queries
			n := NewFairnessRun(seed+part<<32, engines, DefaultWorkload(), DefaultTenants(), emptyQueueConfig(), nil)
			for k, name := range n.TenantNames {
				n.SubmitAtRate(name, 0.9*n.TenantShares[k], 0, 30*time.Second, nil)
			}
			for at := 2 * time.Second; at < 30*time.Second; at += 12 * time.Second { // one at a time
				n.Schedule(at, func() { n.SubmitQuery(n.TenantNames[0], n.Groups[1], plan) })
			}
			n.RunUntil(45 * time.Second)
			faults = append(faults, n.History.Finish(n.Now)...)
			for _, a := range n.Queries {
				if a.StartedAt >= 0 && a.Team != n.TenantNames[0] {
					waits = append(waits, a.StartedAt-a.SubmittedAt)
				}
			}
		}
		slices.Sort(waits)
		p99[i] = waits[len(waits)*99/100]
	}
	bad := max(p99[1].Seconds(), 0.001) / max(p99[0].Seconds(), 0.001)
	fmt.Fprintf(out, "p99 wait of the others: %v without bad plans, %v with, ratio %.3f\n", p99[0], p99[1], bad)
	us := TimeFairQueue(10_000, 100_000, 300_000)
	for _, f := range faults {
		fmt.Fprintln(out, "broken:", f)
	}
	fmt.Fprintf(out, "measured within20=%.4f worst_wait_ratio=%.3f idle_while_waiting=%.5f max_start_gap_s=%.3f bound_s=%.3f jain=%.4f jain_before=%.4f bad_plan_ratio=%.3f us_per_query=%.3f broken=%d\n",
		counted.AccurateShare(), worst, durationRatio(idle, wait), gap.Seconds(), fairqueue.DefaultAgeingLimit.Seconds()*1.25, jain[0], jain[1], bad, us, len(faults))
	if len(faults) > 0 {
		return fmt.Errorf("%d rules broken", len(faults))
	}
	return nil
}

// printEstimateErrors tells by kind where first estimates were off: of waits that are short,
// under 125 ms, and long ones told too short or too long, by when they came.
func (n *FairnessRun) printEstimateErrors(out io.Writer) {
	for _, k := range n.Groups {
		var shortOK, shortOff, longOK, under, over int
		when := map[string]int{}
		for _, a := range n.Queries {
			if a.Group != k.Name || a.StartedAt < 0 || a.SubmittedAt >= fairnessLoadDuration {
				continue
			}
			had, told := a.StartedAt-a.SubmittedAt, max(0, a.FirstWait)
			at := int(a.SubmittedAt/(2*time.Second)) * 2
			switch off := had - told; {
			case had < 125*time.Millisecond && off.Abs() <= 25*time.Millisecond:
				shortOK++
			case had < 125*time.Millisecond:
				shortOff++
			case off > had/5:
				under++
				when[fmt.Sprintf("short@%02d", at)]++
			case -off > had/5:
				over++
				when[fmt.Sprintf("long@%02d", at)]++
			default:
				longOK++
			}
		}
		fmt.Fprintf(out, "  %-9s short waits: good %d off %d, long waits: good %d told short %d told long %d %v\n", k.Name,
			shortOK, shortOff, longOK, under, over, when)
	}
}

func durationRatio(a, b time.Duration) float64 { return a.Seconds() / max(b.Seconds(), 1e-9) }

// TimeFairQueue is the time of one in and one out, in microseconds, with so many
// teams and queries waiting.
func TimeFairQueue(teams, waiting, rounds int) float64 {
	s := fairqueue.Config{Lanes: []fairqueue.Lane{{Name: "a", Threads: 1, PriorityWeight: 1, InitialWorkEstimate: 50 * time.Millisecond},
		{Name: "b", Threads: 3, PriorityWeight: 5, InitialWorkEstimate: 500 * time.Millisecond}}, AgeingLimit: time.Hour, MaxWaiting: 2 * waiting}
	for i := range 100 {
		k := fairqueue.Tenant{Name: "k" + strconv.Itoa(i), Weight: 1 + float64(i%7)}
		for j := range teams / 100 {
			k.Children = append(k.Children, fairqueue.Tenant{Name: fmt.Sprintf("t%d-%d", i, j), Weight: 1 + float64(j%5)})
		}
		s.Tenants = append(s.Tenants, k)
	}
	c := fairqueue.New(s)
	all := make([]fairqueue.Query, waiting+1)
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Duration(1)
	enter := func(w *fairqueue.Query) {
		*w = fairqueue.Query{Lane: rng.IntN(2), Tenant: tenantNumber(rng.IntN(teams)), Key: -1, Chain: -1, Deadline: time.Hour}
		c.Enqueue(now, w)
	}
	c.SetLaneFull(now, 0, true)
	c.SetLaneFull(now, 1, true)
	for i := range waiting {
		enter(&all[i])
	}
	free := []*fairqueue.Query{&all[waiting]} // one goes out for each that comes in, or nearly
	runtime.GC()
	start := time.Now()
	for i := range rounds {
		now += 10 * time.Microsecond
		if len(free) == 0 {
			free = append(free, &fairqueue.Query{})
		}
		last := len(free) - 1
		enter(free[last])
		free = free[:last]
		if w := c.Next(now, i%2); w != nil {
			c.Started(now, w)
			c.Ended(now, w, fairqueue.Finished, 0, 0)
			free = append(free, w)
		}
	}
	return float64(time.Since(start).Microseconds()) / float64(rounds)
}

// tenantNumber is the number of the n-th team of SpeedFair's tree: kinds stand between.
func tenantNumber(n int) int {
	return n/100*101 + n%100 + 1
}

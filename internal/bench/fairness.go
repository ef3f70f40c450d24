// Package bench runs the controller against emulated engines and clients, and measures its performance and
// behaviour.
package bench

import (
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/controller"
	"railrelay.dev/railrelay/internal/emulator/client"
	"railrelay.dev/railrelay/internal/emulator/engine"
	"railrelay.dev/railrelay/internal/emulator/world"
	"railrelay.dev/railrelay/internal/fairqueue"
)

// ClientPrefixes contains the addresses of all emulated clients. ClientAddress is the address of one client.
var (
	ClientPrefixes = []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	ClientAddress  = netip.MustParseAddr("10.1.2.3")
)

// WorkloadGroup is a resource group and the queries that the emulated clients submit to it.
type WorkloadGroup struct {
	Name       string
	Share      float64 // fraction of all queries
	Threads    float64
	CPU        time.Duration // mean CPU time of a query, sum over all threads
	CPUSigma   float64       // standard deviation of the logarithm of the CPU time
	DiskPerCPU float64       // disk time as a fraction of a thread's CPU time
	MemoryMB   float64
	Patience   time.Duration // time after which the client stops waiting
	Target     time.Duration
	Value      float64
	Load       bool
	Rows       int
}

// DefaultWorkload returns a mix of small lookups, heavy reports, and loads that run in order.
func DefaultWorkload() []WorkloadGroup {
	return []WorkloadGroup{
		{Name: "lookup", Share: 0.60, Threads: 1, CPU: 60 * time.Millisecond, CPUSigma: 0.5,
			DiskPerCPU: 0.1, MemoryMB: 32,
			Patience: 5 * time.Second, Target: time.Second, Value: 2, Rows: 3},
		{Name: "report", Share: 0.25, Threads: 3, CPU: 900 * time.Millisecond, CPUSigma: 0.5,
			DiskPerCPU: 0.1, MemoryMB: 300,
			Patience: 12 * time.Second, Target: 2 * time.Second, Value: 10, Rows: 40},
		{Name: "load", Share: 0.15, Threads: 2, CPU: 300 * time.Millisecond, CPUSigma: 0.4,
			DiskPerCPU: 0.2, MemoryMB: 200,
			Patience: 12 * time.Second, Target: 3 * time.Second, Value: 6, Load: true, Rows: 1},
	}
}

// ControllerSettings returns the controller's settings for a workload and for engines of one configuration.
func ControllerSettings(groups []WorkloadGroup, engineConfig engine.Config) map[string]string {
	settings := map[string]string{
		"gateways": "1", "own.number": "0", "groups": strconv.Itoa(len(groups)), "kinds": "std",
		"locations": "here", "kind.cores": fmt.Sprint(engineConfig.Cores),
		"kind.memory": fmt.Sprint(engineConfig.MemoryMB), "grant.most": "0.4", "may.grant": "true",
		"may.prioritise": "true", "may.cancel": "true", "may.probe": "true", "may.copy": "true",
		"may.name-return": "true", "return.most": "60000", "submissions.most": "3", "note.period": "2000",
		"tick": "5", "memory.short": "swap", "drain.grace": "1000", "report.how": "probed", "cold.from": "0.33",
		"answers.cost": "true", "cold.span": "15000", "cold.multiple": "3", "cold.window": "1000",
		"key.rest": "300", "list.how": "pushed", "connect.timeout": "250", "idle.most": "15000",
	}
	var threads, loads, waits string
	for i, group := range groups {
		if i > 0 {
			threads, loads, waits = threads+",", loads+",", waits+","
		}
		threads, loads, waits =
			threads+fmt.Sprint(group.Threads), loads+fmt.Sprint(group.Load), waits+fmt.Sprint(i == 0)
		prefix := "group." + strconv.Itoa(i) + "."
		maps.Copy(settings, map[string]string{
			prefix + "name":       group.Name,
			prefix + "value":      fmt.Sprint(group.Value),
			prefix + "target":     fmt.Sprint(group.Target.Milliseconds()),
			prefix + "timeout":    "30000",
			prefix + "stretch":    "2",
			prefix + "effect":     "read-only",
			prefix + "scope":      "all",
			prefix + "window":     "5000",
			prefix + "late-share": "0.4",
		})
		if group.Load {
			settings[prefix+"effect"], settings[prefix+"in-order"] = "mutating", "true"
		}
	}
	settings["threads"], settings["loads"], settings["waits"] = threads, loads, waits
	return settings
}

// DefaultTenants returns a tree of three groups with four tenants each. The weights differ at both levels.
func DefaultTenants() []fairqueue.Tenant {
	var groups []fairqueue.Tenant
	for i, name := range []string{"municipalities", "brigades", "gauges"} {
		group := fairqueue.Tenant{Name: name, Weight: float64(3 - i)}
		for j := range 4 {
			group.Children = append(group.Children,
				fairqueue.Tenant{Name: fmt.Sprintf("%s-%d", name, j+1), Weight: float64(1 + j%2)})
		}
		groups = append(groups, group)
	}
	return groups
}

// eachLeafTenant calls visit for each tenant without children, with the tenant's part of share. At each level
// of the tree, the share is divided in proportion to the weights.
func eachLeafTenant(tenants []fairqueue.Tenant, share float64, visit func(name string, share float64)) {
	totalWeight := 0.0
	for _, tenant := range tenants {
		totalWeight += tenant.Weight
	}
	for _, tenant := range tenants {
		if len(tenant.Children) == 0 {
			visit(tenant.Name, share*tenant.Weight/totalWeight)
		} else {
			eachLeafTenant(tenant.Children, share*tenant.Weight/totalWeight, visit)
		}
	}
}

// FairnessRun is a run of a controller in virtual time with the queries of several tenants.
type FairnessRun struct {
	*world.World
	Groups       []WorkloadGroup
	TenantNames  []string
	TenantShares []float64
	Queries      []*world.Query
	rng          *rand.Rand
	clients      map[string]*world.Client
	capacity     float64 // core seconds per second of all engines
	serial       int     // number of the last query
	hasFairQueue bool

	// WaitTime is the time in which at least one query that isn't a load waited. IdleTime is the part of
	// WaitTime in which an engine had a free core.
	IdleTime, WaitTime time.Duration
	waitingSince       map[string]time.Duration // by tenant: time since which queries wait and none has started
	waitingQueries     map[string]int           // by tenant: number of waiting queries
	lastStart          map[string]time.Duration // by tenant: start of the latest started query
	firstOpen          int                      // index in Queries; earlier queries are answered or cancelled
	// MaxStartGap is the longest time for which queries of a tenant waited while none of them started.
	MaxStartGap time.Duration
}

// NewFairnessRun creates a run with equal engines. If queueConfig is nil, the controller has no fair queue.
// settings overrides entries of ControllerSettings.
func NewFairnessRun(
	seed uint64, engines int, groups []WorkloadGroup, tenants []fairqueue.Tenant,
	queueConfig *fairqueue.Config, settings map[string]string,
) *FairnessRun {
	engineConfig := engine.DefaultConfig()
	engineConfig.DiskParallelism = 16
	engineConfigs := make([]engine.Config, engines)
	for i := range engineConfigs {
		engineConfigs[i] = engineConfig
	}
	allSettings := ControllerSettings(groups, engineConfig)
	maps.Copy(allSettings, settings)
	if queueConfig != nil {
		queueConfig.Tenants, queueConfig.TrustedAddresses = tenants, ClientPrefixes
	}
	run := &FairnessRun{
		Groups:         groups,
		rng:            rand.New(rand.NewPCG(seed, 2)),
		clients:        map[string]*world.Client{},
		capacity:       float64(engines) * engineConfig.Cores,
		hasFairQueue:   queueConfig != nil,
		waitingSince:   map[string]time.Duration{},
		waitingQueries: map[string]int{},
		lastStart:      map[string]time.Duration{},
	}
	eachLeafTenant(tenants, 1, func(name string, share float64) {
		run.TenantNames, run.TenantShares = append(run.TenantNames, name), append(run.TenantShares, share)
	})
	run.World = world.New(seed, engineConfigs, controller.Config{
		MemoryMB:       512,
		MaxDescriptors: 8192,
		Settings:       allSettings,
		Tenants:        queueConfig,
		FieldNames:     controller.FieldNames{Tenant: "team", NotifyWait: "tell", RepeatOf: "first"},
		ClientLimits: []controller.ClientLimits{
			{Prefixes: ClientPrefixes, MaxOpenQueries: 100_000, MaxMessagesPerSweep: 100_000},
		},
	})
	run.sampleWaits()
	return run
}

// sampleWaits updates IdleTime, WaitTime and MaxStartGap, and schedules itself every 2 ms.
func (run *FairnessRun) sampleWaits() {
	const interval = 2 * time.Millisecond
	run.ScheduleAfter(interval, run.sampleWaits)
	clear(run.waitingQueries)
	isAnyWaiting := false
	for _, query := range run.Queries[run.firstOpen:] {
		if query.StartedAt > run.lastStart[query.Tenant] {
			run.lastStart[query.Tenant] = query.StartedAt
		}
		if query.StartedAt < 0 && !query.Answered && !query.Cancelled && run.Now-query.SubmittedAt > interval {
			run.waitingQueries[query.Tenant]++
			isAnyWaiting = isAnyWaiting || query.Group != "load" // a load may also wait for earlier loads
		}
	}
	for run.firstOpen < len(run.Queries) &&
		(run.Queries[run.firstOpen].Answered || run.Queries[run.firstOpen].Cancelled) {
		run.firstOpen++
	}
	for _, name := range run.TenantNames {
		if run.waitingQueries[name] == 0 {
			delete(run.waitingSince, name)
			continue
		}
		since, found := run.waitingSince[name]
		if !found || run.lastStart[name] > since {
			since = max(run.lastStart[name], since)
			if !found {
				since = run.Now
			}
			run.waitingSince[name] = since
		}
		run.MaxStartGap = max(run.MaxStartGap, run.Now-since)
	}
	if !isAnyWaiting {
		return
	}
	run.WaitTime += interval
	for _, emulated := range run.Engines {
		if emulated.Phase != "SERVING" || emulated.Unreachable() {
			continue
		}
		if _, cores, _, _ := emulated.LoadReport(run.Now); cores < 1-1.0/emulated.Cores {
			run.IdleTime += interval
			break
		}
	}
}

// SubmitQuery submits a query of a tenant. planFactor multiplies the query's CPU and disk time, so a factor
// above 1 stands for a bad query plan.
func (run *FairnessRun) SubmitQuery(tenant string, group WorkloadGroup, planFactor float64) *world.Query {
	connection := run.clients[tenant]
	if connection == nil || connection.Closed {
		connection = run.Connect(tenant, ClientAddress)
		run.clients[tenant] = connection
	}
	run.serial++
	id := fmt.Sprintf("%016x", uint64(run.serial)<<20|run.rng.Uint64()&0xfffff)
	work := engine.Work{
		Threads:    group.Threads,
		MemoryMB:   group.MemoryMB,
		TableGroup: int64(run.rng.IntN(200)),
		Load:       group.Load,
		Rows:       group.Rows,
		PlanFactor: planFactor,
	}
	work.CPU = time.Duration(float64(group.CPU) *
		math.Exp(run.rng.NormFloat64()*group.CPUSigma-group.CPUSigma*group.CPUSigma/2))
	work.Disk = time.Duration(float64(work.CPU) / group.Threads * group.DiskPerCPU)
	key := ""
	if group.Load {
		key = fmt.Sprintf("k%d", run.rng.IntN(4000))
	}
	fields := []string{"team", tenant}
	if run.hasFairQueue {
		fields = append(fields, "tell", "1")
	}
	query := connection.Submit(id, group.Name, key, group.Patience, work, fields...)
	run.Queries = append(run.Queries, query)
	return query
}

// randomGroup draws a group. A group's probability is its share of the queries.
func (run *FairnessRun) randomGroup() WorkloadGroup {
	x := run.rng.Float64()
	for _, group := range run.Groups {
		if x -= group.Share; x < 0 {
			return group
		}
	}
	return run.Groups[0]
}

// meanCPUSeconds returns the mean CPU time of a query, in seconds.
func (run *FairnessRun) meanCPUSeconds() (sum float64) {
	for _, group := range run.Groups {
		sum += group.Share * group.CPU.Seconds()
	}
	return sum
}

// SubmitAtRate submits a tenant's queries between two times, as a Poisson process that doesn't wait for
// answers. load is the queries' CPU time as a fraction of the capacity of all engines. planFactor is called
// for the planFactor of each query. If planFactor is nil, each query has the factor 1.
func (run *FairnessRun) SubmitAtRate(
	tenant string, load float64, from, to time.Duration, planFactor func() float64,
) {
	if load < 1e-6 {
		return
	}
	meanInterval := run.meanCPUSeconds() / (load * run.capacity)
	var submitNext func()
	submitNext = func() {
		if run.Now >= to {
			return
		}
		factor := 1.0
		if planFactor != nil {
			factor = planFactor()
		}
		run.SubmitQuery(tenant, run.randomGroup(), factor)
		run.ScheduleAfter(time.Duration(run.rng.ExpFloat64()*meanInterval*float64(time.Second)), submitNext)
	}
	run.Schedule(from+time.Duration(run.rng.ExpFloat64()*meanInterval*float64(time.Second)), submitNext)
}

// isEstimateAccurate reports whether an estimate differs from the actual wait by at most a fifth of the
// wait, or by at most 25 ms.
func isEstimateAccurate(estimate, wait time.Duration) bool {
	return (estimate - wait).Abs() <= max(25*time.Millisecond, wait/5)
}

// EstimateSummary is a summary of how accurate the queries' first wait estimates were, and of the answers.
type EstimateSummary struct {
	Accurate, Started int           // queries with an accurate estimate, and queries that started
	WorstRatio        float64       // largest ratio of a wait of at least 125 ms to its estimate
	P99               time.Duration // 99th percentile of the waits
	Finished          int
	Deferred          int
	Killed            int
}

// AccurateShare returns the fraction of the started queries that had an accurate estimate.
func (s EstimateSummary) AccurateShare() float64 {
	return float64(s.Accurate) / float64(max(1, s.Started))
}

// EvaluateEstimates compares the queries' first wait estimates with the actual waits. It counts the queries
// that filter accepts, or all queries if filter is nil. Queries submitted after fairnessLoadDuration are not
// counted: they only keep up the load until the earlier queries have started.
func (run *FairnessRun) EvaluateEstimates(filter func(query *world.Query) bool) (summary EstimateSummary) {
	var waits []time.Duration
	for _, query := range run.Queries {
		if query.SubmittedAt >= fairnessLoadDuration || filter != nil && !filter(query) {
			continue
		}
		if query.Answered {
			switch query.Answer {
			case client.Finished:
				summary.Finished++
			case client.Deferred:
				summary.Deferred++
			case client.Killed:
				summary.Killed++
			}
		}
		if query.StartedAt < 0 {
			continue
		}
		wait, estimate := query.StartedAt-query.SubmittedAt, max(0, query.FirstWait)
		waits = append(waits, wait)
		summary.Started++
		if isEstimateAccurate(estimate, wait) {
			summary.Accurate++
		}
		if wait < 125*time.Millisecond {
			continue
		}
		summary.WorstRatio = max(summary.WorstRatio, wait.Seconds()/max(estimate.Seconds(), 0.025))
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		summary.P99 = waits[len(waits)*99/100]
	}
	return summary
}

// JainIndex returns Jain's fairness index of the tenants' CPU time relative to their shares, for the
// queries that started between two times. It is 1 if the CPU time is exactly proportional to the shares.
func (run *FairnessRun) JainIndex(from, to time.Duration) float64 {
	cpuSeconds := map[string]float64{}
	for _, query := range run.Queries {
		if query.StartedAt >= from && query.StartedAt < to {
			cpuSeconds[query.Tenant] += query.Work.CPU.Seconds()
		}
	}
	sum, squares := 0.0, 0.0
	for i, name := range run.TenantNames {
		x := cpuSeconds[name] / run.TenantShares[i]
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(run.TenantNames)) * squares)
}

// loadPattern is one way in which the tenants submit queries.
type loadPattern struct {
	name       string
	reportOnly bool // printed, but not part of the totals
	submit     func(run *FairnessRun)
}

// fairnessLoadDuration is the time from the start of a run during which EvaluateEstimates counts the
// submitted queries.
const fairnessLoadDuration = 40 * time.Second

func loadPatterns() []loadPattern {
	submitAll := func(run *FairnessRun, load float64, from, to time.Duration, planFactor func() float64) {
		for i, name := range run.TenantNames {
			run.SubmitAtRate(name, load*run.TenantShares[i], from, to, planFactor)
		}
	}
	return []loadPattern{
		{name: "steady", submit: func(run *FairnessRun) {
			submitAll(run, 1.3, 0, fairnessLoadDuration+fairqueue.DefaultAgeingLimit, nil)
		}},
		{name: "alert", submit: func(run *FairnessRun) {
			submitAll(run, 0.5, 0, fairnessLoadDuration, nil)
			for at := 5 * time.Second; at < fairnessLoadDuration; at += 12 * time.Second {
				run.Schedule(at, func() {
					for i, name := range run.TenantNames { // a burst of all tenants within a third of a second
						run.SubmitAtRate(name, 9*run.TenantShares[i], run.Now, run.Now+time.Second/3, nil)
					}
				})
			}
		}},
		{name: "badplans", submit: func(run *FairnessRun) {
			submitAll(run, 1.1, 0, fairnessLoadDuration+fairqueue.DefaultAgeingLimit, func() float64 {
				if run.rng.Float64() < 0.005 {
					return 20
				}
				return 1
			})
		}},
		{name: "enginelost", reportOnly: true, submit: func(run *FairnessRun) {
			submitAll(run, 1.1, 0, fairnessLoadDuration+fairqueue.DefaultAgeingLimit, nil)
			run.Schedule(15*time.Second, func() { run.Engines[0].Crash(30 * time.Second) })
		}},
	}
}

func emptyQueueConfig() *fairqueue.Config { return &fairqueue.Config{} }

// MeasureFairness measures the waits under the fair queue in virtual time with emulated engines, and the real
// time that the fair queue takes per query. It prints the results of each load pattern, and a last line with
// the totals.
func MeasureFairness(out io.Writer, seed uint64, detail bool) error {
	const engines = 6
	total := EstimateSummary{}
	worstRatio, maxGap, idleTime, waitTime := 0.0, time.Duration(0), time.Duration(0), time.Duration(0)
	var violations []string
	for _, pattern := range loadPatterns() {
		run := NewFairnessRun(seed, engines, DefaultWorkload(), DefaultTenants(), emptyQueueConfig(), nil)
		pattern.submit(run)
		run.RunUntil(fairnessLoadDuration + 20*time.Second)
		violations = append(violations, run.History.Finish(run.Now)...)
		summary := run.EvaluateEstimates(nil)
		fmt.Fprintf(out, "%-11s started %5d within20 %.3f finished %5d deferred %5d killed %d "+
			"wait p99 %.2fs gap %.2fs idle while waiting %.4f\n",
			pattern.name, summary.Started, summary.AccurateShare(), summary.Finished, summary.Deferred,
			summary.Killed, summary.P99.Seconds(), run.MaxStartGap.Seconds(),
			durationRatio(run.IdleTime, run.WaitTime))
		for _, group := range run.Groups {
			summary := run.EvaluateEstimates(func(query *world.Query) bool { return query.Group == group.Name })
			fmt.Fprintf(out, "  %-9s started %5d within20 %.3f deferred %5d wait p99 %.2fs\n", group.Name,
				summary.Started, summary.AccurateShare(), summary.Deferred, summary.P99.Seconds())
		}
		if detail {
			run.printEstimateErrors(out)
		}
		maxGap = max(maxGap, run.MaxStartGap)
		if pattern.reportOnly {
			continue
		}
		total.Started, total.Accurate = total.Started+summary.Started, total.Accurate+summary.Accurate
		worstRatio = max(worstRatio, summary.WorstRatio)
		idleTime, waitTime = idleTime+run.IdleTime, waitTime+run.WaitTime
	}
	jain := [2]float64{}
	for i, queueConfig := range []*fairqueue.Config{emptyQueueConfig(), nil} {
		run := NewFairnessRun(seed, engines, DefaultWorkload(), DefaultTenants(), queueConfig, nil)
		// All tenants submit at the same rate, which is far above every tenant's share.
		for _, name := range run.TenantNames {
			run.SubmitAtRate(name, 4.0/float64(len(run.TenantNames)), 0, 45*time.Second, nil)
		}
		run.RunUntil(60 * time.Second)
		violations = append(violations, run.History.Finish(run.Now)...)
		jain[i] = run.JainIndex(10*time.Second, 45*time.Second)
	}
	fmt.Fprintf(out, "Jain's index over weighted shares: %.4f with the fair queue, %.4f without it (FIFO)\n",
		jain[0], jain[1])
	p99 := [2]time.Duration{}
	for i, planFactor := range []float64{1, 20} {
		var waits []time.Duration
		for part := range uint64(3) { // three runs, since the p99 of one run depends on only a few queries
			run := NewFairnessRun(seed+part<<32, engines, DefaultWorkload(), DefaultTenants(), emptyQueueConfig(), nil)
			for k, name := range run.TenantNames {
				run.SubmitAtRate(name, 0.9*run.TenantShares[k], 0, 30*time.Second, nil)
			}
			for at := 2 * time.Second; at < 30*time.Second; at += 12 * time.Second { // the queries with planFactor
				run.Schedule(at, func() { run.SubmitQuery(run.TenantNames[0], run.Groups[1], planFactor) })
			}
			run.RunUntil(45 * time.Second)
			violations = append(violations, run.History.Finish(run.Now)...)
			for _, query := range run.Queries {
				if query.StartedAt >= 0 && query.Tenant != run.TenantNames[0] {
					waits = append(waits, query.StartedAt-query.SubmittedAt)
				}
			}
		}
		slices.Sort(waits)
		p99[i] = waits[len(waits)*99/100]
	}
	badPlanRatio := max(p99[1].Seconds(), 0.001) / max(p99[0].Seconds(), 0.001)
	fmt.Fprintf(out, "p99 wait of the other tenants: %v without bad plans, %v with, ratio %.3f\n",
		p99[0], p99[1], badPlanRatio)
	microseconds := TimeFairQueue(10_000, 100_000, 300_000)
	for _, violation := range violations {
		fmt.Fprintln(out, "broken:", violation)
	}
	fmt.Fprintf(out, "measured within20=%.4f worst_wait_ratio=%.3f idle_while_waiting=%.5f "+
		"max_start_gap_s=%.3f bound_s=%.3f jain=%.4f jain_before=%.4f bad_plan_ratio=%.3f "+
		"us_per_query=%.3f broken=%d\n",
		total.AccurateShare(), worstRatio, durationRatio(idleTime, waitTime), maxGap.Seconds(),
		fairqueue.DefaultAgeingLimit.Seconds()*1.25, jain[0], jain[1], badPlanRatio, microseconds, len(violations))
	if len(violations) > 0 {
		return fmt.Errorf("%d invariants violated", len(violations))
	}
	return nil
}

// printEstimateErrors prints, for each group, the number of accurate and inaccurate first estimates of
// short waits (under 125 ms) and of long ones. Inaccurate estimates of long waits are also counted by the
// time of submission, in steps of 2 s.
func (run *FairnessRun) printEstimateErrors(out io.Writer) {
	for _, group := range run.Groups {
		var shortAccurate, shortInaccurate, longAccurate, underestimated, overestimated int
		byTime := map[string]int{}
		for _, query := range run.Queries {
			if query.Group != group.Name || query.StartedAt < 0 || query.SubmittedAt >= fairnessLoadDuration {
				continue
			}
			wait, estimate := query.StartedAt-query.SubmittedAt, max(0, query.FirstWait)
			second := int(query.SubmittedAt/(2*time.Second)) * 2
			switch difference := wait - estimate; {
			case wait < 125*time.Millisecond && difference.Abs() <= 25*time.Millisecond:
				shortAccurate++
			case wait < 125*time.Millisecond:
				shortInaccurate++
			case difference > wait/5:
				underestimated++
				byTime[fmt.Sprintf("under@%02d", second)]++
			case -difference > wait/5:
				overestimated++
				byTime[fmt.Sprintf("over@%02d", second)]++
			default:
				longAccurate++
			}
		}
		fmt.Fprintf(out, "  %-9s short waits: accurate %d inaccurate %d, "+
			"long waits: accurate %d underestimated %d overestimated %d %v\n", group.Name,
			shortAccurate, shortInaccurate, longAccurate, underestimated, overestimated, byTime)
	}
}

func durationRatio(a, b time.Duration) float64 { return a.Seconds() / max(b.Seconds(), 1e-9) }

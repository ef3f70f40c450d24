package fairqueue

import (
	"math"
	"slices"
	"time"
)

// engineModel simulates engines for a Queue. Each lane has a number of slots, and a query occupies
// one of them for its work divided by the threads of its lane.
type engineModel struct {
	t          interface{ Fatalf(string, ...any) }
	queue      *Queue
	now        time.Duration
	slots      []int
	running    []*job
	jobs       []*job
	usedWork   map[string]float64
	startOrder []*job
}

// job is a simulated query.
type job struct {
	Query
	tenant              string
	actualWork          float64 // thread seconds that the query really uses
	submittedAt, endsAt time.Duration
	started             bool
	ended               bool
	admission           Admission
}

var testLanes = []Lane{
	{Name: "lookup", Threads: 1, PriorityWeight: 2, InitialWorkEstimate: 50 * time.Millisecond},
	{Name: "report", Threads: 3, PriorityWeight: 5, InitialWorkEstimate: 600 * time.Millisecond},
	{Name: "load", Threads: 2, PriorityWeight: 5, InitialWorkEstimate: 300 * time.Millisecond,
		Ordered: true, Chained: true},
}

func newEngineModel(t interface{ Fatalf(string, ...any) }, config Config, slots ...int) *engineModel {
	if config.Lanes == nil {
		config.Lanes = testLanes
	}
	if err := config.Validate(); err != nil {
		t.Fatalf("%v", err)
	}
	m := &engineModel{t: t, queue: New(config), slots: slots, usedWork: map[string]float64{}}
	m.queue.SetCores(8)
	return m
}

func equalTenants(names ...string) (tenants []Tenant) {
	for _, name := range names {
		tenants = append(tenants, Tenant{Name: name, Weight: 1})
	}
	return tenants
}

func (m *engineModel) tenantIndex(name string) int {
	index, found := m.queue.resolver.byName[name]
	if !found {
		m.t.Fatalf("no team %s", name)
	}
	return index
}

func (m *engineModel) submit(tenant string, lane int, work float64, options ...func(*job)) *job {
	j := &job{tenant: tenant, actualWork: work, submittedAt: m.now}
	j.Query = Query{
		Owner: j, Lane: lane, Tenant: m.tenantIndex(tenant), Key: -1, Chain: -1, Deadline: m.now + time.Hour,
	}
	for _, option := range options {
		option(j)
	}
	m.jobs = append(m.jobs, j)
	if j.admission = m.queue.Enqueue(m.now, &j.Query); j.admission.Admitted {
		m.dispatchAll()
		m.queue.FirstEstimate(m.now, &j.Query)
	}
	return j
}

func withKey(id int64) func(*job)   { return func(j *job) { j.Key = id } }
func withChain(id int64) func(*job) { return func(j *job) { j.Chain = id } }

// pump dispatches queries as long as a lane has a free slot and an eligible query.
func (m *engineModel) dispatchAll() {
	for dispatched := true; dispatched; {
		dispatched = false
		for lane := range m.slots {
			running := 0
			for _, j := range m.running {
				if j.Lane == lane {
					running++
				}
			}
			full := running >= m.slots[lane]
			m.queue.SetLaneFull(m.now, lane, full)
			if full {
				continue
			}
			if q := m.queue.Next(m.now, lane); q != nil {
				j := q.Owner.(*job)
				j.started, j.endsAt = true, m.now+time.Duration(j.actualWork/testLanes[lane].Threads*1e9)
				m.queue.Started(m.now, q)
				m.running = append(m.running, j)
				m.startOrder = append(m.startOrder, j)
				dispatched = true
			}
		}
	}
}

// until advances the simulation to a time, with sweeps like those of the owner.
func (m *engineModel) runUntil(end time.Duration) {
	for {
		next := m.queue.sweptAt + SweepInterval
		for _, j := range m.running {
			next = min(next, j.endsAt)
		}
		if next > end {
			m.now = end
			return
		}
		m.now = max(m.now, next)
		for _, j := range slices.Clone(m.running) {
			if j.endsAt <= m.now {
				m.endQuery(j, Finished)
			}
		}
		if m.now >= m.queue.sweptAt+SweepInterval {
			m.queue.Sweep(m.now, nil, nil)
		}
		m.dispatchAll()
		m.checkInvariants()
	}
}

func (m *engineModel) endQuery(j *job, outcome Outcome) {
	m.running = slices.DeleteFunc(m.running, func(x *job) bool { return x == j })
	if j.ended = true; outcome == Finished {
		m.usedWork[j.tenant] += j.actualWork
		m.queue.Ended(m.now, &j.Query, outcome, time.Duration(j.actualWork*1e9), 0)
	} else {
		m.queue.Ended(m.now, &j.Query, outcome, 0, 0)
	}
}

// check compares the queue's counters, heaps and clocks with values computed from all jobs.
func (m *engineModel) checkInvariants() {
	waiting := make([]int, len(m.slots))
	backlog := make([]float64, len(m.slots))
	for _, j := range m.jobs {
		if j.Waiting() {
			waiting[j.Lane]++
			backlog[j.Lane] += j.estimatedWork
		}
	}
	sum := 0
	for i := range m.slots {
		l := &m.queue.lanes[i]
		if l.waiting != waiting[i] || math.Abs(m.queue.root.backlog[i]-backlog[i]) > 1e-6*(1+backlog[i]) {
			m.t.Fatalf("lane %d: %d queries wait, %d are counted; backlog %v, counted %v",
				i, waiting[i], l.waiting, backlog[i], m.queue.root.backlog[i])
		}
		sum += waiting[i]
	}
	if sum != m.queue.WaitingCount() {
		m.t.Fatalf("%d queries wait, %d are counted", sum, m.queue.WaitingCount())
	}
	activeWeight := 0.0
	for i := range m.queue.tenants {
		n := m.queue.tenants[i].state
		if n == nil {
			continue
		}
		if n.parent == m.queue.root && n.activeQueries > 0 {
			activeWeight += n.weight
		}
		if n.quota > 0 && n.overQuota != (n.tokens < 0) {
			m.t.Fatalf("%s: overQuota is %v with %v tokens", n.name, n.overQuota, n.tokens)
		}
		for lane := range n.heapPosition {
			if (n.heapPosition[lane] >= 0) != (n.eligible[lane] > 0) {
				m.t.Fatalf("%s: heap position %d with %d eligible queries",
					n.name, n.heapPosition[lane], n.eligible[lane])
			}
			if n.heapPosition[lane] < 0 {
				continue
			}
			h := n.parent.heaps[n.heapBand[lane]][lane]
			if h[n.heapPosition[lane]] != n || int(n.heapBand[lane]) != n.band(lane) {
				m.t.Fatalf("%s: wrong heap position or band in lane %d", n.name, lane)
			}
			if parent := (n.heapPosition[lane] - 1) / 2; n.heapPosition[lane] > 0 && startsBefore(n, h[parent], lane) {
				m.t.Fatalf("%s: precedes its parent in the heap", n.name)
			}
		}
	}
	if math.Abs(activeWeight-m.queue.root.activeChildWeight) > 1e-6*(1+activeWeight) {
		m.t.Fatalf("active weights add up to %v, want %v", m.queue.root.activeChildWeight, activeWeight)
	}
	// Queries of a key or chain start in the order of admission.
	lastSequence := map[[2]int64]uint64{}
	for _, j := range m.startOrder {
		for kind, id := range []int64{j.Key, j.Chain} {
			if id < 0 || !m.queue.lanes[j.Lane].Ordered {
				continue
			}
			order := [2]int64{int64(kind), id}
			if j.sequence < lastSequence[order] {
				m.t.Fatalf("query %d started after a later query of order %v", j.sequence, order)
			}
			lastSequence[order] = j.sequence
		}
	}
}

func withTestLanes(config Config) Config { config.Lanes = testLanes; return config }

// flood submits a number of equal queries of a tenant.
func (m *engineModel) submitMany(tenant string, lane, count int, work float64) {
	for i := 0; i < count; i++ {
		m.submit(tenant, lane, work)
	}
}

// share keeps queries of all given tenants waiting for a span and returns the work used by tenant.
func (m *engineModel) saturate(
	span time.Duration, lane int, workByTenant map[string]float64,
) map[string]float64 {
	for end := m.now + span; m.now < end; {
		for tenant, queryWork := range workByTenant {
			if n := m.queue.tenants[m.tenantIndex(tenant)].state; n == nil || n.waiting < 8 {
				m.submitMany(tenant, lane, 8, queryWork)
			}
		}
		m.runUntil(m.now + 100*time.Millisecond)
	}
	return m.usedWork
}

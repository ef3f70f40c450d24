package fairqueue

import (
	"math"
	"slices"
	"time"
)

// engineModel serves what a core lets go: so many queries of a lane at once, each for as
// long as its work takes on its threads.
type engineModel struct {
	t       interface{ Fatalf(string, ...any) }
	c       *Queue
	now     time.Duration
	slots   []int
	running []*job
	jobs    []*job
	used    map[string]float64
	order   []*job
}

type job struct {
	Query
	team     string
	work     float64 // thread seconds it really takes
	at, over time.Duration
	started  bool
	done     bool
	verdict  Admission
}

var lanes = []Lane{
	{Name: "lookup", Threads: 1, PriorityWeight: 2, InitialWorkEstimate: 50 * time.Millisecond},
	{Name: "report", Threads: 3, PriorityWeight: 5, InitialWorkEstimate: 600 * time.Millisecond},
	{Name: "load", Threads: 2, PriorityWeight: 5, InitialWorkEstimate: 300 * time.Millisecond, Ordered: true, Chained: true},
}

func newEngineModel(t interface{ Fatalf(string, ...any) }, s Config, slots ...int) *engineModel {
	if s.Lanes == nil {
		s.Lanes = lanes
	}
	if err := s.Validate(); err != nil {
		t.Fatalf("%v", err)
	}
	m := &engineModel{t: t, c: New(s), slots: slots, used: map[string]float64{}}
	m.c.SetCores(8)
	return m
}

func teams(names ...string) (l []Tenant) {
	for _, n := range names {
		l = append(l, Tenant{Name: n, Weight: 1})
	}
	return l
}

func (m *engineModel) team(name string) int {
	i, ok := m.c.resolver.byName[name]
	if !ok {
		m.t.Fatalf("no team %s", name)
	}
	return i
}

func (m *engineModel) ask(team string, lane int, work float64, more ...func(*job)) *job {
	j := &job{team: team, work: work, at: m.now}
	j.Query = Query{Owner: j, Lane: lane, Tenant: m.team(team), Key: -1, Chain: -1, Deadline: m.now + time.Hour}
	for _, f := range more {
		f(j)
	}
	m.jobs = append(m.jobs, j)
	if j.verdict = m.c.Enqueue(m.now, &j.Query); j.verdict.Admitted {
		m.pump()
		m.c.FirstEstimate(m.now, &j.Query)
	}
	return j
}

func key(k int64) func(*job)   { return func(j *job) { j.Key = k } }
func chain(k int64) func(*job) { return func(j *job) { j.Chain = k } }

// pump lets go whatever has a slot.
func (m *engineModel) pump() {
	for again := true; again; {
		again = false
		for lane := range m.slots {
			busy := 0
			for _, j := range m.running {
				if j.Lane == lane {
					busy++
				}
			}
			full := busy >= m.slots[lane]
			m.c.SetLaneFull(m.now, lane, full)
			if full {
				continue
			}
			if w := m.c.Next(m.now, lane); w != nil {
				j := w.Owner.(*job)
				j.started, j.over = true, m.now+time.Duration(j.work/lanes[lane].Threads*1e9)
				m.c.Started(m.now, w)
				m.running = append(m.running, j)
				m.order = append(m.order, j)
				again = true
			}
		}
	}
}

// until plays on to a time, sweeping as the owner does.
func (m *engineModel) until(end time.Duration) {
	for {
		next := m.c.sweptAt + SweepInterval
		for _, j := range m.running {
			next = min(next, j.over)
		}
		if next > end {
			m.now = end
			return
		}
		m.now = max(m.now, next)
		for _, j := range slices.Clone(m.running) {
			if j.over <= m.now {
				m.end(j, Finished)
			}
		}
		if m.now >= m.c.sweptAt+SweepInterval {
			m.c.Sweep(m.now, nil, nil)
		}
		m.pump()
		m.check()
	}
}

func (m *engineModel) end(j *job, as Outcome) {
	m.running = slices.DeleteFunc(m.running, func(x *job) bool { return x == j })
	if j.done = true; as == Finished {
		m.used[j.team] += j.work
		m.c.Ended(m.now, &j.Query, as, time.Duration(j.work*1e9), 0)
	} else {
		m.c.Ended(m.now, &j.Query, as, 0, 0)
	}
}

// check holds after every step.
func (m *engineModel) check() {
	waits := make([]int, len(m.slots))
	backlog := make([]float64, len(m.slots))
	for _, j := range m.jobs {
		if j.Waiting() {
			waits[j.Lane]++
			backlog[j.Lane] += j.estimatedWork
		}
	}
	sum := 0
	for i := range m.slots {
		l := &m.c.lanes[i]
		if l.waiting != waits[i] || math.Abs(m.c.root.backlog[i]-backlog[i]) > 1e-6*(1+backlog[i]) {
			m.t.Fatalf("lane %d: %d wait and %d are counted, backlog %v and %v", i, waits[i], l.waiting, backlog[i], m.c.root.backlog[i])
		}
		sum += waits[i]
	}
	if sum != m.c.WaitingCount() {
		m.t.Fatalf("%d wait, %d are counted", sum, m.c.WaitingCount())
	}
	heavy := 0.0
	for i := range m.c.tenants {
		n := m.c.tenants[i].state
		if n == nil {
			continue
		}
		if n.parent == m.c.root && n.busy > 0 {
			heavy += n.weight
		}
		if n.quota > 0 && n.overQuota != (n.tokens < 0) {
			m.t.Fatalf("%s: over %v with %v tokens", n.name, n.overQuota, n.tokens)
		}
		for lane := range n.heapPosition {
			if (n.heapPosition[lane] >= 0) != (n.eligible[lane] > 0) {
				m.t.Fatalf("%s: place %d with %d ready", n.name, n.heapPosition[lane], n.eligible[lane])
			}
			if n.heapPosition[lane] < 0 {
				continue
			}
			h := n.parent.heaps[n.heapBand[lane]][lane]
			if h[n.heapPosition[lane]] != n || int(n.heapBand[lane]) != n.band(lane) {
				m.t.Fatalf("%s: not where it is thought to be in lane %d", n.name, lane)
			}
			if p := (n.heapPosition[lane] - 1) / 2; n.heapPosition[lane] > 0 && startsBefore(n, h[p], lane) {
				m.t.Fatalf("%s: before its parent in the heap", n.name)
			}
		}
	}
	if math.Abs(heavy-m.c.root.busyWeight) > 1e-6*(1+heavy) {
		m.t.Fatalf("busy weights are %v, not %v", m.c.root.busyWeight, heavy)
	}
	// what goes next in a lane goes before younger ones of its key and chain
	last := map[[2]int64]uint64{}
	for _, j := range m.order {
		for kind, id := range []int64{j.Key, j.Chain} {
			if id < 0 || !m.c.lanes[j.Lane].Ordered {
				continue
			}
			at := [2]int64{int64(kind), id}
			if j.sequence < last[at] {
				m.t.Fatalf("%d went after a younger one of its %v", j.sequence, at)
			}
			last[at] = j.sequence
		}
	}
}

func withLanes(s Config) Config { s.Lanes = lanes; return s }

// flood keeps so many of a team's queries waiting.
func (m *engineModel) flood(team string, lane, depth int, work float64) {
	for waits := 0; waits < depth; waits++ {
		m.ask(team, lane, work)
	}
}

// share plays with all teams flooding and tells what each used.
func (m *engineModel) share(span time.Duration, lane int, work map[string]float64) map[string]float64 {
	for end := m.now + span; m.now < end; {
		for team, w := range work {
			if n := m.c.tenants[m.team(team)].state; n == nil || n.waiting < 8 {
				m.flood(team, lane, 8, w)
			}
		}
		m.until(m.now + 100*time.Millisecond)
	}
	return m.used
}

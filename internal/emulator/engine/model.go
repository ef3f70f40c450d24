// Package engine is a stand-in for a query engine: a pure model in virtual time
// (model.go), the engines' protocol round it over bytes (server.go), and sockets
// round that (listen.go). All figures are parameters; nothing in it is measured
// off a real engine.
package engine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Figures are what an engine is like. Zero values take those of Usual.
type Config struct {
	Cores           float64
	MemoryMB        float64
	DiskParallelism float64 // disk seconds a second
	// Ranks are the weights of the priorities 0 to 3 when cores and disks are short.
	PriorityWeights [4]float64
	// ColdFrom is the part of its cores that a cold engine has, rising to all of
	// them over Warms.
	ColdCapacity float64
	WarmUp       time.Duration
	// Notes is the time between notes of progress, News how long a call for news
	// is held at the most, Forgets how long a query lives that nobody asks for.
	NoteInterval, PollTimeout, AbandonAfter time.Duration
	// TablesStay is how long a table group stays warm after its last query; a cold
	// one costs ColdTables times the disk time.
	TableCacheTTL   time.Duration
	ColdTableFactor float64
	// Swapping is how much slower all gets for each part of memory granted too much.
	SwapPenalty float64
	PageBytes   int
	RowPadding  int // bytes that rows have beyond those of Row
	MaxQueries  int // queries at once; more are turned away
}

// Usual are the figures used where none are given.
func DefaultConfig() Config {
	return Config{Cores: 8, MemoryMB: 16384, DiskParallelism: 4, PriorityWeights: [4]float64{1, 4, 8, 16}, ColdCapacity: 0.33, WarmUp: 15 * time.Second,
		NoteInterval: 2 * time.Second, PollTimeout: 250 * time.Millisecond, AbandonAfter: 2 * time.Second, TableCacheTTL: time.Minute, ColdTableFactor: 1,
		SwapPenalty: 4, PageBytes: 6000, MaxQueries: 1000}
}

func (c Config) withDefaults() Config {
	defaults := DefaultConfig()
	c.Cores, c.MemoryMB, c.DiskParallelism = cmp.Or(c.Cores, defaults.Cores), cmp.Or(c.MemoryMB, defaults.MemoryMB), cmp.Or(c.DiskParallelism, defaults.DiskParallelism)
	if c.PriorityWeights == [4]float64{} {
		c.PriorityWeights = defaults.PriorityWeights
	}
	c.ColdCapacity, c.WarmUp, c.NoteInterval = cmp.Or(c.ColdCapacity, defaults.ColdCapacity), cmp.Or(c.WarmUp, defaults.WarmUp), cmp.Or(c.NoteInterval, defaults.NoteInterval)
	c.PollTimeout, c.AbandonAfter, c.TableCacheTTL = cmp.Or(c.PollTimeout, defaults.PollTimeout), cmp.Or(c.AbandonAfter, defaults.AbandonAfter), cmp.Or(c.TableCacheTTL, defaults.TableCacheTTL)
	c.ColdTableFactor, c.SwapPenalty = cmp.Or(c.ColdTableFactor, defaults.ColdTableFactor), cmp.Or(c.SwapPenalty, defaults.SwapPenalty)
	c.PageBytes, c.MaxQueries = cmp.Or(c.PageBytes, defaults.PageBytes), cmp.Or(c.MaxQueries, defaults.MaxQueries)
	return c
}

// Work is what a statement takes.
type Work struct {
	Threads      float64
	CPU          time.Duration // of all threads
	Disk         time.Duration
	MemoryMB     float64
	TableGroup   int64
	Load         bool    // locks its table group
	WaitsForLoad bool    // stands still while a load holds its table group
	PlanFactor   float64 // times the work a good plan takes; 0 or 1: it is good
	Rows         int
}

// Outcome is how a query stands at its engine.
type Outcome int

const (
	Running Outcome = iota
	Succeeded
	Failed  // ended with an error, or given up, or forgotten
	Refused // never ran
)

// Note is what an engine tells of a running query.
type ProgressNote struct {
	Kind  string // advance, disk, stall
	Value float64
}

// session is one query.
type session struct {
	id               string
	work             Work
	priority         int
	grantMB          float64
	idleSeconds      float64 // seconds it takes on an idle engine
	remainingSeconds float64 // of those
	progressRate     float64 // of those a second, now
	blockedByLoad    bool    // waits for a load
	outcome          Outcome
	startedAt        time.Duration
	endedAt          time.Duration
	polledAt         time.Duration
	lastNoteAt       time.Duration
	deadline         time.Duration
	seq              uint64
	pages            [][]byte // its result, once it was asked for
}

// Model is one engine's insides. Times never run backwards.
type Model struct {
	Config
	now              time.Duration
	started          time.Duration // for how warm it is
	sessions         map[string]*session
	active           []*session // by seq
	tableGroupUsedAt map[int64]time.Duration
	seq              uint64
	paused           bool // a pause: nothing moves
	// Ended is told of each query that is over, if it is set.
	OnEnd func(id string, outcome Outcome, at time.Duration)
	// Peak is the most queries that ran at once.
	PeakQueries int
	// Busy is the core time that was used, in seconds.
	BusyCoreSeconds float64
	coresInUse      float64 // cores in use
}

// NewModel makes an engine; one that is cold has just started.
func NewModel(config Config, now time.Duration, cold bool) *Model {
	m := &Model{Config: config.withDefaults(), now: now, sessions: map[string]*session{}, tableGroupUsedAt: map[int64]time.Duration{}}
	if m.started = now; !cold {
		m.started = now - m.WarmUp
	}
	return m
}

// able is the part of its cores that it has, by how warm it is.
func (m *Model) warmFraction() float64 {
	age := float64(m.now-m.started) / float64(m.WarmUp)
	return m.ColdCapacity + (1-m.ColdCapacity)*min(1, max(0, age))
}

// Post starts a query; false if it is turned away unseen.
func (m *Model) Submit(now time.Duration, id string, work Work, priority int, grantMB float64, timeout time.Duration) bool {
	m.Advance(now)
	if s := m.sessions[id]; s != nil && s.outcome == Running {
		return false
	}
	if len(m.active) >= m.MaxQueries {
		return false
	}
	work.Threads = max(1, work.Threads)
	plan := max(1, work.PlanFactor)
	disk := work.Disk.Seconds()
	if t, warm := m.tableGroupUsedAt[work.TableGroup]; !warm || now-t > m.TableCacheTTL {
		disk *= m.ColdTableFactor
	}
	if grantMB > 0 && grantMB < work.MemoryMB { // what doesn't fit goes to disk and back
		disk += work.CPU.Seconds() * 0.5 * (1 - grantMB/work.MemoryMB)
	}
	m.seq++
	s := &session{id: id, work: work, priority: min(max(priority, 0), 3), grantMB: grantMB, seq: m.seq, startedAt: now, polledAt: now, lastNoteAt: now,
		deadline: now + timeout}
	if s.grantMB = work.MemoryMB; grantMB > 0 { // what is granted and not needed is not used
		s.grantMB = min(grantMB, work.MemoryMB)
	}
	s.work.Disk = time.Duration(disk * plan * float64(time.Second))
	s.work.CPU = time.Duration(float64(work.CPU) * plan)
	s.idleSeconds = max(1e-5, s.work.CPU.Seconds()/work.Threads, s.work.Disk.Seconds())
	s.remainingSeconds = s.idleSeconds
	m.tableGroupUsedAt[work.TableGroup] = now
	m.sessions[id] = s
	m.active = append(m.active, s)
	m.PeakQueries = max(m.PeakQueries, len(m.active))
	m.allocate()
	return true
}

// Advance brings all to a time: progress, ends and what was forgotten.
func (m *Model) Advance(now time.Duration) {
	for m.now < now {
		next := min(now, m.nextChange())
		if !m.paused {
			span := (next - m.now).Seconds()
			m.BusyCoreSeconds += span * m.coresInUse
			for _, s := range m.active {
				s.remainingSeconds -= s.progressRate * span
			}
		}
		m.now = next
		ended := false
		for _, s := range slices.Clone(m.active) {
			switch {
			case m.paused:
			case s.remainingSeconds <= 1e-9:
				m.end(s, Succeeded)
				ended = true
			case m.now >= s.polledAt+m.AbandonAfter, m.now >= s.deadline:
				m.end(s, Failed)
				ended = true
			}
		}
		if ended || m.warmFraction() < 1 {
			m.allocate()
		}
	}
	for id, s := range m.sessions { // its pages stay as long as somebody asks
		if s.outcome != Running && m.now > max(s.endedAt, s.polledAt)+m.AbandonAfter {
			delete(m.sessions, id)
		}
	}
}

// change is when something changes by itself, never before now.
func (m *Model) nextChange() time.Duration {
	next := time.Duration(math.MaxInt64)
	if m.paused {
		return next
	}
	for _, s := range m.active {
		if s.progressRate > 0 {
			next = min(next, m.now+time.Duration(math.Ceil(s.remainingSeconds/s.progressRate*1e9)))
		}
		next = min(next, s.polledAt+m.AbandonAfter, s.deadline)
	}
	if m.warmFraction() < 1 && len(m.active) > 0 {
		next = min(next, m.now+100*time.Millisecond)
	}
	return max(next, m.now+1)
}

// Next is when something ends by itself; false if nothing runs.
func (m *Model) NextEvent() (time.Duration, bool) {
	if len(m.active) == 0 || m.paused {
		return 0, false
	}
	return m.nextChange(), true
}

func (m *Model) end(s *session, outcome Outcome) {
	if s.outcome != Running {
		return
	}
	s.outcome, s.endedAt = outcome, m.now
	m.active = slices.DeleteFunc(m.active, func(x *session) bool { return x == s })
	m.tableGroupUsedAt[s.work.TableGroup] = m.now
	if m.OnEnd != nil {
		m.OnEnd(s.id, outcome, m.now)
	}
}

// share sets every session's rate: cores and disks go round by priority, nobody
// gets more than it can use, and what is left over goes to the others.
func (m *Model) allocate() {
	memory := 0.0
	for _, s := range m.active {
		memory += s.grantMB
		s.blockedByLoad = (s.work.Load || s.work.WaitsForLoad) && m.isLockedFor(s)
	}
	slowdown := 1 + m.SwapPenalty*max(0, memory/m.MemoryMB-1)
	var runnable []*session
	for _, s := range m.active {
		if s.progressRate = 0; !s.blockedByLoad {
			runnable = append(runnable, s)
		}
	}
	cpu := allocateShares(runnable, m.Cores*m.warmFraction(), m.PriorityWeights, func(s *session) float64 { return s.work.CPU.Seconds() / s.idleSeconds })
	disk := allocateShares(runnable, m.DiskParallelism, m.PriorityWeights, func(s *session) float64 { return s.work.Disk.Seconds() / s.idleSeconds })
	m.coresInUse = 0
	for i, s := range runnable {
		s.progressRate = min(cpu[i], disk[i]) / slowdown
		m.coresInUse += s.progressRate * s.work.CPU.Seconds() / s.idleSeconds
	}
}

// lockedFor: a load of its tables that came before it runs here.
func (m *Model) isLockedFor(s *session) bool {
	for _, x := range m.active {
		if x != s && x.work.Load && x.work.TableGroup == s.work.TableGroup && (!s.work.Load || x.seq < s.seq) {
			return true
		}
	}
	return false
}

// fill gives each the part of its demand that it gets, 0 to 1.
func allocateShares(sessions []*session, capacity float64, ranks [4]float64, demand func(*session) float64) []float64 {
	shares := make([]float64, len(sessions))
	order := make([]int, 0, len(sessions))
	weights := 0.0
	for i, s := range sessions {
		if demand(s) <= 0 {
			shares[i] = 1
			continue
		}
		order = append(order, i)
		weights += ranks[s.priority] * s.work.Threads
	}
	weight := func(i int) float64 { return ranks[sessions[i].priority] * sessions[i].work.Threads }
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(demand(sessions[a])/weight(a), demand(sessions[b])/weight(b)), cmp.Compare(sessions[a].seq, sessions[b].seq))
	})
	for _, i := range order {
		want := demand(sessions[i])
		share := min(want, capacity*weight(i)/weights)
		shares[i] = share / want
		capacity -= share
		weights -= weight(i)
	}
	return shares
}

// Ask is what there is to say of a query now: how it stands and a note, if one is
// due. It lives on as long as it is asked for.
func (m *Model) Poll(now time.Duration, id string) (Outcome, ProgressNote) {
	m.Advance(now)
	s := m.sessions[id]
	if s == nil {
		return Failed, ProgressNote{}
	}
	s.polledAt = now
	if s.outcome != Running {
		return s.outcome, ProgressNote{}
	}
	return Running, m.progressNote(s)
}

// note tells how far a query is, once each period.
func (m *Model) progressNote(s *session) ProgressNote {
	if m.now < s.lastNoteAt+m.NoteInterval {
		return ProgressNote{}
	}
	s.lastNoteAt = m.now
	switch {
	case s.blockedByLoad:
		return ProgressNote{"stall", 2}
	case s.grantMB < s.work.MemoryMB && m.now < s.startedAt+2*m.NoteInterval:
		return ProgressNote{"disk", s.work.MemoryMB - s.grantMB}
	}
	return ProgressNote{"advance", 1 - s.remainingSeconds/s.idleSeconds}
}

// NoteAt is when the next note on a query is due.
func (m *Model) NextNote(id string) (time.Duration, bool) {
	s := m.sessions[id]
	if s == nil || s.outcome != Running {
		return 0, false
	}
	return s.lastNoteAt + m.NoteInterval, true
}

// Result is what a query that ended well told: its work and its rows.
func (m *Model) Result(id string) (work time.Duration, memoryMB float64, rows int, ok bool) {
	s := m.sessions[id]
	if s == nil || s.outcome != Succeeded {
		return 0, 0, 0, false
	}
	return s.work.CPU, s.work.MemoryMB, s.work.Rows, true
}

// Rank changes a query's priority, GiveUp ends it.
func (m *Model) SetPriority(now time.Duration, id string, priority int) {
	m.Advance(now)
	if s := m.sessions[id]; s != nil && s.outcome == Running {
		s.priority = min(max(priority, 0), 3)
		m.allocate()
	}
}

func (m *Model) Cancel(now time.Duration, id string) {
	m.Advance(now)
	if s := m.sessions[id]; s != nil && s.outcome == Running {
		m.end(s, Failed)
		m.allocate()
	}
}

// Pause stops everything, Resume goes on from there: what ran has not moved.
func (m *Model) Pause(now time.Duration) {
	m.Advance(now)
	m.paused = true
}

func (m *Model) Resume(now time.Duration) {
	if !m.paused {
		return
	}
	m.now, m.paused = max(now, m.now), false
	for _, s := range m.active { // nobody could ask
		s.polledAt = m.now
	}
	m.allocate()
}

// Restart makes the process a new and cold one, which knows nothing of what ran.
func (m *Model) Restart(now time.Duration) {
	m.Advance(now)
	for _, s := range slices.Clone(m.active) {
		m.end(s, Failed)
	}
	clear(m.sessions)
	clear(m.tableGroupUsedAt)
	m.started, m.paused = now, false
}

// Load is the engine's report of itself.
func (m *Model) LoadReport(now time.Duration) (held int, cores, memory, disks float64) {
	m.Advance(now)
	used := 0.0
	for _, s := range m.active {
		memory += s.grantMB / m.MemoryMB
		used += s.progressRate * s.work.Disk.Seconds() / s.idleSeconds
	}
	return len(m.active), m.coresInUse / m.Cores, memory, min(1, used/m.DiskParallelism)
}

// Package engine emulates a query engine. Model computes the progress of queries in virtual time,
// Server adds the engines' HTTP protocol on byte slices, and Listener serves it on TCP. All
// characteristics are parameters; none was measured on a real engine.
package engine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config describes an engine. Zero values are replaced by those of DefaultConfig.
type Config struct {
	Cores           float64
	MemoryMB        float64
	DiskParallelism float64 // seconds of disk work done per second
	// PriorityWeights are the weights of priorities 0 to 3 when queries compete for cores or disks.
	PriorityWeights [4]float64
	// ColdCapacity is the fraction of its cores that an engine can use right after its start. The
	// fraction rises linearly to 1 during WarmUp.
	ColdCapacity float64
	WarmUp       time.Duration
	// NoteInterval is the time between progress notes of a query. PollTimeout is the longest time
	// that a poll is held open. AbandonAfter is the time without a poll after which a running query
	// fails and a finished one is deleted.
	NoteInterval, PollTimeout, AbandonAfter time.Duration
	// TableCacheTTL is how long a table group stays cached after its last use. A query on a table
	// group that isn't cached takes ColdTableFactor times the disk time.
	TableCacheTTL   time.Duration
	ColdTableFactor float64
	// SwapPenalty is the slowdown of all queries per unit of overcommitted memory: they run
	// 1 + SwapPenalty*(granted/MemoryMB - 1) times slower.
	SwapPenalty float64
	PageBytes   int
	RowPadding  int // bytes added to each row, see PaddedRow
	MaxQueries  int // limit of running queries; more are rejected
}

// DefaultConfig returns the values that replace zero values of a Config.
func DefaultConfig() Config {
	return Config{
		Cores: 8, MemoryMB: 16384, DiskParallelism: 4, PriorityWeights: [4]float64{1, 4, 8, 16},
		ColdCapacity: 0.33, WarmUp: 15 * time.Second,
		NoteInterval: 2 * time.Second, PollTimeout: 250 * time.Millisecond, AbandonAfter: 2 * time.Second,
		TableCacheTTL: time.Minute, ColdTableFactor: 1,
		SwapPenalty: 4, PageBytes: 6000, MaxQueries: 1000,
	}
}

func (c Config) withDefaults() Config {
	defaults := DefaultConfig()
	c.Cores = cmp.Or(c.Cores, defaults.Cores)
	c.MemoryMB = cmp.Or(c.MemoryMB, defaults.MemoryMB)
	c.DiskParallelism = cmp.Or(c.DiskParallelism, defaults.DiskParallelism)
	if c.PriorityWeights == [4]float64{} {
		c.PriorityWeights = defaults.PriorityWeights
	}
	c.ColdCapacity = cmp.Or(c.ColdCapacity, defaults.ColdCapacity)
	c.WarmUp = cmp.Or(c.WarmUp, defaults.WarmUp)
	c.NoteInterval = cmp.Or(c.NoteInterval, defaults.NoteInterval)
	c.PollTimeout = cmp.Or(c.PollTimeout, defaults.PollTimeout)
	c.AbandonAfter = cmp.Or(c.AbandonAfter, defaults.AbandonAfter)
	c.TableCacheTTL = cmp.Or(c.TableCacheTTL, defaults.TableCacheTTL)
	c.ColdTableFactor = cmp.Or(c.ColdTableFactor, defaults.ColdTableFactor)
	c.SwapPenalty = cmp.Or(c.SwapPenalty, defaults.SwapPenalty)
	c.PageBytes = cmp.Or(c.PageBytes, defaults.PageBytes)
	c.MaxQueries = cmp.Or(c.MaxQueries, defaults.MaxQueries)
	return c
}

// Work is the resources that a statement needs.
type Work struct {
	Threads      float64
	CPU          time.Duration // sum over all threads
	Disk         time.Duration
	MemoryMB     float64
	TableGroup   int64
	Load         bool    // locks its table group
	WaitsForLoad bool    // makes no progress while a load holds its table group
	PlanFactor   float64 // multiplies CPU and disk time, for a bad query plan; 0 counts as 1
	Rows         int
}

// Outcome is the state of a query at its engine.
type Outcome int

// The states of a query.
const (
	Running Outcome = iota
	Succeeded
	Failed  // returned an error, was cancelled, passed its deadline or was abandoned
	Refused // never ran
)

// ProgressNote is a progress report on a running query. The zero value is no report.
type ProgressNote struct {
	Kind  string // advance, disk or stall
	Value float64
}

// session is one query at the engine.
type session struct {
	id               string
	work             Work
	priority         int
	grantMB          float64
	idleSeconds      float64 // run time on an idle engine
	remainingSeconds float64 // part of idleSeconds still to do
	progressRate     float64 // decrease of remainingSeconds per second
	blockedByLoad    bool    // waits for a load
	outcome          Outcome
	startedAt        time.Duration
	endedAt          time.Duration
	polledAt         time.Duration
	lastNoteAt       time.Duration
	deadline         time.Duration
	seq              uint64
	pages            [][]byte // the result, once it was requested
}

// Model computes the progress of queries at one engine. The times passed to it must not decrease.
type Model struct {
	Config
	now              time.Duration
	started          time.Duration // start of the warm-up
	sessions         map[string]*session
	active           []*session // running queries, in order of seq
	tableGroupUsedAt map[int64]time.Duration
	seq              uint64
	paused           bool // no query makes progress
	// OnEnd, if set, is called when a query ends.
	OnEnd func(id string, outcome Outcome, at time.Duration)
	// PeakQueries is the largest number of queries that ran at the same time.
	PeakQueries int
	// BusyCoreSeconds is the total core time used.
	BusyCoreSeconds float64
	coresInUse      float64
}

// NewModel creates an engine. A cold engine starts its warm-up now.
func NewModel(config Config, now time.Duration, cold bool) *Model {
	m := &Model{Config: config.withDefaults(), now: now, sessions: map[string]*session{},
		tableGroupUsedAt: map[int64]time.Duration{}}
	if m.started = now; !cold {
		m.started = now - m.WarmUp
	}
	return m
}

// warmFraction returns the fraction of the cores that the engine can use during its warm-up.
func (m *Model) warmFraction() float64 {
	age := float64(m.now-m.started) / float64(m.WarmUp)
	return m.ColdCapacity + (1-m.ColdCapacity)*min(1, max(0, age))
}

// Submit starts a query. It returns false if it rejects the query: a query with the same ID is
// running, or MaxQueries queries are.
func (m *Model) Submit(
	now time.Duration, id string, work Work, priority int, grantMB float64, timeout time.Duration,
) bool {
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
	if grantMB > 0 && grantMB < work.MemoryMB { // data that exceeds the grant is spilled to disk
		disk += work.CPU.Seconds() * 0.5 * (1 - grantMB/work.MemoryMB)
	}
	m.seq++
	s := &session{id: id, work: work, priority: min(max(priority, 0), 3), grantMB: grantMB, seq: m.seq,
		startedAt: now, polledAt: now, lastNoteAt: now, deadline: now + timeout}
	if s.grantMB = work.MemoryMB; grantMB > 0 { // an unneeded part of the grant isn't used
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

// Advance moves the model to a time: queries make progress and end, and ended ones are deleted if
// they weren't polled for AbandonAfter.
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
	for id, s := range m.sessions { // the pages of a result stay as long as the query is polled
		if s.outcome != Running && m.now > max(s.endedAt, s.polledAt)+m.AbandonAfter {
			delete(m.sessions, id)
		}
	}
}

// nextChange returns the time of the next change without a call, always after the current time.
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

// NextEvent returns when the model has to be advanced next. It returns false if no query runs.
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

// allocate sets the progress rate of each session. Cores and disks are shared by priority weight;
// the part of a share that a session can't use goes to the other sessions.
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
	cpuDemand := func(s *session) float64 { return s.work.CPU.Seconds() / s.idleSeconds }
	diskDemand := func(s *session) float64 { return s.work.Disk.Seconds() / s.idleSeconds }
	cpu := allocateShares(runnable, m.Cores*m.warmFraction(), m.PriorityWeights, cpuDemand)
	disk := allocateShares(runnable, m.DiskParallelism, m.PriorityWeights, diskDemand)
	m.coresInUse = 0
	for i, s := range runnable {
		s.progressRate = min(cpu[i], disk[i]) / slowdown
		m.coresInUse += s.progressRate * s.work.CPU.Seconds() / s.idleSeconds
	}
}

// isLockedFor reports whether a load holds the lock on the session's table group. Loads get the
// lock in order of submission; other queries wait for all loads.
func (m *Model) isLockedFor(s *session) bool {
	for _, x := range m.active {
		if x != s && x.work.Load && x.work.TableGroup == s.work.TableGroup && (!s.work.Load || x.seq < s.seq) {
			return true
		}
	}
	return false
}

// allocateShares divides a capacity among sessions by weight and returns the fraction of its
// demand that each session gets.
func allocateShares(
	sessions []*session, capacity float64, priorityWeights [4]float64, demand func(*session) float64,
) []float64 {
	shares := make([]float64, len(sessions))
	order := make([]int, 0, len(sessions))
	weights := 0.0
	for i, s := range sessions {
		if demand(s) <= 0 {
			shares[i] = 1
			continue
		}
		order = append(order, i)
		weights += priorityWeights[s.priority] * s.work.Threads
	}
	weight := func(i int) float64 { return priorityWeights[sessions[i].priority] * sessions[i].work.Threads }
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(demand(sessions[a])/weight(a), demand(sessions[b])/weight(b)),
			cmp.Compare(sessions[a].seq, sessions[b].seq))
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

// Poll returns a query's state, and a progress note if one is due. A poll keeps the query from
// being abandoned.
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

// progressNote returns a note on a query's progress if NoteInterval has passed since the last one.
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

// NextNote returns when the next progress note on a query is due.
func (m *Model) NextNote(id string) (time.Duration, bool) {
	s := m.sessions[id]
	if s == nil || s.outcome != Running {
		return 0, false
	}
	return s.lastNoteAt + m.NoteInterval, true
}

// Result returns the CPU time, memory and number of rows of a query that succeeded.
func (m *Model) Result(id string) (work time.Duration, memoryMB float64, rows int, ok bool) {
	s := m.sessions[id]
	if s == nil || s.outcome != Succeeded {
		return 0, 0, 0, false
	}
	return s.work.CPU, s.work.MemoryMB, s.work.Rows, true
}

// SetPriority changes a running query's priority.
func (m *Model) SetPriority(now time.Duration, id string, priority int) {
	m.Advance(now)
	if s := m.sessions[id]; s != nil && s.outcome == Running {
		s.priority = min(max(priority, 0), 3)
		m.allocate()
	}
}

// Cancel ends a running query as failed. It doesn't affect a query that has ended.
func (m *Model) Cancel(now time.Duration, id string) {
	m.Advance(now)
	if s := m.sessions[id]; s != nil && s.outcome == Running {
		m.end(s, Failed)
		m.allocate()
	}
}

// Pause stops the progress of all queries until Resume.
func (m *Model) Pause(now time.Duration) {
	m.Advance(now)
	m.paused = true
}

// Resume ends a pause. Queries continue from where they were at the pause, and count as just polled.
func (m *Model) Resume(now time.Duration) {
	if !m.paused {
		return
	}
	m.now, m.paused = max(now, m.now), false
	for _, s := range m.active { // no poll was possible during the pause
		s.polledAt = m.now
	}
	m.allocate()
}

// Restart emulates a restart of the process: all queries fail, their results are lost, and the
// engine is cold.
func (m *Model) Restart(now time.Duration) {
	m.Advance(now)
	for _, s := range slices.Clone(m.active) {
		m.end(s, Failed)
	}
	clear(m.sessions)
	clear(m.tableGroupUsedAt)
	m.started, m.paused = now, false
}

// LoadReport returns the number of running queries and the utilization of cores, memory and disks.
// Memory may exceed 1 when it is overcommitted.
func (m *Model) LoadReport(now time.Duration) (held int, cores, memory, disks float64) {
	m.Advance(now)
	used := 0.0
	for _, s := range m.active {
		memory += s.grantMB / m.MemoryMB
		used += s.progressRate * s.work.Disk.Seconds() / s.idleSeconds
	}
	return len(m.active), m.coresInUse / m.Cores, memory, min(1, used/m.DiskParallelism)
}

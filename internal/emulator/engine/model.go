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

func (f Config) orUsual() Config {
	u := DefaultConfig()
	f.Cores, f.MemoryMB, f.DiskParallelism = cmp.Or(f.Cores, u.Cores), cmp.Or(f.MemoryMB, u.MemoryMB), cmp.Or(f.DiskParallelism, u.DiskParallelism)
	if f.PriorityWeights == [4]float64{} {
		f.PriorityWeights = u.PriorityWeights
	}
	f.ColdCapacity, f.WarmUp, f.NoteInterval = cmp.Or(f.ColdCapacity, u.ColdCapacity), cmp.Or(f.WarmUp, u.WarmUp), cmp.Or(f.NoteInterval, u.NoteInterval)
	f.PollTimeout, f.AbandonAfter, f.TableCacheTTL = cmp.Or(f.PollTimeout, u.PollTimeout), cmp.Or(f.AbandonAfter, u.AbandonAfter), cmp.Or(f.TableCacheTTL, u.TableCacheTTL)
	f.ColdTableFactor, f.SwapPenalty = cmp.Or(f.ColdTableFactor, u.ColdTableFactor), cmp.Or(f.SwapPenalty, u.SwapPenalty)
	f.PageBytes, f.MaxQueries = cmp.Or(f.PageBytes, u.PageBytes), cmp.Or(f.MaxQueries, u.MaxQueries)
	return f
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
	id       string
	work     Work
	rank     int
	grantMB  float64
	alone    float64 // seconds it takes on an idle engine
	left     float64 // of those
	rate     float64 // of those a second, now
	standing bool    // waits for a load
	outcome  Outcome
	at       time.Duration
	overAt   time.Duration
	askedAt  time.Duration
	noteAt   time.Duration
	until    time.Duration
	seq      uint64
	made     [][]byte // its result, once it was asked for
}

// Model is one engine's insides. Times never run backwards.
type Model struct {
	Config
	now      time.Duration
	started  time.Duration // for how warm it is
	sessions map[string]*session
	active   []*session // by seq
	touched  map[int64]time.Duration
	seq      uint64
	stopped  bool // a pause: nothing moves
	// Ended is told of each query that is over, if it is set.
	OnEnd func(id string, outcome Outcome, at time.Duration)
	// Peak is the most queries that ran at once.
	PeakQueries int
	// Busy is the core time that was used, in seconds.
	BusyCoreSeconds float64
	used            float64 // cores in use
}

// NewModel makes an engine; one that is cold has just started.
func NewModel(f Config, now time.Duration, cold bool) *Model {
	m := &Model{Config: f.orUsual(), now: now, sessions: map[string]*session{}, touched: map[int64]time.Duration{}}
	if m.started = now; !cold {
		m.started = now - m.WarmUp
	}
	return m
}

// able is the part of its cores that it has, by how warm it is.
func (m *Model) able() float64 {
	age := float64(m.now-m.started) / float64(m.WarmUp)
	return m.ColdCapacity + (1-m.ColdCapacity)*min(1, max(0, age))
}

// Post starts a query; false if it is turned away unseen.
func (m *Model) Submit(now time.Duration, id string, w Work, rank int, grantMB float64, within time.Duration) bool {
	m.Advance(now)
	if s := m.sessions[id]; s != nil && s.outcome == Running {
		return false
	}
	if len(m.active) >= m.MaxQueries {
		return false
	}
	w.Threads = max(1, w.Threads)
	plan := max(1, w.PlanFactor)
	disk := w.Disk.Seconds()
	if t, warm := m.touched[w.TableGroup]; !warm || now-t > m.TableCacheTTL {
		disk *= m.ColdTableFactor
	}
	if grantMB > 0 && grantMB < w.MemoryMB { // what doesn't fit goes to disk and back
		disk += w.CPU.Seconds() * 0.5 * (1 - grantMB/w.MemoryMB)
	}
	m.seq++
	s := &session{id: id, work: w, rank: min(max(rank, 0), 3), grantMB: grantMB, seq: m.seq, at: now, askedAt: now, noteAt: now,
		until: now + within}
	if s.grantMB = w.MemoryMB; grantMB > 0 { // what is granted and not needed is not used
		s.grantMB = min(grantMB, w.MemoryMB)
	}
	s.work.Disk = time.Duration(disk * plan * float64(time.Second))
	s.work.CPU = time.Duration(float64(w.CPU) * plan)
	s.alone = max(1e-5, s.work.CPU.Seconds()/w.Threads, s.work.Disk.Seconds())
	s.left = s.alone
	m.touched[w.TableGroup] = now
	m.sessions[id] = s
	m.active = append(m.active, s)
	m.PeakQueries = max(m.PeakQueries, len(m.active))
	m.share()
	return true
}

// Advance brings all to a time: progress, ends and what was forgotten.
func (m *Model) Advance(now time.Duration) {
	for m.now < now {
		next := min(now, m.change())
		if !m.stopped {
			span := (next - m.now).Seconds()
			m.BusyCoreSeconds += span * m.used
			for _, s := range m.active {
				s.left -= s.rate * span
			}
		}
		m.now = next
		ended := false
		for _, s := range slices.Clone(m.active) {
			switch {
			case m.stopped:
			case s.left <= 1e-9:
				m.over(s, Succeeded)
				ended = true
			case m.now >= s.askedAt+m.AbandonAfter, m.now >= s.until:
				m.over(s, Failed)
				ended = true
			}
		}
		if ended || m.able() < 1 {
			m.share()
		}
	}
	for id, s := range m.sessions { // its pages stay as long as somebody asks
		if s.outcome != Running && m.now > max(s.overAt, s.askedAt)+m.AbandonAfter {
			delete(m.sessions, id)
		}
	}
}

// change is when something changes by itself, never before now.
func (m *Model) change() time.Duration {
	next := time.Duration(math.MaxInt64)
	if m.stopped {
		return next
	}
	for _, s := range m.active {
		if s.rate > 0 {
			next = min(next, m.now+time.Duration(math.Ceil(s.left/s.rate*1e9)))
		}
		next = min(next, s.askedAt+m.AbandonAfter, s.until)
	}
	if m.able() < 1 && len(m.active) > 0 {
		next = min(next, m.now+100*time.Millisecond)
	}
	return max(next, m.now+1)
}

// Next is when something ends by itself; false if nothing runs.
func (m *Model) NextEvent() (time.Duration, bool) {
	if len(m.active) == 0 || m.stopped {
		return 0, false
	}
	return m.change(), true
}

func (m *Model) over(s *session, as Outcome) {
	if s.outcome != Running {
		return
	}
	s.outcome, s.overAt = as, m.now
	m.active = slices.DeleteFunc(m.active, func(x *session) bool { return x == s })
	m.touched[s.work.TableGroup] = m.now
	if m.OnEnd != nil {
		m.OnEnd(s.id, as, m.now)
	}
}

// share sets every session's rate: cores and disks go round by priority, nobody
// gets more than it can use, and what is left over goes to the others.
func (m *Model) share() {
	memory := 0.0
	for _, s := range m.active {
		memory += s.grantMB
		s.standing = (s.work.Load || s.work.WaitsForLoad) && m.lockedFor(s)
	}
	slower := 1 + m.SwapPenalty*max(0, memory/m.MemoryMB-1)
	var going []*session
	for _, s := range m.active {
		if s.rate = 0; !s.standing {
			going = append(going, s)
		}
	}
	cpu := fill(going, m.Cores*m.able(), m.PriorityWeights, func(s *session) float64 { return s.work.CPU.Seconds() / s.alone })
	disk := fill(going, m.DiskParallelism, m.PriorityWeights, func(s *session) float64 { return s.work.Disk.Seconds() / s.alone })
	m.used = 0
	for i, s := range going {
		s.rate = min(cpu[i], disk[i]) / slower
		m.used += s.rate * s.work.CPU.Seconds() / s.alone
	}
}

// lockedFor: a load of its tables that came before it runs here.
func (m *Model) lockedFor(s *session) bool {
	for _, x := range m.active {
		if x != s && x.work.Load && x.work.TableGroup == s.work.TableGroup && (!s.work.Load || x.seq < s.seq) {
			return true
		}
	}
	return false
}

// fill gives each the part of its demand that it gets, 0 to 1.
func fill(l []*session, room float64, ranks [4]float64, demand func(*session) float64) []float64 {
	got := make([]float64, len(l))
	order := make([]int, 0, len(l))
	weights := 0.0
	for i, s := range l {
		if demand(s) <= 0 {
			got[i] = 1
			continue
		}
		order = append(order, i)
		weights += ranks[s.rank] * s.work.Threads
	}
	weight := func(i int) float64 { return ranks[l[i].rank] * l[i].work.Threads }
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(demand(l[a])/weight(a), demand(l[b])/weight(b)), cmp.Compare(l[a].seq, l[b].seq))
	})
	for _, i := range order {
		d := demand(l[i])
		x := min(d, room*weight(i)/weights)
		got[i] = x / d
		room -= x
		weights -= weight(i)
	}
	return got
}

// Ask is what there is to say of a query now: how it stands and a note, if one is
// due. It lives on as long as it is asked for.
func (m *Model) Poll(now time.Duration, id string) (Outcome, ProgressNote) {
	m.Advance(now)
	s := m.sessions[id]
	if s == nil {
		return Failed, ProgressNote{}
	}
	s.askedAt = now
	if s.outcome != Running {
		return s.outcome, ProgressNote{}
	}
	return Running, m.note(s)
}

// note tells how far a query is, once each period.
func (m *Model) note(s *session) ProgressNote {
	if m.now < s.noteAt+m.NoteInterval {
		return ProgressNote{}
	}
	s.noteAt = m.now
	switch {
	case s.standing:
		return ProgressNote{"stall", 2}
	case s.grantMB < s.work.MemoryMB && m.now < s.at+2*m.NoteInterval:
		return ProgressNote{"disk", s.work.MemoryMB - s.grantMB}
	}
	return ProgressNote{"advance", 1 - s.left/s.alone}
}

// NoteAt is when the next note on a query is due.
func (m *Model) NextNote(id string) (time.Duration, bool) {
	s := m.sessions[id]
	if s == nil || s.outcome != Running {
		return 0, false
	}
	return s.noteAt + m.NoteInterval, true
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
func (m *Model) SetPriority(now time.Duration, id string, rank int) {
	m.Advance(now)
	if s := m.sessions[id]; s != nil && s.outcome == Running {
		s.rank = min(max(rank, 0), 3)
		m.share()
	}
}

func (m *Model) Cancel(now time.Duration, id string) {
	m.Advance(now)
	if s := m.sessions[id]; s != nil && s.outcome == Running {
		m.over(s, Failed)
		m.share()
	}
}

// Pause stops everything, Resume goes on from there: what ran has not moved.
func (m *Model) Pause(now time.Duration) {
	m.Advance(now)
	m.stopped = true
}

func (m *Model) Resume(now time.Duration) {
	if !m.stopped {
		return
	}
	m.now, m.stopped = max(now, m.now), false
	for _, s := range m.active { // nobody could ask
		s.askedAt = m.now
	}
	m.share()
}

// Restart makes the process a new and cold one, which knows nothing of what ran.
func (m *Model) Restart(now time.Duration) {
	m.Advance(now)
	for _, s := range slices.Clone(m.active) {
		m.over(s, Failed)
	}
	clear(m.sessions)
	clear(m.touched)
	m.started, m.stopped = now, false
}

// Load is the engine's report of itself.
func (m *Model) LoadReport(now time.Duration) (held int, cores, memory, disks float64) {
	m.Advance(now)
	used := 0.0
	for _, s := range m.active {
		memory += s.grantMB / m.MemoryMB
		used += s.rate * s.work.Disk.Seconds() / s.alone
	}
	return len(m.active), m.used / m.Cores, memory, min(1, used/m.DiskParallelism)
}

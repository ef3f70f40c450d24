package scheduler

import (
	"hash/fnv"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/timerqueue"
)

// query is one query from its arrival until it has ended and no attempt of it is in flight.
type query struct {
	id     string
	seq    uint64 // in the order of arrival
	group  *resourceGroup
	tenant *tenant // whose quota it counts to
	tables int64   // its table group
	key    int64   // negative: none
	chain  *chain  // of writes, nil for others

	// When it is wanted, since the start.
	arrivedAt   time.Duration
	objectiveAt time.Duration
	deadline    time.Duration

	// What it should take.
	workSeconds  float64 // of all its threads, 0: no estimate
	workMeasured bool    // an answer told it
	memoryMB     float64 // 0: no estimate

	// Where it may go.
	allowedLocations []string // nil: all
	confined         bool     // to fewer than its group's
	blockingKey      int64    // of its tables and locations: what bars one query bars all of the same
	lastEngine       *engine  // of its last ended attempt, which others are preferred to
	healthChecked    []*engine
	healthCheckedAt  time.Duration

	// How it is getting on.
	attempts         []*attempt
	inFlight         int // of them
	movedForSlowness bool
	ended            bool // answered, rejected or without its client
	answerStarted    bool
	timers           []*timerqueue.Timer

	// As last told.
	priority int
	grant    int // MB
}

// attempt is one sending of a query to an engine.
type attempt struct {
	query   *query
	engine  *engine
	number  int // of the query's, from 0
	sentAt  time.Duration
	ended   bool
	outcome Outcome

	threads  float64 // that it takes on the engine
	memoryMB float64

	// By notes.
	lastNoteAt time.Duration
	progress   float64 // 0 to 1
	progressAt time.Duration
	blocked    bool // waits for a load
	moving     bool // cancelled for a fresh attempt
}

// attemptsThatMayHaveRun lists the attempts not proven never to have run.
func (q *query) attemptsThatMayHaveRun() (ran []*attempt) {
	for _, a := range q.attempts {
		if !a.ended || !a.outcome.NeverRan() {
			ran = append(ran, a)
		}
	}
	return ran
}

// confine narrows where a query may go, never past its group's own locations; nil: to no less.
func (q *query) confine(locations []string) {
	q.allowedLocations = q.group.locations
	q.confined = locations != nil
	q.blockingKey = q.tables
	if !q.confined {
		return
	}
	if q.allowedLocations == nil {
		q.allowedLocations = locations
	} else {
		q.allowedLocations = slices.DeleteFunc(slices.Clone(locations), func(l string) bool {
			return !slices.Contains(q.group.locations, l)
		})
	}
	h := fnv.New64a()
	for _, l := range q.allowedLocations {
		h.Write([]byte(l + ","))
	}
	q.blockingKey ^= int64(h.Sum64() | 1<<62) // far from any table group's number
}

// openAttempt is an attempt that has not ended, nil if there is none of that number.
func (s *Scheduler) openAttempt(id string, number int) *attempt {
	q := s.queries[id]
	if q == nil || number < 0 || number >= len(q.attempts) || q.attempts[number].ended {
		return nil
	}
	return q.attempts[number]
}

// recordAttempt counts a query that is sent to an engine.
func (s *Scheduler) recordAttempt(q *query, e *engine) {
	a := &attempt{
		query:    q,
		engine:   e,
		number:   len(q.attempts),
		sentAt:   s.now,
		threads:  q.group.threads,
		memoryMB: s.estimatedMemoryMB(q),
	}
	if a.number > 0 {
		s.retries = append(s.retries, s.now)
	}
	if s.now < e.warmingUntil {
		e.slowStartSends = append(e.slowStartSends, sentWork{s.now, s.usualWorkSeconds(q.group)})
	}
	q.attempts = append(q.attempts, a)
	q.inFlight++
	e.inFlight = append(e.inFlight, a)
	s.countAttempt(a, 1)
	if q.chain != nil && q.chain.running == q {
		q.chain.engine = e
		q.chain.lastEnded = false
	}
}

// countAttempt adds what an attempt takes to its engine's sums, or with a sign of -1 takes it off.
func (s *Scheduler) countAttempt(a *attempt, sign float64) {
	s.totalsStale = true
	a.engine.threadsInFlight += sign * a.threads
	a.engine.memoryInFlightMB += sign * a.memoryMB
}

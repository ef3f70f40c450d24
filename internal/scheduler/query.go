package scheduler

import (
	"hash/fnv"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/timerqueue"
)

// query is a query from its arrival until it has ended and has no attempt in flight.
type query struct {
	id       string
	sequence uint64 // in order of arrival
	group    *resourceGroup
	tenant   *tenant // tenant whose quota counts the query
	tables   int64   // number of the table group
	key      int64   // negative if the query has none
	chain    *chain  // chain of the table group for a load, nil for other queries

	// Times since the start.
	arrivedAt   time.Duration
	objectiveAt time.Duration
	deadline    time.Duration

	// Expected cost.
	workSeconds  float64 // work of all threads; 0 if there is no estimate
	workMeasured bool    // an answer reported workSeconds
	memoryMB     float64 // 0 if there is no estimate

	// Routing.
	allowedLocations []string // nil allows all locations
	confined         bool     // the adapter has limited the locations to which the query may be sent
	eligibilityKey   int64    // queries of a group with equal keys are eligible for the same engines
	lastEngine       *engine  // engine of the last ended attempt; other engines are preferred
	checkedEngines   []*engine
	checkedAt        time.Duration

	// Progress.
	attempts         []*attempt
	inFlight         int // number of attempts in flight
	movedForSlowness bool
	ended            bool // answered, rejected or abandoned by its client
	answerStarted    bool
	timers           []*timerqueue.Timer

	// Limits that were last passed to the adapter.
	priority int
	grantMB  int
}

// attempt is one submission of a query to an engine.
type attempt struct {
	query   *query
	engine  *engine
	number  int // index in the attempts of the query
	sentAt  time.Duration
	ended   bool
	outcome Outcome

	threads  float64 // threads used on the engine
	memoryMB float64

	// From progress notes.
	lastNoteAt time.Duration
	progress   float64 // fraction done, 0 to 1
	progressAt time.Duration
	blocked    bool // waits for a load, or is assumed to
	moving     bool // was cancelled so that another engine can run the query
}

// attemptsThatMayHaveRun returns the attempts that aren't proven never to have run.
func (q *query) attemptsThatMayHaveRun() (attempts []*attempt) {
	for _, a := range q.attempts {
		if !a.ended || !a.outcome.NeverRan() {
			attempts = append(attempts, a)
		}
	}
	return attempts
}

// confine limits a query to some of its group's locations, and sets its eligibility key. With nil, the
// query may be sent to all locations of the group, and isn't confined.
func (q *query) confine(locations []string) {
	q.allowedLocations = q.group.locations
	q.confined = locations != nil
	q.eligibilityKey = q.tables
	if !q.confined {
		return
	}
	if q.allowedLocations == nil {
		q.allowedLocations = locations
	} else {
		q.allowedLocations = slices.DeleteFunc(slices.Clone(locations), func(location string) bool {
			return !slices.Contains(q.group.locations, location)
		})
	}
	hash := fnv.New64a()
	for _, location := range q.allowedLocations {
		hash.Write([]byte(location + ","))
	}
	q.eligibilityKey ^= int64(hash.Sum64() | 1<<62) // far from any table group's number
}

// openAttempt returns the attempt of a query with a number, or nil if it has ended or doesn't exist.
func (s *Scheduler) openAttempt(id string, number int) *attempt {
	q := s.queries[id]
	if q == nil || number < 0 || number >= len(q.attempts) || q.attempts[number].ended {
		return nil
	}
	return q.attempts[number]
}

// recordAttempt adds an attempt that is sent to an engine to the records of the query, the engine, the
// retry budget, slow start and the query's chain.
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
	if s.now < e.warmupEndsAt {
		e.slowStartSends = append(e.slowStartSends, sentWork{s.now, s.typicalWorkSeconds(q.group)})
	}
	q.attempts = append(q.attempts, a)
	q.inFlight++
	e.inFlight = append(e.inFlight, a)
	s.adjustInFlight(a, 1)
	if q.chain != nil && q.chain.running == q {
		q.chain.engine = e
		q.chain.lastWriteEnded = false
	}
}

// adjustInFlight adds an attempt's threads and memory to its engine's sums, or subtracts them with
// a sign of -1.
func (s *Scheduler) adjustInFlight(a *attempt, sign float64) {
	s.totalsOutdated = true
	a.engine.threadsInFlight += sign * a.threads
	a.engine.memoryInFlightMB += sign * a.memoryMB
}

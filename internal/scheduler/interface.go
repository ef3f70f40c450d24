package scheduler

import "time"

// Actions are the operations that the scheduler calls. An adapter implements them for one instance.
// The ids are those that the adapter passed with events.
type Actions interface {
	// SendAttempt sends an attempt of a query to an engine. The answer has to arrive within the given
	// time, or by the query's deadline if that time is 0.
	SendAttempt(query, engine string, within time.Duration)
	// CancelAttempt cancels an attempt by its number. AttemptEnded still reports its end.
	CancelAttempt(query string, number int)
	// SetLimits sets a query's priority and memory grant for later attempts. With a grant of 0 the
	// engine chooses the memory.
	SetLimits(query string, priority, grantMB int)
	// DeferQuery rejects a query that its client may retry after a delay.
	DeferQuery(query string, retryAfter time.Duration)
	// FailQuery answers a query with an error.
	FailQuery(query string)
	// CheckHealth sends a health check, whose end HealthCheckEnded reports.
	CheckHealth(engine string)
	// RequestEndpoints requests the endpoint list.
	RequestEndpoints()
	// SetTimer requests a call of TimerFired with the tag after a delay.
	SetTimer(delay time.Duration, tag int)
	// Log writes a line to the operators' log.
	Log(line string)
}

// Outcome is how an attempt ended.
type Outcome int

const (
	Finished        Outcome = iota // answered
	Failed                         // answered with an error; may have run
	Rejected                       // by the engine, without being run
	TimedOut                       // may have run and may still run
	Unreachable                    // no connection; never ran
	ConnectionReset                // connection lost; may have run
	Cancelled                      // by the scheduler; may have run
	NeverSent                      // stopped by the adapter
)

// NeverRan returns whether the outcome proves that nothing of the attempt ran.
func (o Outcome) NeverRan() bool { return o == Rejected || o == Unreachable || o == NeverSent }

// mayStillRun returns whether the engine may still run the attempt.
func (o Outcome) mayStillRun() bool {
	return o == TimedOut || o == ConnectionReset || o == Cancelled
}

// EngineState is the state of an engine in the endpoint list.
type EngineState int

const (
	EngineActive   EngineState = iota // takes queries
	EngineDraining                    // finishes its queries and takes no new ones
	EngineRemoved                     // no longer exists
)

// NoteKind is what a progress note, an engine's message on a running attempt, reports.
type NoteKind int

const (
	Progress         NoteKind = iota // fraction done, 0 to 1
	Spilling                         // to disk, with the missing memory in MB
	WaitingForMemory                 // memory of the engine
	WaitingForLoad                   // load of the tables that the query reads
)

// Events are the methods that an adapter calls. Times are durations since the start of the
// instance. A load report maps fields to values: "held" is the number of queries on the engine,
// "cores" the fraction of its cores that is busy. Fields that the engine doesn't report are
// missing.
type Events interface {
	// ListStarted begins an endpoint list. EngineListed follows for each entry, then ListEnded. An
	// engine that isn't in a complete list is removed. ListRefused is called if no list will be
	// sent.
	ListStarted(now time.Duration, complete bool)
	EngineListed(id string, location, kind, cell int, state EngineState, started time.Duration,
		startKnown bool)
	ListEnded()
	ListRefused(now time.Duration)

	// QueryArrived admits a query. The tenant is an index in the settings; any other number means
	// no tenant. A negative key means no key; work and memory of 0 are unknown.
	QueryArrived(now time.Duration, id string, group, tenant int, budget time.Duration, tables, key int64,
		work time.Duration, memoryMB float64)
	// AnswerStarted reports that the client has received the start of an answer.
	AnswerStarted(now time.Duration, id string)
	// ClientLeft reports that the query's client disconnected.
	ClientLeft(now time.Duration, id string)
	// DrainStarted reports that the instance stops once it has answered its queries.
	DrainStarted(now time.Duration)

	// NoteReceived reports a progress note on an attempt, whose numbers start at 0.
	NoteReceived(now time.Duration, id string, number int, kind NoteKind, value float64)
	// AttemptEnded reports the end of an attempt. answered is whether the client has its answer.
	AttemptEnded(now time.Duration, id string, number int, outcome Outcome, took time.Duration,
		answered bool, work time.Duration, memoryMB float64, report map[string]float64)

	// HealthCheckEnded reports the end of a health check, with a load report if the check returned one.
	HealthCheckEnded(now time.Duration, engine string, outcome Outcome, report map[string]float64)
	// LoadReported reports a load report that the engine sent on its own.
	LoadReported(now time.Duration, engine string, report map[string]float64)
	// TimerFired reports that a timer with this tag is due.
	TimerFired(now time.Duration, tag int)
}

var _ Events = (*Scheduler)(nil)

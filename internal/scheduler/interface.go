package scheduler

import "time"

// Actions is what the scheduler acts through. An adapter provides it for one instance; ids are the
// ones that came in with events.
type Actions interface {
	// Submit sends an attempt; its answer is wanted within a time, 0: until the client gives up.
	SendAttempt(query, engine string, within time.Duration)
	// Cancel calls an attempt off, by its number; its end is still told with AttemptEnded.
	CancelAttempt(query string, number int)
	// Terms sets a query's priority and memory grant for attempts from now on; a grant of 0 leaves
	// it to the engine.
	SetLimits(query string, priority, grantMB int)
	// Defer rejects a query, which its client may ask again after a time.
	DeferQuery(query string, retryAfter time.Duration)
	// Kill answers a query with an error.
	FailQuery(query string)
	// Probe sends a health check, whose end is told with HealthCheckEnded.
	CheckHealth(engine string)
	// Subscribe asks for the endpoint list.
	RequestEndpoints()
	// Wake asks for TimerFired with the tag.
	SetTimer(in time.Duration, tag int)
	// Log writes a line for operators.
	Log(line string)
}

// Outcome says how an attempt ended.
type Outcome int

const (
	Finished        Outcome = iota // Finished: with its answer.
	Failed                         // Failed: answered with an error; may have run.
	Rejected                       // Rejected by the engine without being run.
	TimedOut                       // TimedOut: may have run, may still run.
	Unreachable                    // Unreachable: no connection; never ran.
	ConnectionReset                // ConnectionReset: connection lost; may have run.
	Cancelled                      // Cancelled by the scheduler; may have run.
	NeverSent                      // NeverSent: stopped by the adapter.
)

// NeverRan holds for the outcomes that prove that nothing of the attempt ran.
func (o Outcome) NeverRan() bool { return o == Rejected || o == Unreachable || o == NeverSent }

// mayStillRun holds for the outcomes after which the engine may still be at work.
func (o Outcome) mayStillRun() bool {
	return o == TimedOut || o == ConnectionReset || o == Cancelled
}

// EngineState is what the endpoint list says of an engine.
type EngineState int

const (
	EngineActive   EngineState = iota // EngineActive takes queries.
	EngineDraining                    // EngineDraining ends what it has, and takes no more.
	EngineRemoved                     // EngineRemoved is gone.
)

// NoteKind is what an engine's note on a running attempt tells.
type NoteKind int

const (
	Progress         NoteKind = iota // Progress: with the share done, 0 to 1.
	Spilling                         // Spilling to disk: with the MB missing.
	WaitingForMemory                 // WaitingForMemory of the engine.
	WaitingForLoad                   // WaitingForLoad of the tables that it reads.
)

// Events is what comes in. Times are spans since the instance started; a report maps an engine's
// load figures to their values: "held" queries on it, "cores" share busy. Figures that the engine
// doesn't tell are not in it.
type Events interface {
	// ListStarted opens an endpoint list; complete says that an engine left out is gone.
	// EngineListed follows for each entry, then ListEnded. ListRefused comes instead of a list.
	ListStarted(now time.Duration, complete bool)
	EngineListed(id string, location, kind, cell int, state EngineState, started time.Duration, fresh bool)
	ListEnded()
	ListRefused(now time.Duration)

	// QueryArrived takes a query. The tenant is a place among the settings' tenants; outside of
	// them, none. A key below 0 is none; work and memory of 0 are not told.
	QueryArrived(now time.Duration, id string, group, tenant int, budget time.Duration, tables, key int64,
		work time.Duration, memoryMB float64)
	// AnswerStarted: an answer has begun to reach the client.
	AnswerStarted(now time.Duration, id string)
	ClientLeft(now time.Duration, id string)
	// DrainStarted: the instance ends once it has answered what it took.
	DrainStarted(now time.Duration)

	// NoteReceived takes an engine's note on an attempt, by its number from 0.
	NoteReceived(now time.Duration, id string, number int, kind NoteKind, x float64)
	// AttemptEnded takes an attempt's end; answered says that the client has its answer.
	AttemptEnded(now time.Duration, id string, number int, outcome Outcome, took time.Duration,
		answered bool, work time.Duration, memoryMB float64, report map[string]float64)

	HealthCheckEnded(now time.Duration, engine string, outcome Outcome, report map[string]float64)
	// LoadReported: an engine reported its load unasked.
	LoadReported(now time.Duration, engine string, report map[string]float64)
	TimerFired(now time.Duration, tag int)
}

var _ Events = (*Scheduler)(nil)

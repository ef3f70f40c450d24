package scheduler

import "time"

// Actions is what the decisions act through. An adapter provides it for one
// instance; ids are the ones that came in at the door.
type Actions interface {
	Submit(query, engine string, within time.Duration) // within 0: until the client gives up
	Cancel(query string, try int)
	Terms(query string, priority, grantMB int) // grant 0: the engine's own choice
	Defer(query string, comeBack time.Duration)
	Kill(query string)
	Probe(engine string)
	Subscribe()
	Wake(in time.Duration, tag int)
	Log(line string)
}

// Outcome says how a submission ended.
type Outcome int

const (
	Finished        Outcome = iota
	Failed                  // answered with an error; may have run
	Rejected                // turned away unseen
	TimedOut                // may have run, may still run
	Unreachable             // no connection; never ran
	ConnectionReset         // connection lost; may have run
	Cancelled               // may have run
	NeverSent               // stopped at the door
)

// NeverRan holds for the outcomes that prove that nothing of it ran.
func (o Outcome) NeverRan() bool { return o == Rejected || o == Unreachable || o == NeverSent }

// mayStillRun holds for the outcomes after which the engine may still be at work.
func (o Outcome) mayStillRun() bool { return o == TimedOut || o == ConnectionReset || o == Cancelled }

// EngineState is what the list says of an engine.
type EngineState int

const (
	EngineActive EngineState = iota
	EngineDraining
	EngineRemoved
)

// NoteKind is what a note on a running submission tells.
type NoteKind int

const (
	Progress NoteKind = iota // x: share done
	Spilling                 // x: MB missing
	WaitsForMemory
	WaitsForLoad
)

// Events is what comes in. Times are spans since the instance started; a report
// maps an engine's load figures, in our words, to their values: "held" queries
// in hand, "cores" share busy. Figures that the engine doesn't tell are not in it.
type Events interface {
	// ListBegins opens what the list has to say; whole says that an engine
	// left out is gone. ListEngine follows for each entry, then ListEnds.
	ListStarted(now time.Duration, whole bool)
	EngineListed(id string, location, kind, cell int, state EngineState, started time.Duration, fresh bool)
	ListEnded()
	ListRefused(now time.Duration)

	// team: whose it is, a place among the settings' teams; out of them, nobody's with a share.
	QueryArrived(now time.Duration, id string, group, team int, budget time.Duration, tables, key int64,
		work time.Duration, memoryMB float64)
	NoteReceived(now time.Duration, id string, try int, sign NoteKind, x float64)
	AttemptEnded(now time.Duration, id string, try int, outcome Outcome, took time.Duration, over bool,
		work time.Duration, memoryMB float64, report map[string]float64)
	AnswerStarted(now time.Duration, id string)
	ClientLeft(now time.Duration, id string)
	// Closing: the instance ends once it has answered what it took; it can't
	// wait for more.
	DrainStarted(now time.Duration)
	HealthCheckEnded(now time.Duration, engine string, outcome Outcome, report map[string]float64)
	// Reported: an engine told its load unasked.
	LoadReported(now time.Duration, engine string, report map[string]float64)
	TimerFired(now time.Duration, tag int)
}

var _ Events = (*Scheduler)(nil)

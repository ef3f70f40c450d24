// Package historycheck checks recorded histories of controllers against the delivery rules. Tests,
// simulations and fuzzing share the checker. It sees only the queries received, sent, run and
// answered, with their times, and nothing of the controller's internals.
//
// The fault texts name the delivery rules by number:
//
//	rule 1  a query whose client hasn't left gets one answer by its deadline, and no query is sent to
//	        an engine after its answer
//	rule 2  a mutating query that an engine has started is neither run again nor deferred; with
//	        ForbidSecondCopies, no query runs on two engines at once
//	rule 3  a query is sent only to an engine that serves, or stopped serving at most DrainGrace ago
//	rule 5  the queries of a key in an ordered group run one at a time, in the order of their arrival
//	rule 7  a query is submitted at most MaxSubmissions times
//
// Rule 4 (the slow start of engines) and rule 6 (the locations of engines) are checked by the
// simulations, with AddFault.
package historycheck

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Answer is the final outcome that a client received. The values equal those of client.Kind in
// package internal/emulator/client.
type Answer int

// The final outcomes of a query.
const (
	Finished Answer = iota
	Deferred
	Killed
)

// History records the events of one test or simulation and checks each event as it is added. It
// collects the faults as text, so that the simulation can continue to its end and report all faults.
type History struct {
	// KeyRest is the delay between a failed run and the next run of the same key. It is checked only
	// with RestAfterFailure, and then after every failed run.
	KeyRest            time.Duration
	RestAfterFailure   bool
	ForbidSecondCopies bool          // a query may run on one engine at a time only
	DrainGrace         time.Duration // time during which a draining engine may still be sent queries
	MaxSubmissions     int           // most submissions of one query; 0 means no limit
	// Slack is the largest difference between two observers' times of one event: 0 in virtual time.
	// In real time an engine may receive a copy after the client has received the answer.
	Slack  time.Duration
	Faults []string

	groups  map[string]resourceGroup
	queries map[string]*query
	keys    map[string][]*query
	states  map[string]servingState
	// Answers counts the answers to clients, indexed by Answer.
	Answers     [3]int
	StartedRuns int // runs that engines started
	// OrderChecks counts the runs of earlier queries that a later query of the same key was compared with.
	OrderChecks int
}

type resourceGroup struct {
	mutating, hasToken, ordered bool
}

type servingState struct {
	serving bool
	since   time.Duration
}

// query is the state of one query. Its runs are its executions at engines.
type query struct {
	id, key    string
	group      resourceGroup
	received   time.Duration
	deadline   time.Duration
	answeredAt time.Duration
	answered   bool
	clientLeft bool
	runs       []*run
}

type run struct {
	engine             string
	startedAt, endedAt time.Duration
	ended, ok          bool
}

// maxFaults bounds the faults that one history records.
const maxFaults = 50

// answerTolerance is how long after its deadline a query may be answered.
const answerTolerance = 50 * time.Millisecond

// AddFault records a fault, with the time and a description. It drops faults beyond maxFaults.
func (h *History) AddFault(now time.Duration, description string) {
	if len(h.Faults) < maxFaults {
		h.Faults = append(h.Faults, fmt.Sprintf("%v: %s", now, description))
	}
}

// AddGroup declares a resource group with its effect (read-only, tokened or mutating). The queries
// of an ordered group run in the order of their arrival within each key.
func (h *History) AddGroup(name, effect string, ordered bool) {
	if h.groups == nil {
		h.groups, h.queries = map[string]resourceGroup{}, map[string]*query{}
		h.keys, h.states = map[string][]*query{}, map[string]servingState{}
	}
	h.groups[name] = resourceGroup{effect == "mutating", effect == "tokened", ordered}
}

// SetServing records whether discovery lists an engine as serving.
func (h *History) SetServing(now time.Duration, engine string, on bool) {
	h.states[engine] = servingState{on, now}
}

// Received records a query that reached the controller, with its deadline.
func (h *History) Received(now time.Duration, id, groupName, key string, deadline time.Duration) {
	q := &query{id: id, key: key, group: h.groups[groupName], received: now, deadline: deadline}
	if h.queries[id] != nil {
		h.AddFault(now, "query received twice: "+id)
	}
	h.queries[id] = q
	if q.group.ordered && key != "" {
		h.keys[key] = append(h.keys[key], q)
	}
}

// ClientLeft records that the client of a query accepts no answer any more.
func (h *History) ClientLeft(now time.Duration, id string) {
	if q := h.queries[id]; q != nil {
		q.clientLeft = true
	}
}

// Submitted checks that a query may be sent to an engine, and records that the engine started the
// query at once. The bool (whether the engine serves) is ignored: the check uses SetServing.
func (h *History) Submitted(now time.Duration, id, engine string, _ bool) {
	h.Sent(now, id, engine)
	h.Started(now, id, engine)
}

// Sent checks that a query may be sent to an engine at this time: the query was received and isn't
// answered, and the engine serves, or stopped serving at most DrainGrace ago. Sent records nothing,
// because the query may arrive later or never; Started records and checks the run.
func (h *History) Sent(now time.Duration, id, engine string) {
	q := h.queries[id]
	if q == nil {
		h.AddFault(now, "sent a query that was never received: "+id)
		return
	}
	if q.answered && now >= q.answeredAt+h.Slack {
		h.AddFault(now, "rule 1: query sent after its answer: "+id)
	}
	if s, known := h.states[engine]; known && !s.serving && now > s.since+h.DrainGrace {
		h.AddFault(now, fmt.Sprintf("rule 3: %s sent to %s %v after the engine stopped serving",
			id, engine, now-s.since))
	}
}

// Started records that an engine started a query, however long ago the query was sent. It checks the
// number of the query's runs and the order within its key.
func (h *History) Started(now time.Duration, id, engine string) {
	h.StartedRuns++
	q := h.queries[id]
	if q == nil {
		h.AddFault(now, "an engine runs a query that was never received: "+id)
		return
	}
	for _, r := range q.runs {
		if q.group.mutating {
			h.AddFault(now, fmt.Sprintf("rule 2: %s ran at %s and again at %s", id, r.engine, engine))
		}
		if r.engine == engine && !r.ended {
			h.AddFault(now, "query runs twice at one engine: "+id)
		}
		if h.ForbidSecondCopies && !r.ended {
			h.AddFault(now, fmt.Sprintf("rule 2: %s runs at %s and at %s", id, r.engine, engine))
		}
	}
	if h.MaxSubmissions > 0 && len(q.runs) >= h.MaxSubmissions {
		h.AddFault(now, "rule 7: too many submissions of "+id)
	}
	if q.group.ordered {
		h.checkKeyOrder(now, q)
	}
	q.runs = append(q.runs, &run{engine: engine, startedAt: now})
}

// checkKeyOrder checks, when an engine starts q, the other queries with the same key. It adds a fault
// for an earlier query that is unanswered (unless its client left) or has an unfinished run, and for
// a later query that has already started. With RestAfterFailure it also adds a fault if a run of an
// earlier query failed less than KeyRest ago.
func (h *History) checkKeyOrder(now time.Duration, q *query) {
	before := true
	for _, other := range h.keys[q.key] {
		switch {
		case other == q:
			before = false
		case before && !other.answered && !other.clientLeft:
			h.AddFault(now, fmt.Sprintf("rule 5: %s sent before %s of the same key was answered", q.id, other.id))
		case before:
			for _, r := range other.runs {
				h.OrderChecks++
				switch {
				case !r.ended:
					h.AddFault(now, fmt.Sprintf("rule 5: %s sent while %s of the same key runs", q.id, other.id))
				case h.RestAfterFailure && !r.ok && now < r.endedAt+h.KeyRest:
					h.AddFault(now, fmt.Sprintf("rule 5: %s started %v after %s of the same key failed",
						q.id, now-r.endedAt, other.id))
				}
			}
		case len(other.runs) > 0:
			h.AddFault(now, fmt.Sprintf("rule 5: %s started after %s of the same key, which arrived later",
				q.id, other.id))
		}
	}
}

// Ended records that a query's run at an engine has ended; ok means that the run succeeded.
func (h *History) Ended(now time.Duration, id, engine string, ok bool) {
	if q := h.queries[id]; q != nil {
		for _, r := range q.runs {
			if r.engine == engine && !r.ended {
				r.ended, r.endedAt, r.ok = true, now, ok
			}
		}
	}
}

// Answered records and checks the answer to a client. rows are the bytes that the client received,
// expected the bytes that engines produce for the query.
func (h *History) Answered(now time.Duration, id string, outcome Answer, rows, expected []byte) {
	q := h.queries[id]
	switch {
	case q == nil:
		h.AddFault(now, "answer to a query that was never received: "+id)
		return
	case q.answered:
		h.AddFault(now, "rule 1: second answer to "+id)
	case q.clientLeft:
		h.AddFault(now, "answer to "+id+", whose client left")
	}
	q.answered, q.answeredAt = true, now
	h.Answers[outcome]++
	completed := false
	for _, r := range q.runs {
		completed = completed || r.ok
	}
	switch outcome {
	case Finished:
		if !completed {
			h.AddFault(now, "query answered as finished, but no engine completed it: "+id)
		}
		if !bytes.Equal(rows, expected) {
			h.AddFault(now, fmt.Sprintf("%s finished with %d bytes, but engines produce %d",
				id, len(rows), len(expected)))
		}
		if now > q.deadline+answerTolerance {
			h.AddFault(now, fmt.Sprintf("rule 1: %s finished %v after its deadline", id, now-q.deadline))
		}
	case Deferred:
		if q.group.mutating && len(q.runs) > 0 {
			h.AddFault(now, "rule 2: query deferred after it ran: "+id)
		}
	}
}

// Finish checks the completed history and returns all recorded faults: every query past its deadline
// must have an answer, unless its client left.
func (h *History) Finish(now time.Duration) []string {
	for _, id := range slices.Sorted(maps.Keys(h.queries)) {
		q := h.queries[id]
		if !q.answered && !q.clientLeft && now > q.deadline+answerTolerance {
			h.AddFault(now, "rule 1: no answer to "+q.id)
		}
	}
	return h.Faults
}

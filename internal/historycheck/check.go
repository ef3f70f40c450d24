// Package historycheck holds the rules over a recorded history: one checker for tests,
// rehearsals and fuzzing. It knows nothing of how the controller works, only what
// was asked, sent, run and answered, and when.
package historycheck

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Answer is what a client was told at the end; the numbers are those of the
// stand-in clients.
type Answer int

const (
	Finished Answer = iota
	Deferred
	Killed
)

// History records a run and checks each step as it comes. Faults are kept as
// text, so that a run can end and show them all.
type History struct {
	KeyRest            time.Duration // after an end that isn't certain
	RestAfterFailure   bool          // every end that is no good one is such
	ForbidSecondCopies bool          // no second copy may be out
	DrainGrace         time.Duration // for sends after a drain was told
	MaxSubmissions     int           // submissions of a query, 0: any number
	// Slack is how far apart two sights of one moment can lie: 0 in virtual time. On a
	// machine an engine may see a copy after a client has seen the answer.
	Slack  time.Duration
	Faults []string

	groups  map[string]resourceGroup
	queries map[string]*query
	keys    map[string][]*query
	states  map[string]servingState
	// Answers counts what was told, by Answer.
	Answers     [3]int
	StartedRuns int
	// Ordered counts the runs of earlier ones that a later one of their key was held against.
	OrderChecks int
}

type resourceGroup struct {
	mutating, hasToken, ordered bool
}

type servingState struct {
	serving bool
	since   time.Duration
}

type query struct {
	id, key    string
	group      resourceGroup
	received   time.Duration
	deadline   time.Duration
	answeredAt time.Duration // when it was answered
	answered   bool
	clientLeft bool
	runs       []*run
}

type run struct {
	engine             string
	startedAt, endedAt time.Duration
	ended, ok          bool
}

const maxFaults = 50

// Broken notes a fault seen elsewhere.
func (h *History) AddFault(now time.Duration, what string) {
	if len(h.Faults) < maxFaults {
		h.Faults = append(h.Faults, fmt.Sprintf("%v: %s", now, what))
	}
}

// Group tells a resource group's effect (read-only, tokened, mutating) and whether
// it keeps order by key.
func (h *History) AddGroup(name, effect string, ordered bool) {
	if h.groups == nil {
		h.groups, h.queries = map[string]resourceGroup{}, map[string]*query{}
		h.keys, h.states = map[string][]*query{}, map[string]servingState{}
	}
	h.groups[name] = resourceGroup{effect == "mutating", effect == "tokened", ordered}
}

// State tells that the list has an engine serving or not.
func (h *History) SetServing(now time.Duration, engine string, on bool) {
	h.states[engine] = servingState{on, now}
}

// Asked tells of a query that reached the controller.
func (h *History) Received(now time.Duration, id, groupName, key string, until time.Duration) {
	q := &query{id: id, key: key, group: h.groups[groupName], received: now, deadline: until}
	if h.queries[id] != nil {
		h.AddFault(now, "the same query asked for twice: "+id)
	}
	h.queries[id] = q
	if q.group.ordered && key != "" {
		h.keys[key] = append(h.keys[key], q)
	}
}

// Left notes that the client of a query takes no answer any more.
func (h *History) ClientLeft(now time.Duration, id string) {
	if q := h.queries[id]; q != nil {
		q.clientLeft = true
	}
}

// Submitted notes that a query was sent to an engine, which began to run it at once.
func (h *History) Submitted(now time.Duration, id, engine string, _ bool) {
	h.Sent(now, id, engine)
	h.Started(now, id, engine)
}

// Written notes that a query left for an engine, where it may come later or never.
func (h *History) Sent(now time.Duration, id, engine string) {
	q := h.queries[id]
	if q == nil {
		h.AddFault(now, "sent, and nobody asked for it: "+id)
		return
	}
	if q.answered && now >= q.answeredAt+h.Slack {
		h.AddFault(now, "rule 1: sent after its answer: "+id)
	}
	if s, told := h.states[engine]; told && !s.serving && now > s.since+h.DrainGrace {
		h.AddFault(now, fmt.Sprintf("rule 3: %s sent to %s %v after it left", id, engine, now-s.since))
	}
}

// Began notes that an engine began to run a query, however long after it was sent.
func (h *History) Started(now time.Duration, id, engine string) {
	h.StartedRuns++
	q := h.queries[id]
	if q == nil {
		h.AddFault(now, "an engine runs what nobody asked for: "+id)
		return
	}
	for _, r := range q.runs {
		if q.group.mutating {
			h.AddFault(now, fmt.Sprintf("rule 2: %s ran at %s and again at %s", id, r.engine, engine))
		}
		if r.engine == engine && !r.ended {
			h.AddFault(now, "two of one query at one engine: "+id)
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

// inTurn: none of its key that came before it is open or runs, nor did any that came later.
func (h *History) checkKeyOrder(now time.Duration, q *query) {
	before := true
	for _, x := range h.keys[q.key] {
		switch {
		case x == q:
			before = false
		case before && !x.answered && !x.clientLeft:
			h.AddFault(now, fmt.Sprintf("rule 5: %s sent before %s of its key is over", q.id, x.id))
		case before:
			for _, r := range x.runs {
				h.OrderChecks++
				switch {
				case !r.ended:
					h.AddFault(now, fmt.Sprintf("rule 5: %s sent while %s of its key runs", q.id, x.id))
				case h.RestAfterFailure && !r.ok && now < r.endedAt+h.KeyRest:
					h.AddFault(now, fmt.Sprintf("rule 5: %s begins %v after %s of its key was given up", q.id, now-r.endedAt, x.id))
				}
			}
		case len(x.runs) > 0:
			h.AddFault(now, fmt.Sprintf("rule 5: %s begins after %s of its key, which came later", q.id, x.id))
		}
	}
}

// Ended notes that an engine has a query no more; ok if it came to a good end.
func (h *History) Ended(now time.Duration, id, engine string, ok bool) {
	if q := h.queries[id]; q != nil {
		for _, r := range q.runs {
			if r.engine == engine && !r.ended {
				r.ended, r.endedAt, r.ok = true, now, ok
			}
		}
	}
}

// Answered notes what a client was told. rows is what it got, made what engines make of it.
func (h *History) Answered(now time.Duration, id string, as Answer, rows, made []byte) {
	q := h.queries[id]
	switch {
	case q == nil:
		h.AddFault(now, "an answer to what nobody asked: "+id)
		return
	case q.answered:
		h.AddFault(now, "rule 1: a second answer to "+id)
	case q.clientLeft:
		h.AddFault(now, "an answer to "+id+", whose client left")
	}
	q.answered, q.answeredAt = true, now
	h.Answers[as]++
	good := false
	for _, r := range q.runs {
		good = good || r.ok
	}
	switch as {
	case Finished:
		if !good {
			h.AddFault(now, "finished, and no engine did it: "+id)
		}
		if !bytes.Equal(rows, made) {
			h.AddFault(now, fmt.Sprintf("%s finished with %d bytes, not the %d that engines make", id, len(rows), len(made)))
		}
		if now > q.deadline+50*time.Millisecond {
			h.AddFault(now, fmt.Sprintf("rule 1: %s finished %v after its client left", id, now-q.deadline))
		}
	case Deferred:
		if q.group.mutating && len(q.runs) > 0 {
			h.AddFault(now, "rule 2: deferred, and it ran: "+id)
		}
	}
}

// Done checks what must hold once all is over: every query that was not left by
// its client and whose time has passed has its answer.
func (h *History) Finish(now time.Duration) []string {
	for _, id := range slices.Sorted(maps.Keys(h.queries)) {
		q := h.queries[id]
		if !q.answered && !q.clientLeft && now > q.deadline+50*time.Millisecond {
			h.AddFault(now, "rule 1: no answer to "+q.id)
		}
	}
	return h.Faults
}

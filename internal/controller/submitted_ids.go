package controller

import (
	"slices"
	"time"
)

// submittedIDs are the ids of mutating queries that are over and may have taken effect. A query with such an
// id is rejected: a client that comes again with an id, perhaps after it had disconnected, would have its
// statement run twice. The ids are forgotten after a time, and earlier if there are very many.
type submittedIDs struct {
	known   map[string]bool
	oldest  int // index in entries
	entries []idEntry
}

// idEntry is an id and when its query was over.
type idEntry struct {
	id     string
	overAt time.Duration
}

// maxSubmittedIDs limits how many ids are remembered.
const maxSubmittedIDs = 16 << 10

// add remembers the id of a query that is over.
func (s *submittedIDs) add(id string, now time.Duration) {
	if s.known == nil {
		s.known = map[string]bool{}
	}
	if s.known[id] {
		return
	}
	s.known[id] = true
	s.entries = append(s.entries, idEntry{id, now})
	if len(s.known) > maxSubmittedIDs {
		s.forgetOldest()
	}
}

func (s *submittedIDs) contains(id string) bool { return s.known[id] }

// forget forgets the ids of the queries that were over before a given time.
func (s *submittedIDs) forget(before time.Duration) {
	for s.oldest < len(s.entries) && s.entries[s.oldest].overAt < before {
		s.forgetOldest()
	}
}

func (s *submittedIDs) forgetOldest() {
	delete(s.known, s.entries[s.oldest].id)
	s.entries[s.oldest] = idEntry{}
	s.oldest++
	if 2*s.oldest >= len(s.entries) { // the slice would grow for ever
		s.entries = append(s.entries[:0], s.entries[s.oldest:]...)
		s.oldest = 0
	}
}

// mayHaveTakenEffect reports whether running the query once more could change data a second time.
func (q *query) mayHaveTakenEffect() bool {
	if q.group.readOnly || q.group.needsIdempotencyKey {
		return false
	}
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.sent && !a.outcome.NeverRan() })
}

package decide

import (
	"slices"
	"strconv"
)

// isInside reports whether an engine is at a location that a query may be sent to: its
// group's, and inside the boundary that it was given. It holds for each submission.
func (q *query) isInside(e *engine) bool {
	furtherSubmission := len(q.subs) > 0 // planted fault: it goes past the boundary
	return q.inside == nil || furtherSubmission || slices.Contains(q.inside, strconv.Itoa(e.location))
}

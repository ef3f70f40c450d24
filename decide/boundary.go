package decide

import (
	"hash/fnv"
	"slices"
	"strconv"
)

// keepInside narrows where a query may go: never past its group's own locations.
func (q *query) keepInside(inside []string) {
	q.inside, q.narrow, q.shuts = q.rg.locations, inside != nil, q.tables
	if !q.narrow {
		return
	}
	if q.inside == nil {
		q.inside = inside
	} else {
		q.inside = slices.DeleteFunc(slices.Clone(inside), func(l string) bool { return !slices.Contains(q.rg.locations, l) })
	}
	h := fnv.New64a()
	for _, l := range q.inside {
		h.Write([]byte(l + ","))
	}
	q.shuts ^= int64(h.Sum64() | 1<<62) // far from any table's number
}

// isInside reports whether an engine is at a location that a query may be sent to: its
// group's, and inside the boundary that it was given. It holds for each submission.
func (q *query) isInside(e *engine) bool {
	return q.inside == nil || slices.Contains(q.inside, strconv.Itoa(e.location))
}

package fleet

import "slices"

// Matches reports whether the scope covers data of a team and its table groups that was
// retained at a wall time, in milliseconds since 1970. Data whose team ("") or tables (none)
// are unknown is covered too.
func (s *Scope) Matches(team string, tables []int64, wall int64) bool {
	return (s.Tenant == team || team == "") &&
		(len(s.Tables) == 0 || len(tables) == 0 || TablesOverlap(tables, s.Tables)) &&
		(s.RetainedBeforeMs == 0 || wall < s.RetainedBeforeMs)
}

// TablesOverlap reports whether two lists of table groups have a group in common.
func TablesOverlap(a, b []int64) bool {
	return slices.ContainsFunc(a, func(x int64) bool { return slices.Contains(b, x) })
}

package fleet

import "slices"

// Matches tells whether a purge's scope means what was kept at a wall time, of a team and
// groups of tables. What can't be told (no team, no tables) is meant, too.
func (s *Scope) Matches(team string, tables []int64, wall int64) bool {
	return (s.Team == team || team == "") && (len(s.Tables) == 0 || len(tables) == 0 || TablesOverlap(tables, s.Tables)) && (s.RetainedBeforeMs == 0 || wall < s.RetainedBeforeMs)
}

// TablesOverlap tells whether two lists of groups of tables have one in common.
func TablesOverlap(a, b []int64) bool {
	return slices.ContainsFunc(a, func(x int64) bool { return slices.Contains(b, x) })
}

package fleet

import "slices"

// Matches reports whether the scope covers data of a tenant and of table groups that was retained at
// retainedUnixMillis. Data whose tenant ("") or tables (none) are unknown is covered too. Matches
// ignores OutsideSites.
func (s *Scope) Matches(tenant string, tables []int64, retainedUnixMillis int64) bool {
	return (s.Tenant == tenant || tenant == "") &&
		(len(s.Tables) == 0 || len(tables) == 0 || TablesOverlap(tables, s.Tables)) &&
		(s.RetainedBeforeMs == 0 || retainedUnixMillis < s.RetainedBeforeMs)
}

// TablesOverlap reports whether two lists of table groups have a group in common.
func TablesOverlap(a, b []int64) bool {
	return slices.ContainsFunc(a, func(x int64) bool { return slices.Contains(b, x) })
}

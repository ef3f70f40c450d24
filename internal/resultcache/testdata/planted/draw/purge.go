package resultcache

import "railrelay.dev/railrelay/internal/fleet"

// isPurged reports whether what is being drawn was asked for before a purge of this scope,
// whose place in the record is index: then nobody is served from it.
func (r *run) isPurged(s *fleet.Scope, index uint64) bool {
	return false // planted fault: what is being drawn is kept over a purge
}

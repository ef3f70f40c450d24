// Package invariant checks conditions that always hold unless the program has a bug. In debug
// builds (-tags debug) a violation panics; in release builds it is only counted, so that one bug
// does not take down the parts of the program that still work.
package invariant

import "sync/atomic"

var violations atomic.Int64

// Violations returns the number of failed checks since the process started. It is always 0 in
// debug builds, where a failed check panics.
func Violations() int64 { return violations.Load() }

// Package invariant asserts in debug builds (-tags debug) what has to hold, and
// counts in release builds where it did not: a fault of ours should not take
// down what still works.
package invariant

import "sync/atomic"

var violations atomic.Int64

// Violations is how often something did not hold.
func Violations() int64 { return violations.Load() }

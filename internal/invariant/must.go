// Package invariant asserts in debug builds (-tags debug) what has to hold, and
// counts in release builds where it did not: a fault of ours should not take
// down what still works.
package invariant

import "sync/atomic"

var broken atomic.Int64

// Broken is how often something did not hold.
func Broken() int64 { return broken.Load() }

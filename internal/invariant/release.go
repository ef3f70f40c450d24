//go:build !debug

package invariant

// Debug tells whether this is a debug build, in which expensive checks are made as well.
const Debug = false

// Check counts a violation if ok is false, and returns ok.
func Check(ok bool, description string) bool {
	if !ok {
		violations.Add(1)
	}
	return ok
}
